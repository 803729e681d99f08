"""Decides which requests get the retries of a budget that is short.

`callers/budgets.py` asks for each retry of an entry node and exchanges the
demand with nearby nodes. It does no I/O, and the caller passes the time.
"""

import collections
import collections.abc
import dataclasses
import datetime

# The window slides in this many steps, as that of the retry budget does.
_BUCKETS_PER_WINDOW = 20
# The last buckets show the demand of a fault that has just begun, of which the
# window contains only a part: two seconds of the usual window of ten.
_RECENT_BUCKETS = 4
# Interval at which a node sends its demand for a service. Counts are sent four
# times a second to 24 nodes, which takes 6 KB/s; with eight priorities in each
# message it would be 18 KB/s.
SEND_INTERVAL = datetime.timedelta(seconds=1)
# Computing the demand takes most of a millisecond with 24 neighbours, and a node
# may fail a hundred requests a second.
_REFRESH_INTERVAL = datetime.timedelta(milliseconds=100)
_RECENT_SHARE = _RECENT_BUCKETS / _BUCKETS_PER_WINDOW
# Fewer retries wanted in the last buckets are no fault: single failures must
# not withhold retries from less urgent requests.
MIN_RECENT_WANTS = 3
# Requests of a priority by which its own share of failures counts as much as
# that of all priorities. Failures of urgent requests are few at each node, but
# a fault of the targets hits all priorities alike.
_PRIOR_REQUESTS = 3
# Bounds the bytes of a message. Beyond that, priorities with the fewest wanted
# retries are left out, so that only slightly too few retries are kept.
MAX_DEMANDS = 8
# Share of the limit that other nodes may have spent since they sent their
# counts. Without it one in three urgent requests got no retry in a shortage,
# as less urgent ones had taken the last ones; with it one in four.
UNREPORTED_SHARE = 0.1


_Counts = collections.defaultdict[int, float]


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDemand:
    """Retries that requests of one priority wanted in the window.

    Attributes:
      queue_priority: the queue priority of the requests.
      wanted: the number of retries, whether or not they were allowed.
    """

    queue_priority: int
    wanted: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestCounts:
    """Requests and retries of a node in the current window."""

    requests: int = 0
    retries: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RemainingRetries:
    """What remains of a retry budget.

    Attributes:
      private: retries that only this node may still make.
      shared: retries that it may make in competition with its neighbours.
      limit: all retries of the window, spent ones included.
    """

    private: float
    shared: float
    limit: float


@dataclasses.dataclass(slots=True)
class _Bucket:
    number: int
    requests: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    wanted: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    taken: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass(slots=True)
class _PeerDemand:
    """Another node's demand, and its counts in the window.

    Attributes:
      demands: its demand by priority.
      requests: its requests.
      retries: the retries that it has made.
      received: when the demand arrived.
      earlier: times and totals of the demand received so far, the latest
        included.
    """

    demands: tuple[RetryDemand, ...] = ()
    requests: int = 0
    retries: int = 0
    received: datetime.timedelta = datetime.timedelta()
    earlier: collections.deque[tuple[datetime.timedelta, int]] = (
        dataclasses.field(default_factory=collections.deque)
    )

    @property
    def wanted(self) -> int:
        """The retries wanted in the window, of all priorities."""
        return sum(item.wanted for item in self.demands)

    def recent_wanted(self, since: datetime.timedelta) -> int:
        """Returns a lower bound of the retries wanted since a time."""
        self.drop_earlier(since)
        before = self.earlier[0][1] if self.earlier else 0
        return max(0, self.wanted - before)

    def drop_earlier(self, since: datetime.timedelta) -> None:
        """Drops totals that are not needed for the demand since a time."""
        while len(self.earlier) > 1 and self.earlier[1][0] <= since:
            self.earlier.popleft()


@dataclasses.dataclass(frozen=True, slots=True)
class _Demand:
    """The expected demand in a window, by priority.

    Attributes:
      computed_at: when it was computed.
      own: the retries that requests of this node want.
      own_taken: those that they have taken in the window.
      all: the retries that requests of all these nodes want.
      all_taken: those that they have taken.
    """

    computed_at: datetime.timedelta
    own: _Counts
    own_taken: collections.Counter[int]
    all: _Counts
    all_taken: collections.Counter[int]


