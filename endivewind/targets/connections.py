"""HTTP connections to targets, with aiohttp.

Adapts aiohttp in three points beside those of `http_responses`: it must not
resend requests by itself, must not take a connection reset for the end of a
response, and must not reuse a connection for longer than the target keeps it
open.
"""

import asyncio
import dataclasses
import datetime
import functools
import re
import types

import aiohttp
from aiohttp import client_reqrep
from aiohttp import hdrs
from aiohttp import http_parser
from aiohttp import streams
from aiohttp import tracing

from endivewind import clock as clocks
from endivewind import exchange
from endivewind import http_responses

# Targets close idle connections after ten seconds or more, some without notice.
# A connection idle for less than half of that is rarely closed at the moment
# when it is reused.
KEEPALIVE_TIMEOUT = datetime.timedelta(seconds=4)
# A connection is not reused in this last part of the time for which its target
# keeps it open, so that the request arrives before the target closes it.
KEEPALIVE_MARGIN = datetime.timedelta(milliseconds=500)
CONNECT_TIMEOUT = datetime.timedelta(seconds=1)

# The timeout in `Keep-Alive: timeout=5, max=100`, in seconds.
_STATED_TIMEOUT = re.compile(
    r"(?:^|,)\s*timeout\s*=\s*(\d{1,9})\s*(?:,|$)",
    re.ASCII | re.IGNORECASE,
)


class _ResponseHandler(http_responses.ResponseHandler):
    """A connection to a target, with two additions.

    Scenario: the end of a response without a length is marked by the end of
    its connection, and the connection is reset in the middle. Risk: aiohttp
    takes the reset for the end, and the caller gets a truncated response as a
    whole one. Setting the exception on the payload first makes reading the
    body fail.

    Scenario: a target states in its responses that it closes idle connections
    after two seconds. Risk: aiohttp reuses them for KEEPALIVE_TIMEOUT, and
    requests fail on connections that the target closes at that moment. The
    time that the last response states is therefore kept to.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: clocks.Clock
    ) -> None:
        super().__init__(loop)
        self._clock = clock
        self._expires_at: datetime.timedelta | None = None

    @property
    def is_expired(self) -> bool:
        """Whether the target may close the connection, which is idle, soon."""
        return (
            self._expires_at is not None
            and self._clock.monotonic() >= self._expires_at
        )

    def feed_data(
        self,
        data: tuple[http_parser.RawResponseMessage, streams.StreamReader],
        size: int = 0,
    ) -> None:
        """Handles the head of a response; its payload may follow later."""
        message, payload = data
        self._expires_at = None
        stated = message.headers.get(hdrs.KEEP_ALIVE)
        limit = None if stated is None else _reuse_limit(stated)
        if limit is not None:
            payload.on_eof(functools.partial(self._start_idle_time, limit))
        super().feed_data(data, size)

    def _start_idle_time(self, limit: datetime.timedelta) -> None:
        self._expires_at = self._clock.monotonic() + limit

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handles the end of the connection; exc is set if it was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f"connection lost: {exc}")
            )
        super().connection_lost(exc)


class Connector(http_responses.Connector):
    """Opens connections to targets."""

    def __init__(self, clock: clocks.Clock, *, reuse: bool) -> None:
        """Initializes the connector.

        Args:
          clock: measures how long connections are idle.
          reuse: whether to reuse connections for further requests.
        """
        if reuse:
            super().__init__(
                limit=0, keepalive_timeout=KEEPALIVE_TIMEOUT.total_seconds()
            )
        else:
            super().__init__(limit=0, force_close=True)
        # aiohttp has no public API to set the protocol class.
        self._factory = functools.partial(
            _ResponseHandler,
            loop=self._loop,
            clock=clock,
        )  # type: ignore[assignment]

    async def _get(
        self, key: client_reqrep.ConnectionKey, traces: list[tracing.Trace]
    ) -> aiohttp.connector.Connection | None:
        """Returns an idle connection for a request, or None.

        aiohttp has no public API to limit the idle time of one connection; it
        drops those that are closed.
        """
        for protocol, _ in self._conns.get(key, ()):
            assert isinstance(protocol, _ResponseHandler)
            if protocol.is_expired:
                protocol.close()
        return await super()._get(key, traces)


def _reuse_limit(keep_alive: str) -> datetime.timedelta | None:
    """Returns how long an idle connection may be reused.

    Args:
      keep_alive: the value of a response's Keep-Alive header.

    Returns:
      The stated time less KEEPALIVE_MARGIN; None if none is stated, or if
      KEEPALIVE_TIMEOUT is shorter.
    """
    match = _STATED_TIMEOUT.search(keep_alive)
    if match is None:
        return None
    limit = datetime.timedelta(seconds=int(match[1])) - KEEPALIVE_MARGIN
    return limit if limit < KEEPALIVE_TIMEOUT else None


class ResponseLostError(Exception):
    """There is no valid response although the request may have been sent.

    The connection failed, or the response belongs to another request.
    """


@dataclasses.dataclass(slots=True)
class SendState:
    """What is known about the sending of one request.

    Attributes:
      clock: the clock; its monotonic time is used. None if nobody asks for the
        time of the connection.
      has_connection: whether a connection was obtained, so that bytes of the
        request may have been sent.
      connected_at: when it was obtained; None before, or without a clock.
      is_reused: whether the connection has served another request before.
      body_error: the error in reading the caller's body, if there was one.
    """

    clock: clocks.Clock | None = None
    has_connection: bool = False
    connected_at: datetime.timedelta | None = None
    is_reused: bool = False
    body_error: exchange.RequestBodyError | None = None

    def record_connection(self, *, is_reused: bool = False) -> None:
        """Records that a connection was obtained."""
        self.has_connection = True
        self.is_reused = is_reused
        if self.clock is not None:
            self.connected_at = self.clock.monotonic()


def make_session(connector: aiohttp.BaseConnector) -> aiohttp.ClientSession:
    """Returns a session for requests to targets.

    Each request must be given its SendState as trace_request_ctx.
    """
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(
            sock_connect=CONNECT_TIMEOUT.total_seconds()
        ),
        skip_auto_headers=(
            "User-Agent",
            "Content-Type",
            "Accept",
            # The target would choose an encoding that the caller can't decode.
            "Accept-Encoding",
        ),
        middlewares=(_prevent_resend,),
        trace_configs=[_progress_trace_config()],
    )


async def _prevent_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keeps aiohttp from resending a request by itself.

    Scenario: a target crashes on a PUT or DELETE. Risk: aiohttp, which
    considers these methods idempotent, resends the request, and it is executed
    twice. aiohttp does so only for its own connection errors, so raising
    another type of error prevents it.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        detail = str(error) or type(error).__name__
        raise ResponseLostError(detail) from error


def _progress_trace_config() -> aiohttp.TraceConfig:
    config = aiohttp.TraceConfig()
    config.on_connection_create_end.append(_on_connection_created)
    config.on_connection_reuseconn.append(_on_connection_reused)
    return config


async def _on_connection_created(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    params: aiohttp.TraceConnectionCreateEndParams,
) -> None:
    context.trace_request_ctx.record_connection()


async def _on_connection_reused(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    params: aiohttp.TraceConnectionReuseconnParams,
) -> None:
    context.trace_request_ctx.record_connection(is_reused=True)
