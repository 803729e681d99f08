"""The processes of one run: platform, nodes and targets, and their relays."""

import asyncio
import collections
import contextlib
import json
import pathlib
import signal
from typing import Any

import aiohttp
import yaml

from endivewind import exceptions
from endivewind.commands import children
from endivewind.soak import schedules
from endivewind.standins import relay

# Processes that come back at their old ports listen where no connection of
# ours leaves from.
ADDRESS = "127.0.0.2"
ZONES = ("andina-a", "andina-b", "caribe-a", "caribe-a")
SERVICE = "ledger"
RETRY_PERCENT = 20
RETRY_RESERVE = 40
CONFIGURATION: dict[str, Any] = {
    "services": {
        SERVICE: {
            "slots": 4,
            "timeout_ms": 3000,
            "retry_percent": RETRY_PERCENT,
            "retry_reserve": RETRY_RESERVE,
        }
    },
    "route_groups": {
        "soak": {
            "routes": [
                {"service": SERVICE, "repeat": "always"},
                {"service": SERVICE, "prefix": "/once", "repeat": "never"},
            ]
        }
    },
}
_BOUND = ("callers", "targets", "nodes", "operators")
STOP_SECONDS = 6.0
# Above the longest planned stop, and what a paused process adds to it.
END_SECONDS = 20.0


