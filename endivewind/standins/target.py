"""Stand-in for a target: announces itself, runs work, fails on demand."""

import asyncio
import collections
import datetime
import enum
import itertools
import logging
import os

import aiohttp
from aiohttp import web

from endivewind import logs

log = logging.getLogger(__name__)

COUNTS_PATH = "/standin/counts"
FAULT_PATH = "/standin/fault"
EVENTS_PATH = "/standin/events"
FAULT_HEADER = "Standin-Fault"
RENEWAL = datetime.timedelta(milliseconds=500)
HANG = datetime.timedelta(hours=1)
PART_BYTES = 500
WHOLE_BYTES = 200_000
STREAM_PARTS = WHOLE_BYTES // PART_BYTES // 20

_PAUSE = datetime.timedelta(milliseconds=100)


class Fault(enum.StrEnum):
    """What a request asks to go wrong with itself, by its header."""

    CLOSE = "close"
    CRASH = "crash"
    HANG = "hang"
    DELAY = "delay"
    LARGE = "large"
    SLOW_STREAM = "slow-stream"
    TRUNCATE_LENGTH = "truncate-length"
    TRUNCATE_CHUNKED = "truncate-chunked"


class TargetStandin:
    """A target that counts what it ran, by the header Work-Id.

    A fault of all requests is set with `PUT /standin/fault`: {"errors": share
    of requests that fail, "delay_ms": extra time, "hang": true,
    "draining": true}. A fault of
    one request is named by its header Standin-Fault.
    """

    def __init__(self, name: str, service: str, nodes: list[str]) -> None:
        self._name = name
        self._service = service
        self._nodes = nodes
        self._runs: collections.Counter[str] = collections.Counter()
        self._partial: collections.Counter[str] = collections.Counter()
        self._cancelled: collections.Counter[str] = collections.Counter()
        self._numbers = itertools.count()
        self._errors = 0.0
        self._delay = 0.0
        self._hang = False
        self._draining = False
        self._last: str | None = None
        self._moves = 0
        self._incarnation = int(
            datetime.datetime.now(datetime.UTC).timestamp() * 1000
        )

    def application(self) -> web.Application:
        """The target's routes; everything else is work."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_get(COUNTS_PATH, self._counts)
        app.router.add_get(EVENTS_PATH, self._events)
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
            "state": "draining" if self._draining else "ready",
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
        work = request.headers.get("Work-Id", "")
        try:
            body = await request.read()
        except BaseException:
            # The body broke off: there is no whole request to run.
            self._partial[work] += 1
            raise
        if work:
            self._runs[work] += 1
        log.info("work runs", extra=logs.fields(work=work))
        try:
            return await self._run(request, work, len(body))
        except asyncio.CancelledError:
            self._cancelled[work] += 1
            log.info("work cancelled", extra=logs.fields(work=work))
            raise

    async def _run(
        self, request: web.Request, work: str, length: int
    ) -> web.StreamResponse:
        fault = request.headers.get(FAULT_HEADER, "")
        if fault:
            answer = await self._fail(Fault(fault), request)
            if answer is not None:
                return answer
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
                "bytes": length,
            }
        )

    async def _fail(
        self, fault: Fault, request: web.Request
    ) -> web.StreamResponse | None:
        """Does what the fault asks; None where an answer is still due."""
        match fault:
            case Fault.CRASH:
                os._exit(1)
            case Fault.CLOSE:
                _cut(request)
                return web.Response()
            case Fault.HANG:
                await asyncio.sleep(HANG.total_seconds())
            case Fault.DELAY:
                await asyncio.sleep(_PAUSE.total_seconds() * 5)
            case Fault.LARGE:
                return web.Response(body=b"x" * WHOLE_BYTES)
            case Fault.SLOW_STREAM:
                return await _slow_stream(request)
            case Fault.TRUNCATE_LENGTH | Fault.TRUNCATE_CHUNKED:
                return await _truncate(request, fault)
        return None

    async def _events(self, request: web.Request) -> web.Response:
        return web.json_response(
            {"partial": self._partial, "cancelled": self._cancelled}
        )

    async def _counts(self, request: web.Request) -> web.Response:
        return web.json_response(self._runs)

    async def _fault(self, request: web.Request) -> web.Response:
        fault = await request.json()
        self._errors = float(fault.get("errors", 0))
        self._delay = float(fault.get("delay_ms", 0)) / 1000
        self._hang = bool(fault.get("hang", False))
        self._draining = bool(fault.get("draining", False))
        return web.Response(status=204)


async def _slow_stream(request: web.Request) -> web.StreamResponse:
    """A chunked answer whose parts come one by one."""
    response = web.StreamResponse()
    response.enable_chunked_encoding()
    await response.prepare(request)
    for _ in range(STREAM_PARTS):
        await response.write(b"x" * PART_BYTES)
        await asyncio.sleep(_PAUSE.total_seconds())
    await response.write_eof()
    return response


async def _truncate(request: web.Request, fault: Fault) -> web.StreamResponse:
    """An answer that ends before its announced end."""
    response = web.StreamResponse()
    if fault is Fault.TRUNCATE_LENGTH:
        response.content_length = PART_BYTES * 2
    else:
        response.enable_chunked_encoding()
    await response.prepare(request)
    await response.write(b"x" * PART_BYTES)
    _cut(request)
    return response


def _cut(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.close()
