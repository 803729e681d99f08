"""HTTP connections to targets, with aiohttp.

Adapts aiohttp in two points: it must not resend requests by itself, and must
not take a connection reset for the end of a response.
"""

import dataclasses
import datetime
import functools
import types

import aiohttp
from aiohttp import client_proto

from endivewind import exchange

# Targets close idle connections after ten seconds or more, some without notice.
# A connection idle for less than half of that is rarely closed at the moment
# when it is reused.
KEEPALIVE_TIMEOUT = datetime.timedelta(seconds=4)
CONNECT_TIMEOUT = datetime.timedelta(seconds=1)


class _ResponseHandler(client_proto.ResponseHandler):
    """A connection on which a reset is not taken for the end of a response.

    Scenario: the end of a response without a length is marked by the end of
    its connection, and the connection is reset in the middle. Risk: aiohttp
    takes the reset for the end, and the caller gets a truncated response as a
    whole one. Setting the exception on the payload first makes reading the
    body fail.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handles the end of the connection; exc is set if it was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f"connection lost: {exc}")
            )
        super().connection_lost(exc)


class Connector(aiohttp.TCPConnector):
    """Opens connections to targets."""

    def __init__(self, *, reuse: bool) -> None:
        """Initializes the connector.

        Args:
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
        )  # type: ignore[assignment]


class ResponseLostError(Exception):
    """There is no valid response although the request may have been sent.

    The connection failed, or the response belongs to another request.
    """


@dataclasses.dataclass(slots=True)
class SendState:
    """What is known about the sending of one request.

    Attributes:
      has_connection: whether a connection was obtained, so that bytes of the
        request may have been sent.
      is_reused: whether the connection has served another request before.
      body_error: the error in reading the caller's body, if there was one.
    """

    has_connection: bool = False
    is_reused: bool = False
    body_error: exchange.RequestBodyError | None = None


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
        skip_auto_headers=("User-Agent", "Content-Type", "Accept"),
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
    context.trace_request_ctx.has_connection = True


async def _on_connection_reused(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    params: aiohttp.TraceConnectionReuseconnParams,
) -> None:
    context.trace_request_ctx.has_connection = True
    context.trace_request_ctx.is_reused = True
