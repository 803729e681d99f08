"""Objects of the platform's store as JSON, and back."""

import json
from typing import Any

import pydantic

from endivewind.platform import messages


class _Metadata(pydantic.BaseModel):
    name: str
    revision: int = pydantic.Field(ge=1)


class _WireObject(pydantic.BaseModel):
    """One object; what this project does not use is passed over.

    Attributes:
      metadata: the name, and the store's counter at the last change.
      spec: the value; anything at all in objects of other writers.
    """

    metadata: _Metadata
    spec: Any = None


class _WireListing(pydantic.BaseModel):
    items: list[_WireObject] = []
    has_more: bool = False
    at_rev: int = pydantic.Field(ge=0)


class _WireEvent(pydantic.BaseModel):
    object: _WireObject
    deleted: bool = False


class _WireEvents(pydantic.BaseModel):
    events: list[_WireEvent] = []
    at_rev: int = pydantic.Field(ge=0)


def object_in(kind: str, body: bytes) -> messages.StoredObject:
    """One object; raises pydantic.ValidationError."""
    return _stored(kind, _WireObject.model_validate_json(body))


def page_in(kind: str, body: bytes) -> messages.Page:
    """One part of a listing; raises pydantic.ValidationError."""
    page = _WireListing.model_validate_json(body)
    objects = tuple(_stored(kind, item) for item in page.items)
    return messages.Page(page.at_rev, objects, page.has_more)


def events_in(kind: str, body: bytes) -> messages.Listing:
    """What a watch has told; a removal is an object without a value."""
    found = _WireEvents.model_validate_json(body)
    objects = tuple(
        _stored(kind, event.object, gone=event.deleted)
        for event in found.events
    )
    return messages.Listing(revision=found.at_rev, objects=objects)


def object_out(
    name: str, value: dict[str, Any], revision: int | None = None
) -> dict[str, Any]:
    """An object as calls send it and as the store shows it."""
    metadata: dict[str, Any] = {"name": name, "finalizers": []}
    if revision is not None:
        metadata["revision"] = revision
    return {"metadata": metadata, "spec": value}


def first_problem(error: pydantic.ValidationError) -> tuple[str, str]:
    """Where the first problem of a message is, and what it is."""
    first = error.errors(include_url=False, include_input=False)[0]
    return ".".join(str(part) for part in first["loc"]), first["msg"]


def problem_line(error: pydantic.ValidationError) -> str:
    """The first problem of a message with its place, in one line."""
    return ": ".join(first_problem(error))


def bytes_out(value: dict[str, Any]) -> bytes:
    """JSON without spaces: its bytes are paid for between regions."""
    return json.dumps(value, separators=(",", ":")).encode()


def _stored(
    kind: str, item: _WireObject, *, gone: bool = False
) -> messages.StoredObject:
    value = item.spec if isinstance(item.spec, dict) and not gone else {}
    return messages.StoredObject(
        kind=kind,
        name=item.metadata.name,
        version=item.metadata.revision,
        value=value,
    )
