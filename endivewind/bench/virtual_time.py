"""Virtual time for simulations: a clock and an event queue ordered by time.

The experiments of `endivewind-bench decisions` run on it.
"""

import collections.abc
import datetime
import heapq
import itertools

Callback = collections.abc.Callable[[], None]

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class VirtualTime:
    """A clock that advances from event to event (discrete-event simulation)."""

    def __init__(self) -> None:
        self.seconds = 0.0
        # The last result of monotonic(), which an event calls many times.
        self._cached_seconds = 0.0
        self._cached_monotonic = datetime.timedelta()
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callback]] = []

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time in UTC."""
        return _START + self.monotonic()

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since the start."""
        if self._cached_seconds != self.seconds:
            self._cached_seconds = self.seconds
            self._cached_monotonic = datetime.timedelta(seconds=self.seconds)
        return self._cached_monotonic

    def time_since_boot(self) -> datetime.timedelta:
        """Returns the same time: the simulated host is never suspended."""
        return self.monotonic()

    def call_later(self, seconds: float, event: Callback) -> None:
        """Schedules a callback some seconds from now."""
        at = self.seconds + seconds
        heapq.heappush(self._events, (at, next(self._numbers), event))

    def run(self, until: float) -> None:
        """Runs the scheduled callbacks up to a time."""
        events = self._events
        while events and events[0][0] <= until:
            self.seconds, _, event = heapq.heappop(events)
            event()
        self.seconds = until
