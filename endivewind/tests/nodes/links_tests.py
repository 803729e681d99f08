"""Tests of links against a peer that answers wrongly."""

import asyncio
import dataclasses
import datetime
import unittest

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.nodes import codec
from endivewind.nodes import links
from endivewind.nodes import view

HEAD = exchange.RequestHead(
    request_id="r",
    method="GET",
    path="/",
    headers=(),
    service="riders",
    workspace="",
    remaining=datetime.timedelta(seconds=5),
)


class WrongAnswersTest(unittest.IsolatedAsyncioTestCase):
    """A link in doubt is closed, and its bytes reach no other caller."""

    async def asyncSetUp(self):
        self.connections = []
        self.script = None
        self.present = True
        self.forwards = 0
        self.server = await asyncio.start_server(self._peer, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.home = view.NodeRecord("home", 1, f"127.0.0.1:{port}", "r", "z")
        self.pool = links.LinkPool(clocks.SystemClock())

    async def asyncTearDown(self):
        self.pool.close()
        self.server.close()

    async def _peer(self, reader, writer):
        self.connections.append(writer)
        try:
            while True:
                frame = await codec.read_frame(reader)
                if frame.heartbeat is not None:
                    if self.present:
                        writer.write(codec.encode_frame(frame))
                    continue
                self.forwards += 1
                for answer in self.script(frame.forward.exchange):
                    writer.write(codec.encode_frame(answer))
                await writer.drain()
        except (EOFError, OSError, asyncio.CancelledError):
            writer.close()

    async def _send(self, script, head=HEAD):
        self.script = script
        body = exchange.RequestBody()
        return await self.pool.forward(self.home, "t", head, body)

    async def test_crossed_answer_is_refused(self):
        """The answer to another caller's request comes back on this link."""
        result = await self._send(lambda number: [_answer(number + 1)])
        following = await self._send(lambda number: [_answer(number)])

        self.assertEqual(exchange.Reason.HOME_LOST, result.error.reason)
        self.assertEqual(exchange.Outcome.UNKNOWN, result.error.outcome)
        self.assertEqual(200, following.ok.status)
        self.assertEqual(2, len(self.connections))

    async def test_late_second_answer_reaches_nobody(self):
        """The peer answers twice; the next caller must not get the copy."""
        first = await self._send(
            lambda number: [_answer(number, b"one"), _answer(number, b"one")]
        )
        second = await self._send(lambda number: [_answer(number, b"two")])
        third = await self._send(lambda number: [_answer(number, b"three")])

        self.assertEqual(b"one", first.ok.body)
        self.assertTrue(second.is_error() or second.ok.body == b"two")
        self.assertEqual(b"three", third.ok.body)

    async def test_answer_given_up_in_the_middle_costs_the_link(self):
        """The caller leaves in the middle of a long answer.

        The rest still comes; on a link used again it would meet the next
        caller's request.
        """
        result = await self._send(
            lambda number: [_answer(number, whole=False), _chunk(number)]
        )
        await result.ok.stream.__anext__()
        await result.ok.stream.aclose()
        following = await self._send(lambda number: [_answer(number, b"own")])

        self.assertEqual(b"own", following.ok.body)
        self.assertEqual(2, len(self.connections))

    async def test_answer_that_breaks_off_is_told(self):
        """The home ends in the middle of an answer."""

        def script(number):
            yield _answer(number, whole=False)
            yield _chunk(number)
            self.connections[-1].close()

        result = await self._send(script)

        with self.assertRaises(exchange.TruncatedResponseError):
            async for _ in result.ok.stream:
                pass

    async def test_a_silent_home_gets_no_work_that_must_not_repeat(self):
        """The way back is cut, or the home's process stands still.

        The request would be sent and nothing come back. Asked first, the home
        is silent, and the caller hears for sure that nothing has run.
        """
        once = dataclasses.replace(HEAD, ticket="ticket", attempt=1)
        first = await self._send(lambda number: [_answer(number)], once)
        self.present = False

        second = await self._send(lambda number: [_answer(number)], once)

        self.assertEqual(200, first.ok.status)
        self.assertEqual(exchange.Outcome.NOT_RUN, second.error.outcome)
        self.assertEqual(1, self.forwards)

    async def test_a_forgotten_connection_is_replaced_before_the_request(self):
        """Something on the way has lost track of the kept connection."""
        once = dataclasses.replace(HEAD, ticket="ticket", attempt=1)
        await self._send(lambda number: [_answer(number)], once)
        self.connections[0].transport.pause_reading()

        result = await self._send(lambda number: [_answer(number)], once)

        self.assertEqual(200, result.ok.status)
        self.assertEqual(2, len(self.connections))

    async def test_unheard_peer_is_not_run_only_without_a_connection(self):
        self.server.close()
        await self.server.wait_closed()

        result = await self._send(lambda number: [])

        self.assertEqual(exchange.Outcome.NOT_RUN, result.error.outcome)


def _answer(number, body=b"", whole=True):
    answer = codec.messages.Response(
        exchange=number,
        status=200,
        headers=[],
        body=body,
        body_complete=whole,
    )
    return codec.messages.Frame(answer=answer)


def _chunk(number):
    chunk = codec.messages.BodyChunk(exchange=number, data=b"x", last=False)
    return codec.messages.Frame(chunk=chunk)
