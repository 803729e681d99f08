"""End-to-end test: one poison request can't crash all targets of a service."""

import asyncio
import contextlib
import unittest

import aiohttp

from endivewind.tests import processes
from endivewind.tests.proofs import calls

CONFIGURATION = {
    "services": {"riders": {"slots": 4, "retry_percent": 100}},
    "route_groups": {"camerino": {"routes": [{"service": "riders"}]}},
}
TARGET_COUNT = 4
SEND_COUNT = 6


class PoisonTest(unittest.IsolatedAsyncioTestCase):
    """An idempotent request crashes each target that runs it, and is resent.

    Each single send looks like a crashed target. The caller gets an error and
    resends the request. Unless nodes record which request was running on a
    crashed target, the resends crash all targets, with the other requests that
    run there.
    """

    async def test_is_refused_after_two_crashes(self):
        async with _fleet() as (fleet, entry, caller):
            await caller.send(entry, "GET", work="well", body=b"well")
            responses = [
                await caller.send(entry, "GET", fault="crash", body=b"bad")
                for _ in range(SEND_COUNT)
            ]
            others = [
                await caller.send(entry, "GET", work="well", body=b"well")
                for _ in range(TARGET_COUNT)
            ]
            crashed = [
                target
                for target in fleet.targets.values()
                if target.child.returncode is not None
            ]

            self.assertEqual("unknown", responses[0].outcome)
            self.assertEqual(
                (503, "not-run", "poison"),
                (
                    responses[-1].status,
                    responses[-1].outcome,
                    responses[-1].reason,
                ),
            )
            self.assertIn("Retry-After", responses[-1].headers)
            self.assertEqual({200}, {response.status for response in others})
            self.assertEqual(2, len(crashed))


@contextlib.asynccontextmanager
async def _fleet():
    async with processes.Fleet() as fleet, aiohttp.ClientSession() as session:
        entry = await fleet.start_node("entry")
        await asyncio.gather(
            *(
                fleet.start_target(f"riders-{number}", "riders", [entry])
                for number in range(TARGET_COUNT)
            )
        )
        await fleet.submit(CONFIGURATION)
        await entry.wait_for_message("in force", object="camerino")
        yield fleet, entry, calls.Caller(session)
