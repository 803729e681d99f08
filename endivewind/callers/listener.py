"""The listener for callers: HTTP by aiohttp."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import datetime
import logging
import os
from typing import Any

from aiohttp import web
import expression
import multidict

from endivewind import exchange
from endivewind import headers
from endivewind import logs
from endivewind.callers import gateway
from endivewind.callers import problems
from endivewind.callers import ticketing
from endivewind.callers import tickets
from endivewind.callers import waiting
from endivewind.config import objects
from endivewind.config import settings

log = logging.getLogger(__name__)

MAX_TIMEOUT = datetime.timedelta(minutes=10)
_MAX_ID = 128
_READ_BYTES = 65_536
_ID_BYTES = 16
# What only the system may say to a caller.
_OWN_FIELDS = (headers.OUTCOME, headers.REASON)
# A caller that is answered before its body ends gets this long to read the
# answer before its connection is closed.
LINGER = datetime.timedelta(seconds=1)
NOT_READY_RETRY = datetime.timedelta(seconds=1)
LEAVING_RETRY = datetime.timedelta(seconds=1)
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """How callers speak to this node.

    Attributes:
      names: the headers that they use.
      caller_service: the service on this VM, which targets are told; empty
        where there is none.
      tickets: whether work that must not repeat needs a ticket; else the id
        of each request names it.
    """

    names: headers.Names = headers.OWN
    caller_service: str = ""
    tickets: bool = True


class Listener:
    """Turns HTTP requests into exchanges and answers them."""

    def __init__(
        self,
        served: gateway.Gateway,
        ticketed: ticketing.Ticketing,
        limits: settings.Limits,
        not_ready: collections.abc.Callable[[], str | None],
        dialect: Dialect | None = None,
    ) -> None:
        """Serves nothing before server() is started.

        Args:
          served: routes and places requests.
          ticketed: runs work that must not repeat.
          limits: bounds of this process.
          not_ready: what the node still lacks; None once it has all.
          dialect: how callers speak; None for the project's own way.
        """
        self._gateway = served
        self._tickets = ticketed
        self._limits = limits
        self._not_ready = not_ready
        self.speak(dialect or Dialect())
        self._counts = served.counts
        self._leaving = False
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_flight(self) -> int:
        """Requests being served now."""
        return self._in_flight

    def speak(self, dialect: Dialect) -> None:
        """Takes how callers speak from the next request on."""
        self._dialect = dialect
        self._fields = _RequestFields.from_dialect(dialect)

    def limit(self, limits: settings.Limits) -> None:
        """Takes the bounds of this process from the next request on."""
        self._limits = limits

    async def drained(self) -> None:
        """Waits until no request is being served."""
        await self._idle.wait()

    def server(self) -> web.Server:
        """The HTTP server; a caller that leaves cancels its request."""
        return _Server(
            self.handle,
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

    def refuse_new(self) -> None:
        """Refuses work from now on; sends of tickets may still be answered."""
        self._leaving = True

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves one request."""
        self._in_flight += 1
        self._idle.clear()
        started = self._counts.started()
        call = _Call(request, self._dialect)
        result: gateway.AnswerResult | None = None
        try:
            result = await self._serve(call)
            if result.is_error():
                _log_refusal(call, result.error)
                return self._refusal(call, result.error)
            return await self._respond(call, result.ok)
        finally:
            self._counts.ended(started, call.service, result)
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()

    async def _serve(self, call: "_Call") -> gateway.AnswerResult:
        refusal = self._admit(call) or await self._read_body(call)
        if refusal is not None:
            return expression.Error(refusal)
        route = call.route
        head = exchange.RequestHead(
            request_id=call.request_id,
            method=call.request.method,
            path=call.path,
            headers=self._fields.forwarded(
                call.request.raw_headers, call.request_id
            ),
            service=call.service,
            workspace=call.workspace,
            remaining=call.remaining(),
            ticket=call.work_name if call.once else "",
            aim=datetime.timedelta(milliseconds=route.aim_ms),
            level=waiting.level(route),
        )
        if call.ticketed:
            return await self._tickets.serve(route, head, call.body)
        return await self._gateway.serve(route, head, call.body)

    def _admit(self, call: "_Call") -> exchange.Refusal | None:
        """Routes a request whose head is in order; its body is unread."""
        host = _host(call.request.headers.get("Host", ""))
        path = call.path.partition("?")[0]
        route = self._gateway.route(host, path, call.workspace)
        missing = self._not_ready() if route is None else None
        if missing:
            # Without its configuration a node can't tell a route that does
            # not exist from one that it has not heard of; a 404 would have
            # callers give up on work that the next node takes.
            return call.refuse(
                exchange.Reason.NOT_READY, missing, NOT_READY_RETRY
            )
        if route is None:
            return call.refuse(exchange.Reason.NO_ROUTE, f"no route for {host}")
        call.route = route
        call.service = self._gateway.service_of(route)
        call.once = not gateway.may_repeat(route, call.request.method)
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
        call.deadline = _now() + remaining
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

    def _body_limit(self, call: "_Call") -> int:
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

    async def _read_body(self, call: "_Call") -> exchange.Refusal | None:
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

    async def _hold(self, call: "_Call", limit: int) -> exchange.Refusal | None:
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
        self, call: "_Call", refusal: exchange.Refusal
    ) -> web.Response:
        response = web.Response(
            status=problems.status(refusal),
            headers=problems.header_fields(
                refusal, call.request_id, self._dialect.names.request_id
            ),
            body=problems.body(refusal, call.request_id),
        )
        self._add_ticket(call, response)
        if refusal.reason is exchange.Reason.STOPPING:
            # The caller's next request goes to a node that stays.
            response.force_close()
        return response

    def _add_ticket(self, call: "_Call", response: web.StreamResponse) -> None:
        """Gives the caller a ticket for its next operation."""
        if call.ticketed and not self._leaving:
            ticket = self._tickets.issue(call.workspace)
            response.headers[headers.IDEMPOTENCY_KEY] = ticket

    async def _respond(
        self, call: "_Call", answer: exchange.Answer
    ) -> web.StreamResponse:
        fields = _headers_out(answer, call, self._dialect.names)
        if answer.rest is None:
            if call.request.method != "HEAD":
                fields.popall("Content-Length", None)
            response = web.Response(
                status=answer.status, headers=fields, body=answer.body
            )
            self._add_ticket(call, response)
            return response
        stream = web.StreamResponse(status=answer.status, headers=fields)
        self._add_ticket(call, stream)
        async with contextlib.aclosing(answer.rest):
            await stream.prepare(call.request)
            if answer.body:
                await stream.write(answer.body)
            try:
                async for data in answer.rest:
                    await stream.write(data)
            except exchange.TruncatedAnswerError as error:
                # Closing without the end of the body is the only way left to
                # tell the caller that this is not the whole answer.
                log.warning("answer cut by the target: %s", error)
                if call.request.transport is not None:
                    call.request.transport.abort()
                return stream
        await stream.write_eof()
        return stream


