"""What a node reads of the platform's objects, in virtual time."""

import asyncio
import random
import unittest

import expression

from endivewind.durable import watcher
from endivewind.platform import messages
from endivewind.standins import virtual

COMPACTED = messages.PlatformError(messages.Failure.COMPACTED)
WATCH_SECONDS = 30


class _Platform:
    """Answers with one object at a revision; a watch waits."""

    def __init__(self):
        self.calls = []
        self.forgotten = 0
        self.revision = 9
        self.behind = 0

    async def list(self, kind, *, stale=False):
        self.calls.append("stale list" if stale else "list")
        revision = self.revision - (self.behind if stale else 0)
        return expression.Ok(_listing(kind, revision))

    async def watch(self, kind, revision):
        self.calls.append(f"watch {revision}")
        if revision < self.forgotten:
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
        self.loop = virtual.VirtualLoop()
        self.addCleanup(self.loop.close)
        self.platform = _Platform()
        self.role = watcher.Role.NOTHING
        self.seen = []
        self.watcher = watcher.Watcher(
            self.platform,
            "config",
            lambda stored: self.seen.append(stored.version),
            random.Random(1),
            role=lambda: self.role,
        )
        task = self.loop.create_task(self.watcher.run())
        self.addCleanup(
            self.loop.run_until_complete,
            asyncio.gather(task, return_exceptions=True),
        )
        self.addCleanup(task.cancel)

    def run_for(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def test_a_node_whose_peers_tell_it_reads_nothing(self):
        self.run_for(3600)

        self.assertEqual([], self.platform.calls)

    def test_a_node_that_nobody_tells_reads_again_and_again(self):
        """No peer is there, and the operator has not written yet.

        Callers wait for the first configuration; the pauses grow, since each
        reading is paid for.
        """
        self.role = watcher.Role.ONCE
        self.run_for(4)
        self.assertGreaterEqual(len(self.platform.calls), 2)

        self.run_for(300)

        self.assertEqual({"stale list"}, set(self.platform.calls))
        self.assertLess(len(self.platform.calls), 20)

    def test_a_watch_catches_up_with_what_a_stale_listing_missed(self):
        self.platform.behind = 4
        self.role = watcher.Role.ALWAYS

        self.run_for(1)

        self.assertEqual(
            ["stale list", "watch 5", "watch 9"], self.platform.calls
        )
        self.assertEqual([5, 9], self.seen)

    def test_what_the_platform_has_forgotten_is_listed_fresh(self):
        """Changes are made while watches hear nothing, and then forgotten.

        A stale listing would not have them for seconds, and the watch after
        it would be refused again.
        """
        self.platform.behind = 4
        self.platform.forgotten = 8
        self.role = watcher.Role.ALWAYS

        self.run_for(1)

        self.assertEqual(
            ["stale list", "watch 5", "list", "watch 9"], self.platform.calls
        )
        self.assertEqual(9, self.seen[-1])
