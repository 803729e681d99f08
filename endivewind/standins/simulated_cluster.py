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
from endivewind.callers import ticket_store
from endivewind.callers import ticketing
from endivewind.callers import tickets
from endivewind.config import objects
from endivewind.config import store
from endivewind.nodes import links
from endivewind.nodes import view
from endivewind.standins import virtual_loop
from endivewind.targets import attempt_log
from endivewind.targets import connections
from endivewind.targets import dispatch
from endivewind.targets import records
from endivewind.targets import registry

SERVICE = "ledger"
ROUTE = objects.Route(service=SERVICE, repeat=objects.RepeatPolicy.NEVER)
DEADLINE = datetime.timedelta(seconds=5)
MESSAGE_DELAY_SECONDS = 0.5
# The second copy arrives while the first one is still being processed.
DUPLICATE_DELAY_SECONDS = 0.05
PAUSE_SECONDS = 30.0
WORK_SECONDS = 0.2
LEASE_RENEWAL_SECONDS = 0.5
SETTLE_TIME = datetime.timedelta(minutes=1)
ENTRY_NODES = ("entry-1", "entry-2")
HOME_NODES = ("home-1", "home-2")
_SLOTS_PER_TARGET = 4
_MAX_KEPT_BYTES = 1024

ResponseResult = gateway.ResponseResult


class ExchangeStep(enum.StrEnum):
    """A step of an exchange at which a fault can be injected.

    An exchange is one request on its way from the caller through the nodes to
    a target, and its response.
    """

    ISSUER_CONNECT = "issuer-connect"
    ISSUER_REQUEST = "issuer-request"
    ISSUER_RESPONSE = "issuer-answer"
    HOME_CONNECT = "home-connect"
    HOME_REQUEST = "home-request"
    HOME_RESPONSE = "home-answer"
    TARGET_CONNECT = "target-connect"
    TARGET_REQUEST = "target-request"
    TARGET_RESPONSE = "target-answer"
    CALLER_RESPONSE = "caller-answer"


