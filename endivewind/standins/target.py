"""Stand-in for a target: announces itself, serves requests, injects faults.

Tests, the soak and the benchmarks run it as `endivewind-standin target`.
"""

import asyncio
import collections
import datetime
import enum
import itertools
import logging
import os

import aiohttp
from aiohttp import web

from endivewind import headers
from endivewind import logs

log = logging.getLogger(__name__)

COUNTS_PATH = "/standin/counts"
FAULT_PATH = "/standin/fault"
EVENTS_PATH = "/standin/events"
FAULT_HEADER = "Standin-Fault"
# Duration of the fault "delay" in milliseconds.
DELAY_HEADER = "Standin-Delay-Ms"
DEFAULT_DELAY_MS = 500
ANNOUNCEMENT_INTERVAL = datetime.timedelta(milliseconds=500)
HANG_DURATION = datetime.timedelta(hours=1)
CHUNK_BYTES = 500
LARGE_BODY_BYTES = 200_000
STREAM_CHUNKS = LARGE_BODY_BYTES // CHUNK_BYTES // 20

_CHUNK_INTERVAL = datetime.timedelta(milliseconds=100)


class RequestFault(enum.StrEnum):
    """A fault of one request, named by its header Standin-Fault."""

    CLOSE = "close"
    CRASH = "crash"
    HANG = "hang"
    DELAY = "delay"
    LARGE = "large"
    SLOW_STREAM = "slow-stream"
    STALL = "stall"
    TRUNCATE_LENGTH = "truncate-length"
    TRUNCATE_CHUNKED = "truncate-chunked"


