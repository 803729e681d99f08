"""Spreads member records and target changes: the pure core.

News is pushed to a few random nodes in small datagrams. What a node misses,
it finds by a summary that every datagram carries, and repairs over a link.
"""

import collections.abc
import dataclasses
import datetime
import random

from endivewind import clock as clocks
from endivewind.decisions import telling
from endivewind.nodes import changes
from endivewind.nodes import codec
from endivewind.nodes import digests
from endivewind.nodes import membership
from endivewind.nodes import transmission
from endivewind.nodes import view
from endivewind.targets import records

# Fits every path's MTU, with room for the headers and the signature.
MAX_DATAGRAM = 1200
_OVERHEAD = 160
CHANGE_ROOM = MAX_DATAGRAM - _OVERHEAD
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
# When a whole fleet restarts, nobody has a state to hand on. Pulls must end
# then as well, or every node would ask every other for ever, and callers
# would wait for a fleet of which every node waits for the others.
JOIN_LIMIT = datetime.timedelta(seconds=1)
HOMES_PER_FRAME = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Datagram:
    """One datagram of gossip.

    Attributes:
      sender: name of the sender.
      summary: digest of all that the sender knows.
      ping: number to answer; 0 for none.
      ack: number answered; 0 for none.
      relay: the node to ping for the sender; empty for none.
      changes: encoded changes.
      buckets: digests of the sender's records by bucket.
      compared: the buckets that versions covers in full.
      versions: the sender's versions in those buckets.
      news: for the nodes of the sender's zone.
    """

    sender: str
    summary: int
    ping: int = 0
    ack: int = 0
    relay: str = ""
    changes: tuple[bytes, ...] = ()
    buckets: tuple[int, ...] = ()
    compared: tuple[int, ...] = ()
    versions: tuple[digests.Version, ...] = ()
    news: telling.News = telling.NO_NEWS


