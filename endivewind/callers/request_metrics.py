"""Metrics of callers' requests: counters and a latency histogram.

The listener and the gateway record events here. The OpenTelemetry SDK takes
about 10 us to count one event, and each request has several. So the events are
counted in plain dictionaries, which the SDK reads when it is scraped.
"""

import bisect
import collections
import collections.abc
import dataclasses
import datetime

import expression

from endivewind import clock as clocks
from endivewind import exchange

OUTCOME_ANSWERED = "answered"
OUTCOME_CALLER_LEFT = "caller-left"

# Upper bounds of the histogram's buckets; the last bucket is unbounded.
LATENCY_BOUNDS_SECONDS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)

ResponseResult = expression.Result[exchange.Response, exchange.Refusal]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestOutcome:
    """The labels by which completed requests are counted.

    Attributes:
      service: the service; empty if no route was found.
      outcome: "answered", "caller-left" or the outcome of a refusal.
      reason: the reason of a refusal; otherwise empty.
    """

    service: str
    outcome: str
    reason: str = ""


@dataclasses.dataclass(slots=True)
class LatencyHistogram:
    """Latency histogram of one service.

    Attributes:
      buckets: number of requests in each bucket.
      sum_seconds: sum of all latencies.
    """

    buckets: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (len(LATENCY_BOUNDS_SECONDS) + 1)
    )
    sum_seconds: float = 0.0


class RequestMetrics:
    """Counts requests, attempts and retries, and records latencies."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._in_flight = 0
        self._completed: dict[tuple[str, str, str], int] = (
            collections.defaultdict(int)
        )
        self._latencies: dict[str, LatencyHistogram] = {}
        self._attempts: dict[str, int] = collections.defaultdict(int)
        self._retries: dict[str, int] = collections.defaultdict(int)
        self._withheld_retries: dict[str, int] = collections.defaultdict(int)
        self._failed_calls: dict[tuple[str, str], int] = (
            collections.defaultdict(int)
        )
        self._inherited_calls: dict[tuple[str, str], int] = (
            collections.defaultdict(int)
        )

    @property
    def in_flight(self) -> int:
        """Number of requests that have started but not ended."""
        return self._in_flight

    @property
    def attempts(self) -> collections.abc.Mapping[str, int]:
        """Number of attempts at a target, by service."""
        return self._attempts

    @property
    def retries(self) -> collections.abc.Mapping[str, int]:
        """Number of attempts after the first of a request, by service."""
        return self._retries

    @property
    def withheld_retries(self) -> collections.abc.Mapping[str, int]:
        """Number of retries kept for more urgent requests, by service."""
        return self._withheld_retries

    @property
    def failed_calls(self) -> collections.abc.Mapping[tuple[str, str], int]:
        """Number of failed calls of the local target, by service and cause."""
        return self._failed_calls

    @property
    def inherited_calls(self) -> collections.abc.Mapping[tuple[str, str], int]:
        """Number of calls with an inherited priority, by service and basis."""
        return self._inherited_calls

    @property
    def latencies(self) -> collections.abc.Mapping[str, LatencyHistogram]:
        """Latency histograms by service."""
        return self._latencies

    def outcomes(self) -> list[tuple[RequestOutcome, int]]:
        """Returns the number of completed requests by outcome."""
        return [
            (RequestOutcome(*key), count)
            for key, count in self._completed.items()
        ]

    def record_start(self) -> datetime.timedelta:
        """Records the start of a request.

        Returns:
          The start time, to be passed to record_end().
        """
        self._in_flight += 1
        return self._clock.monotonic()

    def record_attempt(self, service: str, attempt: int) -> None:
        """Records an attempt at a target; the first has the number 1."""
        self._attempts[service] += 1
        if attempt > 1:
            self._retries[service] += 1

    def record_withheld_retry(self, service: str) -> None:
        """Records a retry that is kept for more urgent requests."""
        self._withheld_retries[service] += 1

    def record_failed_call(self, service: str, cause: str) -> None:
        """Records a failed call of the local target."""
        self._failed_calls[service, cause] += 1

    def record_inherited_call(self, service: str, basis: str) -> None:
        """Records a call that inherits the priority of a request."""
        self._inherited_calls[service, basis] += 1

    def record_end(
        self,
        started: datetime.timedelta,
        service: str,
        result: ResponseResult | None,
    ) -> None:
        """Records the end of a request.

        Args:
          started: the start time, as returned by record_start().
          service: the service; empty if no route was found.
          result: the result, or None if the caller disconnected.
        """
        self._in_flight -= 1
        self._completed[service, *_outcome(result)] += 1
        seconds = (self._clock.monotonic() - started).total_seconds()
        latencies = self._latencies.get(service)
        if latencies is None:
            latencies = self._latencies[service] = LatencyHistogram()
        latencies.buckets[
            bisect.bisect_left(LATENCY_BOUNDS_SECONDS, seconds)
        ] += 1
        latencies.sum_seconds += seconds


def _outcome(result: ResponseResult | None) -> tuple[str, str]:
    if result is None:
        return OUTCOME_CALLER_LEFT, ""
    if result.is_ok():
        return OUTCOME_ANSWERED, ""
    return result.error.outcome.value, result.error.reason.value
