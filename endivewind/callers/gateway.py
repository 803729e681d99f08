"""Serves a request: routes it, places it and passes it to a target's home."""

import collections
import collections.abc
import dataclasses
import datetime
import random

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.callers import routing
from endivewind.config import objects
from endivewind.config import store
from endivewind.decisions import placing
from endivewind.nodes import links
from endivewind.nodes import view
from endivewind.targets import dispatch
from endivewind.targets import records

AnswerResult = expression.Result[exchange.Answer, exchange.Refusal]

NO_TARGET_RETRY = datetime.timedelta(seconds=1)
MAX_PLACINGS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where this node is, for placing near it."""

    node: str
    region: str
    zone: str


class Gateway:
    """What happens to a request between the listener and the home."""

    def __init__(
        self,
        place: Place,
        configuration: store.ConfigurationStore,
        fleet: view.FleetView,
        dispatcher: dispatch.Dispatcher,
        pool: links.LinkPool,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._place = place
        self._configuration = configuration
        self._fleet = fleet
        self._dispatcher = dispatcher
        self._pool = pool
        self._clock = clock
        self._rng = rng
        self._in_use: dict[str, int] = collections.defaultdict(int)
        self._table = routing.RoutingTable(())

    def configure(self) -> None:
        """Takes the routes that are in force now."""
        groups = self._configuration.route_groups()
        routes = [route for group in groups for route in group.routes]
        self._table = routing.RoutingTable(routes)

    def route(
        self, host: str, path: str, workspace: str
    ) -> objects.Route | None:
        """The route of a request, or None."""
        return self._table.match(host, path, workspace)

    def timeout(self, service: str) -> datetime.timedelta:
        """The deadline of a request that brings none."""
        found = self._configuration.service(service) or objects.Service()
        return datetime.timedelta(milliseconds=found.timeout_ms)

    async def serve(
        self,
        route: objects.Route,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> AnswerResult:
        """Places a request until a target has run it or may have run it."""
        deadline = self._clock.monotonic() + head.remaining
        tried: set[str] = set()
        last = exchange.not_run(
            exchange.Reason.NO_TARGET,
            f"no target of {route.service} can take work",
            NO_TARGET_RETRY,
        )
        for _ in range(MAX_PLACINGS):
            record = self._choose(route.service, tried)
            if record is None:
                break
            tried.add(record.id)
            remaining = deadline - self._clock.monotonic()
            attempt = dataclasses.replace(head, remaining=remaining)
            result = await self._attempt(record, attempt, body)
            if result.is_ok():
                return result
            last = result.error
            if not _may_place_again(route, head, body, last):
                break
        return expression.Error(last)

    def _choose(
        self, service: str, tried: collections.abc.Set[str]
    ) -> records.TargetRecord | None:
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

    def _distance(self, record: records.TargetRecord) -> int:
        if record.region != self._place.region:
            return 2
        return 0 if record.zone == self._place.zone else 1

    async def _attempt(
        self,
        record: records.TargetRecord,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> AnswerResult:
        self._in_use[record.id] += 1
        try:
            if record.home == self._place.node:
                return await self._dispatcher.run(record.id, head, body)
            home = self._fleet.nodes.get(record.home)
            if home is None:
                return expression.Error(
                    exchange.not_run(
                        exchange.Reason.UNREACHABLE, f"{record.home} is gone"
                    )
                )
            return await self._pool.forward(home, record.id, head, body)
        finally:
            self._in_use[record.id] -= 1


def _may_place_again(
    route: objects.Route,
    head: exchange.RequestHead,
    body: exchange.RequestBody,
    refusal: exchange.Refusal,
) -> bool:
    if not body.replayable or refusal.reason is exchange.Reason.DEADLINE:
        return False
    if refusal.outcome is exchange.Outcome.NOT_RUN:
        return True
    return may_repeat(route, head.method)


def may_repeat(route: objects.Route, method: str) -> bool:
    """Whether the route lets a request of this method run more than once."""
    match route.repeat:
        case objects.Repeat.ALWAYS:
            return True
        case objects.Repeat.NEVER:
            return False
        case _:
            return method in objects.SAFE_METHODS
