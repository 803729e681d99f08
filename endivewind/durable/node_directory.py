"""The directory of nodes in the platform's store, one list for each zone.

Each node registers at its start; others find it there when they join the
fleet. Which nodes are alive is determined by gossip, not by this directory.
"""

import asyncio
import collections.abc
import dataclasses
import datetime
import ipaddress
import logging
from typing import Annotated
from typing import Any

import expression
import pydantic

from endivewind import http_servers
from endivewind import logs
from endivewind.nodes import view
from endivewind.platform import client
from endivewind.platform import messages
from endivewind.platform import names

log = logging.getLogger(__name__)

# The longest time that a starting node waits for the list of its zone, which
# holds its own earlier incarnations and the zone's other nodes. A response
# from the farthest region takes 60 ms.
START_TIMEOUT = datetime.timedelta(milliseconds=500)
_MAX_PORT = 65_535
# Invalid entries that are remembered, so that each is logged once.
_MAX_KNOWN_INVALID = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class SavedState:
    """What a node saves in its entry, for its process may end at any time.

    Attributes:
      departures: incarnations of targets of this node that have departed or
        are draining, by id.
      crash_counts: crashes during suspect requests, by fingerprint.
    """

    departures: collections.abc.Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )
    crash_counts: collections.abc.Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRegistration:
    """The registration of an incarnation of a node.

    Attributes:
      node: the node.
      version: the version of its object.
      saved: what the node has saved.
    """

    node: view.NodeRecord
    version: int
    saved: SavedState = SavedState()


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneListing:
    """The nodes that are registered in one list of the directory.

    Attributes:
      revision: the store's revision of the listing.
      registrations: the registrations by node name, including those of dead
        nodes.
    """

    revision: int
    registrations: collections.abc.Mapping[str, NodeRegistration]

    @property
    def addresses(self) -> tuple[str, ...]:
        """The addresses at which these nodes accept links."""
        return tuple(item.node.address for item in self.registrations.values())


ZoneListingResult = expression.Result[ZoneListing, messages.PlatformError]


