"""Load test: homes are stopped in turn while targets hang now and then.

A home announces its drain after a while, so that its target is not idle for
long, and ends at its limit. Requests that it has then not completed are lost.
"""

import asyncio
import datetime
import unittest

import expression

from endivewind import exchange
from endivewind.nodes import graceful_shutdown
from endivewind.tests.loads import fleet

# Times of one of the users' deployments.
STOP_LIMIT = datetime.timedelta(seconds=5)
ORDER = fleet.RequestKind("order", 30, 0.4, 0.5, 2.0, 4.0, True)
LOOKUP = fleet.RequestKind("lookup", 8, 0.6, 0.5, 4.0, 8.0)
STOP_INTERVAL_SECONDS = 0.6
HANG_SHARE = 0.05
SEEDS = (2, 3, 17)


class StoppingFleet(fleet.Fleet):
    """A fleet whose homes stop.

    Attributes:
      lost_orders: non-idempotent requests that were lost with a home.
    """

    def __init__(self, seed):
        self.lost_orders = 0
        self._ends = {}
        super().__init__(seed)
        for target in self.targets.values():
            target.hang_share = HANG_SHARE

    async def forward(self, zone, home, target, head, body):
        """Delivers a request to a home node, unless the home ends meanwhile."""
        ended = self._ends.setdefault(home.name, asyncio.Event())
        serving = asyncio.create_task(
            super().forward(zone, home, target, head, body)
        )
        ending = asyncio.create_task(ended.wait())
        try:
            await asyncio.wait(
                (serving, ending), return_when=asyncio.FIRST_COMPLETED
            )
            if serving.done():
                return serving.result()
        finally:
            ending.cancel()
            serving.cancel()
        self.lost_orders += bool(head.ticket)
        return expression.Error(
            exchange.unknown_outcome_refusal(exchange.Reason.HOME_LOST)
        )

    async def stop_home(self, name):
        """Stops a home in the stages of a graceful shutdown."""
        self._dispatchers[name].refuse_outlasting(STOP_LIMIT)
        notice = graceful_shutdown.DRAIN_NOTICE_SHARE * STOP_LIMIT
        await self.delay(notice.total_seconds())
        self._view.remove_home_targets(name)
        await self.delay((STOP_LIMIT - notice).total_seconds())
        self._ends.setdefault(name, asyncio.Event()).set()

    async def _run_scheduled_joins(self):
        for name in list(self.targets)[::2]:
            await self.delay(STOP_INTERVAL_SECONDS)
            task = asyncio.create_task(self.stop_home(name))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)


class StoppingHomesTest(unittest.TestCase):
    def test_orders_are_not_lost_with_a_home(self):
        """Guards against orders that a planned stop leaves with no outcome.

        An order that hangs lasts until its time limit. A home that has been
        stopping for more than a second ends before that.
        """
        for seed in SEEDS:
            simulated = StoppingFleet(seed)
            simulated.run(9, (ORDER, LOOKUP))

            with self.subTest(seed=seed):
                self.assertEqual(0, simulated.lost_orders)


if __name__ == "__main__":
    unittest.main()
