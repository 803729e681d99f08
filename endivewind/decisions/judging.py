"""Judges the targets of one service by the outcomes of their real work.

Events in, changes out: no input or output, and time comes as an argument.
"""

import collections
import dataclasses
import datetime
import enum
import math

from endivewind.decisions import baseline
from endivewind.decisions import bounds
from endivewind.decisions import ejection
from endivewind.decisions import sequential

# A stalled request that is overdue twice as long says more, but only this
# much: the first time it was overdue has already counted.
_AGAIN = sequential.Step(hit=2.2, miss=0.0)
_MAX_OVERDUE = 4
# How long a target that was excused still counts as one in trouble.
_EXCUSED = datetime.timedelta(seconds=3)
_BY_CHANCE = 0.02
_WELL_SHARE = 0.05
_MAX_WORKSPACES = 16

_TESTS = len(sequential.ALTERNATIVES)
_SIGNALS = len(sequential.Signal)
_STALLED_TEST = _TESTS - 1


class Result(enum.Enum):
    """What the answer of a target says by itself, apart from its latency."""

    GOOD = "good"
    FAILED = "failed"
    # Ended before its answer, by the deadline or the caller: only the time
    # until then counts.
    UNFINISHED = "unfinished"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A target's new status, and what led to it.

    Attributes:
      target: the target's id.
      status: its new status.
      cause: the test that decided, for people; empty for a return.
      badness: recent share of failing or slow requests, in percent; it orders
        the targets that the floor brings back.
    """

    target: str
    status: ejection.Status
    cause: str
    badness: int


@dataclasses.dataclass(slots=True)
class _Pending:
    """A request at the target, and how often it was counted as overdue."""

    started: datetime.timedelta
    overdue: int = 0


class _Concentration:
    """Errors and requests by workspace since the evidence began."""

    __slots__ = ("_failed", "_requests", "_total", "_total_failed")

    def __init__(self) -> None:
        self._failed: collections.Counter[str] = collections.Counter()
        self._requests: collections.Counter[str] = collections.Counter()
        self._total = 0
        self._total_failed = 0

    def add(self, workspace: str, failed: bool) -> None:
        self._total += 1
        self._total_failed += failed
        known = workspace in self._requests
        if not known and len(self._requests) >= _MAX_WORKSPACES:
            return
        self._requests[workspace] += 1
        if failed:
            self._failed[workspace] += 1

    def clear(self) -> None:
        if self._total:
            self._failed.clear()
            self._requests.clear()
            self._total = self._total_failed = 0

    def one_workspace(self) -> bool:
        """Whether the target is well for all workspaces but one.

        A sick target fails each workspace's requests alike. The errors are
        laid on a workspace where it is unlikely that so many of them fell to
        it by chance, and the others have hardly any.
        """
        if not self._failed:
            return False
        blamed, count = self._failed.most_common(1)[0]
        others = self._total - self._requests[blamed]
        others_failed = self._total_failed - count
        if others_failed > _WELL_SHARE * others:
            return False
        share = self._requests[blamed] / self._total
        return _at_least(count, self._total_failed, share) < _BY_CHANCE


def _at_least(count: int, total: int, share: float) -> float:
    """Probability of so many out of the total, each with the share."""
    return math.fsum(
        math.comb(total, number)
        * share**number
        * (1 - share) ** (total - number)
        for number in range(count, total + 1)
    )


class _Target:
    """Evidence about one target."""

    __slots__ = (
        "ejection",
        "evidence",
        "excused",
        "fast",
        "median",
        "pending",
        "seen",
        "shares",
        "workspaces",
    )

    def __init__(self, limits: bounds.ErrorBounds) -> None:
        self.ejection = ejection.Ejection(limits)
        self.evidence = [0.0] * _TESTS
        self.shares = [0.0] * _SIGNALS
        self.fast = [0.0] * _SIGNALS
        self.pending: dict[int, _Pending] = {}
        self.seen = datetime.timedelta()
        self.excused = -_EXCUSED
        self.median = datetime.timedelta()
        self.workspaces = _Concentration()

    def badness(self) -> int:
        return round(100 * max(self.fast))

    def clear(self) -> None:
        """Starts anew after a change of status.

        What was sent before says nothing of the time after: a request that a
        hanging target holds from its trial must not eject it once it is well.
        """
        self.evidence = [0.0] * _TESTS
        self.workspaces.clear()
        self.pending.clear()

    def move_shares(self, signal: int, seen: bool) -> None:
        fast = self.fast
        recent = self.shares
        fast[signal] += baseline.FAST_WEIGHT * (seen - fast[signal])
        recent[signal] += baseline.RECENT_WEIGHT * (seen - recent[signal])

    def excuse(
        self, signal: sequential.Signal, now: datetime.timedelta
    ) -> None:
        """Drops the evidence of a signal that spoke against others.

        Requests that are still overdue count anew: if they stay so while the
        peers are well again, it is this target that hangs.
        """
        for index, alternative in enumerate(sequential.ALTERNATIVES):
            if alternative.signal is signal:
                self.evidence[index] = 0.0
        self.excused = now
        self.workspaces.clear()
        for pending in self.pending.values():
            pending.overdue = 0

    def sketch(
        self, name: str, threshold: float, now: datetime.timedelta
    ) -> baseline.Sketch:
        evidence = tuple(value / threshold for value in self.evidence)
        if now - self.excused < _EXCUSED:
            # Else the last of many targets in one trouble would look alone,
            # because the others' evidence has been dropped.
            evidence = (1.0,) * _TESTS
        return baseline.Sketch(
            name,
            self.seen,
            tuple(map(max, self.shares, self.fast)),
            evidence,
            self.median,
        )


class ServiceJudge:
    """Judges one service's targets at this home."""

    def __init__(self, limits: bounds.ErrorBounds) -> None:
        self._limits = limits
        self._threshold = limits.threshold
        self._baseline = baseline.Baseline()
        self._targets: dict[str, _Target] = {}
        self._peers: dict[str, baseline.Sketch] = {}
        self._elsewhere: dict[str, _Target] = {}

    @property
    def limits(self) -> bounds.ErrorBounds:
        """The error bounds in force."""
        return self._limits

    @property
    def usual(self) -> baseline.Baseline:
        """What is usual for the service."""
        return self._baseline

    def targets(self) -> list[str]:
        """The targets that this home has had work for."""
        return list(self._targets)

    def configure(self, limits: bounds.ErrorBounds) -> None:
        """Takes new error bounds; evidence and ejections stay."""
        self._limits = limits
        self._threshold = limits.threshold
        for target in self._targets.values():
            target.ejection.configure(limits)

    def status(self, target: str) -> ejection.Status:
        """What work a target gets now."""
        known = self._targets.get(target)
        return known.ejection.status if known else ejection.Status.NORMAL

    def sketches(self, now: datetime.timedelta) -> list[baseline.Sketch]:
        """What other homes should hear of this home's targets."""
        median = self._baseline.median
        for target in self._targets.values():
            target.median = median
        return [
            target.sketch(name, self._threshold, now)
            for name, target in self._targets.items()
            if target.ejection.status is ejection.Status.NORMAL
        ]

    def heard(self, sketch: baseline.Sketch) -> None:
        """Takes what another home tells of its target."""
        if sketch.target not in self._targets:
            self._peers[sketch.target] = sketch

    def forget(self, target: str) -> None:
        """Drops a target that has left."""
        self._targets.pop(target, None)
        self._peers.pop(target, None)
        self._elsewhere.pop(target, None)

    def started(
        self, target: str, number: int, now: datetime.timedelta
    ) -> None:
        """Takes the start of a request; the number is its own."""
        self._target(target).pending[number] = _Pending(now)

    def finished(
        self,
        target: str,
        number: int,
        result: Result | None,
        latency: datetime.timedelta,
        workspace: str,
        now: datetime.timedelta,
    ) -> Change | None:
        """Takes the end of a request; a result of None says nothing.

        A target that sheds load (429, 503) is such a case: it is honest about
        being full, and taking it out would load its peers the more.
        """
        item = self._target(target)
        pending = item.pending.pop(number, None)
        if result is None or pending is None:
            return None
        self._refresh(now)
        measure = self._baseline
        signals = [
            result is Result.FAILED,
            latency > measure.slow,
            latency > measure.stalled,
        ]
        if result is Result.UNFINISHED and not signals[sequential.Signal.SLOW]:
            return None
        self._fade(item, now)
        item.seen = now
        self._count(item, signals, pending.overdue, workspace)
        if item.ejection.status is ejection.Status.NORMAL:
            if result is not Result.UNFINISHED:
                measure.add(latency, signals)
            return self._verdict(target, item, now)
        return self._trial(target, item, signals, now)

    def witnessed(
        self,
        target: str,
        result: Result,
        latency: datetime.timedelta,
        workspace: str,
        now: datetime.timedelta,
    ) -> None:
        """Takes what this node, as an entry, saw of another home's target.

        It judges nothing here; it says what is usual for the service. A home
        with a single target of a service has no other peers to compare with.
        """
        if target in self._targets:
            return
        item = self._elsewhere.get(target)
        if item is None:
            item = self._elsewhere[target] = _Target(self._limits)
        measure = self._baseline
        signals = [
            result is Result.FAILED,
            latency > measure.slow,
            latency > measure.stalled,
        ]
        self._fade(item, now)
        item.seen = now
        self._count(item, signals, 0, workspace)
        # More says no more, and would take longer to wear off.
        item.evidence = [min(value, self._threshold) for value in item.evidence]

    def advance(self, now: datetime.timedelta) -> list[Change]:
        """Looks for overdue requests and for holds that have ended.

        A target that hangs ends nothing: without this its slots would be
        full and it would look idle. A request counts from the moment it is
        later than the baseline allows, once for each step.
        """
        self._refresh(now)
        changes = []
        overdue = []
        for name, item in self._targets.items():
            if item.ejection.advance(now):
                item.clear()
                changes.append(self._change(name, item, ""))
            elif self._overdue(item, now):
                overdue.append(name)
        # All targets are counted before one is judged: where all hang, the
        # first one must not look alone.
        for name in overdue:
            found = self._verdict(name, self._targets[name], now)
            if found:
                changes.append(found)
        return changes

    def _target(self, name: str) -> _Target:
        known = self._targets.get(name)
        if known is None:
            known = self._targets[name] = _Target(self._limits)
            self._peers.pop(name, None)
            self._elsewhere.pop(name, None)
        return known

    def _refresh(self, now: datetime.timedelta) -> None:
        if self._baseline.due(now):
            self._look_at_peers(now)

    def _look_at_peers(self, now: datetime.timedelta) -> None:
        own = [
            item.sketch(name, self._threshold, now)
            for name, item in self._targets.items()
            if item.ejection.status is ejection.Status.NORMAL
        ]
        elsewhere = [
            item.sketch(name, self._threshold, now)
            for name, item in self._elsewhere.items()
        ]
        peers = [*own, *elsewhere, *self._peers.values()]
        self._baseline.refresh(peers, now)

    def _count(
        self,
        item: _Target,
        signals: list[bool],
        overdue: int,
        workspace: str,
    ) -> None:
        for index, seen in enumerate(signals):
            item.move_shares(index, seen)
        item.workspaces.add(workspace, signals[sequential.Signal.FAILED])
        evidence = item.evidence
        for index, alternative in enumerate(sequential.ALTERNATIVES):
            signal = alternative.signal
            step = self._baseline.steps[index]
            if not signals[signal]:
                evidence[index] = max(0.0, evidence[index] + step.miss)
            elif signal == sequential.Signal.FAILED or overdue < signal:
                # A step of overdue has the number of its signal; what has
                # counted while the request was pending counts only once.
                evidence[index] += step.hit
        if not evidence[0]:
            item.workspaces.clear()

    def _fade(self, item: _Target, now: datetime.timedelta) -> None:
        idle = now - item.seen
        if idle < baseline.FRESH:
            return
        item.evidence = [
            sequential.faded(value, idle) for value in item.evidence
        ]

    def _overdue(self, item: _Target, now: datetime.timedelta) -> bool:
        counted = False
        slow = self._baseline.slow
        for pending in item.pending.values():
            if now - pending.started <= slow:
                break
            counted |= self._count_overdue(item, pending, now)
        return counted

    def _count_overdue(
        self, item: _Target, pending: _Pending, now: datetime.timedelta
    ) -> bool:
        age = now - pending.started
        before = pending.overdue
        while pending.overdue < _MAX_OVERDUE and age > self._limit(
            pending.overdue
        ):
            self._one_overdue(item, pending.overdue)
            pending.overdue += 1
        if pending.overdue == before:
            return False
        item.seen = now
        return True

    def _limit(self, step: int) -> datetime.timedelta:
        if step == 0:
            return self._baseline.slow
        return self._baseline.stalled * 2 ** (step - 1)

    def _one_overdue(self, item: _Target, step: int) -> None:
        if step >= sequential.Signal.STALLED:
            if self._baseline.steps[_STALLED_TEST] is not sequential.NO_STEP:
                item.evidence[_STALLED_TEST] += _AGAIN.hit
            return
        signal = sequential.Signal(step + 1)
        item.move_shares(signal, True)
        for index, alternative in enumerate(sequential.ALTERNATIVES):
            if alternative.signal is signal:
                item.evidence[index] += self._baseline.steps[index].hit

    def _verdict(
        self, name: str, item: _Target, now: datetime.timedelta
    ) -> Change | None:
        if item.ejection.status is not ejection.Status.NORMAL:
            return None
        for index, alternative in enumerate(sequential.ALTERNATIVES):
            if item.evidence[index] < self._threshold:
                continue
            if self._excused(item, index, now):
                item.excuse(alternative.signal, now)
                continue
            item.ejection.eject(now)
            item.clear()
            return self._change(name, item, alternative.name)
        return None

    def _excused(
        self, item: _Target, index: int, now: datetime.timedelta
    ) -> bool:
        """Whether the evidence speaks against others than the target.

        Load: a whole service in trouble, or one workspace that sends what
        fails everywhere. Harm: healthy targets would go out one by one, each
        leaving more of the trouble to the rest.
        """
        self._look_at_peers(now)
        if self._baseline.is_shared:
            return True
        alternative = sequential.ALTERNATIVES[index]
        if alternative.signal is not sequential.Signal.FAILED:
            return False
        return item.workspaces.one_workspace()

    def _trial(
        self,
        name: str,
        item: _Target,
        signals: list[bool],
        now: datetime.timedelta,
    ) -> Change | None:
        if item.ejection.status is not ejection.Status.TRIAL:
            return None
        # What is usual for the service now must not keep a target out.
        good = not any(
            seen and self._baseline.is_unusual(signal)
            for signal, seen in enumerate(signals)
        )
        if not item.ejection.tried(good, now):
            return None
        item.clear()
        failed = item.ejection.status is ejection.Status.EJECTED
        return self._change(name, item, "trial failed" if failed else "")

    def _change(self, name: str, item: _Target, cause: str) -> Change:
        return Change(name, item.ejection.status, cause, item.badness())
