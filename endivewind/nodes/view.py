"""What this node knows of the fleet: nodes, and targets by service."""

import collections
import collections.abc
import dataclasses
import sys

from endivewind.targets import records

# A home whose changes have arrived with gaps holds their numbers until the
# gap is filled; beyond this many the whole state is cheaper.
MAX_AHEAD = 256
# Targets of a home that have left are remembered for its next start, which
# comes within seconds, and a home has few.
MAX_LEFT = 8


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRecord:
    """A node as the fleet knows it.

    Attributes:
      name: the node's name.
      incarnation: one start of the node; a later start has a higher one.
      address: host and port of its listener for nodes.
      region: region of its VM.
      zone: availability zone of its VM.
    """

    name: str
    incarnation: int
    address: str
    region: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class HomeVersion:
    """How far a home's changes are known without a gap."""

    incarnation: int = 0
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HomeState:
    """All targets of one home at a version."""

    home: str
    version: HomeVersion
    targets: tuple[records.TargetRecord, ...]


class _Home:
    """One home's changes: the gapless part, and those ahead of it."""

    __slots__ = ("ahead", "incarnation", "records", "sequence")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.sequence = 0
        self.records: dict[str, records.TargetRecord] = {}
        self.ahead: dict[int, str] = {}

    def copy(self) -> "_Home":
        other = _Home(self.incarnation)
        other.sequence = self.sequence
        other.records = dict(self.records)
        other.ahead = dict(self.ahead)
        return other

    def advance(self) -> None:
        while self.sequence + 1 in self.ahead:
            self.sequence += 1
            del self.ahead[self.sequence]


