"""The processes of one soak run.

Starts, breaks and restarts the platform stand-in, nodes and targets, and the
relays in front of the nodes.
"""

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

# A restarted process binds its old ports again. Outgoing connections use
# 127.0.0.1 as their local address, so that none of them can occupy these ports
# while the process is down.
LISTEN_ADDRESS = "127.0.0.2"
ZONES = ("andina-a", "andina-b", "caribe-a", "caribe-a")
SERVICE = "ledger"
SERVICE_LIMIT_MS = 3000
# Time limits of the routes of look-ups; 0 is that of the service. There are
# several routes because a node with its target beside it learns by route which
# requests are callers', so that it knows few of them after a start.
LOOKUP_LIMITS_MS = {
    "/look/a": 0,
    "/look/b": 0,
    "/look/c": 0,
    "/look/d": 0,
    "/look/e": 1000,
    "/look/f": 2000,
}
RETRY_PERCENT = 20
RETRY_RESERVE = 40
CONFIGURATION: dict[str, Any] = {
    "services": {
        SERVICE: {
            "slots": 4,
            "timeout_ms": SERVICE_LIMIT_MS,
            "retry_percent": RETRY_PERCENT,
            "retry_reserve": RETRY_RESERVE,
        }
    },
    "route_groups": {
        "soak": {
            "routes": [
                {"service": SERVICE, "repeat": "always"},
                {"service": SERVICE, "prefix": "/once", "repeat": "never"},
                *(
                    {
                        "service": SERVICE,
                        "prefix": prefix,
                        "repeat": "always",
                        "timeout_ms": limit_ms,
                    }
                    for prefix, limit_ms in LOOKUP_LIMITS_MS.items()
                ),
            ]
        }
    },
}
_LISTENERS = ("callers", "targets", "nodes", "operators")
STOP_TIMEOUT_SECONDS = 6.0
# Longer than the longest graceful stop plus a pause of the process.
EXIT_TIMEOUT_SECONDS = 20.0


