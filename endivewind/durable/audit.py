"""The audit trail: who changed what, when, from which version.

Records lie in the platform as objects of a kind of their own: a fixed number
of shards, each with a bounded list, so that the trail can't outgrow it
however many nodes come and go.
"""

import asyncio
import collections.abc
import datetime
import enum
from typing import Any
import zlib

import expression
import pydantic

from endivewind.durable import retries
from endivewind.platform import client
from endivewind.platform import messages

AUDIT = "audit"
SHARDS = 32
# 500 records of about 400 bytes: a fifth of the platform's largest value.
RECORDS_PER_SHARD = 500
ATTEMPTS = 8

Sleep = collections.abc.Callable[[float], collections.abc.Awaitable[None]]


class Action(enum.StrEnum):
    """What was done."""

    SUBMIT = "submit"
    REMOVE = "remove"
    EJECT = "eject"
    RETURN = "return"
    DRAIN = "drain"
    JOIN = "join"
    LEAVE = "leave"


class Outcome(enum.StrEnum):
    """How it ended, as far as its writer knew.

    INTENDED is written before the change, so that no change is without a
    record; a later record of the same operation and subject replaces it.
    """

    INTENDED = "intended"
    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Record(pydantic.BaseModel):
    """One entry of the trail.

    Attributes:
      time: when it was recorded, in UTC.
      actor: the operator, or the node.
      action: what was done.
      subject: to what, such as "service/riders" or "target/riders-1".
      operation: id of the operation; the same on all its records.
      outcome: how it ended.
      from_version: version that was replaced; 0 if none.
      to_version: version that was written; 0 where there is none.
      detail: for people; no bodies and no secrets.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    time: datetime.datetime
    actor: str = pydantic.Field(max_length=128)
    action: Action
    subject: str = pydantic.Field(max_length=160)
    operation: str = pydantic.Field(max_length=64)
    outcome: Outcome = Outcome.DONE
    from_version: int = 0
    to_version: int = 0
    detail: str = pydantic.Field(default="", max_length=300)


async def append(
    platform: client.PlatformClient,
    actor: str,
    records: collections.abc.Sequence[Record],
    backoff: retries.Backoff,
    sleep: Sleep = asyncio.sleep,
) -> expression.Result[None, messages.PlatformError]:
    """Adds records, however many others write to the same shard.

    A lost answer leads to a second read: records already there are not added
    again.
    """
    name = shard_name(actor)
    last = messages.PlatformError(messages.Failure.UNAVAILABLE)
    for _ in range(ATTEMPTS):
        written = await _append_once(platform, name, records)
        if written.is_ok():
            return expression.Ok(None)
        last = written.error
        await sleep(backoff.next_seconds(last))
    return expression.Error(last)


async def _append_once(
    platform: client.PlatformClient,
    name: str,
    records: collections.abc.Sequence[Record],
) -> expression.Result[messages.StoredObject | None, messages.PlatformError]:
    found = await platform.get(AUDIT, name)
    kept: list[Any] = []
    version = 0
    if found.is_ok():
        # Raw, so that records of a newer release are not lost.
        kept = list(found.ok.value.get("records", ()))
        version = found.ok.version
    elif found.error.failure is not messages.Failure.NOT_FOUND:
        return expression.Error(found.error)
    added = [item.model_dump(mode="json") for item in records]
    fresh = [item for item in added if item not in kept]
    if not fresh:
        return expression.Ok(None)
    value = {"records": [*kept, *fresh][-RECORDS_PER_SHARD:]}
    written = await platform.put(AUDIT, name, value, version)
    return written.map(lambda stored: stored)


async def read(
    platform: client.PlatformClient,
) -> expression.Result[list[Record], messages.PlatformError]:
    """The whole trail, oldest first, one record for each change."""
    found = await platform.list(AUDIT)
    if found.is_error():
        return expression.Error(found.error)
    latest: dict[tuple[str, str], Record] = {}
    records = [item for shard in found.ok.objects for item in records_of(shard)]
    for item in sorted(records, key=lambda record: record.time):
        latest[item.operation, item.subject] = item
    return expression.Ok(sorted(latest.values(), key=lambda item: item.time))


def records_of(stored: messages.StoredObject) -> tuple[Record, ...]:
    """The records of one shard that can be read."""
    found = []
    for item in stored.value.get("records", ()):
        try:
            found.append(Record.model_validate(item))
        except pydantic.ValidationError:
            # Of a newer release; the rest is still worth showing.
            continue
    return tuple(found)


def shard_name(actor: str) -> str:
    """The shard that holds an actor's records."""
    return f"shard-{zlib.crc32(actor.encode()) % SHARDS:02d}"
