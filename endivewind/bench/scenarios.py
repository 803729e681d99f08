"""What happens to the targets in each experiment."""

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
# Two seeds of it make a day; it takes a quarter of an hour of processor time.
HALF_DAY = 12 * 3600.0
SICK = 0


class Class(enum.StrEnum):
    """What is expected of the decisions."""

    GRAY = "gray"
    HARD = "hard"
    INNOCENT = "innocent"


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """One request as its target sees it."""

    seconds: float
    workspace: int
    route: int


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """What a target does with a request.

    Attributes:
      fails: answers with an error.
      factor: how many times longer it takes.
      hangs: never answers.
      sheds: answers 503 at once.
      refuses: does not accept the connection, and loses what it has.
    """

    fails: bool = False
    factor: float = 1.0
    hangs: bool = False
    sheds: bool = False
    refuses: bool = False


WELL = Effect()
# How a sick target treats a request: given its load and the time since the
# fault began.
Fault = collections.abc.Callable[[Work, int, float, random.Random], Effect]


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One experiment.

    Attributes:
      name: for --scenario.
      kind: what is expected.
      fault: what sick targets do.
      sick: which targets the fault hits.
      load: share of all slots that the callers keep busy.
      period: seconds well and sick together, for a target that flaps.
      end: seconds that the experiment lasts.
      fault_to: when the fault ends.
      skewed: whether few workspaces send most, in bursts.
      long_share: share of the work that takes eight times as long.
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
        """Whether the fault shows at a target now."""
        if self.fault is None or target not in self.sick:
            return False
        if not FAULT_FROM <= now < self.fault_to:
            return False
        if not self.period:
            return True
        return (now - FAULT_FROM) % self.period < self.period / 2

    def work(self, rng: random.Random) -> Work:
        """One request of a caller."""
        seconds = MEDIAN_SECONDS * math.exp(rng.gauss(0, SPREAD))
        if self.long_share and rng.random() < self.long_share:
            seconds *= 8
        place = rng.random()
        if self.skewed:
            place = place**3
        return Work(seconds, int(place * WORKSPACES), rng.randrange(ROUTES))

    def mean_seconds(self) -> float:
        """Mean time of a request at a healthy target."""
        mean = MEDIAN_SECONDS * math.exp(SPREAD**2 / 2)
        return mean * (1 + 7 * self.long_share)


def _errors(share: float) -> Fault:
    def fault(
        work: Work, in_use: int, since: float, rng: random.Random
    ) -> Effect:
        return Effect(fails=rng.random() < share)

    return fault


def _always(effect: Effect) -> Fault:
    def fault(
        work: Work, in_use: int, since: float, rng: random.Random
    ) -> Effect:
        return effect

    return fault


def _one_route(
    work: Work, in_use: int, since: float, rng: random.Random
) -> Effect:
    return Effect(fails=work.route == 0)


def _one_workspace(
    work: Work, in_use: int, since: float, rng: random.Random
) -> Effect:
    return Effect(fails=work.workspace < 3)


def _when_loaded(
    work: Work, in_use: int, since: float, rng: random.Random
) -> Effect:
    return Effect(factor=4.0 if in_use >= 2 else 1.0)


def _cold(work: Work, in_use: int, since: float, rng: random.Random) -> Effect:
    return Effect(factor=1 + 4 * math.exp(-since / 10))


_ALL = tuple(range(TARGETS))
_HARD = _always(Effect(refuses=True))
_FAILING = _errors(1.0)


def _flap(seconds: float) -> Scenario:
    end = max(END, 2.5 * seconds + FAULT_FROM)
    return Scenario(
        f"flap-{seconds:g}s",
        Class.GRAY,
        _FAILING,
        period=seconds,
        end=end + 30,
        fault_to=end,
    )


SCENARIOS: tuple[Scenario, ...] = (
    Scenario("errors-10", Class.GRAY, _errors(0.1)),
    Scenario("errors-30", Class.GRAY, _errors(0.3)),
    Scenario("errors-100", Class.GRAY, _FAILING),
    Scenario("slow-3x", Class.GRAY, _always(Effect(factor=3))),
    Scenario("slow-10x", Class.GRAY, _always(Effect(factor=10))),
    Scenario("hang", Class.GRAY, _always(Effect(hangs=True))),
    Scenario("one-route", Class.GRAY, _one_route),
    Scenario("slow-when-loaded", Class.GRAY, _when_loaded),
    _flap(2),
    _flap(10),
    _flap(60),
    _flap(300),
    Scenario("crash", Class.HARD, _HARD),
    Scenario("cold", Class.GRAY, _cold),
    Scenario("shedding", Class.INNOCENT, _always(Effect(sheds=True))),
    Scenario("healthy", Class.INNOCENT),
    Scenario("saturated", Class.INNOCENT, load=1.2),
    Scenario("skewed", Class.INNOCENT, skewed=True),
    Scenario("mixed-work", Class.INNOCENT, long_share=0.1),
    Scenario("all-slow", Class.INNOCENT, _always(Effect(factor=3)), _ALL),
    Scenario("all-errors-30", Class.INNOCENT, _errors(0.3), _ALL),
    Scenario("all-errors-100", Class.INNOCENT, _FAILING, _ALL),
    Scenario("bad-workspace", Class.INNOCENT, _one_workspace, _ALL),
    Scenario("little-traffic", Class.INNOCENT, _errors(0.02), _ALL, load=0.003),
    Scenario("healthy-half-day", Class.INNOCENT, end=HALF_DAY),
    Scenario("saturated-half-day", Class.INNOCENT, load=1.05, end=HALF_DAY),
    Scenario("skewed-half-day", Class.INNOCENT, skewed=True, end=HALF_DAY),
)
