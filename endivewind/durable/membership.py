"""The nodes' objects in the platform: by zone, written at start, for others."""

import asyncio
import collections.abc
import dataclasses
import datetime
import logging

import expression

from endivewind.nodes import view
from endivewind.platform import client
from endivewind.platform import messages
from endivewind.platform import names

log = logging.getLogger(__name__)

# A start may wait for the platform no longer than this to learn of earlier
# starts and of the nodes of its zone; an answer takes 60 ms from the farthest
# region.
START_TIMEOUT = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class Registered:
    """A start of a node that is registered.

    Attributes:
      node: the node.
      version: of its object.
    """

    node: view.NodeRecord
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneListing:
    """The nodes that are registered in one list of the directory.

    Attributes:
      revision: the platform's when it was so.
      found: by name; the dead are among them.
    """

    revision: int
    found: collections.abc.Mapping[str, Registered]

    @property
    def addresses(self) -> tuple[str, ...]:
        """Where these nodes take links."""
        return tuple(item.node.address for item in self.found.values())


Listed = expression.Result[ZoneListing, messages.PlatformError]


class Directory:
    """Where nodes register, zone by zone.

    Load: hundreds of nodes start at once. Harm: with one list for all, each
    start reads an object of every node, and the bytes of all starts grow with
    the square of the fleet. With a list for each zone a start reads its zone,
    and hears of the others from its neighbours.
    """

    def __init__(
        self,
        platform: client.PlatformClient,
        zones: collections.abc.Iterable[str] = (),
    ) -> None:
        """Builds the directory.

        Args:
          platform: where it is kept.
          zones: all availability zones; nodes of others share one list.
        """
        self._platform = platform
        self._zones = tuple(zones)

    def other_zones(self, zone: str) -> tuple[str, ...]:
        """The zones whose nodes are not in the list of a node's own zone."""
        if zone not in self._zones:
            return self._zones
        return tuple(item for item in self._zones if item != zone)

    def _kind(self, zone: str) -> str:
        if zone not in self._zones:
            return names.NODE_KIND
        return names.ZONE_NODE_KIND.format(zone=zone)

    @property
    def kinds(self) -> tuple[str, ...]:
        """The kinds of objects that nodes may register as."""
        zones = (self._kind(zone) for zone in self._zones)
        return (names.NODE_KIND, *zones)

    async def listed(self, zone: str) -> Listed:
        """The nodes of a zone, as they were a moment ago.

        A listing that may be some seconds old costs a fraction of a fresh
        one; its revision tells whether what was written lately is in it.
        """
        listed = await self._platform.list(self._kind(zone), stale=True)
        if listed.is_error():
            return expression.Error(listed.error)
        found = {}
        for item in listed.ok.objects:
            node = _record_of(item)
            if node is not None:
                found[node.name] = Registered(node, item.version)
        return expression.Ok(ZoneListing(listed.ok.revision, found))

    async def listed_at_start(self, zone: str) -> ZoneListing | None:
        """The nodes of a starting node's zone; None if no answer is in time."""
        try:
            async with asyncio.timeout(START_TIMEOUT.total_seconds()):
                listed = await self.listed(zone)
        except TimeoutError:
            log.warning("can't tell of earlier starts: no answer in time")
            return None
        if listed.is_error():
            log.warning("can't tell of earlier starts: %s", listed.error)
            return None
        return listed.ok

    async def register(
        self, record: view.NodeRecord, version: int = 0
    ) -> expression.Result[int, messages.PlatformError]:
        """Writes a start of a node over whatever an earlier one left.

        Args:
          record: this start.
          version: of the earlier one's object, if one was seen.

        Returns:
          The version as written.
        """
        kind = self._kind(record.zone)
        value = {
            "incarnation": record.incarnation,
            "address": record.address,
            "region": record.region,
            "zone": record.zone,
        }
        written = await self._platform.put(kind, record.name, value, version)
        if written.is_error():
            error = written.error
            if error.failure is messages.Failure.NOT_FOUND:
                written = await self._platform.put(kind, record.name, value, 0)
            elif error.current is not None:
                written = await self._platform.put(
                    kind, record.name, value, error.current.version
                )
        return written.map(lambda stored: stored.version)

    async def remove(self, gone: Registered) -> None:
        """Removes a node's object; that of a later start is left alone."""
        removed = await self._platform.delete(
            self._kind(gone.node.zone), gone.node.name, gone.version
        )
        if removed.is_error():
            log.warning("can't remove the node's object: %s", removed.error)


def earlier_incarnation(listing: ZoneListing | None, name: str) -> int:
    """Incarnation of the latest start of a node that is registered.

    Failure: a VM's clock goes back and its node is restarted. Symptom: the
    new start has a lower incarnation than the old one, and the fleet takes
    it for dead for ever. A start that counts on from what is registered is
    later than it, whatever the clock says.

    Returns:
      0 if there is none, or if the platform has not answered.
    """
    known = listing.found.get(name) if listing else None
    return known.node.incarnation if known else 0


def _record_of(stored: messages.StoredObject) -> view.NodeRecord | None:
    """The node that an object tells of; None if it is bad."""
    value = stored.value
    try:
        return view.NodeRecord(
            stored.name,
            int(value["incarnation"]),
            str(value["address"]),
            str(value["region"]),
            str(value["zone"]),
        )
    except (KeyError, TypeError, ValueError):
        log.warning("bad node object %s", stored.name)
        return None
