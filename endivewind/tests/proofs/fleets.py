"""A fleet of processes for proofs of configuration."""

import asyncio
import json
import pathlib
import sys
import unittest

import aiohttp
import yaml

from endivewind.tests import processes

ZONE_OF = {"node-a": "andina-a", "node-b": "andina-b", "node-c": "caribe-a"}
FIRST = {"services": {"riders": {"slots": 3}}}
SECOND = {"services": {"riders": {"slots": 5}}}
RIDERS = "service/riders"


class FleetCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = processes.Fleet()
        await self.enterAsyncContext(self.fleet)

    async def start(self, *names, **settings):
        """Starts nodes and waits until each is ready."""
        started = (
            self.fleet.node(name, ZONE_OF[name], **settings) for name in names
        )
        for node in await asyncio.gather(*started):
            await node.message("ready")

    async def run_command(self, *arguments):
        """Runs `endivewind`; returns its exit code and JSON output."""
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
        file = self.file(name, configuration)
        return await self.run_command("submit", file, *flags)

    def file(self, name, configuration):
        path = pathlib.Path(self.fleet._folder) / name
        path.write_text(yaml.safe_dump(configuration))
        return str(path)

    async def control(self, action, faults=None):
        """Uses the stand-in's control path."""
        url = f"{self.fleet.platform_url}/standin/{action}"
        method = "POST" if faults is None else "PUT"
        body = None if faults is None else {"faults": faults}
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, json=body) as response,
        ):
            self.assertEqual(204, response.status)

    async def in_force(self, name):
        """Version in force of each node, as one node hears it."""
        operators = self.fleet.nodes[name].listening["operators"]
        url = f"http://{operators}/v1/configuration?object={RIDERS}"
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as response,
        ):
            answer = await response.json()
        return {
            node: states[RIDERS]["in_force"]
            for node, states in answer["nodes"].items()
        }

    def seed(self):
        return [self.fleet.nodes["node-a"].listening["nodes"]]


def slots(held):
    """The slots of a service as `endivewind get` prints it."""
    return {"slots": held["value"]["spec"]["slots"]}
