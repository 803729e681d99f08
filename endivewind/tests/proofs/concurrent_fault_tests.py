"""End-to-end test: several faults at the same time."""

import asyncio
import collections
import contextlib
import itertools
import unittest

import aiohttp

from endivewind.tests import processes
from endivewind.tests.proofs import calls

CONFIGURATION = {
    "services": {"ledger": {"slots": 8, "timeout_ms": 4000}},
    "route_groups": {"saltline": {"routes": [{"service": "ledger"}]}},
}
CALLER_COUNT = 6
# Enough requests between two faults that each fault affects some at every step.
REQUESTS_BETWEEN_FAULTS = 60


class ConcurrentFaultTest(unittest.IsolatedAsyncioTestCase):
    """Requests with and without keys continue while nodes and platform fail.

    Callers get responses, refusals and broken connections. Meanwhile a home
    node is killed, the platform is killed, another home node is paused for
    longer than its leases, and the killed one restarts. Every reported outcome
    must agree with what the targets ran, and no response may belong to another
    request.
    """

    async def test_reported_outcomes_are_true(self):
        async with _fleet() as (fleet, caller):
            workload = _Workload(
                caller, [fleet.nodes["entry-1"], fleet.nodes["entry-2"]]
            )
            workers = [
                asyncio.create_task(workload.run()) for _ in range(CALLER_COUNT)
            ]
            await self._inject_faults(fleet, workload)
            workload.stop()
            await asyncio.gather(*workers)
            runs = await caller.run_counts(fleet)

            self._check(workload, runs)

    async def _inject_faults(self, fleet, workload):
        await workload.wait_for_requests(REQUESTS_BETWEEN_FAULTS)
        fleet.nodes["home-1"].kill()
        await workload.wait_for_requests(REQUESTS_BETWEEN_FAULTS)
        fleet.platform.kill()
        fleet.nodes["home-2"].pause()
        await workload.wait_for_requests(REQUESTS_BETWEEN_FAULTS)
        await fleet.start_node("home-1", "andina-b")
        await workload.wait_for_requests(REQUESTS_BETWEEN_FAULTS)
        fleet.nodes["home-2"].resume()
        await workload.wait_for_requests(REQUESTS_BETWEEN_FAULTS)

    def _check(self, workload, runs):
        self.assertGreater(
            len(workload.names_by_outcome["answer"]),
            2 * REQUESTS_BETWEEN_FAULTS,
        )
        for name in workload.names_by_outcome["answer"]:
            self.assertEqual(1, runs[name], name)
        for name in workload.names_by_outcome["not-run"]:
            self.assertEqual(0, runs[name], name)
        for name in itertools.chain(*workload.names_by_outcome.values()):
            self.assertLessEqual(runs[name], 1, name)
        self.assertEqual([], workload.mismatched_responses)


class _Workload:
    """Requests with and without keys, and the outcomes reported to callers."""

    def __init__(self, caller, entries) -> None:
        self.names_by_outcome = collections.defaultdict(list)
        self.mismatched_responses = []
        self._caller = caller
        self._entries = entries
        self._request_numbers = itertools.count()
        self._stopped = False
        self._progress = asyncio.Condition()
        self._finished = 0

    def stop(self):
        self._stopped = True

    async def wait_for_requests(self, count):
        """Waits until `count` more requests have ended."""
        async with asyncio.timeout(processes.TIMEOUT_SECONDS), self._progress:
            goal = self._finished + count
            await self._progress.wait_for(lambda: self._finished >= goal)

    async def run(self):
        while not self._stopped:
            number = next(self._request_numbers)
            entry = self._entries[number % len(self._entries)]
            if number % 2:
                await self._send_without_key(entry, f"look-up-{number}")
            else:
                await self._send_with_key(entry, f"payout-{number}")
            async with self._progress:
                self._finished += 1
                self._progress.notify_all()

    async def _send_without_key(self, entry, name):
        response = await self._caller.send(entry, "GET", body=None, work=name)
        self._check_response(response, name)

    async def _send_with_key(self, entry, name):
        key = await self._caller.request_key(entry)
        response = await self._caller.send(
            entry, key=key, work=name, fault="delay"
        )
        self.names_by_outcome[
            response.outcome or ("answer" if response.status else "")
        ].append(name)
        self._check_response(response, name)

    def _check_response(self, response, name):
        if response.status == 200 and response.json["work"] != name:
            self.mismatched_responses.append((name, response))


@contextlib.asynccontextmanager
async def _fleet():
    async with processes.Fleet() as fleet, aiohttp.ClientSession() as session:
        entry, *_ = await asyncio.gather(
            fleet.start_node("entry-1", "andina-a"),
            fleet.start_node("entry-2", "andina-c"),
            fleet.start_node("home-1", "andina-b"),
            fleet.start_node("home-2", "andina-a"),
            fleet.start_node("home-3", "andina-c"),
        )
        homes = [fleet.nodes[f"home-{number}"] for number in (1, 2, 3)]
        await asyncio.gather(
            *(
                fleet.start_target(
                    f"ledger-{number}",
                    "ledger",
                    [*homes[number % 3 :], *homes[: number % 3]],
                )
                for number in range(6)
            )
        )
        await fleet.submit(CONFIGURATION)
        for name in ("entry-1", "entry-2"):
            node = fleet.nodes[name]
            await node.wait_for_message("in force", object="saltline")
            for home in homes:
                await node.wait_for_line(
                    lambda line, home=home: (
                        line.get("home") == home.name
                        and len(line.get("targets", ())) == 2
                    )
                )
        yield fleet, calls.Caller(session)
