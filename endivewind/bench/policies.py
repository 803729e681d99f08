"""The load balancing policies that `endivewind-bench decisions` compares.

The node's own policy, and two baselines: round robin, and ejection after
consecutive errors.
"""

import collections.abc
import datetime
import random
from typing import Protocol

import expression

from endivewind import exchange
from endivewind.bench import scenarios
from endivewind.bench import virtual_time
from endivewind.callers import placement
from endivewind.config import objects
from endivewind.decisions import load_balancing
from endivewind.nodes import view
from endivewind.targets import evidence
from endivewind.targets import outlier_monitor
from endivewind.targets import records
from endivewind.targets import registry

SERVICE = "riders"
# Approximate time until a status change reaches an entry node by gossip.
GOSSIP_DELAY_SECONDS = 0.2
FLOOR_SLOTS = 18

LEASE_RENEWAL_SECONDS = 20.0

_REGION = "andina"
_ZONE = "andina-a"
_RESPONSES = {
    evidence.ResultKind.SUCCESS: expression.Ok(exchange.Response(200, ())),
    evidence.ResultKind.ERROR: expression.Ok(exchange.Response(500, ())),
    evidence.ResultKind.SHED: expression.Ok(exchange.Response(503, ())),
}
_LOST_RESULT = expression.Error(
    exchange.unknown_outcome_refusal(exchange.Reason.TARGET_LOST)
)


class EjectionCallback(Protocol):
    """Callback for changes of a target's ejection status."""

    def __call__(self, target: int, is_ejected: bool) -> None:
        """Handles one change."""


class Policy(Protocol):
    """Chooses targets and learns from the results of requests."""

    def choose(
        self, is_idempotent: bool, tried: collections.abc.Set[str]
    ) -> str | None:
        """Returns a target with a free slot, or None."""

    def is_normal(self, target: str) -> bool:
        """Whether a target gets normal traffic, not only trial requests."""

    def record_start(self, target: str) -> int:
        """Records the start of a request and returns its number."""

    def record_finish(
        self,
        target: str,
        number: int,
        kind: evidence.ResultKind,
        latency: float,
        workspace: str,
    ) -> None:
        """Records the end of a request."""

    def admitted_slots(self) -> int:
        """Returns the number of slots of targets that get normal traffic."""


def target_id(target: int) -> str:
    """Returns the id of a target."""
    return f"riders-{target:02}"


def target_number(name: str) -> int:
    """Returns the number of the target with an id."""
    return int(name.rpartition("-")[2])


class NodePolicy:
    """The node's own outlier monitor, capacity floor and load balancing."""

    def __init__(
        self,
        profile: objects.Profile,
        time: virtual_time.VirtualTime,
        rng: random.Random,
        on_status_change: EjectionCallback,
    ) -> None:
        self._time = time
        self._on_status_change = on_status_change
        home = registry.HomeIdentity("node-a", 1, _REGION, _ZONE)
        self._registry = registry.TargetRegistry(home, time)
        self._announce()
        self._fleet = view.FleetView()
        self._fleet.put_node(
            view.NodeRecord("node-a", 1, "192.0.2.1:1", _REGION, _ZONE)
        )
        self._publish_state()
        self._outlier_monitor = outlier_monitor.OutlierMonitor(
            self._registry,
            lambda service: profile,
            time,
            self._handle_status_changes,
        )
        self._placement = placement.Placement(
            load_balancing.Locality("node-a", _REGION, _ZONE),
            self._fleet,
            lambda service: FLOOR_SLOTS,
            time,
            rng,
        )
        self._statuses = dict.fromkeys(
            range(scenarios.TARGET_COUNT), records.EjectionStatus.NORMAL
        )
        self._run_checks()

    def choose(
        self, is_idempotent: bool, tried: collections.abc.Set[str]
    ) -> str | None:
        """Returns a target with a free slot, or None."""
        found = self._placement.choose(
            SERVICE, load_balancing.RequestConstraints(is_idempotent, tried)
        )
        return found.id if found else None

    def is_normal(self, target: str) -> bool:
        """Whether a target gets normal traffic, not only trial requests."""
        record = self._fleet.targets(SERVICE)[target]
        return record.health is records.EjectionStatus.NORMAL

    def record_start(self, target: str) -> int:
        """Records the start of a request and returns its number."""
        self._placement.record_start(self._fleet.targets(SERVICE)[target])
        return self._outlier_monitor.record_start(target, SERVICE)

    def record_finish(
        self,
        target: str,
        number: int,
        kind: evidence.ResultKind,
        latency: float,
        workspace: str,
    ) -> None:
        """Records the end of a request."""
        duration = datetime.timedelta(seconds=latency)
        record = self._fleet.targets(SERVICE)[target]
        self._placement.record_end(
            record, _RESPONSES.get(kind, _LOST_RESULT), duration
        )
        self._outlier_monitor.record_finish(
            evidence.Sample(target, SERVICE, workspace, kind, duration, number)
        )

    def admitted_slots(self) -> int:
        """Returns the number of slots of targets that get normal traffic."""
        return self._placement.admitted_slots(SERVICE)

    def _announce(self) -> None:
        """Renews the leases of all targets."""
        announcement = registry.Announcement(
            service=SERVICE, address="http://192.0.2.2", lease_ms=60_000
        )
        for target in range(scenarios.TARGET_COUNT):
            self._registry.announce(
                target_id(target), announcement, scenarios.SLOTS_PER_TARGET
            )
        self._time.call_later(LEASE_RENEWAL_SECONDS, self._announce)

    def _run_checks(self) -> None:
        self._outlier_monitor.run_periodic_checks()
        self._time.call_later(
            outlier_monitor.CHECK_INTERVAL.total_seconds(), self._run_checks
        )

    def _handle_status_changes(self) -> None:
        for record in self._registry.target_records():
            target = target_number(record.id)
            if record.health is not self._statuses[target]:
                self._statuses[target] = record.health
                self._notify(target, record.health)
        self._time.call_later(GOSSIP_DELAY_SECONDS, self._publish_state)

    def _notify(self, target: int, health: records.EjectionStatus) -> None:
        if health is not records.EjectionStatus.TRIAL:
            self._on_status_change(
                target, health is records.EjectionStatus.EJECTED
            )

    def _publish_state(self) -> None:
        self._fleet.put_home_state(
            "node-a",
            1,
            self._registry.sequence,
            self._registry.target_records(),
        )


