"""The relay fails as networks do."""

import asyncio
import unittest

from endivewind.standins import relay


class DroppedTest(unittest.IsolatedAsyncioTestCase):
    async def test_nothing_follows_what_was_lost_on_a_connection(self):
        """A direction drops bytes for a moment, then passes again.

        Were later bytes of the same connection passed, its reader would get a
        stream with a hole, which no network makes of TCP. A new connection
        passes at once.
        """
        got = asyncio.Queue()

        async def serve(reader, writer):
            while data := await reader.read(100):
                got.put_nowait(data)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with relay.Relay() as between:
            port = server.sockets[0].getsockname()[1]
            between.upstream = f"127.0.0.1:{port}"
            host, _, own = between.address.rpartition(":")
            _, first = await asyncio.open_connection(host, int(own))
            first.write(b"one")
            self.assertEqual(b"one", await got.get())
            between.towards = relay.Mode.DROP
            first.write(b"lost")
            await first.drain()
            await between.has_lost.wait()
            between.towards = relay.Mode.PASS
            first.write(b"late")
            await first.drain()
            _, second = await asyncio.open_connection(host, int(own))
            second.write(b"two")
            self.assertEqual(b"two", await got.get())
            self.assertTrue(got.empty())
            for writer in (first, second):
                writer.close()
        server.close()
