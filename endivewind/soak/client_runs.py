"""One run of misbehaving clients beside ordinary callers, at real nodes.

`endivewind-bench clients` executes it. One crowd after the other comes to the
first node. The run watches the memory of each node and ends one that passes
the memory of its VM.
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
import statistics

import aiohttp

from endivewind import exceptions
from endivewind.commands import children
from endivewind.platform import names
from endivewind.platform import standin_messages
from endivewind.soak import calling_targets
from endivewind.soak import retry_checks
from endivewind.soak import retry_fleets
from endivewind.standins import misbehaving_clients

ClientKind = misbehaving_clients.ClientKind

HOST = "shop.example"
SERVICE = "catalog"
ZONES = {"zone-a": "region-1", "zone-b": "region-1"}
LOOKUP_PREFIX = "/look/"
ORDER_PREFIX = "/order/"
UNKNOWN_PREFIX = "/nowhere/"
DESCRIPTORS = 4100
BOUNDS = retry_checks.Bounds(0.2, 58, 10.0, 4.0, 3)
# Ordinary requests at each node, and the part of them that is look-ups.
REQUESTS_PER_SECOND = 10.0
LOOKUP_SHARE = 0.7
TIME_LIMIT_SECONDS = 4.0
CALLER_MARGIN_SECONDS = 1.0
CALM_SECONDS = 2.0
READINESS_INTERVAL_SECONDS = 1.0
READINESS_TIMEOUT_SECONDS = 1.0
MEMORY_INTERVAL_SECONDS = 0.02
RECEIVED_INTERVAL_SECONDS = 0.2
# Time after a crowd within which its node must answer again.
RECOVERY_SECONDS = 5.0
RECOVERY_INTERVAL_SECONDS = 0.2
# The platform takes a node out after so many misses.
MAX_READINESS_MISSES = 1
MIN_SERVED_SHARE = 0.9

# Clients that hold connections and little else.
_MANY_CONNECTIONS = 3000
CLIENTS = {
    ClientKind.SLOW_HEADS: _MANY_CONNECTIONS,
    ClientKind.HALF_HEADS: _MANY_CONNECTIONS,
    ClientKind.IDLE: 6000,
    ClientKind.LONG_HEADS: 400,
    ClientKind.MANY_FIELDS: 300,
    ClientKind.FIELDS_AHEAD: 300,
    ClientKind.SENT_AHEAD: 40,
    ClientKind.NOT_READING: 300,
    ClientKind.SLOW_READING: 300,
    ClientKind.SLOW_BODIES: 2000,
    ClientKind.HALF_BODIES: 2000,
}
DEFAULT_CLIENTS = 200


class Door(enum.StrEnum):
    """Where a crowd comes in: three kinds of path, and three listeners."""

    LOOKUPS = "lookups"
    ORDERS = "orders"
    NO_ROUTE = "no-route"
    READINESS = "readiness"
    TARGETS = "targets"
    OPERATORS = "operators"


_MEGABYTE = 1 << 20
# Time limit of a route, and the caller's margin.
SINGLE_TIMEOUT_SECONDS = 7.0
SINGLE_REQUESTS = {
    "very many short fields": misbehaving_clients.SingleRequest(
        "GET", LOOKUP_PREFIX, header_bytes=16_000
    ),
    "order with very many short fields": misbehaving_clients.SingleRequest(
        "POST", ORDER_PREFIX, header_bytes=16_000
    ),
    **{
        f"{size} bytes to {prefix} in chunks of {chunk or 'none'}": (
            misbehaving_clients.SingleRequest("POST", prefix, size, chunk)
        )
        for size, chunk in (
            (900_000, 0),
            (8 * _MEGABYTE, 0),
            (60 * _MEGABYTE, 0),
            (8 * _MEGABYTE, 65_536),
            (60 * _MEGABYTE, 65_536),
            (_MEGABYTE, 512),
            (_MEGABYTE, 1),
        )
        for prefix in (LOOKUP_PREFIX, ORDER_PREFIX)
    },
}

# The listener and the path of each door.
_DOORS = {
    Door.LOOKUPS: ("callers", LOOKUP_PREFIX),
    Door.ORDERS: ("callers", ORDER_PREFIX),
    Door.NO_ROUTE: ("callers", UNKNOWN_PREFIX),
    Door.READINESS: ("readiness", names.READY_PATH),
    Door.TARGETS: ("targets", "/"),
    Door.OPERATORS: ("operators", "/metrics"),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What happens in a run.

    Attributes:
      kinds: the crowds, one after the other.
      door: where they come in.
      seconds: how long each goes on.
      clients: clients of each crowd; None for the default of its kind.
      memory_megabytes: memory of each VM.
      seed: of the ordinary requests.
    """

    kinds: tuple[ClientKind, ...]
    door: Door = Door.LOOKUPS
    seconds: float = 5.0
    clients: int | None = None
    memory_megabytes: int = 300
    seed: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class OrdinaryRequest:
    """A request of an ordinary caller.

    Attributes:
      began: in seconds after the start of the run.
      node: number of the node that it was sent to.
      status: of the response; 0 without a whole one.
      seconds: until it ended.
    """

    began: float
    node: int
    status: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class CrowdResult:
    """What one crowd did to the node and its ordinary callers.

    Attributes:
      kind: of the crowd.
      served: ordinary requests with status 200 at its node.
      sent: ordinary requests at its node.
      statuses: how many of them got which status; 0 is no response.
      median_seconds: duration of those served; 0 if none was.
      worst_seconds: the longest duration of a request.
      memory_megabytes: the most memory that the node used.
      readiness_misses: the most questions in a row without a 200.
      events: what happened to the clients.
      findings: what must not happen.
    """

    kind: ClientKind
    served: int
    sent: int
    statuses: dict[int, int]
    median_seconds: float
    worst_seconds: float
    memory_megabytes: float
    readiness_misses: int
    events: dict[str, int]
    findings: tuple[str, ...]

    def __str__(self) -> str:
        verdict = "; ".join(self.findings) or "held"
        return (
            f"{self.kind}: {verdict}; {self.served} of {self.sent} served "
            f"{self.statuses}, "
            f"median {1000 * self.median_seconds:.0f} ms, worst "
            f"{1000 * self.worst_seconds:.0f} ms; memory "
            f"{self.memory_megabytes:.0f} MB; readiness misses in a row "
            f"{self.readiness_misses}; clients {self.events}"
        )


