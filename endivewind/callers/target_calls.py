"""Calls: the requests that the target on this VM sends to other services.

The listener passes each of them through `TargetCalls`, which adds what it
inherits from the request for which it is made, and counts those that fail.
"""

import collections
import collections.abc
import dataclasses
import datetime
import enum
import logging
from typing import Protocol

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind import logs
from endivewind.callers import entry_routes
from endivewind.callers import request_metrics
from endivewind.callers import routed_request
from endivewind.decisions import inherited_priority

log = logging.getLogger(__name__)

# A longer gap between two samples means that the process was paused; what ran
# meanwhile is unknown.
_MAX_SAMPLE_TIME = datetime.timedelta(seconds=1)
_LOOPBACK_PREFIXES = ("127.", "::ffff:127.")
_SERVER_ERROR = 500

ResponseResult = expression.Result[exchange.Response, exchange.Refusal]
Serve = collections.abc.Callable[
    [exchange.RequestHead],
    collections.abc.Coroutine[None, None, ResponseResult],
]


class FailureCause(enum.StrEnum):
    """Why a call failed."""

    REFUSED = "refused"
    NO_TARGET = "no-target"
    TIMED_OUT = "timed-out"
    ERROR = "error"
    RETRY_BUDGET = "retry-budget"


_CAUSES = {
    exchange.Reason.NO_TARGET: FailureCause.NO_TARGET,
    exchange.Reason.DEADLINE: FailureCause.TIMED_OUT,
}


class CallingTarget(Protocol):
    """The target on this VM, whose calls enter at this node."""

    def running_requests(self) -> list[inherited_priority.RunningRequest]:
        """Returns the requests that it is running, oldest first."""


