"""Tests of the home's record of attempts."""

import datetime
import tracemalloc
import unittest

from endivewind import exchange
from endivewind.targets import handover

NOW = datetime.timedelta(hours=1)


class HandOverLedgerTest(unittest.TestCase):
    """An attempt is handed over once, and none after it."""

    def setUp(self):
        self.ledger = handover.HandOverLedger(capacity=2, reserve=1)

    def begin(self, number=1, ticket="t", now=NOW):
        return self.ledger.begin(ticket, number, now)

    def test_second_copy_of_an_attempt_is_refused(self):
        """The caller's payout is not doubled by a copy on the way.

        The home hands the attempt over; a second copy of it arrives, and the
        home can't know how the first one ends.
        """
        self.assertIsNone(self.begin())

        self.assertEqual(exchange.Outcome.UNKNOWN, self.begin().outcome)

    def test_sealed_attempt_is_refused_as_not_run(self):
        """A late copy comes after its issuer has placed the work elsewhere."""
        self.begin()
        self.ledger.seal("t", 1)

        copy = self.begin()

        self.assertEqual(exchange.Reason.SEALED, copy.reason)
        self.assertEqual(exchange.Outcome.NOT_RUN, copy.outcome)

    def test_next_attempt_needs_the_seal(self):
        self.begin()
        unsealed = self.begin(number=2)
        self.ledger.seal("t", 1)
        sealed = self.begin(number=2)

        self.assertEqual(exchange.Outcome.UNKNOWN, unsealed.outcome)
        self.assertIsNone(sealed)

    def test_earlier_attempt_after_a_later_one_is_refused(self):
        self.begin()
        self.ledger.seal("t", 1)
        self.begin(number=2)

        self.assertEqual(exchange.Outcome.UNKNOWN, self.begin().outcome)

    def test_seal_of_another_attempt_changes_nothing(self):
        self.begin()
        self.ledger.seal("t", 2)

        self.assertEqual(exchange.Outcome.UNKNOWN, self.begin(2).outcome)

    def test_full_ledger_seals_its_refusals(self):
        """The ledger is full; the refused attempt's copy comes later."""
        self.begin(ticket="a")
        self.begin(ticket="b")
        refused = self.begin(ticket="c")
        for ticket in ("a", "b"):
            self.ledger.seal(ticket, 1)

        copy = self.begin(ticket="c")
        beyond = self.begin(ticket="d")

        self.assertEqual(exchange.Outcome.NOT_RUN, refused.outcome)
        self.assertEqual(exchange.Outcome.NOT_RUN, copy.outcome)
        self.assertEqual(exchange.Outcome.UNKNOWN, beyond.outcome)

    def test_old_attempts_make_room(self):
        self.begin(ticket="a")
        self.begin(ticket="b")

        self.assertIsNone(self.begin(ticket="c", now=NOW + handover.RETENTION))
        self.assertEqual(1, self.ledger.count)

    def test_attempt_takes_no_more_than_stated(self):
        ledger = handover.HandOverLedger()
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        for number in range(2000):
            ledger.begin(f"{'n' * 90}:{number}", 1, NOW)
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()

        self.assertLess((after - before) / 2000, handover.ATTEMPT_BYTES)
