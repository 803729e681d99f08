"""A node's planned departure, in virtual time."""

import asyncio
import datetime
import unittest

from endivewind.nodes import leaving
from endivewind.standins import virtual

NOTICE = datetime.timedelta(seconds=2.5)
LIMIT = datetime.timedelta(seconds=5)


class _Peer:
    """Every way in for work; keeps when it was told what."""

    def __init__(self, loop, hangs):
        self._loop = loop
        self._ended = asyncio.Event()
        self.told = []
        if not hangs:
            self._ended.set()

    def _tell(self, what):
        self.told.append((what, round(self._loop.time(), 1)))

    def turn_away(self):
        self._tell("turn away")

    def refuse_new(self):
        self._tell("refuse new")

    def close(self):
        self._tell("close")

    def end(self):
        self._tell("end")
        self._ended.set()

    async def drained(self):
        await self._ended.wait()

    def kept_for(self):
        return datetime.timedelta()


class DepartureTest(unittest.TestCase):
    def setUp(self):
        self.loop = virtual.VirtualLoop()
        self.addCleanup(self.loop.close)

    def _depart(self, hangs, notice=NOTICE):
        """What the entry was told, and when the departure was over."""
        entry, other = _Peer(self.loop, hangs), _Peer(self.loop, False)
        departure = leaving.Departure(
            entry, other, other, other, notice, entry.turn_away
        )
        self.loop.run_until_complete(departure.run(LIMIT))
        return entry.told, round(self.loop.time(), 1)

    def test_its_target_is_in_use_until_its_last_work_has_to_begin(self):
        """The target of a stopping home stands idle from then on.

        Told at once, a rolling stop of half of all nodes took a quarter of
        the targets out of use, for nothing.
        """
        told, over = self._depart(hangs=False)

        self.assertEqual([("turn away", 1.5), ("refuse new", 2.5)], told)
        self.assertEqual(2.5, over)

    def test_a_short_notice_turns_work_away_with_its_end(self):
        told, _ = self._depart(False, datetime.timedelta(seconds=1))

        self.assertEqual([("turn away", 1.0), ("refuse new", 1.0)], told)

    def test_what_hangs_is_ended_at_the_limit(self):
        """Callers hear how their requests stand before the process ends."""
        told, over = self._depart(hangs=True)

        self.assertEqual(("end", 5.0), told[-1])
        self.assertEqual(5.0, over)


if __name__ == "__main__":
    unittest.main()
