"""The clock as an interface, so that tests and benches own time."""

import datetime
import time
from typing import Protocol


class Clock(Protocol):
    """Source of time for every module that needs it."""

    def now(self) -> datetime.datetime:
        """Wall clock in UTC; for records and expiry shown to people."""

    def monotonic(self) -> datetime.timedelta:
        """Time since an arbitrary start; never goes back."""

    def awake_or_asleep(self) -> datetime.timedelta:
        """Like monotonic(), but counts time in which the VM slept as well."""


class SystemClock:
    """The machine's clock."""

    def now(self) -> datetime.datetime:
        """Wall clock in UTC."""
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self) -> datetime.timedelta:
        """Time since an arbitrary start."""
        # By position it takes half as long as by name; a request asks often.
        return datetime.timedelta(0, time.monotonic())

    def awake_or_asleep(self) -> datetime.timedelta:
        """Time since an arbitrary start, time asleep included."""
        return datetime.timedelta(0, time.clock_gettime(time.CLOCK_BOOTTIME))


class ManualClock:
    """A clock that moves only when told; for tests and benches."""

    def __init__(self) -> None:
        self._elapsed = datetime.timedelta()
        self._start = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

    def now(self) -> datetime.datetime:
        """Wall clock: a fixed start plus the time advanced."""
        return self._start + self._elapsed

    def monotonic(self) -> datetime.timedelta:
        """The time advanced so far."""
        return self._elapsed

    def awake_or_asleep(self) -> datetime.timedelta:
        """The time advanced so far."""
        return self._elapsed

    def advance(self, by: datetime.timedelta) -> None:
        """Moves time forward by a non-negative span."""
        if by < datetime.timedelta():
            raise ValueError("a clock never goes back")
        self._elapsed += by
