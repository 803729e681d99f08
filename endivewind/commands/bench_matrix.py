"""endivewind-bench matrix: every fault at every step of an exchange.

An exchange is one request on its way from the caller through the nodes to a
target, and its response. Runs single faults, and pairs with --pairs. Each case compares the results
that callers received with what ran. It is deterministic and uses no network.
"""

import dataclasses

from absl import flags

from endivewind import exceptions
from endivewind.commands import options
from endivewind.standins import fault_matrix

USAGE = "matrix [--pairs] [--format=json]"

_PAIRS = flags.DEFINE_boolean(
    "pairs", False, "Also run pairs of faults at two different steps."
)
flags.declare_key_flag("format")

_MAX_SHOWN_FAILURES = 20


def main(arguments: list[str]) -> int:
    """Runs the matrix; returns 1 if a case violated a guarantee."""
    if arguments:
        raise exceptions.UsageError(f"usage: endivewind-bench {USAGE}")
    runs = {
        "single faults": fault_matrix.run_matrix(fault_matrix.single_faults())
    }
    if _PAIRS.value:
        runs["pairs"] = fault_matrix.run_matrix(fault_matrix.fault_pairs())
    report = {name: _to_json(outcome) for name, outcome in runs.items()}
    options.print_result(
        report, "\n".join(_format_result(*item) for item in runs.items())
    )
    return 1 if any(outcome.red for outcome in runs.values()) else 0


def _to_json(outcome: fault_matrix.MatrixResult) -> dict[str, object]:
    return {
        **dataclasses.asdict(outcome),
        "red": len(outcome.red),
        "passed": outcome.cells - len(outcome.red),
        "red_cells": outcome.red,
    }


def _format_result(name: str, outcome: fault_matrix.MatrixResult) -> str:
    passed = outcome.cells - len(outcome.red)
    lines = [
        f"{name}: {outcome.cells} cases, {passed} passed, "
        f"{len(outcome.red)} failed, {outcome.unreached} with a fault that "
        "was not triggered"
    ]
    return "\n".join([*lines, *outcome.red[:_MAX_SHOWN_FAILURES]])
