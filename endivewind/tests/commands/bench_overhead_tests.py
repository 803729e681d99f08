"""Tests of the goals of the overhead benchmark, with given figures."""

import unittest

from endivewind.commands import bench_overhead as bench
from endivewind.standins import load_generator


def _figures(**across) -> dict[str, dict]:
    def path(p99_ms, per_second):
        return {
            "p99_ms": p99_ms,
            "saturation_per_second": per_second,
            "failures": 0,
        }

    return {
        bench.DIRECT: path(1.0, 9000),
        bench.ONE_HOP: path(2.0, 4000),
        bench.TWO_HOPS: path(3.0, 3000),
        bench.AT_HOME: path(2.0, 3200),
        bench.ACROSS_NODES: {**path(3.0, 2400), **across},
    }


def _missed(figures) -> set[str]:
    goals = bench.check_goals(figures)
    return {name for name, goal in goals.items() if not goal["reached"]}


class JudgeTest(unittest.TestCase):
    """Each goal is missed if only its own figure is out of bounds."""

    def test_goals_are_reached_at_limits(self):
        self.assertEqual(set(), _missed(_figures()))

    def test_more_latency_than_two_hops(self):
        self.assertEqual(
            {"across p99 added, against two hops (ms)"},
            _missed(_figures(p99_ms=3.1)),
        )

    def test_more_latency_than_allowed(self):
        self.assertIn("across p99 added (ms)", _missed(_figures(p99_ms=3.8)))

    def test_low_saturation(self):
        self.assertEqual(
            {"across saturation, share of two hops"},
            _missed(_figures(saturation_per_second=2300)),
        )

    def test_failed_request(self):
        self.assertEqual({"failures"}, _missed(_figures(failures=1)))


class SamplesTest(unittest.TestCase):
    """Percentiles of latency samples."""

    def test_percentile_is_one_of_the_samples(self):
        samples = load_generator.Samples([n / 1000 for n in range(100, 0, -1)])

        self.assertAlmostEqual(99, samples.latency_percentile_ms(99))
        self.assertAlmostEqual(50, samples.latency_percentile_ms(50))
        self.assertAlmostEqual(1, samples.latency_percentile_ms(0.1))
