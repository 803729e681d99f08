"""The listener for callers: from an HTTP request to an exchange and back.

A request comes from connections; what is routed and in order goes on to the
gateway, or to ticketing where it must not repeat.
"""

import asyncio
import collections.abc
import contextlib
import datetime
import logging
from typing import Any

from aiohttp import web
import expression

from endivewind import exchange
from endivewind import headers
from endivewind import logs
from endivewind.callers import authorization
from endivewind.callers import calls
from endivewind.callers import connections
from endivewind.callers import gateway
from endivewind.callers import problems
from endivewind.callers import routed
from endivewind.callers import ticketing
from endivewind.callers import waiting
from endivewind.config import objects
from endivewind.config import settings

log = logging.getLogger(__name__)

MAX_TIMEOUT = datetime.timedelta(minutes=10)
_READ_BYTES = 65_536
# A caller that is answered before its body ends gets this long to read the
# answer before its connection is closed.
LINGER = datetime.timedelta(seconds=1)
NOT_READY_RETRY = datetime.timedelta(seconds=1)
LEAVING_RETRY = datetime.timedelta(seconds=1)
# A node that has just started has its configuration by then, from its peers or
# from the platform, and looks so often whether it has.
START_PATIENCE = datetime.timedelta(seconds=1)
_START_LOOK = datetime.timedelta(milliseconds=20)
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Listener:
    """Turns HTTP requests into exchanges and answers them."""

    def __init__(
        self,
        served: gateway.Gateway,
        ticketed: ticketing.Ticketing,
        limits: settings.Limits,
        doubts: authorization.Doubts,
        dialect: calls.Dialect | None = None,
    ) -> None:
        """Serves nothing before server() is started.

        Args:
          served: routes and places requests.
          ticketed: runs work that must not repeat.
          limits: bounds of this process.
          doubts: what this node may not know of the configuration.
          dialect: how callers speak; None for the project's own way.
        """
        self._gateway = served
        self._tickets = ticketed
        self._limits = limits
        self._doubts = doubts
        self.speak(dialect or calls.Dialect())
        self._counts = served.counts
        self._leaving = False
        self._started = calls.now()
        self._in_flight = 0
        self._dropped: set[asyncio.Task[None]] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_flight(self) -> int:
        """Requests being served now."""
        return self._in_flight

    def speak(self, dialect: calls.Dialect) -> None:
        """Takes how callers speak from the next request on."""
        self._dialect = dialect
        self._fields = calls.RequestFields.from_dialect(dialect)

    def limit(self, limits: settings.Limits) -> None:
        """Takes the bounds of this process from the next request on."""
        self._limits = limits

    async def drained(self) -> None:
        """Waits until no request is being served."""
        await self._idle.wait()

    def server(self) -> web.Server:
        """The HTTP server; a caller that leaves cancels its request."""
        return connections.Server(
            self.handle,
            self.begin,
            self.drop,
            self._connection_options,
            access_log=None,
            auto_decompress=False,
            lingering_time=LINGER.total_seconds(),
        )

    def _connection_options(self) -> dict[str, Any]:
        """What a new connection is held to, by the limits in force."""
        limits = self._gateway.limits()
        if limits is None:
            size = self._limits.header_bytes
            return {"max_line_size": size, "max_field_size": size}
        return {
            "max_line_size": limits.header_bytes,
            "max_field_size": limits.header_bytes,
            "keepalive_timeout": limits.idle_timeout_ms / 1000,
        }

    def end(self) -> None:
        """Ends every request now, each with what is known of its outcome."""
        self._gateway.end_all()

    def refuse_new(self) -> None:
        """Refuses work from now on; sends of tickets may still be answered."""
        self._leaving = True

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves one request, or answers it where it was begun before."""
        connection = _connection(request)
        begun = connection.turn() or self._open(request)
        call = begun.call
        call.request = request
        result: gateway.AnswerResult | None = None
        try:
            result = await self._result(begun, connection)
            if result.is_error():
                _log_refusal(call, result.error)
                return self._refusal(call, result.error)
            return await self._respond(call, result.ok)
        finally:
            connection.end_turn()
            self._close(begun, result)

    def begin(self, request: web.BaseRequest) -> connections.Begun | None:
        """Starts a request before its turn, if it may run beside others.

        What would be refused waits for its turn, and so does all that comes
        while the node leaves: it has not been read, and the caller sends it
        elsewhere once the connection is closed.
        """
        call = calls.Call(request, self._dialect)
        route = self._route(call)
        if self._leaving or route is None:
            return None
        if not routed.may_repeat(route, request.method):
            return None
        if self._admit(call) is not None:
            return None
        begun = self._open(request, call)
        begun.task = asyncio.create_task(self._pass_on(call))
        return begun

    def drop(self, begun: connections.Begun) -> None:
        """Ends a request that was begun, and frees what its answer holds."""
        task = asyncio.create_task(self._discard(begun))
        self._dropped.add(task)
        task.add_done_callback(self._dropped.discard)

    async def _discard(self, begun: connections.Begun) -> None:
        assert begun.task is not None
        begun.task.cancel()
        try:
            result = await begun.task
            if result.is_ok() and result.ok.stream is not None:
                await result.ok.stream.aclose()
        except asyncio.CancelledError:
            return
        finally:
            self._close(begun, None)

    def _open(
        self, request: web.BaseRequest, call: calls.Call | None = None
    ) -> connections.Begun:
        """Counts a request as being served."""
        self._in_flight += 1
        self._idle.clear()
        return connections.Begun(
            call or calls.Call(request, self._dialect), self._counts.started()
        )

    def _close(
        self, begun: connections.Begun, result: gateway.AnswerResult | None
    ) -> None:
        """Counts a request's end; no result where its caller left."""
        self._counts.ended(begun.started, begun.call.service, result)
        self._in_flight -= 1
        if not self._in_flight:
            self._idle.set()

    async def _result(
        self, begun: connections.Begun, connection: connections.Connection
    ) -> gateway.AnswerResult:
        """What came of a request whose turn it is."""
        if begun.task is not None:
            self._let_ahead(begun.call, connection)
            return await begun.task
        await self._settle(begun.call)
        refusal = self._admit(begun.call)
        if refusal is None:
            self._let_ahead(begun.call, connection)
            refusal = await self._read_body(begun.call)
        if refusal is not None:
            return expression.Error(refusal)
        return await self._pass_on(begun.call)

    async def _settle(self, call: calls.Call) -> None:
        """Lets a request wait for the first configuration of a new start.

        Load: all nodes start at once, after a loss of power. Harm: callers
        are back before the configuration is, and are refused work that could
        be served half a second later. Only the first second is waited for;
        where the platform is away for longer, callers hear so at once.
        """
        while calls.now() - self._started < START_PATIENCE:
            if self._route(call) is not None or not self._doubts.missing():
                return
            await asyncio.sleep(_START_LOOK.total_seconds())

    def _let_ahead(
        self, call: calls.Call, connection: connections.Connection
    ) -> None:
        """Lets requests behind this one begin, if it may be repeated."""
        if not call.once and call.request.keep_alive:
            connection.open_turn()

    async def _pass_on(self, call: calls.Call) -> gateway.AnswerResult:
        """Hands a request in order over to what runs it."""
        route = call.route
        head = exchange.RequestHead(
            request_id=call.request_id,
            method=call.request.method,
            path=call.path,
            headers=self._fields.forwarded(
                call.request.raw_headers,
                call.request_id,
                drop_key=call.is_keyed,
            ),
            service=call.service,
            workspace=call.workspace,
            remaining=call.remaining(),
            ticket=call.work_name if call.once else "",
            latency_objective=datetime.timedelta(milliseconds=route.aim_ms),
            queue_priority=waiting.level(
                route, self._gateway.workspaces.get(call.workspace)
            ),
        )
        if call.ticketed:
            return await self._tickets.serve(route, head, call.body)
        return await self._gateway.serve(route, head, call.body)

    def _route(self, call: calls.Call) -> objects.Route | None:
        """The route of a request, as its workspace may use it."""
        authorization.identify(call, self._gateway.workspaces)
        path = call.path.partition("?")[0]
        return self._gateway.route(call.host, path, call.workspace)

    def _admit(self, call: calls.Call) -> exchange.Refusal | None:
        """Routes a request whose head is in order; its body is unread."""
        route = self._route(call)
        missing = self._doubts.missing() if route is None else None
        if missing:
            # Without its configuration a node can't tell a route that does
            # not exist from one that it has not heard of; a 404 would have
            # callers give up on work that the next node takes.
            return call.refuse(
                exchange.Reason.NOT_READY, missing, NOT_READY_RETRY
            )
        if route is None:
            detail = f"no route for {call.host}"
            return call.refuse(exchange.Reason.NO_ROUTE, detail)
        refused = authorization.refusal(call, route, self._doubts)
        if refused is not None:
            return refused
        return self._admit_on(call, route)

    def _admit_on(
        self, call: calls.Call, route: objects.Route
    ) -> exchange.Refusal | None:
        """Takes the route of a request whose caller may use it."""
        call.route = route
        call.service = self._gateway.service_of(route)
        call.once = not routed.may_repeat(route, call.request.method)
        keyed = call.ticketed and bool(call.ticket)
        if self._leaving and not keyed:
            return call.refuse(
                exchange.Reason.STOPPING, "the node is leaving", LEAVING_RETRY
            )
        if call.ticketed and not call.ticket:
            detail = "send again with the Idempotency-Key of this answer"
            return call.refuse(exchange.Reason.TICKET_REQUIRED, detail)
        remaining = self._remaining(call.request, route)
        if remaining is None:
            name = self._dialect.names.timeout_ms
            detail = f"{name} must be a whole number from 1"
            return call.refuse(exchange.Reason.BAD_REQUEST, detail)
        call.deadline = calls.now() + remaining
        return None

    def _remaining(
        self, request: web.BaseRequest, route: objects.Route
    ) -> datetime.timedelta | None:
        limit = self._gateway.timeout(route)
        given = request.headers.get(self._dialect.names.timeout_ms)
        if given is None:
            return limit or self._gateway.default_timeout(route)
        if not (given.isascii() and given.isdigit() and int(given) > 0):
            return None
        asked = datetime.timedelta(milliseconds=int(given))
        return min(asked, limit or MAX_TIMEOUT, MAX_TIMEOUT)

    def _body_limit(self, call: calls.Call) -> int:
        """Most bytes of a body; one that must not repeat is held whole.

        A resend is recognised by its body, so none of it may be passed on
        before all of it is here.
        """
        if call.ticketed:
            return self._limits.ticketed_body_bytes
        return self._body_bytes()

    def _body_bytes(self) -> int:
        limits = self._gateway.limits()
        return limits.body_bytes if limits else self._limits.body_bytes

    async def _read_body(self, call: calls.Call) -> exchange.Refusal | None:
        """Reads the body, whole where it is small or must not repeat."""
        request = call.request
        if not request.body_exists:
            return None
        limit = self._body_limit(call)
        length = request.content_length
        if length is not None and length > limit:
            return _too_large(call, limit)
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(_CONTINUE)
            request.writer.output_size = 0
        small = length is not None and (
            length <= self._limits.buffered_body_bytes
        )
        if not small and not call.ticketed:
            call.body = exchange.RequestBody(b"", self._chunks(request))
            return None
        return await self._hold(call, limit)

    async def _hold(
        self, call: calls.Call, limit: int
    ) -> exchange.Refusal | None:
        """Reads the whole body; nothing of it has gone on to a target."""
        try:
            async with asyncio.timeout(call.remaining().total_seconds()):
                body = await _held_body(call.request, limit)
        except TimeoutError:
            detail = "the body did not end before the deadline"
            return call.refuse(exchange.Reason.DEADLINE, detail)
        except (OSError, web.RequestPayloadError) as error:
            detail = f"the body broke off: {error}"
            return call.refuse(exchange.Reason.BAD_REQUEST, detail)
        if body is None:
            return _too_large(call, limit)
        call.body = body
        return None

    async def _chunks(
        self, request: web.BaseRequest
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        total = 0
        try:
            async for data in request.content.iter_chunked(_READ_BYTES):
                total += len(data)
                if total > self._body_bytes():
                    limit = f"over {self._body_bytes()} bytes"
                    raise exchange.TruncatedBodyError(limit)
                yield data
        except (OSError, web.RequestPayloadError) as error:
            raise exchange.TruncatedBodyError(str(error)) from error

    def _refusal(
        self, call: calls.Call, refusal: exchange.Refusal
    ) -> web.Response:
        response = web.Response(
            status=problems.status(refusal),
            headers=problems.header_fields(
                refusal, call.request_id, self._dialect.names.request_id
            ),
            body=problems.body(refusal, call.request_id),
        )
        self._add_ticket(call, response)
        stopping = refusal.reason is exchange.Reason.STOPPING
        if stopping and not _connection(call.request).has_begun:
            # The caller's next request goes to a node that stays. Those that
            # targets already have are answered first.
            response.force_close()
        return response

    def _add_ticket(
        self, call: calls.Call, response: web.StreamResponse
    ) -> None:
        """Gives the caller a ticket for its next operation."""
        if call.ticketed and not self._leaving:
            ticket = self._tickets.issue(call.workspace)
            response.headers[headers.IDEMPOTENCY_KEY] = ticket

    async def _respond(
        self, call: calls.Call, answer: exchange.Response
    ) -> web.StreamResponse:
        fields = calls.headers_out(answer, call, self._dialect.names)
        if answer.stream is None:
            if call.request.method != "HEAD":
                fields.popall("Content-Length", None)
            response = web.Response(
                status=answer.status, headers=fields, body=answer.body
            )
            self._add_ticket(call, response)
            return response
        stream = web.StreamResponse(status=answer.status, headers=fields)
        self._add_ticket(call, stream)
        async with contextlib.aclosing(answer.stream):
            await stream.prepare(call.request)
            if answer.body:
                await stream.write(answer.body)
            try:
                async for data in answer.stream:
                    await stream.write(data)
            except exchange.TruncatedResponseError as error:
                # Closing without the end of the body is the only way left to
                # tell the caller that this is not the whole answer.
                log.warning("answer cut by the target: %s", error)
                if call.request.transport is not None:
                    call.request.transport.abort()
                return stream
        await stream.write_eof()
        return stream


def _connection(request: web.BaseRequest) -> connections.Connection:
    connection = request.protocol
    assert isinstance(connection, connections.Connection)
    return connection


def _too_large(call: calls.Call, limit: int) -> exchange.Refusal:
    return call.refuse(
        exchange.Reason.BODY_TOO_LARGE, f"a body may have {limit} bytes"
    )


def _log_refusal(call: calls.Call, refusal: exchange.Refusal) -> None:
    """Logs a refusal: aloud only where the outcome is unknown.

    Under overload a node refuses thousands a second, and a line for each
    would cost more than the refusal.
    """
    unknown = refusal.outcome is exchange.Outcome.UNKNOWN
    level = logging.WARNING if unknown else logging.DEBUG
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


async def _held_body(
    request: web.BaseRequest, limit: int
) -> exchange.RequestBody | None:
    held = bytearray()
    async for data in request.content.iter_chunked(_READ_BYTES):
        held += data
        if len(held) > limit:
            return None
    return exchange.RequestBody(bytes(held))
