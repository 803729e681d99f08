"""End-to-end test: callers that read slowly do not use up a node's memory."""

import asyncio
import contextlib
import pathlib
import socket
import unittest

import aiohttp
from aiohttp import web

from endivewind import headers
from endivewind.standins import load_generator
from endivewind.tests import processes

CONFIGURATION = {
    "services": {"riders": {"slots": 3}},
    "route_groups": {
        "camerino": {
            "routes": [
                {
                    "service": "riders",
                    "prefix": "/large",
                    "repeat": "always",
                    "timeout_ms": 5_000,
                },
                {
                    "service": "riders",
                    "prefix": "/huge",
                    "repeat": "always",
                    "timeout_ms": 5_000,
                },
                {"service": "riders", "prefix": "/small", "repeat": "always"},
            ]
        }
    },
}
MEMORY_BYTES = 120_000_000
SLOW_CALLERS = 300
LARGE_BYTES = 540_000
# More than the kernel's socket buffers take with their default sizes.
HUGE_BYTES = 6_000_000
CHUNK_BYTES = 60_000
# The target cuts off a response of which a part stays unread for so long.
CUT_OFF_SECONDS = 3
# A caller's socket takes little, so that the node has to hold the rest. With the
# segments of loopback, the node's kernel would take the whole response.
RECEIVE_BUFFER_BYTES = 4096
SEGMENT_BYTES = 536
TIMEOUT_SECONDS = 20
# A caller that reads steadily: a part at a time, longer than its route's limit.
STEADY_PART_BYTES = 2_500
PARTS_PER_SECOND = 20
STEADY_SECONDS = 10


