"""Connections to targets against a peer that breaks them off."""

import asyncio
import socket
import struct
import unittest

import aiohttp

from endivewind.targets import connections

HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
PART = b"the first part"


class UnframedAnswerTest(unittest.IsolatedAsyncioTestCase):
    """An answer without a length, which ends with its connection."""

    async def asyncSetUp(self):
        self.go_on = asyncio.Event()
        self.reset = False
        server = await asyncio.start_server(self._answer, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}/"
        session = connections.session(connections.Connector(reuse=False))
        self.session = await self.enterAsyncContext(session)

    async def _answer(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + PART)
        await self.go_on.wait()
        if self.reset:
            # Lingering for no time makes the close a reset.
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        writer.close()

    async def _read(self):
        progress = connections.Progress()
        response = await self.session.get(self.url, trace_request_ctx=progress)
        held = await response.content.readexactly(len(PART))
        self.go_on.set()
        return held + await response.content.read()

    async def test_a_close_is_its_end(self):
        self.assertEqual(PART, await self._read())

    async def test_a_reset_is_not(self):
        """The target breaks off in the middle.

        Taken for the end, the caller would get a part as the whole answer,
        with nothing in it to tell that the rest is missing.
        """
        self.reset = True

        with self.assertRaises(aiohttp.ClientError):
            await self._read()
