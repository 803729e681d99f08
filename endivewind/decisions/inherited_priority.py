"""Decides which request a target's call is made for, and what it inherits.

A call is a request that a target sends to another service while it runs one
itself. `callers/target_calls.py` feeds this on the node of the target's VM.
It does no I/O, and the caller passes the time.
"""

import collections.abc
import dataclasses
import datetime
import enum
from typing import Protocol

# Calls of a route from which its frequencies count as known. Ten calls tell
# rates that differ by a factor of three apart nine times in ten.
MIN_CALLS = 10.0
# A class of requests that has run for less than this counts as if it made calls
# at the mean rate of all classes, so that a class that has just appeared isn't
# taken for one that makes no calls.
PRIOR_TIME = datetime.timedelta(seconds=5)
# As PRIOR_TIME, for the calls per request: a class with fewer requests than this
# is mostly taken to make as many calls as the mean of all classes.
PRIOR_REQUESTS = 2.0
# A call gets the highest priority among the requests that are at least half as
# likely as the most likely one. Rates learned from a hundred calls differ by a
# fifth at random. A call whose priority is too low is refused under overload,
# which wastes its request; one whose priority is too high takes one slot.
MIN_PRIORITY_LIKELIHOOD = 0.5
# Time after which a call counts half. A target's use of other services changes
# with its releases, and a release takes minutes to reach all targets.
HALF_LIFE = datetime.timedelta(minutes=5)
# Counts are multiplied by the decay once per interval, not at each update.
_DECAY_INTERVAL = datetime.timedelta(seconds=10)
# Bounds memory to about 300 KB. Services have fewer call routes and classes;
# beyond that the least used ones are forgotten.
MAX_ROUTES = 64
MAX_CLASSES = 32


class ReservedRetries(Protocol):
    """Retries that a request has reserved for its calls."""

    def spend(self, service: str, amount: float) -> float:
        """Spends a part of a retry; returns how much of it was reserved."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunningRequest:
    """A request that the target is running.

    Attributes:
      queue_priority: its priority in queues; higher values go first.
      latency_objective: the time within which its caller wants a response.
      workspace: the workspace whose fair share it counts towards.
      repeat_probability: the probability that the target repeats work with it.
      reserved: the retries that it has reserved for its calls; None without.
    """

    queue_priority: int
    latency_objective: datetime.timedelta
    workspace: str
    repeat_probability: float = 0.0
    reserved: ReservedRetries | None = None

    @property
    def request_class(self) -> "RequestClass":
        """The class whose requests are assumed to make the same calls."""
        return RequestClass(self.queue_priority, self.latency_objective)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestClass:
    """Requests with the same priority and latency objective."""

    queue_priority: int
    latency_objective: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class CallRoute:
    """The service and the route prefix of calls."""

    service: str
    prefix: str


class Basis(enum.StrEnum):
    """What the choice of a call's request is based on."""

    ONLY = "only"
    LEARNED = "learned"
    HIGHEST = "highest"


@dataclasses.dataclass(frozen=True, slots=True)
class Inheritance:
    """What a call inherits.

    Both the request for which a call is made and that it is a call at all are
    inferred. So nothing here may end it or lower its priority: a wrong guess
    would cost a caller the response.

    Attributes:
      queue_priority: the priority of the request for which it is made.
      workspace: the workspace whose fair share the call counts towards.
      basis: what the choice of the request is based on.
    """

    queue_priority: int
    workspace: str
    basis: Basis


