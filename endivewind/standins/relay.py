"""A TCP and UDP relay whose two directions can fail independently.

Tests and the soak place it in front of a node to inject network faults.
"""

import asyncio
import collections.abc
import enum
from typing import Any

# Longer than the heartbeat timeout of a link, shorter than request deadlines.
READ_DELAY_SECONDS = 0.5
# Slow enough that a frame of a few hundred bytes takes a second.
DRIP_CHUNK_BYTES = 16
DRIP_INTERVAL_SECONDS = 0.05


class DirectionMode(enum.Enum):
    """How the relay treats bytes of one direction.

    PASS forwards them, DROP discards them, DELAY delays each read, and DRIP
    forwards a few bytes at a time.
    """

    PASS = "pass"
    DROP = "drop"
    DELAY = "delay"
    DRIP = "drip"


class Relay:
    """Forwards bytes to an upstream address, with a fault mode by direction.

    In mode DROP, bytes are lost while the connection stays open, as in a
    one-way partition, or after a firewall or NAT device has lost the state
    of the connection.
    """

    def __init__(self) -> None:
        self.upstream = ""
        self.to_upstream = DirectionMode.PASS
        self.from_upstream = DirectionMode.PASS
        # Set once bytes of a TCP connection have been dropped.
        self.loss_event = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._datagram_transport: asyncio.DatagramTransport | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Address on which the relay listens."""
        assert self._server is not None
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def __aenter__(self) -> "Relay":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        self._datagram_transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramForwarder(self), local_addr=("127.0.0.1", port)
        )
        return self

    async def __aexit__(self, *error: object) -> None:
        if self._server is not None:
            self._server.close()
        if self._datagram_transport is not None:
            self._datagram_transport.close()
        self.abort_connections()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def abort_connections(self) -> None:
        """Aborts every open connection."""
        for writer in self._writers:
            writer.transport.abort()

    def upstream_address(self) -> tuple[str, int]:
        """Host and port of the upstream."""
        host, _, port = self.upstream.rpartition(":")
        return host, int(port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            up_reader, up_writer = await asyncio.open_connection(
                *self.upstream_address()
            )
        except OSError:
            # The relay must look unreachable, too, while the upstream is down.
            writer.transport.abort()
            return
        self._writers |= {writer, up_writer}
        pumps = [
            asyncio.create_task(
                self._pump(reader, up_writer, lambda: self.to_upstream)
            ),
            asyncio.create_task(
                self._pump(up_reader, writer, lambda: self.from_upstream)
            ),
        ]
        self._tasks.update(pumps)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        mode: collections.abc.Callable[[], DirectionMode],
    ) -> None:
        has_lost_bytes = False
        try:
            while data := await reader.read(65_536):
                # TCP never delivers bytes after a gap. Once bytes were lost,
                # this direction of the connection stays silent for good, also
                # when the mode is PASS again. New connections then work.
                has_lost_bytes = has_lost_bytes or mode() is DirectionMode.DROP
                if has_lost_bytes:
                    self.loss_event.set()
                else:
                    await _forward(data, writer, mode)
        except OSError:
            # One end has closed; the close below tells the other.
            pass
        finally:
            writer.close()


async def _forward(
    data: bytes,
    writer: asyncio.StreamWriter,
    mode: collections.abc.Callable[[], DirectionMode],
) -> None:
    """Forwards bytes with the delay of the mode."""
    if mode() is DirectionMode.DELAY:
        await asyncio.sleep(READ_DELAY_SECONDS)
    while data and mode() is DirectionMode.DRIP:
        writer.write(data[:DRIP_CHUNK_BYTES])
        await writer.drain()
        data = data[DRIP_CHUNK_BYTES:]
        await asyncio.sleep(DRIP_INTERVAL_SECONDS)
    writer.write(data)
    await writer.drain()


class _DatagramForwarder(asyncio.DatagramProtocol):
    """Forwards datagrams to the upstream and its replies to the senders.

    Each sender has its own socket to the upstream, so that replies can be
    matched to senders, as in network address translation (NAT).
    """

    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self._transport: Any = None
        self._upstream_sockets: dict[Any, _UpstreamSocket] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the bound transport."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Closes the sockets to the upstream."""
        for upstream_socket in self._upstream_sockets.values():
            upstream_socket.close()

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Forwards a datagram, unless its direction drops."""
        if (
            self._relay.to_upstream is DirectionMode.DROP
            or not self._relay.upstream
        ):
            return
        upstream_socket = self._upstream_sockets.get(addr)
        if upstream_socket is None:
            upstream_socket = self._upstream_sockets[addr] = _UpstreamSocket(
                self._relay, self._transport, addr
            )
        upstream_socket.send(data)


class _UpstreamSocket(asyncio.DatagramProtocol):
    """One sender's socket to the upstream."""

    def __init__(self, relay: Relay, relay_transport: Any, sender: Any) -> None:
        self._relay = relay
        self._relay_transport = relay_transport
        self._sender = sender
        self._transport: Any = None
        self._buffered: list[bytes] = []
        self._opening = asyncio.create_task(self._open())

    def send(self, data: bytes) -> None:
        """Sends to the upstream, as soon as the socket is open."""
        if self._transport is None:
            self._buffered.append(data)
        else:
            self._transport.sendto(data, self._relay.upstream_address())

    def close(self) -> None:
        """Closes the socket."""
        self._opening.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the bound transport and sends the buffered datagrams."""
        self._transport = transport
        for data in self._buffered:
            self._transport.sendto(data, self._relay.upstream_address())

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Forwards a reply of the upstream, unless its direction drops."""
        if (
            self._relay.from_upstream is not DirectionMode.DROP
            and not self._relay_transport.is_closing()
        ):
            self._relay_transport.sendto(data, self._sender)

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )
