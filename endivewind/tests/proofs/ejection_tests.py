"""End-to-end tests of gray failures: targets that fail but look healthy."""

import asyncio
import collections
import unittest

import aiohttp

from endivewind.tests import processes

TARGETS = ("riders-1", "riders-2", "riders-3", "riders-4")
CONCURRENT_REQUESTS = 4
# More than the history that a service needs for the judgment of latencies.
WARM_UP_REQUESTS = 320
# Three of them get stuck at the target that hangs.
CALLER_COUNT = 6
# Longer than any wait of a test, so that a hanging request never times out.
TIMEOUT_MS = 120_000


def _configuration(floor_slots):
    return {
        "services": {
            "riders": {
                "slots": 3,
                "floor_slots": floor_slots,
                "timeout_ms": TIMEOUT_MS,
                # A retry would hide which target failed.
                "retry_percent": 0,
            }
        },
        "route_groups": {
            "camerino": {"routes": [{"prefix": "/riders", "service": "riders"}]}
        },
    }


class _Fixture:
    """A node that is both entry and home node, its targets, and callers."""

    def __init__(self, session, node, targets) -> None:
        self._session = session
        self._node = node
        self._targets = targets

    async def set_fault(self, target, **fault):
        address = self._targets[target].listening_line["address"]
        url = f"http://{address}/standin/fault"
        async with self._session.put(url, json=fault) as response:
            assert response.status == 204

    async def send(self):
        url = f"http://{self._node.listening_line['callers']}/riders/1"
        async with self._session.get(url) as response:
            if response.status != 200:
                return f"status {response.status}"
            return (await response.json())["target"]

    async def send_many(self, number, concurrency=CONCURRENT_REQUESTS):
        """Sends requests; counts successes by target and failures by status."""
        counts = collections.Counter()
        for _ in range(number // concurrency):
            results = await asyncio.gather(
                *(self.send() for _ in range(concurrency))
            )
            counts.update(results)
        return counts

    async def send_forever(self):
        while True:
            await self.send()

    async def wait_until_judged(self, target, health):
        await self._node.wait_for_message(
            "target judged", target=target, health=health
        )

    async def send_until_judged(self, target, health):
        """Sends requests until the node logs a judgment; counts results."""
        judged = asyncio.create_task(self.wait_until_judged(target, health))
        counts = collections.Counter()
        while not judged.done():
            counts.update(await self.send_many(CONCURRENT_REQUESTS))
        await judged
        return counts


class _EjectionTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(processes.Fleet())

    async def make_fixture(self, floor_slots):
        node = await self.fleet.start_node("node-a")
        for name in TARGETS:
            await self.fleet.start_target(name, "riders", [node])
        await self.fleet.submit(_configuration(floor_slots))
        await node.wait_for_message("in force", object="camerino")
        session = await self.enterAsyncContext(aiohttp.ClientSession())
        fixture = _Fixture(session, node, self.fleet.targets)
        await fixture.send_many(WARM_UP_REQUESTS)
        return fixture


class GrayTargetTest(_EjectionTestCase):
    """A target passes its health checks and fails all requests.

    Callers get errors for one request in four. The target keeps its lease, so
    that only the outcomes of requests show the fault. The node must eject the
    target after a few failures and use it again once it has recovered.
    """

    async def test_is_ejected_and_returns_after_recovery(self):
        fixture = await self.make_fixture(floor_slots=6)
        await fixture.set_fault("riders-2", errors=1)

        failing = await fixture.send_until_judged("riders-2", "ejected")
        after = await fixture.send_many(100)
        await fixture.set_fault("riders-2")
        await fixture.send_until_judged("riders-2", "normal")
        recovered = await fixture.send_many(100)

        self.assertLess(failing["status 500"], 20)
        self.assertEqual(0, after["riders-2"])
        self.assertLess(after["status 500"], 3)
        self.assertGreater(recovered["riders-2"], 0)


class HangingTargetTest(_EjectionTestCase):
    """A target accepts requests and never responds.

    No request ends, so that no outcome counts against the target while its
    callers wait for their deadlines. Overdue requests must count as evidence
    while they are pending.
    """

    async def test_is_ejected_before_any_request_ends(self):
        fixture = await self.make_fixture(floor_slots=6)
        await fixture.set_fault("riders-3", hang=True)
        callers = [
            asyncio.create_task(fixture.send_forever())
            for _ in range(CALLER_COUNT)
        ]

        await fixture.wait_until_judged("riders-3", "ejected")

        after = await fixture.send_many(40)
        self.assertEqual(0, after["riders-3"])
        self.assertEqual(0, after["status 503"])
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)


class FloorTest(_EjectionTestCase):
    """Three of four targets start to fail, one after the other.

    Ejecting each of them would leave one target for the load of four. The
    capacity floor of nine slots must keep three targets in use, failing or
    not, for requests that the two healthy targets have no slots for.
    """

    async def test_holds_when_most_targets_fail(self):
        fixture = await self.make_fixture(floor_slots=9)
        await fixture.set_fault("riders-1", errors=1)
        await fixture.send_until_judged("riders-1", "ejected")
        await fixture.set_fault("riders-2", errors=1)
        await fixture.send_until_judged("riders-2", "ejected")

        for name in ("riders-3", "riders-4"):
            await fixture.set_fault(name, delay_ms=100)
        counts = await fixture.send_many(120, concurrency=12)

        self.assertGreater(counts["status 500"], 10)
        self.assertEqual(0, counts["status 503"])
