"""Tests of the request queues: slots are assigned in order and not lost."""

import asyncio
import datetime
import random
import unittest

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.callers import placement
from endivewind.callers import request_queues
from endivewind.config import objects
from endivewind.decisions import admission
from endivewind.decisions import load_balancing
from endivewind.nodes import view
from endivewind.tests import samples

SERVICE = "riders"
DISTANT_DEADLINE = datetime.timedelta(hours=1)


class RequestQueuesTest(unittest.IsolatedAsyncioTestCase):
    """One target with two slots, and more requests than that."""

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
        self.queues = request_queues.RequestQueues(
            self.placement, lambda service: 3, clock
        )

    def place_request(
        self, workspace="a", priority=objects.Priority.NORMAL, excluded=()
    ):
        route = objects.Route(service=SERVICE, priority=priority)
        request = request_queues.SlotRequest(
            SERVICE,
            load_balancing.RequestConstraints(True, frozenset(excluded)),
            admission.Waiter(
                workspace,
                1,
                request_queues.queue_priority(route),
                DISTANT_DEADLINE,
            ),
            0,
        )
        return asyncio.create_task(self.queues.place(request))

    async def run_pending_tasks(self):
        for _ in range(5):
            await asyncio.sleep(0)

    def end_request(self):
        self.placement.record_end(_record(), None, datetime.timedelta())
        self.queues.record_end(SERVICE)

    async def test_freed_slot_goes_to_highest_priority(self):
        running = [self.place_request() for _ in range(2)]
        low = self.place_request(priority=objects.Priority.LOW)
        high = self.place_request(priority=objects.Priority.HIGH)
        await self.run_pending_tasks()
        self.assertTrue(all(task.done() for task in running))

        self.end_request()
        await self.run_pending_tasks()

        self.assertEqual((False, True), (low.done(), high.done()))
        self.end_request()
        await self.run_pending_tasks()
        self.assertTrue(low.result().is_ok())

    async def test_full_queue_refuses_at_once_with_retry_after(self):
        waiters = [self.place_request() for _ in range(5)]
        refused_task = self.place_request()
        await self.run_pending_tasks()

        error = refused_task.result().error
        self.assertIs(exchange.Reason.BUSY, error.reason)
        self.assertIs(exchange.ExecutionOutcome.NOT_RUN, error.outcome)
        self.assertGreaterEqual(error.retry_after, placement.MIN_RETRY_AFTER)
        for task in waiters:
            task.cancel()

    async def test_request_without_candidate_is_refused_at_once(self):
        refused_task = self.place_request(excluded=["riders-1"])
        await self.run_pending_tasks()

        self.assertIs(
            exchange.Reason.NO_TARGET, refused_task.result().error.reason
        )

    async def test_cancelled_request_releases_its_slot(self):
        """A slot is assigned to a waiter at the moment it is cancelled.

        If the slot remained reserved, this entry node would consider the
        target full for ever after two such cancellations.
        """
        running = [self.place_request() for _ in range(2)]
        cancelled_tasks = [self.place_request() for _ in range(2)]
        await self.run_pending_tasks()
        self.end_request()
        self.end_request()
        for task in cancelled_tasks:
            task.cancel()
        await self.run_pending_tasks()

        after = [self.place_request() for _ in range(2)]
        await self.run_pending_tasks()

        self.assertTrue(all(task.cancelled() for task in cancelled_tasks))
        self.assertTrue(all(task.done() for task in running + after))


def _record():
    return samples.make_target_record("riders-1", slots=2)