class _Target:
    """A target in this process, which counts what it had to cut off."""

    def __init__(self) -> None:
        self.cut_off_count = 0
        self.has_no_open_response = asyncio.Event()
        self._open_count = 0

    async def serve_large(self, request: web.Request) -> web.StreamResponse:
        self._open_count += 1
        self.has_no_open_response.clear()
        try:
            return await self._send_large(request)
        finally:
            self._open_count -= 1
            if not self._open_count:
                self.has_no_open_response.set()

    async def _send_large(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_length = LARGE_BYTES
        await response.prepare(request)
        try:
            for _ in range(LARGE_BYTES // CHUNK_BYTES):
                async with asyncio.timeout(CUT_OFF_SECONDS):
                    await response.write(bytes(CHUNK_BYTES))
            await response.write_eof()
        except TimeoutError:
            self.cut_off_count += 1
            request.transport.abort()
        return response

    async def serve_huge(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_length = HUGE_BYTES
        await response.prepare(request)
        for _ in range(HUGE_BYTES // CHUNK_BYTES):
            await response.write(bytes(CHUNK_BYTES))
        await response.write_eof()
        return response

    async def serve_small(self, request: web.Request) -> web.Response:
        return web.Response(body=b"small")


class SlowReadersTest(unittest.IsolatedAsyncioTestCase):
    async def test_slow_readers_over_one_and_two_nodes(self):
        """300 callers read nothing after the head of a response of 540 KB.

        The home must read the responses from the target in time, neither the
        entry node nor the home may exceed its memory, and other callers must
        be served meanwhile.
        """
        async with _fleet() as (fleet, target):
            for name in ("home", "entry"):
                with self.subTest(entry=name):
                    await self._check(fleet, target, fleet.nodes[name])
            with self.subTest("disconnected after the time limit"):
                await self._check_disconnected(fleet.nodes["home"])

    async def test_steady_reader_with_default_socket_buffers(self):
        """A caller that reads 50 KB/s gets the whole response.

        Guards against taking it for one that reads nothing, since the node's
        kernel accepts nothing for longer than the time limit meanwhile.
        """
        async with _fleet() as (fleet, _):
            received = await _read_steadily(fleet.nodes["home"])

            self.assertEqual(HUGE_BYTES, received)

    async def _check(self, fleet, target, node):
        async with contextlib.AsyncExitStack() as stack:
            heads = []
            for _ in range(SLOW_CALLERS):
                caller = await _SlowCaller.connect(node)
                stack.callback(caller.close)
                heads.append(caller.read_head())
            received = await asyncio.gather(*heads)

            statuses = [head.split(" ", 2)[1] for head in received]
            served = statuses.count("200")
            refused = [head for head in received if " 503 " in head[:20]]
            self.assertEqual(SLOW_CALLERS, served + len(refused), statuses)
            self.assertGreater(served, 10)
            self.assertGreater(len(refused), 10)
            for head in refused:
                self.assertIn(f"{headers.OUTCOME}: not-run", head)
                self.assertIn("Retry-After:", head)
            await self._check_others(node)
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await target.has_no_open_response.wait()
        self.assertEqual(0, target.cut_off_count)
        for name, process in fleet.nodes.items():
            self.assertLess(_peak_bytes(process), MEMORY_BYTES, name)

    async def _check_disconnected(self, node):
        """A caller reads nothing for longer than the time limit of its route.

        Its response would occupy memory for as long as it stays connected.
        """
        caller = await _SlowCaller.connect(node)
        with contextlib.closing(caller):
            await caller.read_head()
            await node.wait_for_message("caller read nothing", service="riders")

            self.assertLess(await caller.count_to_end(), LARGE_BYTES)

    async def _check_others(self, node):
        url = f"http://{node.listening_line['callers']}/small"
        async with aiohttp.ClientSession() as session:
            for _ in range(20):
                async with session.get(url) as response:
                    self.assertEqual(200, response.status)


class _SlowCaller:
    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection

    @classmethod
    async def connect(cls, node) -> "_SlowCaller":
        host, _, port = node.listening_line["callers"].rpartition(":")
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES
        )
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, (host, int(port)))
        await loop.sock_sendall(
            connection, b"GET /large HTTP/1.1\r\nHost: a\r\n\r\n"
        )
        return cls(connection)

    async def read_head(self) -> str:
        """Reads the head of the response, and only a little more."""
        loop = asyncio.get_running_loop()
        received = b""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while b"\r\n\r\n" not in received:
                received += await loop.sock_recv(self._connection, 512)
        return received.decode("latin-1")

    async def count_to_end(self) -> int:
        """Returns the number of bytes until the connection ends."""
        total = 0
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while data := await loop.sock_recv(self._connection, 65_536):
                total += len(data)
        return total

    def close(self) -> None:
        self._connection.close()


async def _read_steadily(node) -> int:
    """Returns the bytes of the body that a steady caller receives.

    After `STEADY_SECONDS` it reads the rest as fast as it can.
    """
    host, _, port = node.listening_line["callers"].rpartition(":")
    reader, writer = await asyncio.open_connection(
        host, int(port), limit=STEADY_PART_BYTES
    )
    total = 0
    with contextlib.closing(writer):
        writer.write(b"GET /huge HTTP/1.1\r\nHost: a\r\n\r\n")
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await reader.readuntil(b"\r\n\r\n")
            with contextlib.suppress(ConnectionError):
                async for number in load_generator.pace(PARTS_PER_SECOND):
                    total += len(await reader.read(STEADY_PART_BYTES))
                    if number == STEADY_SECONDS * PARTS_PER_SECOND:
                        break
                while data := await reader.read(HUGE_BYTES - total):
                    total += len(data)
    return total


def _peak_bytes(process) -> int:
    status = pathlib.Path(f"/proc/{process.child.pid}/status").read_text()
    line = next(
        item for item in status.splitlines() if item.startswith("VmHWM:")
    )
    return 1024 * int(line.split()[1])


@contextlib.asynccontextmanager
async def _fleet():
    """An entry node, a home node, and a target in this process."""
    async with processes.Fleet() as fleet, aiohttp.ClientSession() as session:
        for name, zone in (("home", "andina-b"), ("entry", "andina-a")):
            await fleet.start_node(
                name,
                zone,
                overload={"memory_megabytes": MEMORY_BYTES / 1_000_000},
            )
        target = _Target()
        application = web.Application()
        application.router.add_get("/large", target.serve_large)
        application.router.add_get("/huge", target.serve_huge)
        application.router.add_get("/small", target.serve_small)
        runner = web.AppRunner(application)
        await runner.setup()
        site = web.TCPSite(runner, processes.LISTEN_ADDRESS, 0)
        await site.start()
        try:
            host, port = runner.addresses[0][:2]
            await fleet.submit(CONFIGURATION)
            for node in fleet.nodes.values():
                await node.wait_for_message("in force", object="camerino")
            await _announce(
                session, fleet.nodes["home"], f"http://{host}:{port}"
            )
            await fleet.nodes["entry"].wait_for_line(
                lambda line: "riders-1" in line.get("targets", ())
            )
            yield fleet, target
        finally:
            await runner.cleanup()


async def _announce(session, node, address: str) -> None:
    """Announces the target with a lease that lasts for the whole test."""
    body = {
        "service": "riders",
        "address": address,
        "incarnation": 1,
        "moves": 1,
        "state": "ready",
        "lease_ms": 60_000,
    }
    url = f"http://{node.listening_line['targets']}/v1/targets/riders-1"
    async with session.put(url, json=body) as response:
        if response.status != 200:
            raise AssertionError(await response.text())


if __name__ == "__main__":
    unittest.main()
