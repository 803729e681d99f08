"""This node's view of the fleet: nodes, and targets by service.

Written by gossip, which carries single changes, and by state repair, which
fetches the whole state of a home (`repair.py`). Placement reads it. It is
eventually consistent: each home node numbers its changes, and the highest
version wins.
"""

import collections
import collections.abc
import dataclasses
import sys

from endivewind.targets import records

# Changes of a home that are accepted while an earlier one is missing. Beyond
# this many, fetching the home's whole state is cheaper.
MAX_OUT_OF_ORDER_CHANGES = 256
# The latest departed targets that are remembered for each home. They are needed
# until the home has restarted. A restart takes seconds and a home has few
# targets, so a few entries suffice.
MAX_DEPARTED_TARGETS = 8
# Incarnations are microseconds since 1970, or one more than the last one; they
# are 64-bit integers on the wire.
MAX_INCARNATION = 2**62


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRecord:
    """A node as the fleet knows it.

    Attributes:
      name: the node's name.
      incarnation: increases each time the node starts.
      address: host and port of its listener for other nodes.
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
    """The number up to which all changes of a home are known.

    Later changes may be known, too, with gaps between them.
    """

    incarnation: int = 0
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HomeState:
    """A snapshot of all targets of one home at a version."""

    home: str
    version: HomeVersion
    targets: tuple[records.TargetRecord, ...]


class _HomeTargets:
    """The targets of one home.

    Attributes:
      incarnation: the home node's incarnation.
      sequence: number of the last change before the first missing one.
      records: targets by id, with out-of-order changes applied as well.
      out_of_order: target ids of the changes after a missing one, by number.
    """

    __slots__ = ("incarnation", "out_of_order", "records", "sequence")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.sequence = 0
        self.records: dict[str, records.TargetRecord] = {}
        self.out_of_order: dict[int, str] = {}

    def copy(self) -> "_HomeTargets":
        other = _HomeTargets(self.incarnation)
        other.sequence = self.sequence
        other.records = dict(self.records)
        other.out_of_order = dict(self.out_of_order)
        return other

    def advance(self) -> None:
        while self.sequence + 1 in self.out_of_order:
            self.sequence += 1
            del self.out_of_order[self.sequence]


class FleetView:
    """The known nodes and targets, each at the highest version seen.

    To save memory at full size (760 nodes, 12,000 targets), repeated strings
    (service, home, region, zone) are interned, and the three dicts that hold
    a target share one record.
    """

    def __init__(self) -> None:
        self._nodes: dict[str, NodeRecord] = {}
        self._homes: dict[str, _HomeTargets] = {}
        self._usable_records: dict[str, records.TargetRecord] = {}
        self._by_service: dict[str, dict[str, records.TargetRecord]] = {}
        self._revisions: collections.Counter[str] = collections.Counter()
        self._departed: dict[str, dict[str, int]] = {}

    def departed_targets(self, home: str) -> collections.abc.Mapping[str, int]:
        """Returns the incarnations of a home's departed targets by id.

        Scenario: a target announces its departure to its home, the home
        acknowledges this and is killed. A heartbeat that the target had sent
        before arrives after the home's restart. Risk: the home takes the target
        for ready and sends it requests past its drain time. The other nodes
        know of the departure. They keep it when the home restarts and send it
        to the home with the state that the home fetches (`repair.py`).
        """
        return self._departed.get(home, {})

    def _remember_departure(self, record: records.TargetRecord) -> None:
        known = self._departed.setdefault(record.home, {})
        known.pop(record.id, None)
        known[record.id] = record.target_incarnation
        if len(known) > MAX_DEPARTED_TARGETS:
            del known[next(iter(known))]

    @property
    def nodes(self) -> collections.abc.Mapping[str, NodeRecord]:
        """Nodes that are not known to be dead, by name."""
        return self._nodes

    def targets(
        self, service: str
    ) -> collections.abc.Mapping[str, records.TargetRecord]:
        """Returns the known targets of a service by id."""
        return self._by_service.get(service, {})

    def revision(self, service: str) -> int:
        """Returns a number that increases with each change of the targets."""
        return self._revisions[service]

    def usable_targets(self) -> list[records.TargetRecord]:
        """Returns the record that is in use of each target.

        Targets of dead nodes are left out. Of a target that several homes
        announce, the announcement with the highest precedence is in use.
        """
        return list(self._usable_records.values())

    @property
    def target_count(self) -> int:
        """Number of targets that `usable_targets` returns."""
        return len(self._usable_records)

    def find_target(self, target: str) -> records.TargetRecord | None:
        """Returns a target's latest announcement by a live home, if any."""
        return self._usable_records.get(target)

    def copy(self) -> "FleetView":
        """Returns an independent copy that shares the immutable records.

        Revisions and departed targets are not copied.
        """
        other = FleetView()
        other._nodes = dict(self._nodes)
        other._usable_records = dict(self._usable_records)
        other._by_service = {
            name: dict(group) for name, group in self._by_service.items()
        }
        for name, home in self._homes.items():
            other._homes[name] = home.copy()
        return other

    def home_version(self, home: str) -> HomeVersion:
        """Returns the version up to which all changes of a home are known."""
        known = self._homes.get(home)
        if known is None:
            return HomeVersion()
        return HomeVersion(known.incarnation, known.sequence)

    def home_state(self, home: str) -> HomeState | None:
        """Returns a home's targets, except those with out-of-order changes."""
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
        """Stores a node unless a later incarnation of it is known.

        Returns:
          Whether the view has changed.
        """
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
                    self._remember_departure(item)
            self.remove_home_targets(record.name)
            return True
        for item in home.records.values():
            self._index_record(item)
        return True

    def remove_node(self, name: str) -> None:
        """Removes a dead node and takes its targets out of use.

        The records of its targets are kept, so that they are usable again as
        soon as a node that was only paused is back, without a state repair.
        """
        if self._nodes.pop(name, None) is None:
            return
        home = self._homes.get(name)
        if home is not None:
            self._withdraw_home(home)

    def remove_home_targets(self, name: str) -> None:
        """Deletes all records of a home's targets, but not the node itself."""
        home = self._homes.pop(name, None)
        if home is not None:
            self._withdraw_home(home)

    def put_home_state(
        self,
        home: str,
        incarnation: int,
        sequence: int,
        targets: collections.abc.Iterable[records.TargetRecord],
    ) -> bool:
        """Stores the whole state of a home unless a later one is known.

        Changes that are newer than the state stay applied.

        Returns:
          Whether the state was stored.
        """
        known = self._homes.get(home)
        if known is not None:
            version = (known.incarnation, known.sequence)
            if version >= (incarnation, sequence):
                return False
        previous: dict[str, records.TargetRecord] = {}
        updated = _HomeTargets(incarnation)
        updated.sequence = sequence
        if known is not None:
            self._withdraw_home(known)
            if known.incarnation == incarnation:
                updated.out_of_order = {
                    number: name
                    for number, name in known.out_of_order.items()
                    if number > sequence
                }
                previous = known.records
        out_of_order = set(updated.out_of_order.values())
        updated.records = {
            item.id: item for item in targets if item.id not in out_of_order
        }
        for name in out_of_order & set(previous):
            updated.records[name] = previous[name]
        self._homes[sys.intern(home)] = updated
        updated.advance()
        for record in updated.records.values():
            self._index_record(record)
        return True

    def put_change(self, change: records.TargetChange) -> bool:
        """Applies one change of a home.

        Changes may arrive twice and out of order. A change is outdated if the
        view includes it already: it was applied out of order, or its number is
        not above that of the home's version. Without this rule a delayed copy
        would bring back a target that has been removed.

        Returns:
          False if the change is outdated, or if MAX_OUT_OF_ORDER_CHANGES are
          waiting for an earlier one.
        """
        record = change.record
        home = self._homes.get(record.home)
        if home is None or home.incarnation < record.home_incarnation:
            self.remove_home_targets(record.home)
            home = _HomeTargets(record.home_incarnation)
            self._homes[sys.intern(record.home)] = home
        if home.incarnation > record.home_incarnation:
            return False
        if (
            record.sequence <= home.sequence
            or record.sequence in home.out_of_order
        ):
            return False
        if len(home.out_of_order) >= MAX_OUT_OF_ORDER_CHANGES:
            return False
        is_superseded = any(
            number > record.sequence and name == record.id
            for number, name in home.out_of_order.items()
        )
        home.out_of_order[record.sequence] = record.id
        home.advance()
        if is_superseded:
            return True
        known = home.records.pop(record.id, None)
        if known is not None:
            self._withdraw_record(known)
        if change.is_removal:
            self._remember_departure(record)
        else:
            home.records[record.id] = record
            self._index_record(record)
        return True

    def _index_record(self, record: records.TargetRecord) -> None:
        """Makes a record usable if its home is live and none supersedes it.

        A target that has moved is announced by two homes until the first one
        learns of the move. Using only the announcement with the higher
        precedence keeps requests from being sent to both.
        """
        node = self._nodes.get(record.home)
        if node is None or node.incarnation != record.home_incarnation:
            return
        record = self._set_location(record, node)
        other = self._usable_records.get(record.id)
        if other is not None and other.home != record.home:
            if records.precedence(other) > records.precedence(record):
                return
            self._remove_from_indexes(other)
        self._usable_records[record.id] = record
        group = self._by_service.setdefault(record.service, {})
        group[record.id] = record
        self._revisions[record.service] += 1

    def _set_location(
        self, record: records.TargetRecord, node: NodeRecord
    ) -> records.TargetRecord:
        """Sets a record's region and zone to those of its home node.

        Also stores the new record, with interned strings, in the home's
        records.

        Returns:
          The record with its home's location.
        """
        if record.region == node.region and record.zone == node.zone:
            return record
        located = dataclasses.replace(
            record,
            service=sys.intern(record.service),
            home=node.name,
            region=node.region,
            zone=node.zone,
        )
        home = self._homes[record.home]
        home.records[record.id] = located
        return located

    def _remove_from_indexes(self, record: records.TargetRecord) -> None:
        del self._usable_records[record.id]
        group = self._by_service[record.service]
        del group[record.id]
        self._revisions[record.service] += 1
        if not group:
            del self._by_service[record.service]

    def _withdraw_home(self, home: _HomeTargets) -> None:
        for record in list(home.records.values()):
            self._withdraw_record(record)

    def _withdraw_record(self, record: records.TargetRecord) -> None:
        """Takes a home's record out of use, and uses another home's instead."""
        known = self._usable_records.get(record.id)
        if known is None or known.home != record.home:
            return
        self._remove_from_indexes(known)
        for name, other in self._homes.items():
            if name != record.home and record.id in other.records:
                self._index_record(other.records[record.id])
