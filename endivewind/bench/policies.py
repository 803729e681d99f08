"""The decisions that are compared: the node's own, and two baselines."""

import collections.abc
import datetime
import random
from typing import Protocol

import expression

from endivewind import exchange
from endivewind.bench import scenarios
from endivewind.bench import virtual
from endivewind.callers import placement
from endivewind.config import objects
from endivewind.decisions import load_balancing
from endivewind.nodes import view
from endivewind.targets import evidence
from endivewind.targets import judge
from endivewind.targets import records
from endivewind.targets import registry

SERVICE = "riders"
# A verdict reaches an entry by gossip after about this time.
GOSSIP_SECONDS = 0.2
FLOOR_SLOTS = 18

RENEW_SECONDS = 20.0

_REGION = "andina"
_ZONE = "andina-a"
_ANSWERS = {
    evidence.Kind.SUCCESS: expression.Ok(exchange.Response(200, ())),
    evidence.Kind.ERROR: expression.Ok(exchange.Response(500, ())),
    evidence.Kind.SHED: expression.Ok(exchange.Response(503, ())),
}
_LOST = expression.Error(exchange.outcome_unknown(exchange.Reason.TARGET_LOST))


class Ejected(Protocol):
    """Hears of each change of a target's status."""

    def __call__(self, target: int, is_ejected: bool) -> None:
        """Takes one change."""


class Policy(Protocol):
    """Where requests go, and what is learnt from them."""

    def choose(
        self, repeatable: bool, tried: collections.abc.Set[str]
    ) -> str | None:
        """A target with a free slot, or None."""

    def is_normal(self, target: str) -> bool:
        """Whether a target gets normal work, and not trials only."""

    def started(self, target: str) -> int:
        """Takes the start of a request; returns its number."""

    def finished(
        self,
        target: str,
        number: int,
        kind: evidence.Kind,
        latency: float,
        workspace: str,
    ) -> None:
        """Takes the end of a request."""

    def admitted_slots(self) -> int:
        """Slots of the targets that get normal work."""


def name_of(target: int) -> str:
    """The id of a target."""
    return f"riders-{target:02}"


def number_of(name: str) -> int:
    """The target of an id."""
    return int(name.rpartition("-")[2])


class Own:
    """The node's own judge, floor and placing."""

    def __init__(
        self,
        profile: objects.Profile,
        time: virtual.VirtualTime,
        rng: random.Random,
        ejected: Ejected,
    ) -> None:
        self._time = time
        self._ejected = ejected
        home = registry.HomeIdentity("node-a", 1, _REGION, _ZONE)
        self._registry = registry.TargetRegistry(home, time)
        self._announce()
        self._fleet = view.FleetView()
        self._fleet.put_node(
            view.NodeRecord("node-a", 1, "192.0.2.1:1", _REGION, _ZONE)
        )
        self._spread()
        self._judge = judge.Judge(
            self._registry, lambda service: profile, time, self._changed
        )
        self._placement = placement.Placement(
            load_balancing.Locality("node-a", _REGION, _ZONE),
            self._fleet,
            lambda service: FLOOR_SLOTS,
            time,
            rng,
        )
        self._health = dict.fromkeys(
            range(scenarios.TARGETS), records.Health.NORMAL
        )
        self._advance()

    def choose(
        self, repeatable: bool, tried: collections.abc.Set[str]
    ) -> str | None:
        """A target with a free slot, or None."""
        found = self._placement.choose(
            SERVICE, load_balancing.Demand(repeatable, tried)
        )
        return found.id if found else None

    def is_normal(self, target: str) -> bool:
        """Whether a target gets normal work, and not trials only."""
        record = self._fleet.targets(SERVICE)[target]
        return record.health is records.Health.NORMAL

    def started(self, target: str) -> int:
        """Takes the start of a request; returns its number."""
        self._placement.started(self._fleet.targets(SERVICE)[target])
        return self._judge.started(target, SERVICE)

    def finished(
        self,
        target: str,
        number: int,
        kind: evidence.Kind,
        latency: float,
        workspace: str,
    ) -> None:
        """Takes the end of a request."""
        span = datetime.timedelta(seconds=latency)
        record = self._fleet.targets(SERVICE)[target]
        self._placement.ended(record, _ANSWERS.get(kind, _LOST), span)
        self._judge.finished(
            evidence.Sample(target, SERVICE, workspace, kind, span, number)
        )

    def admitted_slots(self) -> int:
        """Slots of the targets that get normal work."""
        return self._placement.admitted_slots(SERVICE)

    def _announce(self) -> None:
        """Keeps the leases of all targets."""
        announcement = registry.Announcement(
            service=SERVICE, address="http://192.0.2.2", lease_ms=60_000
        )
        for target in range(scenarios.TARGETS):
            self._registry.announce(
                name_of(target), announcement, scenarios.SLOTS
            )
        self._time.after(RENEW_SECONDS, self._announce)

    def _advance(self) -> None:
        self._judge.advance()
        self._time.after(judge.PERIOD.total_seconds(), self._advance)

    def _changed(self) -> None:
        for record in self._registry.announced():
            target = number_of(record.id)
            if record.health is not self._health[target]:
                self._health[target] = record.health
                self._tell(target, record.health)
        self._time.after(GOSSIP_SECONDS, self._spread)

    def _tell(self, target: int, health: records.Health) -> None:
        if health is not records.Health.TRIAL:
            self._ejected(target, health is records.Health.EJECTED)

    def _spread(self) -> None:
        self._fleet.put_home_state(
            "node-a", 1, self._registry.sequence, self._registry.announced()
        )


