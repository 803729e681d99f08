"""Tests what the responses of targets count for in memory admission."""

import asyncio
import unittest

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.callers import memory_control
from endivewind.decisions import memory_admission

LIMIT_BYTES = 100_000_000
# Of each large response, its target sends no more than this.
SENT_BYTES = 200_000
LARGE_RESPONSES = 20
SMALL_BYTES = 2_000
CLAIMED_BYTES = 999_999_999_999


class _StalledStream:
    """The rest of a response whose target stops sending."""

    def __init__(self) -> None:
        self._left = SENT_BYTES

    def __aiter__(self):
        return self

    async def __anext__(self):
        if self._left <= 0:
            await asyncio.Event().wait()
        self._left -= memory_admission.CHUNK_BYTES
        return bytes(memory_admission.CHUNK_BYTES)

    async def aclose(self):
        """Has nothing to release."""


class ClaimedLengthTest(unittest.IsolatedAsyncioTestCase):
    """Responses that state a length and are not read by their callers."""

    def setUp(self):
        self.memory = memory_control.MemoryControl(
            LIMIT_BYTES, clocks.ManualClock()
        )

    def admit(self, path):
        return self.memory.admit("riders", "GET /", 1, 0, path)

    def respond(self, reservation, length):
        """Lets the response to an admitted request begin."""
        fields = ((b"Content-Length", b"%d" % length),)
        response = reservation.buffer(
            exchange.Response(200, fields, b"", _StalledStream())
        )
        self.addAsyncCleanup(response.stream.aclose)

    async def test_length_that_is_never_sent_refuses_nobody(self):
        """Guards against refusing a route's requests for bytes never held."""
        for number in range(20):
            reservation = self.admit(f"/small/{number}")
            reservation.buffer(exchange.Response(200, (), bytes(SMALL_BYTES)))
            reservation.release()
        large = [self.admit(f"/large/{n}") for n in range(LARGE_RESPONSES)]
        for reservation in large:
            self.respond(reservation, CLAIMED_BYTES)
        await asyncio.sleep(0)

        admitted = [self.admit(f"/other/{number}") for number in range(30)]

        self.assertEqual(
            [],
            [item for item in admitted if isinstance(item, exchange.Refusal)],
        )

    async def test_length_that_is_sent_counts_for_its_route(self):
        """Guards against admitting more large responses than memory has room."""
        self.respond(self.admit("/large"), 500_000)

        self.assertEqual(
            500_000, self.memory.sizes.expected(("riders", "GET /"))
        )

    async def test_longer_response_counts_once_it_has_been_read(self):
        """Guards against a route whose true size is never learned."""
        size = 4 * memory_admission.DEFAULT_RESPONSE_BYTES
        for _ in range(20):
            reservation = self.admit("/large")
            self.respond(reservation, size)
            reservation.finish(size)

        self.assertGreater(
            self.memory.sizes.expected(("riders", "GET /")), 0.9 * size
        )
