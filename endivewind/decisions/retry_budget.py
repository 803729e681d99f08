"""Retry budget: bounds retries to a share of a service's recent requests.

Counts requests and retries in a sliding window. Nodes near each other share
what remains of their budgets. `callers/budgets.py` keeps one budget for each
service and exchanges the counts with other nodes.
"""

import collections
import dataclasses
import datetime

from endivewind.decisions import retry_priorities

RequestCounts = retry_priorities.RequestCounts

# Retries per window that a service with little traffic always has. Without
# them a single failed request in a quiet minute could not be retried.
DEFAULT_RESERVE = 3.0
DEFAULT_WINDOW = datetime.timedelta(seconds=10)
# The window slides in this many steps. Requests count for up to a step less than
# the window and retries for up to a step more, so that no interval of its
# length exceeds the bound.
_BUCKETS_PER_WINDOW = 20

# A node whose limit is this many retries or more does not need its neighbours'
# retries: at this size random variation is about a fifth. Nodes with a lower
# limit exchange their counts.
MIN_INDEPENDENT_RETRIES = 25.0
# Share of its own limit that a node keeps for itself. The rest is shared.
KEPT_SHARE = 0.2
# Time until the other nodes know what a node has used: the interval between
# two messages with its counts, with one of the messages arriving late.
PROPAGATION_DELAY = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limits of a retry budget.

    Attributes:
      share: retries allowed per request in the window.
      reserve: additional retries allowed in each window at this node.
      window: the length of the window in which both are counted.
      neighbour_count: number of other nodes that send their counts to this
        one.
    """

    share: float
    reserve: float = DEFAULT_RESERVE
    window: datetime.timedelta = DEFAULT_WINDOW
    neighbour_count: int = 0


@dataclasses.dataclass(slots=True)
class _Bucket:
    number: int
    requests: int = 0
    retries: int = 0


class RetryBudget:
    """Bounds the retries in every window to a share of the requests.

    Scenario: every target of a service fails, or most are full. Risk: with
    three attempts per request the service gets three times the load when it can
    handle the least, and stays down. The budget bounds the additional load to a
    share of the requests whatever fails; hedged requests take from it too.
    Every node keeps to its own limit, so the sum over all nodes is bounded as
    well. Unused retries expire with the window: retries saved up in quiet times
    would break the bound in the first window of an outage.

    A node with a few requests per second has a limit of two or three retries,
    and failures come in bursts: one node would give up while its neighbours
    have used none. So each node keeps a fifth of its limit for itself and
    shares the rest: what any node uses beyond its own fifth is taken from the
    shared retries. What a node has used reaches the others with a delay
    (`PROPAGATION_DELAY`). Within that time it uses at most an equal part of
    what is left, so that nodes that act at the same time do not spend the same
    retries twice. The sum of the limits remains the bound.

    A target that runs a retried request may call other services. These calls
    count as retries in the budgets of the called services
    (`callers/gateway.py` charges each call with the probability that it is made
    for a retried request). They can't be refused for that, so they are charged
    even if the budget is spent (`charge`), and later retries have to wait.
    """

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        # The first bucket may be just outside the window: its requests have
        # expired and its retries have not.
        self._buckets: collections.deque[_Bucket] = collections.deque()
        self._requests = 0
        self._retries = 0
        self._peers: dict[str, tuple[RequestCounts, datetime.timedelta]] = {}
        # Shared retries that this node may use now, and when it was computed.
        self._allowance = float("inf")
        self._allowance_at = datetime.timedelta()

    def configure(self, limits: RetryLimits) -> None:
        """Changes the limits; the counts are kept unless the window changes."""
        if limits.window != self._limits.window:
            self._buckets.clear()
            self._requests = 0
            self._retries = 0
        self._limits = limits

    @property
    def window(self) -> datetime.timedelta:
        """The window in which requests and retries are counted."""
        return self._limits.window

    def record_request(self, now: datetime.timedelta) -> None:
        """Counts a request of a caller."""
        self._current_bucket(now).requests += 1
        self._requests += 1

    def charge(self, now: datetime.timedelta) -> None:
        """Counts a retry, even if the budget is spent."""
        self._current_bucket(now).retries += 1
        self._retries += 1

    def update_peer(
        self, node: str, count: RequestCounts, now: datetime.timedelta
    ) -> None:
        """Stores another node's counts for the window that ends now."""
        self._peers[node] = (count, now)

    def counts(self, now: datetime.timedelta) -> RequestCounts:
        """Returns this node's counts in the current window."""
        self._current_bucket(now)
        return RequestCounts(self._requests, self._retries)

    def needs_sharing(self, now: datetime.timedelta) -> bool:
        """Whether this node's limit is so low that it needs shared retries."""
        self._current_bucket(now)
        return 0 < self._own_limit() < MIN_INDEPENDENT_RETRIES

    def take(
        self, now: datetime.timedelta, *, may_borrow: bool = False
    ) -> bool:
        """Takes one retry from the budget if one is left.

        Args:
          now: the current monotonic time.
          may_borrow: whether this node may exceed its own limit by using
            shared retries that other nodes have left.

        Returns:
          Whether the retry is allowed.
        """
        self._current_bucket(now)
        self._drop_expired(now)
        if not self._has_private_retry():
            limit = self._own_limit()
            if not (may_borrow or self._retries + 1 <= limit):
                return False
            if not self._has_allowance(now):
                return False
            self._allowance -= 1
        self.charge(now)
        return True

    def spent_share(self, now: datetime.timedelta) -> float:
        """Returns the share of the budget that is spent; 1 if none is left."""
        if not self._has_retry(now):
            return 1.0
        used = self._retries + sum(item.retries for item in self._peer_counts())
        return used / self._total_limit()

    def remaining(
        self, now: datetime.timedelta, *, may_borrow: bool
    ) -> retry_priorities.RemainingRetries:
        """Returns what remains of the budget.

        Args:
          now: the current monotonic time.
          may_borrow: whether the shared retries that other nodes have left
            count, too.
        """
        self._current_bucket(now)
        self._drop_expired(now)
        own_limit = self._own_limit()
        private = max(0.0, KEPT_SHARE * own_limit - self._retries)
        if may_borrow:
            return retry_priorities.RemainingRetries(
                private,
                self._shared_left(),
                self._total_limit(),
                self._next_shared_after(now),
            )
        own_left = own_limit - self._retries - private
        return retry_priorities.RemainingRetries(private, own_left, own_limit)

    def allows_retries(self, now: datetime.timedelta) -> bool:
        """Whether the limit is at least one retry, even if all are spent."""
        self._current_bucket(now)
        self._drop_expired(now)
        return self._total_limit() >= 1

    def _has_retry(self, now: datetime.timedelta) -> bool:
        """Whether one more retry stays within the bound."""
        self._current_bucket(now)
        self._drop_expired(now)
        return self._has_private_retry() or self._shared_left() >= 1

    def _has_private_retry(self) -> bool:
        """Whether the share that this node keeps allows one more retry."""
        return self._retries + 1 <= KEPT_SHARE * self._own_limit()

    def _has_allowance(self, now: datetime.timedelta) -> bool:
        """Whether this node may use one of the shared retries now.

        In each PROPAGATION_DELAY its allowance grows by an equal part of the
        shared retries that remain.
        """
        left, peers = self._shared_left(), len(self._peer_counts())
        if left < 1 or not peers:
            return left >= 1
        equal_part = left / (1 + peers)
        elapsed = (now - self._allowance_at) / PROPAGATION_DELAY
        self._allowance = min(
            self._allowance + elapsed * equal_part, max(1.0, equal_part)
        )
        self._allowance_at = now
        return self._allowance >= 1

    def _next_shared_after(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns how long after a shared retry now the next is allowed."""
        left, peers = self._shared_left(), len(self._peer_counts())
        if not peers:
            return datetime.timedelta()
        elapsed = (now - self._allowance_at) / PROPAGATION_DELAY
        equal_part = left / (1 + peers)
        allowance = min(
            self._allowance + elapsed * equal_part, max(1.0, equal_part)
        )
        missing = max(1.0, 2 - allowance)
        next_part = max(0.0, left - 1) / (1 + peers)
        if missing * PROPAGATION_DELAY >= next_part * self._limits.window:
            return self._limits.window
        return missing / next_part * PROPAGATION_DELAY

    def _shared_left(self) -> float:
        """Returns how many shared retries are left.

        A neighbour that has sent no counts has made no retries. How many
        requests it has had is unknown, so only its reserve is added.
        """
        counts = (
            RequestCounts(self._requests, self._retries),
            *self._peer_counts(),
        )
        left = 0.0
        for count in counts:
            limit = self._limit_for(count.requests)
            used = max(0.0, count.retries - KEPT_SHARE * limit)
            left += (1 - KEPT_SHARE) * limit - used
        return left

    def _peer_counts(self) -> list[RequestCounts]:
        """Returns the counts of this node's neighbours, zero if unknown."""
        known = [count for count, _ in self._peers.values()]
        unknown = max(0, self._limits.neighbour_count - len(known))
        return [*known, *[RequestCounts()] * unknown]

    def _total_limit(self) -> float:
        """Returns how many retries this node and its neighbours may make."""
        peers = sum(
            self._limit_for(item.requests) for item in self._peer_counts()
        )
        return self._own_limit() + peers

    def _drop_expired(self, now: datetime.timedelta) -> None:
        """Drops other nodes' counts that are older than the window."""
        expired = [
            node
            for node, (_, received) in self._peers.items()
            if now - received >= self._limits.window
        ]
        for node in expired:
            del self._peers[node]

    def _own_limit(self) -> float:
        return self._limit_for(self._requests)

    def _limit_for(self, requests: int) -> float:
        """Returns how many retries a node with this many requests may make."""
        if not self._limits.share:
            return 0.0
        return self._limits.share * requests + self._limits.reserve

    def _current_bucket(self, now: datetime.timedelta) -> _Bucket:
        """Returns the current bucket and expires earlier ones."""
        number = now // (self._limits.window / _BUCKETS_PER_WINDOW)
        if not self._buckets or self._buckets[-1].number < number:
            self._buckets.append(_Bucket(number))
            self._expire(number - _BUCKETS_PER_WINDOW)
        return self._buckets[-1]

    def _expire(self, number: int) -> None:
        """Expires requests up to a bucket, and retries before it."""
        while self._buckets[0].number < number:
            self._retries -= self._buckets.popleft().retries
        self._requests = sum(
            item.requests for item in self._buckets if item.number > number
        )
