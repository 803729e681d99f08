"""The routing table: finds a request's route by host, workspace and prefix.

The gateway keeps one table and replaces the routes of a group whenever that
group's configuration changes. Prefixes are matched longest first.
"""

import collections
import collections.abc

from endivewind.config import objects

ANY_HOST = "*"

_RoutesByPrefix = dict[str, tuple[objects.Route, ...]]


class RoutingTable:
    """Routes indexed by host, workspace and prefix.

    A route for the exact host takes precedence over one for any host, then a
    route of the workspace over one for all workspaces, then the longer prefix.
    Of several routes with the same key the one with the smallest service name
    is used, which is the same on every node. The cost of a look-up depends on
    the depth of the path, and that of replacing a group on the routes of that
    group, not on the size of the table.
    """

    def __init__(
        self, routes: collections.abc.Iterable[objects.Route] = ()
    ) -> None:
        self._routes: dict[tuple[str, str], _RoutesByPrefix] = (
            collections.defaultdict(dict)
        )
        self._groups: dict[str, tuple[objects.Route, ...]] = {}
        self.replace("", routes)

    def replace(
        self, group: str, routes: collections.abc.Iterable[objects.Route]
    ) -> None:
        """Replaces the routes of one group."""
        for route in self._groups.pop(group, ()):
            self._remove(route)
        new_routes = tuple(routes)
        for route in new_routes:
            self._add(route)
        if new_routes:
            self._groups[group] = new_routes

    def match(
        self, host: str, path: str, workspace: str
    ) -> objects.Route | None:
        """Returns the route for a request, or None."""
        host = host.lower()
        for route_host in (host, ANY_HOST):
            for route_workspace in (workspace, "") if workspace else ("",):
                routes_by_prefix = self._routes.get(
                    (route_host, route_workspace)
                )
                found = (
                    _longest_match(routes_by_prefix, path)
                    if routes_by_prefix
                    else None
                )
                if found:
                    return found
        return None

    def _add(self, route: objects.Route) -> None:
        routes_by_prefix = self._routes[route.host.lower(), route.workspace]
        prefix = _normalize_prefix(route.prefix)
        same_key_routes = (*routes_by_prefix.get(prefix, ()), route)
        routes_by_prefix[prefix] = tuple(sorted(same_key_routes, key=_sort_key))

    def _remove(self, route: objects.Route) -> None:
        key = (route.host.lower(), route.workspace)
        routes_by_prefix = self._routes[key]
        prefix = _normalize_prefix(route.prefix)
        remaining = list(routes_by_prefix[prefix])
        remaining.remove(route)
        if remaining:
            routes_by_prefix[prefix] = tuple(remaining)
            return
        del routes_by_prefix[prefix]
        if not routes_by_prefix:
            del self._routes[key]


def _sort_key(route: objects.Route) -> tuple[str, str, str]:
    return route.service, route.repeat.value, route.priority.value


def _normalize_prefix(prefix: str) -> str:
    """Returns the index key of a prefix; "/" matches every path, like ""."""
    return "" if prefix == "/" else prefix


def _longest_match(
    routes_by_prefix: _RoutesByPrefix, path: str
) -> objects.Route | None:
    """Returns the route with the longest prefix of the path, or None.

    Each parent path is tried with a trailing slash first, then without: the
    prefix "/a/" matches "/a/b" but not "/a"; the prefix "/a" matches both.
    """
    candidate = path
    while candidate:
        found = routes_by_prefix.get(candidate)
        if found:
            return found[0]
        if candidate.endswith("/"):
            candidate = candidate[:-1]
        else:
            candidate = candidate.rpartition("/")[0] + "/"
            if candidate == "/":
                break
    found = routes_by_prefix.get("")
    return found[0] if found else None
