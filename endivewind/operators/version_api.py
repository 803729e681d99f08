"""`GET /v1/configuration`: the versions in force on every node of the fleet.

Operators' commands use it to follow a change through the fleet. The node that
is asked queries all others.
"""

import collections.abc
import dataclasses

from aiohttp import web

from endivewind.config import store
from endivewind.nodes import version_queries

PATH = "/v1/configuration"


@dataclasses.dataclass(frozen=True, slots=True)
class FleetOverview:
    """What the response contains on the fleet besides versions.

    Attributes:
      zones: all zones, if nodes register zone by zone.
      departed_nodes: returns the nodes that have stopped gracefully; their
        registrations may remain.
    """

    zones: tuple[str, ...]
    departed_nodes: collections.abc.Callable[[], tuple[str, ...]]


def add_versions_path(
    application: web.Application,
    queries: version_queries.VersionQueries,
    members: FleetOverview,
) -> None:
    """Adds the path; each `?object=KIND/NAME` names an object to query."""

    async def handle(request: web.Request) -> web.Response:
        keys = [_parse_key(item) for item in request.query.getall("object", [])]
        if (
            not keys
            or None in keys
            or len(keys) > version_queries.MAX_KEYS_PER_QUERY
        ):
            return web.json_response(
                {
                    "title": "bad query",
                    "detail": "needs valid parameters object=KIND/NAME, 1 to "
                    f"{version_queries.MAX_KEYS_PER_QUERY} of them",
                },
                status=400,
            )
        versions = await queries.query_fleet([key for key in keys if key])
        return web.json_response(
            {
                "silent": versions.unresponsive,
                "zones": members.zones,
                "left": members.departed_nodes(),
                "nodes": {
                    name: {
                        str(key): dataclasses.asdict(state)
                        for key, state in states.items()
                    }
                    for name, states in versions.nodes.items()
                },
            }
        )

    application.router.add_get(PATH, handle)


def _parse_key(text: str) -> store.Key | None:
    kind, slash, name = text.partition("/")
    if kind not in store.KINDS or not slash or not name:
        return None
    return store.Key(kind, name)
