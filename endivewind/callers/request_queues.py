"""Request queues, one per service: requests wait here for a free slot.

The gateway calls `place` for each request. Placement chooses targets, and the
admission queue decides on the order, on fairness between workspaces and on
what is refused.
"""

import asyncio
import collections.abc
import dataclasses
import datetime

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.callers import placement
from endivewind.config import objects
from endivewind.decisions import admission
from endivewind.decisions import load_balancing
from endivewind.targets import records

# Slots are also freed by requests of other entry nodes, about which this entry
# node gets no event, so a queue with waiters is polled this often.
POLL_INTERVAL = datetime.timedelta(milliseconds=50)
# Waiters tried for each free slot. Their constraints differ in a few ways only,
# so if none of the first few can use a slot, later ones rarely can. With a long
# queue, trying all would cost a millisecond per waiter at each poll.
MAX_WAITERS_TRIED = 8

PlacedResult = expression.Result[records.TargetRecord, exchange.Refusal]
QueueLimitOf = collections.abc.Callable[[str], int]

_PRIORITY_VALUES = {
    objects.Priority.LOW: 0,
    objects.Priority.NORMAL: 1,
    objects.Priority.HIGH: 2,
}
# Greater than the highest rank within a priority.
_RANK_COUNT = 1_001


@dataclasses.dataclass(slots=True, eq=False)
class SlotRequest:
    """A request's need for a slot of one of a service's targets.

    Attributes:
      service: The service.
      constraints: Which targets it may be sent to.
      waiter: Its entry in the admission queue.
      body_bytes: The size of its body.
      future: The target with a reserved slot, or the refusal.
    """

    service: str
    constraints: load_balancing.RequestConstraints
    waiter: admission.Waiter
    body_bytes: int
    future: asyncio.Future[PlacedResult] | None = None


def queue_priority(
    route: objects.Route, workspace: objects.Workspace | None = None
) -> int:
    """Returns a request's queue priority; higher values go first."""
    rank = route.rank
    if workspace is not None and workspace.rank is not None:
        rank = workspace.rank
    return _PRIORITY_VALUES[route.priority] * _RANK_COUNT - rank


