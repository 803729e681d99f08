"""A bare aiohttp hop: the least that a proxy in Python can cost.

It forwards method, path, headers and body, and the whole answer; it routes,
bounds and decides nothing. Measurements compare endivewind with it.
"""

import collections.abc

import aiohttp
from aiohttp import web
import multidict

from endivewind import headers

_DROPPED = headers.HOP_BY_HOP | {"host", "content-length"}


class Hop:
    """Forwards everything to one URL."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._session: aiohttp.ClientSession

    def application(self) -> web.Application:
        """The hop's one route."""
        app = web.Application()
        app.cleanup_ctx.append(self._connected)
        app.router.add_route("*", "/{path:.*}", self._forward)
        return app

    async def _connected(
        self, app: web.Application
    ) -> collections.abc.AsyncIterator[None]:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        ) as session:
            self._session = session
            yield

    async def _forward(self, request: web.Request) -> web.Response:
        body = await request.read()
        async with self._session.request(
            request.method,
            self._url + request.raw_path,
            headers=_end_to_end(request.headers),
            data=body,
        ) as response:
            return web.Response(
                status=response.status,
                headers=_end_to_end(response.headers),
                body=await response.read(),
            )


def _end_to_end(
    fields: multidict.CIMultiDictProxy[str],
) -> multidict.CIMultiDict[str]:
    return multidict.CIMultiDict(
        (name, value)
        for name, value in fields.items()
        if name.lower() not in _DROPPED
    )
