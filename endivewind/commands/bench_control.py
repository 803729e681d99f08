"""endivewind-bench control: control-plane cost of one node.

One real node runs as a process, with a configuration and the lease renewals of
its targets. The other nodes are simulated in this process by the same protocol
code and exchange real messages with it over loopback.
"""

import asyncio
import contextlib
import dataclasses
import datetime
import json
import os
import pathlib
import statistics
import tempfile
from typing import Any

from absl import flags
import aiohttp
from aiohttp import web
import uvloop
import yaml

from endivewind import exceptions
from endivewind.commands import bench_options
from endivewind.commands import control_fleet
from endivewind.commands import options
from endivewind.config import store
from endivewind.standins import platform

USAGE = "control --nodes=N --targets=M [--sweep] [--format=json]"

flags.declare_key_flag("format")
flags.declare_key_flag("nodes")
_TARGETS = flags.DEFINE_integer("targets", 12_000, "Total number of targets.")
_DAY_SECONDS = flags.DEFINE_integer(
    "day_seconds",
    30,
    "Seconds of measurement at an ordinary day's rate of changes.",
)
_ROUTES = flags.DEFINE_integer(
    "routes", 3_700, "Number of routes in the configuration."
)
_WORKSPACES = flags.DEFINE_integer(
    "workspaces", 29_000, "Number of workspaces in the configuration."
)
_RESTART = flags.DEFINE_bool("restart", False, "Also measure a mass restart.")
_SWEEP = flags.DEFINE_bool(
    "sweep", False, "Measure several sizes and fit slopes."
)
_CHECK = flags.DEFINE_string(
    "check", "", "Markdown file with the table to compare the figures with."
)

FULL_FLEET_NODES = 760
REAL_NODE = "node-real"
# Changes of target records per target and second. On an ordinary day in a
# fleet with 12,000 targets, 2,269 VMs fail or restart, with about five changes
# each, and all targets of 135 nodes move to other homes: 15,400 changes a day,
# 0.18 per second. The benchmark makes twice as many, 0.36 per second.
CHANGES_PER_TARGET_SECOND = 0.36 / 12_000
RESTARTED_SHARE = 0.2
RESTART_DURATION = datetime.timedelta(seconds=10)
LEASE_DURATION = datetime.timedelta(seconds=6)
SWEEP_SIZES = ((50, 800), (200, 3_200), (400, 6_400), (760, 12_000))
JOIN_TIMEOUT = datetime.timedelta(seconds=45)
SETTLE_TIME = datetime.timedelta(seconds=12)
WITHDRAWAL_RUNS = 3
# Interval of checks whether a state has been reached.
POLL_INTERVAL = datetime.timedelta(milliseconds=20)
WORKSPACES_PER_SHARD = 500
ROUTES_PER_GROUP = 100


@dataclasses.dataclass(frozen=True, slots=True)
class NodeLoad:
    """Resource usage of the real node in one measurement.

    Attributes:
      cpu_percent: user and system time in percent of one core.
      rss_mb: resident memory at the end, in 10^6 bytes.
      gossip_bytes_per_second: payload of gossip datagrams, sent and received.
      link_bytes_per_second: control frames on links, sent and received.
      renewal_bytes_per_second: HTTP lease renewals of its targets, sent and
        received.
    """

    cpu_percent: float
    rss_mb: float
    gossip_bytes_per_second: float
    link_bytes_per_second: float
    renewal_bytes_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class SizeReport:
    """Results at one fleet size.

    Attributes:
      nodes: number of nodes, including the real one.
      targets: number of targets of all nodes.
      join_seconds: time until the real node knew every target.
      day: usage at an ordinary day's rate of changes.
      withdrawal_seconds: longest time until all other nodes knew of a target's
        withdrawal.
      restart: usage while a fifth of the nodes restarted within ten seconds.
      restart_seconds: time from the start of the restarts until the real node
        knew all targets again.
    """

    nodes: int
    targets: int
    join_seconds: float
    day: NodeLoad
    withdrawal_seconds: float
    restart: NodeLoad | None = None
    restart_seconds: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Counters:
    ticks: int
    gossip: int
    link: int
    renewal: int
    time: float


