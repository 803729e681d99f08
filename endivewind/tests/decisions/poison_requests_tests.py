"""Tests of the detection of poison requests."""

import datetime
import itertools
import unittest

from endivewind.decisions import poison_requests

_MINUTE = datetime.timedelta(minutes=1)
_SECOND = datetime.timedelta(seconds=1)
_SUSPECT = poison_requests.SuspectRequest(b"bad", 1)
_FAILED_ONCE = _SUSPECT.after_failed_trial()
_FAILED_TWICE = _FAILED_ONCE.after_failed_trial()
_CLEARED = _FAILED_ONCE.cleared()
_SUSPECT_AGAIN = poison_requests.SuspectRequest(b"bad", 2)
_IN_ORDER = (
    _SUSPECT,
    _FAILED_ONCE,
    _FAILED_TWICE,
    _CLEARED,
    _SUSPECT_AGAIN,
)


class AnsweredRequestsTest(unittest.TestCase):
    """The requests to which targets have responded lately."""

    def setUp(self):
        self.answered = poison_requests.AnsweredRequests()

    def record(self, path, seconds, body=b""):
        request = poison_requests.RequestParts("w", "s", "GET", path, body)
        self.answered.record(request, datetime.timedelta(seconds=seconds))

    def paths(self, seconds):
        now = datetime.timedelta(seconds=seconds)
        return [request.path for request in self.answered.latest(now)]

    def test_responses_are_forgotten_after_a_time(self):
        self.record("/a", 0)
        self.record("/b", 1)
        self.record("/a", 5)

        self.assertEqual(["/a", "/b"], self.paths(11))
        self.assertEqual(["/a"], self.paths(12))
        self.assertEqual([], self.paths(16))

    def test_memory_is_bounded(self):
        for number in range(2 * poison_requests.MAX_ANSWERED_REQUESTS):
            self.record(f"/{number}", 0)
        self.record("/large", 0, b"x" * 257)

        self.assertEqual(
            poison_requests.MAX_ANSWERED_REQUESTS, len(self.paths(0))
        )
        self.assertNotIn("/large", self.paths(0))


class SuspectRequestsTest(unittest.TestCase):
    """What a node knows of requests that have crashed targets."""

    def setUp(self):
        self.suspects = poison_requests.SuspectRequests()

    def put(self, *records, now=_MINUTE):
        return [self.suspects.put(record, now) for record in records]

    def test_latest_record_holds_in_whatever_order_they_arrive(self):
        """Guards against nodes that disagree on whether a request is suspect."""
        for order in itertools.permutations(_IN_ORDER):
            suspects = poison_requests.SuspectRequests()
            for record in order:
                suspects.put(record, _MINUTE)

            self.assertEqual(_SUSPECT_AGAIN, suspects.find(b"bad"))

    def test_known_record_is_not_stored_again(self):
        self.assertEqual([True, False], self.put(_SUSPECT, _SUSPECT))

    def test_other_requests_are_not_suspect(self):
        self.put(_FAILED_TWICE)

        self.assertIsNone(self.suspects.find(b"other"))
        self.assertFalse(self.suspects.remaining_pause(b"other", _MINUTE))

    def test_response_clears_a_request(self):
        """Guards against a popular request that is refused to all callers."""
        self.put(_FAILED_TWICE)
        self.assertTrue(self.suspects)

        self.put(_FAILED_TWICE.cleared())

        self.assertFalse(self.suspects)
        self.assertIsNone(self.suspects.find(b"bad"))
        self.assertFalse(self.suspects.remaining_pause(b"bad", _MINUTE))

    def test_first_trial_is_allowed_at_once(self):
        self.put(_SUSPECT)

        self.assertFalse(self.suspects.remaining_pause(b"bad", _MINUTE))

    def test_pauses_grow_with_failed_trials(self):
        """Guards against trials that crash one target after the other."""
        record = _SUSPECT
        pauses = []
        for _ in range(5):
            self.put(record)
            pauses.append(self.suspects.remaining_pause(b"bad", _MINUTE))
            record = record.after_failed_trial()

        self.assertEqual(sorted(pauses), pauses)
        self.assertEqual([0 * _SECOND, 5 * _SECOND, 10 * _MINUTE], pauses[:3])

    def test_pause_ends(self):
        self.put(_FAILED_ONCE)

        self.assertEqual(
            2 * _SECOND,
            self.suspects.remaining_pause(b"bad", _MINUTE + 3 * _SECOND),
        )
        self.assertFalse(
            self.suspects.remaining_pause(b"bad", _MINUTE + 5 * _SECOND)
        )

    def test_suspect_request_is_cleared_and_forgotten_in_the_end(self):
        """Guards against a request that is held against callers for ever."""
        memory = poison_requests.SUSPECT_MEMORY
        self.put(_FAILED_TWICE, now=0 * _SECOND)
        self.suspects.expire(memory - _SECOND)
        self.assertTrue(self.suspects)

        self.suspects.expire(memory)
        self.assertFalse(self.suspects)
        self.assertTrue(self.suspects.latest(b"bad").is_cleared)

        self.suspects.expire(2 * memory)
        self.assertEqual([], self.suspects.records())

    def test_memory_exceeds_the_longest_pause(self):
        self.assertGreater(
            poison_requests.SUSPECT_MEMORY, max(poison_requests.TRIAL_PAUSES)
        )

    def test_digest_is_that_of_the_suspect_requests(self):
        """Guards against nodes that go on sending each other what both know."""
        other = poison_requests.SuspectRequests()
        self.assertEqual(0, self.suspects.digest)

        self.put(_SUSPECT, poison_requests.SuspectRequest(b"worse", 1))
        other.put(poison_requests.SuspectRequest(b"worse", 1), _MINUTE)
        self.assertNotEqual(self.suspects.digest, other.digest)
        other.put(_SUSPECT, 2 * _MINUTE)
        self.assertEqual(self.suspects.digest, other.digest)
        other.put(_CLEARED, 2 * _MINUTE)
        other.put(poison_requests.SuspectRequest(b"worse", 1, True), _MINUTE)
        self.assertEqual(0, other.digest)

    def test_number_of_records_is_limited(self):
        for number in range(2 * poison_requests.MAX_SUSPECT_REQUESTS):
            self.put(poison_requests.SuspectRequest(str(number).encode(), 1))

        self.assertEqual(
            poison_requests.MAX_SUSPECT_REQUESTS, len(self.suspects.records())
        )

    def test_saved_count_is_restored(self):
        for record in (_SUSPECT, _FAILED_ONCE, _FAILED_TWICE):
            restored = poison_requests.SuspectRequest.from_count(
                b"bad", record.count
            )
            self.assertEqual(record, restored)

    def test_count_below_the_limit_is_not_restored(self):
        for count in (-1, 0, poison_requests.MIN_CRASHES - 1):
            self.assertIsNone(
                poison_requests.SuspectRequest.from_count(b"bad", count)
            )