class RoundRobin:
    """Baseline: round robin over targets with a free slot, no ejection."""

    def __init__(self) -> None:
        self._in_use = dict.fromkeys(
            map(target_id, range(scenarios.TARGET_COUNT)), 0
        )
        self._names = list(self._in_use)
        self._next = 0

    def choose(
        self, is_idempotent: bool, tried: collections.abc.Set[str]
    ) -> str | None:
        """Returns a target with a free slot, or None."""
        for _ in self._names:
            name = self._names[self._next]
            self._next = (self._next + 1) % len(self._names)
            has_free_slot = self._in_use[name] < scenarios.SLOTS_PER_TARGET
            if has_free_slot and name not in tried and self.is_normal(name):
                return name
        return None

    def is_normal(self, target: str) -> bool:
        """Whether a target is not ejected."""
        return True

    def record_start(self, target: str) -> int:
        """Records the start of a request."""
        self._in_use[target] += 1
        return 0

    def record_finish(
        self,
        target: str,
        number: int,
        kind: evidence.ResultKind,
        latency: float,
        workspace: str,
    ) -> None:
        """Records the end of a request."""
        self._in_use[target] -= 1

    def admitted_slots(self) -> int:
        """Returns the number of slots of targets that are not ejected."""
        return scenarios.SLOTS_PER_TARGET * sum(
            map(self.is_normal, self._names)
        )


class ConsecutiveErrors(RoundRobin):
    """Baseline: ejection after consecutive errors, as in common proxies.

    Five consecutive errors eject a target for 30 s times the number of its
    ejections. A sweep every 10 s ends ejections that have expired. At most a
    tenth of the targets is ejected at a time. Errors are 5xx responses, lost
    connections and timeouts; latency is ignored.
    """

    ERRORS_TO_EJECT = 5
    SWEEP_INTERVAL_SECONDS = 10.0
    BASE_EJECTION_SECONDS = 30.0
    MAX_EJECTED = scenarios.TARGET_COUNT // 10

    _ERROR_KINDS = frozenset(
        {
            evidence.ResultKind.ERROR,
            evidence.ResultKind.SHED,
            evidence.ResultKind.LOST,
            evidence.ResultKind.REFUSED_CONNECTION,
            evidence.ResultKind.TIMEOUT,
        }
    )

    def __init__(
        self, time: virtual_time.VirtualTime, on_status_change: EjectionCallback
    ) -> None:
        super().__init__()
        self._time = time
        self._on_status_change = on_status_change
        self._consecutive_errors = dict.fromkeys(self._names, 0)
        self._ejection_counts = dict.fromkeys(self._names, 0)
        self._ejected_until: dict[str, float] = {}
        self._sweep()

    def is_normal(self, target: str) -> bool:
        """Whether a target is not ejected."""
        return target not in self._ejected_until

    def record_finish(
        self,
        target: str,
        number: int,
        kind: evidence.ResultKind,
        latency: float,
        workspace: str,
    ) -> None:
        """Records the end of a request."""
        super().record_finish(target, number, kind, latency, workspace)
        if kind not in self._ERROR_KINDS:
            self._consecutive_errors[target] = 0
            return
        self._consecutive_errors[target] += 1
        is_limit_reached = len(self._ejected_until) >= self.MAX_EJECTED
        if (
            self._consecutive_errors[target] < self.ERRORS_TO_EJECT
            or is_limit_reached
            or target in self._ejected_until
        ):
            return
        self._ejection_counts[target] += 1
        ejection_seconds = (
            self.BASE_EJECTION_SECONDS * self._ejection_counts[target]
        )
        self._ejected_until[target] = self._time.seconds + ejection_seconds
        self._on_status_change(target_number(target), True)

    def _sweep(self) -> None:
        for name, until in list(self._ejected_until.items()):
            if until <= self._time.seconds:
                del self._ejected_until[name]
                self._consecutive_errors[name] = 0
                self._on_status_change(target_number(name), False)
        self._time.call_later(self.SWEEP_INTERVAL_SECONDS, self._sweep)
