"""Waits for a target with a free slot, in the order that admission decides."""

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

# Slots also get free through the work of other entries, of which this one
# hears nothing; so the queue is looked at this often while it has waiters.
LOOK = datetime.timedelta(milliseconds=50)
# Of those who wait, so many are tried for each free slot. What they ask of a
# target differs in a few ways only; trying all would cost a long queue a
# millisecond for each of its members at every look.
TRIED = 8

PlacedResult = expression.Result[records.TargetRecord, exchange.Refusal]
QueueLimitOf = collections.abc.Callable[[str], int]

_PRIORITIES = {
    objects.Priority.LOW: 0,
    objects.Priority.NORMAL: 1,
    objects.Priority.HIGH: 2,
}
# More than the ranks that a priority may have.
_RANKS = 1_001


@dataclasses.dataclass(slots=True, eq=False)
class Claim:
    """What a request asks of the waiting room.

    Attributes:
      service: the service.
      demand: where it may be placed.
      waiter: its place in the queue.
      size: bytes of its body.
      placed: its target, reserved, or why there is none.
    """

    service: str
    demand: load_balancing.Demand
    waiter: admission.Waiter
    size: int
    placed: asyncio.Future[PlacedResult] | None = None


def level(
    route: objects.Route, workspace: objects.Workspace | None = None
) -> int:
    """A request's place in queues; a higher one goes first."""
    rank = route.rank
    if workspace is not None and workspace.rank is not None:
        rank = workspace.rank
    return _PRIORITIES[route.priority] * _RANKS - rank


