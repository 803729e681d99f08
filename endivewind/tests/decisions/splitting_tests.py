"""Shares of a route's requests."""

import collections
import random
import unittest

import hypothesis
from hypothesis import strategies

from endivewind.decisions import splitting


class SplitterTest(unittest.TestCase):
    """Operators move a part of a route's requests to a new service.

    They judge the new service by what it gets; a share that is far off for
    seconds would mislead them.
    """

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        strategies.lists(strategies.integers(1, 100), min_size=1, max_size=5),
        strategies.integers(0, 1000),
    )
    def test_every_part_gets_its_share(self, weights, seed):
        parts = [
            splitting.Part(f"s{number}", weight)
            for number, weight in enumerate(weights)
        ]
        splitter = splitting.Splitter(parts, random.Random(seed))
        count = 4 * sum(weights)

        given = collections.Counter(splitter.next() for _ in range(count))

        for part in parts:
            # One more or less at each end, for where the entry began.
            self.assertLessEqual(
                abs(given[part.service] - 4 * part.weight), len(parts)
            )

    def test_a_part_without_weight_gets_nothing(self):
        parts = [splitting.Part("old", 5), splitting.Part("new", 0)]
        splitter = splitting.Splitter(parts, random.Random(1))

        given = {splitter.next() for _ in range(50)}

        self.assertEqual({"old"}, given)

    def test_entries_do_not_begin_with_the_same_part(self):
        parts = [splitting.Part("old", 1), splitting.Part("new", 1)]
        first = collections.Counter(
            splitting.Splitter(parts, random.Random(seed)).next()
            for seed in range(200)
        )

        self.assertGreater(min(first.values()), 60)
