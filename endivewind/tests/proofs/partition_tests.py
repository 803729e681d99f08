"""End-to-end tests: network partitions between an entry and a home node."""

import asyncio
import contextlib
import unittest

import aiohttp

from endivewind.standins import relay
from endivewind.standins import target as standin
from endivewind.tests import processes

CONFIGURATION = {
    "services": {"riders": {"slots": 3}},
    "route_groups": {"camerino": {"routes": [{"service": "riders"}]}},
}
# Far above the heartbeat timeout of a link, far below the deadline.
RESPONSE_SECONDS = 4
DEADLINE_MS = "15000"


class OneWayPartitionTest(unittest.IsolatedAsyncioTestCase):
    """The entry node's bytes reach the home node; those sent back are lost."""

    async def test_idempotent_request_is_retried_elsewhere(self):
        """The caller gets a complete response long before its deadline.

        The near target's home node gets the request, but its response is lost.
        The entry node detects the silent connection, opens the circuit breaker
        of that home node, and retries at the target of another one.
        """
        async with fleet() as (_, entry, broken_link):
            broken_link.from_upstream = relay.DirectionMode.DROP

            status, text = await _send(entry, "GET")

            self.assertEqual(200, status, text)
            self.assertIn("riders-far", text)

    async def test_non_idempotent_request_gets_outcome_unknown(self):
        """The caller soon gets the outcome "unknown", and never "not-run".

        The target runs the request, and then the response is lost. The entry
        node can't know whether it ran, so that it must neither retry the
        request nor report it as not run.
        """
        async with fleet() as (process_fleet, entry, broken_link):
            sent = asyncio.create_task(_send(entry, "POST", slow=True))
            near = process_fleet.targets["riders-near"]
            await near.wait_for_message("work runs")
            broken_link.from_upstream = relay.DirectionMode.DROP

            status, text = await sent

            self.assertEqual(502, status, text)
            self.assertIn('"outcome": "unknown"', text)

    async def test_non_idempotent_request_avoids_unreachable_home(self):
        """The caller gets a response, and the request runs only once.

        The direction back is lost before the request arrives. The entry node
        probes the home node first. As no reply arrives, it sends no request
        there whose outcome it couldn't learn.
        """
        async with fleet() as (process_fleet, entry, broken_link):
            broken_link.from_upstream = relay.DirectionMode.DROP

            status, text = await _send(entry, "POST")

            self.assertEqual(200, status, text)
            self.assertIn("riders-far", text)
            near = process_fleet.targets["riders-near"]
            runs = [line for line in near.lines if _is_run(line)]
            self.assertEqual([], runs)

    async def test_silent_connection_does_not_open_the_circuit_breaker(self):
        """The near target is used again at once.

        A pooled connection goes silent while new ones work. One request waits
        for its heartbeat timeout; the next one uses a new connection.
        """
        async with fleet() as (_, entry, broken_link):
            await _send(entry, "GET")
            broken_link.from_upstream = relay.DirectionMode.DROP
            await _send(entry, "GET")
            broken_link.from_upstream = relay.DirectionMode.PASS

            status, text = await _send(entry, "GET")

            self.assertEqual(200, status, text)
            self.assertIn("riders-near", text)


@contextlib.asynccontextmanager
async def fleet():
    """An entry node, a near home node behind a relay, and a far home node."""
    async with processes.Fleet() as process_fleet, relay.Relay() as broken_link:
        entry = await process_fleet.start_node("entry", "andina-a")
        near = await process_fleet.start_node(
            "near", "andina-a", nodes_advertised=broken_link.address
        )
        broken_link.upstream = near.listening_line["nodes"]
        far = await process_fleet.start_node("far", "caribe-a")
        await process_fleet.start_target("riders-near", "riders", [near])
        await process_fleet.start_target("riders-far", "riders", [far])
        await process_fleet.submit(CONFIGURATION)
        await entry.wait_for_message("in force", object="camerino")
        await entry.wait_for_message("home heard", targets=["riders-near"])
        await entry.wait_for_message("home heard", targets=["riders-far"])
        yield process_fleet, entry, broken_link


def _is_run(line) -> bool:
    return line.get("message") == "work runs"


async def _send(
    node: processes.Process, method: str, slow: bool = False
) -> tuple[int, str]:
    """Sends a request; for a POST, first gets its idempotency key."""
    url = f"http://{node.listening_line['callers']}/work"
    request_headers = {"Endivewind-Timeout-Ms": DEADLINE_MS}
    async with (
        asyncio.timeout(RESPONSE_SECONDS),
        aiohttp.ClientSession() as session,
    ):
        if method == "POST":
            async with session.post(url, headers=request_headers) as refusal:
                request_headers["Idempotency-Key"] = refusal.headers[
                    "Idempotency-Key"
                ]
        if slow:
            request_headers[standin.FAULT_HEADER] = standin.RequestFault.DELAY
        async with session.request(
            method, url, headers=request_headers
        ) as response:
            return response.status, await response.text()