class _Call:
    """One request of a caller, and what is known of it so far."""

    def __init__(self, request: web.BaseRequest, dialect: Dialect) -> None:
        self.request = request
        self._dialect = dialect
        self.request_id = _request_id(request, dialect.names)
        self.workspace = request.headers.get(headers.WORKSPACE, "")
        self.ticket = request.headers.get(headers.IDEMPOTENCY_KEY, "")
        self.once = False
        self.route: objects.Route
        self.service = ""
        self.body = exchange.RequestBody()
        self.deadline = datetime.timedelta()

    @property
    def ticketed(self) -> bool:
        """Whether it must not repeat and needs a ticket."""
        return self.once and self._dialect.tickets

    @property
    def work_name(self) -> str:
        """What names its work at the homes, if it must not repeat."""
        return self.ticket if self._dialect.tickets else self.request_id

    @property
    def path(self) -> str:
        """Path and query as sent, without scheme and host."""
        path = self.request.raw_path
        return (
            path if path.startswith("/") else self.request.rel_url.raw_path_qs
        )

    def remaining(self) -> datetime.timedelta:
        """Time left until the deadline; never zero."""
        return max(self.deadline - _now(), datetime.timedelta(milliseconds=1))

    def refuse(
        self,
        reason: exchange.Reason,
        detail: str,
        retry_after: datetime.timedelta | None = None,
    ) -> exchange.Refusal:
        """A refusal of this send by the entry."""
        refusal = exchange.not_run(reason, detail, retry_after)
        if self._dialect.tickets and tickets.parse(self.ticket) is not None:
            refusal = ticketing.unconfirmed(refusal)
        return refusal


