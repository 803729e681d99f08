"""State machine of one target: normal, ejected or in trial.

Works like a circuit breaker with a half-open state: an ejected target gets
trial requests before it returns. Used by `outlier_detection`.
"""

import datetime
import enum

from endivewind.decisions import ejection_settings

# Each such interval in normal state takes one from the count of recent
# ejections, so that the ejection time of a flapping target does not grow
# forever.
FORGIVENESS_INTERVAL = datetime.timedelta(minutes=5)


# Successes in trial that offset one failure. A recovered target is slow now and
# then like any other; without the offset one in twenty trials of a healthy
# target would fail.
SUCCESSES_TO_OFFSET_FAILURE = 4


class Status(enum.StrEnum):
    """Which requests a target gets: all, none, or trial requests only."""

    NORMAL = "normal"
    EJECTED = "ejected"
    TRIAL = "trial"


class EjectionState:
    """Ejection state of one target.

    Scenario: a target that flaps every few seconds. Risk: after each return
    requests fail until the target is detected again. The ejection time
    therefore doubles with each ejection of a target that had returned, so that
    a flapping target gets requests for a shrinking share of the time. Past
    ejections expire, so that an old fault does not keep a recovered target
    out.
    """

    __slots__ = (
        "_failures",
        "_recent_ejections",
        "_settings",
        "_status",
        "_status_since",
        "_successes",
    )

    def __init__(self, settings: ejection_settings.EjectionSettings) -> None:
        self._settings = settings
        self._status = Status.NORMAL
        self._recent_ejections = 0
        self._status_since = datetime.timedelta()
        self._successes = 0
        self._failures = 0.0

    @property
    def status(self) -> Status:
        """Current status of the target."""
        return self._status

    @property
    def recent_ejections(self) -> int:
        """Number of ejections that count towards the ejection time."""
        return self._recent_ejections

    def configure(self, settings: ejection_settings.EjectionSettings) -> None:
        """Replaces the settings; they apply to a current ejection, too."""
        self._settings = settings

    def ejection_duration(self) -> datetime.timedelta:
        """Returns how long the current ejection lasts until its trial."""
        ejection_time = self._settings.base_ejection_time * 2 ** min(
            self._recent_ejections - 1, 16
        )
        return min(ejection_time, self._settings.max_ejection_time)

    def eject(self, now: datetime.timedelta) -> None:
        """Ejects the target.

        A failed trial does not count as another ejection: the target had not
        returned in between, and a long outage must not delay its return.
        """
        if self._status is Status.NORMAL:
            self._recent_ejections -= min(
                self._recent_ejections,
                (now - self._status_since) // FORGIVENESS_INTERVAL,
            )
            self._recent_ejections += 1
        self._set_status(Status.EJECTED, now)

    def advance(self, now: datetime.timedelta) -> bool:
        """Starts the trial once the ejection time has passed.

        Returns:
          Whether the status changed.
        """
        has_expired = now - self._status_since >= self.ejection_duration()
        if self._status is not Status.EJECTED or not has_expired:
            return False
        self._set_status(Status.TRIAL, now)
        return True

    def record_trial(self, is_success: bool, now: datetime.timedelta) -> bool:
        """Records the outcome of a trial request.

        Returns:
          Whether the status changed.
        """
        if is_success:
            self._successes += 1
            self._failures = max(
                0.0, self._failures - 1 / SUCCESSES_TO_OFFSET_FAILURE
            )
            if self._successes < self._settings.trial_successes:
                return False
            self._set_status(Status.NORMAL, now)
            return True
        self._successes = 0
        self._failures += 1
        if self._failures < self._settings.trial_failures:
            return False
        self.eject(now)
        return True

    def _set_status(self, status: Status, now: datetime.timedelta) -> None:
        self._status = status
        self._status_since = now
        self._successes = 0
        self._failures = 0.0
