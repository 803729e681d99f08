"""Which nodes hold the platform's watch: a few in each availability zone."""

import collections.abc
import hashlib
from typing import Protocol

# A waiting watch counts as a call, and every change comes whole to each of
# them, over paid links. Two stand in for one another; with five zones the
# fleet holds ten watches, however many nodes it has.
WATCHERS_PER_ZONE = 2


class Member(Protocol):
    """What is needed of a node."""

    @property
    def name(self) -> str:
        """The node's name."""

    @property
    def zone(self) -> str:
        """Availability zone of its VM."""


def is_watcher(
    name: str, zone: str, members: collections.abc.Iterable[Member]
) -> bool:
    """Whether a node is among the first of its zone by rendezvous hashing.

    Nodes that know different members may choose one watcher more: harmless,
    a watch too many costs one call. A node that knows nobody watches itself.
    """
    own = _weight(zone, name)
    before = sum(
        1
        for member in members
        if member.zone == zone
        and member.name != name
        and _weight(zone, member.name) > own
    )
    return before < WATCHERS_PER_ZONE


def sharers(
    name: str, zone: str, members: collections.abc.Collection[Member]
) -> int:
    """How many nodes share the platform's call budget with this one.

    Watchers share one and all others another: at 760 nodes an equal share
    would let a watcher call once in four seconds, too late for a change that
    has to be in force within eight.
    """
    if not is_watcher(name, zone, members):
        return len(members)
    zones = {member.zone for member in members} | {zone}
    return len(zones) * WATCHERS_PER_ZONE


def _weight(zone: str, name: str) -> bytes:
    return hashlib.blake2b(f"{zone}/{name}".encode(), digest_size=8).digest()
