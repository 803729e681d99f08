"""In-memory network of membership and gossip state machines, for tests.

Messages are encoded and decoded as on real sockets. Time advances in ticks.
"""

import collections.abc
import dataclasses
import datetime
import random

from endivewind import clock as clocks
from endivewind.decisions import poison_requests
from endivewind.nodes import codec
from endivewind.nodes import datagrams
from endivewind.nodes import gossip
from endivewind.nodes import gossip_frames
from endivewind.nodes import gossip_messages
from endivewind.nodes import membership
from endivewind.nodes import view
from endivewind.targets import records
from endivewind.targets import registry

TICK = datetime.timedelta(milliseconds=100)
DEFAULT_LEASE_MS = 2000


class Member:
    """A node: its membership, gossip and view, and its own targets."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        clock: clocks.Clock,
        rng: random.Random,
        contacts: tuple[str, ...],
        location: tuple[str, str] = ("andina", "andina-a"),
    ) -> None:
        self.name = name
        self.paused = False
        self.record = view.NodeRecord(name, incarnation, f"{name}:1", *location)
        self.view = view.FleetView()
        self.members = membership.Membership(self.record, clock, rng, contacts)
        self.suspects = poison_requests.SuspectRequests()
        self.core = gossip.Gossip(
            self.members, self.view, clock, rng, self.suspects
        )
        self._clock = clock
        identity = registry.HomeIdentity(name, incarnation, *location)
        self.targets = registry.TargetRegistry(
            identity, clock, self.view.find_target
        )

    def announce(
        self,
        target: str,
        moves: int = 0,
        incarnation: int = 1,
        lease_ms: int = DEFAULT_LEASE_MS,
        state: records.State = records.State.READY,
    ) -> bool:
        """Announces a target to this node; returns whether it is accepted."""
        announcement = registry.Announcement(
            state=state,
            service="riders",
            address="http://127.0.0.1:1",
            incarnation=incarnation,
            moves=moves,
            lease_ms=lease_ms,
        )
        result = self.targets.announce(target, announcement, 3)
        self.publish_changes()
        return result.is_ok()

    def publish_changes(self) -> None:
        """Passes changes of the node's own targets to gossip."""
        self.core.originate(self.targets.take_changes())

    def publish_suspect(self, record: poison_requests.SuspectRequest) -> None:
        """Stores the record of a suspect request and passes it to gossip."""
        self.suspects.put(record, self._clock.monotonic())
        self.core.publish_suspect(record)

    def state(self, name: str) -> membership.State | None:
        """Returns the state in which this node sees another one."""
        known = self.members.members.get(name)
        return known.state if known else None

    def home_of(self, target: str) -> str | None:
        """Returns the home that this node would send a target's requests to."""
        known = self.view.find_target(target)
        return known.home if known else None


LocationOf = collections.abc.Callable[[str], tuple[str, str]]


def _one_zone(name: str) -> tuple[str, str]:
    return "andina", "andina-a"


@dataclasses.dataclass
class _Message:
    sender: str
    receiver: str
    payload: bytes
    is_link: bool


