"""The gateway: routes a request, chooses a target and sends the request there.

The listener and the ticket handler call it. It retries within the service's
retry budget, sends hedged requests, and applies workspace quotas and the
protection against poison requests.
"""

import asyncio
import collections.abc
import dataclasses
import datetime
import logging
import random

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind import logs
from endivewind.callers import abort_controller
from endivewind.callers import admission_control
from endivewind.callers import budgets
from endivewind.callers import entry_routes
from endivewind.callers import hedging
from endivewind.callers import placement
from endivewind.callers import poison_guard
from endivewind.callers import quota_client
from endivewind.callers import request_metrics
from endivewind.callers import request_queues
from endivewind.callers import routed_request
from endivewind.callers import routing
from endivewind.callers import workspaces
from endivewind.config import objects
from endivewind.config import store
from endivewind.decisions import admission
from endivewind.decisions import load_balancing
from endivewind.decisions import response_durations
from endivewind.decisions import retry_budget
from endivewind.decisions import traffic_splitting
from endivewind.nodes import links
from endivewind.nodes import view
from endivewind.targets import dispatch
from endivewind.targets import records

log = logging.getLogger(__name__)

ResponseResult = routed_request.ResponseResult

# Called with the target, the workspace, the result and the latency of each
# attempt at a target whose home is another node.
RemoteResultObserver = collections.abc.Callable[
    [records.TargetRecord, str, ResponseResult, datetime.timedelta], None
]

# Attempts of one request, each at a home. Most refusals come from the home,
# before the target receives anything, and cost a hop. A full target is tried
# again after a cooldown of a quarter of the usual latency, so 16 attempts last
# for several latencies: a request whose deadline is many latencies away is not
# refused within the first of them.
MAX_ATTEMPTS = 16
# Delay of a hedged request, as a share of the latency objective. About 95 % of
# requests have a response by then, and the second target still has time for
# one.
HEDGE_DELAY_SHARE = 0.6
# Delay after which a hedged request is sent although few retries are left: an
# attempt without a response for so long counts as failed.
LATE_HEDGE_DELAY_SHARE = 1.0
# Spent share of the retry budget above which suspect targets are no longer
# probed and slow responses no longer hedged. The rest is kept for failed
# requests, since a late response is worth something and a failure nothing.
MAX_HEDGE_BUDGET_SHARE = 0.4
# Delays of hedged requests, each with the spent share of the retry budget up to
# which it applies.
_HEDGE_STAGES = (
    (HEDGE_DELAY_SHARE, MAX_HEDGE_BUDGET_SHARE),
    (LATE_HEDGE_DELAY_SHARE, 1.0),
)
# Spent share of the retry budget from which each attempt is made as if it were
# the last: several requests compete for each remaining retry, so a retry can't
# be counted on.
LAST_ATTEMPT_BUDGET_SHARE = 0.75
# Share of a request's remaining time that it may wait in the request queue.
MAX_QUEUE_TIME_SHARE = 0.5
# A stopping node sends requests only if it lasts for this many times the longest
# recent duration of their route.
OUTLASTING_FACTOR = 1.25
# A home refuses a non-idempotent request if its estimate of the target's
# suspicion exceeds the entry node's by more than this. It often is somewhat
# higher, because a home learns of failures earlier.
SUSPICION_MARGIN = 0.1


