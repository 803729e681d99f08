"""A minimal aiohttp proxy hop, the baseline of the overhead benchmark.

It forwards each request and response unchanged except for hop-by-hop headers,
without routing, limits or load balancing. Its overhead is thus the least that
a proxy in Python can have.
"""

import collections.abc

import aiohttp
from aiohttp import web
import multidict

from endivewind import headers

_DROPPED_HEADERS = headers.HOP_BY_HOP | {"host", "content-length"}


class HopProxy:
    """Forwards all requests to one URL."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._session: aiohttp.ClientSession

    def make_application(self) -> web.Application:
        """Returns the web application, which has a single catch-all route."""
        app = web.Application()
        app.cleanup_ctx.append(self._client_session)
        app.router.add_route("*", "/{path:.*}", self._forward)
        return app

    async def _client_session(
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
            headers=_end_to_end_headers(request.headers),
            data=body,
        ) as response:
            return web.Response(
                status=response.status,
                headers=_end_to_end_headers(response.headers),
                body=await response.read(),
            )


def _end_to_end_headers(
    all_headers: multidict.CIMultiDictProxy[str],
) -> multidict.CIMultiDict[str]:
    return multidict.CIMultiDict(
        (name, value)
        for name, value in all_headers.items()
        if name.lower() not in _DROPPED_HEADERS
    )
