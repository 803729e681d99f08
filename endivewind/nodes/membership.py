"""Which nodes are alive: the pure core; messages in, messages out.

Each node probes one other a second and, where that one does not answer, asks
others to probe it. A node that nobody reaches is suspect, and dead unless it
refutes in time. Records spread by gossip (gossip.py).
"""

import collections
import collections.abc
import dataclasses
import datetime
import enum
import itertools
import random

from endivewind import clock as clocks
from endivewind.nodes import view

PROBE_PERIOD = datetime.timedelta(seconds=1)
# Ten times the round trip between regions; a probe that takes longer is worth
# a second way.
DIRECT_TIMEOUT = datetime.timedelta(milliseconds=300)
PROBE_TIMEOUT = datetime.timedelta(milliseconds=900)
# Probes of the own zone for each one that crosses.
NEAR_PROBES = 3
# Enough that one-way loss on a third of the paths leaves a way in 26 of 27.
RELAYS = 3
# A suspicion reaches every node in under a second and the refutation comes
# back as fast; the rest is for a process that is busy or briefly paused.
SUSPICION_TIMEOUT = datetime.timedelta(seconds=4)
# By then most nodes have heard the refutation of a healthy one. Who has not
# asks the suspect itself, this often until the time is up.
ASK_AFTER = datetime.timedelta(seconds=2)
ASK_PERIOD = datetime.timedelta(milliseconds=500)
# A zone that fails leaves a hundred suspects; more at once would be a burst.
ASKS_PER_TICK = 4
# One dead or unknown address is tried this often. Two sides that were apart
# find each other again by it: hundreds of nodes try at once.
CONTACT_PERIOD = datetime.timedelta(seconds=10)
# A node that knows nobody yet tries several at once.
JOIN_TRIES = 3
# Pings under way for others; far above what RELAYS brings.
MAX_ERRANDS = 256
# Regions lose each other for an hour; dead nodes are remembered for longer, so
# that both sides still know whom to try.
DEAD_RETENTION = datetime.timedelta(hours=4)
# The core is called every 100 ms; a longer gap means a pause of this process.
PAUSE_LIMIT = datetime.timedelta(seconds=1)
# A node that fails to reach three others in a row, or three in four of its
# last probes, is more likely cut off itself. In a fleet of three there are not
# enough others to tell, and it never doubts.
DOUBT_WINDOW = 12
DOUBT_FAILURES = 9
DOUBT_MEMBERS = 3


