"""Tests in which order, and how often, nodes are asked for loans of retries."""

import asyncio
import datetime
import random
import unittest

from endivewind.callers import retry_loans
from endivewind.decisions import retry_budget
from endivewind.nodes import view
from endivewind.standins import virtual_loop

SERVICE = "riders"
LINK_SECONDS = 0.002


class _Lenders:
    """Nodes that lend what they hold; a node without an entry hangs."""

    def __init__(self, **amounts):
        self.amounts = amounts
        self.asked = []

    def nodes(self):
        return [
            view.NodeRecord(name, 1, "", "r", name[0]) for name in self.amounts
        ]

    async def request(self, lender, service, amount):
        self.asked.append(lender.name)
        held = self.amounts[lender.name]
        if held is None:
            await asyncio.sleep(10)
            return 0.0
        await asyncio.sleep(LINK_SECONDS)
        lent = min(held, amount)
        self.amounts[lender.name] -= lent
        return lent


class RetryLoansTest(unittest.TestCase):
    def setUp(self):
        self.loop = virtual_loop.VirtualLoop()
        self.addCleanup(self.loop.close)
        self.clock = virtual_loop.LoopClock(self.loop)
        self.budget = retry_budget.RetryBudget(
            retry_budget.RetryLimits(0.2, reserve=0)
        )

    def _borrow(self, lenders, times=1):
        """Borrows for requests that come together; returns those served."""
        loans = retry_loans.RetryLoans(
            lenders.request, lenders.nodes, "a", self.clock, random.Random(1)
        )

        async def borrow_and_take():
            await loans.borrow(SERVICE, self.budget)
            return self.budget.take(self.clock.monotonic())

        async def borrow_all():
            results = await asyncio.gather(
                *(borrow_and_take() for _ in range(times))
            )
            later = await borrow_and_take()
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            return sum(results), later

        return self.loop.run_until_complete(borrow_all())

    def test_nodes_of_the_zone_are_asked_first(self):
        """Guards against traffic between zones that is paid for in vain."""
        lenders = _Lenders(b1=2.0, a1=1.0, b2=2.0, a2=0.0)

        served, _ = self._borrow(lenders)

        self.assertEqual(1, served)
        self.assertNotIn("b1", lenders.asked[: lenders.asked.index("a1")])
        self.assertNotIn("b2", lenders.asked[: lenders.asked.index("a1")])

    def test_parts_of_several_nodes_make_a_retry(self):
        served, _ = self._borrow(_Lenders(a1=0.5, a2=0.0, b1=0.4, b2=0.3))

        self.assertEqual(1, served)

    def test_requests_that_come_together_share_a_round(self):
        """Guards against a storm of messages when many requests fail.

        Each node is asked once for the five, and once for the one that follows.
        """
        lenders = _Lenders(a1=3.0, a2=3.0)

        served, later = self._borrow(lenders, times=5)

        self.assertEqual((5, True), (served, later))
        self.assertLessEqual(len(lenders.asked), 4)

    def test_nobody_is_asked_again_while_nobody_has_retries(self):
        """Guards against messages for each request of a long outage."""
        lenders = _Lenders(a1=0.0, b1=0.0)

        served, later = self._borrow(lenders, times=3)

        self.assertEqual((0, False), (served, later))
        self.assertEqual(2, len(lenders.asked))

    def test_overdraft_is_borrowed_once(self):
        """Guards against calls that are paid for by several nodes."""
        lenders = _Lenders(a1=3.0, b1=3.0)
        loans = retry_loans.RetryLoans(
            lenders.request, lenders.nodes, "a", self.clock, random.Random(1)
        )

        async def charge_and_cover():
            for _ in range(2):
                self.budget.charge(self.clock.monotonic())
                loans.cover_overdraft(SERVICE, self.budget)
            await asyncio.sleep(1)

        self.loop.run_until_complete(charge_and_cover())

        self.assertEqual(0, self.budget.overdraft(self.clock.monotonic()))
        self.assertEqual(4, sum(lenders.amounts.values()))

    def test_request_does_not_wait_for_a_node_that_hangs(self):
        """Guards against a caller that waits because a neighbour has died."""
        started = self.clock.monotonic()

        served, _ = self._borrow(_Lenders(a1=None))

        waited = self.clock.monotonic() - started
        self.assertEqual(0, served)
        self.assertLessEqual(waited, 2 * retry_loans.MAX_WAIT)
        self.assertGreater(waited, datetime.timedelta())


if __name__ == "__main__":
    unittest.main()