class TargetCalls:
    """Recognizes calls of the target on this VM and counts failed ones."""

    def __init__(
        self,
        target: CallingTarget,
        known_entry_routes: entry_routes.EntryRoutes,
        metrics: request_metrics.RequestMetrics,
        clock: clocks.Clock,
        *,
        target_host: str = "",
        inherits_priority: bool = False,
    ) -> None:
        """Starts without any learned frequencies.

        Args:
          target: the target on this VM.
          known_entry_routes: the routes that are not only used by targets.
          metrics: where calls are counted.
          clock: the clock; its monotonic time is used.
          target_host: the host of the target's address.
          inherits_priority: whether calls inherit the queue priority
            (`overload.inherited_priority`).
        """
        self._target = target
        self._entry_routes = known_entry_routes
        self._metrics = metrics
        self._clock = clock
        self._target_host = target_host
        self._inherits_priority = inherits_priority
        # Routes by which callers connected from elsewhere, and from this VM.
        self._remote_routes: set[tuple[str, str]] = set()
        self._local_routes: set[tuple[str, str]] = set()
        self._frequencies = inherited_priority.CallFrequencies()
        self._last_sample = clock.monotonic()

    def is_call(
        self,
        service: str,
        prefix: str,
        peer_address: str,
        own_address: str,
        *,
        has_key: bool = False,
    ) -> bool:
        """Returns whether a request that arrives now is a call.

        Scenario: a caller guesses the path of a service that only targets call.
        Risk: its request would get the priority of whatever the target is
        running. So a call must also come from this VM, by the addresses of its
        connection, which a caller elsewhere can't choose.

        If a proxy on this VM forwards callers' requests, they come from the VM,
        too. So a request by an entry route is a call only if callers of that
        route have been seen to connect from elsewhere, and none from this VM.

        Scenario: a node has just started, so that it knows no routes of
        callers. Risk: their requests go ahead of others and count towards the
        workspace of some request at the target. Targets don't get the keys of
        callers, so a request with a key is no call.

        Args:
          service: the service that it is routed to.
          prefix: the path prefix of its route.
          peer_address: the IP address of the sender; empty if it is unknown,
            as after the connection was closed. Then nothing is learned.
          own_address: the IP address at which it arrived.
          has_key: whether it carries the key of a workspace.
        """
        if not peer_address:
            return False
        is_from_vm = peer_address in (
            own_address,
            self._target_host,
            "::1",
        ) or peer_address.startswith(_LOOPBACK_PREFIXES)
        route = (service, prefix)
        if not is_from_vm:
            self._remote_routes.add(route)
            self._entry_routes.record_remote_request(service, prefix)
            return False
        if has_key:
            return False
        if not self._entry_routes.may_target_call:
            self._local_routes.add(route)
            return False
        return self._may_be_call(route)

    def _may_be_call(self, route: tuple[str, str]) -> bool:
        """Whether a request from this VM is a call, by its route.

        Args:
          route: its service and the path prefix of its route.
        """
        if not self._entry_routes.is_entry_route(*route):
            return True
        return route in self._remote_routes and route not in self._local_routes

    async def serve(
        self, prefix: str, head: exchange.RequestHead, serve: Serve
    ) -> ResponseResult:
        """Serves a call with the priority that it inherits.

        Without `inherits_priority` it keeps its own, and failures are still
        counted. A call that the target abandons is cancelled and not counted as
        failed.

        Args:
          prefix: the path prefix of its route.
          head: the call without its body.
          serve: serves a request with the given head.
        """
        head = self._inherit(prefix, head)
        result = await serve(head)
        cause = _failure_cause(head, result)
        if cause is not None:
            self._record_failure(prefix, head, result, cause)
        return result

    def record_request(
        self, request: inherited_priority.RunningRequest
    ) -> None:
        """Counts a request that is sent to the target."""
        self._frequencies.record_request(request)

    def expected_calls(
        self, request: inherited_priority.RunningRequest
    ) -> collections.abc.Mapping[str, float]:
        """Returns how many calls a request is likely to make, by service."""
        expected: collections.defaultdict[str, float] = collections.defaultdict(
            float
        )
        for route, count in self._frequencies.expected_calls(request).items():
            if self._may_be_call((route.service, route.prefix)):
                expected[route.service] += count
        return expected

    def sample_running_requests(self) -> None:
        """Records which requests run; called several times a second."""
        now = self._clock.monotonic()
        elapsed = min(now - self._last_sample, _MAX_SAMPLE_TIME)
        self._last_sample = now
        self._frequencies.record_running(
            self._target.running_requests(), elapsed
        )

    def _inherit(
        self, prefix: str, head: exchange.RequestHead
    ) -> exchange.RequestHead:
        """Returns the head with what the call inherits."""
        route = inherited_priority.CallRoute(head.service, prefix)
        running = self._target.running_requests()
        call = self._describe_call(head, route, running)
        self._frequencies.record_call(route, running)
        if not self._inherits_priority:
            return dataclasses.replace(head, call=call)
        inheritance = self._frequencies.inherit(route, running)
        if inheritance is None:
            # The request was abandoned, but the target still works on it.
            return dataclasses.replace(head, call=call)
        self._metrics.record_inherited_call(
            head.service, inheritance.basis.value
        )
        call.inherits = True
        call.fair_workspace = inheritance.workspace
        return dataclasses.replace(
            head,
            queue_priority=max(head.queue_priority, inheritance.queue_priority),
            call=call,
        )

    def _describe_call(
        self,
        head: exchange.RequestHead,
        route: inherited_priority.CallRoute,
        running: collections.abc.Sequence[inherited_priority.RunningRequest],
    ) -> exchange.TargetCall:
        """Returns how likely a call is made for a repeat.

        Spends what the repeats have reserved for it, and logs the call if it
        may belong to one of them.
        """
        probability_of_any = reserved = 0.0
        probabilities = self._frequencies.probabilities(route, running)
        for request, probability in zip(running, probabilities, strict=True):
            probability *= request.repeat_probability
            if not probability:
                continue
            probability_of_any += probability
            if request.reserved is not None:
                reserved += request.reserved.spend(route.service, probability)
        if probability_of_any:
            fields = logs.fields(
                request_id=head.request_id,
                service=route.service,
                prefix=route.prefix,
                probability=round(probability_of_any, 3),
                reserved=round(reserved, 3),
            )
            log.info("call of retried request", extra=fields)
        return exchange.TargetCall(
            retry_probability=probability_of_any - reserved,
            repeat_probability=probability_of_any,
        )

    def _record_failure(
        self,
        prefix: str,
        head: exchange.RequestHead,
        result: ResponseResult,
        cause: FailureCause,
    ) -> None:
        self._metrics.record_failed_call(head.service, cause.value)
        fields = logs.fields(
            request_id=head.request_id,
            service=head.service,
            prefix=prefix,
            cause=cause.value,
            result=routed_request.describe_result(result),
            inherits=head.goes_ahead,
            queue_priority=head.queue_priority,
        )
        log.info("call failed", extra=fields)


def _failure_cause(
    head: exchange.RequestHead, result: ResponseResult
) -> FailureCause | None:
    """Returns why a call failed; None if it did not."""
    if result.is_ok() and result.ok.status < _SERVER_ERROR:
        return None
    if head.call is not None and head.call.lacked_retry:
        return FailureCause.RETRY_BUDGET
    if result.is_ok():
        return FailureCause.ERROR
    is_refused = result.error.was_not_run
    default = FailureCause.REFUSED if is_refused else FailureCause.ERROR
    return _CAUSES.get(result.error.reason, default)
