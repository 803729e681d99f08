"""Dispatches requests to the targets of this home node over HTTP.

Called by the gateway for requests that entered at this node, and by the link
server for requests that other nodes forwarded.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import datetime
import functools
import logging
from typing import Protocol

import aiohttp
import expression
import multidict
import yarl

from endivewind import clock as clocks
from endivewind import exchange
from endivewind import headers
from endivewind import logs
from endivewind.decisions import admission
from endivewind.decisions import inherited_priority
from endivewind.targets import attempt_log
from endivewind.targets import connections
from endivewind.targets import evidence
from endivewind.targets import records
from endivewind.targets import registry
from endivewind.targets import request_bytes
from endivewind.targets import responses
from endivewind.targets import self_reports
from endivewind.targets import silent_connections
from endivewind.targets import slots
from endivewind.targets import target_request

log = logging.getLogger(__name__)

BUSY_RETRY_AFTER = datetime.timedelta(milliseconds=200)
_MIN_TIMEOUT = datetime.timedelta(milliseconds=1)
# A request reserves retries for its calls, and is refused without any, if it is
# at least this likely a repeat. Others are rather first attempts, whose calls
# are charged when they arrive.
MIN_RESERVING_PROBABILITY = 0.5
# Errors and rejections may be written by a proxy, or by a process that crashes
# or is overloaded, and need not name the target's rate limit.
_MIN_ERROR_STATUS = 400
ResponseResult = expression.Result[exchange.Response, exchange.Refusal]
Run = collections.abc.Callable[[], collections.abc.Awaitable[ResponseResult]]
# Runs a request, or refuses it as not run.
Limit = collections.abc.Callable[
    [Run], collections.abc.Awaitable[ResponseResult]
]


class CallReserver(Protocol):
    """Reserves retries for the calls that requests make as they run."""

    def record_request(
        self, request: inherited_priority.RunningRequest
    ) -> None:
        """Counts a request that is sent to a target."""

    async def reserve(
        self, request: inherited_priority.RunningRequest
    ) -> expression.Result[target_request.CallReservation, str]:
        """Reserves retries for the calls of a request that is to be sent.

        Returns:
          The reservation; the name of a service that has no retries left.
        """


class NullObserver:
    """Ignores all samples."""

    def record_start(self, target: str, service: str) -> int:
        """Ignores the start of a request."""
        return 0

    def record_finish(self, sample: evidence.Sample) -> None:
        """Ignores the result of a request."""


def _ignore_change() -> None:
    """Does nothing; the default for a home node without peers."""


class Dispatcher:
    """Executes requests at targets, within their slots."""

    def __init__(
        self,
        targets: registry.TargetRegistry,
        pooled: aiohttp.ClientSession,
        fresh: aiohttp.ClientSession,
        clock: clocks.Clock,
        observer: evidence.Observer,
        attempts: attempt_log.AttemptLog,
        header_names: headers.HeaderNames = headers.DEFAULT_NAMES,
        on_change: collections.abc.Callable[[], None] = _ignore_change,
    ) -> None:
        """Initializes the dispatcher.

        Args:
          targets: the targets of this home node.
          pooled: session that reuses connections.
          fresh: session that opens a new connection for each request.
          clock: measures latencies and the age of attempts.
          observer: is notified of the start and result of each request.
          attempts: the log of attempts, against duplicate execution.
          header_names: names of the headers that targets know.
          on_change: called when there is a change to publish to the fleet.
        """
        self._on_change = on_change
        self._header_names = header_names
        self._targets = targets
        self._pooled = pooled
        self._fresh = fresh
        self._clock = clock
        self._observer = observer
        self._attempt_log = attempts
        self._silent_connections = silent_connections.SilentConnectionDetector()
        self._is_stopping = False
        self._ends_at: datetime.timedelta | None = None
        # Requests queued for the slots of each target.
        self._queued: collections.Counter[slots.TargetSlots] = (
            collections.Counter()
        )
        self._request_bytes: request_bytes.RequestBytesLimit | None = None
        self._call_reserver: CallReserver | None = None
        self._last_abandonment: datetime.timedelta | None = None

    @classmethod
    def from_registry(
        cls,
        targets: registry.TargetRegistry,
        clock: clocks.Clock | None = None,
        observer: evidence.Observer | None = None,
        header_names: headers.HeaderNames = headers.DEFAULT_NAMES,
        on_change: collections.abc.Callable[[], None] = _ignore_change,
    ) -> "Dispatcher":
        """Creates a dispatcher with its own sessions."""
        clock = clock or clocks.SystemClock()
        pooled = connections.Connector(clock, reuse=True)
        fresh = connections.Connector(clock, reuse=False)
        return cls(
            targets,
            connections.make_session(pooled),
            connections.make_session(fresh),
            clock,
            observer or NullObserver(),
            attempt_log.AttemptLog(),
            header_names,
            on_change,
        )

    async def close(self) -> None:
        """Closes all connections to targets."""
        await self._pooled.close()
        await self._fresh.close()

    @property
    def has_active_work(self) -> bool:
        """Whether a target is executing a request, or may still be doing so."""
        return bool(self._targets.working_targets())

    @property
    def may_resume_work(self) -> bool:
        """Whether a target may go on with a request that was abandoned.

        It lasts much longer than `has_active_work`, and also if the target has
        been removed meanwhile.
        """
        if self._last_abandonment is None:
            return False
        elapsed = self._clock.monotonic() - self._last_abandonment
        return elapsed < target_request.MAX_RESUMED_WORK

    @property
    def expected_repeat_share(self) -> float:
        """Expected share of repeats among the active requests."""
        probabilities = [
            request.repeat_probability
            for item in self._targets.working_targets()
            for request in item.pending_requests
        ]
        if not probabilities:
            return 0.0
        return sum(probabilities) / len(probabilities)

    def limit_request_bytes(
        self, limit: request_bytes.RequestBytesLimit
    ) -> None:
        """Sets the limit for the request bodies that a target holds."""
        self._request_bytes = limit

    def reserve_calls(self, reserver: CallReserver) -> None:
        """Sets what reserves retries for the calls of retried requests."""
        self._call_reserver = reserver

    def running_requests(self) -> list[inherited_priority.RunningRequest]:
        """Returns the requests that targets are running, oldest first."""
        return [
            request.as_running()
            for item in self._targets.working_targets()
            for request in item.pending_requests
        ]

    def refuse_outlasting(self, timeout: datetime.timedelta) -> None:
        """Refuses requests that may outlast this node.

        Scenario: a node is stopped, and its target still gets requests: entry
        nodes learn late that it drains, or the other homes drain, too. Risk:
        one takes long, and the node ends before it. Its outcome is then
        unknown. An idempotent request can be retried if the retry budget is
        not spent, so it is refused only if a usual one may take too long. One
        that is a retry already may have no attempt left.

        Args:
          timeout: the time until this node ends.
        """
        self._ends_at = self._clock.monotonic() + timeout

    def refuse_new(self) -> None:
        """Refuses new requests from now on; active ones continue."""
        self._is_stopping = True

    def refuse_queued(self) -> None:
        """Refuses new requests and those that wait for a slot of a target.

        Scenario: a node reaches its stop limit. Risk: requests of other nodes
        that still wait are cut off, and their callers hear that the outcome is
        unknown although no target has received them.
        """
        self.refuse_new()
        for target_slots in self._queued:
            target_slots.displace_all()

    async def run_forwarded(
        self,
        target: str,
        home_incarnation: int,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        limit: Limit | None = None,
    ) -> ResponseResult:
        """Executes a request of another node if it names this incarnation.

        A restarted node has lost its log of attempts, so it could not
        distinguish a duplicate of a request from the first copy.

        Args:
          target: the target's name.
          home_incarnation: the incarnation of this node that is meant.
          head: the request's head.
          body: its body.
          limit: may refuse the request instead of running it.
        """
        if home_incarnation != self._targets.incarnation:
            return _refuse(
                exchange.Reason.STALE_HOME,
                "request is for an earlier incarnation of the home node",
            )
        return await self.run(target, head, body, limit)

    async def run(
        self,
        target: str,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        limit: Limit | None = None,
    ) -> ResponseResult:
        """Executes a request at a target of this home node.

        An attempt under a ticket is first recorded, and marked as not run if it
        ends before any byte was sent to the target. Without the record a
        duplicate of the request would be executed again. This holds for an
        attempt that the limit refuses, too.
        """
        run: Run = functools.partial(self._dispatch, target, head, body)
        if limit is not None:
            run = functools.partial(limit, run)
        if not head.ticket:
            return await run()
        refusal = self._attempt_log.begin(
            head.ticket, head.attempt, self._clock.monotonic()
        )
        if refusal is not None:
            return expression.Error(refusal)
        result = await run()
        if result.is_error() and result.error.was_not_run:
            self._attempt_log.mark_not_run(head.ticket, head.attempt)
        return result

    async def _dispatch(
        self,
        target: str,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> ResponseResult:
        arrived_at = self._clock.monotonic()
        item = self._targets.get(target)
        if item is None:
            return expression.Error(self._unknown_target(target))
        refusal = self._check_availability(item, head)
        if refusal is None and item.rate_limit_wait(self._clock.monotonic()):
            refusal = self._rate_limit_refusal(item)
        if refusal is not None:
            return refusal
        if (
            self._call_reserver is None
            or head.repeat_probability < MIN_RESERVING_PROBABILITY
        ):
            return await self._wait_and_dispatch(item, head, body, arrived_at)
        try:
            reserved = await self._call_reserver.reserve(
                target_request.as_running(head)
            )
        except asyncio.CancelledError:
            head.record_unsent()
            raise
        if reserved.is_error():
            return _refuse(
                exchange.Reason.CALL_BUDGET,
                f"no retry of {reserved.error} is left for its calls",
                target_report=self._report(item),
            )
        try:
            return await self._wait_and_dispatch(
                item, head, body, arrived_at, reserved.ok
            )
        finally:
            reserved.ok.release()

    async def _wait_and_dispatch(
        self,
        item: registry.HomeTarget,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        arrived_at: datetime.timedelta,
        reservation: target_request.CallReservation | None = None,
    ) -> ResponseResult:
        """Waits for a slot of a target and sends it a request.

        Args:
          item: The target.
          head: The request's head.
          body: Its body.
          arrived_at: When it came to this node.
          reservation: What it has reserved for its calls.
        """
        deadline = arrived_at + head.remaining_time
        waiter = slots.make_waiter(
            head.queue_priority, deadline, goes_ahead=head.goes_ahead
        )
        if not await self._acquire_slot(item, head, waiter):
            if self._is_stopping:
                return _stopping_refusal()
            return _refuse(
                exchange.Reason.BUSY,
                f"{item.record.id} has no free slot",
                BUSY_RETRY_AFTER,
                self._report(item),
            )
        # The target may have started draining while the request was queued, or
        # requests may have passed it in the queue and used up the rate limit.
        refusal = self._check_availability(item, head)
        if refusal is None and self._request_bytes is not None:
            refusal = self._check_request_bytes(item, head, body)
        if refusal is None and not item.rate_limit.take(
            self._clock.monotonic()
        ):
            refusal = self._rate_limit_refusal(item)
        if refusal is not None:
            item.slots.release(item.record.slots)
            return refusal
        if head.may_be_duplicate:
            self._log_retry(item, head, arrived_at)
        remaining = max(deadline - self._clock.monotonic(), _MIN_TIMEOUT)
        return await self._dispatch_in_slot(
            item, head.for_attempt(head.attempt, remaining), body, reservation
        )

    def _log_retry(
        self,
        item: registry.HomeTarget,
        head: exchange.RequestHead,
        arrived_at: datetime.timedelta,
    ) -> None:
        """Logs how long a request waited here that may be a duplicate."""
        waited = self._clock.monotonic() - arrived_at
        fields = logs.fields(
            request_id=head.request_id,
            service=head.service,
            target=item.record.id,
            waited_ms=waited // datetime.timedelta(milliseconds=1),
        )
        log.info("retry sent to target", extra=fields)

    async def _acquire_slot(
        self,
        item: registry.HomeTarget,
        head: exchange.RequestHead,
        waiter: admission.Waiter,
    ) -> bool:
        """Waits for a slot; returns False if the request gets none."""
        target_slots = item.slots
        self._queued[target_slots] += 1
        try:
            return await target_slots.acquire(item.record.slots, waiter)
        except asyncio.CancelledError:
            head.record_unsent()
            raise
        finally:
            self._queued[target_slots] -= 1
            if not self._queued[target_slots]:
                del self._queued[target_slots]

    def _check_availability(
        self, item: registry.HomeTarget, head: exchange.RequestHead
    ) -> ResponseResult | None:
        """Returns a refusal if the target must not get the request now."""
        target = item.record.id
        if self._is_stopping:
            return _stopping_refusal()
        if self._may_outlast_node(head):
            return _refuse(
                exchange.Reason.STOPPING,
                "the request may outlast the home node, which is stopping",
            )
        report = self._report(item)
        is_gone = self._targets.get(target) is not item
        if is_gone or item.record.state is records.State.DRAINING:
            return _refuse(
                exchange.Reason.STOPPING,
                f"{target} is draining or gone",
                target_report=report,
            )
        if head.ticket and report.suspicion > head.max_suspicion:
            return _refuse(
                exchange.Reason.SUSPECT,
                f"{target} is probably unhealthy",
                BUSY_RETRY_AFTER,
                report,
            )
        return None

    def _may_outlast_node(self, head: exchange.RequestHead) -> bool:
        """Returns whether a request might be lost with this node."""
        if self._ends_at is None:
            return False
        is_last_chance = bool(head.ticket) or head.may_be_duplicate
        work_time = (
            head.remaining_time if is_last_chance else head.latency_objective
        )
        return self._clock.monotonic() + work_time > self._ends_at

    def _check_request_bytes(
        self,
        item: registry.HomeTarget,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> ResponseResult | None:
        """Returns a refusal if the target holds too many request bytes."""
        assert self._request_bytes is not None
        reason = self._request_bytes.refusal_reason(item, head, body)
        if reason is None:
            return None
        return _refuse(
            reason,
            f"{item.record.id} has no memory for the request body",
            request_bytes.RETRY_AFTER,
            self._report(item),
        )

    def _rate_limit_refusal(self, item: registry.HomeTarget) -> ResponseResult:
        report = self._report(item)
        return _refuse(
            exchange.Reason.BUSY,
            f"{item.record.id} is at its rate limit",
            max(report.rate_limit_wait, _MIN_TIMEOUT),
            report,
        )

    def _report(self, item: registry.HomeTarget) -> exchange.TargetReport:
        return item.report(self._clock.monotonic())

    def _report_after(
        self,
        item: registry.HomeTarget,
        head: exchange.RequestHead,
        request: target_request.TargetRequest,
    ) -> exchange.TargetReport:
        """Returns the report that goes with the result of a request."""
        report = self._report(item)
        if not head.may_be_duplicate:
            return report
        return dataclasses.replace(report, request_age=request.age)

    async def _dispatch_in_slot(
        self,
        item: registry.HomeTarget,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        reservation: target_request.CallReservation | None,
    ) -> ResponseResult:
        """Sends a request to a target of which it holds a slot."""
        request = target_request.TargetRequest(
            item,
            head,
            self._clock,
            self._observer,
            self._silent_connections,
            reservation,
        )
        if self._call_reserver is not None:
            self._call_reserver.record_request(request.as_running())
        if self._request_bytes is not None:
            request.body_bytes = self._request_bytes.size(head, body)
            body = self._request_bytes.bounded(head, body)
        try:
            result = await self._send(request, head, body)
        except BaseException:
            if not request.may_have_been_sent:
                head.record_unsent()
            request.cancel()
            self._record_end(request)
            raise
        if result.is_error():
            request.finish()
            self._record_end(request)
            report = self._report_after(item, head, request)
            return expression.Error(
                dataclasses.replace(result.error, target_report=report)
            )
        if result.ok.stream is None:
            request.finish()
        result.ok.target_report = self._report_after(item, head, request)
        return result

    def _record_end(self, request: target_request.TargetRequest) -> None:
        """Records when a request ended without a response."""
        if request.was_abandoned:
            self._last_abandonment = self._clock.monotonic()

    def check_overdue(self) -> None:
        """Raises the suspicion of targets whose responses are overdue.

        Only requests without a latency objective are checked, and each counts
        once. Must be called several times a second.

        An unresponsive target completes no request: without this check there
        would be no evidence against it until the first deadline has passed.
        """
        now = self._clock.monotonic()
        for item in self._targets.home_targets():
            for request in item.pending_requests:
                request.check_overdue(now)

    def _unknown_target(self, target: str) -> exchange.Refusal:
        """Returns a refusal that names the target's new home node, if known.

        When this node shuts down, its targets move to other homes immediately,
        but the entry node learns of it a gossip round later. Without the new
        home's name, requests for a service's only target would be refused in
        the meantime.
        """
        return exchange.Refusal(
            exchange.ExecutionOutcome.NOT_RUN,
            exchange.Reason.STALE_HOME,
            f"{target} is not registered at this node",
            moved_to=self._targets.moved_to(target),
        )

    async def _send(
        self,
        request: target_request.TargetRequest,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> ResponseResult:
        """Sends a request over a pooled connection or a new one.

        Scenario: the target has closed a pooled connection, or a device in
        between has lost its state. Risk: a non-idempotent request is sent over
        it, and whether it was executed is unknown. Such requests therefore
        always get a new connection, and so do all requests to a target whose
        pooled ones have gone silent. Idempotent requests are retried by the
        entry node, within its retry budget.
        """
        is_non_idempotent = bool(head.ticket)
        now = self._clock.monotonic()
        needs_new_connection = (
            is_non_idempotent
            or self._silent_connections.requires_fresh(
                request.home_target.record.id, now
            )
        )
        timeout = head.remaining_time.total_seconds()
        try:
            async with asyncio.timeout(timeout):
                session = self._fresh if needs_new_connection else self._pooled
                return await self._send_and_read(session, request, head, body)
        except TimeoutError:
            return _timeout_refusal(request)
        except (
            connections.ResponseLostError,
            aiohttp.ClientError,
            OSError,
            exchange.TruncatedResponseError,
        ) as error:
            return _failure_refusal(request, error)

    async def _send_and_read(
        self,
        session: aiohttp.ClientSession,
        request: target_request.TargetRequest,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> ResponseResult:
        progress = connections.SendState(self._clock)
        request.progress = progress
        response = await session.request(
            head.method,
            yarl.URL(request.home_target.address + head.path, encoded=True),
            headers=_request_headers(
                head, request.home_target.record.id, self._header_names
            ),
            data=_request_body(body, progress),
            allow_redirects=False,
            trace_request_ctx=progress,
        )
        self._check_response(head, response)
        if not responses.is_misdirected(response, self._header_names):
            self._record_self_report(request, response)
        refusal = responses.target_refusal(response, self._header_names)
        if refusal is not None:
            request.record_response_head(response.status)
            request.result_kind = evidence.ResultKind.SHED
            await responses.drain_rejection(response)
            return expression.Error(refusal)
        request.record_response_head(response.status)
        return await responses.read_response(request, response)

    def _check_response(
        self, head: exchange.RequestHead, response: aiohttp.ClientResponse
    ) -> None:
        """Rejects a response that is not the target's to this request.

        It is checked only if the name of a marker header is configured, since
        targets then return the request id and mark their responses.

        Raises:
          ResponseLostError: if the response is rejected.
        """
        if not self._header_names.response_marker:
            return
        problem = responses.find_problem(head, response, self._header_names)
        if problem:
            response.close()
            raise connections.ResponseLostError(problem)

    def _record_self_report(
        self,
        request: target_request.TargetRequest,
        response: aiohttp.ClientResponse,
    ) -> None:
        """Records what a response says of its target."""
        item = request.home_target
        if request.target_incarnation != item.record.target_incarnation:
            return
        if self_reports.is_leaving(response.headers, self._header_names):
            self._record_departure(item)
        self._record_rate_limit(request, response)

    def _record_departure(self, item: registry.HomeTarget) -> None:
        if item.is_leaving:
            return
        self._targets.mark_leaving(item)
        log.info("target is leaving", extra=logs.fields(target=item.record.id))
        self._on_change()

    def _record_rate_limit(
        self,
        request: target_request.TargetRequest,
        response: aiohttp.ClientResponse,
    ) -> None:
        """Sets or lifts the target's rate limit, and logs a change."""
        target = request.home_target.record.id
        rate_limit = request.home_target.rate_limit
        named = self_reports.rate_limit(response.headers, self._header_names)
        if named.is_error():
            log.warning(
                "target's rate limit ignored",
                extra=logs.fields(target=target, problem=named.error),
            )
            return
        previous = rate_limit.rate
        if named.ok is not None:
            rate_limit.set_rate(named.ok, self._clock.monotonic())
        elif response.status < _MIN_ERROR_STATUS:
            rate_limit.lift(request.started_at)
        if rate_limit.rate != previous:
            log.info(
                "target's rate limit changed",
                extra=logs.fields(target=target, limit=rate_limit.rate),
            )


