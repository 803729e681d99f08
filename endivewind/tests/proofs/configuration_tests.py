"""End-to-end tests: configuration takes effect on nodes and stays."""

import aiohttp

from endivewind.tests.proofs import fleets


class ConfigurationInForceTest(fleets.FleetTestCase):
    async def test_submit_waits_until_every_node_has_the_configuration(self):
        await self.start_nodes("node-a", "node-b", "node-c")
        operators = self.fleet.nodes["node-a"].listening_line["operators"]

        code, found = await self.submit(
            fleets.FIRST_CONFIGURATION, "--wait", f"--operators={operators}"
        )

        self.assertEqual(0, code)
        self.assertTrue(found["in_force"]["everywhere"])
        self.assertEqual(
            ["node-a", "node-b", "node-c"], found["in_force"]["nodes_in_force"]
        )
        self.assertLess(found["in_force"]["seconds"], 8)

    async def test_paused_node_is_reported_as_not_known(self):
        """A VM hangs while an operator submits a configuration.

        The node can't report which version it has in force. The command must
        list it as not known and must not report the change as in force
        everywhere.
        """
        await self.start_nodes("node-a", "node-b")
        self.fleet.nodes["node-b"].pause()
        operators = self.fleet.nodes["node-a"].listening_line["operators"]

        code, found = await self.submit(
            fleets.FIRST_CONFIGURATION,
            "--wait",
            "--wait_seconds=1",
            f"--operators={operators}",
        )

        self.fleet.nodes["node-b"].resume()
        self.assertEqual(1, code)
        self.assertFalse(found["in_force"]["everywhere"])
        self.assertEqual(["node-b"], found["in_force"]["not_known"])


class PlatformOutageTest(fleets.FleetTestCase):
    async def test_node_joins_during_platform_outage(self):
        """A VM is replaced during an outage of the platform.

        The new node has no stored configuration. It must not report itself
        ready, and thereby get callers, before it has its peers' configuration.
        """
        await self.start_nodes("node-a", "node-b")
        _, found = await self.submit(fleets.FIRST_CONFIGURATION)
        version = found["versions"][fleets.RIDERS_OBJECT]
        for name in ("node-a", "node-b"):
            await self.fleet.nodes[name].wait_for_message("in force")
        await self.call_platform_control("fault", [{"mode": "outage"}])

        await self.start_nodes("node-c", seeds=self.seed_addresses())

        states = await self.versions_in_force("node-c")
        self.assertEqual(version, states["node-c"])

    async def test_node_without_peers_is_not_ready_during_platform_outage(self):
        await self.call_platform_control("fault", [{"mode": "outage"}])
        node = await self.fleet.start_node("node-a")
        await node.wait_for_line(
            lambda line: str(line.get("message")).startswith("platform:")
        )

        url = f"http://{node.listening_line['operators']}/readyz"
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as response,
        ):
            text = await response.text()

        self.assertEqual(503, response.status)
        self.assertIn("no configuration yet", text)
