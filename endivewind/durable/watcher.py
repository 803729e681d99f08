"""Follows the objects of one kind in the platform: a listing, then watches."""

import asyncio
import collections.abc
import datetime
import logging
import random

import expression

from endivewind.durable import retries
from endivewind.platform import client
from endivewind.platform import messages

log = logging.getLogger(__name__)

# A node that holds no watch hears from its peers. It still asks for changes
# now and then, in case that no peer reaches it: 760 nodes make 13 reads/s.
POLL_PERIOD = datetime.timedelta(seconds=60)
# How soon a node that has become a watcher, as members left, starts to watch.
ROLE_PERIOD = datetime.timedelta(seconds=1)


def _ignore(kind: str) -> None:
    """Takes no notice of listings."""


def _always() -> bool:
    """Holds the watch all the time."""
    return True


class Watcher:
    """Calls back for every object seen; one task, written straight down."""

    def __init__(
        self,
        platform: client.PlatformClient,
        kind: str,
        seen: collections.abc.Callable[[messages.StoredObject], None],
        rng: random.Random,
        listed: collections.abc.Callable[[str], None] = _ignore,
        watching: collections.abc.Callable[[], bool] = _always,
    ) -> None:
        self._platform = platform
        self._kind = kind
        self._seen = seen
        self._take_listing = listed
        self._watching = watching
        self._backoff = retries.Backoff(rng)
        self._rng = rng
        self._revision: int | None = None
        self._listed = asyncio.Event()

    @property
    def listed(self) -> asyncio.Event:
        """Set once a whole listing has been taken."""
        return self._listed

    async def run(self) -> None:
        """Follows for ever."""
        while True:
            result = await self._step()
            if result.is_ok():
                self._backoff.reset()
                self._take(result.ok)
                await self._rest()
                continue
            if result.error.failure is messages.Failure.COMPACTED:
                self._revision = None
            log.warning("platform: %s", result.error)
            await asyncio.sleep(self._backoff.next_seconds(result.error))

    async def _step(
        self,
    ) -> expression.Result[messages.Listing, messages.PlatformError]:
        if self._revision is None:
            return await self._platform.list(self._kind)
        wait = client.WATCH_WAIT if self._watching() else datetime.timedelta()
        return await self._platform.watch(self._kind, self._revision, wait)

    def _take(self, listing: messages.Listing) -> None:
        for item in listing.objects:
            self._seen(item)
        if self._revision is None:
            self._take_listing(self._kind)
        self._revision = listing.revision
        self._listed.set()

    async def _rest(self) -> None:
        """Waits between polls, for as long as this node holds no watch."""
        longest = POLL_PERIOD.total_seconds()
        left = self._rng.uniform(0.5, 1) * longest
        while left > 0 and not self._watching():
            await asyncio.sleep(ROLE_PERIOD.total_seconds())
            left -= ROLE_PERIOD.total_seconds()
