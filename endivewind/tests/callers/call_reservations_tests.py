"""Tests that retried requests reserve retries for their calls."""

import asyncio
import datetime
import random
import unittest

import expression

from endivewind import exchange
from endivewind.callers import call_reservations
from endivewind.callers import entry_routes
from endivewind.callers import request_metrics
from endivewind.callers import target_calls
from endivewind.decisions import retry_budget
from endivewind.standins import virtual_loop
from endivewind.targets import attempt_log
from endivewind.targets import dispatch
from endivewind.targets import registry
from endivewind.tests.loads import fleet

SECOND = datetime.timedelta(seconds=1)
VM = "192.0.2.1"
CALLED_SERVICE = "venues"
PREFIX = "/status/"
# Requests after which the calls per request are known well.
LEARNED_REQUESTS = 40


class _Budgets:
    """One budget for the called service."""

    def __init__(self, clock, reserve):
        self.clock = clock
        self.budget = retry_budget.RetryBudget(
            retry_budget.RetryLimits(0.2, reserve=reserve)
        )

    async def reserve(self, service, count):
        assert service == CALLED_SERVICE
        return self.budget.reserve(count, self.clock.monotonic())

    @property
    def used(self):
        return self.budget.counts(self.clock.monotonic()).retries


class _CallingTarget(fleet.FakeTarget):
    """A target that makes one call for each request with the header Calls."""

    def __init__(self, case):
        super().__init__(case.rng)
        self.failure_share = 0.0
        self._case = case

    async def request(
        self, method, url, *, headers, trace_request_ctx, **other
    ):
        trace_request_ctx.record_connection()
        if "Calls" in headers:
            await asyncio.sleep(0.1)
            await self._case.call()
        return await super().request(
            method,
            url,
            headers=headers,
            trace_request_ctx=trace_request_ctx,
            **other,
        )


def _call(repeat_probability):
    return exchange.TargetCall(repeat_probability=repeat_probability)


