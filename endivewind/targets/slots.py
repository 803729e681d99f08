"""The slots of one target, and the short queue for them.

Limits the concurrent requests at a target. Used by the dispatcher.
"""

import asyncio
import datetime

from endivewind import clock as clocks
from endivewind.decisions import admission

# Maximum number of queued requests per slot. Only the home node sees the load
# of all entry nodes, so these may send more requests than there are slots. If
# all the excess were refused, a slot that becomes free would idle until an
# entry node's next attempt; a short queue at the home prevents that. A longer
# queue would delay requests that another target could execute immediately.
QUEUE_LENGTH_PER_SLOT = 2


class TargetSlots:
    """Allocates the slots of one target in the order of the admission queue."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._in_use = 0
        self._total_slots = 0
        self._queue = admission.AdmissionQueue(0)
        self._futures: dict[admission.Waiter, asyncio.Future[None]] = {}

    @property
    def in_use(self) -> int:
        """Number of slots in use."""
        return self._in_use

    @property
    def queue_length(self) -> int:
        """Number of requests queued for a slot."""
        return len(self._futures)

    @property
    def load(self) -> int:
        """Number of requests running at the target or queued for it."""
        return self._in_use + self.queue_length

    async def acquire(self, total_slots: int, waiter: admission.Waiter) -> bool:
        """Waits for a slot.

        Args:
          total_slots: the target's current number of slots.
          waiter: the request's position in the queue.

        Returns:
          False if the queue is full, the request was displaced from it, or its
          deadline passed.
        """
        self._total_slots = total_slots
        if self._in_use < total_slots and not self._futures:
            self._in_use += 1
            return True
        self._queue.configure(QUEUE_LENGTH_PER_SLOT * total_slots)
        result = self._queue.offer(waiter, self._clock.monotonic())
        if isinstance(result, admission.Rejection):
            return False
        if result is not None:
            self._futures.pop(result).cancel()
        return await self._wait(waiter)

    def release(self, total_slots: int) -> None:
        """Releases one slot, which the first request in the queue gets.

        Args:
          total_slots: the target's current number of slots.
        """
        self._total_slots = total_slots
        self._in_use -= 1
        self._queue.record_completion(self._clock.monotonic())
        self._assign_free_slots()

    def _assign_free_slots(self) -> None:
        while self._in_use < self._total_slots and (
            first := self._queue.first()
        ):
            self._queue.remove(first)
            future = self._futures.pop(first)
            if not future.done():
                self._in_use += 1
                future.set_result(None)

    def displace_all(self) -> None:
        """Displaces all requests from the queue."""
        while self._futures:
            waiter, future = self._futures.popitem()
            self._queue.remove(waiter)
            future.cancel()

    async def _wait(self, waiter: admission.Waiter) -> bool:
        future = asyncio.get_running_loop().create_future()
        self._futures[waiter] = future
        remaining = waiter.deadline - self._clock.monotonic()
        try:
            async with asyncio.timeout(remaining.total_seconds()):
                await future
            return True
        except TimeoutError:
            return self._has_slot(future)
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                if self._has_slot(future):
                    self._in_use -= 1
                    self._assign_free_slots()
                raise
            # Displaced by a request of higher priority.
            return False
        finally:
            self._queue.remove(waiter)
            self._futures.pop(waiter, None)

    def _has_slot(self, future: asyncio.Future[None]) -> bool:
        return future.done() and not future.cancelled()


def make_waiter(
    priority: int, deadline: datetime.timedelta, *, goes_ahead: bool = False
) -> admission.Waiter:
    """Returns a waiter without a workspace.

    Fairness between workspaces is up to the queues of the entry nodes.
    """
    return admission.Waiter("", 1, priority, deadline, goes_ahead)
