"""The configuration in force: the highest version of each object."""

import dataclasses
import logging
from typing import Any

import expression
import pydantic

from endivewind.config import objects

log = logging.getLogger(__name__)

SERVICE = "service"
ROUTE_GROUP = "route-group"
WORKSPACE_SHARD = "workspace-shard"
KINDS = (SERVICE, ROUTE_GROUP, WORKSPACE_SHARD)

_MODELS: dict[str, type[pydantic.BaseModel]] = {
    SERVICE: objects.Service,
    ROUTE_GROUP: objects.RouteGroup,
    WORKSPACE_SHARD: objects.WorkspaceShard,
}


class Envelope(pydantic.BaseModel):
    """What the platform holds for one configuration object.

    Attributes:
      spec: the object itself; None is a removal.
      operation: id of the submission that wrote this version.
      author: who submitted it.
    """

    spec: dict[str, Any] | None
    operation: str
    author: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Versioned:
    """One configuration object at a version; model None is a removal."""

    kind: str
    name: str
    version: int
    model: Any


class ConfigurationStore:
    """Merges versions of objects; never goes back to a lower one."""

    def __init__(self) -> None:
        self._objects: dict[tuple[str, str], Versioned] = {}

    @property
    def version(self) -> int:
        """The highest version of any object in force."""
        return max((item.version for item in self._objects.values()), default=0)

    def apply(
        self, kind: str, name: str, version: int, value: dict[str, Any]
    ) -> expression.Result[bool, str]:
        """Takes an object unless as high a version is in force.

        Returns:
          Whether it is now in force; an error where the value is not valid,
          in which case the last good one stays.
        """
        known = self._objects.get((kind, name))
        if known and known.version >= version:
            return expression.Ok(False)
        try:
            envelope = Envelope.model_validate(value)
            model = _model(kind, envelope)
        except pydantic.ValidationError as error:
            return expression.Error(f"{kind}/{name}@{version}: {error}")
        self._objects[kind, name] = Versioned(kind, name, version, model)
        return expression.Ok(True)

    def service(self, name: str) -> objects.Service | None:
        """A service in force."""
        item = self._objects.get((SERVICE, name))
        return item.model if item else None

    def route_groups(self) -> list[objects.RouteGroup]:
        """All route groups in force."""
        return self._models(ROUTE_GROUP)

    def workspace_shards(self) -> list[objects.WorkspaceShard]:
        """All workspace shards in force."""
        return self._models(WORKSPACE_SHARD)

    def _models(self, kind: str) -> list[Any]:
        return [
            item.model
            for item in self._objects.values()
            if item.kind == kind and item.model is not None
        ]


def _model(kind: str, envelope: Envelope) -> pydantic.BaseModel | None:
    if envelope.spec is None:
        return None
    return _MODELS[kind].model_validate(envelope.spec)
