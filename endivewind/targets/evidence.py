"""What a home learns of a target from each request that it handed over."""

import dataclasses
import datetime
import enum
from typing import Protocol


class Kind(enum.StrEnum):
    """How a hand-over ended."""

    SUCCESS = "success"
    ERROR = "error"
    SHED = "shed"
    TIMEOUT = "timeout"
    LOST = "lost"
    REFUSED_CONNECTION = "refused-connection"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One request at one target.

    Attributes:
      target: the target's id.
      service: its service.
      workspace: the caller's workspace.
      kind: how it ended.
      latency: from the hand-over to the answer's head, or to the failure.
      number: what Observer.started returned for it.
    """

    target: str
    service: str
    workspace: str
    kind: Kind
    latency: datetime.timedelta
    number: int = 0


class Observer(Protocol):
    """Takes samples as they come."""

    def started(self, target: str, service: str) -> int:
        """Takes the start of a hand-over; returns its number.

        A request that never ends is evidence too, so the start must be told.
        """

    def finished(self, sample: Sample) -> None:
        """Takes one sample; must not block."""


def kind_of_status(status: int) -> Kind:
    """How a target's answer counts; 4xx are the caller's doing."""
    if status in (429, 503):
        return Kind.SHED
    return Kind.ERROR if status >= 500 else Kind.SUCCESS
