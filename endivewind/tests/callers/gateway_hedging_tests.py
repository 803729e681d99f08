"""Tests of hedged requests, in virtual time."""

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
from endivewind.standins import virtual_loop
from endivewind.tests import samples

SERVICE = "riders"
OK = expression.Ok(exchange.Response(200, ()))
FAILURE = expression.Ok(exchange.Response(500, ()))
BUSY = expression.Error(exchange.not_run_refusal(exchange.Reason.BUSY))


class _Dispatcher:
    """Fake dispatcher that returns scripted results after given delays."""

    def __init__(self) -> None:
        self.script = []
        self.called_targets = []
        self.cancelled = []

    async def run(self, target, head, body):
        self.called_targets.append(target)
        seconds, result = self.script[len(self.called_targets) - 1]
        try:
            await asyncio.sleep(seconds)
        except asyncio.CancelledError:
            self.cancelled.append(target)
            raise
        return result


class HedgingTest(unittest.TestCase):
    """One look-up at a service with four targets; its objective is 1 s."""

    def setUp(self):
        self.loop = virtual_loop.VirtualLoop()
        self.addCleanup(self.loop.close)
        clock = virtual_loop.LoopClock(self.loop)
        fleet = view.FleetView()
        fleet.put_node(
            view.NodeRecord("node-a", 1, "192.0.2.1:1", "andina", "andina-a")
        )
        targets = [
            samples.make_target_record(f"t{number}") for number in range(4)
        ]
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

    def send_request(self, *script, ticket="", attempts=2, cancel_after=None):
        """Returns the result and the seconds that it took."""
        self.dispatcher.script = script
        repeat = (
            objects.RepeatPolicy.NEVER
            if ticket
            else objects.RepeatPolicy.ALWAYS
        )
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
            if cancel_after is None:
                return await work
            try:
                async with asyncio.timeout(cancel_after):
                    return await work
            except TimeoutError:
                return None

        started = self.loop.time()
        result = self.loop.run_until_complete(run())
        return result, self.loop.time() - started

    def test_second_target_responds_within_latency_objective(self):
        result, seconds = self.send_request((99, OK), (0.2, OK))

        self.assertEqual(OK, result)
        self.assertLess(seconds, 1)
        self.assertEqual(2, len(set(self.dispatcher.called_targets)))
        self.assertEqual(
            self.dispatcher.called_targets[:1], self.dispatcher.cancelled
        )

    def test_first_target_may_respond_first(self):
        result, seconds = self.send_request((0.8, OK), (9, OK))

        self.assertEqual(OK, result)
        self.assertAlmostEqual(0.8, seconds, places=3)

    def test_failure_of_second_target_does_not_end_first(self):
        result, seconds = self.send_request((1.5, OK), (0.01, FAILURE))

        self.assertEqual(OK, result)
        self.assertAlmostEqual(1.5, seconds, places=3)

    def test_non_idempotent_request_is_not_hedged(self):
        result, _ = self.send_request((1.5, OK), ticket="order")

        self.assertEqual(OK, result)
        self.assertEqual(1, len(self.dispatcher.called_targets))

    def test_route_with_one_attempt_is_not_hedged(self):
        self.send_request((1.5, OK), attempts=1)

        self.assertEqual(1, len(self.dispatcher.called_targets))

    def test_retry_that_is_replaced_is_given_back(self):
        """Guards against retries that are held for ever.

        The retry of a failed request finds no slot, and its hedged request
        fails. Two retries are sent, the hedged one and the last one.
        """
        result, _ = self.send_request(
            (0.01, FAILURE), (0.7, BUSY), (0.2, FAILURE), (0.01, OK), attempts=4
        )

        budget = self.gateway.budgets.for_service(SERVICE)
        now = datetime.timedelta(seconds=self.loop.time())
        self.assertEqual(OK, result)
        self.assertEqual(2, budget.counts(now).retries)

    def test_slow_responses_leave_retries_for_failures(self):
        """All responses are late for a while, and then a target fails.

        If hedged requests used up the retry budget, the failed request could
        not be retried. So hedging stops when two fifths of it are spent.
        """
        budget = self.gateway.budgets.for_service(SERVICE)
        now = datetime.timedelta(seconds=self.loop.time())
        for _ in range(20):
            budget.record_request(now)
        while budget.spent_share(now) <= gateway.MAX_HEDGE_BUDGET_SHARE:
            self.assertTrue(budget.take(now))

        self.send_request((0.9, OK))
        self.assertEqual(1, len(self.dispatcher.called_targets))
        self.dispatcher.called_targets.clear()
        result, _ = self.send_request((0.1, FAILURE), (0.1, OK))

        self.assertEqual(OK, result)
        self.assertEqual(2, len(self.dispatcher.called_targets))

    def test_cancellation_stops_both_attempts(self):
        result, _ = self.send_request((99, OK), (99, OK), cancel_after=1.0)

        self.assertIsNone(result)
        self.assertEqual(
            sorted(self.dispatcher.called_targets),
            sorted(self.dispatcher.cancelled),
        )
