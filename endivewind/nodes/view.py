"""What this node knows of the fleet: nodes, and targets by service."""

import collections
import collections.abc
import dataclasses

from endivewind.targets import records


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


class FleetView:
    """Nodes and targets, each at the highest version seen."""

    def __init__(self) -> None:
        self._nodes: dict[str, NodeRecord] = {}
        self._homes: dict[str, tuple[int, int]] = {}
        self._by_service: dict[str, dict[str, records.TargetRecord]] = (
            collections.defaultdict(dict)
        )
        self._revisions: collections.Counter[str] = collections.Counter()

    @property
    def nodes(self) -> collections.abc.Mapping[str, NodeRecord]:
        """Known nodes by name."""
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
        return [
            record
            for group in self._by_service.values()
            for record in group.values()
        ]

    def put_node(self, record: NodeRecord) -> bool:
        """Takes a node unless a later start of it is known."""
        known = self._nodes.get(record.name)
        if known and known.incarnation > record.incarnation:
            return False
        self._nodes[record.name] = record
        return known != record

    def remove_node(self, name: str) -> None:
        """Forgets a node and the targets whose home it was."""
        self._nodes.pop(name, None)
        self._drop_home(name)

    def put_home(
        self,
        home: str,
        incarnation: int,
        sequence: int,
        targets: collections.abc.Iterable[records.TargetRecord],
    ) -> bool:
        """Takes all targets of a home unless a later state is known."""
        version = (incarnation, sequence)
        if self._homes.get(home, (0, 0)) >= version:
            return False
        self._homes[home] = version
        self._drop_home(home)
        for record in targets:
            self._put_target(record)
        return True

    def _put_target(self, record: records.TargetRecord) -> None:
        group = self._by_service[record.service]
        known = group.get(record.id)
        if known and known.target_incarnation > record.target_incarnation:
            return
        group[record.id] = record
        self._revisions[record.service] += 1

    def _drop_home(self, home: str) -> None:
        for service, group in self._by_service.items():
            gone = [name for name, item in group.items() if item.home == home]
            for name in gone:
                del group[name]
                self._revisions[service] += 1
