"""Serves a request: routes it, places it and passes it to a target's home."""

import asyncio
import dataclasses
import datetime

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.callers import counts
from endivewind.callers import placement
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


class Gateway:
    """What happens to a request between the listener and the home."""

    def __init__(
        self,
        node: str,
        placement: placement.Placement,
        configuration: store.ConfigurationStore,
        fleet: view.FleetView,
        dispatcher: dispatch.Dispatcher,
        pool: links.LinkPool,
        clock: clocks.Clock,
    ) -> None:
        self._node = node
        self._placement = placement
        self._configuration = configuration
        self._fleet = fleet
        self._dispatcher = dispatcher
        self._pool = pool
        self._clock = clock
        self._table = routing.RoutingTable()
        self._counts = counts.RequestCounts(clock)

    @property
    def counts(self) -> counts.RequestCounts:
        """Counts of this entry's requests."""
        return self._counts

    def configure(self, kind: str, name: str) -> None:
        """Takes one object that has come into force."""
        if kind == store.ROUTE_GROUP:
            group = self._configuration.route_group(name)
            self._table.replace(name, group.routes if group else ())

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
        record: records.TargetRecord | None = None
        for number in range(1, MAX_PLACINGS + 1):
            demand = placing.Demand(may_repeat(route, head.method), tried)
            record = self._moved(record, last) or self._placement.choose(
                route.service, demand
            )
            if record is None:
                break
            tried.add(record.id)
            self._counts.placed(route.service, number)
            remaining = deadline - self._clock.monotonic()
            attempt = head.for_attempt(number, remaining)
            result = await self._attempt(record, attempt, body)
            if result.is_ok():
                return result
            last = result.error
            if not _may_place_again(route, head, body, last):
                break
        return expression.Error(last)

    def _moved(
        self, record: records.TargetRecord | None, last: exchange.Refusal
    ) -> records.TargetRecord | None:
        """The target just tried, at the later home that the last one named."""
        home = self._fleet.nodes.get(last.moved_to)
        if record is None or home is None:
            return None
        return dataclasses.replace(
            record, home=home.name, home_incarnation=home.incarnation
        )

    async def _attempt(
        self,
        record: records.TargetRecord,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> AnswerResult:
        started = self._clock.monotonic()
        self._placement.started(record)
        result: AnswerResult | None = None
        try:
            result = await self._pass_on(record, head, body)
        except TimeoutError:
            result = expression.Error(
                exchange.unknown(
                    exchange.Reason.DEADLINE, "no answer before the deadline"
                )
            )
        finally:
            latency = self._clock.monotonic() - started
            self._placement.ended(record, result, latency)
        return result

    async def _pass_on(
        self,
        record: records.TargetRecord,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> AnswerResult:
        if record.home == self._node:
            return await self._dispatcher.run(record.id, head, body)
        home = self._fleet.nodes.get(record.home)
        if home is None:
            return expression.Error(
                exchange.not_run(
                    exchange.Reason.HOME_UNREACHABLE, f"{record.home} is gone"
                )
            )
        # The dispatcher above bounds its own work; here the bound holds also
        # where the home has gone silent.
        async with asyncio.timeout(head.remaining.total_seconds()):
            return await self._pool.forward(home, record.id, head, body)


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
