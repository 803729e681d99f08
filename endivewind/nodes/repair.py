"""Finds what two nodes have missed of each other's knowledge, and mends it.

Every datagram carries a digest of all that its sender knows. Where it differs,
two nodes compare digests of their records by bucket, then the versions in the
buckets that differ, and send the missing records over a link.
"""

import collections.abc
import dataclasses
import datetime
import random

from endivewind import clock as clocks
from endivewind.nodes import digests
from endivewind.nodes import gossip_messages as messages
from endivewind.nodes import membership
from endivewind.nodes import view

# Fits every path's MTU, with room for the headers and the signature.
MAX_DATAGRAM = 1200
_OVERHEAD = 160
ROOM = MAX_DATAGRAM - _OVERHEAD
# A node repairs with one other at a time, and leaves news time to spread: what
# it has heard in the last REPAIR_PERIOD others may simply not have heard yet.
# Without that each change would make every node compare its buckets.
REPAIR_PERIOD = datetime.timedelta(seconds=2)
BUSY_REPAIR_PERIOD = datetime.timedelta(seconds=10)
MAX_VERSION_DATAGRAMS = 4
# A joining node differs in most buckets; all at once is cheaper for it.
WHOLE_BUCKETS = 100
# A whole state is about 1.4 MB at full size and takes a second or two; asking
# again while it comes would double the work of a fleet that restarts.
PULL_PERIOD = datetime.timedelta(seconds=3)
HOMES_PER_FRAME = 16