class CrashCountsTest(unittest.TestCase):
    """Crashes that entry nodes report, each a second apart."""

    def setUp(self):
        self.counts = poison_requests.CrashCounts()
        self.now = _MINUTE

    def crash(self, target):
        self.now += _SECOND
        return self.counts.record_crash(b"bad", target, self.now)

    def test_crashes_of_different_targets_count(self):
        self.assertEqual([1, 2, 3], [self.crash(name) for name in "abc"])

    def test_repeated_crash_of_one_target_counts_once(self):
        """A target that crashes repeatedly must not make a request suspect.

        The target's own fault closes each connection, and the same request was
        sent to it twice.
        """
        self.assertEqual([1, 2, 2], [self.crash(name) for name in "abb"])

    def test_response_begins_the_count_anew(self):
        self.crash("a")
        self.counts.forget(b"bad")

        self.assertEqual(1, self.crash("b"))

    def test_crashes_expire(self):
        self.crash("a")
        self.now += poison_requests.CRASH_MEMORY

        self.assertEqual(1, self.crash("b"))

    def test_oldest_requests_are_forgotten(self):
        self.crash("a")
        for number in range(poison_requests.MAX_COUNTED_REQUESTS):
            self.counts.record_crash(str(number).encode(), "a", self.now)

        self.assertEqual(1, self.crash("b"))


class TrialLeasesTest(unittest.TestCase):
    """Which trials a node grants."""

    def setUp(self):
        self.leases = poison_requests.TrialLeases()
        self.first = poison_requests.Trial(_SUSPECT, 1)
        self.second = poison_requests.Trial(_SUSPECT, 2)

    def grant(self, trial, now=_MINUTE):
        return self.leases.grant(trial, now, _SECOND)

    def test_one_trial_at_a_time_is_granted(self):
        """Guards against a herd of callers that crashes a target each."""
        self.assertTrue(self.grant(self.first))
        self.assertFalse(self.grant(self.second))

    def test_trial_whose_grant_was_lost_is_granted_again(self):
        self.grant(self.first)

        self.assertTrue(self.grant(self.first))

    def test_released_trial_allows_another(self):
        self.grant(self.first)
        self.leases.release(self.first)

        self.assertTrue(self.grant(self.second))

    def test_late_release_does_not_end_another_trial(self):
        self.grant(self.first)
        self.leases.release(self.first)
        self.grant(self.second)
        self.leases.release(self.first)

        self.assertFalse(self.grant(self.first))

    def test_failed_trial_allows_the_next(self):
        self.grant(self.first)

        self.assertTrue(self.grant(poison_requests.Trial(_FAILED_ONCE, 3)))

    def test_trial_lapses_after_its_time(self):
        """Guards against a suspect request that waits for a lost node."""
        self.grant(self.first)

        self.assertFalse(self.leases.has_lapsed(_SUSPECT, _MINUTE))
        self.assertTrue(self.leases.has_lapsed(_SUSPECT, _MINUTE + _SECOND))
        self.assertFalse(
            self.leases.has_lapsed(_FAILED_ONCE, _MINUTE + _SECOND)
        )

    def test_number_of_leases_is_limited(self):
        for number in range(2 * poison_requests.MAX_SUSPECT_REQUESTS):
            record = poison_requests.SuspectRequest(str(number).encode(), 1)
            self.assertTrue(self.grant(poison_requests.Trial(record, number)))


if __name__ == "__main__":
    unittest.main()
