"""A simulated cluster on one virtual loop, with faults at exchange steps.

Tickets, gateway and dispatch run the production code. Links and the HTTP
client to targets are fakes that inject faults. The fault matrix and the
fuzz test of the at-most-once guarantee use it; it generates no load and
measures no latency.
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
# The second copy arrives while the first one is still being processed.
DUPLICATE_SECONDS = 0.05
PAUSE_SECONDS = 30.0
WORK_SECONDS = 0.2
RENEWAL_SECONDS = 0.5
SETTLED = datetime.timedelta(minutes=1)
ENTRIES = ("entry-1", "entry-2")
HOMES = ("home-1", "home-2")
_SLOTS_PER_TARGET = 4
_MAX_KEPT_BYTES = 1024

AnswerResult = gateway.AnswerResult


class Step(enum.StrEnum):
    """A step of an exchange at which a fault can be injected."""

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
    """What happens at a step.

    DROP and TRUNCATE break the connection and lose the message. CROSS breaks
    it, too, but a request over a link is still delivered. DUPLICATE delivers
    a request over a link twice; DELAY delivers a message later. PARTITION and
    SILENCE deliver nothing while the connection stays open; so does PAUSE,
    but the receiver handles a request after its pause. CRASH crashes the
    receiver. A fault that does not apply to a step has no effect there. At the
    step CALLER_RESPONSE, every fault makes the caller disconnect.
    """

    DROP = "drop"
    DUPLICATE = "duplicate"
    DELAY = "delay"
    CROSS = "cross"
    PARTITION = "partition"
    PAUSE = "pause"
    CRASH = "crash"
    TRUNCATE = "truncate"
    SILENCE = "silence"


# Faults after which the sender gets no response and has to time out.
_NO_RESPONSE_FAULTS = frozenset({Fault.PARTITION, Fault.SILENCE, Fault.PAUSE})
_LINK_LOST_FAULTS = frozenset({Fault.DROP, Fault.TRUNCATE, Fault.CROSS})


@dataclasses.dataclass(frozen=True, slots=True)
class _LinkSteps:
    """The three steps of an exchange over one link."""

    connect: Step
    request: Step
    answer: Step


_ISSUER_STEPS = _LinkSteps(
    Step.ISSUER_CONNECT, Step.ISSUER_REQUEST, Step.ISSUER_ANSWER
)
_HOME_STEPS = _LinkSteps(Step.HOME_CONNECT, Step.HOME_REQUEST, Step.HOME_ANSWER)


@dataclasses.dataclass(slots=True)
class Told:
    """The work of one key and the results that its callers received.

    Attributes:
      work: id of the work.
      results: results of the requests sent with the key.
    """

    work: str
    results: list[AnswerResult] = dataclasses.field(default_factory=list)


class Violation(Exception):
    """A guarantee to callers that was violated."""


class World:
    """A simulated cluster of nodes, targets and callers."""

    def __init__(self, loop: virtual.VirtualLoop) -> None:
        """Starts two entry nodes and two homes with one target each."""
        self.loop = loop
        self.clock = virtual.LoopClock(loop)
        self.faults: dict[Step, Fault] = {}
        self.runs: collections.Counter[str] = collections.Counter()
        self.told: dict[str, Told] = {}
        self.names = [*ENTRIES, *HOMES]
        self._counter = itertools.count(1)
        self._tasks: set[asyncio.Task[Any]] = set()
        self.nodes: dict[str, Member] = {}
        for name in self.names:
            self.nodes[name] = Member(self, name, next(self._counter))
        for name in self.names:
            self.announce(name)
        self.run(asyncio.sleep(RENEWAL_SECONDS))

    def announce(self, name: str) -> None:
        """Tells all nodes a node's present incarnation and its target."""
        member = self.nodes[name]
        for node in self.nodes.values():
            node.hear(member)
            member.hear(node)

    def crash(self, name: str) -> None:
        """Crashes a node and restarts it, without telling the other nodes."""
        self.nodes[name].end()
        fresh = Member(self, name, next(self._counter))
        self.nodes[name] = fresh
        for node in self.nodes.values():
            fresh.hear(node)

    def fault(self, step: Step) -> Fault | None:
        """Returns the fault of a step and removes it."""
        return self.faults.pop(step, None)

    def issue(self, entry: str) -> str:
        """Issues a new key (a ticket) at a node and assigns work to it."""
        key = self.nodes[entry].ticketing.issue("boat")
        self.told[key] = Told(f"work-{next(self._counter)}")
        return key

    def send(self, entry: str, key: str) -> asyncio.Task[Any]:
        """Sends the work of a key to a node, as a caller does."""
        member = self.nodes[entry]
        return member.start(self._send(member, key))

    def settle(self) -> None:
        """Lets time pass until all pending requests have ended."""
        self.run(asyncio.sleep(SETTLED.total_seconds()))

    def wait(self, seconds: float) -> None:
        """Lets virtual time pass."""
        self.run(asyncio.sleep(seconds))

    def run(self, work: collections.abc.Coroutine[Any, Any, Any]) -> Any:
        """Runs a coroutine on the loop until it completes."""
        return self.loop.run_until_complete(work)

    def close(self) -> None:
        """Stops all nodes and closes the loop."""
        for member in self.nodes.values():
            member.end()
        self.run(asyncio.sleep(0))
        self.loop.close()

    def check(self) -> None:
        """Compares the callers' results with what ran.

        Raises:
          GuaranteeViolation: work ran twice, or a result is false.
        """
        for key, record in self.told.items():
            runs = self.runs[record.work]
            if runs > 1:
                raise Violation(f"{record.work} ran {runs} times")
            for result in record.results:
                _check_result(record, result, runs, key)

    async def _send(self, member: "Member", key: str) -> None:
        record = self.told[key]
        head = exchange.RequestHead(
            request_id=record.work,
            method="POST",
            path="/payouts",
            headers=((b"work", record.work.encode()),),
            service=SERVICE,
            workspace="boat",
            remaining=DEADLINE,
            ticket=key,
        )
        body = exchange.RequestBody(record.work.encode())
        sending = member.ticketing.serve(ROUTE, head, body)
        if self.fault(Step.CALLER_ANSWER) is not None:
            # The caller disconnects, so the response is lost.
            task = member.start(sending)
            await asyncio.sleep(WORK_SECONDS / 2)
            task.cancel()
            return
        record.results.append(await sending)


