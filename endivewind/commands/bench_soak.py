"""endivewind-bench soak: real processes under faults, drawn from seeds.

Each seed is one run: a platform, nodes and targets as processes, callers, and
faults that overlap. It checks what callers were told against what targets
ran. The schedule and all logs of a run stay in a folder of its own;
--replay=FILE plays a schedule again, --shrink drops faults from a red one as
long as it stays red. --other_release=FOLDER runs every other node from another
checkout, as during a roll-out. Exit code 1 if a promise was broken.
"""

import asyncio
import pathlib

from absl import flags

from endivewind import exceptions
from endivewind.commands import bench_options
from endivewind.commands import options
from endivewind.commands import running
from endivewind.soak import runs
from endivewind.soak import schedules

USAGE = (
    "soak --seeds=A-B [--soak_seconds=S] [--at_once=N] [--logs=FOLDER] "
    "[--other_release=FOLDER] | --replay=FILE [--shrink]"
)

_SOAK_SECONDS = flags.DEFINE_float(
    "soak_seconds", 12, "How long faults begin in each run."
)
_AT_ONCE = flags.DEFINE_integer(
    "at_once", 2, "Runs at once; each has eleven processes.", lower_bound=1
)
_LOGS = flags.DEFINE_string("logs", "soak-logs", "Folder for schedules, logs.")
_REPLAY = flags.DEFINE_string("replay", "", "A schedule to play again.")
_OTHER_RELEASE = flags.DEFINE_string(
    "other_release", "", "Checkout whose code every other node runs."
)
_SHRINK = flags.DEFINE_boolean("shrink", False, "Drop faults while it is red.")
flags.declare_key_flag("seeds")
flags.declare_key_flag("format")


def main(arguments: list[str]) -> int:
    """Plays the seeds, or one schedule; 1 if a promise was broken."""
    if arguments or bool(bench_options.SEEDS.value) == bool(_REPLAY.value):
        raise exceptions.UsageError(f"usage: endivewind-bench {USAGE}")
    return running.loop(_soak(_schedule()))


def _schedule() -> schedules.Schedule | None:
    """The schedule to replay, if one is given."""
    if not _REPLAY.value:
        return None
    try:
        text = pathlib.Path(_REPLAY.value).read_text()
        return schedules.Schedule.from_json(text)
    except (OSError, ValueError) as error:
        raise exceptions.EndivewindError(f"can't replay: {error}") from error


async def _soak(replayed: schedules.Schedule | None) -> int:
    folder = pathlib.Path(_LOGS.value)
    if replayed is not None:
        outcomes = [await _replay(replayed, folder)]
    else:
        gate = asyncio.Semaphore(_AT_ONCE.value)
        outcomes = await asyncio.gather(
            *(_one(seed, folder, gate) for seed in bench_options.seeds(""))
        )
    red = [item for item in outcomes if item.findings]
    requests = sum(item.requests for item in outcomes)
    options.show(
        [_json(item) for item in outcomes],
        f"{len(outcomes)} runs, {requests} requests, {len(red)} red",
    )
    return 1 if red else 0


async def _one(
    seed: int, folder: pathlib.Path, gate: asyncio.Semaphore
) -> runs.Outcome:
    async with gate:
        schedule = schedules.draw(seed, _SOAK_SECONDS.value)
        outcome = await _run(schedule, folder / f"seed-{seed}").play()
    _tell(outcome)
    return outcome


def _run(schedule: schedules.Schedule, folder: pathlib.Path) -> runs.Run:
    other = pathlib.Path(_OTHER_RELEASE.value).resolve()
    return runs.Run(schedule, folder, other if _OTHER_RELEASE.value else None)


async def _replay(
    schedule: schedules.Schedule, folder: pathlib.Path
) -> runs.Outcome:
    outcome = await _run(schedule, folder / "replay").play()
    _tell(outcome)
    if not (_SHRINK.value and outcome.findings):
        return outcome

    async def is_red(smaller: schedules.Schedule) -> bool:
        again = await _run(smaller, folder / "shrink").play()
        return bool(again.findings)

    smallest = await schedules.shrink(schedule, is_red)
    print(f"{len(smallest.faults)} faults are left:\n{smallest.to_json()}")
    return outcome


def _tell(outcome: runs.Outcome) -> None:
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
        print(f"  {finding.promise}: {finding.detail}", flush=True)


def _json(outcome: runs.Outcome) -> dict[str, object]:
    return {
        "seed": outcome.schedule.seed,
        "faults": len(outcome.schedule.faults),
        "requests": outcome.requests,
        "answered": outcome.answered,
        "findings": [
            {"promise": item.promise.value, "detail": item.detail}
            for item in outcome.findings
        ],
    }
