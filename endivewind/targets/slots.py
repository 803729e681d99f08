"""The slots of one target, and the short queue before them."""

import asyncio
import datetime

from endivewind import clock as clocks
from endivewind.decisions import admission

# Requests that may wait at a target, for each of its slots. The home alone
# sees the load of all entries, so a short queue there keeps a slot from
# standing idle for the time that a refusal and the next try take; a longer
# one would hold work that another target could start at once.
QUEUE_PER_SLOT = 2


class Slots:
    """Hands out one target's slots in the order that admission decides."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._in_use = 0
        self._queue = admission.ServiceQueue(0)
        self._turns: dict[admission.Waiter, asyncio.Future[None]] = {}

    @property
    def in_use(self) -> int:
        """Slots in use."""
        return self._in_use

    @property
    def load(self) -> int:
        """Requests that are at the target or wait for it."""
        return self._in_use + len(self._turns)

    async def take(self, slots: int, waiter: admission.Waiter) -> bool:
        """Waits for a slot; False where waiting is of no use."""
        if self._in_use < slots and not self._turns:
            self._in_use += 1
            return True
        self._queue.configure(QUEUE_PER_SLOT * slots)
        offered = self._queue.offer(waiter, self._clock.monotonic())
        if isinstance(offered, admission.Rejection):
            return False
        if offered is not None:
            self._turns.pop(offered).cancel()
        return await self._wait(waiter)

    def free(self, slots: int) -> None:
        """Gives a slot back; the next in turn gets it."""
        self._in_use -= 1
        self._queue.record_completion(self._clock.monotonic())
        while self._in_use < slots and (first := self._queue.first()):
            self._queue.remove(first)
            turn = self._turns.pop(first)
            if not turn.done():
                self._in_use += 1
                turn.set_result(None)

    async def _wait(self, waiter: admission.Waiter) -> bool:
        turn = asyncio.get_running_loop().create_future()
        self._turns[waiter] = turn
        left = waiter.deadline - self._clock.monotonic()
        try:
            async with asyncio.timeout(left.total_seconds()):
                await turn
            return True
        except TimeoutError:
            return self._has_turn(turn)
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                if self._has_turn(turn):
                    self._in_use -= 1
                raise
            # Displaced by work of a higher priority.
            return False
        finally:
            self._queue.remove(waiter)
            self._turns.pop(waiter, None)

    def _has_turn(self, turn: asyncio.Future[None]) -> bool:
        return turn.done() and not turn.cancelled()


def waiter(level: int, deadline: datetime.timedelta) -> admission.Waiter:
    """A place in the queue; entries have shared fairly between workspaces."""
    return admission.Waiter("", 1, level, deadline)
