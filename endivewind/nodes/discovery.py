"""Finds the fleet through the platform's directory, and keeps that tidy."""

import asyncio
import collections.abc
import datetime
import itertools
import logging
import random

from endivewind import clock as clocks
from endivewind import logs
from endivewind.config import watchers
from endivewind.durable import membership as directories
from endivewind.durable import retries
from endivewind.nodes import membership
from endivewind.nodes import view

log = logging.getLogger(__name__)

# After its own registration a node waits this long before it looks for those
# of the same moment; each look that finds something missing doubles it.
FIRST_LOOK = datetime.timedelta(milliseconds=500)
# How often a node looks that misses nobody, to find nodes that gossip has lost
# for longer than it remembers the dead. At 760 nodes this is 1.3 reads a
# second.
LOOK_PERIOD = datetime.timedelta(minutes=10)
# A node that gossip has not known for so long is gone, not on its way back.
GONE_AFTER = datetime.timedelta(minutes=10)


class Discovery:
    """Registers this start, and finds the nodes that gossip must know.

    Of two nodes that start at once, the one that registers later finds the
    other in the first listing that holds its own registration, so that they
    can't miss each other. One node of another zone is enough to hear of all
    in it.
    """

    def __init__(
        self,
        directory: directories.Directory,
        members: membership.Membership,
        seeds: collections.abc.Iterable[str],
        at_start: directories.ZoneListing | None,
        clock: clocks.Clock,
        rng: random.Random,
        registered: collections.abc.Callable[[], None],
    ) -> None:
        """Starts with what was listed before.

        Args:
          directory: where nodes register.
          members: what gossip knows; gets the addresses that are found.
          seeds: addresses to try besides.
          at_start: this node's zone as it was before this start.
          clock: its monotonic time.
          rng: spreads the calls of a fleet.
          registered: called when this start is registered.
        """
        self._directory = directory
        self._members = members
        self._seeds = tuple(seeds)
        self._clock = clock
        self._rng = rng
        self._registered = registered
        self._backoff = retries.Backoff(rng)
        self._listings: dict[str, directories.ZoneListing] = {}
        self._version: int | None = None
        self._wait = FIRST_LOOK
        self._absent: dict[tuple[str, int], datetime.timedelta] = {}
        self._rounds = itertools.count()
        if at_start is not None:
            self._take(self._me.zone, at_start)

    @property
    def has_listed(self) -> bool:
        """Whether there is anybody to try, or surely nobody."""
        return bool(self._listings or self._seeds)

    @property
    def is_settled(self) -> bool:
        """Whether all that registered in this zone before are known of."""
        listing = self._listings.get(self._me.zone)
        if self._version is None or listing is None:
            return False
        return listing.revision >= self._version

    async def run(self) -> None:
        """Registers and looks for ever, until a later start is known."""
        while not self._members.superseded:
            wait = await self._register()
            await asyncio.sleep(wait or self._next_wait())
            for zone in self._due():
                await self._look(zone)

    async def _register(self) -> float:
        """Registers where that is owed; returns seconds to wait if it failed."""
        if self._version is not None:
            return 0.0
        written = await self._directory.register(self._me, self._last_version())
        if written.is_error():
            log.warning("can't register: %s", written.error)
            return self._backoff.next_seconds(written.error)
        self._backoff.reset()
        self._version = written.ok
        self._wait = FIRST_LOOK
        self._registered()
        return 0.0

    def _last_version(self) -> int:
        """The version of what an earlier start has left; 0 if none is seen."""
        listing = self._listings.get(self._me.zone)
        known = listing.found.get(self._me.name) if listing else None
        return known.version if known else 0

    def _next_wait(self) -> float:
        """Seconds until the next look."""
        wait = LOOK_PERIOD
        if not self.is_settled or self._silent_zones():
            wait = self._wait
            self._wait = min(2 * self._wait, LOOK_PERIOD)
        return wait.total_seconds() * self._rng.uniform(0.5, 1.5)

    def _due(self) -> list[str]:
        """The zones to look into now."""
        found = [] if self.is_settled else [self._me.zone]
        silent = self._silent_zones()
        if silent:
            found.append(self._rng.choice(silent))
        return found or [self._turn()]

    def _silent_zones(self) -> list[str]:
        """Zones of which gossip knows no living node."""
        living = {item.node.zone for item in self._members.peers()}
        others = self._directory.other_zones(self._me.zone)
        return [zone for zone in others if zone not in living]

    def _turn(self) -> str:
        """A zone to look into though nothing is missing; often the own one."""
        others = self._directory.other_zones(self._me.zone)
        if not others or next(self._rounds) % 2 == 0:
            return self._me.zone
        return self._rng.choice(others)

    async def _look(self, zone: str) -> None:
        listed = await self._directory.listed(zone)
        if listed.is_error():
            log.warning("can't list nodes: %s", listed.error)
            await asyncio.sleep(self._backoff.next_seconds(listed.error))
            return
        self._backoff.reset()
        self._take(zone, listed.ok)
        if zone == self._me.zone and self.is_settled:
            if self._me.name not in listed.ok.found:
                log.warning("registration gone; registering again")
                self._version = None
            await self._tidy(listed.ok)

    def _take(self, zone: str, listing: directories.ZoneListing) -> None:
        self._listings[zone] = listing
        addresses = list(self._seeds)
        for known in self._listings.values():
            addresses.extend(known.addresses)
        self._members.set_contacts(addresses)

    async def _tidy(self, listing: directories.ZoneListing) -> None:
        """Removes objects of nodes that are gone for good.

        Nothing expires in the platform, and a node that is lost removes
        nothing: without this each listing would grow with every VM that was
        ever replaced. The longest-running node of a zone does it, while it
        has no doubt in itself; a node that lives after all registers again.
        """
        present = {
            (item.node.name, item.version): item
            for item in listing.found.values()
            if not self._is_known(item.node)
        }
        now = self._clock.monotonic()
        self._absent = {key: self._absent.get(key, now) for key in present}
        peers = [item.node for item in self._members.peers()]
        if self._members.doubtful or not watchers.is_oldest(self._me, peers):
            return
        for key, since in self._absent.items():
            if now - since >= GONE_AFTER:
                await self._directory.remove(present[key])
                log.info("node removed", extra=logs.fields(node=key[0]))

    def _is_known(self, node: view.NodeRecord) -> bool:
        known = self._members.members.get(node.name)
        return known is not None and known.usable

    @property
    def _me(self) -> view.NodeRecord:
        return self._members.me.node
