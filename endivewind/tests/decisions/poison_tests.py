"""Tests of telling requests that crash targets from innocent ones."""

import datetime
import unittest

from endivewind.decisions import poison

_MINUTE = datetime.timedelta(minutes=1)


class PoisonBookTest(unittest.TestCase):
    """What counts against a request, and what clears it."""

    def setUp(self):
        self.book = poison.PoisonBook()

    def test_second_target_lost_refuses_it_for_the_hold(self):
        self.book.crashed(b"bad", "t1", _MINUTE)
        self.assertIsNone(self.book.refused_for(b"bad", _MINUTE))

        self.book.crashed(b"bad", "t2", 2 * _MINUTE)

        left = self.book.refused_for(b"bad", 3 * _MINUTE)
        self.assertEqual(poison.HOLD - _MINUTE, left)
        self.assertIsNone(self.book.refused_for(b"other", 3 * _MINUTE))

    def test_one_target_lost_twice_is_that_target(self):
        """A target that keeps failing blames no request.

        Its own fault loses every connection; the same request meets it twice.
        """
        self.book.crashed(b"bad", "t1", _MINUTE)
        self.book.crashed(b"bad", "t1", _MINUTE)

        self.assertIsNone(self.book.refused_for(b"bad", _MINUTE))

    def test_popular_request_is_cleared_by_its_answers(self):
        """A look-up that everyone sends is on every target that crashes.

        Two targets crash for other reasons; between them the same look-up was
        answered, so refusing it would refuse a whole service's callers.
        """
        self.book.crashed(b"popular", "t1", _MINUTE)
        self.book.answered(b"popular")
        self.book.crashed(b"popular", "t2", _MINUTE)

        self.assertIsNone(self.book.refused_for(b"popular", _MINUTE))

    def test_it_may_come_back_after_the_hold(self):
        self.book.crashed(b"bad", "t1", _MINUTE)
        self.book.crashed(b"bad", "t2", _MINUTE)

        self.assertIsNone(self.book.refused_for(b"bad", _MINUTE + poison.HOLD))
        self.assertEqual(0, len(self.book))

    def test_suspects_are_bounded(self):
        for number in range(2 * poison.MAX_SUSPECTS):
            self.book.crashed(str(number).encode(), "t1", _MINUTE)

        self.assertEqual(poison.MAX_SUSPECTS, len(self.book))
