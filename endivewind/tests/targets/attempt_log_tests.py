"""Tests the home node's log of attempts."""

import datetime
import tracemalloc
import unittest

from endivewind import exchange
from endivewind.targets import attempt_log

NOW = datetime.timedelta(hours=1)


class AttemptLogTest(unittest.TestCase):
    """An attempt is accepted once, and none after it."""

    def setUp(self):
        self.attempt_log = attempt_log.AttemptLog(capacity=2, reserve=1)

    def begin(self, number=1, ticket="t", now=NOW):
        return self.attempt_log.begin(ticket, number, now)

    def test_duplicate_of_an_attempt_is_refused(self):
        """Guards against executing a payout twice.

        A duplicate of the attempt arrives after the first copy was sent to the
        target, whose outcome is not known yet.
        """
        self.assertIsNone(self.begin())

        self.assertEqual(
            exchange.ExecutionOutcome.UNKNOWN, self.begin().outcome
        )

    def test_sealed_attempt_is_refused_as_not_run(self):
        """A late duplicate arrives after the issuer has retried elsewhere."""
        self.begin()
        self.attempt_log.mark_not_run("t", 1)

        duplicate = self.begin()

        self.assertEqual(exchange.Reason.SEALED, duplicate.reason)
        self.assertEqual(exchange.ExecutionOutcome.NOT_RUN, duplicate.outcome)

    def test_next_attempt_requires_the_seal(self):
        self.begin()
        unsealed = self.begin(number=2)
        self.attempt_log.mark_not_run("t", 1)
        sealed = self.begin(number=2)

        self.assertEqual(exchange.ExecutionOutcome.UNKNOWN, unsealed.outcome)
        self.assertIsNone(sealed)

    def test_earlier_attempt_after_a_later_one_is_refused(self):
        self.begin()
        self.attempt_log.mark_not_run("t", 1)
        self.begin(number=2)

        self.assertEqual(
            exchange.ExecutionOutcome.UNKNOWN, self.begin().outcome
        )

    def test_seal_of_another_attempt_has_no_effect(self):
        self.begin()
        self.attempt_log.mark_not_run("t", 2)

        self.assertEqual(
            exchange.ExecutionOutcome.UNKNOWN, self.begin(2).outcome
        )

    def test_full_log_seals_its_refusals(self):
        """A duplicate of an attempt that was refused by a full log arrives."""
        self.begin(ticket="a")
        self.begin(ticket="b")
        refusal = self.begin(ticket="c")
        for ticket in ("a", "b"):
            self.attempt_log.mark_not_run(ticket, 1)

        duplicate = self.begin(ticket="c")
        excess = self.begin(ticket="d")

        self.assertEqual(exchange.ExecutionOutcome.NOT_RUN, refusal.outcome)
        self.assertEqual(exchange.ExecutionOutcome.NOT_RUN, duplicate.outcome)
        self.assertEqual(exchange.ExecutionOutcome.UNKNOWN, excess.outcome)

    def test_expired_attempts_are_removed(self):
        self.begin(ticket="a")
        self.begin(ticket="b")

        self.assertIsNone(
            self.begin(ticket="c", now=NOW + attempt_log.RETENTION)
        )
        self.assertEqual(1, self.attempt_log.count)

    def test_memory_of_an_attempt_is_within_the_limit(self):
        log = attempt_log.AttemptLog()
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        for number in range(2000):
            log.begin(f"{'n' * 90}:{number}", 1, NOW)
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()

        self.assertLess(
            (after - before) / 2000, attempt_log.MAX_BYTES_PER_ATTEMPT
        )
