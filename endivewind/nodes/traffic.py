"""Bytes sent to other nodes, by what they are for and how far they went."""

import collections
import collections.abc
import enum
from typing import Protocol

from endivewind.nodes import view


class Kind(enum.StrEnum):
    """What bytes are for.

    REQUESTS and ANSWERS are callers' work. STATE is pulled by nodes that
    join or have missed changes; CHANGES are news of members and targets;
    NEWS is what nodes near each other tell; PROBES ask who is alive, and
    carry the digests that find what was missed. QUESTIONS ask for proofs of
    freshness and for parts of a quota.
    """

    REQUESTS = "requests"
    ANSWERS = "answers"
    STATE = "state"
    CONFIGURATION = "configuration"
    CHANGES = "changes"
    NEWS = "news"
    PROBES = "probes"
    QUESTIONS = "questions"


class Distance(enum.StrEnum):
    """How far bytes go; they are paid for from REGION on."""

    ZONE = "zone"
    REGION = "region"
    FAR = "far"
    UNKNOWN = "unknown"


Counts = collections.abc.Mapping[tuple[Kind, Distance], int]


class Meter(Protocol):
    """Takes note of bytes that were sent."""

    def sent(self, kind: Kind, address: str, size: int) -> None:
        """Counts bytes to an address: host, and port if it is known."""


class Unmetered:
    """Counts nothing."""

    def sent(self, kind: Kind, address: str, size: int) -> None:
        """Takes no notice."""


class Traffic:
    """Counts a node's bytes; VMs are told apart by their host."""

    def __init__(self, region: str, zone: str, fleet: view.FleetView) -> None:
        self._region = region
        self._zone = zone
        self._fleet = fleet
        self._counts: collections.Counter[tuple[Kind, Distance]] = (
            collections.Counter()
        )
        self._distances: dict[str, Distance] = {}

    @property
    def counts(self) -> Counts:
        """Bytes since the start."""
        return self._counts

    def sent(self, kind: Kind, address: str, size: int) -> None:
        """Counts bytes to an address."""
        self._counts[kind, self._distance(_host(address))] += size

    def by_kind(self) -> dict[str, dict[str, int]]:
        """The counts as fields of a log line."""
        found: dict[str, dict[str, int]] = {}
        for (kind, distance), size in self._counts.items():
            found.setdefault(kind.value, {})[distance.value] = size
        return found

    def _distance(self, host: str) -> Distance:
        known = self._distances.get(host)
        if known is not None:
            return known
        for node in self._fleet.nodes.values():
            if _host(node.address) == host:
                found = self._distance_of(node)
                self._distances[host] = found
                return found
        return Distance.UNKNOWN

    def _distance_of(self, node: view.NodeRecord) -> Distance:
        if node.region != self._region:
            return Distance.FAR
        return Distance.ZONE if node.zone == self._zone else Distance.REGION


def _host(address: str) -> str:
    """The host of an address; its port may be missing."""
    if address.startswith("["):
        return address[1:].partition("]")[0]
    return address.partition(":")[0]
