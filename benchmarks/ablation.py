"""What each mechanism is worth in the loads of tests/loads, in virtual time.

    python benchmarks/ablation.py [SEEDS]

Each mechanism is switched off in turn and every pattern played with the same
seeds. Printed is the share of what callers could have earned (an answer within
its aim counts 1, a late one 0.3, a lost one nothing): with all mechanisms, the
mean and its spread over the seeds, and the difference without each.
"""

import collections.abc
import contextlib
import datetime
import statistics
import sys
from unittest import mock

from endivewind.callers import budgets
from endivewind.callers import gateway
from endivewind.callers import placement
from endivewind.callers import routed
from endivewind.decisions import cross_region
from endivewind.decisions import load_balancing
from endivewind.decisions import peer_updates
from endivewind.decisions import retries
from endivewind.decisions import suspicion
from endivewind.targets import slots
from endivewind.tests.loads import fleet

ORDER = fleet.Kind("order", 48.7, 0.66, 0.3, 3.0, 10.0, once=True)
CALL = fleet.Kind("call", 20, 0.16, 0.5, 0.6, 2.0, rank=0)
LOOKUP = fleet.Kind("lookup", 13.9, 0.87, 0.8, 3.0, 8.0, rank=2)
KINDS = (ORDER, CALL, LOOKUP)
SIZE = {"slots": 7, "entries_per_zone": 6, "retries": (12, 35)}
LATE_WORTH = 0.3


def _spells(seed: int) -> fleet.Fleet:
    """Three targets in ten fail most of their work, by turns."""
    played = fleet.Fleet(seed, **SIZE)
    for _ in range(3):
        sick = [
            target
            for target in played.targets.values()
            if played.rng.random() < 0.3
        ]
        for target in sick:
            target.fails = 0.9
        played.play(5, KINDS)
        for target in sick:
            target.fails = 0.012
        played.play(3, KINDS)
    return played


def _overflow(seed: int) -> fleet.Fleet:
    """A quarter is sick, and more comes than the rest can take."""
    played = fleet.Fleet(seed, **SIZE)
    played.play(3, KINDS)
    for name in played.rng.sample(list(played.targets), 3):
        played.targets[name].fails = 0.9
    played.play(5, KINDS, scale=1.8)
    return played


def _hang(seed: int) -> fleet.Fleet:
    """Two targets answer nothing, mostly."""
    played = fleet.Fleet(seed, **SIZE)
    played.play(3, KINDS)
    for name in played.rng.sample(list(played.targets), 2):
        played.targets[name].hangs = 0.6
    played.play(10, KINDS)
    return played


def _slow(seed: int) -> fleet.Fleet:
    """Two targets take five times as long."""
    played = fleet.Fleet(seed, **SIZE)
    played.play(3, KINDS)
    for name in played.rng.sample(list(played.targets), 2):
        played.targets[name].factor = 5.0
    played.play(10, KINDS)
    return played


def _power(seed: int) -> fleet.Fleet:
    """Everything starts at once."""
    played = fleet.Fleet(seed, targets_per_zone=0, **SIZE)
    for zone in fleet.ZONES:
        for number in range(fleet.TARGETS_PER_ZONE):
            seconds = played.rng.uniform(0.5, 1.5)
            played.join_later(f"{zone}-{number}", zone, seconds)
    played.play(6, KINDS)
    return played


PATTERNS = {
    "spells": _spells,
    "overflow": _overflow,
    "hang": _hang,
    "slow": _slow,
    "power": _power,
}


def _off(target: object, name: str, value: object) -> mock._patch:
    return mock.patch.object(target, name, value)


def _no_hedging(self: gateway.Gateway, call: routed.RoutedRequest) -> None:
    return None


MECHANISMS = {
    "suspicion": lambda: _off(
        suspicion.SuspicionEstimator, "observe", lambda *_: None
    ),
    "telling": lambda: _off(
        peer_updates.TargetUpdatePublisher, "due_updates", lambda *_: ()
    ),
    "probing": lambda: _off(load_balancing, "PROBE_SHARE", 0.0),
    "hedging": lambda: _off(gateway.Gateway, "_second", _no_hedging),
    "retry sharing": lambda: _off(budgets.RetryBudgets, "due", lambda self: ()),
    "sharing with the region": lambda: _off(
        peer_updates, "shares_retries_in_region", lambda others: False
    ),
    "queue at the home": lambda: _off(slots, "QUEUE_PER_SLOT", 0),
    "patience": lambda: _off(routed, "PATIENCE_SHARE", 0.0),
    "resting": lambda: _off(
        placement.Loads, "is_cooling_down", lambda self, target: False
    ),
    "told load": lambda: _off(
        placement._TargetLoad, "others_now", lambda *_: 0.0
    ),
    "care without retries": lambda: _off(retries.RetryBudget, "has_any", False),
    "refusal at half of the time": lambda: _off(gateway, "WAIT_SHARE", 1.0),
    "settling": lambda: _off(placement, "SETTLING", datetime.timedelta()),
    "crossing limit": lambda: _off(
        cross_region.CrossRegionBudget, "allows", lambda *_: True
    ),
}


def _worth(played: fleet.Fleet) -> float:
    outcomes = played.outcomes.values()
    earned = sum(item.in_aim + LATE_WORTH * item.late for item in outcomes)
    return earned / sum(item.asked for item in outcomes)


def _measure(
    pattern: collections.abc.Callable[[int], fleet.Fleet],
    seeds: range,
    without: contextlib.AbstractContextManager[object],
) -> list[float]:
    with without:
        return [_worth(pattern(seed)) for seed in seeds]


def main() -> None:
    """Prints the table."""
    number = int(sys.argv[1]) if len(sys.argv) > 1 else 6
    seeds = range(1, number + 1)
    whole = {
        name: _measure(pattern, seeds, contextlib.nullcontext())
        for name, pattern in PATTERNS.items()
    }
    print("| without | " + " | ".join(PATTERNS) + " |")
    print("| --- |" + " --- |" * len(PATTERNS))
    cells = [
        f"{statistics.mean(values):.3f} ± {statistics.stdev(values):.3f}"
        for values in whole.values()
    ]
    print("| (nothing) | " + " | ".join(cells) + " |")
    for name, off in MECHANISMS.items():
        cells = []
        for key, pattern in PATTERNS.items():
            values = _measure(pattern, seeds, off())
            difference = statistics.mean(values) - statistics.mean(whole[key])
            cells.append(f"{difference:+.3f}")
        print(f"| {name} | " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()
