"""The fleet's bound on retries, over nodes that come, go and forget.

The pattern: most of a service fails for many seconds, every failure asks for
a retry, and repeats call the service again from where they run. Nodes are
killed, start again and know nothing of before; what they tell each other is
late and partly lost.
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
TICK = datetime.timedelta(milliseconds=250)
WINDOW_TICKS = 40
SHARE = 0.2
RESERVE_OF_A_NODE = 2.0
SECONDS = 40


class _Node:
    """One entry; what it knows of the fleet is in its view."""

    def __init__(self, number, fleet):
        self.number = number
        self.incarnation = 0
        self.down = 0
        self._fleet = fleet
        self.start()

    def start(self):
        """Starts anew: what it has counted is forgotten."""
        self.incarnation += 1
        self.view = view.FleetView()
        self.budgets = budgets.RetryBudgets(
            self._fleet.configuration,
            self.view,
            load_balancing.Locality(f"n{self.number}", "r", "z"),
            self._fleet.clock,
        )

    def know(self, nodes):
        """Learns which nodes live."""
        for node in nodes:
            name = f"n{node.number}"
            if node.down:
                self.view.remove_node(name)
            else:
                record = view.NodeRecord(name, node.incarnation, "", "r", "z")
                self.view.put_node(record)


class _Fleet:
    """Nodes under a storm of failures; counts what reaches the service."""

    def __init__(self, number, rng):
        self.clock = clocks.ManualClock()
        # The fleet has run for a while; only later starts are new.
        self.rng = rng
        limits = settings.FleetLimits(
            retry_share=SHARE,
            retry_reserve=RESERVE_OF_A_NODE * number,
            retry_window_seconds=WINDOW_TICKS * TICK.total_seconds(),
            floor_share=0.7,
        )
        service = limits.applied_to(settings.objects.Service())
        self.configuration = store.ConfigurationStore()
        spec = service.model_dump(mode="json", exclude_defaults=True)
        self.configuration.apply(
            store.SERVICE, SERVICE, 1, {"spec": spec, "operation": "o"}
        )
        self.nodes = [_Node(index, self) for index in range(number)]
        self.clock.advance(WINDOW_TICKS * TICK)
        self.asked = []
        self.repeated = []
        self._late = []

    def play(self, kills):
        """Plays the storm; kills are (tick, node) pairs."""
        for tick in range(int(SECONDS / TICK.total_seconds())):
            self.clock.advance(TICK)
            self.asked.append(0)
            self.repeated.append(0)
            self._kill([node for at, node in kills if at == tick])
            for node in self.nodes:
                node.know(self.nodes)
            self._hear()
            for node in self.nodes:
                if not node.down:
                    self._serve(node)
                    self._tell(node)

    def _kill(self, numbers):
        for node in self.nodes:
            if node.down:
                node.down -= 1
                if not node.down:
                    node.start()
            elif node.number in numbers:
                node.down = 8

    def _serve(self, node):
        now = self.clock.monotonic()
        budget = node.budgets.of(SERVICE)
        for _ in range(self.rng.choice((0, 0, 1, 1, 2))):
            budget.record_request(now)
            self.asked[-1] += 1
            if not budget.take(now, may_borrow=True):
                continue
            self.repeated[-1] += 1
            if self.rng.random() < 0.2:
                # The repeat calls the service from the node where it runs.
                self._call(self.rng.choice(self.nodes), now)

    def _call(self, node, now):
        self.repeated[-1] += 1
        if not node.down:
            node.budgets.of(SERVICE).charge(now)

    def _tell(self, node):
        for tally in node.budgets.due():
            late = self.rng.choice((0, 1))
            self._late.append((late, node.number, tally))

    def _hear(self):
        waiting, self._late = self._late, []
        for late, sender, tally in waiting:
            if late:
                self._late.append((late - 1, sender, tally))
                continue
            for node in self.nodes:
                lost = self.rng.random() < 0.05
                if node.number != sender and not node.down and not lost:
                    node.budgets.hear(f"n{sender}", tally)

    def worst(self):
        """The most that any window has above its bound; negative if none."""
        found = []
        for end in range(WINDOW_TICKS, len(self.asked) + 1):
            start = end - WINDOW_TICKS
            used = sum(self.repeated[start:end])
            earlier = (0, WINDOW_TICKS // 2, WINDOW_TICKS)
            asked = max(
                sum(self.asked[max(0, start - by) : end - by]) for by in earlier
            )
            bound = SHARE * asked + RESERVE_OF_A_NODE * len(self.nodes)
            found.append(used - bound)
        return max(found)


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
    def test_every_window_keeps_the_fleets_bound(self, number, seed, kills):
        """A service that fails gets no more than it was promised.

        A node that starts again has forgotten what it has spent; with nodes
        gone the others' parts would grow; the same retry may be lent twice
        while a message is on its way; calls of repeats come unasked.
        """
        fleet = _Fleet(number, random.Random(seed))
        fleet.play(kills)

        self.assertLessEqual(fleet.worst(), 0)
        # The bound is made use of, or nothing would be retried.
        self.assertGreater(sum(fleet.repeated), 0.1 * sum(fleet.asked))

    def test_calls_that_are_likely_repeats_are_charged_by_likelihood(self):
        fleet = _Fleet(3, random.Random(1))
        first = fleet.nodes[0]
        for _ in range(10):
            first.budgets.charge(SERVICE, 0.25)

        count = first.budgets.of(SERVICE).counts(fleet.clock.monotonic())
        self.assertEqual(2, count.retries)

    def test_the_loss_of_half_the_fleet_gives_the_rest_no_more(self):
        """What those that are gone have used still counts in the window."""
        fleet = _Fleet(20, random.Random(7))
        fleet.play([(60, number) for number in range(10)])

        self.assertLessEqual(fleet.worst(), 0)

    def test_a_neighbours_new_start_does_not_hide_what_it_has_used(self):
        fleet = _Fleet(2, random.Random(1))
        first, second = fleet.nodes
        first.know(fleet.nodes)
        budget = first.budgets.of(SERVICE)
        first.budgets.hear("n1", _tally(10, 6))
        before = budget.spent_share(fleet.clock.monotonic())
        second.start()
        first.know(fleet.nodes)

        first.budgets.hear("n1", _tally(0, 0))

        self.assertGreaterEqual(
            budget.spent_share(fleet.clock.monotonic()), before
        )


def _tally(requests, repeats):
    return peer_updates.RetryUsage(
        SERVICE, budgets.retries.RequestCounts(requests, repeats)
    )


if __name__ == "__main__":
    unittest.main()
