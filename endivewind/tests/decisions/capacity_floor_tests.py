"""Tests of the capacity floor."""

import unittest

import hypothesis
from hypothesis import strategies

from endivewind.decisions import capacity_floor
from endivewind.decisions import ejection

CANDIDATE_LISTS = strategies.lists(
    strategies.builds(
        capacity_floor.Candidate,
        id=strategies.text("abcdef", min_size=1, max_size=3),
        region=strategies.sampled_from(["andina", "caribe"]),
        zone=strategies.just("a"),
        slots=strategies.integers(1, 9),
        status=strategies.sampled_from(ejection.Status),
        badness=strategies.integers(0, 100),
    ),
    unique_by=lambda item: item.id,
    max_size=30,
)


def _total_slots(items, region):
    return sum(item.slots for item in items if item.region == region)


class CapacityFloorTest(unittest.TestCase):
    """Ejections that are late, lost or wrong must not reduce capacity too far.

    Otherwise the remaining targets would get the requests of all and fail
    under them, and a gray failure would become an outage.
    """

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(CANDIDATE_LISTS, strategies.integers(1, 60))
    def test_keeps_the_floor_or_all_existing_slots(self, candidates, slots):
        kept = capacity_floor.select_targets(candidates, slots)

        for region in ("andina", "caribe"):
            existing_slots = _total_slots(candidates, region)
            self.assertGreaterEqual(
                _total_slots(kept, region), min(slots, existing_slots)
            )

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(CANDIDATE_LISTS)
    def test_keeps_half_by_default(self, candidates):
        kept = capacity_floor.select_targets(candidates, 0)

        for region in ("andina", "caribe"):
            half_of_slots = _total_slots(candidates, region) // 2
            self.assertGreaterEqual(_total_slots(kept, region), half_of_slots)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        CANDIDATE_LISTS, strategies.integers(0, 60), strategies.randoms()
    )
    def test_result_is_independent_of_order(self, candidates, slots, rng):
        shuffled = list(candidates)
        rng.shuffle(shuffled)

        self.assertEqual(
            capacity_floor.select_targets(candidates, slots),
            capacity_floor.select_targets(shuffled, slots),
        )

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(CANDIDATE_LISTS, strategies.integers(0, 60))
    def test_keeps_all_normal_targets(self, candidates, slots):
        kept = capacity_floor.select_targets(candidates, slots)

        normal = [
            item for item in candidates if item.status is ejection.Status.NORMAL
        ]
        self.assertLessEqual(set(normal), set(kept))

    def test_keeps_least_bad_targets_up_to_the_floor(self):
        candidates = [
            capacity_floor.Candidate(name, "andina", "a", 3, status, badness)
            for name, status, badness in (
                ("a", ejection.Status.EJECTED, 100),
                ("b", ejection.Status.EJECTED, 30),
                ("c", ejection.Status.TRIAL, 100),
                ("d", ejection.Status.NORMAL, 0),
            )
        ]

        kept = capacity_floor.select_targets(candidates, 9)

        self.assertEqual(["d", "c", "b"], [item.id for item in kept])
