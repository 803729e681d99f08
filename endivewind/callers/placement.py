"""Chooses a target for a request from what this node knows of the fleet."""

import collections
import collections.abc
import dataclasses
import random

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.decisions import paths
from endivewind.decisions import placing
from endivewind.nodes import view
from endivewind.targets import records

_PATH_FAILURES = (exchange.Reason.HOME_LOST, exchange.Reason.HOME_UNREACHABLE)


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where this node is, for placing near it."""

    node: str
    region: str
    zone: str


class Placement:
    """Feeds the placing decision and counts this entry's work."""

    def __init__(
        self,
        place: Place,
        fleet: view.FleetView,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._place = place
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._paths = paths.Paths()
        self._in_use: dict[str, int] = collections.defaultdict(int)

    def choose(
        self, service: str, tried: collections.abc.Set[str]
    ) -> records.TargetRecord | None:
        """A target that may take the request, or None."""
        known = self._fleet.targets(service)
        now = self._clock.monotonic()
        candidates = [
            placing.Candidate(
                record.id,
                self._distance(record),
                record.slots,
                self._in_use.get(record.id, 0),
                self._paths.usable(record.home, now),
            )
            for record in known.values()
            if record.id not in tried
            and record.state is not records.State.DRAINING
            and record.health is not records.Health.EJECTED
        ]
        chosen = placing.choose(candidates, self._rng)
        return known[chosen.id] if chosen else None

    def started(self, record: records.TargetRecord) -> None:
        """Takes note of a request sent to a target."""
        self._in_use[record.id] += 1
        self._paths.started(record.home, self._clock.monotonic())

    def ended(
        self,
        record: records.TargetRecord,
        result: expression.Result[exchange.Answer, exchange.Refusal] | None,
    ) -> None:
        """Takes note of a request's end; None where its caller left."""
        self._in_use[record.id] -= 1
        if not self._in_use[record.id]:
            del self._in_use[record.id]
        if result is None:
            return
        if result.is_error() and result.error.reason in _PATH_FAILURES:
            self._paths.failed(record.home, self._clock.monotonic())
        else:
            self._paths.succeeded(record.home)

    def _distance(self, record: records.TargetRecord) -> int:
        if record.region != self._place.region:
            return 2
        return 0 if record.zone == self._place.zone else 1
