"""A second target is asked when the first is late, in virtual time."""

import asyncio
import datetime
import random
import unittest

import expression

from endivewind import exchange
from endivewind.callers import gateway
from endivewind.callers import placement
from endivewind.config import objects
from endivewind.config import store
from endivewind.decisions import load_balancing
from endivewind.nodes import view
from endivewind.standins import virtual
from endivewind.tests import samples

SERVICE = "riders"
OK = expression.Ok(exchange.Response(200, ()))
FAILED = expression.Ok(exchange.Response(500, ()))


class _Dispatcher:
    """Answers each hand-over after the seconds that the test has set."""

    def __init__(self) -> None:
        self.script = []
        self.met = []
        self.cancelled = []

    async def run(self, target, head, body):
        self.met.append(target)
        seconds, result = self.script[len(self.met) - 1]
        try:
            await asyncio.sleep(seconds)
        except asyncio.CancelledError:
            self.cancelled.append(target)
            raise
        return result


class HedgingTest(unittest.TestCase):
    """One look-up at a service with several targets; its aim is a second."""

    def setUp(self):
        self.loop = virtual.VirtualLoop()
        self.addCleanup(self.loop.close)
        clock = virtual.LoopClock(self.loop)
        fleet = view.FleetView()
        fleet.put_node(
            view.NodeRecord("node-a", 1, "192.0.2.1:1", "andina", "andina-a")
        )
        targets = [samples.target(f"t{number}") for number in range(4)]
        fleet.put_home_state("node-a", 1, 1, targets)
        place = load_balancing.Locality("node-a", "andina", "andina-a")
        rng = random.Random(1)
        self.dispatcher = _Dispatcher()
        self.gateway = gateway.Gateway(
            "node-a",
            placement.Placement(place, fleet, lambda _: 0, clock, rng),
            store.ConfigurationStore(),
            fleet,
            self.dispatcher,
            None,
            clock,
            None,
            rng,
        )

    def ask(self, *script, ticket="", attempts=2, leave_after=None):
        """The result, and the seconds that it took."""
        self.dispatcher.script = script
        repeat = objects.Repeat.NEVER if ticket else objects.Repeat.ALWAYS
        route = objects.Route(
            service=SERVICE, repeat=repeat, aim_ms=1000, attempts=attempts
        )
        head = exchange.RequestHead(
            "r",
            "GET",
            "/",
            (),
            SERVICE,
            "",
            datetime.timedelta(seconds=3),
            ticket=ticket,
            latency_objective=datetime.timedelta(seconds=1),
        )

        async def run():
            work = self.gateway.serve(route, head, exchange.RequestBody())
            if leave_after is None:
                return await work
            try:
                async with asyncio.timeout(leave_after):
                    return await work
            except TimeoutError:
                return None

        started = self.loop.time()
        result = self.loop.run_until_complete(run())
        return result, self.loop.time() - started

    def test_a_silent_target_costs_part_of_the_aim_not_the_deadline(self):
        result, seconds = self.ask((99, OK), (0.2, OK))

        self.assertEqual(OK, result)
        self.assertLess(seconds, 1)
        self.assertEqual(2, len(set(self.dispatcher.met)))
        self.assertEqual(self.dispatcher.met[:1], self.dispatcher.cancelled)

    def test_the_first_may_still_win(self):
        result, seconds = self.ask((0.8, OK), (9, OK))

        self.assertEqual(OK, result)
        self.assertAlmostEqual(0.8, seconds, places=3)

    def test_a_failed_second_leaves_the_first_its_time(self):
        result, seconds = self.ask((1.5, OK), (0.01, FAILED))

        self.assertEqual(OK, result)
        self.assertAlmostEqual(1.5, seconds, places=3)

    def test_what_must_not_repeat_is_never_at_two_targets(self):
        result, _ = self.ask((1.5, OK), ticket="order")

        self.assertEqual(OK, result)
        self.assertEqual(1, len(self.dispatcher.met))

    def test_nor_is_what_its_route_sends_to_one_target_only(self):
        self.ask((1.5, OK), attempts=1)

        self.assertEqual(1, len(self.dispatcher.met))

    def test_slow_answers_leave_retries_for_failures(self):
        """Every answer is late for a while, and then a target fails.

        Hedges for late answers would use up the retries, and the failed one
        is lost. With two fifths of the retries spent they stop.
        """
        budget = self.gateway.budgets.of(SERVICE)
        now = datetime.timedelta(seconds=self.loop.time())
        for _ in range(20):
            budget.record_request(now)
        while budget.spent_share(now) <= gateway.CHOSEN_SPENT:
            self.assertTrue(budget.take(now))

        self.ask((0.9, OK))
        self.assertEqual(1, len(self.dispatcher.met))
        self.dispatcher.met.clear()
        result, _ = self.ask((0.1, FAILED), (0.1, OK))

        self.assertEqual(OK, result)
        self.assertEqual(2, len(self.dispatcher.met))

    def test_both_stop_when_the_caller_leaves(self):
        result, _ = self.ask((99, OK), (99, OK), leave_after=1.0)

        self.assertIsNone(result)
        self.assertEqual(
            sorted(self.dispatcher.met), sorted(self.dispatcher.cancelled)
        )