def _check_result(
    record: Told, result: AnswerResult, runs: int, key: str
) -> None:
    if result.is_ok():
        if result.ok.body != record.work.encode():
            raise Violation(f"{record.work} got response {result.ok.body!r}")
        if runs != 1:
            raise Violation(
                f"{record.work} got a response but ran {runs} times"
            )
        return
    outcome = result.error.outcome
    if outcome is exchange.Outcome.NOT_RUN and runs:
        raise Violation(f"{record.work} ran after {result.error} ({key})")
    if outcome is exchange.Outcome.RAN and runs != 1:
        raise Violation(f"{record.work} did not run despite {result.error}")


class Member:
    """One incarnation of a node; homes have one target."""

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
        session = cast(aiohttp.ClientSession, _FaultySession(world))
        self.dispatcher = dispatch.Dispatcher(
            self.targets,
            session,
            session,
            world.clock,
            dispatch.Unobserved(),
            handover.HandOverLedger(),
        )
        pool = cast(links.LinkPool, _FaultyLinkPool(world, self))
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
            ticket_book.TicketBook(kept_answer_bytes=_MAX_KEPT_BYTES),
            served,
            self.fleet,
            pool,
            world.clock,
            _MAX_KEPT_BYTES,
        )
        if name in HOMES:
            self.start(self._renew_target_lease())

    def hear(self, other: "Member") -> None:
        """Adds another node's incarnation and its target to the view."""
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
            slots=_SLOTS_PER_TARGET,
            weight=1,
            state=records.State.READY,
            health=records.Health.NORMAL,
        )
        self.fleet.put_home_state(
            other.name, other.record.incarnation, 1, (record,)
        )

    async def _renew_target_lease(self) -> None:
        """Renews the lease of this home's target."""
        announcement = registry.Announcement(
            service=SERVICE, address="http://target", lease_ms=60_000
        )
        while True:
            self.targets.expire()
            self.targets.announce(
                f"target-{self.name}", announcement, _SLOTS_PER_TARGET
            )
            await asyncio.sleep(RENEWAL_SECONDS)

    def start(
        self, work: collections.abc.Coroutine[Any, Any, Any]
    ) -> asyncio.Task[Any]:
        """Starts a task that ends with this incarnation of the node."""
        task = self._world.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def end(self) -> None:
        """Crashes the node: cancels all tasks of this incarnation."""
        self.alive = False
        for task in self._tasks:
            task.cancel()
        self.ticketing.abandon()


Deliver = collections.abc.Callable[
    ["Member"], collections.abc.Coroutine[Any, Any, AnswerResult]
]


