"""The listener for callers: HTTP by aiohttp."""

import asyncio
import collections.abc
import contextlib
import datetime
import logging
import uuid

from aiohttp import web
import expression
import multidict

from endivewind import exchange
from endivewind import headers
from endivewind.callers import gateway
from endivewind.callers import problems
from endivewind.config import objects
from endivewind.config import settings

log = logging.getLogger(__name__)

MAX_TIMEOUT = datetime.timedelta(minutes=10)
_MAX_ID = 128
_READ_BYTES = 65_536
_DROPPED = headers.HOP_BY_HOP | {"host"}


class Listener:
    """Turns HTTP requests into exchanges and answers them."""

    def __init__(
        self, served: gateway.Gateway, limits: settings.Limits
    ) -> None:
        self._gateway = served
        self._limits = limits
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_flight(self) -> int:
        """Requests being served now."""
        return self._in_flight

    async def drained(self) -> None:
        """Waits until no request is being served."""
        await self._idle.wait()

    def server(self) -> web.Server:
        """The HTTP server; a caller that leaves cancels its request."""
        return web.Server(
            self.handle,
            handler_cancellation=True,
            access_log=None,
            max_line_size=self._limits.header_bytes,
            max_field_size=self._limits.header_bytes,
            auto_decompress=False,
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves one request."""
        self._in_flight += 1
        self._idle.clear()
        request_id = _request_id(request)
        try:
            result = await self._serve(request, request_id)
            if result.is_error():
                return _refusal(result.error, request_id)
            return await _respond(request, result.ok, request_id)
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()

    async def _serve(
        self, request: web.BaseRequest, request_id: str
    ) -> gateway.AnswerResult:
        workspace = request.headers.get(headers.WORKSPACE, "")
        host = _host(request.headers.get("Host", ""))
        path = request.raw_path
        if not path.startswith("/"):
            path = request.rel_url.raw_path_qs
        route = self._gateway.route(host, path.partition("?")[0], workspace)
        if route is None:
            return _not_run(exchange.Reason.NO_ROUTE, f"no route for {host}")
        remaining = self._remaining(request, route)
        if remaining is None:
            detail = f"{headers.TIMEOUT_MS} must be a whole number from 1"
            return _not_run(exchange.Reason.BAD_REQUEST, detail)
        body = await self._body(request)
        if body is None:
            limit = f"a body may have {self._limits.body_bytes} bytes"
            return _not_run(exchange.Reason.BODY_TOO_LARGE, limit)
        head = exchange.RequestHead(
            request_id=request_id,
            method=request.method,
            path=path,
            headers=_headers_in(request.raw_headers, request_id),
            service=route.service,
            workspace=workspace,
            remaining=remaining,
        )
        return await self._gateway.serve(route, head, body)

    def _remaining(
        self, request: web.BaseRequest, route: objects.Route
    ) -> datetime.timedelta | None:
        given = request.headers.get(headers.TIMEOUT_MS)
        if given is None:
            return self._gateway.timeout(route.service)
        if not (given.isascii() and given.isdigit() and int(given) > 0):
            return None
        return min(datetime.timedelta(milliseconds=int(given)), MAX_TIMEOUT)

    async def _body(
        self, request: web.BaseRequest
    ) -> exchange.RequestBody | None:
        """The body, held whole where it is small; None where too large."""
        if not request.body_exists:
            return exchange.RequestBody()
        length = request.content_length
        if length is not None and length > self._limits.body_bytes:
            return None
        if length is not None and length <= self._limits.buffered_body_bytes:
            return exchange.RequestBody(await request.content.read(-1))
        return exchange.RequestBody(b"", self._chunks(request))

    async def _chunks(
        self, request: web.BaseRequest
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        total = 0
        async for data in request.content.iter_chunked(_READ_BYTES):
            total += len(data)
            if total > self._limits.body_bytes:
                raise exchange.TruncatedAnswerError("the body is too large")
            yield data


def _host(field: str) -> str:
    """The Host field without its port."""
    if field.endswith("]"):
        return field
    host, colon, _ = field.rpartition(":")
    return host if colon else field


def _request_id(request: web.BaseRequest) -> str:
    given = request.headers.get(headers.REQUEST_ID, "")
    usable = 0 < len(given) <= _MAX_ID and given.isascii()
    return given if usable and given.isprintable() else uuid.uuid4().hex


def _not_run(reason: exchange.Reason, detail: str) -> gateway.AnswerResult:
    return expression.Error(exchange.not_run(reason, detail))


def _headers_in(
    raw: exchange.HeaderList, request_id: str
) -> exchange.HeaderList:
    named = {
        token.strip().lower()
        for name, value in raw
        if name.lower() == b"connection"
        for token in value.decode("latin-1").split(",")
    }
    dropped = _DROPPED | named | {headers.REQUEST_ID.lower()}
    kept = [
        (name, value)
        for name, value in raw
        if name.decode("latin-1").lower() not in dropped
    ]
    kept.append((headers.REQUEST_ID.encode(), request_id.encode()))
    return tuple(kept)


def _refusal(refusal: exchange.Refusal, request_id: str) -> web.Response:
    return web.Response(
        status=problems.status(refusal),
        headers=problems.header_fields(refusal, request_id),
        body=problems.body(refusal, request_id),
    )


def _headers_out(
    answer: exchange.Answer, request_id: str
) -> multidict.CIMultiDict[str]:
    fields = multidict.CIMultiDict(
        (name.decode("latin-1"), value.decode("utf-8", "surrogateescape"))
        for name, value in answer.headers
    )
    fields[headers.REQUEST_ID] = request_id
    return fields


async def _respond(
    request: web.BaseRequest, answer: exchange.Answer, request_id: str
) -> web.StreamResponse:
    fields = _headers_out(answer, request_id)
    if answer.rest is None:
        if request.method != "HEAD":
            fields.popall("Content-Length", None)
        return web.Response(
            status=answer.status, headers=fields, body=answer.body
        )
    response = web.StreamResponse(status=answer.status, headers=fields)
    async with contextlib.aclosing(answer.rest):
        await response.prepare(request)
        if answer.body:
            await response.write(answer.body)
        try:
            async for data in answer.rest:
                await response.write(data)
        except exchange.TruncatedAnswerError as error:
            # Closing without the end of the body is the only way left to
            # tell the caller that this is not the whole answer.
            log.warning("answer cut by the target: %s", error)
            if request.transport is not None:
                request.transport.abort()
            return response
    await response.write_eof()
    return response
