"""Thrift messages between nodes: frames, and their data classes."""

import asyncio
import pathlib
import struct
from typing import Any

import thriftpy2
from thriftpy2 import protocol
from thriftpy2 import transport

from endivewind import exchange
from endivewind.targets import records

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


def headers_out(headers: exchange.HeaderList) -> list[Any]:
    """Headers as thrift structs."""
    return [messages.Header(name, value) for name, value in headers]


def headers_in(headers: list[Any]) -> exchange.HeaderList:
    """Headers from thrift structs."""
    return tuple((item.name, item.value) for item in headers)


def target_out(record: records.TargetRecord) -> Any:
    """A target record as a thrift struct."""
    return messages.Target(
        id=record.id,
        service_name=record.service,
        home=record.home,
        home_incarnation=record.home_incarnation,
        sequence=record.sequence,
        region=record.region,
        zone=record.zone,
        slots=record.slots,
        weight=record.weight,
        state=record.state.value,
        health=record.health.value,
        target_incarnation=record.target_incarnation,
    )


def target_in(target: Any) -> records.TargetRecord:
    """A target record from a thrift struct."""
    return records.TargetRecord(
        id=target.id,
        service=target.service_name,
        home=target.home,
        home_incarnation=target.home_incarnation,
        sequence=target.sequence,
        region=target.region,
        zone=target.zone,
        slots=target.slots,
        weight=target.weight,
        state=records.State(target.state),
        health=records.Health(target.health),
        target_incarnation=target.target_incarnation or 0,
    )
