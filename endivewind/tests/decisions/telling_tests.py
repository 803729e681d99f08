"""What a home tells the entries of its zone, and how often."""

import datetime
import unittest

from endivewind import exchange
from endivewind.decisions import suspicion
from endivewind.decisions import telling

SECOND = datetime.timedelta(seconds=1)


class TellerTest(unittest.TestCase):
    """One target, as its home sees it."""

    def setUp(self):
        self.now = SECOND
        self.suspicion = suspicion.Suspicion(self.now)
        self.teller = telling.Teller()

    def pause(self, span=telling.GAP):
        self.now += span

    def due(self):
        glance = exchange.Glance(0, self.suspicion.probability(self.now))
        condition = telling.Condition("t1", glance)
        state = telling.State(condition, self.suspicion.signals)
        return self.teller.due([state], self.now)

    def take(self, signal):
        self.suspicion.take(signal, self.now)

    def test_a_target_that_is_well_costs_no_message(self):
        for _ in range(100):
            self.take(suspicion.Signal.GOOD)
            self.pause()
            self.assertEqual((), self.due())

    def test_a_failure_is_told_at_once_and_its_end_once(self):
        self.take(suspicion.Signal.FAILED)
        self.assertEqual(1, len(self.due()))
        told = []
        for _ in range(20):
            self.pause()
            self.take(suspicion.Signal.GOOD)
            told += self.due()

        self.assertLess(told[-1].glance.suspicion, suspicion.DOUBTFUL)
        self.assertEqual(
            [], [item for item in told[:-1] if item.glance.suspicion < 0.11]
        )

    def test_silence_about_a_sick_target_is_no_news(self):
        """Doubt fades by the same rule at both ends, without a message."""
        self.take(suspicion.Signal.FAILED)
        self.due()
        self.pause(10 * SECOND)

        self.assertEqual((), self.due())

    def test_a_storm_of_failures_is_told_a_few_times_a_second(self):
        count = 0
        for _ in range(1000):
            self.pause(SECOND / 100)
            self.take(suspicion.Signal.FAILED)
            count += len(self.due())

        self.assertLessEqual(count, 10 * SECOND / telling.GAP)
        self.assertGreater(count, 20)

    def test_a_target_that_has_left_is_forgotten(self):
        self.take(suspicion.Signal.FAILED)
        self.due()
        self.pause()
        other = telling.State(
            telling.Condition("t2", exchange.Glance(0, 0.9)), 1
        )
        self.teller.due([other], self.now)
        self.pause()

        self.assertEqual(1, len(self.due()))
