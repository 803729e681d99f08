"""Tests of the comparison of a page with measured figures."""

import unittest

from endivewind.commands import bench_control

PAGE = """
| nodes | targets | CPU % | RSS MB | bytes/s |
| --- | --- | --- | --- | --- |
| 50 | 800 | 1.0 | 80.0 | 4,000 |
"""


def _report(cpu=1.0, rss=80.0, gossip=300.0):
    load = bench_control.NodeLoad(cpu, rss, gossip, 500.0, 3200.0)
    return bench_control.SizeReport(50, 800, 1.0, load, 0.5)


class CompareTest(unittest.TestCase):
    """Comparison with a page of one row, and fitted slopes."""

    def test_equal_figures_are_no_difference(self):
        self.assertEqual([], bench_control.find_differences(PAGE, [_report()]))

    def test_each_difference_is_reported(self):
        found = bench_control.find_differences(
            PAGE, [_report(2.0, 95.0, 3000.0)]
        )
        self.assertEqual(3, len(found))
        self.assertIn("cpu: page 1.0, measured 2.00", found[0])

    def test_missing_row_is_reported(self):
        found = bench_control.find_differences("nothing", [_report()])
        self.assertEqual(["the page has no row for (50, 800)"], found)

    def test_slopes_are_linear_in_number_of_nodes(self):
        small = bench_control.SizeReport(
            10,
            160,
            1.0,
            bench_control.NodeLoad(1.0, 50.0, 100.0, 0.0, 0.0),
            0.5,
        )
        large = bench_control.SizeReport(
            110,
            1760,
            1.0,
            bench_control.NodeLoad(2.0, 60.0, 100.0, 0.0, 0.0),
            0.5,
        )
        found = bench_control.fit_slopes([small, large])
        self.assertEqual({"at_0": 49.0, "per_node": 0.1}, found["rss_mb"])
        self.assertEqual(0.01, found["cpu_percent"]["per_node"])


if __name__ == "__main__":
    unittest.main()
