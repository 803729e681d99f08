"""What is usual for a service now: the measure that its targets stand against.

Load: a service of which every target is slow, overloaded or failing at once.
Harm: a fixed limit would find every target sick and take out all capacity
just when it is short. A target is therefore compared with the typical one of its
peers over the same seconds: what most of them show is no target's sickness.
The typical peer stays well while fewer than four in ten are sick.
"""

import collections.abc
import dataclasses
import datetime
import statistics

from endivewind.decisions import latency
from endivewind.decisions import sequential

# Twice the usual is what a caller notices; service times of the same work
# spread less. Five times is beyond what a busy target does.
SLOW_FACTOR = 2
STALLED_FACTOR = 5
# Under a few milliseconds the machine's own scheduling makes the difference.
LEAST_SLOW = datetime.timedelta(milliseconds=10)
LEAST_STALLED = datetime.timedelta(milliseconds=100)
# Below this the median is not known well enough to call anything slow.
MIN_HISTORY = 200
# Each request moves a target's shares by one of these parts: the first sees
# a change within a few requests, the second is exact enough to measure by.
FAST_WEIGHT = 1 / 8
RECENT_WEIGHT = 1 / 64
# What a share measured on so few requests may be wrong by.
MARGIN = 1.25
# The typical peer: more than half, so that noise does not decide, and less
# than what one zone of three takes down.
TYPICAL = 0.6
# The shares of the service's history move this slowly.
HISTORY_WEIGHT = 1 / 4096
# A peer that has had no work for so long says nothing of the present.
FRESH = datetime.timedelta(seconds=5)
REFRESH = datetime.timedelta(milliseconds=50)
# Where the typical peer has gathered this share of the evidence that ejects,
# the trouble is the service's and not one target's.
SHARED_TROUBLE = 0.1
# Under this share of the service's work a signal still tells something when
# it comes once.
UNUSUAL = 0.1

_SIGNALS = len(sequential.Signal)
_TESTS = len(sequential.ALTERNATIVES)
_UNKNOWN = datetime.timedelta.max


@dataclasses.dataclass(frozen=True, slots=True)
class Sketch:
    """What a home tells of one target, for the baseline of its service.

    Attributes:
      target: the target's id.
      at: when it was heard, on the hearer's clock.
      shares: recent share of requests with each signal; the higher of the
        last few requests and the last hundred.
      evidence: of each test, as a share of what ejects.
      median: the target's usual latency.
    """

    target: str
    at: datetime.timedelta
    shares: tuple[float, ...]
    evidence: tuple[float, ...]
    median: datetime.timedelta


class Baseline:
    """The usual shares of each signal, and from where on work is slow."""

    def __init__(self) -> None:
        self._history = latency.LatencyHistory()
        self._usual = [0.0] * _SIGNALS
        self._measured = [0] * _SIGNALS
        self._expected = [0.0] * _SIGNALS
        self._typical_evidence = [0.0] * _TESTS
        self._steps = [
            sequential.step(item, 0.0) for item in sequential.ALTERNATIVES
        ]
        self._refreshed = -REFRESH
        self._slow = _UNKNOWN
        self._stalled = _UNKNOWN

    @property
    def slow(self) -> datetime.timedelta:
        """A request that takes longer shows the signal SLOW."""
        return self._slow

    @property
    def stalled(self) -> datetime.timedelta:
        """A request that takes longer shows the signal STALLED."""
        return self._stalled

    @property
    def steps(self) -> list[sequential.Step]:
        """What a request adds to each test now."""
        return self._steps

    @property
    def median(self) -> datetime.timedelta:
        """The usual latency of this node's targets."""
        return self._history.median()

    def add(
        self, latency_seen: datetime.timedelta, signals: list[bool]
    ) -> None:
        """Takes one request of a target that is not ejected."""
        self._history.add(latency_seen)
        self._measure(sequential.Signal.FAILED, signals)
        if self._slow == _UNKNOWN:
            # Nothing can be called slow yet. Errors need no such limit: a home
            # that has just started would else be blind to them for as long.
            return
        self._measure(sequential.Signal.SLOW, signals)
        self._measure(sequential.Signal.STALLED, signals)

    def _measure(self, signal: sequential.Signal, signals: list[bool]) -> None:
        self._measured[signal] += 1
        weight = max(HISTORY_WEIGHT, 1 / self._measured[signal])
        seen = signals[signal]
        self._usual[signal] += weight * (seen - self._usual[signal])

    @property
    def is_shared(self) -> bool:
        """Whether the typical target is under suspicion too, for anything.

        One trouble shows in several ways: where all are three times as slow,
        a few requests of some target stall.
        """
        return max(self._typical_evidence) >= SHARED_TROUBLE

    def is_unusual(self, signal: int) -> bool:
        """Whether a request with the signal stands out now."""
        return self._expected[signal] < UNUSUAL

    def due(self, now: datetime.timedelta) -> bool:
        """Whether it is time to look at the peers again."""
        return now - self._refreshed >= REFRESH

    def refresh(
        self, peers: collections.abc.Sequence[Sketch], now: datetime.timedelta
    ) -> None:
        """Takes what the service's targets show now."""
        self._refreshed = now
        fresh = [peer for peer in peers if now - peer.at <= FRESH]
        self._set_limits(fresh)
        # What has not shown in n requests may still come in one of n; else the
        # first long work of a service that has just started looks stalled.
        expected = [
            share + 1 / max(measured, 1)
            for share, measured in zip(self._usual, self._measured, strict=True)
        ]
        self._typical_evidence = [0.0] * _TESTS
        # One alone would be its own measure, and be excused for ever.
        if len(fresh) > 1:
            for signal in range(_SIGNALS):
                shares = [peer.shares[signal] for peer in fresh]
                expected[signal] = max(expected[signal], _typical(shares))
            self._typical_evidence = [
                _typical([peer.evidence[test] for peer in fresh])
                for test in range(_TESTS)
            ]
        self._expected = expected
        self._steps = [
            sequential.step(item, MARGIN * expected[item.signal])
            for item in sequential.ALTERNATIVES
        ]

    def _set_limits(self, fresh: list[Sketch]) -> None:
        known = [peer.median for peer in fresh if peer.median]
        if self._history.total >= MIN_HISTORY:
            known.append(self._history.median())
        if not known:
            return
        usual = statistics.median_low(known)
        self._slow = max(usual * SLOW_FACTOR, LEAST_SLOW)
        self._stalled = max(usual * STALLED_FACTOR, LEAST_STALLED)


def _typical(values: list[float]) -> float:
    return sorted(values)[int(TYPICAL * (len(values) - 1))]
