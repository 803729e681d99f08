"""Outlier detection for the targets of one service.

Passive health checking: runs sequential tests (see `sequential_test`) on the
outcomes of real requests and ejects targets that are unhealthy in comparison
with their peers. Called by the node that the targets are connected to (their
home node). Does no I/O; the time is passed as an argument.
"""

import collections
import dataclasses
import datetime
import enum
import math

from endivewind.decisions import baseline
from endivewind.decisions import ejection
from endivewind.decisions import ejection_settings
from endivewind.decisions import sequential_test

# Evidence added each time the age of a stalled request has doubled. The value
# is small because the request has already been counted once as stalled.
_REPEATED_OVERDUE_STEP = sequential_test.EvidenceStep(
    with_signal=2.2, without_signal=0.0
)
# Latency limits for which a pending request is counted: those of slow and of
# stalled requests, and twice and four times the latter.
_MAX_OVERDUE_LIMITS = 4
# Evidence against a target is dismissed if it has another cause, such as a
# fault of the whole service. The baseline takes a target for unhealthy until
# this long after the dismissal. Otherwise the last of many targets with a
# common fault would look like an outlier, because the evidence against the
# others has been discarded.
_DISMISSAL_DURATION = datetime.timedelta(seconds=3)
# Failures at a target are attributed to one workspace if the p-value of a
# binomial test is below the first limit, and if the other workspaces' requests
# fail at most in the second share. The p-value is the probability that the
# workspace has so many of the failures by chance.
_MAX_P_VALUE = 0.02
_MAX_OTHERS_FAILURE_SHARE = 0.05
_MAX_TRACKED_WORKSPACES = 16

_TEST_COUNT = len(sequential_test.FAULT_HYPOTHESES)
_SIGNAL_COUNT = len(sequential_test.OutlierSignal)
_STALLED_TEST_INDEX = _TEST_COUNT - 1


class Result(enum.Enum):
    """Result of a request at a target, regardless of its latency."""

    GOOD = "good"
    FAILED = "failed"
    # Ended by the deadline or the caller before a response arrived; only the
    # elapsed time is evaluated.
    UNFINISHED = "unfinished"


@dataclasses.dataclass(frozen=True, slots=True)
class StatusChange:
    """A change of a target's ejection status.

    Attributes:
      target: id of the target.
      status: the new status.
      cause: name of the test that led to the change, for operators; empty if
        the target starts its trial or returns to normal.
      badness: recent share of failed or slow requests, in percent; the
        capacity floor keeps the targets with the lowest value.
    """

    target: str
    status: ejection.Status
    cause: str
    badness: int


class DismissalReason(enum.StrEnum):
    """Why evidence against a target is dismissed."""

    SHARED_FAULT = "the service has a fault"
    SINGLE_WORKSPACE = "only one workspace's requests fail"


@dataclasses.dataclass(frozen=True, slots=True)
class Dismissal:
    """Evidence that would have ejected a target, but has another cause.

    Attributes:
      target: id of the target.
      test: name of the test that had reached its threshold.
      reason: why the evidence was dismissed.
    """

    target: str
    test: str
    reason: DismissalReason


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    """A request that the target has not finished.

    Attributes:
      started_at: when the request was forwarded.
      exceeded_limits: number of latency limits whose excess was counted; the
        limits are in the order of OutlierSignal, see `_overdue_limit`.
    """

    started_at: datetime.timedelta
    exceeded_limits: int = 0


