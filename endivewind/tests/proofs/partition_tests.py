"""Proofs under partitions between an entry and a home, on real sockets."""

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
# Far above the silence limit of a link, far below the deadline.
SOON_SECONDS = 4
DEADLINE_MS = "15000"


class OneWayPartitionTest(unittest.IsolatedAsyncioTestCase):
    """The entry's bytes reach the home; the home's bytes are lost."""

    async def test_idempotent_request_is_answered_elsewhere(self):
        """The caller gets a whole answer long before its deadline.

        The near target's home takes the request but its answer is lost on the
        way back. The entry notices the silence, gives the path up and places
        the request at the target of another home.
        """
        async with fleet() as (_, entry, broken):
            broken.back = relay.Mode.DROP

            status, text = await _send(entry, "GET")

            self.assertEqual(200, status, text)
            self.assertIn("riders-far", text)

    async def test_unrepeatable_request_ends_as_unknown(self):
        """The caller hears "unknown" soon, and never "not-run".

        The home takes the request, the target runs it, and then the way back
        is lost with the answer. The entry can't know that, so it neither runs
        it again nor denies it.
        """
        async with fleet() as (started, entry, broken):
            sent = asyncio.create_task(_send(entry, "POST", slow=True))
            near = started.targets["riders-near"]
            await near.message("work runs")
            broken.back = relay.Mode.DROP

            status, text = await sent

            self.assertEqual(502, status, text)
            self.assertIn('"outcome": "unknown"', text)

    async def test_unrepeatable_request_goes_round_a_path_that_is_lost(self):
        """The caller gets its answer, and the work has run once.

        The way back is lost before the request comes. The home is asked
        first, is not heard, and gets no work of which nobody could tell
        whether it ran.
        """
        async with fleet() as (started, entry, broken):
            broken.back = relay.Mode.DROP

            status, text = await _send(entry, "POST")

            self.assertEqual(200, status, text)
            self.assertIn("riders-far", text)
            near = started.targets["riders-near"]
            runs = [line for line in near.seen if _is_run(line)]
            self.assertEqual([], runs)

    async def test_forgotten_connection_does_not_cost_the_path(self):
        """Callers get answers of the near target again at once.

        The pooled connection goes silent while new ones work. One request
        waits out the silence; the next takes a fresh connection.
        """
        async with fleet() as (_, entry, broken):
            await _send(entry, "GET")
            broken.back = relay.Mode.DROP
            await _send(entry, "GET")
            broken.back = relay.Mode.PASS

            status, text = await _send(entry, "GET")

            self.assertEqual(200, status, text)
            self.assertIn("riders-near", text)


@contextlib.asynccontextmanager
async def fleet():
    """An entry, a near home behind a relay, and a far home."""
    async with processes.Fleet() as started, relay.Relay() as broken:
        entry = await started.node("entry", "andina-a")
        near = await started.node(
            "near", "andina-a", nodes_advertised=broken.address
        )
        broken.upstream = near.listening["nodes"]
        far = await started.node("far", "caribe-a")
        await started.target("riders-near", "riders", [near])
        await started.target("riders-far", "riders", [far])
        await started.submit(CONFIGURATION)
        await entry.message("in force", object="camerino")
        await entry.message("home heard", targets=["riders-near"])
        await entry.message("home heard", targets=["riders-far"])
        yield started, entry, broken


def _is_run(line) -> bool:
    return line.get("message") == "work runs"


async def _send(
    node: processes.Process, method: str, slow: bool = False
) -> tuple[int, str]:
    """Sends a request; one that must not repeat first asks for its key."""
    url = f"http://{node.listening['callers']}/work"
    fields = {"Endivewind-Timeout-Ms": DEADLINE_MS}
    async with (
        asyncio.timeout(SOON_SECONDS),
        aiohttp.ClientSession() as session,
    ):
        if method == "POST":
            async with session.post(url, headers=fields) as asked:
                fields["Idempotency-Key"] = asked.headers["Idempotency-Key"]
        if slow:
            fields[standin.FAULT_HEADER] = standin.Fault.DELAY
        async with session.request(method, url, headers=fields) as response:
            return response.status, await response.text()
