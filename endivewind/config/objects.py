"""Models of the configuration: services, routes and workspaces."""

import collections.abc
import enum
from typing import Annotated

import pydantic

from endivewind.config import base
from endivewind.config import caller_keys
from endivewind.config import consistency_checks

OptionalName = Annotated[
    str, pydantic.Field(pattern=r"^([a-z0-9][a-z0-9.-]{0,62})?$")
]
Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class Profile(enum.StrEnum):
    """Whether outlier ejection favours detection or available capacity."""

    DETECTION = "detection"
    CAPACITY = "capacity"


class RepeatPolicy(enum.StrEnum):
    """Which requests of a route may run more than once."""

    SAFE_METHODS = "safe-methods"
    ALWAYS = "always"
    NEVER = "never"


class Priority(enum.StrEnum):
    """Load-shedding priority: low is refused before high."""

    LOW = "low"
    NORMAL = "normal"
    HIGH = "high"


class Service(base.Model):
    """A group of interchangeable targets.

    Attributes:
      floor_slots: minimum number of slots in each region that ejection must
        leave in use.
      profile: error bounds of the statistical test for gray failures.
      queue_limit: maximum number of requests that wait for a slot at one
        entry node.
      timeout_ms: timeout of a request that has no deadline of its own.
      slots: concurrency of a target that announces no number of slots.
      expected_targets: expected number of targets in each region; 0 if
        unknown. Used only by `endivewind validate`, to warn of a floor that is
        too high to allow any ejection.
      floor_percent: minimum share of a region's announced slots that ejection
        must leave in use, if floor_slots is 0; 0 means half of them.
      retry_percent: allowed retries, as a share of recent requests.
      retry_reserve: retries that the whole fleet may make in addition, in each
        retry_window_ms.
      retry_window_ms: length of the window in which retries are counted.
      health_path: path of the targets' health check; empty if there is none.
      max_connections: maximum number of connections that a target accepts; 0
        if unknown.
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


class SplitEntry(base.Model):
    """One service's share of a route's requests.

    Attributes:
      service: name of the service.
      weight: its share, relative to the other weights.
    """

    service: Name
    weight: pydantic.StrictInt = pydantic.Field(default=1, ge=0, le=1_000_000)


class Route(base.Model):
    """A rule that maps requests to a service; the longest prefix wins.

    Attributes:
      host: the request's Host header without the port; "*" matches any host.
      prefix: path prefix, matched at segment boundaries; a prefix that ends
        with a slash matches only paths below it.
      service: name of the service; empty if the route has a split.
      split: services among which the requests are split by weight.
      workspace: the only workspace that the route matches; empty matches all.
      anonymous: whether requests need no key although workspaces have keys.
      repeat: which requests may run more than once, so that they are safe to
        retry.
      priority: load-shedding priority; low is refused first, high last.
      rank: order within the priority; 0 is served first and refused last.
      timeout_ms: maximum time until the caller gets a response; 0 uses the
        service's timeout.
      aim_ms: latency objective of the caller; 0 if unknown.
      attempts: maximum number of targets that a request is sent to; 0 uses the
        node's default.
    """

    service: OptionalName = ""
    split: tuple[SplitEntry, ...] = ()
    host: str = pydantic.Field(default="*", min_length=1, max_length=253)
    prefix: str = pydantic.Field(default="/", pattern=r"^/", max_length=512)
    workspace: str = ""
    anonymous: pydantic.StrictBool = False
    repeat: RepeatPolicy = RepeatPolicy.SAFE_METHODS
    priority: Priority = Priority.NORMAL
    rank: pydantic.StrictInt = pydantic.Field(default=0, ge=0, le=1_000)
    timeout_ms: pydantic.StrictInt = pydantic.Field(default=0, ge=0, le=600_000)
    aim_ms: pydantic.StrictInt = pydantic.Field(default=0, ge=0, le=600_000)
    attempts: pydantic.StrictInt = pydantic.Field(default=0, ge=0, le=100)

    @pydantic.model_validator(mode="after")
    def _validate_destination(self) -> "Route":
        if self.service and self.split:
            raise ValueError("needs either a service or a split, not both")
        if self.split and not any(share.weight for share in self.split):
            raise ValueError("a split needs a weight above 0")
        return self


class CallerLimits(base.Model):
    """Size limits and timeouts for callers.

    Attributes:
      header_bytes: maximum size of a request's headers.
      body_bytes: maximum size of a request's body.
      header_timeout_ms: timeout for receiving a request's headers.
      idle_timeout_ms: time after which an idle connection is closed.
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
    """A tenant of the fleet, with its share of capacity and its rate limit.

    Attributes:
      firm: the firm that the workspace belongs to.
      weight: share of the capacity under saturation, relative to other
        workspaces.
      rate: rate limit in requests per second over all nodes; 0 means no limit.
      burst: number of requests by which a burst may exceed the rate.
      rank: overrides the rank of the routes that the workspace uses; if
        absent, the routes' ranks apply.
    """

    firm: Name
    weight: pydantic.StrictInt = pydantic.Field(default=1, ge=1, le=1000)
    rate: pydantic.StrictFloat = pydantic.Field(default=0, ge=0)
    burst: pydantic.StrictInt = pydantic.Field(default=20, ge=0, le=100_000)
    rank: pydantic.StrictInt | None = pydantic.Field(
        default=None, ge=0, le=1_000
    )


