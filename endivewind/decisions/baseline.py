"""Baseline of a service: the signals and latencies that its targets show now.

Scenario: all targets of a service are slow, overloaded or failing at once.
Risk: a fixed limit would find every target unhealthy and eject all capacity
just when it is short. A target is therefore compared with a quantile of its
peers over the same seconds (`TYPICAL_PEER_QUANTILE`): what most of them show is
not the fault of one target. As long as fewer than four in ten peers are
unhealthy, the peer at this quantile is a healthy one.
Used by `outlier_detection`.
"""

import collections.abc
import dataclasses
import datetime
import statistics

from endivewind.decisions import latency_histogram
from endivewind.decisions import sequential_test

# Multiples of the median latency. Callers notice twice the median, and the
# latencies of similar requests vary by less. A target that is merely busy stays
# below five times the median.
SLOW_FACTOR = 2
STALLED_FACTOR = 5
# Differences of a few milliseconds are caused by the scheduler of the machine.
MIN_SLOW_LATENCY = datetime.timedelta(milliseconds=10)
MIN_STALLED_LATENCY = datetime.timedelta(milliseconds=100)
# With fewer requests the median is too uncertain to call a request slow.
MIN_HISTORY_REQUESTS = 200
# Weights of a request in the moving averages of a target's signal shares: the
# first follows a change within a few requests, the second is precise enough to
# serve as a baseline.
SHORT_TERM_WEIGHT = 1 / 8
LONG_TERM_WEIGHT = 1 / 64
# The expected share is multiplied by this, because a share that is measured
# over few requests has an error.
EXPECTED_SHARE_FACTOR = 1.25
# Above one half, so that noise does not decide. Low enough that the typical peer
# is still a healthy one if one availability zone out of three fails.
TYPICAL_PEER_QUANTILE = 0.6
# Weight of a request in the moving averages of the service's signal shares.
HISTORY_WEIGHT = 1 / 4096
# A peer without requests for longer than this tells nothing about the present.
MAX_SUMMARY_AGE = datetime.timedelta(seconds=5)
REFRESH_INTERVAL = datetime.timedelta(milliseconds=50)
# If the typical peer has accumulated this share of the ejection threshold, the
# fault is common to the service.
SHARED_FAULT_EVIDENCE = 0.1
# A signal is unusual if less than this share of the service's requests is
# expected to show it. It then tells something even if it occurs once, and so
# fails a request in trial.
MAX_UNUSUAL_SHARE = 0.1

_SIGNAL_COUNT = len(sequential_test.OutlierSignal)
_TEST_COUNT = len(sequential_test.FAULT_HYPOTHESES)
_UNKNOWN_LATENCY = datetime.timedelta.max


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSummary:
    """State of one target, as input for the baseline of its service.

    Attributes:
      target: id of the target.
      updated_at: when the state was last updated, on the receiver's clock.
      signal_shares: recent share of requests with each signal; the higher of
        the last few requests and the last hundred.
      evidence: evidence of each test, as a share of the ejection threshold.
      home_median_latency: median latency over all targets of the service at
        this target's home node; zero if unknown.
    """

    target: str
    updated_at: datetime.timedelta
    signal_shares: tuple[float, ...]
    evidence: tuple[float, ...]
    home_median_latency: datetime.timedelta


