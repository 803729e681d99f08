"""Follows the objects of one kind in the platform: a listing, then watches."""

import asyncio
import collections.abc
import datetime
import enum
import logging
import random

import expression

from endivewind.durable import retries
from endivewind.platform import client
from endivewind.platform import messages

log = logging.getLogger(__name__)

# A node that reads because its peers tell it nothing does so again after this
# long, and after twice as long each time; while it has no configuration at all
# its callers wait for the next reading.
FIRST_PAUSE = datetime.timedelta(seconds=1)
LAST_PAUSE = datetime.timedelta(seconds=30)
# How soon a node begins to read that has become a watcher, as members left,
# or that hears nothing from its peers any more.
ROLE_PERIOD = datetime.timedelta(milliseconds=100)


class Role(enum.Enum):
    """What a node has to read in the platform.

    NOTHING: its peers tell it of every change. ONCE: what is there now, since
    no peer tells it. ALWAYS: every change, as one of the few that watch.
    """

    NOTHING = "nothing"
    ONCE = "once"
    ALWAYS = "always"


# Lists the objects; whether a state of some seconds ago will do.
List = collections.abc.Callable[
    [bool],
    collections.abc.Awaitable[
        expression.Result[messages.Listing, messages.PlatformError]
    ],
]


def _ignore(kind: str) -> None:
    """Takes no notice of listings."""


def _always() -> Role:
    """Holds the watch all the time."""
    return Role.ALWAYS


class Watcher:
    """Calls back for every object seen; one task, written straight down."""

    def __init__(
        self,
        platform: client.PlatformClient,
        kind: str,
        seen: collections.abc.Callable[[messages.StoredObject], object],
        rng: random.Random,
        listed: collections.abc.Callable[[str], None] = _ignore,
        role: collections.abc.Callable[[], Role] = _always,
        lists: List | None = None,
    ) -> None:
        self._platform = platform
        self._kind = kind
        self._seen = seen
        self._take_listing = listed
        self._role = role
        self._list = lists or self._list_plainly
        self._backoff = retries.Backoff(rng)
        self._pause = FIRST_PAUSE
        self._stale_will_do = True
        self._revision: int | None = None
        self._listed = asyncio.Event()

    @property
    def listed(self) -> asyncio.Event:
        """Set once a whole listing has been taken."""
        return self._listed

    async def run(self) -> None:
        """Follows for ever."""
        while True:
            role = self._role()
            if role is Role.NOTHING:
                self._pause = FIRST_PAUSE
                await asyncio.sleep(ROLE_PERIOD.total_seconds())
                continue
            result = await self._step(role)
            if result.is_ok():
                self._backoff.reset()
                self._take(result.ok)
                if role is Role.ONCE:
                    await self._rest()
                continue
            if result.error.failure is messages.Failure.COMPACTED:
                self._revision = None
                self._stale_will_do = False
            log.warning("platform: %s", result.error)
            await asyncio.sleep(self._backoff.next_seconds(result.error))

    async def _step(
        self, role: Role
    ) -> expression.Result[messages.Listing, messages.PlatformError]:
        """One reading.

        A listing may be some seconds old, which costs a tenth; the watch that
        follows begins at its revision and tells what has come since. Who does
        not watch hears that from its peers. Where the platform has forgotten
        what came since, only a fresh listing has it.
        """
        if self._revision is None or role is Role.ONCE:
            return await self._list(self._stale_will_do)
        return await self._platform.watch(self._kind, self._revision)

    async def _list_plainly(
        self, stale: bool
    ) -> expression.Result[messages.Listing, messages.PlatformError]:
        return await self._platform.list(self._kind, stale=stale)

    def _take(self, listing: messages.Listing) -> None:
        for item in listing.objects:
            self._seen(item)
        if self._revision is None:
            self._take_listing(self._kind)
        self._revision = listing.revision
        self._stale_will_do = True
        self._listed.set()

    async def _rest(self) -> None:
        """Waits before the next reading of a node that only asks."""
        left = self._pause
        self._pause = min(2 * self._pause, LAST_PAUSE)
        while left > datetime.timedelta() and self._role() is Role.ONCE:
            await asyncio.sleep(ROLE_PERIOD.total_seconds())
            left -= ROLE_PERIOD
