"""Runs every test class of `*_tests.py` and prints one closing line.

Classes run side by side in a few processes: most of the time of a test with
real processes is their start. A name on the command line is run here alone.
What failed leaves its output in `target/failed`, with the last log lines of
the process that was waited for: a failure seen once can be traced.
"""

import sys

from endivewind.tests import known_red
from endivewind.tests import runner

KEPT = "target/failed"


def main() -> int:
    """Runs the tests named on the command line, or all of them."""
    names = sys.argv[1:]
    if names:
        return _close([runner.run(name) for name in names])
    return _close(runner.run_apart(list(runner.classes())))


def _close(reports: list[known_red.Report]) -> int:
    for report in reports:
        if report.failed:
            print(report.output)
            print(f"kept: {known_red.keep(report, runner.ROOT / KEPT)}")
        print(f"{report.seconds:7.1f} s  {report.ran:4}  {report.name}")
    verdict = known_red.judge(reports, runner.ROOT / "KNOWN-RED.txt")
    for line in verdict.lines:
        print(line)
    print(f"{verdict.passed} passed, {verdict.failed} failed")
    return 0 if verdict.accepted else 1


if __name__ == "__main__":
    sys.exit(main())
