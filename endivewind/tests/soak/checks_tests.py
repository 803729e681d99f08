"""The soak's checks find each broken promise, and pass what is allowed."""

import collections
import dataclasses
import unittest

from endivewind.soak import checks

Promise = checks.Promise
GOOD = checks.Told("w1", True, "node-0", 1.0, 2.0, 200, named="w1")


def _promises(told, runs, outages=()):
    found = checks.of_requests(
        [told], collections.Counter({"w1": runs}), outages
    )
    return [item.promise for item in found]


class RequestsTest(unittest.TestCase):
    """One request, by what its caller was told and how often it ran."""

    def test_an_answer_of_work_that_ran_once_is_right(self):
        self.assertEqual([], _promises(GOOD, 1))

    def test_each_broken_promise_is_found(self):
        refused = dataclasses.replace(
            GOOD, status=503, outcome="not-run", named=""
        )
        cut = dataclasses.replace(GOOD, status=0, named="", cut=True)
        cases = (
            (GOOD, 2, Promise.ONCE),
            (GOOD, 0, Promise.ANSWERED),
            (refused, 1, Promise.NOT_RUN),
            (dataclasses.replace(GOOD, named="w2"), 1, Promise.OWN),
            (dataclasses.replace(GOOD, named=""), 1, Promise.OWN),
            (cut, 1, Promise.STOPS),
        )
        for told, runs, promise in cases:
            with self.subTest(promise):
                self.assertEqual([promise], _promises(told, runs))

    def test_what_may_repeat_may_run_twice(self):
        self.assertEqual(
            [], _promises(dataclasses.replace(GOOD, once=False), 2)
        )

    def test_not_knowing_is_no_fault(self):
        unknown = dataclasses.replace(
            GOOD, status=502, outcome="unknown", named=""
        )
        for runs in (0, 1):
            self.assertEqual([], _promises(unknown, runs))

    def test_a_killed_node_may_cut_and_another_may_not(self):
        cut = dataclasses.replace(GOOD, status=0, named="", cut=True)
        killed = checks.Outage("node-0", 1.5, 3.0)

        self.assertEqual([], _promises(cut, 1, [killed]))
        for outage in (
            dataclasses.replace(killed, node="node-1"),
            checks.Outage("node-0", 2.5, 3.0),
            checks.Outage("node-0", 0.2, 0.5),
        ):
            self.assertEqual([Promise.STOPS], _promises(cut, 1, [outage]))

    def test_a_broken_link_may_cut_a_stream_and_nothing_else(self):
        """A home's link breaks while an answer comes through it in parts.

        The entry must not end the answer as if it were whole, so it cuts its
        caller. One that did not come in parts is answered as unknown instead.
        """
        broken = checks.Outage(checks.ANY, 1.5, 3.0)
        cut = dataclasses.replace(GOOD, status=0, named="", cut=True)
        streamed = dataclasses.replace(cut, streamed=True)

        self.assertEqual([], _promises(streamed, 1, [broken]))
        self.assertEqual([Promise.STOPS], _promises(cut, 1, [broken]))
        self.assertEqual([Promise.STOPS], _promises(streamed, 1))


class OthersTest(unittest.TestCase):
    def test_a_version_that_falls_is_found(self):
        found = checks.of_versions({"a": [1, 2, 2, 3], "b": [2, 3, 2]})

        self.assertEqual([Promise.REVERTED], [item.promise for item in found])
        self.assertIn("b", found[0].detail)

    def test_retries_above_the_budget_are_found(self):
        told = [
            dataclasses.replace(GOOD, work=f"w{number}", once=False)
            for number in range(10)
        ]
        twice = collections.Counter({item.work: 2 for item in told})

        self.assertEqual([], checks.of_retries(told, twice, 0.2, 8))
        self.assertEqual(1, len(checks.of_retries(told, twice, 0.2, 7)))
