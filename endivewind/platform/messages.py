"""What the rest of the project sees of the platform's store."""

import dataclasses
import datetime
import enum
from typing import Any

import pydantic


class Failure(enum.Enum):
    """Why a call gave no answer that counts."""

    CONFLICT = "conflict"
    NOT_FOUND = "not-found"
    UNAVAILABLE = "unavailable"
    THROTTLED = "throttled"
    COMPACTED = "compacted"
    INVALID = "invalid"


class StoredObject(pydantic.BaseModel):
    """One object at one version.

    Attributes:
      kind: group of objects, such as "service".
      name: unique within the kind.
      version: grows with every write of the store, so also of the object.
      value: the JSON value.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    kind: str
    name: str
    version: int = pydantic.Field(ge=1)
    value: dict[str, Any]


class Listing(pydantic.BaseModel):
    """Objects of one kind, as they were at a revision of the store."""

    revision: int = pydantic.Field(ge=0)
    objects: tuple[StoredObject, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """One part of a listing.

    Attributes:
      revision: the store's revision when it was read.
      objects: ordered by name.
      has_more: whether objects after the last one were left out.
    """

    revision: int
    objects: tuple[StoredObject, ...]
    has_more: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformError:
    """A call that failed.

    Attributes:
      failure: the kind of failure.
      detail: for people.
      current: on a conflict, the object as it is now.
      retry_after: how long the platform asks to wait; None if it does not.
    """

    failure: Failure
    detail: str = ""
    current: StoredObject | None = None
    retry_after: datetime.timedelta | None = None
