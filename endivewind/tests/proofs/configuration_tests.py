"""Proofs on real processes: configuration comes into force and stays."""

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


class _FleetCase(unittest.IsolatedAsyncioTestCase):
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


class InForceTest(_FleetCase):
    async def test_submit_waits_until_every_node_has_it(self):
        await self.start("node-a", "node-b", "node-c")
        operators = self.fleet.nodes["node-a"].listening["operators"]

        code, found = await self.submit(
            FIRST, "--wait", f"--operators={operators}"
        )

        self.assertEqual(0, code)
        self.assertTrue(found["in_force"]["everywhere"])
        self.assertEqual(
            ["node-a", "node-b", "node-c"], found["in_force"]["nodes_in_force"]
        )
        self.assertLess(found["in_force"]["seconds"], 8)

    async def test_a_paused_node_is_named_and_nothing_is_claimed_of_it(self):
        """A VM hangs while an operator submits.

        It can't say what it has in force. The operator must see that one
        node is not known, and not read that the change is everywhere.
        """
        await self.start("node-a", "node-b")
        self.fleet.nodes["node-b"].pause()
        operators = self.fleet.nodes["node-a"].listening["operators"]

        code, found = await self.submit(
            FIRST, "--wait", "--wait_seconds=1", f"--operators={operators}"
        )

        self.fleet.nodes["node-b"].resume()
        self.assertEqual(1, code)
        self.assertFalse(found["in_force"]["everywhere"])
        self.assertEqual(["node-b"], found["in_force"]["not_known"])


class StoreLossTest(_FleetCase):
    async def test_a_platform_that_is_back_empty_reverts_nothing(self):
        """The platform's store is lost while a change is in force.

        Nodes keep the change, a node that joins hears it from its peers, and
        the platform gets it back, so that the next operator sees it.
        """
        await self.start("node-a")
        _, found = await self.submit(FIRST)
        version = found["versions"][RIDERS]
        await self.fleet.nodes["node-a"].message("in force")

        await self.control("empty")
        await self.start("node-b", seeds=self.seed())

        self.assertEqual(
            {"node-a": version, "node-b": version},
            await self.in_force("node-a"),
        )
        await self.fleet.nodes["node-a"].line(
            lambda line: line.get("message") == "restored in the platform"
        )
        code, held = await self.run_command("get", "service", "riders")
        self.assertEqual((0, {"slots": 3}), (code, _slots(held)))

    async def test_a_platform_that_is_back_with_older_state(self):
        """The platform is restored from a copy that lacks a change.

        Its older object must not come into force again anywhere, and the
        next operator must read the newer one.
        """
        await self.start("node-a")
        await self.submit(FIRST)
        await self.control("backup")
        _, found = await self.submit(SECOND)
        version = found["versions"][RIDERS]
        await self.fleet.nodes["node-a"].message("in force", version=version)

        await self.control("restore")
        await self.fleet.nodes["node-a"].message("restored in the platform")

        self.assertEqual({"node-a": version}, await self.in_force("node-a"))
        _, held = await self.run_command("get", "service", "riders")
        self.assertEqual({"slots": 5}, _slots(held))

    async def test_a_node_joins_while_the_platform_is_away(self):
        """A VM is replaced during an outage of the platform.

        The new node has nothing on disk. It must not call itself ready, and
        so take callers, before it has heard from its peers.
        """
        await self.start("node-a", "node-b")
        _, found = await self.submit(FIRST)
        version = found["versions"][RIDERS]
        for name in ("node-a", "node-b"):
            await self.fleet.nodes[name].message("in force")
        await self.control("fault", [{"mode": "outage"}])

        await self.start("node-c", seeds=self.seed())

        states = await self.in_force("node-c")
        self.assertEqual(version, states["node-c"])

    async def test_a_node_alone_with_the_platform_away_is_not_ready(self):
        await self.control("fault", [{"mode": "outage"}])
        node = await self.fleet.node("node-a")
        await node.line(
            lambda line: str(line.get("message")).startswith("platform:")
        )

        url = f"http://{node.listening['operators']}/readyz"
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as response,
        ):
            text = await response.text()

        self.assertEqual(503, response.status)
        self.assertIn("no configuration yet", text)


class OperatorRaceTest(_FleetCase):
    async def test_two_operators_change_different_objects(self):
        """Two firms submit the same file, each with its own change.

        Each file still holds the other's object as it was before. Neither
        change may be taken back by the other, in whichever order they come.
        """
        both = {"services": {"riders": {"slots": 3}, "venues": {"slots": 3}}}
        await self.submit(both)
        base = "--base=" + self.file("base.yaml", both)
        mine = {"services": {"riders": {"slots": 5}, "venues": {"slots": 3}}}
        theirs = {"services": {"riders": {"slots": 3}, "venues": {"slots": 7}}}

        ended = await asyncio.gather(
            self.submit(mine, base, name="mine.yaml"),
            self.submit(theirs, base, name="theirs.yaml"),
        )

        self.assertEqual([0, 0], [code for code, _ in ended])
        _, riders = await self.run_command("get", "service", "riders")
        _, venues = await self.run_command("get", "service", "venues")
        self.assertEqual(
            (5, 7), (_slots(riders)["slots"], _slots(venues)["slots"])
        )

    async def test_two_operators_change_the_same_object(self):
        await self.submit(FIRST)
        base = "--base=" + self.file("base.yaml", FIRST)

        ended = await asyncio.gather(
            self.submit(SECOND, base, name="mine.yaml"),
            self.submit(
                {"services": {"riders": {"slots": 7}}}, base, name="theirs.yaml"
            ),
        )

        self.assertEqual([0, 1], sorted(code for code, _ in ended))
        loser = next(found for code, found in ended if code)
        (shown,) = loser["objects"]
        self.assertEqual("refused", shown["result"])
        self.assertEqual(["slots"], [i["path"] for i in shown["theirs"]])

    async def test_an_answer_lost_after_the_write(self):
        """The platform writes and its answer is lost.

        The operator's retry meets the own write. It must end as written,
        once, and the trail must hold one change.
        """
        await self.submit(FIRST)
        lost = {"mode": "answer-lost", "count": 4, "methods": ["PUT"]}
        await self.control("fault", [lost])

        code, found = await self.submit(SECOND)

        self.assertEqual(0, code)
        _, held = await self.run_command("get", "service", "riders")
        self.assertEqual(found["operation"], held["value"]["operation"])
        _, trail = await self.run_command("audit", f"--subject={RIDERS}")
        self.assertEqual(["done", "done"], [i["outcome"] for i in trail])
        self.assertEqual(
            trail[0]["to_version"], held["value"]["replaced_version"]
        )
        self.assertEqual(trail[1]["from_version"], trail[0]["to_version"])

    async def test_a_removed_object_stays_removed(self):
        await self.start("node-a")
        await self.submit(FIRST)

        await self.submit({}, f"--remove={RIDERS}")

        await self.fleet.nodes["node-a"].message("in force")
        _, held = await self.run_command("get", "service", "riders")
        self.assertIsNone(held["value"]["spec"])


def _slots(held):
    return {"slots": held["value"]["spec"]["slots"]}
