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


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """What may be retried.

    Attributes:
      share: retries for each request in the window.
      reserve: retries in each window besides, at this node.
      window: the span in which both are counted.
    """

    share: float
    reserve: float = RESERVE
    window: datetime.timedelta = WINDOW


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
    """

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self._steps: collections.deque[_Step] = collections.deque()
        self._requests = 0
        self._retries = 0

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

    def take(self, now: datetime.timedelta) -> bool:
        """Whether one more try is allowed; takes it from the budget."""
        if self.left(now) < 1:
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
        left = self.left(now)
        return 1 - left / self._allowed() if left >= 1 else 1.0

    def _allowed(self) -> float:
        if not self._limits.share:
            return 0.0
        return self._limits.share * self._requests + self._limits.reserve

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
