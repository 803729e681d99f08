"""Follows the objects of one kind in the platform: a listing, then watches.

The configuration reader runs a watcher for each kind. Only a few nodes watch;
the others receive changes from their peers and list only if no peer responds.
"""

import asyncio
import collections.abc
import datetime
import enum
import logging
import random

import expression

from endivewind import periodic
from endivewind.durable import retries
from endivewind.platform import client
from endivewind.platform import messages

log = logging.getLogger(__name__)

# A node that lists because no peer responds repeats the listing after this
# interval, which doubles each time. It is short at first because callers wait
# while the node has no configuration.
INITIAL_LIST_INTERVAL = datetime.timedelta(seconds=1)
MAX_LIST_INTERVAL = datetime.timedelta(seconds=30)
# How often a node checks whether it has to read: it becomes a watcher when
# other nodes stop, and lists when its peers no longer respond.
MODE_CHECK_INTERVAL = datetime.timedelta(milliseconds=100)


class ReadMode(enum.Enum):
    """What a node has to read in the platform.

    NONE: nothing, as its peers send it every change. LIST: a listing, repeated
    at growing intervals, as no peer responds. WATCH: every change, as one of
    the few watching nodes.
    """

    NONE = "nothing"
    LIST = "once"
    WATCH = "always"


# Lists the objects; the argument is whether the listing may be stale.
ListObjects = collections.abc.Callable[
    [bool],
    collections.abc.Awaitable[
        expression.Result[messages.Listing, messages.PlatformError]
    ],
]


def _ignore_listing(kind: str) -> None:
    """Ignores listings."""


def _always_watch() -> ReadMode:
    """Keeps the watcher watching."""
    return ReadMode.WATCH


class Watcher:
    """Reads one kind of object and calls back for every object that it reads.

    Starts no tasks: all reads are made in run().
    """

    def __init__(
        self,
        platform: client.PlatformClient,
        kind: str,
        on_object: collections.abc.Callable[[messages.StoredObject], object],
        rng: random.Random,
        on_listed: collections.abc.Callable[[str], None] = _ignore_listing,
        read_mode: collections.abc.Callable[[], ReadMode] = _always_watch,
        list_objects: ListObjects | None = None,
    ) -> None:
        """Builds a watcher; run() starts it.

        Args:
          platform: the store to read.
          kind: the kind of objects.
          on_object: called for every object of a listing or watch.
          rng: adds jitter to the backoff.
          on_listed: called with the kind after a whole listing.
          read_mode: returns what this node has to read now.
          list_objects: lists the objects; by default the client's list().
        """
        self._platform = platform
        self._kind = kind
        self._on_object = on_object
        self._on_listed = on_listed
        self._read_mode = read_mode
        self._list = list_objects or self._list_from_platform
        self._backoff = retries.Backoff(rng)
        self._list_interval = INITIAL_LIST_INTERVAL
        self._accepts_stale = True
        self._revision: int | None = None
        self._listed = asyncio.Event()

    @property
    def listed(self) -> asyncio.Event:
        """An event that is set after the first whole listing."""
        return self._listed

    async def run(self) -> None:
        """Reads until cancelled."""
        while True:
            mode = self._read_mode()
            if mode is ReadMode.NONE:
                self._list_interval = INITIAL_LIST_INTERVAL
                await periodic.sleep(MODE_CHECK_INTERVAL)
                continue
            result = await self._read(mode)
            if result.is_ok():
                self._backoff.reset()
                self._apply(result.ok)
                if mode is ReadMode.LIST:
                    await self._wait_for_next_listing()
                continue
            if result.error.failure is messages.FailureReason.COMPACTED:
                self._revision = None
                self._accepts_stale = False
            log.warning(
                "platform: reading configuration failed: %s", result.error
            )
            await asyncio.sleep(self._backoff.next_seconds(result.error))

    async def _read(
        self, mode: ReadMode
    ) -> expression.Result[messages.Listing, messages.PlatformError]:
        """Makes one listing or watch.

        A listing may be stale by some seconds; it then costs a tenth of a fresh
        one. The watch that follows starts at the listing's revision and reports
        the changes after it; a node that does not watch receives these from its
        peers. If the platform has compacted these changes, only a fresh listing
        includes them.
        """
        if self._revision is None or mode is ReadMode.LIST:
            return await self._list(self._accepts_stale)
        return await self._platform.watch(self._kind, self._revision)

    async def _list_from_platform(
        self, stale: bool
    ) -> expression.Result[messages.Listing, messages.PlatformError]:
        return await self._platform.list(self._kind, stale=stale)

    def _apply(self, listing: messages.Listing) -> None:
        for item in listing.objects:
            self._on_object(item)
        if self._revision is None:
            self._on_listed(self._kind)
        self._revision = listing.revision
        self._accepts_stale = True
        self._listed.set()

    async def _wait_for_next_listing(self) -> None:
        """Waits for the list interval, as long as the mode stays LIST."""
        remaining = self._list_interval
        self._list_interval = min(2 * self._list_interval, MAX_LIST_INTERVAL)
        while (
            remaining > datetime.timedelta()
            and self._read_mode() is ReadMode.LIST
        ):
            await asyncio.sleep(MODE_CHECK_INTERVAL.total_seconds())
            remaining -= MODE_CHECK_INTERVAL
