"""Distributed rate limiting: an availability zone's share of a quota.

A workspace's quota holds for all nodes together. Each zone has an equal share
of it as a token bucket, owned by one node of the zone per workspace; zones that
need more tokens borrow them from zones that need fewer. Tokens are removed from
the lender first, so that all zones together never hold more than the quota and
its tolerance. `nodes/quotas.py` owns the buckets and does the messaging.
"""

import dataclasses
import datetime

# Shares of the quota's tolerance in a window that are added to the burst and to
# the rate. The rest covers buckets that start anew after an owner has ended.
BURST_TOLERANCE_SHARE = 0.5
RATE_TOLERANCE_SHARE = 0.35
# Tokens that a new owner starts with, as a share of the capacity: how many its
# predecessor has spent in the window is unknown.
START_SHARE = 0.1
# Share of the capacity that a zone keeps when other zones ask for tokens.
KEPT_SHARE = 0.3
# A zone whose tokens are below this share of the capacity asks other zones
# before it runs out.
LOW_WATERMARK = 0.4
# Share of a zone's rate for a node that stands in for the owner.
STANDBY_SHARE = 0.25
_MAX_WAIT = datetime.timedelta(minutes=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """The requests that a workspace may send to all nodes together.

    Attributes:
      rate: requests per second.
      burst: additional requests that may be sent at once.
    """

    rate: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The response to a node that asks for tokens.

    Attributes:
      count: number of requests that are admitted.
      retry_after: if none are, the time after which to ask again.
    """

    count: int
    retry_after: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """How far a quota may be exceeded in any window.

    Attributes:
      window: the interval in which requests are counted.
      overage: the excess, as a share of what the quota allows in the window.
      requests: the number of further requests on top of that share.
    """

    window: datetime.timedelta = datetime.timedelta(seconds=5)
    overage: float = 0.1
    requests: float = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """A zone's share of a quota: the parameters of its token bucket.

    Attributes:
      rate: tokens added per second; each admits one request.
      capacity: the most tokens that the bucket holds.
    """

    rate: float
    capacity: float

    @classmethod
    def for_zone(
        cls, rate: float, burst: float, zones: int, tolerance: Tolerance
    ) -> "Limit":
        """Returns the limit of each zone for a workspace's quota.

        Load: 84 workspaces over a hundred nodes, most of which send less than
        one request per second. Harm: with a share for each node, that share is
        a fraction of a request, and traffic far below the quota is refused.
        With a share for each of a few zones, every zone has whole requests,
        because part of the tolerance is distributed as well. No caller is
        refused for an excess that the operator tolerates, as long as no window
        can exceed the tolerance.

        Args:
          rate: the quota's requests per second.
          burst: the quota's additional requests at once.
          zones: the number of zones that share the quota.
          tolerance: how far the quota may be exceeded.
        """
        window = tolerance.window.total_seconds()
        spare = tolerance.overage * (rate * window + burst) + tolerance.requests
        capacity = burst + BURST_TOLERANCE_SHARE * spare
        tolerated_rate = rate + RATE_TOLERANCE_SHARE * spare / window
        return cls(tolerated_rate / zones, max(1.0, capacity / zones))

    def for_standby(self) -> "Limit":
        """Returns the limit of a node that stands in for the owner."""
        return Limit(self.rate * STANDBY_SHARE, self.capacity)


class TokenBucket:
    """A token bucket that lends tokens to other zones and borrows theirs."""

    def __init__(
        self, limit: Limit, held: float, now: datetime.timedelta
    ) -> None:
        self._limit = limit
        self._tokens = min(held, limit.capacity)
        self._refilled_at = now
        self._last_used = now

    @property
    def last_used(self) -> datetime.timedelta:
        """When tokens were last requested from it."""
        return self._last_used

    def configure(self, limit: Limit, now: datetime.timedelta) -> None:
        """Changes the limit from now on."""
        if limit == self._limit:
            return
        self._refill(now)
        self._limit = limit
        self._tokens = min(self._tokens, limit.capacity)

    def take(self, count: int, now: datetime.timedelta) -> int:
        """Takes up to `count` tokens and returns how many it took."""
        self._refill(now)
        self._last_used = now
        taken = min(count, int(self._tokens))
        self._tokens -= taken
        return taken

    def lend(self, count: int, now: datetime.timedelta) -> int:
        """Takes up to `count` tokens for another zone; returns how many."""
        self._refill(now)
        spare = self._tokens - KEPT_SHARE * self._limit.capacity
        lent = max(0, min(count, int(spare)))
        self._tokens -= lent
        return lent

    def borrow(self, count: int, now: datetime.timedelta) -> None:
        """Adds tokens lent by another zone, up to the capacity."""
        self._tokens += count
        self._refill(now)

    def wanted(self, now: datetime.timedelta) -> int:
        """Returns how many tokens to borrow; 0 above the low watermark."""
        self._refill(now)
        if self._tokens >= LOW_WATERMARK * self._limit.capacity:
            return 0
        return max(1, int(self._limit.capacity - self._tokens))

    def wait(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the time until it holds a whole token, a minute at most."""
        self._refill(now)
        missing = 1 - self._tokens
        if missing <= 0:
            return datetime.timedelta()
        if not self._limit.rate:
            return _MAX_WAIT
        seconds = missing / self._limit.rate
        return min(datetime.timedelta(seconds=seconds), _MAX_WAIT)

    def _refill(self, now: datetime.timedelta) -> None:
        gained = self._limit.rate * (now - self._refilled_at).total_seconds()
        self._tokens = min(
            self._tokens + max(0.0, gained), self._limit.capacity
        )
        self._refilled_at = now
