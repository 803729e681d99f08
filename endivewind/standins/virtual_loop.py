"""An asyncio event loop with virtual time.

Time advances only when no callback is ready to run. Tests and the simulated
cluster use it for deterministic runs without sleeping.
"""

import asyncio
import datetime
import selectors

from endivewind import clock as clocks


class _Selector(selectors.SelectSelector):
    """Advances the virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Polls without waiting and advances the time by the timeout."""
        if timeout:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks in a deterministic order on virtual time.

    Fuzzing needs the same result for the same seed, so the loop uses no wall
    clock. It never sleeps, so timeouts of minutes take no real time.
    """

    def __init__(self) -> None:
        self._virtual_selector = _Selector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual_selector.now

    def advance(self, by: datetime.timedelta) -> None:
        """Advances the time at once, as after a pause of the process."""
        self._virtual_selector.now += by.total_seconds()


class LoopClock(clocks.SystemClock):
    """The clock of a virtual loop."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def monotonic(self) -> datetime.timedelta:
        """Returns the virtual time since the loop's start."""
        return datetime.timedelta(seconds=self._loop.time())

    def time_since_boot(self) -> datetime.timedelta:
        """Returns the same time: a virtual loop is never suspended."""
        return self.monotonic()
