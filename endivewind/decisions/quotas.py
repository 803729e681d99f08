"""Distributed rate limiting: an availability zone's share of a quota.

A workspace's quota holds for all nodes together. Each zone has an equal share
of it as a token bucket, owned by one node of the zone per workspace; zones that
need more tokens borrow them from zones that need fewer. Tokens are removed from
the lender first, so that all zones together never hold more than the quota and
its tolerance. `nodes/quotas.py` owns the buckets and does the messaging.
"""

import dataclasses
import datetime

# A quota may be exceeded by some requests per window (see `Tolerance`). The
# zones' buckets use part of this excess in advance: the first share of it is
# added to the burst and the second, over a window, to the rate (see
# `BucketLimits.for_zone`). The remaining excess covers buckets that are created
# anew after the node that owned them has stopped.
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
# Share of a zone's rate for the nodes that stand in for the owner.
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
      extra_requests: the excess in requests, on top of that share.
    """

    window: datetime.timedelta = datetime.timedelta(seconds=5)
    overage: float = 0.1
    extra_requests: float = 20


@dataclasses.dataclass(frozen=True, slots=True)
class BucketLimits:
    """Rate and capacity of a token bucket: a zone's share of a quota.

    Attributes:
      rate: tokens added per second; each admits one request.
      capacity: the most tokens that the bucket holds.
    """

    rate: float
    capacity: float

    @classmethod
    def for_zone(
        cls, rate: float, burst: float, zones: int, tolerance: Tolerance
    ) -> "BucketLimits":
        """Returns the limits of each zone's bucket for a workspace's quota.

        Scenario: many workspaces (such as 84) over a hundred nodes, most of
        which send less than one request per second. Risk: if each node had a
        share, it would be a fraction of a request, and traffic far below the
        quota would be refused. Instead the quota is divided among a few zones.
        Each zone's bucket has room for at least one whole token. Part of the
        excess that the operator tolerates is divided along with the quota, so
        that callers may use it; not all of it, so that no window exceeds the
        tolerance.

        Args:
          rate: the quota's requests per second.
          burst: the quota's additional requests at once.
          zones: the number of zones that share the quota.
          tolerance: how far the quota may be exceeded.
        """
        window = tolerance.window.total_seconds()
        spare = (
            tolerance.overage * (rate * window + burst)
            + tolerance.extra_requests
        )
        capacity = burst + BURST_TOLERANCE_SHARE * spare
        tolerated_rate = rate + RATE_TOLERANCE_SHARE * spare / window
        return cls(tolerated_rate / zones, max(1.0, capacity / zones))

    def for_standby(self, nodes: int = 1) -> "BucketLimits":
        """Returns the limits of a node that stands in for the owner.

        Args:
          nodes: the number of nodes that may do so at the same time. Without
            it, each would admit a share of the whole zone.
        """
        return BucketLimits(
            self.rate * STANDBY_SHARE / nodes,
            max(1.0, self.capacity / nodes),
        )


class TokenBucket:
    """A token bucket that lends tokens to other zones and borrows theirs."""

    def __init__(
        self, limits: BucketLimits, held: float, now: datetime.timedelta
    ) -> None:
        self._limits = limits
        self._tokens = min(held, limits.capacity)
        self._refilled_at = now
        self._last_used = now

    @property
    def last_used(self) -> datetime.timedelta:
        """When tokens were last requested from it."""
        return self._last_used

    def configure(self, limits: BucketLimits, now: datetime.timedelta) -> None:
        """Changes the limits from now on."""
        if limits == self._limits:
            return
        self._refill(now)
        self._limits = limits
        self._tokens = min(self._tokens, limits.capacity)

    def tokens(self, now: datetime.timedelta) -> float:
        """Returns the tokens that it holds."""
        self._refill(now)
        return self._tokens

    def take(self, count: int, now: datetime.timedelta) -> int:
        """Takes up to `count` tokens and returns how many it took."""
        self._refill(now)
        self._last_used = now
        taken = max(0, min(count, int(self._tokens)))
        self._tokens -= taken
        return taken

    def charge(self, count: int, now: datetime.timedelta) -> None:
        """Takes tokens that others have granted in place of the owner.

        It may owe tokens afterwards, at most its capacity.
        """
        self._refill(now)
        self._tokens = max(self._tokens - count, -self._limits.capacity)

    def lend(self, count: int, now: datetime.timedelta) -> int:
        """Takes up to `count` tokens for another zone; returns how many."""
        self._refill(now)
        spare = self._tokens - KEPT_SHARE * self._limits.capacity
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
        if self._tokens >= LOW_WATERMARK * self._limits.capacity:
            return 0
        return max(1, int(self._limits.capacity - self._tokens))

    def wait(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the time until it holds a whole token, a minute at most."""
        self._refill(now)
        missing = 1 - self._tokens
        if missing <= 0:
            return datetime.timedelta()
        if not self._limits.rate:
            return _MAX_WAIT
        seconds = missing / self._limits.rate
        return min(datetime.timedelta(seconds=seconds), _MAX_WAIT)

    def _refill(self, now: datetime.timedelta) -> None:
        gained = self._limits.rate * (now - self._refilled_at).total_seconds()
        self._tokens = min(
            self._tokens + max(0.0, gained), self._limits.capacity
        )
        self._refilled_at = now