class Fleet:
    """The processes of one run."""

    def __init__(
        self,
        folder: pathlib.Path,
        other_release: pathlib.Path | None = None,
        *,
        has_local_targets: bool = False,
    ) -> None:
        """Creates the fleet without starting processes.

        Args:
          folder: receives the logs of all processes.
          other_release: checkout of another release, which every second node
            runs; None runs this release only.
          has_local_targets: whether each node has the only target of its VM
            beside it, and calls inherit priorities and time limits.
        """
        self._folder = folder
        self._other_release = other_release
        self._has_local_targets = has_local_targets
        self._stack = contextlib.AsyncExitStack()
        # Closed last: processes write logs until they exit.
        self._log_files = contextlib.ExitStack()
        self._children = children.ChildProcesses()
        self._settings: dict[str, dict[str, Any]] = {}
        self._locks: dict[str, asyncio.Lock] = collections.defaultdict(
            asyncio.Lock
        )
        self._logs: dict[str, Any] = {}
        self.run_counts: collections.Counter[str] = collections.Counter()
        self.start_counts: collections.Counter[str] = collections.Counter()
        self.processes: dict[str, children.ChildProcess] = {}
        self.relays: dict[str, relay.Relay] = {}

    async def __aenter__(self) -> "Fleet":
        await self._stack.enter_async_context(self._children)
        return self

    async def __aexit__(self, *error: object) -> None:
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGKILL)
        await self._stack.aclose()
        self._log_files.close()

    @property
    def nodes(self) -> list[str]:
        """Names of the nodes."""
        return list(self.relays)

    @property
    def targets(self) -> list[str]:
        """Names of the targets."""
        count = (
            schedules.NODE_COUNT
            if self._has_local_targets
            else schedules.TARGET_COUNT
        )
        return [f"target-{number}" for number in range(count)]

    @property
    def platform_url(self) -> str:
        """URL of the platform stand-in."""
        return "http://" + str(
            self.processes["platform"].listening_line["address"]
        )

    def caller_urls(self) -> dict[str, str]:
        """Returns the callers' URL of each node."""
        return {
            name: "http://" + self._settings[name]["callers"]
            for name in self.nodes
        }

    def operator_url(self, node: str) -> str:
        """Returns the operators' URL of a node."""
        return "http://" + str(self._settings[node]["operators"])

    async def start(self) -> None:
        """Starts all processes and submits a configuration."""
        self.processes["platform"] = await self._children.start(
            "platform", "standin", "platform", f"--address={LISTEN_ADDRESS}"
        )
        self._follow_log("platform")
        for number in range(schedules.NODE_COUNT):
            await self._create_node(f"node-{number}", ZONES[number])
        await asyncio.gather(
            *(self.start_target(name) for name in self.targets)
        )
        await self.submit(CONFIGURATION, "first")
        await self.call_platform_control("backup")

    async def _create_node(self, name: str, zone: str) -> None:
        node_relay = relay.Relay()
        await self._stack.enter_async_context(node_relay)
        self.relays[name] = node_relay
        self._settings[name] = {
            "name": name,
            "region": zone.rpartition("-")[0],
            "zone": zone,
            "platform": self.platform_url,
            "nodes_advertised": node_relay.address,
            "log_level": "info",
            "limits": {"stop_seconds": STOP_TIMEOUT_SECONDS},
            **{listener: self._reserve_address() for listener in _LISTENERS},
        }
        if self._has_local_targets:
            self._settings[name] |= {
                "beside": {
                    "service": SERVICE,
                    "address": self._reserve_address(),
                },
                "overload": {"inherited_priority": True},
            }
        await self.start_node(name)
        node_relay.upstream = self._settings[name]["nodes"]

    def _reserve_address(self) -> str:
        return self._stack.enter_context(
            children.reserved_address(LISTEN_ADDRESS)
        )

    async def start_node(self, name: str) -> None:
        """Starts a node at its addresses, unless it is running."""
        async with self._locks[name]:
            if self.is_running(name):
                return
            self.start_counts[name] += 1
            self.processes[name] = await self._children.start_node(
                self._settings[name], self._checkout(name)
            )
            self._follow_log(name)

    def _checkout(self, name: str) -> pathlib.Path | None:
        """Returns a node's checkout: at even numbers None, this release."""
        is_even = int(name.rpartition("-")[2]) % 2 == 0
        return None if is_even else self._other_release

    async def start_target(self, name: str) -> None:
        """Starts a target, unless it is running.

        It prefers one node, or has only that one if targets are local.
        """
        async with self._locks[name]:
            if self.is_running(name):
                return
            first_node = int(name.rpartition("-")[2]) % schedules.NODE_COUNT
            addresses = [self._settings[node]["targets"] for node in self.nodes]
            ordered = addresses[first_node:] + addresses[:first_node]
            port = "0"
            if self._has_local_targets:
                ordered = ordered[:1]
                local_target = self._settings[self.nodes[first_node]]["beside"]
                port = local_target["address"].rpartition(":")[2]
            self.processes[name] = await self._children.start(
                name,
                "standin",
                "target",
                f"--address={LISTEN_ADDRESS}",
                f"--port={port}",
                f"--name={name}",
                f"--service={SERVICE}",
                f"--nodes={','.join(ordered)}",
            )
            self._follow_log(name)

    def is_running(self, name: str) -> bool:
        """Whether a process has been started and has not exited."""
        process = self.processes.get(name)
        return process is not None and process.is_running

    async def stop(self, name: str) -> int | None:
        """Stops a process gracefully; returns None if it does not exit."""
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_SECONDS):
                return await process.wait()
        except TimeoutError:
            return None

    def reload(self, name: str) -> None:
        """Changes a node's settings file and sends SIGHUP to reload it."""
        level = (
            "debug" if self._settings[name]["log_level"] == "info" else "info"
        )
        self._settings[name]["log_level"] = level
        self._children.write_settings(self._settings[name])
        self.processes[name].send_signal(signal.SIGHUP)

    async def submit(
        self, configuration: dict[str, Any], file_stem: str
    ) -> None:
        """Submits by the command line; conflicts and failures are ignored."""
        file = self._folder / f"{file_stem}.yaml"
        file.write_text(yaml.safe_dump(configuration))
        process = await children.spawn(
            "main", "submit", str(file), f"--platform={self.platform_url}"
        )
        output, _ = await process.communicate()
        (self._folder / f"{file_stem}.out").write_bytes(output)

    async def call_platform_control(self, action: str) -> None:
        """Calls a control path of the platform stand-in."""
        await self._call("POST", f"{self.platform_url}/standin/{action}", None)

    async def set_platform_faults(self, *faults: dict[str, Any]) -> None:
        """Replaces all faults of the platform stand-in."""
        url = f"{self.platform_url}/standin/fault"
        await self._call("PUT", url, {"faults": list(faults)})

    async def set_target_fault(self, name: str, **fault: Any) -> None:
        """Sets the fault of a target; without arguments, clears it."""
        if self.is_running(name):
            address = self.processes[name].listening_line["address"]
            url = f"http://{address}/standin/fault"
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                # It was just killed or paused; a restart clears the fault.
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

    def _follow_log(self, name: str) -> None:
        """Writes a process's log to a file and counts the work that runs."""
        if name not in self._logs:
            self._logs[name] = self._log_files.enter_context(
                (self._folder / f"{name}.log").open("a")
            )

        def handle_line(line: dict[str, Any]) -> None:
            self._logs[name].write(json.dumps(line) + "\n")
            if line.get("message") == "work runs" and line.get("work"):
                self.run_counts[line["work"]] += 1

        self.processes[name].follow(handle_line)
