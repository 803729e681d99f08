"""Tests of the graceful shutdown of a node, in virtual time."""

import asyncio
import datetime
import unittest

from endivewind.nodes import graceful_shutdown
from endivewind.standins import virtual_loop

NOTICE = datetime.timedelta(seconds=2.5)
LIMIT = datetime.timedelta(seconds=5)


class _Components:
    """Fake of all components of a node; records the calls and their times."""

    def __init__(self, loop, hangs):
        self._loop = loop
        self._drained = asyncio.Event()
        self.calls = []
        if not hangs:
            self._drained.set()

    def _record(self, call):
        self.calls.append((call, round(self._loop.time(), 1)))

    def announce_drain(self):
        self._record("announce drain")

    def refuse_outlasting(self, timeout):
        self._record(f"refuse outlasting {timeout.total_seconds()}")

    def refuse_new(self):
        self._record("refuse new")

    def refuse_queued(self):
        self._record("refuse queued")

    def refuse_new_tickets(self):
        self._record("refuse new tickets")

    def abort_all(self):
        self._record("abort")
        self._drained.set()

    async def wait_drained(self):
        await self._drained.wait()

    def remaining_retention(self):
        return datetime.timedelta()


class GracefulShutdownTest(unittest.TestCase):
    def setUp(self):
        self.loop = virtual_loop.VirtualLoop()
        self.addCleanup(self.loop.close)

    def _shut_down(self, hangs, notice=NOTICE, *, is_shared=False):
        """Returns the recorded calls and when the shutdown ended.

        The calls are those of the listener, or of all parts if it is shared.
        """
        listener = _Components(self.loop, hangs)
        other = listener if is_shared else _Components(self.loop, False)
        shutdown = graceful_shutdown.GracefulShutdown(
            listener, other, other, other, notice, listener.announce_drain
        )
        self.loop.run_until_complete(shutdown.run(LIMIT))
        return listener.calls, round(self.loop.time(), 1)

    def test_target_gets_requests_until_most_of_the_notice_is_over(self):
        """The fleet sends requests to the target until late in the notice.

        Announced at once, a rolling stop of half of all nodes made a quarter
        of the targets idle needlessly.
        """
        calls, ended_at = self._shut_down(hangs=False)

        self.assertEqual(
            [
                ("refuse outlasting 5.0", 0.0),
                ("announce drain", 1.5),
                ("refuse new", 2.5),
            ],
            calls,
        )
        self.assertEqual(2.5, ended_at)

    def test_home_learns_at_once_when_it_ends(self):
        """Guards against orders that are lost when a stopping home ends."""
        home, other = (_Components(self.loop, False) for _ in range(2))
        shutdown = graceful_shutdown.GracefulShutdown(
            other, home, other, other, NOTICE, other.announce_drain
        )
        self.loop.run_until_complete(shutdown.run(LIMIT))

        self.assertEqual(("refuse outlasting 5.0", 0.0), home.calls[0])

    def test_short_notice_announces_the_drain_at_its_end(self):
        calls, _ = self._shut_down(False, datetime.timedelta(seconds=1))

        self.assertEqual(
            [
                ("refuse outlasting 5.0", 0.0),
                ("announce drain", 1.0),
                ("refuse new", 1.0),
            ],
            calls,
        )

    def test_hanging_requests_are_aborted_at_the_limit(self):
        """Callers get their outcomes before the process exits."""
        calls, ended_at = self._shut_down(hangs=True)

        self.assertEqual(("abort", 5.0), calls[-1])
        self.assertEqual(5.0, ended_at)

    def test_outcomes_reach_other_nodes_before_the_end(self):
        """Guards against links closed before the issuer's results are sent."""
        listener, links = (
            _Components(self.loop, True),
            _Components(self.loop, True),
        )
        other = _Components(self.loop, False)
        shutdown = graceful_shutdown.GracefulShutdown(
            listener, other, links, other, NOTICE, listener.announce_drain
        )
        self.loop.call_later(5.05, links.abort_all)

        self.loop.run_until_complete(shutdown.run(LIMIT))

        self.assertEqual(5.05, round(self.loop.time(), 2))

    def test_new_work_is_refused_at_a_limit_within_the_notice(self):
        """Guards against work that starts after the last abort."""
        calls, ended_at = self._shut_down(True, 2 * LIMIT, is_shared=True)

        self.assertEqual(
            [
                # Once as the listener, once as the home.
                ("refuse outlasting 5.0", 0.0),
                ("refuse outlasting 5.0", 0.0),
                ("announce drain", 1.5),
                ("refuse new tickets", 5.0),
                ("refuse queued", 5.0),
                ("abort", 5.0),
            ],
            calls,
        )
        self.assertEqual(5.0, ended_at)


if __name__ == "__main__":
    unittest.main()
