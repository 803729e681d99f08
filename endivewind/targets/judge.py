"""Judges this home's targets by their real work, and tells the registry."""

import collections
import collections.abc
import datetime
import itertools
import logging

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind import logs
from endivewind.config import objects
from endivewind.decisions import ejection_settings
from endivewind.decisions import outlier_detection
from endivewind.targets import evidence
from endivewind.targets import records
from endivewind.targets import registry

log = logging.getLogger(__name__)

# How late an overdue request may be noticed; a tenth of the detection time
# that users ask for.
PERIOD = datetime.timedelta(milliseconds=100)

ProfileOf = collections.abc.Callable[[str], objects.Profile]

_BOUNDS = {
    objects.Profile.DETECTION: ejection_settings.DETECTION,
    objects.Profile.CAPACITY: ejection_settings.CAPACITY,
}
_RESULTS = {
    evidence.Kind.SUCCESS: outlier_detection.Result.GOOD,
    evidence.Kind.ERROR: outlier_detection.Result.FAILED,
    evidence.Kind.LOST: outlier_detection.Result.FAILED,
    evidence.Kind.REFUSED_CONNECTION: outlier_detection.Result.FAILED,
    evidence.Kind.TIMEOUT: outlier_detection.Result.UNFINISHED,
    evidence.Kind.CANCELLED: outlier_detection.Result.UNFINISHED,
    evidence.Kind.SHED: None,
}


_WITNESSED = {
    exchange.Reason.DEADLINE: evidence.Kind.TIMEOUT,
    exchange.Reason.TARGET_LOST: evidence.Kind.LOST,
    exchange.Reason.UNREACHABLE: evidence.Kind.REFUSED_CONNECTION,
}


def _witnessed_kind(
    result: expression.Result[exchange.Response, exchange.Refusal],
) -> evidence.Kind | None:
    """How a hand-over at another home ended; None if that says nothing."""
    if result.is_ok():
        return evidence.kind_of_status(result.ok.status)
    return _WITNESSED.get(result.error.reason)


class Judge(evidence.Observer):
    """Feeds the decisions of each service and carries out their changes."""

    def __init__(
        self,
        targets: registry.TargetRegistry,
        profile_of: ProfileOf,
        clock: clocks.Clock,
        changed: collections.abc.Callable[[], None],
    ) -> None:
        self._targets = targets
        self._profile_of = profile_of
        self._clock = clock
        self._changed = changed
        self._numbers = itertools.count(1)
        self._services: dict[str, outlier_detection.OutlierDetector] = {}
        self._causes: dict[str, str] = {}
        self._changes: dict[tuple[str, str], int] = collections.defaultdict(int)

    @property
    def causes(self) -> collections.abc.Mapping[str, str]:
        """Why a target is not in full service, by target; for operators."""
        return self._causes

    @property
    def changes(self) -> collections.abc.Mapping[tuple[str, str], int]:
        """Verdicts so far, by service and health."""
        return self._changes

    def service(self, name: str) -> outlier_detection.OutlierDetector:
        """The judge of a service; made when it is first needed."""
        known = self._services.get(name)
        if known is None:
            known = self._services[name] = outlier_detection.OutlierDetector(
                self._limits(name)
            )
        return known

    def started(self, target: str, service: str) -> int:
        """Takes the start of a hand-over."""
        number = next(self._numbers)
        now = self._clock.monotonic()
        self.service(service).record_start(target, number, now)
        return number

    def finished(self, sample: evidence.Sample) -> None:
        """Takes the end of a hand-over."""
        change = self.service(sample.service).record_finish(
            sample.target,
            sample.number,
            _RESULTS[sample.kind],
            sample.latency,
            sample.workspace,
            self._clock.monotonic(),
        )
        if change is not None:
            self._apply(change)

    def witnessed(
        self,
        record: records.TargetRecord,
        workspace: str,
        result: expression.Result[exchange.Response, exchange.Refusal],
        latency: datetime.timedelta,
    ) -> None:
        """Takes what this node saw as an entry of another home's target.

        Only services that this home judges need it, which bounds the memory.
        """
        judge = self._services.get(record.service)
        normal = record.health is records.Health.NORMAL
        kind = _witnessed_kind(result)
        if judge is None or not normal or kind is None:
            return
        verdict = _RESULTS[kind]
        if verdict is not None:
            now = self._clock.monotonic()
            judge.record_remote(record.id, verdict, latency, workspace, now)

    def advance(self) -> None:
        """Looks for overdue requests and ended holds; call it often."""
        now = self._clock.monotonic()
        held = {record.id for record in self._targets.announced()}
        for name, judge in self._services.items():
            # Here and not at each request: a profile changes seldom.
            limits = self._limits(name)
            if judge.settings is not limits:
                judge.configure(limits)
            for target in set(judge.target_ids()) - held:
                judge.forget(target)
                self._causes.pop(target, None)
            for change in judge.advance(now):
                self._apply(change)

    def _limits(self, name: str) -> ejection_settings.EjectionSettings:
        return _BOUNDS[self._profile_of(name)]

    def _apply(self, change: outlier_detection.StatusChange) -> None:
        health = records.Health(change.status.value)
        self._targets.set_health(change.target, health)
        item = self._targets.get(change.target)
        if item is not None:
            self._changes[item.record.service, health.value] += 1
        if health is records.Health.NORMAL:
            self._causes.pop(change.target, None)
        elif change.cause:
            self._causes[change.target] = change.cause
        fields = logs.fields(
            target=change.target,
            health=health.value,
            cause=change.cause,
            badness_percent=change.badness,
        )
        log.warning("target judged", extra=fields)
        self._changed()
