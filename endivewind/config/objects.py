"""The configuration that operators submit: services, routes, workspaces."""

import collections.abc
import enum
from typing import Annotated

import pydantic

from endivewind.config import base
from endivewind.config import references

Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class Profile(enum.StrEnum):
    """Which error a service would rather have its ejections make."""

    DETECTION = "detection"
    CAPACITY = "capacity"


class Repeat(enum.StrEnum):
    """Which requests of a route may run more than once."""

    SAFE_METHODS = "safe-methods"
    ALWAYS = "always"
    NEVER = "never"


class Priority(enum.StrEnum):
    """What is refused first under saturation: low before high."""

    LOW = "low"
    NORMAL = "normal"
    HIGH = "high"


class Service(base.Model):
    """A group of interchangeable targets.

    Attributes:
      floor_slots: slots per region that ejection may never go below.
      profile: error bounds of the gray-failure test.
      queue_limit: requests that may wait for a slot at one entry.
      timeout_ms: deadline of a request that brings none.
      slots: slots of a target that declares none when it announces.
      expected_targets: targets that a region should have; 0 is unknown. Only
        `endivewind validate` uses it, to warn of a floor out of reach.
      retry_percent: retries allowed, as a share of recent requests.
    """

    floor_slots: pydantic.StrictInt = pydantic.Field(default=0, ge=0)
    profile: Profile = Profile.DETECTION
    queue_limit: pydantic.StrictInt = pydantic.Field(
        default=64, ge=0, le=10_000
    )
    timeout_ms: pydantic.StrictInt = pydantic.Field(
        default=10_000, ge=10, le=600_000
    )
    slots: pydantic.StrictInt = pydantic.Field(default=3, ge=1, le=10_000)
    expected_targets: pydantic.StrictInt = pydantic.Field(
        default=0, ge=0, le=100_000
    )
    retry_percent: pydantic.StrictInt = pydantic.Field(default=10, ge=0, le=100)


class Route(base.Model):
    """How a request reaches a service: the longest prefix wins.

    Attributes:
      host: the request's Host without port; "*" matches any.
      prefix: path prefix, matched at segment borders.
      service: name of the service.
      workspace: only this workspace; empty matches all.
      repeat: which requests may run more than once.
      priority: refused last (high) or first (low).
    """

    service: Name
    host: str = pydantic.Field(default="*", min_length=1, max_length=253)
    prefix: str = pydantic.Field(default="/", pattern=r"^/", max_length=512)
    workspace: str = ""
    repeat: Repeat = Repeat.SAFE_METHODS
    priority: Priority = Priority.NORMAL


class Workspace(base.Model):
    """A customer's share of the fleet.

    Attributes:
      firm: the firm that the workspace belongs to.
      weight: share under saturation, relative to other workspaces.
      rate: requests a second at one entry; 0 is no limit.
      burst: requests that may come at once above the rate.
    """

    firm: Name
    weight: pydantic.StrictInt = pydantic.Field(default=1, ge=1, le=1000)
    rate: pydantic.StrictFloat = pydantic.Field(default=0, ge=0)
    burst: pydantic.StrictInt = pydantic.Field(default=20, ge=1, le=100_000)


class RouteGroup(base.Model):
    """Routes that one firm owns; one object in the platform.

    Attributes:
      routes: the routes, in any order.
    """

    routes: tuple[Route, ...] = ()


class WorkspaceShard(base.Model):
    """Workspaces that are stored together; one object in the platform.

    Attributes:
      workspaces: the workspaces, as callers name them in Endivewind-Workspace.
    """

    workspaces: dict[Name, Workspace] = {}


class Configuration(base.Model):
    """A whole file of configuration, as `endivewind submit` takes it.

    Attributes:
      services: the services.
      route_groups: groups of routes, one for each firm.
      workspace_shards: groups of workspaces, each small enough for the
        platform.
    """

    services: dict[Name, Service] = {}
    route_groups: dict[Name, RouteGroup] = {}
    workspace_shards: dict[Name, WorkspaceShard] = {}

    @classmethod
    def problems(cls, data: object) -> collections.abc.Iterator[base.Problem]:
        """Routes to unknown services, routes given twice, floors too high."""
        return references.problems(data)
