"""Runs every test module (`*_tests.py`) and prints one closing line."""

import pathlib
import sys
import unittest

from endivewind.tests import known_red

_ROOT = pathlib.Path(__file__).resolve().parents[2]


def main() -> int:
    """Runs the tests named on the command line, or all of them."""
    loader = unittest.TestLoader()
    names = sys.argv[1:]
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(
            str(_ROOT / "endivewind" / "tests"),
            pattern="*_tests.py",
            top_level_dir=str(_ROOT),
        )
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    verdict = known_red.judge(result, _ROOT / "KNOWN-RED.txt")
    for line in verdict.lines:
        print(line)
    passed = result.testsRun - verdict.failed - len(result.skipped)
    print(f"{passed} passed, {verdict.failed} failed")
    return 0 if verdict.accepted else 1


if __name__ == "__main__":
    sys.exit(main())
