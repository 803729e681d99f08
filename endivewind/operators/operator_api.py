"""A node's HTTP API for operators: health, readiness, metrics and status."""

import collections.abc
import dataclasses

from aiohttp import web


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """A rendered page with its content type."""

    body: bytes
    content_type: str


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """The sources of the responses.

    Attributes:
      not_ready_reason: returns None if the node is ready, else why it is not.
      status: returns the node's status, which can be encoded as JSON.
      metrics: renders the node's metrics in Prometheus' text format.
      members: returns the numbers of known nodes by state, and the state of
        gossip.
    """

    not_ready_reason: collections.abc.Callable[[], str | None]
    status: collections.abc.Callable[[], dict[str, object]]
    metrics: collections.abc.Callable[[], Page]
    members: collections.abc.Callable[[], dict[str, object]] = dict


class OperatorApi:
    """Serves /healthz, /readyz, /metrics, /v1/status and /v1/members."""

    def __init__(self, sources: Sources) -> None:
        self._sources = sources

    def make_application(self) -> web.Application:
        """Makes the web application with the routes of the API."""
        app = web.Application()
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/readyz", self._ready)
        app.router.add_get("/metrics", self._metrics)
        app.router.add_get("/v1/status", self._status)
        app.router.add_get("/v1/members", self._members)
        return app

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _ready(self, request: web.Request) -> web.Response:
        reason = self._sources.not_ready_reason()
        if reason:
            return web.Response(status=503, text=reason + "\n")
        return web.Response(text="ready\n")

    async def _metrics(self, request: web.Request) -> web.Response:
        page = self._sources.metrics()
        return web.Response(
            body=page.body, headers={"Content-Type": page.content_type}
        )

    async def _members(self, request: web.Request) -> web.Response:
        return web.json_response(self._sources.members())

    async def _status(self, request: web.Request) -> web.Response:
        return web.json_response(self._sources.status())