class _WorkspaceFailures:
    """A target's requests and failures by workspace.

    Counted since the evidence of failures was last zero.
    """

    __slots__ = (
        "_failure_count",
        "_failures_by_workspace",
        "_request_count",
        "_requests_by_workspace",
    )

    def __init__(self) -> None:
        self._failures_by_workspace: collections.Counter[str] = (
            collections.Counter()
        )
        self._requests_by_workspace: collections.Counter[str] = (
            collections.Counter()
        )
        self._request_count = 0
        self._failure_count = 0

    def add(self, workspace: str, is_failure: bool) -> None:
        self._request_count += 1
        self._failure_count += is_failure
        is_known = workspace in self._requests_by_workspace
        if (
            not is_known
            and len(self._requests_by_workspace) >= _MAX_TRACKED_WORKSPACES
        ):
            return
        self._requests_by_workspace[workspace] += 1
        if is_failure:
            self._failures_by_workspace[workspace] += 1

    def clear(self) -> None:
        if self._request_count:
            self._failures_by_workspace.clear()
            self._requests_by_workspace.clear()
            self._request_count = self._failure_count = 0

    def is_single_workspace_fault(self) -> bool:
        """Returns whether only one workspace's requests fail at the target.

        An unhealthy target fails the requests of all workspaces alike. The
        failures are attributed to a workspace if it is unlikely that it got so
        many of them by chance, and the others have hardly any.
        """
        if not self._failures_by_workspace:
            return False
        suspect, count = self._failures_by_workspace.most_common(1)[0]
        other_requests = (
            self._request_count - self._requests_by_workspace[suspect]
        )
        other_failures = self._failure_count - count
        if other_failures > _MAX_OTHERS_FAILURE_SHARE * other_requests:
            return False
        share = self._requests_by_workspace[suspect] / self._request_count
        return _binomial_tail(count, self._failure_count, share) < _MAX_P_VALUE


def _binomial_tail(count: int, total: int, share: float) -> float:
    """Returns the probability of at least `count` hits (binomial tail)."""
    return math.fsum(
        math.comb(total, number)
        * share**number
        * (1 - share) ** (total - number)
        for number in range(count, total + 1)
    )


class _TargetState:
    """Evidence and ejection state of one target."""

    __slots__ = (
        "dismissed_at",
        "ejection",
        "evidence",
        "short_term_shares",
        "last_seen",
        "home_median_latency",
        "pending",
        "long_term_shares",
        "workspace_failures",
    )

    def __init__(self, settings: ejection_settings.EjectionSettings) -> None:
        self.ejection = ejection.EjectionState(settings)
        self.evidence = [0.0] * _TEST_COUNT
        self.long_term_shares = [0.0] * _SIGNAL_COUNT
        self.short_term_shares = [0.0] * _SIGNAL_COUNT
        self.pending: dict[int, _PendingRequest] = {}
        self.last_seen = datetime.timedelta()
        self.dismissed_at = -_DISMISSAL_DURATION
        self.home_median_latency = datetime.timedelta()
        self.workspace_failures = _WorkspaceFailures()

    def badness(self) -> int:
        return round(100 * max(self.short_term_shares))

    def clear(self) -> None:
        """Discards evidence and pending requests after a change of status.

        Requests from before the change say nothing about the time after it: a
        request that has been pending since the trial of a hanging target must
        not eject the target once it has recovered.
        """
        self.evidence = [0.0] * _TEST_COUNT
        self.workspace_failures.clear()
        self.pending.clear()

    def update_shares(self, signal: int, is_shown: bool) -> None:
        short_term = self.short_term_shares
        long_term = self.long_term_shares
        short_term[signal] += baseline.SHORT_TERM_WEIGHT * (
            is_shown - short_term[signal]
        )
        long_term[signal] += baseline.LONG_TERM_WEIGHT * (
            is_shown - long_term[signal]
        )

    def dismiss_evidence(
        self, signal: sequential_test.OutlierSignal, now: datetime.timedelta
    ) -> None:
        """Discards a signal's evidence that is not the target's fault.

        Requests that are still overdue are counted again: if they stay overdue
        after the peers have recovered, this target is the one that hangs.
        """
        for index, hypothesis in enumerate(sequential_test.FAULT_HYPOTHESES):
            if hypothesis.signal is signal:
                self.evidence[index] = 0.0
        self.dismissed_at = now
        self.workspace_failures.clear()
        for pending in self.pending.values():
            pending.exceeded_limits = 0

    def summarize(
        self, target: str, threshold: float, now: datetime.timedelta
    ) -> baseline.TargetSummary:
        evidence = tuple(value / threshold for value in self.evidence)
        if now - self.dismissed_at < _DISMISSAL_DURATION:
            # The target counts as unhealthy, see `_DISMISSAL_DURATION`.
            evidence = (1.0,) * _TEST_COUNT
        return baseline.TargetSummary(
            target,
            self.last_seen,
            tuple(map(max, self.long_term_shares, self.short_term_shares)),
            evidence,
            self.home_median_latency,
        )


