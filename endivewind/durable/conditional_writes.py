"""Conditional writes that are resolved if their response is lost.

Operators' commands write configuration through write(). Retries are made
idempotent by the expected version (compare-and-swap) and an operation id.
"""

import asyncio
import collections.abc
import dataclasses
import enum
from typing import Any

from endivewind.durable import retries
from endivewind.platform import client
from endivewind.platform import messages

MAX_ATTEMPTS = 6

Sleep = collections.abc.Callable[[float], collections.abc.Awaitable[None]]

# No valid response: the write may have taken effect.
_UNCERTAIN_FAILURES = (
    messages.FailureReason.UNAVAILABLE,
    messages.FailureReason.INVALID,
)


class WriteOutcome(enum.StrEnum):
    """The outcome of a write.

    WRITTEN: it took effect. CONFLICT: another write came first, and this one
    did not take effect. NOT_WRITTEN: the platform accepted no call, and it did
    not take effect. UNKNOWN: it may have taken effect.
    """

    WRITTEN = "written"
    CONFLICT = "conflict"
    NOT_WRITTEN = "unwritten"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class WriteResult:
    """The result of a write.

    Attributes:
      outcome: the outcome.
      current: the object as the platform last reported it, if it did.
      detail: a description for people.
      is_superseded: whether another write has already replaced it.
    """

    outcome: WriteOutcome
    current: messages.StoredObject | None = None
    detail: str = ""
    is_superseded: bool = False


async def write(
    platform: client.PlatformClient,
    kind: str,
    name: str,
    value: dict[str, Any],
    expected: int,
    backoff: retries.Backoff,
    sleep: Sleep = asyncio.sleep,
) -> WriteResult:
    """Writes one object exactly once, also if responses are lost.

    Scenario: the response is lost after the write took effect. Risk: a plain
    retry would conflict with its own first attempt, or write twice. Here every
    retry is conditional on the version first read, so at most one attempt
    takes effect; the operation id in the value shows whether it was this
    write's.

    Args:
      platform: the store to write to.
      kind: the object's kind.
      name: the object's name.
      value: the value; its "operation" is unique to this write.
      expected: the version read before.
      backoff: gives the waits between attempts.
      sleep: waits; tests pass their own.

    Returns:
      The result; UNKNOWN if the outcome can't be determined.
    """
    may_be_written = False
    detail = ""
    for _ in range(MAX_ATTEMPTS):
        result = await platform.put(kind, name, value, expected)
        if result.is_ok():
            return WriteResult(WriteOutcome.WRITTEN, result.ok)
        error = result.error
        detail = error.detail
        if error.failure is messages.FailureReason.CONFLICT:
            return _resolve_conflict(value, error.current, may_be_written)
        may_be_written = may_be_written or error.failure in _UNCERTAIN_FAILURES
        await sleep(backoff.next_seconds(error))
    return WriteResult(
        WriteOutcome.UNKNOWN if may_be_written else WriteOutcome.NOT_WRITTEN,
        None,
        detail,
    )


def _resolve_conflict(
    value: dict[str, Any],
    current: messages.StoredObject | None,
    may_be_written: bool,
) -> WriteResult:
    """Determines whether an earlier attempt caused a conflict itself."""
    operation = value.get("operation")
    if current is None:
        # The object was removed, or the response did not include it.
        outcome = (
            WriteOutcome.UNKNOWN if may_be_written else WriteOutcome.CONFLICT
        )
        return WriteResult(outcome, None, "the conflict response has no object")
    if current.value.get("operation") == operation:
        return WriteResult(WriteOutcome.WRITTEN, current)
    replaced = current.value.get("replaced_operation")
    if may_be_written and replaced == operation:
        return WriteResult(WriteOutcome.WRITTEN, current, is_superseded=True)
    if may_be_written and replaced != value.get("replaced_operation"):
        # Several other writes have replaced the version first read. The object
        # names only the operation before the latest one, so this write may be
        # among the earlier ones.
        return WriteResult(
            WriteOutcome.UNKNOWN, current, "several other writes have followed"
        )
    return WriteResult(WriteOutcome.CONFLICT, current)
