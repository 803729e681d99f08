"""A few nodes on one virtual loop, with a fault at any step of an exchange.

The code of tickets, gateway, hand-over and dispatch is the product's; links
and the targets' HTTP are fakes at its interfaces that fail on demand. It
plays no load and measures no time.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import datetime
import enum
import itertools
import random
from typing import Any
from typing import cast

import aiohttp
import expression

from endivewind import exchange
from endivewind.callers import gateway
from endivewind.callers import placement
from endivewind.callers import ticket_book
from endivewind.callers import ticketing
from endivewind.callers import tickets
from endivewind.config import objects
from endivewind.config import store
from endivewind.nodes import links
from endivewind.nodes import view
from endivewind.standins import virtual
from endivewind.targets import connections
from endivewind.targets import dispatch
from endivewind.targets import handover
from endivewind.targets import records
from endivewind.targets import registry

SERVICE = "ledger"
ROUTE = objects.Route(service=SERVICE, repeat=objects.Repeat.NEVER)
DEADLINE = datetime.timedelta(seconds=5)
DELAY_SECONDS = 0.5
# A second copy comes while the first one is still worked on.
DUPLICATE_SECONDS = 0.05
PAUSE_SECONDS = 30.0
WORK_SECONDS = 0.2
RENEWAL_SECONDS = 0.5
SETTLED = datetime.timedelta(minutes=1)
ENTRIES = ("entry-1", "entry-2")
HOMES = ("home-1", "home-2")
_SLOTS = 4
_KEPT_BYTES = 1024

AnswerResult = gateway.AnswerResult


class Step(enum.StrEnum):
    """Where an exchange can fail."""

    ISSUER_CONNECT = "issuer-connect"
    ISSUER_REQUEST = "issuer-request"
    ISSUER_ANSWER = "issuer-answer"
    HOME_CONNECT = "home-connect"
    HOME_REQUEST = "home-request"
    HOME_ANSWER = "home-answer"
    TARGET_CONNECT = "target-connect"
    TARGET_REQUEST = "target-request"
    TARGET_ANSWER = "target-answer"
    CALLER_ANSWER = "caller-answer"


class Fault(enum.StrEnum):
    """What happens there."""

    DROP = "drop"
    DUPLICATE = "duplicate"
    DELAY = "delay"
    CROSS = "cross"
    PARTITION = "partition"
    PAUSE = "pause"
    CRASH = "crash"
    TRUNCATE = "truncate"
    SILENCE = "silence"


# Faults after which the sender hears nothing and gives up by itself.
_UNHEARD = frozenset({Fault.PARTITION, Fault.SILENCE, Fault.PAUSE})
_BROKEN = frozenset({Fault.DROP, Fault.TRUNCATE, Fault.CROSS})


@dataclasses.dataclass(frozen=True, slots=True)
class _Hop:
    """The three steps of one exchange over a link."""

    connect: Step
    request: Step
    answer: Step


_TO_ISSUER = _Hop(Step.ISSUER_CONNECT, Step.ISSUER_REQUEST, Step.ISSUER_ANSWER)
_TO_HOME = _Hop(Step.HOME_CONNECT, Step.HOME_REQUEST, Step.HOME_ANSWER)


@dataclasses.dataclass(slots=True)
class Told:
    """What callers were told under one key, and what ran."""

    work: str
    results: list[AnswerResult] = dataclasses.field(default_factory=list)


class Violation(Exception):
    """A promise to callers that was broken."""


class World:
    """Nodes, targets and callers."""

    def __init__(self, loop: virtual.VirtualLoop) -> None:
        """Starts two entries and two homes, on which all targets are."""
        self.loop = loop
        self.clock = virtual.LoopClock(loop)
        self.faults: dict[Step, Fault] = {}
        self.runs: collections.Counter[str] = collections.Counter()
        self.told: dict[str, Told] = {}
        self.names = [*ENTRIES, *HOMES]
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[Any]] = set()
        self.nodes: dict[str, Member] = {}
        for name in self.names:
            self.nodes[name] = Member(self, name, next(self._numbers))
        for name in self.names:
            self.announce(name)
        self.run(asyncio.sleep(RENEWAL_SECONDS))

    def announce(self, name: str) -> None:
        """Lets every node hear of a node's present start and its target."""
        member = self.nodes[name]
        for node in self.nodes.values():
            node.hear(member)
            member.hear(node)

    def crash(self, name: str) -> None:
        """Ends a node and starts it again; the others have not heard yet."""
        self.nodes[name].end()
        fresh = Member(self, name, next(self._numbers))
        self.nodes[name] = fresh
        for node in self.nodes.values():
            fresh.hear(node)

    def fault(self, step: Step) -> Fault | None:
        """The fault of a step, once."""
        return self.faults.pop(step, None)

    def issue(self, entry: str) -> str:
        """A fresh key of a node, for work of its own."""
        key = self.nodes[entry].ticketing.issue("boat")
        self.told[key] = Told(f"work-{next(self._numbers)}")
        return key

    def send(self, entry: str, key: str) -> asyncio.Task[Any]:
        """Sends the work of a key to a node."""
        member = self.nodes[entry]
        return member.start(self._send(member, key))

    def settle(self) -> None:
        """Lets everything end that is still on its way."""
        self.run(asyncio.sleep(SETTLED.total_seconds()))

    def wait(self, seconds: float) -> None:
        """Lets virtual time pass."""
        self.run(asyncio.sleep(seconds))

    def run(self, work: collections.abc.Coroutine[Any, Any, Any]) -> Any:
        """Runs work on the loop."""
        return self.loop.run_until_complete(work)

    def close(self) -> None:
        """Ends every node."""
        for member in self.nodes.values():
            member.end()
        self.run(asyncio.sleep(0))
        self.loop.close()

    def check(self) -> None:
        """Raises Violation if a caller was told what is not so."""
        for key, told in self.told.items():
            runs = self.runs[told.work]
            if runs > 1:
                raise Violation(f"{told.work} ran {runs} times")
            for result in told.results:
                _check(told, result, runs, key)

    async def _send(self, member: "Member", key: str) -> None:
        told = self.told[key]
        head = exchange.RequestHead(
            request_id=told.work,
            method="POST",
            path="/payouts",
            headers=((b"work", told.work.encode()),),
            service=SERVICE,
            workspace="boat",
            remaining=DEADLINE,
            ticket=key,
        )
        body = exchange.RequestBody(told.work.encode())
        sending = member.ticketing.serve(ROUTE, head, body)
        if self.fault(Step.CALLER_ANSWER) is not None:
            # The caller leaves at once; what it would hear is lost.
            task = member.start(sending)
            await asyncio.sleep(WORK_SECONDS / 2)
            task.cancel()
            return
        told.results.append(await sending)