class Repair:
    """One node's comparisons with others, and the records that they need."""

    def __init__(
        self,
        members: membership.Membership,
        fleet: view.FleetView,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._members = members
        self._view = fleet
        self._clock = clock
        self._rng = rng
        self._digests = digests.Digests()
        self._changed_at = clock.monotonic()
        self._last_repair = clock.monotonic() - REPAIR_PERIOD
        self._last_pull = clock.monotonic() - PULL_PERIOD

    @property
    def summary(self) -> int:
        """Digest of all that this node knows; equal when nodes agree."""
        return self._digests.summary

    def refresh(self, name: str) -> None:
        """Takes note that a node's record or targets may have changed."""
        before = self._digests.summary
        self._digests.put(name, self._version(name))
        if self._digests.summary != before:
            self._changed_at = self._clock.monotonic()

    def forget(self, name: str) -> None:
        """Takes a node out."""
        self._digests.put(name, None)

    def answer(
        self, pull: messages.Pull, *, joined: bool
    ) -> collections.abc.Iterator[messages.FleetState]:
        """What a pull asks for, in parts of bounded size.

        Args:
          pull: names nodes, or none for all.
          joined: whether this node knows the fleet itself.
        """
        names = pull.names or tuple(self._members.members)
        for start in range(0, len(names), HOMES_PER_FRAME):
            part = names[start : start + HOMES_PER_FRAME]
            last = start + HOMES_PER_FRAME >= len(names)
            state = self._state(part, last=last and joined)
            left = tuple(self._view.departed_targets(pull.sender).items())
            yield dataclasses.replace(state, left=left) if last else state

    def compare(
        self, address: str, message: messages.Datagram, *, joined: bool
    ) -> list[messages.Send]:
        """What a datagram's digest asks for, if anything.

        Args:
          address: where its sender takes links.
          message: the datagram.
          joined: whether this node knows the fleet itself.
        """
        if message.buckets:
            return self._compare_buckets(address, message.buckets)
        if message.compared:
            return self._compare_versions(address, message)
        if message.summary == self.summary:
            return []
        now = self._clock.monotonic()
        if not joined and now - self._last_pull >= PULL_PERIOD:
            self._last_pull = now
            return [messages.Send(address, self._pull(()))]
        settled = now - self._changed_at >= REPAIR_PERIOD
        period = REPAIR_PERIOD if settled else BUSY_REPAIR_PERIOD
        if now - self._last_repair < period:
            return []
        self._last_repair = now
        me = self._members.me.node.name
        buckets = self._digests.buckets
        return [
            messages.Send(
                address, messages.Datagram(me, self.summary, buckets=buckets)
            )
        ]

    def _pull(self, names: tuple[str, ...]) -> messages.Pull:
        node = self._members.me.node
        return messages.Pull(node.name, node.address, names)

    def _compare_buckets(
        self, address: str, theirs: tuple[int, ...]
    ) -> list[messages.Send]:
        mine = self._digests.buckets
        if len(theirs) != len(mine):
            return []
        differing = [
            index
            for index in range(digests.BUCKETS)
            if mine[index] != theirs[index]
        ]
        sends: list[messages.Send] = []
        now = self._clock.monotonic()
        whole = len(differing) >= WHOLE_BUCKETS
        if whole and now - self._last_pull >= PULL_PERIOD:
            self._last_pull = now
            sends.append(messages.Send(address, self._pull(())))
        self._rng.shuffle(differing)
        sends.extend(
            messages.Send(address, item)
            for item in self._version_datagrams(differing)
        )
        return sends

    def _version_datagrams(
        self, differing: list[int]
    ) -> list[messages.Datagram]:
        found: list[messages.Datagram] = []
        compared: list[int] = []
        versions: list[digests.Version] = []
        room = ROOM
        for index in differing:
            names = self._digests.names(index)
            more = [item for name in names if (item := self._version(name))]
            size = 8 + sum(_version_size(item) for item in more)
            if size > room and compared:
                found.append(self._versions(compared, versions))
                compared, versions, room = [], [], ROOM
                if len(found) == MAX_VERSION_DATAGRAMS:
                    return found
            if size > room:
                # One bucket that fills more than a datagram: a fleet much
                # larger than the buckets are made for. Repair it piecemeal.
                continue
            compared.append(index)
            versions.extend(more)
            room -= size
        if compared:
            found.append(self._versions(compared, versions))
        return found

    def _versions(
        self, compared: list[int], versions: list[digests.Version]
    ) -> messages.Datagram:
        return messages.Datagram(
            self._members.me.node.name,
            self.summary,
            compared=tuple(compared),
            versions=tuple(versions),
        )

    def _compare_versions(
        self, address: str, message: messages.Datagram
    ) -> list[messages.Send]:
        theirs = {item.name: item for item in message.versions}
        names = set(theirs)
        for index in message.compared:
            if 0 <= index < digests.BUCKETS:
                names |= self._digests.names(index)
        wanted: list[str] = []
        offered: list[str] = []
        for name in sorted(names):
            behind, ahead = self._relation(name, theirs.get(name))
            if behind:
                wanted.append(name)
            if ahead:
                offered.append(name)
        sends: list[messages.Send] = []
        if wanted:
            sends.append(messages.Send(address, self._pull(tuple(wanted))))
        for start in range(0, len(offered), HOMES_PER_FRAME):
            part = offered[start : start + HOMES_PER_FRAME]
            sends.append(messages.Send(address, self._state(part, last=False)))
        return sends

    def _relation(
        self, name: str, theirs: digests.Version | None
    ) -> tuple[bool, bool]:
        """Whether this node is behind, and whether it is ahead."""
        member = self._members.members.get(name)
        if theirs is None:
            return False, member is not None
        if member is None:
            return True, False
        own = self._view.home_version(name)
        mine_home = (own.incarnation, own.sequence)
        their_home = (theirs.home.incarnation, theirs.home.sequence)
        behind = theirs.member > member.order or their_home > mine_home
        ahead = member.order > theirs.member or mine_home > their_home
        return behind, ahead

    def _state(
        self, names: collections.abc.Iterable[str], *, last: bool
    ) -> messages.FleetState:
        members = []
        homes = []
        for name in names:
            member = self._members.members.get(name)
            if member is None:
                continue
            members.append(member)
            home = self._view.home_state(name)
            if home is not None and member.usable:
                homes.append(home)
        me = self._members.me.node.name
        return messages.FleetState(me, tuple(members), tuple(homes), last)

    def _version(self, name: str) -> digests.Version | None:
        member = self._members.members.get(name)
        if member is None or not member.usable:
            return None
        return digests.Version(
            name, member.order, self._view.home_version(name)
        )


def _version_size(version: digests.Version) -> int:
    # Six fields of three bytes, five numbers, the name and the list's share.
    return len(version.name) + 60
