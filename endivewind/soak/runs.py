"""One run of the soak.

Callers send requests while the faults of a schedule are injected. Afterwards
the run checks the guarantees. `endivewind-bench soak` executes it.
"""

import asyncio
import collections
import copy
import dataclasses
import json
import pathlib
import random
import signal
from typing import Any

import aiohttp

from endivewind.operators import version_api
from endivewind.soak import callers
from endivewind.soak import checks
from endivewind.soak import fleets
from endivewind.soak import schedules
from endivewind.standins import relay

Kind = schedules.FaultKind

CALLER_COUNT = 6
POLL_INTERVAL_SECONDS = 0.5
# Time to recover after the last fault. A target's lease lasts two seconds, a
# suspected node counts as dead after four, and nodes that lost contact try to
# reach each other every ten.
RECOVERY_TIMEOUT_SECONDS = 25.0
PROBES_PER_NODE = 20
# A silent link or target is detected after some seconds. A short fault may end
# before that, so its effects on callers last until this long after its end.
DETECTION_SECONDS = 4.0
_STREAM_BREAKING_KINDS = frozenset(
    {
        Kind.NODE_KILLED,
        Kind.NODE_PAUSED,
        Kind.TARGET_KILLED,
        Kind.TARGET_PAUSED,
    }
)
# A node queries the others for two seconds before it responds to operators.
_OPERATOR_TIMEOUT_SECONDS = 4
_OBJECT_NAME = f"service/{fleets.SERVICE}"
_PLATFORM_FAULTS: dict[Kind, dict[str, Any]] = {
    Kind.PLATFORM_AWAY: {"mode": "outage"},
    Kind.PLATFORM_SLOW: {"mode": "slow", "delay_ms": 1500},
    Kind.PLATFORM_BUSY: {"mode": "busy"},
    Kind.PLATFORM_SILENT: {"mode": "silent"},
    Kind.PLATFORM_LOSES_ANSWERS: {"mode": "answer-lost"},
    Kind.PLATFORM_WRITES_LATE: {"mode": "late", "delay_ms": 1500},
}
_PLATFORM_ACTIONS = {
    Kind.PLATFORM_FORGETS: "compact",
    Kind.PLATFORM_EMPTIES: "empty",
    Kind.PLATFORM_RESTORES: "restore",
}
_TARGET_FAULTS: dict[Kind, dict[str, Any]] = {
    Kind.TARGET_FAILS: {"errors": 0.8},
    Kind.TARGET_HANGS: {"hang": True},
    Kind.TARGET_DRAINS: {"draining": True},
}
_LINK_FAULTS = {
    Kind.LINK_DEAF: ("to_upstream", relay.DirectionMode.DROP),
    Kind.LINK_MUTE: ("from_upstream", relay.DirectionMode.DROP),
    Kind.LINK_DELAYED: ("to_upstream", relay.DirectionMode.DELAY),
    Kind.LINK_DRIPS: ("from_upstream", relay.DirectionMode.DRIP),
}


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """Result of one run.

    Attributes:
      schedule: the executed schedule.
      requests: number of completed requests.
      answered: number of requests with a target's response.
      findings: violated guarantees; a run passes without any.
    """

    schedule: schedules.Schedule
    requests: int
    answered: int
    findings: tuple[checks.Finding, ...]


