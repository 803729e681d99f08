"""Which nodes hold the platform's watch: the longest-running of each zone."""

import collections.abc
from typing import Protocol

# Every change comes whole to each watcher, over paid links, and each waiting
# watch is a call that is paid for. Where a zone's only watcher fails, those of
# the region's other zones hear of a change and pass it on.
WATCHERS_PER_ZONE = 1
# Two stand in for one another, also in a region of one zone.
WATCHERS_PER_REGION = 2


class Member(Protocol):
    """What is needed of a node."""

    @property
    def name(self) -> str:
        """The node's name."""

    @property
    def incarnation(self) -> int:
        """Its start; a later one has a higher number."""

    @property
    def region(self) -> str:
        """Region of its VM."""

    @property
    def zone(self) -> str:
        """Availability zone of its VM."""


def is_watcher(me: Member, members: collections.abc.Iterable[Member]) -> bool:
    """Whether a node is among the longest-running of its zone or region.

    Load: a fleet of which a part restarts all the time. Harm: where a node
    that joins could take the watch over from one that runs, each restart
    would cost the platform a listing and a watch more. The order of starts
    moves a watch only when its holder ends. Nodes that know different members
    may choose one more: harmless, it costs a call. A node that knows nobody
    watches itself.
    """
    zone = region = 0
    mine = start(me)
    for member in members:
        if member.region != me.region or start(member) >= mine:
            continue
        region += 1
        zone += member.zone == me.zone
    return zone < WATCHERS_PER_ZONE or region < WATCHERS_PER_REGION


def is_oldest(me: Member, members: collections.abc.Iterable[Member]) -> bool:
    """Whether a node has run for longest of its zone."""
    mine = start(me)
    return all(start(item) >= mine for item in members if item.zone == me.zone)


def sharers(me: Member, members: collections.abc.Collection[Member]) -> int:
    """How many nodes share the platform's call budget with this one.

    Watchers share one and all others another: at 760 nodes an equal share
    would let a watcher call once in four seconds, too late for a change that
    has to be in force within eight.
    """
    if not is_watcher(me, members):
        return len(members)
    places = {(member.region, member.zone) for member in (me, *members)}
    regions = {region for region, _ in places}
    return len(places) * WATCHERS_PER_ZONE + len(regions) * (
        WATCHERS_PER_REGION - WATCHERS_PER_ZONE
    )


def start(member: Member) -> tuple[int, str]:
    """Orders nodes by when they started; names decide between equals."""
    return member.incarnation, member.name
