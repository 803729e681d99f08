"""A platform stand-in on a port of its own, and a client of it."""

import random
from typing import Any

import aiohttp
from aiohttp import web

from endivewind import clock as clocks
from endivewind.durable import retries
from endivewind.platform import client
from endivewind.standins import platform


class Platform:
    """Starts the stand-in in this process; an async context manager."""

    def __init__(self) -> None:
        self.store = platform.ObjectStore()
        self.standin = platform.PlatformStandin(self.store)
        self.clock = clocks.ManualClock()
        self.slept: list[float] = []
        self.client: client.PlatformClient
        self.url = ""
        self._session: aiohttp.ClientSession
        self._runner = web.AppRunner(
            self.standin.application(), access_log=None, shutdown_timeout=0
        )

    async def __aenter__(self) -> "Platform":
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.url = f"http://127.0.0.1:{self._runner.addresses[0][1]}"
        self._session = aiohttp.ClientSession()
        self.client = self.new_client()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._session.close()
        await self._runner.cleanup()

    @property
    def backoff(self) -> retries.Backoff:
        """A back-off with a fixed seed."""
        return retries.Backoff(random.Random(1))

    def new_client(self) -> client.PlatformClient:
        """A client that has seen nothing yet."""
        # The clock of these tests stands still: without a larger burst the
        # budget would never fill again.
        made = client.PlatformClient(self.url, self._session, self.clock)
        made.budget.refill(10_000)
        return made

    async def sleep(self, seconds: float) -> None:
        """Stands in for sleeping; remembers how long."""
        self.slept.append(seconds)

    def put(self, name: str, value: dict[str, Any]) -> None:
        """Writes past the API."""
        current = self.store.get("service", name)
        version = current.version if current else 0
        self.store.put("service", name, value, version)
