"""Detects reused connections that have gone silent while new ones work.

Used by the dispatcher to choose between pooled and new connections.
"""

import datetime

# Long enough to show whether the fault occurs on new connections, too; short
# enough to limit the cost of connecting, about 1 ms per request.
FRESH_CONNECTIONS_DURATION = datetime.timedelta(seconds=60)


class SilentConnectionDetector:
    """Distinguishes silent connections from unresponsive targets.

    Scenario: steady requests over pooled connections. Risk: a device between
    home node and target loses their state, each request on them times out, and
    a healthy target is ejected. After the first time-out on a reused connection
    the target therefore gets new connections only, for some time, and time-outs
    on those count against it. The detection of an unresponsive target is
    thereby delayed by one result; a silent connection does not count against
    its target.
    """

    def __init__(self) -> None:
        self._fresh_until: dict[str, datetime.timedelta] = {}

    def requires_fresh(self, target: str, now: datetime.timedelta) -> bool:
        """Returns whether the target must not get pooled connections."""
        until = self._fresh_until.get(target)
        if until is None:
            return False
        if now < until:
            return True
        del self._fresh_until[target]
        return False

    def record_stall(self, target: str, now: datetime.timedelta) -> bool:
        """Records a time-out on a reused connection.

        Returns:
          Whether the time-out counts as the connection's fault. The first one
          does; while the target gets new connections only, further time-outs
          count as the target's fault.
        """
        if self.requires_fresh(target, now):
            return False
        self._fresh_until[target] = now + FRESH_CONNECTIONS_DURATION
        return True
