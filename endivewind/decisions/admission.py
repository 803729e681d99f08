"""Who waits for a slot of a service at one entry, and who is refused."""

import dataclasses
import datetime
import enum
import heapq
import itertools

# Each completion moves the measured rate of completions by this part.
_RATE_WEIGHT = 1 / 16
# A gap longer than this says that the service was idle, not slow.
_IDLE = datetime.timedelta(seconds=1)


class Reason(enum.Enum):
    """Why a request is refused before any target sees it."""

    QUEUE_FULL = "the queue of the service is full"
    TOO_LATE = "the deadline would pass in the queue"


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A refusal, and when coming back may help."""

    reason: Reason
    retry_after: datetime.timedelta


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """One request that waits.

    Attributes:
      workspace: whose it is.
      weight: the workspace's share relative to others.
      priority: higher goes first and is refused last.
      deadline: when its caller stops waiting.
    """

    workspace: str
    weight: int
    priority: int
    deadline: datetime.timedelta


class ServiceQueue:
    """A bounded queue: by priority, then fair between workspaces.

    Load: more requests than slots, most of them from few workspaces. Harm:
    first come, first served gives the slots to whoever sends most, and a
    long queue makes every answer too late for its caller. Each workspace
    has its own line, and the lines are served in proportion to their weights
    (start-time fair queueing); a request that can't be served before its
    deadline is refused when it comes and not when it is too late.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._numbers = itertools.count()
        # By priority, start tag and order of arrival.
        self._heap: list[tuple[int, float, int, Waiter]] = []
        self._waiting: dict[Waiter, None] = {}
        # The same by priority, so that nothing here depends on the length.
        self._levels: dict[int, dict[Waiter, None]] = {}
        self._finish: dict[str, float] = {}
        self._virtual = 0.0
        self._per_second = 0.0
        self._ended: datetime.timedelta | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def configure(self, limit: int) -> None:
        """Takes another limit; those who wait stay."""
        self._limit = limit

    def offer(
        self, waiter: Waiter, now: datetime.timedelta
    ) -> Refused | Waiter | None:
        """Takes a request into the queue.

        Returns:
          None if it waits; why it is refused; or the waiter of a lower
          priority that is refused in its place.
        """
        wait = self.expected_wait(waiter.priority)
        if now + wait >= waiter.deadline:
            return Refused(Reason.TOO_LATE, wait)
        if len(self._waiting) < self._limit:
            self._push(waiter)
            return None
        last = self._last_below(waiter.priority)
        if last is None:
            return Refused(Reason.QUEUE_FULL, wait)
        self.remove(last)
        self._push(waiter)
        return last

    def first(self) -> Waiter | None:
        """The one whose turn it is; it stays until it is removed."""
        while self._heap and self._heap[0][3] not in self._waiting:
            heapq.heappop(self._heap)
        return self._heap[0][3] if self._heap else None

    def first_few(self, number: int) -> list[Waiter]:
        """Those whose turn comes next, in order; they stay."""
        found = heapq.nsmallest(2 * number, self._heap)
        return [item[3] for item in found if item[3] in self._waiting][:number]

    def remove(self, waiter: Waiter) -> None:
        """Takes out one that is served, or has left."""
        if self._heap and self._heap[0][3] is waiter:
            self._virtual = max(self._virtual, heapq.heappop(self._heap)[1])
        self._waiting.pop(waiter, None)
        self._levels.get(waiter.priority, {}).pop(waiter, None)
        if not self._waiting:
            self._heap.clear()
            self._finish.clear()

    def completed(self, now: datetime.timedelta) -> None:
        """Takes note that the service has ended a request of this entry."""
        before, self._ended = self._ended, now
        if before is None or now - before > _IDLE:
            return
        gap = max((now - before).total_seconds(), 1e-4)
        if not self._per_second:
            self._per_second = 1 / gap
            return
        # Averaged as a gap: a rate averaged over bursts would be too high.
        usual = 1 / self._per_second
        self._per_second = 1 / (usual + _RATE_WEIGHT * (gap - usual))

    def expected_wait(self, priority: int) -> datetime.timedelta:
        """How long one of this priority would wait if it came now."""
        if not self._per_second:
            return datetime.timedelta()
        ahead = sum(
            len(level)
            for number, level in self._levels.items()
            if number >= priority
        )
        return datetime.timedelta(seconds=ahead / self._per_second)

    def _last_below(self, priority: int) -> Waiter | None:
        """The latest of the lowest priority below this one."""
        for number in sorted(self._levels):
            if number < priority and self._levels[number]:
                return next(reversed(self._levels[number]))
        return None

    def _push(self, waiter: Waiter) -> None:
        start = max(self._virtual, self._finish.get(waiter.workspace, 0.0))
        self._finish[waiter.workspace] = start + 1 / waiter.weight
        self._waiting[waiter] = None
        self._levels.setdefault(waiter.priority, {})[waiter] = None
        entry = (-waiter.priority, start, next(self._numbers), waiter)
        heapq.heappush(self._heap, entry)