class WaitingRoom:
    """The queues of all services at this entry."""

    def __init__(
        self,
        placed: placement.Placement,
        limit_of: QueueLimitOf,
        clock: clocks.Clock,
    ) -> None:
        self._placement = placed
        self._limit_of = limit_of
        self._clock = clock
        self._queues: dict[str, admission.ServiceQueue] = {}
        self._claims: dict[admission.Waiter, Claim] = {}
        self._looks: dict[str, asyncio.TimerHandle] = {}

    def waiting(self, service: str) -> int:
        """Requests that wait here for a slot of a service."""
        return len(self._queue(service))

    async def place(self, claim: Claim) -> PlacedResult:
        """A target for the request, with its slot counted, or a refusal."""
        queue = self._queue(claim.service)
        if not len(queue):
            record = self._try(claim)
            if record is not None:
                return expression.Ok(record)
        if self._is_hopeless(claim):
            # Nothing to wait for: the caller hears it now, not later.
            return self._no_target(claim.service)
        now = self._clock.monotonic()
        offered = queue.offer(claim.waiter, now)
        if isinstance(offered, admission.Rejection):
            return self._refusal(
                exchange.Reason.BUSY, offered.reason.value, offered.retry_after
            )
        if offered is not None:
            self._refuse(offered, admission.Reason.QUEUE_FULL)
        claim.placed = asyncio.get_running_loop().create_future()
        self._claims[claim.waiter] = claim
        self._serve(claim.service)
        return await self._wait(claim, claim.placed)

    def ended(self, service: str) -> None:
        """Takes note of a request's end: a slot may be free."""
        queue = self._queue(service)
        queue.record_completion(self._clock.monotonic())
        if len(queue):
            self._serve(service)

    async def _wait(
        self, claim: Claim, placed: asyncio.Future[PlacedResult]
    ) -> PlacedResult:
        self._look_later(claim.service)
        left = claim.waiter.deadline - self._clock.monotonic()
        try:
            async with asyncio.timeout(left.total_seconds()):
                return await placed
        except TimeoutError:
            self._release(claim)
            return self._refusal(
                exchange.Reason.BUSY,
                admission.Reason.DEADLINE_TOO_SOON.value,
                datetime.timedelta(),
            )
        except asyncio.CancelledError:
            self._release(claim)
            raise
        finally:
            self._queue(claim.service).remove(claim.waiter)
            self._claims.pop(claim.waiter, None)

    def _release(self, claim: Claim) -> None:
        """Frees a slot that was reserved for a caller who has just left.

        Else this entry would count it as in use for ever.
        """
        if claim.placed is None or not claim.placed.done():
            return
        if claim.placed.cancelled():
            return
        result = claim.placed.result()
        if result.is_ok():
            self._placement.ended(result.ok, None, datetime.timedelta())

    def _serve(self, service: str) -> None:
        """Gives free slots to those whose turn it is.

        Load: the first in the queue may go to few targets, since it has tried
        the others or must not fail. Harm: tried in strict order, those behind
        it would wait for slots that they do not need, and the targets stand
        idle.
        """
        queue = self._queue(service)
        while any(self._offer(item) for item in queue.first_few(TRIED)):
            pass

    def _offer(self, waiter: admission.Waiter) -> bool:
        """Whether there is a slot for one that waits; it is answered then."""
        claim = self._claims[waiter]
        record = self._try(claim)
        if record is None:
            return False
        self._answer(claim, expression.Ok(record))
        return True

    def _is_hopeless(self, claim: Claim) -> bool:
        """Whether no target could take the request, however long it waits.

        Load: all nodes and targets start at once, after a loss of power.
        Harm: callers come back at once, and a node that has heard of no
        target yet would refuse them for seconds, with targets that announce
        themselves in the next moment. While it settles they wait.
        """
        if self._placement.has_candidate(claim.service, claim.demand):
            return False
        unheard = not self._placement.admitted_slots(claim.service)
        return not (unheard and self._placement.is_settling)

    def _look(self, service: str) -> None:
        del self._looks[service]
        self._serve(service)
        self._give_up(service)
        if len(self._queue(service)):
            self._look_later(service)

    def _give_up(self, service: str) -> None:
        """Refuses those that wait for targets which have not come."""
        if self._placement.is_settling:
            return
        for waiter in self._queue(service).first_few(TRIED):
            claim = self._claims[waiter]
            if self._is_hopeless(claim):
                self._answer(claim, self._no_target(service))

    def _look_later(self, service: str) -> None:
        if service not in self._looks:
            loop = asyncio.get_running_loop()
            self._looks[service] = loop.call_later(
                LOOK.total_seconds(), self._look, service
            )

    def _try(self, claim: Claim) -> records.TargetRecord | None:
        record = self._placement.choose(claim.service, claim.demand)
        if record is not None:
            self._placement.started(record, claim.size)
        return record

    def _refuse(
        self, refused: admission.Waiter, reason: admission.Reason
    ) -> None:
        claim = self._claims[refused]
        wait = self._queue(claim.service).expected_wait(refused.priority)
        self._answer(
            claim, self._refusal(exchange.Reason.BUSY, reason.value, wait)
        )

    def _answer(self, claim: Claim, result: PlacedResult) -> None:
        self._queue(claim.service).remove(claim.waiter)
        del self._claims[claim.waiter]
        assert claim.placed is not None
        if claim.placed.done():
            # Its caller has left in this very moment.
            if result.is_ok():
                self._placement.ended(result.ok, None, datetime.timedelta())
            return
        claim.placed.set_result(result)

    def _no_target(self, service: str) -> PlacedResult:
        return self._refusal(
            exchange.Reason.NO_TARGET,
            f"{service} has no target",
            datetime.timedelta(),
        )

    def _refusal(
        self, reason: exchange.Reason, detail: str, wait: datetime.timedelta
    ) -> PlacedResult:
        least = max(wait, placement.LEAST_RETRY)
        return expression.Error(
            exchange.not_run(
                reason, detail, self._placement.come_back_after(least)
            )
        )

    def _queue(self, service: str) -> admission.ServiceQueue:
        known = self._queues.get(service)
        if known is None:
            known = admission.ServiceQueue(self._limit_of(service))
            self._queues[service] = known
        known.configure(self._limit_of(service))
        return known
