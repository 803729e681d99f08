"""SWIM membership: detects which nodes are alive.

Each node pings one other node per second and, if that does not respond, asks
others to ping it. A node that can't be reached either way becomes suspect, and
dead unless it refutes the suspicion in time. Gossip disseminates the records.
Pure: no I/O; methods return the messages to send.
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
# Time without an acknowledgement after which indirect probes are requested.
# About five round trips between regions.
DIRECT_PROBE_TIMEOUT = datetime.timedelta(milliseconds=300)
PROBE_TIMEOUT = datetime.timedelta(milliseconds=900)
# Probes within the own zone for each probe of another zone.
LOCAL_PROBES_PER_REMOTE = 3
# Number of nodes asked to ping a node that does not respond. If a third of the
# paths lose datagrams in one direction, one of three still gets through in 26
# of 27 cases.
INDIRECT_PROBES = 3
# A suspicion reaches all nodes in less than a second, and so does the
# refutation. The rest is a margin for a process that is busy or briefly paused.
SUSPICION_TIMEOUT = datetime.timedelta(seconds=4)
# After this time most nodes have received the refutation of a healthy suspect.
# The others ping the suspect themselves, once per SUSPECT_PING_PERIOD until
# the suspicion ends.
SUSPECT_PING_DELAY = datetime.timedelta(seconds=2)
SUSPECT_PING_PERIOD = datetime.timedelta(milliseconds=500)
# Limits the burst of pings when a failed zone leaves a hundred suspects.
MAX_SUSPECT_PINGS_PER_TICK = 4
# Interval at which a node pings one random dead member or contact address. By
# these pings the two sides of a partition find each other again when it ends.
# The interval can be long because hundreds of nodes send them.
CONTACT_PERIOD = datetime.timedelta(seconds=10)
# Number of addresses that a node without any peer pings at once.
JOIN_CONTACTS = 3
# Pending pings on behalf of other nodes; far more than INDIRECT_PROBES causes.
MAX_RELAYED_PINGS = 256
# Dead members are kept for longer than a partition between regions lasts, which
# may be an hour, so that both sides know which addresses to ping.
DEAD_RETENTION = datetime.timedelta(hours=4)
# tick() is called every 100 ms; a longer gap means that the process was paused.
MAX_TICK_GAP = datetime.timedelta(seconds=1)
# A node takes itself for isolated in two cases: its latest probes all failed
# and were of three or more nodes, or at least nine of its last twelve probes
# failed, and the failed ones were of three or more nodes. In a fleet of three
# nodes each has only two others, so none ever takes itself for isolated.
ISOLATION_WINDOW_PROBES = 12
MIN_ISOLATION_FAILURES = 9
MIN_ISOLATION_MEMBERS = 3


class State(enum.IntEnum):
    """State of a member.

    LEFT: it has announced its shutdown. Of two records with equal incarnation
    and refutation, the one with the higher state wins.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRecord:
    """A node and its state, as disseminated by gossip.

    Attributes:
      node: the node, with its incarnation.
      refutation: counter that only the node itself raises, to refute a record
        that says it is suspect or dead.
      state: alive, suspect, dead or left.
    """

    node: view.NodeRecord
    refutation: int
    state: State

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Sort key; of two records of a node, the higher one wins."""
        return self.node.incarnation, self.refutation, self.state

    @property
    def is_usable(self) -> bool:
        """Whether requests may be sent to the node's targets."""
        return self.state <= State.SUSPECT


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Asks a node for an acknowledgement.

    Attributes:
      address: the node's address.
      number: returned in the acknowledgement.
      record_to_refute: the pinged node's record if its state is not alive.
        The node can refute only a record that it receives.
      is_introduction: whether the pinged node may not know this node yet.
    """

    address: str
    number: int
    record_to_refute: MemberRecord | None = None
    is_introduction: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks a node to ping another one and to forward the acknowledgement.

    Attributes:
      address: address of the node that is asked.
      number: returned in the acknowledgement.
      member: name of the node to ping.
    """

    address: str
    number: int
    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Acknowledges a ping, or forwards the acknowledgement of a relayed one."""

    address: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Disseminate:
    """Disseminates a record that has changed on this node."""

    record: MemberRecord


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRemoved:
    """A dead member was removed; its targets and digest have to go, too."""

    name: str


Output = Ping | PingRequest | Ack | Disseminate | MemberRemoved


@dataclasses.dataclass(slots=True)
class _Probe:
    member: str
    number: int
    started: datetime.timedelta
    has_requested_pings: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _ProbeResult:
    member: str
    is_acknowledged: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _RelayedPing:
    """A pending ping on behalf of another node."""

    address: str
    number: int
    started: datetime.timedelta


class Membership:
    """The members known to a node, and its failure detector."""

    def __init__(
        self,
        me: view.NodeRecord,
        clock: clocks.Clock,
        rng: random.Random,
        contacts: collections.abc.Iterable[str] = (),
    ) -> None:
        """Initializes a membership that contains only this node.

        Args:
          me: this node, with its incarnation.
          clock: source of monotonic time.
          rng: chooses the nodes to probe.
          contacts: addresses to ping even if no member with them is known.
        """
        self._me = MemberRecord(me, 0, State.ALIVE)
        self._clock = clock
        self._rng = rng
        self._contacts = [item for item in contacts if item != me.address]
        self._members: dict[str, MemberRecord] = {me.name: self._me}
        self._not_alive_since: dict[str, datetime.timedelta] = {}
        self._suspect_pinged_at: dict[str, datetime.timedelta] = {}
        self._probe_round: list[str] = []
        self._probe: _Probe | None = None
        self._relayed_pings: dict[int, _RelayedPing] = {}
        self._last_number = 0
        self._last_tick = clock.monotonic()
        self._next_probe = clock.monotonic()
        self._next_contact = clock.monotonic()
        self._probe_results: collections.deque[_ProbeResult] = (
            collections.deque(maxlen=ISOLATION_WINDOW_PROBES)
        )
        self._later_incarnation: view.NodeRecord | None = None

    @property
    def me(self) -> MemberRecord:
        """This node's own record."""
        return self._me

    @property
    def members(self) -> collections.abc.Mapping[str, MemberRecord]:
        """All known members by name, including this node and dead nodes."""
        return self._members

    @property
    def dead_count(self) -> int:
        """Number of members that are dead, as far as this node can tell."""
        return sum(item.state is State.DEAD for item in self._members.values())

    @property
    def is_superseded(self) -> bool:
        """Whether a later incarnation of this node is known."""
        return self._later_incarnation is not None

    @property
    def own_later_incarnation(self) -> int:
        """The incarnation of an earlier process of this VM that ranks higher.

        Scenario: the VM's clock was ahead when the node started and is right
        at its next start, and the directory does not respond then. Risk: the
        fleet takes the running node for the earlier one of both, for good. No
        other process can have this node's address, so the one with the higher
        incarnation has ended.

        Returns:
          The incarnation; 0 if there is none.
        """
        later = self._later_incarnation
        if later is None or later.address != self._me.node.address:
            return 0
        return later.incarnation

    @property
    def is_probably_isolated(self) -> bool:
        """Whether so many probes failed that this node itself is at fault.

        Without this check a node behind a broken switch would make the whole
        fleet suspect. While it is isolated a node suspects no member and
        declares none dead. It still finds failed paths by the requests that it
        forwards: those to unreachable homes fail.
        """
        latest_failed = {
            item.member
            for item in itertools.takewhile(
                lambda item: not item.is_acknowledged,
                reversed(self._probe_results),
            )
        }
        if len(latest_failed) >= MIN_ISOLATION_MEMBERS:
            return True
        failed = [
            item.member
            for item in self._probe_results
            if not item.is_acknowledged
        ]
        enough_members = len(set(failed)) >= MIN_ISOLATION_MEMBERS
        return enough_members and len(failed) >= MIN_ISOLATION_FAILURES

    def peers(self) -> list[MemberRecord]:
        """Returns the other members that are alive or suspect."""
        return [
            item
            for item in self._members.values()
            if item.is_usable and item is not self._me
        ]

    def set_contacts(self, addresses: collections.abc.Iterable[str]) -> None:
        """Replaces the addresses to ping even if no member is known there."""
        own = self._me.node.address
        self._contacts = [item for item in addresses if item != own]
        if not self.peers():
            self._next_contact = self._clock.monotonic()

    def has_contacts(self) -> bool:
        """Whether there may be any other node to join."""
        return bool(self._contacts) or len(self._members) > 1

    def leave(self) -> list[Output]:
        """Marks this node as shut down."""
        self._me = dataclasses.replace(self._me, state=State.LEFT)
        self._members[self._me.node.name] = self._me
        return [Disseminate(self._me)]

    def merge(self, record: MemberRecord) -> list[Output]:
        """Stores a record unless one of at least its precedence is known."""
        name = record.node.name
        if name == self._me.node.name:
            return self._refute(record)
        known = self._members.get(name)
        if known is not None and known.precedence >= record.precedence:
            return []
        if known is None and not record.is_usable:
            return []
        self._store(record)
        return [Disseminate(record)]

    def handle_ping(self, address: str, number: int) -> list[Output]:
        """Handles a ping."""
        return [Ack(address, number)]

    def handle_ping_request(
        self, address: str, number: int, member: str
    ) -> list[Output]:
        """Handles a request to ping a member on behalf of another node."""
        target = self._members.get(member)
        if target is None or len(self._relayed_pings) >= MAX_RELAYED_PINGS:
            return []
        relay_number = self._next_number()
        now = self._clock.monotonic()
        self._relayed_pings[relay_number] = _RelayedPing(address, number, now)
        return [Ping(target.node.address, relay_number)]

    def handle_ack(self, number: int) -> list[Output]:
        """Handles an acknowledgement."""
        relayed_ping = self._relayed_pings.pop(number, None)
        if relayed_ping is not None:
            return [Ack(relayed_ping.address, relayed_ping.number)]
        probe = self._probe
        if probe is not None and probe.number == number:
            self._probe = None
            self._probe_results.append(
                _ProbeResult(probe.member, is_acknowledged=True)
            )
        return []

    def tick(self) -> list[Output]:
        """Runs the timers; to be called about every 100 ms."""
        now = self._clock.monotonic()
        gap = now - self._last_tick
        self._last_tick = now
        if gap > MAX_TICK_GAP:
            self._resume(gap)
        output = self._check_probe(now)
        output.extend(self._expire_states(now))
        output.extend(self._ping_suspects(now))
        if now >= self._next_contact:
            self._next_contact = now + CONTACT_PERIOD
            output.extend(self._ping_contacts())
        if now >= self._next_probe and self._probe is None:
            self._next_probe = now + PROBE_PERIOD
            output.extend(self._start_probe(now))
        return output

    def _resume(self, gap: datetime.timedelta) -> None:
        """Discards pending pings and extends suspicions after a pause.

        They timed out while the paused process could not receive any
        acknowledgement or refutation. Without this a resumed node would
        declare healthy nodes dead.
        """
        self._probe = None
        self._relayed_pings.clear()
        for name in self._not_alive_since:
            self._not_alive_since[name] += gap

    def _check_probe(self, now: datetime.timedelta) -> list[Output]:
        """Requests indirect probes, and ends probes that have timed out."""
        expired = [
            number
            for number, relayed_ping in self._relayed_pings.items()
            if now - relayed_ping.started > PROBE_TIMEOUT
        ]
        for number in expired:
            del self._relayed_pings[number]
        probe = self._probe
        if probe is None:
            return []
        waited = now - probe.started
        if waited >= PROBE_TIMEOUT:
            self._probe = None
            self._probe_results.append(
                _ProbeResult(probe.member, is_acknowledged=False)
            )
            return self._suspect(probe.member)
        if waited >= DIRECT_PROBE_TIMEOUT and not probe.has_requested_pings:
            probe.has_requested_pings = True
            return self._request_pings(probe)
        return []

    def _request_pings(self, probe: _Probe) -> list[Output]:
        others = [
            item
            for item in self.peers()
            if item.node.name != probe.member and item.state is State.ALIVE
        ]
        chosen = self._rng.sample(others, min(INDIRECT_PROBES, len(others)))
        return [
            PingRequest(item.node.address, probe.number, probe.member)
            for item in chosen
        ]

    def _suspect(self, name: str) -> list[Output]:
        known = self._members.get(name)
        if (
            self.is_probably_isolated
            or known is None
            or known.state is not State.ALIVE
        ):
            return []
        suspect = dataclasses.replace(known, state=State.SUSPECT)
        self._store(suspect)
        return [Disseminate(suspect)]

    def _expire_states(self, now: datetime.timedelta) -> list[Output]:
        """Declares unrefuted suspects dead, and removes old dead members."""
        output: list[Output] = []
        for name, since in list(self._not_alive_since.items()):
            known = self._members[name]
            if known.state is State.SUSPECT:
                if now - since < SUSPICION_TIMEOUT or self.is_probably_isolated:
                    continue
                dead = dataclasses.replace(known, state=State.DEAD)
                self._store(dead)
                output.append(Disseminate(dead))
            elif now - since > DEAD_RETENTION:
                del self._members[name]
                del self._not_alive_since[name]
                output.append(MemberRemoved(name))
        return output

    def _ping_suspects(self, now: datetime.timedelta) -> list[Output]:
        """Pings suspects that have not refuted the suspicion for a while.

        Failure: datagrams are lost, and the refutation of a healthy node does
        not arrive before the suspicion ends. Symptom: this node declares it
        dead to the whole fleet, and its targets get no requests for some
        seconds. The suspect responds to such a ping with its refutation
        at once.
        """
        due = [
            name
            for name, since in self._not_alive_since.items()
            if self._members[name].state is State.SUSPECT
            and now - since >= SUSPECT_PING_DELAY
            and now - self._suspect_pinged_at.get(name, since)
            >= SUSPECT_PING_PERIOD
        ]
        output: list[Output] = []
        for name in due[:MAX_SUSPECT_PINGS_PER_TICK]:
            self._suspect_pinged_at[name] = now
            known = self._members[name]
            number = self._next_number()
            output.append(Ping(known.node.address, number, known))
        return output

    def _start_probe(self, now: datetime.timedelta) -> list[Output]:
        """Starts a probe of the next member in the shuffled round."""
        while True:
            if not self._probe_round:
                self._probe_round = self._next_round()
            if not self._probe_round:
                return []
            known = self._members.get(self._probe_round.pop())
            if known is not None and known.is_usable:
                break
        number = self._next_number()
        self._probe = _Probe(known.node.name, number, now)
        record = known if known.state is State.SUSPECT else None
        return [Ping(known.node.address, number, record)]

    def _next_round(self) -> list[str]:
        """Returns the members to probe in the next round, shuffled.

        It contains all members of the own zone, but only a sample of the
        others: bytes between zones are billed, and the nodes of a dead node's
        own zone suffice to detect it. Probes of other zones detect
        partitions between zones.
        """
        peers = [item.node for item in self.peers()]
        zone = self._me.node.zone
        local = [node.name for node in peers if node.zone == zone]
        remote = [node.name for node in peers if node.zone != zone]
        remote_count = (
            max(1, len(local) // LOCAL_PROBES_PER_REMOTE)
            if local
            else len(remote)
        )
        chosen = local + self._rng.sample(
            remote, min(len(remote), remote_count)
        )
        self._rng.shuffle(chosen)
        return chosen

    def _ping_contacts(self) -> list[Output]:
        """Pings addresses of contacts and dead members, which may be back."""
        peers = {item.node.address for item in self.peers()}
        absent: dict[str, MemberRecord | None] = {
            item: None for item in self._contacts if item not in peers
        }
        for item in self._members.values():
            if item.state is State.DEAD:
                absent[item.node.address] = item
        count = 1
        if not peers:
            # A node without peers tries more often, to find the fleet.
            self._next_contact = self._clock.monotonic() + PROBE_PERIOD
            count = JOIN_CONTACTS
        chosen = self._rng.sample(list(absent), min(len(absent), count))
        return [
            Ping(
                address,
                self._next_number(),
                absent[address],
                is_introduction=True,
            )
            for address in chosen
        ]

    def _refute(self, record: MemberRecord) -> list[Output]:
        own = self._me
        if record.node.incarnation > own.node.incarnation:
            self._later_incarnation = record.node
            return []
        if record.precedence <= own.precedence or own.state is State.LEFT:
            return []
        self._me = dataclasses.replace(
            own, refutation=record.refutation + 1, state=State.ALIVE
        )
        self._members[self._me.node.name] = self._me
        return [Disseminate(self._me)]

    def _store(self, record: MemberRecord) -> None:
        name = record.node.name
        self._members[name] = record
        self._suspect_pinged_at.pop(name, None)
        if record.state is State.ALIVE:
            self._not_alive_since.pop(name, None)
        else:
            self._not_alive_since[name] = self._clock.monotonic()

    def _next_number(self) -> int:
        # Numbers fit thrift's i32 and are never 0, which stands for none.
        self._last_number = self._last_number % (2**31 - 1) + 1
        return self._last_number
