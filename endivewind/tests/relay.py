"""A relay for TCP and UDP whose two directions can fail separately."""

import asyncio
import enum


class Mode(enum.Enum):
    """What happens to bytes of one direction."""

    PASS = "pass"
    DROP = "drop"


class Relay:
    """Passes bytes on to an upstream address; tests break it on purpose.

    A dropped direction loses its bytes while the connection stays open, as a
    one-way partition or a forgotten connection does.
    """

    def __init__(self) -> None:
        self.upstream = ""
        self.towards = Mode.PASS
        self.back = Mode.PASS
        self._server: asyncio.Server | None = None
        self._udp: asyncio.DatagramTransport | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """Where the relay listens."""
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
        self._server.close()
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
        up_reader, up_writer = await asyncio.open_connection(*self.split())
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

    async def _pump(self, reader, writer, mode) -> None:
        try:
            while data := await reader.read(65_536):
                if mode() is Mode.PASS:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class _Datagrams(asyncio.DatagramProtocol):
    """Passes datagrams towards the upstream; peers answer directly."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self._transport = None

    def connection_made(self, transport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr) -> None:
        if self._relay.towards is Mode.PASS and self._relay.upstream:
            self._transport.sendto(data, self._relay.split())
