"""Results of dispatched requests, as evidence of their targets' health.

The dispatcher produces samples; the outlier monitor evaluates them.
"""

import dataclasses
import datetime
import enum
from typing import Protocol


class ResultKind(enum.StrEnum):
    """How a request at a target ended."""

    SUCCESS = "success"
    ERROR = "error"
    SHED = "shed"
    TIMEOUT = "timeout"
    LOST = "lost"
    REFUSED_CONNECTION = "refused-connection"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """The result of one request at one target.

    Attributes:
      target: the target's id.
      service: the target's service.
      workspace: the caller's workspace.
      kind: how the request ended.
      latency: time from its dispatch to the head of the response, or to the
        failure.
      request_number: the number that Observer.record_start returned for it.
    """

    target: str
    service: str
    workspace: str
    kind: ResultKind
    latency: datetime.timedelta
    request_number: int = 0


class Observer(Protocol):
    """Observes the starts and results of requests at targets."""

    def record_start(self, target: str, service: str) -> int:
        """Records the dispatch of a request and returns its number.

        Starts are recorded because a request that never ends is evidence, too.
        """

    def record_finish(self, sample: Sample) -> None:
        """Records the result of a request; must not block."""


def classify_status(status: int) -> ResultKind:
    """Classifies a response; 4xx statuses are not the target's failures."""
    if status in (429, 503):
        return ResultKind.SHED
    return ResultKind.ERROR if status >= 500 else ResultKind.SUCCESS