class State(enum.IntEnum):
    """What is known of a node's life; the order decides between records."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRecord:
    """A node and its state, as gossip carries it.

    Attributes:
      node: the node; its incarnation is one start of it.
      refutation: raised by the node itself to deny a suspicion or its death.
      state: alive, suspect, dead or left.
    """

    node: view.NodeRecord
    refutation: int
    state: State

    @property
    def order(self) -> tuple[int, int, int]:
        """The higher of two records of one node wins."""
        return self.node.incarnation, self.refutation, self.state

    @property
    def usable(self) -> bool:
        """Whether work may go to the node's targets."""
        return self.state <= State.SUSPECT


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Asks a node to answer with the number.

    Attributes:
      address: the node's address.
      number: comes back in the answer.
      about: what this node believes of the other, where it is not alive; a
        node can refute only what it hears.
      contact: whether the other may not know this node.
    """

    address: str
    number: int
    about: MemberRecord | None = None
    contact: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Asks a node to ping another and to pass its answer on."""

    address: str
    number: int
    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Answers a ping, or passes on the answer to a relayed one."""

    address: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Spread:
    """A record that has changed here and that others should hear."""

    record: MemberRecord


@dataclasses.dataclass(frozen=True, slots=True)
class Forgotten:
    """A node that has been dead for so long that its records may go."""

    name: str


Output = Ping | Relay | Ack | Spread | Forgotten


@dataclasses.dataclass(slots=True)
class _Probe:
    member: str
    number: int
    started: datetime.timedelta
    relayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Outcome:
    member: str
    answered: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Errand:
    """A ping sent for another node."""

    address: str
    number: int
    started: datetime.timedelta


class Membership:
    """The nodes that this one knows, and its part in watching over them."""

    def __init__(
        self,
        me: view.NodeRecord,
        clock: clocks.Clock,
        rng: random.Random,
        contacts: collections.abc.Iterable[str] = (),
    ) -> None:
        """Starts knowing itself only.

        Args:
          me: this start of this node.
          clock: its monotonic time.
          rng: chooses whom to probe.
          contacts: addresses to try although no member is known there.
        """
        self._me = MemberRecord(me, 0, State.ALIVE)
        self._clock = clock
        self._rng = rng
        self._contacts = [item for item in contacts if item != me.address]
        self._members: dict[str, MemberRecord] = {me.name: self._me}
        self._changed_at: dict[str, datetime.timedelta] = {}
        self._asked: dict[str, datetime.timedelta] = {}
        self._round: list[str] = []
        self._probe: _Probe | None = None
        self._errands: dict[int, _Errand] = {}
        self._number = 0
        self._ticked = clock.monotonic()
        self._next_probe = clock.monotonic()
        self._next_contact = clock.monotonic()
        self._outcomes: collections.deque[_Outcome] = collections.deque(
            maxlen=DOUBT_WINDOW
        )
        self._superseded = False

    @property
    def me(self) -> MemberRecord:
        """This node's own record."""
        return self._me

    @property
    def members(self) -> collections.abc.Mapping[str, MemberRecord]:
        """Every node known, this one and the dead included."""
        return self._members

    @property
    def superseded(self) -> bool:
        """Whether a later start of this node's name has been heard of."""
        return self._superseded

    @property
    def doubtful(self) -> bool:
        """Whether this node reaches so few that it doubts itself.

        Without this a node behind a broken switch would spread suspicion of
        the whole fleet. While in doubt it accuses nobody, and keeps what it
        knows; its own work shows it which paths fail.
        """
        last = {
            item.member
            for item in itertools.takewhile(
                lambda item: not item.answered, reversed(self._outcomes)
            )
        }
        if len(last) >= DOUBT_MEMBERS:
            return True
        failed = [item.member for item in self._outcomes if not item.answered]
        enough = len(set(failed)) >= DOUBT_MEMBERS
        return enough and len(failed) >= DOUBT_FAILURES

    def peers(self) -> list[MemberRecord]:
        """Other nodes that may be alive."""
        return [
            item
            for item in self._members.values()
            if item.usable and item is not self._me
        ]

    def set_contacts(self, addresses: collections.abc.Iterable[str]) -> None:
        """Takes addresses to try although no member is known there."""
        mine = self._me.node.address
        self._contacts = [item for item in addresses if item != mine]
        if not self.peers():
            self._next_contact = self._clock.monotonic()

    def has_contacts(self) -> bool:
        """Whether any other node could be there to join."""
        return bool(self._contacts) or len(self._members) > 1

    def leave(self) -> list[Output]:
        """Tells that this node is leaving."""
        self._me = dataclasses.replace(self._me, state=State.LEFT)
        self._members[self._me.node.name] = self._me
        return [Spread(self._me)]

    def merge(self, record: MemberRecord) -> list[Output]:
        """Takes a record unless a higher one is known."""
        name = record.node.name
        if name == self._me.node.name:
            return self._refute(record)
        known = self._members.get(name)
        if known is not None and known.order >= record.order:
            return []
        if known is None and not record.usable:
            return []
        self._put(record)
        return [Spread(record)]

    def pinged(self, address: str, number: int) -> list[Output]:
        """A ping came."""
        return [Ack(address, number)]

    def relayed(self, address: str, number: int, member: str) -> list[Output]:
        """A node asks to ping another for it."""
        target = self._members.get(member)
        if target is None or len(self._errands) >= MAX_ERRANDS:
            return []
        own = self._next_number()
        now = self._clock.monotonic()
        self._errands[own] = _Errand(address, number, now)
        return [Ping(target.node.address, own)]

    def acked(self, number: int) -> list[Output]:
        """The answer to a ping came."""
        errand = self._errands.pop(number, None)
        if errand is not None:
            return [Ack(errand.address, errand.number)]
        probe = self._probe
        if probe is not None and probe.number == number:
            self._probe = None
            self._outcomes.append(_Outcome(probe.member, answered=True))
        return []

    def tick(self) -> list[Output]:
        """Runs the timers; call it about every 100 ms."""
        now = self._clock.monotonic()
        gap = now - self._ticked
        self._ticked = now
        if gap > PAUSE_LIMIT:
            self._resume(gap)
        output = self._judge(now)
        output.extend(self._expire(now))
        output.extend(self._ask_suspects(now))
        if now >= self._next_contact:
            self._next_contact = now + CONTACT_PERIOD
            output.extend(self._contact())
        if now >= self._next_probe and self._probe is None:
            self._next_probe = now + PROBE_PERIOD
            output.extend(self._start(now))
        return output

    def _resume(self, gap: datetime.timedelta) -> None:
        """Forgets what this node missed while it was paused.

        Its probes ran out and its suspicions ripened while nobody could
        answer it. Without this a resumed node would evict healthy ones.
        """
        self._probe = None
        self._errands.clear()
        for name in self._changed_at:
            self._changed_at[name] += gap

    def _judge(self, now: datetime.timedelta) -> list[Output]:
        """Follows the probe that is out: a second way, then the verdict."""
        old = [
            number
            for number, errand in self._errands.items()
            if now - errand.started > PROBE_TIMEOUT
        ]
        for number in old:
            del self._errands[number]
        probe = self._probe
        if probe is None:
            return []
        waited = now - probe.started
        if waited >= PROBE_TIMEOUT:
            self._probe = None
            self._outcomes.append(_Outcome(probe.member, answered=False))
            return self._accuse(probe.member)
        if waited >= DIRECT_TIMEOUT and not probe.relayed:
            probe.relayed = True
            return self._ask_relays(probe)
        return []

    def _ask_relays(self, probe: _Probe) -> list[Output]:
        others = [
            item
            for item in self.peers()
            if item.node.name != probe.member and item.state is State.ALIVE
        ]
        chosen = self._rng.sample(others, min(RELAYS, len(others)))
        return [
            Relay(item.node.address, probe.number, probe.member)
            for item in chosen
        ]

    def _accuse(self, name: str) -> list[Output]:
        known = self._members.get(name)
        if self.doubtful or known is None or known.state is not State.ALIVE:
            return []
        suspect = dataclasses.replace(known, state=State.SUSPECT)
        self._put(suspect)
        return [Spread(suspect)]

    def _expire(self, now: datetime.timedelta) -> list[Output]:
        """Ends suspicions that nobody refuted, and forgets the long dead."""
        output: list[Output] = []
        for name, since in list(self._changed_at.items()):
            known = self._members[name]
            if known.state is State.SUSPECT:
                if now - since < SUSPICION_TIMEOUT or self.doubtful:
                    continue
                dead = dataclasses.replace(known, state=State.DEAD)
                self._put(dead)
                output.append(Spread(dead))
            elif now - since > DEAD_RETENTION:
                del self._members[name]
                del self._changed_at[name]
                output.append(Forgotten(name))
        return output

    def _ask_suspects(self, now: datetime.timedelta) -> list[Output]:
        """Asks those whose suspicion has been refuted by nobody for a while.

        Failure: datagrams are lost, and the refutation of a healthy node does
        not come here before the suspicion ends. Symptom: this node evicts it,
        tells the fleet, and its targets lose their work for some seconds. The
        suspect answers such a question with its refutation, at once.
        """
        due = [
            name
            for name, since in self._changed_at.items()
            if self._members[name].state is State.SUSPECT
            and now - since >= ASK_AFTER
            and now - self._asked.get(name, since) >= ASK_PERIOD
        ]
        output: list[Output] = []
        for name in due[:ASKS_PER_TICK]:
            self._asked[name] = now
            known = self._members[name]
            number = self._next_number()
            output.append(Ping(known.node.address, number, known))
        return output

    def _start(self, now: datetime.timedelta) -> list[Output]:
        """Probes the next node of a shuffled round: all, each once."""
        while True:
            if not self._round:
                self._round = self._next_round()
            if not self._round:
                return []
            known = self._members.get(self._round.pop())
            if known is not None and known.usable:
                break
        number = self._next_number()
        self._probe = _Probe(known.node.name, number, now)
        about = known if known.state is State.SUSPECT else None
        return [Ping(known.node.address, number, about)]

    def _next_round(self) -> list[str]:
        """Whom to probe next: those of the own zone more often than others.

        Bytes between zones are paid for, and a dead node is found by its
        neighbours as well as by others; what parts zones is found by the
        probes that cross.
        """
        peers = [item.node for item in self.peers()]
        zone = self._me.node.zone
        near = [node.name for node in peers if node.zone == zone]
        far = [node.name for node in peers if node.zone != zone]
        crossing = max(1, len(near) // NEAR_PROBES) if near else len(far)
        chosen = near + self._rng.sample(far, min(len(far), crossing))
        self._rng.shuffle(chosen)
        return chosen

    def _contact(self) -> list[Output]:
        """Tries an address that may have come back."""
        peers = {item.node.address for item in self.peers()}
        absent: dict[str, MemberRecord | None] = {
            item: None for item in self._contacts if item not in peers
        }
        for item in self._members.values():
            if item.state is State.DEAD:
                absent[item.node.address] = item
        tries = 1
        if not peers:
            # Alone: nothing else to do than to find the fleet.
            self._next_contact = self._clock.monotonic() + PROBE_PERIOD
            tries = JOIN_TRIES
        chosen = self._rng.sample(list(absent), min(len(absent), tries))
        return [
            Ping(address, self._next_number(), absent[address], contact=True)
            for address in chosen
        ]

    def _refute(self, record: MemberRecord) -> list[Output]:
        mine = self._me
        if record.node.incarnation > mine.node.incarnation:
            self._superseded = True
            return []
        if record.order <= mine.order or mine.state is State.LEFT:
            return []
        self._me = dataclasses.replace(
            mine, refutation=record.refutation + 1, state=State.ALIVE
        )
        self._members[self._me.node.name] = self._me
        return [Spread(self._me)]

    def _put(self, record: MemberRecord) -> None:
        name = record.node.name
        self._members[name] = record
        self._asked.pop(name, None)
        if record.state is State.ALIVE:
            self._changed_at.pop(name, None)
        else:
            self._changed_at[name] = self._clock.monotonic()

    def _next_number(self) -> int:
        # Thrift's i32; a fresh number is never 0, which stands for none.
        self._number = self._number % (2**31 - 1) + 1
        return self._number
