"""Starts and stops the HTTP servers of a node.

`node.py` calls it with the addresses from the settings.
"""

import ssl

from aiohttp import web

from endivewind import http_connections
from endivewind import http_listening
from endivewind import input_scheduler


class HttpServers:
    """A group of HTTP servers that are stopped together."""

    def __init__(
        self,
        scheduler: input_scheduler.InputScheduler,
        limits: http_connections.ConnectionLimits,
    ) -> None:
        """Starts with no servers.

        Args:
          scheduler: orders the input of all connections.
          limits: of the connections of applications.
        """
        self._scheduler = scheduler
        self._limits = limits
        self._runners: list[web.BaseRunner] = []

    async def start_server(
        self,
        runner: web.BaseRunner,
        address: str,
        context: ssl.SSLContext | None = None,
        backlog: http_listening.Backlog = http_listening.CALLERS_BACKLOG,
    ) -> str:
        """Starts a server and returns the address that it is bound to."""
        await runner.setup()
        self._runners.append(runner)
        host, port = split_host_port(address)
        listener = http_listening.listen(host, port, backlog)
        await http_listening.ListeningSite(runner, listener, context).start()
        return f"{host}:{runner.addresses[0][1]}"

    async def start_application(
        self, application: web.Application, address: str
    ) -> str:
        """Starts a server for an application and returns its bound address."""
        return await self.start_server(
            http_connections.BoundedAppRunner(
                application, self._limits, self._scheduler
            ),
            address,
            backlog=http_listening.INTERNAL_BACKLOG,
        )

    async def stop(self) -> None:
        """Stops all servers, in the order in which they were started."""
        for runner in self._runners:
            await runner.cleanup()


def split_host_port(address: str) -> tuple[str, int]:
    """Splits an address into host and port; strips brackets of IPv6 hosts."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
