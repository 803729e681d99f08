"""Shares of a link's bytes: what an owner grants and what a node may send.

A pair of regions has one owner for each direction, which grants bytes to nodes
on request. Nodes ask ahead of need and spend what they were granted.
`nodes/link_shares.py` does the messaging, `callers/link_traffic.py` charges
requests.
"""

import collections
import dataclasses
import datetime
import math

from endivewind.decisions import quotas

# The interval in which the bytes of a link are counted.
WINDOW = datetime.timedelta(seconds=5)
# Minimum time for which a grant may be spent. Bytes granted before a window may
# be spent in it, so a longer time lowers the rate that can be granted.
MIN_LIFETIME = datetime.timedelta(milliseconds=500)
# Where few enough nodes ask, a grant lasts until the next ask, with time for the
# query. It lasts no longer than MAX_LIFETIME: most grants are for requests that
# wait, and are spent at once.
LIFETIME_PER_WAIT = 1.5
MAX_LIFETIME = datetime.timedelta(seconds=1)
# Parts of a window's bytes, in seconds of the link's rate, that the granted
# rate leaves for: what a new owner starts with, the owner's burst, the standing
# shares of all nodes, control traffic, and responses larger than expected.
START_SECONDS = 0.1
BURST_SECONDS = 0.2
STANDING_SECONDS = 0.2
CONTROL_SECONDS = 0.1
MARGIN_SECONDS = 0.15
_RESERVED_SECONDS = (
    START_SECONDS
    + BURST_SECONDS
    + STANDING_SECONDS
    + CONTROL_SECONDS
    + MARGIN_SECONDS
)
# An ask that can't be granted within this time is refused. With 100 ms, nodes
# with waiting requests were not in the queue for most of the time when many of
# them asked, and a third of the granted bytes expired.
MAX_HOLD = datetime.timedelta(milliseconds=250)
# Asks per second above which an owner tells nodes to ask less often. An ask and
# its grant have 88 bytes, and an owner may cost 10 KB/s. Nodes with a more
# urgent request than before ask at once, which adds a third.
MAX_ASKS_PER_SECOND = 80
MIN_WAIT = datetime.timedelta(milliseconds=50)
# The wait with 760 active nodes. Unused bytes move to others sooner, as some of
# them ask at any time.
MAX_WAIT = datetime.timedelta(milliseconds=9_500)
# Time in which a new owner assumes that nodes which have not asked it still use
# equal parts or another owner: membership spreads in about a second, and node
# lists are cached for half a second.
TAKEOVER_TIME = datetime.timedelta(seconds=2)
# Silence after which a node that has used the link counts as unable to reach
# its owner: it has failed to ask at least once.
SILENCE_LIMIT = datetime.timedelta(milliseconds=700)
# How often silent nodes are counted: that takes time for each active node.
COUNT_INTERVAL = datetime.timedelta(milliseconds=100)
# Time after which a silent node is no longer counted.
FORGET_TIME = datetime.timedelta(seconds=60)
# Time without traffic after which a node tells the owner that it is idle.
IDLE_TIME = datetime.timedelta(seconds=1)
# A waiting request is tried at least this often while it waits.
WAITING_TIME = datetime.timedelta(milliseconds=150)
# Time of its usual traffic for which a node asks ahead.
AHEAD_SECONDS = 0.25
# Time constant of the moving average of a node's traffic.
_RATE_SECONDS = 0.5
# Time constant of that of the requests that had to wait.
_DEMAND_SECONDS = 2.0
# Urgency of asks for requests that may come: below that of any request.
PREPARING = -(2**31)
# Part of its burst that an owner keeps when it grants such an ask.
KEPT_SHARE = 0.5
# Time after an ask had to wait in which no such ask is granted.
SCARCE_TIME = datetime.timedelta(seconds=1)
# The largest part of the owner's burst that one ask may contain.
MAX_ASK_SHARE = 0.9
# The most that a node keeps of its equal part, in seconds of it. More lets larger
# requests through while the owner can't be reached, at a lower rate: nodes that
# have all kept as much may spend it in the same window.
EQUAL_KEPT_SECONDS = 1.5
# The largest part of `max_ask` in which several requests are asked for at once:
# bytes that come together and are not needed any more expire together.
MAX_BATCH_SHARE = 0.33
# Bytes that headers and framing add in each direction.
HEADER_BYTES = 500
_SECOND = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Pair:
    """One direction between two regions."""

    sender: str
    receiver: str


