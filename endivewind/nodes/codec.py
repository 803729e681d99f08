"""Encodes the thrift messages that nodes exchange over TCP links.

A frame is a length of 4 bytes and a thrift struct Frame in binary form.
"""

import asyncio
import datetime
import math
import pathlib
import struct
from typing import Any

import thriftpy2
from thriftpy2 import protocol
from thriftpy2 import transport

from endivewind import exchange

MAX_FRAME_BYTES = 2 * 1024 * 1024

_LENGTH = struct.Struct("!I")
# The highest value of an i32 field.
MAX_INT32 = 2**31 - 1
_REASONS = frozenset(exchange.Reason)
_MILLISECOND = datetime.timedelta(milliseconds=1)
# Reasons that earlier releases do not know, and what they take them for.
_NEAREST_KNOWN_REASONS = {
    exchange.Reason.CALL_BUDGET: exchange.Reason.TARGET_FULL
}

messages: Any = thriftpy2.load(
    str(pathlib.Path(__file__).with_name("messages.thrift")),
    module_name="messages_thrift",
)


class FrameError(Exception):
    """A frame is too long or can't be decoded."""


def encode_frame(frame: Any) -> bytes:
    """Encodes a frame: its length in 4 bytes, then thrift's binary form."""
    buffer = transport.TCyMemoryBuffer()
    protocol.TCyBinaryProtocol(buffer).write_struct(frame)
    payload = buffer.getvalue()
    return _LENGTH.pack(len(payload)) + payload


def decode_frame(payload: bytes) -> Any:
    """Decodes a frame from a payload without its length.

    Raises:
      FrameError: if the payload is not a valid frame.
    """
    frame = messages.Frame()
    buffer = transport.TCyMemoryBuffer(payload)
    try:
        protocol.TCyBinaryProtocol(buffer).read_struct(frame)
    except Exception as error:
        # thriftpy2 raises many exception types on invalid bytes; each of them
        # means that the peer's message can't be decoded.
        raise FrameError(str(error)) from error
    return frame


async def read_frame(reader: asyncio.StreamReader) -> Any:
    """Reads one frame.

    Raises:
      FrameError: if the frame is too long or can't be decoded.
      asyncio.IncompleteReadError: if the stream has ended.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > MAX_FRAME_BYTES:
        raise FrameError(f"frame too long: {length} bytes")
    return decode_frame(await reader.readexactly(length))


def to_bytes(value: bytes | str) -> bytes:
    """Returns a binary field, which thriftpy2 decodes to str if it is UTF-8."""
    return value.encode() if isinstance(value, str) else bytes(value)


def encode_refusal(exchange_id: int, refusal: exchange.Refusal) -> Any:
    """Converts a refusal to a thrift struct."""
    wait = refusal.retry_after
    known = _NEAREST_KNOWN_REASONS.get(refusal.reason)
    return messages.Refusal(
        exchange=exchange_id,
        outcome=refusal.outcome.value,
        reason=(known or refusal.reason).value,
        detail=refusal.detail,
        retry_after_ms=-1 if wait is None else wait // _MILLISECOND,
        moved_to=refusal.moved_to or None,
        glance=encode_target_report(refusal.target_report),
        exact_reason=refusal.reason.value if known else None,
    )


def decode_refusal(refusal: Any) -> exchange.Refusal:
    """Converts a thrift struct to a refusal.

    Raises:
      FrameError: if this release does not know its outcome or reason.
    """
    wait = refusal.retry_after_ms
    try:
        outcome = exchange.ExecutionOutcome(refusal.outcome)
        reason = exchange.Reason(_known_reason(refusal))
    except ValueError as error:
        raise FrameError(str(error)) from error
    return exchange.Refusal(
        outcome,
        reason,
        refusal.detail,
        None if wait < 0 else datetime.timedelta(milliseconds=wait),
        refusal.moved_to or "",
        decode_target_report(refusal.glance),
    )


def _known_reason(refusal: Any) -> str:
    """Returns the exact reason of a refusal, or the nearest known one."""
    exact: str | None = refusal.exact_reason
    reason: str = refusal.reason
    return exact if exact in _REASONS else reason


def encode_target_report(report: exchange.TargetReport | None) -> Any:
    """Converts a target report to a thrift struct."""
    if report is None:
        return None
    return messages.TargetReport(
        report.load,
        round(100 * report.suspicion),
        # Fields that are None take no bytes; few targets need these.
        math.ceil(report.rate_limit_wait / _MILLISECOND) or None,
        report.leaving_incarnation or None,
        _work_ms(report.work_seconds) if report.work_seconds else None,
        min(report.request_age // _MILLISECOND, MAX_INT32) or None,
    )


def _work_ms(seconds: float) -> int:
    """Returns a work time in ms; never 0, which would mean unknown."""
    return min(max(1, round(1000 * seconds)), MAX_INT32)


def decode_target_report(report: Any) -> exchange.TargetReport | None:
    """Converts a thrift struct to a target report."""
    if report is None:
        return None
    return exchange.TargetReport(
        report.load or 0,
        (report.suspicion or 0) / 100,
        max(0, report.limit_wait_ms or 0) * _MILLISECOND,
        report.leaving_incarnation or 0,
        max(0, report.work_ms or 0) / 1000,
        max(0, report.request_age_ms or 0) * _MILLISECOND,
    )


def encode_headers(headers: exchange.HeaderList) -> list[Any]:
    """Converts headers to thrift structs."""
    return [messages.Header(name, value) for name, value in headers]


def decode_headers(headers: list[Any]) -> exchange.HeaderList:
    """Converts thrift structs to headers."""
    return tuple((item.name, item.value) for item in headers)
