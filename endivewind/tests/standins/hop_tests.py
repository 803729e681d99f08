"""The bare hop that measurements compare with does pass everything on."""

import unittest

from aiohttp import test_utils
from aiohttp import web

from endivewind.standins import hop


class HopTest(unittest.IsolatedAsyncioTestCase):
    """Method, path, headers, body and status go through, both ways."""

    async def test_request_and_answer_are_whole(self):
        async def answer(request: web.Request) -> web.Response:
            body = await request.read()
            return web.Response(
                status=201,
                body=request.method.encode() + body,
                headers={"Path": request.path_qs, "Seen": request.headers["X"]},
            )

        target = web.Application()
        target.router.add_route("*", "/{path:.*}", answer)
        async with test_utils.TestServer(target) as server:
            served = hop.Hop(str(server.make_url("/"))).application()
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