class FleetView:
    """Nodes and targets, each at the highest version seen.

    At full size (760 nodes, 12,000 targets) a record's strings that repeat
    (service, home, region, zone) are held once, and each target stands in
    three dicts that share one record.
    """

    def __init__(self) -> None:
        self._nodes: dict[str, NodeRecord] = {}
        self._homes: dict[str, _Home] = {}
        self._claims: dict[str, records.TargetRecord] = {}
        self._by_service: dict[str, dict[str, records.TargetRecord]] = {}
        self._revisions: collections.Counter[str] = collections.Counter()
        self._left: dict[str, dict[str, int]] = {}

    def left(self, home: str) -> collections.abc.Mapping[str, int]:
        """Targets that have told a home that they leave, and their starts.

        Failure: a home is ended after it has acknowledged that its target
        leaves, and a heartbeat from before that is held up. Symptom: its next
        start takes the target for ready, and sends it work past its drain
        time. Its peers have heard of the leave, and remember it over starts.
        """
        return self._left.get(home, {})

    def _note_left(self, record: records.TargetRecord) -> None:
        known = self._left.setdefault(record.home, {})
        known.pop(record.id, None)
        known[record.id] = record.target_incarnation
        if len(known) > MAX_LEFT:
            del known[next(iter(known))]

    @property
    def nodes(self) -> collections.abc.Mapping[str, NodeRecord]:
        """Nodes that are not known to be dead, by name."""
        return self._nodes

    def targets(
        self, service: str
    ) -> collections.abc.Mapping[str, records.TargetRecord]:
        """Known targets of a service by id."""
        return self._by_service.get(service, {})

    def revision(self, service: str) -> int:
        """Grows with every change of a service's targets."""
        return self._revisions[service]

    def all_targets(self) -> list[records.TargetRecord]:
        """Every known target."""
        return list(self._claims.values())

    @property
    def target_count(self) -> int:
        """How many targets are known."""
        return len(self._claims)

    def claim(self, target: str) -> records.TargetRecord | None:
        """The latest announcement of a target at any usable home."""
        return self._claims.get(target)

    def copy(self) -> "FleetView":
        """A view of its own that shares the records."""
        other = FleetView()
        other._nodes = dict(self._nodes)
        other._claims = dict(self._claims)
        other._by_service = {
            name: dict(group) for name, group in self._by_service.items()
        }
        for name, home in self._homes.items():
            other._homes[name] = home.copy()
        return other

    def home_version(self, home: str) -> HomeVersion:
        """How far a home's changes are known."""
        known = self._homes.get(home)
        if known is None:
            return HomeVersion()
        return HomeVersion(known.incarnation, known.sequence)

    def home_state(self, home: str) -> HomeState | None:
        """All targets of a home, without those ahead of a gap."""
        known = self._homes.get(home)
        if known is None:
            return None
        targets = tuple(
            item
            for item in known.records.values()
            if item.sequence <= known.sequence
        )
        return HomeState(home, self.home_version(home), targets)

    def put_node(self, record: NodeRecord) -> bool:
        """Takes a node unless a later start of it is known."""
        known = self._nodes.get(record.name)
        if known and known.incarnation > record.incarnation:
            return False
        if known == record:
            return False
        self._nodes[record.name] = record
        home = self._homes.get(record.name)
        if home is None:
            return True
        if home.incarnation < record.incarnation:
            for item in home.records.values():
                if item.state is records.State.DRAINING:
                    self._note_left(item)
            self.remove_home(record.name)
            return True
        for item in home.records.values():
            self._index(item)
        return True

    def remove_node(self, name: str) -> None:
        """Takes a dead node's targets out of use.

        Its records are kept, so that a node which was only paused has its
        targets back with its first sign of life and not after a repair.
        """
        if self._nodes.pop(name, None) is None:
            return
        home = self._homes.get(name)
        if home is not None:
            self._unindex(home)

    def remove_home(self, name: str) -> None:
        """Forgets all that is known of a home's targets."""
        home = self._homes.pop(name, None)
        if home is not None:
            self._unindex(home)

    def put_home(
        self,
        home: str,
        incarnation: int,
        sequence: int,
        targets: collections.abc.Iterable[records.TargetRecord],
    ) -> bool:
        """Takes all targets of a home unless a later state is known."""
        known = self._homes.get(home)
        if known is not None:
            version = (known.incarnation, known.sequence)
            if version >= (incarnation, sequence):
                return False
        kept: dict[str, records.TargetRecord] = {}
        fresh = _Home(incarnation)
        fresh.sequence = sequence
        if known is not None:
            self._unindex(known)
            if known.incarnation == incarnation:
                fresh.ahead = {
                    number: name
                    for number, name in known.ahead.items()
                    if number > sequence
                }
                kept = known.records
        ahead = set(fresh.ahead.values())
        fresh.records = {
            item.id: item for item in targets if item.id not in ahead
        }
        for name in ahead & set(kept):
            fresh.records[name] = kept[name]
        self._homes[sys.intern(home)] = fresh
        fresh.advance()
        for record in fresh.records.values():
            self._index(record)
        return True

    def put_change(self, change: records.TargetChange) -> bool:
        """Takes one change of a home; False if it is not news.

        Changes may come twice and out of order. One that is at or below the
        gapless part, or already held ahead of it, is old: without this rule
        a late copy would bring back a target that has been withdrawn.
        """
        record = change.record
        home = self._homes.get(record.home)
        if home is None or home.incarnation < record.home_incarnation:
            self.remove_home(record.home)
            home = _Home(record.home_incarnation)
            self._homes[sys.intern(record.home)] = home
        if home.incarnation > record.home_incarnation:
            return False
        if record.sequence <= home.sequence or record.sequence in home.ahead:
            return False
        if len(home.ahead) >= MAX_AHEAD:
            return False
        later = any(
            number > record.sequence and name == record.id
            for number, name in home.ahead.items()
        )
        home.ahead[record.sequence] = record.id
        home.advance()
        if later:
            return True
        known = home.records.pop(record.id, None)
        if known is not None:
            self._unindex_one(known)
        if change.gone:
            self._note_left(record)
        else:
            home.records[record.id] = record
            self._index(record)
        return True

    def _index(self, record: records.TargetRecord) -> None:
        """Puts a record in use if its home is, and no later claim is known.

        A target that has moved stands at two homes until the first has heard
        of it; taking the later claim keeps both from getting its work.
        """
        node = self._nodes.get(record.home)
        if node is None or node.incarnation != record.home_incarnation:
            return
        record = self._placed(record, node)
        rival = self._claims.get(record.id)
        if rival is not None and rival.home != record.home:
            if records.claim_order(rival) > records.claim_order(record):
                return
            self._drop(rival)
        self._claims[record.id] = record
        group = self._by_service.setdefault(record.service, {})
        group[record.id] = record
        self._revisions[record.service] += 1

    def _placed(
        self, record: records.TargetRecord, node: NodeRecord
    ) -> records.TargetRecord:
        """The record with its home's place and with shared strings."""
        if record.region == node.region and record.zone == node.zone:
            return record
        placed = dataclasses.replace(
            record,
            service=sys.intern(record.service),
            home=node.name,
            region=node.region,
            zone=node.zone,
        )
        home = self._homes[record.home]
        home.records[record.id] = placed
        return placed

    def _drop(self, record: records.TargetRecord) -> None:
        del self._claims[record.id]
        group = self._by_service[record.service]
        del group[record.id]
        self._revisions[record.service] += 1
        if not group:
            del self._by_service[record.service]

    def _unindex(self, home: _Home) -> None:
        for record in list(home.records.values()):
            self._unindex_one(record)

    def _unindex_one(self, record: records.TargetRecord) -> None:
        known = self._claims.get(record.id)
        if known is None or known.home != record.home:
            return
        self._drop(known)
        for name, other in self._homes.items():
            if name != record.home and record.id in other.records:
                self._index(other.records[record.id])
