"""Clock interface, so that tests and benchmarks can control time.

Modules take a Clock rather than calling the time module.
"""

import datetime
import time
from typing import Protocol


class Clock(Protocol):
    """Source of wall-clock and monotonic time."""

    def now(self) -> datetime.datetime:
        """Returns the UTC wall-clock time, for time stamps of events."""

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since an arbitrary start; never decreases."""

    def time_since_boot(self) -> datetime.timedelta:
        """Like monotonic(), but includes time while the VM was suspended.

        CLOCK_BOOTTIME on Linux.
        """


class SystemClock:
    """The operating system's clock."""

    def now(self) -> datetime.datetime:
        """Returns the UTC wall-clock time."""
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since an arbitrary start."""
        # Positional arguments take half the time of keyword arguments; each
        # request reads the clock often.
        return datetime.timedelta(0, time.monotonic())

    def time_since_boot(self) -> datetime.timedelta:
        """Returns the time since the machine booted, with suspended time."""
        return datetime.timedelta(0, time.clock_gettime(time.CLOCK_BOOTTIME))


class ManualClock:
    """A clock that only advance() moves; for tests and benchmarks."""

    def __init__(self) -> None:
        self._elapsed = datetime.timedelta()
        self._start = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

    def now(self) -> datetime.datetime:
        """Returns a fixed start time plus the time advanced so far."""
        return self._start + self._elapsed

    def monotonic(self) -> datetime.timedelta:
        """Returns the time advanced so far."""
        return self._elapsed

    def time_since_boot(self) -> datetime.timedelta:
        """Returns the time advanced so far."""
        return self._elapsed

    def advance(self, by: datetime.timedelta) -> None:
        """Advances time by a non-negative duration."""
        if by < datetime.timedelta():
            raise ValueError("cannot advance the clock by a negative duration")
        self._elapsed += by
