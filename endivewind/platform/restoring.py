"""Writes back objects that the platform has lost.

The platform comes back empty, or from an older copy, and nodes keep what is
in force. Without writing it back, the next operator would read the old
state, and a fleet that starts anew would take it for the truth.
"""

import asyncio
import datetime
import logging
import random

from endivewind import logs
from endivewind.config import store
from endivewind.platform import client
from endivewind.platform import messages

log = logging.getLogger(__name__)

# Every watcher may write; the wait lets the others see that one has.
FIRST_WAIT = datetime.timedelta(milliseconds=500)
# Bound on writes a second of one watcher: fifteen watchers together stay
# below the several hundred that the platform takes.
WRITE_PERIOD = datetime.timedelta(milliseconds=100)
_AGAIN = (messages.Failure.UNAVAILABLE, messages.Failure.THROTTLED)


class Restorer:
    """Knows which objects the platform is behind with, and writes them."""

    def __init__(
        self,
        configuration: store.ConfigurationStore,
        platform: client.PlatformClient,
        rng: random.Random,
    ) -> None:
        self._store = configuration
        self._platform = platform
        self._rng = rng
        self._behind: dict[store.Key, int] = {}
        self._wake = asyncio.Event()

    @property
    def behind(self) -> dict[store.Key, int]:
        """Objects to write, each with the platform's version of it."""
        return dict(self._behind)

    def seen(self, key: store.Key, stored: messages.StoredObject) -> None:
        """Compares one object of the platform with what is known here."""
        own = self._store.stamp(key)
        if (
            own != store.ABSENT
            and store.stamp_of(stored.version, stored.value) < own
        ):
            self._behind[key] = stored.version if stored.value else 0
            self._wake.set()
        else:
            self._behind.pop(key, None)

    def listed(self, listing: messages.Listing) -> None:
        """Finds the objects that a whole listing lacks."""
        listed = {store.Key(item.kind, item.name) for item in listing.objects}
        for key in self._store.keys - listed:
            self._behind[key] = 0
        if self._behind:
            self._wake.set()

    async def run(self) -> None:
        """Writes back for ever, a little at a time, in random order."""
        while True:
            await self._wake.wait()
            longest = FIRST_WAIT.total_seconds()
            await asyncio.sleep(self._rng.uniform(0, longest))
            while self._behind:
                await self._restore_one()
                await asyncio.sleep(WRITE_PERIOD.total_seconds())
            self._wake.clear()

    async def _restore_one(self) -> None:
        key = self._rng.choice(list(self._behind))
        expected = self._behind.pop(key)
        value = self._store.value(key)
        if value is None:
            return
        # Conditional: whatever was written meanwhile is left alone.
        written = await self._platform.put(*key, value, expected)
        if written.is_ok():
            fields = logs.fields(kind=key.kind, object=key.name)
            log.warning("restored in the platform", extra=fields)
        elif written.error.failure in _AGAIN:
            self._behind.setdefault(key, expected)
            await asyncio.sleep(self._rng.uniform(0.5, 1.5))
