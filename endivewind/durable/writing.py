"""Writes that are resolved when their answer is lost."""

import asyncio
import collections.abc
import dataclasses
import enum
from typing import Any

from endivewind.durable import retries
from endivewind.platform import client
from endivewind.platform import messages

ATTEMPTS = 6

Sleep = collections.abc.Callable[[float], collections.abc.Awaitable[None]]

# No answer, or none that can be read: the write may have taken effect.
_IN_DOUBT = (messages.Failure.UNAVAILABLE, messages.Failure.INVALID)


class Ending(enum.StrEnum):
    """What is known of a write.

    WRITTEN: it took effect. CONFLICT: another write came first and this one
    did not take effect. UNWRITTEN: the platform took no call, and it did not
    take effect. UNKNOWN: it may have taken effect.
    """

    WRITTEN = "written"
    CONFLICT = "conflict"
    UNWRITTEN = "unwritten"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """How a write ended.

    Attributes:
      ending: what is known.
      current: the object as the platform last told it, if it did.
      detail: for people.
      followed: another write has already taken its place.
    """

    ending: Ending
    current: messages.StoredObject | None = None
    detail: str = ""
    followed: bool = False


async def write(
    platform: client.PlatformClient,
    kind: str,
    name: str,
    value: dict[str, Any],
    expected: int,
    backoff: retries.Backoff,
    sleep: Sleep = asyncio.sleep,
) -> Write:
    """Writes one object once, whatever becomes of the answers.

    Failure: the answer is lost after the write took effect. Symptom: a plain
    retry is refused as a conflict with oneself, or writes twice. Every retry
    is conditional on the version first read, so at most one attempt takes
    effect; the operation id in the value tells whether it was ours.

    Args:
      platform: where to write.
      kind: the object's kind.
      name: the object's name.
      value: the value; "operation" is unique to this write.
      expected: the version read before.
      backoff: waits between attempts.
      sleep: waits; tests pass their own.
    """
    doubt = False
    detail = ""
    for _ in range(ATTEMPTS):
        written = await platform.put(kind, name, value, expected)
        if written.is_ok():
            return Write(Ending.WRITTEN, written.ok)
        error = written.error
        detail = error.detail
        if error.failure is messages.Failure.CONFLICT:
            return _resolve(value, error.current, doubt)
        doubt = doubt or error.failure in _IN_DOUBT
        await sleep(backoff.next_seconds(error))
    return Write(Ending.UNKNOWN if doubt else Ending.UNWRITTEN, None, detail)


def _resolve(
    value: dict[str, Any], current: messages.StoredObject | None, doubt: bool
) -> Write:
    operation = value.get("operation")
    if current is None:
        # The object is gone, or the conflict came without it.
        ending = Ending.UNKNOWN if doubt else Ending.CONFLICT
        return Write(ending, None, "the platform did not show the object")
    if current.value.get("operation") == operation:
        return Write(Ending.WRITTEN, current)
    replaced = current.value.get("replaced_operation")
    if doubt and replaced == operation:
        return Write(Ending.WRITTEN, current, followed=True)
    if doubt and replaced != value.get("replaced_operation"):
        # More than one write has followed; whether ours was among them can
        # no longer be read from the object.
        return Write(Ending.UNKNOWN, current, "several writes have followed")
    return Write(Ending.CONFLICT, current)