class _Server(web.Server):
    """An HTTP server whose own errors tell the outcome, too."""

    def __init__(
        self,
        handler: collections.abc.Callable[
            [web.BaseRequest], collections.abc.Awaitable[web.StreamResponse]
        ],
        connection_options: collections.abc.Callable[[], dict[str, Any]],
        **options: Any,
    ) -> None:
        super().__init__(handler, handler_cancellation=True, **options)
        self._connection_options = connection_options
        self._options = options

    def __call__(self) -> web.RequestHandler:
        """The handler of one connection."""
        options = {**self._options, **self._connection_options()}
        return _Connection(self, loop=asyncio.get_running_loop(), **options)


class _Connection(web.RequestHandler):
    """One caller's connection."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers what is not HTTP, or what a fault here has left open."""
        if request.writer.output_size > 0:
            raise ConnectionError("an answer has begun already")
        if status < 500:
            detail = (message or "not a valid request").strip()
            refusal = exchange.not_run(exchange.Reason.BAD_REQUEST, detail)
        else:
            log.error("request failed", exc_info=exc)
            refusal = exchange.unknown(
                exchange.Reason.INTERNAL, "the node failed"
            )
        request_id = _new_request_id()
        response = web.Response(
            status=status,
            headers=problems.header_fields(refusal, request_id),
            body=problems.body(refusal, request_id),
        )
        response.force_close()
        return response


def _too_large(call: _Call, limit: int) -> exchange.Refusal:
    return call.refuse(
        exchange.Reason.BODY_TOO_LARGE, f"a body may have {limit} bytes"
    )


def _log_refusal(call: _Call, refusal: exchange.Refusal) -> None:
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


def _now() -> datetime.timedelta:
    return datetime.timedelta(seconds=asyncio.get_running_loop().time())


def _host(field: str) -> str:
    """The Host field without its port."""
    if field.endswith("]"):
        return field
    host, colon, _ = field.rpartition(":")
    return host if colon else field


def _request_id(request: web.BaseRequest, names: headers.Names) -> str:
    given = request.headers.get(names.request_id, "")
    usable = 0 < len(given) <= _MAX_ID and given.isascii()
    return given if usable and given.isprintable() else _new_request_id()


def _new_request_id() -> str:
    return os.urandom(_ID_BYTES).hex()


@dataclasses.dataclass(frozen=True, slots=True)
class _RequestFields:
    """Which headers of a request go on to a target.

    Attributes:
      dropped: as bytes in lower case, since every header is compared.
      request_id: name of the request's id.
      added: what the system itself says to every target.
    """

    dropped: frozenset[bytes]
    request_id: bytes
    added: exchange.HeaderList

    @classmethod
    def from_dialect(cls, dialect: Dialect) -> "_RequestFields":
        """The fields for callers that speak so."""
        names = dialect.names
        own = (names.request_id, names.caller_service, names.expected_target)
        dropped = frozenset(
            name.lower().encode()
            for name in (*headers.HOP_BY_HOP, "expect", *own)
            if name
        )
        added: exchange.HeaderList = ()
        if names.caller_service and dialect.caller_service:
            name = names.caller_service.encode()
            added = ((name, dialect.caller_service.encode()),)
        return cls(dropped, names.request_id.encode(), added)

    def forwarded(
        self, raw: exchange.HeaderList, request_id: str
    ) -> exchange.HeaderList:
        """The headers that a target gets."""
        named = [
            token.strip().lower()
            for name, value in raw
            if name.lower() == b"connection"
            for token in value.split(b",")
        ]
        dropped = self.dropped.union(named) if named else self.dropped
        kept = [item for item in raw if item[0].lower() not in dropped]
        kept.append((self.request_id, request_id.encode()))
        kept.extend(self.added)
        return tuple(kept)


def _headers_out(
    answer: exchange.Answer, call: _Call, names: headers.Names
) -> multidict.CIMultiDict[str]:
    fields = multidict.CIMultiDict(
        [
            (name.decode("latin-1"), value.decode("utf-8", "surrogateescape"))
            for name, value in answer.headers
        ]
    )
    for name in _OWN_FIELDS:
        fields.popall(name, None)
    fields[names.request_id] = call.request_id
    return fields