class _FaultyLinkPool:
    """A fake links.LinkPool that injects faults and returns its results."""

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
        """Forwards a request to a home, as LinkPool.forward does."""

        async def deliver(member: Member) -> AnswerResult:
            return await member.dispatcher.run_forwarded(
                target, home.incarnation, head, body
            )

        return await self._call(
            home.name, _HOME_STEPS, deliver, links.HOME_FAILURES
        )

    async def forward_to_issuer(
        self,
        issuer: view.NodeRecord,
        incarnation: int,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        priority: str,
    ) -> AnswerResult:
        """Forwards to an issuer, as LinkPool.forward_to_issuer does."""

        async def deliver(member: Member) -> AnswerResult:
            return await member.ticketing.execute(
                head, body, objects.Priority(priority), incarnation
            )

        return await self._call(
            issuer.name, _ISSUER_STEPS, deliver, links.ISSUER_FAILURES
        )

    async def _call(
        self,
        name: str,
        steps: _LinkSteps,
        deliver: Deliver,
        failures: links.Failures,
    ) -> AnswerResult:
        match self._world.fault(steps.connect):
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
        result = await self._send_request(name, steps, deliver)
        if result is None:
            return expression.Error(failures.lost("link broken"))
        return result

    async def _send_request(
        self, name: str, steps: _LinkSteps, deliver: Deliver
    ) -> AnswerResult | None:
        """Sends over an open link; returns None if the link was lost."""
        member = self._world.nodes[name]
        silence = links.SILENCE_LIMIT.total_seconds()
        fault = self._world.fault(steps.request)
        if fault is Fault.CRASH:
            self._world.crash(name)
            return None
        if fault is Fault.PAUSE:
            # The paused node handles the request in its socket buffer later.
            member.start(_deliver_later(PAUSE_SECONDS, deliver, member))
        if fault in _NO_RESPONSE_FAULTS:
            await asyncio.sleep(silence)
            return None
        if fault in (Fault.DROP, Fault.TRUNCATE):
            return None
        if fault is Fault.DELAY:
            await asyncio.sleep(DELAY_SECONDS)
        if fault is Fault.DUPLICATE:
            member.start(_deliver_later(DUPLICATE_SECONDS, deliver, member))
        running = member.start(deliver(member))
        return await self._await_response(name, steps, running, fault)

    async def _await_response(
        self,
        name: str,
        steps: _LinkSteps,
        running: asyncio.Task[AnswerResult],
        request_fault: Fault | None,
    ) -> AnswerResult | None:
        fault = self._world.fault(steps.answer)
        if fault in _NO_RESPONSE_FAULTS:
            await asyncio.sleep(links.SILENCE_LIMIT.total_seconds())
            return None
        try:
            result = await running
        except asyncio.CancelledError:
            if not running.cancelled() or self._is_caller_cancelled():
                running.cancel()
                raise
            return None
        if fault is Fault.CRASH:
            self._world.crash(name)
            return None
        if fault is Fault.DELAY:
            await asyncio.sleep(DELAY_SECONDS)
        if fault in _LINK_LOST_FAULTS or request_fault is Fault.CROSS:
            return None
        return result

    def _is_caller_cancelled(self) -> bool:
        task = asyncio.current_task()
        return task is not None and task.cancelling() > 0


async def _deliver_later(
    seconds: float, deliver: Deliver, member: Member
) -> None:
    await asyncio.sleep(seconds)
    await deliver(member)


class _FaultySession:
    """A fake HTTP client for targets that injects faults."""

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
        """Acts as aiohttp.ClientSession.request and its connection errors."""
        await self._connect()
        trace_request_ctx.connected = True
        work = headers["work"]
        match self._world.fault(Step.TARGET_REQUEST):
            case Fault.DROP | Fault.TRUNCATE | Fault.CRASH | Fault.CROSS:
                raise connections.HandOverLostError("closed")
            case Fault.SILENCE | Fault.PARTITION:
                await asyncio.sleep(SETTLED.total_seconds())
            case Fault.PAUSE:
                self._world.loop.call_later(
                    PAUSE_SECONDS, self._record_run, work
                )
                await asyncio.sleep(SETTLED.total_seconds())
            case Fault.DELAY:
                await asyncio.sleep(DELAY_SECONDS)
            case _:
                pass
        self._record_run(work)
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

    def _record_run(self, work: str) -> None:
        self._world.runs[work] += 1


class _Response:
    """A target's complete response, whose body is the id of the work."""

    status = 200
    raw_headers: exchange.HeaderList = ()

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.content_length = len(body)

    async def read(self) -> bytes:
        """Returns the body."""
        return self._body

    def close(self) -> None:
        """Does nothing, since no connection is held."""
