"""Serves a request: routes it, places it and passes it to a target's home."""

import asyncio
import collections.abc
import dataclasses
import datetime
import logging
import random
from typing import Any

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind import logs
from endivewind.callers import allowances
from endivewind.callers import budgets
from endivewind.callers import counts
from endivewind.callers import crashes
from endivewind.callers import hedging
from endivewind.callers import origins
from endivewind.callers import placement
from endivewind.callers import routed
from endivewind.callers import routing
from endivewind.callers import waiting
from endivewind.callers import workspaces
from endivewind.config import objects
from endivewind.config import store
from endivewind.decisions import admission
from endivewind.decisions import load_balancing
from endivewind.decisions import traffic_splitting
from endivewind.nodes import links
from endivewind.nodes import view
from endivewind.targets import dispatch
from endivewind.targets import records

log = logging.getLogger(__name__)

AnswerResult = routed.AnswerResult

# Hears how requests went at targets of other homes.
Witness = collections.abc.Callable[
    [records.TargetRecord, str, AnswerResult, datetime.timedelta], None
]

# Homes that are asked for one request; most of them refuse before their target
# has any work of it, and each costs a hop. A full target rests for a quarter of
# its work's length, so that these last for some lengths of it: an order with a
# deadline of many lengths is not refused in the first of them.
MAX_PLACINGS = 16
# When a second target is asked, as a part of the time that its answer has:
# nineteen in twenty have answered by then, and the second one still has time
# to.
HEDGE_SHARE = 0.6
# When it is asked although few retries are left: what is silent for so long has
# failed, though nothing has ended.
FAILED_SHARE = 1.0
# Part of the retry budget that may be spent before doubtful targets are left
# alone, and slow answers waited for: the rest is for requests that have
# failed. One that is late is worth something, one that failed is not.
CHOSEN_SPENT = 0.4
# Each time to ask a second target, with the retries that may be spent before.
_HEDGES = ((HEDGE_SHARE, CHOSEN_SPENT), (FAILED_SHARE, 1.0))
# From this part on every retry has several takers.
CARE_SPENT = 0.75
# Part of the time left to a request that it may wait for a slot.
WAIT_SHARE = 0.5
# A home hears of a failure before the entry does.
RISK_MARGIN = 0.1


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
        witness: Witness | None = None,
        rng: random.Random | None = None,
        origin: origins.Origins | None = None,
        quota: allowances.Allowances | None = None,
    ) -> None:
        self._origins = origin or origins.Origins(clock)
        self._rng = rng or random.Random()
        self._witness = witness
        self._node = node
        self._placement = placement
        self._configuration = configuration
        self._fleet = fleet
        self._dispatcher = dispatcher
        self._pool = pool
        self._clock = clock
        self._table = routing.RoutingTable()
        self._budgets = budgets.RetryBudgets(
            configuration, fleet, placement.place, clock
        )
        self._quota = quota
        self._crashes = crashes.CrashWatch(clock)
        self._workspaces = workspaces.Workspaces(configuration)
        self._waiting = waiting.WaitingRoom(placement, self._queue_limit, clock)
        self._counts = counts.RequestCounts(clock)
        self._limits: objects.CallerLimits | None = None
        self._splitters: dict[
            objects.Route, traffic_splitting.TrafficSplitter
        ] = {}
        self._open: set[routed.RoutedRequest] = set()

    @property
    def origins(self) -> origins.Origins:
        """Which ways are callers'."""
        return self._origins

    @property
    def workspaces(self) -> workspaces.Workspaces:
        """The workspaces in force."""
        return self._workspaces

    @property
    def budgets(self) -> budgets.RetryBudgets:
        """What this entry may retry."""
        return self._budgets

    @property
    def counts(self) -> counts.RequestCounts:
        """Counts of this entry's requests."""
        return self._counts

    def configure(self, kind: str, name: str) -> None:
        """Takes one object that has come into force."""
        if kind == store.ROUTE_GROUP:
            group = self._configuration.route_group(name)
            self._table.replace(name, group.routes if group else ())
        elif kind == store.DOCUMENT:
            document = self._configuration.document(name)
            self._table.replace(name, document.routes if document else ())
            self._limits = document.limits if document else None
            self._splitters.clear()
        self._workspaces.configure(kind, name)

    def _queue_limit(self, service: str) -> int:
        found = self._configuration.service(service) or objects.Service()
        return found.queue_limit

    def route(
        self, host: str, path: str, workspace: str
    ) -> objects.Route | None:
        """The route of a request, or None."""
        return self._table.match(host, path, workspace)

    def service_of(self, route: objects.Route) -> str:
        """The service that takes the next request of a route."""
        if not route.split:
            return route.service
        splitter = self._splitters.get(route)
        if splitter is None:
            parts = [
                traffic_splitting.WeightedService(share.service, share.weight)
                for share in route.split
            ]
            splitter = traffic_splitting.TrafficSplitter(parts, self._rng)
            self._splitters[route] = splitter
        return splitter.next_service()

    def limits(self) -> objects.CallerLimits | None:
        """What callers are held to by the configuration, if it says so."""
        return self._limits

    def timeout(self, route: objects.Route) -> datetime.timedelta | None:
        """How long a route lets its callers wait, if it says so."""
        if not route.timeout_ms:
            return None
        return datetime.timedelta(milliseconds=route.timeout_ms)

    def default_timeout(self, route: objects.Route) -> datetime.timedelta:
        """The deadline of a request that brings none on such a route."""
        name = route.service or route.split[0].service
        found = self._configuration.service(name) or objects.Service()
        return datetime.timedelta(milliseconds=found.timeout_ms)

    async def serve(
        self,
        route: objects.Route,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> AnswerResult:
        """Places a request until a target has run it or may have run it."""
        started = self._clock.monotonic()
        deadline = started + head.remaining
        refused = self._crashes.refusal(head, body)
        refused = refused or await self._over_quota(head.workspace)
        if refused is not None:
            return expression.Error(refused)
        call = routed.RoutedRequest(route, head, body, deadline, started)
        call.task = asyncio.current_task()
        self._open.add(call)
        try:
            told = await self._serve(call)
        except asyncio.CancelledError:
            if not call.was_ended():
                raise
            told = call.told_at_end()
        finally:
            self._open.discard(call)
        self._return_quota(head.workspace, told)
        told = self._with_a_time(told)
        self._log(call, told)
        return told

    def _with_a_time(self, told: AnswerResult) -> AnswerResult:
        """A refusal of work that has not run, with the time to come back.

        Homes and targets refuse without one, since the entry may have others
        to ask. Its caller, told nothing, comes back at once or never.
        """
        if told.is_ok() or not told.error.was_not_run:
            return told
        if told.error.retry_after is not None:
            return told
        wait = self._placement.come_back_after(placement.LEAST_RETRY)
        refusal = dataclasses.replace(told.error, retry_after=wait)
        return expression.Error(refusal)

    def end_all(self) -> None:
        """Ends every request now; each caller hears what is known of it."""
        for call in list(self._open):
            call.end()

    async def _serve(self, call: routed.RoutedRequest) -> AnswerResult:
        """Tries targets until one has answered or no other may be tried."""
        self._count(call)
        last = await self._first(call)
        while call.may_go_on(MAX_PLACINGS) and call.may_place_again(last):
            if self._crashes.refusal(call.head, call.body) is not None:
                break
            record = self._moved(call, last)
            if record is None and routed.was_unseen(last):
                last = await self._again(call, last)
                continue
            if record is None:
                if not self._pays(call.head.service):
                    break
                last = await self._placed(call, call.demand(may_probe=False))
                continue
            self._placement.started(record, len(call.body.buffered))
            last = await self._attempt(call, record)
        return call.told(last)

    def _count(self, call: routed.RoutedRequest) -> None:
        """Counts a request towards the retries of its service, or as one."""
        service, prefix = call.head.service, call.route.prefix
        if self._origins.is_caller(service, prefix):
            self._budgets.of(service).record_request(call.started)
        share = self._origins.repeat_share(service, prefix)
        if share:
            self._budgets.charge(service, share)

    def _log(self, call: routed.RoutedRequest, told: AnswerResult) -> None:
        """One line for a request that took more than one plain answer."""
        plain = told.is_ok() and told.ok.status not in routed.FAILED_STATUS
        if plain and call.tries <= 1:
            return
        spent = self._clock.monotonic() - call.started
        fields = logs.fields(
            request_id=call.head.request_id,
            service=call.head.service,
            prefix=call.route.prefix,
            once=not call.repeatable,
            result=routed.word(told),
            milliseconds=routed.milliseconds(spent),
            tries=[step.as_fields() for step in call.steps],
        )
        log.info("request", extra=fields)

    def _pays(self, service: str) -> bool:
        """Takes one retry from the budget; False where none is left.

        While requests wait here for slots a retry would take the place of
        one of them; then this entry does not use what others have left.
        """
        return self._budgets.of(service).take(
            self._clock.monotonic(),
            may_borrow=not self._waiting.waiting(service),
        )

    def _moved(
        self, call: routed.RoutedRequest, last: AnswerResult
    ) -> records.TargetRecord | None:
        """The target just tried, at the later home that the last one named."""
        if last.is_ok() or call.record is None:
            return None
        home = self._fleet.nodes.get(last.error.moved_to)
        if home is None:
            return None
        return dataclasses.replace(
            call.record, home=home.name, home_incarnation=home.incarnation
        )

    async def _again(
        self, call: routed.RoutedRequest, last: AnswerResult
    ) -> AnswerResult:
        """Puts a request back into the queue that its home had no slot for."""
        if last.error.reason is exchange.Reason.BUSY and call.record:
            # It rests for a moment, and may be the only one there is.
            call.tried.discard(call.record.id)
        return await self._first(call)

    async def _first(self, call: routed.RoutedRequest) -> AnswerResult:
        """Sends a request that no target has seen.

        Load: most of a service fails, and its retries run out. Harm: a
        look-up that may be tried again in theory goes to a doubtful target,
        and its failure is final. It is placed as carefully as an order.
        """
        budget = self._budgets.of(call.head.service)
        spent = budget.spent_share(self._clock.monotonic())
        demand = call.demand(
            may_probe=spent <= CHOSEN_SPENT,
            is_last=spent >= CARE_SPENT and budget.has_any,
        )
        return await self._placed(call, demand)

    async def _placed(
        self, call: routed.RoutedRequest, demand: load_balancing.Demand
    ) -> AnswerResult:
        """Waits for a slot within the fair order, and sends the request."""
        owner = self._workspaces.get(call.head.workspace)
        weight = owner.weight if owner else 1
        placed = await self._waiting.place(
            waiting.Claim(
                call.head.service,
                demand,
                admission.Waiter(
                    call.head.workspace,
                    weight,
                    call.head.queue_priority,
                    self._wait_until(call),
                ),
                len(call.body.buffered),
            )
        )
        if placed.is_error():
            call.given_up = True
            return expression.Error(placed.error)
        if not call.may_hedge:
            return await self._attempt(call, placed.ok)
        return await self._hedged(call, placed.ok)

    def _wait_until(self, call: routed.RoutedRequest) -> datetime.timedelta:
        """How long a request waits for a slot before it is refused.

        Load: a service that gets more than it can take for longer than its
        callers wait, most of it of a higher rank. Harm: the rest waits for
        its deadline and is refused then, when it is too late to come back.
        Half of the time is left to whoever is refused here.
        """
        now = self._clock.monotonic()
        return now + WAIT_SHARE * (call.deadline - now)

    async def _hedged(
        self, call: routed.RoutedRequest, record: records.TargetRecord
    ) -> AnswerResult:
        """Sends the request to a second target if the first is late.

        Load: a target that hangs, or is slow for one request in twenty. Harm:
        a caller who would have had its answer from another target in time
        waits for the deadline. Both run on, and the first that has not failed
        is taken.
        """
        first = asyncio.create_task(self._attempt(call, record))
        tasks = {first}
        started = self._clock.monotonic()
        # A route may let its callers wait for less than its aim.
        time = min(
            call.head.latency_objective, HEDGE_SHARE * (call.deadline - started)
        )
        try:
            for share, spent in _HEDGES:
                wait = started + share * time - self._clock.monotonic()
                await asyncio.wait(tasks, timeout=wait.total_seconds())
                second = None if first.done() else self._second(call, spent)
                if second is not None:
                    tasks.add(asyncio.create_task(second))
                if first.done() or second is not None:
                    break
            return await hedging.first_good(tasks)
        finally:
            await hedging.end(tasks)

    def _second(
        self, call: routed.RoutedRequest, most_spent: float
    ) -> collections.abc.Coroutine[Any, Any, AnswerResult] | None:
        """An attempt at another target with a free slot, if one may be made.

        Args:
          call: the request.
          most_spent: the part of the retries that may be spent before.
        """
        if self._spent(call) > most_spent:
            return None
        demand = load_balancing.Demand(True, call.tried, is_last=True)
        record = self._placement.choose(call.head.service, demand)
        if record is None:
            return None
        if not self._pays(call.head.service):
            return None
        self._placement.started(record, len(call.body.buffered))
        return self._attempt(call, record)

    def _spent(self, call: routed.RoutedRequest) -> float:
        """The part of its service's retries that is spent."""
        budget = self._budgets.of(call.head.service)
        return budget.spent_share(self._clock.monotonic())

    async def _over_quota(self, workspace: str) -> exchange.Refusal | None:
        """A refusal where the workspace has used up its quota."""
        if self._quota is None or self._workspaces.quota(workspace) is None:
            return None
        wait = await self._quota.take(workspace)
        if wait is None:
            return None
        return exchange.not_run(
            exchange.Reason.RATE_LIMITED,
            "the workspace is over its quota",
            self._placement.come_back_after(max(wait, placement.LEAST_RETRY)),
        )

    def _return_quota(self, workspace: str, told: AnswerResult) -> None:
        """Gives the request back that no target has run."""
        if self._quota is None or self._workspaces.quota(workspace) is None:
            return
        if told.is_error() and told.error.was_not_run:
            self._quota.give_back(workspace)

    async def _attempt(
        self, call: routed.RoutedRequest, record: records.TargetRecord
    ) -> AnswerResult:
        """Sends the request to a target whose slot is counted already."""
        call.tries += 1
        call.tried.add(record.id)
        call.record = record
        self._counts.placed(call.head.service, call.tries)
        started = self._clock.monotonic()
        suspicion = self._placement.suspicion(record.id)
        head = call.head.for_attempt(
            call.tries,
            call.deadline - started,
            _risk(suspicion),
            may_be_duplicate=call.sent + call.under_way > 0,
        )
        call.under_way += 1
        result: AnswerResult | None = None
        try:
            result = await self._pass_on(record, head, call.body)
        except TimeoutError:
            result = expression.Error(
                exchange.outcome_unknown(
                    exchange.Reason.DEADLINE, "no answer before the deadline"
                )
            )
        finally:
            latency = self._clock.monotonic() - started
            self._note(call, record, result, started, suspicion)
            call.is_open = call.is_open or result is None
            call.under_way -= 1
            self._placement.ended(record, result, latency)
            self._waiting.ended(call.head.service)
        if not routed.was_unseen(result):
            call.sent += 1
        if result.is_ok() or not result.error.was_not_run:
            call.reached = result
            self._crashes.ended(head, call.body, record, result)
        if self._witness is not None and record.home != self._node:
            self._witness(record, call.head.workspace, result, latency)
        return result

    def _note(
        self,
        call: routed.RoutedRequest,
        record: records.TargetRecord,
        result: AnswerResult | None,
        started: datetime.timedelta,
        suspicion: float,
    ) -> None:
        """Keeps how one attempt went, and what it was chosen by."""
        call.steps.append(
            routed.Step(
                record.id,
                record.home,
                started - call.started,
                self._clock.monotonic() - started,
                suspicion,
                result,
            )
        )

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


def _risk(suspicion: float) -> float:
    """How likely a target may be sick for its home to take the request.

    It was chosen for want of a better one; its home refuses only what is
    clearly worse than the entry believed.
    """
    return max(exchange.DEFAULT_MAX_SUSPICION, suspicion + RISK_MARGIN)