class Fleet:
    """Starts, breaks and restarts the processes of one run."""

    def __init__(
        self, folder: pathlib.Path, other_release: pathlib.Path | None = None
    ) -> None:
        """Starts nothing yet.

        Args:
          folder: for the logs of all processes.
          other_release: checkout of another release, whose code every other
            node runs; None runs this release alone.
        """
        self._folder = folder
        self._other_release = other_release
        self._stack = contextlib.AsyncExitStack()
        # Closed last: processes write their logs until they have ended.
        self._files = contextlib.ExitStack()
        self._children = children.Children()
        self._settings: dict[str, dict[str, Any]] = {}
        self._locks: dict[str, asyncio.Lock] = collections.defaultdict(
            asyncio.Lock
        )
        self._logs: dict[str, Any] = {}
        self.runs: collections.Counter[str] = collections.Counter()
        self.starts: collections.Counter[str] = collections.Counter()
        self.processes: dict[str, children.Child] = {}
        self.relays: dict[str, relay.Relay] = {}

    async def __aenter__(self) -> "Fleet":
        await self._stack.enter_async_context(self._children)
        return self

    async def __aexit__(self, *error: object) -> None:
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        await self._stack.aclose()
        self._files.close()

    @property
    def nodes(self) -> list[str]:
        """Names of the nodes."""
        return list(self.relays)

    @property
    def platform_url(self) -> str:
        """URL of the platform's stand-in."""
        return "http://" + str(self.processes["platform"].listening["address"])

    def callers_urls(self) -> dict[str, str]:
        """Where callers reach each node."""
        return {
            name: "http://" + self._settings[name]["callers"]
            for name in self.nodes
        }

    def operators_url(self, node: str) -> str:
        """Where operators reach a node."""
        return "http://" + str(self._settings[node]["operators"])

    async def start(self) -> None:
        """Starts everything and puts a configuration in force."""
        self.processes["platform"] = await self._children.start(
            "platform", "standin", "platform", f"--address={ADDRESS}"
        )
        self._follow("platform")
        for number in range(schedules.NODES):
            await self._first_node(f"node-{number}", ZONES[number])
        await asyncio.gather(
            *(
                self.start_target(f"target-{number}")
                for number in range(schedules.TARGETS)
            )
        )
        await self.submit(CONFIGURATION, "first")
        await self.control("backup")

    async def _first_node(self, name: str, zone: str) -> None:
        before = relay.Relay()
        await self._stack.enter_async_context(before)
        self.relays[name] = before
        self._settings[name] = {
            "name": name,
            "region": zone.rpartition("-")[0],
            "zone": zone,
            "platform": self.platform_url,
            "nodes_advertised": before.address,
            "log_level": "info",
            "limits": {"stop_seconds": STOP_SECONDS},
            **dict.fromkeys(_BOUND, f"{ADDRESS}:0"),
        }
        await self.start_node(name)
        listening = self.processes[name].listening
        for part in _BOUND:
            self._settings[name][part] = listening[part]
        before.upstream = listening["nodes"]

    async def start_node(self, name: str) -> None:
        """Starts a node at its addresses, unless it runs."""
        async with self._locks[name]:
            if self.is_running(name):
                return
            self.starts[name] += 1
            self.processes[name] = await self._children.node(
                self._settings[name], self._checkout(name)
            )
            self._follow(name)

    def _checkout(self, name: str) -> pathlib.Path | None:
        """Whose code a node runs: that of this release at even numbers."""
        is_even = int(name.rpartition("-")[2]) % 2 == 0
        return None if is_even else self._other_release

    async def start_target(self, name: str) -> None:
        """Starts a target, unless it runs; it prefers its own node."""
        async with self._locks[name]:
            if self.is_running(name):
                return
            first = int(name.rpartition("-")[2]) % schedules.NODES
            addresses = [self._settings[node]["targets"] for node in self.nodes]
            ordered = addresses[first:] + addresses[:first]
            self.processes[name] = await self._children.start(
                name,
                "standin",
                "target",
                f"--address={ADDRESS}",
                f"--name={name}",
                f"--service={SERVICE}",
                f"--nodes={','.join(ordered)}",
            )
            self._follow(name)

    def is_running(self, name: str) -> bool:
        """Whether a process has been started and has not ended."""
        known = self.processes.get(name)
        return known is not None and known.running

    async def stop(self, name: str) -> int | None:
        """Has a process stop as planned; its exit code, None if it hangs."""
        process = self.processes[name]
        process.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(END_SECONDS):
                return await process.ended()
        except TimeoutError:
            return None

    def reload(self, name: str) -> None:
        """Changes a node's settings file, and tells it by SIGHUP."""
        level = (
            "debug" if self._settings[name]["log_level"] == "info" else "info"
        )
        self._settings[name]["log_level"] = level
        self._children.write_settings(self._settings[name])
        self.processes[name].signal(signal.SIGHUP)

    async def submit(self, configuration: dict[str, Any], name: str) -> None:
        """Submits by the command line; a conflict or failure is no news."""
        file = self._folder / f"{name}.yaml"
        file.write_text(yaml.safe_dump(configuration))
        process = await children.spawn(
            "main", "submit", str(file), f"--platform={self.platform_url}"
        )
        output, _ = await process.communicate()
        (self._folder / f"{name}.out").write_bytes(output)

    async def control(self, action: str) -> None:
        """Uses the control path of the platform's stand-in."""
        await self._call("POST", f"{self.platform_url}/standin/{action}", None)

    async def platform_faults(self, *faults: dict[str, Any]) -> None:
        """Sets all faults of the platform's stand-in."""
        url = f"{self.platform_url}/standin/fault"
        await self._call("PUT", url, {"faults": list(faults)})

    async def target_fault(self, name: str, **fault: Any) -> None:
        """Sets the fault of a target's requests; none clears it."""
        if self.is_running(name):
            address = self.processes[name].listening["address"]
            url = f"http://{address}/standin/fault"
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                # Killed or paused just now: it starts anew without a fault.
                await self._call("PUT", url, fault)

    async def _call(self, method: str, url: str, body: Any) -> None:
        timeout = aiohttp.ClientTimeout(total=2)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, json=body) as response,
        ):
            if response.status >= 400:
                raise exceptions.EndivewindError(
                    f"{method} {url}: {response.status}"
                )

    def _follow(self, name: str) -> None:
        """Keeps a process's log, and counts the work that a target runs."""
        if name not in self._logs:
            self._logs[name] = self._files.enter_context(
                (self._folder / f"{name}.log").open("a")
            )

        def take(line: dict[str, Any]) -> None:
            self._logs[name].write(json.dumps(line) + "\n")
            if line.get("message") == "work runs" and line.get("work"):
                self.runs[line["work"]] += 1

        self.processes[name].follow(take)
