"""Encodes and decodes the JSON of the platform's store."""

import json
from typing import Any

import pydantic

from endivewind.platform import messages


class _Metadata(pydantic.BaseModel):
    name: str
    revision: int = pydantic.Field(ge=1)


class _WireObject(pydantic.BaseModel):
    """One object; fields that this project does not use are ignored.

    Attributes:
      metadata: the name, and the store's revision at the last change.
      spec: the value; may be of any type, since not only this project writes
        objects.
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


def decode_object(kind: str, body: bytes) -> messages.StoredObject:
    """Decodes one object.

    Raises:
      pydantic.ValidationError: the body is no valid object.
    """
    return _to_stored(kind, _WireObject.model_validate_json(body))


def decode_removed(kind: str, body: bytes) -> messages.StoredObject | None:
    """Decodes the response to a removal; None if it holds no object."""
    try:
        return decode_object(kind, body)
    except pydantic.ValidationError:
        return None


def decode_page(kind: str, body: bytes) -> messages.Page:
    """Decodes one page of a listing.

    Raises:
      pydantic.ValidationError: the body is no valid page.
    """
    page = _WireListing.model_validate_json(body)
    objects = tuple(_to_stored(kind, item) for item in page.items)
    return messages.Page(page.at_rev, objects, page.has_more)


def decode_events(kind: str, body: bytes) -> messages.Listing:
    """Decodes the events of a watch; a removed object has an empty value.

    Raises:
      pydantic.ValidationError: the body holds no valid events.
    """
    decoded = _WireEvents.model_validate_json(body)
    objects = tuple(
        _to_stored(kind, event.object, is_removed=event.deleted)
        for event in decoded.events
    )
    return messages.Listing(revision=decoded.at_rev, objects=objects)


def encode_object(
    name: str, value: dict[str, Any], revision: int | None = None
) -> dict[str, Any]:
    """Encodes an object as requests and responses of the store hold it."""
    metadata: dict[str, Any] = {"name": name, "finalizers": []}
    if revision is not None:
        metadata["revision"] = revision
    return {"metadata": metadata, "spec": value}


def first_problem(error: pydantic.ValidationError) -> tuple[str, str]:
    """Returns the place and the text of the first validation error."""
    first = error.errors(include_url=False, include_input=False)[0]
    return ".".join(str(part) for part in first["loc"]), first["msg"]


def format_first_problem(error: pydantic.ValidationError) -> str:
    """Formats the first validation error and its place in one line."""
    return ": ".join(first_problem(error))


def encode_json(value: dict[str, Any]) -> bytes:
    """Encodes JSON without spaces, as traffic between regions is billed."""
    return json.dumps(value, separators=(",", ":")).encode()


def _to_stored(
    kind: str, item: _WireObject, *, is_removed: bool = False
) -> messages.StoredObject:
    value = item.spec if isinstance(item.spec, dict) and not is_removed else {}
    return messages.StoredObject(
        kind=kind,
        name=item.metadata.name,
        version=item.metadata.revision,
        value=value,
    )
