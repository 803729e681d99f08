"""Measures what a one-way partition costs the callers of one entry.

Run with `python benchmarks/silent_path.py`. Prints JSON: for each phase the
requests sent one after another for a fixed time, how many were answered by
the near and the far target, and the latency in milliseconds.
"""

import asyncio
import json
import time

import aiohttp

from endivewind.tests import relay
from endivewind.tests.proofs import partition_tests

PHASE_SECONDS = 20


async def main() -> None:
    """Runs the healthy, the broken and the mended phase."""
    async with partition_tests.fleet() as (_, entry, broken):
        address = entry.listening["callers"]
        report = {"healthy": await _phase(address)}
        broken.back = relay.Mode.DROP
        report["one direction lost"] = await _phase(address)
        broken.back = relay.Mode.PASS
        report["mended"] = await _phase(address)
    print(json.dumps(report, indent=2))


async def _phase(address: str) -> dict[str, object]:
    latencies = []
    answered: dict[str, int] = {}
    end = time.monotonic() + PHASE_SECONDS
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < end:
            start = time.monotonic()
            async with session.get(f"http://{address}/work") as response:
                body = await response.json()
            latencies.append(1000 * (time.monotonic() - start))
            name = body.get("target", body.get("outcome"))
            answered[name] = answered.get(name, 0) + 1
    latencies.sort()
    return {
        "requests": len(latencies),
        "answered by": answered,
        "over 500 ms": sum(item > 500 for item in latencies),
        "p50 ms": round(latencies[len(latencies) // 2], 2),
        "p99 ms": round(latencies[len(latencies) * 99 // 100], 2),
        "max ms": round(latencies[-1], 1),
    }


asyncio.run(main())
