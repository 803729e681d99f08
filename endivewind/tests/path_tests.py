"""End-to-end tests with separate processes: platform, nodes and targets."""

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


class EndToEndTest(unittest.IsolatedAsyncioTestCase):
    """Requests enter at one node and run at the target of another."""

    async def test_request_reaches_target_of_other_node(self):
        async with processes.Fleet() as fleet:
            entry = await fleet.start_node("node-a", "andina-a")
            home = await fleet.start_node("node-b", "andina-b")
            await fleet.start_target("riders-1", "riders", [home])
            await fleet.submit(CONFIGURATION)
            await entry.wait_for_message("in force", object="camerino")
            await entry.wait_for_message(
                "home heard", home="node-b", targets=["riders-1"]
            )

            response = await _get(entry, "/riders/42?full=1")

            self.assertEqual(200, response.status)
            self.assertEqual(
                ("riders-1", "/riders/42?full=1"),
                (response.json["target"], response.json["path"]),
            )

    async def test_unknown_route_is_refused_as_not_run(self):
        async with processes.Fleet() as fleet:
            entry = await fleet.start_node("node-a")
            async with asyncio.timeout(processes.TIMEOUT_SECONDS):
                response = await _get(entry, "/nowhere")
                while response.headers["Endivewind-Reason"] == "not-ready":
                    response = await _get(entry, "/nowhere")

            self.assertEqual(404, response.status)
            self.assertEqual("not-run", response.headers["Endivewind-Outcome"])

    async def test_node_without_configuration_refuses_with_retry_after(self):
        """Guards against "no route" from a node that has no routes yet.

        The platform ends before the node starts, so the node has no
        configuration and can't tell whether there is a route for the request.
        """
        async with processes.Fleet() as fleet:
            fleet.platform.kill()
            entry = await fleet.start_node("node-a")

            response = await _get(entry, "/riders/42")

            self.assertEqual(503, response.status)
            self.assertEqual(
                ("not-run", "not-ready", "1"),
                (
                    response.headers["Endivewind-Outcome"],
                    response.headers["Endivewind-Reason"],
                    response.headers["Retry-After"],
                ),
            )


class _Response:
    def __init__(self, response: aiohttp.ClientResponse, json) -> None:
        self.status = response.status
        self.headers = response.headers
        self.json = json


async def _get(node: processes.Process, path: str) -> _Response:
    url = f"http://{node.listening_line['callers']}{path}"
    async with (
        aiohttp.ClientSession() as session,
        session.get(url, headers={"Host": "camerino.example"}) as response,
    ):
        return _Response(response, await response.json(content_type=None))