class RetryPriorities:
    """Keeps the retries of a short budget for the most urgent requests.

    Scenario: all targets of a service reject half of their requests, and the
    budget allows one retry for each five requests. Risk: first come, first
    served gives the retries to whoever sends most requests, and the most urgent
    requests fail although retries were made.

    A request may take a retry if what remains of the budget covers the retries
    that more urgent requests still want in the current window: those that they
    are expected to want, minus those that they have already taken in it. As the
    window moves on, these are free again for the same priority. So a constant
    demand of urgent requests is served, and the rest goes to others.

    What remains at other nodes is known from counts that are up to half a second
    old, so a less urgent request leaves a part of it to urgent ones.

    This only withholds retries that the budget would allow, so the bound on
    retries is that of the budget. If the expected demand of all priorities is
    within the limit, nothing is withheld.
    """

    def __init__(self, window: datetime.timedelta) -> None:
        """Starts without any demand.

        Args:
          window: the window of the retry budget.
        """
        self._window = window
        self._buckets: collections.deque[_Bucket] = collections.deque()
        self._sent_at: datetime.timedelta | None = None
        self._peers: dict[str, _PeerDemand] = {}
        # The demand with that of other nodes, and without.
        self._demands: dict[bool, _Demand] = {}

    def configure(self, window: datetime.timedelta) -> None:
        """Changes the window; if it differs, the counts are dropped."""
        if window != self._window:
            self._buckets.clear()
            self._window = window

    def record_request(self, priority: int, now: datetime.timedelta) -> None:
        """Counts a request of this priority."""
        self._current_bucket(now).requests[priority] += 1

    def record_wanted(self, priority: int, now: datetime.timedelta) -> None:
        """Counts a retry that a request of this priority wants."""
        self._current_bucket(now).wanted[priority] += 1

    def record_taken(self, priority: int, now: datetime.timedelta) -> None:
        """Counts a retry that a request of this priority has got."""
        self._current_bucket(now).taken[priority] += 1

    def due_demands(self, now: datetime.timedelta) -> tuple[RetryDemand, ...]:
        """Returns the demand in the window if it is to be sent now.

        Returns an empty tuple if it has been sent within the interval.
        """
        if self._sent_at is not None and now - self._sent_at < SEND_INTERVAL:
            return ()
        wanted = self._sum("wanted", now).most_common(MAX_DEMANDS)
        return tuple(RetryDemand(*item) for item in sorted(wanted))

    def record_sent(self, now: datetime.timedelta) -> None:
        """Records that the demand has been sent."""
        self._sent_at = now

    def update_peer(
        self,
        node: str,
        demands: tuple[RetryDemand, ...],
        counts: RequestCounts,
        now: datetime.timedelta,
    ) -> None:
        """Stores another node's demand for the window that ends now.

        Args:
          node: the node, with its incarnation.
          demands: its demand by priority; empty if it has not changed or the
            node sends none.
          counts: its requests and retries.
          now: the current monotonic time.
        """
        peer = self._peers.get(node)
        if peer is None:
            if not demands:
                return
            # Restarted nodes have new keys. Without this, old keys would stay
            # at a node that never wants a retry itself.
            self._drop_expired(now)
            peer = self._peers[node] = _PeerDemand()
        peer.requests, peer.retries = counts.requests, counts.retries
        if demands:
            peer.demands = demands
            peer.received = now
            peer.earlier.append((now, peer.wanted))
            peer.drop_earlier(now - _RECENT_SHARE * self._window)

    def may_take(
        self,
        priority: int,
        remaining: RemainingRetries,
        now: datetime.timedelta,
        *,
        counts_peers: bool,
    ) -> bool:
        """Returns whether a request of this priority may take a retry.

        Args:
          priority: the queue priority of the request.
          remaining: what remains of the budget.
          now: the current monotonic time.
          counts_peers: whether the retries that remain are also those of other
            nodes, so that their demand counts.
        """
        demand = self._demand(now, counts_peers)
        own_reserve = _still_wanted(demand.own, demand.own_taken, priority)
        if remaining.private - own_reserve >= 1:
            return True
        urgent = _more_urgent(demand.all, priority)
        if not urgent or sum(demand.all.values()) <= remaining.limit:
            return True
        reserve = _still_wanted(demand.all, demand.all_taken, priority)
        if counts_peers:
            reserve += UNREPORTED_SHARE * remaining.limit
        return remaining.private + remaining.shared - reserve >= 1

    def _demand(self, now: datetime.timedelta, counts_peers: bool) -> _Demand:
        """Returns the expected demand, which is computed anew at times."""
        demand = self._demands.get(counts_peers)
        if demand is None or now - demand.computed_at >= _REFRESH_INTERVAL:
            demand = self._compute_demand(now, counts_peers)
            self._demands[counts_peers] = demand
        return demand

    def _compute_demand(
        self, now: datetime.timedelta, counts_peers: bool
    ) -> _Demand:
        self._drop_expired(now)
        peers = list(self._peers.values()) if counts_peers else []
        failing = self._failing_share(peers, now)
        own = self._expected(failing, now)
        own_taken = self._taken(now)
        expected, taken = own.copy(), own_taken.copy()
        growth = self._growth(failing, peers, now)
        for peer in peers:
            for item in peer.demands:
                expected[item.queue_priority] += growth * item.wanted
            taken.update(_estimate_taken(peer))
        return _Demand(now, own, own_taken, expected, taken)

    def _failing_share(
        self, peers: list[_PeerDemand], now: datetime.timedelta
    ) -> float:
        """Returns the recent share of requests that wanted a retry.

        Returns 0 if there are only single failures.
        """
        since = now - _RECENT_SHARE * self._window
        wanted = self._recent("wanted", now).total()
        wanted += sum(peer.recent_wanted(since) for peer in peers)
        if wanted < MIN_RECENT_WANTS:
            return 0.0
        requests: float = self._recent("requests", now).total()
        requests += _RECENT_SHARE * sum(peer.requests for peer in peers)
        return min(1.0, wanted / max(1.0, requests))

    def _expected(self, failing: float, now: datetime.timedelta) -> _Counts:
        """Returns the retries that requests of this node want in a window.

        During a fault this is the recent share of failures times the requests
        in the window, since the window contains only what has failed so far.

        Args:
          failing: the recent share of requests of all priorities that wanted a
            retry.
          now: the current monotonic time.
        """
        expected: _Counts = collections.defaultdict(float)
        expected.update(self._sum("wanted", now))
        if not failing:
            return expected
        wanted = self._recent("wanted", now)
        requests = self._recent("requests", now)
        for priority, count in self._sum("requests", now).items():
            own_share = (wanted[priority] + _PRIOR_REQUESTS * failing) / (
                requests[priority] + _PRIOR_REQUESTS
            )
            expected[priority] = max(expected[priority], own_share * count)
        return expected

    def _growth(
        self, failing: float, peers: list[_PeerDemand], now: datetime.timedelta
    ) -> float:
        """Returns by how much the demand of all nodes is expected to grow.

        The priorities of other nodes' requests are not known, so their demand
        is assumed to grow alike for all priorities.
        """
        requests = self._sum("requests", now).total()
        requests += sum(peer.requests for peer in peers)
        wanted = self._sum("wanted", now).total()
        wanted += sum(peer.wanted for peer in peers)
        return max(1.0, failing * requests / max(1, wanted))

    def _sum(
        self,
        name: str,
        now: datetime.timedelta,
        last: int = _BUCKETS_PER_WINDOW,
    ) -> collections.Counter[int]:
        """Returns the sum of one kind of counts in the last buckets."""
        self._current_bucket(now)
        first = self._bucket_number(now) - last + 1
        total: collections.Counter[int] = collections.Counter()
        for bucket in self._buckets:
            if bucket.number >= first:
                total.update(getattr(bucket, name))
        return total

    def _recent(
        self, name: str, now: datetime.timedelta
    ) -> collections.Counter[int]:
        return self._sum(name, now, _RECENT_BUCKETS)

    def _taken(self, now: datetime.timedelta) -> collections.Counter[int]:
        return self._sum("taken", now)

    def _drop_expired(self, now: datetime.timedelta) -> None:
        """Drops other nodes' demand that is older than the window."""
        expired = [
            node
            for node, demand in self._peers.items()
            if now - demand.received >= self._window
        ]
        for node in expired:
            del self._peers[node]

    def _bucket_number(self, now: datetime.timedelta) -> int:
        return now // (self._window / _BUCKETS_PER_WINDOW)

    def _current_bucket(self, now: datetime.timedelta) -> _Bucket:
        """Returns the current bucket and drops those outside the window."""
        number = self._bucket_number(now)
        while (
            self._buckets
            and self._buckets[0].number <= number - _BUCKETS_PER_WINDOW
        ):
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number))
        return self._buckets[-1]


def _still_wanted(
    expected: _Counts, taken: collections.Counter[int], priority: int
) -> float:
    """Returns the retries that more urgent requests still want."""
    wanted = _more_urgent(expected, priority)
    return max(0.0, wanted - _more_urgent(taken, priority))


def _more_urgent(
    counts: collections.abc.Mapping[int, float], priority: int
) -> float:
    """Returns the sum of the counts of more urgent requests."""
    return sum(count for other, count in counts.items() if other > priority)


def _estimate_taken(peer: _PeerDemand) -> dict[int, int]:
    """Returns how many retries of each priority another node has made.

    Only the sum is sent. As nodes let urgent requests go first, the retries are
    assumed to be those of its most urgent requests.
    """
    left = peer.retries
    taken = {}
    for item in sorted(
        peer.demands, key=lambda item: item.queue_priority, reverse=True
    ):
        taken[item.queue_priority] = min(left, item.wanted)
        left -= taken[item.queue_priority]
    return taken
