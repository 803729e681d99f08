"""endivewind-bench overhead: what endivewind adds to a request.

In one run, on one machine and with one target: direct, through one and two
bare aiohttp hops, through endivewind at home (the entry is the target's home)
and across (entry and home are two nodes). Latencies at a fixed rate, the five
paths taking turns so that what else the machine does hits them alike; then
requests a second at saturation. Each request is a POST of 256 bytes.
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
from endivewind.commands import options
from endivewind.commands import running
from endivewind.commands import tables
from endivewind.standins import load

USAGE = "overhead [--rate=184] [--seconds=20] [--format=json]"

_RATE = flags.DEFINE_float("rate", 184, "Requests a second.", lower_bound=1)
_SECONDS = flags.DEFINE_float(
    "seconds", 20, "Seconds at that rate on each path.", lower_bound=1
)
_SATURATION_SECONDS = flags.DEFINE_float(
    "saturation_seconds", 5, "Seconds of saturation on each path."
)
_TURNS = flags.DEFINE_integer(
    "turns", 4, "Turns that each path takes.", lower_bound=1
)
flags.declare_key_flag("format")

DIRECT = "direct"
ONE_HOP = "one bare hop"
TWO_HOPS = "two bare hops"
AT_HOME = "endivewind at home"
ACROSS = "endivewind across"

_HOST = "overhead.example"
_SERVICE = "overhead"
_WARM_UP_SECONDS = 2
# Two load processes of so many connections keep any of the paths busy.
_LOADS = 2
_CONNECTIONS = 16
_MOST_ADDED_MS = 2.7
_LEAST_SATURATION = 0.8
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
    """One way to the target, and what was measured on it."""

    name: str
    request: load.Request
    samples: load.Samples = dataclasses.field(default_factory=load.Samples)
    saturation: float = 0.0
    saturation_failures: int = 0

    def as_json(self) -> dict[str, Any]:
        """The figures as plain JSON values."""
        return {
            "answers": len(self.samples.latencies),
            "failures": self.samples.failures + self.saturation_failures,
            "p50_ms": round(self.samples.percentile_ms(50), 3),
            "p99_ms": round(self.samples.percentile_ms(99), 3),
            "saturation_per_second": round(self.saturation),
        }


def main(arguments: list[str]) -> int:
    """Measures and prints; 1 where the aims are not reached."""
    if arguments:
        raise exceptions.UsageError(f"usage: endivewind-bench {USAGE}")
    return running.loop(_bench())


async def _bench() -> int:
    async with children.Children() as started:
        paths = await _paths(started)
        async with load.session() as session:
            await _at_rate(session, paths)
        for path in paths:
            await _saturate(path)
    figures = {path.name: path.as_json() for path in paths}
    aims = judge(figures)
    value = {
        "rate": _RATE.value,
        "seconds": _SECONDS.value,
        "paths": figures,
        "aims": aims,
    }
    options.show(value, _text(figures, aims))
    return 0 if all(aim["reached"] for aim in aims.values()) else 1


async def _paths(started: children.Children) -> list[Path]:
    platform = await started.start("platform", "standin", "platform")
    url = f"http://{platform.listening['address']}"
    home = await started.node(_settings("node-home", url))
    entry = await started.node(_settings("node-entry", url))
    target = await started.start(
        "target",
        "standin",
        "target",
        "--name=overhead-1",
        f"--service={_SERVICE}",
        f"--nodes={home.listening['targets']}",
    )
    hop = await _hop(started, "hop-1", target.listening["address"])
    second = await _hop(started, "hop-2", hop.listening["address"])
    for child in (platform, home, entry, target, hop, second):
        child.ignore_output()
    await _submit(url)
    paths = [
        _path(DIRECT, target.listening["address"]),
        _path(ONE_HOP, hop.listening["address"]),
        _path(TWO_HOPS, second.listening["address"]),
        _path(AT_HOME, home.listening["callers"]),
        _path(ACROSS, entry.listening["callers"]),
    ]
    async with load.session() as session:
        for path in paths:
            await _answered(session, path)
    return paths


async def _hop(
    started: children.Children, name: str, address: str
) -> children.Child:
    return await started.start(
        name, "standin", "hop", f"--next=http://{address}"
    )


def _path(name: str, address: str) -> Path:
    return Path(name, load.Request(f"http://{address}/overhead", _HOST))


def _settings(name: str, platform: str) -> dict[str, Any]:
    return {
        "name": name,
        "region": "andina",
        "zone": "andina-a",
        "platform": platform,
    }


async def _submit(platform: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder) / "configuration.yaml"
        file.write_text(yaml.safe_dump(_CONFIGURATION))
        await children.output_of(
            "main",
            "submit",
            str(file),
            f"--platform={platform}",
            "--format=json",
        )


async def _answered(session: aiohttp.ClientSession, path: Path) -> None:
    """Waits until a path answers, then warms it up."""
    for _ in range(100):
        samples = load.Samples()
        await load.at_rate(session, path.request, 50, 0.1, samples)
        if not samples.failures:
            break
    else:
        raise exceptions.UnavailableError(f"{path.name} does not answer")
    await load.at_rate(
        session, path.request, _RATE.value, _WARM_UP_SECONDS, load.Samples()
    )


async def _at_rate(session: aiohttp.ClientSession, paths: list[Path]) -> None:
    seconds = _SECONDS.value / _TURNS.value
    for _ in range(_TURNS.value):
        for path in paths:
            await load.at_rate(
                session, path.request, _RATE.value, seconds, path.samples
            )


async def _saturate(path: Path) -> None:
    found = await asyncio.gather(
        *(
            children.output_of(
                "standin",
                "load",
                f"--url={path.request.url}",
                f"--host={path.request.host}",
                f"--connections={_CONNECTIONS}",
                f"--seconds={_SATURATION_SECONDS.value}",
            )
            for _ in range(_LOADS)
        )
    )
    path.saturation = sum(item["per_second"] for item in found)
    path.saturation_failures = sum(item["failures"] for item in found)


def judge(
    figures: collections.abc.Mapping[str, dict[str, Any]],
) -> dict[str, dict[str, Any]]:
    """Compares what endivewind adds with what bare hops add."""

    def added(name: str) -> float:
        return figures[name]["p99_ms"] - figures[DIRECT]["p99_ms"]

    def share(name: str, of: str) -> float:
        key = "saturation_per_second"
        return figures[name][key] / max(figures[of][key], 1)

    return {
        "across p99 added, against two hops (ms)": _most(
            added(ACROSS), added(TWO_HOPS)
        ),
        "across p99 added (ms)": _most(added(ACROSS), _MOST_ADDED_MS),
        "at home p99 added, against one hop (ms)": _most(
            added(AT_HOME), added(ONE_HOP)
        ),
        "at home saturation, share of one hop": _least(
            share(AT_HOME, ONE_HOP), _LEAST_SATURATION
        ),
        "across saturation, share of two hops": _least(
            share(ACROSS, TWO_HOPS), _LEAST_SATURATION
        ),
        "failures": _most(
            sum(item["failures"] for item in figures.values()), 0
        ),
    }


def _most(value: float, limit: float) -> dict[str, Any]:
    return _aim(value, limit, value <= limit)


def _least(value: float, limit: float) -> dict[str, Any]:
    return _aim(value, limit, value >= limit)


def _aim(value: float, limit: float, reached: bool) -> dict[str, Any]:
    return {
        "value": round(value, 3),
        "limit": round(limit, 3),
        "reached": reached,
    }


def _text(
    figures: dict[str, dict[str, Any]], aims: dict[str, dict[str, Any]]
) -> str:
    rows = [
        (name, item["p50_ms"], item["p99_ms"], item["saturation_per_second"])
        for name, item in figures.items()
    ]
    paths = tables.table(("PATH", "P50 MS", "P99 MS", "SATURATION/S"), rows)
    verdicts = tables.table(
        ("AIM", "VALUE", "LIMIT", "REACHED"),
        [
            (
                name,
                aim["value"],
                aim["limit"],
                "yes" if aim["reached"] else "no",
            )
            for name, aim in aims.items()
        ],
    )
    return f"{paths}\n\n{verdicts}"