class TargetStandin:
    """A target that counts the executions of each Work-Id header.

    `PUT /standin/fault` sets the faults of all requests: {"errors": share of
    requests that fail, "delay_ms": extra latency, "hang": true, "draining":
    true, "rate_limit": requests per second that its responses name as its
    limit, "leaving": whether its responses say that it is about to stop}. The
    header Standin-Fault names a fault of one request, and Standin-Delay-Ms the
    duration of the fault "delay".
    """

    def __init__(self, name: str, service: str, nodes: list[str]) -> None:
        self._name = name
        self._service = service
        self._nodes = nodes
        self._run_counts: collections.Counter[str] = collections.Counter()
        self._partial_counts: collections.Counter[str] = collections.Counter()
        self._cancelled_counts: collections.Counter[str] = collections.Counter()
        self._request_numbers = itertools.count()
        self._error_share = 0.0
        self._delay_seconds = 0.0
        self._hang = False
        self._draining = False
        self._rate_limit: float | None = None
        self._leaving = False
        self._current_node: str | None = None
        self._moves = 0
        self._incarnation = int(
            datetime.datetime.now(datetime.UTC).timestamp() * 1000
        )

    def make_application(self) -> web.Application:
        """Returns the application; paths outside /standin/ execute work."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_get(COUNTS_PATH, self._counts)
        app.router.add_get(EVENTS_PATH, self._events)
        app.router.add_put(FAULT_PATH, self._set_fault)
        app.router.add_route("*", "/{path:.*}", self._work)
        return app

    async def run_announcements(self, address: str) -> None:
        """Renews the lease at one node; moves only if that node fails."""
        async with aiohttp.ClientSession() as session:
            while True:
                await self._announce_once(session, address)
                await asyncio.sleep(ANNOUNCEMENT_INTERVAL.total_seconds())

    async def _announce_once(
        self, session: aiohttp.ClientSession, address: str
    ) -> None:
        last = self._current_node
        others = [node for node in self._nodes if node != last]
        for node in [last, *others] if last else others:
            if await self._announce_to(session, node, address):
                return

    async def _announce_to(
        self, session: aiohttp.ClientSession, node: str, address: str
    ) -> bool:
        if node != self._current_node:
            # Incremented before sending: an announcement whose response is
            # lost may have been accepted, and the next must supersede it.
            self._moves += 1
            self._current_node = node
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
            log.warning("announcement to %s failed: %s", node, error)
            return False

    @property
    def _self_report(self) -> dict[str, str]:
        return self_report_headers(self._rate_limit, self._leaving)

    async def _work(self, request: web.Request) -> web.StreamResponse:
        work_id = request.headers.get("Work-Id", "")
        try:
            body = await request.read()
        except BaseException:
            # The body was truncated: there is no complete request to run.
            self._partial_counts[work_id] += 1
            raise
        if work_id:
            self._run_counts[work_id] += 1
        log.info("work runs", extra=logs.fields(work=work_id))
        try:
            return await self._run(request, work_id, len(body))
        except asyncio.CancelledError:
            self._cancelled_counts[work_id] += 1
            log.info("work cancelled", extra=logs.fields(work=work_id))
            raise

    async def _run(
        self, request: web.Request, work_id: str, length: int
    ) -> web.StreamResponse:
        fault = request.headers.get(FAULT_HEADER, "")
        if fault:
            response = await self._apply_fault(RequestFault(fault), request)
            if response is not None:
                return response
        if self._hang:
            await asyncio.sleep(HANG_DURATION.total_seconds())
        if self._delay_seconds:
            await asyncio.sleep(self._delay_seconds)
        number = next(self._request_numbers)
        if int((number + 1) * self._error_share) > int(
            number * self._error_share
        ):
            return web.Response(
                status=500, text="failed on demand", headers=self._self_report
            )
        return web.json_response(
            headers=self._self_report,
            data={
                "target": self._name,
                "method": request.method,
                "path": request.path_qs,
                "work": work_id,
                "bytes": length,
            },
        )

    async def _apply_fault(
        self, fault: RequestFault, request: web.Request
    ) -> web.StreamResponse | None:
        """Applies the fault; returns None if the request is still to be run."""
        match fault:
            case RequestFault.CRASH:
                os._exit(1)
            case RequestFault.CLOSE:
                _close_connection(request)
                return web.Response()
            case RequestFault.HANG:
                await asyncio.sleep(HANG_DURATION.total_seconds())
            case RequestFault.DELAY:
                delay = request.headers.get(DELAY_HEADER, DEFAULT_DELAY_MS)
                await asyncio.sleep(int(delay) / 1000)
            case RequestFault.LARGE:
                return web.Response(body=b"x" * LARGE_BODY_BYTES)
            case RequestFault.SLOW_STREAM:
                return await _slow_stream(request)
            case RequestFault.STALL:
                return await _stall(request)
            case RequestFault.TRUNCATE_LENGTH | RequestFault.TRUNCATE_CHUNKED:
                return await _truncate(request, fault)
        return None

    async def _events(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "partial": self._partial_counts,
                "cancelled": self._cancelled_counts,
            }
        )

    async def _counts(self, request: web.Request) -> web.Response:
        return web.json_response(self._run_counts)

    async def _set_fault(self, request: web.Request) -> web.Response:
        fault = await request.json()
        self._error_share = float(fault.get("errors", 0))
        self._delay_seconds = float(fault.get("delay_ms", 0)) / 1000
        self._hang = bool(fault.get("hang", False))
        self._draining = bool(fault.get("draining", False))
        self._rate_limit = fault.get("rate_limit")
        self._leaving = bool(fault.get("leaving", False))
        return web.Response(status=204)


def self_report_headers(
    rate_limit: float | None, is_leaving: bool
) -> dict[str, str]:
    """Returns the headers in which a target's responses describe it.

    Args:
      rate_limit: requests per second that it accepts; None for no limit.
      is_leaving: whether it is about to stop.
    """
    fields = {}
    if rate_limit is not None:
        fields[headers.RATE_LIMIT] = str(rate_limit)
    if is_leaving:
        fields[headers.LEAVING] = "1"
    return fields


async def _slow_stream(request: web.Request) -> web.StreamResponse:
    """Sends a chunked response slowly, chunk by chunk."""
    response = web.StreamResponse()
    response.enable_chunked_encoding()
    await response.prepare(request)
    for _ in range(STREAM_CHUNKS):
        await response.write(b"x" * CHUNK_BYTES)
        await asyncio.sleep(_CHUNK_INTERVAL.total_seconds())
    await response.write_eof()
    return response


async def _stall(request: web.Request) -> web.StreamResponse:
    """Sends the head and the first chunk of a response, and no more."""
    response = web.StreamResponse()
    response.enable_chunked_encoding()
    await response.prepare(request)
    await response.write(b"x" * CHUNK_BYTES)
    await asyncio.sleep(HANG_DURATION.total_seconds())
    return response


async def _truncate(
    request: web.Request, fault: RequestFault
) -> web.StreamResponse:
    """Sends a response that ends before its declared end."""
    response = web.StreamResponse()
    if fault is RequestFault.TRUNCATE_LENGTH:
        response.content_length = CHUNK_BYTES * 2
    else:
        response.enable_chunked_encoding()
    await response.prepare(request)
    await response.write(b"x" * CHUNK_BYTES)
    _close_connection(request)
    return response


def _close_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.close()
