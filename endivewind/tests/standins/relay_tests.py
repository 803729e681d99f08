"""Tests that faults of the relay behave as those of networks."""

import asyncio
import unittest

from endivewind.standins import relay


class DroppedTest(unittest.IsolatedAsyncioTestCase):
    async def test_connection_stays_silent_after_dropped_bytes(self):
        """Guards against a TCP stream with a gap after a temporary drop.

        A direction drops bytes for a moment, then passes again. Later bytes
        of the same connection must not arrive, since TCP never delivers bytes
        after a gap. A new connection passes at once.
        """
        received = asyncio.Queue()

        async def serve(reader, writer):
            while data := await reader.read(100):
                received.put_nowait(data)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with relay.Relay() as faulty_relay:
            port = server.sockets[0].getsockname()[1]
            faulty_relay.upstream = f"127.0.0.1:{port}"
            host, _, relay_port = faulty_relay.address.rpartition(":")
            _, first_writer = await asyncio.open_connection(
                host, int(relay_port)
            )
            first_writer.write(b"one")
            self.assertEqual(b"one", await received.get())
            faulty_relay.to_upstream = relay.DirectionMode.DROP
            first_writer.write(b"lost")
            await first_writer.drain()
            await faulty_relay.loss_event.wait()
            faulty_relay.to_upstream = relay.DirectionMode.PASS
            first_writer.write(b"late")
            await first_writer.drain()
            _, second_writer = await asyncio.open_connection(
                host, int(relay_port)
            )
            second_writer.write(b"two")
            self.assertEqual(b"two", await received.get())
            self.assertTrue(received.empty())
            for writer in (first_writer, second_writer):
                writer.close()
        server.close()