@dataclasses.dataclass(frozen=True, slots=True)
class FleetState:
    """Part of what the sender knows.

    Attributes:
      sender: the node that answers.
      members: nodes that it knows.
      homes: their targets.
      last: whether this ends the answer to a pull.
      left: targets of the asking node, with their starts, that have told an
        earlier start of it that they leave.
    """

    sender: str
    members: tuple[membership.MemberRecord, ...]
    homes: tuple[view.HomeState, ...]
    last: bool = False
    left: tuple[tuple[str, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Pull:
    """Asks for some nodes' records; names empty asks for all."""

    sender: str
    address: str
    names: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """A message to send: datagrams by UDP, the rest by a link."""

    address: str
    message: Datagram | FleetState | Pull


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
        self._digests = digests.Digests()
        self._heard: list[records.TargetRecord] = []
        self._turns: list[membership.MemberRecord] = []
        self._started = clock.monotonic()
        self._changed_at = clock.monotonic()
        self._last_repair = clock.monotonic() - REPAIR_PERIOD
        self._last_pull = clock.monotonic() - PULL_PERIOD
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
        return self._digests.summary

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
        self._refresh(self._members.me.node.name)

    def join(self) -> None:
        """Lets others know of this start, and asks one for its whole state."""
        self._started = self._clock.monotonic()
        self._joined = False
        self.introduce()

    def introduce(self) -> None:
        """Lets others know of this start."""
        self._enqueue(self._members.me)

    def leave(self) -> list[Send]:
        """Tells a few nodes at once that this one is leaving."""
        self._run(self._members.leave(), None)
        return self.push()

    def tell(self, news: telling.News) -> list[Send]:
        """Tells the nodes of this zone, and what they share to the region.

        Ways go to one node of the zone, and from there to the next.
        """
        me = self._members.me.node
        peers = self._members.peers()
        region = [item for item in peers if item.node.region == me.region]
        zone = [item for item in region if item.node.zone == me.zone]
        sends = []
        if news.ways:
            ways = telling.News(ways=news.ways)
            sends = [self._news(item, ways) for item in self._some(zone, 1)]
            news = dataclasses.replace(news, ways=())
        if news:
            sends.extend(
                self._news(item, news)
                for item in self._some(zone, telling.HEARERS)
            )
        if news.tallies and telling.shares_region(len(region)):
            tallies = telling.News(tallies=news.tallies)
            sends.extend(
                self._news(item, tallies)
                for item in region
                if item.node.zone != me.zone
            )
        return sends

    def _news(self, to: membership.MemberRecord, news: telling.News) -> Send:
        me = self._members.me.node.name
        return Send(to.node.address, Datagram(me, self.summary, news=news))

    def tick(self) -> list[Send]:
        """Runs the timers; call it about every 100 ms."""
        sends = self._run(self._members.tick(), None)
        sends.extend(self.push())
        return sends

    def receive(self, address: str, message: Datagram) -> list[Send]:
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
            sends.append(Send(address, self._datagram(changes=extra)))
        sends.extend(
            self._compare(self._link_address(address, message), message)
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

    def _link_address(self, address: str, message: Datagram) -> str:
        """Where the sender takes links: what it tells, else where it is."""
        known = self._members.members.get(message.sender)
        return address if known is None else known.node.address

    def receive_state(self, state: FleetState) -> list[Send]:
        """Takes part of another node's state."""
        for member in state.members:
            self._merge(member, pass_on=False)
        for home in state.homes:
            self._take_home(home)
        self._left.extend(state.left)
        self._joined = self._joined or state.last
        self._has_state = self._has_state or state.last
        return []

    def answer(self, pull: Pull) -> collections.abc.Iterator[FleetState]:
        """What a pull asks for, in parts of bounded size."""
        me = self._members.me.node.name
        names = pull.names or tuple(self._members.members)
        for start in range(0, len(names), HOMES_PER_FRAME):
            part = names[start : start + HOMES_PER_FRAME]
            last = start + HOMES_PER_FRAME >= len(names)
            state = self._state(me, part, last=last and self.joined)
            left = tuple(self._view.left(pull.sender).items())
            yield dataclasses.replace(state, left=left) if last else state

    def _state(
        self, me: str, names: collections.abc.Iterable[str], *, last: bool
    ) -> FleetState:
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
        return FleetState(me, tuple(members), tuple(homes), last)

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
        self._refresh(record.home)
        if not change.gone:
            self._heard.append(record)

    def _take_home(self, home: view.HomeState) -> None:
        if home.home == self._members.me.node.name:
            return
        taken = self._view.put_home(
            home.home,
            home.version.incarnation,
            home.version.sequence,
            home.targets,
        )
        if taken:
            self._refresh(home.home)
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
        self._refresh(record.node.name)

    def _enqueue(self, change: changes.Change) -> None:
        payload = changes.encode(change)
        if isinstance(change, records.TargetChange):
            self._queue.put(_target_key(change.record), payload)
        else:
            node = change.node
            kind = -int(change.state)
            key = (node.name, node.incarnation, change.refutation, kind)
            self._queue.put(key, payload)

    def _refresh(self, name: str) -> None:
        before = self._digests.summary
        self._digests.put(name, self._version(name))
        if self._digests.summary != before:
            self._changed_at = self._clock.monotonic()

    def _version(self, name: str) -> digests.Version | None:
        member = self._members.members.get(name)
        if member is None or not member.usable:
            return None
        return digests.Version(
            name, member.order, self._view.home_version(name)
        )

    def _run(
        self,
        output: collections.abc.Iterable[membership.Output],
        extra: tuple[bytes, ...] | None,
    ) -> list[Send]:
        sends: list[Send] = []
        for item in output:
            match item:
                case membership.Spread(record):
                    self._spread(record)
                case membership.Forgotten(name):
                    self._view.remove_home(name)
                    self._digests.put(name, None)
                case membership.Ping():
                    sends.append(self._ping(item))
                case membership.Relay(address, number, member):
                    datagram = self._datagram(ping=number, relay=member)
                    sends.append(Send(address, datagram))
                case membership.Ack(address, number):
                    datagram = self._datagram(ack=number, changes=extra or ())
                    sends.append(Send(address, datagram))
        return sends

    def _ping(self, ping: membership.Ping) -> Send:
        extra: tuple[bytes, ...] = ()
        if ping.about is not None:
            extra = (changes.encode(ping.about),)
        if ping.contact:
            extra = (*extra, changes.encode(self._members.me))
        datagram = self._datagram(ping=ping.number, changes=extra)
        return Send(ping.address, datagram)

    def _datagram(
        self,
        *,
        ping: int = 0,
        ack: int = 0,
        relay: str = "",
        changes: tuple[bytes, ...] = (),
    ) -> Datagram:
        room = CHANGE_ROOM - sum(len(item) + 4 for item in changes)
        return Datagram(
            self._members.me.node.name,
            self.summary,
            ping=ping,
            ack=ack,
            relay=relay,
            changes=changes + self._queue.take(room, len(self._view.nodes)),
        )

    def push(self) -> list[Send]:
        """Passes on what is queued to a few others."""
        if not len(self._queue):
            return []
        return [
            Send(item.node.address, self._datagram())
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

    def _compare(self, address: str, message: Datagram) -> list[Send]:
        if message.buckets:
            return self._compare_buckets(address, message.buckets)
        if message.compared:
            return self._compare_versions(address, message)
        if message.summary == self.summary:
            return []
        now = self._clock.monotonic()
        if not self.joined and now - self._last_pull >= PULL_PERIOD:
            self._last_pull = now
            return [Send(address, self._pull(()))]
        settled = now - self._changed_at >= REPAIR_PERIOD
        period = REPAIR_PERIOD if settled else BUSY_REPAIR_PERIOD
        if now - self._last_repair < period:
            return []
        self._last_repair = now
        me = self._members.me.node.name
        buckets = self._digests.buckets
        return [Send(address, Datagram(me, self.summary, buckets=buckets))]

    def _pull(self, names: tuple[str, ...]) -> Pull:
        node = self._members.me.node
        return Pull(node.name, node.address, names)

    def _compare_buckets(
        self, address: str, theirs: tuple[int, ...]
    ) -> list[Send]:
        mine = self._digests.buckets
        if len(theirs) != len(mine):
            return []
        differing = [
            index
            for index in range(digests.BUCKETS)
            if mine[index] != theirs[index]
        ]
        sends: list[Send] = []
        now = self._clock.monotonic()
        whole = len(differing) >= WHOLE_BUCKETS
        if whole and now - self._last_pull >= PULL_PERIOD:
            self._last_pull = now
            sends.append(Send(address, self._pull(())))
        self._rng.shuffle(differing)
        sends.extend(
            Send(address, item) for item in self._version_datagrams(differing)
        )
        return sends

    def _version_datagrams(self, differing: list[int]) -> list[Datagram]:
        found: list[Datagram] = []
        compared: list[int] = []
        versions: list[digests.Version] = []
        room = CHANGE_ROOM
        me = self._members.me.node.name
        for index in differing:
            names = self._digests.names(index)
            more = [item for name in names if (item := self._version(name))]
            size = 8 + sum(_version_size(item) for item in more)
            if size > room and compared:
                found.append(
                    Datagram(
                        me,
                        self.summary,
                        compared=tuple(compared),
                        versions=tuple(versions),
                    )
                )
                compared, versions, room = [], [], CHANGE_ROOM
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
            found.append(
                Datagram(
                    me,
                    self.summary,
                    compared=tuple(compared),
                    versions=tuple(versions),
                )
            )
        return found

    def _compare_versions(self, address: str, message: Datagram) -> list[Send]:
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
        sends: list[Send] = []
        if wanted:
            sends.append(Send(address, self._pull(tuple(wanted))))
        me = self._members.me.node.name
        for start in range(0, len(offered), HOMES_PER_FRAME):
            part = offered[start : start + HOMES_PER_FRAME]
            sends.append(Send(address, self._state(me, part, last=False)))
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


def _target_key(record: records.TargetRecord) -> transmission.Key:
    return (record.home, record.home_incarnation, record.sequence, 1)


def _version_size(version: digests.Version) -> int:
    # Six fields of three bytes, five numbers, the name and the list's share.
    return len(version.name) + 60
