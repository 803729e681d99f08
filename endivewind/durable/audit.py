"""The audit trail: who changed what and when, and from which version.

Nodes and operators' commands append records, which the platform's store keeps
as objects of a kind of their own. The number of shards is fixed and the list
of each is bounded, so that the size of the trail is bounded however many
nodes come and go.
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

AUDIT_KIND = "audit"
SHARD_COUNT = 32
# 500 records of about 400 bytes are a fifth of the platform's largest value.
RECORDS_PER_SHARD = 500
MAX_ATTEMPTS = 8

Sleep = collections.abc.Callable[[float], collections.abc.Awaitable[None]]


class Action(enum.StrEnum):
    """The kind of change that a record describes."""

    SUBMIT = "submit"
    REMOVE = "remove"
    EJECT = "eject"
    RETURN = "return"
    DRAIN = "drain"
    JOIN = "join"
    LEAVE = "leave"


class Outcome(enum.StrEnum):
    """The outcome of a change, as far as the record's writer knows.

    INTENDED is written before the change, so that every change has a record.
    Both records are stored; read() returns only the latest one of the same
    operation and subject.
    """

    INTENDED = "intended"
    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Record(pydantic.BaseModel):
    """One record of the trail.

    Attributes:
      time: when it was recorded, in UTC.
      actor: the operator or the node that made the change.
      action: the kind of change.
      subject: what was changed, such as "service/riders" or
        "target/riders-1".
      operation: id of the operation; the same in all its records.
      outcome: the outcome of the change.
      from_version: the version that was replaced; 0 if there is none.
      to_version: the version that was written; 0 if there is none.
      detail: a description for people; contains no bodies and no secrets.
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
    """Appends records to the actor's shard, retrying after conflicts.

    Every attempt reads the shard first, so that records which an earlier
    attempt wrote, but whose response was lost, are not added again.
    """
    name = shard_name(actor)
    last_error = messages.PlatformError(messages.FailureReason.UNAVAILABLE)
    for _ in range(MAX_ATTEMPTS):
        result = await _append_once(platform, name, records)
        if result.is_ok():
            return expression.Ok(None)
        last_error = result.error
        await sleep(backoff.next_seconds(last_error))
    return expression.Error(last_error)


async def _append_once(
    platform: client.PlatformClient,
    name: str,
    records: collections.abc.Sequence[Record],
) -> expression.Result[messages.StoredObject | None, messages.PlatformError]:
    shard = await platform.get(AUDIT_KIND, name)
    stored_records: list[Any] = []
    version = 0
    if shard.is_ok():
        # Not validated, so that records of a newer release are kept.
        stored_records = list(shard.ok.value.get("records", ()))
        version = shard.ok.version
    elif shard.error.failure is not messages.FailureReason.NOT_FOUND:
        return expression.Error(shard.error)
    encoded = [item.model_dump(mode="json") for item in records]
    missing = [item for item in encoded if item not in stored_records]
    if not missing:
        return expression.Ok(None)
    value = {"records": [*stored_records, *missing][-RECORDS_PER_SHARD:]}
    result = await platform.put(AUDIT_KIND, name, value, version)
    return result.map(lambda stored: stored)


async def read(
    platform: client.PlatformClient,
) -> expression.Result[list[Record], messages.PlatformError]:
    """Reads the whole trail, oldest first, one record for each change."""
    listing = await platform.list(AUDIT_KIND)
    if listing.is_error():
        return expression.Error(listing.error)
    latest: dict[tuple[str, str], Record] = {}
    records = [
        item for shard in listing.ok.objects for item in decode_records(shard)
    ]
    for item in sorted(records, key=lambda record: record.time):
        latest[item.operation, item.subject] = item
    return expression.Ok(sorted(latest.values(), key=lambda item: item.time))


def decode_records(stored: messages.StoredObject) -> tuple[Record, ...]:
    """Decodes the records of one shard and skips invalid ones."""
    records = []
    for item in stored.value.get("records", ()):
        try:
            records.append(Record.model_validate(item))
        except pydantic.ValidationError:
            # A newer release may have written it; the others are still shown.
            continue
    return tuple(records)


def shard_name(actor: str) -> str:
    """Returns the name of the shard that holds an actor's records."""
    return f"shard-{zlib.crc32(actor.encode()) % SHARD_COUNT:02d}"
