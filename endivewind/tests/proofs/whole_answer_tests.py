"""Proofs on real processes that no part passes for a whole."""

import asyncio
import contextlib
import unittest

import aiohttp

from endivewind import headers
from endivewind.standins import target as standin
from endivewind.tests import processes
from endivewind.tests.proofs import calls

CONFIGURATION = {
    "services": {
        "riders": {"slots": 8},
        "orders": {"slots": 8},
    },
    "route_groups": {
        "camerino": {
            "routes": [
                {"service": "riders", "repeat": "always"},
                {"service": "riders", "prefix": "/once", "repeat": "never"},
            ]
        }
    },
}
WAIT_SECONDS = 10
LARGE = 100_000
BODY_LIMIT = 3_000_000


class WholeAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Requests over one node (the home) and over two (entry and home)."""

    async def test_whole_or_nothing(self):
        async with _fleet() as (fleet, caller):
            for node in fleet.nodes.values():
                with self.subTest(nodes=node.name):
                    await self._truncated_answer(fleet, caller, node)
                    await self._streamed_answer(fleet, caller, node)
                    await self._truncated_body(fleet, caller, node)
                    await self._whole_bodies(caller, node)
                    await self._too_large_body(fleet, caller, node)
                    await self._caller_leaves(fleet, caller, node)
                    await self._bad_requests(node)

    async def _truncated_answer(self, fleet, caller, node):
        """The target breaks off in the middle of its answer.

        The caller sees an error or a broken connection, never a whole answer.
        """
        for fault in (
            standin.Fault.TRUNCATE_LENGTH,
            standin.Fault.TRUNCATE_CHUNKED,
        ):
            with self.subTest(fault=fault):
                reply = await caller.send(node, "GET", fault=fault)

                self.assertIn(reply.status, (0, 502), reply)
                if reply.status:
                    self.assertEqual("unknown", reply.outcome)

    async def _streamed_answer(self, fleet, caller, node):
        for fault, length in (
            (standin.Fault.LARGE, standin.WHOLE_BYTES),
            (standin.Fault.SLOW_STREAM, standin.WHOLE_BYTES // 20),
        ):
            with self.subTest(fault=fault):
                reply = await caller.send(node, "GET", fault=fault)

                self.assertEqual((200, length), (reply.status, len(reply.body)))

    async def _truncated_body(self, fleet, caller, node):
        """The caller breaks off in the middle of its body.

        The target must not take the part for the whole request.
        """
        target = fleet.targets["riders-1"]
        for path in ("/work", "/once"):
            for close in (_half_close, _abort, _garble):
                for head in (f"Content-Length: {LARGE}", CHUNKED):
                    if close is _garble and head != CHUNKED:
                        continue
                    key = await caller.key(node, path="/once")
                    name = f"{node.name}{path}{close.__name__}{head[:7]}"
                    request = (
                        f"POST {path} HTTP/1.1\r\nHost: a\r\n{head}\r\n"
                        f"Idempotency-Key: {key}\r\nWork-Id: {name}\r\n"
                        "Endivewind-Timeout-Ms: 500\r\n\r\n"
                    ).encode()
                    part = b"x" * 70_000
                    if head == CHUNKED:
                        part = b"11170\r\n" + part + b"\r\n"
                    with self.subTest(name):
                        await _send_part(node, request + part, close)
        whole = await caller.send(node, "GET")

        self.assertEqual(200, whole.status)
        self.assertNotIn(node.name, str(await caller.runs(fleet)))
        self.assertTrue((await caller.events(target))["partial"])

    async def _whole_bodies(self, caller, node):
        for body in (b"", b"x", b"x" * 70_000, b"x" * BODY_LIMIT):
            with self.subTest(bytes=len(body)):
                reply = await caller.send(node, "PUT", body=body)
                chunked = await caller.send(node, "PUT", body=_parts(body))

                self.assertEqual(len(body), reply.json["bytes"])
                self.assertEqual(len(body), chunked.json["bytes"])

    async def _too_large_body(self, fleet, caller, node):
        """A chunked body passes the limit while the target reads it.

        The target has seen a part; ended there, it would pass for a whole.
        """
        work = f"large-{node.name}"
        body = _parts(b"x" * (BODY_LIMIT + 1))

        reply = await caller.send(node, "PUT", work=work, body=body)

        self.assertEqual((400, "unknown"), (reply.status, reply.outcome))
        self.assertNotIn(work, await caller.runs(fleet))

    async def _caller_leaves(self, fleet, caller, node):
        """The crew closes the app; the target must not work for nobody.

        The deadline is far off, so that it is not what ends the work.
        """
        target = fleet.targets["riders-1"]
        work = f"hung-{node.name}"
        far_off = {"Endivewind_Timeout_Ms": "300000"}
        left = asyncio.create_task(
            caller.send(
                node, "GET", work=work, fault=standin.Fault.HANG, **far_off
            )
        )
        await target.message("work runs", work=work)
        left.cancel()

        await target.message("work cancelled", work=work)

    async def _bad_requests(self, node):
        """What is no request never ran, and the answer says so."""
        long = "x" * 20_000
        for name, raw in {
            "not HTTP": "\x16\x03\x01 hello\r\n\r\n",
            "no such version": "GET / HTTP/7.7\r\nHost: a\r\n\r\n",
            "long header": f"GET / HTTP/1.1\r\nHost: a\r\nA: {long}\r\n\r\n",
            "long line": f"GET /{long} HTTP/1.1\r\nHost: a\r\n\r\n",
            "two lengths": "POST / HTTP/1.1\r\nHost: a\r\n"
            "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            "both framings": "POST / HTTP/1.1\r\nHost: a\r\n"
            f"Content-Length: 1\r\n{CHUNKED}\r\n\r\n0\r\n\r\n",
            "bad length": "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        }.items():
            with self.subTest(name):
                status, fields = await _raw(node, raw.encode("latin-1"))

                self.assertEqual(400, status)
                self.assertIn(f"{headers.OUTCOME}: not-run", fields)
                self.assertIn("application/problem+json", fields)


CHUNKED = "Transfer-Encoding: chunked"


async def _parts(body: bytes):
    for start in range(0, len(body), 50_000):
        yield body[start : start + 50_000]


async def _open(node):
    host, _, port = node.listening["callers"].rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def _send_part(node, data: bytes, close) -> None:
    """Sends a part of a request and waits until the node has let go."""
    reader, writer = await _open(node)
    writer.write(data)
    await writer.drain()
    close(writer)
    with contextlib.suppress(OSError):
        async with asyncio.timeout(WAIT_SECONDS):
            await reader.read()
    writer.close()


def _half_close(writer) -> None:
    writer.write_eof()


def _garble(writer) -> None:
    writer.write(b"not a length\r\n")


def _abort(writer) -> None:
    writer.transport.abort()


async def _raw(node, data: bytes) -> tuple[int, str]:
    reader, writer = await _open(node)
    writer.write(data)
    async with asyncio.timeout(WAIT_SECONDS):
        answer = (await reader.read()).decode("latin-1")
    writer.close()
    return int(answer.split(" ", 2)[1]), answer


@contextlib.asynccontextmanager
async def _fleet():
    """An entry, a home with the target riders-1, and a caller."""
    async with processes.Fleet() as fleet, aiohttp.ClientSession() as session:
        limits = {"body_bytes": BODY_LIMIT}
        entry = await fleet.node("entry", "andina-a", limits=limits)
        home = await fleet.node("home", "andina-b", limits=limits)
        await fleet.target("riders-1", "riders", [home])
        await fleet.submit(CONFIGURATION)
        for node in (entry, home):
            await node.message("in force", object="camerino")
        await entry.message("home heard", targets=["riders-1"])
        yield fleet, calls.Caller(session)
