"""Finds test classes and runs each in a separate process."""

import collections.abc
import concurrent.futures
import importlib
import inspect
import io
import multiprocessing
import pathlib
import time
import unittest

from endivewind.tests import known_red

ROOT = pathlib.Path(__file__).resolve().parents[2]
WORKER_COUNT = 6


def run_in_processes(names: list[str]) -> list[known_red.Report]:
    """Runs each class in a separate process, a few at a time.

    Hypothesis draws constants that it finds in the modules loaded so far. In a
    process that has run other classes, the examples of a test would depend on
    which classes those were, and the test could fail in some runs only.
    """
    with concurrent.futures.ProcessPoolExecutor(
        WORKER_COUNT,
        mp_context=multiprocessing.get_context("spawn"),
        max_tasks_per_child=1,
    ) as pool:
        return list(pool.map(run, names))


def find_test_classes() -> collections.abc.Iterator[str]:
    """Yields names of all test classes, those with real processes first."""
    tests = ROOT / "endivewind" / "tests"
    files = sorted(tests.rglob("*_tests.py"), key=_slow_first)
    for file in files:
        module = ".".join(file.relative_to(ROOT).with_suffix("").parts)
        found = [f"{module}.{name}" for name in _class_names(module)]
        # A module without test classes is run as a whole, so that its report
        # shows no tests and the run is refused.
        yield from found or [module]


def run(name: str) -> known_red.Report:
    """Runs one class, module or test and returns its report."""
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
