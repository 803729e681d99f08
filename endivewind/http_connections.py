"""HTTP connections whose clients may misbehave: an aiohttp server with bounds.

aiohttp parses all that a connection receives at once, and holds an unfinished
head for as long as its client likes. Here the bytes are held as they are until
a head is complete or a part of a body may be parsed. They are passed to
aiohttp's parser in small parts, in turns with other connections, and in the
order in which they came. All HTTP servers of a node use these connections.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import datetime
import functools
import re
from typing import Any

from aiohttp import http
from aiohttp import http_parser
from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol

from endivewind import input_scheduler
from endivewind.decisions import received_input

# If a response is sent before the whole request body has been received, the
# connection stays open for this time so that the client can read it.
LINGERING_TIME = datetime.timedelta(seconds=5)
_END_OF_HEAD = b"\r\n\r\n"
_END_OF_CHUNKS = b"0\r\n\r\n"
_LENGTH_FIELD = re.compile(rb"\ncontent-length:[ \t]*(\d{1,18})")
# Longest body of a request that was sent ahead and waits for its turn.
_MAX_WAITING_BODY_BYTES = 4096
# Parts of a chunked body that are parsed at once, if their chunks are large and
# if they are small.
_CHUNKED_PART_BYTES = 16_384
_DENSE_PART_BYTES = 512
_DENSE_PART_LINES = 128
# Lines behind the last byte of a chunked body.
_MAX_TRAILER_LINES = 128
# Shortest field of a head: a letter, a colon and the end of the line.
_MIN_FIELD_BYTES = 4
# A process that was paused looks for received bytes before it gives up a head.
_LAST_LOOK = datetime.timedelta(milliseconds=50)


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of one connection.

    Attributes:
      header_bytes: maximum size of a request's headers.
      header_timeout: maximum time from their first byte to their last.
      idle_timeout: time after which an idle connection is closed; None for
        aiohttp's default.
      discarded_bytes: bytes of an unread body that are received after the
        response.
    """

    header_bytes: int = 16_384
    header_timeout: datetime.timedelta = datetime.timedelta(seconds=10)
    idle_timeout: datetime.timedelta | None = None
    discarded_bytes: int = 262_144


class ParsedHead:
    """A parsed head in the place of aiohttp's message, until its request opens.

    An idle connection of aiohttp keeps the message of its last request. The
    head of very many fields takes a megabyte.
    """

    __slots__ = ("message",)

    def __init__(self, message: http.RawRequestMessage) -> None:
        self.message: http.RawRequestMessage | None = message

    def take(self) -> http.RawRequestMessage:
        """Returns the message, and keeps it no longer."""
        message, self.message = self.message, None
        assert message is not None
        return message


class BoundedServer(web.Server):
    """A server whose connections take turns with those of other servers."""

    def __init__(
        self,
        handler: collections.abc.Callable[..., Any],
        limits: collections.abc.Callable[[], ConnectionLimits],
        scheduler: input_scheduler.InputScheduler,
        handler_cancellation: bool = False,
        request_factory: collections.abc.Callable[..., Any] | None = None,
        **options: Any,
    ) -> None:
        """Initializes the server.

        Args:
          handler: serves a request.
          limits: returns the limits of a new connection.
          scheduler: shared by all servers of the process.
          handler_cancellation: whether a client that disconnects cancels its
            request.
          request_factory: makes requests; None for aiohttp's.
          **options: of aiohttp's connections.
        """
        super().__init__(
            handler,
            handler_cancellation=handler_cancellation,
            request_factory=request_factory,
        )
        self._make_request_from = self.request_factory
        self.request_factory = self._open_request
        self.scheduler = scheduler
        self._limits = limits
        self._options = options

    def __call__(self) -> web.RequestHandler:
        """Returns the handler of a new connection."""
        return BoundedConnection(self, self._limits(), **self._options)

    def _open_request(
        self, head: "ParsedHead | http.RawRequestMessage", *arguments: Any
    ) -> web.BaseRequest:
        message = head.take() if isinstance(head, ParsedHead) else head
        request: web.BaseRequest = self._make_request_from(message, *arguments)
        return request


