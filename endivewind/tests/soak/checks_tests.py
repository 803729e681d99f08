"""Tests that the checks find each violation and accept allowed results."""

import collections
import dataclasses
import unittest

from endivewind.soak import checks

Guarantee = checks.Guarantee
GOOD = checks.RequestRecord("w1", True, "node-0", 1.0, 2.0, 200, named="w1")


def _violations(record, runs, outages=()):
    findings = checks.check_requests(
        [record], collections.Counter({"w1": runs}), outages
    )
    return [item.guarantee for item in findings]


class RequestsTest(unittest.TestCase):
    """Checks of one request, by its result and number of runs."""

    def test_response_of_work_that_ran_once_is_accepted(self):
        self.assertEqual([], _violations(GOOD, 1))

    def test_each_violation_is_found(self):
        refused = dataclasses.replace(
            GOOD, status=503, outcome="not-run", named=""
        )
        cut = dataclasses.replace(GOOD, status=0, named="", cut=True)
        cases = (
            (GOOD, 2, Guarantee.AT_MOST_ONCE),
            (GOOD, 0, Guarantee.RESPONSE_IMPLIES_RUN),
            (refused, 1, Guarantee.NOT_RUN_IS_TRUE),
            (
                dataclasses.replace(GOOD, named="w2"),
                1,
                Guarantee.MATCHING_RESPONSE,
            ),
            (
                dataclasses.replace(GOOD, named=""),
                1,
                Guarantee.MATCHING_RESPONSE,
            ),
            (cut, 1, Guarantee.GRACEFUL_STOP),
        )
        for record, runs, guarantee in cases:
            with self.subTest(guarantee):
                self.assertEqual([guarantee], _violations(record, runs))

    def test_idempotent_work_may_run_twice(self):
        self.assertEqual(
            [], _violations(dataclasses.replace(GOOD, once=False), 2)
        )

    def test_unknown_outcome_is_accepted(self):
        unknown = dataclasses.replace(
            GOOD, status=502, outcome="unknown", named=""
        )
        for runs in (0, 1):
            self.assertEqual([], _violations(unknown, runs))

    def test_only_killed_node_may_cut_connections(self):
        cut = dataclasses.replace(GOOD, status=0, named="", cut=True)
        killed = checks.Outage("node-0", 1.5, 3.0)

        self.assertEqual([], _violations(cut, 1, [killed]))
        for outage in (
            dataclasses.replace(killed, node="node-1"),
            checks.Outage("node-0", 2.5, 3.0),
            checks.Outage("node-0", 0.2, 0.5),
        ):
            self.assertEqual(
                [Guarantee.GRACEFUL_STOP], _violations(cut, 1, [outage])
            )

    def test_broken_link_may_cut_only_streamed_responses(self):
        """A link to a home breaks while a response is streamed through it.

        The entry node must not end the response as if it were complete, so it
        closes the caller's connection. A request whose response was not
        streamed gets the outcome unknown instead.
        """
        broken = checks.Outage(checks.STREAMS_AT_ALL_NODES, 1.5, 3.0)
        cut = dataclasses.replace(GOOD, status=0, named="", cut=True)
        streamed = dataclasses.replace(cut, streamed=True)

        self.assertEqual([], _violations(streamed, 1, [broken]))
        self.assertEqual(
            [Guarantee.GRACEFUL_STOP], _violations(cut, 1, [broken])
        )
        self.assertEqual([Guarantee.GRACEFUL_STOP], _violations(streamed, 1))


class LimitsTest(unittest.TestCase):
    """Checks of the time after which nodes gave requests up."""

    def setUp(self):
        """Takes a request of two seconds and a stop with a limit of six."""
        self.deadline = checks.RequestRecord(
            "w1",
            False,
            "node-0",
            10.0,
            12.0,
            504,
            "unknown",
            reason="deadline",
            time_limit=2.0,
        )
        self.cut_short = dataclasses.replace(
            self.deadline, ended=17.0, reason="cut-short", time_limit=8.0
        )
        self.stop = checks.NodeStop("node-0", 11.0, 17.0)

    def _violations(self, record, *stops):
        findings = checks.check_limits([record], stops, 6.0)
        return [item.guarantee for item in findings]

    def test_giving_up_before_the_time_limit_is_found(self):
        """A node shortens a caller's time limit to that of other work."""
        early = dataclasses.replace(self.deadline, ended=11.98)

        self.assertEqual([], self._violations(self.deadline))
        self.assertEqual([Guarantee.TIME_LIMIT], self._violations(early))

    def test_deadline_may_be_rounded(self):
        rounded = dataclasses.replace(self.deadline, ended=11.992)

        self.assertEqual([], self._violations(rounded))

    def test_stop_does_not_excuse_giving_up_early(self):
        early = dataclasses.replace(self.deadline, ended=11.5)

        self.assertEqual(
            [Guarantee.TIME_LIMIT], self._violations(early, self.stop)
        )

    def test_refusals_for_other_reasons_may_be_early(self):
        refused = dataclasses.replace(
            self.deadline, ended=10.1, reason="busy", outcome="not-run"
        )

        self.assertEqual([], self._violations(refused))

    def test_abort_without_a_stop_at_its_limit_is_found(self):
        """A stopping node aborts requests that it should still wait for."""
        self.assertEqual([], self._violations(self.cut_short, self.stop))
        for stop in (
            dataclasses.replace(self.stop, started_at=11.1),
            dataclasses.replace(self.stop, node="node-1"),
            # The node has started again before the request was sent.
            checks.NodeStop("node-0", 1.0, 7.0),
        ):
            self.assertEqual(
                [Guarantee.STOP_LIMIT], self._violations(self.cut_short, stop)
            )
        self.assertEqual(
            [Guarantee.STOP_LIMIT], self._violations(self.cut_short)
        )

    def test_issuer_of_a_ticket_may_abort_at_its_limit(self):
        """A request with a ticket may end at another node's stop."""
        once = dataclasses.replace(self.cut_short, once=True, node="")
        late = dataclasses.replace(self.stop, started_at=11.1)

        self.assertEqual([], self._violations(once, self.stop))
        self.assertEqual([Guarantee.STOP_LIMIT], self._violations(once, late))


class RunTest(unittest.TestCase):
    def test_decreasing_version_is_found(self):
        findings = checks.check_versions({"a": [1, 2, 2, 3], "b": [2, 3, 2]})

        self.assertEqual(
            [Guarantee.NO_ROLLBACK], [item.guarantee for item in findings]
        )
        self.assertIn("b", findings[0].detail)

    def test_retries_above_budget_are_found(self):
        records = [
            dataclasses.replace(GOOD, work=f"w{number}", once=False)
            for number in range(10)
        ]
        twice = collections.Counter({item.work: 2 for item in records})

        self.assertEqual([], checks.check_retries(records, twice, 0.2, 8))
        self.assertEqual(1, len(checks.check_retries(records, twice, 0.2, 7)))