class RoundRobin:
    """Baseline: each target in turn that has a free slot, none ejected."""

    def __init__(self) -> None:
        self._in_use = dict.fromkeys(map(name_of, range(scenarios.TARGETS)), 0)
        self._names = list(self._in_use)
        self._next = 0

    def choose(
        self, repeatable: bool, tried: collections.abc.Set[str]
    ) -> str | None:
        """A target with a free slot, or None."""
        for _ in self._names:
            name = self._names[self._next]
            self._next = (self._next + 1) % len(self._names)
            free = self._in_use[name] < scenarios.SLOTS
            if free and name not in tried and self.is_normal(name):
                return name
        return None

    def is_normal(self, target: str) -> bool:
        """Whether a target gets work."""
        return True

    def started(self, target: str) -> int:
        """Takes the start of a request."""
        self._in_use[target] += 1
        return 0

    def finished(
        self,
        target: str,
        number: int,
        kind: evidence.Kind,
        latency: float,
        workspace: str,
    ) -> None:
        """Takes the end of a request."""
        self._in_use[target] -= 1

    def admitted_slots(self) -> int:
        """Slots of the targets that get work."""
        return scenarios.SLOTS * sum(map(self.is_normal, self._names))


class ConsecutiveErrors(RoundRobin):
    """Baseline: N errors in a row eject, as common proxies do it.

    Five errors in a row eject at once, for 30 s times the number of times;
    every 10 s the ends of the holds are looked for; at most a tenth of the
    targets is out. An answer of 5xx, a lost connection and a timeout are
    errors; latency is not looked at.
    """

    ERRORS = 5
    INTERVAL_SECONDS = 10.0
    HOLD_SECONDS = 30.0
    MOST_EJECTED = scenarios.TARGETS // 10

    _ERRORS = frozenset(
        {
            evidence.Kind.ERROR,
            evidence.Kind.SHED,
            evidence.Kind.LOST,
            evidence.Kind.REFUSED_CONNECTION,
            evidence.Kind.TIMEOUT,
        }
    )

    def __init__(self, time: virtual.VirtualTime, ejected: Ejected) -> None:
        super().__init__()
        self._time = time
        self._ejected = ejected
        self._errors = dict.fromkeys(self._names, 0)
        self._times = dict.fromkeys(self._names, 0)
        self._until: dict[str, float] = {}
        self._sweep()

    def is_normal(self, target: str) -> bool:
        """Whether a target gets work."""
        return target not in self._until

    def finished(
        self,
        target: str,
        number: int,
        kind: evidence.Kind,
        latency: float,
        workspace: str,
    ) -> None:
        """Takes the end of a request."""
        super().finished(target, number, kind, latency, workspace)
        if kind not in self._ERRORS:
            self._errors[target] = 0
            return
        self._errors[target] += 1
        full = len(self._until) >= self.MOST_EJECTED
        if self._errors[target] < self.ERRORS or full or target in self._until:
            return
        self._times[target] += 1
        hold = self.HOLD_SECONDS * self._times[target]
        self._until[target] = self._time.seconds + hold
        self._ejected(number_of(target), True)

    def _sweep(self) -> None:
        for name, until in list(self._until.items()):
            if until <= self._time.seconds:
                del self._until[name]
                self._errors[name] = 0
                self._ejected(number_of(name), False)
        self._time.after(self.INTERVAL_SECONDS, self._sweep)
