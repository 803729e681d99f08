"""Compares sending whole configuration objects with sending deltas.

A delta lists the changed values with their paths, relative to a parent version
that is named by its fingerprint. A chain has at most 8 deltas before the whole
object is sent again (as in "RVF Overlay Epochs"). Prints JSON.
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

MAX_DELTAS = 8
CHANGES_PER_DAY = 990
NODE_COUNT = 200
RUN_COUNT = 5
FINGERPRINT_BYTES = 16


def make_service() -> tuple[str, dict, dict]:
    """Returns kind, old and new spec of a service whose slots change."""
    old = {"slots": 3, "floor_slots": 12, "profile": "detection"}
    return store.SERVICE, old, {**old, "slots": 5}


def make_group() -> tuple[str, dict, dict]:
    """Returns a group of twelve routes, one of which changes its service."""
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


def make_shard() -> tuple[str, dict, dict]:
    """Returns a shard of 725 workspaces, one of which changes its rate."""
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


def pack(value: object) -> bytes:
    """Compresses a value as JSON, the form in which objects are replicated."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"))
    return zlib.compress(text.encode())


def apply_whole(data: bytes) -> dict:
    """Unpacks a whole object as a node does, without validation."""
    return json.loads(zlib.decompress(data))


def apply_delta(parent: bytes, data: bytes) -> bytes:
    """Applies a delta as a node would: unpacks, patches and packs again."""
    value = json.loads(zlib.decompress(parent))
    for path, after in json.loads(zlib.decompress(data)):
        *parents, last = path
        inner = value
        for part in parents:
            inner = inner[part]
        inner[last] = after
    return pack(value)


def split_path(text: str) -> list:
    """Splits the path of a difference into keys and indexes."""
    parts = text.replace("[", ".[").split(".")
    return [int(part[1:-1]) if part.startswith("[") else part for part in parts]


def measure_milliseconds(
    work: collections.abc.Callable[[], object], times: int = 50
) -> float:
    """Measures the CPU time of one call in milliseconds."""
    start = time.process_time()
    for _ in range(times):
        work()
    return round((time.process_time() - start) / times * 1000, 4)


def measure_replication(kind: str, spec: dict) -> dict:
    """Measures time and bytes until an object is in force on all nodes."""
    value = {**bench_spreading.make_service_value(3, 2), "spec": spec}
    changed = (store.Key(kind, "changed"), value)
    runs = [
        bench_spreading.run_once(NODE_COUNT, 0.1, seed, changed)
        for seed in range(1, RUN_COUNT + 1)
    ]
    return {
        "median_seconds": round(statistics.median(r.seconds for r in runs), 3),
        "worst_seconds": round(max(r.seconds for r in runs), 3),
        "sent_bytes_per_node": round(
            statistics.mean(r.change_bytes for r in runs)
        ),
    }


def measure(name: str, case: tuple[str, dict, dict]) -> dict:
    """Measures one kind of change with whole objects and with deltas."""
    kind, old, new = case
    delta = pack(
        [
            [split_path(item.path), item.after]
            for item in planning.find_differences(old, new)
        ]
    )
    whole_old, whole_new = pack(old), pack(new)
    per_change = {
        "whole_bytes": len(whole_new),
        "delta_bytes": len(delta) + FINGERPRINT_BYTES,
        # Every ninth change is sent as a whole object, since chains are bounded.
        "delta_bytes_with_snapshots": round(
            (MAX_DELTAS * (len(delta) + FINGERPRINT_BYTES) + len(whole_new))
            / (MAX_DELTAS + 1)
        ),
    }
    return {
        "change": name,
        **per_change,
        "whole_apply_ms": measure_milliseconds(lambda: apply_whole(whole_new)),
        "delta_apply_ms": measure_milliseconds(
            lambda: apply_delta(whole_old, delta)
        ),
        "whole_bytes_per_second_at_990_a_day": round(
            len(whole_new) * CHANGES_PER_DAY / 86_400, 1
        ),
        "spread_whole": measure_replication(kind, new),
    }


def main() -> None:
    """Prints the figures for each kind of change."""
    cases = {
        "service": make_service(),
        "group": make_group(),
        "shard": make_shard(),
    }
    print(json.dumps([measure(name, cases[name]) for name in cases], indent=2))


if __name__ == "__main__":
    main()
