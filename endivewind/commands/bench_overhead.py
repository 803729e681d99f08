"""endivewind-bench overhead: latency and throughput overhead of endivewind.

Compares five paths to one target on one machine: direct, through one and two
bare aiohttp hops, through one endivewind node (the entry node is the target's
home), and across two nodes (entry node and home). It measures latency at a
fixed rate, alternating between the paths so that other load on the machine
affects all alike, and then the throughput at saturation. Each request is a
POST of 256 bytes.
"""

import asyncio
import collections.abc
import dataclasses
import pathlib
import tempfile
from typing import Any

from absl import flags
import aiohttp
import yaml

from endivewind import exceptions
from endivewind.commands import children
from endivewind.commands import cli
from endivewind.commands import options
from endivewind.commands import tables
from endivewind.standins import load_generator

USAGE = "overhead [--rate=184] [--seconds=20] [--format=json]"

_RATE = flags.DEFINE_float("rate", 184, "Requests per second.", lower_bound=1)
_SECONDS = flags.DEFINE_float(
    "seconds", 20, "Seconds at this rate on each path.", lower_bound=1
)
_SATURATION_SECONDS = flags.DEFINE_float(
    "saturation_seconds", 5, "Seconds of saturation on each path."
)
_TURNS = flags.DEFINE_integer(
    "turns",
    4,
    "Number of rounds that measure each path in turn; each path gets its share"
    " of --seconds in each of them.",
    lower_bound=1,
)
flags.declare_key_flag("format")

DIRECT = "direct"
ONE_HOP = "one bare hop"
TWO_HOPS = "two bare hops"
AT_HOME = "endivewind at home"
# The request enters at another node than the target's home.
ACROSS_NODES = "endivewind across"

_HOST = "overhead.example"
_SERVICE = "overhead"
_WARM_UP_SECONDS = 2
# Two load processes with this many connections each saturate any path.
_LOAD_PROCESSES = 2
_CONNECTIONS = 16
_MAX_ADDED_MS = 2.7
_MIN_SATURATION_SHARE = 0.8
_CONFIGURATION = {
    "services": {_SERVICE: {"slots": 1000, "queue_limit": 1000}},
    "route_groups": {
        "bench": {
            "routes": [{"host": _HOST, "service": _SERVICE, "repeat": "always"}]
        }
    },
}


@dataclasses.dataclass(slots=True)
class Path:
    """One path to the target and its results."""

    name: str
    request: load_generator.Request
    samples: load_generator.Samples = dataclasses.field(
        default_factory=load_generator.Samples
    )
    saturation_per_second: float = 0.0
    saturation_failures: int = 0

    def as_json(self) -> dict[str, Any]:
        """Returns the figures as JSON values."""
        return {
            "answers": len(self.samples.latencies),
            "failures": self.samples.failures + self.saturation_failures,
            "p50_ms": round(self.samples.latency_percentile_ms(50), 3),
            "p99_ms": round(self.samples.latency_percentile_ms(99), 3),
            "saturation_per_second": round(self.saturation_per_second),
        }


def main(arguments: list[str]) -> int:
    """Measures and prints; returns 1 if a goal is missed."""
    if arguments:
        raise exceptions.UsageError(f"usage: endivewind-bench {USAGE}")
    return cli.run_async(_run_benchmark())


async def _run_benchmark() -> int:
    async with children.ChildProcesses() as processes:
        paths = await _start_paths(processes)
        async with load_generator.make_session() as session:
            await _measure_latency(session, paths)
        for path in paths:
            await _measure_saturation(path)
    figures = {path.name: path.as_json() for path in paths}
    goals = check_goals(figures)
    value = {
        "rate": _RATE.value,
        "seconds": _SECONDS.value,
        "paths": figures,
        "aims": goals,
    }
    options.print_result(value, _format_tables(figures, goals))
    return 0 if all(goal["reached"] for goal in goals.values()) else 1


async def _start_paths(processes: children.ChildProcesses) -> list[Path]:
    platform = await processes.start("platform", "standin", "platform")
    url = f"http://{platform.listening_line['address']}"
    home = await processes.start_node(_node_settings("node-home", url))
    entry = await processes.start_node(_node_settings("node-entry", url))
    target = await processes.start(
        "target",
        "standin",
        "target",
        "--name=overhead-1",
        f"--service={_SERVICE}",
        f"--nodes={home.listening_line['targets']}",
    )
    hop = await _start_hop(processes, "hop-1", target.listening_line["address"])
    second_hop = await _start_hop(
        processes, "hop-2", hop.listening_line["address"]
    )
    for child in (platform, home, entry, target, hop, second_hop):
        child.ignore_output()
    await _submit_configuration(url)
    paths = [
        _make_path(DIRECT, target.listening_line["address"]),
        _make_path(ONE_HOP, hop.listening_line["address"]),
        _make_path(TWO_HOPS, second_hop.listening_line["address"]),
        _make_path(AT_HOME, home.listening_line["callers"]),
        _make_path(ACROSS_NODES, entry.listening_line["callers"]),
    ]
    async with load_generator.make_session() as session:
        for path in paths:
            await _wait_and_warm_up(session, path)
    return paths


