"""How a start finds the fleet, in virtual time and without a network."""

import asyncio
import datetime
import random
import unittest

import expression

from endivewind.durable import membership as directories
from endivewind.nodes import discovery
from endivewind.nodes import membership
from endivewind.nodes import view
from endivewind.platform import messages
from endivewind.standins import virtual

ZONES = ("z", "y", "x")
UNAVAILABLE = messages.PlatformError(messages.Failure.UNAVAILABLE)


class _Directory:
    """The platform's directory, whose listings are some seconds old."""

    def __init__(self, clock, behind=0.0, zones=ZONES):
        self.calls = []
        self.fails = False
        self.removed = []
        self._clock = clock
        self._behind = datetime.timedelta(seconds=behind)
        self._zones = zones
        self._revision = 0
        self._states = [(datetime.timedelta(-1), 0, {})]

    def other_zones(self, zone):
        return tuple(item for item in self._zones if item != zone)

    def put(self, record):
        """Writes an object; returns its version."""
        self._revision += 1
        found = dict(self._states[-1][2])
        found[record.name] = directories.Registered(record, self._revision)
        self._keep(found)
        return self._revision

    async def register(self, record, version=0):
        self.calls.append(("register", record.zone, version))
        if self.fails:
            return expression.Error(UNAVAILABLE)
        return expression.Ok(self.put(record))

    async def listed(self, zone):
        self.calls.append(("list", zone))
        if self.fails:
            return expression.Error(UNAVAILABLE)
        return expression.Ok(self.now(zone))

    def now(self, zone):
        """A zone's listing, as old as listings are."""
        then = self._clock.monotonic() - self._behind
        _, revision, found = max(
            (item for item in self._states if item[0] <= then),
            key=lambda item: item[1],
        )
        in_zone = {
            name: item for name, item in found.items() if item.node.zone == zone
        }
        return directories.ZoneListing(revision, in_zone)

    async def remove(self, gone):
        self.removed.append(gone.node.name)
        self._revision += 1
        found = dict(self._states[-1][2])
        del found[gone.node.name]
        self._keep(found)

    def _keep(self, found):
        self._states.append((self._clock.monotonic(), self._revision, found))


def _node(name, zone="z", incarnation=1):
    return view.NodeRecord(name, incarnation, f"{name}:1", "r", zone)


class _Case(unittest.TestCase):
    def setUp(self):
        self.loop = virtual.VirtualLoop()
        self.addCleanup(self.loop.close)
        self.clock = virtual.LoopClock(self.loop)
        self.registered = []

    def start(self, directory, record, *, seeds=(), at_start=None):
        """Starts a node; returns its discovery and its members."""
        rng = random.Random(1)
        members = membership.Membership(record, self.clock, rng)
        found = discovery.Discovery(
            directory,
            members,
            seeds,
            at_start,
            self.clock,
            rng,
            lambda: self.registered.append(record.name),
        )
        task = self.loop.create_task(found.run())
        self.addCleanup(self.loop.run_until_complete, _ended(task))
        return found, members

    def run_for(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))


async def _ended(task):
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def _knows(members, *records):
    """Lets gossip know some nodes as living."""
    for record in records:
        members.merge(
            membership.MemberRecord(record, 0, membership.State.ALIVE)
        )


class ColdStartTest(_Case):
    """All nodes start at once, with nobody registered."""

    def test_the_later_of_two_finds_the_earlier_by_stale_listings(self):
        """Neither is in the other's first listing, which is seconds old.

        Both would take themselves for the whole fleet. The later one looks
        until a listing holds its own registration, and so the other's.
        """
        directory = _Directory(self.clock, behind=2.5, zones=())
        first, _ = self.start(directory, _node("a"))
        second, members = self.start(directory, _node("b", incarnation=2))
        self.run_for(1)
        self.assertFalse(first.is_settled or second.is_settled)

        self.run_for(6)

        self.assertTrue(first.is_settled and second.is_settled)
        self.assertIn("a:1", members._contacts)

    def test_calls_end_once_the_fleet_is_known(self):
        """A call costs more than most requests are worth.

        One registration and a few stale listings are all of a start.
        """
        directory = _Directory(self.clock, behind=1)
        _, members = self.start(directory, _node("a"))
        _knows(members, _node("y1", "y"), _node("x1", "x"))

        self.run_for(300)

        written = [item for item in directory.calls if item[0] == "register"]
        self.assertEqual(1, len(written))
        self.assertLessEqual(len(directory.calls), 5)
        self.assertEqual(["a"], self.registered)

    def test_every_zone_is_looked_for_until_a_node_of_it_is_known(self):
        directory = _Directory(self.clock)
        directory.put(_node("y1", "y"))
        directory.put(_node("x1", "x"))
        _, members = self.start(directory, _node("a"))

        self.run_for(10)

        self.assertLessEqual({"y1:1", "x1:1"}, set(members._contacts))

    def test_a_platform_that_is_away_is_asked_seldom(self):
        directory = _Directory(self.clock)
        directory.fails = True
        found, _ = self.start(directory, _node("a"))

        self.run_for(60)

        self.assertLess(len(directory.calls), 60)
        self.assertFalse(found.has_listed)
        directory.fails = False
        self.run_for(12)
        self.assertTrue(found.is_settled)


class RestartTest(_Case):
    """A node starts again in a fleet that runs."""

    def test_what_was_listed_before_the_start_is_tried_at_once(self):
        directory = _Directory(self.clock)
        directory.put(_node("b"))
        version = directory.put(_node("a"))
        self.run_for(1)

        found, members = self.start(
            directory, _node("a", incarnation=2), at_start=directory.now("z")
        )

        self.assertTrue(found.has_listed)
        self.assertIn("b:1", members._contacts)
        self.run_for(0.1)
        self.assertIn(("register", "z", version), directory.calls)

    def test_a_registration_that_is_gone_is_made_again(self):
        directory = _Directory(self.clock, zones=())
        found, _ = self.start(directory, _node("a"))
        self.run_for(5)
        self.loop.run_until_complete(
            directory.remove(directory.now("z").found["a"])
        )

        self.run_for(2000)

        self.assertIn("a", directory.now("z").found)
        self.assertTrue(found.is_settled)


class TidyTest(_Case):
    """Nodes that are gone for good; nothing expires in the platform."""

    def setUp(self):
        super().setUp()
        self.directory = _Directory(self.clock, zones=())
        for number, name in enumerate(("gone", "old", "young")):
            self.directory.put(_node(name, incarnation=number))

    def test_the_oldest_of_a_zone_removes_what_is_gone_for_long(self):
        """Without it each listing grows with every VM ever replaced."""
        _, members = self.start(self.directory, _node("old", incarnation=1))
        _knows(members, _node("young", incarnation=2))

        self.run_for(500)
        self.assertEqual([], self.directory.removed)
        self.run_for(3000)

        self.assertEqual(["gone"], self.directory.removed)

    def test_others_leave_it_to_the_oldest(self):
        _, members = self.start(self.directory, _node("young", incarnation=2))
        _knows(members, _node("old", incarnation=1))

        self.run_for(3500)

        self.assertEqual([], self.directory.removed)
