"""The whole path in separate processes: platform, nodes, targets."""

import asyncio
import unittest

import aiohttp

from endivewind.tests import processes

CONFIGURATION = {
    "services": {"riders": {"slots": 3}},
    "route_groups": {
        "camerino": {
            "routes": [
                {
                    "host": "camerino.example",
                    "prefix": "/riders",
                    "service": "riders",
                }
            ]
        }
    },
}


class WholePathTest(unittest.IsolatedAsyncioTestCase):
    """A request enters at one node and is answered by another's target."""

    async def test_request_reaches_the_target_of_another_node(self):
        async with processes.Fleet() as fleet:
            entry = await fleet.node("node-a", "andina-a")
            home = await fleet.node("node-b", "andina-b")
            await fleet.target("riders-1", "riders", [home])
            await fleet.submit(CONFIGURATION)
            await entry.message("in force", object="camerino")
            await entry.message(
                "home heard", home="node-b", targets=["riders-1"]
            )

            answer = await _get(entry, "/riders/42?full=1")

            self.assertEqual(200, answer.status)
            self.assertEqual(
                ("riders-1", "/riders/42?full=1"),
                (answer.json["target"], answer.json["path"]),
            )

    async def test_unknown_route_is_refused_as_not_run(self):
        async with processes.Fleet() as fleet:
            entry = await fleet.node("node-a")
            async with asyncio.timeout(processes.WAIT_SECONDS):
                answer = await _get(entry, "/nowhere")
                while answer.headers["Endivewind-Reason"] == "not-ready":
                    answer = await _get(entry, "/nowhere")

            self.assertEqual(404, answer.status)
            self.assertEqual("not-run", answer.headers["Endivewind-Outcome"])

    async def test_node_without_configuration_asks_to_come_back(self):
        """The caller hears "come back", not that its route does not exist.

        The platform is gone before the node starts, so the node has no routes
        yet and can't know whether there is one for the request.
        """
        async with processes.Fleet() as fleet:
            fleet.platform.kill()
            entry = await fleet.node("node-a")

            answer = await _get(entry, "/riders/42")

            self.assertEqual(503, answer.status)
            self.assertEqual(
                ("not-run", "not-ready", "1"),
                (
                    answer.headers["Endivewind-Outcome"],
                    answer.headers["Endivewind-Reason"],
                    answer.headers["Retry-After"],
                ),
            )


class _Answer:
    def __init__(self, response: aiohttp.ClientResponse, json) -> None:
        self.status = response.status
        self.headers = response.headers
        self.json = json


async def _get(node: processes.Process, path: str) -> _Answer:
    url = f"http://{node.listening['callers']}{path}"
    async with (
        aiohttp.ClientSession() as session,
        session.get(url, headers={"Host": "camerino.example"}) as response,
    ):
        return _Answer(response, await response.json(content_type=None))
