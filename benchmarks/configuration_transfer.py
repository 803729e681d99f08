"""Whole objects against deltas over a snapshot, for configuration.

The delta is the list of changed values with their paths, over a parent named
by its fingerprint; a chain holds at most 8 of them before a whole object is
sent again (the idea of "RVF Overlay Epochs"). Prints JSON.
"""

import collections.abc
import json
import random
import statistics
import time
import zlib

from endivewind.commands import bench_spreading
from endivewind.config import planning
from endivewind.config import store

CHAIN = 8
CHANGES_A_DAY = 990
NODES = 200
RUNS = 5
PARENT_BYTES = 16


def service() -> tuple[str, dict, dict]:
    """A service whose slots change."""
    old = {"slots": 3, "floor_slots": 12, "profile": "detection"}
    return store.SERVICE, old, {**old, "slots": 5}


def group() -> tuple[str, dict, dict]:
    """A group of twelve routes of which one changes its service."""
    routes = [
        {
            "host": f"firm-{number:02d}.example",
            "prefix": f"/service-{number:03d}/part",
            "service": f"service-{number:03d}",
        }
        for number in range(12)
    ]
    changed = [dict(route) for route in routes]
    changed[5]["service"] = "service-999"
    return store.ROUTE_GROUP, {"routes": routes}, {"routes": changed}


def shard() -> tuple[str, dict, dict]:
    """A shard of 725 workspaces of which one changes its rate."""
    rng = random.Random(1)
    workspaces = {
        f"workspace-{number:04d}": {
            "firm": "firm-07",
            "weight": rng.choice([1, 1, 1, 2, 5]),
            "rate": rng.choice([0, 10, 20]),
            "burst": 20,
        }
        for number in range(725)
    }
    changed = {name: dict(value) for name, value in workspaces.items()}
    changed["workspace-0400"]["rate"] = 35
    return (
        store.WORKSPACE_SHARD,
        {"workspaces": workspaces},
        {"workspaces": changed},
    )


def packed(value: object) -> bytes:
    """Compressed JSON, as objects spread."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"))
    return zlib.compress(text.encode())


def apply_whole(data: bytes) -> dict:
    """What a node does with a whole object, without validating it."""
    return json.loads(zlib.decompress(data))


def apply_delta(held: bytes, data: bytes) -> bytes:
    """What a node does with a delta: unpack, patch and pack again."""
    value = json.loads(zlib.decompress(held))
    for path, after in json.loads(zlib.decompress(data)):
        *parents, last = path
        inner = value
        for part in parents:
            inner = inner[part]
        inner[last] = after
    return packed(value)


def path_of(text: str) -> list:
    """The parts of a difference's path."""
    parts = text.replace("[", ".[").split(".")
    return [int(part[1:-1]) if part.startswith("[") else part for part in parts]


def milliseconds(
    work: collections.abc.Callable[[], object], times: int = 50
) -> float:
    """Processor time of one call."""
    start = time.process_time()
    for _ in range(times):
        work()
    return round((time.process_time() - start) / times * 1000, 4)


def spread(kind: str, spec: dict) -> dict:
    """Time and bytes until a whole object is in force on NODES cores."""
    value = {**bench_spreading.change(3, 2), "spec": spec}
    changed = (store.Key(kind, "changed"), value)
    runs = [
        bench_spreading.run_once(NODES, 0.1, seed, changed)
        for seed in range(1, RUNS + 1)
    ]
    return {
        "median_seconds": round(statistics.median(r.seconds for r in runs), 3),
        "worst_seconds": round(max(r.seconds for r in runs), 3),
        "sent_bytes_per_node": round(
            statistics.mean(r.change_bytes for r in runs)
        ),
    }


def measure(name: str, case: tuple[str, dict, dict]) -> dict:
    """One kind of change."""
    kind, old, new = case
    delta = packed(
        [
            [path_of(item.path), item.after]
            for item in planning.differences(old, new)
        ]
    )
    whole_old, whole_new = packed(old), packed(new)
    per_change = {
        "whole_bytes": len(whole_new),
        "delta_bytes": len(delta) + PARENT_BYTES,
        # Every ninth change is sent whole, since the chain is bounded.
        "delta_bytes_with_snapshots": round(
            (CHAIN * (len(delta) + PARENT_BYTES) + len(whole_new)) / (CHAIN + 1)
        ),
    }
    return {
        "change": name,
        **per_change,
        "whole_apply_ms": milliseconds(lambda: apply_whole(whole_new)),
        "delta_apply_ms": milliseconds(lambda: apply_delta(whole_old, delta)),
        "whole_bytes_per_second_at_990_a_day": round(
            len(whole_new) * CHANGES_A_DAY / 86_400, 1
        ),
        "spread_whole": spread(kind, new),
    }


def main() -> None:
    """Prints the figures of each kind of change."""
    cases = {"service": service(), "group": group(), "shard": shard()}
    print(json.dumps([measure(name, cases[name]) for name in cases], indent=2))


if __name__ == "__main__":
    main()