class Network:
    """A fleet whose messages can be lost, duplicated, delayed and blocked.

    Attributes:
      clock: the time of all nodes.
      rng: the source of all randomness.
      nodes: running nodes by name.
      blocked_paths: pairs of sender and receiver whose messages are dropped.
      loss: probability that a datagram is lost.
      duplication: probability that a message is delivered twice.
      largest_datagram_bytes: size of the largest datagram so far.
      sent_bytes: bytes sent by all nodes.
      cross_zone_bytes: those sent to other zones of the same region.
      cross_region_bytes: those sent to other regions.
      link_frames: number of frames sent over links.
    """

    def __init__(
        self,
        names: list[str],
        seed: int = 1,
        location_of: LocationOf = _one_zone,
    ) -> None:
        self._location_of = location_of
        self.cross_region_bytes = 0
        self.cross_zone_bytes = 0
        self.clock = clocks.ManualClock()
        self.rng = random.Random(seed)
        self.nodes: dict[str, Member] = {}
        self.blocked_paths: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.duplication = 0.0
        self.largest_datagram_bytes = 0
        self.sent_bytes = 0
        self.link_frames = 0
        self._incarnations = 0
        self._contacts = tuple(f"{name}:1" for name in names)
        self._in_flight: list[_Message] = []
        for name in names:
            self.start(name)

    def start(
        self, name: str, contacts: tuple[str, ...] | None = None
    ) -> Member:
        """Starts or restarts a node."""
        self._incarnations += 1
        node = Member(
            name,
            self._incarnations,
            self.clock,
            self.rng,
            self._contacts if contacts is None else contacts,
            self._location_of(name),
        )
        node.core.join()
        self.nodes[name] = node
        return node

    def push(self, name: str) -> None:
        """Lets a node push its queued changes without waiting for a tick."""
        self._send(name, self.nodes[name].core.push())

    def crash(self, name: str) -> None:
        """Removes a node without letting it announce its shutdown."""
        del self.nodes[name]

    def run(self, seconds: float) -> None:
        """Runs the fleet for some seconds."""
        for _ in range(round(seconds / TICK.total_seconds())):
            self.clock.advance(TICK)
            self._deliver()
            for node in list(self.nodes.values()):
                if not node.paused:
                    node.targets.remove_expired()
                    node.publish_changes()
                    self._send(node.name, node.core.tick())
            # Responses arrive within the same tick, as on a fast network.
            for _ in range(3):
                self._deliver()

    def has_converged(self) -> bool:
        """Whether all nodes know the same records."""
        return len({node.core.summary for node in self.nodes.values()}) == 1

    def leave(self, name: str) -> None:
        """Removes a node after it has announced its shutdown."""
        node = self.nodes.pop(name)
        self._send(name, node.core.leave())

    def _send(
        self, sender: str, sends: list[gossip_messages.OutgoingMessage]
    ) -> None:
        for item in sends:
            receiver = item.address.partition(":")[0]
            if isinstance(item.message, gossip_messages.Datagram):
                payload = datagrams.encode(item.message, b"k" * 16)
                self.largest_datagram_bytes = max(
                    self.largest_datagram_bytes, len(payload)
                )
                is_link = False
            else:
                payload = codec.encode_frame(
                    gossip_frames.encode_message(item.message)
                )
                is_link = True
                self.link_frames += 1
            self.sent_bytes += len(payload)
            self._count_remote_bytes(sender, receiver, len(payload))
            message = _Message(sender, receiver, payload, is_link)
            copies = 2 if self.rng.random() < self.duplication else 1
            if not is_link and self.rng.random() < self.loss:
                copies = 0
            self._in_flight.extend([message] * copies)

    def _count_remote_bytes(
        self, sender: str, receiver: str, size: int
    ) -> None:
        sender_location, receiver_location = (
            self._location_of(sender),
            self._location_of(receiver),
        )
        if sender_location[0] != receiver_location[0]:
            self.cross_region_bytes += size
        elif sender_location != receiver_location:
            self.cross_zone_bytes += size

    def _deliver(self) -> None:
        in_flight, self._in_flight = self._in_flight, []
        self.rng.shuffle(in_flight)
        for message in in_flight:
            node = self.nodes.get(message.receiver)
            path = (message.sender, message.receiver)
            reverse_path = (message.receiver, message.sender)
            is_blocked = path in self.blocked_paths or (
                message.is_link and reverse_path in self.blocked_paths
            )
            if node is None or is_blocked:
                continue
            if node.paused:
                # The socket buffers of a paused process keep its messages.
                self._in_flight.append(message)
                continue
            self._receive(node, message)

    def _receive(self, node: Member, message: _Message) -> None:
        if not message.is_link:
            datagram = datagrams.decode(message.payload, b"k" * 16)
            sends = node.core.receive(f"{message.sender}:1", datagram)
            self._send(node.name, sends)
        else:
            frame = gossip_frames.decode_message(
                codec.decode_frame(message.payload[4:])
            )
            if isinstance(frame, gossip_messages.Pull):
                parts = [
                    gossip_messages.OutgoingMessage(frame.address, part)
                    for part in node.core.answer_pull(frame)
                ]
                self._send(node.name, parts)
            else:
                self._send(node.name, node.core.receive_state(frame))
        for target, incarnation in node.core.take_departed_targets():
            node.targets.record_departure(target, incarnation)
        for record in node.core.take_received_records():
            node.targets.release_if_moved(record)
        node.publish_changes()


def health_of(node: Member, target: str) -> records.EjectionStatus | None:
    """Returns the health of a target as known to a node."""
    known = node.view.find_target(target)
    return known.health if known else None
