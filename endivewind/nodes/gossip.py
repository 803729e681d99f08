"""Disseminates member records and target changes by epidemic gossip.

Pure: no I/O; GossipService sends what these methods return. Changes are
pushed to a few random nodes in small datagrams. A node detects what it has
missed by a digest in every datagram and fetches it over a link (anti-entropy).
"""

import collections.abc
import dataclasses
import datetime
import random

from endivewind import clock as clocks
from endivewind.decisions import peer_updates
from endivewind.decisions import poison_requests
from endivewind.nodes import change_queue
from endivewind.nodes import changes
from endivewind.nodes import codec
from endivewind.nodes import gossip_messages as messages
from endivewind.nodes import membership
from endivewind.nodes import repair
from endivewind.nodes import view
from endivewind.targets import records

# Datagrams pushed per tick. With ten ticks per second this limits the pushes
# of a node to FAN_OUT * MAX_DATAGRAM_BYTES * 10 = 48 KB/s under any load.
FAN_OUT = 4
# Expected number of copies of a change that enter each zone from other zones,
# and each region from other regions. Traffic between zones and regions is
# billed, traffic within a zone is free. With six copies, one change in 400
# reaches a zone only by repair, some seconds later.
INBOUND_COPIES = 6
# Maximum share of pushes that go to other zones of the region, and likewise to
# other regions. It matters for zones of only one or two nodes.
MAX_REMOTE_SHARE = 1 / 2
# Time after which a node counts as joined without having received a state.
# When a whole fleet restarts, no node has a state to send. Without a timeout
# the nodes would send pulls to each other forever, and callers would wait for
# a fleet in which each node waits for the others.
JOIN_TIMEOUT = datetime.timedelta(seconds=1)
# Minimum time between two times that a node sends all its suspect requests.
SUSPECTS_REPAIR_PERIOD = datetime.timedelta(milliseconds=300)


