"""Spreads member records and target changes: the pure core.

News is pushed to a few random nodes in small datagrams. What a node misses,
it finds by a summary that every datagram carries, and repairs over a link.
"""

import collections.abc
import dataclasses
import datetime
import random

from endivewind import clock as clocks
from endivewind.decisions import peer_updates
from endivewind.nodes import changes
from endivewind.nodes import codec
from endivewind.nodes import gossip_messages as messages
from endivewind.nodes import membership
from endivewind.nodes import repair
from endivewind.nodes import transmission
from endivewind.nodes import view
from endivewind.targets import records

# Each tick sends at most FAN_OUT datagrams, so that gossip costs a node no
# more than FAN_OUT * MAX_DATAGRAM * 10 = 48 KB a second, whatever happens.
FAN_OUT = 4
# Traffic between regions and between zones is paid for. A change comes into
# each zone about so many times from others, and as often into each region:
# one in 400 then gets into a zone by repair only, some seconds later. Within
# the zone it is passed on for free.
INBOUND = 6
# The rest stays near, also where a zone has a node or two only.
MOST_CROSSING = 1 / 2
# When a whole fleet restarts, nobody has a state to hand on. Pulls must end
# then as well, or every node would ask every other for ever, and callers
# would wait for a fleet of which every node waits for the others.
JOIN_LIMIT = datetime.timedelta(seconds=1)


