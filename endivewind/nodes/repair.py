"""Anti-entropy: finds and repairs differences between two nodes' records.

Every datagram carries a digest of all records that its sender knows. If it
differs, two nodes compare their digests by bucket, then the versions in the
buckets that differ, and send each other the missing records over a link.
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

# Fits the MTU of every path, including headers and signature.
MAX_DATAGRAM_BYTES = 1200
_OVERHEAD = 160
MAX_PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - _OVERHEAD
# A node compares its records with one other node at a time.
# Minimum time between two comparisons that a node starts. BUSY_REPAIR_PERIOD
# applies if its records have changed within the last REPAIR_PERIOD, since
# digests then differ because others have not received the latest change yet.
# Otherwise REPAIR_PERIOD applies. Without the longer period each change would
# make every node compare its buckets.
REPAIR_PERIOD = datetime.timedelta(seconds=2)
BUSY_REPAIR_PERIOD = datetime.timedelta(seconds=10)
MAX_VERSION_DATAGRAMS = 4
# Attached in place of a bucket's index if not all versions of the bucket are in
# the datagram. A receiver compares the versions and ignores an index of no
# bucket, so that it does not send the nodes that the datagram lacks.
_PARTIAL_BUCKET = -1
# Number of differing buckets from which on a node pulls the full state. A
# joining node differs in most buckets, and one pull is cheaper than many
# comparisons.
MIN_FULL_PULL_BUCKETS = 100
# Minimum time between two pulls of the full state, which takes about 1.4 MB and
# a second or two at 760 nodes. Asking again while it arrives would double the
# work of a fleet that restarts.
MIN_FULL_PULL_INTERVAL = datetime.timedelta(seconds=3)
HOMES_PER_FRAME = 16


class Repair:
    """Compares records with those of other nodes, and responds to pulls."""

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
        self._digests = digests.BucketDigests()
        self._changed_at = clock.monotonic()
        # When this node last started a comparison.
        self._last_repair = clock.monotonic() - REPAIR_PERIOD
        self._last_full_pull = clock.monotonic() - MIN_FULL_PULL_INTERVAL

    @property
    def summary(self) -> int:
        """Digest of the known records; equal on nodes that know the same."""
        return self._digests.summary

    def refresh(self, name: str) -> None:
        """Updates the digests after a possible change of a node's records."""
        before = self._digests.summary
        self._digests.put(name, self._current_version(name))
        if self._digests.summary != before:
            self._changed_at = self._clock.monotonic()

    def remove_node(self, name: str) -> None:
        """Removes a node from the digests."""
        self._digests.put(name, None)

    def answer_pull(
        self, pull: messages.Pull, *, has_joined: bool
    ) -> collections.abc.Iterator[messages.StatePart]:
        """Yields the state that a pull asks for, in parts of bounded size.

        Args:
          pull: the request.
          has_joined: whether this node has received the fleet's state itself.
        """
        names = pull.names or tuple(self._members.members)
        for start in range(0, len(names), HOMES_PER_FRAME):
            part = names[start : start + HOMES_PER_FRAME]
            last = start + HOMES_PER_FRAME >= len(names)
            state = self._make_state(part, last=last and has_joined)
            departed = tuple(self._view.departed_targets(pull.sender).items())
            yield (
                dataclasses.replace(state, departed_targets=departed)
                if last
                else state
            )

    def compare(
        self, address: str, message: messages.Datagram, *, has_joined: bool
    ) -> list[messages.OutgoingMessage]:
        """Compares a datagram's digests; returns the messages to send.

        Args:
          address: listener address of its sender.
          message: the datagram.
          has_joined: whether this node has received the fleet's state itself.
        """
        if message.buckets:
            return self._compare_buckets(address, message.buckets)
        if message.compared_buckets:
            return self._compare_versions(address, message)
        if message.summary == self.summary:
            return []
        now = self._clock.monotonic()
        if (
            not has_joined
            and now - self._last_full_pull >= MIN_FULL_PULL_INTERVAL
        ):
            self._last_full_pull = now
            return [messages.OutgoingMessage(address, self._make_pull(()))]
        is_quiet = now - self._changed_at >= REPAIR_PERIOD
        period = REPAIR_PERIOD if is_quiet else BUSY_REPAIR_PERIOD
        if now - self._last_repair < period:
            return []
        self._last_repair = now
        me = self._members.me.node.name
        buckets = self._digests.buckets
        return [
            messages.OutgoingMessage(
                address, messages.Datagram(me, self.summary, buckets=buckets)
            )
        ]

    def _make_pull(self, names: tuple[str, ...]) -> messages.Pull:
        node = self._members.me.node
        return messages.Pull(node.name, node.address, names)

    def _compare_buckets(
        self, address: str, theirs: tuple[int, ...]
    ) -> list[messages.OutgoingMessage]:
        mine = self._digests.buckets
        if len(theirs) != len(mine):
            return []
        differing = [
            index
            for index in range(digests.BUCKET_COUNT)
            if mine[index] != theirs[index]
        ]
        sends: list[messages.OutgoingMessage] = []
        now = self._clock.monotonic()
        needs_full_pull = len(differing) >= MIN_FULL_PULL_BUCKETS
        if (
            needs_full_pull
            and now - self._last_full_pull >= MIN_FULL_PULL_INTERVAL
        ):
            self._last_full_pull = now
            sends.append(messages.OutgoingMessage(address, self._make_pull(())))
        self._rng.shuffle(differing)
        sends.extend(
            messages.OutgoingMessage(address, item)
            for item in self._make_version_datagrams(differing)
        )
        return sends

    def _make_version_datagrams(
        self, differing: list[int]
    ) -> list[messages.Datagram]:
        result: list[messages.Datagram] = []
        compared: list[int] = []
        versions: list[digests.Version] = []
        remaining_bytes = MAX_PAYLOAD_BYTES
        for index in differing:
            if len(result) >= MAX_VERSION_DATAGRAMS:
                break
            names = self._digests.names_in(index)
            bucket_versions = [
                item for name in names if (item := self._current_version(name))
            ]
            size = _versions_size(bucket_versions)
            if size > MAX_PAYLOAD_BYTES:
                result.extend(self._make_partial_datagrams(bucket_versions))
                continue
            if size > remaining_bytes:
                result.append(self._make_version_datagram(compared, versions))
                compared, versions, remaining_bytes = [], [], MAX_PAYLOAD_BYTES
            compared.append(index)
            versions.extend(bucket_versions)
            remaining_bytes -= size
        if compared:
            result.append(self._make_version_datagram(compared, versions))
        return result[:MAX_VERSION_DATAGRAMS]

    def _make_partial_datagrams(
        self, versions: list[digests.Version]
    ) -> list[messages.Datagram]:
        """Returns the versions of a bucket that is too large for a datagram.

        The receiver finds the nodes of which one of both has a later version.
        Nodes that this node does not know are found when it starts a
        comparison itself. The order is random, since a comparison may end
        before the last part.
        """
        remaining = sorted(versions, key=lambda item: item.name)
        self._rng.shuffle(remaining)
        result: list[messages.Datagram] = []
        while remaining:
            count = 1
            while (
                count < len(remaining)
                and _versions_size(remaining[: count + 1]) <= MAX_PAYLOAD_BYTES
            ):
                count += 1
            result.append(
                self._make_version_datagram(
                    [_PARTIAL_BUCKET], remaining[:count]
                )
            )
            del remaining[:count]
        return result

    def _make_version_datagram(
        self, compared: list[int], versions: list[digests.Version]
    ) -> messages.Datagram:
        return messages.Datagram(
            self._members.me.node.name,
            self.summary,
            compared_buckets=tuple(compared),
            versions=tuple(versions),
        )

    def _compare_versions(
        self, address: str, message: messages.Datagram
    ) -> list[messages.OutgoingMessage]:
        theirs = {item.name: item for item in message.versions}
        names = set(theirs)
        for index in message.compared_buckets:
            if 0 <= index < digests.BUCKET_COUNT:
                names |= self._digests.names_in(index)
        names_behind: list[str] = []
        names_ahead: list[str] = []
        for name in sorted(names):
            is_behind, is_ahead = self._compare_node(name, theirs.get(name))
            if is_behind:
                names_behind.append(name)
            if is_ahead:
                names_ahead.append(name)
        sends: list[messages.OutgoingMessage] = []
        if names_behind:
            sends.append(
                messages.OutgoingMessage(
                    address, self._make_pull(tuple(names_behind))
                )
            )
        for start in range(0, len(names_ahead), HOMES_PER_FRAME):
            part = names_ahead[start : start + HOMES_PER_FRAME]
            sends.append(
                messages.OutgoingMessage(
                    address, self._make_state(part, last=False)
                )
            )
        return sends

    def _compare_node(
        self, name: str, theirs: digests.Version | None
    ) -> tuple[bool, bool]:
        """Returns whether this node is behind, and whether it is ahead."""
        member = self._members.members.get(name)
        if theirs is None:
            return False, member is not None
        if member is None:
            return True, False
        own_home = self._view.home_version(name)
        own_version = (own_home.incarnation, own_home.sequence)
        their_version = (
            theirs.home_version.incarnation,
            theirs.home_version.sequence,
        )
        is_behind = (
            theirs.precedence > member.precedence or their_version > own_version
        )
        is_ahead = (
            member.precedence > theirs.precedence or own_version > their_version
        )
        return is_behind, is_ahead

    def _make_state(
        self, names: collections.abc.Iterable[str], *, last: bool
    ) -> messages.StatePart:
        members = []
        homes = []
        for name in names:
            member = self._members.members.get(name)
            if member is None:
                continue
            members.append(member)
            home = self._view.home_state(name)
            if home is not None and member.is_usable:
                homes.append(home)
        me = self._members.me.node.name
        return messages.StatePart(me, tuple(members), tuple(homes), last)

    def _current_version(self, name: str) -> digests.Version | None:
        member = self._members.members.get(name)
        if member is None or not member.is_usable:
            return None
        return digests.Version(
            name, member.precedence, self._view.home_version(name)
        )


def _versions_size(versions: list[digests.Version]) -> int:
    """Returns at least the encoded size of a bucket's index and versions."""
    return 8 + sum(_version_size(item) for item in versions)


def _version_size(version: digests.Version) -> int:
    # Six field headers of 3 bytes, five numbers, the name and list overhead.
    return len(version.name) + 60
