"""Tests connections to targets that the target closes or resets."""

import asyncio
import socket
import struct
import unittest

import aiohttp

from endivewind.targets import connections

HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
BODY = b"the first part"


class ResponseWithoutLengthTest(unittest.IsolatedAsyncioTestCase):
    """A response without a length, which ends with its connection."""

    async def asyncSetUp(self):
        self.may_close = asyncio.Event()
        self.resets = False
        server = await asyncio.start_server(self._respond, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}/"
        session = connections.make_session(connections.Connector(reuse=False))
        self.session = await self.enterAsyncContext(session)

    async def _respond(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + BODY)
        await self.may_close.wait()
        if self.resets:
            # With a linger time of zero, close() resets the connection.
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        writer.close()

    async def _read(self):
        progress = connections.SendState()
        response = await self.session.get(self.url, trace_request_ctx=progress)
        received = await response.content.readexactly(len(BODY))
        self.may_close.set()
        return received + await response.content.read()

    async def test_close_ends_the_response(self):
        self.assertEqual(BODY, await self._read())

    async def test_reset_is_an_error(self):
        """Guards against returning a truncated response as a whole one.

        The target's connection is reset in the middle of the response. Without
        a length the caller could not notice that the rest is missing.
        """
        self.resets = True

        with self.assertRaises(aiohttp.ClientError):
            await self._read()