class RequestQueues:
    """The request queues of all services at this entry node."""

    def __init__(
        self,
        placement: placement.Placement,
        queue_limit_of: QueueLimitOf,
        clock: clocks.Clock,
    ) -> None:
        self._placement = placement
        self._queue_limit_of = queue_limit_of
        self._clock = clock
        self._queues: dict[str, admission.AdmissionQueue] = {}
        self._requests: dict[admission.Waiter, SlotRequest] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}

    def waiter_count(self, service: str) -> int:
        """Returns the number of requests waiting for a slot of a service."""
        return len(self._queue(service))

    async def place(self, request: SlotRequest) -> PlacedResult:
        """Returns a target with a slot reserved, or a refusal."""
        queue = self._queue(request.service)
        if not len(queue):
            record = self._choose_target(request)
            if record is not None:
                return expression.Ok(record)
        if self._is_unplaceable(request):
            # Waiting can't help, so the caller is refused immediately.
            return self._no_target(request.service)
        now = self._clock.monotonic()
        offer_result = queue.offer(request.waiter, now)
        if isinstance(offer_result, admission.Rejection):
            return self._refusal(
                exchange.Reason.BUSY,
                offer_result.reason.value,
                offer_result.retry_after,
            )
        if offer_result is not None:
            self._evict(offer_result, admission.RejectionReason.QUEUE_FULL)
        request.future = asyncio.get_running_loop().create_future()
        self._requests[request.waiter] = request
        self._assign_free_slots(request.service)
        return await self._wait(request, request.future)

    def record_end(self, service: str) -> None:
        """Records the end of a request, whose slot may now be free."""
        queue = self._queue(service)
        queue.record_completion(self._clock.monotonic())
        if len(queue):
            self._assign_free_slots(service)

    def refuse(self, request: SlotRequest) -> None:
        """Refuses a request that waits, since it has been held too long."""
        if request.waiter in self._requests:
            self._evict(request.waiter, admission.RejectionReason.HELD_TOO_LONG)

    async def _wait(
        self, request: SlotRequest, future: asyncio.Future[PlacedResult]
    ) -> PlacedResult:
        self._schedule_poll(request.service)
        remaining = request.waiter.deadline - self._clock.monotonic()
        try:
            async with asyncio.timeout(remaining.total_seconds()):
                return await future
        except TimeoutError:
            self._release_slot(request)
            return self._refusal(
                exchange.Reason.BUSY,
                admission.RejectionReason.DEADLINE_TOO_SOON.value,
                datetime.timedelta(),
            )
        except asyncio.CancelledError:
            self._release_slot(request)
            raise
        finally:
            self._queue(request.service).remove(request.waiter)
            self._requests.pop(request.waiter, None)

    def _release_slot(self, request: SlotRequest) -> None:
        """Frees the slot of a request that was cancelled or timed out.

        A slot may have been reserved for it at the same moment. If that slot
        were not freed, this entry node would count it as in use for ever.
        """
        if request.future is None or not request.future.done():
            return
        if request.future.cancelled():
            return
        result = request.future.result()
        if result.is_ok():
            self._return_slot(request, result.ok)

    def _return_slot(
        self, request: SlotRequest, record: records.TargetRecord
    ) -> None:
        """Returns the slot of a request that is not sent."""
        self._placement.record_end(
            record,
            None,
            datetime.timedelta(),
            request.constraints.traffic,
            was_sent=False,
        )

    def assign_free_slots(self) -> None:
        """Assigns slots that have become usable, of any service."""
        for service in list(self._timers):
            self._assign_free_slots(service)

    def _assign_free_slots(self, service: str) -> None:
        """Assigns free slots to the first waiters that can use them.

        Scenario: the first waiter may go to few targets only, because it has
        tried the others or is not idempotent. Risk: in strict order, the
        waiters behind it would be blocked although targets that they could use
        are idle (head-of-line blocking).
        """
        queue = self._queue(service)
        while any(
            self._assign_slot(item)
            for item in queue.first_few(MAX_WAITERS_TRIED)
        ):
            pass

    def _assign_slot(self, waiter: admission.Waiter) -> bool:
        """Assigns a free slot to a waiter; returns False if there is none."""
        request = self._requests[waiter]
        record = self._choose_target(request)
        if record is None:
            return False
        self._resolve(request, expression.Ok(record))
        return True

    def _is_unplaceable(self, request: SlotRequest) -> bool:
        """Returns whether no target could take the request, even later.

        Scenario: all nodes and targets start together, after a power failure.
        Risk: callers reconnect immediately, and a node that knows no target yet
        would refuse them for seconds although targets are about to announce
        themselves. So requests wait while the node discovers targets.
        """
        if self._placement.has_candidate(request.service, request.constraints):
            return False
        has_no_slots = not self._placement.admitted_slots(request.service)
        return not (has_no_slots and self._placement.is_discovering)

    def _poll(self, service: str) -> None:
        del self._timers[service]
        self._assign_free_slots(service)
        self._refuse_unplaceable(service)
        if len(self._queue(service)):
            self._schedule_poll(service)

    def _refuse_unplaceable(self, service: str) -> None:
        """Refuses waiters for which no target has been discovered."""
        if self._placement.is_discovering:
            return
        for waiter in self._queue(service).first_few(MAX_WAITERS_TRIED):
            request = self._requests[waiter]
            if self._is_unplaceable(request):
                self._resolve(request, self._no_target(service))

    def _schedule_poll(self, service: str) -> None:
        if service not in self._timers:
            loop = asyncio.get_running_loop()
            self._timers[service] = loop.call_later(
                POLL_INTERVAL.total_seconds(), self._poll, service
            )

    def _choose_target(
        self, request: SlotRequest
    ) -> records.TargetRecord | None:
        """Chooses a target and reserves a slot there; None if none is free."""
        record = self._placement.choose(request.service, request.constraints)
        if record is not None:
            self._placement.record_start(
                record, request.body_bytes, request.constraints.traffic
            )
        return record

    def _evict(
        self, evicted: admission.Waiter, reason: admission.RejectionReason
    ) -> None:
        request = self._requests[evicted]
        wait = self._queue(request.service).expected_wait(
            evicted.priority, goes_ahead=evicted.goes_ahead
        )
        self._resolve(
            request, self._refusal(exchange.Reason.BUSY, reason.value, wait)
        )

    def _resolve(self, request: SlotRequest, result: PlacedResult) -> None:
        self._queue(request.service).remove(request.waiter)
        del self._requests[request.waiter]
        assert request.future is not None
        if request.future.done():
            # The request was cancelled at the same moment.
            if result.is_ok():
                self._return_slot(request, result.ok)
            return
        request.future.set_result(result)

    def _no_target(self, service: str) -> PlacedResult:
        return self._refusal(
            exchange.Reason.NO_TARGET,
            f"{service} has no target",
            datetime.timedelta(),
        )

    def _refusal(
        self, reason: exchange.Reason, detail: str, wait: datetime.timedelta
    ) -> PlacedResult:
        minimum = max(wait, placement.MIN_RETRY_AFTER)
        return expression.Error(
            exchange.not_run_refusal(
                reason, detail, self._placement.retry_after(minimum)
            )
        )

    def _queue(self, service: str) -> admission.AdmissionQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = admission.AdmissionQueue(self._queue_limit_of(service))
            self._queues[service] = queue
        queue.configure(self._queue_limit_of(service))
        return queue
