"""Measures how evenly targets of unequal speed are used, in virtual time.

Run from the root of the repository:

    python benchmarks/uneven_targets.py on|off [ENTRIES [LOAD [MIX [SEED]]]]

Prints one JSON object per run: the highest and the lowest utilization of a
target, and the highest number of requests, as multiples of the mean.
"""

import json
import sys
import time

from endivewind.tests.loads import uneven_targets


def main(arguments: list[str]) -> None:
    """Runs all combinations, or those that the arguments select."""
    measured = arguments[0] == "on"
    sizes = [int(arguments[1])] if arguments[1:] else [24, 96]
    loads = [float(arguments[2])] if arguments[2:] else [0.5, 0.8, 1.0]
    mixes = [arguments[3]] if arguments[3:] else list(uneven_targets.MIXES)
    seed = int(arguments[4]) if arguments[4:] else 1
    for entries in sizes:
        for load in loads:
            for mix in mixes:
                started = time.perf_counter()
                result = uneven_targets.run(
                    mix, entries, load, measured=measured, seed=seed
                )
                print(
                    json.dumps(
                        {
                            "measured": measured,
                            "entries": entries,
                            "load": load,
                            "mix": mix,
                            "seed": seed,
                            **result.figures(),
                            "run_s": round(time.perf_counter() - started, 1),
                        }
                    ),
                    flush=True,
                )


if __name__ == "__main__":
    main(sys.argv[1:])
