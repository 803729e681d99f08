"""A budget for retries: a share of the recent requests of a service."""

import collections
import dataclasses
import datetime

# What a service with little traffic may retry in each window; without it one
# failed request in a quiet minute could not be tried again.
RESERVE = 3.0
WINDOW = datetime.timedelta(seconds=10)
# The window slides by this part of itself, so that no span of its length can
# hold more than a twentieth above the bound.
_STEPS = 20


# A part of so many retries and more is used evenly enough: chance moves it by
# a fifth. Nodes with less tell each other.
SMALL = 25.0
# Of its part a node keeps so much for itself; what is beyond is shared.
KEPT_SHARE = 0.2
# Until what a node has used is known to the others: the gap between two
# messages, and one of them late.
TELLING = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """What may be retried.

    Attributes:
      share: retries for each request in the window.
      reserve: retries in each window besides, at this node.
      window: the span in which both are counted.
      neighbours: other nodes that tell this one of their retries.
    """

    share: float
    reserve: float = RESERVE
    window: datetime.timedelta = WINDOW
    neighbours: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Count:
    """What a node has counted in the present window."""

    requests: int = 0
    retries: int = 0


@dataclasses.dataclass(slots=True)
class _Step:
    number: int
    requests: int = 0
    retries: int = 0


class RetryBudget:
    """Bounds retries in every window to a share of its requests.

    Load: every target of a service fails, or most are full. Harm: with three
    tries for each request the service gets three times the load just when it
    can take least, and stays down. The budget bounds the extra work to its
    share of the requests, whatever fails, and hedges take from it too. Every
    node keeps its own bound, so the sum over all nodes keeps it as well; a
    budget saved up in quiet times would break it in the first window of a
    storm, so nothing is saved for longer than the window.

    A node with a few requests a second has a part of two or three retries,
    and failures come in bunches: one node would give up while its neighbours
    have used nothing. So each node keeps a fifth of its part for itself, and
    the rest is shared: what anyone uses beyond its own fifth comes out of
    what is shared, wherever it was used. While a count is on its way to the
    others, a node uses no more than an equal part of what is left, so that
    all at once spend nothing twice. The sum of the parts stays the bound.

    A target that runs a repeat may call other services, and these calls count
    as retries there. They can't be refused for that, so they are charged, and
    later retries have to wait for it.
    """

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self._steps: collections.deque[_Step] = collections.deque()
        self._requests = 0
        self._retries = 0
        self._peers: dict[str, tuple[Count, datetime.timedelta]] = {}
        # What this node may use now of what is shared, and since when.
        self._turn = float("inf")
        self._turn_at = datetime.timedelta()

    def configure(self, limits: RetryLimits) -> None:
        """Takes other limits; what was counted stays counted."""
        if limits.window != self._limits.window:
            self._steps.clear()
            self._requests = 0
            self._retries = 0
        self._limits = limits

    def request(self, now: datetime.timedelta) -> None:
        """Takes note of a request of a caller."""
        self._step(now).requests += 1
        self._requests += 1

    def charge(self, now: datetime.timedelta) -> None:
        """Takes note of work that counts as a retry, whatever is left."""
        self._step(now).retries += 1
        self._retries += 1

    def hear(self, node: str, count: Count, now: datetime.timedelta) -> None:
        """Takes another node's count, for the window that ends now."""
        self._peers[node] = (count, now)

    def count(self, now: datetime.timedelta) -> Count:
        """What this node has counted."""
        self._step(now)
        return Count(self._requests, self._retries)

    def is_small(self, now: datetime.timedelta) -> bool:
        """Whether chance alone may use up this node's part."""
        self._step(now)
        return 0 < self._allowed() < SMALL

    def take(
        self, now: datetime.timedelta, *, may_borrow: bool = False
    ) -> bool:
        """Whether one more try is allowed; takes it from the budget.

        Args:
          now: the time.
          may_borrow: whether what others have left may be used.
        """
        self._step(now)
        self._forget(now)
        if not self._keeps_one():
            part = self._allowed()
            if not (may_borrow or self._retries + 1 <= part):
                return False
            if not self._has_turn(now):
                return False
            self._turn -= 1
        self.charge(now)
        return True

    def spent(self, now: datetime.timedelta) -> float:
        """The part of what is allowed that is spent; 1 if nothing is left."""
        if not self._is_left(now):
            return 1.0
        used = self._retries + sum(item.retries for item in self._others())
        return used / self._pool()

    @property
    def has_any(self) -> bool:
        """Whether there are retries at all, spent or not."""
        return self._pool() >= 1

    def _is_left(self, now: datetime.timedelta) -> bool:
        """Whether one more try keeps the bound."""
        self._step(now)
        self._forget(now)
        return self._keeps_one() or self._shared_left() >= 1

    def _keeps_one(self) -> bool:
        """Whether what this node keeps for itself allows one more try."""
        return self._retries + 1 <= KEPT_SHARE * self._allowed()

    def _has_turn(self, now: datetime.timedelta) -> bool:
        """Whether this node may use one of those that are shared now."""
        left, others = self._shared_left(), len(self._others())
        if left < 1 or not others:
            return left >= 1
        equal = left / (1 + others)
        passed = (now - self._turn_at) / TELLING
        self._turn = min(self._turn + passed * equal, max(1.0, equal))
        self._turn_at = now
        return self._turn >= 1

    def _shared_left(self) -> float:
        """What is left of what is shared.

        A neighbour that has told nothing has made no retry; how many requests
        it has had is not known, so that only its reserve counts.
        """
        counts = (Count(self._requests, self._retries), *self._others())
        left = 0.0
        for count in counts:
            part = self._part(count.requests)
            beyond = max(0.0, count.retries - KEPT_SHARE * part)
            left += (1 - KEPT_SHARE) * part - beyond
        return left

    def _others(self) -> list[Count]:
        """The counts of this node's neighbours."""
        heard = [count for count, _ in self._peers.values()]
        silent = max(0, self._limits.neighbours - len(heard))
        return [*heard, *[Count()] * silent]

    def _pool(self) -> float:
        """What this node and its neighbours may retry."""
        others = sum(self._part(item.requests) for item in self._others())
        return self._allowed() + others

    def _forget(self, now: datetime.timedelta) -> None:
        """Drops counts of windows that are over."""
        gone = [
            node
            for node, (_, heard) in self._peers.items()
            if now - heard >= self._limits.window
        ]
        for node in gone:
            del self._peers[node]

    def _allowed(self) -> float:
        return self._part(self._requests)

    def _part(self, requests: int) -> float:
        """What a node may retry that has so many requests."""
        if not self._limits.share:
            return 0.0
        return self._limits.share * requests + self._limits.reserve

    def _step(self, now: datetime.timedelta) -> _Step:
        """The present step of the window, without those that have left it."""
        number = now // (self._limits.window / _STEPS)
        while self._steps and self._steps[0].number <= number - _STEPS:
            gone = self._steps.popleft()
            self._requests -= gone.requests
            self._retries -= gone.retries
        if not self._steps or self._steps[-1].number != number:
            self._steps.append(_Step(number))
        return self._steps[-1]
