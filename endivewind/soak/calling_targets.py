"""Targets in this process that fail, crash and call other services on demand.

Each stands beside a node of the fleet, to which it sends its heartbeats and its
calls, and records every request that reaches it.
"""

import asyncio
import collections.abc
import dataclasses
import datetime
import enum
import itertools
import random

import aiohttp
from aiohttp import web

from endivewind.platform import names
from endivewind.platform import standin_messages
from endivewind.soak import retry_checks

# Requests of this path end the target that begins to run them.
CRASHING_PATH = "crash"
# Requests of this path get a large response.
LARGE_PATH = "large"
LARGE_BYTES = 4 << 20
FAILING_SHARE = 0.7
HANGING_SHARE = 0.4
CALLING_SHARE = 0.7
SLOTS = 11
WORK_SECONDS = (0.02, 0.2)
HANG_SECONDS = 20.0
HEARTBEAT_SECONDS = 1.5
# A head of 16 KB has no more fields.
MAX_HEADERS = 4096
# For requests that are accepted while a target ends. With zero, aiohttp waits
# for them without a limit.
SHUTDOWN_SECONDS = 0.1
# Time until a crashed target starts again.
DOWN_SECONDS = 2.0
_LARGE_BODY = bytes(LARGE_BYTES)
_HEARTBEAT_TIMEOUT = aiohttp.ClientTimeout(total=1.0)


class Failure(enum.StrEnum):
    """How targets fail.

    ERRORS: most responses have status 500. REJECTIONS: most are rejected as
    not run. RESETS: the work is done, but the connection closed. HANGS: some
    requests get no response.
    """

    ERRORS = "errors"
    REJECTIONS = "rejections"
    RESETS = "resets"
    HANGS = "hangs"


@dataclasses.dataclass(slots=True)
class Behavior:
    """What all targets of a run have in common.

    Attributes:
      rng: random choices.
      now: returns the seconds since the start of the run.
      traffic: records what is sent and what arrives.
      next_service: the service that targets of a service call, and the prefix
        of their calls.
      host: the host of all requests.
      calls_each: calls that one request makes.
      failures: how targets fail; none if they don't.
    """

    rng: random.Random
    now: collections.abc.Callable[[], float]
    traffic: retry_checks.Traffic
    next_service: dict[str, tuple[str, str]]
    host: str
    calls_each: int = 1
    failures: frozenset[Failure] = frozenset()
    _last_number: int = 0

    def next_request_id(self, kind: str) -> str:
        """Returns a new id, which begins with a kind of request."""
        self._last_number += 1
        return f"{kind}-{self._last_number}"

    def fails(self, failure: Failure, share: float = FAILING_SHARE) -> bool:
        """Draws whether a request fails in this way."""
        return failure in self.failures and self.rng.random() < share


@dataclasses.dataclass(frozen=True, slots=True)
class NodeAddresses:
    """Where a target reaches the node beside it.

    Attributes:
      callers: host and port for its calls.
      targets: host and port for its heartbeats.
    """

    callers: str
    targets: str


