"""Test case with a fleet of processes, for tests of configuration."""

import asyncio
import json
import pathlib
import sys
import unittest

import aiohttp
import yaml

from endivewind.tests import processes

ZONES_BY_NODE = {
    "node-a": "andina-a",
    "node-b": "andina-b",
    "node-c": "caribe-a",
}
FIRST_CONFIGURATION = {"services": {"riders": {"slots": 3}}}
SECOND_CONFIGURATION = {"services": {"riders": {"slots": 5}}}
RIDERS_OBJECT = "service/riders"


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = processes.Fleet()
        await self.enterAsyncContext(self.fleet)

    async def start_nodes(self, *names, **settings):
        """Starts nodes and waits until all are ready."""
        started = (
            self.fleet.start_node(name, ZONES_BY_NODE[name], **settings)
            for name in names
        )
        for node in await asyncio.gather(*started):
            await node.wait_for_message("ready")

    async def run_command(self, *arguments):
        """Runs the `endivewind` command; returns exit code and JSON output."""
        code = "from endivewind.commands import main; main.run()"
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            code,
            *arguments,
            f"--platform={self.fleet.platform_url}",
            "--format=json",
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await child.communicate()
        return child.returncode, json.loads(output or "null")

    async def submit(self, configuration, *flags, name="c.yaml"):
        file = self.write_file(name, configuration)
        return await self.run_command("submit", file, *flags)

    def write_file(self, name, configuration):
        path = pathlib.Path(self.fleet._directory) / name
        path.write_text(yaml.safe_dump(configuration))
        return str(path)

    async def call_platform_control(self, action, faults=None):
        """Calls the control interface of the fake platform."""
        url = f"{self.fleet.platform_url}/standin/{action}"
        method = "POST" if faults is None else "PUT"
        body = None if faults is None else {"faults": faults}
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, json=body) as response,
        ):
            self.assertEqual(204, response.status)

    async def versions_in_force(self, name):
        """Returns the version in force on each node, as one node reports it."""
        operators = self.fleet.nodes[name].listening_line["operators"]
        url = f"http://{operators}/v1/configuration?object={RIDERS_OBJECT}"
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as response,
        ):
            status = await response.json()
        return {
            node: states[RIDERS_OBJECT]["in_force"]
            for node, states in status["nodes"].items()
        }

    def seed_addresses(self):
        return [self.fleet.nodes["node-a"].listening_line["nodes"]]


def slots_of(found):
    """Selects the slots from a service printed by `endivewind get`."""
    return {"slots": found["value"]["spec"]["slots"]}
