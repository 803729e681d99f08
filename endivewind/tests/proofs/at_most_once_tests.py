"""End-to-end tests: a request with a ticket runs at most once."""

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
    """An entry node, a home node with one target, and a caller that resends."""

    async def test_resends_with_idempotency_key(self):
        async with _fleet() as (fleet, caller):
            await self._check_send_without_key_gets_one(fleet, caller)
            await self._check_resend_gets_stored_response(fleet, caller)
            await self._check_concurrent_sends_share_one_run(fleet, caller)
            await self._check_caller_disconnects(fleet, caller)
            await self._check_invalid_keys(fleet, caller)
            await self._check_target_closes(fleet, caller)
            await self._check_large_response(fleet, caller)
            await self._check_client_library(fleet, caller)

    async def _check_send_without_key_gets_one(self, fleet, caller):
        response = await caller.send(fleet.nodes["entry"], work="unkeyed")

        self.assertEqual((428, "not-run"), (response.status, response.outcome))
        self.assertEqual("ticket-required", response.reason)
        self.assertTrue(response.key)
        self.assertEqual(0, (await caller.run_counts(fleet))["unkeyed"])

    async def _check_resend_gets_stored_response(self, fleet, caller):
        """A resend after a broken connection gets the first response.

        The resend reaches another node, which forwards it to the node that
        issued the key.
        """
        entry, home = fleet.nodes["entry"], fleet.nodes["home"]
        key = await caller.request_key(entry)

        first = await caller.send(entry, key=key, work="paid")
        again = await caller.send(home, key=key, work="paid")
        other = await caller.send(home, key=key, work="paid", body=b"other")

        self.assertEqual(200, first.status, first)
        self.assertEqual((200, first.body), (again.status, again.body))
        self.assertEqual(
            (422, "ran", "ticket-reused"),
            (other.status, other.outcome, other.reason),
        )
        self.assertEqual(1, (await caller.run_counts(fleet))["paid"])
        self.assertNotIn(first.key, ("", key))

    async def _check_concurrent_sends_share_one_run(self, fleet, caller):
        nodes = [fleet.nodes["entry"], fleet.nodes["home"]] * 3
        key = await caller.request_key(nodes[0])

        responses = await asyncio.gather(
            *(
                caller.send(node, key=key, work="joined", fault="delay")
                for node in nodes
            )
        )

        self.assertEqual({200}, {response.status for response in responses})
        self.assertEqual(1, len({response.body for response in responses}))
        self.assertEqual(1, (await caller.run_counts(fleet))["joined"])

    async def _check_caller_disconnects(self, fleet, caller):
        """The caller disconnects while its request runs.

        The request is not cancelled with the caller's connection, so that the
        resend gets the response and not an "unknown" outcome.
        """
        entry = fleet.nodes["entry"]
        key = await caller.request_key(entry)
        disconnected_task = asyncio.create_task(
            caller.send(entry, key=key, work="left", fault="delay")
        )
        await fleet.targets["ledger-1"].wait_for_message(
            "work runs", work="left"
        )
        disconnected_task.cancel()

        again = await caller.send(entry, key=key, work="left", fault="delay")

        self.assertEqual(200, again.status, again)
        self.assertEqual(1, (await caller.run_counts(fleet))["left"])

    async def _check_invalid_keys(self, fleet, caller):
        entry = fleet.nodes["entry"]
        key = await caller.request_key(entry)
        workspace = {"Endivewind_Workspace": "another"}

        unissued = await caller.send(entry, key="chosen-by-me", work="strange")
        forged = await caller.send(entry, key=key[:-2] + "xx", work="strange")
        other_workspace = await caller.send(
            entry, key=key, work="strange", **workspace
        )
        key_parts = key.split(":")
        key_parts[1] = str(int(key_parts[1]) - 1)
        old_incarnation = await caller.send(
            entry, key=":".join(key_parts), work="strange"
        )

        self.assertEqual((400, "not-run"), (unissued.status, unissued.outcome))
        self.assertEqual((400, "unknown"), (forged.status, forged.outcome))
        self.assertEqual(
            (400, "unknown"), (other_workspace.status, other_workspace.outcome)
        )
        self.assertEqual("issuer-lost", old_incarnation.reason)
        self.assertEqual("unknown", old_incarnation.outcome)
        self.assertNotIn("strange", await caller.run_counts(fleet))

    async def _check_target_closes(self, fleet, caller):
        """The target runs the request and closes without a response.

        Neither a node nor its HTTP client resends the request, not even for
        the methods that HTTP defines as idempotent.
        """
        entry = fleet.nodes["entry"]
        for method in ("POST", "PUT", "DELETE", "PATCH"):
            work = f"closed-{method}"
            key = await caller.request_key(entry, method)
            with self.subTest(method):
                first = await caller.send(entry, method, key, work, "close")
                again = await caller.send(entry, method, key, work, "close")

                self.assertEqual(
                    (502, "unknown"), (first.status, first.outcome)
                )
                self.assertEqual("target-lost", first.reason)
                self.assertEqual("unknown", again.outcome)
                self.assertEqual(1, (await caller.run_counts(fleet))[work])

    async def _check_large_response(self, fleet, caller):
        entry = fleet.nodes["entry"]
        key = await caller.request_key(entry)

        first = await caller.send(entry, key=key, work="large", fault="large")
        again = await caller.send(entry, key=key, work="large", fault="large")

        self.assertEqual((200, 200_000), (first.status, len(first.body)))
        self.assertEqual("ran", again.outcome)
        self.assertEqual(1, (await caller.run_counts(fleet))["large"])

    async def _check_client_library(self, fleet, caller):
        """The client library skips an unreachable first node in its list."""
        urls = [
            f"http://{n.listening_line['callers']}"
            for n in fleet.nodes.values()
        ]
        async with aiohttp.ClientSession(headers={"Work-Id": "py"}) as session:
            library = client.Caller(session, ["http://127.0.0.1:9", *urls])
            responses = [
                await library.run_once(
                    "POST", "/payouts", str(payment).encode()
                )
                for payment in range(3)
            ]

        self.assertEqual([200] * 3, [response.status for response in responses])
        self.assertEqual(3, (await caller.run_counts(fleet))["py"])

    async def test_keys_of_crashed_issuer_have_unknown_outcome(self):
        """The node that issued the key crashes during the run and restarts.

        The caller's resend reaches another node, then the restarted one.
        Neither knows how the run ended, so that neither may run the request
        again or report it as not run.
        """
        async with _fleet() as (fleet, caller):
            entry, home = fleet.nodes["entry"], fleet.nodes["home"]
            key = await caller.request_key(entry)
            cut = asyncio.create_task(
                caller.send(entry, key=key, work="cut", fault="delay")
            )
            await fleet.targets["ledger-1"].wait_for_message(
                "work runs", work="cut"
            )
            entry.kill()
            lost = await cut

            while_gone = await caller.send(home, key=key, work="cut")
            restarted = await fleet.start_node("entry", "north-a")
            await restarted.wait_for_message("in force", object="saltline")
            after = await caller.send(restarted, key=key, work="cut")

            self.assertEqual(0, lost.status)
            for response in (while_gone, after):
                self.assertEqual("unknown", response.outcome)
                self.assertEqual("issuer-lost", response.reason)
            self.assertIn("Retry-After", while_gone.headers)
            self.assertNotIn("Retry-After", after.headers)
            self.assertEqual(1, (await caller.run_counts(fleet))["cut"])


@contextlib.asynccontextmanager
async def _fleet():
    """An entry node, a home node with the target ledger-1, and a caller."""
    async with processes.Fleet() as fleet, aiohttp.ClientSession() as session:
        entry = await fleet.start_node("entry", "north-a")
        home = await fleet.start_node("home", "north-b")
        await fleet.start_target("ledger-1", "ledger", [home])
        await fleet.submit(CONFIGURATION)
        for node in (entry, home):
            await node.wait_for_message("in force", object="saltline")
        await entry.wait_for_message("home heard", targets=["ledger-1"])
        yield fleet, calls.Caller(session)