@dataclasses.dataclass(slots=True, eq=False)
class Traffic:
    """What one request sends over links.

    Attributes:
      route: the key under which its response size is learned.
      urgency: its queue priority; higher values go first.
      request_bytes: the size of its body.
      response_bytes: the expected size of its response.
    """

    route: str
    urgency: int
    request_bytes: int
    response_bytes: int


@dataclasses.dataclass(slots=True, eq=False)
class Ask:
    """A node's ask for bytes, as its owner sees it.

    Attributes:
      node: the node that asks.
      size: the bytes that it needs; 0 if it has become idle.
      urgency: the queue priority of its most urgent request.
    """

    node: str
    size: int
    urgency: int


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The response to an ask.

    Attributes:
      size: the granted bytes; 0 if there are none.
      wait: the time after which the node may ask again.
    """

    size: int
    wait: datetime.timedelta

    @property
    def lifetime(self) -> datetime.timedelta:
        """How long the bytes may be spent, from when the node asked."""
        lifetime = min(LIFETIME_PER_WAIT * self.wait, MAX_LIFETIME)
        return max(lifetime, MIN_LIFETIME)


def granted_rate(
    bytes_per_second: float, lifetime: datetime.timedelta
) -> float:
    """Returns the rate that keeps every window within the link's bytes.

    The bytes spent in a window were granted in it or within the lifetime of a
    grant before it, so they are at most those of the window and the lifetime,
    plus what is reserved.
    """
    window = WINDOW.total_seconds()
    seconds = window - _RESERVED_SECONDS
    return bytes_per_second * seconds / (window + lifetime.total_seconds())


class ShareOwner:
    """Grants the bytes of one pair of regions.

    Scenario: the targets of one region are full or gone, and a hundred entry
    nodes send their requests to the other one. Risk: with a fixed part of the
    link for each node, either the link is overloaded or most of it stays unused
    while a few nodes need it. Asks wait here for up to MAX_HOLD; the most urgent
    one is granted first, whole: parts of a large response would expire at nodes
    that never get the remainder.
    """

    def __init__(
        self,
        bytes_per_second: float,
        nodes: int,
        owned_since: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Starts with little, as a predecessor may just have granted the rest.

        Args:
          bytes_per_second: the bytes of the link.
          nodes: the number of nodes that may use the link.
          owned_since: when nodes could first ask this owner.
          now: the current time.
        """
        self._link_rate = bytes_per_second
        self._nodes = max(1, nodes)
        self._owned_since = owned_since
        self._asks: list[Ask] = []
        self._last_asks: dict[str, datetime.timedelta] = {}
        self._idle: set[str] = set()
        self._scarce_until = now
        self._silent = 0
        self._counted_at = now - COUNT_INTERVAL
        self.granted_bytes = 0
        self._bucket = quotas.TokenBucket(
            self._limits(now), START_SECONDS * bytes_per_second, now
        )

    @property
    def owned_since(self) -> datetime.timedelta:
        """When nodes could first ask this owner."""
        return self._owned_since

    @property
    def waiting_count(self) -> int:
        """Number of asks that wait."""
        return len(self._asks)

    @property
    def max_ask(self) -> int:
        """The most bytes that one ask is granted."""
        return round(MAX_ASK_SHARE * BURST_SECONDS * self._link_rate)

    @property
    def wait(self) -> datetime.timedelta:
        """The time after which nodes may ask again.

        Chosen so that all active nodes together stay at MAX_ASKS_PER_SECOND.
        """
        active = len(self._last_asks) - len(self._idle)
        wait = active / MAX_ASKS_PER_SECOND * _SECOND
        return min(max(wait, MIN_WAIT), MAX_WAIT)

    def offer(self, ask: Ask, nodes: int, now: datetime.timedelta) -> None:
        """Adds an ask; `take_granted` returns it when it is granted."""
        self._nodes = max(1, nodes)
        self._last_asks[ask.node] = now
        if not ask.size:
            self._idle.add(ask.node)
            return
        self._idle.discard(ask.node)
        ask.size = min(ask.size, self.max_ask)
        self._asks.append(ask)
        # Stable: asks of the same urgency stay in the order of arrival.
        self._asks.sort(key=lambda item: -item.urgency)

    def withdraw(self, ask: Ask) -> None:
        """Removes an ask that is no longer waited for."""
        if ask in self._asks:
            self._asks.remove(ask)

    def take_granted(self, now: datetime.timedelta) -> list[Ask]:
        """Deducts the bytes of the asks that can be granted; returns them."""
        self._bucket.configure(self._limits(now), now)
        granted = []
        while self._asks and self._can_grant(self._asks[0], now):
            ask = self._asks.pop(0)
            self._bucket.take(ask.size, now)
            self.granted_bytes += ask.size
            granted.append(ask)
        if self._asks and self._asks[0].urgency != PREPARING:
            self._scarce_until = now + SCARCE_TIME
        return granted

    def _can_grant(self, ask: Ask, now: datetime.timedelta) -> bool:
        needed: float = ask.size
        if ask.urgency == PREPARING:
            if now < self._scarce_until:
                return False
            needed += KEPT_SHARE * BURST_SECONDS * self._link_rate
        return self._bucket.tokens(now) >= needed

    def silent_count(self, now: datetime.timedelta) -> int:
        """Returns how many nodes may be using equal parts of the link.

        A node that can't reach its owner uses an equal part. Risk: if the owner
        granted the whole rate meanwhile, the link would carry both. For a while
        after its start the owner counts every node that has not asked it.
        """
        for node, at in list(self._last_asks.items()):
            if now - at > FORGET_TIME:
                del self._last_asks[node]
                self._idle.discard(node)
        if now - self._owned_since < TAKEOVER_TIME:
            return max(0, self._nodes - len(self._last_asks))
        limit = self.wait + SILENCE_LIMIT
        return sum(
            now - at > limit
            for node, at in self._last_asks.items()
            if node not in self._idle
        )

    def _limits(self, now: datetime.timedelta) -> quotas.BucketLimits:
        lifetime = Grant(0, self.wait).lifetime
        if now - self._counted_at >= COUNT_INTERVAL:
            self._counted_at = now
            self._silent = self.silent_count(now)
        share = 1 - min(1.0, self._silent / self._nodes)
        return quotas.BucketLimits(
            share * granted_rate(self._link_rate, lifetime),
            BURST_SECONDS * self._link_rate,
        )