class SoakRun:
    """Executes one schedule and stops all processes that it starts."""

    def __init__(
        self,
        schedule: schedules.Schedule,
        folder: pathlib.Path,
        other_release: pathlib.Path | None = None,
    ) -> None:
        """Creates the run and its folder.

        Args:
          schedule: the faults.
          folder: receives the logs of all processes.
          other_release: checkout of another release, which every second node
            runs; None runs this release only.
        """
        folder.mkdir(parents=True, exist_ok=True)
        self._schedule = schedule
        self._folder = folder
        self._other_release = other_release
        self._findings: list[checks.Finding] = []
        self._outages: list[checks.Outage] = []
        self._stops: list[checks.NodeStop] = []
        self._versions: dict[str, list[int]] = collections.defaultdict(list)
        self._fleet: fleets.Fleet
        self._run_start = 0.0

    async def execute(self) -> RunResult:
        """Executes the schedule and checks the guarantees.

        Raises:
          exceptions.EndivewindError: the fleet did not start.
        """
        (self._folder / "schedule.json").write_text(self._schedule.to_json())
        async with fleets.Fleet(
            self._folder,
            self._other_release,
            has_local_targets=self._schedule.has_local_targets,
        ) as fleet:
            self._fleet = fleet
            await fleet.start()
            await self._wait_for_recovery()
            self._findings.clear()
            records = await self._run_with_faults()
            await self._wait_for_recovery()
            await self._wait_for_agreement()
            return self._check(records)

    async def _run_with_faults(self) -> list[checks.RequestRecord]:
        rng = random.Random(self._schedule.seed)
        self._run_start = asyncio.get_running_loop().time()
        urls = self._fleet.caller_urls()
        all_callers = [
            callers.Caller(f"c{number}", urls, random.Random(rng.random()))
            for number in range(CALLER_COUNT)
        ]
        tasks = [
            asyncio.create_task(item.run(self._run_start))
            for item in all_callers
        ]
        recording = asyncio.create_task(self._record_versions())
        await asyncio.gather(
            *(self._inject_fault(fault) for fault in self._schedule.faults)
        )
        await self._clear_faults()
        for item in all_callers:
            item.stop()
        await asyncio.gather(*tasks)
        recording.cancel()
        return [record for item in all_callers for record in item.records]

    async def _inject_fault(self, fault: schedules.Fault) -> None:
        """Starts one fault at its time and ends it after its duration."""
        await self._sleep_until(fault.at)
        group = fault.kind.value.partition("-")[0]
        if group == "link" or fault.kind in _STREAM_BREAKING_KINDS:
            detected_at = fault.ends_at + DETECTION_SECONDS
            outage = checks.Outage(
                checks.STREAMS_AT_ALL_NODES, fault.at, detected_at
            )
            self._outages.append(outage)
        match group:
            case "node":
                await self._node_fault(fault, self._subject(fault, "node"))
            case "target":
                await self._target_fault(fault, self._subject(fault, "target"))
            case "link":
                await self._link_fault(fault, self._subject(fault, "node"))
            case "platform":
                await self._platform_fault(fault)
            case _:
                await self._race_submits(fault)

    def _subject(self, fault: schedules.Fault, group: str) -> str:
        names = self._fleet.nodes if group == "node" else self._fleet.targets
        return names[fault.subject % len(names)]

    async def _node_fault(self, fault: schedules.Fault, name: str) -> None:
        fleet = self._fleet
        if not fleet.is_running(name):
            # Another fault has stopped it and will restart it.
            return
        match fault.kind:
            case Kind.NODE_RELOADS:
                fleet.reload(name)
            case Kind.NODE_PAUSED:
                await self._pause(fault, name)
            case Kind.NODE_KILLED:
                await self._kill(fault, name)
                await fleet.start_node(name)
            case _:
                await self._stop(fault, name)
                await fleet.start_node(name)

    async def _stop(self, fault: schedules.Fault, name: str) -> None:
        """Stops a node gracefully, or kills it if it does not exit."""
        started_at = self._now()
        code = await self._fleet.stop(name)
        self._stops.append(checks.NodeStop(name, started_at, self._now()))
        if code is None:
            self._add_finding(
                checks.Guarantee.NO_UNEXPECTED_EXIT,
                f"{name} did not stop on SIGTERM",
            )
            await self._kill(fault, name)
        await self._sleep_until(fault.ends_at)

    async def _target_fault(self, fault: schedules.Fault, name: str) -> None:
        if fault.kind is Kind.TARGET_PAUSED:
            await self._pause(fault, name)
        elif fault.kind is Kind.TARGET_KILLED:
            await self._kill(fault, name)
            await self._fleet.start_target(name)
        else:
            await self._fleet.set_target_fault(
                name, **_TARGET_FAULTS[fault.kind]
            )
            await self._sleep_until(fault.ends_at)
            await self._fleet.set_target_fault(name)

    async def _pause(self, fault: schedules.Fault, name: str) -> None:
        process = self._fleet.processes[name]
        process.send_signal(signal.SIGSTOP)
        await self._sleep_until(fault.ends_at)
        process.send_signal(signal.SIGCONT)

    async def _kill(self, fault: schedules.Fault, name: str) -> None:
        process = self._fleet.processes[name]
        killed_at = self._now()
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGKILL)
        await process.wait()
        await self._sleep_until(fault.ends_at)
        self._outages.append(checks.Outage(name, killed_at, self._now()))

    async def _link_fault(self, fault: schedules.Fault, name: str) -> None:
        node_relay = self._fleet.relays[name]
        if fault.kind is Kind.LINK_RESET:
            node_relay.abort_connections()
            return
        direction, mode = _LINK_FAULTS[fault.kind]
        setattr(node_relay, direction, mode)
        await self._sleep_until(fault.ends_at)
        setattr(node_relay, direction, relay.DirectionMode.PASS)

    async def _platform_fault(self, fault: schedules.Fault) -> None:
        action = _PLATFORM_ACTIONS.get(fault.kind)
        if action:
            await self._fleet.call_platform_control(action)
            return
        await self._fleet.set_platform_faults(_PLATFORM_FAULTS[fault.kind])
        await self._sleep_until(fault.ends_at)
        await self._fleet.set_platform_faults()

    async def _race_submits(self, fault: schedules.Fault) -> None:
        """Submits two different numbers of slots concurrently."""
        submits = []
        for number in (0, 1):
            changed = copy.deepcopy(fleets.CONFIGURATION)
            changed["services"][fleets.SERVICE]["slots"] = 4 + number
            name = f"submit-{round(100 * fault.at)}-{number}"
            submits.append(self._fleet.submit(changed, name))
        await asyncio.gather(*submits)

    async def _clear_faults(self) -> None:
        """Ends all faults; overlapping faults may have left some active."""
        fleet = self._fleet
        await fleet.set_platform_faults()
        for node_relay in fleet.relays.values():
            node_relay.to_upstream = node_relay.from_upstream = (
                relay.DirectionMode.PASS
            )
        for process in fleet.processes.values():
            process.send_signal(signal.SIGCONT)
        for name in fleet.targets:
            await fleet.start_target(name)
            await fleet.set_target_fault(name)
        for name in fleet.nodes:
            if not fleet.is_running(name):
                self._add_finding(
                    checks.Guarantee.NO_UNEXPECTED_EXIT,
                    f"{name} exited unexpectedly",
                )
                await fleet.start_node(name)

    async def _record_versions(self) -> None:
        """Records the version in force at each incarnation of a node."""
        timeout = aiohttp.ClientTimeout(total=_OPERATOR_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                for name in self._fleet.nodes:
                    start_count = self._fleet.start_counts[name]
                    version = await self._version_in_force(session, name)
                    # A new incarnation may have responded instead.
                    is_same_incarnation = (
                        start_count == self._fleet.start_counts[name]
                    )
                    if version is not None and is_same_incarnation:
                        self._versions[f"{name}.{start_count}"].append(version)
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _version_in_force(
        self, session: aiohttp.ClientSession, name: str
    ) -> int | None:
        """Returns the service's version at a node, None without a response."""
        url = self._fleet.operator_url(name)
        query = {"object": _OBJECT_NAME}
        try:
            async with session.get(
                url + version_api.PATH, params=query
            ) as response:
                status = await response.json()
                return int(status["nodes"][name][_OBJECT_NAME]["in_force"])
        except (TimeoutError, aiohttp.ClientError, KeyError):
            return None

    async def _wait_for_recovery(self) -> None:
        """Waits until each node serves PROBES_PER_NODE look-ups in a row."""
        end = self._now() + RECOVERY_TIMEOUT_SECONDS
        failure = "no probe was sent"
        while self._now() < end:
            failure = await self._find_failed_lookup()
            if not failure:
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        self._add_finding(checks.Guarantee.RECOVERY, failure)

    async def _find_failed_lookup(self) -> str:
        """Returns the first failed look-up at any node, or an empty string."""
        timeout = aiohttp.ClientTimeout(total=4)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for name, url in self._fleet.caller_urls().items():
                for _ in range(PROBES_PER_NODE):
                    try:
                        async with session.get(url + "/look") as response:
                            text = await response.text()
                            if response.status != 200:
                                return f"{name}: {response.status} {text}"
                    except (TimeoutError, aiohttp.ClientError) as error:
                        return f"{name}: {type(error).__name__} {error}"
        return ""

    async def _wait_for_agreement(self) -> None:
        """Waits until all nodes have the same version in force."""
        end = self._now() + RECOVERY_TIMEOUT_SECONDS
        versions: dict[str, int | None] = {}
        timeout = aiohttp.ClientTimeout(total=_OPERATOR_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while self._now() < end:
                versions = {
                    name: await self._version_in_force(session, name)
                    for name in self._fleet.nodes
                }
                if len(set(versions.values())) == 1 and all(versions.values()):
                    return
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
        self._add_finding(checks.Guarantee.CONVERGENCE, json.dumps(versions))

    def _check(self, records: list[checks.RequestRecord]) -> RunResult:
        run_counts = self._fleet.run_counts
        findings = [
            *self._findings,
            *checks.check_requests(records, run_counts, self._outages),
            *checks.check_limits(
                records, self._stops, fleets.STOP_TIMEOUT_SECONDS
            ),
            *checks.check_versions(self._versions),
            *checks.check_retries(
                records,
                run_counts,
                fleets.RETRY_PERCENT / 100,
                # The reserve applies to each window of ten seconds.
                fleets.RETRY_RESERVE * (1 + self._schedule.seconds / 10),
            ),
        ]
        lines = [json.dumps(dataclasses.asdict(item)) for item in records]
        (self._folder / "told.jsonl").write_text("\n".join(lines))
        answered_count = sum(item.status == 200 for item in records)
        return RunResult(
            self._schedule, len(records), answered_count, tuple(findings)
        )

    def _add_finding(self, guarantee: checks.Guarantee, detail: str) -> None:
        self._findings.append(checks.Finding(guarantee, detail))

    def _now(self) -> float:
        return asyncio.get_running_loop().time() - self._run_start

    async def _sleep_until(self, seconds: float) -> None:
        await asyncio.sleep(max(0.0, seconds - self._now()))
