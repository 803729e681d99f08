"""Load test: an outage in which all nodes want more retries than they may make.

Eight nodes of a region get two requests a second each. From one moment on every
request fails, and each node retries as often as its budget allows. The bound
is a fifth of the requests and three retries for each node, in every window.
"""

import datetime
import unittest

from endivewind.tests.loads import retry_bound

SECOND = datetime.timedelta(seconds=1)
SEEDS = (1, 2)
OUTAGE = 12 * SECOND
# Times between the begin of an outage and that of a step of the window.
PHASES = (0 * SECOND, 0.24 * SECOND, 0.4 * SECOND)


class RetryBoundTest(unittest.TestCase):
    def test_outage_that_begins_everywhere_at_once(self):
        """Guards against nodes that spend the same retries, or spend them twice.

        All nodes borrow in the same moment, before any has heard of the others'
        retries. What is spent at the end of a step of the window is spent again
        9.5 seconds later if the step expires as a whole.
        """
        for seed in SEEDS:
            for phase in PHASES:
                with self.subTest(seed=seed, phase=phase):
                    fleet = retry_bound.Fleet(seed)
                    fleet.run(phase)
                    fleet.run(OUTAGE, is_outage=True)

                    self._check(fleet)

    def test_nodes_that_hear_nothing_of_each_other(self):
        """Guards against retries that several nodes take for unspent.

        All messages between nodes are lost, as when datagrams are blocked.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = retry_bound.Fleet(seed, message_loss=1.0)
                fleet.run(OUTAGE, is_outage=True)

                self._check(fleet)

    def test_nodes_restart_in_turn_during_an_outage(self):
        """Guards against retries that a restarted node has forgotten."""
        for seed in SEEDS:
            for rounds in (1, 3):
                stops = [
                    ((2.2 * turn + 0.2 * number + 0.3) * SECOND, number)
                    for turn in range(rounds)
                    for number in range(8)
                ]
                with self.subTest(seed=seed, rounds=rounds):
                    fleet = retry_bound.Fleet(seed)
                    fleet.run(OUTAGE, is_outage=True, stops=stops)

                    self._check(fleet)

    def test_nodes_are_replaced_by_others_during_an_outage(self):
        """Guards against retries of nodes that others have replaced.

        A node with a new name has restarted nothing, but the retries of the one
        in whose place it starts still count.
        """
        for seed in SEEDS:
            for rounds in (1, 3):
                stops = [
                    ((3.3 * turn + 0.3) * SECOND, number)
                    for turn in range(rounds)
                    for number in range(turn % 2, 8, 2)
                ]
                with self.subTest(seed=seed, rounds=rounds):
                    fleet = retry_bound.Fleet(seed)
                    fleet.run(
                        OUTAGE,
                        is_outage=True,
                        stops=stops,
                        replaces_nodes=True,
                    )

                    self._check(fleet)

    def _check(self, fleet):
        self.assertLessEqual(fleet.max_excess(), 0)
        # A budget that allows no retries at all would pass the check above.
        allowed = 0.2 * len(fleet.request_times)
        self.assertGreater(len(fleet.retry_times), 0.5 * allowed)


if __name__ == "__main__":
    unittest.main()
