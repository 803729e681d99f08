"""Tests of the detection of poison requests."""

import datetime
import unittest

from endivewind.decisions import poison

_MINUTE = datetime.timedelta(minutes=1)


class PoisonRequestDetectorTest(unittest.TestCase):
    """Which crashes block a request, and which responses clear it."""

    def setUp(self):
        self.detector = poison.PoisonBook()

    def test_second_crashed_target_blocks_request(self):
        self.detector.crashed(b"bad", "t1", _MINUTE)
        self.assertIsNone(self.detector.refused_for(b"bad", _MINUTE))

        self.detector.crashed(b"bad", "t2", 2 * _MINUTE)

        remaining = self.detector.refused_for(b"bad", 3 * _MINUTE)
        self.assertEqual(poison.HOLD - _MINUTE, remaining)
        self.assertIsNone(self.detector.refused_for(b"other", 3 * _MINUTE))

    def test_repeated_crash_of_one_target_blocks_nothing(self):
        """A target that crashes repeatedly must not block a request.

        The target's own fault closes each connection, and the same request was
        sent to it twice.
        """
        self.detector.crashed(b"bad", "t1", _MINUTE)
        self.detector.crashed(b"bad", "t1", _MINUTE)

        self.assertIsNone(self.detector.refused_for(b"bad", _MINUTE))

    def test_response_clears_frequent_request(self):
        """A request that all callers send is running at each crashed target.

        Two targets crash for other reasons, and between the crashes the same
        request got a response. Blocking it would refuse all callers of the
        service.
        """
        self.detector.crashed(b"popular", "t1", _MINUTE)
        self.detector.answered(b"popular")
        self.detector.crashed(b"popular", "t2", _MINUTE)

        self.assertIsNone(self.detector.refused_for(b"popular", _MINUTE))

    def test_block_expires(self):
        self.detector.crashed(b"bad", "t1", _MINUTE)
        self.detector.crashed(b"bad", "t2", _MINUTE)

        self.assertIsNone(
            self.detector.refused_for(b"bad", _MINUTE + poison.HOLD)
        )
        self.assertEqual(0, len(self.detector))

    def test_number_of_suspects_is_limited(self):
        for number in range(2 * poison.MAX_SUSPECTS):
            self.detector.crashed(str(number).encode(), "t1", _MINUTE)

        self.assertEqual(poison.MAX_SUSPECTS, len(self.detector))
