"""A target as the fleet knows it."""

import dataclasses
import enum


class State(enum.StrEnum):
    """What a target says of itself."""

    COLD = "cold"
    READY = "ready"
    DRAINING = "draining"


class Health(enum.StrEnum):
    """What the home has judged of its target."""

    NORMAL = "normal"
    EJECTED = "ejected"
    TRIAL = "trial"


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRecord:
    """One announced target; the same words as the thrift message Target.

    Attributes:
      id: unique in the fleet.
      service: the service it belongs to.
      home: name of the node that holds its announcement.
      home_incarnation: incarnation of that node.
      sequence: grows with every change that the home makes to the record.
      region: region of the home.
      zone: availability zone of the home.
      slots: requests it takes at once.
      weight: share of work relative to other targets.
      state: what the target says.
      health: what the home has judged.
      target_incarnation: the target's own start, as it announced it.
      moves: how often this start of the target has changed its home.
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
    """One change that a home made: the record, or its removal."""

    record: TargetRecord
    gone: bool = False


ClaimOrder = tuple[int, int, int, str]


def claim_order(record: TargetRecord) -> ClaimOrder:
    """Orders announcements of one target at several homes; the highest holds.

    The target alone counts its starts and moves, so the first two numbers
    have a single writer. The rest only makes the order total for targets
    that do not count their moves.
    """
    return (
        record.target_incarnation,
        record.moves,
        record.home_incarnation,
        record.home,
    )
