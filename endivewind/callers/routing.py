"""Finds the route of a request: by host, workspace and longest prefix."""

import collections
import collections.abc

from endivewind.config import objects

ANY_HOST = "*"


class RoutingTable:
    """Routes indexed so that a look-up costs the path's depth, not the table.

    A route for the exact host goes before one for any host, then a route of
    the workspace before one for all, then the longer prefix. Two routes of
    the same key are decided by the service's name, the same on every node.
    """

    def __init__(self, routes: collections.abc.Iterable[objects.Route]) -> None:
        self._routes: dict[tuple[str, str], dict[str, objects.Route]] = (
            collections.defaultdict(dict)
        )
        for route in sorted(routes, key=lambda item: item.service):
            prefix = _normal(route.prefix)
            group = self._routes[route.host.lower(), route.workspace]
            group.setdefault(prefix, route)

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


def _normal(prefix: str) -> str:
    return prefix.rstrip("/")


def _longest(
    group: dict[str, objects.Route], path: str
) -> objects.Route | None:
    candidate = _normal(path)
    while True:
        found = group.get(candidate)
        if found or not candidate:
            return found
        candidate = candidate.rpartition("/")[0]
