"""Discovers the fleet through the platform's directory of nodes.

Registers this node, passes the addresses of listed nodes to membership, and
removes registrations of nodes that no longer exist.
"""

import asyncio
import collections.abc
import datetime
import itertools
import logging
import random

from endivewind import clock as clocks
from endivewind import logs
from endivewind.config import watchers
from endivewind.durable import node_directory as directories
from endivewind.durable import node_entry
from endivewind.durable import retries
from endivewind.nodes import membership
from endivewind.nodes import view

log = logging.getLogger(__name__)

# Delay between a node's registration and its first listing, which should
# contain nodes that registered at the same time. The delay before each further
# listing doubles while nodes may still be missing.
FIRST_LISTING_DELAY = datetime.timedelta(milliseconds=500)
# Interval of listings once no node is missing. Membership forgets dead members
# after some hours (DEAD_RETENTION); these listings find nodes again that were
# unreachable for longer than that. With 760 nodes this amounts to 1.3 reads per
# second.
LISTING_PERIOD = datetime.timedelta(minutes=10)
# A registered node that membership has not known for this long is not going to
# come back.
REMOVAL_DELAY = datetime.timedelta(minutes=10)


class Discovery:
    """Registers this node's incarnation, and finds nodes to contact.

    Of two nodes that start at the same time, the one that registers later
    finds the other in the first listing that contains its own registration,
    so they can't miss each other. One known node of another zone suffices, as
    gossip then brings all nodes of that zone.
    """

    def __init__(
        self,
        directory: directories.Directory,
        entry: node_entry.NodeEntry,
        members: membership.Membership,
        seeds: collections.abc.Iterable[str],
        initial_listing: directories.ZoneListing | None,
        clock: clocks.Clock,
        rng: random.Random,
        on_registered: collections.abc.Callable[[], None],
    ) -> None:
        """Initializes discovery with the listing made when the node started.

        Args:
          directory: the directory in which nodes register.
          entry: this node's own entry in the directory.
          members: receives the addresses that are found.
          seeds: configured addresses to contact as well.
          initial_listing: listing of this node's zone that the node made at its
            start to determine its incarnation; None if that failed.
          clock: source of monotonic time.
          rng: spreads the calls of a fleet over time.
          on_registered: called when this incarnation has been registered.
        """
        self._directory = directory
        self._entry = entry
        self._members = members
        self._seeds = tuple(seeds)
        self._clock = clock
        self._rng = rng
        self._on_registered = on_registered
        self._backoff = retries.Backoff(rng)
        self._listings: dict[str, directories.ZoneListing] = {}
        self._registered_version: int | None = None
        self._listing_delay = FIRST_LISTING_DELAY
        self._absent_since: dict[tuple[str, int], datetime.timedelta] = {}
        self._listing_count = itertools.count()
        if initial_listing is not None:
            self._store_listing(self._me.zone, initial_listing)

    @property
    def has_listing_or_seeds(self) -> bool:
        """Whether a zone has been listed or seeds are configured."""
        return bool(self._listings or self._seeds)

    @property
    def has_complete_zone_listing(self) -> bool:
        """Whether all nodes that registered earlier in this zone are known.

        It says nothing of other zones, or of nodes that registered later.
        """
        listing = self._listings.get(self._me.zone)
        if self._registered_version is None or listing is None:
            return False
        return listing.revision >= self._registered_version

    async def run(self) -> None:
        """Registers and lists zones until a later incarnation is known."""
        while not self._members.is_superseded:
            delay = await self._register()
            await asyncio.sleep(delay or self._next_delay())
            for zone in self._due_zones():
                await self._list_zone(zone)

    async def _register(self) -> float:
        """Registers if necessary; returns the seconds to wait if it failed."""
        if self._registered_version is not None:
            return 0.0
        written = await self._entry.write()
        if written.is_error():
            log.warning("node registration failed: %s", written.error)
            return self._backoff.next_seconds(written.error)
        self._backoff.reset()
        self._registered_version = written.ok
        self._listing_delay = FIRST_LISTING_DELAY
        self._on_registered()
        return 0.0

    def _next_delay(self) -> float:
        """Returns the seconds until the next listing."""
        delay = LISTING_PERIOD
        if not self.has_complete_zone_listing or self._unreached_zones():
            delay = self._listing_delay
            self._listing_delay = min(2 * self._listing_delay, LISTING_PERIOD)
        return delay.total_seconds() * self._rng.uniform(0.5, 1.5)

    def _due_zones(self) -> list[str]:
        """Returns the zones to list now."""
        result = [] if self.has_complete_zone_listing else [self._me.zone]
        unreached = self._unreached_zones()
        if unreached:
            result.append(self._rng.choice(unreached))
        return result or [self._next_zone()]

    def _unreached_zones(self) -> list[str]:
        """Returns the zones of which no live member is known."""
        reached = {item.node.zone for item in self._members.peers()}
        other_zones = self._directory.other_zones(self._me.zone)
        return [zone for zone in other_zones if zone not in reached]

    def _next_zone(self) -> str:
        """Returns the zone to list if no node is missing.

        Every other time it is the own zone, else a random other one.
        """
        other_zones = self._directory.other_zones(self._me.zone)
        if not other_zones or next(self._listing_count) % 2 == 0:
            return self._me.zone
        return self._rng.choice(other_zones)

    async def _list_zone(self, zone: str) -> None:
        listed = await self._directory.list_zone(zone)
        if listed.is_error():
            log.warning("node listing failed: %s", listed.error)
            await asyncio.sleep(self._backoff.next_seconds(listed.error))
            return
        self._backoff.reset()
        self._store_listing(zone, listed.ok)
        if zone == self._me.zone and self.has_complete_zone_listing:
            if self._me.name not in listed.ok.registrations:
                log.warning("registration is missing; registering again")
                self._registered_version = None
                self._entry.invalidate()
            await self._remove_stale(listed.ok)

    def _store_listing(
        self, zone: str, listing: directories.ZoneListing
    ) -> None:
        self._listings[zone] = listing
        addresses = list(self._seeds)
        for known in self._listings.values():
            addresses.extend(known.addresses)
        self._members.set_contacts(addresses)

    async def _remove_stale(self, listing: directories.ZoneListing) -> None:
        """Removes registrations of nodes that no longer exist.

        Registrations don't expire, and a node that crashes does not remove
        its own: without this each listing would grow with every VM that is
        replaced. The longest-running node of a zone removes them, unless it
        is probably isolated. A removed node that is alive registers again.
        """
        stale = {
            (item.node.name, item.version): item
            for item in listing.registrations.values()
            if not self._is_known(item.node)
        }
        now = self._clock.monotonic()
        self._absent_since = {
            key: self._absent_since.get(key, now) for key in stale
        }
        peers = [item.node for item in self._members.peers()]
        if self._members.is_probably_isolated or not watchers.is_oldest_in_zone(
            self._me, peers
        ):
            return
        for key, since in self._absent_since.items():
            if now - since >= REMOVAL_DELAY:
                await self._directory.remove(stale[key])
                log.info("node removed", extra=logs.fields(node=key[0]))

    def _is_known(self, node: view.NodeRecord) -> bool:
        known = self._members.members.get(node.name)
        return known is not None and known.is_usable

    @property
    def _me(self) -> view.NodeRecord:
        return self._members.me.node