class CallReservationTest(unittest.TestCase):
    """A target whose look-ups make one call each, and its node."""

    def setUp(self):
        self.loop = virtual_loop.VirtualLoop()
        self.addCleanup(self.loop.close)
        self.clock = virtual_loop.LoopClock(self.loop)
        self.rng = random.Random(1)
        targets = registry.TargetRegistry(
            registry.HomeIdentity("home", 1, "r", "z"), self.clock
        )
        announcement = registry.Announcement(
            service="riders", address="http://t", slots=3, lease_ms=60_000
        )
        targets.announce("t", announcement, 3)
        self.target = _CallingTarget(self)
        self.dispatcher = dispatch.Dispatcher(
            targets,
            self.target,
            self.target,
            self.clock,
            dispatch.NullObserver(),
            attempt_log.AttemptLog(),
        )
        self.calls = target_calls.TargetCalls(
            self.dispatcher,
            entry_routes.EntryRoutes(self.clock, self.dispatcher),
            request_metrics.RequestMetrics(self.clock),
            self.clock,
        )
        self.sent_calls = []

    def allow(self, retries):
        """Sets the retries of the called service, of which none is used."""
        self.budgets = _Budgets(self.clock, retries)
        self.dispatcher.reserve_calls(
            call_reservations.CallReserver(self.calls, self.budgets, self.clock)
        )

    async def call(self):
        """Sends a call to the node, as the target does."""
        assert self.calls.is_call(CALLED_SERVICE, PREFIX, VM, VM)
        head = exchange.RequestHead(
            "c", "GET", PREFIX, (), CALLED_SERVICE, "", 5 * SECOND
        )

        async def serve(head):
            self.sent_calls.append(head.call)
            return expression.Ok(exchange.Response(200, ()))

        await self.calls.serve(PREFIX, head, serve)

    async def send(
        self, *, calls=True, repeat=False, call=None, work=0.3, timeout=5.0
    ):
        """Sends a request, whose class depends on whether it makes a call."""
        headers = [(b"Work", str(work).encode())]
        if calls:
            headers.append((b"Calls", b"1"))
        head = exchange.RequestHead(
            "r",
            "GET",
            "/",
            tuple(headers),
            "riders",
            "",
            datetime.timedelta(seconds=timeout),
            latency_objective=SECOND,
            queue_priority=2 if calls else 1,
            may_be_duplicate=repeat,
            call=call,
        )
        return await self.dispatcher.run("t", head, exchange.RequestBody())

    def run_one(self, **options):
        return self.loop.run_until_complete(self.send(**options))

    def learn(self):
        """Lets the node learn which requests make calls."""
        self.allow(0)
        for number in range(LEARNED_REQUESTS):
            self.run_one(calls=number % 2 == 0)
        self.sent_calls.clear()

    def test_retry_without_budget_for_its_calls_is_not_sent(self):
        """Guards against calls that exceed the budget of the called service."""
        self.learn()
        self.allow(0.5)

        result = self.run_one(repeat=True)

        self.assertIs(exchange.Reason.CALL_BUDGET, result.error.reason)
        self.assertTrue(result.error.was_not_run)
        self.assertEqual([], self.sent_calls)
        self.assertEqual(0, self.budgets.used)

    def test_call_for_a_repeat_without_budget_for_its_calls_is_not_sent(self):
        """Guards against repeats that count at the first called service only."""
        self.learn()
        self.allow(0.3)

        result = self.run_one(call=_call(0.7))

        self.assertIs(exchange.Reason.CALL_BUDGET, result.error.reason)
        self.assertEqual([], self.sent_calls)

    def test_call_that_is_rather_made_for_a_first_attempt_is_sent(self):
        """Guards against requests that are refused for repeats of others.

        Its own calls are charged when they arrive.
        """
        self.learn()
        self.allow(0)

        self.assertTrue(self.run_one(call=_call(0.3)).is_ok())

        (call,) = self.sent_calls
        self.assertAlmostEqual(0.3, call.retry_probability)
        self.assertAlmostEqual(0.3, call.repeat_probability)

    def test_call_of_a_repeat_is_one_itself_though_reserved(self):
        self.learn()
        self.allow(3)

        self.run_one(repeat=True)

        (call,) = self.sent_calls
        self.assertEqual(1, call.repeat_probability)

    def test_other_requests_need_no_budget(self):
        """Guards against refused requests that make no calls, or first ones."""
        self.learn()
        self.allow(0)

        for options in ({"repeat": False}, {"calls": False, "repeat": True}):
            with self.subTest(**options):
                self.assertTrue(self.run_one(**options).is_ok())

    def test_call_spends_what_its_request_has_reserved(self):
        """Guards against calls that count twice, or not at all."""
        self.learn()
        self.allow(3)

        self.assertTrue(self.run_one(repeat=True).is_ok())

        (call,) = self.sent_calls
        self.assertLess(call.retry_probability, 0.1)
        self.assertEqual(1, self.budgets.used)

    def test_reservation_is_given_back_without_a_call(self):
        """Guards against retries that are lost to requests that fail at once."""
        self.learn()
        self.allow(3)
        self.target.request = self._fail

        self.run_one(repeat=True)

        self.assertEqual(0, self.budgets.used)

    async def _fail(self, method, url, *, trace_request_ctx, **_):
        trace_request_ctx.record_connection()
        return fleet.make_response(500)

    def test_abandoned_request_keeps_its_reservation_for_a_window(self):
        """Guards against calls of a request that its home has given up."""
        self.learn()
        self.allow(3)

        self.run_one(repeat=True, calls=True, work=60, timeout=0.05)

        self.assertEqual(1, self.budgets.used)

    def test_running_retries_reserve_their_calls_apart(self):
        """Guards against retries that share what is left for calls."""
        self.learn()
        self.allow(2.2)

        async def run():
            return await asyncio.gather(
                *(self.send(repeat=True) for _ in range(3))
            )

        results = self.loop.run_until_complete(run())

        self.assertEqual(2, sum(result.is_ok() for result in results))
        self.assertEqual(2, len(self.sent_calls))


if __name__ == "__main__":
    unittest.main()
