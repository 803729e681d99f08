"""Retry budgets of an entry node, one for each service.

The gateway takes retries from them. The limits of a service hold for the whole
fleet; each node has a share of them, exchanges its counts with nearby nodes and
borrows retries from them.
"""

import collections
import collections.abc
import dataclasses
import datetime
import enum
import random

import expression

from endivewind import clock as clocks
from endivewind.callers import retry_loans
from endivewind.config import objects
from endivewind.config import store
from endivewind.decisions import load_balancing
from endivewind.decisions import peer_updates
from endivewind.decisions import retry_budget
from endivewind.decisions import retry_priorities
from endivewind.nodes import view

# Interval between two samples of the size of the fleet.
_SIZE_SAMPLE_INTERVAL = datetime.timedelta(milliseconds=500)
# How often neighbours are counted while the number of known nodes is the same.
# Counting iterates over all nodes.
NEIGHBOUR_COUNT_INTERVAL = datetime.timedelta(seconds=1)
# New requests after which a node sends its counts even if it has made no
# retries. The other nodes can't use budget from requests they don't know of.
REQUESTS_PER_UPDATE = 5


@dataclasses.dataclass(slots=True)
class RetryTotals:
    """What one service's retry budget has counted since the node started.

    Attributes:
      requests: requests of callers, which add to the budget.
      retries: retries taken from the budget.
      charged_calls: calls of the local target that were charged as retries.
      overdrawn_calls: those of them that were charged beyond the limit.
      reserved_calls: retries reserved for calls, whether or not they were made.
      refused_reservations: retried requests that were not sent to the local
        target, as there were no retries for their calls.
    """

    requests: int = 0
    retries: int = 0
    charged_calls: int = 0
    overdrawn_calls: int = 0
    reserved_calls: float = 0.0
    refused_reservations: int = 0


_NO_USAGE = peer_updates.RetryUsage("", retry_budget.RequestCounts())


class NoRetry(enum.Enum):
    """Why a request gets no retry.

    WITHHELD means that some are left, but kept for more urgent requests.
    """

    SPENT = enum.auto()
    WITHHELD = enum.auto()


RetryResult = expression.Result[retry_budget.TakenRetries, NoRetry]


class PeakFleetSize:
    """The largest number of nodes known at any time in the last window.

    Scenario: half of the fleet is killed or unreachable for a moment. Risk:
    each node has an equal share of the fleet's retries. With half of the nodes
    gone, the shares of the others would double immediately, although the
    retries of the lost nodes still count in the current window.
    """

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[datetime.timedelta, int]] = (
            collections.deque()
        )
        self._longest_window = datetime.timedelta()

    def is_due(self, now: datetime.timedelta) -> bool:
        """Whether the number of nodes is to be recorded again."""
        return (
            not self._samples
            or now - self._samples[-1][0] >= _SIZE_SAMPLE_INTERVAL
        )

    def record(
        self, nodes: int, now: datetime.timedelta, window: datetime.timedelta
    ) -> None:
        """Records the number of nodes now, and drops those of earlier windows.

        Args:
          nodes: the number of nodes.
          now: the current monotonic time.
          window: the window of one service; the longest counts for all.
        """
        self._longest_window = max(self._longest_window, window)
        while (
            self._samples and now - self._samples[0][0] > self._longest_window
        ):
            self._samples.popleft()
        self._samples.append((now, nodes))

    @property
    def peak(self) -> int:
        """The maximum in the window; 1 if nothing was recorded."""
        return max((count for _, count in self._samples), default=1)


