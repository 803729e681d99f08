"""Tests of the bare proxy hop, the baseline of the overhead benchmark."""

import unittest

from aiohttp import test_utils
from aiohttp import web

from endivewind.standins import hop


class HopTest(unittest.IsolatedAsyncioTestCase):
    """The hop forwards method, path, headers, body and status unchanged."""

    async def test_forwards_request_and_response(self):
        async def respond(request: web.Request) -> web.Response:
            body = await request.read()
            return web.Response(
                status=201,
                body=request.method.encode() + body,
                headers={"Path": request.path_qs, "Seen": request.headers["X"]},
            )

        target = web.Application()
        target.router.add_route("*", "/{path:.*}", respond)
        async with test_utils.TestServer(target) as server:
            served = hop.HopProxy(str(server.make_url("/"))).make_application()
            async with (
                test_utils.TestClient(test_utils.TestServer(served)) as client,
                client.put("/a%2Fb?c=1", data=b"+", headers={"X": "y"}) as got,
            ):
                self.assertEqual(201, got.status)
                self.assertEqual(b"PUT+", await got.read())
                self.assertEqual(
                    ("/a%2Fb?c=1", "y"),
                    (got.headers["Path"], got.headers["Seen"]),
                )
