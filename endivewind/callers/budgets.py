"""The retry budgets of this entry's services, within the fleet's limits."""

import collections
import datetime

from endivewind import clock as clocks
from endivewind.config import objects
from endivewind.config import store
from endivewind.decisions import load_balancing
from endivewind.decisions import peer_updates
from endivewind.decisions import retries
from endivewind.nodes import view

# How often the size of the fleet is noted for the window that ends now.
_SIZE_PERIOD = datetime.timedelta(milliseconds=500)
# How often neighbours are counted while as many nodes are known: each count
# looks at every node.
COUNT_PERIOD = datetime.timedelta(seconds=1)
# The part of its reserve that a node has at once when it starts. What its
# earlier start has used in the window is not known; where all have started
# anew, both together keep within the fleet's bound.
START_SHARE = 0.5
# Requests that are told of without a retry: what a node has not told of, the
# others can't lend each other.
TOLD_REQUESTS = 5


class FleetSize:
    """The most nodes that were known at once in the last window.

    Load: half of the fleet is killed, or leaves for a moment. Harm: what each
    node may retry is its part of the fleet's; with half of the nodes gone the
    others' parts would double at once, while what those that are gone have
    used still counts.
    """

    def __init__(self) -> None:
        self._seen: collections.deque[tuple[datetime.timedelta, int]] = (
            collections.deque()
        )

    def note(
        self, nodes: int, now: datetime.timedelta, window: datetime.timedelta
    ) -> None:
        """Takes how many nodes are known now."""
        while self._seen and now - self._seen[0][0] > window:
            self._seen.popleft()
        if not self._seen or now - self._seen[-1][0] >= _SIZE_PERIOD:
            self._seen.append((now, nodes))

    def most(self, nodes: int) -> int:
        """The most of the window, those known now included."""
        return max((seen for _, seen in self._seen), default=nodes)


class RetryBudgets:
    """One budget for each service, as configured, with others' tallies."""

    def __init__(
        self,
        configuration: store.ConfigurationStore,
        fleet: view.FleetView,
        place: load_balancing.Locality,
        clock: clocks.Clock,
    ) -> None:
        self._started = clock.monotonic()
        self._size = FleetSize()
        self._place = place
        self._configuration = configuration
        self._fleet = fleet
        self._clock = clock
        self._budgets: dict[str, retries.RetryBudget] = {}
        self._told: dict[str, retries.RequestCounts] = {}
        # Parts of a retry that are still to be charged.
        self._owed: collections.defaultdict[str, float] = (
            collections.defaultdict(float)
        )
        self._neighbours = 0
        # For how many nodes they were counted, and when.
        self._counted = (0, -COUNT_PERIOD)
        self._last = -peer_updates.MIN_UPDATE_INTERVAL

    def of(self, service: str) -> retries.RetryBudget:
        """The budget of a service, with its limits in force."""
        found = self._configuration.service(service) or objects.Service()
        limits = self._limits(found)
        known = self._budgets.get(service)
        if known is None:
            known = self._budgets[service] = retries.RetryBudget(limits)
        known.configure(limits)
        return known

    def charge(self, service: str, share: float) -> None:
        """Takes note of work that counts as a retry with some likelihood."""
        self._owed[service] += share
        if self._owed[service] >= 1:
            self._owed[service] -= 1
            self.of(service).charge(self._clock.monotonic())

    def hear(self, node: str, tally: peer_updates.RetryUsage) -> None:
        """Takes what another entry near by has used of its part.

        A later start of an entry counts from nothing; what the earlier one
        has used stays counted beside it until its window is over.
        """
        known = self._budgets.get(tally.service)
        record = self._fleet.nodes.get(node)
        if known is not None:
            start = f"{node}/{record.incarnation if record else 0}"
            known.update_peer(start, tally.counts, self._clock.monotonic())

    def due(self) -> tuple[peer_updates.RetryUsage, ...]:
        """Tallies that the other entries near by must hear now.

        Call it often; how many there are is looked up here, too.
        """
        now = self._clock.monotonic()
        nodes, counted_at = self._counted
        if len(self._fleet.nodes) != nodes or now - counted_at >= COUNT_PERIOD:
            self._neighbours = self._count_neighbours()
            self._counted = (len(self._fleet.nodes), now)
        if now - self._last < peer_updates.MIN_UPDATE_INTERVAL:
            return ()
        found = []
        for service, budget in self._budgets.items():
            count = budget.counts(now)
            told = self._told.get(service, retries.RequestCounts())
            if _is_news(count, told) and budget.is_small_share(now):
                self._told[service] = count
                found.append(peer_updates.RetryUsage(service, count))
        if found:
            self._last = now
        return tuple(found)

    def _limits(self, service: objects.Service) -> retries.RetryLimits:
        """This node's part of what all nodes together may retry."""
        now = self._clock.monotonic()
        window = datetime.timedelta(milliseconds=service.retry_window_ms)
        reserve = retries.DEFAULT_RESERVE
        if service.retry_reserve:
            nodes = len(self._fleet.nodes)
            self._size.note(nodes, now, window)
            reserve = service.retry_reserve / max(1, self._size.most(nodes))
            age = min(1.0, (now - self._started) / window)
            reserve *= START_SHARE + (1 - START_SHARE) * age
        return retries.RetryLimits(
            service.retry_percent / 100, reserve, window, self._neighbours
        )

    def _count_neighbours(self) -> int:
        """Other nodes that hear each other's tallies."""
        nodes = self._fleet.nodes.values()
        region = sum(item.region == self._place.region for item in nodes)
        if peer_updates.shares_retries_in_region(region - 1):
            return max(0, region - 1)
        zone = sum(item.zone == self._place.zone for item in nodes)
        return min(max(0, zone - 1), peer_updates.MAX_PEERS)


def _is_news(count: retries.RequestCounts, told: retries.RequestCounts) -> bool:
    """Whether a count differs from what was told of it before."""
    more = abs(count.requests - told.requests)
    return count.retries != told.retries or more >= TOLD_REQUESTS
