"""HTTP API with which targets announce and withdraw themselves."""

import json

from aiohttp import web
import pydantic

from endivewind.targets import registration
from endivewind.targets import registry


class TargetApi:
    """Serves `PUT` and `DELETE /v1/targets/ID`."""

    def __init__(self, target_registration: registration.Registration) -> None:
        self._registration = target_registration

    def application(self) -> web.Application:
        """Returns a web application with the routes of the API."""
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
            findings = error.errors(include_url=False, include_context=False)
            return web.json_response(
                {"title": "bad announcement", "findings": findings},
                status=400,
                dumps=lambda value: json.dumps(value, default=str),
            )
        target = request.match_info["id"]
        try:
            refusal = await self._registration.announce(target, announcement)
        except registration.NotSavedError as error:
            return _not_saved(error)
        if refusal is not None:
            return web.json_response({"title": refusal}, status=409)
        return web.json_response({"renew_ms": announcement.lease_ms // 3})

    async def _delete(self, request: web.Request) -> web.Response:
        target = request.match_info["id"]
        try:
            is_known = await self._registration.withdraw(target)
        except registration.NotSavedError as error:
            return _not_saved(error)
        return web.Response(status=204 if is_known else 404)


def _not_saved(error: registration.NotSavedError) -> web.Response:
    return web.json_response({"title": str(error)}, status=503)
