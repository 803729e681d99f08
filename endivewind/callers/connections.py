"""Callers' connections: an aiohttp server for concurrent pipelined requests.

aiohttp parses the requests of a connection and passes them to the listener one
at a time; responses are sent in the same order. Idempotent requests that were
received behind the current one are started early here, and their results are
kept until their turn comes.
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
from endivewind import http_connections
from endivewind import input_scheduler
from endivewind.callers import caller_requests
from endivewind.callers import problems

log = logging.getLogger(__name__)

# Requests of one connection that are started before their turn. Clients that
# pipeline usually have a handful outstanding. Each response held back takes up
# to 64 KB (a longer one remains an unread stream), so that a connection holds
# half a megabyte at most.
MAX_EARLY_REQUESTS = 8

ResponseResult = expression.Result[exchange.Response, exchange.Refusal]


@dataclasses.dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request that is being served.

    Attributes:
      call: The request.
      started: When it was started.
      task: The task that serves it, if it was started before its turn.
    """

    call: caller_requests.CallerRequest
    started: datetime.timedelta
    task: asyncio.Task[ResponseResult] | None = None


# Starts a request before its turn; returns None if it must wait for its turn.
StartEarly = collections.abc.Callable[[web.BaseRequest], ActiveRequest | None]
# Cancels a request that was started early and whose caller has disconnected.
CancelEarly = collections.abc.Callable[[ActiveRequest], None]
HandleRequest = collections.abc.Callable[
    [web.BaseRequest], collections.abc.Awaitable[web.StreamResponse]
]


class Server(http_connections.BoundedServer):
    """An HTTP server whose own error responses carry the outcome headers."""

    def __init__(
        self,
        handle: HandleRequest,
        start_early: StartEarly,
        cancel_early: CancelEarly,
        limits: collections.abc.Callable[[], http_connections.ConnectionLimits],
        scheduler: input_scheduler.InputScheduler | None = None,
        **options: Any,
    ) -> None:
        """Initializes the server.

        Args:
          handle: serves a request.
          start_early: starts a request before its turn.
          cancel_early: cancels a request that was started so.
          limits: returns the limits of a new connection.
          scheduler: shared by all servers of the process; None for one that
            does not know the memory of the process.
          **options: of aiohttp's connections.
        """
        scheduler = scheduler or input_scheduler.InputScheduler.from_memory(0)
        super().__init__(
            handle,
            limits,
            scheduler,
            handler_cancellation=True,
            **options,
        )
        self.start_early = start_early
        self.cancel_early = cancel_early

    def __call__(self) -> web.RequestHandler:
        """Returns the handler of a new connection."""
        return Connection(self, self._limits(), **self._options)


class Connection(http_connections.BoundedConnection):
    """One caller's connection.

    Scenario: callers pipeline idempotent requests. Risk: served one after the
    other, each waits for all before it, and a slow first one delays the rest
    although targets are free (head-of-line blocking). Run concurrently they
    take as long as the slowest. Only an unbroken sequence of idempotent
    requests from the current one on is run concurrently, since a
    non-idempotent request, such as a purchase, may depend on the requests sent
    before it.
    """

    __slots__ = ("_allows_early", "_caller_server", "_early_requests")

    def __init__(
        self,
        server: Server,
        limits: http_connections.ConnectionLimits,
        **options: Any,
    ) -> None:
        super().__init__(server, limits, **options)
        self._caller_server = server
        self._early_requests: collections.deque[ActiveRequest] = (
            collections.deque()
        )
        self._allows_early = False

    @property
    def has_early_requests(self) -> bool:
        """Whether requests behind the current one have been started."""
        return bool(self._early_requests)

    def pop_early_request(self) -> ActiveRequest | None:
        """Returns the request whose turn has come, if it was started early."""
        return self._early_requests.popleft() if self._early_requests else None

    def allow_early_requests(self) -> None:
        """Starts requests behind the current one, which must be idempotent."""
        self._allows_early = True
        self._start_early_requests()

    def disallow_early_requests(self) -> None:
        """Stops starting requests early, as the current one has ended."""
        self._allows_early = False

    def requests_received(self) -> None:
        """Starts requests that need not wait."""
        self._start_early_requests()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels the requests that were started early."""
        super().connection_lost(exc)
        self._allows_early = False
        while self._early_requests:
            self._caller_server.cancel_early(self._early_requests.popleft())

    def _start_early_requests(self) -> None:
        if not self._allows_early:
            return
        # aiohttp has no public access to the parsed requests. The first of
        # them have been started already.
        messages = itertools.islice(
            self._messages, len(self._early_requests), MAX_EARLY_REQUESTS
        )
        for message, payload in list(messages):
            active = self._start_early(message, payload)
            if active is None:
                return
            self._early_requests.append(active)

    def _start_early(self, head: Any, payload: Any) -> ActiveRequest | None:
        if not isinstance(head, http_connections.ParsedHead):
            # Messages that could not be parsed are answered in their turn.
            return None
        last = (
            self._early_requests[-1].call.request
            if self._early_requests
            else None
        )
        if last is not None and not last.keep_alive:
            return None
        assert self._task_handler is not None
        assert head.message is not None
        request = web.BaseRequest(
            head.message,
            payload,
            self,
            http.StreamWriter(self, self._loop),
            self._task_handler,
            self._loop,
        )
        return (
            None
            if request.body_exists
            else self._caller_server.start_early(request)
        )

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the error response for invalid HTTP or an internal error."""
        if request.writer.output_size > 0:
            raise ConnectionError(
                "cannot send an error: the response has already started"
            )
        if status < 500:
            detail = (message or "not a valid request").strip()
            refusal = exchange.not_run_refusal(
                exchange.Reason.BAD_REQUEST, detail
            )
        else:
            log.error("internal error while serving a request", exc_info=exc)
            refusal = exchange.unknown_outcome_refusal(
                exchange.Reason.INTERNAL, "the node failed"
            )
        request_id = caller_requests.new_request_id()
        response = web.Response(
            status=status,
            headers=problems.header_fields(refusal, request_id),
            body=problems.body(refusal, request_id),
        )
        response.force_close()
        return response
