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


if __name__ == "__main__":
    unittest.main()