@dataclasses.dataclass(slots=True)
class _Waiting:
    size: int
    urgency: int
    tried_at: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class AccountLimits:
    """What a node may send over one link without a grant.

    Attributes:
      standing_bytes: bytes that the node keeps for its first requests, so that
        they need not wait for a grant.
      equal_rate: bytes per second while the owner can't be reached.
      equal_kept: the most that is kept of these bytes.
      max_ask: the most bytes that one ask may contain.
    """

    standing_bytes: float
    equal_rate: float
    equal_kept: float
    max_ask: int

    @classmethod
    def for_node(cls, bytes_per_second: float, nodes: int) -> "AccountLimits":
        """Returns the limits of one of the nodes that share a link."""
        window = WINDOW.total_seconds()
        seconds = window - _RESERVED_SECONDS - EQUAL_KEPT_SECONDS
        return cls(
            STANDING_SECONDS * bytes_per_second / nodes,
            bytes_per_second * seconds / window / nodes,
            EQUAL_KEPT_SECONDS * bytes_per_second / nodes,
            round(MAX_ASK_SHARE * BURST_SECONDS * bytes_per_second),
        )

    @classmethod
    def for_own_link(cls, bytes_per_second: float) -> "AccountLimits":
        """Returns the limits of a link that one node has for itself."""
        rate = granted_rate(bytes_per_second, MIN_LIFETIME)
        kept = MIN_LIFETIME.total_seconds() * rate
        return cls(0.0, rate, kept, int(kept))


