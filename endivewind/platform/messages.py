"""What the platform's object API sends and takes."""

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
    STALE = "stale"


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
    """Objects of some kinds, as they were at a revision of the store."""

    revision: int = pydantic.Field(ge=0)
    objects: tuple[StoredObject, ...] = ()


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