def _timeout_refusal(request: target_request.TargetRequest) -> ResponseResult:
    if not request.may_have_been_sent:
        return _unreachable(request, "connecting to the target timed out")
    request.attribute_timeout()
    detail = "no response before the deadline"
    return expression.Error(
        exchange.unknown_outcome_refusal(exchange.Reason.DEADLINE, detail)
    )


def _failure_refusal(
    request: target_request.TargetRequest, error: Exception
) -> ResponseResult:
    detail = str(error) or type(error).__name__
    if not request.may_have_been_sent:
        return _unreachable(request, detail)
    body_error = request.progress.body_error
    if body_error is not None:
        # The caller's fault, and no evidence against the target.
        request.result_kind = evidence.ResultKind.CANCELLED
        return expression.Error(exchange.body_error_refusal(body_error))
    request.result_kind = evidence.ResultKind.LOST
    return expression.Error(
        exchange.unknown_outcome_refusal(exchange.Reason.TARGET_LOST, detail)
    )


def _stopping_refusal() -> ResponseResult:
    return _refuse(exchange.Reason.STOPPING, "home node is stopping")


def _unreachable(
    request: target_request.TargetRequest, detail: str
) -> ResponseResult:
    request.result_kind = evidence.ResultKind.REFUSED_CONNECTION
    return _refuse(exchange.Reason.UNREACHABLE, detail)


