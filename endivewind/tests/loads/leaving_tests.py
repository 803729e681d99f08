"""Load test: a target says in its responses that it is about to stop.

It has not announced that it is draining, and its announcements go on calling it
ready. Requests that callers send later than DRAIN_SECONDS after a response said
so must not reach it.
"""

import unittest

from endivewind.tests.loads import fleet

DRAIN_SECONDS = 2.5
SEEDS = (1, 2, 3)
KINDS = (fleet.ORDER, fleet.LOOKUP)


def _run_until_drained(seed):
    """Returns a fleet with one leaving target, and that target's name."""
    simulated = fleet.Fleet(seed)
    simulated.run(4, KINDS)
    name = simulated.rng.choice(list(simulated.targets))
    simulated.targets[name].is_leaving = True
    simulated.run(DRAIN_SECONDS, KINDS)
    simulated.targets[name].arrivals.clear()
    simulated.stats.clear()
    return simulated, name


class LeavingTargetTest(unittest.TestCase):
    def test_leaving_target_gets_no_further_requests(self):
        """Guards against losing requests at a target that stops.

        Its announcements were lost or are late, but its responses say that it
        is leaving.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulated, name = _run_until_drained(seed)

                simulated.run(6, KINDS)

                self.assertEqual([], simulated.targets[name].arrivals)
                for stats in simulated.stats.values():
                    self.assertLess(stats.lost_share, 0.03)

    def test_leaving_target_gets_no_requests_after_its_home_restarts(self):
        """Guards against a departure that only the home node remembers.

        The restarted home has forgotten it, and the target announces itself as
        ready again. Entry nodes that have passed on a response with the
        departure must not choose the target.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulated, name = _run_until_drained(seed)
                simulated.run(6, KINDS)

                simulated.restart_home(name)
                simulated.run(6, KINDS)

                self.assertEqual([], simulated.targets[name].arrivals)


if __name__ == "__main__":
    unittest.main()
