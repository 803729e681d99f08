"""A node's start and stop, in this process."""

import asyncio
import random
import unittest
from unittest import mock

import aiohttp

from endivewind import clock as clocks
from endivewind import node
from endivewind.config import settings
from endivewind.nodes import configuration
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

        member = self._member()
        with mock.patch.object(service.GossipService, "start", start):
            addresses = await member.start()
        self.addAsyncCleanup(self._end, member)

        self.assertEqual([addresses.nodes], taken)

    async def test_a_route_that_does_not_exist_is_told_once_that_is_known(self):
        """The configuration is here; the list of other nodes is not yet.

        Which nodes there are says nothing of routes: a caller that is asked
        to come back would ask for the same again.
        """
        member = self._member()
        peer, gossip = configuration.ConfigurationPeer, service.GossipService
        with (
            mock.patch.object(gossip, "start", mock.AsyncMock()),
            mock.patch.object(gossip, "not_ready", lambda _: "no list yet"),
            mock.patch.object(peer, "missing", lambda _: None),
        ):
            addresses = await member.start()
            self.addAsyncCleanup(self._end, member)
            url = f"http://{addresses.callers}/nowhere"
            async with (
                aiohttp.ClientSession() as session,
                session.get(url) as response,
            ):
                self.assertEqual(404, response.status)

    def _member(self) -> node.Node:
        config = settings.NodeSettings(
            name="node-a",
            region="andina",
            zone="andina-a",
            platform=NO_PLATFORM,
            audit=settings.Trail.LOG,
        )
        return node.Node.from_settings(
            config, clocks.SystemClock(), random.Random(1)
        )

    async def _end(self, member: node.Node) -> None:
        """Cancels what the node runs; its gossip has never started."""
        with mock.patch.object(service.GossipService, "stop", mock.AsyncMock()):
            await member.stop()


if __name__ == "__main__":
    unittest.main()
