"""End-to-end tests: no truncated request or response passes as complete."""

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
DECLARED_BYTES = 100_000
MAX_BODY_BYTES = 3_000_000


class TruncationTest(unittest.IsolatedAsyncioTestCase):
    """Requests over one node (home) and over two nodes (entry and home)."""

    async def test_requests_and_responses_are_complete_or_fail(self):
        async with _fleet() as (fleet, caller):
            for node in fleet.nodes.values():
                with self.subTest(nodes=node.name):
                    await self._check_truncated_response(fleet, caller, node)
                    await self._check_streamed_response(fleet, caller, node)
                    await self._check_truncated_body(fleet, caller, node)
                    await self._check_complete_bodies(caller, node)
                    await self._check_too_large_body(fleet, caller, node)
                    await self._check_caller_disconnects(fleet, caller, node)
                    await self._check_malformed_requests(node)

    async def _check_truncated_response(self, fleet, caller, node):
        """The target breaks off in the middle of its response.

        The caller gets an error or a broken connection, never a response that
        looks complete.
        """
        for fault in (
            standin.RequestFault.TRUNCATE_LENGTH,
            standin.RequestFault.TRUNCATE_CHUNKED,
        ):
            with self.subTest(fault=fault):
                response = await caller.send(node, "GET", fault=fault)

                self.assertIn(response.status, (0, 502), response)
                if response.status:
                    self.assertEqual("unknown", response.outcome)

    async def _check_streamed_response(self, fleet, caller, node):
        for fault, length in (
            (standin.RequestFault.LARGE, standin.LARGE_BODY_BYTES),
            (standin.RequestFault.SLOW_STREAM, standin.LARGE_BODY_BYTES // 20),
        ):
            with self.subTest(fault=fault):
                response = await caller.send(node, "GET", fault=fault)

                self.assertEqual(
                    (200, length), (response.status, len(response.body))
                )

    async def _check_truncated_body(self, fleet, caller, node):
        """The caller breaks off in the middle of its request body.

        The target must not accept the part as the complete request.
        """
        target = fleet.targets["riders-1"]
        for path in ("/work", "/once"):
            for close in (_half_close, _abort, _send_garbage):
                for head in (f"Content-Length: {DECLARED_BYTES}", CHUNKED):
                    if close is _send_garbage and head != CHUNKED:
                        continue
                    key = await caller.request_key(node, path="/once")
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
        complete = await caller.send(node, "GET")

        self.assertEqual(200, complete.status)
        self.assertNotIn(node.name, str(await caller.run_counts(fleet)))
        self.assertTrue((await caller.target_events(target))["partial"])

    async def _check_complete_bodies(self, caller, node):
        for body in (b"", b"x", b"x" * 70_000, b"x" * MAX_BODY_BYTES):
            with self.subTest(bytes=len(body)):
                response = await caller.send(node, "PUT", body=body)
                chunked = await caller.send(
                    node, "PUT", body=_body_chunks(body)
                )

                self.assertEqual(len(body), response.json["bytes"])
                self.assertEqual(len(body), chunked.json["bytes"])

    async def _check_too_large_body(self, fleet, caller, node):
        """A chunked body exceeds the limit while the target reads it.

        The target has got a part of the body, and must not get an end of body
        after it, which would make the part look complete.
        """
        work = f"large-{node.name}"
        body = _body_chunks(b"x" * (MAX_BODY_BYTES + 1))

        response = await caller.send(node, "PUT", work=work, body=body)

        self.assertEqual((400, "unknown"), (response.status, response.outcome))
        self.assertNotIn(work, await caller.run_counts(fleet))

    async def _check_caller_disconnects(self, fleet, caller, node):
        """The caller disconnects; the target's work must be cancelled.

        The deadline is far off, so that it does not end the request.
        """
        target = fleet.targets["riders-1"]
        work = f"hung-{node.name}"
        far_off = {"Endivewind_Timeout_Ms": "300000"}
        disconnected_task = asyncio.create_task(
            caller.send(
                node,
                "GET",
                work=work,
                fault=standin.RequestFault.HANG,
                **far_off,
            )
        )
        await target.wait_for_message("work runs", work=work)
        disconnected_task.cancel()

        await target.wait_for_message("work cancelled", work=work)

    async def _check_malformed_requests(self, node):
        """Malformed requests are refused with 400 and outcome not-run."""
        long_text = "x" * 20_000
        for name, raw in {
            "not HTTP": "\x16\x03\x01 hello\r\n\r\n",
            "no such version": "GET / HTTP/7.7\r\nHost: a\r\n\r\n",
            "long header": f"GET / HTTP/1.1\r\nHost: a\r\nA: {long_text}\r\n\r\n",
            "long line": f"GET /{long_text} HTTP/1.1\r\nHost: a\r\n\r\n",
            "two lengths": "POST / HTTP/1.1\r\nHost: a\r\n"
            "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            "both framings": "POST / HTTP/1.1\r\nHost: a\r\n"
            f"Content-Length: 1\r\n{CHUNKED}\r\n\r\n0\r\n\r\n",
            "bad length": "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        }.items():
            with self.subTest(name):
                status, response = await _send_raw(node, raw.encode("latin-1"))

                self.assertEqual(400, status)
                self.assertIn(f"{headers.OUTCOME}: not-run", response)
                self.assertIn("application/problem+json", response)


CHUNKED = "Transfer-Encoding: chunked"


async def _body_chunks(body: bytes):
    for start in range(0, len(body), 50_000):
        yield body[start : start + 50_000]


async def _open(node):
    host, _, port = node.listening_line["callers"].rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def _send_part(node, data: bytes, close) -> None:
    """Sends a part of a request and waits until the node disconnects."""
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


def _send_garbage(writer) -> None:
    writer.write(b"not a length\r\n")


def _abort(writer) -> None:
    writer.transport.abort()


async def _send_raw(node, data: bytes) -> tuple[int, str]:
    reader, writer = await _open(node)
    writer.write(data)
    async with asyncio.timeout(WAIT_SECONDS):
        response = (await reader.read()).decode("latin-1")
    writer.close()
    return int(response.split(" ", 2)[1]), response


@contextlib.asynccontextmanager
async def _fleet():
    """An entry node, a home node with the target riders-1, and a caller."""
    async with processes.Fleet() as fleet, aiohttp.ClientSession() as session:
        limits = {"body_bytes": MAX_BODY_BYTES}
        entry = await fleet.start_node("entry", "andina-a", limits=limits)
        home = await fleet.start_node("home", "andina-b", limits=limits)
        await fleet.start_target("riders-1", "riders", [home])
        await fleet.submit(CONFIGURATION)
        for node in (entry, home):
            await node.wait_for_message("in force", object="camerino")
        await entry.wait_for_message("home heard", targets=["riders-1"])
        yield fleet, calls.Caller(session)
