"""Bodies on a link: sends one in chunks, at the pace of the other end."""

import asyncio
import collections.abc

from endivewind.nodes import codec


async def send(
    writer: asyncio.StreamWriter,
    number: int,
    parts: collections.abc.AsyncIterator[bytes],
) -> int:
    """Sends all parts of an exchange's body, and its end; returns the bytes."""
    size = 0
    async for data in parts:
        size += _write_chunk(writer, number, data, last=False)
        await writer.drain()
    return size + _write_chunk(writer, number, b"", last=True)


def _write_chunk(
    writer: asyncio.StreamWriter, number: int, data: bytes, *, last: bool
) -> int:
    chunk = codec.messages.BodyChunk(exchange=number, data=data, last=last)
    encoded = codec.encode_frame(codec.messages.Frame(chunk=chunk))
    writer.write(encoded)
    return len(encoded)