class Gateway:
    """Serves requests by sending them to targets, with retries and hedging."""

    def __init__(
        self,
        node: str,
        placement: placement.Placement,
        configuration: store.ConfigurationStore,
        fleet: view.FleetView,
        dispatcher: dispatch.Dispatcher,
        pool: links.LinkPool,
        clock: clocks.Clock,
        observer: RemoteResultObserver | None = None,
        rng: random.Random | None = None,
        known_entry_routes: entry_routes.EntryRoutes | None = None,
        quota_client: quota_client.QuotaClient | None = None,
        admission_control: admission_control.AdmissionControl | None = None,
        *,
        retry_budgets: budgets.RetryBudgets | None = None,
        aborts: abort_controller.AbortController | None = None,
        crash_reporter: poison_guard.CrashReporter | None = None,
    ) -> None:
        self._entry_routes = known_entry_routes or entry_routes.EntryRoutes(
            clock
        )
        self._rng = rng or random.Random()
        self._observer = observer
        self._node = node
        self._placement = placement
        self._configuration = configuration
        self._fleet = fleet
        self._dispatcher = dispatcher
        self._pool = pool
        self._clock = clock
        self._routing_table = routing.RoutingTable()
        self._budgets = retry_budgets or budgets.RetryBudgets(
            configuration, fleet, placement.locality, clock, self._rng
        )
        self._quota_client = quota_client
        self._admission_control = admission_control
        self._poison_guard = poison_guard.PoisonGuard(
            clock, crash_reporter, self._rng
        )
        self._workspaces = workspaces.Workspaces(configuration)
        self._request_queues = request_queues.RequestQueues(
            placement, self._queue_limit, clock
        )
        placement.on_link_share(self._request_queues.assign_free_slots)
        self._metrics = request_metrics.RequestMetrics(clock)
        self._caller_limits: objects.CallerLimits | None = None
        self._splitters: dict[
            objects.Route, traffic_splitting.TrafficSplitter
        ] = {}
        self._aborts = aborts or abort_controller.AbortController()
        self._durations = response_durations.ResponseDurations()
        self._ends_at: datetime.timedelta | None = None

    @property
    def entry_routes(self) -> entry_routes.EntryRoutes:
        """The routes by which requests of callers enter the fleet."""
        return self._entry_routes

    @property
    def workspaces(self) -> workspaces.Workspaces:
        """The workspaces of the current configuration."""
        return self._workspaces

    @property
    def budgets(self) -> budgets.RetryBudgets:
        """The retry budgets of this entry node."""
        return self._budgets

    @property
    def metrics(self) -> request_metrics.RequestMetrics:
        """The request metrics of this entry node."""
        return self._metrics

    def apply_object(self, kind: str, name: str) -> None:
        """Applies a changed object of the configuration."""
        if kind == store.ROUTE_GROUP:
            group = self._configuration.route_group(name)
            self._routing_table.replace(name, group.routes if group else ())
        elif kind == store.DOCUMENT:
            document = self._configuration.document(name)
            self._routing_table.replace(
                name, document.routes if document else ()
            )
            self._caller_limits = document.limits if document else None
            self._splitters.clear()
        self._workspaces.apply_object(kind, name)

    def _queue_limit(self, service: str) -> int:
        settings = self._configuration.service(service) or objects.Service()
        return settings.queue_limit

    def route(
        self, host: str, path: str, workspace: str
    ) -> objects.Route | None:
        """Returns the route of a request, or None."""
        return self._routing_table.match(host, path, workspace)

    def waiter_count(self, service: str) -> int:
        """Returns how many requests of a service wait for a target."""
        return self._request_queues.waiter_count(service)

    def choose_service(self, route: objects.Route) -> str:
        """Returns the service for the next request of a route."""
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
        """Returns the configured limits for callers, or None."""
        return self._caller_limits

    def timeout(self, route: objects.Route) -> datetime.timedelta | None:
        """Returns the configured time limit of a route, or None."""
        if not route.timeout_ms:
            return None
        return datetime.timedelta(milliseconds=route.timeout_ms)

    def default_timeout(self, route: objects.Route) -> datetime.timedelta:
        """Returns the time limit of a request that sets none itself."""
        name = route.service or route.split[0].service
        settings = self._configuration.service(name) or objects.Service()
        return datetime.timedelta(milliseconds=settings.timeout_ms)

    async def serve(
        self,
        route: objects.Route,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> ResponseResult:
        """Sends a request to targets until one has, or may have, executed it.

        Returns:
          The target's response, or a refusal.
        """
        started = self._clock.monotonic()
        request = routed_request.RoutedRequest(
            route, head, body, started + head.remaining_time, started
        )
        return await self._aborts.run(
            lambda: self._send_if_allowed(request), request.abort_result
        )

    async def _send_if_allowed(
        self, request: routed_request.RoutedRequest
    ) -> ResponseResult:
        """Sends a request, as a trial if it is suspect of crashing targets."""
        refused = await self._obtain_trial(request)
        if refused is not None:
            return expression.Error(refused)
        try:
            return await self._admit_and_send(request)
        finally:
            self._poison_guard.release_trial(request.trial)

    async def _admit_and_send(
        self, request: routed_request.RoutedRequest
    ) -> ResponseResult:
        route, head, body = request.route, request.head, request.body
        refused = await self._quota_refusal(head.workspace)
        if refused is not None:
            return expression.Error(refused)
        refused = self._admission_refusal(route, head)
        if refused is not None:
            result: ResponseResult = expression.Error(refused)
            self._refund_quota(head.workspace, result)
            return result
        request.traffic = self._placement.describe_traffic(
            route.prefix, head, body
        )
        result = await self._aborts.run(
            lambda: self._run_attempts(request), request.abort_result
        )
        if self._admission_control is not None and request.delivered_count:
            self._admission_control.record_served(head.service)
        self._refund_quota(head.workspace, result)
        result = self._with_retry_after(result)
        self._log(request, result)
        return result

    def _admission_refusal(
        self, route: objects.Route, head: exchange.RequestHead
    ) -> exchange.Refusal | None:
        """Returns a refusal if the request is below the admission level."""
        if self._admission_control is None or not (
            self._placement.admitted_slots(head.service)
        ):
            return None
        workspace = self._workspaces.get(head.workspace)
        level = self._admission_control.check(
            head,
            workspace.weight if workspace else 1,
            is_call=not self._entry_routes.is_from_caller(
                head.service, route.prefix
            ),
        )
        if level is None:
            return None
        return admission_control.refusal(level, self._placement)

    def refuse_outlasting(self, timeout: datetime.timedelta) -> None:
        """Refuses requests that may outlast this node.

        Scenario: a node is stopped, and callers still send it requests: their
        load balancers notice it late. Risk: a request is sent to a target that
        works on it for longer than the node has left. Its caller is told that
        the outcome is unknown, although the target completes it. Refused as
        not run, the caller sends it to another node.

        Args:
          timeout: the time until this node ends.
        """
        self._ends_at = self._clock.monotonic() + timeout

    def _outlasting_refusal(
        self, request: routed_request.RoutedRequest
    ) -> exchange.Refusal | None:
        """Returns a refusal if a request may not end before this node does."""
        if self._ends_at is None:
            return None
        now = self._clock.monotonic()
        longest = self._durations.longest(request.route.prefix)
        needed = (
            request.head.latency_objective
            if longest is None
            else OUTLASTING_FACTOR * longest
        )
        if now + min(needed, request.deadline - now) <= self._ends_at:
            return None
        return exchange.not_run_refusal(
            exchange.Reason.STOPPING,
            "the request may outlast this node, which is stopping",
            routed_request.SHUTDOWN_RETRY_AFTER,
        )

    def refuse_overdue(self) -> None:
        """Refuses requests that were held too long for the level in force."""
        if self._admission_control is not None:
            for item in self._admission_control.overdue():
                self._request_queues.refuse(item)

    def _with_retry_after(self, result: ResponseResult) -> ResponseResult:
        """Adds a Retry-After to a refusal of a request that was not executed.

        Most refusals by homes and targets have no Retry-After, since the entry
        node may try other targets. If the caller got none, it would retry
        immediately or not at all.
        """
        if result.is_ok() or not result.error.was_not_run:
            return result
        if result.error.retry_after is not None:
            return result
        wait = self._placement.retry_after(placement.MIN_RETRY_AFTER)
        refusal = dataclasses.replace(result.error, retry_after=wait)
        return expression.Error(refusal)

    async def _run_attempts(
        self, request: routed_request.RoutedRequest
    ) -> ResponseResult:
        """Makes attempts until one succeeds or no further one is allowed."""
        self._count_request(request)
        try:
            return await self._attempt_and_retry(request)
        finally:
            request.cancel_retry()

    async def _attempt_and_retry(
        self, request: routed_request.RoutedRequest
    ) -> ResponseResult:
        """Makes attempts; a retry that was not sent remains in the request."""
        last = await self._place_unsent(request)
        while request.has_attempts_left(MAX_ATTEMPTS) and request.can_retry(
            last
        ):
            if not await self._poison_guard.allows_retry(
                request.head, request.body, request.crash_reports
            ):
                break
            if await self._obtain_trial(request) is not None:
                break
            record = self._relocated_target(request, last)
            if record is None and routed_request.was_undelivered(last):
                last = await self._place_again(request, last)
                continue
            if record is None:
                await self._replace_retry(request)
                if request.retry is None:
                    if request.head.call is not None:
                        request.head.call.lacked_retry = True
                    break
                last = await self._place_and_send(
                    request, request.constraints(may_probe=False)
                )
                continue
            self._placement.record_start(
                record, len(request.body.buffered), request.traffic
            )
            last = await self._attempt(request, record, request.retry)
        return request.final_result(last)

    async def _obtain_trial(
        self, request: routed_request.RoutedRequest
    ) -> exchange.Refusal | None:
        """Obtains a trial for the next attempt of a request if it needs one.

        Returns:
          A refusal if it may not be sent.
        """
        if request.trial is not None:
            return None
        obtained = await self._poison_guard.obtain_trial(
            request.head, request.body, request.deadline
        )
        if obtained.is_error():
            return obtained.error
        request.trial = obtained.ok
        return None

    def _count_request(self, request: routed_request.RoutedRequest) -> None:
        """Adds a request to its service's retry budget, or charges a retry.

        Callers' requests add to the budget. Calls by the target on this VM are
        charged with the probability that they are made for a retried request.
        """
        service, prefix = request.head.service, request.route.prefix
        call = request.head.call
        is_from_caller = self._entry_routes.is_from_caller(service, prefix)
        self._budgets.record_request(
            service,
            request.head.queue_priority,
            is_from_caller=is_from_caller and call is None,
        )
        probability = (
            self._entry_routes.retry_probability(service, prefix)
            if call is None
            else call.retry_probability
        )
        if probability:
            self._budgets.charge(service, probability)

    def _log(
        self, request: routed_request.RoutedRequest, result: ResponseResult
    ) -> None:
        """Logs a request unless its first attempt was successful."""
        is_success = (
            result.is_ok()
            and result.ok.status not in routed_request.FAILURE_STATUSES
        )
        if is_success and request.attempt_count <= 1:
            return
        elapsed = self._clock.monotonic() - request.started
        fields = logs.fields(
            request_id=request.head.request_id,
            service=request.head.service,
            prefix=request.route.prefix,
            once=not request.is_idempotent,
            result=routed_request.describe_result(result),
            milliseconds=routed_request.milliseconds(elapsed),
            time_limit_ms=routed_request.milliseconds(
                request.deadline - request.started
            ),
            inherits=request.head.goes_ahead,
            retry_budget_spent=round(self._spent_share(request), 2),
            tries=[step.as_log_fields() for step in request.attempts],
        )
        log.info("request", extra=fields)

    async def _replace_retry(
        self, request: routed_request.RoutedRequest
    ) -> None:
        """Obtains the retry for the next attempt of a request, if there is one.

        The last one may not have been sent: its attempt reached no target, and
        a hedged request failed meanwhile.
        """
        request.cancel_retry()
        request.retry = await self._obtain_retry(request.head)

    async def _obtain_retry(
        self, head: exchange.RequestHead, *, is_hedge: bool = False
    ) -> retry_budget.TakenRetries | None:
        """Takes one retry from the budget, or borrows one from a nearby node.

        While requests for the service wait here for slots, a retry would
        displace one of them. During that time this entry node uses only its own
        retries and borrows none that other entry nodes have not used.

        Returns:
          The retry, which has to be sent or cancelled; None if there is none.
        """
        result = await self._budgets.obtain(
            head.service,
            head.queue_priority,
            may_borrow=not self._request_queues.waiter_count(head.service),
            is_hedge=is_hedge,
        )
        if result.is_ok():
            return result.ok
        if result.error is budgets.NoRetry.WITHHELD:
            self._metrics.record_withheld_retry(head.service)
            fields = logs.fields(
                request_id=head.request_id,
                service=head.service,
                queue_priority=head.queue_priority,
            )
            log.info("retry withheld", extra=fields)
        return None

    def _relocated_target(
        self, request: routed_request.RoutedRequest, last: ResponseResult
    ) -> records.TargetRecord | None:
        """Returns the last target at its new home, if the old one named it."""
        if last.is_ok() or request.last_target is None:
            return None
        home = self._fleet.nodes.get(last.error.moved_to)
        if home is None:
            return None
        return dataclasses.replace(
            request.last_target,
            home=home.name,
            home_incarnation=home.incarnation,
        )

    async def _place_again(
        self, request: routed_request.RoutedRequest, last: ResponseResult
    ) -> ResponseResult:
        """Sends a request again that did not reach a target."""
        if last.error.reason is exchange.Reason.BUSY and request.last_target:
            # A busy target is eligible again: after its cooldown it may be the
            # only one available.
            request.tried_targets.discard(request.last_target.id)
        return await self._place_unsent(request)

    async def _place_unsent(
        self, request: routed_request.RoutedRequest
    ) -> ResponseResult:
        """Places a request of which no target has received anything so far.

        Scenario: most targets of a service fail, and its retries run out.
        Risk: an idempotent request goes to a suspect target because it could
        be retried, but no retry is left and its failure is final. So its
        target is then chosen as carefully as for a non-idempotent request.
        """
        budget = self._budgets.for_service(request.head.service)
        now = self._clock.monotonic()
        spent = budget.spent_share(now)
        constraints = request.constraints(
            may_probe=spent <= MAX_HEDGE_BUDGET_SHARE,
            is_last=spent >= LAST_ATTEMPT_BUDGET_SHARE
            and budget.allows_retries(now),
        )
        return await self._place_and_send(request, constraints)

    async def _place_and_send(
        self,
        request: routed_request.RoutedRequest,
        constraints: load_balancing.RequestConstraints,
    ) -> ResponseResult:
        """Waits in the request queue for a slot and sends the request."""
        refused = self._outlasting_refusal(request)
        if refused is not None:
            request.is_placement_refused = True
            return expression.Error(refused)
        workspace = self._workspaces.get(request.head.queue_workspace)
        weight = workspace.weight if workspace else 1
        placed = await self._wait_for_slot(
            request,
            request_queues.SlotRequest(
                request.head.service,
                constraints,
                admission.Waiter(
                    request.head.queue_workspace,
                    weight,
                    request.head.queue_priority,
                    self._queue_deadline(request),
                    request.head.goes_ahead,
                ),
                len(request.body.buffered),
            ),
        )
        if placed.is_error():
            request.is_placement_refused = True
            return expression.Error(placed.error)
        if not request.can_hedge:
            return await self._attempt(request, placed.ok, request.retry)
        return await self._send_hedged(request, placed.ok)

    async def _wait_for_slot(
        self,
        request: routed_request.RoutedRequest,
        slot_request: request_queues.SlotRequest,
    ) -> request_queues.PlacedResult:
        """Returns a target with a slot reserved, or a refusal."""
        control = self._admission_control
        if control is None:
            return await self._request_queues.place(slot_request)
        control.record_wait_start(
            slot_request, request.started, request.head.latency_objective
        )
        try:
            return await self._request_queues.place(slot_request)
        finally:
            control.record_wait_end(slot_request)

    def _queue_deadline(
        self, request: routed_request.RoutedRequest
    ) -> datetime.timedelta:
        """Returns when a request that waits for a slot is refused.

        Scenario: a service is overloaded for longer than its callers'
        deadlines, mostly by requests that are ahead in the queue because of
        their priority. Risk: the others wait until their deadlines and are
        refused when it is too late for a retry. So a refused caller has half
        of its time remaining.
        """
        now = self._clock.monotonic()
        return now + MAX_QUEUE_TIME_SHARE * (request.deadline - now)

    async def _send_hedged(
        self,
        request: routed_request.RoutedRequest,
        record: records.TargetRecord,
    ) -> ResponseResult:
        """Sends the request, and also to a second target if the first is slow.

        Scenario: a target hangs, or is slow for one request in twenty. Risk: a
        caller waits until its deadline although another target would have
        responded in time. Both attempts continue, and the first result
        that is not a failure is returned.
        """
        first = asyncio.create_task(
            self._attempt(request, record, request.retry)
        )
        tasks = {first}
        started = self._clock.monotonic()
        # If little time remains, as with a route whose time limit is shorter
        # than its latency objective, a share of the remaining time replaces the
        # objective. Even a late hedged request then has time left for a
        # response.
        objective = min(
            request.head.latency_objective,
            HEDGE_DELAY_SHARE * (request.deadline - started),
        )
        try:
            for share, max_spent_share in _HEDGE_STAGES:
                wait = started + share * objective - self._clock.monotonic()
                await asyncio.wait(tasks, timeout=wait.total_seconds())
                second = (
                    None
                    if first.done()
                    else await self._start_hedge(
                        request, first, max_spent_share
                    )
                )
                if second is not None:
                    tasks.add(second)
                if first.done() or second is not None:
                    break
            return await hedging.first_success(tasks)
        finally:
            await hedging.cancel_all(tasks)

    async def _start_hedge(
        self,
        request: routed_request.RoutedRequest,
        first: asyncio.Task[ResponseResult],
        max_spent_share: float,
    ) -> asyncio.Task[ResponseResult] | None:
        """Starts an attempt at another target with a free slot, if possible.

        Args:
          request: The request.
          first: The attempt that is slow.
          max_spent_share: The spent share of the retry budget up to which the
            attempt is allowed.
        """
        if (
            self._spent_share(request) > max_spent_share
            or self._poison_guard.is_suspect(request.head, request.body)
            or self._outlasting_refusal(request) is not None
        ):
            return None
        constraints = load_balancing.RequestConstraints(
            True,
            request.tried_targets,
            is_last_attempt=True,
            traffic=request.traffic,
        )
        record = self._placement.choose(request.head.service, constraints)
        if record is None:
            return None
        retry = await self._obtain_retry(request.head, is_hedge=True)
        if retry is None:
            return None
        if first.done():
            # The response has arrived during the wait for a loan.
            retry.cancel()
            return None
        self._placement.record_start(
            record, len(request.body.buffered), request.traffic
        )
        return asyncio.create_task(self._attempt_once(request, record, retry))

    async def _attempt_once(
        self,
        request: routed_request.RoutedRequest,
        record: records.TargetRecord,
        retry: retry_budget.TakenRetries,
    ) -> ResponseResult:
        """Makes an attempt; gives back its retry if it reaches no target."""
        try:
            return await self._attempt(request, record, retry)
        finally:
            retry.cancel()

    def _spent_share(self, request: routed_request.RoutedRequest) -> float:
        """Returns the spent share of its service's retry budget."""
        budget = self._budgets.for_service(request.head.service)
        return budget.spent_share(self._clock.monotonic())

    async def _quota_refusal(self, workspace: str) -> exchange.Refusal | None:
        """Returns a refusal if the workspace has used up its quota."""
        if (
            self._quota_client is None
            or self._workspaces.quota(workspace) is None
        ):
            return None
        wait = await self._quota_client.take(workspace)
        if wait is None:
            return None
        return exchange.not_run_refusal(
            exchange.Reason.RATE_LIMITED,
            "the workspace is over its quota",
            self._placement.retry_after(max(wait, placement.MIN_RETRY_AFTER)),
        )

    def _refund_quota(self, workspace: str, result: ResponseResult) -> None:
        """Gives back the quota token of a request that was not executed."""
        if (
            self._quota_client is None
            or self._workspaces.quota(workspace) is None
        ):
            return
        if result.is_error() and result.error.was_not_run:
            self._quota_client.refund(workspace)

    async def _attempt(
        self,
        request: routed_request.RoutedRequest,
        record: records.TargetRecord,
        retry: retry_budget.TakenRetries | None,
    ) -> ResponseResult:
        """Sends the request to a target for which it is already counted.

        Args:
          request: The request.
          record: The target.
          retry: The retry that the attempt uses; None for the first attempt.
        """
        refused = await self._refusal_of_placed(request, record)
        if refused is not None:
            return expression.Error(refused)
        trial, request.trial = request.trial, None
        request.attempt_count += 1
        request.tried_targets.add(record.id)
        request.last_target = record
        self._metrics.record_attempt(
            request.head.service, request.attempt_count
        )
        started = self._clock.monotonic()
        suspicion = self._placement.suspicion(record.id)
        progress = exchange.AttemptProgress()
        head = request.head.for_attempt(
            request.attempt_count,
            request.deadline - started,
            _max_suspicion(suspicion),
            may_be_duplicate=request.delivered_count + request.active_attempts
            > 0,
            progress=progress,
        )
        request.active_attempts += 1
        result: ResponseResult | None = None
        try:
            result = await self._forward(record, head, request.body)
        except TimeoutError:
            result = expression.Error(
                exchange.unknown_outcome_refusal(
                    exchange.Reason.DEADLINE, "no response before the deadline"
                )
            )
        finally:
            latency = self._clock.monotonic() - started
            if retry is not None and not _reached_no_target(result, progress):
                retry.record_sent(
                    self._clock.monotonic() - _time_at_target(result)
                )
            self._record_attempt(request, record, result, started, suspicion)
            request.has_cancelled_attempt = request.has_cancelled_attempt or (
                result is None and not progress.ended_unsent
            )
            if _reached_no_target(result, progress):
                request.trial = trial
            else:
                report = self._poison_guard.record_result(
                    head, request.body, record, result, latency, trial
                )
                if report is not None:
                    request.crash_reports.append(report)
            request.active_attempts -= 1
            self._placement.record_end(record, result, latency, request.traffic)
            if self._admission_control is not None:
                self._admission_control.record_result(record, result)
            self._request_queues.record_end(request.head.service)
        if not routed_request.was_undelivered(result):
            request.delivered_count += 1
        if result.is_ok() or not result.error.was_not_run:
            request.possibly_executed_result = result
        if self._observer is not None and record.home != self._node:
            self._observer(record, request.head.workspace, result, latency)
        return result

    async def _refusal_of_placed(
        self,
        request: routed_request.RoutedRequest,
        record: records.TargetRecord,
    ) -> exchange.Refusal | None:
        """Checks a request again that may have waited while it was placed.

        Obtains a trial for it if it has become suspect meanwhile.

        Returns:
          A refusal if it may not be sent; it no longer counts at its target.
        """
        refused = self._outlasting_refusal(request)
        is_allowed = False
        try:
            if refused is not None:
                request.is_placement_refused = True
            else:
                refused = await self._obtain_trial(request)
            is_allowed = refused is None
        finally:
            if not is_allowed:
                self._placement.record_end(
                    record,
                    None,
                    datetime.timedelta(),
                    request.traffic,
                    was_sent=False,
                )
                self._request_queues.record_end(request.head.service)
        return refused

    def _record_attempt(
        self,
        request: routed_request.RoutedRequest,
        record: records.TargetRecord,
        result: ResponseResult | None,
        started: datetime.timedelta,
        suspicion: float,
    ) -> None:
        """Records one attempt for the log, and the duration of a response."""
        duration = self._clock.monotonic() - started
        if result is not None and result.is_ok():
            self._durations.record(request.route.prefix, duration)
        request.attempts.append(
            routed_request.Attempt(
                record.id,
                record.home,
                started - request.started,
                duration,
                suspicion,
                result,
            )
        )

    async def _forward(
        self,
        record: records.TargetRecord,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> ResponseResult:
        if record.home == self._node:
            return await self._dispatcher.run(record.id, head, body)
        home = self._fleet.nodes.get(record.home)
        if home is None:
            return expression.Error(
                exchange.not_run_refusal(
                    exchange.Reason.HOME_UNREACHABLE, f"{record.home} is gone"
                )
            )
        # A home enforces the deadline itself; this timeout also applies if the
        # home no longer responds.
        async with asyncio.timeout(head.remaining_time.total_seconds()):
            return await self._pool.forward(home, record.id, head, body)


def _reached_no_target(
    result: ResponseResult | None, progress: exchange.AttemptProgress
) -> bool:
    """Returns whether an attempt ended before anything was sent to a target.

    Args:
      result: The result of the attempt; None if it was cancelled.
      progress: How far it had come if it was cancelled.
    """
    if result is None:
        return progress.ended_unsent
    return routed_request.was_undelivered(result)


def _time_at_target(result: ResponseResult | None) -> datetime.timedelta:
    """Returns how long ago the request of a result was sent to its target.

    It is zero if that is not known, as without a response from its home.
    """
    report = exchange.target_report(result) if result is not None else None
    return report.request_age if report is not None else datetime.timedelta()


def _max_suspicion(suspicion: float) -> float:
    """Returns the suspicion above which the target's home refuses the request.

    The entry node had no better target, so the home should refuse only if its
    own estimate is clearly worse than the entry node's.
    """
    return max(exchange.DEFAULT_MAX_SUSPICION, suspicion + SUSPICION_MARGIN)
