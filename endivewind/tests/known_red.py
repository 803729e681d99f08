"""Decides whether a test run passes, given the known failures.

KNOWN-RED.txt lists tests that may fail. Called by `python -m endivewind.tests`.
"""

import collections.abc
import dataclasses
import pathlib
import unittest

MAX_KNOWN_RED = 3


@dataclasses.dataclass(frozen=True)
class Report:
    """Results of running one test class, module or test.

    Attributes:
      name: dotted name of what was run.
      ran: number of tests run.
      failed: ids of the tests that failed.
      skipped: number of tests skipped.
      seconds: duration.
      output: output of the test runner.
    """

    name: str
    ran: int
    failed: frozenset[str]
    skipped: int
    seconds: float
    output: str


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Result of a run.

    Attributes:
      lines: lines to print.
      passed: number of tests that passed.
      failed: number of tests that failed, known failures included.
      accepted: whether the run counts as passed.
    """

    lines: tuple[str, ...]
    passed: int
    failed: int
    accepted: bool


def failed_tests(result: unittest.TestResult) -> frozenset[str]:
    """Returns ids of the tests that failed; a failed subtest fails its test."""
    pairs = [*result.failures, *result.errors]
    failed = {_test_id(test) for test, _ in pairs}
    failed |= {_test_id(test) for test in result.unexpectedSuccesses}
    return frozenset(failed)


def save_output(report: Report, directory: pathlib.Path) -> pathlib.Path:
    """Writes the output of a failed run to a new file.

    Args:
      report: the failed run.
      directory: directory of these files; created if missing.

    Returns:
      Path of the new file; files of earlier failures are kept.
    """
    directory.mkdir(parents=True, exist_ok=True)
    earlier = len(list(directory.glob(f"{report.name}.*.txt")))
    path = directory / f"{report.name}.{earlier}.txt"
    path.write_text(report.output)
    return path


def judge(
    reports: collections.abc.Sequence[Report], listing: pathlib.Path
) -> Verdict:
    """Accepts a run if only listed tests failed.

    A run is refused as well if a module has no tests, or if more than
    MAX_KNOWN_RED tests are listed.

    Args:
      reports: reports of all that was run.
      listing: KNOWN-RED.txt; each line starts with the test's id and a colon.

    Returns:
      The verdict.
    """
    known = _read_listing(listing)
    failed = frozenset().union(*(report.failed for report in reports))
    lines = [f"KNOWN RED {known[name]}" for name in sorted(failed & set(known))]
    unlisted = failed - set(known)
    lines.extend(f"FAILED {name}" for name in sorted(unlisted))
    too_many = len(known) > MAX_KNOWN_RED
    if too_many:
        lines.append(f"KNOWN-RED.txt holds over {MAX_KNOWN_RED} lines")
    without_tests = [report.name for report in reports if not report.ran]
    lines.extend(f"NO TESTS in {name}" for name in without_tests)
    ran = sum(report.ran - report.skipped for report in reports)
    accepted = bool(ran) and not (unlisted or too_many or without_tests)
    return Verdict(tuple(lines), ran - len(failed), len(failed), accepted)


def _read_listing(listing: pathlib.Path) -> dict[str, str]:
    if not listing.exists():
        return {}
    lines = [line.strip() for line in listing.read_text().splitlines()]
    return {line.split(":", 1)[0]: line for line in lines if line}


def _test_id(test: unittest.TestCase) -> str:
    parent = getattr(test, "test_case", test)
    return str(parent.id())
