"""Tests of TLS for callers and mutual TLS between nodes."""

import asyncio
import pathlib
import ssl
import unittest

import aiohttp

from endivewind import tls
from endivewind.config import settings
from endivewind.tests import path_tests
from endivewind.tests import processes

_FOLDER = pathlib.Path(__file__).with_name("certificates")


def _tls(name: str, authority: str = "authority") -> dict[str, str]:
    return {
        "certificate": str(_FOLDER / f"{name}.pem"),
        "key": str(_FOLDER / f"{name}.key"),
        "authority": str(_FOLDER / f"{authority}.pem"),
    }


_TLS_SETTINGS = {
    "callers_tls": {**_tls("node"), "authority": ""},
    "nodes_tls": _tls("node"),
    "gossip_key": "a-test-key-of-no-secret-at-all-0123456789",
}


class SecuredFleetTest(unittest.IsolatedAsyncioTestCase):
    """A fleet with HTTPS for callers and mutual TLS between nodes."""

    async def test_request_across_two_nodes(self):
        trusted = ssl.create_default_context(
            cafile=str(_FOLDER / "authority.pem")
        )
        async with processes.Fleet() as fleet:
            entry = await fleet.start_node(
                "node-a", "andina-a", **_TLS_SETTINGS
            )
            home = await fleet.start_node("node-b", "andina-b", **_TLS_SETTINGS)
            await fleet.start_target("riders-1", "riders", [home])
            await fleet.submit(path_tests.CONFIGURATION)
            await entry.wait_for_message("in force", object="camerino")
            await entry.wait_for_line(lambda line: "riders-1" in str(line))

            async with aiohttp.ClientSession() as session:
                address = entry.listening_line["callers"]
                async with session.get(
                    f"https://{address}/riders/1",
                    headers={"Host": "camerino.example"},
                    ssl=trusted,
                    server_hostname="localhost",
                ) as response:
                    response_body = await response.json()

            self.assertEqual("riders-1", response_body["target"])
            self.assertIn(
                'endivewind_requests_total{outcome="answered",reason="",'
                'service="riders"} 1.0',
                await _metrics(entry),
            )


class LinkTlsTest(unittest.IsolatedAsyncioTestCase):
    """Which connections the listener for nodes accepts."""

    async def asyncSetUp(self):
        # Failed handshakes are expected here; asyncio would log each of them.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        self._server = await asyncio.start_server(
            _echo,
            "127.0.0.1",
            0,
            ssl=tls.make_server_context(settings.Tls(**_tls("node"))),
        )
        self.addAsyncCleanup(_close, self._server)
        self._port = self._server.sockets[0].getsockname()[1]

    async def _exchange(self, context: ssl.SSLContext | None) -> bytes:
        """Returns the echo of "frame"; empty if the connection is refused.

        With TLS 1.3, a client notices only on its first read that the server
        has rejected its certificate.
        """
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self._port, ssl=context
            )
            writer.write(b"frame")
            received = await reader.read(5)
        except (ssl.SSLError, ConnectionError):
            return b""
        writer.close()
        return received

    async def test_certificate_of_the_same_authority_is_accepted(self):
        context = tls.make_link_context(settings.Tls(**_tls("node")))

        self.assertEqual(b"frame", await self._exchange(context))

    async def test_certificate_of_another_authority_is_refused(self):
        # The other end trusts the node, so only the node can refuse.
        context = tls.make_link_context(settings.Tls(**_tls("stranger")))

        self.assertEqual(b"", await self._exchange(context))

    async def test_missing_certificate_is_refused(self):
        context = ssl.create_default_context(
            cafile=str(_FOLDER / "authority.pem")
        )
        context.check_hostname = False

        self.assertEqual(b"", await self._exchange(context))

    async def test_node_refuses_a_listener_of_another_authority(self):
        stranger = await asyncio.start_server(
            _echo,
            "127.0.0.1",
            0,
            ssl=tls.make_server_context(
                settings.Tls(**_tls("stranger", "stranger-authority"))
            ),
        )
        self.addAsyncCleanup(_close, stranger)
        self._port = stranger.sockets[0].getsockname()[1]

        context = tls.make_link_context(settings.Tls(**_tls("node")))
        self.assertEqual(b"", await self._exchange(context))

    async def test_unencrypted_connection_gets_no_response(self):
        self.assertNotEqual(b"frame", await self._exchange(None))


async def _metrics(node: processes.Process) -> list[str]:
    url = f"http://{node.listening_line['operators']}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as found:
        return (await found.text()).splitlines()


async def _echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    writer.write(await reader.read(5))
    writer.close()


async def _close(server: asyncio.Server) -> None:
    server.close()
    await server.wait_closed()
