"""Proofs on real processes that speak the users' platform's interface."""

import asyncio
import collections
import unittest

import aiohttp
from aiohttp import web

from endivewind.platform import names
from endivewind.tests import processes

HOST = "shop.example"
BORN = 1_700_000_000_000
STAMP = names.HEADERS.response_marker


def _configuration(version, service="riders"):
    def route(prefix, kind):
        return {
            "resource_type": "routes",
            "metadata": {"name": prefix.strip("/")},
            "spec": {
                "host": HOST,
                "path_prefix": prefix,
                "route_type": kind,
                "timeout_s": 2,
                "target_latency_s": 1,
                "priority": 1,
                "service": service,
                "max_attempts": 2,
            },
        }

    return {
        "version": f"{version:08x}",
        "resources": [
            route("/views/", "safe"),
            route("/orders/", "unsafe"),
            {
                "resource_type": "services",
                "metadata": {"name": service},
                "spec": {"health_path": "/health", "max_connections": 300},
            },
            {
                "resource_type": "limits",
                "metadata": {},
                "spec": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 100_000,
                    "header_timeout_s": 3,
                    "idle_timeout_s": 15,
                },
            },
        ],
    }


class _Target:
    """A target of the platform: works, and sends heartbeats to its node."""

    def __init__(self, name, session):
        self.name = name
        self.seen = []
        self.runs = collections.Counter()
        self.works = asyncio.Event()
        self.release = asyncio.Event()
        self.release.set()
        self.address = ""
        self._session = session
        self._sequence = 0
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._work)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0)

    async def start(self):
        await self._runner.setup()
        await web.TCPSite(self._runner, processes.ADDRESS, 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self):
        self.release.set()
        await self._runner.cleanup()

    async def beat(self, node, state="ready"):
        self._sequence += 1
        beat = {
            "address": self.address,
            "born": BORN,
            "info": {"service": "riders", "slots": 3},
            "status": {"state": state, "sequence": self._sequence},
        }
        url = f"http://{node.listening['targets']}/Instances.Heartbeat/"
        async with self._session.post(url + self.name, json=beat) as response:
            return response.status

    async def _work(self, request):
        given = request.headers
        expected = given.get(names.HEADERS.expected_target)
        own = {names.HEADERS.request_id: given[names.HEADERS.request_id]}
        if expected != self.name:
            return web.Response(status=421, headers=own)
        self.seen.append((request.method, request.path, dict(given)))
        self.runs[given[names.HEADERS.request_id]] += 1
        self.works.set()
        await self.release.wait()
        return web.Response(text=self.name, headers={**own, STAMP: "mark"})


class PlatformTest(unittest.IsolatedAsyncioTestCase):
    """Two nodes, each beside a target, and the operator at the store."""

    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(processes.Fleet())
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        self.targets = {}
        self.nodes = {}
        for name in ("a", "b"):
            target = _Target(f"i-{name}", self.session)
            await target.start()
            self.addAsyncCleanup(target.stop)
            self.targets[name] = target

    async def node(self, name):
        found = await self.fleet.node(
            f"node-{name}",
            interface="platform",
            once="request-id",
            audit="log",
            beside={
                "service": "riders",
                "address": self.targets[name].address,
                "heartbeat_seconds": 1.5,
            },
            limits={"grace_seconds": 6.0, "notice_seconds": 1.0},
        )
        self.nodes[name] = found
        return found

    async def write(self, version, **changes):
        """Writes the configuration as the operator does."""
        url = f"{self.fleet.platform_url}/objects/config"
        value = _configuration(version, **changes)
        body = {"metadata": {"name": "main"}, "spec": value}
        async with self.session.post(url, json=body) as response:
            if response.status != 409:
                return
        async with self.session.put(url + "/main", json=body) as response:
            self.assertEqual(200, response.status)

    async def started(self):
        """Both nodes, with the first configuration and both targets."""
        await self.write(1)
        await asyncio.gather(self.node("a"), self.node("b"))
        for name, node in self.nodes.items():
            await node.message("in force", version=1)
            await node.message("ready")
            self.assertEqual(200, await self.targets[name].beat(node))
        await self.nodes["a"].message("home heard", targets=["i-b"])
        await self.nodes["b"].message("home heard", targets=["i-a"])

    async def ask(self, node, path="/views/1", method="GET", number="r-1"):
        url = f"http://{node.listening['callers']}{path}"
        given = {
            "Host": HOST,
            names.HEADERS.request_id: number,
            names.HEADERS.timeout_ms: "3000",
            names.HEADERS.caller_service: "forged",
        }
        async with self.session.request(method, url, headers=given) as response:
            return response.status, await response.text(), response.headers

    async def test_a_request_reaches_the_target_as_it_was_sent(self):
        await self.started()

        status, text, fields = await self.ask(self.nodes["a"])

        self.assertEqual(200, status, text)
        self.assertEqual("mark", fields[STAMP])
        self.assertEqual("r-1", fields[names.HEADERS.request_id])
        ran = self.targets[text[-1]]
        _, path, given = ran.seen[0]
        self.assertEqual("/views/1", path)
        self.assertEqual(HOST, given["Host"])
        self.assertEqual("riders", given[names.HEADERS.caller_service])
        self.assertLessEqual(int(given[names.HEADERS.timeout_ms]), 2000)

    async def test_a_node_without_configuration_refuses_for_now(self):
        """The operator has written nothing yet; a 404 would be untrue."""
        node = await self.node("a")

        status, _, fields = await self.ask(node)

        self.assertEqual(503, status)
        self.assertIn("Retry-After", fields)
        await self.write(1)
        await node.message("in force", version=1)
        status, _, _ = await self.ask(node, path="/nowhere/1")
        self.assertEqual(404, status)

    async def test_a_change_is_in_force_and_an_older_one_is_not_taken(self):
        await self.started()
        await self.write(7, service="venues")
        for node in self.nodes.values():
            await node.message("in force", version=7)

        await self.write(3)
        status, _, _ = await self.ask(self.nodes["a"])

        self.assertEqual(503, status)
        self.assertEqual({}, dict(self.targets["a"].runs))

    async def test_a_target_that_leaves_gets_nothing_more(self):
        """Its home has acknowledged; entries may not have heard of it yet."""
        await self.started()
        leaving = self.targets["a"]

        self.assertEqual(200, await leaving.beat(self.nodes["a"], "draining"))
        answers = [
            await self.ask(self.nodes[name], "/orders/1", "POST", f"r-{number}")
            for number, name in enumerate("abababab")
        ]

        self.assertEqual({200}, {status for status, _, _ in answers})
        self.assertEqual(0, leaving.runs.total())

    async def test_a_stop_lets_the_order_end_and_runs_it_once(self):
        """The platform ends a node whose target works on an order."""
        await self.started()
        for target in self.targets.values():
            target.release.clear()
        node = self.nodes["a"]
        order = asyncio.create_task(
            self.ask(node, "/orders/1", "POST", "order")
        )
        await asyncio.wait(
            [
                asyncio.create_task(target.works.wait())
                for target in self.targets.values()
            ],
            return_when=asyncio.FIRST_COMPLETED,
        )

        stopping = asyncio.create_task(node.stop())
        await node.message("stopping")
        for target in self.targets.values():
            target.release.set()
        status, _, _ = await order

        self.assertEqual(200, status)
        self.assertEqual(0, await stopping)
        runs = sum(target.runs["order"] for target in self.targets.values())
        self.assertEqual(1, runs)
