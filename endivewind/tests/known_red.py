"""Judges a test run against KNOWN-RED.txt."""

import dataclasses
import pathlib
import unittest

MAX_KNOWN_RED = 3


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What a run amounts to: lines to print, failures, and acceptance."""

    lines: tuple[str, ...]
    failed: int
    accepted: bool


def judge(result: unittest.TestResult, listing: pathlib.Path) -> Verdict:
    """Accepts failures of listed tests only; a listed pass is refused.

    Args:
      result: the finished run.
      listing: KNOWN-RED.txt; each line starts with the test's id and a colon.

    Returns:
      The verdict; at most MAX_KNOWN_RED lines may be listed.
    """
    known = _read(listing)
    failed = {_test_id(test) for test, _ in [*result.failures, *result.errors]}
    lines = [f"KNOWN RED {known[name]}" for name in sorted(failed & set(known))]
    unlisted = failed - set(known)
    lines.extend(f"FAILED {name}" for name in sorted(unlisted))
    too_many = len(known) > MAX_KNOWN_RED
    if too_many:
        lines.append(f"KNOWN-RED.txt holds over {MAX_KNOWN_RED} lines")
    accepted = not unlisted and not too_many and result.testsRun > 0
    return Verdict(tuple(lines), len(failed), accepted)


def _read(listing: pathlib.Path) -> dict[str, str]:
    if not listing.exists():
        return {}
    lines = [line.strip() for line in listing.read_text().splitlines()]
    return {line.split(":", 1)[0]: line for line in lines if line}


def _test_id(test: unittest.TestCase) -> str:
    # A failed subtest counts as its test.
    parent = getattr(test, "test_case", test)
    return str(parent.id())
