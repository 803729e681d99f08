"""Tests the start of a fleet that counts repeats."""

import asyncio
import pathlib
import random
import tempfile
import unittest
from unittest import mock

from endivewind.soak import retry_fleets
from endivewind.soak import retry_runs


class _FailingFleet(retry_fleets.Fleet):
    """Its first node fails to start; the others take forever."""

    cancelled = 0

    async def start_node(self, node):
        if node is self.nodes[0]:
            raise OSError("address in use")
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


class StartTest(unittest.IsolatedAsyncioTestCase):
    async def test_failure_of_one_start_ends_the_others(self):
        """Guards against starts that go on while the fleet is stopped."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        fleet = _FailingFleet(
            pathlib.Path(folder),
            retry_runs.ZONES,
            retry_runs.draw(1).bounds,
            mock.Mock(),
            random.Random(1),
        )

        async with fleet:
            with self.assertRaisesRegex(OSError, "address in use"):
                await fleet.start(["catalog"] * 3, {})

            self.assertEqual(2, fleet.cancelled)


if __name__ == "__main__":
    unittest.main()
