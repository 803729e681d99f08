"""Tests of a node's start and stop, in this process."""

import asyncio
import collections
import random
import unittest
from unittest import mock

import aiohttp

from endivewind import clock as clocks
from endivewind import node
from endivewind.callers import gateway
from endivewind.config import overload_control
from endivewind.config import settings
from endivewind.durable import audit
from endivewind.durable import audit_recorder
from endivewind.nodes import admission
from endivewind.nodes import configuration
from endivewind.nodes import gossip_service

# Nothing listens there, and a connection is refused at once.
NO_PLATFORM = "http://127.0.0.1:9"


class StartTest(unittest.IsolatedAsyncioTestCase):
    async def test_links_are_accepted_before_gossip_starts(self):
        """Guards against refusals in the first seconds after a start.

        Gossip requests the fleet's state from a peer with its first datagram.
        The peer sends it over a link within a millisecond. If the link is not
        accepted the state is lost, and it is requested again only three
        seconds later.
        """
        accepted = []

        async def start(
            gossip: gossip_service.GossipService, address: str
        ) -> None:
            host, _, port = address.rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
            accepted.append(address)

        tested_node = self._make_node()
        with mock.patch.object(gossip_service.GossipService, "start", start):
            addresses = await tested_node.start()
        self.addAsyncCleanup(self._stop, tested_node)

        self.assertEqual([addresses.nodes], accepted)

    async def test_an_unknown_route_is_refused_before_the_node_is_ready(self):
        """The node has its configuration but no list of the other nodes yet.

        That list does not affect routes, so the caller must not be asked to
        retry: the same request would fail again.
        """
        tested_node = self._make_node()
        peer, gossip = (
            configuration.ConfigurationService,
            gossip_service.GossipService,
        )
        with (
            mock.patch.object(gossip, "start", mock.AsyncMock()),
            mock.patch.object(
                gossip, "not_ready_reason", lambda _: "no list yet"
            ),
            mock.patch.object(peer, "missing", lambda _: None),
        ):
            addresses = await tested_node.start()
            self.addAsyncCleanup(self._stop, tested_node)
            url = f"http://{addresses.callers}/nowhere"
            async with (
                aiohttp.ClientSession() as session,
                session.get(url) as response,
            ):
                self.assertEqual(404, response.status)

    async def test_leave_is_logged_without_an_audit_trail_on_the_platform(self):
        """Guards against a log in which a node joins but never leaves."""
        tested_node = self._make_node()
        with mock.patch.object(
            gossip_service.GossipService, "start", mock.AsyncMock()
        ):
            await tested_node.start()

        with (
            self.assertLogs(audit_recorder.log, "INFO") as logged,
            mock.patch.object(audit, "append") as append,
        ):
            await self._stop(tested_node)

        entries = [item.fields for item in logged.records]
        self.assertEqual(
            [("leave", "node/node-a")],
            [(item["action"], item["subject"]) for item in entries],
        )
        append.assert_not_called()

    async def test_errors_do_not_end_admission_control(self):
        """The node would report no demand and send no level until it stops."""
        is_repeated = asyncio.Event()
        calls = collections.Counter()

        def fail(instance):
            name = type(instance).__name__
            calls[name] += 1
            if min(calls["Gateway"], calls["AdmissionService"]) > 1:
                is_repeated.set()
            raise ValueError("broken demand")

        tested_node = self._make_node(
            overload=overload_control.OverloadControl(shared_admission=True)
        )
        with (
            mock.patch.object(
                gossip_service.GossipService, "start", mock.AsyncMock()
            ),
            mock.patch.object(gateway.Gateway, "refuse_overdue", fail),
            mock.patch.object(admission.AdmissionService, "tick", fail),
            self.assertLogs("endivewind.node", "ERROR") as captured,
        ):
            await tested_node.start()
            self.addAsyncCleanup(self._stop, tested_node)
            await asyncio.wait_for(is_repeated.wait(), 10)

        self.assertIn("broken demand", captured.output[0])

    def _make_node(self, **options) -> node.Node:
        config = settings.NodeSettings(
            name="node-a",
            region="andina",
            zone="andina-a",
            platform=NO_PLATFORM,
            audit=settings.AuditDestination.LOG,
            **options,
        )
        return node.Node.from_settings(
            config, clocks.SystemClock(), random.Random(1)
        )

    async def _stop(self, tested_node: node.Node) -> None:
        """Stops the node; its gossip has never started."""
        with mock.patch.object(
            gossip_service.GossipService, "stop", mock.AsyncMock()
        ):
            await tested_node.stop()


if __name__ == "__main__":
    unittest.main()
