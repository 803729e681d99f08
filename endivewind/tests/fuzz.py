"""Runs the fuzz test of tickets and hand-over for some minutes.

Usage: `python -m endivewind.tests.fuzz SEED MINUTES`. Rounds use the seeds
SEED, SEED+1 and so on until the time is up; a failing round prints its seed
and the steps that lead to the failure.
"""

import sys
import time

import hypothesis
from hypothesis import stateful

from endivewind.tests.proofs import at_most_once_fuzz_tests as fuzzed

EXAMPLES_PER_ROUND = 100


def main() -> int:
    """Runs rounds until the time is up or one fails."""
    seed, minutes = int(sys.argv[1]), float(sys.argv[2])
    until = time.monotonic() + minutes * 60
    rounds = 0
    while rounds == 0 or time.monotonic() < until:
        print(f"seed {seed + rounds}", flush=True)
        _run_round(seed + rounds)
        rounds += 1
    print(f"{rounds} rounds of {EXAMPLES_PER_ROUND} examples passed")
    return 0


def _run_round(seed: int) -> None:
    machine = hypothesis.seed(seed)(fuzzed.AtMostOnceMachine)
    stateful.run_state_machine_as_test(
        machine,
        settings=hypothesis.settings(
            max_examples=EXAMPLES_PER_ROUND,
            stateful_step_count=fuzzed.STEPS_PER_EXAMPLE,
            deadline=None,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


if __name__ == "__main__":
    sys.exit(main())
