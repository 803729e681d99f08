"""Load test: targets in need name a limit on the rate of their requests.

Each target gets five requests a second from six entry nodes. A limit holds for
all nodes together, so that no entry node can keep it on its own. It is exceeded
if some four seconds bring more than one and a half times what it allows, plus
five requests, once it has been named for four seconds.
"""

import itertools
import unittest

from endivewind.tests.loads import fleet

WINDOW_SECONDS = 4
TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5
MEASURED_SECONDS = 12
SEEDS = (1, 2, 3)
KINDS = (fleet.ORDER, fleet.LOOKUP)


def _highest_count(arrivals):
    """Returns the most arrivals in any window of WINDOW_SECONDS."""
    return max(
        sum(start <= other < start + WINDOW_SECONDS for other in arrivals)
        for start in arrivals
    )


def _allowed(limit):
    return TOLERATED_FACTOR * WINDOW_SECONDS * limit + TOLERATED_REQUESTS


def _run(seed, limits):
    """Lets targets name limits; returns the fleet after MEASURED_SECONDS."""
    simulated = fleet.Fleet(seed)
    simulated.run(4, KINDS)
    limited = simulated.rng.sample(list(simulated.targets), len(limits))
    for name, limit in zip(limited, limits, strict=True):
        simulated.targets[name].rate_limit = limit
    simulated.run(WINDOW_SECONDS, KINDS)
    simulated.stats.clear()
    for target in simulated.targets.values():
        target.arrivals.clear()
    simulated.run(MEASURED_SECONDS, KINDS)
    return simulated


class RateLimitTest(unittest.TestCase):
    def test_target_gets_no_more_than_the_limit_that_it_names(self):
        """Guards against overloading a target that says how much it takes.

        It names the limit in its responses while it has free slots, so that
        the entry nodes go on choosing it and it gets several times its limit.
        """
        for seed, limit in itertools.product(SEEDS, (0.5, 1.0, 3.6)):
            with self.subTest(seed=seed, limit=limit):
                simulated = _run(seed, (limit,) * 2)

                for target in simulated.targets.values():
                    if target.rate_limit is not None:
                        self.assertLessEqual(
                            _highest_count(target.arrivals), _allowed(limit)
                        )

    def test_limit_holds_when_the_home_restarts(self):
        """Guards against a burst at a target whose home has forgotten its limit.

        Until the first response names the limit again, the restarted home
        sends as many requests as the target has slots.
        """
        for seed, limit in itertools.product(SEEDS, (0.5, 1.0, 3.6)):
            with self.subTest(seed=seed, limit=limit):
                simulated = _run(seed, (limit,) * 2)
                for name, target in simulated.targets.items():
                    if target.rate_limit is not None:
                        simulated.restart_home(name)
                simulated.run(MEASURED_SECONDS, KINDS)

                for target in simulated.targets.values():
                    if target.rate_limit is not None:
                        self.assertLessEqual(
                            _highest_count(target.arrivals), _allowed(limit)
                        )

    def test_other_targets_serve_the_requests_above_the_limits(self):
        """Half of the targets limit themselves, and the others have room.

        A caller must not be refused, or get its response late, because its
        request was held for a target at its limit.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulated = _run(seed, (3.0,) * 6)

                for stats in simulated.stats.values():
                    self.assertLess(stats.lost_share, 0.03)
                    self.assertGreater(stats.on_time_share, 0.95)

    def test_refused_requests_say_when_to_retry(self):
        """All targets limit themselves to half of the load."""
        simulated = _run(SEEDS[0], (2.7,) * 12)

        for stats in simulated.stats.values():
            self.assertGreater(stats.refused, 0)
            self.assertEqual(0, stats.refused_without_retry_after)


if __name__ == "__main__":
    unittest.main()
