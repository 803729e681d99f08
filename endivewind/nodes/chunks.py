"""Bodies on a link: sends one in chunks, at the pace of the other end."""

import asyncio
import collections.abc

from endivewind.nodes import codec


async def send(
    writer: asyncio.StreamWriter,
    number: int,
    parts: collections.abc.AsyncIterator[bytes],
) -> None:
    """Sends all parts of the body of an exchange, and its end."""
    async for data in parts:
        _write_chunk(writer, number, data, last=False)
        await writer.drain()
    _write_chunk(writer, number, b"", last=True)


def _write_chunk(
    writer: asyncio.StreamWriter, number: int, data: bytes, *, last: bool
) -> None:
    chunk = codec.messages.Chunk(exchange=number, data=data, last=last)
    writer.write(codec.encode(codec.messages.Frame(chunk=chunk)))
