"""Runs outlier detection on the targets of this home node.

Feeds the results of real requests to the detector of each service and applies
the status changes to the registry, from where gossip spreads them.
"""

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

# Delay at most until an overdue request is noticed: a tenth of the detection
# time that users require.
PERIOD = datetime.timedelta(milliseconds=100)

ProfileOf = collections.abc.Callable[[str], objects.Profile]

_SETTINGS = {
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


_KINDS_BY_REASON = {
    exchange.Reason.DEADLINE: evidence.Kind.TIMEOUT,
    exchange.Reason.TARGET_LOST: evidence.Kind.LOST,
    exchange.Reason.UNREACHABLE: evidence.Kind.REFUSED_CONNECTION,
}


def _remote_kind(
    result: expression.Result[exchange.Response, exchange.Refusal],
) -> evidence.Kind | None:
    """Returns how a forwarded request ended; None if that is no evidence."""
    if result.is_ok():
        return evidence.kind_of_status(result.ok.status)
    return _KINDS_BY_REASON.get(result.error.reason)


class Judge(evidence.Observer):
    """Runs an outlier detector for each service and applies its changes."""

    def __init__(
        self,
        targets: registry.TargetRegistry,
        profile_of: ProfileOf,
        clock: clocks.Clock,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        self._targets = targets
        self._profile_of = profile_of
        self._clock = clock
        self._on_change = on_change
        self._request_numbers = itertools.count(1)
        self._detectors: dict[str, outlier_detection.OutlierDetector] = {}
        self._ejection_causes: dict[str, str] = {}
        self._status_change_counts: dict[tuple[str, str], int] = (
            collections.defaultdict(int)
        )

    @property
    def causes(self) -> collections.abc.Mapping[str, str]:
        """Causes of ejections and trials by target, for operators."""
        return self._ejection_causes

    @property
    def changes(self) -> collections.abc.Mapping[tuple[str, str], int]:
        """Number of status changes so far, by service and ejection status."""
        return self._status_change_counts

    def service(self, name: str) -> outlier_detection.OutlierDetector:
        """Returns the detector of a service, which it creates if necessary."""
        detector = self._detectors.get(name)
        if detector is None:
            detector = self._detectors[name] = (
                outlier_detection.OutlierDetector(self._settings_for(name))
            )
        return detector

    def started(self, target: str, service: str) -> int:
        """Records the dispatch of a request and returns its number."""
        number = next(self._request_numbers)
        now = self._clock.monotonic()
        self.service(service).record_start(target, number, now)
        return number

    def finished(self, sample: evidence.Sample) -> None:
        """Records the result of a request."""
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
        """Records the result of a request that this node forwarded.

        The request ran at a target of another home node and serves for
        comparison. Ignored for services without a detector at this node, which
        bounds the memory.
        """
        detector = self._detectors.get(record.service)
        is_normal = record.health is records.Health.NORMAL
        kind = _remote_kind(result)
        if detector is None or not is_normal or kind is None:
            return
        remote_result = _RESULTS[kind]
        if remote_result is not None:
            now = self._clock.monotonic()
            detector.record_remote(
                record.id, remote_result, latency, workspace, now
            )

    def advance(self) -> None:
        """Checks for overdue requests and expired ejections; call it often."""
        now = self._clock.monotonic()
        registered = {record.id for record in self._targets.announced()}
        for name, detector in self._detectors.items():
            # Checked here and not at each request, as profiles change rarely.
            settings = self._settings_for(name)
            if detector.settings is not settings:
                detector.configure(settings)
            for target in set(detector.target_ids()) - registered:
                detector.forget(target)
                self._ejection_causes.pop(target, None)
            for change in detector.advance(now):
                self._apply(change)

    def _settings_for(self, name: str) -> ejection_settings.EjectionSettings:
        return _SETTINGS[self._profile_of(name)]

    def _apply(self, change: outlier_detection.StatusChange) -> None:
        status = records.Health(change.status.value)
        self._targets.set_health(change.target, status)
        item = self._targets.get(change.target)
        if item is not None:
            self._status_change_counts[item.record.service, status.value] += 1
        if status is records.Health.NORMAL:
            self._ejection_causes.pop(change.target, None)
        elif change.cause:
            self._ejection_causes[change.target] = change.cause
        fields = logs.fields(
            target=change.target,
            health=status.value,
            cause=change.cause,
            badness_percent=change.badness,
        )
        log.warning("target judged", extra=fields)
        self._on_change()
