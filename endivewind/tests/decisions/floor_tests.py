"""The floor holds for every view and every verdict."""

import unittest

import hypothesis
from hypothesis import strategies

from endivewind.decisions import ejection
from endivewind.decisions import floor

CANDIDATES = strategies.lists(
    strategies.builds(
        floor.Candidate,
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


def _slots(items, region):
    return sum(item.slots for item in items if item.region == region)


class FloorTest(unittest.TestCase):
    """Verdicts may be late, lost or wrong; capacity must not fall under them.

    If it did, the targets that are left would get the work of all and fail
    under it, and callers would see a gray failure become an outage.
    """

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(CANDIDATES, strategies.integers(1, 60))
    def test_admits_the_floor_or_all_there_is(self, candidates, slots):
        kept = floor.admitted(candidates, slots)

        for region in ("andina", "caribe"):
            existing = _slots(candidates, region)
            self.assertGreaterEqual(_slots(kept, region), min(slots, existing))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(CANDIDATES)
    def test_half_stays_where_no_floor_is_named(self, candidates):
        kept = floor.admitted(candidates, 0)

        for region in ("andina", "caribe"):
            half = _slots(candidates, region) // 2
            self.assertGreaterEqual(_slots(kept, region), half)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        CANDIDATES, strategies.integers(0, 60), strategies.randoms()
    )
    def test_every_entry_brings_back_the_same(self, candidates, slots, rng):
        shuffled = list(candidates)
        rng.shuffle(shuffled)

        self.assertEqual(
            floor.admitted(candidates, slots), floor.admitted(shuffled, slots)
        )

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(CANDIDATES, strategies.integers(0, 60))
    def test_all_normal_targets_stay(self, candidates, slots):
        kept = floor.admitted(candidates, slots)

        normal = [
            item for item in candidates if item.status is ejection.Status.NORMAL
        ]
        self.assertLessEqual(set(normal), set(kept))

    def test_brings_back_no_more_than_the_floor_and_the_least_bad(self):
        out = [
            floor.Candidate(name, "andina", "a", 3, status, badness)
            for name, status, badness in (
                ("a", ejection.Status.EJECTED, 100),
                ("b", ejection.Status.EJECTED, 30),
                ("c", ejection.Status.TRIAL, 100),
                ("d", ejection.Status.NORMAL, 0),
            )
        ]

        kept = floor.admitted(out, 9)

        self.assertEqual(["d", "c", "b"], [item.id for item in kept])
