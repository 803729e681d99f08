"""Consistency checks between the parts of a configuration, on raw data.

The data may be malformed in any way. Values of an unexpected type are skipped
here because the models report them.
"""

import collections.abc
import dataclasses
from typing import Any

from endivewind import spelling
from endivewind.config import base
from endivewind.config import findings


@dataclasses.dataclass(frozen=True, slots=True)
class _Route:
    location: base.Location
    values: dict[Any, Any]

    @property
    def key(self) -> tuple[str, str, str]:
        """What requests are matched against: host, workspace and prefix."""
        return (
            str(self.values.get("host", "*")).lower(),
            str(self.values.get("workspace", "")),
            str(self.values.get("prefix", "/")),
        )

    def services(self) -> collections.abc.Iterator[tuple[base.Location, str]]:
        """Yields each service that the route refers to, with its location."""
        name = self.values.get("service")
        if isinstance(name, str) and name:
            yield (*self.location, "service"), name
        split = self.values.get("split")
        for index, share in enumerate(split if isinstance(split, list) else ()):
            name = _as_mapping(share).get("service")
            if isinstance(name, str):
                yield (*self.location, "split", index, "service"), name


def find_problems(data: object) -> collections.abc.Iterator[base.Problem]:
    """Yields all inconsistencies between the parts of a configuration."""
    services = _as_mapping(_as_mapping(data).get("services"))
    routes = list(_routes(data))
    yield from _routes_without_service(routes)
    yield from _unknown_services(services, routes)
    yield from _shadowed_routes(routes)
    yield from _excessive_floors(services)
    yield from _duplicate_workspaces(data)
    yield from _inconsistent_api_keys(data)


def _routes_without_service(
    routes: list[_Route],
) -> collections.abc.Iterator[base.Problem]:
    for route in routes:
        if "service" not in route.values and "split" not in route.values:
            yield base.Problem(
                (*route.location, "service"),
                "a route needs a service, or a split between services",
            )


def _unknown_services(
    services: dict[Any, Any], routes: list[_Route]
) -> collections.abc.Iterator[base.Problem]:
    known = [name for name in services if isinstance(name, str)]
    for route in routes:
        for location, name in route.services():
            if name in known:
                continue
            hint = spelling.did_you_mean(name, known)
            allowed = ", ".join(sorted(known)) or "none is defined"
            yield base.Problem(
                location,
                f"no such service in this file{hint} Allowed: {allowed}",
                name,
            )


def _shadowed_routes(
    routes: list[_Route],
) -> collections.abc.Iterator[base.Problem]:
    first_by_key: dict[tuple[str, str, str], _Route] = {}
    for route in routes:
        first_route = first_by_key.setdefault(route.key, route)
        if first_route is not route:
            group, _, index = first_route.location[-3:]
            yield base.Problem(
                route.location,
                "same host, workspace and prefix as routes"
                f"[{index}] of {group!r}: only one of the two is used",
                severity=findings.Severity.WARNING,
            )


def _excessive_floors(
    services: dict[Any, Any],
) -> collections.abc.Iterator[base.Problem]:
    for name, value in services.items():
        service = _as_mapping(value)
        floor = _as_integer(service.get("floor_slots"))
        targets = _as_integer(service.get("expected_targets"))
        slots = _as_integer(service.get("slots", 3))
        if targets and floor > targets * slots:
            yield base.Problem(
                ("services", str(name), "floor_slots"),
                f"above the expected {targets * slots} slots of a region "
                f"({targets} targets with {slots} each): no target "
                "of this service would ever be ejected",
                floor,
                findings.Severity.WARNING,
            )


def _duplicate_workspaces(
    data: object,
) -> collections.abc.Iterator[base.Problem]:
    shard_by_workspace: dict[str, str] = {}
    shards = _as_mapping(_as_mapping(data).get("workspace_shards"))
    for shard, value in shards.items():
        for name in _as_mapping(_as_mapping(value).get("workspaces")):
            first_shard = shard_by_workspace.setdefault(str(name), str(shard))
            if first_shard != str(shard):
                yield base.Problem(
                    ("workspace_shards", str(shard), "workspaces", str(name)),
                    f"also in shard {first_shard!r}: a workspace has one shard",
                )


def _inconsistent_api_keys(
    data: object,
) -> collections.abc.Iterator[base.Problem]:
    """Yields the API keys that have no workspace or are in two shards."""
    shard_by_digest: dict[str, str] = {}
    shards = _as_mapping(_as_mapping(data).get("workspace_shards"))
    for shard, value in shards.items():
        workspaces = _as_mapping(_as_mapping(value).get("workspaces"))
        for digest, name in _as_mapping(_as_mapping(value).get("keys")).items():
            location = ("workspace_shards", str(shard), "keys", str(digest))
            if name not in workspaces:
                yield base.Problem(
                    location, "its workspace is not in this shard", name
                )
            first_shard = shard_by_digest.setdefault(str(digest), str(shard))
            if first_shard != str(shard):
                yield base.Problem(
                    location,
                    f"also in shard {first_shard!r}: a key belongs to one workspace",
                )


def _routes(data: object) -> collections.abc.Iterator[_Route]:
    groups = _as_mapping(_as_mapping(data).get("route_groups"))
    for name, group in groups.items():
        routes = _as_mapping(group).get("routes")
        if not isinstance(routes, list):
            continue
        for index, route in enumerate(routes):
            if isinstance(route, dict):
                location = ("route_groups", str(name), "routes", index)
                yield _Route(location, route)


def _as_mapping(value: object) -> dict[Any, Any]:
    return value if isinstance(value, dict) else {}


def _as_integer(value: object) -> int:
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    return value if is_integer else 0  # type: ignore[return-value]