class OutlierDetector:
    """Detects outliers among the targets of one service at their home node."""

    def __init__(self, settings: ejection_settings.EjectionSettings) -> None:
        self._settings = settings
        self._threshold = settings.threshold
        self._baseline = baseline.Baseline()
        self._targets: dict[str, _TargetState] = {}
        self._peer_summaries: dict[str, baseline.TargetSummary] = {}
        self._remote_targets: dict[str, _TargetState] = {}
        self._dismissals: list[Dismissal] = []

    @property
    def settings(self) -> ejection_settings.EjectionSettings:
        """Settings in effect."""
        return self._settings

    @property
    def service_baseline(self) -> baseline.Baseline:
        """Baseline of the service."""
        return self._baseline

    def target_ids(self) -> list[str]:
        """Returns the ids of the targets to which this node sent requests."""
        return list(self._targets)

    def configure(self, settings: ejection_settings.EjectionSettings) -> None:
        """Replaces the settings; keeps evidence and ejections."""
        self._settings = settings
        self._threshold = settings.threshold
        for state in self._targets.values():
            state.ejection.configure(settings)

    def take_dismissals(self) -> list[Dismissal]:
        """Returns and clears the dismissals since the last call, in order."""
        dismissals, self._dismissals = self._dismissals, []
        return dismissals

    def status(self, target: str) -> ejection.Status:
        """Returns the ejection status of a target."""
        state = self._targets.get(target)
        return state.ejection.status if state else ejection.Status.NORMAL

    def target_summaries(
        self, now: datetime.timedelta
    ) -> list[baseline.TargetSummary]:
        """Returns summaries of this node's normal targets for other nodes."""
        median = self._baseline.median_latency
        for state in self._targets.values():
            state.home_median_latency = median
        return [
            state.summarize(target, self._threshold, now)
            for target, state in self._targets.items()
            if state.ejection.status is ejection.Status.NORMAL
        ]

    def record_peer_summary(self, summary: baseline.TargetSummary) -> None:
        """Stores another home node's summary of one of its targets."""
        if summary.target not in self._targets:
            self._peer_summaries[summary.target] = summary

    def forget(self, target: str) -> None:
        """Removes a target that has departed."""
        self._targets.pop(target, None)
        self._peer_summaries.pop(target, None)
        self._remote_targets.pop(target, None)

    def record_start(
        self, target: str, number: int, now: datetime.timedelta
    ) -> None:
        """Records the start of a request.

        Args:
          target: id of the target.
          number: unique number of the request.
          now: current time.
        """
        self._get_or_add_target(target).pending[number] = _PendingRequest(now)

    def record_finish(
        self,
        target: str,
        number: int,
        result: Result | None,
        latency: datetime.timedelta,
        workspace: str,
        now: datetime.timedelta,
    ) -> StatusChange | None:
        """Records the end of a request and evaluates its target.

        Args:
          target: id of the target.
          number: number of the request, as passed to `record_start`.
          result: result of the request. None is not evaluated: a target that
            sheds load (429, 503) reports correctly that it is full, and
            ejecting it would put more load on its peers.
          latency: time from the start of the request to its end.
          workspace: workspace of the caller.
          now: current time.

        Returns:
          The change of the target's status, if any.
        """
        state = self._get_or_add_target(target)
        pending = state.pending.pop(number, None)
        if result is None or pending is None:
            return None
        self._refresh_if_due(now)
        service_baseline = self._baseline
        signals = [
            result is Result.FAILED,
            latency > service_baseline.slow_latency,
            latency > service_baseline.stalled_latency,
        ]
        if (
            result is Result.UNFINISHED
            and not signals[sequential_test.OutlierSignal.SLOW]
        ):
            return None
        self._decay_evidence(state, now)
        state.last_seen = now
        self._add_evidence(state, signals, pending.exceeded_limits, workspace)
        if state.ejection.status is ejection.Status.NORMAL:
            if result is not Result.UNFINISHED:
                service_baseline.add(latency, signals)
            return self._evaluate(target, state, now)
        return self._record_trial(target, state, signals, now)

    def record_remote(
        self,
        target: str,
        result: Result,
        latency: datetime.timedelta,
        workspace: str,
        now: datetime.timedelta,
    ) -> None:
        """Records a request that this node sent to another home node.

        As an entry node it also gets the results of other homes' targets. They
        only contribute to the baseline of the service; those targets are
        evaluated at their own homes. Without these results a node that is home
        of a single target of the service would have no peers to compare it
        with.
        """
        if target in self._targets:
            return
        state = self._remote_targets.get(target)
        if state is None:
            state = self._remote_targets[target] = _TargetState(self._settings)
        service_baseline = self._baseline
        signals = [
            result is Result.FAILED,
            latency > service_baseline.slow_latency,
            latency > service_baseline.stalled_latency,
        ]
        self._decay_evidence(state, now)
        state.last_seen = now
        self._add_evidence(state, signals, 0, workspace)
        # Evidence above the threshold makes no difference to the comparison,
        # but would take longer to decay below it.
        state.evidence = [
            min(value, self._threshold) for value in state.evidence
        ]

    def run_periodic_checks(
        self, now: datetime.timedelta
    ) -> list[StatusChange]:
        """Checks for overdue requests and for ejections that have ended.

        A target that hangs finishes no requests, so without this check it would
        look idle although all its slots are taken.
        A pending request is counted once for each latency limit that it
        exceeds.

        Returns:
          The changes of status.
        """
        self._refresh_if_due(now)
        changes = []
        overdue_targets = []
        for target, state in self._targets.items():
            if state.ejection.advance(now):
                state.clear()
                changes.append(self._status_change(target, state, ""))
            elif self._check_overdue(state, now):
                overdue_targets.append(target)
        # Overdue requests of all targets are counted before any target is
        # evaluated: if all hang, the first must not look like an outlier.
        for target in overdue_targets:
            change = self._evaluate(target, self._targets[target], now)
            if change:
                changes.append(change)
        return changes

    def _get_or_add_target(self, target: str) -> _TargetState:
        state = self._targets.get(target)
        if state is None:
            state = self._targets[target] = _TargetState(self._settings)
            self._peer_summaries.pop(target, None)
            self._remote_targets.pop(target, None)
        return state

    def _refresh_if_due(self, now: datetime.timedelta) -> None:
        if self._baseline.is_refresh_due(now):
            self._refresh_baseline(now)

    def _refresh_baseline(self, now: datetime.timedelta) -> None:
        own = [
            state.summarize(target, self._threshold, now)
            for target, state in self._targets.items()
            if state.ejection.status is ejection.Status.NORMAL
        ]
        remote = [
            state.summarize(target, self._threshold, now)
            for target, state in self._remote_targets.items()
        ]
        peers = [*own, *remote, *self._peer_summaries.values()]
        self._baseline.refresh(peers, now)

    def _add_evidence(
        self,
        state: _TargetState,
        signals: list[bool],
        exceeded_limits: int,
        workspace: str,
    ) -> None:
        for index, is_shown in enumerate(signals):
            state.update_shares(index, is_shown)
        state.workspace_failures.add(
            workspace, signals[sequential_test.OutlierSignal.FAILED]
        )
        evidence = state.evidence
        for index, hypothesis in enumerate(sequential_test.FAULT_HYPOTHESES):
            signal = hypothesis.signal
            step = self._baseline.evidence_steps[index]
            if not signals[signal]:
                evidence[index] = max(
                    0.0, evidence[index] + step.without_signal
                )
            elif (
                signal == sequential_test.OutlierSignal.FAILED
                or exceeded_limits < signal
            ):
                # The limit of SLOW (1) is the first that a pending request
                # exceeds and that of STALLED (2) the second. So a request that
                # exceeded at least as many limits as the signal's value was
                # counted with this signal while it was pending.
                evidence[index] += step.with_signal
        if not evidence[0]:
            state.workspace_failures.clear()

    def _decay_evidence(
        self, state: _TargetState, now: datetime.timedelta
    ) -> None:
        idle = now - state.last_seen
        if idle < baseline.MAX_SUMMARY_AGE:
            return
        state.evidence = [
            sequential_test.decay_evidence(value, idle)
            for value in state.evidence
        ]

    def _check_overdue(
        self, state: _TargetState, now: datetime.timedelta
    ) -> bool:
        has_counted = False
        slow = self._baseline.slow_latency
        for pending in state.pending.values():
            if now - pending.started_at <= slow:
                break
            has_counted |= self._count_exceeded_limits(state, pending, now)
        return has_counted

    def _count_exceeded_limits(
        self,
        state: _TargetState,
        pending: _PendingRequest,
        now: datetime.timedelta,
    ) -> bool:
        age = now - pending.started_at
        before = pending.exceeded_limits
        while (
            pending.exceeded_limits < _MAX_OVERDUE_LIMITS
            and age > self._overdue_limit(pending.exceeded_limits)
        ):
            self._add_overdue_evidence(state, pending.exceeded_limits)
            pending.exceeded_limits += 1
        if pending.exceeded_limits == before:
            return False
        state.last_seen = now
        return True

    def _overdue_limit(self, limit_index: int) -> datetime.timedelta:
        if limit_index == 0:
            return self._baseline.slow_latency
        return self._baseline.stalled_latency * 2 ** (limit_index - 1)

    def _add_overdue_evidence(
        self, state: _TargetState, limit_index: int
    ) -> None:
        if limit_index >= sequential_test.OutlierSignal.STALLED:
            if (
                self._baseline.evidence_steps[_STALLED_TEST_INDEX]
                is not sequential_test.NO_STEP
            ):
                state.evidence[_STALLED_TEST_INDEX] += (
                    _REPEATED_OVERDUE_STEP.with_signal
                )
            return
        signal = sequential_test.OutlierSignal(limit_index + 1)
        state.update_shares(signal, True)
        for index, hypothesis in enumerate(sequential_test.FAULT_HYPOTHESES):
            if hypothesis.signal is signal:
                state.evidence[index] += self._baseline.evidence_steps[
                    index
                ].with_signal

    def _evaluate(
        self, target: str, state: _TargetState, now: datetime.timedelta
    ) -> StatusChange | None:
        if state.ejection.status is not ejection.Status.NORMAL:
            return None
        for index, hypothesis in enumerate(sequential_test.FAULT_HYPOTHESES):
            if state.evidence[index] < self._threshold:
                continue
            reason = self._dismissal_reason(state, index, now)
            if reason is not None:
                state.dismiss_evidence(hypothesis.signal, now)
                self._dismissals.append(
                    Dismissal(target, hypothesis.name, reason)
                )
                continue
            state.ejection.eject(now)
            state.clear()
            return self._status_change(target, state, hypothesis.name)
        return None

    def _dismissal_reason(
        self, state: _TargetState, index: int, now: datetime.timedelta
    ) -> DismissalReason | None:
        """Returns why something other than the target is the cause, if so.

        Scenario: a fault of the whole service, or one workspace whose requests
        fail at every target. Risk: healthy targets would be ejected one by
        one, each leaving more of the load to the rest.
        """
        self._refresh_baseline(now)
        hypothesis = sequential_test.FAULT_HYPOTHESES[index]
        if self._baseline.is_shared_fault(hypothesis.signal):
            return DismissalReason.SHARED_FAULT
        if hypothesis.signal is not sequential_test.OutlierSignal.FAILED:
            return None
        if state.workspace_failures.is_single_workspace_fault():
            return DismissalReason.SINGLE_WORKSPACE
        return None

    def _record_trial(
        self,
        target: str,
        state: _TargetState,
        signals: list[bool],
        now: datetime.timedelta,
    ) -> StatusChange | None:
        if state.ejection.status is not ejection.Status.TRIAL:
            return None
        # Signals that are common in the service now must not keep a target
        # ejected.
        is_success = not any(
            is_shown and self._baseline.is_unusual(signal)
            for signal, is_shown in enumerate(signals)
        )
        if not state.ejection.record_trial(is_success, now):
            return None
        state.clear()
        has_failed = state.ejection.status is ejection.Status.EJECTED
        return self._status_change(
            target, state, "trial failed" if has_failed else ""
        )

    def _status_change(
        self, target: str, state: _TargetState, cause: str
    ) -> StatusChange:
        return StatusChange(
            target, state.ejection.status, cause, state.badness()
        )
