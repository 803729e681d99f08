"""Counts the bytes sent to other nodes, by purpose and distance."""

import collections
import collections.abc
import enum
from typing import Protocol

from endivewind.nodes import view


class Kind(enum.StrEnum):
    """Purpose of the bytes.

    REQUESTS and RESPONSES are those of callers. STATE is pulled by nodes that
    join or have missed changes. CONFIGURATION is exchanged by peers. CHANGES
    are gossiped changes of members and targets. PEER_UPDATES are sent to nodes
    of the same zone or region. PROBES detect failed nodes and carry the digests
    for anti-entropy. QUERIES ask other nodes for proofs of freshness, for
    shares of a quota and for retries.
    """

    REQUESTS = "requests"
    RESPONSES = "answers"
    STATE = "state"
    CONFIGURATION = "configuration"
    CHANGES = "changes"
    PEER_UPDATES = "news"
    PROBES = "probes"
    QUERIES = "questions"


class Distance(enum.StrEnum):
    """How far bytes go.

    ZONE: within the sender's zone, free of charge. OTHER_ZONE: to another zone
    of the sender's region, billed. OTHER_REGION: to another region, billed.
    UNKNOWN: to a host that is not known as a node.
    """

    ZONE = "zone"
    OTHER_ZONE = "region"
    OTHER_REGION = "far"
    UNKNOWN = "unknown"


Counts = collections.abc.Mapping[tuple[Kind, Distance], int]


class Meter(Protocol):
    """Counts sent bytes."""

    def record_sent(self, kind: Kind, address: str, size: int) -> None:
        """Counts bytes sent to an address: a host, optionally with a port."""


class NullMeter:
    """A meter that ignores everything."""

    def record_sent(self, kind: Kind, address: str, size: int) -> None:
        """Does nothing."""


class TrafficMeter:
    """Counts a node's sent bytes; finds the receiving node by its host."""

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
        """Bytes sent since the start."""
        return self._counts

    def record_sent(self, kind: Kind, address: str, size: int) -> None:
        """Counts bytes sent to an address."""
        self._counts[kind, self._distance(_host(address))] += size

    def by_kind(self) -> dict[str, dict[str, int]]:
        """Returns bytes by kind and distance, as fields of a log line."""
        counts_by_kind: dict[str, dict[str, int]] = {}
        for (kind, distance), size in self._counts.items():
            counts_by_kind.setdefault(kind.value, {})[distance.value] = size
        return counts_by_kind

    def _distance(self, host: str) -> Distance:
        known = self._distances.get(host)
        if known is not None:
            return known
        for node in self._fleet.nodes.values():
            if _host(node.address) == host:
                distance = self._distance_of(node)
                self._distances[host] = distance
                return distance
        return Distance.UNKNOWN

    def _distance_of(self, node: view.NodeRecord) -> Distance:
        if node.region != self._region:
            return Distance.OTHER_REGION
        return Distance.ZONE if node.zone == self._zone else Distance.OTHER_ZONE


def _host(address: str) -> str:
    """Returns the host of an address with or without a port."""
    if address.startswith("["):
        return address[1:].partition("]")[0]
    return address.partition(":")[0]
