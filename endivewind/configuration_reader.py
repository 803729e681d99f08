"""Reads the configuration from the platform for this node and its peers.

A node watches the platform while it is one of the few watchers, lists if no
peer responds, and reads on demand to prove that the configuration in
force is the newest.
"""

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


def configuration_kinds(interface: settings.Interface) -> tuple[str, ...]:
    """Returns the kinds of objects that hold the configuration."""
    if interface is settings.Interface.PLATFORM:
        return (names.CONFIGURATION_KIND,)
    return store.KINDS


class ConfigurationReader:
    """Reads and watches the configuration, as the node's role requires."""

    def __init__(
        self,
        get_settings: collections.abc.Callable[[], settings.NodeSettings],
        platform: client.PlatformClient,
        peer: configuration.ConfigurationService,
        has_complete_view: collections.abc.Callable[[], bool],
        freshness_tracker: freshness.FreshnessTracker,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        """Builds a reader.

        Args:
          get_settings: returns the settings in force.
          platform: the store that holds the configuration.
          peer: this node's configuration service; applies the objects read and
            forwards them to peers.
          has_complete_view: whether this node knows the nodes that started
            before it, so that it can determine whether it is a watcher.
          freshness_tracker: records that the configuration read is the newest.
          clock: its boot time includes the time that the VM is suspended.
          rng: adds jitter to repeated calls.
        """
        self._get_settings = get_settings
        self._platform = platform
        self._peer = peer
        self._has_complete_view = has_complete_view
        self._freshness_tracker = freshness_tracker
        self._clock = clock
        # The store's revision and the configuration's version at the last fresh
        # listing of the operators' configuration; stale listings and watches do
        # not set it.
        self._last_read: _LastRead | None = None
        self._rng = rng

    def make_watchers(self) -> list[watcher.Watcher]:
        """Makes a watcher for each kind of object."""
        return [
            self._make_watcher(kind)
            for kind in configuration_kinds(self._interface)
        ]

    @property
    def _interface(self) -> settings.Interface:
        return self._get_settings().interface

    def _make_watcher(self, kind: str) -> watcher.Watcher:
        on_object: collections.abc.Callable[[messages.StoredObject], object]
        on_object, on_listed = (
            self._peer.apply_platform_object,
            self._peer.mark_listed,
        )
        list_objects: watcher.ListObjects | None = None
        if kind == names.CONFIGURATION_KIND:
            on_object, on_listed = self._apply, _ignore_listing
            list_objects = self._list
        return watcher.Watcher(
            self._platform,
            kind,
            on_object,
            self._rng,
            on_listed,
            self._read_mode,
            list_objects,
        )

    async def _list(
        self, stale: bool
    ) -> expression.Result[messages.Listing, messages.PlatformError]:
        """Lists the operators' configuration; a fresh listing is a proof.

        A starting node that requires proofs of freshness gets the first one
        from its first listing.
        """
        if stale and not self._freshness_tracker.is_required:
            return await self._platform.list(
                names.CONFIGURATION_KIND, stale=True
            )
        return await self._read_fresh()

    async def read_proof(self, timeout: datetime.timedelta) -> bool:
        """Reads from the platform to obtain a proof of freshness.

        The proof is recorded in the freshness tracker, not returned.

        Args:
          timeout: how long the platform may take.

        Returns:
          Whether the platform has responded.
        """
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                if await self._prove_unchanged():
                    return True
                return (await self._read_fresh()).is_ok()
        except TimeoutError:
            log.warning("no proof of freshness from the platform in time")
            return False

    async def _prove_unchanged(self) -> bool:
        """Records a proof if the store's revision is still the last one read."""
        if self._last_read is None:
            return False
        started_at = self._clock.time_since_boot()
        result = await self._platform.get_revision(names.CONFIGURATION_KIND)
        if result.is_error() or result.ok != self._last_read.revision:
            return False
        self._freshness_tracker.record_proof(
            self._last_read.version, started_at
        )
        return True

    async def _read_fresh(
        self,
    ) -> expression.Result[messages.Listing, messages.PlatformError]:
        started_at = self._clock.time_since_boot()
        result = await self._platform.list(names.CONFIGURATION_KIND)
        if result.is_error():
            log.warning(
                "platform: listing configuration failed: %s", result.error
            )
            return result
        for stored in result.ok.objects:
            version = self._apply(stored)
            if version is not None:
                self._last_read = _LastRead(result.ok.revision, version)
                self._freshness_tracker.record_proof(version, started_at)
        return result

    def _read_mode(self) -> watcher.ReadMode:
        """Returns what this node has to read now."""
        if self._has_complete_view() and self._peer.is_watcher:
            return watcher.ReadMode.WATCH
        if self._peer.needs_platform:
            return watcher.ReadMode.LIST
        return watcher.ReadMode.NONE

    def _apply(self, stored: messages.StoredObject) -> int | None:
        """Applies the configuration that the platform's operators wrote.

        Returns:
          Its version; None if it is another object or invalid.
        """
        if stored.name != names.CONFIGURATION_NAME or not stored.value:
            return None
        defaults = self._get_settings().effective_defaults
        decoded = operator_configuration.decode(stored, defaults)
        if decoded.is_error():
            fields = logs.fields(revision=stored.version, problem=decoded.error)
            log.error("invalid configuration", extra=fields)
            return None
        self._peer.apply_platform_object(decoded.ok)
        # Only a listing that contains the configuration is complete: operators
        # may write the first one after the nodes have started.
        self._peer.mark_listed(stored.kind)
        return store.stamp_of(decoded.ok.version, decoded.ok.value).version


@dataclasses.dataclass(frozen=True, slots=True)
class _LastRead:
    """The configuration's version at a revision of the platform's store."""

    revision: int
    version: int


def _ignore_listing(kind: str) -> None:
    """Ignores a listing; _apply() marks this kind as listed."""
