"""Virtual time: a clock, and a queue of events in its order."""

import collections.abc
import datetime
import heapq
import itertools

Event = collections.abc.Callable[[], None]

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class VirtualTime:
    """A clock that jumps from event to event; seconds as floats inside."""

    def __init__(self) -> None:
        self.seconds = 0.0
        # Asked for many times within one event.
        self._span_of = 0.0
        self._span = datetime.timedelta()
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Event]] = []

    def now(self) -> datetime.datetime:
        """Wall clock in UTC."""
        return _START + self.monotonic()

    def monotonic(self) -> datetime.timedelta:
        """Time since the start."""
        if self._span_of != self.seconds:
            self._span_of = self.seconds
            self._span = datetime.timedelta(seconds=self.seconds)
        return self._span

    def boot_time(self) -> datetime.timedelta:
        """The same: nothing sleeps here."""
        return self.monotonic()

    def after(self, seconds: float, event: Event) -> None:
        """Runs an event some seconds from now."""
        at = self.seconds + seconds
        heapq.heappush(self._events, (at, next(self._numbers), event))

    def run(self, until: float) -> None:
        """Runs the events up to a time."""
        events = self._events
        while events and events[0][0] <= until:
            self.seconds, _, event = heapq.heappop(events)
            event()
        self.seconds = until
