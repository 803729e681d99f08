"""Ablation study: the value of each mechanism, in virtual time.

    python benchmarks/ablation.py [SEEDS]

Switches off one mechanism at a time and runs each load pattern with the same
seeds on the simulated fleet of tests/loads. Prints a table of scores. The score
of a run is the mean value of its requests: 1 for a response within the latency
objective, 0.3 for a later one, and 0 without a useful response. The first row
has the mean and standard deviation over the seeds with all mechanisms on, each
other row the difference without one mechanism.
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
from endivewind.callers import routed_request
from endivewind.decisions import cross_region
from endivewind.decisions import load_balancing
from endivewind.decisions import peer_updates
from endivewind.decisions import retry_budget
from endivewind.decisions import suspicion
from endivewind.targets import slots
from endivewind.tests.loads import fleet

ORDER = fleet.RequestKind("order", 48.7, 0.66, 0.3, 3.0, 10.0, is_non_idempotent=True)
CALL = fleet.RequestKind("call", 20, 0.16, 0.5, 0.6, 2.0, rank=0)
LOOKUP = fleet.RequestKind("lookup", 13.9, 0.87, 0.8, 3.0, 8.0, rank=2)
KINDS = (ORDER, CALL, LOOKUP)
FLEET_OPTIONS = {"slots": 7, "entries_per_zone": 6, "retries": (12, 35)}
LATE_VALUE = 0.3


def _gray_failures(seed: int) -> fleet.Fleet:
    """Three targets in ten fail most of their requests, in turns."""
    simulated = fleet.Fleet(seed, **FLEET_OPTIONS)
    for _ in range(3):
        unhealthy = [
            target
            for target in simulated.targets.values()
            if simulated.rng.random() < 0.3
        ]
        for target in unhealthy:
            target.failure_share = 0.9
        simulated.run(5, KINDS)
        for target in unhealthy:
            target.failure_share = 0.012
        simulated.run(3, KINDS)
    return simulated


def _overload(seed: int) -> fleet.Fleet:
    """A quarter is unhealthy, and the load exceeds the rest's capacity."""
    simulated = fleet.Fleet(seed, **FLEET_OPTIONS)
    simulated.run(3, KINDS)
    for name in simulated.rng.sample(list(simulated.targets), 3):
        simulated.targets[name].failure_share = 0.9
    simulated.run(5, KINDS, scale=1.8)
    return simulated


def _hanging_targets(seed: int) -> fleet.Fleet:
    """Two targets never respond to most requests."""
    simulated = fleet.Fleet(seed, **FLEET_OPTIONS)
    simulated.run(3, KINDS)
    for name in simulated.rng.sample(list(simulated.targets), 2):
        simulated.targets[name].hang_share = 0.6
    simulated.run(10, KINDS)
    return simulated


def _slow_targets(seed: int) -> fleet.Fleet:
    """Two targets take five times as long for each request."""
    simulated = fleet.Fleet(seed, **FLEET_OPTIONS)
    simulated.run(3, KINDS)
    for name in simulated.rng.sample(list(simulated.targets), 2):
        simulated.targets[name].slowdown = 5.0
    simulated.run(10, KINDS)
    return simulated


def _cold_start(seed: int) -> fleet.Fleet:
    """All targets start at about the same time."""
    simulated = fleet.Fleet(seed, targets_per_zone=0, **FLEET_OPTIONS)
    for zone in fleet.ZONES:
        for number in range(fleet.TARGETS_PER_ZONE):
            seconds = simulated.rng.uniform(0.5, 1.5)
            simulated.schedule_join(f"{zone}-{number}", zone, seconds)
    simulated.run(6, KINDS)
    return simulated


PATTERNS = {
    "gray failures": _gray_failures,
    "overload": _overload,
    "hanging targets": _hanging_targets,
    "slow targets": _slow_targets,
    "cold start": _cold_start,
}


def _disable(target: object, name: str, value: object) -> mock._patch:
    return mock.patch.object(target, name, value)


def _no_hedging(self: gateway.Gateway, call: routed_request.RoutedRequest) -> None:
    return None


MECHANISMS = {
    "suspicion": lambda: _disable(
        suspicion.SuspicionEstimator, "observe", lambda *_: None
    ),
    "target updates": lambda: _disable(
        peer_updates.TargetUpdatePublisher, "take_due_updates", lambda *_: ()
    ),
    "probing": lambda: _disable(load_balancing, "PROBE_SHARE", 0.0),
    "hedging": lambda: _disable(gateway.Gateway, "_hedge_attempt", _no_hedging),
    "retry sharing": lambda: _disable(budgets.RetryBudgets, "take_due_updates", lambda self: ()),
    "retry sharing in the region": lambda: _disable(
        peer_updates, "shares_retries_in_region", lambda others: False
    ),
    "queue at the home node": lambda: _disable(slots, "QUEUE_LENGTH_PER_SLOT", 0),
    "waiting for slots": lambda: _disable(routed_request, "MAX_WAIT_SHARE", 0.0),
    "cooldown": lambda: _disable(
        placement.TargetLoads, "is_cooling_down", lambda self, target: False
    ),
    "reported load": lambda: _disable(
        placement._TargetLoad, "remaining_peer_load", lambda *_: 0.0
    ),
    "caution without retries": lambda: _disable(
        retry_budget.RetryBudget, "allows_retries", False
    ),
    "early refusal": lambda: _disable(gateway, "MAX_QUEUE_TIME_SHARE", 1.0),
    "discovery time": lambda: _disable(placement, "DISCOVERY_TIME", datetime.timedelta()),
    "cross-region limit": lambda: _disable(
        cross_region.CrossRegionBudget, "allows", lambda *_: True
    ),
}


def _score(simulated: fleet.Fleet) -> float:
    outcomes = simulated.stats.values()
    value = sum(item.on_time + LATE_VALUE * item.late for item in outcomes)
    return value / sum(item.request_count for item in outcomes)


def _measure(
    pattern: collections.abc.Callable[[int], fleet.Fleet],
    seeds: range,
    patch: contextlib.AbstractContextManager[object],
) -> list[float]:
    with patch:
        return [_score(pattern(seed)) for seed in seeds]


def main() -> None:
    """Prints the table of scores."""
    seed_count = int(sys.argv[1]) if len(sys.argv) > 1 else 6
    seeds = range(1, seed_count + 1)
    with_all = {
        name: _measure(pattern, seeds, contextlib.nullcontext())
        for name, pattern in PATTERNS.items()
    }
    print("| without | " + " | ".join(PATTERNS) + " |")
    print("| --- |" + " --- |" * len(PATTERNS))
    cells = [
        f"{statistics.mean(values):.3f} ± {statistics.stdev(values):.3f}"
        for values in with_all.values()
    ]
    print("| (nothing) | " + " | ".join(cells) + " |")
    for name, patch in MECHANISMS.items():
        cells = []
        for key, pattern in PATTERNS.items():
            values = _measure(pattern, seeds, patch())
            difference = statistics.mean(values) - statistics.mean(
                with_all[key]
            )
            cells.append(f"{difference:+.3f}")
        print(f"| {name} | " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()
