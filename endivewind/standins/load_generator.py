"""Load generator of the benchmarks.

Sends at a fixed rate (open loop) to measure latency, or over a fixed number
of busy connections (closed loop) to measure throughput.
"""

import asyncio
import collections.abc
import dataclasses
import itertools
import math
import time
from typing import Any

import aiohttp

REQUEST_BODY = b"x" * 256
_TIMEOUT = aiohttp.ClientTimeout(total=30)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """The request that is sent repeatedly.

    Attributes:
      url: URL to send to.
      host: value of the Host header.
    """

    url: str
    host: str


@dataclasses.dataclass(slots=True)
class Samples:
    """Results of the requests sent.

    Attributes:
      latencies: in seconds, of responses with status 200.
      failures: number of other responses, connection errors and timeouts.
    """

    latencies: list[float] = dataclasses.field(default_factory=list)
    failures: int = 0

    def latency_percentile_ms(self, percent: float) -> float:
        """Returns a percentile of the latencies in milliseconds."""
        if not self.latencies:
            return math.nan
        ordered = sorted(self.latencies)
        rank = max(math.ceil(len(ordered) * percent / 100), 1)
        return ordered[rank - 1] * 1000


async def pace(rate: float) -> collections.abc.AsyncGenerator[int, None]:
    """Yields 0, 1, 2, ... at a rate per second.

    If the consumer falls behind, the next numbers follow without a pause
    until the schedule is met again.
    """
    loop = asyncio.get_running_loop()
    start = loop.time()
    for number in itertools.count():
        yield number
        due = start + (number + 1) / rate
        await asyncio.sleep(max(0.0, due - loop.time()))


async def send_at_rate(
    session: aiohttp.ClientSession,
    request: Request,
    rate: float,
    seconds: float,
    samples: Samples,
) -> None:
    """Sends at a fixed rate regardless of responses (open loop).

    Latency is measured from the time at which a request was scheduled, so
    that a stall also counts for the requests that it delays (no coordinated
    omission).
    """
    start = time.perf_counter()
    tasks = []
    for number in range(int(rate * seconds)):
        due = start + number / rate
        await asyncio.sleep(due - time.perf_counter())
        tasks.append(asyncio.create_task(_send(session, request, due, samples)))
    await asyncio.gather(*tasks)


async def saturate(
    session: aiohttp.ClientSession,
    request: Request,
    connections: int,
    seconds: float,
    samples: Samples,
) -> float:
    """Keeps connections busy (closed loop); returns responses per second."""
    start = time.perf_counter()
    end = start + seconds

    async def caller() -> None:
        while (now := time.perf_counter()) < end:
            await _send(session, request, now, samples)

    await asyncio.gather(*(caller() for _ in range(connections)))
    return len(samples.latencies) / (time.perf_counter() - start)


def make_session() -> aiohttp.ClientSession:
    """Returns a client session without a connection limit."""
    connector = aiohttp.TCPConnector(limit=0)
    return aiohttp.ClientSession(connector=connector, timeout=_TIMEOUT)


async def _send(
    client: aiohttp.ClientSession,
    request: Request,
    due: float,
    samples: Samples,
) -> None:
    fields = {"Host": request.host}
    try:
        async with client.post(
            request.url, data=REQUEST_BODY, headers=fields
        ) as response:
            await response.read()
            is_success = response.status == 200
    except (TimeoutError, aiohttp.ClientError):
        is_success = False
    if is_success:
        samples.latencies.append(time.perf_counter() - due)
    else:
        samples.failures += 1


def summarize(samples: Samples, rate: float) -> dict[str, Any]:
    """Returns the samples as JSON values, with times in milliseconds."""
    return {
        "answers": len(samples.latencies),
        "failures": samples.failures,
        "per_second": round(rate, 1),
        "p50_ms": round(samples.latency_percentile_ms(50), 3),
        "p99_ms": round(samples.latency_percentile_ms(99), 3),
    }
