"""Tests of the directory of nodes and of registered incarnations."""

import ipaddress
import json
import random
import unittest

import hypothesis
from hypothesis import strategies

from endivewind import http_servers
from endivewind.durable import node_directory
from endivewind.durable import node_entry
from endivewind.nodes import view
from endivewind.platform import wire
from endivewind.standins import faults
from endivewind.tests.platform import platforms


def _record(incarnation, name="node-a", zone="z"):
    return view.NodeRecord(name, incarnation, "10.0.0.1:1", "r", zone)


class _DirectoryCase(unittest.IsolatedAsyncioTestCase):
    zones = ()

    async def asyncSetUp(self):
        self.platform = platforms.Platform()
        await self.enterAsyncContext(self.platform)
        self.directory = node_directory.Directory(
            self.platform.client, self.zones
        )

    async def register(self, record, listing=None):
        """Registers a node, as its discovery does."""
        entry = node_entry.NodeEntry(
            self.directory,
            record,
            listing,
            node_directory.SavedState,
            lambda saved: None,
            random.Random(1),
        )
        return await entry.write()

    async def registered_incarnation(self):
        listing = await self.directory.list_zone_at_start("z")
        return node_directory.registered_incarnation(listing, "node-a")


def _nested():
    """Returns a value that is nested more deeply than parsers accept."""
    value = []
    for _ in range(300):
        value = [value]
    return value


_VALID = {
    "incarnation": 700,
    "address": "10.0.0.1:1",
    "region": "r",
    "zone": "z",
}
_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20),
    lambda values: (
        strategies.lists(values, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=5), values, max_size=3
        )
    ),
    max_leaves=5,
)


class ForeignEntriesTest(_DirectoryCase):
    """Other writers store entries in the kinds where nodes register."""

    async def test_only_entries_of_nodes_are_listed(self):
        """Guards against a node that contacts an address that is none.

        Its gossip would end with an error, here at each node that starts.
        """
        await self.register(_record(700))
        changes = (
            {"address": 8080},
            {"address": "node-b"},
            {"address": "10.0.0.1:0"},
            {"address": "10.0.0.1:65536"},
            {"address": "nowhere:80"},
            {"incarnation": float("inf")},
            {"incarnation": "700"},
            {"incarnation": -1},
            {"incarnation": 2**63},
            {"zone": None},
        )
        for number, change in enumerate(changes):
            self.platform.store.put(
                self.directory.kinds[0], f"other-{number}", _VALID | change, 0
            )

        with self.assertLogs(node_directory.log) as logged:
            listings = [
                (await self.directory.list_zone("z")).ok for _ in range(2)
            ]

        for listing in listings:
            self.assertEqual(["node-a"], list(listing.registrations))
        self.assertEqual(len(changes), len(logged.records))
        self.assertEqual(len(changes), self.directory.invalid_count)
        fields = logged.records[0].fields
        self.assertEqual(
            ("other-0", "address"), (fields["name"], fields["field"])
        )

    async def test_entry_that_cannot_be_read_hides_no_other(self):
        """Guards against nodes that never get ready, or learn of no other."""
        await self.register(_record(700))
        self.platform.store.put(
            self.directory.kinds[0], "other", _VALID | {"odd": _nested()}, 0
        )

        with self.assertLogs(node_directory.log):
            listing = (await self.directory.list_zone("z")).ok

        self.assertEqual(["node-a"], list(listing.registrations))

    async def test_node_replaces_its_own_entry_that_cannot_be_read(self):
        """Guards against a node that can never register again."""
        self.platform.store.put(
            self.directory.kinds[0], "node-a", {"odd": _nested()}, 0
        )

        with self.assertLogs(node_directory.log):
            result = await self.register(_record(701))

        self.assertTrue(result.is_ok(), result)
        self.assertEqual(701, await self.registered_incarnation())

    async def test_node_whose_saved_state_is_not_valid_is_listed(self):
        """Guards against a live node that nobody contacts."""
        for number, departures in enumerate(
            (7, ["i-1"], {"i-1": "soon"}, {"i-1": 1e999})
        ):
            self.platform.store.put(
                self.directory.kinds[0],
                f"node-{number}",
                _VALID | {"departures": departures},
                0,
            )

        with self.assertLogs(node_directory.log):
            listing = (await self.directory.list_zone("z")).ok

        self.assertEqual(4, len(listing.registrations))
        for registration in listing.registrations.values():
            self.assertEqual({}, registration.saved.departures)


class AnyEntryTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        _JSON
        | strategies.fixed_dictionaries(
            {},
            optional={
                **{key: _JSON | strategies.just(_VALID[key]) for key in _VALID},
                "departures": _JSON
                | strategies.dictionaries(strategies.text(max_size=5), _JSON),
            },
        )
    )
    def test_no_entry_ends_a_listing(self, value):
        """Guards against an entry that no node can read past."""
        directory = node_directory.Directory(None)
        item = {"metadata": {"name": "other", "revision": 1}, "spec": value}
        body = json.dumps({"items": [item], "at_rev": 1}).encode()
        (stored,) = wire.decode_page("node", body).objects

        registration = directory.decode(stored)

        if registration is not None:
            address = registration.node.address
            host, port = http_servers.split_host_port(address)
            ipaddress.ip_address(host)
            self.assertLess(0, port)
            for target, incarnation in registration.saved.departures.items():
                self.assertIsInstance(target, str)
                self.assertIsInstance(incarnation, int)


class EarlierIncarnationTest(_DirectoryCase):
    """A VM's clock goes back, and its node is restarted.

    By the clock the new incarnation would be the lower one; the fleet would
    consider the node dead, and it would never be ready.
    """

    async def test_the_registered_incarnation_is_found(self):
        await self.register(_record(700))

        self.assertEqual(700, await self.registered_incarnation())

    async def test_without_registration_the_incarnation_is_zero(self):
        self.assertEqual(0, await self.registered_incarnation())

    async def test_an_unavailable_platform_does_not_block_the_start(self):
        for mode in (faults.FaultMode.OUTAGE, faults.FaultMode.BUSY):
            self.platform.standin.set_faults(faults.Fault(mode=mode))
            self.assertEqual(0, await self.registered_incarnation())

    async def test_a_restarted_node_knows_that_it_has_restarted(self):
        """Guards against calls of earlier work that count as callers' requests.

        Without a response a node has to assume that it has been running.
        """
        listing = await self.directory.list_zone_at_start("z")
        self.assertFalse(node_directory.may_have_run_before(listing, "node-a"))
        await self.register(_record(700))
        listing = await self.directory.list_zone_at_start("z")

        for known in (listing, None):
            with self.subTest(is_known=known is not None):
                self.assertTrue(
                    node_directory.may_have_run_before(known, "node-a")
                )

    async def test_a_registration_replaces_an_earlier_one(self):
        await self.register(_record(700))

        result = await self.register(_record(701))

        self.assertTrue(result.is_ok(), result)
        self.assertEqual(701, await self.registered_incarnation())

    async def test_a_known_version_saves_a_call(self):
        await self.register(_record(700))
        listing = await self.directory.list_zone_at_start("z")
        before = sum(self.platform.client.call_counts.values())

        await self.register(_record(701), listing)

        self.assertEqual(
            1, sum(self.platform.client.call_counts.values()) - before
        )
        self.assertEqual(701, await self.registered_incarnation())

    async def test_a_removed_object_is_created_again(self):
        await self.register(_record(700))
        listing = await self.directory.list_zone_at_start("z")
        await self.directory.remove(listing.registrations["node-a"])

        await self.register(_record(701), listing)

        self.assertEqual(701, await self.registered_incarnation())

    async def test_a_removal_keeps_a_later_incarnation(self):
        await self.register(_record(700))
        listing = await self.directory.list_zone_at_start("z")
        await self.register(_record(701))

        await self.directory.remove(listing.registrations["node-a"])

        self.assertEqual(701, await self.registered_incarnation())


class ZonesTest(_DirectoryCase):
    """Nodes register zone by zone; a starting node reads its own zone only."""

    zones = ("y", "z")

    async def test_a_zone_lists_its_own_nodes(self):
        await self.register(_record(1))
        await self.register(_record(2, "node-b", "y"))

        listed = (await self.directory.list_zone("z")).ok

        self.assertEqual(["node-a"], list(listed.registrations))
        self.assertEqual(("10.0.0.1:1",), listed.addresses)
        self.assertEqual(("y",), self.directory.other_zones("z"))

    async def test_nodes_of_unknown_zones_share_a_list(self):
        await self.register(_record(1, zone="x"))

        listed = (await self.directory.list_zone("w")).ok

        self.assertEqual(["node-a"], list(listed.registrations))
        self.assertEqual(("y", "z"), self.directory.other_zones("x"))

    async def test_a_stale_listing_has_an_older_revision(self):
        """Recent writes may be missing; the revision shows that."""
        self.platform.standin.set_faults(
            faults.Fault(mode=faults.FaultMode.STALE)
        )
        written = await self.register(_record(1))

        listed = (await self.directory.list_zone("z")).ok

        self.assertEqual({}, listed.registrations)
        self.assertLess(listed.revision, written.ok)
