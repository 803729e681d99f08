"""A node's start and stop, in this process."""

import asyncio
import random
import unittest
from unittest import mock

from endivewind import clock as clocks
from endivewind import node
from endivewind.config import settings
from endivewind.nodes import service

# Nothing listens there, and a connection is refused at once.
NO_PLATFORM = "http://127.0.0.1:9"


class StartTest(unittest.IsolatedAsyncioTestCase):
    async def test_links_are_taken_before_the_fleet_is_asked(self):
        """Callers of a node that has just started were refused for seconds.

        Gossip asks a peer for the fleet's state with its first datagram. The
        peer answers over a link within a millisecond; one that is not
        accepted is lost, and the state is asked for again three seconds on.
        """
        taken = []

        async def start(gossip: service.GossipService, address: str) -> None:
            host, _, port = address.rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
            taken.append(address)

        config = settings.NodeSettings(
            name="node-a",
            region="andina",
            zone="andina-a",
            platform=NO_PLATFORM,
            audit=settings.Trail.LOG,
        )
        member = node.Node.from_settings(
            config, clocks.SystemClock(), random.Random(1)
        )
        with mock.patch.object(service.GossipService, "start", start):
            addresses = await member.start()
        self.addAsyncCleanup(self._end, member)

        self.assertEqual([addresses.nodes], taken)

    async def _end(self, member: node.Node) -> None:
        """Cancels what the node runs; its gossip has never started."""
        with mock.patch.object(service.GossipService, "stop", mock.AsyncMock()):
            await member.stop()


if __name__ == "__main__":
    unittest.main()
