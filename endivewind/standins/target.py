"""Stand-in for a target: announces itself, runs work, fails on demand."""

import asyncio
import collections
import datetime
import itertools
import logging

import aiohttp
from aiohttp import web

log = logging.getLogger(__name__)

COUNTS_PATH = "/standin/counts"
FAULT_PATH = "/standin/fault"
RENEWAL = datetime.timedelta(milliseconds=500)
HANG = datetime.timedelta(hours=1)


class TargetStandin:
    """A target that counts what it ran, by the header Work-Id.

    A fault is set with `PUT /standin/fault`: {"errors": share of requests
    that fail, "delay_ms": extra time, "hang": true}.
    """

    def __init__(self, name: str, service: str, nodes: list[str]) -> None:
        self._name = name
        self._service = service
        self._nodes = nodes
        self._runs: collections.Counter[str] = collections.Counter()
        self._numbers = itertools.count()
        self._errors = 0.0
        self._delay = 0.0
        self._hang = False
        self._last: str | None = None
        self._moves = 0
        self._incarnation = int(
            datetime.datetime.now(datetime.UTC).timestamp() * 1000
        )

    def application(self) -> web.Application:
        """The target's routes; everything else is work."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_get(COUNTS_PATH, self._counts)
        app.router.add_put(FAULT_PATH, self._fault)
        app.router.add_route("*", "/{path:.*}", self._work)
        return app

    async def announce(self, address: str) -> None:
        """Keeps a lease at one node, and moves only when it must."""
        async with aiohttp.ClientSession() as session:
            while True:
                await self._announce_once(session, address)
                await asyncio.sleep(RENEWAL.total_seconds())

    async def _announce_once(
        self, session: aiohttp.ClientSession, address: str
    ) -> None:
        last = self._last
        others = [node for node in self._nodes if node != last]
        for node in [last, *others] if last else others:
            if await self._put(session, node, address):
                return

    async def _put(
        self, session: aiohttp.ClientSession, node: str, address: str
    ) -> bool:
        if node != self._last:
            # Counted before the send: an announcement whose answer is lost
            # may have been taken, and the next one must win over it.
            self._moves += 1
            self._last = node
        body = {
            "service": self._service,
            "address": f"http://{address}",
            "incarnation": self._incarnation,
            "moves": self._moves,
            "lease_ms": 2000,
        }
        try:
            async with session.put(
                f"http://{node}/v1/targets/{self._name}",
                json=body,
                timeout=aiohttp.ClientTimeout(total=1),
            ) as response:
                return response.status == 200
        except (TimeoutError, aiohttp.ClientError) as error:
            log.warning("%s does not answer: %s", node, error)
            return False

    async def _work(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        work = request.headers.get("Work-Id", "")
        if work:
            self._runs[work] += 1
        if self._hang:
            await asyncio.sleep(HANG.total_seconds())
        if self._delay:
            await asyncio.sleep(self._delay)
        number = next(self._numbers)
        if int((number + 1) * self._errors) > int(number * self._errors):
            return web.Response(status=500, text="failed on demand")
        return web.json_response(
            {
                "target": self._name,
                "method": request.method,
                "path": request.path_qs,
                "work": work,
                "bytes": len(body),
            }
        )

    async def _counts(self, request: web.Request) -> web.Response:
        return web.json_response(self._runs)

    async def _fault(self, request: web.Request) -> web.Response:
        fault = await request.json()
        self._errors = float(fault.get("errors", 0))
        self._delay = float(fault.get("delay_ms", 0)) / 1000
        self._hang = bool(fault.get("hang", False))
        return web.Response(status=204)