class Baseline:
    """Expected share of each signal, and latency limits, of one service."""

    def __init__(self) -> None:
        self._history = latency_histogram.LatencyHistogram()
        self._mean_shares = [0.0] * _SIGNAL_COUNT
        self._request_counts = [0] * _SIGNAL_COUNT
        self._expected_shares = [0.0] * _SIGNAL_COUNT
        self._typical_evidence = [0.0] * _TEST_COUNT
        self._steps = [
            sequential_test.evidence_step(item, 0.0)
            for item in sequential_test.FAULT_HYPOTHESES
        ]
        self._refreshed_at = -REFRESH_INTERVAL
        self._slow_latency = _UNKNOWN_LATENCY
        self._stalled_latency = _UNKNOWN_LATENCY

    @property
    def slow_latency(self) -> datetime.timedelta:
        """Latency above which a request shows the signal SLOW."""
        return self._slow_latency

    @property
    def stalled_latency(self) -> datetime.timedelta:
        """Latency above which a request shows the signal STALLED."""
        return self._stalled_latency

    @property
    def evidence_steps(self) -> list[sequential_test.EvidenceStep]:
        """Evidence that one request adds to each test."""
        return self._steps

    @property
    def median_latency(self) -> datetime.timedelta:
        """Median latency of this node's targets."""
        return self._history.median()

    def add(
        self, request_latency: datetime.timedelta, signals: list[bool]
    ) -> None:
        """Adds one request of a target that is not ejected."""
        self._history.add(request_latency)
        self._update_mean_share(sequential_test.OutlierSignal.FAILED, signals)
        if self._slow_latency == _UNKNOWN_LATENCY:
            # No request can be called slow before the latency limits are known.
            # Errors are counted above even then: a node that has just started
            # must not miss them.
            return
        self._update_mean_share(sequential_test.OutlierSignal.SLOW, signals)
        self._update_mean_share(sequential_test.OutlierSignal.STALLED, signals)

    def _update_mean_share(
        self, signal: sequential_test.OutlierSignal, signals: list[bool]
    ) -> None:
        self._request_counts[signal] += 1
        weight = max(HISTORY_WEIGHT, 1 / self._request_counts[signal])
        is_shown = signals[signal]
        self._mean_shares[signal] += weight * (
            is_shown - self._mean_shares[signal]
        )

    def is_shared_fault(self, signal: sequential_test.OutlierSignal) -> bool:
        """Returns whether the service as a whole seems to have a fault.

        That is so if the typical target has evidence in a test whose fault can
        show the given signal, too. If all targets are three times as slow, a
        few requests of some target stall; if many fail, others may be slow.
        But targets that are slow do not excuse one that fails: on a VM that
        stalls now and then all are slow at once, and a target that fails all
        requests would not be ejected.

        Args:
          signal: the signal that the target in question shows.
        """
        return any(
            evidence >= SHARED_FAULT_EVIDENCE
            for evidence, hypothesis in zip(
                self._typical_evidence,
                sequential_test.FAULT_HYPOTHESES,
                strict=True,
            )
            if _can_cause(hypothesis.signal, signal)
        )

    def is_unusual(self, signal: int) -> bool:
        """Returns whether few of the service's requests show the signal now."""
        return self._expected_shares[signal] < MAX_UNUSUAL_SHARE

    def is_refresh_due(self, now: datetime.timedelta) -> bool:
        """Returns whether `refresh` should be called again."""
        return now - self._refreshed_at >= REFRESH_INTERVAL

    def refresh(
        self,
        summaries: collections.abc.Sequence[TargetSummary],
        now: datetime.timedelta,
    ) -> None:
        """Computes the baseline from summaries of all the service's targets."""
        self._refreshed_at = now
        fresh_peers = [
            peer
            for peer in summaries
            if now - peer.updated_at <= MAX_SUMMARY_AGE
        ]
        self._update_latency_limits(fresh_peers)
        # A signal that none of n requests showed may still have a share of 1/n.
        # Otherwise the first long request of a service that has just started
        # would look stalled.
        expected = [
            share + 1 / max(request_count, 1)
            for share, request_count in zip(
                self._mean_shares, self._request_counts, strict=True
            )
        ]
        self._typical_evidence = [0.0] * _TEST_COUNT
        # A single target would be compared with itself and never be ejected.
        if len(fresh_peers) > 1:
            for signal in range(_SIGNAL_COUNT):
                shares = [peer.signal_shares[signal] for peer in fresh_peers]
                expected[signal] = max(expected[signal], _typical_value(shares))
            self._typical_evidence = [
                _typical_value([peer.evidence[test] for peer in fresh_peers])
                for test in range(_TEST_COUNT)
            ]
        self._expected_shares = expected
        self._steps = [
            sequential_test.evidence_step(
                item, EXPECTED_SHARE_FACTOR * expected[item.signal]
            )
            for item in sequential_test.FAULT_HYPOTHESES
        ]

    def _update_latency_limits(self, fresh_peers: list[TargetSummary]) -> None:
        medians = [
            peer.home_median_latency
            for peer in fresh_peers
            if peer.home_median_latency
        ]
        if self._history.weighted_count >= MIN_HISTORY_REQUESTS:
            medians.append(self._history.median())
        if not medians:
            return
        median = statistics.median_low(medians)
        self._slow_latency = max(median * SLOW_FACTOR, MIN_SLOW_LATENCY)
        self._stalled_latency = max(
            median * STALLED_FACTOR, MIN_STALLED_LATENCY
        )


def _can_cause(
    shared: sequential_test.OutlierSignal, shown: sequential_test.OutlierSignal
) -> bool:
    """Returns whether a fault with one signal can also show the other."""
    failed = sequential_test.OutlierSignal.FAILED
    return shown is not failed or shared is failed


def _typical_value(values: list[float]) -> float:
    return sorted(values)[int(TYPICAL_PEER_QUANTILE * (len(values) - 1))]
