"""Load pattern: targets that accept requests and do not respond for seconds.

Every nine seconds, three targets in ten hang on three quarters of their
requests for three seconds. None of these completes before its caller times
out.
"""

import datetime
import unittest
from unittest import mock

from endivewind.decisions import response_times
from endivewind.tests.loads import fleet

LOOKUP = fleet.RequestKind("lookup", 48, 0.66, 0.3, 2.15, 4.0, rank=2)
ORDER = fleet.RequestKind(
    "order", 48, 0.85, 0.8, 2.2, 4.0, is_non_idempotent=True
)
UNHEALTHY_SHARE = 0.3
HANG_SHARE = 0.75
FAULT_PERIODS = 3


def _simulate(seed, retries=(20, 60)):
    simulation = fleet.Fleet(
        seed, targets_per_zone=4, entries_per_zone=4, slots=8, retries=retries
    )
    for _ in range(FAULT_PERIODS):
        unhealthy = simulation.sample_targets(UNHEALTHY_SHARE)
        for target in unhealthy:
            target.hang_share = HANG_SHARE
        simulation.run(3, (LOOKUP, ORDER))
        for target in unhealthy:
            target.hang_share = 0.0
        simulation.run(6, (LOOKUP, ORDER))
    return simulation.stats


class HangingTargetsTest(unittest.TestCase):
    def test_pending_requests_count_as_evidence(self):
        """Guards against sending orders to targets that hang on them."""
        with mock.patch.object(
            response_times.ResponseTimes, "likelihood_ratio", return_value=1.0
        ):
            before = [_simulate(seed) for seed in (1, 2)]
        after = [_simulate(seed) for seed in (1, 2)]

        for kind, share in (("order", 0.75), ("lookup", 0.75)):
            lost = [
                sum(item[kind].failed for item in outcomes)
                for outcomes in (before, after)
            ]
            self.assertLess(lost[1], share * lost[0], kind)

    def test_lookups_are_retried_when_the_budget_is_nearly_spent(self):
        """Guards against look-ups that hang until their callers time out.

        A request without a response within its latency objective has failed,
        and the retry budget exists for such requests.
        """
        outcomes = _simulate(3, retries=(10, 24))

        self.assertLess(outcomes["lookup"].lost_share, 0.03)


class ResponseTimesTest(unittest.TestCase):
    latency_objective = datetime.timedelta(seconds=2)

    def setUp(self):
        self.times = response_times.ResponseTimes()

    def likelihood_ratio(self, seconds):
        age = datetime.timedelta(seconds=seconds)
        return self.times.likelihood_ratio(self.latency_objective, age)

    def test_likelihood_ratio_grows_with_age(self):
        ratios = [
            self.likelihood_ratio(at) for at in (0.2, 0.5, 1.0, 1.5, 3, 60)
        ]

        self.assertEqual(sorted(ratios), ratios)
        self.assertEqual(1.0, ratios[0])
        self.assertLess(ratios[1], 2)
        self.assertGreater(ratios[3], 5)

    def test_likelihood_ratio_is_bounded(self):
        """Latencies have a tail; one long request is no proof."""
        self.assertLess(
            self.likelihood_ratio(600), 1 / response_times.HEALTHY_HANG_SHARE
        )

    def test_distribution_adapts_to_observed_latencies(self):
        before = self.likelihood_ratio(0.6)
        for _ in range(40):
            self.times.observe(
                self.latency_objective, datetime.timedelta(seconds=0.1)
            )
        after_fast_responses = self.likelihood_ratio(0.6)
        for _ in range(300):
            self.times.observe(
                self.latency_objective, datetime.timedelta(seconds=1.5)
            )

        self.assertGreater(after_fast_responses, 3 * before)
        self.assertLess(self.likelihood_ratio(1.5), 2)

    def test_without_latency_objective_the_ratio_is_one(self):
        age = datetime.timedelta(seconds=9)

        self.assertEqual(
            1.0, self.times.likelihood_ratio(datetime.timedelta(), age)
        )
