"""End-to-end test: one poison request can't crash all targets of a service."""

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
# Two crashes make the request suspect, and one trial confirms it.
MAX_CRASHES = 3


class PoisonTest(unittest.IsolatedAsyncioTestCase):
    """An idempotent request crashes each target that runs it, and is resent.

    Each single send looks like a crashed target. The caller gets an error and
    resends the request, to another node. Unless nodes record which request was
    running on a crashed target, and tell each other, the resends crash all
    targets, with the other requests that run there.
    """

    async def test_is_refused_at_all_nodes_after_one_trial(self):
        async with _fleet() as (fleet, entries, caller):
            await caller.send(entries[0], "GET", work="well", body=b"well")
            responses = [
                await caller.send(
                    entries[number % 2], "GET", fault="crash", body=b"bad"
                )
                for number in range(SEND_COUNT)
            ]
            others = [
                await caller.send(entries[0], "GET", work="well", body=b"well")
                for _ in range(TARGET_COUNT)
            ]
            crashed = [
                target
                for target in fleet.targets.values()
                if target.child.returncode is not None
            ]

            self.assertEqual("unknown", responses[0].outcome)
            for refused in responses[2:]:
                self.assertEqual(
                    (503, "not-run", "poison"),
                    (refused.status, refused.outcome, refused.reason),
                )
                self.assertIn("Retry-After", refused.headers)
            self.assertEqual({200}, {response.status for response in others})
            self.assertEqual(MAX_CRASHES, len(crashed))


@contextlib.asynccontextmanager
async def _fleet():
    async with processes.Fleet() as fleet, aiohttp.ClientSession() as session:
        entries = [await fleet.start_node("entry-a")]
        entries.append(await fleet.start_node("entry-b"))
        names = [f"riders-{number}" for number in range(TARGET_COUNT)]
        for name in names:
            await fleet.start_target(name, "riders", [entries[0]])
        await fleet.submit(CONFIGURATION)
        for entry in entries:
            await entry.wait_for_message("in force", object="camerino")
        await entries[1].wait_for_message("home heard", targets=names)
        yield fleet, entries, calls.Caller(session)
