"""Types of the platform's store that the rest of the project uses."""

import dataclasses
import datetime
import enum
from typing import Any

import pydantic


class FailureReason(enum.Enum):
    """Why a call to the store failed."""

    CONFLICT = "conflict"
    NOT_FOUND = "not-found"
    UNAVAILABLE = "unavailable"
    THROTTLED = "throttled"
    COMPACTED = "compacted"
    INVALID = "invalid"


class StoredObject(pydantic.BaseModel):
    """One object at one version.

    Attributes:
      kind: the group of objects, such as "service".
      name: the name, unique within the kind.
      version: the store's revision at the object's last write; it increases
        with every write.
      value: the JSON value.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    kind: str
    name: str
    version: int = pydantic.Field(ge=1)
    value: dict[str, Any]


class Listing(pydantic.BaseModel):
    """Objects of one kind at a revision of the store."""

    revision: int = pydantic.Field(ge=0)
    objects: tuple[StoredObject, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """One page of a listing.

    Attributes:
      revision: the store's revision when the page was read.
      objects: the objects, ordered by name.
      has_more: whether more pages follow.
    """

    revision: int
    objects: tuple[StoredObject, ...]
    has_more: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformError:
    """A failed call; returned as a value, not raised.

    Attributes:
      failure: the kind of failure.
      detail: a description for people.
      current: after a conflict, the object as it is now.
      retry_after: how long the platform asks to wait; None if it does not.
    """

    failure: FailureReason
    detail: str = ""
    current: StoredObject | None = None
    retry_after: datetime.timedelta | None = None
