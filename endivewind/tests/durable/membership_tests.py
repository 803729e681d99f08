"""A node's object in the platform, and the starts that it tells of."""

import unittest

from endivewind.durable import membership
from endivewind.nodes import view
from endivewind.standins import faults
from endivewind.tests.platform import platforms


def _record(incarnation):
    return view.NodeRecord("node-a", incarnation, "10.0.0.1:1", "r", "z")


class EarlierStartTest(unittest.IsolatedAsyncioTestCase):
    """A VM's clock goes back, and its node is started again.

    By the clock the new start is the older one; the fleet would take it for
    dead and it would never be ready.
    """

    async def asyncSetUp(self):
        self.platform = platforms.Platform()
        await self.enterAsyncContext(self.platform)

    async def earlier(self):
        return await membership.earlier_incarnation(
            self.platform.client, "node-a"
        )

    async def test_the_registered_start_is_found(self):
        await membership.register(self.platform.client, _record(700))

        self.assertEqual(700, await self.earlier())

    async def test_without_one_there_is_nothing_to_count_on_from(self):
        self.assertEqual(0, await self.earlier())

    async def test_a_platform_that_is_away_does_not_hold_up_the_start(self):
        for mode in (faults.Mode.OUTAGE, faults.Mode.BUSY):
            self.platform.standin.set_faults(faults.Fault(mode=mode))
            self.assertEqual(0, await self.earlier())

    async def test_a_start_replaces_what_an_earlier_one_left(self):
        await membership.register(self.platform.client, _record(700))

        written = await membership.register(self.platform.client, _record(701))

        self.assertTrue(written.is_ok(), written)
        self.assertEqual(701, await self.earlier())

    async def test_a_late_leave_spares_the_later_start(self):
        first = await membership.register(self.platform.client, _record(700))
        await membership.register(self.platform.client, _record(701))

        await membership.unregister(
            self.platform.client, _record(700), first.ok.version
        )

        self.assertEqual(701, await self.earlier())

    async def test_a_leave_removes_its_own_start(self):
        written = await membership.register(self.platform.client, _record(700))

        await membership.unregister(
            self.platform.client, _record(700), written.ok.version
        )

        self.assertEqual(0, await self.earlier())
