"""The scenarios of `endivewind-bench decisions`.

Each scenario defines the callers' load and the fault of one or more targets.
"""

import collections.abc
import dataclasses
import enum
import math
import random

TARGETS = 12
SLOTS = 3
LOAD = 0.6
MEDIAN_SECONDS = 0.1
SPREAD = 0.4
WORKSPACES = 20
ROUTES = 4
FAULT_FROM = 20.0
FAULT_TO = 50.0
END = 90.0
# Two seeds of it make a day; one takes a quarter of an hour of CPU time.
HALF_DAY = 12 * 3600.0
SICK = 0


class Class(enum.StrEnum):
    """The ejection behaviour that a scenario expects.

    GRAY is a partial fault and HARD a crash, both to be ejected. INNOCENT has
    nothing to eject: all targets are healthy, shed load or fail alike.
    """

    GRAY = "gray"
    HARD = "hard"
    INNOCENT = "innocent"


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
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


WELL = Effect()
# Returns the effect of a fault on a request, given the slots in use at the
# target, the seconds since the fault started and a random generator.
Fault = collections.abc.Callable[[Work, int, float, random.Random], Effect]


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
      end: duration of the experiment in seconds.
      fault_end: end of the fault in seconds.
      is_skewed: whether few workspaces send most requests, in bursts.
      long_share: share of the requests that take eight times as long.
    """

    name: str
    kind: Class
    fault: Fault | None = None
    sick: tuple[int, ...] = (SICK,)
    load: float = LOAD
    period: float = 0.0
    end: float = END
    fault_to: float = FAULT_TO
    skewed: bool = False
    long_share: float = 0.0

    def is_sick(self, target: int, now: float) -> bool:
        """Whether the fault affects a target now."""
        if self.fault is None or target not in self.sick:
            return False
        if not FAULT_FROM <= now < self.fault_to:
            return False
        if not self.period:
            return True
        return (now - FAULT_FROM) % self.period < self.period / 2

    def work(self, rng: random.Random) -> Work:
        """Draws the properties of one request."""
        seconds = MEDIAN_SECONDS * math.exp(rng.gauss(0, SPREAD))
        if self.long_share and rng.random() < self.long_share:
            seconds *= 8
        position = rng.random()
        if self.skewed:
            position = position**3
        return Work(seconds, int(position * WORKSPACES), rng.randrange(ROUTES))

    def mean_seconds(self) -> float:
        """Returns the mean service time at a healthy target."""
        mean = MEDIAN_SECONDS * math.exp(SPREAD**2 / 2)
        return mean * (1 + 7 * self.long_share)


def _random_errors(share: float) -> Fault:
    def fault(
        work: Work, in_use: int, seconds_since_start: float, rng: random.Random
    ) -> Effect:
        return Effect(fails=rng.random() < share)

    return fault


def _constant_fault(effect: Effect) -> Fault:
    def fault(
        work: Work, in_use: int, seconds_since_start: float, rng: random.Random
    ) -> Effect:
        return effect

    return fault


def _failing_route(
    work: Work, in_use: int, seconds_since_start: float, rng: random.Random
) -> Effect:
    return Effect(fails=work.route == 0)


def _failing_workspaces(
    work: Work, in_use: int, seconds_since_start: float, rng: random.Random
) -> Effect:
    return Effect(fails=work.workspace < 3)


def _slow_when_loaded(
    work: Work, in_use: int, seconds_since_start: float, rng: random.Random
) -> Effect:
    return Effect(factor=4.0 if in_use >= 2 else 1.0)


def _cold_start(
    work: Work, in_use: int, seconds_since_start: float, rng: random.Random
) -> Effect:
    return Effect(factor=1 + 4 * math.exp(-seconds_since_start / 10))


_ALL_TARGETS = tuple(range(TARGETS))
_CRASH = _constant_fault(Effect(refuses=True))
_ALL_ERRORS = _random_errors(1.0)


def _flapping_scenario(seconds: float) -> Scenario:
    end = max(END, 2.5 * seconds + FAULT_FROM)
    return Scenario(
        f"flap-{seconds:g}s",
        Class.GRAY,
        _ALL_ERRORS,
        period=seconds,
        end=end + 30,
        fault_to=end,
    )


SCENARIOS: tuple[Scenario, ...] = (
    Scenario("errors-10", Class.GRAY, _random_errors(0.1)),
    Scenario("errors-30", Class.GRAY, _random_errors(0.3)),
    Scenario("errors-100", Class.GRAY, _ALL_ERRORS),
    Scenario("slow-3x", Class.GRAY, _constant_fault(Effect(factor=3))),
    Scenario("slow-10x", Class.GRAY, _constant_fault(Effect(factor=10))),
    Scenario("hang", Class.GRAY, _constant_fault(Effect(hangs=True))),
    Scenario("one-route", Class.GRAY, _failing_route),
    Scenario("slow-when-loaded", Class.GRAY, _slow_when_loaded),
    _flapping_scenario(2),
    _flapping_scenario(10),
    _flapping_scenario(60),
    _flapping_scenario(300),
    Scenario("crash", Class.HARD, _CRASH),
    Scenario("cold", Class.GRAY, _cold_start),
    Scenario("shedding", Class.INNOCENT, _constant_fault(Effect(sheds=True))),
    Scenario("healthy", Class.INNOCENT),
    Scenario("saturated", Class.INNOCENT, load=1.2),
    Scenario("skewed", Class.INNOCENT, skewed=True),
    Scenario("mixed-work", Class.INNOCENT, long_share=0.1),
    Scenario(
        "all-slow",
        Class.INNOCENT,
        _constant_fault(Effect(factor=3)),
        _ALL_TARGETS,
    ),
    Scenario(
        "all-errors-30", Class.INNOCENT, _random_errors(0.3), _ALL_TARGETS
    ),
    Scenario("all-errors-100", Class.INNOCENT, _ALL_ERRORS, _ALL_TARGETS),
    Scenario(
        "bad-workspace", Class.INNOCENT, _failing_workspaces, _ALL_TARGETS
    ),
    Scenario(
        "little-traffic",
        Class.INNOCENT,
        _random_errors(0.02),
        _ALL_TARGETS,
        load=0.003,
    ),
    Scenario("healthy-half-day", Class.INNOCENT, end=HALF_DAY),
    Scenario("saturated-half-day", Class.INNOCENT, load=1.05, end=HALF_DAY),
    Scenario("skewed-half-day", Class.INNOCENT, skewed=True, end=HALF_DAY),
)