class Gossip:
    """Gossip protocol of one node, on top of its membership and view."""

    def __init__(
        self,
        members: membership.Membership,
        fleet: view.FleetView,
        clock: clocks.Clock,
        rng: random.Random,
        suspects: poison_requests.SuspectRequests | None = None,
    ) -> None:
        self._members = members
        self._view = fleet
        self._suspects = (
            poison_requests.SuspectRequests() if suspects is None else suspects
        )
        self._suspects_sent_at = clock.monotonic() - SUSPECTS_REPAIR_PERIOD
        self._clock = clock
        self._rng = rng
        self._queue = change_queue.ChangeQueue()
        self._repair = repair.Repair(members, fleet, clock, rng)
        self._received_records: list[records.TargetRecord] = []
        self._member_changes: list[membership.MemberRecord] = []
        self._join_started = clock.monotonic()
        self._has_joined = True
        self._has_state = False
        self._departed_targets: list[tuple[str, int]] = []
        for record in members.members.values():
            self._update_view(record)

    @property
    def has_joined(self) -> bool:
        """Whether this node has stopped waiting for a peer's full state.

        That is so if the state has arrived, if there is no peer, or once
        JOIN_TIMEOUT has passed.
        """
        if self._has_joined or not self._members.has_contacts():
            return True
        return self._clock.monotonic() - self._join_started > JOIN_TIMEOUT

    @property
    def has_received_state(self) -> bool:
        """Whether a peer's full state has arrived, whatever the timeout."""
        return self._has_state

    @property
    def summary(self) -> int:
        """Digest of the known records; equal on nodes that know the same."""
        return self._repair.summary

    @property
    def queued_changes(self) -> int:
        """Number of changes that are queued for dissemination."""
        return len(self._queue)

    def take_received_records(self) -> list[records.TargetRecord]:
        """Returns other homes' target records received since the last call."""
        received, self._received_records = self._received_records, []
        return received

    def take_departed_targets(self) -> list[tuple[str, int]]:
        """Returns targets that announced their departure before this start.

        They announced it to an earlier incarnation of this node.

        Returns:
          Target ids with the targets' incarnations, each reported once.
        """
        departed, self._departed_targets = self._departed_targets, []
        return departed

    def take_member_changes(self) -> list[membership.MemberRecord]:
        """Returns the member records that have changed since the last call."""
        changed, self._member_changes = self._member_changes, []
        return changed

    def originate(
        self, target_changes: collections.abc.Iterable[records.TargetChange]
    ) -> None:
        """Disseminates changes of this node's own targets."""
        for change in target_changes:
            if self._view.put_change(change):
                self._enqueue(change)
        self._repair.refresh(self._members.me.node.name)

    def publish_suspect(self, record: poison_requests.SuspectRequest) -> None:
        """Disseminates the later record of a suspect request."""
        self._enqueue(record)

    def join(self) -> None:
        """Announces this incarnation; begins to pull a peer's full state."""
        self._join_started = self._clock.monotonic()
        self._has_joined = False
        self.announce_self()

    def announce_self(self) -> None:
        """Queues this node's own member record for dissemination."""
        self._enqueue(self._members.me)

    def leave(self) -> list[messages.OutgoingMessage]:
        """Announces at once, to a few nodes, that this node shuts down."""
        self._handle_outputs(self._members.leave(), None)
        return self.push()

    def push_update(
        self, update: peer_updates.PeerUpdate
    ) -> list[messages.OutgoingMessage]:
        """Sends an update to nodes of this zone.

        Retry usages go to other zones of the region as well if the region is
        small enough to share retry budgets. Entry routes go to one random
        node of the zone, which passes them on to another.
        """
        me = self._members.me.node
        peers = self._members.peers()
        region = [item for item in peers if item.node.region == me.region]
        zone = [item for item in region if item.node.zone == me.zone]
        sends = []
        if update.entry_routes:
            routes = peer_updates.PeerUpdate(entry_routes=update.entry_routes)
            sends = [
                self._make_update(item, routes)
                for item in self._sample(zone, 1)
            ]
            update = dataclasses.replace(update, entry_routes=())
        if update:
            sends.extend(
                self._make_update(item, update)
                for item in self._sample(zone, peer_updates.MAX_PEERS)
            )
        if update.retry_usages and peer_updates.shares_retries_in_region(
            len(region)
        ):
            usages = peer_updates.PeerUpdate(retry_usages=update.retry_usages)
            sends.extend(
                self._make_update(item, usages)
                for item in region
                if item.node.zone != me.zone
            )
        return sends

    def make_update(
        self, address: str, update: peer_updates.PeerUpdate
    ) -> messages.OutgoingMessage:
        """Returns an update for one node."""
        me = self._members.me.node.name
        return messages.OutgoingMessage(
            address, messages.Datagram(me, self.summary, peer_update=update)
        )

    def _make_update(
        self, receiver: membership.MemberRecord, update: peer_updates.PeerUpdate
    ) -> messages.OutgoingMessage:
        return self.make_update(receiver.node.address, update)

    def tick(self) -> list[messages.OutgoingMessage]:
        """Runs the protocol's timers; to be called about every 100 ms."""
        self._suspects.expire(self._clock.monotonic())
        sends = self._handle_outputs(self._members.tick(), None)
        sends.extend(self.push())
        return sends

    def receive(
        self, address: str, message: messages.Datagram
    ) -> list[messages.OutgoingMessage]:
        """Handles a datagram; ignores changes in it that can't be decoded.

        Args:
          address: where the datagram came from.
          message: the datagram.
        """
        before = self._members.me
        for payload in message.changes:
            self._handle_change(payload)
        known = self._members.members.get(message.sender)
        is_unknown = known is None or not known.is_usable
        has_refuted = self._members.me is not before
        extra_changes: tuple[bytes, ...] = ()
        is_suspected = bool(message.ping_number) and self._carries_suspicion(
            message.changes
        )
        if is_unknown or has_refuted or is_suspected:
            extra_changes = (changes.encode(self._members.me),)
        outputs: list[membership.Output] = []
        if message.ping_number and message.node_to_ping:
            outputs.extend(
                self._members.handle_ping_request(
                    address, message.ping_number, message.node_to_ping
                )
            )
        elif message.ping_number:
            outputs.extend(
                self._members.handle_ping(address, message.ping_number)
            )
        if message.ack_number:
            outputs.extend(self._members.handle_ack(message.ack_number))
        sends = self._handle_outputs(outputs, extra_changes)
        if has_refuted and not message.ping_number:
            sends.append(
                messages.OutgoingMessage(
                    address, self._make_datagram(extra_changes=extra_changes)
                )
            )
        sends.extend(
            self._repair.compare(
                self._link_address(address, message),
                message,
                has_joined=self.has_joined,
            )
        )
        sends.extend(self._repair_suspects(address, message))
        return sends

    def _repair_suspects(
        self, address: str, message: messages.Datagram
    ) -> list[messages.OutgoingMessage]:
        """Sends what this node knows if the sender of a datagram differs."""
        now = self._clock.monotonic()
        if (
            message.suspects_digest == self._suspects.digest
            or now - self._suspects_sent_at < SUSPECTS_REPAIR_PERIOD
        ):
            return []
        self._suspects_sent_at = now
        payloads: list[bytes] = []
        remaining_bytes = repair.MAX_PAYLOAD_BYTES
        for record in reversed(self._suspects.records()):
            payload = changes.encode(record)
            remaining_bytes -= len(payload) + 4
            if remaining_bytes < 0:
                break
            payloads.append(payload)
        if not payloads:
            return []
        datagram = messages.Datagram(
            self._members.me.node.name,
            self.summary,
            changes=tuple(payloads),
            suspects_digest=self._suspects.digest,
        )
        return [messages.OutgoingMessage(address, datagram)]

    def _carries_suspicion(self, payloads: tuple[bytes, ...]) -> bool:
        """Whether a datagram says that this node is suspect or dead.

        This node may have refuted the record before. The datagram shows that
        the sender has not received the refutation, so it is sent again.
        """
        me = self._members.me.node.name
        for payload in payloads:
            try:
                change = changes.decode(payload)
            except codec.FrameError:
                continue
            if isinstance(change, membership.MemberRecord):
                is_alive = change.state is membership.State.ALIVE
                if change.node.name == me and not is_alive:
                    return True
        return False

    def _link_address(self, address: str, message: messages.Datagram) -> str:
        """Returns the sender's listener address, or its source if unknown."""
        known = self._members.members.get(message.sender)
        return address if known is None else known.node.address

    def receive_state(
        self, state: messages.StatePart
    ) -> list[messages.OutgoingMessage]:
        """Stores a part of another node's state."""
        for member in state.members:
            self._merge_member(member, should_disseminate=False)
        for home in state.homes:
            self._handle_home_state(home)
        self._departed_targets.extend(state.departed_targets)
        self._has_joined = self._has_joined or state.is_last
        self._has_state = self._has_state or state.is_last
        return []

    def answer_pull(
        self, pull: messages.Pull
    ) -> collections.abc.Iterator[messages.StatePart]:
        """Yields the state that a pull asks for, in parts of bounded size."""
        return self._repair.answer_pull(pull, has_joined=self.has_joined)

    def _handle_change(self, payload: bytes) -> None:
        try:
            change = changes.decode(payload)
        except codec.FrameError:
            return
        match change:
            case membership.MemberRecord():
                self._merge_member(change, should_disseminate=True)
            case records.TargetChange():
                self._handle_target_change(change, payload)
            case poison_requests.SuspectRequest():
                if self._suspects.put(change, self._clock.monotonic()):
                    self._queue.put(_suspect_key(change), payload)
            case _:
                return

    def _handle_target_change(
        self, change: records.TargetChange, payload: bytes
    ) -> None:
        record = change.record
        me = self._members.me.node
        if record.home == me.name:
            return
        if not self._view.put_change(change):
            return
        self._queue.put(_change_key(record), payload)
        self._repair.refresh(record.home)
        if not change.is_removal:
            self._received_records.append(record)

    def _handle_home_state(self, home: view.HomeState) -> None:
        if home.home == self._members.me.node.name:
            return
        was_stored = self._view.put_home_state(
            home.home,
            home.version.incarnation,
            home.version.sequence,
            home.targets,
        )
        if was_stored:
            self._repair.refresh(home.home)
            self._received_records.extend(home.targets)

    def _merge_member(
        self, record: membership.MemberRecord, *, should_disseminate: bool
    ) -> None:
        for output in self._members.merge(record):
            if isinstance(output, membership.Disseminate):
                is_own = output.record.node.name == self._members.me.node.name
                self._update_view(output.record)
                if should_disseminate or is_own:
                    self._enqueue(output.record)

    def _disseminate(self, record: membership.MemberRecord) -> None:
        self._update_view(record)
        self._enqueue(record)

    def _update_view(self, record: membership.MemberRecord) -> None:
        self._member_changes.append(record)
        is_own = record.node.name == self._members.me.node.name
        if record.is_usable or is_own:
            # A node that shuts down keeps its own targets until it has stopped.
            self._view.put_node(record.node)
        else:
            self._view.remove_node(record.node.name)
        self._repair.refresh(record.node.name)

    def _enqueue(self, change: changes.Change) -> None:
        payload = changes.encode(change)
        if isinstance(change, records.TargetChange):
            self._queue.put(_change_key(change.record), payload)
        elif isinstance(change, poison_requests.SuspectRequest):
            self._queue.put(_suspect_key(change), payload)
        else:
            node = change.node
            negative_state = -int(change.state)
            key = (
                node.name,
                node.incarnation,
                change.refutation,
                negative_state,
            )
            self._queue.put(key, payload)

    def _handle_outputs(
        self,
        outputs: collections.abc.Iterable[membership.Output],
        extra_changes: tuple[bytes, ...] | None,
    ) -> list[messages.OutgoingMessage]:
        """Applies outputs of membership; returns the messages to send.

        Args:
          outputs: what membership asks for.
          extra_changes: encoded changes to add to acknowledgements.
        """
        sends: list[messages.OutgoingMessage] = []
        for item in outputs:
            match item:
                case membership.Disseminate(record):
                    self._disseminate(record)
                case membership.MemberRemoved(name):
                    self._view.remove_home_targets(name)
                    self._repair.remove_node(name)
                case membership.Ping():
                    sends.append(self._make_ping(item))
                case membership.PingRequest(address, number, member):
                    datagram = self._make_datagram(ping=number, relay=member)
                    sends.append(messages.OutgoingMessage(address, datagram))
                case membership.Ack(address, number):
                    datagram = self._make_datagram(
                        ack=number, extra_changes=extra_changes or ()
                    )
                    sends.append(messages.OutgoingMessage(address, datagram))
        return sends

    def _make_ping(self, ping: membership.Ping) -> messages.OutgoingMessage:
        extra_changes: tuple[bytes, ...] = ()
        if ping.record_to_refute is not None:
            extra_changes = (changes.encode(ping.record_to_refute),)
        if ping.is_introduction:
            extra_changes = (*extra_changes, changes.encode(self._members.me))
        datagram = self._make_datagram(
            ping=ping.number, extra_changes=extra_changes
        )
        return messages.OutgoingMessage(ping.address, datagram)

    def _make_datagram(
        self,
        *,
        ping: int = 0,
        ack: int = 0,
        relay: str = "",
        extra_changes: tuple[bytes, ...] = (),
    ) -> messages.Datagram:
        max_bytes = repair.MAX_PAYLOAD_BYTES - sum(
            len(item) + 4 for item in extra_changes
        )
        return messages.Datagram(
            self._members.me.node.name,
            self.summary,
            ping_number=ping,
            ack_number=ack,
            node_to_ping=relay,
            changes=extra_changes
            + self._queue.take(max_bytes, len(self._view.nodes)),
            suspects_digest=self._suspects.digest,
        )

    def push(self) -> list[messages.OutgoingMessage]:
        """Sends queued changes to a few random nodes."""
        if not len(self._queue):
            return []
        return [
            messages.OutgoingMessage(item.node.address, self._make_datagram())
            for item in self._choose_receivers()
            if len(self._queue)
        ]

    def _choose_receivers(self) -> list[membership.MemberRecord]:
        """Chooses receivers, mostly in the own zone to limit billed traffic."""
        me = self._members.me.node
        zone: list[membership.MemberRecord] = []
        other_zones: list[membership.MemberRecord] = []
        other_regions: list[membership.MemberRecord] = []
        for item in self._members.peers():
            if item.node.zone == me.zone:
                zone.append(item)
            elif item.node.region == me.region:
                other_zones.append(item)
            else:
                other_regions.append(item)
        transmits = change_queue.transmit_count(
            len(zone) + len(other_zones) + len(other_regions) + 1
        )
        zone_count = len({item.node.zone for item in other_zones}) + 1
        region_pushes = (len(zone) + len(other_zones) + 1) * transmits
        cross_region_share = (
            INBOUND_COPIES / region_pushes if other_regions else 0
        )
        cross_zone_share = (
            INBOUND_COPIES * zone_count / region_pushes if other_zones else 0
        )
        cross_region_count = self._count_hits(
            FAN_OUT, min(cross_region_share, MAX_REMOTE_SHARE)
        )
        cross_zone_count = self._count_hits(
            FAN_OUT - cross_region_count,
            min(cross_zone_share, MAX_REMOTE_SHARE),
        )
        if not zone:
            cross_zone_count = min(
                FAN_OUT - cross_region_count, len(other_zones)
            )
        return [
            *self._sample(
                zone, FAN_OUT - cross_region_count - cross_zone_count
            ),
            *self._sample(other_zones, cross_zone_count),
            *self._sample(other_regions, cross_region_count),
        ]

    def _count_hits(self, draws: int, probability: float) -> int:
        """Returns how many of some draws succeed at a given probability."""
        return sum(self._rng.random() < probability for _ in range(draws))

    def _sample(
        self, members: list[membership.MemberRecord], count: int
    ) -> list[membership.MemberRecord]:
        return self._rng.sample(members, min(len(members), count))


def _change_key(record: records.TargetRecord) -> change_queue.ChangeKey:
    return (record.home, record.home_incarnation, record.sequence, 1)


def _suspect_key(
    record: poison_requests.SuspectRequest,
) -> change_queue.ChangeKey:
    kind = 3 if record.is_cleared else 2
    return (
        record.fingerprint.hex(),
        record.generation,
        record.failed_trials,
        kind,
    )
