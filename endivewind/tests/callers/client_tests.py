"""Tests the client library of callers against broken responses."""

import datetime
import unittest

import aiohttp

from endivewind import exchange
from endivewind.callers import client
from endivewind.standins import raw_target

TIMEOUT = datetime.timedelta(seconds=2)


class BrokenResponsesTest(unittest.IsolatedAsyncioTestCase):
    """A node, or something in its place, sends broken responses."""

    async def asyncSetUp(self):
        self.node = raw_target.RawTarget()
        address = await self.node.start()
        self.addCleanup(self.node.close)
        session = await self.enterAsyncContext(aiohttp.ClientSession())
        self.caller = client.Caller(session, [f"http://{address}"])

    async def run_once(self, status, *fields, timeout=TIMEOUT):
        self.node.response = b"\r\n".join(
            (b"HTTP/1.1 " + status, *fields, b"Content-Length: 0", b"", b"")
        )
        return await self.caller.run_once("POST", "/", timeout=timeout)

    async def test_status_that_is_no_response_has_unknown_outcome(self):
        """Guards against a broken response that counts as the target's."""
        for status in (b"000", b"101 X", b"600 X"):
            with self.subTest(status):
                reply = await self.run_once(
                    status, timeout=datetime.timedelta(seconds=0.2)
                )

                self.assertIs(client.NO_RESPONSE, reply)

    async def test_unknown_outcome_field_has_unknown_outcome(self):
        """Guards against an exception where a request may have run."""
        reply = await self.run_once(
            b"503 X", b"Endivewind-Outcome: later", b"Retry-After: soon"
        )

        self.assertIs(exchange.ExecutionOutcome.UNKNOWN, reply.outcome)

    async def test_redirect_is_not_followed(self):
        """Guards against a request that is sent to where no node is."""
        other = raw_target.RawTarget()
        address = (await other.start()).encode()
        self.addCleanup(other.close)
        for status in (b"302 X", b"307 X"):
            with self.subTest(status):
                reply = await self.run_once(
                    status, b"Location: http://%b/" % address
                )

                self.assertEqual(int(status[:3]), reply.status)
                self.assertEqual(0, other.connection_count)

    async def test_retry_after_beyond_the_timeout_is_not_waited_for(self):
        """Guards against a caller that waits for longer than it wants to."""
        for seconds in (b"86400", b"9" * 400, "²".encode()):
            with self.subTest(seconds):
                reply = await self.run_once(
                    b"503 X",
                    b"Endivewind-Outcome: not-run",
                    b"Retry-After: " + seconds,
                )

                self.assertIs(exchange.ExecutionOutcome.NOT_RUN, reply.outcome)
