"""The configuration that operators submit: services, routes, workspaces."""

import collections.abc
import enum
from typing import Annotated

import pydantic

from endivewind.config import base
from endivewind.config import caller_keys
from endivewind.config import references

OptionalName = Annotated[
    str, pydantic.Field(pattern=r"^([a-z0-9][a-z0-9.-]{0,62})?$")
]
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
      floor_percent: share of a region's announced slots that ejection may
        never go below, where floor_slots is 0; 0 stands for half of them.
      retry_percent: retries allowed, as a share of recent requests.
      retry_reserve: retries that the whole fleet may make besides, in each
        retry_window_ms.
      retry_window_ms: span in which retries are counted.
      health_path: where its targets answer health checks; empty if nowhere.
      max_connections: connections that one target takes; 0 is unknown.
    """

    floor_slots: pydantic.StrictInt = pydantic.Field(default=0, ge=0)
    floor_percent: pydantic.StrictInt = pydantic.Field(default=0, ge=0, le=100)
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
    retry_reserve: pydantic.StrictInt = pydantic.Field(
        default=0, ge=0, le=1_000_000
    )
    retry_window_ms: pydantic.StrictInt = pydantic.Field(
        default=10_000, ge=100, le=600_000
    )
    health_path: str = pydantic.Field(default="", max_length=512)
    max_connections: pydantic.StrictInt = pydantic.Field(
        default=0, ge=0, le=1_000_000
    )


class Share(base.Model):
    """One service's part of a route's requests.

    Attributes:
      service: name of the service.
      weight: its part, relative to the others.
    """

    service: Name
    weight: pydantic.StrictInt = pydantic.Field(default=1, ge=0, le=1_000_000)


class Route(base.Model):
    """How a request reaches a service: the longest prefix wins.

    Attributes:
      host: the request's Host without port; "*" matches any.
      prefix: path prefix, matched at segment borders; one that ends with a
        slash matches only what is below it.
      service: name of the service; empty where the route has a split.
      split: services that share the requests, by weight.
      workspace: only this workspace; empty matches all.
      anonymous: whether callers need no key, where workspaces have keys.
      repeat: which requests may run more than once.
      priority: refused last (high) or first (low).
      rank: order within the priority; 0 is served first and refused last.
      timeout_ms: longest time that a caller is kept waiting; 0 leaves it to
        the service.
      aim_ms: time within which an answer is worth most to its caller; 0 is
        unknown.
      attempts: most targets that one request may be sent to; 0 leaves it to
        the node.
    """

    service: OptionalName = ""
    split: tuple[Share, ...] = ()
    host: str = pydantic.Field(default="*", min_length=1, max_length=253)
    prefix: str = pydantic.Field(default="/", pattern=r"^/", max_length=512)
    workspace: str = ""
    anonymous: pydantic.StrictBool = False
    repeat: Repeat = Repeat.SAFE_METHODS
    priority: Priority = Priority.NORMAL
    rank: pydantic.StrictInt = pydantic.Field(default=0, ge=0, le=1_000)
    timeout_ms: pydantic.StrictInt = pydantic.Field(default=0, ge=0, le=600_000)
    aim_ms: pydantic.StrictInt = pydantic.Field(default=0, ge=0, le=600_000)
    attempts: pydantic.StrictInt = pydantic.Field(default=0, ge=0, le=100)

    @pydantic.model_validator(mode="after")
    def _leads_somewhere(self) -> "Route":
        if self.service and self.split:
            raise ValueError("needs either a service or a split, not both")
        if self.split and not any(share.weight for share in self.split):
            raise ValueError("a split needs a weight above 0")
        return self


class CallerLimits(base.Model):
    """What callers may send, and how long they may take.

    Attributes:
      header_bytes: most bytes of a request's headers.
      body_bytes: most bytes of a request's body.
      header_timeout_ms: longest time that a request's headers may take.
      idle_timeout_ms: how long a connection may stay open without a request.
    """

    header_bytes: pydantic.StrictInt = pydantic.Field(
        default=16_384, ge=1024, le=1_048_576
    )
    body_bytes: pydantic.StrictInt = pydantic.Field(default=16_777_216, ge=0)
    header_timeout_ms: pydantic.StrictInt = pydantic.Field(
        default=10_000, ge=100, le=600_000
    )
    idle_timeout_ms: pydantic.StrictInt = pydantic.Field(
        default=75_000, ge=100, le=3_600_000
    )


class Workspace(base.Model):
    """A customer's share of the fleet.

    Attributes:
      firm: the firm that the workspace belongs to.
      weight: share under saturation, relative to other workspaces.
      rate: requests a second over all nodes together; 0 is no limit.
      burst: requests that may come at once above the rate.
      rank: goes before the rank of the routes that it uses; absent leaves
        them as they are.
    """

    firm: Name
    weight: pydantic.StrictInt = pydantic.Field(default=1, ge=1, le=1000)
    rate: pydantic.StrictFloat = pydantic.Field(default=0, ge=0)
    burst: pydantic.StrictInt = pydantic.Field(default=20, ge=0, le=100_000)
    rank: pydantic.StrictInt | None = pydantic.Field(
        default=None, ge=0, le=1_000
    )


class RouteGroup(base.Model):
    """Routes that one firm owns; one object in the platform.

    Attributes:
      routes: the routes, in any order.
    """

    routes: tuple[Route, ...] = ()


class Workspaces(base.Model):
    """Workspaces that are kept together, with the keys that they hold.

    Attributes:
      workspaces: the workspaces by name; where none has a key, callers name
        theirs in Endivewind-Workspace.
      keys: the workspace that holds each key, by the key's digest.
      keyed: whether callers need a key, also while none is given out; where
        any is they need one in any case.
    """

    workspaces: dict[Name, Workspace] = {}
    keys: dict[caller_keys.Digest, Name] = {}
    keyed: pydantic.StrictBool = False


class WorkspaceShard(Workspaces):
    """Workspaces that are stored together; one object in the platform.

    Attributes:
      workspaces: the workspaces by name; where none has a key, callers name
        theirs in Endivewind-Workspace.
      keys: the workspace that holds each key, by the key's digest.
      keyed: whether callers need a key, also while none is given out; where
        any is they need one in any case.
    """


class Document(Workspaces):
    """A whole configuration that is kept and replaced as one object.

    Attributes:
      workspaces: the workspaces by name.
      keys: the workspace that holds each key, by the key's digest.
      keyed: whether callers need a key, also while none is given out.
      services: the services.
      routes: the routes, in any order.
      limits: what callers may send; absent leaves the node's settings.
    """

    services: dict[Name, Service] = {}
    routes: tuple[Route, ...] = ()
    limits: CallerLimits | None = None


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