class Gossip:
    """One node's part in spreading what the fleet knows."""

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
        self._queue = transmission.ChangeQueue()
        self._repair = repair.Repair(members, fleet, clock, rng)
        self._heard: list[records.TargetRecord] = []
        self._turns: list[membership.MemberRecord] = []
        self._started = clock.monotonic()
        self._joined = True
        self._has_state = False
        self._left: list[tuple[str, int]] = []
        for record in members.members.values():
            self._apply(record)

    @property
    def joined(self) -> bool:
        """Whether a peer's whole state has come, or none can be had."""
        if self._joined or not self._members.has_contacts():
            return True
        return self._clock.monotonic() - self._started > JOIN_LIMIT

    @property
    def has_state(self) -> bool:
        """Whether a peer's whole state has come since this start joined."""
        return self._has_state

    @property
    def summary(self) -> int:
        """Digest of all that this node knows; equal when nodes agree."""
        return self._repair.summary

    @property
    def queued(self) -> int:
        """Changes still to be passed on."""
        return len(self._queue)

    def take_heard(self) -> list[records.TargetRecord]:
        """Records of other homes that have come since the last call."""
        heard, self._heard = self._heard, []
        return heard

    def take_left(self) -> list[tuple[str, int]]:
        """Targets that have left an earlier start of this node."""
        left, self._left = self._left, []
        return left

    def take_turns(self) -> list[membership.MemberRecord]:
        """Members whose record has changed since the last call."""
        turns, self._turns = self._turns, []
        return turns

    def originate(
        self, made: collections.abc.Iterable[records.TargetChange]
    ) -> None:
        """Takes changes that this node made to its own targets."""
        for change in made:
            if self._view.put_change(change):
                self._enqueue(change)
        self._repair.refresh(self._members.me.node.name)

    def join(self) -> None:
        """Lets others know of this start, and asks one for its whole state."""
        self._started = self._clock.monotonic()
        self._joined = False
        self.introduce()

    def introduce(self) -> None:
        """Lets others know of this start."""
        self._enqueue(self._members.me)

    def leave(self) -> list[messages.Send]:
        """Tells a few nodes at once that this one is leaving."""
        self._run(self._members.leave(), None)
        return self.push()

    def tell(self, news: peer_updates.PeerUpdate) -> list[messages.Send]:
        """Tells the nodes of this zone, and what they share to the region.

        Ways go to one node of the zone, and from there to the next.
        """
        me = self._members.me.node
        peers = self._members.peers()
        region = [item for item in peers if item.node.region == me.region]
        zone = [item for item in region if item.node.zone == me.zone]
        sends = []
        if news.ingress_routes:
            ways = peer_updates.PeerUpdate(ingress_routes=news.ingress_routes)
            sends = [self._news(item, ways) for item in self._some(zone, 1)]
            news = dataclasses.replace(news, ingress_routes=())
        if news:
            sends.extend(
                self._news(item, news)
                for item in self._some(zone, peer_updates.MAX_PEERS)
            )
        if news.retry_usages and peer_updates.shares_retries_in_region(
            len(region)
        ):
            tallies = peer_updates.PeerUpdate(retry_usages=news.retry_usages)
            sends.extend(
                self._news(item, tallies)
                for item in region
                if item.node.zone != me.zone
            )
        return sends

    def _news(
        self, to: membership.MemberRecord, news: peer_updates.PeerUpdate
    ) -> messages.Send:
        me = self._members.me.node.name
        return messages.Send(
            to.node.address, messages.Datagram(me, self.summary, news=news)
        )

    def tick(self) -> list[messages.Send]:
        """Runs the timers; call it about every 100 ms."""
        sends = self._run(self._members.tick(), None)
        sends.extend(self.push())
        return sends

    def receive(
        self, address: str, message: messages.Datagram
    ) -> list[messages.Send]:
        """Takes a datagram; what is wrong in it is passed over."""
        before = self._members.me
        for payload in message.changes:
            self._take(payload)
        known = self._members.members.get(message.sender)
        stranger = known is None or not known.usable
        refuted = self._members.me is not before
        extra: tuple[bytes, ...] = ()
        asked = bool(message.ping) and self._is_doubted(message.changes)
        if stranger or refuted or asked:
            extra = (changes.encode(self._members.me),)
        output: list[membership.Output] = []
        if message.ping and message.relay:
            output.extend(
                self._members.relayed(address, message.ping, message.relay)
            )
        elif message.ping:
            output.extend(self._members.pinged(address, message.ping))
        if message.ack:
            output.extend(self._members.acked(message.ack))
        sends = self._run(output, extra)
        if refuted and not message.ping:
            sends.append(messages.Send(address, self._datagram(changes=extra)))
        sends.extend(
            self._repair.compare(
                self._link_address(address, message),
                message,
                joined=self.joined,
            )
        )
        return sends

    def _is_doubted(self, payloads: tuple[bytes, ...]) -> bool:
        """Whether a ping brings a doubt in this node, old or new.

        An old one was refuted long ago, but the sender has not heard it.
        """
        me = self._members.me.node.name
        for payload in payloads:
            try:
                change = changes.decode(payload)
            except codec.FrameError:
                continue
            if isinstance(change, membership.MemberRecord):
                alive = change.state is membership.State.ALIVE
                if change.node.name == me and not alive:
                    return True
        return False

    def _link_address(self, address: str, message: messages.Datagram) -> str:
        """Where the sender takes links: what it tells, else where it is."""
        known = self._members.members.get(message.sender)
        return address if known is None else known.node.address

    def receive_state(self, state: messages.FleetState) -> list[messages.Send]:
        """Takes part of another node's state."""
        for member in state.members:
            self._merge(member, pass_on=False)
        for home in state.homes:
            self._take_home(home)
        self._left.extend(state.left)
        self._joined = self._joined or state.last
        self._has_state = self._has_state or state.last
        return []

    def answer(
        self, pull: messages.Pull
    ) -> collections.abc.Iterator[messages.FleetState]:
        """What a pull asks for, in parts of bounded size."""
        return self._repair.answer(pull, joined=self.joined)

    def _take(self, payload: bytes) -> None:
        try:
            change = changes.decode(payload)
        except codec.FrameError:
            return
        match change:
            case membership.MemberRecord():
                self._merge(change, pass_on=True)
            case records.TargetChange():
                self._take_target(change, payload)
            case _:
                return

    def _take_target(
        self, change: records.TargetChange, payload: bytes
    ) -> None:
        record = change.record
        me = self._members.me.node
        if record.home == me.name:
            return
        if not self._view.put_change(change):
            return
        self._queue.put(_target_key(record), payload)
        self._repair.refresh(record.home)
        if not change.is_removal:
            self._heard.append(record)

    def _take_home(self, home: view.HomeState) -> None:
        if home.home == self._members.me.node.name:
            return
        taken = self._view.put_home_state(
            home.home,
            home.version.incarnation,
            home.version.sequence,
            home.targets,
        )
        if taken:
            self._repair.refresh(home.home)
            self._heard.extend(home.targets)

    def _merge(self, record: membership.MemberRecord, *, pass_on: bool) -> None:
        for output in self._members.merge(record):
            if isinstance(output, membership.Spread):
                mine = output.record.node.name == self._members.me.node.name
                self._apply(output.record)
                if pass_on or mine:
                    self._enqueue(output.record)

    def _spread(self, record: membership.MemberRecord) -> None:
        self._apply(record)
        self._enqueue(record)

    def _apply(self, record: membership.MemberRecord) -> None:
        self._turns.append(record)
        mine = record.node.name == self._members.me.node.name
        if record.usable or mine:
            # A node that is leaving keeps its own targets to the end.
            self._view.put_node(record.node)
        else:
            self._view.remove_node(record.node.name)
        self._repair.refresh(record.node.name)

    def _enqueue(self, change: changes.Change) -> None:
        payload = changes.encode(change)
        if isinstance(change, records.TargetChange):
            self._queue.put(_target_key(change.record), payload)
        else:
            node = change.node
            kind = -int(change.state)
            key = (node.name, node.incarnation, change.refutation, kind)
            self._queue.put(key, payload)

    def _run(
        self,
        output: collections.abc.Iterable[membership.Output],
        extra: tuple[bytes, ...] | None,
    ) -> list[messages.Send]:
        sends: list[messages.Send] = []
        for item in output:
            match item:
                case membership.Spread(record):
                    self._spread(record)
                case membership.Forgotten(name):
                    self._view.remove_home(name)
                    self._repair.forget(name)
                case membership.Ping():
                    sends.append(self._ping(item))
                case membership.Relay(address, number, member):
                    datagram = self._datagram(ping=number, relay=member)
                    sends.append(messages.Send(address, datagram))
                case membership.Ack(address, number):
                    datagram = self._datagram(ack=number, changes=extra or ())
                    sends.append(messages.Send(address, datagram))
        return sends

    def _ping(self, ping: membership.Ping) -> messages.Send:
        extra: tuple[bytes, ...] = ()
        if ping.about is not None:
            extra = (changes.encode(ping.about),)
        if ping.contact:
            extra = (*extra, changes.encode(self._members.me))
        datagram = self._datagram(ping=ping.number, changes=extra)
        return messages.Send(ping.address, datagram)

    def _datagram(
        self,
        *,
        ping: int = 0,
        ack: int = 0,
        relay: str = "",
        changes: tuple[bytes, ...] = (),
    ) -> messages.Datagram:
        room = repair.ROOM - sum(len(item) + 4 for item in changes)
        return messages.Datagram(
            self._members.me.node.name,
            self.summary,
            ping=ping,
            ack=ack,
            relay=relay,
            changes=changes + self._queue.take(room, len(self._view.nodes)),
        )

    def push(self) -> list[messages.Send]:
        """Passes on what is queued to a few others."""
        if not len(self._queue):
            return []
        return [
            messages.Send(item.node.address, self._datagram())
            for item in self._listeners()
            if len(self._queue)
        ]

    def _listeners(self) -> list[membership.MemberRecord]:
        """Whom to push to: mostly the own zone, for the price of crossing."""
        me = self._members.me.node
        zone: list[membership.MemberRecord] = []
        region: list[membership.MemberRecord] = []
        far: list[membership.MemberRecord] = []
        for item in self._members.peers():
            if item.node.zone == me.zone:
                zone.append(item)
            elif item.node.region == me.region:
                region.append(item)
            else:
                far.append(item)
        pushes = transmission.transmits_of(
            len(zone) + len(region) + len(far) + 1
        )
        zones = len({item.node.zone for item in region}) + 1
        sent_here = (len(zone) + len(region) + 1) * pushes
        to_far = INBOUND / sent_here if far else 0
        to_region = INBOUND * zones / sent_here if region else 0
        crossing = self._count(FAN_OUT, min(to_far, MOST_CROSSING))
        beside = self._count(FAN_OUT - crossing, min(to_region, MOST_CROSSING))
        if not zone:
            beside = min(FAN_OUT - crossing, len(region))
        return [
            *self._some(zone, FAN_OUT - crossing - beside),
            *self._some(region, beside),
            *self._some(far, crossing),
        ]

    def _count(self, draws: int, share: float) -> int:
        """How many of some draws hit, each with the same chance."""
        return sum(self._rng.random() < share for _ in range(draws))

    def _some(
        self, members: list[membership.MemberRecord], count: int
    ) -> list[membership.MemberRecord]:
        return self._rng.sample(members, min(len(members), count))


def _target_key(record: records.TargetRecord) -> transmission.Key:
    return (record.home, record.home_incarnation, record.sequence, 1)
