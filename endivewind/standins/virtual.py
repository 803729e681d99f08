"""An event loop whose time passes only when nothing else is left to do."""

import asyncio
import datetime
import selectors

from endivewind import clock as clocks


class _Selector(selectors.SelectSelector):
    """Waits by moving the loop's time on instead of sleeping."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Polls; time that the loop would have slept has then passed."""
        if timeout:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks in a fixed order at a time of its own.

    Fuzzing needs the same verdict from the same seed: no wall clock, no
    sleeping, and deadlines of minutes that pass in no time.
    """

    def __init__(self) -> None:
        self._waiting = _Selector()
        super().__init__(self._waiting)

    def time(self) -> float:
        """Seconds of virtual time."""
        return self._waiting.now

    def jump(self, by: datetime.timedelta) -> None:
        """Lets time pass at once, as for a process that was paused."""
        self._waiting.now += by.total_seconds()


class LoopClock(clocks.SystemClock):
    """The clock of a virtual loop."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def monotonic(self) -> datetime.timedelta:
        """Virtual time since the loop's start."""
        return datetime.timedelta(seconds=self._loop.time())

    def boot_time(self) -> datetime.timedelta:
        """The same: a virtual loop never sleeps."""
        return self.monotonic()
