"""Follows objects of some kinds in the platform: a listing, then watches."""

import asyncio
import collections.abc
import datetime
import logging
import random

import expression

from endivewind.platform import client
from endivewind.platform import messages

log = logging.getLogger(__name__)

FIRST_BACKOFF = datetime.timedelta(milliseconds=100)
LAST_BACKOFF = datetime.timedelta(seconds=5)


class Watcher:
    """Calls back for every object seen; one task, written straight down."""

    def __init__(
        self,
        platform: client.PlatformClient,
        kinds: tuple[str, ...],
        seen: collections.abc.Callable[[messages.StoredObject], None],
        rng: random.Random,
    ) -> None:
        self._platform = platform
        self._kinds = kinds
        self._seen = seen
        self._rng = rng
        self._revision: int | None = None
        self._listed = asyncio.Event()

    @property
    def listed(self) -> asyncio.Event:
        """Set once a whole listing has been taken."""
        return self._listed

    async def run(self) -> None:
        """Follows for ever."""
        failures = 0
        while True:
            result = await self._step()
            if result.is_ok():
                failures = 0
                self._take(result.ok)
                continue
            if result.error.failure is messages.Failure.COMPACTED:
                self._revision = None
                continue
            log.warning("platform: %s", result.error)
            await asyncio.sleep(self._backoff(failures))
            failures += 1

    async def _step(
        self,
    ) -> expression.Result[messages.Listing, messages.PlatformError]:
        if self._revision is None:
            return await self._platform.list(self._kinds)
        return await self._platform.watch(self._kinds, self._revision)

    def _take(self, listing: messages.Listing) -> None:
        for item in listing.objects:
            self._seen(item)
        self._revision = max(self._revision or 0, listing.revision)
        self._listed.set()

    def _backoff(self, failures: int) -> float:
        """Doubles up to a limit; jitter keeps a fleet from coming at once."""
        longest = min(
            FIRST_BACKOFF.total_seconds() * 2**failures,
            LAST_BACKOFF.total_seconds(),
        )
        return longest * self._rng.uniform(0.5, 1)
