"""Memory and time of the full configuration in one node. Prints JSON.

310 services, 310 groups with 3,700 routes, 40 shards with 29,000 workspaces.
"""

import collections.abc
import gc
import json
import pathlib
import random
import resource
import time

from endivewind.callers import routing
from endivewind.config import store

SERVICES = 310
ROUTES = 3_700
SHARDS = 40
WORKSPACES_PER_SHARD = 725
FIRMS = 40


def objects() -> collections.abc.Iterator[tuple[str, str, dict]]:
    """Every object: kind, name and spec."""
    rng = random.Random(1)
    for number in range(SERVICES):
        spec = {"slots": 3, "floor_slots": 12}
        yield store.SERVICE, f"service-{number:03d}", spec
    for number in range(SERVICES):
        routes = [
            {
                "host": f"firm-{number % FIRMS:02d}.example",
                "prefix": f"/service-{number:03d}/part-{part:02d}",
                "service": f"service-{number:03d}",
            }
            for part in range(len(range(number, ROUTES, SERVICES)))
        ]
        yield store.ROUTE_GROUP, f"group-{number:03d}", {"routes": routes}
    for number in range(SHARDS):
        workspaces = {
            f"workspace-{number:02d}-{item:04d}": {
                "firm": f"firm-{number:02d}",
                "weight": rng.choice([1, 1, 1, 2, 5]),
                "rate": rng.choice([0, 10, 20]),
            }
            for item in range(WORKSPACES_PER_SHARD)
        }
        spec = {"workspaces": workspaces}
        yield store.WORKSPACE_SHARD, f"shard-{number:02d}", spec


def resident_bytes() -> int:
    """Resident memory of this process."""
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * resource.getpagesize()


def main() -> None:
    """Loads everything once and prints the figures."""
    texts = [
        (
            kind,
            name,
            json.dumps({"spec": spec, "operation": "0" * 32, "version": 9}),
        )
        for kind, name, spec in objects()
    ]
    gc.collect()
    before = resident_bytes()
    start = time.process_time()
    held = store.ConfigurationStore()
    table = routing.RoutingTable()
    for kind, name, text in texts:
        held.apply(kind, name, 1, json.loads(text))
        if kind == store.ROUTE_GROUP:
            table.replace(name, held.route_group(name).routes)
    seconds = time.process_time() - start
    gc.collect()
    grown = resident_bytes() - before
    start = time.process_time()
    for number in range(SERVICES):
        name = f"group-{number:03d}"
        table.replace(name, held.route_group(name).routes)
    replace = (time.process_time() - start) / SERVICES
    packed = sum(len(held.packed(key) or b"") for key in held.keys)
    figures = {
        "objects": len(texts),
        "json_bytes": sum(len(text) for _, _, text in texts),
        "packed_bytes": packed,
        "resident_megabytes": round(grown / 1e6, 2),
        "load_cpu_seconds": round(seconds, 3),
        "replace_group_ms": round(replace * 1000, 4),
    }
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
