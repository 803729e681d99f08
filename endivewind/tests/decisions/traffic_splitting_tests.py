"""Tests of weighted traffic splitting."""

import collections
import random
import unittest

import hypothesis
from hypothesis import strategies

from endivewind.decisions import traffic_splitting


class TrafficSplitterTest(unittest.TestCase):
    """Operators move a share of a route's requests to a new service.

    They evaluate the new service by the load it gets; a share that deviates
    for seconds would mislead them.
    """

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        strategies.lists(strategies.integers(1, 100), min_size=1, max_size=5),
        strategies.integers(0, 1000),
    )
    def test_every_service_gets_its_share(self, weights, seed):
        services = [
            traffic_splitting.WeightedService(f"s{number}", weight)
            for number, weight in enumerate(weights)
        ]
        splitter = traffic_splitting.TrafficSplitter(
            services, random.Random(seed)
        )
        count = 4 * sum(weights)

        selected = collections.Counter(
            splitter.next_service() for _ in range(count)
        )

        for candidate in services:
            # Off by one at each end, because of the random start position.
            self.assertLessEqual(
                abs(selected[candidate.service] - 4 * candidate.weight),
                len(services),
            )

    def test_service_with_zero_weight_gets_nothing(self):
        services = [
            traffic_splitting.WeightedService("old", 5),
            traffic_splitting.WeightedService("new", 0),
        ]
        splitter = traffic_splitting.TrafficSplitter(services, random.Random(1))

        selected = {splitter.next_service() for _ in range(50)}

        self.assertEqual({"old"}, selected)

    def test_entry_nodes_start_with_different_services(self):
        services = [
            traffic_splitting.WeightedService("old", 1),
            traffic_splitting.WeightedService("new", 1),
        ]
        first_services = collections.Counter(
            traffic_splitting.TrafficSplitter(
                services, random.Random(seed)
            ).next_service()
            for seed in range(200)
        )

        self.assertGreater(min(first_services.values()), 60)
