"""Runs every test class of `*_tests.py` and prints a summary line.

Classes run in parallel in a few processes, since tests with real processes
spend most of their time on starting them. Names given on the command line run
in this process, one after the other. The output of a failed class is saved in
`target/failed`, with the last log lines of the process that it waited for, so
that a failure that occurs only once can be investigated.
"""

import sys

from endivewind.tests import known_red
from endivewind.tests import runner

FAILURES_DIRECTORY = "target/failed"


def main() -> int:
    """Runs the tests named on the command line, or all of them."""
    names = sys.argv[1:]
    if names:
        return _print_summary([runner.run(name) for name in names])
    return _print_summary(
        runner.run_in_processes(list(runner.find_test_classes()))
    )


def _print_summary(reports: list[known_red.Report]) -> int:
    for report in reports:
        if report.failed:
            print(report.output)
            print(
                f"kept: {known_red.save_output(report, runner.ROOT / FAILURES_DIRECTORY)}"
            )
        print(f"{report.seconds:7.1f} s  {report.ran:4}  {report.name}")
    verdict = known_red.judge(reports, runner.ROOT / "KNOWN-RED.txt")
    for line in verdict.lines:
        print(line)
    print(f"{verdict.passed} passed, {verdict.failed} failed")
    return 0 if verdict.accepted else 1


if __name__ == "__main__":
    sys.exit(main())
