"""Proofs on real processes that work under a ticket runs at most once."""

import asyncio
import contextlib
import unittest

import aiohttp

from endivewind.callers import client
from endivewind.tests import processes
from endivewind.tests.proofs import calls

CONFIGURATION = {
    "services": {"ledger": {"slots": 8}},
    "route_groups": {"saltline": {"routes": [{"service": "ledger"}]}},
}


class AtMostOnceTest(unittest.IsolatedAsyncioTestCase):
    """An entry, a home with one target, and a caller who sends again."""

    async def test_sends_of_one_key(self):
        async with _fleet() as (fleet, caller):
            await self._first_send_is_asked_for_a_key(fleet, caller)
            await self._resend_gets_the_kept_answer(fleet, caller)
            await self._sends_at_once_share_one_run(fleet, caller)
            await self._caller_leaves(fleet, caller)
            await self._strange_keys(fleet, caller)
            await self._target_closes(fleet, caller)
            await self._large_answer(fleet, caller)
            await self._python_caller(fleet, caller)

    async def _first_send_is_asked_for_a_key(self, fleet, caller):
        reply = await caller.send(fleet.nodes["entry"], work="unkeyed")

        self.assertEqual((428, "not-run"), (reply.status, reply.outcome))
        self.assertEqual("ticket-required", reply.reason)
        self.assertTrue(reply.key)
        self.assertEqual(0, (await caller.runs(fleet))["unkeyed"])

    async def _resend_gets_the_kept_answer(self, fleet, caller):
        """The clerk's connection breaks and the payout is sent again.

        The resend reaches another node, which passes it to the key's issuer.
        """
        entry, home = fleet.nodes["entry"], fleet.nodes["home"]
        key = await caller.key(entry)

        first = await caller.send(entry, key=key, work="paid")
        again = await caller.send(home, key=key, work="paid")
        other = await caller.send(home, key=key, work="paid", body=b"other")

        self.assertEqual(200, first.status, first)
        self.assertEqual((200, first.body), (again.status, again.body))
        self.assertEqual(
            (422, "ran", "ticket-reused"),
            (other.status, other.outcome, other.reason),
        )
        self.assertEqual(1, (await caller.runs(fleet))["paid"])
        self.assertNotIn(first.key, ("", key))

    async def _sends_at_once_share_one_run(self, fleet, caller):
        nodes = [fleet.nodes["entry"], fleet.nodes["home"]] * 3
        key = await caller.key(nodes[0])

        replies = await asyncio.gather(
            *(
                caller.send(node, key=key, work="joined", fault="delay")
                for node in nodes
            )
        )

        self.assertEqual({200}, {reply.status for reply in replies})
        self.assertEqual(1, len({reply.body for reply in replies}))
        self.assertEqual(1, (await caller.runs(fleet))["joined"])

    async def _caller_leaves(self, fleet, caller):
        """A skipper's phone loses its network while the payout runs.

        The work is not cancelled with the caller, so that the resend gets
        its answer and not an "unknown".
        """
        entry = fleet.nodes["entry"]
        key = await caller.key(entry)
        left = asyncio.create_task(
            caller.send(entry, key=key, work="left", fault="delay")
        )
        await fleet.targets["ledger-1"].message("work runs", work="left")
        left.cancel()

        again = await caller.send(entry, key=key, work="left", fault="delay")

        self.assertEqual(200, again.status, again)
        self.assertEqual(1, (await caller.runs(fleet))["left"])

    async def _strange_keys(self, fleet, caller):
        entry = fleet.nodes["entry"]
        key = await caller.key(entry)
        stranger = {"Endivewind_Workspace": "another"}

        own = await caller.send(entry, key="chosen-by-me", work="strange")
        forged = await caller.send(entry, key=key[:-2] + "xx", work="strange")
        moved = await caller.send(entry, key=key, work="strange", **stranger)
        early = key.split(":")
        early[1] = str(int(early[1]) - 1)
        gone = await caller.send(entry, key=":".join(early), work="strange")

        self.assertEqual((400, "not-run"), (own.status, own.outcome))
        self.assertEqual((400, "unknown"), (forged.status, forged.outcome))
        self.assertEqual((400, "unknown"), (moved.status, moved.outcome))
        self.assertEqual("issuer-lost", gone.reason)
        self.assertEqual("unknown", gone.outcome)
        self.assertNotIn("strange", await caller.runs(fleet))

    async def _target_closes(self, fleet, caller):
        """The target runs the work and closes without an answer.

        Neither the system nor its HTTP client sends it again, also for the
        methods that HTTP calls idempotent.
        """
        entry = fleet.nodes["entry"]
        for method in ("POST", "PUT", "DELETE", "PATCH"):
            work = f"closed-{method}"
            key = await caller.key(entry, method)
            with self.subTest(method):
                first = await caller.send(entry, method, key, work, "close")
                again = await caller.send(entry, method, key, work, "close")

                self.assertEqual(
                    (502, "unknown"), (first.status, first.outcome)
                )
                self.assertEqual("target-lost", first.reason)
                self.assertEqual("unknown", again.outcome)
                self.assertEqual(1, (await caller.runs(fleet))[work])

    async def _large_answer(self, fleet, caller):
        entry = fleet.nodes["entry"]
        key = await caller.key(entry)

        first = await caller.send(entry, key=key, work="large", fault="large")
        again = await caller.send(entry, key=key, work="large", fault="large")

        self.assertEqual((200, 200_000), (first.status, len(first.body)))
        self.assertEqual("ran", again.outcome)
        self.assertEqual(1, (await caller.runs(fleet))["large"])

    async def _python_caller(self, fleet, caller):
        """The helper pays twice, with a dead node first in its list."""
        urls = [
            f"http://{n.listening['callers']}" for n in fleet.nodes.values()
        ]
        async with aiohttp.ClientSession(headers={"Work-Id": "py"}) as session:
            helper = client.Caller(session, ["http://127.0.0.1:9", *urls])
            replies = [
                await helper.run_once("POST", "/payouts", str(trip).encode())
                for trip in range(3)
            ]

        self.assertEqual([200] * 3, [reply.status for reply in replies])
        self.assertEqual(3, (await caller.runs(fleet))["py"])

    async def test_issuer_that_crashed_leaves_its_keys_unknown(self):
        """The key's node dies while the payout runs, and comes back.

        The caller's resend reaches another node, then the new start. Neither
        knows how the run ended, so neither runs it again or denies it.
        """
        async with _fleet() as (fleet, caller):
            entry, home = fleet.nodes["entry"], fleet.nodes["home"]
            key = await caller.key(entry)
            cut = asyncio.create_task(
                caller.send(entry, key=key, work="cut", fault="delay")
            )
            await fleet.targets["ledger-1"].message("work runs", work="cut")
            entry.kill()
            lost = await cut

            while_gone = await caller.send(home, key=key, work="cut")
            restarted = await fleet.node("entry", "north-a")
            await restarted.message("in force", object="saltline")
            after = await caller.send(restarted, key=key, work="cut")

            self.assertEqual(0, lost.status)
            for reply in (while_gone, after):
                self.assertEqual("unknown", reply.outcome)
                self.assertEqual("issuer-lost", reply.reason)
            self.assertIn("Retry-After", while_gone.headers)
            self.assertNotIn("Retry-After", after.headers)
            self.assertEqual(1, (await caller.runs(fleet))["cut"])


@contextlib.asynccontextmanager
async def _fleet():
    """An entry, a home with the target ledger-1, and a caller."""
    async with processes.Fleet() as fleet, aiohttp.ClientSession() as session:
        entry = await fleet.node("entry", "north-a")
        home = await fleet.node("home", "north-b")
        await fleet.target("ledger-1", "ledger", [home])
        await fleet.submit(CONFIGURATION)
        for node in (entry, home):
            await node.message("in force", object="saltline")
        await entry.message("home heard", targets=["ledger-1"])
        yield fleet, calls.Caller(session)
