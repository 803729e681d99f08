"""Records of targets, which home nodes announce to the fleet."""

import dataclasses
import enum


class State(enum.StrEnum):
    """A target's state, as the target itself reports it."""

    COLD = "cold"
    READY = "ready"
    DRAINING = "draining"


class Health(enum.StrEnum):
    """A target's health, as its home node determines it."""

    NORMAL = "normal"
    EJECTED = "ejected"
    TRIAL = "trial"


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRecord:
    """An announced target; field names match the thrift struct TargetChange.

    Attributes:
      id: unique in the fleet.
      service: the service it belongs to.
      home: name of its home node, which announces it to the fleet.
      home_incarnation: incarnation of the home node.
      sequence: the home's change number at the record's last change.
      region: region of the home.
      zone: availability zone of the home.
      slots: maximum number of concurrent requests.
      weight: load-balancing weight relative to other targets.
      state: as the target reports it.
      health: as the home determines it.
      target_incarnation: the target's incarnation, as it announced it.
      moves: number of home changes within this incarnation of the target.
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
    health: Health
    target_incarnation: int = 0
    moves: int = 0


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
    """Returns the sort key of announcements of a target at several homes.

    The announcement with the highest key is valid. Only the target itself
    writes the first two numbers, its incarnation and its moves. The others
    make the order total for targets that do not count their moves.
    """
    return (
        record.target_incarnation,
        record.moves,
        record.home_incarnation,
        record.home,
    )
