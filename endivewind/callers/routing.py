"""Finds the route of a request: by host, workspace and longest prefix."""

import collections
import collections.abc

from endivewind.config import objects

ANY_HOST = "*"

_ByPrefix = dict[str, tuple[objects.Route, ...]]


class RoutingTable:
    """Routes indexed so that a look-up costs the path's depth, not the table.

    A route for the exact host goes before one for any host, then a route of
    the workspace before one for all, then the longer prefix. Two routes of
    the same key are decided by the service's name, the same on every node.
    A changed group costs its own routes, not the table.
    """

    def __init__(
        self, routes: collections.abc.Iterable[objects.Route] = ()
    ) -> None:
        self._routes: dict[tuple[str, str], _ByPrefix] = (
            collections.defaultdict(dict)
        )
        self._groups: dict[str, tuple[objects.Route, ...]] = {}
        self.replace("", routes)

    def replace(
        self, group: str, routes: collections.abc.Iterable[objects.Route]
    ) -> None:
        """Takes the routes of one group in place of those it had."""
        for route in self._groups.pop(group, ()):
            self._remove(route)
        fresh = tuple(routes)
        for route in fresh:
            self._add(route)
        if fresh:
            self._groups[group] = fresh

    def match(
        self, host: str, path: str, workspace: str
    ) -> objects.Route | None:
        """The route for a request, or None."""
        host = host.lower()
        for known_host in (host, ANY_HOST):
            for known_workspace in (workspace, "") if workspace else ("",):
                group = self._routes.get((known_host, known_workspace))
                found = _longest(group, path) if group else None
                if found:
                    return found
        return None

    def _add(self, route: objects.Route) -> None:
        group = self._routes[route.host.lower(), route.workspace]
        prefix = _normal(route.prefix)
        same = (*group.get(prefix, ()), route)
        group[prefix] = tuple(sorted(same, key=_order))

    def _remove(self, route: objects.Route) -> None:
        place = (route.host.lower(), route.workspace)
        group = self._routes[place]
        prefix = _normal(route.prefix)
        left = list(group[prefix])
        left.remove(route)
        if left:
            group[prefix] = tuple(left)
            return
        del group[prefix]
        if not group:
            del self._routes[place]


def _order(route: objects.Route) -> tuple[str, str, str]:
    return route.service, route.repeat.value, route.priority.value


def _normal(prefix: str) -> str:
    """The prefix as it is looked up; "/" matches every path, as "" does."""
    return "" if prefix == "/" else prefix


def _longest(group: _ByPrefix, path: str) -> objects.Route | None:
    """Looks for the path itself, then for each part of it that is left.

    Both spellings of a part are tried, the longer one first: "/a/" stands
    for what is below "/a", and "/a" for the same and for itself.
    """
    candidate = path
    while candidate:
        found = group.get(candidate)
        if found:
            return found[0]
        if candidate.endswith("/"):
            candidate = candidate[:-1]
        else:
            candidate = candidate.rpartition("/")[0] + "/"
            if candidate == "/":
                break
    found = group.get("")
    return found[0] if found else None