def main(arguments: list[str]) -> int:
    """Runs the measurements and prints the results."""
    nodes = bench_options.NODES.value or FULL_FLEET_NODES
    if arguments or nodes < 2:
        raise exceptions.UsageError(f"usage: endivewind-bench {USAGE}")
    sizes = SWEEP_SIZES if _SWEEP.value else ((nodes, _TARGETS.value),)
    reports = [uvloop.run(_measure(*size)) for size in sizes]
    report: dict[str, Any] = {
        "reports": [dataclasses.asdict(item) for item in reports]
    }
    if _SWEEP.value:
        report["slopes"] = fit_slopes(reports)
    options.print_result(report, json.dumps(report, indent=2))
    if _CHECK.value:
        text = pathlib.Path(_CHECK.value).read_text(encoding="utf-8")
        differences = find_differences(text, reports)
        for line in differences:
            print(line)
        return 1 if differences else 0
    return 0


def fit_slopes(reports: list[SizeReport]) -> dict[str, dict[str, float]]:
    """Fits each figure as a linear function of the number of nodes."""
    nodes = [item.nodes for item in reports]
    slopes = {}
    for field in dataclasses.fields(NodeLoad):
        values = [getattr(item.day, field.name) for item in reports]
        line = statistics.linear_regression(nodes, values)
        slopes[field.name] = {
            "at_0": round(line.intercept, 4),
            "per_node": round(line.slope, 6),
        }
    return slopes


# On a shared machine, CPU time varies more than memory.
_RELATIVE_TOLERANCES = {"cpu": 0.6, "rss": 0.1, "bytes": 0.25}


def find_differences(page: str, reports: list[SizeReport]) -> list[str]:
    """Returns the differences between a Markdown table and the reports.

    The rows of the table are `| nodes | targets | cpu % | RSS MB | bytes/s |`.
    """
    rows = {}
    for line in page.splitlines():
        cells = [cell.strip().replace(",", "") for cell in line.split("|")]
        with contextlib.suppress(ValueError):
            values = [float(cell) for cell in cells[1:6]]
            if len(values) == 5:
                rows[int(values[0]), int(values[1])] = values[2:]
    differences = []
    for report in reports:
        size = (report.nodes, report.targets)
        if size not in rows:
            differences.append(f"the page has no row for {size}")
            continue
        measured = (
            report.day.cpu_percent,
            report.day.rss_mb,
            _bytes_per_second(report),
        )
        for name, old, new in zip(
            _RELATIVE_TOLERANCES, rows[size], measured, strict=True
        ):
            if abs(new - old) > _RELATIVE_TOLERANCES[name] * old:
                differences.append(
                    f"{size}: {name}: page {old}, measured {new:.2f}"
                )
    return differences


def _bytes_per_second(report: SizeReport) -> float:
    day = report.day
    return (
        day.gossip_bytes_per_second
        + day.link_bytes_per_second
        + day.renewal_bytes_per_second
    )


async def _measure(nodes: int, targets: int) -> SizeReport:
    async with contextlib.AsyncExitStack() as stack:
        bench = await _ControlBench.start(stack, nodes, targets)
        return await bench.run()


