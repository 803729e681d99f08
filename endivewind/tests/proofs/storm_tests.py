"""Proofs on real processes under several faults together."""

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
CALLERS = 6
# Enough work between two faults that each meets requests at every step.
BETWEEN = 60


class StormTest(unittest.IsolatedAsyncioTestCase):
    """Payouts and look-ups go on while nodes and the platform fail.

    Clerks see answers, refusals and broken connections. Meanwhile a home is
    killed, the platform goes away, another home is paused past its leases,
    and the killed one starts anew. Whatever a clerk was told must be true of
    what the targets ran, and no answer may be another request's.
    """

    async def test_what_callers_were_told_is_true(self):
        async with _fleet() as (fleet, caller):
            work = _Work(
                caller, [fleet.nodes["entry-1"], fleet.nodes["entry-2"]]
            )
            workers = [asyncio.create_task(work.run()) for _ in range(CALLERS)]
            await self._storm(fleet, work)
            work.stop()
            await asyncio.gather(*workers)
            runs = await caller.runs(fleet)

            self._check(work, runs)

    async def _storm(self, fleet, work):
        await work.more(BETWEEN)
        fleet.nodes["home-1"].kill()
        await work.more(BETWEEN)
        fleet.platform.kill()
        fleet.nodes["home-2"].pause()
        await work.more(BETWEEN)
        await fleet.node("home-1", "andina-b")
        await work.more(BETWEEN)
        fleet.nodes["home-2"].resume()
        await work.more(BETWEEN)

    def _check(self, work, runs):
        self.assertGreater(len(work.told["answer"]), 2 * BETWEEN)
        for name in work.told["answer"]:
            self.assertEqual(1, runs[name], name)
        for name in work.told["not-run"]:
            self.assertEqual(0, runs[name], name)
        for name in itertools.chain(*work.told.values()):
            self.assertLessEqual(runs[name], 1, name)
        self.assertEqual([], work.foreign)


class _Work:
    """Callers' payouts and look-ups, and what each was told."""

    def __init__(self, caller, entries) -> None:
        self.told = collections.defaultdict(list)
        self.foreign = []
        self._caller = caller
        self._entries = entries
        self._numbers = itertools.count()
        self._stopped = False
        self._done = asyncio.Condition()
        self._finished = 0

    def stop(self):
        self._stopped = True

    async def more(self, count):
        """Waits until so many more requests have ended."""
        async with asyncio.timeout(processes.WAIT_SECONDS), self._done:
            aim = self._finished + count
            await self._done.wait_for(lambda: self._finished >= aim)

    async def run(self):
        while not self._stopped:
            number = next(self._numbers)
            entry = self._entries[number % len(self._entries)]
            if number % 2:
                await self._look_up(entry, f"look-up-{number}")
            else:
                await self._pay_out(entry, f"payout-{number}")
            async with self._done:
                self._finished += 1
                self._done.notify_all()

    async def _look_up(self, entry, name):
        reply = await self._caller.send(entry, "GET", body=None, work=name)
        self._own(reply, name)

    async def _pay_out(self, entry, name):
        key = await self._caller.key(entry)
        reply = await self._caller.send(
            entry, key=key, work=name, fault="delay"
        )
        self.told[reply.outcome or ("answer" if reply.status else "")].append(
            name
        )
        self._own(reply, name)

    def _own(self, reply, name):
        if reply.status == 200 and reply.json["work"] != name:
            self.foreign.append((name, reply))


@contextlib.asynccontextmanager
async def _fleet():
    async with processes.Fleet() as fleet, aiohttp.ClientSession() as session:
        entry, *_ = await asyncio.gather(
            fleet.node("entry-1", "andina-a"),
            fleet.node("entry-2", "andina-c"),
            fleet.node("home-1", "andina-b"),
            fleet.node("home-2", "andina-a"),
            fleet.node("home-3", "andina-c"),
        )
        homes = [fleet.nodes[f"home-{number}"] for number in (1, 2, 3)]
        await asyncio.gather(
            *(
                fleet.target(
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
            await node.message("in force", object="saltline")
            for home in homes:
                await node.line(
                    lambda line, home=home: (
                        line.get("home") == home.name
                        and len(line.get("targets", ())) == 2
                    )
                )
        yield fleet, calls.Caller(session)
