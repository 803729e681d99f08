"""The platform's readiness check: whether a node may receive new requests."""

import collections.abc

from aiohttp import web

from endivewind.platform import names

NotReadyReason = collections.abc.Callable[[], str | None]


def make_application(not_ready: NotReadyReason) -> web.Application:
    """Makes an application that responds 200 if ready, or 503 and why not."""

    async def ready(request: web.Request) -> web.Response:
        reason = not_ready()
        if reason:
            return web.Response(status=503, text=reason + "\n")
        return web.Response(text="ready\n")

    app = web.Application()
    app.router.add_get(names.READY_PATH, ready)
    return app