class _ControlBench:
    """One real node in a fleet of simulated ones."""

    def __init__(
        self,
        fleet: control_fleet.SimulatedFleet,
        session: aiohttp.ClientSession,
        pid: int,
        listening_line: dict[str, Any],
    ) -> None:
        self._fleet = fleet
        self._session = session
        self._pid = pid
        self._listening_line = listening_line
        self._renewal_bytes = 0
        self._own_targets = fleet.targets_of(len(fleet.nodes))

    @classmethod
    async def start(
        cls, stack: contextlib.AsyncExitStack, nodes: int, targets: int
    ) -> "_ControlBench":
        """Starts the platform, the simulated nodes and the real one."""
        fleet = control_fleet.SimulatedFleet(nodes - 1, targets, REAL_NODE)
        await fleet.start()
        stack.push_async_callback(fleet.stop)
        objects = platform.ObjectStore()
        _store_configuration(objects)
        for node in fleet.nodes:
            value = dataclasses.asdict(node.record)
            del value["name"]
            objects.put("node", node.name, value, 0)
        url = await _serve_platform(stack, objects)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        file = _write_settings(folder, url)
        child = await stack.enter_async_context(
            control_fleet.start_node_process(file)
        )
        assert child.stdout is not None
        listening_line: dict[str, Any] = {}
        while listening_line.get("message") != "listening":
            listening_line = json.loads(await child.stdout.readline())
        drain = asyncio.create_task(_discard_lines(child.stdout))
        stack.callback(drain.cancel)
        fleet.real_address = listening_line["nodes"]
        return cls(fleet, session, child.pid, listening_line)

    async def run(self) -> SizeReport:
        """Measures the join, ordinary load, withdrawals and a mass restart."""
        renewals = asyncio.create_task(self._renew_all())
        join = await self._wait_for_complete_view()
        rate = max(CHANGES_PER_TARGET_SECOND * self._target_count, 0.01)
        changes = asyncio.create_task(self._fleet.run_changes(rate))
        await asyncio.sleep(SETTLE_TIME.total_seconds())
        day = await self._measure_load(_DAY_SECONDS.value)
        changes.cancel()
        worst = max(
            [await self._measure_withdrawal() for _ in range(WITHDRAWAL_RUNS)]
        )
        restart, seconds = None, None
        if _RESTART.value:
            restart, seconds = await self._measure_restart()
        renewals.cancel()
        nodes = len(self._fleet.nodes) + 1
        return SizeReport(
            nodes,
            self._target_count,
            join,
            day,
            round(worst, 2),
            restart,
            seconds,
        )

    @property
    def _target_count(self) -> int:
        node_numbers = range(len(self._fleet.nodes) + 1)
        return sum(
            len(self._fleet.targets_of(number)) for number in node_numbers
        )

    async def _wait_for_complete_view(self) -> float:
        loop = asyncio.get_running_loop()
        start = loop.time()
        while not await self._has_complete_view():
            if loop.time() - start > JOIN_TIMEOUT.total_seconds():
                raise exceptions.UnavailableError(
                    "the node did not join in time"
                )
            await asyncio.sleep(0.2)
        return round(loop.time() - start, 2)

    async def _has_complete_view(self) -> bool:
        """Whether the real node agrees with a simulated one and is ready."""
        members = await self._query_members()
        agreed = members["digest"] == self._fleet.nodes[0].gossip.summary
        all_known = members["targets"] == self._target_count
        return agreed and all_known and await self._is_ready()

    async def _measure_withdrawal(self) -> float:
        """Measures the time until all simulated nodes know of a withdrawal."""
        loop = asyncio.get_running_loop()
        target = self._own_targets[0]
        simulated_nodes = self._fleet.nodes
        before = simulated_nodes[0].view.home_version(REAL_NODE).sequence
        async with self._session.delete(self._target_url(target)) as response:
            response.raise_for_status()
        start = loop.time()
        limit = start + JOIN_TIMEOUT.total_seconds()
        while self._fleet.count_nodes_knowing(REAL_NODE, before + 1) < len(
            simulated_nodes
        ):
            if loop.time() > limit:
                raise exceptions.UnavailableError(
                    "a change did not reach all nodes in time"
                )
            await asyncio.sleep(POLL_INTERVAL.total_seconds())
        seconds = loop.time() - start
        await self._renew_lease(target)
        await asyncio.sleep(2)
        return seconds

    async def _measure_restart(self) -> tuple[NodeLoad, float]:
        loop = asyncio.get_running_loop()
        count = max(1, round(len(self._fleet.nodes) * RESTARTED_SHARE))
        start = loop.time()
        before = await self._read_counters()
        await self._fleet.restart(count, RESTART_DURATION)
        await self._wait_for_complete_view()
        seconds = loop.time() - start
        load = self._load_between(before, await self._read_counters())
        return load, round(seconds, 2)

    async def _measure_load(self, seconds: float) -> NodeLoad:
        before = await self._read_counters()
        await asyncio.sleep(seconds)
        return self._load_between(before, await self._read_counters())

    def _load_between(self, before: _Counters, after: _Counters) -> NodeLoad:
        seconds = after.time - before.time
        ticks = os.sysconf("SC_CLK_TCK")
        cpu = (after.ticks - before.ticks) / ticks / seconds * 100
        return NodeLoad(
            round(cpu, 2),
            round(_read_rss_bytes(self._pid) / 1e6, 1),
            round((after.gossip - before.gossip) / seconds, 1),
            round((after.link - before.link) / seconds, 1),
            round((after.renewal - before.renewal) / seconds, 1),
        )

    async def _read_counters(self) -> _Counters:
        members = await self._query_members()
        return _Counters(
            _read_cpu_ticks(self._pid),
            members["datagram_bytes_sent"] + members["datagram_bytes_received"],
            self._fleet.link_bytes,
            self._renewal_bytes,
            asyncio.get_running_loop().time(),
        )

    async def _query_members(self) -> dict[str, Any]:
        url = f"http://{self._listening_line['operators']}/v1/members"
        async with self._session.get(url) as response:
            members: dict[str, Any] = await response.json()
            return members

    async def _is_ready(self) -> bool:
        url = f"http://{self._listening_line['operators']}/readyz"
        async with self._session.get(url) as response:
            return response.status == 200

    async def _renew_all(self) -> None:
        """Renews the leases of the real node's targets, each in its own task.

        Renewed sequentially, leases would expire at fleet sizes where this
        process is busy with the simulated nodes.
        """
        async with asyncio.TaskGroup() as group:
            for number, target in enumerate(self._own_targets):
                group.create_task(self._renew_periodically(target, number))

    async def _renew_periodically(self, target: str, number: int) -> None:
        loop = asyncio.get_running_loop()
        period = LEASE_DURATION.total_seconds() / 3
        due = loop.time() + period * number / len(self._own_targets)
        while True:
            await asyncio.sleep(due - loop.time())
            await self._renew_lease(target)
            due = max(due + period, loop.time())

    def _target_url(self, target: str) -> str:
        return f"http://{self._listening_line['targets']}/v1/targets/{target}"

    async def _renew_lease(self, target: str) -> None:
        body = json.dumps(
            {
                "service": control_fleet.service_of(target),
                "address": "http://127.0.0.1:1",
                "incarnation": 1,
                "lease_ms": int(LEASE_DURATION.total_seconds() * 1000),
            }
        )
        async with self._session.put(
            self._target_url(target), data=body
        ) as response:
            response_body = await response.read()
            sent = response.request_info.headers
            got = response.raw_headers
        header_bytes = sum(
            len(key) + len(value) + 4 for key, value in sent.items()
        )
        header_bytes += sum(len(key) + len(value) + 4 for key, value in got)
        start_line_bytes = len(f"PUT {target} HTTP/1.1") + len(
            "/v1/targets/HTTP/1.1 200"
        )
        self._renewal_bytes += (
            header_bytes + start_line_bytes + len(body) + len(response_body)
        )


