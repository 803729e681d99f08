"""Judges a test run against KNOWN-RED.txt."""

import collections.abc
import dataclasses
import pathlib
import unittest

MAX_KNOWN_RED = 3


@dataclasses.dataclass(frozen=True)
class Report:
    """What running one module came to.

    Attributes:
      name: dotted name of what was run.
      ran: tests run.
      failed: ids of the tests that failed.
      skipped: tests skipped.
      seconds: time it took.
      output: what the runner printed.
    """

    name: str
    ran: int
    failed: frozenset[str]
    skipped: int
    seconds: float
    output: str


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What a run amounts to: lines to print, counts, and acceptance."""

    lines: tuple[str, ...]
    passed: int
    failed: int
    accepted: bool


def failed_tests(result: unittest.TestResult) -> frozenset[str]:
    """Ids of the tests that failed; a failed subtest counts as its test."""
    pairs = [*result.failures, *result.errors]
    failed = {_test_id(test) for test, _ in pairs}
    failed |= {_test_id(test) for test in result.unexpectedSuccesses}
    return frozenset(failed)


def keep(report: Report, directory: pathlib.Path) -> pathlib.Path:
    """Writes the output of a failed run into a file of its own.

    Args:
      report: what failed.
      directory: where the files of failures are; made if it is missing.

    Returns:
      The new file; one of an earlier failure stays as it is.
    """
    directory.mkdir(parents=True, exist_ok=True)
    earlier = len(list(directory.glob(f"{report.name}.*.txt")))
    path = directory / f"{report.name}.{earlier}.txt"
    path.write_text(report.output)
    return path


def judge(
    reports: collections.abc.Sequence[Report], listing: pathlib.Path
) -> Verdict:
    """Accepts failures of listed tests only.

    Args:
      reports: the finished modules.
      listing: KNOWN-RED.txt; each line starts with the test's id and a colon.

    Returns:
      The verdict; at most MAX_KNOWN_RED lines may be listed.
    """
    known = _read(listing)
    failed = frozenset().union(*(report.failed for report in reports))
    lines = [f"KNOWN RED {known[name]}" for name in sorted(failed & set(known))]
    unlisted = failed - set(known)
    lines.extend(f"FAILED {name}" for name in sorted(unlisted))
    too_many = len(known) > MAX_KNOWN_RED
    if too_many:
        lines.append(f"KNOWN-RED.txt holds over {MAX_KNOWN_RED} lines")
    empty = [report.name for report in reports if not report.ran]
    lines.extend(f"NO TESTS in {name}" for name in empty)
    ran = sum(report.ran - report.skipped for report in reports)
    accepted = bool(ran) and not (unlisted or too_many or empty)
    return Verdict(tuple(lines), ran - len(failed), len(failed), accepted)


def _read(listing: pathlib.Path) -> dict[str, str]:
    if not listing.exists():
        return {}
    lines = [line.strip() for line in listing.read_text().splitlines()]
    return {line.split(":", 1)[0]: line for line in lines if line}


def _test_id(test: unittest.TestCase) -> str:
    parent = getattr(test, "test_case", test)
    return str(parent.id())
