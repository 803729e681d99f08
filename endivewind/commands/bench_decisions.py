"""endivewind-bench decisions: detection time and false ejections.

Simulates the node's own outlier detection, capacity floor and load balancing
in virtual time with targets that fail in many ways. Two baselines run under
the same load: round robin without ejection, and ejection after five
consecutive errors. It uses no sockets and no processes.
"""

import collections.abc
import dataclasses
import logging
import statistics

from absl import flags

from endivewind import exceptions
from endivewind import spelling
from endivewind.bench import experiment
from endivewind.bench import scenarios
from endivewind.commands import bench_options
from endivewind.commands import options
from endivewind.commands import tables
from endivewind.config import objects

USAGE = (
    "decisions [--scenario=NAME] [--profile=P] [--seeds=N | --seed=N]"
    " [--format=json]"
)

DEFAULT_SEEDS = "5"
POLICIES = ("own", "consecutive-errors", "round-robin")

_SCENARIO = flags.DEFINE_list(
    "scenario", [], "Scenarios to run; by default all but the half-day ones."
)
_PROFILE = flags.DEFINE_enum_class(
    "profile",
    objects.Profile.DETECTION,
    objects.Profile,
    "Preset of the ejection settings.",
)
_SEED = flags.DEFINE_integer("seed", None, "Run this single seed.")
flags.declare_key_flag("seeds")
_POLICIES = flags.DEFINE_list(
    "policies", list(POLICIES), "Policies to compare."
)


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Results of several seeds of one scenario and policy.

    Attributes:
      detected: number of seeds in which the unhealthy target was ejected
        during its fault.
      median_detection_seconds: median over these seeds.
      worst_detection_seconds: maximum over these seeds.
    """

    scenario: str
    policy: str
    profile: str
    seeds: int
    requests: int
    detected: int
    median_detection_seconds: float | None
    worst_detection_seconds: float | None
    sick_requests: float
    work_lost: float
    false_ejections: int
    true_ejections: int
    median_return_seconds: float | None
    p50_ms: float
    p99_ms: float
    refusals: float
    amplification: float
    least_slots: int


def main(arguments: list[str]) -> int:
    """Runs the command and returns the exit code."""
    logging.getLogger("endivewind").setLevel(logging.ERROR)
    selected = _select_scenarios(_SCENARIO.value)
    seeds = bench_options.parse_seeds(DEFAULT_SEEDS)
    if _SEED.value is not None:
        seeds = range(_SEED.value, _SEED.value + 1)
    unknown = sorted(set(_POLICIES.value) - set(POLICIES))
    if unknown:
        raise exceptions.UsageError(f"--policies: unknown {unknown}")
    figures = [
        measure(scenario, policy, _PROFILE.value, seeds)
        for scenario in selected
        for policy in _POLICIES.value
    ]
    options.print_result(
        [dataclasses.asdict(item) for item in figures], _format_table(figures)
    )
    return 0


def measure(
    scenario: scenarios.Scenario,
    policy: str,
    profile: objects.Profile,
    seeds: collections.abc.Iterable[int],
) -> Figures:
    """Runs a scenario with each seed and aggregates the results."""
    rows = [
        experiment.Experiment(scenario, policy, profile, seed).run()
        for seed in seeds
    ]
    detections = _without_none(row.detection_seconds for row in rows)
    returns = _without_none(row.return_seconds for row in rows)
    return Figures(
        scenario=scenario.name,
        policy=policy,
        profile=profile.value if policy == "own" else "",
        seeds=len(rows),
        requests=sum(row.requests for row in rows),
        detected=len(detections),
        median_detection_seconds=_median_or_none(detections),
        worst_detection_seconds=_round_or_none(max(detections, default=None)),
        sick_requests=_mean(row.sick_requests for row in rows),
        work_lost=_mean(row.work_lost for row in rows),
        false_ejections=sum(row.false_ejections for row in rows),
        true_ejections=sum(row.true_ejections for row in rows),
        median_return_seconds=_median_or_none(returns),
        p50_ms=_mean(row.p50_ms for row in rows),
        p99_ms=_mean(row.p99_ms for row in rows),
        refusals=_mean(row.refusals for row in rows),
        amplification=round(
            statistics.fmean(row.amplification for row in rows), 4
        ),
        least_slots=min(row.least_slots for row in rows),
    )


def _select_scenarios(requested: list[str]) -> list[scenarios.Scenario]:
    known = {item.name: item for item in scenarios.SCENARIOS}
    for name in requested:
        if name not in known:
            hint = spelling.did_you_mean(name, known)
            raise exceptions.UsageError(f"unknown scenario {name!r}{hint}")
    if requested:
        return [known[name] for name in requested]
    return [
        item
        for item in known.values()
        if item.duration_seconds < scenarios.HALF_DAY_SECONDS
    ]


def _without_none(
    values: collections.abc.Iterable[float | None],
) -> list[float]:
    return [value for value in values if value is not None]


def _mean(values: collections.abc.Iterable[float]) -> float:
    return round(statistics.fmean(values), 1)


def _median_or_none(values: list[float]) -> float | None:
    return _round_or_none(statistics.median(values)) if values else None


def _round_or_none(value: float | None) -> float | None:
    return None if value is None else round(value, 3)


def _format_table(figures: list[Figures]) -> str:
    titles = (
        "scenario",
        "policy",
        "detected",
        "median s",
        "worst s",
        "lost",
        "false",
        "return s",
        "p50 ms",
        "p99 ms",
        "refused",
        "tries",
        "slots",
    )
    rows = [
        (
            item.scenario,
            item.policy,
            f"{item.detected}/{item.seeds}",
            _format_cell(item.median_detection_seconds),
            _format_cell(item.worst_detection_seconds),
            item.work_lost,
            item.false_ejections,
            _format_cell(item.median_return_seconds),
            item.p50_ms,
            item.p99_ms,
            item.refusals,
            item.amplification,
            item.least_slots,
        )
        for item in figures
    ]
    return tables.format_table(titles, rows)


def _format_cell(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"
