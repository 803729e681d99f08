"""One experiment: callers, targets and a policy in virtual time."""

import collections
import dataclasses
import functools
import random

from endivewind.bench import policies
from endivewind.bench import scenarios
from endivewind.bench import virtual
from endivewind.config import objects
from endivewind.decisions import retries
from endivewind.targets import evidence

DEADLINE = 5.0
QUEUE_LIMIT = 64
MAX_TRIES = 3
RETRY_PERCENT = 10
REPEATABLE = 0.8
LONG = 3600.0
ERROR_SECONDS = 0.005
_FAILURES = frozenset(
    {
        evidence.Kind.ERROR,
        evidence.Kind.SHED,
        evidence.Kind.LOST,
        evidence.Kind.REFUSED_CONNECTION,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """What one experiment shows.

    Attributes:
      detection_seconds: from the first failing request to the last normal
        one that the sick target got before its ejection; None if it was not
        ejected while sick.
      work_lost: requests that ended in failure for their callers.
      false_ejections: of targets that were not sick.
      return_seconds: from the end of the fault to normal work; None if the
        target was not out then.
      p50_ms: of the callers' answers.
      p99_ms: of the callers' answers.
      refusals: requests that no target saw.
      amplification: tries for each request.
      least_slots: lowest capacity in normal use.
    """

    scenario: str
    policy: str
    seed: int
    requests: int
    detection_seconds: float | None
    sick_requests: int
    work_lost: int
    false_ejections: int
    true_ejections: int
    return_seconds: float | None
    p50_ms: float
    p99_ms: float
    refusals: int
    amplification: float
    least_slots: int


class _Request:
    __slots__ = ("ended", "repeatable", "started", "tried", "work")

    def __init__(
        self, work: scenarios.Work, repeatable: bool, started: float
    ) -> None:
        self.work = work
        self.repeatable = repeatable
        self.started = started
        self.tried: set[str] = set()
        self.ended = False


class _Try:
    __slots__ = ("ended", "number", "request", "started", "target")

    def __init__(
        self, request: _Request, target: str, number: int, started: float
    ) -> None:
        self.request = request
        self.target = target
        self.number = number
        self.started = started
        self.ended = False


class Experiment:
    """Open callers with Poisson arrivals, targets with slots, one entry."""

    def __init__(
        self,
        scenario: scenarios.Scenario,
        policy: str,
        profile: objects.Profile,
        seed: int,
    ) -> None:
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._seed = seed
        self._time = virtual.VirtualTime()
        self._policy_name = policy
        self._policy = self._build(policy, profile)
        self._budget = retries.RetryBudget(
            retries.RetryLimits(RETRY_PERCENT / 100)
        )
        self._queue: collections.deque[_Request] = collections.deque()
        self._running: dict[str, dict[_Try, None]] = collections.defaultdict(
            dict
        )
        self._latencies: list[float] = []
        self._requests = self._tries = self._lost = self._refused = 0
        self._false = self._true = self._sick_requests = 0
        self._first_sick: float | None = None
        self._last_normal: float | None = None
        self._detected: float | None = None
        self._out: set[int] = set()
        self._returned: float | None = None
        self._least_slots = scenarios.TARGETS * scenarios.SLOTS

    def run(self) -> Row:
        """Runs it to its end."""
        if self._scenario.fault is not None:
            self._time.after(scenarios.FAULT_FROM, self._fault_begins)
        self._arrive()
        self._time.run(self._scenario.end)
        return self._row()

    def _build(self, policy: str, profile: objects.Profile) -> policies.Policy:
        if policy == "round-robin":
            return policies.RoundRobin()
        if policy == "consecutive-errors":
            return policies.ConsecutiveErrors(self._time, self._ejected)
        return policies.Own(
            profile, self._time, random.Random(self._seed), self._ejected
        )

    def _arrive(self) -> None:
        scenario = self._scenario
        slots = scenarios.TARGETS * scenarios.SLOTS
        rate = scenario.load * slots / scenario.mean_seconds()
        count = 1
        if scenario.skewed and self._rng.random() < 0.05:
            count = 10
        if scenario.skewed:
            rate /= 1.45
        for _ in range(count):
            self._request()
        self._time.after(self._rng.expovariate(rate), self._arrive)

    def _request(self) -> None:
        work = self._scenario.work(self._rng)
        repeatable = self._rng.random() < REPEATABLE
        request = _Request(work, repeatable, self._time.seconds)
        self._requests += 1
        self._budget.record_request(self._time.monotonic())
        if self._place(request):
            return
        if len(self._queue) >= QUEUE_LIMIT:
            self._refused += 1
            return
        self._queue.append(request)

    def _place(self, request: _Request) -> bool:
        target = self._policy.choose(request.repeatable, request.tried)
        if target is None:
            return False
        request.tried.add(target)
        self._tries += 1
        number = self._policy.started(target)
        attempt = _Try(request, target, number, self._time.seconds)
        in_use = len(self._running[target])
        self._running[target][attempt] = None
        self._serve(attempt, in_use)
        return True

    def _serve(self, attempt: _Try, in_use: int) -> None:
        now = self._time.seconds
        target = policies.number_of(attempt.target)
        work = attempt.request.work
        effect = scenarios.WELL
        if self._scenario.is_sick(target, now):
            self._note_sick(attempt.target, now)
            assert self._scenario.fault is not None
            since = now - scenarios.FAULT_FROM
            effect = self._scenario.fault(work, in_use, since, self._rng)
        left = DEADLINE - (now - attempt.request.started)
        if effect.refuses or effect.sheds or effect.fails:
            kind = evidence.Kind.ERROR
            if effect.sheds:
                kind = evidence.Kind.SHED
            if effect.refuses:
                kind = evidence.Kind.REFUSED_CONNECTION
            self._time.after(
                ERROR_SECONDS, functools.partial(self._end, attempt, kind)
            )
            return
        seconds = work.seconds * effect.factor
        if effect.hangs or seconds >= left:
            kind, seconds = evidence.Kind.TIMEOUT, max(left, 0.0)
        else:
            kind = evidence.Kind.SUCCESS
        self._time.after(seconds, functools.partial(self._end, attempt, kind))

    def _note_sick(self, target: str, now: float) -> None:
        self._sick_requests += 1
        if self._first_sick is None:
            self._first_sick = now
        told = self._detected is not None and (
            now > self._detected + 2 * policies.GOSSIP_SECONDS
        )
        if not told and self._policy.is_normal(target):
            self._last_normal = now

    def _end(self, attempt: _Try, kind: evidence.Kind) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        del self._running[attempt.target][attempt]
        now = self._time.seconds
        request = attempt.request
        self._policy.finished(
            attempt.target,
            attempt.number,
            kind,
            now - attempt.started,
            f"workspace-{request.work.workspace}",
        )
        self._answer(request, kind)
        self._drain_queue()

    def _answer(self, request: _Request, kind: evidence.Kind) -> None:
        now = self._time.seconds
        if kind is evidence.Kind.SUCCESS:
            if self._is_measured(request):
                self._latencies.append(now - request.started)
            return
        not_run = kind is evidence.Kind.REFUSED_CONNECTION
        again = request.repeatable or not_run
        may = kind in _FAILURES and again and len(request.tried) < MAX_TRIES
        paid = may and self._budget.take(self._time.monotonic())
        if paid and self._place(request):
            return
        self._lost += 1

    def _is_measured(self, request: _Request) -> bool:
        """All after the fault began; of a whole day, one in a hundred."""
        if self._scenario.end > LONG and self._requests % 100:
            return False
        return request.started >= scenarios.FAULT_FROM

    def _drain_queue(self) -> None:
        while self._queue:
            request = self._queue[0]
            if self._time.seconds - request.started >= DEADLINE:
                self._queue.popleft()
                self._refused += 1
                continue
            if not self._place(request):
                return
            self._queue.popleft()

    def _fault_begins(self) -> None:
        """A crash loses what is at the target."""
        for target in self._scenario.sick:
            if self._crashes(target):
                for attempt in list(self._running[policies.name_of(target)]):
                    self._end(attempt, evidence.Kind.LOST)

    def _crashes(self, target: int) -> bool:
        fault = self._scenario.fault
        work = scenarios.Work(0.0, 0, 0)
        return fault is not None and (
            fault(work, 0, 0.0, random.Random(0)).refuses
        )

    def _ejected(self, target: int, is_ejected: bool) -> None:
        now = self._time.seconds
        self._least_slots = min(
            self._least_slots, self._policy.admitted_slots()
        )
        if not is_ejected:
            self._out.discard(target)
            if now >= self._scenario.fault_to and self._returned is None:
                self._returned = now
            return
        self._out.add(target)
        innocent = self._scenario.kind is scenarios.Class.INNOCENT
        # A flapping target is sick in its well phases too.
        in_fault = scenarios.FAULT_FROM <= now < self._scenario.fault_to + 2
        hit = target in self._scenario.sick and in_fault
        if innocent or not hit or self._scenario.fault is None:
            self._false += 1
            return
        self._true += 1
        if self._detected is None:
            self._detected = now

    def _row(self) -> Row:
        found = self._latencies
        found.sort()
        detection = None
        if self._detected is not None and self._first_sick is not None:
            last = self._last_normal or self._detected
            detection = max(last, self._detected) - self._first_sick
        returned = None
        if self._returned is not None:
            returned = self._returned - self._scenario.fault_to
        return Row(
            scenario=self._scenario.name,
            policy=self._policy_name,
            seed=self._seed,
            requests=self._requests,
            detection_seconds=detection,
            sick_requests=self._sick_requests,
            work_lost=self._lost,
            false_ejections=self._false,
            true_ejections=self._true,
            return_seconds=returned,
            p50_ms=_quantile(found, 0.5) * 1000,
            p99_ms=_quantile(found, 0.99) * 1000,
            refusals=self._refused,
            amplification=self._tries / max(1, self._requests),
            least_slots=self._least_slots,
        )


def _quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
