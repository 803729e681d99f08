"""Records of targets, which home nodes announce to the fleet."""

import dataclasses
import enum


class State(enum.StrEnum):
    """A target's state, as the target itself reports it."""

    COLD = "cold"
    READY = "ready"
    DRAINING = "draining"


class EjectionStatus(enum.StrEnum):
    """A target's ejection status, as its home node announces it.

    Has the same members as `decisions.ejection.Status`.
    """

    NORMAL = "normal"
    EJECTED = "ejected"
    TRIAL = "trial"


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRecord:
    """An announced target.

    The fields are named like those of the struct `TargetChange` in
    `nodes/messages.thrift`.

    Attributes:
      id: unique in the fleet.
      service: the service it belongs to.
      home: name of its home node, which announces it to the fleet.
      home_incarnation: incarnation of the home node.
      sequence: number of the change that produced this record; a home numbers
        its changes.
      region: region of the home.
      zone: availability zone of the home.
      slots: maximum number of concurrent requests.
      weight: load-balancing weight relative to other targets.
      state: as the target reports it.
      health: the ejection status, as the home determines it.
      target_incarnation: the target's incarnation, as it announced it.
      moves: number of home changes within this incarnation of the target.
      cold_ms: how long the target was still going to be slow after its start
        when it first announced itself to this home; 0 if it is warm, or if
        the home does not pass this on.
    """

    id: str
    service: str
    home: str
    home_incarnation: int
    sequence: int
    region: str
    zone: str
    slots: int
    weight: int
    state: State
    health: EjectionStatus
    target_incarnation: int = 0
    moves: int = 0
    cold_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetChange:
    """A change of a target by its home node.

    Attributes:
      record: the target's new record.
      is_removal: whether the target has been removed.
    """

    record: TargetRecord
    is_removal: bool = False


Precedence = tuple[int, int, int, str]


def precedence(record: TargetRecord) -> Precedence:
    """Returns the sort key for choosing between announcements of a target.

    Several homes may announce a target that has moved; the announcement with
    the highest key is valid. The target itself counts its
    incarnations and moves. Some targets don't count their moves; the home's
    incarnation and name decide between two announcements that are otherwise
    equal.
    """
    return (
        record.target_incarnation,
        record.moves,
        record.home_incarnation,
        record.home,
    )
