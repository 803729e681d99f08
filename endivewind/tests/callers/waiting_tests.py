"""The waiting room: slots reserved in turn, and never lost."""

import asyncio
import datetime
import random
import unittest

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.callers import placement
from endivewind.callers import waiting
from endivewind.config import objects
from endivewind.decisions import admission
from endivewind.decisions import load_balancing
from endivewind.nodes import view
from endivewind.tests import samples

SERVICE = "riders"
FAR_OFF = datetime.timedelta(hours=1)


class WaitingRoomTest(unittest.IsolatedAsyncioTestCase):
    """One target with two slots, and more callers than that."""

    def setUp(self):
        clock = clocks.ManualClock()
        self.fleet = view.FleetView()
        self.fleet.put_node(
            view.NodeRecord("node-a", 1, "192.0.2.1:1", "andina", "andina-a")
        )
        self.fleet.put_home_state("node-a", 1, 1, [_record()])
        self.placement = placement.Placement(
            load_balancing.Locality("node-a", "andina", "andina-a"),
            self.fleet,
            lambda service: 0,
            clock,
            random.Random(1),
        )
        self.room = waiting.WaitingRoom(
            self.placement, lambda service: 3, clock
        )

    def ask(self, workspace="a", priority=objects.Priority.NORMAL, tried=()):
        route = objects.Route(service=SERVICE, priority=priority)
        claim = waiting.Claim(
            SERVICE,
            load_balancing.Demand(True, frozenset(tried)),
            admission.Waiter(workspace, 1, waiting.level(route), FAR_OFF),
            0,
        )
        return asyncio.create_task(self.room.place(claim))

    async def settle(self):
        for _ in range(5):
            await asyncio.sleep(0)

    def end(self):
        self.placement.ended(_record(), None, datetime.timedelta())
        self.room.ended(SERVICE)

    async def test_a_freed_slot_goes_to_the_one_whose_turn_it_is(self):
        taken = [self.ask() for _ in range(2)]
        low = self.ask(priority=objects.Priority.LOW)
        high = self.ask(priority=objects.Priority.HIGH)
        await self.settle()
        self.assertTrue(all(task.done() for task in taken))

        self.end()
        await self.settle()

        self.assertEqual((False, True), (low.done(), high.done()))
        self.end()
        await self.settle()
        self.assertTrue(low.result().is_ok())

    async def test_full_queue_refuses_at_once_with_a_time(self):
        waiters = [self.ask() for _ in range(5)]
        refused = self.ask()
        await self.settle()

        error = refused.result().error
        self.assertIs(exchange.Reason.BUSY, error.reason)
        self.assertIs(exchange.Outcome.NOT_RUN, error.outcome)
        self.assertGreaterEqual(error.retry_after, placement.LEAST_RETRY)
        for task in waiters:
            task.cancel()

    async def test_nothing_to_wait_for_is_said_at_once(self):
        refused = self.ask(tried=["riders-1"])
        await self.settle()

        self.assertIs(exchange.Reason.NO_TARGET, refused.result().error.reason)

    async def test_a_caller_who_leaves_takes_no_slot_along(self):
        """A slot is given to a waiter in the moment in which it leaves.

        If the slot stayed counted, this entry would see the target as full
        for ever after two such moments.
        """
        taken = [self.ask() for _ in range(2)]
        leaving = [self.ask() for _ in range(2)]
        await self.settle()
        self.end()
        self.end()
        for task in leaving:
            task.cancel()
        await self.settle()

        after = [self.ask() for _ in range(2)]
        await self.settle()

        self.assertTrue(all(task.cancelled() for task in leaving))
        self.assertTrue(all(task.done() for task in taken + after))


def _record():
    return samples.target("riders-1", slots=2)
