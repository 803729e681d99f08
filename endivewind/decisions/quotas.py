"""One availability zone's share of the requests that a workspace may send.

A quota holds for all nodes together. Each zone has an equal share of it, kept
by one node of the zone for each workspace; zones that need more borrow from
those that need less. What is lent is taken from the lender first, so that
what all hold together never exceeds the quota and its tolerance.
"""

import dataclasses
import datetime

# Parts of the quota's tolerance in a window: what zones hold besides the burst,
# and what comes in besides the rate. The rest is for shares that begin anew
# where a keeper has ended.
HELD_TOLERANCE = 0.5
RATE_TOLERANCE = 0.35
# What a new keeper holds at once, as a part of a full share: what its
# predecessor has spent in the window is not known.
START_SHARE = 0.1
# The part of a full share that a zone keeps when others ask for some.
KEPT_SHARE = 0.3
# Below this part of a full share a zone asks others before it runs out.
LOW_SHARE = 0.4
# The part of a share's rate that a node has which stands in for its keeper.
DEPUTY_SHARE = 0.25
_NEVER = datetime.timedelta(minutes=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """What a workspace may send, over all nodes together.

    Attributes:
      rate: requests a second.
      burst: requests besides, at once.
    """

    rate: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """An answer to a question for some requests.

    Attributes:
      count: how many may run.
      wait: where none may, when to ask again.
    """

    count: int
    wait: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """By how much a quota may be exceeded in any window.

    Attributes:
      window: the span in which requests are counted.
      overage: as a share of what the quota allows in the window.
      requests: besides.
    """

    window: datetime.timedelta = datetime.timedelta(seconds=5)
    overage: float = 0.1
    requests: float = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """A zone's share of a quota: a rate, and what may be held unused.

    Attributes:
      rate: requests a second.
      capacity: requests that may be run at once.
    """

    rate: float
    capacity: float

    @classmethod
    def of_zone(
        cls, rate: float, burst: float, zones: int, tolerance: Tolerance
    ) -> "Limit":
        """The share that each of some zones has of a workspace's quota.

        Load: 84 workspaces over a hundred entries, most of which send less
        than a request a second. Harm: a part for each entry is a fraction of
        a request, and refuses what is far below the quota. Of a few zones
        each has whole requests, since a part of the tolerance is shared out:
        no caller is refused for what the operator tolerates, as long as no
        window can exceed it.
        """
        window = tolerance.window.total_seconds()
        spare = tolerance.overage * (rate * window + burst) + tolerance.requests
        capacity = burst + HELD_TOLERANCE * spare
        served = rate + RATE_TOLERANCE * spare / window
        return cls(served / zones, max(1.0, capacity / zones))

    def of_deputy(self) -> "Limit":
        """What a node has that stands in for the share's keeper."""
        return Limit(self.rate * DEPUTY_SHARE, self.capacity)


class Share:
    """A token bucket that can lend and borrow."""

    def __init__(
        self, limit: Limit, held: float, now: datetime.timedelta
    ) -> None:
        self._limit = limit
        self._held = min(held, limit.capacity)
        self._at = now
        self._used = now

    @property
    def used(self) -> datetime.timedelta:
        """When it was asked for something last."""
        return self._used

    def configure(self, limit: Limit, now: datetime.timedelta) -> None:
        """Takes another limit from now on."""
        if limit == self._limit:
            return
        self._refill(now)
        self._limit = limit
        self._held = min(self._held, limit.capacity)

    def take(self, count: int, now: datetime.timedelta) -> int:
        """Takes up to so many requests; returns how many."""
        self._refill(now)
        self._used = now
        found = min(count, int(self._held))
        self._held -= found
        return found

    def lend(self, count: int, now: datetime.timedelta) -> int:
        """Takes what another zone may have, up to so many."""
        self._refill(now)
        spare = self._held - KEPT_SHARE * self._limit.capacity
        found = max(0, min(count, int(spare)))
        self._held -= found
        return found

    def borrow(self, count: int, now: datetime.timedelta) -> None:
        """Adds what another zone has lent; no more is held than a share."""
        self._held += count
        self._refill(now)

    def wanted(self, now: datetime.timedelta) -> int:
        """How many to borrow so that it is full, if it is low; else 0."""
        self._refill(now)
        if self._held >= LOW_SHARE * self._limit.capacity:
            return 0
        return max(1, int(self._limit.capacity - self._held))

    def wait(self, now: datetime.timedelta) -> datetime.timedelta:
        """How long until it holds a whole request."""
        self._refill(now)
        missing = 1 - self._held
        if missing <= 0:
            return datetime.timedelta()
        if not self._limit.rate:
            return _NEVER
        seconds = missing / self._limit.rate
        return min(datetime.timedelta(seconds=seconds), _NEVER)

    def _refill(self, now: datetime.timedelta) -> None:
        gained = self._limit.rate * (now - self._at).total_seconds()
        self._held = min(self._held + max(0.0, gained), self._limit.capacity)
        self._at = now
