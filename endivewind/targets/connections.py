"""HTTP connections to targets."""

import datetime
import functools

import aiohttp
from aiohttp import client_proto

# Targets close idle connections after ten seconds or more, some without a
# word; one that has been idle for less than half of that is rarely closed in
# the moment in which it is used again.
KEEPALIVE = datetime.timedelta(seconds=4)


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
