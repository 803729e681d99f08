"""The directory of nodes in the platform, and the starts that it tells of."""

import unittest

from endivewind.durable import membership
from endivewind.nodes import view
from endivewind.standins import faults
from endivewind.tests.platform import platforms


def _record(incarnation, name="node-a", zone="z"):
    return view.NodeRecord(name, incarnation, "10.0.0.1:1", "r", zone)


class _DirectoryCase(unittest.IsolatedAsyncioTestCase):
    zones = ()

    async def asyncSetUp(self):
        self.platform = platforms.Platform()
        await self.enterAsyncContext(self.platform)
        self.directory = membership.Directory(self.platform.client, self.zones)

    async def earlier(self):
        listing = await self.directory.listed_at_start("z")
        return membership.earlier_incarnation(listing, "node-a")


class EarlierStartTest(_DirectoryCase):
    """A VM's clock goes back, and its node is started again.

    By the clock the new start is the older one; the fleet would take it for
    dead and it would never be ready.
    """

    async def test_the_registered_start_is_found(self):
        await self.directory.register(_record(700))

        self.assertEqual(700, await self.earlier())

    async def test_without_one_there_is_nothing_to_count_on_from(self):
        self.assertEqual(0, await self.earlier())

    async def test_a_platform_that_is_away_does_not_hold_up_the_start(self):
        for mode in (faults.Mode.OUTAGE, faults.Mode.BUSY):
            self.platform.standin.set_faults(faults.Fault(mode=mode))
            self.assertEqual(0, await self.earlier())

    async def test_a_start_replaces_what_an_earlier_one_left(self):
        await self.directory.register(_record(700))

        written = await self.directory.register(_record(701))

        self.assertTrue(written.is_ok(), written)
        self.assertEqual(701, await self.earlier())

    async def test_what_was_seen_of_it_spares_a_call(self):
        first = await self.directory.register(_record(700))
        before = sum(self.platform.client.calls.values())

        await self.directory.register(_record(701), first.ok)

        self.assertEqual(1, sum(self.platform.client.calls.values()) - before)
        self.assertEqual(701, await self.earlier())

    async def test_an_object_that_was_removed_meanwhile_is_made_anew(self):
        first = await self.directory.register(_record(700))
        listing = await self.directory.listed_at_start("z")
        await self.directory.remove(listing.found["node-a"])

        await self.directory.register(_record(701), first.ok)

        self.assertEqual(701, await self.earlier())

    async def test_a_removal_spares_the_later_start(self):
        await self.directory.register(_record(700))
        listing = await self.directory.listed_at_start("z")
        await self.directory.register(_record(701))

        await self.directory.remove(listing.found["node-a"])

        self.assertEqual(701, await self.earlier())


class ZonesTest(_DirectoryCase):
    """Nodes register zone by zone; a start reads its own zone only."""

    zones = ("y", "z")

    async def test_a_zone_lists_its_own_nodes(self):
        await self.directory.register(_record(1))
        await self.directory.register(_record(2, "node-b", "y"))

        listed = (await self.directory.listed("z")).ok

        self.assertEqual(["node-a"], list(listed.found))
        self.assertEqual(("10.0.0.1:1",), listed.addresses)
        self.assertEqual(("y",), self.directory.other_zones("z"))

    async def test_a_node_of_an_unknown_zone_shares_a_list_with_its_like(self):
        await self.directory.register(_record(1, zone="x"))

        listed = (await self.directory.listed("w")).ok

        self.assertEqual(["node-a"], list(listed.found))
        self.assertEqual(("y", "z"), self.directory.other_zones("x"))

    async def test_a_stale_listing_tells_that_it_is(self):
        """What was written lately may be missing; the revision shows it."""
        self.platform.standin.set_faults(faults.Fault(mode=faults.Mode.STALE))
        written = await self.directory.register(_record(1))

        listed = (await self.directory.listed("z")).ok

        self.assertEqual({}, listed.found)
        self.assertLess(listed.revision, written.ok)
