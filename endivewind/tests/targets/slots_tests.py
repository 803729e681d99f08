"""The slots of a target and the queue before them, in virtual time."""

import asyncio
import datetime
import unittest

from endivewind.standins import virtual
from endivewind.targets import slots

SECOND = datetime.timedelta(seconds=1)
SLOTS = 2


class SlotsTest(unittest.TestCase):
    def setUp(self):
        self.loop = virtual.VirtualLoop()
        self.addCleanup(self.loop.close)
        self.slots = slots.Slots(virtual.LoopClock(self.loop))
        self.order = []

    async def _work(self, name, level=0, seconds=1.0, deadline=60):
        place = slots.waiter(level, deadline * SECOND)
        if not await self.slots.take(SLOTS, place):
            self.order.append(f"{name} refused")
            return
        self.order.append(name)
        await asyncio.sleep(seconds)
        self.slots.free(SLOTS)

    def _run(self, *works):
        async def run():
            tasks = []
            for work in works:
                tasks.append(asyncio.create_task(work))
                await asyncio.sleep(0.01)
            await asyncio.gather(*tasks, return_exceptions=True)

        self.loop.run_until_complete(run())

    def test_the_important_one_goes_first(self):
        self._run(
            *(self._work(f"early-{number}") for number in range(SLOTS)),
            self._work("lookup", level=1),
            self._work("payout", level=2),
        )

        self.assertEqual(["payout", "lookup"], self.order[SLOTS:])

    def test_a_full_queue_refuses_at_once(self):
        """Those that it can't hold hear so while another target is free."""
        room = SLOTS * (1 + slots.QUEUE_PER_SLOT)
        self._run(*(self._work(f"r{number}") for number in range(room + 1)))

        self.assertEqual(f"r{room} refused", self.order[SLOTS])
        self.assertEqual(0, self.slots.load)

    def test_one_displaced_by_a_higher_one_is_refused(self):
        room = SLOTS * (1 + slots.QUEUE_PER_SLOT)
        self._run(
            *(self._work(f"r{number}") for number in range(room)),
            self._work("payout", level=5),
        )

        self.assertIn(f"r{room - 1} refused", self.order)
        self.assertIn("payout", self.order)
        self.assertEqual(0, self.slots.load)

    def test_who_waits_past_the_deadline_is_refused(self):
        self._run(
            *(self._work(f"r{n}", seconds=10) for n in range(SLOTS)),
            self._work("short", deadline=2),
        )

        self.assertIn("short refused", self.order)
        self.assertEqual(0, self.slots.load)

    def test_a_caller_that_leaves_frees_its_place(self):
        """Three callers wait; the first leaves in the moment of its turn."""

        async def run():
            holders = [
                asyncio.create_task(self._work(f"h{number}"))
                for number in range(SLOTS)
            ]
            await asyncio.sleep(0.1)
            leaving = asyncio.create_task(self._work("leaving"))
            staying = asyncio.create_task(self._work("staying"))
            await asyncio.sleep(0.1)
            leaving.cancel()
            await asyncio.gather(*holders, staying)

        self.loop.run_until_complete(run())

        self.assertIn("staying", self.order)
        self.assertNotIn("leaving", self.order)
        self.assertEqual(0, self.slots.load)
