"""Coordinates the admission of requests to scarce services in a zone.

Rendezvous hashing selects one node of the zone as the coordinator of a service,
as `nodes/quotas.py` does for quotas. It receives the demand of the entry nodes
and sends them the admission level (`decisions/admission_level.py`).
"""

import collections.abc
import dataclasses
import datetime
import logging
from typing import Protocol

from endivewind import clock as clocks
from endivewind import logs
from endivewind.decisions import admission_level
from endivewind.decisions import peer_updates
from endivewind.nodes import quotas
from endivewind.nodes import view

log = logging.getLogger(__name__)

# How often the node calls tick().
TICK_INTERVAL = datetime.timedelta(milliseconds=50)
# Minimum time between two reports to a coordinator, and between two levels.
MIN_INTERVAL = datetime.timedelta(milliseconds=250)
# Datagrams per second that a node receives at most: reports as a coordinator,
# and levels as an entry node.
MAX_DATAGRAMS_PER_SECOND = 98
MAX_LEVELS_PER_SECOND = 25
# Levels per second that a coordinator sends to all nodes together, of about 90
# bytes each, and reports that it evaluates per second.
MAX_SENT_LEVELS_PER_SECOND = 100
MAX_COMPUTED_REPORTS = 300
# Nodes up to which all may report at once when a service becomes scarce.
MAX_FIRST_REPORTS = 96
# A level is valid for at least so many of its coordinator's intervals. They are
# longer than usual only while many services of a zone are scarce at once.
VALID_INTERVALS = 2.5
_SECOND = datetime.timedelta(seconds=1)


class EntryNode(Protocol):
    """The admission control of this entry node."""

    def take_demands(
        self, period: datetime.timedelta, first_period: datetime.timedelta
    ) -> tuple[admission_level.ServiceDemand, ...]:
        """Returns the reports that are due."""

    def apply_levels(
        self,
        sender: str,
        levels: tuple[admission_level.AdmissionLevel, ...],
    ) -> None:
        """Stores the levels that a coordinator has sent."""


Send = collections.abc.Callable[[str, peer_updates.PeerUpdate], None]


