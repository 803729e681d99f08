"""Thrift messages between nodes: frames, and their data classes."""

import asyncio
import pathlib
import struct
from typing import Any

import thriftpy2
from thriftpy2 import protocol
from thriftpy2 import transport

from endivewind import exchange

MAX_FRAME_BYTES = 2 * 1024 * 1024

_LENGTH = struct.Struct("!I")

messages: Any = thriftpy2.load(
    str(pathlib.Path(__file__).with_name("messages.thrift")),
    module_name="messages_thrift",
)


class FrameError(Exception):
    """A frame that is too long or that thrift can't read."""


def encode(frame: Any) -> bytes:
    """A frame as bytes: its length in 4 bytes, then thrift's binary form."""
    buffer = transport.TCyMemoryBuffer()
    protocol.TCyBinaryProtocol(buffer).write_struct(frame)
    payload = buffer.getvalue()
    return _LENGTH.pack(len(payload)) + payload


def decode(payload: bytes) -> Any:
    """The frame in a payload without its length."""
    frame = messages.Frame()
    buffer = transport.TCyMemoryBuffer(payload)
    try:
        protocol.TCyBinaryProtocol(buffer).read_struct(frame)
    except Exception as error:
        # thriftpy2 raises many types on bytes that are not a message; each
        # of them means that the peer can't be understood.
        raise FrameError(str(error)) from error
    return frame


async def read_frame(reader: asyncio.StreamReader) -> Any:
    """Reads one frame; raises FrameError, or IncompleteReadError at the end."""
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > MAX_FRAME_BYTES:
        raise FrameError(f"a frame of {length} bytes")
    return decode(await reader.readexactly(length))


def glance_out(glance: exchange.Glance | None) -> Any:
    """What a home tells of its target, as a thrift struct."""
    if glance is None:
        return None
    return messages.Glance(glance.load, round(100 * glance.suspicion))


def glance_in(glance: Any) -> exchange.Glance | None:
    """What a home tells of its target, from a thrift struct."""
    if glance is None:
        return None
    return exchange.Glance(glance.load or 0, (glance.suspicion or 0) / 100)


def headers_out(headers: exchange.HeaderList) -> list[Any]:
    """Headers as thrift structs."""
    return [messages.Header(name, value) for name, value in headers]


def headers_in(headers: list[Any]) -> exchange.HeaderList:
    """Headers from thrift structs."""
    return tuple((item.name, item.value) for item in headers)
