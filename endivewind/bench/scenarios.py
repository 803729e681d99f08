"""The scenarios of `endivewind-bench decisions`.

Each scenario defines the callers' load and the fault of one or more targets.
"""

import collections.abc
import dataclasses
import enum
import math
import random

TARGET_COUNT = 12
SLOTS_PER_TARGET = 3
DEFAULT_LOAD = 0.6
MEDIAN_SERVICE_SECONDS = 0.1
LATENCY_LOG_STDDEV = 0.4
WORKSPACE_COUNT = 20
ROUTE_COUNT = 4
FAULT_START_SECONDS = 20.0
FAULT_END_SECONDS = 50.0
DURATION_SECONDS = 90.0
# Duration of the half-day scenarios: two seeds simulate a day. One seed takes a
# quarter of an hour of CPU time.
HALF_DAY_SECONDS = 12 * 3600.0
UNHEALTHY_TARGET = 0


class Expectation(enum.StrEnum):
    """The ejection behaviour that a scenario expects.

    GRAY: a target still accepts connections, but responds with errors, slowly
    or not at all. HARD: a target has crashed and refuses connections. Both are
    to be ejected. INNOCENT: no target is to be ejected, since all are healthy,
    shed load or fail alike.
    """

    GRAY = "gray"
    HARD = "hard"
    INNOCENT = "innocent"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestProperties:
    """The properties of one request.

    Attributes:
      seconds: its service time at a healthy target.
      workspace: number of its workspace.
      route: number of its route.
    """

    seconds: float
    workspace: int
    route: int


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """What a target does with a request.

    Attributes:
      fails: responds with an error.
      factor: multiplies the service time.
      hangs: never responds.
      sheds: responds 503 immediately.
      refuses: refuses the connection, and loses the running requests.
    """

    fails: bool = False
    factor: float = 1.0
    hangs: bool = False
    sheds: bool = False
    refuses: bool = False


