"""Measures the effect of a one-way partition on callers of one entry node.

Run with `python benchmarks/silent_path.py`. Each phase sends requests one after
the other for a fixed time. Prints JSON: the requests of each phase, how many
were served by the near and the far target, and the latencies in milliseconds.
"""

import asyncio
import json
import time

import aiohttp

from endivewind.standins import relay
from endivewind.tests.proofs import partition_tests

PHASE_SECONDS = 20


async def main() -> None:
    """Measures before, during and after the partition."""
    async with partition_tests.fleet() as (_, entry, broken_link):
        address = entry.listening_line["callers"]
        report = {"healthy": await _measure_phase(address)}
        broken_link.from_upstream = relay.DirectionMode.DROP
        report["one direction lost"] = await _measure_phase(address)
        broken_link.from_upstream = relay.DirectionMode.PASS
        report["mended"] = await _measure_phase(address)
    print(json.dumps(report, indent=2))


async def _measure_phase(address: str) -> dict[str, object]:
    latencies = []
    served: dict[str, int] = {}
    end = time.monotonic() + PHASE_SECONDS
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < end:
            start = time.monotonic()
            async with session.get(f"http://{address}/work") as response:
                body = await response.json()
            latencies.append(1000 * (time.monotonic() - start))
            name = body.get("target", body.get("outcome"))
            served[name] = served.get(name, 0) + 1
    latencies.sort()
    return {
        "requests": len(latencies),
        "answered by": served,
        "over 500 ms": sum(item > 500 for item in latencies),
        "p50 ms": round(latencies[len(latencies) // 2], 2),
        "p99 ms": round(latencies[len(latencies) * 99 // 100], 2),
        "max ms": round(latencies[-1], 1),
    }


asyncio.run(main())
