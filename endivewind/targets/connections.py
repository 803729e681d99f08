"""HTTP connections to targets."""

import dataclasses
import datetime
import functools
import types

import aiohttp
from aiohttp import client_proto

from endivewind import exchange

# Targets close idle connections after ten seconds or more, some without a
# word; one that has been idle for less than half of that is rarely closed in
# the moment in which it is used again.
KEEPALIVE = datetime.timedelta(seconds=4)
CONNECT_LIMIT = datetime.timedelta(seconds=1)


class _Handler(client_proto.ResponseHandler):
    """One connection; a reset never passes for the end of an answer.

    Failure: an answer without a length ends with its connection, and the
    connection is reset in the middle. Symptom: aiohttp takes the reset for
    the end, and the caller gets part of an answer as the whole. Told of the
    error before the end, the reader of the body sees the error.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Takes the end of the connection, with an error if it was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f"the connection was lost: {exc}")
            )
        super().connection_lost(exc)


class Connector(aiohttp.TCPConnector):
    """Opens connections to targets."""

    def __init__(self, *, reuse: bool) -> None:
        """Builds a connector.

        Args:
          reuse: whether a connection serves more than one request.
        """
        if reuse:
            super().__init__(
                limit=0, keepalive_timeout=KEEPALIVE.total_seconds()
            )
        else:
            super().__init__(limit=0, force_close=True)
        # aiohttp has no public way to choose the handler of a connection.
        self._factory = functools.partial(
            _Handler,
            loop=self._loop,
        )  # type: ignore[assignment]


class HandOverLostError(Exception):
    """The connection failed after bytes of the request may have been sent."""


@dataclasses.dataclass(slots=True)
class Progress:
    """How far one hand-over has come.

    Attributes:
      connected: a connection was obtained, so that from now on bytes may
        have been sent.
      reused: the connection had served a request before.
      broken_body: how the caller's body broke off, if it did.
    """

    connected: bool = False
    reused: bool = False
    broken_body: exchange.TruncatedBodyError | None = None


def session(connector: aiohttp.BaseConnector) -> aiohttp.ClientSession:
    """Sends requests; each carries its Progress as trace_request_ctx."""
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(
            sock_connect=CONNECT_LIMIT.total_seconds()
        ),
        skip_auto_headers=("User-Agent", "Content-Type", "Accept"),
        middlewares=(_never_resend,),
        trace_configs=[_progress_traces()],
    )


async def _never_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keeps aiohttp from sending a request again by itself.

    Failure: a target crashes on a PUT or DELETE. Symptom: aiohttp, which
    takes these for repeatable, sends it a second time and the work runs
    twice. It does so for its own connection errors only, so another type of
    error ends the request.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        detail = str(error) or type(error).__name__
        raise HandOverLostError(detail) from error


def _progress_traces() -> aiohttp.TraceConfig:
    config = aiohttp.TraceConfig()
    config.on_connection_create_end.append(_created)
    config.on_connection_reuseconn.append(_reused)
    return config


async def _created(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    params: aiohttp.TraceConnectionCreateEndParams,
) -> None:
    context.trace_request_ctx.connected = True


async def _reused(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    params: aiohttp.TraceConnectionReuseconnParams,
) -> None:
    context.trace_request_ctx.connected = True
    context.trace_request_ctx.reused = True
