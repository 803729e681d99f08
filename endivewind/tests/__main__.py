"""Runs every test class of `*_tests.py` and prints one closing line.

Classes run side by side in a few processes: most of the time of a test with
real processes is their start. A name on the command line is run here alone.
"""

import collections.abc
import concurrent.futures
import importlib
import inspect
import io
import pathlib
import sys
import time
import unittest

from endivewind.tests import known_red

_ROOT = pathlib.Path(__file__).resolve().parents[2]
WORKERS = 6


def main() -> int:
    """Runs the tests named on the command line, or all of them."""
    names = sys.argv[1:]
    if names:
        reports = [run(name) for name in names]
    else:
        with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
            reports = list(pool.map(run, classes()))
    return _close(reports)


def classes() -> collections.abc.Iterator[str]:
    """Dotted names of all test classes, those with real processes first."""
    tests = _ROOT / "endivewind" / "tests"
    files = sorted(tests.rglob("*_tests.py"), key=_slow_first)
    for file in files:
        module = ".".join(file.relative_to(_ROOT).with_suffix("").parts)
        found = [f"{module}.{name}" for name in _class_names(module)]
        # A module without any class is run, and refused for its emptiness.
        yield from found or [module]


def run(name: str) -> known_red.Report:
    """Runs one class, module or test and reports on it."""
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


def _class_names(module: str) -> list[str]:
    members = vars(importlib.import_module(module)).values()
    return [
        item.__name__
        for item in members
        if inspect.isclass(item)
        and issubclass(item, unittest.TestCase)
        and item.__module__ == module
        and unittest.defaultTestLoader.getTestCaseNames(item)
    ]


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