class CallFrequencies:
    """Learns how often requests of each class make calls of each route.

    Scenario: a service has twice as many requests as its targets can serve,
    most of them of low urgency, and some are calls that targets make for urgent
    requests. Risk: the calls are refused like the rest; then the urgent request
    fails, and the work that was done for it is wasted. So a call inherits the
    priority of the request for which it is made.

    The node can't see which of several running requests makes a call. It counts
    for how long requests of each class run, and divides each call among the
    requests running at the time in proportion to the rates known so far. A call
    while only one class runs counts for that class alone, and time in which a
    class runs without calls lowers its rate. This is expectation maximization
    for a sum of Poisson processes, one observation at a time.
    """

    def __init__(self) -> None:
        """Starts without any frequencies."""
        self._calls: dict[CallRoute, dict[RequestClass, float]] = {}
        self._running_seconds: dict[RequestClass, float] = {}
        self._requests: dict[RequestClass, float] = {}
        self._since_decay = datetime.timedelta()

    def record_request(self, request: RunningRequest) -> None:
        """Counts a request that is sent to the target."""
        key = request.request_class
        self._requests[key] = self._requests.get(key, 0.0) + 1
        self._running_seconds.setdefault(key, 0.0)

    def record_running(
        self,
        running: collections.abc.Sequence[RunningRequest],
        elapsed: datetime.timedelta,
    ) -> None:
        """Records which requests run.

        Args:
          running: the requests that run now.
          elapsed: the time since the last sample, which this one stands for.
        """
        for request in running:
            key = request.request_class
            seconds = self._running_seconds.get(key, 0.0)
            self._running_seconds[key] = seconds + elapsed.total_seconds()
        self._forget_excess_classes()
        self._since_decay += elapsed
        if self._since_decay >= _DECAY_INTERVAL:
            self._decay()

    def record_call(
        self,
        route: CallRoute,
        running: collections.abc.Sequence[RunningRequest],
    ) -> None:
        """Counts a call that arrives while these requests run."""
        if not running:
            return
        weights = self._rates(route, running)
        total = sum(weights)
        calls = self._calls.setdefault(route, {})
        for request, weight in zip(running, weights, strict=True):
            key = request.request_class
            part = weight / total if total else 1 / len(running)
            calls[key] = calls.get(key, 0.0) + part
            # Requests that end between two samples count towards MAX_CLASSES.
            self._running_seconds.setdefault(key, 0.0)
        self._forget_excess_classes()
        if len(self._calls) > MAX_ROUTES:
            least = min(self._calls, key=lambda key: self._call_count(key))
            del self._calls[least]

    def probabilities(
        self,
        route: CallRoute,
        running: collections.abc.Sequence[RunningRequest],
    ) -> list[float]:
        """Returns the probability of each request that it makes a call.

        Scenario: a target runs some requests that make calls and many that make
        none, and only the former are retried. Risk: if each call were taken to
        belong to any of them, most calls of retried requests would not be
        charged to the retry budget of the called service.

        Args:
          route: the route of a call that arrives now.
          running: the requests that run now.
        """
        rates = self._rates(route, running)
        if not any(rates):
            rates = [1.0] * len(running)
        total = sum(rates)
        return [rate / total for rate in rates]

    def expected_calls(self, request: RunningRequest) -> dict[CallRoute, float]:
        """Returns how many calls of each route a request makes on average."""
        key = request.request_class
        all_requests = sum(self._requests.values())
        expected = {}
        for route, calls in self._calls.items():
            mean = sum(calls.values()) / max(all_requests, PRIOR_REQUESTS)
            expected[route] = (calls.get(key, 0.0) + mean * PRIOR_REQUESTS) / (
                self._requests.get(key, 0.0) + PRIOR_REQUESTS
            )
        return expected

    def inherit(
        self,
        route: CallRoute,
        running: collections.abc.Sequence[RunningRequest],
    ) -> Inheritance | None:
        """Returns what a call that arrives now inherits.

        Args:
          route: the route of the call.
          running: the requests that run now, oldest first.

        Returns:
          None if no request is running, so that there is nothing to inherit.
        """
        if not running:
            return None
        if len(running) == 1:
            return _inheritance(running, Basis.ONLY)
        if self._call_count(route) < MIN_CALLS:
            return _inheritance(running, Basis.HIGHEST)
        rates = self._rates(route, running)
        return _inheritance(
            _at_least(MIN_PRIORITY_LIKELIHOOD, running, rates), Basis.LEARNED
        )

    def _rates(
        self,
        route: CallRoute,
        running: collections.abc.Sequence[RunningRequest],
    ) -> list[float]:
        """Returns the calls per second of each of these requests."""
        calls = self._calls.get(route, {})
        mean = sum(calls.values()) / max(
            sum(self._running_seconds.values()), PRIOR_TIME.total_seconds()
        )
        prior = PRIOR_TIME.total_seconds()
        return [
            (calls.get(key, 0.0) + mean * prior)
            / (self._running_seconds.get(key, 0.0) + prior)
            for key in (request.request_class for request in running)
        ]

    def _call_count(self, route: CallRoute) -> float:
        return sum(self._calls.get(route, {}).values())

    def _forget_excess_classes(self) -> None:
        """Keeps the MAX_CLASSES classes that have run for the longest time."""
        while len(self._running_seconds) > MAX_CLASSES:
            least = min(
                self._running_seconds, key=self._running_seconds.__getitem__
            )
            del self._running_seconds[least]
            self._requests.pop(least, None)
            for calls in self._calls.values():
                calls.pop(least, None)

    def _decay(self) -> None:
        factor = 0.5 ** (self._since_decay / HALF_LIFE)
        self._since_decay = datetime.timedelta()
        for counts in (
            self._running_seconds,
            self._requests,
            *self._calls.values(),
        ):
            for key in counts:
                counts[key] *= factor


def _at_least(
    share: float,
    running: collections.abc.Sequence[RunningRequest],
    rates: list[float],
) -> list[RunningRequest]:
    """Returns the requests with at least this share of the highest rate."""
    limit = share * max(rates)
    return [
        request
        for request, rate in zip(running, rates, strict=True)
        if rate >= limit
    ]


def _inheritance(
    likely: collections.abc.Sequence[RunningRequest], basis: Basis
) -> Inheritance:
    """Returns what the request with the highest priority leaves to a call."""
    first = max(likely, key=lambda request: request.queue_priority)
    return Inheritance(first.queue_priority, first.workspace, basis)
