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

# Interval between checks, and so the maximum delay until an overdue request is
# detected. A tenth of the detection time that users require.
CHECK_INTERVAL = datetime.timedelta(milliseconds=100)

# Returns a service's profile: whether targets are ejected fast, or only on
# stronger evidence so that false alarms cost little capacity.
ProfileLookup = collections.abc.Callable[[str], objects.Profile]

_SETTINGS = {
    objects.Profile.DETECTION: ejection_settings.FAST_DETECTION_PRESET,
    objects.Profile.CAPACITY: ejection_settings.KEEP_CAPACITY_PRESET,
}
_DETECTOR_RESULTS = {
    evidence.ResultKind.SUCCESS: outlier_detection.Result.GOOD,
    evidence.ResultKind.ERROR: outlier_detection.Result.FAILED,
    evidence.ResultKind.LOST: outlier_detection.Result.FAILED,
    evidence.ResultKind.REFUSED_CONNECTION: outlier_detection.Result.FAILED,
    evidence.ResultKind.TIMEOUT: outlier_detection.Result.UNFINISHED,
    evidence.ResultKind.CANCELLED: outlier_detection.Result.UNFINISHED,
    evidence.ResultKind.SHED: None,
}


_KINDS_BY_REASON = {
    exchange.Reason.DEADLINE: evidence.ResultKind.TIMEOUT,
    exchange.Reason.TARGET_LOST: evidence.ResultKind.LOST,
    exchange.Reason.UNREACHABLE: evidence.ResultKind.REFUSED_CONNECTION,
}


def _remote_kind(
    result: expression.Result[exchange.Response, exchange.Refusal],
) -> evidence.ResultKind | None:
    """Returns how a forwarded request ended; None if that is no evidence."""
    if result.is_ok():
        return evidence.classify_status(result.ok.status)
    return _KINDS_BY_REASON.get(result.error.reason)


class OutlierMonitor(evidence.Observer):
    """Runs an outlier detector for each service and applies its changes."""

    def __init__(
        self,
        targets: registry.TargetRegistry,
        profile_of: ProfileLookup,
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
    def ejection_causes(self) -> collections.abc.Mapping[str, str]:
        """Cause of each target's current ejection or trial, for operators.

        A trial follows an ejection; during it the target gets few requests.
        """
        return self._ejection_causes

    @property
    def status_change_counts(
        self,
    ) -> collections.abc.Mapping[tuple[str, str], int]:
        """Number of status changes so far, by service and ejection status."""
        return self._status_change_counts

    def detector_for(self, name: str) -> outlier_detection.OutlierDetector:
        """Returns the detector of a service, which it creates if necessary."""
        detector = self._detectors.get(name)
        if detector is None:
            detector = self._detectors[name] = (
                outlier_detection.OutlierDetector(self._settings_for(name))
            )
        return detector

    def record_start(self, target: str, service: str) -> int:
        """Records the dispatch of a request and returns its number."""
        number = next(self._request_numbers)
        now = self._clock.monotonic()
        self.detector_for(service).record_start(target, number, now)
        return number

    def record_finish(self, sample: evidence.Sample) -> None:
        """Records the result of a request."""
        change = self.detector_for(sample.service).record_finish(
            sample.target,
            sample.request_number,
            _DETECTOR_RESULTS[sample.kind],
            sample.latency,
            sample.workspace,
            self._clock.monotonic(),
        )
        if change is not None:
            self._apply(change)
        self._log_dismissals(self.detector_for(sample.service))

    def record_remote(
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
        is_normal = record.health is records.EjectionStatus.NORMAL
        kind = _remote_kind(result)
        if detector is None or not is_normal or kind is None:
            return
        remote_result = _DETECTOR_RESULTS[kind]
        if remote_result is not None:
            now = self._clock.monotonic()
            detector.record_remote(
                record.id, remote_result, latency, workspace, now
            )

    def run_periodic_checks(self) -> None:
        """Checks for overdue requests and expired ejections; call it often."""
        now = self._clock.monotonic()
        registered = {record.id for record in self._targets.target_records()}
        for name, detector in self._detectors.items():
            # Checked here and not at each request, as profiles change rarely.
            settings = self._settings_for(name)
            if detector.settings is not settings:
                detector.configure(settings)
            for target in set(detector.target_ids()) - registered:
                detector.forget(target)
                self._ejection_causes.pop(target, None)
            for change in detector.run_periodic_checks(now):
                self._apply(change)
            self._log_dismissals(detector)

    def _log_dismissals(
        self, detector: outlier_detection.OutlierDetector
    ) -> None:
        for dismissal in detector.take_dismissals():
            fields = logs.fields(
                target=dismissal.target,
                test=dismissal.test,
                reason=dismissal.reason.value,
            )
            log.info("evidence dismissed", extra=fields)

    def _settings_for(self, name: str) -> ejection_settings.EjectionSettings:
        return _SETTINGS[self._profile_of(name)]

    def _apply(self, change: outlier_detection.StatusChange) -> None:
        status = records.EjectionStatus(change.status.value)
        self._targets.set_ejection_status(change.target, status)
        item = self._targets.get(change.target)
        if item is not None:
            self._status_change_counts[item.record.service, status.value] += 1
        if status is records.EjectionStatus.NORMAL:
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
