"""Encodes and decodes the JSON of the platform's store."""

import collections.abc
import json
import logging
from typing import Any
from typing import TypeVar

import pydantic

from endivewind import logs
from endivewind.platform import json_parts
from endivewind.platform import messages

log = logging.getLogger(__name__)

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)


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
    """Decodes one object; its value is empty if that can't be read.

    Raises:
      pydantic.ValidationError: the body is no valid object.
    """
    return _to_stored(kind, _decode_item(body))


def decode_removed(kind: str, body: bytes) -> messages.StoredObject | None:
    """Decodes the response to a removal; None if it holds no object."""
    try:
        return decode_object(kind, body)
    except pydantic.ValidationError:
        return None


def decode_page(kind: str, body: bytes) -> messages.Page:
    """Decodes one page of a listing.

    Scenario: another writer has stored an entry that is nested deeply, or holds
    a number too large. Risk: the parser refuses the whole page, and no node
    reads any entry. So such a page is read in parts: the value of the entry is
    empty, and the others are as they are.

    Raises:
      pydantic.ValidationError: the body is no valid page.
    """
    page = _decode_list(_WireListing, body, "items", _decode_item)
    objects = tuple(_to_stored(kind, item) for item in page.items)
    return messages.Page(page.at_rev, objects, page.has_more)


def decode_events(kind: str, body: bytes) -> messages.Listing:
    """Decodes the events of a watch; a removed object has an empty value.

    One that can't be read is treated as in `decode_page`.

    Raises:
      pydantic.ValidationError: the body holds no valid events.
    """
    decoded = _decode_list(_WireEvents, body, "events", _decode_event)
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


def _decode_list(
    model: type[ModelT],
    body: bytes,
    name: str,
    decode: collections.abc.Callable[[bytes], pydantic.BaseModel],
) -> ModelT:
    """Decodes a body, and its items one by one if they can't be parsed at once.

    Args:
      model: of the body.
      body: the body's text.
      name: of the field that holds the items.
      decode: decodes one item.

    Raises:
      pydantic.ValidationError: the body does not fit the model.
    """
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError as error:
        try:
            members = json_parts.split_object(body)
            texts = json_parts.split_array(
                members.pop(b'"%b"' % name.encode(), b"[]")
            )
        except ValueError:
            raise error from None
        rest = model.model_validate_json(json_parts.join_object(members))
        return rest.model_copy(update={name: _readable(texts, decode)})


def _readable(
    texts: list[bytes], decode: collections.abc.Callable[[bytes], ModelT]
) -> list[ModelT]:
    """Returns the items that can be decoded, and logs the others."""
    decoded = []
    for text in texts:
        try:
            decoded.append(decode(text))
        except pydantic.ValidationError as error:
            fields = logs.fields(problem=format_first_problem(error))
            log.warning("entry without a name skipped", extra=fields)
    return decoded


def _decode_event(text: bytes) -> _WireEvent:
    """Decodes an event whose object may not be readable.

    Raises:
      pydantic.ValidationError: it does not tell which object has changed.
    """
    try:
        return _WireEvent.model_validate_json(text)
    except pydantic.ValidationError as error:
        try:
            members = json_parts.split_object(text)
            item = _decode_item(members[b'"object"'])
        except (KeyError, ValueError):
            raise error from None
        is_deleted = members.get(b'"deleted"') == b"true"
        return _WireEvent(object=item, deleted=is_deleted)


def _decode_item(text: bytes) -> _WireObject:
    """Decodes an object; its spec is None if that can't be read.

    Raises:
      pydantic.ValidationError: it has no name or no revision.
    """
    try:
        return _WireObject.model_validate_json(text)
    except pydantic.ValidationError as error:
        try:
            members = json_parts.split_object(text)
            metadata = json_parts.split_object(members[b'"metadata"'])
            known = {
                name: metadata[name] for name in (b'"name"', b'"revision"')
            }
            return _WireObject(
                metadata=_Metadata.model_validate_json(
                    json_parts.join_object(known)
                )
            )
        except (KeyError, ValueError):
            raise error from None


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
