"""The HTTP API where targets announce themselves."""

import collections.abc
import json

from aiohttp import web
import pydantic

from endivewind.targets import registry


class TargetApi:
    """`PUT` and `DELETE /v1/targets/ID`."""

    def __init__(
        self,
        targets: registry.TargetRegistry,
        default_slots: collections.abc.Callable[[str], int],
        changed: collections.abc.Callable[[], None],
    ) -> None:
        self._targets = targets
        self._default_slots = default_slots
        self._changed = changed

    def application(self) -> web.Application:
        """The routes of the API."""
        app = web.Application()
        app.router.add_put("/v1/targets/{id}", self._put)
        app.router.add_delete("/v1/targets/{id}", self._delete)
        return app

    async def _put(self, request: web.Request) -> web.Response:
        try:
            announcement = registry.Announcement.model_validate_json(
                await request.read()
            )
        except pydantic.ValidationError as error:
            found = error.errors(include_url=False, include_context=False)
            return web.json_response(
                {"title": "bad announcement", "findings": found},
                status=400,
                dumps=lambda value: json.dumps(value, default=str),
            )
        target = request.match_info["id"]
        slots = self._default_slots(announcement.service)
        before = self._targets.sequence
        result = self._targets.announce(target, announcement, slots)
        if result.is_error():
            return web.json_response({"title": result.error}, status=409)
        if self._targets.sequence != before:
            self._changed()
        return web.json_response({"renew_ms": announcement.lease_ms // 3})

    async def _delete(self, request: web.Request) -> web.Response:
        if not self._targets.withdraw(request.match_info["id"]):
            return web.Response(status=404)
        self._changed()
        return web.Response(status=204)
