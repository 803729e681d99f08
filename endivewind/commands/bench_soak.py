"""endivewind-bench soak: real processes under random faults.

Each seed is one run: a platform, nodes and targets as processes, callers, and
overlapping faults. The run compares the callers' results with what the targets
ran. Its schedule and logs are kept in a folder of its own. --replay=FILE runs
a schedule again; --shrink removes faults as long as the run still fails.
--other_release=FOLDER runs every second node from another checkout, as during
a rolling upgrade. The exit code is 1 if a guarantee was violated.
"""

import asyncio
import pathlib

from absl import flags

from endivewind import exceptions
from endivewind.commands import bench_options
from endivewind.commands import cli
from endivewind.commands import options
from endivewind.soak import runs
from endivewind.soak import schedules

USAGE = (
    "soak --seeds=A-B [--soak_seconds=S] [--at_once=N] [--logs=FOLDER] "
    "[--other_release=FOLDER] | --replay=FILE [--shrink]"
)

_SOAK_SECONDS = flags.DEFINE_float(
    "soak_seconds", 12, "Seconds in each run in which faults start."
)
_AT_ONCE = flags.DEFINE_integer(
    "at_once", 2, "Concurrent runs; each has eleven processes.", lower_bound=1
)
_LOGS = flags.DEFINE_string(
    "logs", "soak-logs", "Folder for schedules and logs."
)
_REPLAY = flags.DEFINE_string(
    "replay", "", "File with a schedule to run again."
)
_OTHER_RELEASE = flags.DEFINE_string(
    "other_release", "", "Checkout that every second node runs."
)
_SHRINK = flags.DEFINE_boolean(
    "shrink", False, "Remove faults while the run fails."
)
flags.declare_key_flag("seeds")
flags.declare_key_flag("format")


def main(arguments: list[str]) -> int:
    """Runs the seeds or one schedule; returns 1 on a violated guarantee."""
    if arguments or bool(bench_options.SEEDS.value) == bool(_REPLAY.value):
        raise exceptions.UsageError(f"usage: endivewind-bench {USAGE}")
    return cli.run_async(_run_all(_read_schedule()))


def _read_schedule() -> schedules.Schedule | None:
    """Returns the schedule to replay, or None without --replay."""
    if not _REPLAY.value:
        return None
    try:
        text = pathlib.Path(_REPLAY.value).read_text()
        return schedules.Schedule.from_json(text)
    except (OSError, ValueError) as error:
        raise exceptions.EndivewindError(
            f"can't read the schedule: {error}"
        ) from error


async def _run_all(replayed: schedules.Schedule | None) -> int:
    folder = pathlib.Path(_LOGS.value)
    if replayed is not None:
        outcomes = [await _run_replay(replayed, folder)]
    else:
        semaphore = asyncio.Semaphore(_AT_ONCE.value)
        outcomes = await asyncio.gather(
            *(
                _run_seed(seed, folder, semaphore)
                for seed in bench_options.parse_seeds("")
            )
        )
    failed = [item for item in outcomes if item.findings]
    requests = sum(item.requests for item in outcomes)
    options.print_result(
        [_to_json(item) for item in outcomes],
        f"{len(outcomes)} runs, {requests} requests, {len(failed)} red",
    )
    return 1 if failed else 0


async def _run_seed(
    seed: int, folder: pathlib.Path, semaphore: asyncio.Semaphore
) -> runs.RunResult:
    async with semaphore:
        schedule = schedules.generate(seed, _SOAK_SECONDS.value)
        outcome = await _make_run(schedule, folder / f"seed-{seed}").execute()
    _print_outcome(outcome)
    return outcome


def _make_run(
    schedule: schedules.Schedule, folder: pathlib.Path
) -> runs.SoakRun:
    other_release = pathlib.Path(_OTHER_RELEASE.value).resolve()
    return runs.SoakRun(
        schedule, folder, other_release if _OTHER_RELEASE.value else None
    )


async def _run_replay(
    schedule: schedules.Schedule, folder: pathlib.Path
) -> runs.RunResult:
    outcome = await _make_run(schedule, folder / "replay").execute()
    _print_outcome(outcome)
    if not (_SHRINK.value and outcome.findings):
        return outcome

    async def run_fails(smaller: schedules.Schedule) -> bool:
        outcome_again = await _make_run(smaller, folder / "shrink").execute()
        return bool(outcome_again.findings)

    smallest = await schedules.shrink(schedule, run_fails)
    print(f"{len(smallest.faults)} faults remain:\n{smallest.to_json()}")
    return outcome


def _print_outcome(outcome: runs.RunResult) -> None:
    if options.FORMAT.value == "json":
        return
    seed = outcome.schedule.seed
    verdict = "red" if outcome.findings else "green"
    print(
        f"seed {seed}: {verdict}, {len(outcome.schedule.faults)} faults, "
        f"{outcome.answered} of {outcome.requests} answered",
        flush=True,
    )
    for finding in outcome.findings:
        print(f"  {finding.guarantee}: {finding.detail}", flush=True)


def _to_json(outcome: runs.RunResult) -> dict[str, object]:
    return {
        "seed": outcome.schedule.seed,
        "faults": len(outcome.schedule.faults),
        "requests": outcome.requests,
        "answered": outcome.answered,
        "findings": [
            {"promise": item.guarantee.value, "detail": item.detail}
            for item in outcome.findings
        ],
    }
