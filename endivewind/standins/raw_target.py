"""Stand-in for a target that sends given bytes, whether or not they are HTTP."""

import asyncio
import contextlib
import re

_LENGTH_FIELD = re.compile(rb"\ncontent-length:[ \t]*(\d+)", re.IGNORECASE)


class RawTarget:
    """Sends the same bytes in response to each request on a connection.

    Attributes:
      response: the bytes that are sent first.
      repeated: bytes that are sent after them, again and again, until the
        connection is closed; none if empty.
      connection_count: the connections that were accepted.
      sent_bytes: the bytes that the system has taken from it.
      disconnected: set once the node has closed a connection.
    """

    def __init__(self, response: bytes = b"", repeated: bytes = b"") -> None:
        self.response = response
        self.repeated = repeated
        self.connection_count = 0
        self.sent_bytes = 0
        self.disconnected = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1") -> str:
        """Starts to listen; returns the address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        return f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stops to listen; open connections stay."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while not writer.is_closing():
                await self._respond(reader, writer)
        self.disconnected.set()
        writer.close()

    async def _respond(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        length = _LENGTH_FIELD.search(head)
        if length is not None:
            await reader.readexactly(int(length[1]))
        await self._send(writer, self.response)
        while self.repeated:
            await self._send(writer, self.repeated)

    async def _send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(data)
        await writer.drain()
        self.sent_bytes += len(data)
