"""Accepts the connections of HTTP servers.

uvloop accepts one connection in each turn of its loop. When many clients connect
again and again, those who wait to be accepted then wait for seconds.
"""

import asyncio
import contextlib
import dataclasses
import logging
import socket
import ssl
import typing

from aiohttp import web

from endivewind.decisions import received_input

log = logging.getLogger(__name__)

_ACCEPTED_AT_ONCE = 8
# Connections whose TLS handshake has not ended.
_MAX_HANDSHAKES = 256
_HANDSHAKE_TIMEOUT_SECONDS = 10.0
# Pause if no descriptors are left.
_PAUSE_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Backlog:
    """What the kernel holds of the connections of one listener.

    Attributes:
      connections: new connections that wait to be accepted.
      receive_bytes: bytes that each of them may have received, also later.
        Linux doubles the number for its own overhead.
    """

    connections: int
    receive_bytes: int


# Callers send long bodies; requests of the others are short.
CALLERS_BACKLOG = Backlog(256, received_input.RECEIVE_BUFFER_BYTES // 2)
INTERNAL_BACKLOG = Backlog(2048, 4096)


class ListeningSite(web.BaseSite):
    """A listening socket whose connections have small receive buffers."""

    __slots__ = ("_context", "_listener")

    def __init__(
        self,
        runner: web.BaseRunner,
        listener: socket.socket,
        context: ssl.SSLContext | None = None,
    ) -> None:
        """Initializes the site; `start` begins to accept connections.

        Args:
          runner: of the server.
          listener: from `listen`.
          context: enables TLS.
        """
        super().__init__(runner, ssl_context=context)
        self._listener = listener
        self._context = context

    @property
    def name(self) -> str:
        """URL of the site."""
        host, port = self._listener.getsockname()[:2]
        return f"{'https' if self._context else 'http'}://{host}:{port}"

    async def start(self) -> None:
        """Begins to accept connections."""
        await super().start()
        server = self._runner.server
        assert server is not None
        acceptor = _Acceptor(self._listener, server, self._context)
        # A site uses no other methods of its server.
        self._server = typing.cast(asyncio.AbstractServer, acceptor)


class _Acceptor:
    """Accepts several connections in each turn of the loop."""

    def __init__(
        self,
        listener: socket.socket,
        server: web.Server,
        context: ssl.SSLContext | None,
    ) -> None:
        self.sockets = [listener]
        self._server = server
        self._context = context
        self._loop = asyncio.get_running_loop()
        self._is_closed = False
        # In the order in which they were accepted.
        self._connecting: dict[asyncio.Task[None], None] = {}
        self._resume()

    def close(self) -> None:
        """Closes the listening socket."""
        if self._is_closed:
            return
        self._is_closed = True
        (listener,) = self.sockets
        self._loop.remove_reader(listener)
        listener.close()
        if self._context is not None:
            for task in self._connecting:
                task.cancel()

    def _resume(self) -> None:
        if not self._is_closed:
            self._loop.add_reader(self.sockets[0], self._accept)

    def _accept(self) -> None:
        for _ in range(_ACCEPTED_AT_ONCE):
            try:
                connection, _ = self.sockets[0].accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                log.error("no connection can be accepted: %s", error)
                self._loop.remove_reader(self.sockets[0])
                self._loop.call_later(_PAUSE_SECONDS, self._resume)
                return
            connection.setblocking(False)
            if len(self._connecting) >= _MAX_HANDSHAKES:
                next(iter(self._connecting)).cancel()
            task = self._loop.create_task(self._connect(connection))
            self._connecting[task] = None
            task.add_done_callback(self._forget)

    def _forget(self, task: asyncio.Task[None]) -> None:
        self._connecting.pop(task, None)

    async def _connect(self, connection: socket.socket) -> None:
        """Hands a connection to the server, after the handshake of TLS."""
        with contextlib.ExitStack() as stack:
            stack.callback(connection.close)
            try:
                async with asyncio.timeout(_HANDSHAKE_TIMEOUT_SECONDS):
                    await self._loop.connect_accepted_socket(
                        self._server, connection, ssl=self._context
                    )
            except (OSError, TimeoutError) as error:
                log.debug("connection not established: %s", error)
                return
            stack.pop_all()


def listen(host: str, port: int, backlog: Backlog) -> socket.socket:
    """Returns a listening socket whose connections have small receive buffers.

    Linux otherwise lets the buffer of a fast connection grow to some megabytes,
    which count as the node's memory while the connection waits for its turn.

    Args:
      host: address to bind.
      port: port to bind; 0 for any.
      backlog: bounds what the kernel holds.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    with contextlib.ExitStack() as stack:
        stack.callback(listener.close)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_RCVBUF,
                backlog.receive_bytes,
            )
        except OSError as error:
            log.warning("receive buffers are not bounded: %s", error)
        listener.bind((host, port))
        listener.listen(backlog.connections)
        listener.setblocking(False)
        stack.pop_all()
    return listener
