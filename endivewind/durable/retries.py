"""Exponential backoff after failed calls, and the rate limit of calls.

Everything that calls the platform's store uses these. The rate limit is a
token bucket whose rate is a node's share of a rate for the whole fleet.
"""

import datetime
import random

from endivewind.platform import messages

INITIAL_BACKOFF = datetime.timedelta(milliseconds=100)
MAX_BACKOFF = datetime.timedelta(seconds=5)
MIN_BUDGET_WAIT = datetime.timedelta(milliseconds=50)


class Backoff:
    """Exponential backoff; jitter spreads the calls of a fleet."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        """Starts again with the initial backoff, after a successful call."""
        self._failures = 0

    def next_seconds(
        self, error: messages.PlatformError | None = None
    ) -> float:
        """Returns the wait before the next call.

        If the platform has requested a wait (Retry-After), that is added to the
        backoff.
        """
        max_wait = min(
            INITIAL_BACKOFF.total_seconds() * 2**self._failures,
            MAX_BACKOFF.total_seconds(),
        )
        # Bounds the power of two. The backoff reaches its maximum after six
        # failures already.
        self._failures = min(self._failures + 1, 16)
        wait = max_wait * self._rng.uniform(0.5, 1)
        if error is not None and error.retry_after is not None:
            return error.retry_after.total_seconds() + wait
        return wait


class CallBudget:
    """Rate limiter of a node's calls, which also limits concurrent calls.

    Scenario: a whole fleet starts, or the platform returns after an outage of
    hours. Risk: each node alone makes few calls, but all together use up the
    platform's rate limits, and operators' writes fail. The rate is therefore
    a share of a rate for the whole fleet and falls as the fleet grows. A
    watch is a call in progress for as long as it waits.
    """

    # A tenth of the 2000 reads per second that the platform allows.
    FLEET_CALLS_PER_SECOND = 200.0
    MIN_CALLS_PER_SECOND = 0.2
    MAX_CALLS_PER_SECOND = 20.0
    BURST_CALLS = 20.0
    # Three waiting watches and a few other calls.
    MAX_CONCURRENT_CALLS = 8

    def __init__(self) -> None:
        self._node_count = 1
        self._capacity = self.BURST_CALLS
        self._tokens = self._capacity
        self._refilled_at: datetime.timedelta | None = None
        self._in_progress = 0

    @property
    def calls_per_second(self) -> float:
        """This node's share of the fleet's rate."""
        share = self.FLEET_CALLS_PER_SECOND / self._node_count
        return min(
            max(share, self.MIN_CALLS_PER_SECOND), self.MAX_CALLS_PER_SECOND
        )

    def set_node_count(self, nodes: int) -> None:
        """Sets the number of nodes that share the platform."""
        self._node_count = max(1, nodes)

    def set_burst(self, calls: float) -> None:
        """Sets the calls allowed at once, for commands that make many.

        The number is also the new capacity if it exceeds the present one.
        """
        self._tokens = calls
        self._capacity = max(self._capacity, calls)

    def start_or_get_wait(self, now: datetime.timedelta) -> datetime.timedelta:
        """Starts a call if the limits allow it.

        Returns:
          Zero if the call was started, else the wait before trying again.
        """
        if self._refilled_at is not None:
            added = (
                now - self._refilled_at
            ).total_seconds() * self.calls_per_second
            self._tokens = min(self._tokens + added, self._capacity)
        self._refilled_at = now
        if self._in_progress >= self.MAX_CONCURRENT_CALLS:
            return MIN_BUDGET_WAIT
        if self._tokens < 1:
            seconds = (1 - self._tokens) / self.calls_per_second
            # Zero means that the call was started, so a wait too short for a
            # timedelta must not be rounded down to it.
            return max(datetime.timedelta(seconds=seconds), MIN_BUDGET_WAIT)
        self._tokens -= 1
        self._in_progress += 1
        return datetime.timedelta()

    def end(self) -> None:
        """Ends a call."""
        self._in_progress -= 1
