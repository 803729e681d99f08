"""Tests of how a node reads the platform's objects, in virtual time."""

import asyncio
import random
import unittest

import expression

from endivewind.durable import watcher
from endivewind.platform import messages
from endivewind.standins import virtual_loop

COMPACTED = messages.PlatformError(messages.FailureReason.COMPACTED)
WATCH_SECONDS = 30


class _Platform:
    """Returns one object at a revision; a watch without changes waits."""

    def __init__(self):
        self.calls = []
        self.compacted_before = 0
        self.revision = 9
        self.stale_lag = 0

    async def list(self, kind, *, stale=False):
        self.calls.append("stale list" if stale else "list")
        revision = self.revision - (self.stale_lag if stale else 0)
        return expression.Ok(_listing(kind, revision))

    async def watch(self, kind, revision):
        self.calls.append(f"watch {revision}")
        if revision < self.compacted_before:
            return expression.Error(COMPACTED)
        if revision == self.revision:
            await asyncio.sleep(WATCH_SECONDS)
        return expression.Ok(_listing(kind, self.revision))


def _listing(kind, revision):
    item = messages.StoredObject(
        kind=kind, name="main", version=revision, value={"at": revision}
    )
    return messages.Listing(revision=revision, objects=(item,))


class WatcherTest(unittest.TestCase):
    def setUp(self):
        self.loop = virtual_loop.VirtualLoop()
        self.addCleanup(self.loop.close)
        self.platform = _Platform()
        self.read_mode = watcher.ReadMode.NONE
        self.versions = []
        self.watcher = watcher.Watcher(
            self.platform,
            "config",
            lambda stored: self.versions.append(stored.version),
            random.Random(1),
            read_mode=lambda: self.read_mode,
        )
        task = self.loop.create_task(self.watcher.run())
        self.addCleanup(
            self.loop.run_until_complete,
            asyncio.gather(task, return_exceptions=True),
        )
        self.addCleanup(task.cancel)

    def run_for(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def test_a_node_in_mode_none_reads_nothing(self):
        self.run_for(3600)

        self.assertEqual([], self.platform.calls)

    def test_a_node_in_mode_list_repeats_the_listing(self):
        """There are no peers, and operators have not written anything yet.

        Callers wait for the first configuration, so that the node lists soon
        again. The intervals grow, as the platform bills each listing.
        """
        self.read_mode = watcher.ReadMode.LIST
        self.run_for(4)
        self.assertGreaterEqual(len(self.platform.calls), 2)

        self.run_for(300)

        self.assertEqual({"stale list"}, set(self.platform.calls))
        self.assertLess(len(self.platform.calls), 20)

    def test_a_watch_reports_what_a_stale_listing_missed(self):
        self.platform.stale_lag = 4
        self.read_mode = watcher.ReadMode.WATCH

        self.run_for(1)

        self.assertEqual(
            ["stale list", "watch 5", "watch 9"], self.platform.calls
        )
        self.assertEqual([5, 9], self.versions)

    def test_compacted_changes_are_read_by_a_fresh_listing(self):
        """Changes are missed by the watch and then compacted.

        A stale listing would not include them for some seconds, and the watch
        after it would fail as compacted again.
        """
        self.platform.stale_lag = 4
        self.platform.compacted_before = 8
        self.read_mode = watcher.ReadMode.WATCH

        self.run_for(1)

        self.assertEqual(
            ["stale list", "watch 5", "list", "watch 9"], self.platform.calls
        )
        self.assertEqual(9, self.versions[-1])
