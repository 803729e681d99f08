"""The HTTP listener for callers.

Validates and routes HTTP requests from the connections. Passes their heads and
bodies to the gateway, or to the ticket handler if they need a ticket. Sends the
response or refusal back to the caller.
"""

import asyncio
import collections.abc
import contextlib
import datetime
import logging

from aiohttp import web
import expression

from endivewind import exchange
from endivewind import headers
from endivewind import http_connections
from endivewind import input_scheduler
from endivewind import logs
from endivewind.callers import abort_controller
from endivewind.callers import authorization
from endivewind.callers import caller_requests
from endivewind.callers import connections
from endivewind.callers import gateway
from endivewind.callers import memory_control
from endivewind.callers import problems
from endivewind.callers import request_queues
from endivewind.callers import response_buffer
from endivewind.callers import routed_request
from endivewind.callers import target_calls
from endivewind.callers import ticketing
from endivewind.config import objects
from endivewind.config import settings

log = logging.getLogger(__name__)

MAX_TIMEOUT = datetime.timedelta(minutes=10)
_READ_CHUNK_BYTES = 65_536
NOT_READY_RETRY_AFTER = datetime.timedelta(seconds=1)
STOPPING_RETRY_AFTER = datetime.timedelta(seconds=1)
# Requests wait for the first configuration until this time after the start of
# the node. It normally arrives from peers or from the platform by then.
MAX_CONFIGURATION_WAIT = datetime.timedelta(seconds=1)
_STARTUP_POLL_INTERVAL = datetime.timedelta(milliseconds=20)
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Listener:
    """Serves callers' HTTP requests."""

    def __init__(
        self,
        request_gateway: gateway.Gateway,
        ticket_handler: ticketing.TicketHandler,
        limits: settings.Limits,
        configuration_status: authorization.ConfigurationStatus,
        conventions: caller_requests.CallerConventions | None = None,
        memory: memory_control.MemoryControl | None = None,
        calls: target_calls.TargetCalls | None = None,
        aborts: abort_controller.AbortController | None = None,
    ) -> None:
        """Initializes the listener; `make_server` returns the HTTP server.

        Args:
          request_gateway: Sends requests to targets.
          ticket_handler: Runs requests that need a ticket.
          limits: Limits of this process.
          configuration_status: Whether this node has its configuration.
          conventions: Headers and options of callers; None for the defaults.
          memory: Admits requests by memory; None if it is not bounded.
          calls: The calls of the target on this VM; None if it has none.
          aborts: Aborts requests; shared with the gateway and the ticket
            handler.
        """
        self._gateway = request_gateway
        self._ticket_handler = ticket_handler
        self._memory = memory
        self._limits = limits
        self._configuration_status = configuration_status
        self.set_conventions(conventions or caller_requests.CallerConventions())
        self._metrics = request_gateway.metrics
        self._calls = calls
        self._aborts = aborts or abort_controller.AbortController()
        self._is_stopping = False
        self._started_at = caller_requests.loop_time()
        self._in_flight = 0
        self._cancel_tasks: set[asyncio.Task[None]] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_flight(self) -> int:
        """The number of requests being served."""
        return self._in_flight

    def set_conventions(
        self, conventions: caller_requests.CallerConventions
    ) -> None:
        """Sets the conventions of callers, from the next request on."""
        self._conventions = conventions
        self._header_filter = caller_requests.HeaderFilter.from_conventions(
            conventions
        )

    def set_limits(self, limits: settings.Limits) -> None:
        """Sets the limits of this process, from the next request on."""
        self._limits = limits

    async def wait_drained(self) -> None:
        """Waits until no request is being served."""
        await self._idle.wait()

    def make_server(
        self, scheduler: input_scheduler.InputScheduler | None = None
    ) -> web.Server:
        """Returns the HTTP server; disconnecting cancels a request.

        Args:
          scheduler: orders the input of all connections of the process.
        """
        return connections.Server(
            self.handle,
            self.start_early,
            self.cancel_early,
            self._connection_limits,
            scheduler,
            access_log=None,
            auto_decompress=False,
            lingering_time=http_connections.LINGERING_TIME.total_seconds(),
        )

    def _connection_limits(self) -> http_connections.ConnectionLimits:
        """Returns the limits of a new connection, from those in force."""
        limits = self._gateway.limits()
        if limits is None:
            return http_connections.ConnectionLimits(self._limits.header_bytes)
        return http_connections.ConnectionLimits(
            limits.header_bytes,
            datetime.timedelta(milliseconds=limits.header_timeout_ms),
            datetime.timedelta(milliseconds=limits.idle_timeout_ms),
        )

    def abort_all(self) -> None:
        """Aborts all requests; callers get the outcome as far as known.

        A response that is being sent is not replaced. Requests that arrive
        later are refused, those with a ticket too.
        """
        self._is_stopping = True
        self._aborts.abort_all()

    def refuse_outlasting(self, timeout: datetime.timedelta) -> None:
        """Refuses requests that may outlast this node; see the gateway."""
        self._gateway.refuse_outlasting(timeout)

    def refuse_new(self) -> None:
        """Refuses new requests, except those with a ticket."""
        self._is_stopping = True

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves one request, which may have been started early."""
        connection = _connection(request)
        active = connection.pop_early_request() or self._count_start(request)
        call = active.call
        call.request = request
        result: gateway.ResponseResult | None = None
        try:
            result = await self._serve_in_turn(active, connection)
            if result.is_error():
                _log_refusal(call, result.error)
                return self._refusal_response(call, result.error)
            return await self._send_response(call, result.ok)
        finally:
            connection.disallow_early_requests()
            self._count_end(active, result)

    def start_early(
        self, request: web.BaseRequest
    ) -> connections.ActiveRequest | None:
        """Starts a request before its turn if it is idempotent.

        Requests that would be refused wait for their turn. While requests of
        the service wait for targets, those sent ahead on one connection don't
        take the place of other callers'. While the node is stopping, no
        request is started early: the connection is closed before the waiting
        requests have their turn, and the caller sends them to another node.

        Returns:
          The request, or None if it must wait for its turn.
        """
        call = caller_requests.CallerRequest(request, self._conventions)
        route = self._identify_and_route(call)
        if self._is_stopping or route is None:
            return None
        if not routed_request.is_idempotent(route, request.method):
            return None
        if self._admit(call) or self._gateway.waiter_count(call.service):
            return None
        if self._reserve_memory(call):
            return None
        active = self._count_start(request, call)
        active.task = asyncio.create_task(
            self._run_abortable(call, lambda: self._forward(call))
        )
        return active

    def cancel_early(self, active: connections.ActiveRequest) -> None:
        """Cancels a request that was started early and closes its response."""
        task = asyncio.create_task(self._cancel(active))
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)

    async def _cancel(self, active: connections.ActiveRequest) -> None:
        assert active.task is not None
        active.task.cancel()
        try:
            result = await active.task
            if result.is_ok() and result.ok.stream is not None:
                await result.ok.stream.aclose()
        except asyncio.CancelledError:
            return
        finally:
            self._count_end(active, None)

    def _count_start(
        self,
        request: web.BaseRequest,
        call: caller_requests.CallerRequest | None = None,
    ) -> connections.ActiveRequest:
        """Counts a request as started and returns it."""
        self._in_flight += 1
        self._idle.clear()
        return connections.ActiveRequest(
            call or caller_requests.CallerRequest(request, self._conventions),
            self._metrics.record_start(),
        )

    def _count_end(
        self,
        active: connections.ActiveRequest,
        result: gateway.ResponseResult | None,
    ) -> None:
        """Counts the end of a request; no result if its caller disconnected."""
        self._metrics.record_end(active.started, active.call.service, result)
        if active.call.memory is not None:
            active.call.memory.release()
        self._in_flight -= 1
        if not self._in_flight:
            self._idle.set()

    async def _serve_in_turn(
        self,
        active: connections.ActiveRequest,
        connection: connections.Connection,
    ) -> gateway.ResponseResult:
        """Returns the result of a request whose turn it is."""
        if active.task is not None:
            self._allow_early_requests(active.call, connection)
            return await active.task
        return await self._run_abortable(
            active.call,
            lambda: self._receive_and_forward(active.call, connection),
        )

    async def _run_abortable(
        self,
        call: caller_requests.CallerRequest,
        serve: collections.abc.Callable[
            [], collections.abc.Awaitable[gateway.ResponseResult]
        ],
    ) -> gateway.ResponseResult:
        """Serves a request until it has a result or is aborted.

        Scenario: a node reaches its stop limit. Risk: a request that waits
        where nothing aborts it, as for its body, is cut off without a response
        when the process exits.
        """
        return await self._aborts.run(serve, lambda: _abort_result(call))

    async def _receive_and_forward(
        self,
        call: caller_requests.CallerRequest,
        connection: connections.Connection,
    ) -> gateway.ResponseResult:
        await self._wait_for_configuration(call)
        refusal = self._admit(call) or self._reserve_memory(call)
        if refusal is None:
            self._allow_early_requests(call, connection)
            refusal = await self._read_body(call)
        if refusal is not None:
            return expression.Error(refusal)
        return await self._forward(call)

    async def _wait_for_configuration(
        self, call: caller_requests.CallerRequest
    ) -> None:
        """Waits for the node's first configuration, if it has just started.

        Scenario: all nodes start together, after a power failure. Risk:
        callers reconnect before the configuration has arrived, and requests
        are refused that could be served half a second later. Requests wait
        only within the first second after the start; if the platform is
        unavailable for longer, callers are refused immediately.
        """
        while (
            caller_requests.loop_time() - self._started_at
            < MAX_CONFIGURATION_WAIT
        ):
            if (
                self._identify_and_route(call) is not None
                or not self._configuration_status.missing()
            ):
                return
            await asyncio.sleep(_STARTUP_POLL_INTERVAL.total_seconds())

    def _allow_early_requests(
        self,
        call: caller_requests.CallerRequest,
        connection: connections.Connection,
    ) -> None:
        """Lets requests behind this one start early if it is idempotent."""
        if not call.is_non_idempotent and call.request.keep_alive:
            connection.allow_early_requests()

    async def _forward(
        self, call: caller_requests.CallerRequest
    ) -> gateway.ResponseResult:
        """Passes an admitted request to the gateway or the ticket handler."""
        call.is_forwarded = True
        route = call.route
        head = exchange.RequestHead(
            request_id=call.request_id,
            method=call.request.method,
            path=call.path,
            headers=self._header_filter.apply(
                call.request.raw_headers,
                call.request_id,
                drop_key=call.has_checked_key,
            ),
            service=call.service,
            workspace=call.workspace,
            remaining_time=call.remaining(),
            ticket=call.deduplication_id if call.is_non_idempotent else "",
            latency_objective=datetime.timedelta(milliseconds=route.aim_ms),
            queue_priority=self._queue_priority(call),
        )
        if self._calls is not None and self._calls.is_call(
            call.service,
            route.prefix,
            *call.addresses,
            has_key=call.has_valid_key,
        ):
            return await self._calls.serve(
                route.prefix, head, lambda head: self._serve(call, head)
            )
        return await self._serve(call, head)

    async def _serve(
        self, call: caller_requests.CallerRequest, head: exchange.RequestHead
    ) -> gateway.ResponseResult:
        if call.needs_ticket:
            return await self._ticket_handler.serve(call.route, head, call.body)
        return await self._gateway.serve(call.route, head, call.body)

    def _queue_priority(self, call: caller_requests.CallerRequest) -> int:
        workspace = self._gateway.workspaces.get(call.workspace)
        return request_queues.queue_priority(call.route, workspace)

    def _reserve_memory(
        self, call: caller_requests.CallerRequest
    ) -> exchange.Refusal | None:
        """Reserves memory for an admitted request, or returns a refusal."""
        if self._memory is None:
            return None
        reservation = self._memory.admit(
            call.service,
            f"{call.request.method} {call.route.prefix}",
            self._queue_priority(call),
            self._held_body_bytes(call),
            call.path,
        )
        if isinstance(reservation, exchange.Refusal):
            return call.refuse(
                reservation.reason, reservation.detail, reservation.retry_after
            )
        call.memory = reservation
        return None

    def _held_body_bytes(self, call: caller_requests.CallerRequest) -> int:
        """Returns the bytes that this node holds of a request's body."""
        if not call.request.body_exists:
            return 0
        length = call.request.content_length
        limit = (
            self._limits.ticketed_body_bytes
            if call.needs_ticket
            else self._limits.buffered_body_bytes
        )
        if length is not None and length <= limit:
            return length
        return (
            limit if call.needs_ticket else memory_control.STREAMED_BODY_BYTES
        )

    def _identify_and_route(
        self, call: caller_requests.CallerRequest
    ) -> objects.Route | None:
        """Authenticates a request and returns its route, or None."""
        authorization.identify(call, self._gateway.workspaces)
        path = call.path.partition("?")[0]
        return self._gateway.route(call.host, path, call.workspace)

    def _admit(
        self, call: caller_requests.CallerRequest
    ) -> exchange.Refusal | None:
        """Routes and checks a request before its body is read.

        Returns:
          A refusal, or None if the request may be served.
        """
        route = self._identify_and_route(call)
        missing = (
            self._configuration_status.missing() if route is None else None
        )
        if missing:
            # Without its configuration a node can't tell whether a route
            # exists. After a 404 callers would give up on requests that
            # another node could serve.
            return call.refuse(
                exchange.Reason.NOT_READY, missing, NOT_READY_RETRY_AFTER
            )
        if route is None:
            detail = f"no route for {call.host}"
            return call.refuse(exchange.Reason.NO_ROUTE, detail)
        refused = authorization.check_access(
            call, route, self._configuration_status
        )
        if refused is not None:
            return refused
        return self._admit_to_route(call, route)

    def _admit_to_route(
        self, call: caller_requests.CallerRequest, route: objects.Route
    ) -> exchange.Refusal | None:
        """Sets the route of a request and checks its ticket and deadline."""
        call.route = route
        call.service = self._gateway.choose_service(route)
        call.is_non_idempotent = not routed_request.is_idempotent(
            route, call.request.method
        )
        has_ticket = call.needs_ticket and bool(call.ticket)
        if self._is_stopping and not has_ticket:
            return _stopping_refusal(call)
        if call.needs_ticket and not call.ticket:
            detail = "send again with the Idempotency-Key of this response"
            return call.refuse(exchange.Reason.TICKET_REQUIRED, detail)
        remaining = self._remaining(call.request, route)
        if remaining is None:
            name = self._conventions.header_names.timeout_ms
            detail = f"{name} must be a positive whole number"
            return call.refuse(exchange.Reason.BAD_REQUEST, detail)
        call.deadline = caller_requests.loop_time() + remaining
        return None

    def _remaining(
        self, request: web.BaseRequest, route: objects.Route
    ) -> datetime.timedelta | None:
        limit = self._gateway.timeout(route)
        header_value = request.headers.get(
            self._conventions.header_names.timeout_ms
        )
        if header_value is None:
            return limit or self._gateway.default_timeout(route)
        if not (
            header_value.isascii()
            and header_value.isdigit()
            and int(header_value) > 0
        ):
            return None
        requested = datetime.timedelta(milliseconds=int(header_value))
        return min(requested, limit or MAX_TIMEOUT, MAX_TIMEOUT)

    def _body_limit(self, call: caller_requests.CallerRequest) -> int:
        """Returns the maximum size of a body in bytes.

        Bodies of requests with a ticket have a limit of their own because they
        are buffered: a repeated request is recognized by its body, so nothing
        of it may be forwarded before all of it has been received.
        """
        if call.needs_ticket:
            return self._limits.ticketed_body_bytes
        return self.max_body_bytes()

    def max_body_bytes(self) -> int:
        """Returns the maximum size of a body that is streamed."""
        limits = self._gateway.limits()
        return limits.body_bytes if limits else self._limits.body_bytes

    async def _read_body(
        self, call: caller_requests.CallerRequest
    ) -> exchange.Refusal | None:
        """Buffers the body if it is small or has a ticket, else streams it."""
        request = call.request
        if not request.body_exists:
            return None
        limit = self._body_limit(call)
        length = request.content_length
        if length is not None and length > limit:
            return _body_too_large(call, limit)
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(_CONTINUE_RESPONSE)
            request.writer.output_size = 0
        is_small = length is not None and (
            length <= self._limits.buffered_body_bytes
        )
        if not is_small and not call.needs_ticket:
            call.body = exchange.RequestBody(b"", self._body_chunks(request))
            return None
        return await self._buffer_body(call, limit)

    async def _buffer_body(
        self, call: caller_requests.CallerRequest, limit: int
    ) -> exchange.Refusal | None:
        """Reads the whole body before any of it is forwarded."""
        try:
            async with asyncio.timeout(call.remaining().total_seconds()):
                body = await _read_whole_body(call.request, limit)
        except TimeoutError:
            detail = "the body did not end before the deadline"
            return call.refuse(exchange.Reason.DEADLINE, detail)
        except (OSError, web.RequestPayloadError) as error:
            detail = f"the body could not be read: {error}"
            return call.refuse(exchange.Reason.BAD_REQUEST, detail)
        if body is None:
            return _body_too_large(call, limit)
        call.body = body
        return None

    async def _body_chunks(
        self, request: web.BaseRequest
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        total = 0
        try:
            async for data in request.content.iter_chunked(_READ_CHUNK_BYTES):
                total += len(data)
                if total > self.max_body_bytes():
                    detail = f"body exceeds {self.max_body_bytes()} bytes"
                    raise exchange.RequestBodyError(detail)
                yield data
        except (OSError, web.RequestPayloadError) as error:
            raise exchange.RequestBodyError(str(error)) from error

    def _refusal_response(
        self, call: caller_requests.CallerRequest, refusal: exchange.Refusal
    ) -> web.Response:
        response = web.Response(
            status=problems.status(refusal),
            headers=problems.header_fields(
                refusal,
                call.request_id,
                self._conventions.header_names.request_id,
            ),
            body=problems.body(refusal, call.request_id),
        )
        self._add_ticket(call, response)
        if not call.request.content.is_eof():
            # The rest of the body is not read.
            response.force_close()
        is_stopping = refusal.reason is exchange.Reason.STOPPING
        if is_stopping and not _connection(call.request).has_early_requests:
            # Closing the connection makes the caller send its next request to
            # another node. It stays open while early requests of the connection
            # still need their responses.
            response.force_close()
        return response

    def _add_ticket(
        self, call: caller_requests.CallerRequest, response: web.StreamResponse
    ) -> None:
        """Adds a ticket for the caller's next request to the response."""
        if call.needs_ticket and not self._is_stopping:
            ticket = self._ticket_handler.issue(call.workspace)
            response.headers[headers.IDEMPOTENCY_KEY] = ticket

    async def _send_response(
        self, call: caller_requests.CallerRequest, response: exchange.Response
    ) -> web.StreamResponse:
        transport = call.request.transport
        if call.memory is None or self._memory is None or transport is None:
            return await self._write_response(call, response)
        response = call.memory.buffer(response)
        # Each write then waits until the kernel has taken all bytes. They
        # would otherwise wait in the transport, where nothing counts them.
        transport.set_write_buffer_limits(high=0)
        limit = self._gateway.timeout(
            call.route
        ) or self._gateway.default_timeout(call.route)
        watch = response_buffer.StallWatch(transport, limit)
        try:
            with watch:
                written = await self._write_response(call, response, watch)
                await written.prepare(call.request)
                await written.write_eof()
                return written
        finally:
            if watch.has_disconnected:
                self._memory.record_disconnect(call.service, call.request_id)

    async def _write_response(
        self,
        call: caller_requests.CallerRequest,
        response: exchange.Response,
        watch: response_buffer.StallWatch | None = None,
    ) -> web.StreamResponse:
        fields = caller_requests.response_headers(
            response, call, self._conventions.header_names
        )
        if response.stream is None:
            if call.request.method != "HEAD":
                fields.popall("Content-Length", None)
            http_response = web.Response(
                status=response.status, headers=fields, body=response.body
            )
            self._add_ticket(call, http_response)
            return http_response
        stream = web.StreamResponse(status=response.status, headers=fields)
        self._add_ticket(call, stream)
        async with contextlib.aclosing(response.stream):
            await stream.prepare(call.request)
            if response.body:
                await _write_part(call, stream, response.body, watch)
            try:
                async for data in response.stream:
                    await _write_part(call, stream, data, watch)
            except exchange.TruncatedResponseError as error:
                # Closing the connection before the end of the body is the only
                # remaining way to signal that the response is incomplete.
                log.warning("response truncated by the target: %s", error)
                if call.request.transport is not None:
                    call.request.transport.abort()
                return stream
        await stream.write_eof()
        return stream


async def _write_part(
    call: caller_requests.CallerRequest,
    stream: web.StreamResponse,
    data: bytes,
    watch: response_buffer.StallWatch | None,
) -> None:
    """Writes a part of a body; with a watch, until the kernel has taken it."""
    if watch is None:
        await stream.write(data)
        return
    watch.record_write(len(data))
    await stream.write(data)
    await call.request.writer.drain()
    watch.record_drain()


def _connection(request: web.BaseRequest) -> connections.Connection:
    connection = request.protocol
    assert isinstance(connection, connections.Connection)
    return connection


def _abort_result(
    call: caller_requests.CallerRequest,
) -> gateway.ResponseResult:
    """Returns the result of a request that is aborted by the listener."""
    if not call.is_forwarded:
        return expression.Error(_stopping_refusal(call))
    return expression.Error(
        exchange.unknown_outcome_refusal(
            exchange.Reason.CUT_SHORT,
            "the node stopped before the response arrived",
        )
    )


def _stopping_refusal(call: caller_requests.CallerRequest) -> exchange.Refusal:
    return call.refuse(
        exchange.Reason.STOPPING, "the node is stopping", STOPPING_RETRY_AFTER
    )


def _body_too_large(
    call: caller_requests.CallerRequest, limit: int
) -> exchange.Refusal:
    return call.refuse(
        exchange.Reason.BODY_TOO_LARGE, f"a body may have {limit} bytes"
    )


def _log_refusal(
    call: caller_requests.CallerRequest, refusal: exchange.Refusal
) -> None:
    """Logs a refusal, as a warning only if the outcome is unknown.

    Under overload a node refuses thousands of requests a second, and a log
    line for each would cost more than the refusal itself.
    """
    is_unknown = refusal.outcome is exchange.ExecutionOutcome.UNKNOWN
    level = logging.WARNING if is_unknown else logging.DEBUG
    if not log.isEnabledFor(level):
        return
    fields = logs.fields(
        request_id=call.request_id,
        service=call.service,
        workspace=call.workspace,
        outcome=refusal.outcome.value,
        reason=refusal.reason.value,
        detail=refusal.detail,
    )
    log.log(level, "refused", extra=fields)


async def _read_whole_body(
    request: web.BaseRequest, limit: int
) -> exchange.RequestBody | None:
    buffer = bytearray()
    async for data in request.content.iter_chunked(_READ_CHUNK_BYTES):
        buffer += data
        if len(buffer) > limit:
            return None
    return exchange.RequestBody(bytes(buffer))