class ShareAccount:
    """The bytes of one link that one node may send.

    Scenario: requests of several urgencies wait for the same link. Risk: small
    requests of low urgency spend each byte as soon as it is granted, and a large
    urgent one never gets enough. So a request may not spend while a more urgent
    one waits.
    """

    def __init__(
        self,
        limits: AccountLimits,
        now: datetime.timedelta,
        *,
        has_owner: bool = True,
    ) -> None:
        self._limits = limits
        self._standing = limits.standing_bytes
        # Expiry and remaining bytes of each grant.
        self._grants: collections.deque[list[float]] = collections.deque()
        self._debt = 0.0
        self._waiting: dict[Traffic, _Waiting] = {}
        self._rate = 0.0
        # Bytes per second of requests that had to wait.
        self._demand = 0.0
        self._wait = MIN_WAIT
        self._prepared_bytes = 0
        self._prepared_at = now - IDLE_TIME
        self._updated_at = now
        self._used_at = now - IDLE_TIME
        self._next_ask_at = now
        self._asked_at = now - MIN_WAIT
        self._asked_urgency = PREPARING
        self._has_owner = has_owner
        self._uses_equal_part = not has_owner
        self._equal_bytes = 0.0 if has_owner else float(limits.max_ask)
        self._is_known_to_owner = False
        self.spent_bytes = 0
        self.denied_count = 0
        self.expired_bytes = 0.0

    @property
    def uses_equal_part(self) -> bool:
        """Whether the owner could not be reached at the last ask."""
        return self._uses_equal_part

    @property
    def next_ask_at(self) -> datetime.timedelta:
        """When the node may ask again with the same urgency."""
        return self._next_ask_at

    def configure(self, limits: AccountLimits) -> None:
        """Changes the limits, as when the number of nodes changes."""
        self._limits = limits
        self._standing = min(self._standing, limits.standing_bytes)

    def held(self, now: datetime.timedelta) -> float:
        """Returns the bytes that may be spent now; negative after a debt."""
        self._update(now)
        granted = sum(size for _, size in self._grants)
        return granted + self._equal_bytes + self._standing - self._debt

    def can_spend(
        self, traffic: Traffic, size: int, now: datetime.timedelta
    ) -> bool:
        """Returns whether a request may be sent; if not, it is noted as waiting.

        A request that is larger than any ask may be sent once the most that an
        ask may contain is held; the remainder becomes a debt.
        """
        held = self.held(now)
        needed = min(size, self._limits.max_ask)
        if held >= needed and not self._is_outranked(traffic.urgency):
            self._waiting.pop(traffic, None)
            return True
        if traffic not in self._waiting:
            self.denied_count += 1
            self._demand += needed / _DEMAND_SECONDS
        self._waiting[traffic] = _Waiting(needed, traffic.urgency, now)
        return False

    def spend(
        self, traffic: Traffic, size: int, now: datetime.timedelta
    ) -> None:
        """Deducts bytes; those that are not held become a debt."""
        self._update(now)
        self._waiting.pop(traffic, None)
        self._rate += size / _RATE_SECONDS
        self._used_at = now
        self.spent_bytes += size
        self._deduct(size)

    def prepare(self, size: int, now: datetime.timedelta) -> None:
        """Notes that a request of a size may come soon."""
        self._prepared_bytes = min(
            size, round((1 - KEPT_SHARE) * self._limits.max_ask)
        )
        self._prepared_at = now

    def correct(self, difference: int, now: datetime.timedelta) -> None:
        """Charges bytes sent above what was expected, or returns unsent ones."""
        self._update(now)
        self.spent_bytes += difference
        if difference > 0:
            self._deduct(difference)
        elif difference < 0:
            self._add(-difference, now + MIN_LIFETIME)

    def next_ask(self, now: datetime.timedelta) -> tuple[int, int] | None:
        """Returns size and urgency of what to ask for, or None.

        A size of 0 tells the owner that this node has become idle.
        """
        if not self._has_owner:
            return None
        held = self.held(now)
        top = max(
            (item.urgency for item in self._waiting.values()), default=PREPARING
        )
        if now < self._next_ask_at and (
            top <= self._asked_urgency or now < self._asked_at + MIN_WAIT
        ):
            return None
        if self._waiting:
            size = min(self._waiting_bytes(top) - held, self._limits.max_ask)
            return max(1, math.ceil(size)), top
        ahead = self._ahead_bytes(now)
        if ahead is not None:
            # Asks for the last few bytes would cost more than they bring.
            missing = min(ahead - held, (1 - KEPT_SHARE) * self._limits.max_ask)
            return (round(missing), PREPARING) if missing > ahead / 4 else None
        if self._is_known_to_owner:
            return 0, 0
        return None

    def _waiting_bytes(self, urgency: int) -> int:
        """Returns what requests of an urgency need until the next ask.

        Scenario: many nodes send many small requests, and each may ask about
        once a second. Risk: if a node asked only for those that wait already,
        most of its requests would find nothing, and the link stays unused.
        """
        sizes = [
            item.size
            for item in self._waiting.values()
            if item.urgency == urgency
        ]
        largest = max(sizes)
        # Whole requests only: what remains of a part would expire.
        horizon = min(self._wait, MAX_LIFETIME).total_seconds()
        coming = horizon * self._demand // largest * largest
        batch = round(MAX_BATCH_SHARE * self._limits.max_ask)
        return max(largest, min(sum(sizes) + round(coming), batch))

    def _ahead_bytes(self, now: datetime.timedelta) -> float | None:
        """Returns what to hold for coming requests; None while idle.

        Scenario: more requests than the link can carry. Risk: what a node holds
        for requests that don't come expires, and others lack it. So these bytes
        are asked for with less urgency than those of any waiting request.
        """
        is_used = now - self._used_at < IDLE_TIME
        is_prepared = now - self._prepared_at < IDLE_TIME
        if not (is_used or is_prepared):
            return None
        prepared = self._prepared_bytes if is_prepared else 0
        usual = AHEAD_SECONDS * self._rate
        return self._limits.standing_bytes + max(usual, prepared)

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to ask or to tell until the next request."""
        return not self._is_known_to_owner and not self._waiting

    def record_grant(
        self,
        asked: int,
        urgency: int,
        grant: Grant | None,
        asked_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Records the response to an ask; None if there was none in time.

        The lifetime counts from the ask: the owner granted the bytes after it.
        """
        self._update(now)
        self._uses_equal_part = grant is None
        self._asked_at = asked_at
        self._asked_urgency = urgency
        if grant is None:
            self._next_ask_at = now + MIN_WAIT
            self._is_known_to_owner = self._is_known_to_owner and asked > 0
            return
        self._equal_bytes = 0.0
        self._is_known_to_owner = asked > 0
        self._wait = grant.wait
        self._next_ask_at = asked_at + grant.wait
        self._add(min(grant.size, asked), asked_at + grant.lifetime)

    def _is_outranked(self, urgency: int) -> bool:
        """Returns whether a more urgent request waits that can get its bytes.

        An equal part never suffices for a request that is larger than what is
        kept of it; such a request doesn't hold up others.
        """
        most = self._limits.max_ask
        if self._uses_equal_part:
            most = min(most, int(self._limits.equal_kept))
        return any(
            item.urgency > urgency and item.size <= most
            for item in self._waiting.values()
        )

    def _add(self, size: float, expires_at: datetime.timedelta) -> None:
        """Adds bytes: debts are paid first, then the standing bytes."""
        paid = min(size, self._debt)
        self._debt -= paid
        size -= paid
        kept = min(size, self._limits.standing_bytes - self._standing)
        self._standing += max(0.0, kept)
        size -= max(0.0, kept)
        if size > 0:
            self._grants.append([expires_at.total_seconds(), size])

    def _deduct(self, size: float) -> None:
        while size > 0 and self._grants:
            taken = min(size, self._grants[0][1])
            self._grants[0][1] -= taken
            size -= taken
            if not self._grants[0][1]:
                self._grants.popleft()
        taken = min(size, self._equal_bytes)
        self._equal_bytes -= taken
        size -= taken
        taken = min(size, self._standing)
        self._standing -= taken
        self._debt += size - taken

    def _update(self, now: datetime.timedelta) -> None:
        """Drops expired grants, adds equal parts and ages the averages."""
        elapsed = (now - self._updated_at).total_seconds()
        if elapsed <= 0:
            return
        self._updated_at = now
        seconds = now.total_seconds()
        while self._grants and self._grants[0][0] < seconds:
            self.expired_bytes += self._grants.popleft()[1]
        self._rate *= max(0.0, 1 - elapsed / _RATE_SECONDS)
        self._demand *= max(0.0, 1 - elapsed / _DEMAND_SECONDS)
        if self._uses_equal_part:
            self._add_equal_part(elapsed)
        for traffic, item in list(self._waiting.items()):
            if now - item.tried_at > WAITING_TIME:
                del self._waiting[traffic]

    def _add_equal_part(self, elapsed: float) -> None:
        gained = elapsed * self._limits.equal_rate
        paid = min(gained, self._debt)
        self._debt -= paid
        self._equal_bytes = min(
            self._limits.equal_kept, self._equal_bytes + gained - paid
        )