class ExchangeFault(enum.StrEnum):
    """What happens at a step.

    DROP, TRUNCATE: the connection breaks and the message is lost.
    CROSS: as DROP, but a request over a link is still delivered.
    DUPLICATE: a request over a link is delivered twice.
    DELAY: the message is delivered later.
    PARTITION, SILENCE: nothing is delivered; the connection stays open.
    PAUSE: as SILENCE, but a request is delivered after the receiver's pause.
    CRASH: the called node or target crashes, also at the step of its response.

    A fault that does not apply to a step has no effect there. At the step
    CALLER_RESPONSE, every fault makes the caller disconnect.
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
_NO_RESPONSE_FAULTS = frozenset(
    {ExchangeFault.PARTITION, ExchangeFault.SILENCE, ExchangeFault.PAUSE}
)
_LINK_LOST_FAULTS = frozenset(
    {ExchangeFault.DROP, ExchangeFault.TRUNCATE, ExchangeFault.CROSS}
)


@dataclasses.dataclass(frozen=True, slots=True)
class _LinkSteps:
    """The three steps of an exchange over one link."""

    connect: ExchangeStep
    request: ExchangeStep
    response: ExchangeStep


_ISSUER_STEPS = _LinkSteps(
    ExchangeStep.ISSUER_CONNECT,
    ExchangeStep.ISSUER_REQUEST,
    ExchangeStep.ISSUER_RESPONSE,
)
_HOME_STEPS = _LinkSteps(
    ExchangeStep.HOME_CONNECT,
    ExchangeStep.HOME_REQUEST,
    ExchangeStep.HOME_RESPONSE,
)


@dataclasses.dataclass(slots=True)
class WorkRecord:
    """The work of one ticket and the results that its callers received.

    Attributes:
      work_id: id of the work.
      results: results of the requests sent with the ticket.
    """

    work_id: str
    results: list[ResponseResult] = dataclasses.field(default_factory=list)


class GuaranteeViolation(Exception):
    """A guarantee to callers that was violated."""


class SimulatedCluster:
    """A simulated cluster of nodes, targets and callers."""

    def __init__(self, loop: virtual_loop.VirtualLoop) -> None:
        """Starts two entry nodes and two homes with one target each."""
        self.loop = loop
        self.clock = virtual_loop.LoopClock(loop)
        self.faults: dict[ExchangeStep, ExchangeFault] = {}
        self.runs: collections.Counter[str] = collections.Counter()
        self.work_by_ticket: dict[str, WorkRecord] = {}
        self.node_names = [*ENTRY_NODES, *HOME_NODES]
        self._counter = itertools.count(1)
        self._tasks: set[asyncio.Task[Any]] = set()
        self.nodes: dict[str, Member] = {}
        for name in self.node_names:
            self.nodes[name] = Member(self, name, next(self._counter))
        for name in self.node_names:
            self.announce_node(name)
        self.run(asyncio.sleep(LEASE_RENEWAL_SECONDS))

    def announce_node(self, name: str) -> None:
        """Announces a node's current incarnation and target to all nodes."""
        member = self.nodes[name]
        for node in self.nodes.values():
            node.add_node(member)
            member.add_node(node)

    def crash(self, name: str) -> None:
        """Crashes a node and restarts it, without informing the other nodes."""
        self.nodes[name].crash()
        fresh = Member(self, name, next(self._counter))
        self.nodes[name] = fresh
        for node in self.nodes.values():
            fresh.add_node(node)

    def take_fault(self, step: ExchangeStep) -> ExchangeFault | None:
        """Returns the fault of a step and removes it."""
        return self.faults.pop(step, None)

    def issue_ticket(self, entry: str) -> str:
        """Issues a new ticket at a node and assigns work to it."""
        ticket = self.nodes[entry].ticketing.issue("boat")
        self.work_by_ticket[ticket] = WorkRecord(f"work-{next(self._counter)}")
        return ticket

    def send(self, entry: str, ticket: str) -> asyncio.Task[Any]:
        """Sends the work of a ticket to a node, as a caller does."""
        member = self.nodes[entry]
        return member.start_task(self._send(member, ticket))

    def settle(self) -> None:
        """Lets time pass until all pending requests have ended."""
        self.run(asyncio.sleep(SETTLE_TIME.total_seconds()))

    def advance(self, seconds: float) -> None:
        """Lets virtual time pass."""
        self.run(asyncio.sleep(seconds))

    def run(self, work: collections.abc.Coroutine[Any, Any, Any]) -> Any:
        """Runs a coroutine on the loop until it completes."""
        return self.loop.run_until_complete(work)

    def close(self) -> None:
        """Stops all nodes and closes the loop."""
        for member in self.nodes.values():
            member.crash()
        self.run(asyncio.sleep(0))
        self.loop.close()

    def check_guarantees(self) -> None:
        """Compares the callers' results with what ran.

        Raises:
          GuaranteeViolation: work ran twice, or a result is false.
        """
        for ticket, record in self.work_by_ticket.items():
            runs = self.runs[record.work_id]
            if runs > 1:
                raise GuaranteeViolation(f"{record.work_id} ran {runs} times")
            for result in record.results:
                _check_result(record, result, runs, ticket)

    async def _send(self, member: "Member", ticket: str) -> None:
        record = self.work_by_ticket[ticket]
        head = exchange.RequestHead(
            request_id=record.work_id,
            method="POST",
            path="/payouts",
            headers=((b"work", record.work_id.encode()),),
            service=SERVICE,
            workspace="boat",
            remaining_time=DEADLINE,
            ticket=ticket,
        )
        body = exchange.RequestBody(record.work_id.encode())
        sending = member.ticketing.serve(ROUTE, head, body)
        if self.take_fault(ExchangeStep.CALLER_RESPONSE) is not None:
            # The caller disconnects, so the response is lost.
            task = member.start_task(sending)
            await asyncio.sleep(WORK_SECONDS / 2)
            task.cancel()
            return
        record.results.append(await sending)


def _check_result(
    record: WorkRecord, result: ResponseResult, runs: int, ticket: str
) -> None:
    if result.is_ok():
        if result.ok.body != record.work_id.encode():
            raise GuaranteeViolation(
                f"{record.work_id} got response {result.ok.body!r}"
            )
        if runs != 1:
            raise GuaranteeViolation(
                f"{record.work_id} got a response but ran {runs} times"
            )
        return
    outcome = result.error.outcome
    if outcome is exchange.ExecutionOutcome.NOT_RUN and runs:
        raise GuaranteeViolation(
            f"{record.work_id} ran after {result.error} ({ticket})"
        )
    if outcome is exchange.ExecutionOutcome.RAN and runs != 1:
        raise GuaranteeViolation(
            f"{record.work_id} did not run despite {result.error}"
        )


