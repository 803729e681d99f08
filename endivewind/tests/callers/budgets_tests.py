"""Tests of the fleet's limit on retries while nodes restart.

Scenario: most requests to a service fail for many seconds, each failure is to
be retried, and retried requests call the service again from the node where
they run. Nodes are killed and restart without their counts, and the messages
between them are delayed or lost.
"""

import datetime
import random
import unittest

import hypothesis
from hypothesis import strategies

from endivewind import clock as clocks
from endivewind.callers import budgets
from endivewind.config import settings
from endivewind.config import store
from endivewind.decisions import load_balancing
from endivewind.decisions import peer_updates
from endivewind.nodes import view

SERVICE = "riders"
TICK_INTERVAL = datetime.timedelta(milliseconds=250)
WINDOW_TICKS = 40
RETRY_SHARE = 0.2
RESERVE_PER_NODE = 2.0
SIMULATED_SECONDS = 40


class _Node:
    """An entry node with its own view of the fleet."""

    def __init__(self, number, fleet):
        self.number = number
        self.incarnation = 0
        self.ticks_down = 0
        self._fleet = fleet
        self.start()

    def start(self):
        """Starts or restarts the node, without any counts."""
        self.incarnation += 1
        self.view = view.FleetView()
        self.budgets = budgets.RetryBudgets(
            self._fleet.configuration,
            self.view,
            load_balancing.Locality(f"n{self.number}", "r", "z"),
            self._fleet.clock,
            self._fleet.rng,
            started=self._fleet.clock.monotonic(),
            prioritizes=self._fleet.prioritizes,
        )

    def update_view(self, nodes):
        """Updates the view: nodes that are down are removed from it."""
        for node in nodes:
            name = f"n{node.number}"
            if node.ticks_down:
                self.view.remove_node(name)
            else:
                record = view.NodeRecord(name, node.incarnation, "", "r", "z")
                self.view.put_node(record)