class RetryBudgets:
    """Keeps a retry budget for each service, shared with nearby nodes."""

    def __init__(
        self,
        configuration: store.ConfigurationStore,
        fleet: view.FleetView,
        locality: load_balancing.Locality,
        clock: clocks.Clock,
        rng: random.Random,
        request_loan: retry_loans.LoanRequester = retry_loans.request_nothing,
        *,
        started: datetime.timedelta | None = None,
        unreachable_count: collections.abc.Callable[[], int] = lambda: 0,
        zone_count: int = 0,
        prioritizes: bool = False,
    ) -> None:
        """Starts without any counts.

        Args:
          configuration: the limits of the services.
          fleet: the nodes of the fleet.
          locality: the place of this node.
          clock: the clock; its monotonic time is used.
          rng: chooses the nodes from which retries are borrowed.
          request_loan: asks another node for retries.
          started: the monotonic time of this node's start; None if it has been
            running for long.
          unreachable_count: returns the number of nodes that are not in `fleet`
            and may still serve callers, as on the other side of a partition.
          zone_count: the number of zones of the fleet; 0 if it is not known.
          prioritizes: whether scarce retries go to urgent requests first
            (`overload.prioritized_retries`).
        """
        self._prioritizes = prioritizes
        self._priorities: dict[str, retry_priorities.RetryPriorities] = {}
        self._started = started
        self._unreachable_count = unreachable_count
        self._zone_count = zone_count
        self._size = PeakFleetSize()
        self._locality = locality
        self._configuration = configuration
        self._fleet = fleet
        self._clock = clock
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        self._totals: collections.defaultdict[str, RetryTotals] = (
            collections.defaultdict(RetryTotals)
        )
        self._sent_usages: dict[str, peer_updates.RetryUsage] = {}
        # Fractions of retries that are not charged yet.
        self._pending_retries: collections.defaultdict[str, float] = (
            collections.defaultdict(float)
        )
        self._loans = retry_loans.RetryLoans(
            request_loan, self._neighbours, locality.zone, clock, rng
        )
        self._neighbour_count = 0
        # Number of known nodes at the last count of neighbours, and its time.
        self._counted_nodes_and_time = (0, -NEIGHBOUR_COUNT_INTERVAL)
        self._last_update = -peer_updates.MIN_UPDATE_INTERVAL

    @property
    def totals(self) -> collections.abc.Mapping[str, RetryTotals]:
        """What the budget of each service has counted."""
        return self._totals

    def for_service(self, service: str) -> retry_budget.RetryBudget:
        """Returns the budget of a service, with its current limits."""
        config = self._configuration.service(service) or objects.Service()
        limits = self._limits(config)
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = retry_budget.RetryBudget(limits)
        budget.configure(limits)
        return budget

    def record_request(
        self, service: str, priority: int, *, is_from_caller: bool
    ) -> None:
        """Counts a request or a call.

        Args:
          service: the service of the request.
          priority: the queue priority of the request.
          is_from_caller: whether it adds to the budget.
        """
        budget = self.for_service(service)
        now = self._clock.monotonic()
        if is_from_caller:
            budget.record_request(now)
            self._totals[service].requests += 1
        if self._prioritizes:
            self._priorities_of(service, budget).record_request(priority, now)

    def take(
        self,
        service: str,
        priority: int,
        *,
        may_borrow: bool,
        is_hedge: bool = False,
    ) -> RetryResult:
        """Takes a retry for a request, if it gets one.

        Args:
          service: the service of the request.
          priority: the queue priority of the request.
          may_borrow: whether retries that other nodes have lent may be used.
          is_hedge: whether it is for a hedged request, which counts as wanted
            only if it gets the retry: it may succeed without.

        Returns:
          The retry, which has to be sent or cancelled.
        """
        if self._prioritizes and not is_hedge:
            budget = self.for_service(service)
            self._priorities_of(service, budget).record_wanted(
                priority, self._clock.monotonic()
            )
        return self._try_take(
            service, priority, may_borrow=may_borrow, is_hedge=is_hedge
        )

    async def obtain(
        self,
        service: str,
        priority: int,
        *,
        may_borrow: bool,
        is_hedge: bool = False,
    ) -> RetryResult:
        """Takes a retry as `take` does, and borrows one if none is left."""
        result = self.take(
            service, priority, may_borrow=may_borrow, is_hedge=is_hedge
        )
        if result.is_ok() or result.error is NoRetry.WITHHELD or not may_borrow:
            return result
        await self._borrow(service)
        return self._try_take(
            service, priority, may_borrow=may_borrow, is_hedge=is_hedge
        )

    def _try_take(
        self, service: str, priority: int, *, may_borrow: bool, is_hedge: bool
    ) -> RetryResult:
        """Takes a retry if the budget and the priority allow it."""
        budget = self.for_service(service)
        now = self._clock.monotonic()
        if self._prioritizes:
            priorities = self._priorities_of(service, budget)
            remaining = budget.remaining(now, may_borrow=may_borrow)
            if not priorities.may_take(
                priority, remaining, now, counts_peers=may_borrow
            ):
                return expression.Error(NoRetry.WITHHELD)
        retry = budget.take_for_later(now, may_use_loans=may_borrow)
        if retry is None:
            return expression.Error(NoRetry.SPENT)
        self._totals[service].retries += 1
        if self._prioritizes:
            priorities.record_taken(priority, now)
            if is_hedge:
                priorities.record_wanted(priority, now)
        return expression.Ok(retry)

    async def reserve(
        self, service: str, count: float
    ) -> retry_budget.TakenRetries | None:
        """Reserves retries for calls, borrows them if there are too few.

        Args:
          service: the service that is called.
          count: how many, or parts of one.

        Returns:
          The retries, which have to be spent or cancelled; None if there are
          too few.
        """
        budget = self.for_service(service)
        totals = self._totals[service]
        retries = budget.reserve(count, self._clock.monotonic())
        if retries is None:
            await self._borrow(service, count)
            retries = budget.reserve(count, self._clock.monotonic())
        if retries is None:
            totals.refused_reservations += 1
        else:
            totals.reserved_calls = round(totals.reserved_calls + count, 2)
        return retries

    async def _borrow(self, service: str, count: float = 1.0) -> None:
        """Waits for a loan of nearby nodes, if they are likely to have one."""
        budget = self.for_service(service)
        if budget.should_borrow(self._clock.monotonic()):
            await self._loans.borrow(service, budget, count)

    def lend(self, service: str, amount: float) -> float:
        """Lends retries of a service to another node; returns how many."""
        budget = self._budgets.get(service)
        if budget is None and self._configuration.service(service) is None:
            # A node without requests for the service lends its reserve, but
            # another node must not create budgets by any name.
            return 0.0
        return self.for_service(service).lend(amount, self._clock.monotonic())

    def _priorities_of(
        self, service: str, budget: retry_budget.RetryBudget
    ) -> retry_priorities.RetryPriorities:
        priorities = self._priorities.get(service)
        if priorities is None:
            priorities = retry_priorities.RetryPriorities(budget.window)
            self._priorities[service] = priorities
        priorities.configure(budget.window)
        return priorities

    def charge(self, service: str, probability: float) -> None:
        """Charges a request that is a retry with some probability.

        Args:
          service: the service that the request calls.
          probability: the probability that the request is a retry.
        """
        self._pending_retries[service] += probability
        if self._pending_retries[service] >= 1:
            self._pending_retries[service] -= 1
            self._totals[service].charged_calls += 1
            now = self._clock.monotonic()
            budget = self.for_service(service)
            budget.charge(now)
            if not budget.overdraft(now):
                return
            self._totals[service].overdrawn_calls += 1
            if budget.should_borrow(now):
                self._loans.cover_overdraft(service, budget)

    def update_peer(self, node: str, usage: peer_updates.RetryUsage) -> None:
        """Stores the retry usage of another nearby entry node.

        A node that restarts counts from zero. Its usage before the restart is
        kept until its window has passed.

        Args:
          node: name of the sender.
          usage: the sender's counts for one service.
        """
        budget = self._budgets.get(usage.service)
        record = self._fleet.nodes.get(node)
        if budget is not None:
            incarnation = record.incarnation if record else 0
            now = self._clock.monotonic()
            budget.update_peer(node, incarnation, usage.counts, now)
            if self._prioritizes:
                self._priorities_of(usage.service, budget).update_peer(
                    f"{node}/{incarnation}", usage.demands, usage.counts, now
                )

    def take_due_updates(self) -> tuple[peer_updates.RetryUsage, ...]:
        """Returns the retry usages to send to nearby entry nodes now.

        Marks the returned counts as sent and updates the number of neighbours.
        The node polls this several times a second.
        """
        now = self._clock.monotonic()
        nodes, counted_at = self._counted_nodes_and_time
        if (
            len(self._fleet.nodes) != nodes
            or now - counted_at >= NEIGHBOUR_COUNT_INTERVAL
        ):
            self._neighbour_count = len(self._neighbours())
            self._counted_nodes_and_time = (len(self._fleet.nodes), now)
        if now - self._last_update < peer_updates.MIN_UPDATE_INTERVAL:
            return ()
        usages = []
        for service, budget in self._budgets.items():
            priorities = self._priorities.get(service)
            usage = peer_updates.RetryUsage(
                service,
                budget.counts(now),
                priorities.due_demands(now) if priorities else (),
            )
            sent = self._sent_usages.get(service, _NO_USAGE)
            if _has_changed(usage, sent) and budget.needs_sharing(now):
                self._sent_usages[service] = usage
                usages.append(usage)
                if priorities and usage.demands:
                    priorities.record_sent(now)
        if usages:
            self._last_update = now
        return tuple(usages)

    def _limits(self, service: objects.Service) -> retry_budget.RetryLimits:
        """Returns this node's share of the fleet's retry limits."""
        now = self._clock.monotonic()
        window = datetime.timedelta(milliseconds=service.retry_window_ms)
        reserve = retry_budget.DEFAULT_RESERVE
        if service.retry_reserve:
            if self._size.is_due(now):
                nodes = self._node_count(now, window)
                self._size.record(nodes, now, window)
            reserve = service.retry_reserve / max(1, self._size.peak)
        return retry_budget.RetryLimits(
            service.retry_percent / 100,
            reserve,
            window,
            self._neighbour_count,
            self._uptime(now),
            is_reserve_shared=service.retry_reserve > 0,
        )

    def _uptime(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the time since this node's start."""
        if self._started is None:
            return datetime.timedelta.max
        return now - self._started

    def _node_count(
        self, now: datetime.timedelta, window: datetime.timedelta
    ) -> int:
        """Returns how many nodes divide the reserve among them.

        Scenario: regions lose each other for longer than a window, or all nodes
        start and know only their zones. Risk: each part of the fleet divides the
        whole reserve among its own nodes.
        """
        nodes = self._fleet.nodes
        count = len(nodes) + self._unreachable_count()
        if self._uptime(now) >= window:
            return count
        zone = self._locality.zone
        zone_size = sum(node.zone == zone for node in nodes.values())
        return max(count, self._zone_count * zone_size)

    def _neighbours(self) -> list[view.NodeRecord]:
        """Returns the other nodes that share their retries with this one."""
        region = [
            node
            for node in self._fleet.nodes.values()
            if node.region == self._locality.region
            and node.name != self._locality.node
        ]
        if peer_updates.shares_retries_in_region(len(region)):
            return region
        zone = [node for node in region if node.zone == self._locality.zone]
        return zone[: peer_updates.MAX_PEERS]


def _has_changed(
    usage: peer_updates.RetryUsage, sent: peer_updates.RetryUsage
) -> bool:
    """Whether a usage differs enough from that last sent."""
    change = abs(usage.counts.requests - sent.counts.requests)
    return (
        usage.counts.retries != sent.counts.retries
        or bool(usage.demands)
        or change >= REQUESTS_PER_UPDATE
    )