class CallingTarget:
    """A target beside one node; each start of it has another id."""

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        behavior: Behavior,
        node_addresses: NodeAddresses,
    ) -> None:
        """Creates the target without starting it.

        Args:
          name: what its ids begin with.
          service: its service.
          address: host and port at which it accepts requests.
          behavior: how it fails and calls.
          node_addresses: where it reaches its node.
        """
        self._name = name
        self._service = service
        self._address = address
        self._behavior = behavior
        self._node_addresses = node_addresses
        self._starts = itertools.count(1)
        # The current start, or the last one.
        self._current_start: standin_messages.TargetStart
        self._runner: web.AppRunner | None = None
        self._session: aiohttp.ClientSession
        self._heartbeats: asyncio.Task[None] | None = None
        # Restarts after crashes, and the requests that it runs.
        self._restarts: set[asyncio.Task[None]] = set()
        self._running: set[asyncio.Task[web.Response]] = set()
        self._is_resumed = asyncio.Event()
        self._is_resumed.set()

    async def start(self) -> None:
        """Starts it, unless it is running, and begins to send heartbeats."""
        if self._runner is not None:
            return
        self._current_start = standin_messages.TargetStart(
            f"{self._name}.{next(self._starts)}",
            self._service,
            self._address,
            int(datetime.datetime.now(datetime.UTC).timestamp() * 1000),
            SLOTS,
        )
        host, port = self._address.rsplit(":", 1)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                local_addr=(host, 0), limit=0, force_close=True
            )
        )
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._handle)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=SHUTDOWN_SECONDS,
            max_headers=MAX_HEADERS,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port)).start()
        self._heartbeats = asyncio.create_task(
            self._send_heartbeats(self._current_start)
        )

    async def end(self) -> None:
        """Ends it at once; its connections are reset."""
        runner, self._runner = self._runner, None
        if runner is None:
            return
        self.stop_heartbeats()
        for work in self._running:
            work.cancel()
        assert runner.server is not None
        for connection in list(runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await runner.cleanup()
        await self._session.close()

    async def close(self) -> None:
        """Ends it for good."""
        for restart in self._restarts:
            restart.cancel()
        await asyncio.gather(*self._restarts, return_exceptions=True)
        await self.end()

    def pause(self) -> None:
        """Does nothing more until it is resumed, as on a VM that is paused."""
        self._is_resumed.clear()

    def resume(self) -> None:
        """Goes on with the requests that it had."""
        self._is_resumed.set()

    def stop_heartbeats(self) -> None:
        """Sends no further heartbeats; requests are still served."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()

    async def deregister(self) -> None:
        """Tells its node that it leaves; requests are still served."""
        self.stop_heartbeats()
        await self._post(*self._current_start.deregistration())

    async def _send_heartbeats(
        self, start: standin_messages.TargetStart
    ) -> None:
        for sequence in itertools.count(1):
            await self._is_resumed.wait()
            await self._post(*start.heartbeat(sequence))
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _post(self, path: str, body: dict[str, object]) -> None:
        url = f"http://{self._node_addresses.targets}{path}"
        try:
            async with self._session.post(
                url, json=body, timeout=_HEARTBEAT_TIMEOUT
            ):
                pass
        except (TimeoutError, aiohttp.ClientError):
            # Its node is down or paused.
            pass

    async def _restart(self) -> None:
        await self.end()
        await asyncio.sleep(DOWN_SECONDS)
        await self.start()

    async def _handle(self, request: web.Request) -> web.Response:
        """Runs a request until this start of the target ends."""
        work = asyncio.create_task(self._run(request))
        self._running.add(work)
        work.add_done_callback(self._running.discard)
        return await work

    async def _run(self, request: web.Request) -> web.Response:
        """Fails, calls and responds as the behavior says."""
        behavior = self._behavior
        start = self._current_start
        own_headers = {
            names.HEADERS.request_id: request.headers[names.HEADERS.request_id]
        }
        expected = request.headers.get(names.HEADERS.expected_target, start.id)
        if expected != start.id:
            self._record(request, retry_checks.ArrivalKind.REJECTED)
            return web.Response(status=421, headers=own_headers)
        own_headers[names.HEADERS.response_marker] = start.id
        if request.path.endswith(CRASHING_PATH):
            self._record(request, retry_checks.ArrivalKind.CRASH)
            _reset_connection(request)
            self._restarts.add(asyncio.create_task(self._restart()))
            return web.Response()
        if behavior.fails(Failure.REJECTIONS):
            self._record(request, retry_checks.ArrivalKind.REJECTED)
            own_headers[names.HEADERS.not_run] = "1"
            return web.Response(status=503, headers=own_headers)
        arrival = self._record(request, retry_checks.ArrivalKind.RUN)
        try:
            async for _ in request.content.iter_any():
                pass
        except (ConnectionError, web.RequestPayloadError):
            return web.Response(status=400, headers=own_headers)
        if behavior.fails(Failure.HANGS, HANGING_SHARE):
            await asyncio.sleep(HANG_SECONDS)
        await asyncio.sleep(behavior.rng.uniform(*WORK_SECONDS))
        await self._is_resumed.wait()
        is_failed = behavior.fails(Failure.ERRORS)
        is_failed |= not await self._make_calls(arrival)
        if behavior.fails(Failure.RESETS):
            _reset_connection(request)
        return web.Response(
            status=500 if is_failed else 200,
            headers=own_headers,
            body=_LARGE_BODY if request.path.endswith(LARGE_PATH) else None,
        )

    def _record(
        self, request: web.Request, kind: retry_checks.ArrivalKind
    ) -> retry_checks.Arrival:
        limit_ms = request.headers.get(names.HEADERS.timeout_ms)
        return self._behavior.traffic.record_arrival(
            request.headers[names.HEADERS.request_id],
            self._service,
            self._current_start.id,
            request.path,
            self._behavior.now(),
            kind,
            None if limit_ms is None else float(limit_ms) / 1000,
        )

    async def _make_calls(self, arrival: retry_checks.Arrival) -> bool:
        """Makes the calls of a request; returns whether all succeeded."""
        behavior = self._behavior
        called = behavior.next_service.get(self._service)
        if called is None or behavior.rng.random() >= CALLING_SHARE:
            return True
        results = await asyncio.gather(
            *(self._call(arrival, *called) for _ in range(behavior.calls_each))
        )
        return all(results)

    async def _call(
        self, caller: retry_checks.Arrival, service: str, prefix: str
    ) -> bool:
        request_id = self._behavior.next_request_id("call")
        limit = caller.time_limit or 2.0
        self._behavior.traffic.record_sent(
            retry_checks.SentRequest(
                request_id, service, self._behavior.now(), limit, is_call=True
            ),
            caller,
        )
        request_headers = {
            "Host": self._behavior.host,
            names.HEADERS.request_id: request_id,
            names.HEADERS.timeout_ms: str(round(limit * 1000)),
        }
        try:
            async with self._session.get(
                f"http://{self._node_addresses.callers}{prefix}{request_id}",
                headers=request_headers,
                timeout=aiohttp.ClientTimeout(total=limit + 1),
            ) as response:
                return response.status == 200
        except (TimeoutError, aiohttp.ClientError, RuntimeError):
            # RuntimeError: this target has ended meanwhile.
            return False


def _reset_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
