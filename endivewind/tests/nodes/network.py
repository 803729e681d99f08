"""Nodes' pure cores joined by a network of lists, for tests of gossip.

Messages pass through the bytes that real nodes send. Time moves by ticks.
"""

import collections.abc
import dataclasses
import datetime
import random

from endivewind import clock as clocks
from endivewind.nodes import codec
from endivewind.nodes import datagrams
from endivewind.nodes import gossip
from endivewind.nodes import gossip_messages
from endivewind.nodes import membership
from endivewind.nodes import states
from endivewind.nodes import view
from endivewind.targets import records
from endivewind.targets import registry

TICK = datetime.timedelta(milliseconds=100)
LEASE_MS = 2000


class Member:
    """One node: its cores, and its own targets."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        clock: clocks.Clock,
        rng: random.Random,
        contacts: tuple[str, ...],
        place: tuple[str, str] = ("andina", "andina-a"),
    ) -> None:
        self.name = name
        self.paused = False
        self.record = view.NodeRecord(name, incarnation, f"{name}:1", *place)
        self.view = view.FleetView()
        self.members = membership.Membership(self.record, clock, rng, contacts)
        self.core = gossip.Gossip(self.members, self.view, clock, rng)
        identity = registry.HomeIdentity(name, incarnation, *place)
        self.targets = registry.TargetRegistry(
            identity, clock, self.view.find_target
        )

    def announce(
        self,
        target: str,
        moves: int = 0,
        incarnation: int = 1,
        lease_ms: int = LEASE_MS,
        state: records.State = records.State.READY,
    ) -> bool:
        """A target announces itself here; whether it is taken."""
        announcement = registry.Announcement(
            state=state,
            service="riders",
            address="http://127.0.0.1:1",
            incarnation=incarnation,
            moves=moves,
            lease_ms=lease_ms,
        )
        result = self.targets.announce(target, announcement, 3)
        self.spread()
        return result.is_ok()

    def spread(self) -> None:
        """Hands what changed here to gossip."""
        self.core.originate(self.targets.take_changes())

    def state(self, name: str) -> membership.State | None:
        """What this node believes of another."""
        found = self.members.members.get(name)
        return found.state if found else None

    def homes(self, target: str) -> str | None:
        """Where this node would send the target's work."""
        found = self.view.find_target(target)
        return found.home if found else None


PlaceOf = collections.abc.Callable[[str], tuple[str, str]]


def _one_zone(name: str) -> tuple[str, str]:
    return "andina", "andina-a"


@dataclasses.dataclass
class _Message:
    sender: str
    receiver: str
    payload: bytes
    link: bool


class Network:
    """A fleet whose messages can be lost, doubled, delayed and cut."""

    def __init__(
        self, names: list[str], seed: int = 1, place_of: PlaceOf = _one_zone
    ) -> None:
        self._place_of = place_of
        self.far_bytes = 0
        self.beside_bytes = 0
        self.clock = clocks.ManualClock()
        self.rng = random.Random(seed)
        self.nodes: dict[str, Member] = {}
        self.cut: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.doubled = 0.0
        self.largest = 0
        self.sent_bytes = 0
        self.link_frames = 0
        self._incarnations = 0
        self._contacts = tuple(f"{name}:1" for name in names)
        self._waiting: list[_Message] = []
        for name in names:
            self.start(name)

    def start(
        self, name: str, contacts: tuple[str, ...] | None = None
    ) -> Member:
        """Starts a node, or a new start of one."""
        self._incarnations += 1
        node = Member(
            name,
            self._incarnations,
            self.clock,
            self.rng,
            self._contacts if contacts is None else contacts,
            self._place_of(name),
        )
        node.core.join()
        self.nodes[name] = node
        return node

    def push(self, name: str) -> None:
        """Passes on what a node has changed, as it does at once."""
        self._send(name, self.nodes[name].core.push())

    def crash(self, name: str) -> None:
        """Ends a node without a word."""
        del self.nodes[name]

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        for _ in range(round(seconds / TICK.total_seconds())):
            self.clock.advance(TICK)
            self._deliver()
            for node in list(self.nodes.values()):
                if not node.paused:
                    node.targets.expire()
                    node.spread()
                    self._send(node.name, node.core.tick())
            # Answers within the round trip, as on a fast network.
            for _ in range(3):
                self._deliver()

    def agreed(self) -> bool:
        """Whether all nodes know the same."""
        return len({node.core.summary for node in self.nodes.values()}) == 1

    def leave(self, name: str) -> None:
        """Ends a node as planned."""
        node = self.nodes.pop(name)
        self._send(name, node.core.leave())

    def _send(self, sender: str, sends: list[gossip_messages.Send]) -> None:
        for item in sends:
            receiver = item.address.partition(":")[0]
            if isinstance(item.message, gossip_messages.Datagram):
                payload = datagrams.encode(item.message, b"k" * 16)
                self.largest = max(self.largest, len(payload))
                link = False
            else:
                payload = codec.encode_frame(states.frame_out(item.message))
                link = True
                self.link_frames += 1
            self.sent_bytes += len(payload)
            self._count_crossing(sender, receiver, len(payload))
            message = _Message(sender, receiver, payload, link)
            copies = 2 if self.rng.random() < self.doubled else 1
            if not link and self.rng.random() < self.loss:
                copies = 0
            self._waiting.extend([message] * copies)

    def _count_crossing(self, sender: str, receiver: str, size: int) -> None:
        here, there = self._place_of(sender), self._place_of(receiver)
        if here[0] != there[0]:
            self.far_bytes += size
        elif here != there:
            self.beside_bytes += size

    def _deliver(self) -> None:
        waiting, self._waiting = self._waiting, []
        self.rng.shuffle(waiting)
        for message in waiting:
            node = self.nodes.get(message.receiver)
            path = (message.sender, message.receiver)
            back = (message.receiver, message.sender)
            broken = path in self.cut or (message.link and back in self.cut)
            if node is None or broken:
                continue
            if node.paused:
                # A paused process keeps what its sockets hold.
                self._waiting.append(message)
                continue
            self._receive(node, message)

    def _receive(self, node: Member, message: _Message) -> None:
        if not message.link:
            datagram = datagrams.decode(message.payload, b"k" * 16)
            sends = node.core.receive(f"{message.sender}:1", datagram)
            self._send(node.name, sends)
        else:
            frame = states.frame_in(codec.decode_frame(message.payload[4:]))
            if isinstance(frame, gossip_messages.Pull):
                parts = [
                    gossip_messages.Send(frame.address, part)
                    for part in node.core.answer(frame)
                ]
                self._send(node.name, parts)
            else:
                self._send(node.name, node.core.receive_state(frame))
        for target, incarnation in node.core.take_left():
            node.targets.remember_left(target, incarnation)
        for record in node.core.take_heard():
            node.targets.give_up(record)
        node.spread()


def health_of(node: Member, target: str) -> records.Health | None:
    """What a node believes of a target's health."""
    found = node.view.find_target(target)
    return found.health if found else None
