"""How long the responses of each route have recently taken at most.

Designed for a node that is stopped while callers still send it requests, since
their load balancers notice it a few seconds later. It has to know which of them
will be complete before it ends.
"""

import collections
import datetime

# With these, one request in 65 takes longer than the longest of them.
SAMPLES = 64
# Routes that are remembered; the ones recorded least recently are dropped.
MAX_ROUTES = 256


class ResponseDurations:
    """The durations of the last responses of each route."""

    def __init__(self) -> None:
        self._routes: collections.OrderedDict[
            str, collections.deque[datetime.timedelta]
        ] = collections.OrderedDict()

    def record(self, route: str, duration: datetime.timedelta) -> None:
        """Adds how long a request has taken from its sending to its response."""
        durations = self._routes.get(route)
        if durations is None:
            durations = collections.deque(maxlen=SAMPLES)
            self._routes[route] = durations
            if len(self._routes) > MAX_ROUTES:
                self._routes.popitem(last=False)
        self._routes.move_to_end(route)
        durations.append(duration)

    def longest(self, route: str) -> datetime.timedelta | None:
        """Returns the longest of the last durations; None without any."""
        durations = self._routes.get(route)
        return max(durations) if durations else None
