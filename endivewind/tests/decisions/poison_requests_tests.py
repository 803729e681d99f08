"""Tests of the detection of poison requests."""

import datetime
import unittest

from endivewind.decisions import poison_requests

_MINUTE = datetime.timedelta(minutes=1)


class PoisonRequestDetectorTest(unittest.TestCase):
    """Which crashes block a request, and which responses clear it."""

    def setUp(self):
        self.detector = poison_requests.PoisonRequestDetector()

    def test_second_crashed_target_blocks_request(self):
        self.detector.record_crash(b"bad", "t1", _MINUTE)
        self.assertIsNone(self.detector.remaining_block(b"bad", _MINUTE))

        self.detector.record_crash(b"bad", "t2", 2 * _MINUTE)

        remaining = self.detector.remaining_block(b"bad", 3 * _MINUTE)
        self.assertEqual(poison_requests.BLOCK_DURATION - _MINUTE, remaining)
        self.assertIsNone(self.detector.remaining_block(b"other", 3 * _MINUTE))

    def test_repeated_crash_of_one_target_blocks_nothing(self):
        """A target that crashes repeatedly must not block a request.

        The target's own fault closes each connection, and the same request was
        sent to it twice.
        """
        self.detector.record_crash(b"bad", "t1", _MINUTE)
        self.detector.record_crash(b"bad", "t1", _MINUTE)

        self.assertIsNone(self.detector.remaining_block(b"bad", _MINUTE))

    def test_response_clears_frequent_request(self):
        """A request that all callers send is running at each crashed target.

        Two targets crash for other reasons, and between the crashes the same
        request got a response. Blocking it would refuse all callers of the
        service.
        """
        self.detector.record_crash(b"popular", "t1", _MINUTE)
        self.detector.record_response(b"popular")
        self.detector.record_crash(b"popular", "t2", _MINUTE)

        self.assertIsNone(self.detector.remaining_block(b"popular", _MINUTE))

    def test_block_expires(self):
        self.detector.record_crash(b"bad", "t1", _MINUTE)
        self.detector.record_crash(b"bad", "t2", _MINUTE)

        self.assertIsNone(
            self.detector.remaining_block(
                b"bad", _MINUTE + poison_requests.BLOCK_DURATION
            )
        )
        self.assertEqual(0, len(self.detector))

    def test_number_of_suspects_is_limited(self):
        for number in range(2 * poison_requests.MAX_SUSPECT_REQUESTS):
            self.detector.record_crash(str(number).encode(), "t1", _MINUTE)

        self.assertEqual(
            poison_requests.MAX_SUSPECT_REQUESTS, len(self.detector)
        )