HEALTHY = Effect()
# Returns the effect of a fault on a request, given the slots in use at the
# target, the seconds since the fault started and a random generator.
FaultFunction = collections.abc.Callable[
    [RequestProperties, int, float, random.Random], Effect
]


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One experiment.

    Attributes:
      name: value of the flag --scenario.
      expectation: the expected ejection behaviour.
      fault: behaviour of unhealthy targets; None without a fault.
      unhealthy_targets: numbers of the targets with the fault.
      load: share of all slots that the callers keep busy.
      period: seconds of one healthy and one unhealthy phase of a flapping
        target; 0 if it does not flap.
      duration_seconds: duration of the experiment.
      fault_end: end of the fault in seconds.
      is_skewed: whether few workspaces send most requests, in bursts.
      long_share: share of the requests that take eight times as long.
    """

    name: str
    expectation: Expectation
    fault: FaultFunction | None = None
    unhealthy_targets: tuple[int, ...] = (UNHEALTHY_TARGET,)
    load: float = DEFAULT_LOAD
    period: float = 0.0
    duration_seconds: float = DURATION_SECONDS
    fault_end: float = FAULT_END_SECONDS
    is_skewed: bool = False
    long_share: float = 0.0

    def is_unhealthy(self, target: int, now: float) -> bool:
        """Whether the fault affects a target now."""
        if self.fault is None or target not in self.unhealthy_targets:
            return False
        if not FAULT_START_SECONDS <= now < self.fault_end:
            return False
        if not self.period:
            return True
        return (now - FAULT_START_SECONDS) % self.period < self.period / 2

    def draw_request(self, rng: random.Random) -> RequestProperties:
        """Draws the properties of one request."""
        seconds = MEDIAN_SERVICE_SECONDS * math.exp(
            rng.gauss(0, LATENCY_LOG_STDDEV)
        )
        if self.long_share and rng.random() < self.long_share:
            seconds *= 8
        position = rng.random()
        if self.is_skewed:
            position = position**3
        return RequestProperties(
            seconds, int(position * WORKSPACE_COUNT), rng.randrange(ROUTE_COUNT)
        )

    def mean_seconds(self) -> float:
        """Returns the mean service time at a healthy target."""
        mean = MEDIAN_SERVICE_SECONDS * math.exp(LATENCY_LOG_STDDEV**2 / 2)
        return mean * (1 + 7 * self.long_share)


def _random_errors(share: float) -> FaultFunction:
    def fault(
        properties: RequestProperties,
        in_use: int,
        seconds_since_start: float,
        rng: random.Random,
    ) -> Effect:
        return Effect(fails=rng.random() < share)

    return fault


def _constant_fault(effect: Effect) -> FaultFunction:
    def fault(
        properties: RequestProperties,
        in_use: int,
        seconds_since_start: float,
        rng: random.Random,
    ) -> Effect:
        return effect

    return fault


def _failing_route(
    properties: RequestProperties,
    in_use: int,
    seconds_since_start: float,
    rng: random.Random,
) -> Effect:
    return Effect(fails=properties.route == 0)


def _failing_workspaces(
    properties: RequestProperties,
    in_use: int,
    seconds_since_start: float,
    rng: random.Random,
) -> Effect:
    return Effect(fails=properties.workspace < 3)


def _slow_when_loaded(
    properties: RequestProperties,
    in_use: int,
    seconds_since_start: float,
    rng: random.Random,
) -> Effect:
    return Effect(factor=4.0 if in_use >= 2 else 1.0)


def _cold_start(
    properties: RequestProperties,
    in_use: int,
    seconds_since_start: float,
    rng: random.Random,
) -> Effect:
    return Effect(factor=1 + 4 * math.exp(-seconds_since_start / 10))


_ALL_TARGETS = tuple(range(TARGET_COUNT))
_CRASH = _constant_fault(Effect(refuses=True))
_ALL_ERRORS = _random_errors(1.0)


def _flapping_scenario(seconds: float) -> Scenario:
    end = max(DURATION_SECONDS, 2.5 * seconds + FAULT_START_SECONDS)
    return Scenario(
        f"flap-{seconds:g}s",
        Expectation.GRAY,
        _ALL_ERRORS,
        period=seconds,
        duration_seconds=end + 30,
        fault_end=end,
    )


SCENARIOS: tuple[Scenario, ...] = (
    Scenario("errors-10", Expectation.GRAY, _random_errors(0.1)),
    Scenario("errors-30", Expectation.GRAY, _random_errors(0.3)),
    Scenario("errors-100", Expectation.GRAY, _ALL_ERRORS),
    Scenario("slow-3x", Expectation.GRAY, _constant_fault(Effect(factor=3))),
    Scenario("slow-10x", Expectation.GRAY, _constant_fault(Effect(factor=10))),
    Scenario("hang", Expectation.GRAY, _constant_fault(Effect(hangs=True))),
    Scenario("one-route", Expectation.GRAY, _failing_route),
    Scenario("slow-when-loaded", Expectation.GRAY, _slow_when_loaded),
    _flapping_scenario(2),
    _flapping_scenario(10),
    _flapping_scenario(60),
    _flapping_scenario(300),
    Scenario("crash", Expectation.HARD, _CRASH),
    Scenario("cold", Expectation.GRAY, _cold_start),
    Scenario(
        "shedding", Expectation.INNOCENT, _constant_fault(Effect(sheds=True))
    ),
    Scenario("healthy", Expectation.INNOCENT),
    Scenario("saturated", Expectation.INNOCENT, load=1.2),
    Scenario("skewed", Expectation.INNOCENT, is_skewed=True),
    Scenario("mixed-work", Expectation.INNOCENT, long_share=0.1),
    Scenario(
        "all-slow",
        Expectation.INNOCENT,
        _constant_fault(Effect(factor=3)),
        _ALL_TARGETS,
    ),
    Scenario(
        "all-errors-30", Expectation.INNOCENT, _random_errors(0.3), _ALL_TARGETS
    ),
    Scenario("all-errors-100", Expectation.INNOCENT, _ALL_ERRORS, _ALL_TARGETS),
    Scenario(
        "bad-workspace", Expectation.INNOCENT, _failing_workspaces, _ALL_TARGETS
    ),
    Scenario(
        "little-traffic",
        Expectation.INNOCENT,
        _random_errors(0.02),
        _ALL_TARGETS,
        load=0.003,
    ),
    Scenario(
        "healthy-half-day",
        Expectation.INNOCENT,
        duration_seconds=HALF_DAY_SECONDS,
    ),
    Scenario(
        "saturated-half-day",
        Expectation.INNOCENT,
        load=1.05,
        duration_seconds=HALF_DAY_SECONDS,
    ),
    Scenario(
        "skewed-half-day",
        Expectation.INNOCENT,
        is_skewed=True,
        duration_seconds=HALF_DAY_SECONDS,
    ),
)