async def _start_hop(
    processes: children.ChildProcesses, name: str, address: str
) -> children.ChildProcess:
    return await processes.start(
        name, "standin", "hop", f"--next=http://{address}"
    )


def _make_path(name: str, address: str) -> Path:
    return Path(
        name, load_generator.Request(f"http://{address}/overhead", _HOST)
    )


def _node_settings(name: str, platform: str) -> dict[str, Any]:
    return {
        "name": name,
        "region": "andina",
        "zone": "andina-a",
        "platform": platform,
    }


async def _submit_configuration(platform: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder) / "configuration.yaml"
        file.write_text(yaml.safe_dump(_CONFIGURATION))
        await children.run_json_command(
            "main",
            "submit",
            str(file),
            f"--platform={platform}",
            "--format=json",
        )


async def _wait_and_warm_up(session: aiohttp.ClientSession, path: Path) -> None:
    """Waits until a path responds, then warms it up."""
    for _ in range(100):
        samples = load_generator.Samples()
        await load_generator.send_at_rate(
            session, path.request, 50, 0.1, samples
        )
        if not samples.failures:
            break
    else:
        raise exceptions.UnavailableError(f"{path.name} does not respond")
    await load_generator.send_at_rate(
        session,
        path.request,
        _RATE.value,
        _WARM_UP_SECONDS,
        load_generator.Samples(),
    )


async def _measure_latency(
    session: aiohttp.ClientSession, paths: list[Path]
) -> None:
    seconds = _SECONDS.value / _TURNS.value
    for _ in range(_TURNS.value):
        for path in paths:
            await load_generator.send_at_rate(
                session, path.request, _RATE.value, seconds, path.samples
            )


async def _measure_saturation(path: Path) -> None:
    load_results = await asyncio.gather(
        *(
            children.run_json_command(
                "standin",
                "load",
                f"--url={path.request.url}",
                f"--host={path.request.host}",
                f"--connections={_CONNECTIONS}",
                f"--seconds={_SATURATION_SECONDS.value}",
            )
            for _ in range(_LOAD_PROCESSES)
        )
    )
    path.saturation_per_second = sum(
        item["per_second"] for item in load_results
    )
    path.saturation_failures = sum(item["failures"] for item in load_results)


def check_goals(
    figures: collections.abc.Mapping[str, dict[str, Any]],
) -> dict[str, dict[str, Any]]:
    """Compares the overhead of endivewind with that of bare hops."""

    def added_p99_ms(name: str) -> float:
        return figures[name]["p99_ms"] - figures[DIRECT]["p99_ms"]

    def saturation_share(name: str, baseline: str) -> float:
        key = "saturation_per_second"
        return figures[name][key] / max(figures[baseline][key], 1)

    return {
        "across p99 added, against two hops (ms)": _at_most(
            added_p99_ms(ACROSS_NODES), added_p99_ms(TWO_HOPS)
        ),
        "across p99 added (ms)": _at_most(
            added_p99_ms(ACROSS_NODES), _MAX_ADDED_MS
        ),
        "at home p99 added, against one hop (ms)": _at_most(
            added_p99_ms(AT_HOME), added_p99_ms(ONE_HOP)
        ),
        "at home saturation, share of one hop": _at_least(
            saturation_share(AT_HOME, ONE_HOP), _MIN_SATURATION_SHARE
        ),
        "across saturation, share of two hops": _at_least(
            saturation_share(ACROSS_NODES, TWO_HOPS), _MIN_SATURATION_SHARE
        ),
        "failures": _at_most(
            sum(item["failures"] for item in figures.values()), 0
        ),
    }


def _at_most(value: float, limit: float) -> dict[str, Any]:
    return _make_goal(value, limit, value <= limit)


def _at_least(value: float, limit: float) -> dict[str, Any]:
    return _make_goal(value, limit, value >= limit)


def _make_goal(value: float, limit: float, reached: bool) -> dict[str, Any]:
    return {
        "value": round(value, 3),
        "limit": round(limit, 3),
        "reached": reached,
    }


def _format_tables(
    figures: dict[str, dict[str, Any]], goals: dict[str, dict[str, Any]]
) -> str:
    rows = [
        (name, item["p50_ms"], item["p99_ms"], item["saturation_per_second"])
        for name, item in figures.items()
    ]
    paths = tables.format_table(
        ("PATH", "P50 MS", "P99 MS", "SATURATION/S"), rows
    )
    goal_table = tables.format_table(
        ("AIM", "VALUE", "LIMIT", "REACHED"),
        [
            (
                name,
                goal["value"],
                goal["limit"],
                "yes" if goal["reached"] else "no",
            )
            for name, goal in goals.items()
        ],
    )
    return f"{paths}\n\n{goal_table}"
