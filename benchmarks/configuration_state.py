"""Measures memory and load time of the full configuration in one node.

The configuration has 310 services, 310 route groups with 3,700 routes, and 40
shards with 29,000 workspaces. Prints JSON.
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

SERVICE_COUNT = 310
ROUTE_COUNT = 3_700
SHARD_COUNT = 40
WORKSPACES_PER_SHARD = 725
FIRM_COUNT = 40


def make_objects() -> collections.abc.Iterator[tuple[str, str, dict]]:
    """Yields kind, name and spec of every object."""
    rng = random.Random(1)
    for number in range(SERVICE_COUNT):
        spec = {"slots": 3, "floor_slots": 12}
        yield store.SERVICE, f"service-{number:03d}", spec
    for number in range(SERVICE_COUNT):
        routes = [
            {
                "host": f"firm-{number % FIRM_COUNT:02d}.example",
                "prefix": f"/service-{number:03d}/part-{part:02d}",
                "service": f"service-{number:03d}",
            }
            for part in range(len(range(number, ROUTE_COUNT, SERVICE_COUNT)))
        ]
        yield store.ROUTE_GROUP, f"group-{number:03d}", {"routes": routes}
    for number in range(SHARD_COUNT):
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
    """Returns the resident memory of this process."""
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * resource.getpagesize()


def main() -> None:
    """Loads the configuration once and prints the figures."""
    texts = [
        (
            kind,
            name,
            json.dumps({"spec": spec, "operation": "0" * 32, "version": 9}),
        )
        for kind, name, spec in make_objects()
    ]
    gc.collect()
    before = resident_bytes()
    start = time.process_time()
    configuration = store.ConfigurationStore()
    table = routing.RoutingTable()
    for kind, name, text in texts:
        configuration.apply(kind, name, 1, json.loads(text))
        if kind == store.ROUTE_GROUP:
            table.replace(name, configuration.route_group(name).routes)
    seconds = time.process_time() - start
    gc.collect()
    resident = resident_bytes() - before
    start = time.process_time()
    for number in range(SERVICE_COUNT):
        name = f"group-{number:03d}"
        table.replace(name, configuration.route_group(name).routes)
    replace_seconds = (time.process_time() - start) / SERVICE_COUNT
    packed_bytes = sum(
        len(configuration.packed(key) or b"") for key in configuration.keys
    )
    figures = {
        "objects": len(texts),
        "json_bytes": sum(len(text) for _, _, text in texts),
        "packed_bytes": packed_bytes,
        "resident_megabytes": round(resident / 1e6, 2),
        "load_cpu_seconds": round(seconds, 3),
        "replace_group_ms": round(replace_seconds * 1000, 4),
    }
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
