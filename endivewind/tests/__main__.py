"""Runs every test module (`*_tests.py`) and prints one closing line.

Modules run side by side in a few processes: most of the time of a test with
real processes is their start. A name on the command line is run here alone.
"""

import collections.abc
import concurrent.futures
import io
import pathlib
import sys
import time
import unittest

from endivewind.tests import known_red

_ROOT = pathlib.Path(__file__).resolve().parents[2]
WORKERS = 4


def main() -> int:
    """Runs the tests named on the command line, or all of them."""
    names = sys.argv[1:]
    if names:
        reports = [run_module(name) for name in names]
    else:
        with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
            reports = list(pool.map(run_module, modules()))
    return _close(reports)


def modules() -> collections.abc.Iterator[str]:
    """Dotted names of all test modules, those with real processes first."""
    tests = _ROOT / "endivewind" / "tests"
    files = sorted(tests.rglob("*_tests.py"), key=_slow_first)
    for file in files:
        yield ".".join(file.relative_to(_ROOT).with_suffix("").parts)


def run_module(name: str) -> known_red.Report:
    """Runs one module, class or test and reports on it."""
    output = io.StringIO()
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    started = time.monotonic()
    result = unittest.TextTestRunner(output).run(suite)
    return known_red.Report(
        name=name,
        ran=result.testsRun,
        failed=known_red.failed_tests(result),
        skipped=len(result.skipped),
        seconds=time.monotonic() - started,
        output=output.getvalue(),
    )


def _slow_first(file: pathlib.Path) -> tuple[bool, str]:
    return (file.parent.name != "proofs", str(file))


def _close(reports: list[known_red.Report]) -> int:
    for report in reports:
        if report.failed:
            print(report.output)
        print(f"{report.seconds:7.1f} s  {report.ran:4}  {report.name}")
    verdict = known_red.judge(reports, _ROOT / "KNOWN-RED.txt")
    for line in verdict.lines:
        print(line)
    print(f"{verdict.passed} passed, {verdict.failed} failed")
    return 0 if verdict.accepted else 1


if __name__ == "__main__":
    sys.exit(main())
