"""Selects the nodes that watch the platform for changes of configuration.

The longest-running nodes of each zone and region are the watchers; each node
decides for itself from the list of members.
"""

import collections.abc
from typing import Protocol

# Each watcher receives every change in full, over links that are billed, and
# each pending watch is a billed call. If a zone's only watcher fails, those in
# the region's other zones receive changes and replicate them.
WATCHERS_PER_ZONE = 1
# Two, so that one can fail, even in a region with a single zone.
WATCHERS_PER_REGION = 2


class Member(Protocol):
    """The properties of a node that the selection uses."""

    @property
    def name(self) -> str:
        """The node's name."""

    @property
    def incarnation(self) -> int:
        """The node's incarnation; increases with each start."""

    @property
    def region(self) -> str:
        """Region of its VM."""

    @property
    def zone(self) -> str:
        """Availability zone of its VM."""


def is_watcher(me: Member, members: collections.abc.Iterable[Member]) -> bool:
    """Returns whether a node is a watcher of its zone or region.

    Whether `members` contains the node's own record makes no difference.

    Scenario: part of the fleet restarts all the time. Risk: if a joining node
    could take over the watch from a running one, each restart would cost the
    platform an additional listing and watch. With the longest-running nodes, a
    watch moves only when its holder stops. Nodes with different lists of
    members may consider different nodes watchers, so that there is one watcher
    too many; that costs only a call. A node that knows no other members is a
    watcher.
    """
    zone = region = 0
    own_start = start_order(me)
    for member in members:
        if member.region != me.region or start_order(member) >= own_start:
            continue
        region += 1
        zone += member.zone == me.zone
    return zone < WATCHERS_PER_ZONE or region < WATCHERS_PER_REGION


def is_oldest_in_zone(
    me: Member, members: collections.abc.Iterable[Member]
) -> bool:
    """Returns whether a node is the longest-running one of its zone."""
    own_start = start_order(me)
    return all(
        start_order(item) >= own_start
        for item in members
        if item.zone == me.zone
    )


def budget_sharer_count(
    me: Member, members: collections.abc.Collection[Member]
) -> int:
    """Returns the number of nodes that share a call budget with this one.

    Watchers share one budget of platform calls among themselves; for them the
    result is the maximum number of watchers. The other nodes share a second
    budget; for them it is the number of all members, including the watchers.
    If all nodes shared one budget equally, a watcher at 760 nodes could call
    only once in four seconds, too late for a change that has to be in force
    within eight.
    """
    if not is_watcher(me, members):
        return len(members)
    places = {(member.region, member.zone) for member in (me, *members)}
    regions = {region for region, _ in places}
    return len(places) * WATCHERS_PER_ZONE + len(regions) * (
        WATCHERS_PER_REGION - WATCHERS_PER_ZONE
    )


def start_order(member: Member) -> tuple[int, str]:
    """Returns a sort key by start; names break ties."""
    return member.incarnation, member.name
