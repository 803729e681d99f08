"""Counts of callers' requests, for metrics.

The OpenTelemetry SDK takes some 10 us to count one event; a request has
several. Here they are counted in plain dictionaries, and the SDK reads those
when it is scraped.
"""

import bisect
import collections
import collections.abc
import dataclasses
import datetime

import expression

from endivewind import clock as clocks
from endivewind import exchange

ANSWERED = "answered"
CALLER_LEFT = "caller-left"

# Upper bounds in seconds; the highest bucket has none.
LATENCY_BOUNDS = (
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

Result = expression.Result[exchange.Response, exchange.Refusal]


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """How requests ended, as one key of the counts.

    Attributes:
      service: the service; empty where no route was found.
      outcome: answered, caller-left, or the outcome of a refusal.
      reason: why it was refused; else empty.
    """

    service: str
    outcome: str
    reason: str = ""


@dataclasses.dataclass(slots=True)
class Latencies:
    """Latencies of one service: a count for each bucket, and their sum."""

    buckets: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (len(LATENCY_BOUNDS) + 1)
    )
    seconds: float = 0.0


class RequestCounts:
    """Counts requests, their latencies, placings and retries."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._in_flight = 0
        self._ended: dict[tuple[str, str, str], int] = collections.defaultdict(
            int
        )
        self._latencies: dict[str, Latencies] = {}
        self._placings: dict[str, int] = collections.defaultdict(int)
        self._retries: dict[str, int] = collections.defaultdict(int)

    @property
    def in_flight(self) -> int:
        """Requests that have started and not ended."""
        return self._in_flight

    @property
    def placings(self) -> collections.abc.Mapping[str, int]:
        """Attempts at a target, by service."""
        return self._placings

    @property
    def retries(self) -> collections.abc.Mapping[str, int]:
        """Attempts after a request's first, by service."""
        return self._retries

    @property
    def latencies(self) -> collections.abc.Mapping[str, Latencies]:
        """Latencies by service."""
        return self._latencies

    def endings(self) -> list[tuple[Ending, int]]:
        """Requests that have ended, by how."""
        return [(Ending(*key), count) for key, count in self._ended.items()]

    def started(self) -> datetime.timedelta:
        """Takes the start of a request; returns it for ended()."""
        self._in_flight += 1
        return self._clock.monotonic()

    def placed(self, service: str, attempt: int) -> None:
        """Takes an attempt at a target; the first has the number 1."""
        self._placings[service] += 1
        if attempt > 1:
            self._retries[service] += 1

    def ended(
        self,
        started: datetime.timedelta,
        service: str,
        result: Result | None,
    ) -> None:
        """Takes the end of a request; no result where the caller left."""
        self._in_flight -= 1
        self._ended[service, *_outcome(result)] += 1
        seconds = (self._clock.monotonic() - started).total_seconds()
        latencies = self._latencies.get(service)
        if latencies is None:
            latencies = self._latencies[service] = Latencies()
        latencies.buckets[bisect.bisect_left(LATENCY_BOUNDS, seconds)] += 1
        latencies.seconds += seconds


def _outcome(result: Result | None) -> tuple[str, str]:
    if result is None:
        return CALLER_LEFT, ""
    if result.is_ok():
        return ANSWERED, ""
    return result.error.outcome.value, result.error.reason.value
