"""Tests which requests an entry node still sends while it is stopping."""

import asyncio
import datetime
import random
import unittest
from unittest import mock

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.callers import gateway
from endivewind.callers import placement
from endivewind.callers import routed_request
from endivewind.config import objects
from endivewind.config import store
from endivewind.decisions import load_balancing
from endivewind.nodes import view
from endivewind.tests import samples

STOP_LIMIT = datetime.timedelta(seconds=5)
SECOND = datetime.timedelta(seconds=1)
RESPONSE = exchange.Response(200, (), b"whole")
FAILURE = exchange.Response(500, ())


class _Homes:
    """Fake link pool; each request takes the time that is set.

    Attributes:
      work_time: how long a request takes.
      response: what a request is answered with.
      sent_count: the requests that were sent.
      is_held: whether requests wait until `released` is set.
    """

    def __init__(self, clock) -> None:
        self.work_time = 0.02 * SECOND
        self.response = RESPONSE
        self.sent_count = 0
        self.is_held = False
        self.released = asyncio.Event()
        self._clock = clock

    async def forward(self, home, target, head, body):
        self.sent_count += 1
        if self.is_held:
            await self.released.wait()
        self._clock.advance(self.work_time)
        return expression.Ok(self.response)


class StoppingEntryTest(unittest.IsolatedAsyncioTestCase):
    """The node ends 5 s after the signal; targets have other homes."""

    def setUp(self):
        self.clock = clocks.ManualClock()
        self.homes = _Homes(self.clock)
        fleet = view.FleetView()
        fleet.put_node(view.NodeRecord("home", 7, "home:1", "andina", "a"))
        record = samples.make_target_record(
            "t1", home="home", home_incarnation=7, zone="a", slots=1
        )
        fleet.put_home_state("home", 7, 1, [record])
        place = load_balancing.Locality("entry", "andina", "a")
        self.gateway = gateway.Gateway(
            "entry",
            placement.Placement(
                place, fleet, lambda _: 0, self.clock, random.Random(1)
            ),
            store.ConfigurationStore(),
            fleet,
            None,
            self.homes,
            self.clock,
            mock.Mock(),
        )

    async def send(self, *, ticket="", timeout=5 * SECOND, objective=None):
        head = exchange.RequestHead(
            "r1",
            "GET",
            "/",
            (),
            "riders",
            "",
            timeout,
            ticket,
            latency_objective=objective or datetime.timedelta(),
        )
        return await self.gateway.serve(
            objects.Route(service="riders"), head, exchange.RequestBody()
        )

    async def learn(self, *work_times):
        """Lets the node see how long requests take."""
        for seconds in work_times:
            self.homes.work_time = seconds * SECOND
            await self.send()
        self.homes.sent_count = 0

    def stop(self, elapsed):
        """Begins to stop, so many seconds ago."""
        self.gateway.refuse_outlasting(STOP_LIMIT)
        self.clock.advance(elapsed * SECOND)

    async def assert_refused(self, **options):
        refusal = (await self.send(**options)).error
        self.assertIs(exchange.Reason.STOPPING, refusal.reason)
        self.assertTrue(refusal.was_not_run)
        self.assertEqual(
            routed_request.SHUTDOWN_RETRY_AFTER, refusal.retry_after
        )
        self.assertEqual(0, self.homes.sent_count)

    async def test_request_that_may_outlast_the_node_is_refused(self):
        """Guards against work that a planned stop cuts off at a target."""
        await self.learn(0.02, 0.02, 3, 0.02)
        self.stop(elapsed=1.5)

        await self.assert_refused()
        await self.assert_refused(ticket="ticket")

    async def test_request_that_ends_before_the_node_is_sent(self):
        """Guards against refusing callers that know of no other node yet."""
        await self.learn(0.02, 0.2, 0.02)
        self.stop(elapsed=2.5)

        self.assertTrue((await self.send()).is_ok())
        self.assertTrue((await self.send(ticket="ticket")).is_ok())

    async def test_deadline_bounds_how_long_a_request_may_take(self):
        await self.learn(3)
        self.stop(elapsed=2)

        result = await self.send(timeout=2.9 * SECOND)

        self.assertTrue(result.is_ok())

    async def test_only_recent_requests_count(self):
        """Guards against refusals because of a slow hour long ago."""
        await self.learn(3, *[0.02] * 64)
        self.stop(elapsed=2.5)

        self.assertTrue((await self.send()).is_ok())

    async def test_objective_counts_where_nothing_is_known(self):
        """Guards against a node that has just started and stops again."""
        self.stop(elapsed=2.5)

        await self.assert_refused(objective=3 * SECOND)
        self.assertTrue((await self.send(objective=2 * SECOND)).is_ok())

    async def test_request_that_waited_for_a_slot_is_refused(self):
        """Guards against a request whose time ran out in the queue."""
        await self.learn(2)
        self.homes.is_held = True
        self.homes.work_time = 2 * SECOND
        self.stop(elapsed=1)
        first = asyncio.create_task(self.send())
        await asyncio.sleep(0)
        queued = asyncio.create_task(self.send())
        await asyncio.sleep(0)

        self.homes.released.set()

        async with asyncio.timeout(10):
            self.assertTrue((await first).is_ok())
            refusal = (await queued).error
        self.assertIs(exchange.Reason.STOPPING, refusal.reason)
        self.assertEqual(1, self.homes.sent_count)

    async def test_retry_that_may_outlast_the_node_is_not_sent(self):
        """Guards against a second target that is cut off as well."""
        await self.learn(2)
        self.homes.response = FAILURE
        self.stop(elapsed=1)

        result = await self.send()

        self.assertEqual(500, result.ok.status)
        self.assertEqual(1, self.homes.sent_count)


if __name__ == "__main__":
    unittest.main()