class _Fleet:
    """Simulates nodes whose requests fail; counts requests and retries."""

    def __init__(self, node_count, rng, *, prioritizes=False):
        self.prioritizes = prioritizes
        self.clock = clocks.ManualClock()
        self.rng = rng
        limits = settings.FleetLimits(
            retry_share=RETRY_SHARE,
            retry_reserve=RESERVE_PER_NODE * node_count,
            retry_window_seconds=WINDOW_TICKS * TICK_INTERVAL.total_seconds(),
            floor_share=0.7,
        )
        service = limits.apply_to(settings.objects.Service())
        self.configuration = store.ConfigurationStore()
        spec = service.model_dump(mode="json", exclude_defaults=True)
        self.configuration.apply(
            store.SERVICE, SERVICE, 1, {"spec": spec, "operation": "o"}
        )
        self.nodes = [_Node(index, self) for index in range(node_count)]
        self.clock.advance(WINDOW_TICKS * TICK_INTERVAL)
        self.request_counts = []
        self.retry_counts = []
        self.wanted_counts = [0, 0]
        self.taken_counts = [0, 0]
        self._in_transit = []

    def simulate(self, kills):
        """Runs the simulation; kills are (tick, node) pairs."""
        for tick in range(
            int(SIMULATED_SECONDS / TICK_INTERVAL.total_seconds())
        ):
            self.clock.advance(TICK_INTERVAL)
            self.request_counts.append(0)
            self.retry_counts.append(0)
            self._kill([node for at, node in kills if at == tick])
            for node in self.nodes:
                node.update_view(self.nodes)
            self._deliver_usages()
            for node in self.nodes:
                if not node.ticks_down:
                    self._serve(node)
                    self._send_usages(node)

    def _kill(self, numbers):
        for node in self.nodes:
            if node.ticks_down:
                node.ticks_down -= 1
                if not node.ticks_down:
                    node.start()
            elif node.number in numbers:
                node.ticks_down = 8

    def _serve(self, node):
        now = self.clock.monotonic()
        budget = node.budgets.for_service(SERVICE)
        for _ in range(self.rng.choice((0, 0, 1, 1, 2))):
            budget.record_request(now)
            self.request_counts[-1] += 1
            if not self._take(node, budget, now):
                continue
            self.retry_counts[-1] += 1
            if self.rng.random() < 0.2:
                # The retried request calls the service from its node.
                self._call(self.rng.choice(self.nodes), now)

    def _take(self, node, budget, now):
        if not self.prioritizes:
            if not budget.take(now):
                self.borrow(node)
                return budget.take(now)
            return True
        priority = self.rng.choice((0, 0, 0, 1))
        node.budgets.record_request(SERVICE, priority, is_from_caller=False)
        result = node.budgets.take(SERVICE, priority, may_borrow=True)
        is_taken = result.is_ok()
        if is_taken:
            result.ok.record_sent(now)
        self.wanted_counts[priority] += 1
        self.taken_counts[priority] += is_taken
        return is_taken

    def borrow(self, node):
        """Borrows a retry of the other nodes; some loans are lost."""
        now = self.clock.monotonic()
        budget = node.budgets.for_service(SERVICE)
        for lender in self.nodes:
            missing = budget.missing(1, now)
            if not missing:
                return
            if lender is node or lender.ticks_down:
                continue
            amount = lender.budgets.lend(SERVICE, missing)
            if self.rng.random() >= 0.05:
                budget.add_loan(amount, now)

    def _call(self, node, now):
        self.retry_counts[-1] += 1
        if not node.ticks_down:
            node.budgets.for_service(SERVICE).charge(now)

    def _send_usages(self, node):
        for usage in node.budgets.take_due_updates():
            delay = self.rng.choice((0, 1))
            self._in_transit.append((delay, node.number, usage))

    def _deliver_usages(self):
        waiting, self._in_transit = self._in_transit, []
        for delay, sender, usage in waiting:
            if delay:
                self._in_transit.append((delay - 1, sender, usage))
                continue
            for node in self.nodes:
                lost = self.rng.random() < 0.05
                if node.number != sender and not node.ticks_down and not lost:
                    node.budgets.update_peer(f"n{sender}", usage)

    def max_excess(self):
        """Returns the maximum excess over the bound in any window.

        It is negative if all windows are within the bound.
        """
        excesses = []
        for end in range(WINDOW_TICKS, len(self.request_counts) + 1):
            start = end - WINDOW_TICKS
            retried = sum(self.retry_counts[start:end])
            offsets = (0, WINDOW_TICKS // 2, WINDOW_TICKS)
            request_count = max(
                sum(self.request_counts[max(0, start - offset) : end - offset])
                for offset in offsets
            )
            bound = RETRY_SHARE * request_count + RESERVE_PER_NODE * len(
                self.nodes
            )
            excesses.append(retried - bound)
        return max(excesses)


class FleetBoundTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
    @hypothesis.given(
        strategies.integers(3, 24),
        strategies.integers(0, 10_000),
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 150), strategies.integers(0, 23)
            ),
            max_size=20,
        ),
    )
    def test_retries_stay_within_limit_of_fleet(self, node_count, seed, kills):
        """Guards against retries beyond the limit while a service fails.

        Possible causes: a restarted node has lost its counts; the shares of the
        other nodes grow when nodes are gone; two nodes borrow the same retry
        while a message is in transit; calls made by retries can't be refused.
        """
        fleet = _Fleet(node_count, random.Random(seed))
        fleet.simulate(kills)

        self.assertLessEqual(fleet.max_excess(), 0)
        # A budget that allows no retries at all would pass the check above.
        self.assertGreater(
            sum(fleet.retry_counts), 0.1 * sum(fleet.request_counts)
        )

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=3)
    @hypothesis.given(
        strategies.integers(3, 12), strategies.integers(0, 10_000)
    )
    def test_limit_holds_while_urgent_requests_go_first(self, node_count, seed):
        """Guards against retries that urgent requests take beyond the limit."""
        fleet = _Fleet(node_count, random.Random(seed), prioritizes=True)
        fleet.simulate([(30, 0), (70, 1)])

        self.assertLessEqual(fleet.max_excess(), 0)
        patient, urgent = (
            taken / wanted
            for taken, wanted in zip(
                fleet.taken_counts, fleet.wanted_counts, strict=True
            )
        )
        self.assertGreater(urgent, patient)

    def test_demand_is_sent_only_if_retries_have_priorities(self):
        """Guards against new bytes on the wire while the setting is off."""
        for prioritizes in (False, True):
            fleet = _Fleet(2, random.Random(1), prioritizes=prioritizes)
            node = fleet.nodes[0]
            node.update_view(fleet.nodes)
            node.budgets.take_due_updates()
            node.budgets.record_request(SERVICE, 1, is_from_caller=False)
            node.budgets.take(SERVICE, 1, may_borrow=True)
            fleet.clock.advance(TICK_INTERVAL)

            (usage,) = node.budgets.take_due_updates()

            self.assertEqual(prioritizes, bool(usage.demands))

    def test_probable_retries_are_charged_by_probability(self):
        fleet = _Fleet(3, random.Random(1))
        first = fleet.nodes[0]
        for _ in range(10):
            first.budgets.charge(SERVICE, 0.25)

        count = first.budgets.for_service(SERVICE).counts(
            fleet.clock.monotonic()
        )
        self.assertEqual(2, count.retries)

    def test_loss_of_half_the_fleet_does_not_raise_limits(self):
        """Guards against larger shares while the lost nodes' retries count."""
        fleet = _Fleet(20, random.Random(7))
        fleet.simulate([(60, number) for number in range(10)])

        self.assertLessEqual(fleet.max_excess(), 0)

    def test_nodes_that_act_at_once_do_not_spend_the_same_retries(self):
        """Guards against several nodes borrowing the same shared retries.

        All nodes see failures at the same moment, before any has received the
        others' counts.
        """
        fleet = _Fleet(4, random.Random(1))
        for node in fleet.nodes:
            node.update_view(fleet.nodes)
            node.budgets.for_service(SERVICE)
            node.budgets.take_due_updates()

        taken = sum(_take_all(node, fleet) for node in fleet.nodes)

        self.assertLessEqual(taken, RESERVE_PER_NODE * len(fleet.nodes))
        self.assertGreater(taken, 0)

    def test_share_does_not_grow_while_retries_of_lost_nodes_count(self):
        """Guards against twice the retries after the loss of half the fleet.

        The retries that the lost nodes made still count in the window.
        """
        fleet = _Fleet(20, random.Random(1))
        first = fleet.nodes[0]
        first.update_view(fleet.nodes)
        first.budgets.for_service(SERVICE)
        for node in fleet.nodes[10:]:
            node.ticks_down = 8
        fleet.clock.advance(TICK_INTERVAL)
        first.update_view(fleet.nodes)

        budget = first.budgets.for_service(SERVICE)
        taken = sum(budget.take(fleet.clock.monotonic()) for _ in range(100))

        self.assertLessEqual(taken, RESERVE_PER_NODE)

    def test_size_of_the_fleet_is_remembered_for_the_longest_window(self):
        """Guards against a service whose window hides the loss of nodes.

        Another service has a window ten times as long.
        """
        size = budgets.PeakFleetSize()
        second = datetime.timedelta(seconds=1)
        size.record(20, 0 * second, 10 * second)
        size.record(10, 5 * second, 1 * second)

        self.assertEqual(20, size.peak)
        size.record(10, 11 * second, 1 * second)
        self.assertEqual(10, size.peak)

    def test_parts_of_the_fleet_do_not_use_its_whole_reserve_each(self):
        """Guards against a reserve that a partition or a start multiplies.

        A node knows its zone only: it has just started, or the nodes of the
        other three zones are beyond its reach for longer than a window. Nodes
        that have just started may have a quarter of the reserve.
        """
        fleet = _Fleet(20, random.Random(1))
        for unreachable, zone_count, age, share in (
            (0, 4, 0.99, 0.25),
            (15, 0, 2, 1),
        ):
            node = budgets.RetryBudgets(
                fleet.configuration,
                view.FleetView(),
                load_balancing.Locality("n0", "r", "z"),
                fleet.clock,
                fleet.rng,
                started=fleet.clock.monotonic(),
                unreachable_count=lambda count=unreachable: count,
                zone_count=zone_count,
            )
            for number in range(5):
                record = view.NodeRecord(f"n{number}", 1, "", "r", "z")
                node._fleet.put_node(record)
            fleet.clock.advance(age * WINDOW_TICKS * TICK_INTERVAL)
            budget = node.for_service(SERVICE)
            with self.subTest(age=age):
                taken = sum(
                    budget.take(fleet.clock.monotonic()) for _ in range(100)
                )
                self.assertLessEqual(taken, share * RESERVE_PER_NODE)

    def test_usage_of_restarted_neighbour_still_counts(self):
        fleet = _Fleet(2, random.Random(1))
        first, second = fleet.nodes
        first.update_view(fleet.nodes)
        budget = first.budgets.for_service(SERVICE)
        first.budgets.update_peer("n1", _make_usage(10, 6))
        before = budget.spent_share(fleet.clock.monotonic())
        second.start()
        first.update_view(fleet.nodes)

        first.budgets.update_peer("n1", _make_usage(0, 0))

        self.assertGreaterEqual(
            budget.spent_share(fleet.clock.monotonic()), before
        )


def _take_all(node, fleet):
    """Takes and borrows retries until none is left; returns how many."""
    budget = node.budgets.for_service(SERVICE)
    taken = 0
    while budget.take(fleet.clock.monotonic()):
        taken += 1
        fleet.borrow(node)
    return taken


def _make_usage(request_count, retry_count):
    return peer_updates.RetryUsage(
        SERVICE, budgets.retry_budget.RequestCounts(request_count, retry_count)
    )


if __name__ == "__main__":
    unittest.main()
