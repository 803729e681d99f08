"""Waits between calls that failed, and the budget of calls."""

import datetime
import random

from endivewind.platform import messages

FIRST_BACKOFF = datetime.timedelta(milliseconds=100)
LAST_BACKOFF = datetime.timedelta(seconds=5)
SHORTEST_WAIT = datetime.timedelta(milliseconds=50)


class Backoff:
    """Doubles up to a limit; jitter keeps a fleet from coming at once."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        """Takes a call that succeeded."""
        self._failures = 0

    def next_seconds(
        self, error: messages.PlatformError | None = None
    ) -> float:
        """The wait before the next call, no shorter than what was asked."""
        longest = min(
            FIRST_BACKOFF.total_seconds() * 2**self._failures,
            LAST_BACKOFF.total_seconds(),
        )
        # Beyond this the power would only grow without use.
        self._failures = min(self._failures + 1, 16)
        wait = longest * self._rng.uniform(0.5, 1)
        if error is not None and error.retry_after is not None:
            return error.retry_after.total_seconds() + wait
        return wait


class CallBudget:
    """Calls that a node may make: at once, and each second.

    Load: a fleet that starts anew, or a platform that is back after hours.
    Harm: each node alone is modest, but all together take the platform's
    rates and operators' writes starve. So the rate is a share of a rate for
    the whole fleet, and it falls as the fleet grows. A waiting watch is a
    call in progress for all of its time.
    """

    # A tenth of the two thousand reads a second that the platform takes.
    FLEET_CALLS_PER_SECOND = 200.0
    LEAST_CALLS_PER_SECOND = 0.2
    MOST_CALLS_PER_SECOND = 20.0
    BURST_CALLS = 20.0
    # Three watches that wait, and a few calls beside them.
    MAX_AT_ONCE = 8

    def __init__(self) -> None:
        self._nodes = 1
        self._burst = self.BURST_CALLS
        self._left = self._burst
        self._at: datetime.timedelta | None = None
        self._running = 0

    @property
    def per_second(self) -> float:
        """This node's share of the fleet's rate."""
        share = self.FLEET_CALLS_PER_SECOND / self._nodes
        return min(
            max(share, self.LEAST_CALLS_PER_SECOND), self.MOST_CALLS_PER_SECOND
        )

    def set_nodes(self, nodes: int) -> None:
        """Takes the number of nodes that share the platform."""
        self._nodes = max(1, nodes)

    def refill(self, calls: float) -> None:
        """Allows calls beyond the burst; for commands that make many."""
        self._left = calls
        self._burst = max(self._burst, calls)

    def start(self, now: datetime.timedelta) -> datetime.timedelta:
        """Starts a call, or tells how long to wait before trying again."""
        if self._at is not None:
            gained = (now - self._at).total_seconds() * self.per_second
            self._left = min(self._left + gained, self._burst)
        self._at = now
        if self._running >= self.MAX_AT_ONCE:
            return SHORTEST_WAIT
        if self._left < 1:
            missing = (1 - self._left) / self.per_second
            # Zero means admitted: a rest too small for a timedelta must not
            # round down to that.
            return max(datetime.timedelta(seconds=missing), SHORTEST_WAIT)
        self._left -= 1
        self._running += 1
        return datetime.timedelta()

    def end(self) -> None:
        """Ends a call."""
        self._running -= 1
