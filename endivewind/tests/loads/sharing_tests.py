"""The pattern: few requests an entry, few retries, and failures in bunches.

Six entries a zone see less than one look-up a second each. A third of the
targets fail nine requests in ten for five of every seven seconds. Retries are
six in a hundred requests and a few more, so that a zone has two or three.
"""

import collections
import unittest
from unittest import mock

from endivewind.decisions import peer_updates
from endivewind.decisions import retries
from endivewind.tests.loads import fleet

LOOKUP = fleet.Kind("lookup", 26, 0.5, 0.6, 2.0, 8.0)
SLOTS = 7
ENTRIES_PER_ZONE = 6
RETRIES = (6, 12)
SICK = 4
FAILS = 0.9
SPELLS = 4
SEEDS = range(1, 7)


def _fleet(seed):
    """A fleet that has been quiet for three seconds."""
    played = fleet.Fleet(
        seed,
        slots=SLOTS,
        entries_per_zone=ENTRIES_PER_ZONE,
        retries=RETRIES,
    )
    played.play(3, (LOOKUP,))
    played.outcomes.clear()
    return played


def _lost():
    """The share of look-ups that got no answer of use, over all seeds."""
    total = collections.Counter()
    for seed in SEEDS:
        played = _fleet(seed)
        for _ in range(SPELLS):
            sick = played.rng.sample(list(played.targets.values()), SICK)
            for target in sick:
                target.fails = FAILS
            played.play(5, (LOOKUP,))
            for target in sick:
                target.fails = 0.012
            played.play(2, (LOOKUP,))
        outcome = played.outcomes["lookup"]
        total["asked"] += outcome.asked
        total["lost"] += outcome.failed + outcome.refused
    return total["lost"] / total["asked"]


class SharingTest(unittest.TestCase):
    def test_a_zone_uses_what_the_zone_beside_it_has_left(self):
        """A look-up that failed once is lost for want of a retry.

        Over six seeds 1.2 in 100 were lost where zones share within
        themselves, 0.8 where the two zones of a region share.
        """
        with mock.patch.object(
            peer_updates, "shares_retries_in_region", lambda others: False
        ):
            before = _lost()

        self.assertLess(_lost(), 0.8 * before)


def _failed_with_half_sick():
    """The share of look-ups that failed, half of the targets being sick."""
    total = collections.Counter()
    for seed in SEEDS:
        played = _fleet(seed)
        targets = list(played.targets.values())
        for target in played.rng.sample(targets, len(targets) // 2):
            target.fails = FAILS
        played.play(8, (LOOKUP,))
        outcome = played.outcomes["lookup"]
        total["asked"] += outcome.asked
        total["failed"] += outcome.failed
    return total["failed"] / total["asked"]


class UsedUpTest(unittest.TestCase):
    def test_without_retries_look_ups_keep_away_from_doubtful_targets(self):
        """A failure is final once the retries are used up.

        Half of the targets are sick for eight seconds. Look-ups that go on as
        if they could be tried again fail at doubtful targets; as retries run
        out they are placed as carefully as orders.
        """
        with mock.patch.object(retries.RetryBudget, "has_any", False):
            before = _failed_with_half_sick()

        self.assertLess(_failed_with_half_sick(), 0.75 * before)


if __name__ == "__main__":
    unittest.main()
