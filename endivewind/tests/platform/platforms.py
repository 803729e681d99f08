"""Runs a platform stand-in on its own port, and makes clients of it."""

import random
from typing import Any

import aiohttp
from aiohttp import web

from endivewind import clock as clocks
from endivewind.durable import retries
from endivewind.platform import client
from endivewind.standins import platform

# Longer than any call of a client that ends.
WAIT_SECONDS = 10


class Platform:
    """Starts the stand-in in this process; an async context manager."""

    def __init__(self) -> None:
        self.store = platform.ObjectStore()
        self.standin = platform.PlatformStandin(self.store)
        self.clock = clocks.ManualClock()
        self.sleeps: list[float] = []
        self.client: client.PlatformClient
        self.url = ""
        self._session: aiohttp.ClientSession
        self._runner = web.AppRunner(
            self.standin.make_application(), access_log=None, shutdown_timeout=0
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
        """A backoff with a fixed seed."""
        return retries.Backoff(random.Random(1))

    def new_client(self) -> client.PlatformClient:
        """Makes a new client."""
        # The clock of these tests does not advance, so that the budget is
        # never refilled; the larger burst makes up for that.
        new_client = client.PlatformClient(self.url, self._session, self.clock)
        new_client.budget.set_burst(10_000)
        return new_client

    async def sleep(self, seconds: float) -> None:
        """Records the duration instead of sleeping."""
        self.sleeps.append(seconds)

    def put(self, name: str, value: dict[str, Any]) -> None:
        """Writes to the store directly, not through the API."""
        current = self.store.get("service", name)
        version = current.version if current else 0
        self.store.put("service", name, value, version)
