"""A relay for TCP and UDP whose two directions can fail separately."""

import asyncio
import collections.abc
import enum
from typing import Any

# Above the silence that a link allows for, below the deadline of requests.
DELAY_SECONDS = 0.5
# Slow enough that a frame of a few hundred bytes takes a second.
DRIP_BYTES = 16
DRIP_SECONDS = 0.05


class Mode(enum.Enum):
    """What happens to bytes of one direction.

    DELAY holds each read up; DRIP passes a few bytes at a time.
    """

    PASS = "pass"
    DROP = "drop"
    DELAY = "delay"
    DRIP = "drip"


class Relay:
    """Passes bytes on to an upstream address, until it is told to fail.

    A dropped direction loses its bytes while the connection stays open, as a
    one-way partition or a forgotten connection does.
    """

    def __init__(self) -> None:
        self.upstream = ""
        self.towards = Mode.PASS
        self.back = Mode.PASS
        # Set once bytes of a connection have been dropped.
        self.has_lost = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._udp: asyncio.DatagramTransport | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Where the relay listens."""
        assert self._server is not None
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def __aenter__(self) -> "Relay":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        self._udp, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self), local_addr=("127.0.0.1", port)
        )
        return self

    async def __aexit__(self, *error: object) -> None:
        if self._server is not None:
            self._server.close()
        if self._udp is not None:
            self._udp.close()
        self.cut()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        """Breaks every open connection."""
        for writer in self._writers:
            writer.transport.abort()

    def split(self) -> tuple[str, int]:
        """Host and port of the upstream."""
        host, _, port = self.upstream.rpartition(":")
        return host, int(port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.split())
        except OSError:
            # The upstream is down: so is what lies before it.
            writer.transport.abort()
            return
        self._writers |= {writer, up_writer}
        pumps = [
            asyncio.create_task(
                self._pump(reader, up_writer, lambda: self.towards)
            ),
            asyncio.create_task(
                self._pump(up_reader, writer, lambda: self.back)
            ),
        ]
        self._tasks.update(pumps)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        mode: collections.abc.Callable[[], Mode],
    ) -> None:
        lost = False
        try:
            while data := await reader.read(65_536):
                # TCP never delivers what comes after a loss: the connection
                # stays silent in this direction, also when others pass again.
                lost = lost or mode() is Mode.DROP
                if lost:
                    self.has_lost.set()
                else:
                    await _pass(data, writer, mode)
        except OSError:
            # One end has gone; the other is told by the close below.
            pass
        finally:
            writer.close()


async def _pass(
    data: bytes,
    writer: asyncio.StreamWriter,
    mode: collections.abc.Callable[[], Mode],
) -> None:
    """Passes bytes on as slowly as the mode says."""
    if mode() is Mode.DELAY:
        await asyncio.sleep(DELAY_SECONDS)
    while data and mode() is Mode.DRIP:
        writer.write(data[:DRIP_BYTES])
        await writer.drain()
        data = data[DRIP_BYTES:]
        await asyncio.sleep(DRIP_SECONDS)
    writer.write(data)
    await writer.drain()


class _Datagrams(asyncio.DatagramProtocol):
    """Takes datagrams for the upstream, and brings its answers back.

    Each sender gets a socket of its own towards the upstream, so that answers
    find their way, as behind an address translator.
    """

    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self._transport: Any = None
        self._ways: dict[Any, _Way] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the bound transport."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Closes the sockets towards the upstream."""
        for way in self._ways.values():
            way.close()

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Passes one on, unless its direction drops what comes."""
        if self._relay.towards is Mode.DROP or not self._relay.upstream:
            return
        way = self._ways.get(addr)
        if way is None:
            way = self._ways[addr] = _Way(self._relay, self._transport, addr)
        way.send(data)


class _Way(asyncio.DatagramProtocol):
    """One sender's socket towards the upstream."""

    def __init__(self, relay: Relay, front: Any, sender: Any) -> None:
        self._relay = relay
        self._front = front
        self._sender = sender
        self._transport: Any = None
        self._early: list[bytes] = []
        self._opening = asyncio.create_task(self._open())

    def send(self, data: bytes) -> None:
        """Sends to the upstream, once the socket is open."""
        if self._transport is None:
            self._early.append(data)
        else:
            self._transport.sendto(data, self._relay.split())

    def close(self) -> None:
        """Closes the socket."""
        self._opening.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the bound transport and sends what has waited."""
        self._transport = transport
        for data in self._early:
            self._transport.sendto(data, self._relay.split())

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Brings an answer of the upstream back."""
        if self._relay.back is not Mode.DROP and not self._front.is_closing():
            self._front.sendto(data, self._sender)

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )
