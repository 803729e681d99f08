"""What a node reads of the configuration in the platform, and when."""

import asyncio
import collections.abc
import dataclasses
import datetime
import logging
import random

import expression

from endivewind import clock as clocks
from endivewind import logs
from endivewind.config import freshness
from endivewind.config import settings
from endivewind.config import store
from endivewind.durable import watcher
from endivewind.nodes import configuration
from endivewind.platform import client
from endivewind.platform import configuration as operator_configuration
from endivewind.platform import messages
from endivewind.platform import names

log = logging.getLogger(__name__)


def kinds_of(interface: settings.Interface) -> tuple[str, ...]:
    """The kinds of objects that hold the configuration."""
    if interface is settings.Interface.PLATFORM:
        return (names.CONFIGURATION_KIND,)
    return store.KINDS


class ConfigurationReader:
    """Reads what no peer tells, and watches where it is this node's turn."""

    def __init__(
        self,
        config: collections.abc.Callable[[], settings.NodeSettings],
        platform: client.PlatformClient,
        peer: configuration.ConfigurationPeer,
        is_settled: collections.abc.Callable[[], bool],
        proof: freshness.Freshness,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        """Builds a reader.

        Args:
          config: the settings in force.
          platform: where the configuration is.
          peer: takes what is read, and passes it on.
          is_settled: whether this node knows those that started before it, so
            that it can tell whether to watch.
          proof: takes that what was read is the newest.
          clock: counts time asleep as well.
          rng: spreads calls that are repeated.
        """
        self._config = config
        self._platform = platform
        self._peer = peer
        self._is_settled = is_settled
        self._proof = proof
        self._clock = clock
        # What the platform held when it was last read whole.
        self._newest: _Newest | None = None
        self._rng = rng

    def watchers(self) -> list[watcher.Watcher]:
        """One for each kind of object."""
        return [self._watcher(kind) for kind in kinds_of(self._interface)]

    @property
    def _interface(self) -> settings.Interface:
        return self._config().interface

    def _watcher(self, kind: str) -> watcher.Watcher:
        seen: collections.abc.Callable[[messages.StoredObject], object]
        seen, listed = self._peer.seen, self._peer.listed
        lists: watcher.List | None = None
        if kind == names.CONFIGURATION_KIND:
            seen, listed = self._operator_wrote, _not_by_listing
            lists = self._list
        return watcher.Watcher(
            self._platform, kind, seen, self._rng, listed, self._role, lists
        )

    async def _list(
        self, stale: bool
    ) -> expression.Result[messages.Listing, messages.PlatformError]:
        """Lists the operator's configuration; a fresh listing is a proof.

        A node that starts and needs proofs has one by its first reading.
        """
        if stale and self._proof.bound is None:
            return await self._platform.list(
                names.CONFIGURATION_KIND, stale=True
            )
        return await self._read_whole()

    async def prove(self, limit: datetime.timedelta) -> bool:
        """Reads whether what is in force is the newest.

        Args:
          limit: how long the platform may take.

        Returns:
          Whether it has answered.
        """
        try:
            async with asyncio.timeout(limit.total_seconds()):
                if await self._is_unchanged():
                    return True
                return (await self._read_whole()).is_ok()
        except TimeoutError:
            log.warning("the platform gives no proof in time")
            return False

    async def _is_unchanged(self) -> bool:
        if self._newest is None:
            return False
        began = self._clock.boot_time()
        found = await self._platform.revision(names.CONFIGURATION_KIND)
        if found.is_error() or found.ok != self._newest.revision:
            return False
        self._proof.proved(self._newest.version, began)
        return True

    async def _read_whole(
        self,
    ) -> expression.Result[messages.Listing, messages.PlatformError]:
        began = self._clock.boot_time()
        listed = await self._platform.list(names.CONFIGURATION_KIND)
        if listed.is_error():
            log.warning("platform: %s", listed.error)
            return listed
        for stored in listed.ok.objects:
            version = self._operator_wrote(stored)
            if version is not None:
                self._newest = _Newest(listed.ok.revision, version)
                self._proof.proved(version, began)
        return listed

    def _role(self) -> watcher.Role:
        """What this node has to read now."""
        if self._is_settled() and self._peer.is_watcher:
            return watcher.Role.ALWAYS
        if self._peer.lacks_peers:
            return watcher.Role.ONCE
        return watcher.Role.NOTHING

    def _operator_wrote(self, stored: messages.StoredObject) -> int | None:
        """Takes the configuration that the platform's operator has written.

        Returns:
          Its version; None where it is another object or can't be read.
        """
        if stored.name != names.CONFIGURATION_NAME or not stored.value:
            return None
        defaults = self._config().defaults
        decoded = operator_configuration.decode(stored, defaults)
        if decoded.is_error():
            fields = logs.fields(revision=stored.version, problem=decoded.error)
            log.error("configuration that can't be read", extra=fields)
            return None
        self._peer.seen(decoded.ok)
        # The first one is written some time after the nodes have started;
        # a listing without it says nothing.
        self._peer.listed(stored.kind)
        return store.stamp_of(decoded.ok.version, decoded.ok.value).version


@dataclasses.dataclass(frozen=True, slots=True)
class _Newest:
    """The configuration at a revision of the platform's store."""

    revision: int
    version: int


def _not_by_listing(kind: str) -> None:
    """A listing alone does not make this kind whole."""