def _check(told: Told, result: AnswerResult, runs: int, key: str) -> None:
    if result.is_ok():
        if result.ok.body != told.work.encode():
            raise Violation(f"{told.work} got {result.ok.body!r}")
        if runs != 1:
            raise Violation(f"{told.work} was answered and ran {runs} times")
        return
    outcome = result.error.outcome
    if outcome is exchange.Outcome.NOT_RUN and runs:
        raise Violation(f"{told.work} ran after {result.error} ({key})")
    if outcome is exchange.Outcome.RAN and runs != 1:
        raise Violation(f"{told.work} did not run, but {result.error}")


class Member:
    """One start of a node, with one target at home."""

    def __init__(self, world: World, name: str, incarnation: int) -> None:
        self._world = world
        self.name = name
        self.alive = True
        self.record = view.NodeRecord(name, incarnation, name, "r", "z")
        self.fleet = view.FleetView()
        self._tasks: set[asyncio.Task[Any]] = set()
        rng = random.Random(incarnation)
        identity = registry.HomeIdentity(name, incarnation, "r", "z")
        self.targets = registry.TargetRegistry(identity, world.clock)
        session = cast(aiohttp.ClientSession, _Session(world))
        self.dispatcher = dispatch.Dispatcher(
            self.targets,
            session,
            session,
            world.clock,
            dispatch.Unobserved(),
            handover.HandOverLedger(),
        )
        pool = cast(links.LinkPool, _Pool(world, self))
        served = gateway.Gateway(
            name,
            placement.Placement(
                placement.Place(name, "r", "z"),
                self.fleet,
                lambda service: 0,
                world.clock,
                rng,
            ),
            store.ConfigurationStore(),
            self.fleet,
            self.dispatcher,
            pool,
            world.clock,
        )
        nonces = itertools.count()
        issuer = tickets.Issuer(
            name,
            incarnation,
            f"secret-{incarnation}".encode(),
            lambda: f"n{next(nonces)}",
        )
        self.ticketing = ticketing.Ticketing(
            issuer,
            ticket_book.TicketBook(kept_answer_bytes=_KEPT_BYTES),
            served,
            self.fleet,
            pool,
            world.clock,
            _KEPT_BYTES,
        )
        if name in HOMES:
            self.start(self._hold_target())

    def hear(self, other: "Member") -> None:
        """Takes another start of a node, and its target, into the view."""
        self.fleet.put_node(other.record)
        if other.name not in HOMES:
            return
        record = records.TargetRecord(
            id=f"target-{other.name}",
            service=SERVICE,
            home=other.name,
            home_incarnation=other.record.incarnation,
            sequence=1,
            region="r",
            zone="z",
            slots=_SLOTS,
            weight=1,
            state=records.State.READY,
            health=records.Health.NORMAL,
        )
        self.fleet.put_home_state(
            other.name, other.record.incarnation, 1, (record,)
        )

    async def _hold_target(self) -> None:
        """Keeps the lease of this home's target."""
        announcement = registry.Announcement(
            service=SERVICE, address="http://target", lease_ms=60_000
        )
        while True:
            self.targets.expire()
            self.targets.announce(f"target-{self.name}", announcement, _SLOTS)
            await asyncio.sleep(RENEWAL_SECONDS)

    def start(
        self, work: collections.abc.Coroutine[Any, Any, Any]
    ) -> asyncio.Task[Any]:
        """Runs work that ends with this start of the node."""
        task = self._world.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def end(self) -> None:
        """Crashes: nothing of this start goes on."""
        self.alive = False
        for task in self._tasks:
            task.cancel()
        self.ticketing.abandon()


