"""One run that counts repeats at targets while targets and nodes fail.

`endivewind-bench retries` executes it.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import enum
import json
import pathlib
import random
import signal

import aiohttp

from endivewind.platform import names
from endivewind.platform import standin_messages
from endivewind.soak import calling_targets
from endivewind.soak import checks
from endivewind.soak import retry_checks
from endivewind.soak import retry_fleets

HOST = "shop.example"
# Each service calls the next one. Callers send to the first two.
SERVICES = ("catalog", "ledger", "archive")
CALL_PREFIXES = {"ledger": "/inner/", "archive": "/deep/"}
ZONES = {
    f"zone-{letter}": f"region-{n // 2}" for n, letter in enumerate("abcdef")
}
# Until a node has run for a window it has a part of its retries.
WARM_UP_SECONDS = 12.0
# Service, path prefix and method of callers' requests, with their shares.
REQUEST_SHARES = {
    ("ledger", "/ledger/", "GET"): 0.3,
    ("catalog", "/orders/", "POST"): 0.15,
    ("catalog", "/catalog/", "GET"): 0.55,
}
RESENDS = 2
RESEND_INTERVAL_SECONDS = 0.2
TIME_LIMIT_SECONDS = 6.0
SHORT_TIME_LIMITS = (0.5, 2.5)
# Callers wait somewhat longer than the time limit that they name.
CALLER_MARGIN_SECONDS = 1.0
CRASHING_INTERVAL_SECONDS = 1.5
CHANGE_INTERVAL_SECONDS = 1.5
STOP_INTERVAL_SECONDS = 1.3
RELEASE_INTERVAL_SECONDS = 0.5
PAUSE_SECONDS = 3.0
# Longer than any time limit, so that a target goes on with requests that its
# node has given up.
TARGET_PAUSE_SECONDS = 9.0
SERVING_AFTER_STOP_SECONDS = 4.0


class Trouble(enum.StrEnum):
    """What disturbs the fleet, apart from targets that fail.

    CRASHING_REQUEST: a request that ends each target that runs it comes to one
    node after the other. KILLED, PAUSED, REPLACED_NODES: half of the nodes, at
    times; replaced ones come back under new names. STOPPED_NODES: SIGTERM to
    one node after the other, each replaced by a new one. RELEASE: one
    target after the other deregisters, works on for a while and starts again
    under a new id. CONFIGURATION_CHANGES, PLATFORM_SILENT: of the platform.
    SHORT_TIME_LIMITS, RESENDING_CALLERS: of the callers.
    """

    CRASHING_REQUEST = "crashing-request"
    KILLED_NODES = "killed-nodes"
    PAUSED_NODES = "paused-nodes"
    PAUSED_TARGETS = "paused-targets"
    REPLACED_NODES = "replaced-nodes"
    STOPPED_NODES = "stopped-nodes"
    RELEASE = "release"
    CONFIGURATION_CHANGES = "configuration-changes"
    PLATFORM_SILENT = "platform-silent"
    SHORT_TIME_LIMITS = "short-time-limits"
    RESENDING_CALLERS = "resending-callers"


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """What happens in a run.

    Attributes:
      seed: of all random choices.
      failures: how targets fail after the warm-up.
      troubles: what else happens then.
      services: number of services; each calls the next one.
      nodes: number of nodes.
      requests_per_second: of callers.
      seconds: how long targets fail.
      retry_reserve: repeats that each service is allowed in a window, besides
        a share of its requests.
      has_own_addresses: whether each node has an IP address of its own.
    """

    seed: int
    failures: frozenset[calling_targets.Failure] = frozenset(
        {calling_targets.Failure.ERRORS}
    )
    troubles: frozenset[Trouble] = frozenset()
    services: int = 2
    nodes: int = 24
    requests_per_second: float = 25.0
    seconds: float = 33.0
    retry_reserve: float = 58.0
    has_own_addresses: bool = False

    @property
    def bounds(self) -> retry_checks.Bounds:
        """The limits that the fleet is to keep."""
        return retry_checks.Bounds(0.2, self.retry_reserve, 10.0, 4.0, 3)

    def __str__(self) -> str:
        parts = [
            *sorted(self.failures),
            *sorted(self.troubles),
            f"{self.services} services",
            f"{self.nodes} nodes",
        ]
        if self.has_own_addresses:
            parts.append("own addresses")
        return f"seed {self.seed} ({', '.join(parts)})"


def draw(seed: int) -> Scenario:
    """Returns the scenario of a seed."""
    rng = random.Random(seed)
    return Scenario(
        seed,
        frozenset({rng.choice(list(calling_targets.Failure))}),
        frozenset(rng.sample(list(Trouble), rng.randint(0, 3))),
        services=rng.choice((2, 2, 3)),
        has_own_addresses=rng.random() < 0.5,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """Result of one run.

    Attributes:
      scenario: what happened.
      windows: the worst window of each service.
      crashes: path, crashes and late arrivals of each crashing request.
      statuses: number of responses to callers by status; 0 for none.
      findings: violated guarantees; a run passes without any.
    """

    scenario: Scenario
    windows: dict[str, retry_checks.Window]
    crashes: list[tuple[str, int, int]]
    statuses: dict[int, int]
    findings: tuple[checks.Finding, ...]


class RetryRun:
    """Executes one scenario and stops all processes that it starts."""

    def __init__(
        self,
        scenario: Scenario,
        folder: pathlib.Path,
        release: pathlib.Path | None = None,
    ) -> None:
        """Creates the run without starting anything.

        Args:
          scenario: what happens.
          folder: receives the logs of all processes.
          release: checkout whose code all nodes run; None runs this one.
        """
        self._scenario = scenario
        self._folder = folder
        self._rng = random.Random(scenario.seed)
        self._traffic = retry_checks.Traffic()
        self._start = 0.0
        self._statuses: collections.Counter[int] = collections.Counter()
        self._tasks: set[asyncio.Task[None]] = set()
        services = SERVICES[: scenario.services]
        self._behavior = calling_targets.Behavior(
            self._rng,
            self._now,
            self._traffic,
            {
                caller: (called, CALL_PREFIXES[called])
                for caller, called in zip(services, services[1:], strict=False)
            },
            HOST,
            calls_each=self._rng.choice((1, 2)),
        )
        self._fleet = retry_fleets.Fleet(
            folder,
            ZONES,
            scenario.bounds,
            self._behavior,
            self._rng,
            has_own_addresses=scenario.has_own_addresses,
            release=release,
        )
        self._session: aiohttp.ClientSession

    async def execute(self) -> RunResult:
        """Executes the scenario and checks the limits.

        Raises:
          exceptions.EndivewindError: the fleet did not start.
          TimeoutError: a node did not get ready.
        """
        async with self._fleet, self._make_session() as self._session:
            await self._fleet.start(
                self._services_of_nodes(), self._configuration(1)
            )
            self._start = asyncio.get_running_loop().time()
            try:
                self._spawn(self._send_requests())
                await asyncio.sleep(WARM_UP_SECONDS)
                self._behavior.failures = self._scenario.failures
                for trouble in sorted(self._scenario.troubles):
                    if trouble in _DISTURBANCES:
                        self._spawn(_DISTURBANCES[trouble](self))
                await asyncio.sleep(self._scenario.seconds)
                self._traffic.close()
            finally:
                for task in self._tasks:
                    task.cancel()
                await asyncio.gather(*self._tasks, return_exceptions=True)
        self._write_traffic()
        bounds = self._scenario.bounds
        return RunResult(
            self._scenario,
            retry_checks.worst_windows(self._traffic, bounds),
            retry_checks.crashing_requests(self._traffic, bounds),
            dict(self._statuses),
            tuple(retry_checks.check(self._traffic, bounds)),
        )

    def _write_traffic(self) -> None:
        """Writes what was sent and what arrived beside the logs."""
        lines = [
            json.dumps(dataclasses.asdict(item))
            for items in (self._traffic.sent.values(), self._traffic.arrivals)
            for item in items
        ]
        (self._folder / "traffic.jsonl").write_text("\n".join(lines))

    def _make_session(self) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                local_addr=(retry_fleets.HOST_OF_CALLERS, 0), limit=0
            )
        )

    def _now(self) -> float:
        return asyncio.get_running_loop().time() - self._start

    def _spawn(self, work: collections.abc.Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _services_of_nodes(self) -> list[str]:
        """Returns the services so that each has nodes in all zones."""
        services = SERVICES[: self._scenario.services]
        return [
            services[number // len(ZONES) % len(services)]
            for number in range(self._scenario.nodes)
        ]

    def _configuration(self, version: int) -> dict[str, object]:
        """Returns a version of the configuration; some time limits differ."""
        timeout = TIME_LIMIT_SECONDS - version % 3
        routes = [
            standin_messages.Route(
                "/catalog/", "catalog", timeout_seconds=timeout
            ),
            standin_messages.Route("/orders/", "catalog", is_idempotent=False),
            standin_messages.Route("/ledger/", "ledger"),
            standin_messages.Route("/inner/", "ledger"),
            standin_messages.Route("/deep/", "archive"),
        ]
        return standin_messages.make_configuration(version, HOST, routes)

    async def _send_requests(self) -> None:
        while True:
            (request,) = self._rng.choices(
                list(REQUEST_SHARES), list(REQUEST_SHARES.values())
            )
            self._spawn(self._send_until_served(*request))
            interval = self._rng.expovariate(self._scenario.requests_per_second)
            await asyncio.sleep(interval)

    async def _send_until_served(
        self, service: str, prefix: str, method: str
    ) -> None:
        """Sends a request, and again under another id if callers resend."""
        path = prefix + self._behavior.next_request_id("path")
        sends = 1
        if Trouble.RESENDING_CALLERS in self._scenario.troubles:
            sends += RESENDS
        for _ in range(sends):
            if await self._send(service, path, method) == 200:
                return
            await asyncio.sleep(RESEND_INTERVAL_SECONDS)

    async def _send(self, service: str, path: str, method: str = "GET") -> int:
        """Sends a request to any node; returns the status, 0 for none."""
        limit = TIME_LIMIT_SECONDS
        if Trouble.SHORT_TIME_LIMITS in self._scenario.troubles:
            limit = round(self._rng.uniform(*SHORT_TIME_LIMITS), 3)
        request_id = self._behavior.next_request_id("caller")
        self._traffic.record_sent(
            retry_checks.SentRequest(request_id, service, self._now(), limit)
        )
        node = self._rng.choice(self._fleet.nodes)
        status = 0
        with contextlib.suppress(TimeoutError, aiohttp.ClientError):
            async with self._session.request(
                method,
                f"http://{node.settings['callers']}{path}",
                headers={
                    "Host": HOST,
                    names.HEADERS.request_id: request_id,
                    names.HEADERS.timeout_ms: str(round(limit * 1000)),
                },
                timeout=aiohttp.ClientTimeout(
                    total=limit + CALLER_MARGIN_SECONDS
                ),
            ) as response:
                await response.read()
                status = response.status
        self._statuses[status] += 1
        return status

    async def send_crashing_request(self) -> None:
        """Sends the crashing request to a random node again and again."""
        path = "/catalog/" + calling_targets.CRASHING_PATH
        while True:
            self._spawn(self._send_once("catalog", path))
            await asyncio.sleep(CRASHING_INTERVAL_SECONDS)

    async def _send_once(self, service: str, path: str) -> None:
        await self._send(service, path)

    async def kill_nodes(self) -> None:
        """Kills half of the nodes at times, and starts them again."""
        while True:
            await self._pause_between_waves()
            killed = self._fleet.sample(0.5)
            for node in killed:
                node.send_signal(signal.SIGKILL)
            await asyncio.sleep(0.5)
            await asyncio.gather(*map(self._fleet.start_node, killed))

    async def pause_nodes(self) -> None:
        """Pauses half of the nodes at times."""
        while True:
            await self._pause_between_waves()
            paused = self._fleet.sample(0.5)
            for node in paused:
                node.send_signal(signal.SIGSTOP)
            await asyncio.sleep(PAUSE_SECONDS)
            for node in paused:
                node.send_signal(signal.SIGCONT)

    async def pause_targets(self) -> None:
        """Pauses half of the targets at times."""
        while True:
            paused = self._fleet.sample(0.5)
            for node in paused:
                node.target.pause()
            await asyncio.sleep(TARGET_PAUSE_SECONDS)
            for node in paused:
                node.target.resume()
            await self._pause_between_waves()

    async def replace_nodes(self) -> None:
        """Kills half of the nodes with their targets; new ones come instead."""
        while True:
            await self._pause_between_waves()
            lost = self._fleet.sample(0.5)
            for node in lost:
                node.send_signal(signal.SIGKILL)
                await node.target.close()
            await asyncio.gather(*map(self._fleet.replace_node, lost))

    async def stop_nodes(self) -> None:
        """Stops one node after the other; new ones come instead."""
        while True:
            (node,) = self._fleet.sample(1 / len(self._fleet.nodes))
            await node.target.deregister()
            node.send_signal(signal.SIGTERM)
            self._spawn(self._close_later(node.target))
            await self._fleet.replace_node(node)
            await asyncio.sleep(STOP_INTERVAL_SECONDS)

    async def _close_later(self, target: calling_targets.CallingTarget) -> None:
        await asyncio.sleep(SERVING_AFTER_STOP_SECONDS)
        await target.close()

    async def release(self) -> None:
        """Lets a target after the other leave and start again as a new one."""
        while True:
            for node in list(self._fleet.nodes):
                self._spawn(self._renew(node.target))
                await asyncio.sleep(RELEASE_INTERVAL_SECONDS)

    async def _renew(self, target: calling_targets.CallingTarget) -> None:
        """Starts a target again once it has worked on after its word."""
        await target.deregister()
        await asyncio.sleep(SERVING_AFTER_STOP_SECONDS)
        await target.end()
        await target.start()

    async def change_configuration(self) -> None:
        """Writes another version again and again."""
        version = 1
        while True:
            await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
            version += 1
            await self._fleet.write_configuration(self._configuration(version))

    async def silence_platform(self) -> None:
        """Pauses the platform at times."""
        while True:
            await self._pause_between_waves()
            self._fleet.platform.send_signal(signal.SIGSTOP)
            await asyncio.sleep(PAUSE_SECONDS)
            self._fleet.platform.send_signal(signal.SIGCONT)

    async def _pause_between_waves(self) -> None:
        await asyncio.sleep(self._rng.uniform(4, 7))


_DISTURBANCES: dict[
    Trouble,
    collections.abc.Callable[
        [RetryRun], collections.abc.Coroutine[None, None, None]
    ],
] = {
    Trouble.CRASHING_REQUEST: RetryRun.send_crashing_request,
    Trouble.KILLED_NODES: RetryRun.kill_nodes,
    Trouble.PAUSED_NODES: RetryRun.pause_nodes,
    Trouble.PAUSED_TARGETS: RetryRun.pause_targets,
    Trouble.REPLACED_NODES: RetryRun.replace_nodes,
    Trouble.STOPPED_NODES: RetryRun.stop_nodes,
    Trouble.RELEASE: RetryRun.release,
    Trouble.CONFIGURATION_CHANGES: RetryRun.change_configuration,
    Trouble.PLATFORM_SILENT: RetryRun.silence_platform,
}
