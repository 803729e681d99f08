"""The platform's question whether a node may get new work."""

import collections.abc

from aiohttp import web

from endivewind.platform import names

NotReady = collections.abc.Callable[[], str | None]


def application(not_ready: NotReady) -> web.Application:
    """Answers 200 where nothing is missing, else 503 with what is."""

    async def ready(request: web.Request) -> web.Response:
        missing = not_ready()
        if missing:
            return web.Response(status=503, text=missing + "\n")
        return web.Response(text="ready\n")

    app = web.Application()
    app.router.add_get(names.READY_PATH, ready)
    return app