class RouteGroup(base.Model):
    """The routes of one firm; stored as one object on the platform.

    Attributes:
      routes: the routes, in any order.
    """

    routes: tuple[Route, ...] = ()


class WorkspaceGroup(base.Model):
    """A group of workspaces and their API keys.

    Base class of WorkspaceShard and Document.

    Attributes:
      workspaces: the workspaces by name; if no workspace has a key, callers
        pass the name in the Endivewind-Workspace header.
      keys: the workspace of each key, by the key's digest.
      keyed: whether requests need a key even if none is configured, so that
        all of them are refused, except on anonymous routes. As soon as any key
        is configured, requests need one in any case.
    """

    workspaces: dict[Name, Workspace] = {}
    keys: dict[caller_keys.Digest, Name] = {}
    keyed: pydantic.StrictBool = False


class WorkspaceShard(WorkspaceGroup):
    """A group of workspaces that is stored as one object on the platform.

    Attributes:
      workspaces: the workspaces by name; if no workspace has a key, callers
        pass the name in the Endivewind-Workspace header.
      keys: the workspace of each key, by the key's digest.
      keyed: whether requests need a key even if none is configured, so that
        all of them are refused, except on anonymous routes. As soon as any key
        is configured, requests need one in any case.
    """


class Document(WorkspaceGroup):
    """A complete configuration that is stored and replaced as one object.

    Attributes:
      workspaces: the workspaces by name.
      keys: the workspace of each key, by the key's digest.
      keyed: whether requests need a key even while no key exists.
      services: the services by name.
      routes: the routes, in any order.
      limits: limits for callers; if absent, the node's settings apply.
    """

    services: dict[Name, Service] = {}
    routes: tuple[Route, ...] = ()
    limits: CallerLimits | None = None


class ConfigurationFile(base.Model):
    """A complete configuration file, as accepted by `endivewind submit`.

    Attributes:
      services: the services by name.
      route_groups: groups of routes by name, one for each firm.
      workspace_shards: groups of workspaces by name, each small enough for one
        object on the platform.
    """

    services: dict[Name, Service] = {}
    route_groups: dict[Name, RouteGroup] = {}
    workspace_shards: dict[Name, WorkspaceShard] = {}

    @classmethod
    def find_problems(
        cls, data: object
    ) -> collections.abc.Iterator[base.Problem]:
        """Yields unknown services, duplicate routes, excessive floors, etc."""
        return consistency_checks.find_problems(data)