Deliver = collections.abc.Callable[
    ["Member"], collections.abc.Coroutine[Any, Any, AnswerResult]
]


class _Pool:
    """Links that fail as told; the same verdicts as links.LinkPool."""

    def __init__(self, world: World, owner: Member) -> None:
        self._world = world
        self._owner = owner

    async def forward(
        self,
        home: view.NodeRecord,
        target: str,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> AnswerResult:
        """As LinkPool.forward."""

        async def deliver(member: Member) -> AnswerResult:
            return await member.dispatcher.run_forwarded(
                target, home.incarnation, head, body
            )

        return await self._call(
            home.name, _TO_HOME, deliver, links.HOME_FAILURES
        )

    async def forward_to_issuer(
        self,
        issuer: view.NodeRecord,
        incarnation: int,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        priority: str,
    ) -> AnswerResult:
        """As LinkPool.forward_to_issuer."""

        async def deliver(member: Member) -> AnswerResult:
            return await member.ticketing.execute(
                head, body, objects.Priority(priority), incarnation
            )

        return await self._call(
            issuer.name, _TO_ISSUER, deliver, links.ISSUER_FAILURES
        )

    async def _call(
        self, name: str, hop: _Hop, deliver: Deliver, failures: links.Failures
    ) -> AnswerResult:
        match self._world.fault(hop.connect):
            case None | Fault.DUPLICATE | Fault.CROSS | Fault.TRUNCATE:
                pass
            case Fault.DELAY:
                await asyncio.sleep(DELAY_SECONDS)
            case Fault.DROP:
                return expression.Error(failures.unreachable("refused"))
            case Fault.CRASH:
                self._world.crash(name)
                return expression.Error(failures.unreachable("refused"))
            case _:
                await asyncio.sleep(links.CONNECT_TIMEOUT.total_seconds())
                return expression.Error(failures.unreachable("no answer"))
        result = await self._exchange(name, hop, deliver)
        if result is None:
            return expression.Error(failures.lost("link broken"))
        return result

    async def _exchange(
        self, name: str, hop: _Hop, deliver: Deliver
    ) -> AnswerResult | None:
        """Sends over an open link; None where the link was lost."""
        member = self._world.nodes[name]
        silence = links.SILENCE_LIMIT.total_seconds()
        fault = self._world.fault(hop.request)
        if fault is Fault.CRASH:
            self._world.crash(name)
            return None
        if fault is Fault.PAUSE:
            # What lies in the paused node's sockets is handled later.
            member.start(_later(PAUSE_SECONDS, deliver, member))
        if fault in _UNHEARD:
            await asyncio.sleep(silence)
            return None
        if fault in (Fault.DROP, Fault.TRUNCATE):
            return None
        if fault is Fault.DELAY:
            await asyncio.sleep(DELAY_SECONDS)
        if fault is Fault.DUPLICATE:
            member.start(_later(DUPLICATE_SECONDS, deliver, member))
        running = member.start(deliver(member))
        return await self._answer(name, hop, running, fault)

    async def _answer(
        self,
        name: str,
        hop: _Hop,
        running: asyncio.Task[AnswerResult],
        request_fault: Fault | None,
    ) -> AnswerResult | None:
        fault = self._world.fault(hop.answer)
        if fault in _UNHEARD:
            await asyncio.sleep(links.SILENCE_LIMIT.total_seconds())
            return None
        try:
            result = await running
        except asyncio.CancelledError:
            if not running.cancelled() or self._owner_leaves():
                running.cancel()
                raise
            return None
        if fault is Fault.CRASH:
            self._world.crash(name)
            return None
        if fault is Fault.DELAY:
            await asyncio.sleep(DELAY_SECONDS)
        if fault in _BROKEN or request_fault is Fault.CROSS:
            return None
        return result

    def _owner_leaves(self) -> bool:
        task = asyncio.current_task()
        return task is not None and task.cancelling() > 0


async def _later(seconds: float, deliver: Deliver, member: Member) -> None:
    await asyncio.sleep(seconds)
    await deliver(member)


class _Session:
    """The HTTP client towards targets, which fails as told."""

    def __init__(self, world: World) -> None:
        self._world = world

    async def request(
        self,
        method: str,
        url: Any,
        headers: Any,
        data: Any,
        allow_redirects: bool,
        trace_request_ctx: Any,
    ) -> Any:
        """As aiohttp.ClientSession.request, with the dispatcher's errors."""
        await self._connect()
        trace_request_ctx.connected = True
        work = headers["work"]
        match self._world.fault(Step.TARGET_REQUEST):
            case Fault.DROP | Fault.TRUNCATE | Fault.CRASH | Fault.CROSS:
                raise connections.HandOverLostError("closed")
            case Fault.SILENCE | Fault.PARTITION:
                await asyncio.sleep(SETTLED.total_seconds())
            case Fault.PAUSE:
                self._world.loop.call_later(PAUSE_SECONDS, self._ran, work)
                await asyncio.sleep(SETTLED.total_seconds())
            case Fault.DELAY:
                await asyncio.sleep(DELAY_SECONDS)
            case _:
                pass
        self._ran(work)
        await asyncio.sleep(WORK_SECONDS)
        match self._world.fault(Step.TARGET_ANSWER):
            case Fault.DROP | Fault.TRUNCATE | Fault.CRASH | Fault.CROSS:
                raise connections.HandOverLostError("closed")
            case Fault.SILENCE | Fault.PARTITION | Fault.PAUSE:
                await asyncio.sleep(SETTLED.total_seconds())
            case Fault.DELAY:
                await asyncio.sleep(DELAY_SECONDS)
            case _:
                pass
        return _Response(work.encode())

    async def _connect(self) -> None:
        match self._world.fault(Step.TARGET_CONNECT):
            case Fault.DROP | Fault.CRASH | Fault.TRUNCATE:
                raise aiohttp.ClientConnectionError("refused")
            case Fault.SILENCE | Fault.PARTITION | Fault.PAUSE:
                await asyncio.sleep(connections.CONNECT_LIMIT.total_seconds())
                raise aiohttp.ServerTimeoutError("connect")
            case Fault.DELAY:
                await asyncio.sleep(DELAY_SECONDS)
            case _:
                pass

    def _ran(self, work: str) -> None:
        self._world.runs[work] += 1


class _Response:
    """A whole answer of a target: the name of the work."""

    status = 200
    raw_headers: exchange.HeaderList = ()

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.content_length = len(body)

    async def read(self) -> bytes:
        """The body."""
        return self._body

    def close(self) -> None:
        """Nothing is held."""
