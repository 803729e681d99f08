"""endivewind-bench matrix: every fault at every step of an exchange.

Single faults, or pairs with --pairs; each cell asserts what callers were told
against what ran. It needs no network and gives the same verdict every time.
"""

import dataclasses

from absl import flags

from endivewind import exceptions
from endivewind.commands import options
from endivewind.standins import matrix

USAGE = "matrix [--pairs] [--format=json]"

_PAIRS = flags.DEFINE_boolean(
    "pairs", False, "Two faults at two different steps as well."
)
flags.declare_key_flag("format")

_MOST_SHOWN = 20


def main(arguments: list[str]) -> int:
    """Runs the matrix; 1 if a cell broke a promise."""
    if arguments:
        raise exceptions.UsageError(f"usage: endivewind-bench {USAGE}")
    runs = {"single faults": matrix.run(matrix.singles())}
    if _PAIRS.value:
        runs["pairs"] = matrix.run(matrix.pairs())
    report = {name: _figures(outcome) for name, outcome in runs.items()}
    options.show(report, "\n".join(_text(*item) for item in runs.items()))
    return 1 if any(outcome.red for outcome in runs.values()) else 0


def _figures(outcome: matrix.Outcome) -> dict[str, object]:
    return {
        **dataclasses.asdict(outcome),
        "red": len(outcome.red),
        "passed": outcome.cells - len(outcome.red),
        "red_cells": outcome.red,
    }


def _text(name: str, outcome: matrix.Outcome) -> str:
    passed = outcome.cells - len(outcome.red)
    lines = [
        f"{name}: {outcome.cells} cells, {passed} passed, "
        f"{len(outcome.red)} red, {outcome.unreached} with a fault that the "
        "other fault kept from coming"
    ]
    return "\n".join([*lines, *outcome.red[:_MOST_SHOWN]])
