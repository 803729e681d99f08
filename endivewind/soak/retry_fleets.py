"""The processes of one run that counts repeats: the platform and the nodes.

A target of this process stands beside each node. Nodes have the settings of
`deploy/`, and with `own_addresses` an IP address of their own, as on VMs.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import pathlib
import random
import signal
from typing import IO
from typing import Any

import aiohttp

from endivewind import exceptions
from endivewind.commands import children
from endivewind.platform import names
from endivewind.soak import calling_targets
from endivewind.soak import retry_checks

PLATFORM_HOST = "127.0.0.2"
# Of nodes and targets without addresses of their own.
HOST_OF_NODES = "127.0.0.3"
HOST_OF_TARGETS = "127.0.0.4"
HOST_OF_CALLERS = "127.0.2.1"
# Nodes that start at the same time; each keeps a core busy for a second.
STARTS_AT_ONCE = 16
READY_TIMEOUT_SECONDS = 60.0
_LISTENERS = ("callers", "targets", "nodes", "operators")
# A node takes all of 127.0.0.0/8 for its own VM. Here the addresses in it are
# those of different VMs.
_TELL_LOOPBACK_ADDRESSES_APART = (
    "from endivewind.callers import target_calls; "
    "target_calls._LOOPBACK_PREFIXES = ()"
)

_LIMIT_DESCRIPTORS = (
    "import resource; resource.setrlimit(resource.RLIMIT_NOFILE, ({0}, {0}))"
)


@dataclasses.dataclass(eq=False, slots=True)
class Node:
    """A node and the target beside it.

    Attributes:
      name: its name.
      service: the target's service.
      settings: of its process.
      target: the target.
      process: its last process; None before the first start.
    """

    name: str
    service: str
    settings: dict[str, Any]
    target: calling_targets.CallingTarget
    process: children.ChildProcess | None = None

    def send_signal(self, number: int) -> None:
        """Sends a signal to its process, if it runs."""
        if self.process is not None:
            self.process.send_signal(number)


class Fleet:
    """The processes of one run, and the targets.

    Attributes:
      nodes: the nodes that have not left for good.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        zones: dict[str, str],
        bounds: retry_checks.Bounds,
        behavior: calling_targets.Behavior,
        rng: random.Random,
        *,
        has_own_addresses: bool = False,
        release: pathlib.Path | None = None,
        descriptors: int | None = None,
        memory_megabytes: int = 300,
    ) -> None:
        """Creates the fleet without starting processes.

        Args:
          folder: receives the logs of all processes.
          zones: the region of each availability zone.
          bounds: limits that the nodes are to keep.
          behavior: of the targets.
          rng: selects nodes.
          has_own_addresses: whether each node has an IP address of its own.
          release: checkout whose code all nodes run; None runs this one.
          descriptors: file descriptors that each node may open; None leaves
            the limit as it is.
          memory_megabytes: memory of each node's VM.
        """
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._zones = zones
        self._bounds = bounds
        self._behavior = behavior
        self._rng = rng
        self._has_own_addresses = has_own_addresses
        self._release = release
        self._memory_megabytes = memory_megabytes
        self._preparation = "\n".join(
            [
                _TELL_LOOPBACK_ADDRESSES_APART if has_own_addresses else "",
                _LIMIT_DESCRIPTORS.format(descriptors) if descriptors else "",
            ]
        )
        self._children = children.ChildProcesses()
        self._stack = contextlib.AsyncExitStack()
        self._starting = asyncio.Semaphore(STARTS_AT_ONCE)
        self._numbers = itertools.count(1)
        self._all_nodes: list[Node] = []
        self._platform: children.ChildProcess
        self._session: aiohttp.ClientSession
        self.nodes: list[Node] = []

    async def __aenter__(self) -> "Fleet":
        await self._stack.enter_async_context(self._children)
        self._session = await self._stack.enter_async_context(
            aiohttp.ClientSession()
        )
        return self

    async def __aexit__(self, *error: object) -> None:
        for node in self._all_nodes:
            node.send_signal(signal.SIGKILL)
        self._platform.send_signal(signal.SIGKILL)
        try:
            await asyncio.gather(
                *(node.target.close() for node in self._all_nodes)
            )
        finally:
            await self._stack.aclose()

    @property
    def platform(self) -> children.ChildProcess:
        """The process of the platform stand-in."""
        return self._platform

    async def start(
        self,
        services: list[str],
        configuration: dict[str, Any],
    ) -> None:
        """Starts all processes; returns when all nodes are ready.

        Args:
          services: the service of each node's target.
          configuration: what operators write first.
        """
        self._platform = await self._children.start(
            "platform", "standin", "platform", f"--address={PLATFORM_HOST}"
        )
        self._follow_log("platform", self._platform)
        await self.write_configuration(configuration)
        zones = itertools.cycle(self._zones)
        self.nodes = [
            self._add_node(service, zone)
            for service, zone in zip(services, zones, strict=False)
        ]
        starts = [
            asyncio.create_task(self.start_node(node)) for node in self.nodes
        ]
        try:
            await asyncio.gather(*starts)
        finally:
            # The others must not read from processes that are being stopped.
            for start in starts:
                start.cancel()
            await asyncio.gather(*starts, return_exceptions=True)
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            await asyncio.gather(*map(self._wait_until_ready, self.nodes))

    async def write_configuration(self, configuration: dict[str, Any]) -> None:
        """Writes the configuration as operators do."""
        objects = names.OBJECTS_PATH.format(kind=names.CONFIGURATION_KIND)
        url = self._platform_url + objects
        async with self._session.post(url, json=configuration) as response:
            if response.status != 409:
                return
        url += "/" + names.CONFIGURATION_NAME
        async with self._session.put(url, json=configuration):
            pass

    @property
    def _platform_url(self) -> str:
        return "http://" + str(self._platform.listening_line["address"])

    def _add_node(self, service: str, zone: str) -> Node:
        number = next(self._numbers)
        name = f"sidecar-{zone}-{number}"
        host, target_host = HOST_OF_NODES, HOST_OF_TARGETS
        if self._has_own_addresses:
            host = f"127.0.{3 + number // 250}.{1 + number % 250}"
            target_host = host
        address = self._reserve_address(target_host)
        listeners = {
            listener: self._reserve_address(host) for listener in _LISTENERS
        }
        settings = {
            "name": name,
            "region": self._zones[zone],
            "zone": zone,
            "zones": self._zones,
            "platform": self._platform_url,
            **listeners,
            "readiness": self._reserve_address(target_host),
            "interface": "platform",
            "once": "request-id",
            "audit": "log",
            "log_level": "info",
            "beside": {
                "service": service,
                "address": address,
                "heartbeat_seconds": calling_targets.HEARTBEAT_SECONDS,
            },
            "fleet_limits": {
                "retry_share": self._bounds.retry_share,
                "retry_reserve": self._bounds.retry_reserve,
                "retry_window_seconds": self._bounds.window_seconds,
                "floor_share": 0.7,
            },
            "overload": {
                "inherited_priority": True,
                "memory_megabytes": self._memory_megabytes,
            },
            "limits": {"grace_seconds": 6.0, "notice_seconds": 2.5},
        }

        target = calling_targets.CallingTarget(
            f"i-{number}",
            service,
            address,
            self._behavior,
            calling_targets.NodeAddresses(
                listeners["callers"], listeners["targets"]
            ),
        )
        node = Node(name, service, settings, target)
        self._all_nodes.append(node)
        return node

    def _reserve_address(self, host: str) -> str:
        return self._stack.enter_context(children.reserved_address(host))

    async def start_node(self, node: Node) -> None:
        """Starts a node and its target."""
        async with self._starting:
            node.process = await self._children.start_node(
                node.settings, self._release, self._preparation
            )
        self._follow_log(node.name, node.process)
        await node.target.start()

    async def replace_node(self, node: Node) -> None:
        """Starts a new node in the place of one that is gone."""
        new = self._add_node(node.service, str(node.settings["zone"]))
        self.nodes[self.nodes.index(node)] = new
        await self.start_node(new)

    def sample(self, share: float) -> list[Node]:
        """Returns a share of the nodes, at least one."""
        count = max(1, round(share * len(self.nodes)))
        return self._rng.sample(self.nodes, count)

    async def _wait_until_ready(self, node: Node) -> None:
        url = f"http://{node.settings['readiness']}{names.READY_PATH}"
        while True:
            try:
                async with self._session.get(url) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError as error:
                raise exceptions.EndivewindError(
                    f"{node.name} ended: {error}"
                ) from error
            await asyncio.sleep(0.2)

    def _follow_log(self, name: str, process: children.ChildProcess) -> None:
        file: IO[str] = self._stack.enter_context(
            (self._folder / f"{name}.log").open("a")
        )

        def write(line: dict[str, Any]) -> None:
            if not file.closed:
                file.write(json.dumps(line) + "\n")

        process.follow(write)
