"""Where a target stands between normal work, ejection and trial."""

import datetime
import enum

from endivewind.decisions import bounds

# A target that flaps must not get longer and longer holds for ever: one
# strike is forgiven for each such span of normal work.
FORGIVE = datetime.timedelta(minutes=5)


# A healed target is slow now and then as any other: so many good answers make
# up for a poor one, else one in twenty trials of a healthy target would fail.
GOOD_FOR_POOR = 4


class Status(enum.StrEnum):
    """What work a target gets."""

    NORMAL = "normal"
    EJECTED = "ejected"
    TRIAL = "trial"


class Ejection:
    """The state of one target; events in, status out.

    Load: a target that flaps every few seconds. Harm: each return costs
    failed requests until it is caught again. The hold doubles with each
    ejection of a target that had returned, so the share of time in which a flapping target gets work
    shrinks, and the strikes are forgiven with time, so that an old trouble
    doesn't keep a healed target out.
    """

    __slots__ = ("_bounds", "_good", "_poor", "_since", "_status", "_strikes")

    def __init__(self, limits: bounds.ErrorBounds) -> None:
        self._bounds = limits
        self._status = Status.NORMAL
        self._strikes = 0
        self._since = datetime.timedelta()
        self._good = 0
        self._poor = 0.0

    @property
    def status(self) -> Status:
        """What work the target gets now."""
        return self._status

    @property
    def strikes(self) -> int:
        """Ejections that are not forgiven yet."""
        return self._strikes

    def configure(self, limits: bounds.ErrorBounds) -> None:
        """Takes new bounds; a hold under way follows them."""
        self._bounds = limits

    def hold(self) -> datetime.timedelta:
        """How long the present ejection lasts before a trial."""
        doubled = self._bounds.hold * 2 ** min(self._strikes - 1, 16)
        return min(doubled, self._bounds.max_hold)

    def eject(self, now: datetime.timedelta) -> None:
        """Takes the target out.

        A trial that fails adds no strike: the target has not come back in
        between, and a long outage must not lengthen the way back.
        """
        if self._status is Status.NORMAL:
            self._strikes -= min(self._strikes, (now - self._since) // FORGIVE)
            self._strikes += 1
        self._enter(Status.EJECTED, now)

    def advance(self, now: datetime.timedelta) -> bool:
        """Starts the trial when the hold has ended; True on a change."""
        ended = now - self._since >= self.hold()
        if self._status is not Status.EJECTED or not ended:
            return False
        self._enter(Status.TRIAL, now)
        return True

    def tried(self, good: bool, now: datetime.timedelta) -> bool:
        """Takes the outcome of a request in trial; True on a change."""
        if good:
            self._good += 1
            self._poor = max(0.0, self._poor - 1 / GOOD_FOR_POOR)
            if self._good < self._bounds.trial_successes:
                return False
            self._enter(Status.NORMAL, now)
            return True
        self._good = 0
        self._poor += 1
        if self._poor < self._bounds.trial_failures:
            return False
        self.eject(now)
        return True

    def _enter(self, status: Status, now: datetime.timedelta) -> None:
        self._status = status
        self._since = now
        self._good = 0
        self._poor = 0.0
