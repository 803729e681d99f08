"""Tests of which target updates a home node pushes, and how often."""

import datetime
import unittest

from endivewind import exchange
from endivewind.decisions import peer_updates
from endivewind.decisions import suspicion

SECOND = datetime.timedelta(seconds=1)


class TargetUpdatePublisherTest(unittest.TestCase):
    """A home node with one target."""

    def setUp(self):
        self.now = SECOND
        self.suspicion = suspicion.SuspicionEstimator(self.now)
        self.publisher = peer_updates.TargetUpdatePublisher()

    def advance(self, duration=peer_updates.MIN_UPDATE_INTERVAL):
        self.now += duration

    def due_updates(self):
        status = exchange.TargetReport(0, self.suspicion.probability(self.now))
        update = peer_updates.TargetUpdate("t1", status)
        snapshot = peer_updates.TargetSnapshot(
            update, self.suspicion.signal_count
        )
        return self.publisher.take_due_updates([snapshot], self.now)

    def observe(self, signal):
        self.suspicion.observe(signal, self.now)

    def test_healthy_target_causes_no_updates(self):
        for _ in range(100):
            self.observe(suspicion.SuspicionSignal.SUCCESS)
            self.advance()
            self.assertEqual((), self.due_updates())

    def test_failure_is_pushed_at_once_and_recovery_once(self):
        self.observe(suspicion.SuspicionSignal.FAILURE)
        self.assertEqual(1, len(self.due_updates()))
        updates = []
        for _ in range(20):
            self.advance()
            self.observe(suspicion.SuspicionSignal.SUCCESS)
            updates += self.due_updates()

        self.assertLess(
            updates[-1].report.suspicion, suspicion.SUSPECT_THRESHOLD
        )
        self.assertEqual(
            [], [item for item in updates[:-1] if item.report.suspicion < 0.11]
        )

    def test_no_update_without_new_signals(self):
        """Sender and receivers decay the suspicion in the same way."""
        self.observe(suspicion.SuspicionSignal.FAILURE)
        self.due_updates()
        self.advance(10 * SECOND)

        self.assertEqual((), self.due_updates())

    def test_many_failures_are_pushed_a_few_times_a_second(self):
        count = 0
        for _ in range(1000):
            self.advance(SECOND / 100)
            self.observe(suspicion.SuspicionSignal.FAILURE)
            count += len(self.due_updates())

        self.assertLessEqual(
            count, 10 * SECOND / peer_updates.MIN_UPDATE_INTERVAL
        )
        self.assertGreater(count, 20)

    def test_removed_target_is_pushed_again_when_it_is_back(self):
        self.observe(suspicion.SuspicionSignal.FAILURE)
        self.due_updates()
        self.advance()
        other = peer_updates.TargetSnapshot(
            peer_updates.TargetUpdate("t2", exchange.TargetReport(0, 0.9)), 1
        )
        self.publisher.take_due_updates([other], self.now)
        self.advance()

        self.assertEqual(1, len(self.due_updates()))