class AdmissionService:
    """Reports demand to coordinators, and is the coordinator of services."""

    def __init__(
        self,
        me: view.NodeRecord,
        fleet: view.FleetView,
        entry: EntryNode,
        send: Send,
        clock: clocks.Clock,
    ) -> None:
        """Initializes the service.

        Args:
          me: this node.
          fleet: the live nodes.
          entry: the admission control of this entry node.
          send: sends an update to the address of a node of the zone.
          clock: the clock.
        """
        self._me = me
        self._entry = entry
        self._send = send
        self._clock = clock
        self._directory = quotas.OwnerDirectory(fleet, clock)
        self._calculators: dict[str, admission_level.LevelCalculator] = {}
        # Coordinators whose levels this node received, and when.
        self._coordinators: dict[str, datetime.timedelta] = {}
        # Higher than all numbers before a restart, as incarnations are.
        self._number = me.incarnation
        self._last_computed = clock.monotonic()
        self._last_sent = -MIN_INTERVAL
        # Services whose last sent level refuses requests.
        self._limited: frozenset[str] = frozenset()

    @property
    def coordinated_services(self) -> list[str]:
        """Services for which this node computes a level now."""
        return list(self._calculators)

    def tick(self) -> None:
        """Sends the reports and levels that are due."""
        self._send_demands()
        now = self._clock.monotonic()
        count = self._directory.node_count(self._me.zone)
        interval = max(MIN_INTERVAL, count * _SECOND / MAX_COMPUTED_REPORTS)
        if self._calculators and now - self._last_computed >= interval:
            self._last_computed = now
            self._update_levels(now)

    def handle_update(
        self, sender: str, update: peer_updates.PeerUpdate
    ) -> None:
        """Handles reports and levels of another node of the zone."""
        now = self._clock.monotonic()
        for demand in update.demands:
            self._record(sender, demand, now)
        if update.admission_levels:
            self._coordinators[sender] = now
            self._entry.apply_levels(sender, update.admission_levels)

    def _record(
        self,
        sender: str,
        demand: admission_level.ServiceDemand,
        now: datetime.timedelta,
    ) -> None:
        calculator = self._calculators.get(demand.service)
        if calculator is None:
            if self._coordinator(demand.service) != self._me.name:
                return
            calculator = admission_level.LevelCalculator(demand.service, now)
            self._calculators[demand.service] = calculator
            log.info(
                "coordinating admission",
                extra=logs.fields(service=demand.service),
            )
        calculator.record(sender, demand, now)

    def _send_demands(self) -> None:
        count = self._directory.node_count(self._me.zone)
        levels = min(
            (len(self._coordinators) + 1) * _SECOND / MIN_INTERVAL,
            MAX_LEVELS_PER_SECOND,
        )
        reports = MAX_DATAGRAMS_PER_SECOND - levels
        interval = max(MIN_INTERVAL, count * _SECOND / reports)
        first = MIN_INTERVAL if count <= MAX_FIRST_REPORTS else interval
        demands = self._entry.take_demands(interval, first)
        if not demands:
            return
        by_node: dict[str, list[admission_level.ServiceDemand]] = {}
        for demand in demands:
            name = self._coordinator(demand.service)
            by_node.setdefault(name, []).append(demand)
        addresses = {item.name: item.address for item in self._zone_nodes("")}
        for name, its_demands in by_node.items():
            update = peer_updates.PeerUpdate(demands=tuple(its_demands))
            if name == self._me.name:
                self.handle_update(name, update)
            elif name in addresses:
                # The node list may have been refreshed since the coordinator
                # was chosen; the next report goes to its successor.
                self._send(addresses[name], update)

    def _update_levels(self, now: datetime.timedelta) -> None:
        """Computes levels, and sends them if due or if one begins or ends."""
        levels = []
        interval = self._level_interval(now)
        validity = max(
            admission_level.VALIDITY,
            VALID_INTERVALS * interval,
        )
        for service, calculator in list(self._calculators.items()):
            self._number += 1
            is_mine = self._coordinator(service) == self._me.name
            level = calculator.compute(self._number, now) if is_mine else None
            if level is None:
                levels.append(self._end(service))
            else:
                levels.append(dataclasses.replace(level, valid_for=validity))
        limited = frozenset(item.service for item in levels if not item.is_open)
        has_changed = limited != self._limited or any(
            not item.valid_for for item in levels
        )
        if has_changed or now - self._last_sent >= interval:
            self._limited = limited
            self._last_sent = now
            self._send_levels(tuple(levels))

    def _send_levels(
        self, levels: tuple[admission_level.AdmissionLevel, ...]
    ) -> None:
        update = peer_updates.PeerUpdate(admission_levels=levels)
        self._entry.apply_levels(self._me.name, levels)
        for item in self._zone_nodes(""):
            if item.name != self._me.name:
                self._send(item.address, update)

    def _end(self, service: str) -> admission_level.AdmissionLevel:
        """Stops coordinating a service; returns the end of its level."""
        del self._calculators[service]
        log.info(
            "coordinated admission ended", extra=logs.fields(service=service)
        )
        return admission_level.AdmissionLevel(
            service, self._number, datetime.timedelta()
        )

    def _coordinator(self, service: str) -> str:
        """Returns the name of a service's coordinator; this node if alone."""
        ordered = self._zone_nodes(service)
        return ordered[0].name if ordered else self._me.name

    def _zone_nodes(self, service: str) -> list[view.NodeRecord]:
        return self._directory.nodes_by_rank(service, self._me.zone)

    def _level_interval(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the time between levels while none begins or ends."""
        self._coordinators = {
            name: at
            for name, at in self._coordinators.items()
            if now - at < admission_level.VALIDITY
        }
        senders = len(self._coordinators) + 1
        count = self._directory.node_count(self._me.zone)
        return max(
            MIN_INTERVAL,
            senders * _SECOND / MAX_LEVELS_PER_SECOND,
            count * _SECOND / MAX_SENT_LEVELS_PER_SECOND,
        )