def _refuse(
    reason: exchange.Reason,
    detail: str,
    retry_after: datetime.timedelta | None = None,
    target_report: exchange.TargetReport | None = None,
) -> ResponseResult:
    return expression.Error(
        exchange.not_run_refusal(reason, detail, retry_after, target_report)
    )


def _request_body(
    body: exchange.RequestBody, progress: connections.SendState
) -> bytes | collections.abc.AsyncIterator[bytes] | None:
    if body.stream is None:
        return body.buffered or None
    return _joined_body(body.buffered, body.stream, progress)


async def _joined_body(
    buffered: bytes,
    stream: collections.abc.AsyncIterator[bytes],
    progress: connections.SendState,
) -> collections.abc.AsyncGenerator[bytes, None]:
    if buffered:
        yield buffered
    try:
        async for data in stream:
            yield data
    except exchange.RequestBodyError as error:
        progress.body_error = error
        raise


def _request_headers(
    head: exchange.RequestHead, target: str, header_names: headers.HeaderNames
) -> multidict.CIMultiDict[str]:
    fields = multidict.CIMultiDict(
        [
            (name.decode("latin-1"), value.decode("utf-8", "surrogateescape"))
            for name, value in head.headers
        ]
    )
    remaining = head.remaining_time // datetime.timedelta(milliseconds=1)
    fields[header_names.timeout_ms] = str(max(1, remaining))
    if header_names.expected_target:
        fields[header_names.expected_target] = target
    if head.workspace:
        fields[header_names.workspace] = head.workspace
    return fields