class BoundedAppRunner(web.AppRunner):
    """Runs an application with bounded connections."""

    __slots__ = ("_limits", "_scheduler")

    def __init__(
        self,
        application: web.Application,
        limits: ConnectionLimits,
        scheduler: input_scheduler.InputScheduler,
    ) -> None:
        super().__init__(application, access_log=None)
        self._limits = limits
        self._scheduler = scheduler

    async def _make_server(self) -> web.Server:
        await super()._make_server()
        # aiohttp has no public way to use another server for an application.
        return BoundedServer(
            self.app._handle,
            lambda: self._limits,
            self._scheduler,
            request_factory=self.app._make_request,
            access_log=None,
            lingering_time=LINGERING_TIME.total_seconds(),
        )


class BoundedConnection(web.RequestHandler):
    """A connection that holds what it has received until its turn.

    Parts that are passed to the parser end where a head or a body ends, as far
    as that is known before. Then the parser holds no unfinished head. Behind a
    chunked body, whose end only the parser finds, it may.
    """

    __slots__ = (
        "_active_at",
        "_allowance",
        "_body",
        "_discard_end",
        "_discarded_bytes",
        "_fruitless_bytes",
        "_fruitless_lines",
        "_has_been_served",
        "_has_partial_head",
        "_head_timer",
        "_holds_parsed_fields",
        "_input",
        "_input_limits",
        "_input_position",
        "_is_chunked",
        "_is_held",
        "_is_rejected",
        "_is_waiting",
        "_last_bytes",
        "_length",
        "_make_parser",
        "_open_lines",
        "_reserved_bytes",
        "_scheduler",
        "_server",
        "_unread_bytes",
        "_used_units",
    )

    def __init__(
        self, server: BoundedServer, limits: ConnectionLimits, **options: Any
    ) -> None:
        loop = asyncio.get_running_loop()
        if limits.idle_timeout is not None:
            options["keepalive_timeout"] = limits.idle_timeout.total_seconds()
        super().__init__(server, loop=loop, **options)
        self._input_limits = limits
        self._make_parser = functools.partial(
            http_parser.HttpRequestParser,
            self,
            loop,
            received_input.RECEIVE_BUFFER_BYTES // 2,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            max_headers=limits.header_bytes // _MIN_FIELD_BYTES,
            payload_exception=web.RequestPayloadError,
            auto_decompress=options.get("auto_decompress", True),
            max_msg_queue_size=web_protocol.MAX_MSG_QUEUE_SIZE,
        )
        self._parser = self._make_parser()
        self._holds_parsed_fields = False
        self._server = server
        self._scheduler = server.scheduler
        self._allowance = received_input.Allowance(loop.time())
        self._used_units = 0.0
        self._active_at = loop.time()
        self._has_been_served = False
        # What was received and not passed to the parser, from a position on.
        self._input = b""
        self._input_position = 0
        # The body that is being received, None between requests.
        self._body: streams.StreamReader | None = None
        self._is_chunked = False
        self._length = 0
        # Bytes and lines of a chunked body since its last byte of content, or
        # of a head that the parser holds.
        self._fruitless_bytes = 0
        self._fruitless_lines = 0
        self._has_partial_head = False
        self._last_bytes = b""
        # Lines of the heads of open requests, and memory reserved for them.
        self._open_lines: collections.deque[int] = collections.deque()
        self._reserved_bytes: collections.deque[int] = collections.deque()
        # What arrives after the response to a body that was not read.
        self._discard_end: asyncio.Future[None] | None = None
        self._discarded_bytes = 0
        self._unread_bytes = 0
        self._is_held = False
        self._is_waiting = False
        self._is_rejected = False
        self._head_timer: asyncio.TimerHandle | None = None

    @property
    def idle_since(self) -> tuple[bool, float] | None:
        """See `input_scheduler.Connection`."""
        if self._open_lines or self._is_waiting:
            return None
        return self._has_been_served, self._active_at

    @property
    def used_units(self) -> float:
        """See `input_scheduler.Connection`."""
        return self._used_units

    def abort(self) -> None:
        """Closes the connection at once."""
        self._scheduler.remove(self._server, self)
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accepts the connection, or closes it if there are too many."""
        has_room = self._scheduler.add(self._server, self)
        super().connection_made(transport)
        if not has_room:
            self._scheduler.evict("no room", [self])

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forgets what was received."""
        self._scheduler.remove(self._server, self)
        self._cancel_head_timer()
        self._scheduler.forget(self)
        self._input = b""
        has_begun = self._waiter is not None or bool(self._open_lines)
        if self._task_handler is not None and not has_begun:
            # aiohttp's task expects to begin while the connection is open.
            self._task_handler.cancel()
        while self._open_lines:
            self._end_request()
        super().connection_lost(exc)

    def close(self) -> None:
        """Closes the connection as soon as no request is in progress.

        aiohttp forgets a connection that is so new that it does not wait for a
        request yet: it ignores what the caller sends, and the caller waits for
        a response until the server has shut down.
        """
        if not self._open_lines and (part := self._next_part()):
            # A request that waits for its turn is in progress too.
            self._parse_next(part, self._cost(part))
        if self._discard_end is not None and not self._discard_end.done():
            self._discard_end.set_result(None)
        super().close()
        is_waiting = self._waiter is not None
        if not (is_waiting or self._request_in_progress or self._messages):
            self.force_close()

    def data_received(self, data: bytes) -> None:
        """Holds received bytes, and parses what may be parsed at once."""
        if self._discard_end is not None:
            self._discard(data)
            return
        if self._force_close or self._close or self._is_rejected:
            return
        if data:
            rest = self._input[self._input_position :]
            self._input = rest + data if rest else data
            self._input_position = 0
        else:
            # The reader of a body has made room: the parser goes on with what
            # it has left of the last part.
            self._parse(b"")
        if not self._is_waiting:
            self._parse_while_allowed()

    def take_turn(self, units: float) -> float:
        """See `input_scheduler.Connection`."""
        self._is_waiting = False
        used = 0.0
        while used < units:
            part = self._next_part()
            cost = self._cost(part)
            if not part or not self._parse_next(part, cost):
                break
            used += cost
        else:
            if self._next_part():
                self._wait_for_turn()
                return used
        self._settle()
        return used

    async def finish_response(
        self, request: Any, resp: Any, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Sends the end of a response; the next request may be parsed."""
        try:
            result = await super().finish_response(request, resp, start_time)
        finally:
            self._has_been_served = True
            self._active_at = self._loop.time()
            request._message = request._headers = None
            request._cache.clear()
            if self._open_lines:
                self._end_request()
            if self._holds_parsed_fields:
                self._replace_parser()
            if self._is_held:
                self._loop.call_soon(self._continue)
        if self._body is not None and self._body is request.content:
            await self._linger(self._body)
        return result

    def _replace_parser(self) -> None:
        """Makes a new parser; the old one keeps the fields of its last head."""
        if self._open_lines or self._body is not None or self._has_partial_head:
            return
        self._holds_parsed_fields = False
        if self._parser is not None:
            self._parser = self._make_parser()

    async def _linger(self, body: streams.StreamReader) -> None:
        """Discards the rest of a body that nobody reads; closes afterwards.

        Bytes that arrive at a closed connection would reset it, and the client
        might lose the response. aiohttp parses the rest, which costs more.
        """
        self._unread_bytes = self._length - body.total_bytes
        self._unread_bytes -= len(self._input) - self._input_position
        self._discard_end = self._loop.create_future()
        # aiohttp then does not read the rest itself.
        body.feed_eof()
        if body.exception() is None:
            body.read_nowait()
        self._body = None
        self._is_rejected = True
        self._settle()
        super().close()
        if self._is_chunked or self._unread_bytes > 0:
            await asyncio.wait(
                [self._discard_end], timeout=self._lingering_time
            )

    def _discard(self, data: bytes) -> None:
        """Discards bytes of a body that nobody reads."""
        assert self._discard_end is not None
        self._discarded_bytes += len(data)
        has_ended = (
            data.endswith(_END_OF_CHUNKS)
            if self._is_chunked
            else self._discarded_bytes >= self._unread_bytes
        )
        if has_ended:
            if not self._discard_end.done():
                self._discard_end.set_result(None)
        elif self._discarded_bytes > self._input_limits.discarded_bytes:
            self._hold()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the response to invalid HTTP, or to an internal error.

        aiohttp logs each with a traceback, which would cost more than the
        refusal itself.
        """
        if isinstance(exc, web.RequestPayloadError):
            status, message = 400, str(exc)
        if status >= 500:
            return super().handle_error(request, status, exc, message)
        if request.writer.output_size > 0:
            raise ConnectionError("the response has already started")
        response = web.Response(status=status, text=f"{message}\n")
        response.force_close()
        return response

    def requests_received(self) -> None:
        """Called when requests have been parsed."""

    def _continue(self) -> None:
        if not self._is_waiting and self.transport is not None:
            self._parse_while_allowed()

    def _parse_while_allowed(self) -> None:
        """Parses parts until the connection has to wait for its turn."""
        while part := self._next_part():
            units = self._cost(part)
            if not self._allowance.take(units, self._loop.time()):
                self._wait_for_turn()
                return
            if not self._parse_next(part, units):
                break
        self._settle()

    def _wait_for_turn(self) -> None:
        self._is_waiting = True
        self._cancel_head_timer()
        self._hold()
        self._scheduler.wait_for_turn(self)

    def _next_part(self) -> bytes:
        """Returns what may be passed to the parser next; empty for nothing."""
        start = self._input_position
        size = len(self._input) - start
        is_stopped = self._is_rejected or self._upgraded or self._close
        if not size or is_stopped or self._reading_paused:
            return b""
        if self._body is not None and not self._is_chunked:
            size = min(size, self._length - self._body.total_bytes)
        elif self._body is not None or self._has_partial_head:
            size = self._chunked_part_size(min(size, _CHUNKED_PART_BYTES))
        else:
            size = self._head_size()
            if size and not self._may_open(self._input[start : start + size]):
                return b""
        return self._input[start : start + size]

    def _chunked_part_size(self, size: int) -> int:
        start = self._input_position
        lines = self._input.count(b"\n", start, start + size)
        return size if lines <= _DENSE_PART_LINES else _DENSE_PART_BYTES

    def _head_size(self) -> int:
        """Returns the size of the next head; 0 if it has not ended."""
        found = self._input.find(_END_OF_HEAD, self._input_position)
        if found < 0:
            return 0
        return found + len(_END_OF_HEAD) - self._input_position

    def _may_open(self, head: bytes) -> bool:
        """Returns whether a request may be opened beside the open ones."""
        if not self._open_lines:
            return True
        lines = head.count(b"\n") + sum(self._open_lines)
        if (
            len(self._open_lines) >= received_input.MAX_OPEN_REQUESTS
            or lines > received_input.MAX_OPEN_LINES
        ):
            return False
        # A longer body that waits for its turn would be held uncounted.
        lower = head.lower()
        length = _LENGTH_FIELD.search(lower)
        if length is not None and int(length[1]) > _MAX_WAITING_BODY_BYTES:
            return False
        return b"\ntransfer-encoding" not in lower

    def _cost(self, part: bytes) -> float:
        """Returns what it costs to parse a part, in units."""
        is_content = self._body is not None and not self._is_chunked
        lines = 0 if is_content else part.count(b"\n")
        return received_input.input_cost(len(part), lines)

    def _parse_next(self, part: bytes, units: float) -> bool:
        """Parses the next part, unless it has to wait for memory."""
        is_head = self._body is None and not self._has_partial_head
        if is_head and self._is_too_large(part):
            self._reject(400, "the headers are too large")
            return False
        reserved = self._reserve(part) if is_head else 0
        if reserved is None:
            return False
        self._input_position += len(part)
        if self._input_position == len(self._input):
            self._input = b""
            self._input_position = 0
        self._used_units += units
        self._last_bytes = (self._last_bytes + part)[-len(_END_OF_HEAD) :]
        if self._parse(part):
            self._reserved_bytes[-1] += reserved
        else:
            self._scheduler.release_fields(reserved)
        return True

    def _reserve(self, head: bytes) -> int | None:
        """Reserves the memory of a head; returns None if it has to wait."""
        lines = sum(self._open_lines) + head.count(b"\n")
        size = received_input.extra_field_bytes(lines) - sum(
            self._reserved_bytes
        )
        if size <= 0:
            return 0
        return size if self._scheduler.reserve_fields(self, size) else None

    def _parse(self, part: bytes) -> int:
        """Passes a part to the parser; returns how many requests it ended."""
        parsed_before = self._request_count
        content_before = self._body.total_bytes if self._body else 0
        super().data_received(part)
        count = self._request_count - parsed_before
        if count:
            self._open_requests(count)
        elif self._body is not None and self._body.total_bytes > content_before:
            self._fruitless_bytes = self._fruitless_lines = 0
        elif self._body is not None or self._has_partial_head:
            self._fruitless_bytes += len(part)
            self._fruitless_lines += part.count(b"\n")
        if self._body is not None and self._body.is_eof():
            self._end_body(part)
        self._check_fruitless()
        if self._upgraded:
            # What follows is not HTTP, and no target gets it.
            super().close()
        if count:
            self.requests_received()
        return count

    def _open_requests(self, count: int) -> None:
        """Prepares the requests that were parsed last."""
        for index in range(len(self._messages) - count, len(self._messages)):
            message, body = self._messages[index]
            fields = getattr(message, "raw_headers", ())
            self._open_lines.append(len(fields))
            if len(fields) > received_input.LIGHT_HEAD_LINES:
                self._holds_parsed_fields = True
            self._reserved_bytes.append(0)
            self._begin_body(message, body)
            if isinstance(message, http.RawRequestMessage):
                head: Any = ParsedHead(message)
                self._messages[index] = (head, body)

    def _begin_body(self, message: Any, body: streams.StreamReader) -> None:
        """Prepares for what follows a head."""
        self._active_at = self._loop.time()
        self._has_partial_head = False
        self._fruitless_bytes = self._fruitless_lines = 0
        if not isinstance(message, http.RawRequestMessage):
            self._is_rejected = True
            return
        length = message.headers.get("Content-Length")
        self._is_chunked = message.chunked or length is None
        self._length = 0 if self._is_chunked else int(length or 0)
        self._body = None if body is streams.EMPTY_PAYLOAD else body

    def _end_body(self, part: bytes) -> None:
        self._body = None
        self._fruitless_bytes = self._fruitless_lines = 0
        # Behind a chunked body, the part may hold the start of the next head.
        self._has_partial_head = (
            self._is_chunked and self._last_bytes != _END_OF_HEAD
        )
        if self._has_partial_head:
            self._fruitless_bytes = len(part)

    def _check_fruitless(self) -> None:
        """Stops a chunked body, or a head, whose framing does not end."""
        if self._fruitless_bytes <= self._input_limits.header_bytes and (
            self._fruitless_lines <= _MAX_TRAILER_LINES
        ):
            return
        if self._body is None:
            self._reject(400, "the headers are too large")
            return
        error = web.RequestPayloadError("the framing of chunks is too large")
        self._body.set_exception(error)
        self._body.feed_eof()
        self._body = None
        self._is_rejected = True
        super().close()

    def _is_too_large(self, head: bytes) -> bool:
        line_bytes = head.find(b"\n") + 1
        field_bytes = len(head) - line_bytes - len(_END_OF_HEAD) // 2
        return field_bytes > self._input_limits.header_bytes

    def _reject(self, status: int, message: str) -> None:
        """Answers in its turn that a request was not read, and reads no more.

        aiohttp has no public way to do so; its parser's errors take this way.
        """
        self._is_rejected = True
        error = web_protocol._ErrInfo(
            status=status,
            exc=http.HttpProcessingError(code=status, message=message),
            message=message,
        )
        self._request_count += 1
        self._messages.append((error, streams.EMPTY_PAYLOAD))
        self._open_lines.append(0)
        self._reserved_bytes.append(0)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _end_request(self) -> None:
        self._open_lines.popleft()
        self._scheduler.release_fields(self._reserved_bytes.popleft())

    def _settle(self) -> None:
        """Decides how to go on if nothing may be parsed now."""
        if self._is_rejected or self._force_close or self._close:
            self._input = b""
            self._input_position = 0
        size = len(self._input) - self._input_position
        if self._body is not None or not (size or self._has_partial_head):
            # aiohttp goes on once the reader of the body has made room.
            self._cancel_head_timer()
            self._scheduler.hold_head(self, 0)
            self._release()
            return
        if not self._has_partial_head and self._head_size():
            # It waits for the end of an earlier request, or for memory.
            self._cancel_head_timer()
            self._hold()
            size += received_input.RECEIVE_BUFFER_BYTES
        elif not self._has_partial_head and self._is_too_large(
            self._input[self._input_position :]
        ):
            self._reject(400, "the headers are too large")
            self._settle()
            return
        else:
            self._start_head_timer()
            self._release()
        self._scheduler.hold_head(self, size + self._fruitless_bytes)

    def _hold(self) -> None:
        """Receives nothing more for now."""
        self._is_held = True
        self._pause_transport_reading()

    def _release(self) -> None:
        if self._is_held:
            self._is_held = False
            if not (self._reading_paused or self._buffer_paused):
                self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        if not self._is_held:
            super()._resume_transport_reading()

    def _start_head_timer(self) -> None:
        if self._head_timer is None:
            self._head_timer = self._loop.call_later(
                self._input_limits.header_timeout.total_seconds(),
                self._look_again,
            )

    def _look_again(self) -> None:
        self._head_timer = self._loop.call_later(
            _LAST_LOOK.total_seconds(), self._give_up_head
        )

    def _give_up_head(self) -> None:
        self._head_timer = None
        self._reject(408, "the headers did not end in time")
        self._settle()

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None
