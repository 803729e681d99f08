"""Admission queue for requests that wait for a slot.

A bounded priority queue with weighted fair queueing between workspaces. Entry
nodes have one for each service (`callers/request_queues.py`), home nodes one
for each target (`targets/slots.py`).
"""

import dataclasses
import datetime
import enum
import heapq
import itertools

# Weight of a new gap in the moving average of gaps between completions.
_GAP_WEIGHT = 1 / 16
# Entries of the heap per waiting request, above which those of removed requests
# are dropped from it.
_MAX_HEAP_FACTOR = 4
# After a longer gap the service was idle rather than slow.
_MAX_COMPLETION_GAP = datetime.timedelta(seconds=1)


class RejectionReason(enum.Enum):
    """Why a request is rejected before it is sent to any target."""

    QUEUE_FULL = "the queue of the service is full"
    DEADLINE_TOO_SOON = "the deadline would pass in the queue"
    HELD_TOO_LONG = "the service is overloaded and no slot is free in time"


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """A request that a queue rejects; the queue's owner refuses it.

    Attributes:
      reason: why it is rejected.
      retry_after: the time after which a retry may succeed.
    """

    reason: RejectionReason
    retry_after: datetime.timedelta


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A request in the queue.

    Attributes:
      workspace: the workspace that sent it.
      weight: the workspace's share of the slots relative to others.
      priority: higher priorities are served first and rejected last.
      deadline: when its caller stops waiting.
      goes_ahead: whether it is served before others of its priority, as calls
        are: the work of the request that waits for the call is already done.
    """

    workspace: str
    weight: int
    priority: int
    deadline: datetime.timedelta
    goes_ahead: bool = False

    @property
    def level(self) -> int:
        """Its priority, and within it whether it goes ahead."""
        return _level(self.priority, self.goes_ahead)


class AdmissionQueue:
    """A bounded queue, by priority, then fair between workspaces.

    Scenario: more requests than slots, most of them from a few workspaces.
    Risk: first come, first served gives the slots to whoever sends most, and a
    long queue makes every response too late for its caller. Each workspace has
    its own flow, and the flows are served in proportion to their weights
    (start-time fair queueing). A request that can't be served before its
    deadline is rejected on arrival instead of after waiting in vain.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._sequence = itertools.count()
        # Ordered by level, start tag and arrival.
        self._heap: list[tuple[int, float, int, Waiter]] = []
        self._waiting: dict[Waiter, None] = {}
        # The same by level, so that finding the request to replace does not
        # take time in proportion to the queue length.
        self._by_level: dict[int, dict[Waiter, None]] = {}
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._completion_rate = 0.0
        self._last_completion: datetime.timedelta | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def configure(self, limit: int) -> None:
        """Changes the limit; requests in the queue stay."""
        self._limit = limit

    def offer(
        self, waiter: Waiter, now: datetime.timedelta
    ) -> Rejection | Waiter | None:
        """Adds a request to the queue or rejects one.

        Returns:
          None if the request was queued; a rejection if it is refused; or the
          waiter of a lower level that was removed to make room for it.
        """
        wait = self.expected_wait(waiter.priority, goes_ahead=waiter.goes_ahead)
        if now + wait >= waiter.deadline:
            return Rejection(RejectionReason.DEADLINE_TOO_SOON, wait)
        if len(self._waiting) < self._limit:
            self._push(waiter)
            return None
        replaced = self._newest_below(waiter.level)
        if replaced is None:
            return Rejection(RejectionReason.QUEUE_FULL, wait)
        self.remove(replaced)
        self._push(waiter)
        return replaced

    def first(self) -> Waiter | None:
        """Returns the next waiter to serve without removing it."""
        while self._heap and self._heap[0][3] not in self._waiting:
            heapq.heappop(self._heap)
        return self._heap[0][3] if self._heap else None

    def first_few(self, number: int) -> list[Waiter]:
        """Returns the next waiters in order without removing them."""
        waiting = (item for item in self._heap if item[3] in self._waiting)
        return [item[3] for item in heapq.nsmallest(number, waiting)]

    def remove(self, waiter: Waiter) -> None:
        """Removes a waiter that is served or has given up."""
        if self._heap and self._heap[0][3] is waiter:
            start = heapq.heappop(self._heap)[1]
            # Those that go ahead must not move the start tags of others.
            if not waiter.goes_ahead:
                self._virtual_time = max(self._virtual_time, start)
        self._waiting.pop(waiter, None)
        self._by_level.get(waiter.level, {}).pop(waiter, None)
        if not self._waiting:
            self._heap.clear()
            self._finish_tags.clear()
        elif len(self._heap) > _MAX_HEAP_FACTOR * len(self._waiting):
            self._heap = [
                item for item in self._heap if item[3] in self._waiting
            ]
            heapq.heapify(self._heap)

    def record_completion(self, now: datetime.timedelta) -> None:
        """Updates the completion rate; called when a request has finished."""
        previous, self._last_completion = self._last_completion, now
        if previous is None or now - previous > _MAX_COMPLETION_GAP:
            return
        gap = max((now - previous).total_seconds(), 1e-4)
        if not self._completion_rate:
            self._completion_rate = 1 / gap
            return
        # Averages gaps, not rates: averaging rates over bursts would
        # overestimate the rate.
        mean_gap = 1 / self._completion_rate
        self._completion_rate = 1 / (mean_gap + _GAP_WEIGHT * (gap - mean_gap))

    def expected_wait(
        self, priority: int, *, goes_ahead: bool = False
    ) -> datetime.timedelta:
        """Estimates how long a new request of this priority would wait."""
        if not self._completion_rate:
            return datetime.timedelta()
        level = _level(priority, goes_ahead)
        ahead = sum(
            len(waiters)
            for other, waiters in self._by_level.items()
            if other >= level
        )
        return datetime.timedelta(seconds=ahead / self._completion_rate)

    def _newest_below(self, level: int) -> Waiter | None:
        """Finds the newest waiter of the lowest level below this one."""
        for other in sorted(self._by_level):
            if other < level and self._by_level[other]:
                return next(reversed(self._by_level[other]))
        return None

    def _push(self, waiter: Waiter) -> None:
        start = max(
            self._virtual_time, self._finish_tags.get(waiter.workspace, 0.0)
        )
        self._finish_tags[waiter.workspace] = start + 1 / waiter.weight
        self._waiting[waiter] = None
        self._by_level.setdefault(waiter.level, {})[waiter] = None
        entry = (-waiter.level, start, next(self._sequence), waiter)
        heapq.heappush(self._heap, entry)


def _level(priority: int, goes_ahead: bool) -> int:
    return 2 * priority + goes_ahead