class ClientRun:
    """Executes one plan."""

    def __init__(
        self,
        plan: Plan,
        folder: pathlib.Path,
        release: pathlib.Path | None = None,
    ) -> None:
        """Creates the run without starting processes.

        Args:
          plan: what happens.
          folder: receives the logs.
          release: checkout whose code the nodes run; None runs this one.
        """
        self._plan = plan
        self._rng = random.Random(plan.seed)
        behavior = calling_targets.Behavior(
            self._rng, self._now, retry_checks.Traffic(), {}, HOST
        )
        self._fleet = retry_fleets.Fleet(
            folder,
            ZONES,
            BOUNDS,
            behavior,
            self._rng,
            release=release,
            descriptors=DESCRIPTORS,
            memory_megabytes=plan.memory_megabytes,
        )
        self._next_request_id = behavior.next_request_id
        self._requests: list[OrdinaryRequest] = []
        # The requests that have not ended, with their starts.
        self._sends: dict[asyncio.Task[None], float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._session: aiohttp.ClientSession
        self._start = 0.0
        self._memory: MemoryWatch

    async def execute(self) -> list[CrowdResult]:
        """Plays the crowds; stops after one that ends a node.

        Raises:
          exceptions.EndivewindError: the fleet did not start.
          TimeoutError: a node did not get ready.
        """
        async with self._fleet, self._make_session() as self._session:
            await self._fleet.start([SERVICE] * len(ZONES), _configuration())
            self._start = asyncio.get_running_loop().time()
            try:
                return await self._play_crowds()
            finally:
                for task in self._tasks:
                    task.cancel()
                await asyncio.gather(*self._tasks, return_exceptions=True)

    async def send_single_requests(
        self, requests: dict[str, misbehaving_clients.SingleRequest]
    ) -> dict[str, int]:
        """Sends requests one after the other; returns their statuses."""
        async with self._fleet:
            await self._fleet.start([SERVICE] * len(ZONES), _configuration())
            address = str(self._fleet.nodes[0].settings["callers"])
            return {
                name: await request.send(address, HOST, SINGLE_TIMEOUT_SECONDS)
                for name, request in requests.items()
            }

    async def _play_crowds(self) -> list[CrowdResult]:
        self._memory = MemoryWatch(
            self._fleet.nodes, self._plan.memory_megabytes
        )
        self._spawn(self._memory.run())
        for number in range(len(self._fleet.nodes)):
            self._spawn(self._send_requests(number))
        await asyncio.sleep(CALM_SECONDS)
        results: list[CrowdResult] = []
        for kind in self._plan.kinds:
            results.append(await self._play(kind))
            if self._memory.findings():
                break
        return results

    async def _play(self, kind: ClientKind) -> CrowdResult:
        node = self._fleet.nodes[0]
        self._memory.restart_peak()
        began = self._now()
        readiness = asyncio.create_task(self._watch_readiness(node))
        try:
            events = await self._run_crowd(kind, node)
        finally:
            readiness.cancel()
        misses = await readiness
        ended = self._now()
        findings = list(self._memory.findings())
        if not findings and not await self._recovers(node):
            findings.append(
                f"not ready {RECOVERY_SECONDS:.0f} s after the clients"
            )
        if misses > MAX_READINESS_MISSES:
            findings.append(f"{misses} questions in a row not answered ready")
        requests = await self._requests_between(began, ended)
        served = [item.seconds for item in requests if item.status == 200]
        if len(served) < MIN_SERVED_SHARE * max(len(requests), 1):
            findings.append("ordinary callers not served")
        return CrowdResult(
            kind,
            len(served),
            len(requests),
            dict(collections.Counter(item.status for item in requests)),
            statistics.median(served) if served else 0.0,
            max((item.seconds for item in requests), default=0.0),
            self._memory.peak_megabytes(node),
            misses,
            events,
            tuple(findings),
        )

    async def _requests_between(
        self, began: float, ended: float
    ) -> list[OrdinaryRequest]:
        """Returns the requests at the first node, once all have ended."""
        await asyncio.gather(
            *(task for task, start in self._sends.items() if start < ended)
        )
        return [
            request
            for request in self._requests
            if request.node == 0 and began <= request.began < ended
        ]

    async def _run_crowd(
        self, kind: ClientKind, node: retry_fleets.Node
    ) -> dict[str, int]:
        """Runs the clients in a process of their own."""
        listener, path = _DOORS[self._plan.door]
        crowd = misbehaving_clients.Crowd(
            kind,
            str(node.settings[listener]),
            HOST,
            path,
            (path if path.endswith("/") else LOOKUP_PREFIX)
            + calling_targets.LARGE_PATH,
            self._plan.clients or CLIENTS.get(kind, DEFAULT_CLIENTS),
            self._plan.seconds,
        )
        process = await children.spawn(
            "standin",
            "clients",
            f"--crowd={json.dumps(dataclasses.asdict(crowd))}",
        )
        try:
            output, _ = await process.communicate()
        except asyncio.CancelledError:
            process.kill()
            raise
        if process.returncode:
            raise exceptions.EndivewindError("the clients ended by themselves")
        events: dict[str, int] = json.loads(output)
        return events

    async def _watch_readiness(self, node: retry_fleets.Node) -> int:
        """Asks until it is cancelled; returns the most misses in a row."""
        most = misses = 0
        with contextlib.suppress(asyncio.CancelledError):
            while True:
                misses = 0 if await self._is_ready(node) else misses + 1
                most = max(most, misses)
                await asyncio.sleep(READINESS_INTERVAL_SECONDS)
        return most

    async def _recovers(self, node: retry_fleets.Node) -> bool:
        """Returns whether a node is ready soon after a crowd has gone."""
        deadline = self._now() + RECOVERY_SECONDS
        while self._now() < deadline:
            if await self._is_ready(node):
                return True
            await asyncio.sleep(RECOVERY_INTERVAL_SECONDS)
        return False

    async def _is_ready(self, node: retry_fleets.Node) -> bool:
        url = f"http://{node.settings['readiness']}{names.READY_PATH}"
        timeout = aiohttp.ClientTimeout(total=READINESS_TIMEOUT_SECONDS)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (TimeoutError, aiohttp.ClientError):
            return False

    async def _send_requests(self, number: int) -> None:
        while True:
            task = self._spawn(self._send(number))
            self._sends[task] = self._now()
            task.add_done_callback(self._sends.pop)
            await asyncio.sleep(self._rng.expovariate(REQUESTS_PER_SECOND))

    async def _send(self, number: int) -> None:
        """Sends a request to a node on a new connection."""
        method, prefix = "POST", ORDER_PREFIX
        if self._rng.random() < LOOKUP_SHARE:
            method, prefix = "GET", LOOKUP_PREFIX
        request_id = self._next_request_id("caller")
        address = self._fleet.nodes[number].settings["callers"]
        began = self._now()
        status = 0
        with contextlib.suppress(TimeoutError, aiohttp.ClientError):
            async with self._session.request(
                method,
                f"http://{address}{prefix}{request_id}",
                headers={
                    "Host": HOST,
                    names.HEADERS.request_id: request_id,
                    names.HEADERS.timeout_ms: str(
                        round(1000 * TIME_LIMIT_SECONDS)
                    ),
                },
                timeout=aiohttp.ClientTimeout(
                    total=TIME_LIMIT_SECONDS + CALLER_MARGIN_SECONDS
                ),
            ) as response:
                await response.read()
                status = response.status
        self._requests.append(
            OrdinaryRequest(began, number, status, self._now() - began)
        )

    def _make_session(self) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                local_addr=(retry_fleets.HOST_OF_CALLERS, 0),
                limit=0,
                force_close=True,
            )
        )

    def _spawn(
        self, work: collections.abc.Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _now(self) -> float:
        return asyncio.get_running_loop().time() - self._start


class SingleRequestRun:
    """Sends one request of each kind inside the limits, in calm."""

    def __init__(
        self, folder: pathlib.Path, release: pathlib.Path | None = None
    ) -> None:
        """Creates the run without starting processes; see `ClientRun`."""
        self._run = ClientRun(Plan(()), folder, release)

    async def execute(self) -> dict[str, int]:
        """Returns the status of each response; 0 for none."""
        return await self._run.send_single_requests(SINGLE_REQUESTS)


class MemoryWatch:
    """Watches the memory of nodes; ends one that passes its VM's memory.

    Counted are resident pages and the bytes in the kernel that were received
    and not read.
    """

    def __init__(
        self, nodes: list[retry_fleets.Node], limit_megabytes: int
    ) -> None:
        self._nodes = nodes
        self._limit_bytes = limit_megabytes * 1_000_000
        self._received: collections.Counter[str] = collections.Counter()
        self._peaks: collections.Counter[str] = collections.Counter()
        self._findings: dict[str, str] = {}

    def findings(self) -> tuple[str, ...]:
        """Returns which nodes ended, and why."""
        return tuple(self._findings.values())

    def peak_megabytes(self, node: retry_fleets.Node) -> float:
        """Returns the most memory of a node since `restart_peak`."""
        return self._peaks[node.name] / 1_000_000

    def restart_peak(self) -> None:
        """Forgets the peaks so far."""
        self._peaks.clear()

    async def run(self) -> None:
        """Watches until it is cancelled."""
        loop = asyncio.get_running_loop()
        read_at = 0.0
        while True:
            if loop.time() - read_at > RECEIVED_INTERVAL_SECONDS:
                read_at = loop.time()
                self._received = await asyncio.to_thread(received_bytes)
            for node in self._nodes:
                if node.name not in self._findings:
                    self._check(node)
            await asyncio.sleep(MEMORY_INTERVAL_SECONDS)

    def _check(self, node: retry_fleets.Node) -> None:
        assert node.process is not None
        if not node.process.is_running:
            self._findings[node.name] = f"{node.name} ended by itself"
            return
        used = _resident_bytes(node.process.pid) + sum(
            self._received[str(node.settings[listener])]
            for listener in ("callers", "targets", "operators", "readiness")
        )
        self._peaks[node.name] = max(self._peaks[node.name], used)
        if used > self._limit_bytes:
            self._findings[node.name] = (
                f"{node.name} passed its memory with {used / 1e6:.0f} MB"
            )
            node.send_signal(signal.SIGKILL)


def received_bytes() -> collections.Counter[str]:
    """Returns the received and unread bytes in the kernel by local address."""
    received: collections.Counter[str] = collections.Counter()
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()
    for line in lines[1:]:
        _, local, _, state, queues, *_ = line.split()
        if state != _LISTENING:
            received[_address(local)] += int(queues.partition(":")[2], 16)
    return received


_LISTENING = "0A"


def _address(text: str) -> str:
    """Returns host and port of an address as /proc/net/tcp has it."""
    host, _, port = text.partition(":")
    numbers = reversed(bytes.fromhex(host))
    return f"{'.'.join(map(str, numbers))}:{int(port, 16)}"


def _resident_bytes(process_id: int) -> int:
    try:
        status = pathlib.Path(f"/proc/{process_id}/status").read_text()
    except OSError:
        return 0
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return 1024 * int(line.split()[1])
    return 0


def _configuration() -> dict[str, object]:
    routes = [
        standin_messages.Route(LOOKUP_PREFIX, SERVICE),
        standin_messages.Route(ORDER_PREFIX, SERVICE, is_idempotent=False),
    ]
    return standin_messages.make_configuration(1, HOST, routes)