class Directory:
    """The registry of nodes in the platform's store, with a list per zone.

    Scenario: hundreds of nodes start at once. Risk: with one list for all, each
    starting node reads the objects of all nodes, so that the bytes of all
    starts grow with the square of the fleet's size. With a list for each zone
    a node reads only its own zone and learns of the others by gossip.
    """

    def __init__(
        self,
        platform: client.PlatformClient,
        zones: collections.abc.Iterable[str] = (),
    ) -> None:
        """Builds the directory.

        Args:
          platform: the store that keeps the directory.
          zones: all availability zones; nodes of other zones share one list.
        """
        self._platform = platform
        self._zones = tuple(zones)
        # Kinds, names and versions of the entries that are no nodes'.
        self._known_invalid: set[tuple[str, str, int]] = set()
        self._invalid_count = 0

    @property
    def invalid_count(self) -> int:
        """How many entries were skipped, those of later versions again."""
        return self._invalid_count

    def other_zones(self, zone: str) -> tuple[str, ...]:
        """Returns the zones whose nodes are not in the given zone's list.

        For a zone that is not configured these are all configured zones, since
        its nodes are in the shared list.
        """
        if zone not in self._zones:
            return self._zones
        return tuple(item for item in self._zones if item != zone)

    def _kind(self, zone: str) -> str:
        if zone not in self._zones:
            return names.NODE_KIND
        return names.ZONE_NODE_KIND.format(zone=zone)

    @property
    def kinds(self) -> tuple[str, ...]:
        """The kinds of objects under which nodes may register."""
        zones = (self._kind(zone) for zone in self._zones)
        return (names.NODE_KIND, *zones)

    async def list_zone(self, zone: str) -> ZoneListingResult:
        """Lists the nodes of a zone; the listing may be some seconds old.

        A stale listing costs a fraction of a fresh one. Its revision shows
        whether it includes a recent write.
        """
        result = await self._platform.list(self._kind(zone), stale=True)
        if result.is_error():
            return expression.Error(result.error)
        registrations = {}
        for item in result.ok.objects:
            registration = self.decode(item)
            if registration is not None:
                registrations[item.name] = registration
        return expression.Ok(ZoneListing(result.ok.revision, registrations))

    def decode(self, stored: messages.StoredObject) -> NodeRegistration | None:
        """Decodes a node's entry; returns None if it is not one.

        Other writers may store anything under these kinds.
        """
        try:
            entry = _Entry.model_validate(stored.value)
        except pydantic.ValidationError as error:
            self._record_invalid("entry is no node's", stored, error)
            return None
        node = view.NodeRecord(
            stored.name,
            entry.incarnation,
            entry.address,
            entry.region,
            entry.zone,
        )
        return NodeRegistration(
            node, stored.version, self._decode_saved(stored)
        )

    def _decode_saved(self, stored: messages.StoredObject) -> SavedState:
        """Decodes what a node has saved; empty if that is not valid.

        The node is listed all the same.
        """
        try:
            saved = _Saved.model_validate(stored.value)
        except pydantic.ValidationError as error:
            self._record_invalid("saved state is not valid", stored, error)
            return SavedState()
        return SavedState(saved.departures, saved.crash_counts)

    def _record_invalid(
        self,
        message: str,
        stored: messages.StoredObject,
        error: pydantic.ValidationError,
    ) -> None:
        key = (stored.kind, stored.name, stored.version)
        if key in self._known_invalid:
            return
        if len(self._known_invalid) >= _MAX_KNOWN_INVALID:
            self._known_invalid.clear()
        self._known_invalid.add(key)
        self._invalid_count += 1
        first = error.errors(include_url=False, include_input=False)[0]
        fields = logs.fields(
            kind=stored.kind,
            name=stored.name,
            field=".".join(map(str, first["loc"])),
            problem=first["msg"],
        )
        log.warning(message, extra=fields)

    async def list_zone_at_start(self, zone: str) -> ZoneListing | None:
        """Lists a starting node's zone; returns None without a response."""
        try:
            async with asyncio.timeout(START_TIMEOUT.total_seconds()):
                result = await self.list_zone(zone)
        except TimeoutError:
            log.warning(
                "earlier incarnation unknown: listing the zone timed out"
            )
            return None
        if result.is_error():
            log.warning(
                "earlier incarnation unknown: listing the zone failed: %s",
                result.error,
            )
            return None
        return result.ok

    async def write(
        self, record: view.NodeRecord, saved: SavedState, version: int
    ) -> expression.Result[int, messages.PlatformError]:
        """Writes a node's entry if its version is still the expected one.

        Args:
          record: the node with its current incarnation.
          saved: what the node saves.
          version: the version of the present entry; 0 if there is none.

        Returns:
          The version of the written entry.
        """
        value: dict[str, Any] = {
            "incarnation": record.incarnation,
            "address": record.address,
            "region": record.region,
            "zone": record.zone,
        }
        if saved.departures:
            value["departures"] = dict(saved.departures)
        if saved.crash_counts:
            value["crash_counts"] = dict(saved.crash_counts)
        result = await self._platform.put(
            self._kind(record.zone), record.name, value, version
        )
        return result.map(lambda stored: stored.version)

    async def remove(self, registration: NodeRegistration) -> None:
        """Removes a node's object unless a later incarnation replaced it."""
        result = await self._platform.delete(
            self._kind(registration.node.zone),
            registration.node.name,
            registration.version,
        )
        if result.is_error():
            log.warning("node object not removed: %s", result.error)


def registered_incarnation(listing: ZoneListing | None, name: str) -> int:
    """Returns the incarnation under which a node is registered.

    Scenario: a VM's clock goes back and its node is restarted. Risk: if the
    clock alone determined the new incarnation, it would be lower than the old
    one, and the fleet would consider the node dead for ever. So a node starts
    with an incarnation above the registered one, whatever its clock says.

    Returns:
      The incarnation; 0 if there is none, or if the platform did not respond.
    """
    registration = listing.registrations.get(name) if listing else None
    return registration.node.incarnation if registration else 0


def may_have_run_before(listing: ZoneListing | None, name: str) -> bool:
    """Returns whether a node that starts may be one that has restarted.

    Args:
      listing: the node's zone at its start; None if there was no response.
      name: the node's name.
    """
    return listing is None or registered_incarnation(listing, name) > 0


_Fingerprint = Annotated[
    str, pydantic.StringConstraints(strict=True, pattern=r"^([0-9a-f]{2})+$")
]


class _Saved(pydantic.BaseModel):
    """What a node has saved in its entry."""

    departures: dict[pydantic.StrictStr, pydantic.StrictInt] = {}
    crash_counts: dict[_Fingerprint, pydantic.StrictInt] = {}


class _Entry(pydantic.BaseModel):
    """A node's entry, as it is stored, without what the node has saved."""

    incarnation: pydantic.StrictInt = pydantic.Field(
        ge=0, le=view.MAX_INCARNATION
    )
    address: pydantic.StrictStr
    region: pydantic.StrictStr
    zone: pydantic.StrictStr

    @pydantic.field_validator("address")
    @classmethod
    def _check_address(cls, address: str) -> str:
        host, port = http_servers.split_host_port(address)
        ipaddress.ip_address(host)
        if not 0 < port <= _MAX_PORT:
            raise ValueError("no such port")
        return address
