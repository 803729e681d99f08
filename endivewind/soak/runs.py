"""One run of the soak: callers call while a schedule's faults come and go."""

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

from endivewind.operators import configuration
from endivewind.soak import callers
from endivewind.soak import checks
from endivewind.soak import fleets
from endivewind.soak import schedules
from endivewind.standins import relay

Kind = schedules.Kind

CALLERS = 6
LOOK_SECONDS = 0.5
# After the last fault: a lease of two seconds, a suspicion of four, a repair
# after ten; then the promises hold again.
RECOVERY_SECONDS = 25.0
PROBES = 20
# A silent link or target is given up after some seconds, also when the fault
# has ended before.
NOTICE_SECONDS = 4.0
_BREAKS_STREAMS = frozenset(
    {
        Kind.NODE_KILLED,
        Kind.NODE_PAUSED,
        Kind.TARGET_KILLED,
        Kind.TARGET_PAUSED,
    }
)
# A node asks the others for two seconds before it answers operators.
_ASK_SECONDS = 4
_OBJECT = f"service/{fleets.SERVICE}"
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
    Kind.LINK_DEAF: ("towards", relay.Mode.DROP),
    Kind.LINK_MUTE: ("back", relay.Mode.DROP),
    Kind.LINK_DELAYED: ("towards", relay.Mode.DELAY),
    Kind.LINK_DRIPS: ("back", relay.Mode.DRIP),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What one run has shown.

    Attributes:
      schedule: what was played.
      requests: how many ended, in all.
      answered: how many got a target's answer.
      findings: broken promises; a run without any is green.
    """

    schedule: schedules.Schedule
    requests: int
    answered: int
    findings: tuple[checks.Finding, ...]


class Run:
    """Plays one schedule; all it starts has ended afterwards."""

    def __init__(
        self,
        schedule: schedules.Schedule,
        folder: pathlib.Path,
        other_release: pathlib.Path | None = None,
    ) -> None:
        """Writes nothing yet.

        Args:
          schedule: the faults.
          folder: for the logs of all processes.
          other_release: checkout of another release, whose code every other
            node runs; None runs this release alone.
        """
        folder.mkdir(parents=True, exist_ok=True)
        self._schedule = schedule
        self._folder = folder
        self._other_release = other_release
        self._findings: list[checks.Finding] = []
        self._outages: list[checks.Outage] = []
        self._versions: dict[str, list[int]] = collections.defaultdict(list)
        self._fleet: fleets.Fleet
        self._began = 0.0

    async def play(self) -> Outcome:
        """Plays the schedule and checks what was seen.

        Raises:
          exceptions.EndivewindError: the fleet did not start.
        """
        (self._folder / "schedule.json").write_text(self._schedule.to_json())
        async with fleets.Fleet(self._folder, self._other_release) as fleet:
            self._fleet = fleet
            await fleet.start()
            await self._recovered()
            self._findings.clear()
            told = await self._under_faults()
            await self._recovered()
            await self._agreed()
            return self._check(told)

    async def _under_faults(self) -> list[checks.Told]:
        rng = random.Random(self._schedule.seed)
        self._began = asyncio.get_running_loop().time()
        urls = self._fleet.callers_urls()
        calling = [
            callers.Caller(f"c{number}", urls, random.Random(rng.random()))
            for number in range(CALLERS)
        ]
        tasks = [asyncio.create_task(item.run(self._began)) for item in calling]
        looking = asyncio.create_task(self._look())
        await asyncio.gather(
            *(self._fault(fault) for fault in self._schedule.faults)
        )
        await self._clear()
        for item in calling:
            item.stop()
        await asyncio.gather(*tasks)
        looking.cancel()
        return [told for item in calling for told in item.told]

    async def _fault(self, fault: schedules.Fault) -> None:
        """Begins one fault in time, waits, and ends it."""
        await self._until(fault.at)
        group = fault.kind.value.partition("-")[0]
        if group == "link" or fault.kind in _BREAKS_STREAMS:
            noticed = fault.ends + NOTICE_SECONDS
            outage = checks.Outage(checks.ANY, fault.at, noticed)
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
                await self._race(fault)

    def _subject(self, fault: schedules.Fault, group: str) -> str:
        count = schedules.NODES if group == "node" else schedules.TARGETS
        return f"{group}-{fault.subject % count}"

    async def _node_fault(self, fault: schedules.Fault, name: str) -> None:
        fleet = self._fleet
        if not fleet.is_running(name):
            # Another fault holds it down, and brings it back.
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
        """A planned stop; a process that does not end is ended at last."""
        code = await self._fleet.stop(name)
        if code is None:
            self._found(checks.Promise.EXIT, f"{name} does not stop")
            await self._kill(fault, name)
        await self._until(fault.ends)

    async def _target_fault(self, fault: schedules.Fault, name: str) -> None:
        if fault.kind is Kind.TARGET_PAUSED:
            await self._pause(fault, name)
        elif fault.kind is Kind.TARGET_KILLED:
            await self._kill(fault, name)
            await self._fleet.start_target(name)
        else:
            await self._fleet.target_fault(name, **_TARGET_FAULTS[fault.kind])
            await self._until(fault.ends)
            await self._fleet.target_fault(name)

    async def _pause(self, fault: schedules.Fault, name: str) -> None:
        process = self._fleet.processes[name]
        process.signal(signal.SIGSTOP)
        await self._until(fault.ends)
        process.signal(signal.SIGCONT)

    async def _kill(self, fault: schedules.Fault, name: str) -> None:
        process = self._fleet.processes[name]
        began = self._now()
        process.signal(signal.SIGCONT)
        process.signal(signal.SIGKILL)
        await process.ended()
        await self._until(fault.ends)
        self._outages.append(checks.Outage(name, began, self._now()))

    async def _link_fault(self, fault: schedules.Fault, name: str) -> None:
        before = self._fleet.relays[name]
        if fault.kind is Kind.LINK_RESET:
            before.cut()
            return
        direction, mode = _LINK_FAULTS[fault.kind]
        setattr(before, direction, mode)
        await self._until(fault.ends)
        setattr(before, direction, relay.Mode.PASS)

    async def _platform_fault(self, fault: schedules.Fault) -> None:
        action = _PLATFORM_ACTIONS.get(fault.kind)
        if action:
            await self._fleet.control(action)
            return
        await self._fleet.platform_faults(_PLATFORM_FAULTS[fault.kind])
        await self._until(fault.ends)
        await self._fleet.platform_faults()

    async def _race(self, fault: schedules.Fault) -> None:
        """Two operators submit different slots at once."""
        submits = []
        for number in (0, 1):
            wanted = copy.deepcopy(fleets.CONFIGURATION)
            wanted["services"][fleets.SERVICE]["slots"] = 4 + number
            name = f"submit-{round(100 * fault.at)}-{number}"
            submits.append(self._fleet.submit(wanted, name))
        await asyncio.gather(*submits)

    async def _clear(self) -> None:
        """Ends what overlapping faults have left behind."""
        fleet = self._fleet
        await fleet.platform_faults()
        for before in fleet.relays.values():
            before.towards = before.back = relay.Mode.PASS
        for process in fleet.processes.values():
            process.signal(signal.SIGCONT)
        for number in range(schedules.TARGETS):
            await fleet.start_target(f"target-{number}")
            await fleet.target_fault(f"target-{number}")
        for name in fleet.nodes:
            if not fleet.is_running(name):
                self._found(checks.Promise.EXIT, f"{name} has ended")
                await fleet.start_node(name)

    async def _look(self) -> None:
        """Writes down which version each start of a node has in force."""
        timeout = aiohttp.ClientTimeout(total=_ASK_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                for name in self._fleet.nodes:
                    start = self._fleet.starts[name]
                    version = await self._in_force(session, name)
                    # A start that came meanwhile may have answered instead.
                    same = start == self._fleet.starts[name]
                    if version is not None and same:
                        self._versions[f"{name}.{start}"].append(version)
                await asyncio.sleep(LOOK_SECONDS)

    async def _in_force(
        self, session: aiohttp.ClientSession, name: str
    ) -> int | None:
        """The service's version at a node; None where it does not answer."""
        url = self._fleet.operators_url(name)
        query = {"object": _OBJECT}
        try:
            async with session.get(
                url + configuration.PATH, params=query
            ) as response:
                answer = await response.json()
                return int(answer["nodes"][name][_OBJECT]["in_force"])
        except (TimeoutError, aiohttp.ClientError, KeyError):
            return None

    async def _recovered(self) -> None:
        """Waits until each node answers some look-ups in a row."""
        end = self._now() + RECOVERY_SECONDS
        failed = "no probe was sent"
        while self._now() < end:
            failed = await self._probe()
            if not failed:
                return
            await asyncio.sleep(LOOK_SECONDS)
        self._found(checks.Promise.RECOVERED, failed)

    async def _probe(self) -> str:
        """What fails of some look-ups at each node; empty if none does."""
        timeout = aiohttp.ClientTimeout(total=4)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for name, url in self._fleet.callers_urls().items():
                for _ in range(PROBES):
                    try:
                        async with session.get(url + "/look") as response:
                            text = await response.text()
                            if response.status != 200:
                                return f"{name}: {response.status} {text}"
                    except (TimeoutError, aiohttp.ClientError) as error:
                        return f"{name}: {type(error).__name__} {error}"
        return ""

    async def _agreed(self) -> None:
        """Waits until all nodes have the same version in force."""
        end = self._now() + RECOVERY_SECONDS
        versions: dict[str, int | None] = {}
        timeout = aiohttp.ClientTimeout(total=_ASK_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while self._now() < end:
                versions = {
                    name: await self._in_force(session, name)
                    for name in self._fleet.nodes
                }
                if len(set(versions.values())) == 1 and all(versions.values()):
                    return
                await asyncio.sleep(LOOK_SECONDS)
        self._found(checks.Promise.AGREED, json.dumps(versions))

    def _check(self, told: list[checks.Told]) -> Outcome:
        runs = self._fleet.runs
        findings = [
            *self._findings,
            *checks.of_requests(told, runs, self._outages),
            *checks.of_versions(self._versions),
            *checks.of_retries(
                told,
                runs,
                fleets.RETRY_PERCENT / 100,
                # The reserve counts in every window of ten seconds.
                fleets.RETRY_RESERVE * (1 + self._schedule.seconds / 10),
            ),
        ]
        lines = [json.dumps(dataclasses.asdict(item)) for item in told]
        (self._folder / "told.jsonl").write_text("\n".join(lines))
        answered = sum(item.status == 200 for item in told)
        return Outcome(self._schedule, len(told), answered, tuple(findings))

    def _found(self, promise: checks.Promise, detail: str) -> None:
        self._findings.append(checks.Finding(promise, detail))

    def _now(self) -> float:
        return asyncio.get_running_loop().time() - self._began

    async def _until(self, seconds: float) -> None:
        await asyncio.sleep(max(0.0, seconds - self._now()))