class Member:
    """One incarnation of a simulated node; a home has one target."""

    def __init__(
        self, cluster: SimulatedCluster, name: str, incarnation: int
    ) -> None:
        self._cluster = cluster
        self.name = name
        self.is_alive = True
        self.record = view.NodeRecord(name, incarnation, name, "r", "z")
        self.fleet = view.FleetView()
        self._tasks: set[asyncio.Task[Any]] = set()
        rng = random.Random(incarnation)
        identity = registry.HomeIdentity(name, incarnation, "r", "z")
        self.targets = registry.TargetRegistry(identity, cluster.clock)
        session = cast(aiohttp.ClientSession, _FaultySession(cluster))
        self.dispatcher = dispatch.Dispatcher(
            self.targets,
            session,
            session,
            cluster.clock,
            dispatch.NullObserver(),
            attempt_log.AttemptLog(),
        )
        pool = cast(links.LinkPool, _FaultyLinkPool(cluster, self))
        node_gateway = gateway.Gateway(
            name,
            placement.Placement(
                placement.Locality(name, "r", "z"),
                self.fleet,
                lambda service: 0,
                cluster.clock,
                rng,
            ),
            store.ConfigurationStore(),
            self.fleet,
            self.dispatcher,
            pool,
            cluster.clock,
        )
        nonces = itertools.count()
        issuer = tickets.Issuer(
            name,
            incarnation,
            f"secret-{incarnation}".encode(),
            lambda: f"n{next(nonces)}",
        )
        self.ticketing = ticketing.TicketHandler(
            issuer,
            ticket_store.TicketStore(kept_answer_bytes=_MAX_KEPT_BYTES),
            node_gateway,
            self.fleet,
            pool,
            cluster.clock,
            _MAX_KEPT_BYTES,
        )
        if name in HOME_NODES:
            self.start_task(self._renew_target_lease())

    def add_node(self, other: "Member") -> None:
        """Adds another node's incarnation and its target to the view."""
        self.fleet.put_node(other.record)
        if other.name not in HOME_NODES:
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
            health=records.EjectionStatus.NORMAL,
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
            self.targets.remove_expired()
            self.targets.announce(
                f"target-{self.name}", announcement, _SLOTS_PER_TARGET
            )
            await asyncio.sleep(LEASE_RENEWAL_SECONDS)

    def start_task(
        self, work: collections.abc.Coroutine[Any, Any, Any]
    ) -> asyncio.Task[Any]:
        """Starts a task that ends with this incarnation of the node."""
        task = self._cluster.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def crash(self) -> None:
        """Crashes the node: cancels all tasks of this incarnation."""
        self.is_alive = False
        for task in self._tasks:
            task.cancel()
        self.ticketing.cancel_all()


Deliver = collections.abc.Callable[
    ["Member"], collections.abc.Coroutine[Any, Any, ResponseResult]
]


