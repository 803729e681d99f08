"""Chooses a target for a request from what this node knows of the fleet."""

import collections
import collections.abc
import dataclasses
import random

from endivewind.decisions import placing
from endivewind.nodes import view
from endivewind.targets import records


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where this node is, for placing near it."""

    node: str
    region: str
    zone: str


class Placement:
    """Feeds the placing decision and counts this entry's work."""

    def __init__(
        self, place: Place, fleet: view.FleetView, rng: random.Random
    ) -> None:
        self._place = place
        self._fleet = fleet
        self._rng = rng
        self._in_use: dict[str, int] = collections.defaultdict(int)

    def choose(
        self, service: str, tried: collections.abc.Set[str]
    ) -> records.TargetRecord | None:
        """A target that may take the request, or None."""
        known = self._fleet.targets(service)
        candidates = [
            placing.Candidate(
                record.id,
                self._distance(record),
                record.slots,
                self._in_use[record.id],
            )
            for record in known.values()
            if record.id not in tried
            and record.state is not records.State.DRAINING
            and record.health is not records.Health.EJECTED
        ]
        chosen = placing.choose(candidates, self._rng)
        return known[chosen.id] if chosen else None

    def started(self, target: str) -> None:
        """Counts a request sent to a target."""
        self._in_use[target] += 1

    def ended(self, target: str) -> None:
        """Counts the end of a request sent to a target."""
        self._in_use[target] -= 1
        if not self._in_use[target]:
            del self._in_use[target]

    def _distance(self, record: records.TargetRecord) -> int:
        if record.region != self._place.region:
            return 2
        return 0 if record.zone == self._place.zone else 1
