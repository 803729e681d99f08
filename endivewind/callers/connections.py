"""Callers' connections: HTTP by aiohttp, with pipelined requests side by side.

aiohttp parses the requests of a connection and hands them to the listener one
at a time, in order; answers go out in that order too. Requests that have been
read behind the one in hand are begun here before their turn, where all of them
may be repeated, and their results are kept until it comes.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import datetime
import itertools
import logging
from typing import Any

from aiohttp import http
from aiohttp import web
import expression

from endivewind import exchange
from endivewind.callers import calls
from endivewind.callers import problems

log = logging.getLogger(__name__)

# Requests of one connection that are begun before their turn. Clients that
# send ahead keep a handful open; each held answer takes up to 64 KB here (a
# longer one stays a stream that is not read), so that a connection holds half
# a megabyte at most.
MAX_AHEAD = 8

AnswerResult = expression.Result[exchange.Response, exchange.Refusal]


@dataclasses.dataclass(slots=True, eq=False)
class Begun:
    """A request that is being served.

    Attributes:
      call: the request, and what is known of it.
      started: when it was begun.
      task: serves it, where it was begun before its turn.
    """

    call: calls.Call
    started: datetime.timedelta
    task: asyncio.Task[AnswerResult] | None = None


# Begins a request before its turn; None where it must wait for it.
Begin = collections.abc.Callable[[web.BaseRequest], Begun | None]
# Ends a request that was begun and whose caller has left.
Drop = collections.abc.Callable[[Begun], None]
Handle = collections.abc.Callable[
    [web.BaseRequest], collections.abc.Awaitable[web.StreamResponse]
]


class Server(web.Server):
    """An HTTP server whose own errors tell the outcome, too."""

    def __init__(
        self,
        handle: Handle,
        begin: Begin,
        drop: Drop,
        connection_options: collections.abc.Callable[[], dict[str, Any]],
        **options: Any,
    ) -> None:
        super().__init__(handle, handler_cancellation=True, **options)
        self.begin = begin
        self.drop = drop
        self._connection_options = connection_options
        self._options = options

    def __call__(self) -> web.RequestHandler:
        """The handler of one connection."""
        options = {**self._options, **self._connection_options()}
        return Connection(self, loop=asyncio.get_running_loop(), **options)


class Connection(web.RequestHandler):
    """One caller's connection.

    Load: callers that send their next look-ups before the first is answered.
    Harm: served one after the other, each waits for all before it, and a slow
    first one makes the rest late although targets are free. Begun together
    they take as long as the slowest. Only requests that may be repeated, in an
    unbroken row from the one in hand, run side by side: the caller of an order
    may count on what it has sent before.
    """

    __slots__ = ("_ahead", "_is_open", "_server")

    def __init__(self, server: Server, **options: Any) -> None:
        super().__init__(server, **options)
        self._server = server
        self._ahead: collections.deque[Begun] = collections.deque()
        self._is_open = False

    @property
    def has_begun(self) -> bool:
        """Whether requests behind the one in hand have been begun."""
        return bool(self._ahead)

    def turn(self) -> Begun | None:
        """The request whose turn has come, if it was begun before."""
        return self._ahead.popleft() if self._ahead else None

    def open_turn(self) -> None:
        """Lets others run beside the request in hand, which may be repeated."""
        self._is_open = True
        self._begin_ahead()

    def end_turn(self) -> None:
        """Takes the end of the request in hand."""
        self._is_open = False

    def data_received(self, data: bytes) -> None:
        """Takes bytes; begins the requests in them that need not wait."""
        super().data_received(data)
        self._begin_ahead()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends what was begun: nobody is left to be answered."""
        super().connection_lost(exc)
        self._is_open = False
        while self._ahead:
            self._server.drop(self._ahead.popleft())

    def _begin_ahead(self) -> None:
        if not self._is_open:
            return
        # aiohttp has no public way to see what it has parsed. The first of
        # these are the ones begun already.
        waiting = itertools.islice(self._messages, len(self._ahead), MAX_AHEAD)
        for message, payload in list(waiting):
            begun = self._begin(message, payload)
            if begun is None:
                return
            self._ahead.append(begun)

    def _begin(self, message: Any, payload: Any) -> Begun | None:
        if not isinstance(message, http.RawRequestMessage):
            # What could not be parsed is answered in its turn.
            return None
        last = self._ahead[-1].call.request if self._ahead else None
        if last is not None and not last.keep_alive:
            return None
        assert self._task_handler is not None
        request = web.BaseRequest(
            message,
            payload,
            self,
            http.StreamWriter(self, self._loop),
            self._task_handler,
            self._loop,
        )
        return None if request.body_exists else self._server.begin(request)

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
            refusal = exchange.outcome_unknown(
                exchange.Reason.INTERNAL, "the node failed"
            )
        request_id = calls.new_request_id()
        response = web.Response(
            status=status,
            headers=problems.header_fields(refusal, request_id),
            body=problems.body(refusal, request_id),
        )
        response.force_close()
        return response