class _FaultyLinkPool:
    """A fake links.LinkPool that injects faults.

    It calls the receiving node directly. After a fault it returns the refusal
    that the real links.LinkPool returns.
    """

    def __init__(self, cluster: SimulatedCluster, owner: Member) -> None:
        self._cluster = cluster
        self._owner = owner

    async def forward(
        self,
        home: view.NodeRecord,
        target: str,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> ResponseResult:
        """Forwards a request to a home, as LinkPool.forward does."""

        async def deliver(member: Member) -> ResponseResult:
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
    ) -> ResponseResult:
        """Forwards to an issuer, as LinkPool.forward_to_issuer does."""

        async def deliver(member: Member) -> ResponseResult:
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
        failures: links.FailureRefusals,
    ) -> ResponseResult:
        match self._cluster.take_fault(steps.connect):
            case (
                None
                | ExchangeFault.DUPLICATE
                | ExchangeFault.CROSS
                | ExchangeFault.TRUNCATE
            ):
                pass
            case ExchangeFault.DELAY:
                await asyncio.sleep(MESSAGE_DELAY_SECONDS)
            case ExchangeFault.DROP:
                return expression.Error(
                    failures.connect_failed_refusal("refused")
                )
            case ExchangeFault.CRASH:
                self._cluster.crash(name)
                return expression.Error(
                    failures.connect_failed_refusal("refused")
                )
            case _:
                await asyncio.sleep(links.CONNECT_TIMEOUT.total_seconds())
                return expression.Error(
                    failures.connect_failed_refusal("no answer")
                )
        result = await self._send_request(name, steps, deliver)
        if result is None:
            return expression.Error(failures.link_lost_refusal("link broken"))
        return result

    async def _send_request(
        self, name: str, steps: _LinkSteps, deliver: Deliver
    ) -> ResponseResult | None:
        """Sends over an open link; returns None if the link was lost."""
        member = self._cluster.nodes[name]
        heartbeat_timeout = links.HEARTBEAT_TIMEOUT.total_seconds()
        fault = self._cluster.take_fault(steps.request)
        if fault is ExchangeFault.CRASH:
            self._cluster.crash(name)
            return None
        if fault is ExchangeFault.PAUSE:
            # The paused node handles the request in its socket buffer later.
            member.start_task(_deliver_later(PAUSE_SECONDS, deliver, member))
        if fault in _NO_RESPONSE_FAULTS:
            await asyncio.sleep(heartbeat_timeout)
            return None
        if fault in (ExchangeFault.DROP, ExchangeFault.TRUNCATE):
            return None
        if fault is ExchangeFault.DELAY:
            await asyncio.sleep(MESSAGE_DELAY_SECONDS)
        if fault is ExchangeFault.DUPLICATE:
            member.start_task(
                _deliver_later(DUPLICATE_DELAY_SECONDS, deliver, member)
            )
        running = member.start_task(deliver(member))
        return await self._await_response(name, steps, running, fault)

    async def _await_response(
        self,
        name: str,
        steps: _LinkSteps,
        running: asyncio.Task[ResponseResult],
        request_fault: ExchangeFault | None,
    ) -> ResponseResult | None:
        fault = self._cluster.take_fault(steps.response)
        if fault in _NO_RESPONSE_FAULTS:
            await asyncio.sleep(links.HEARTBEAT_TIMEOUT.total_seconds())
            return None
        try:
            result = await running
        except asyncio.CancelledError:
            if not running.cancelled() or self._is_caller_cancelled():
                running.cancel()
                raise
            return None
        if fault is ExchangeFault.CRASH:
            self._cluster.crash(name)
            return None
        if fault is ExchangeFault.DELAY:
            await asyncio.sleep(MESSAGE_DELAY_SECONDS)
        if fault in _LINK_LOST_FAULTS or request_fault is ExchangeFault.CROSS:
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

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster = cluster

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
        trace_request_ctx.has_connection = True
        work = headers["work"]
        match self._cluster.take_fault(ExchangeStep.TARGET_REQUEST):
            case (
                ExchangeFault.DROP
                | ExchangeFault.TRUNCATE
                | ExchangeFault.CRASH
                | ExchangeFault.CROSS
            ):
                raise connections.ResponseLostError("closed")
            case ExchangeFault.SILENCE | ExchangeFault.PARTITION:
                await asyncio.sleep(SETTLE_TIME.total_seconds())
            case ExchangeFault.PAUSE:
                self._cluster.loop.call_later(
                    PAUSE_SECONDS, self._record_run, work
                )
                await asyncio.sleep(SETTLE_TIME.total_seconds())
            case ExchangeFault.DELAY:
                await asyncio.sleep(MESSAGE_DELAY_SECONDS)
            case _:
                pass
        self._record_run(work)
        await asyncio.sleep(WORK_SECONDS)
        match self._cluster.take_fault(ExchangeStep.TARGET_RESPONSE):
            case (
                ExchangeFault.DROP
                | ExchangeFault.TRUNCATE
                | ExchangeFault.CRASH
                | ExchangeFault.CROSS
            ):
                raise connections.ResponseLostError("closed")
            case (
                ExchangeFault.SILENCE
                | ExchangeFault.PARTITION
                | ExchangeFault.PAUSE
            ):
                await asyncio.sleep(SETTLE_TIME.total_seconds())
            case ExchangeFault.DELAY:
                await asyncio.sleep(MESSAGE_DELAY_SECONDS)
            case _:
                pass
        return _Response(work.encode())

    async def _connect(self) -> None:
        match self._cluster.take_fault(ExchangeStep.TARGET_CONNECT):
            case (
                ExchangeFault.DROP
                | ExchangeFault.CRASH
                | ExchangeFault.TRUNCATE
            ):
                raise aiohttp.ClientConnectionError("refused")
            case (
                ExchangeFault.SILENCE
                | ExchangeFault.PARTITION
                | ExchangeFault.PAUSE
            ):
                await asyncio.sleep(connections.CONNECT_TIMEOUT.total_seconds())
                raise aiohttp.ServerTimeoutError("connect")
            case ExchangeFault.DELAY:
                await asyncio.sleep(MESSAGE_DELAY_SECONDS)
            case _:
                pass

    def _record_run(self, work: str) -> None:
        self._cluster.runs[work] += 1


class _Response:
    """A target's complete response, whose body is the id of the work."""

    status = 200
    raw_headers: exchange.HeaderList = ()

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.content_length = len(body)
        self.headers: dict[str, str] = {}

    async def read(self) -> bytes:
        """Returns the body."""
        return self._body

    def close(self) -> None:
        """Does nothing, since no connection is held."""
