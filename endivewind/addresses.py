"""The HTTP servers of a node, each at an address of the settings."""

import ssl

from aiohttp import web


class HttpServers:
    """Binds servers and ends them together."""

    def __init__(self) -> None:
        self._runners: list[web.BaseRunner] = []

    async def serve(
        self,
        runner: web.BaseRunner,
        address: str,
        context: ssl.SSLContext | None = None,
    ) -> str:
        """Starts a server; returns the address that it has bound."""
        await runner.setup()
        self._runners.append(runner)
        host, port = split(address)
        site = web.TCPSite(runner, host, port, ssl_context=context)
        await site.start()
        return f"{host}:{runner.addresses[0][1]}"

    async def serve_application(
        self, application: web.Application, address: str
    ) -> str:
        """Starts a server of an application."""
        return await self.serve(
            web.AppRunner(application, access_log=None), address
        )

    async def stop(self) -> None:
        """Ends all servers, in the order of their start."""
        for runner in self._runners:
            await runner.cleanup()


def split(address: str) -> tuple[str, int]:
    """Host and port of an address; an IPv6 host without its brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
