"""Sends a body over a link in chunks, with backpressure from the receiver."""

import asyncio
import collections.abc

from endivewind.nodes import codec


async def send_body(
    writer: asyncio.StreamWriter,
    exchange_id: int,
    parts: collections.abc.AsyncIterator[bytes],
) -> int:
    """Sends an exchange's body and end marker; returns the encoded bytes."""
    size = 0
    async for data in parts:
        size += _write_chunk(writer, exchange_id, data, last=False)
        await writer.drain()
    return size + _write_chunk(writer, exchange_id, b"", last=True)


def _write_chunk(
    writer: asyncio.StreamWriter, exchange_id: int, data: bytes, *, last: bool
) -> int:
    chunk = codec.messages.BodyChunk(exchange=exchange_id, data=data, last=last)
    encoded = codec.encode_frame(codec.messages.Frame(chunk=chunk))
    writer.write(encoded)
    return len(encoded)
