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
# Of its part a node keeps so much for itself, whatever the others use.
KEPT_SHARE = 0.5


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
    have used nothing. Nodes of a zone tell each other their counts, and one
    may use what the others have left. The sum of their parts stays the
    bound, but for what is spent while a message is on its way: a quarter of
    a second's retries, against ten seconds' parts.
    """

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self._steps: collections.deque[_Step] = collections.deque()
        self._requests = 0
        self._retries = 0
        self._peers: dict[str, tuple[Count, datetime.timedelta]] = {}

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
        own, pool = self.left(now), self._pool_left(now)
        # Others may have used a part of this node's, but not all of it.
        kept = pool >= 1 or self._retries < KEPT_SHARE * self._allowed()
        if not (own >= 1 and kept) and not (may_borrow and pool >= 1):
            return False
        self._step(now).retries += 1
        self._retries += 1
        return True

    def left(self, now: datetime.timedelta) -> float:
        """How many more tries are allowed now."""
        self._step(now)
        return self._allowed() - self._retries

    def spent(self, now: datetime.timedelta) -> float:
        """The part of what is allowed that is spent; 1 if nothing is left."""
        left = self._pool_left(now)
        return 1 - left / self._pool() if left >= 1 else 1.0

    def is_used_up(self, now: datetime.timedelta) -> bool:
        """Whether there were retries, and none is left.

        Not so where a service has none at all.
        """
        left = self._pool_left(now)
        return left < 1 <= self._pool()

    def _pool_left(self, now: datetime.timedelta) -> float:
        """How many tries this node and those it hears of have left."""
        self._step(now)
        self._forget(now)
        used = sum(count.retries for count, _ in self._peers.values())
        return self._pool() - self._retries - used

    def _pool(self) -> float:
        """What this node and its neighbours may retry.

        A neighbour that has told nothing has made no retry; how many requests
        it has had is not known, so that only its reserve counts.
        """
        parts = (
            self._part(count.requests) for count, _ in self._peers.values()
        )
        silent = max(0, self._limits.neighbours - len(self._peers))
        return self._allowed() + sum(parts) + silent * self._part(0)

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
