"""endivewind-bench retries: counts repeats while targets and nodes fail.

Each seed is one run of real processes: a platform, nodes, and a target beside
each. Targets fail, call other services and record what arrives; the run checks
all limits on repeats. A seed draws what happens; the flags replace parts of it.
--release=FOLDER runs the nodes of another checkout. The exit code is 1 if a
limit was exceeded.
"""

import asyncio
import collections.abc
import dataclasses
import enum
import pathlib
from typing import Any

from absl import flags

from endivewind import exceptions
from endivewind.commands import bench_options
from endivewind.commands import cli
from endivewind.commands import options
from endivewind.soak import calling_targets
from endivewind.soak import retry_runs

USAGE = (
    "retries --seeds=A-B [--failures=LIST] [--troubles=LIST] [--services=N] "
    "[--nodes=N] [--request_rate=N] [--retry_reserve=N] [--run_seconds=S] "
    "[--own_addresses] [--concurrent_runs=N] [--run_logs=FOLDER] "
    "[--release=FOLDER]"
)

_FAILURES = flags.DEFINE_list(
    "failures", None, "How targets fail: errors, rejections, resets, hangs."
)
_TROUBLES = flags.DEFINE_list(
    "troubles", None, "What else happens, as crashing-request; empty: nothing."
)
_SERVICES = flags.DEFINE_integer(
    "services",
    None,
    "Services, of which each calls the next one.",
    lower_bound=2,
    upper_bound=len(retry_runs.SERVICES),
)
_REQUEST_RATE = flags.DEFINE_float(
    "request_rate", None, "Requests of callers per second.", lower_bound=0.1
)
_RETRY_RESERVE = flags.DEFINE_float(
    "retry_reserve", None, "Repeats allowed in each window.", lower_bound=0.0
)
_RUN_SECONDS = flags.DEFINE_float(
    "run_seconds", None, "How long targets fail.", lower_bound=1.0
)
_OWN_ADDRESSES = flags.DEFINE_boolean(
    "own_addresses", None, "Whether each node has an IP address of its own."
)
_CONCURRENT_RUNS = flags.DEFINE_integer(
    "concurrent_runs", 1, "Runs at the same time.", lower_bound=1
)
_RUN_LOGS = flags.DEFINE_string("run_logs", "retry-logs", "Folder for logs.")
_RELEASE = flags.DEFINE_string(
    "release", "", "Checkout that the nodes run; empty for this one."
)
flags.declare_key_flag("seeds")
flags.declare_key_flag("nodes")
flags.declare_key_flag("format")


def main(arguments: list[str]) -> int:
    """Runs the seeds; returns 1 if a limit was exceeded."""
    if arguments or not bench_options.SEEDS.value:
        raise exceptions.UsageError(f"usage: endivewind-bench {USAGE}")
    scenarios = [_scenario(seed) for seed in bench_options.parse_seeds("")]
    return cli.run_async(_run_all(scenarios))


def _scenario(seed: int) -> retry_runs.Scenario:
    """Returns the scenario of a seed with what the flags replace."""
    replacements: dict[str, Any] = {
        "failures": _parse_kinds(_FAILURES.value, calling_targets.Failure),
        "troubles": _parse_kinds(_TROUBLES.value, retry_runs.Trouble),
        "services": _SERVICES.value,
        "nodes": bench_options.NODES.value or None,
        "requests_per_second": _REQUEST_RATE.value,
        "retry_reserve": _RETRY_RESERVE.value,
        "seconds": _RUN_SECONDS.value,
        "has_own_addresses": _OWN_ADDRESSES.value,
    }
    given = {
        key: item for key, item in replacements.items() if item is not None
    }
    return dataclasses.replace(retry_runs.draw(seed), **given)


def _parse_kinds(
    words: list[str] | None, kind: type[enum.StrEnum]
) -> frozenset[enum.StrEnum] | None:
    """Returns the members that a flag names; None if it is not set."""
    if words is None:
        return None
    try:
        return frozenset(kind(word) for word in words if word)
    except ValueError as error:
        known = ", ".join(kind)
        raise exceptions.UsageError(f"{error}; known: {known}") from error


async def _run_all(
    scenarios: collections.abc.Sequence[retry_runs.Scenario],
) -> int:
    semaphore = asyncio.Semaphore(_CONCURRENT_RUNS.value)
    results = await asyncio.gather(
        *(_run(scenario, semaphore) for scenario in scenarios)
    )
    failed = sum(bool(result.findings) for result in results)
    options.print_result(
        [_to_json(result) for result in results],
        f"{len(results)} runs, {failed} red",
    )
    return 1 if failed else 0


async def _run(
    scenario: retry_runs.Scenario, semaphore: asyncio.Semaphore
) -> retry_runs.RunResult:
    release = pathlib.Path(_RELEASE.value) if _RELEASE.value else None
    folder = pathlib.Path(_RUN_LOGS.value) / f"seed-{scenario.seed}"
    async with semaphore:
        result = await retry_runs.RetryRun(scenario, folder, release).execute()
    if options.FORMAT.value != "json":
        print(_describe(result), flush=True)
    return result


def _describe(result: retry_runs.RunResult) -> str:
    """Returns the lines about one run for people."""
    verdict = "red" if result.findings else "green"
    lines = [f"{result.scenario}: {verdict}"]
    lines += [
        f"  {service}: {window.repeats} of {window.allowed:.0f} repeats from "
        f"{window.begins_at:.1f} s on"
        for service, window in sorted(result.windows.items())
    ]
    lines += [
        f"  {path}: {crashes} crashes, {late} late arrivals"
        for path, crashes, late in result.crashes
    ]
    lines.append(f"  responses: {dict(sorted(result.statuses.items()))}")
    lines += [f"  {item.guarantee}: {item.detail}" for item in result.findings]
    return "\n".join(lines)


def _to_json(result: retry_runs.RunResult) -> dict[str, object]:
    scenario = dataclasses.asdict(result.scenario)
    for key in ("failures", "troubles"):
        scenario[key] = sorted(scenario[key])
    return {
        "scenario": scenario,
        "windows": {
            service: dataclasses.asdict(window)
            for service, window in result.windows.items()
        },
        "crashing_requests": result.crashes,
        "responses": result.statuses,
        "findings": [
            {"promise": item.guarantee.value, "detail": item.detail}
            for item in result.findings
        ],
    }