def _write_settings(folder: str, url: str) -> str:
    region, zone = control_fleet.REAL_ZONE
    values = {
        "name": REAL_NODE,
        "region": region,
        "zone": zone,
        "platform": url,
    }
    file = pathlib.Path(folder, "node.yaml")
    file.write_text(yaml.safe_dump(values), encoding="utf-8")
    return str(file)


async def _serve_platform(
    stack: contextlib.AsyncExitStack, objects: platform.ObjectStore
) -> str:
    application = platform.PlatformStandin(objects).make_application()
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return f"http://127.0.0.1:{runner.addresses[0][1]}"


def _store_configuration(objects: platform.ObjectStore) -> None:
    for number in range(control_fleet.SERVICE_COUNT):
        spec = {"slots": 3, "floor_slots": 20}
        _put_object(objects, store.SERVICE, f"service-{number:03}", spec)
    routes = [
        {
            "host": f"firm-{number % 40}.example",
            "prefix": f"/area-{number}",
            "service": f"service-{number % control_fleet.SERVICE_COUNT:03}",
        }
        for number in range(_ROUTES.value)
    ]
    for start in range(0, len(routes), ROUTES_PER_GROUP):
        part = routes[start : start + ROUTES_PER_GROUP]
        name = f"group-{start}"
        _put_object(objects, store.ROUTE_GROUP, name, {"routes": part})
    for start in range(0, _WORKSPACES.value, WORKSPACES_PER_SHARD):
        names = range(
            start, min(start + WORKSPACES_PER_SHARD, _WORKSPACES.value)
        )
        workspaces = {
            f"workspace-{number}": {"firm": f"firm-{number % 40}"}
            for number in names
        }
        spec_shard = {"workspaces": workspaces}
        _put_object(
            objects, store.WORKSPACE_SHARD, f"shard-{start}", spec_shard
        )


def _put_object(
    objects: platform.ObjectStore, kind: str, name: str, spec: dict[str, Any]
) -> None:
    envelope = store.Envelope(spec=spec, operation="bench", version=1)
    objects.put(kind, name, envelope.model_dump(mode="json"), 0)


async def _discard_lines(stream: asyncio.StreamReader) -> None:
    while await stream.readline():
        pass


def _read_cpu_ticks(pid: int) -> int:
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    fields = stat.rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


def _read_rss_bytes(pid: int) -> int:
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text(encoding="utf-8")
    return int(pages.split()[1]) * os.sysconf("SC_PAGE_SIZE")
