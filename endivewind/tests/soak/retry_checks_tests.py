"""Tests that each limit on repeats is checked, and allowed runs are accepted."""

import unittest

from endivewind.soak import checks
from endivewind.soak import retry_checks

BOUNDS = retry_checks.Bounds(
    retry_share=0.2,
    retry_reserve=5.0,
    window_seconds=10.0,
    stable_seconds=4.0,
    max_targets=2,
)
TIME_LIMIT = 6.0
RUN = retry_checks.ArrivalKind.RUN
CRASH = retry_checks.ArrivalKind.CRASH
REJECTED = retry_checks.ArrivalKind.REJECTED


class _TestCase(unittest.TestCase):
    def setUp(self):
        self.traffic = retry_checks.Traffic()

    def send(self, request_id, at=0.0, *, caller=None):
        """Sends a request to the service "ledger"."""
        self.traffic.record_sent(
            retry_checks.SentRequest(
                request_id, "ledger", at, TIME_LIMIT, is_call=caller is not None
            ),
            caller,
        )

    def arrive(
        self,
        request_id,
        at=0.0,
        *,
        target="t",
        service="ledger",
        path="/x",
        kind=RUN,
        time_limit=TIME_LIMIT,
    ):
        return self.traffic.record_arrival(
            request_id, service, target, path, at, kind, time_limit
        )

    def violations(self):
        return [
            finding.guarantee
            for finding in retry_checks.check(self.traffic, BOUNDS)
        ]


class WindowTest(_TestCase):
    """Repeats in a window, for each service."""

    def repeat(self, count, at=0.0):
        self.arrive("r", at)
        for number in range(count):
            self.arrive("r", at + number / 1000)

    def test_repeats_above_the_bound_are_found(self):
        self.repeat(5)
        self.assertEqual([], self.violations())

        self.arrive("r", 9.9)
        self.assertEqual([checks.Guarantee.RETRY_BUDGET], self.violations())

    def test_repeats_of_two_windows_are_not_added_up(self):
        self.repeat(5)
        self.repeat(4, at=10.1)

        self.assertEqual([], self.violations())

    def test_requests_of_the_window_before_allow_repeats(self):
        for number in range(5):
            self.send(f"s{number}", at=-9.9)
        self.repeat(6)
        self.assertEqual([], self.violations())

        self.arrive("r", 0.5)
        self.assertEqual([checks.Guarantee.RETRY_BUDGET], self.violations())

    def test_calls_allow_no_repeats(self):
        caller = self.arrive("caller", service="catalog")
        for number in range(5):
            self.send(f"s{number}", caller=caller)
        self.repeat(6)

        self.assertEqual([checks.Guarantee.RETRY_BUDGET], self.violations())

    def test_calls_of_repeats_are_repeats_at_each_service(self):
        """Guards against a check that overlooks calls of calls."""
        self.arrive("r", service="catalog")
        repeat = self.arrive("r", service="catalog")
        for number in range(6):
            self.send(f"c{number}", caller=repeat)
            call = self.arrive(f"c{number}")
            self.send(f"d{number}", caller=call)
            self.arrive(f"d{number}", service="archive")

        self.assertEqual([checks.Guarantee.RETRY_BUDGET] * 2, self.violations())

    def test_rejected_arrivals_count(self):
        for _ in range(7):
            self.arrive("r", kind=REJECTED)

        self.assertEqual([checks.Guarantee.RETRY_BUDGET], self.violations())

    def test_nothing_counts_after_the_end(self):
        self.repeat(5)
        self.traffic.close()
        self.arrive("r")
        self.send("late")

        self.assertEqual([], self.violations())
        self.assertNotIn("late", self.traffic.sent)


class TargetCountTest(_TestCase):
    """Targets at which one request runs."""

    def run_at(self, targets, kind=RUN, requests=4):
        for number in range(requests):
            for target in range(targets):
                self.arrive(
                    f"r{number}",
                    20 * number,
                    target=f"t{target}",
                    path=f"/{number}",
                    kind=kind,
                )

    def test_requests_at_too_many_targets_are_found(self):
        self.run_at(3)

        self.assertEqual([checks.Guarantee.TARGET_COUNT], self.violations())

    def test_a_few_requests_at_too_many_targets_are_allowed(self):
        self.run_at(3, requests=3)

        self.assertEqual([], self.violations())

    def test_targets_that_reject_or_crash_do_not_count(self):
        for kind in (REJECTED, CRASH):
            with self.subTest(kind):
                self.setUp()
                self.run_at(3, kind=kind, requests=2)
                self.run_at(2)

                self.assertEqual([], self.violations())


class TimeLimitTest(_TestCase):
    """The time that targets are given."""

    def check(self, count, at=0.0, time_limit=TIME_LIMIT):
        for number in range(count):
            self.send(f"r{number}", 20 * number)
            self.arrive(f"r{number}", 20 * number + at, time_limit=time_limit)
        return self.violations()

    def test_longer_times_than_callers_name_are_found(self):
        self.assertEqual(
            [checks.Guarantee.TIME_HANDED_ON],
            self.check(21, time_limit=TIME_LIMIT + 0.6),
        )

    def test_unlimited_times_are_found(self):
        self.assertEqual(
            [checks.Guarantee.TIME_HANDED_ON], self.check(21, time_limit=None)
        )

    def test_retry_that_begins_its_time_anew_is_found(self):
        self.check(21)

        self.assertEqual(
            [checks.Guarantee.TIME_HANDED_ON], self.check(21, at=1.0)
        )

    def test_retry_with_the_time_that_is_left_is_allowed(self):
        self.check(21)

        self.assertEqual([], self.check(21, at=1.0, time_limit=5.0))

    def test_a_few_are_allowed(self):
        self.assertEqual([], self.check(20, time_limit=None))


class CrashingRequestTest(_TestCase):
    """Arrivals of a request that crashes its targets."""

    def crash(self, count, at=0.0):
        for number in range(count):
            self.arrive(f"r{at}-{number}", at, path="/crash", kind=CRASH)

    def test_late_arrivals_are_found(self):
        self.crash(3)
        self.crash(3, at=4.1)
        self.assertEqual([], self.violations())

        self.arrive("other", 5.0, path="/crash", kind=REJECTED)
        self.assertEqual([checks.Guarantee.CRASHING_REQUEST], self.violations())

    def test_arrivals_before_nodes_can_know_are_allowed(self):
        self.crash(3)
        self.crash(9, at=3.9)

        self.assertEqual([], self.violations())


if __name__ == "__main__":
    unittest.main()
