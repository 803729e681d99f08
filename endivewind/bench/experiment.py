"""One experiment of `endivewind-bench decisions`.

A discrete-event simulation of callers, targets and one policy.
"""

import collections
import dataclasses
import functools
import random

from endivewind.bench import policies
from endivewind.bench import scenarios
from endivewind.bench import virtual_time
from endivewind.config import objects
from endivewind.decisions import retry_budget
from endivewind.targets import evidence

DEADLINE_SECONDS = 5.0
QUEUE_LIMIT = 64
MAX_ATTEMPTS = 3
RETRY_PERCENT = 10
IDEMPOTENT_SHARE = 0.8
LONG_RUN_SECONDS = 3600.0
ERROR_LATENCY_SECONDS = 0.005
_RETRYABLE_KINDS = frozenset(
    {
        evidence.ResultKind.ERROR,
        evidence.ResultKind.SHED,
        evidence.ResultKind.LOST,
        evidence.ResultKind.REFUSED_CONNECTION,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class ExperimentResult:
    """Result of one experiment.

    Attributes:
      detection_seconds: time to detection, from the first request that the
        fault affects. Detection is the ejection of the unhealthy target. If
        the target still receives a request under normal load balancing after
        that, detection is the time of the last such request. None if the
        target was not ejected while unhealthy.
      sick_requests: number of requests that an unhealthy target received.
      work_lost: number of requests that failed for their callers.
      false_ejections: number of ejections of healthy targets.
      true_ejections: number of ejections of unhealthy targets.
      return_seconds: from the end of the fault to the end of the ejection;
        None if no ejection ended then.
      p50_ms: median latency of the callers' responses.
      p99_ms: 99th percentile of the latency of the callers' responses.
      refusals: number of requests that reached no target.
      amplification: attempts per request.
      least_slots: minimum of the slots under normal load balancing.
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
    __slots__ = ("ended", "is_idempotent", "properties", "started", "tried")

    def __init__(
        self,
        properties: scenarios.RequestProperties,
        is_idempotent: bool,
        started: float,
    ) -> None:
        self.properties = properties
        self.is_idempotent = is_idempotent
        self.started = started
        self.tried: set[str] = set()
        self.ended = False


class _Attempt:
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
    """Simulates callers, one entry node with a policy, and the targets.

    Requests arrive as a Poisson process, regardless of responses (open loop).
    Each target serves as many requests at once as it has slots.
    """

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
        self._time = virtual_time.VirtualTime()
        self._policy_name = policy
        self._policy = self._make_policy(policy, profile)
        self._budget = retry_budget.RetryBudget(
            retry_budget.RetryLimits(RETRY_PERCENT / 100)
        )
        self._queue: collections.deque[_Request] = collections.deque()
        self._running_attempts: dict[str, dict[_Attempt, None]] = (
            collections.defaultdict(dict)
        )
        self._latencies: list[float] = []
        self._request_count = self._attempt_count = self._failed_count = (
            self._refused_count
        ) = 0
        self._false_ejections = self._true_ejections = (
            self._unhealthy_target_requests
        ) = 0
        self._first_affected_at: float | None = None
        self._last_affected_at: float | None = None
        self._detected_at: float | None = None
        self._ejected_targets: set[int] = set()
        self._returned_at: float | None = None
        self._least_slots = scenarios.TARGET_COUNT * scenarios.SLOTS_PER_TARGET

    def run(self) -> ExperimentResult:
        """Runs the experiment and returns its result."""
        if self._scenario.fault is not None:
            self._time.call_later(
                scenarios.FAULT_START_SECONDS, self._fail_crashed_attempts
            )
        self._handle_arrival()
        self._time.run(self._scenario.duration_seconds)
        return self._result()

    def _make_policy(
        self, policy: str, profile: objects.Profile
    ) -> policies.Policy:
        if policy == "round-robin":
            return policies.RoundRobin()
        if policy == "consecutive-errors":
            return policies.ConsecutiveErrors(
                self._time, self._record_status_change
            )
        return policies.NodePolicy(
            profile,
            self._time,
            random.Random(self._seed),
            self._record_status_change,
        )

    def _handle_arrival(self) -> None:
        scenario = self._scenario
        slots = scenarios.TARGET_COUNT * scenarios.SLOTS_PER_TARGET
        rate = scenario.load * slots / scenario.mean_seconds()
        request_count = 1
        if scenario.is_skewed and self._rng.random() < 0.05:
            request_count = 10
        if scenario.is_skewed:
            rate /= 1.45
        for _ in range(request_count):
            self._create_request()
        self._time.call_later(self._rng.expovariate(rate), self._handle_arrival)

    def _create_request(self) -> None:
        properties = self._scenario.draw_request(self._rng)
        is_idempotent = self._rng.random() < IDEMPOTENT_SHARE
        request = _Request(properties, is_idempotent, self._time.seconds)
        self._request_count += 1
        self._budget.record_request(self._time.monotonic())
        if self._start_attempt(request):
            return
        if len(self._queue) >= QUEUE_LIMIT:
            self._refused_count += 1
            return
        self._queue.append(request)

    def _start_attempt(self, request: _Request) -> bool:
        target = self._policy.choose(request.is_idempotent, request.tried)
        if target is None:
            return False
        request.tried.add(target)
        self._attempt_count += 1
        number = self._policy.record_start(target)
        attempt = _Attempt(request, target, number, self._time.seconds)
        in_use = len(self._running_attempts[target])
        self._running_attempts[target][attempt] = None
        self._serve(attempt, in_use)
        return True

    def _serve(self, attempt: _Attempt, in_use: int) -> None:
        now = self._time.seconds
        target = policies.target_number(attempt.target)
        properties = attempt.request.properties
        effect = scenarios.HEALTHY
        if self._scenario.is_unhealthy(target, now):
            self._record_affected_request(attempt.target, now)
            assert self._scenario.fault is not None
            since = now - scenarios.FAULT_START_SECONDS
            effect = self._scenario.fault(properties, in_use, since, self._rng)
        remaining = DEADLINE_SECONDS - (now - attempt.request.started)
        if effect.refuses or effect.sheds or effect.fails:
            kind = evidence.ResultKind.ERROR
            if effect.sheds:
                kind = evidence.ResultKind.SHED
            if effect.refuses:
                kind = evidence.ResultKind.REFUSED_CONNECTION
            self._time.call_later(
                ERROR_LATENCY_SECONDS,
                functools.partial(self._end_attempt, attempt, kind),
            )
            return
        seconds = properties.seconds * effect.factor
        if effect.hangs or seconds >= remaining:
            kind, seconds = evidence.ResultKind.TIMEOUT, max(remaining, 0.0)
        else:
            kind = evidence.ResultKind.SUCCESS
        self._time.call_later(
            seconds, functools.partial(self._end_attempt, attempt, kind)
        )

    def _record_affected_request(self, target: str, now: float) -> None:
        self._unhealthy_target_requests += 1
        if self._first_affected_at is None:
            self._first_affected_at = now
        is_propagated = self._detected_at is not None and (
            now > self._detected_at + 2 * policies.GOSSIP_DELAY_SECONDS
        )
        if not is_propagated and self._policy.is_normal(target):
            self._last_affected_at = now

    def _end_attempt(
        self, attempt: _Attempt, kind: evidence.ResultKind
    ) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        del self._running_attempts[attempt.target][attempt]
        now = self._time.seconds
        request = attempt.request
        self._policy.record_finish(
            attempt.target,
            attempt.number,
            kind,
            now - attempt.started,
            f"workspace-{request.properties.workspace}",
        )
        self._handle_result(request, kind)
        self._drain_queue()

    def _handle_result(
        self, request: _Request, kind: evidence.ResultKind
    ) -> None:
        now = self._time.seconds
        if kind is evidence.ResultKind.SUCCESS:
            if self._is_measured(request):
                self._latencies.append(now - request.started)
            return
        not_run = kind is evidence.ResultKind.REFUSED_CONNECTION
        is_repeatable = request.is_idempotent or not_run
        can_retry = (
            kind in _RETRYABLE_KINDS
            and is_repeatable
            and len(request.tried) < MAX_ATTEMPTS
        )
        is_retry_allowed = can_retry and self._budget.take(
            self._time.monotonic()
        )
        if is_retry_allowed and self._start_attempt(request):
            return
        self._failed_count += 1

    def _is_measured(self, request: _Request) -> bool:
        """Whether to record the latency of a request.

        Only requests since the start of the fault are measured, and only one
        in a hundred of them in long runs.
        """
        if (
            self._scenario.duration_seconds > LONG_RUN_SECONDS
            and self._request_count % 100
        ):
            return False
        return request.started >= scenarios.FAULT_START_SECONDS

    def _drain_queue(self) -> None:
        while self._queue:
            request = self._queue[0]
            if self._time.seconds - request.started >= DEADLINE_SECONDS:
                self._queue.popleft()
                self._refused_count += 1
                continue
            if not self._start_attempt(request):
                return
            self._queue.popleft()

    def _fail_crashed_attempts(self) -> None:
        """Fails the running requests of targets whose fault is a crash."""
        for target in self._scenario.unhealthy_targets:
            if self._crashes(target):
                for attempt in list(
                    self._running_attempts[policies.target_id(target)]
                ):
                    self._end_attempt(attempt, evidence.ResultKind.LOST)

    def _crashes(self, target: int) -> bool:
        fault = self._scenario.fault
        properties = scenarios.RequestProperties(0.0, 0, 0)
        return fault is not None and (
            fault(properties, 0, 0.0, random.Random(0)).refuses
        )

    def _record_status_change(self, target: int, is_ejected: bool) -> None:
        now = self._time.seconds
        self._least_slots = min(
            self._least_slots, self._policy.admitted_slots()
        )
        if not is_ejected:
            self._ejected_targets.discard(target)
            if now >= self._scenario.fault_end and self._returned_at is None:
                self._returned_at = now
            return
        self._ejected_targets.add(target)
        is_innocent = (
            self._scenario.expectation is scenarios.Expectation.INNOCENT
        )
        # A flapping target also counts as unhealthy in its healthy phases.
        in_fault = (
            scenarios.FAULT_START_SECONDS <= now < self._scenario.fault_end + 2
        )
        is_affected = target in self._scenario.unhealthy_targets and in_fault
        if is_innocent or not is_affected or self._scenario.fault is None:
            self._false_ejections += 1
            return
        self._true_ejections += 1
        if self._detected_at is None:
            self._detected_at = now

    def _result(self) -> ExperimentResult:
        latencies = self._latencies
        latencies.sort()
        detection = None
        if (
            self._detected_at is not None
            and self._first_affected_at is not None
        ):
            last_affected_at = self._last_affected_at or self._detected_at
            detection = (
                max(last_affected_at, self._detected_at)
                - self._first_affected_at
            )
        returned = None
        if self._returned_at is not None:
            returned = self._returned_at - self._scenario.fault_end
        return ExperimentResult(
            scenario=self._scenario.name,
            policy=self._policy_name,
            seed=self._seed,
            requests=self._request_count,
            detection_seconds=detection,
            sick_requests=self._unhealthy_target_requests,
            work_lost=self._failed_count,
            false_ejections=self._false_ejections,
            true_ejections=self._true_ejections,
            return_seconds=returned,
            p50_ms=_quantile(latencies, 0.5) * 1000,
            p99_ms=_quantile(latencies, 0.99) * 1000,
            refusals=self._refused_count,
            amplification=self._attempt_count / max(1, self._request_count),
            least_slots=self._least_slots,
        )


def _quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
