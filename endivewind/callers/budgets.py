"""The retry budgets of this entry's services, within the fleet's limits."""

import datetime

from endivewind import clock as clocks
from endivewind.config import objects
from endivewind.config import store
from endivewind.decisions import placing
from endivewind.decisions import retries
from endivewind.decisions import telling
from endivewind.nodes import view


class RetryBudgets:
    """One budget for each service, as configured, with others' tallies."""

    def __init__(
        self,
        configuration: store.ConfigurationStore,
        fleet: view.FleetView,
        place: placing.Place,
        clock: clocks.Clock,
    ) -> None:
        self._place = place
        self._configuration = configuration
        self._fleet = fleet
        self._clock = clock
        self._budgets: dict[str, retries.RetryBudget] = {}
        self._told: dict[str, int] = {}
        self._neighbours = 0
        self._last = -telling.GAP

    def of(self, service: str) -> retries.RetryBudget:
        """The budget of a service, with its limits in force."""
        found = self._configuration.service(service) or objects.Service()
        limits = self._limits(found)
        known = self._budgets.get(service)
        if known is None:
            known = self._budgets[service] = retries.RetryBudget(limits)
        known.configure(limits)
        return known

    def hear(self, node: str, tally: telling.Tally) -> None:
        """Takes what another entry near by has used of its part."""
        known = self._budgets.get(tally.service)
        if known is not None:
            known.hear(node, tally.count, self._clock.monotonic())

    def due(self) -> tuple[telling.Tally, ...]:
        """Tallies that the other entries near by must hear now.

        Call it often; how many there are is looked up here, too.
        """
        self._neighbours = self._count_neighbours()
        now = self._clock.monotonic()
        if now - self._last < telling.GAP:
            return ()
        found = []
        for service, budget in self._budgets.items():
            count = budget.count(now)
            told = self._told.get(service, 0)
            if count.retries != told and budget.is_small(now):
                self._told[service] = count.retries
                found.append(telling.Tally(service, count))
        if found:
            self._last = now
        return tuple(found)

    def _limits(self, service: objects.Service) -> retries.RetryLimits:
        """This node's part of what all nodes together may retry."""
        reserve = retries.RESERVE
        if service.retry_reserve:
            reserve = service.retry_reserve / max(1, len(self._fleet.nodes))
        return retries.RetryLimits(
            service.retry_percent / 100,
            reserve,
            datetime.timedelta(milliseconds=service.retry_window_ms),
            self._neighbours,
        )

    def _count_neighbours(self) -> int:
        """Other nodes that hear each other's tallies."""
        nodes = self._fleet.nodes.values()
        region = sum(item.region == self._place.region for item in nodes)
        if telling.shares_region(region - 1):
            return max(0, region - 1)
        zone = sum(item.zone == self._place.zone for item in nodes)
        return min(max(0, zone - 1), telling.HEARERS)
