"""Runs work that must not repeat: between the listener and the gateway."""

import asyncio
import dataclasses
import datetime
import logging

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.callers import gateway
from endivewind.callers import ticket_book
from endivewind.callers import tickets
from endivewind.config import objects
from endivewind.nodes import links
from endivewind.nodes import view

log = logging.getLogger(__name__)

ISSUER_RETRY = datetime.timedelta(seconds=1)
JOIN_RETRY = datetime.timedelta(seconds=1)

AnswerResult = gateway.AnswerResult


@dataclasses.dataclass(slots=True)
class _Execution:
    """One run of a ticket, shared by the sends that wait for it.

    Attributes:
      finished: its result, once its record is finished.
      stream: an answer too large to keep; the first send to take it gets it.
      waiting: sends that wait for the result.
    """

    finished: asyncio.Future[AnswerResult]
    stream: exchange.Response | None = None
    waiting: int = 0

    async def discard_unwanted(self) -> None:
        """Closes the stream if no send is left that could take it."""
        if self.waiting or self.stream is None:
            return
        stream, self.stream = self.stream, None
        if stream.stream is not None:
            await stream.stream.aclose()


class Ticketing:
    """Issues tickets, finds their issuer and runs each ticket once."""

    def __init__(
        self,
        issuer: tickets.Issuer,
        book: ticket_book.TicketBook,
        served: gateway.Gateway,
        fleet: view.FleetView,
        pool: links.LinkPool,
        clock: clocks.Clock,
        kept_answer_bytes: int,
    ) -> None:
        self._issuer = issuer
        self._book = book
        self._gateway = served
        self._fleet = fleet
        self._pool = pool
        self._clock = clock
        self._kept_answer_bytes = kept_answer_bytes
        self._executions: dict[str, _Execution] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def running(self) -> int:
        """Tickets whose work runs now."""
        return len(self._tasks)

    def issue(self, workspace: str) -> str:
        """A new ticket for a workspace, as its header value."""
        return self._issuer.issue(workspace, self._clock.monotonic()).text

    def abandon(self) -> None:
        """Cancels all runs, as the end of the process would."""
        for task in self._tasks:
            task.cancel()

    def close(self) -> None:
        """Starts no work under a ticket any more."""
        self._book.close()

    async def drained(self) -> None:
        """Waits until no work under a ticket runs."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def kept_for(self) -> datetime.timedelta:
        """How long a resend may still be answered from here."""
        return self._book.kept_for(self._clock.monotonic())

    async def serve(
        self,
        route: objects.Route,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> AnswerResult:
        """Passes a send to the issuer of its ticket, which may be this node."""
        ticket = tickets.parse(head.ticket)
        if ticket is None:
            return _error(
                exchange.not_run(
                    exchange.Reason.TICKET_INVALID,
                    "send the Idempotency-Key of a 428 answer",
                )
            )
        # One spelling of each ticket from here on, the home's record included.
        head = dataclasses.replace(head, ticket=ticket.text)
        if ticket.node == self._issuer.node:
            return await self.execute(
                head, body, route.priority, ticket.incarnation
            )
        issuer = self._fleet.nodes.get(ticket.node)
        if issuer is None:
            return _issuer_lost("the key's node is not known", ISSUER_RETRY)
        if issuer.incarnation > ticket.incarnation:
            return _issuer_lost("the key's node was restarted", None)
        return await self._pool.forward_to_issuer(
            issuer, ticket.incarnation, head, body, route.priority.value
        )

    async def execute(
        self,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        priority: objects.Priority,
        incarnation: int,
    ) -> AnswerResult:
        """Runs a send of a ticket of this node, joins it or answers it again.

        The work runs in a task of its own: a caller that leaves does not
        cancel it, so that the resend gets its answer.
        """
        ticket = tickets.parse(head.ticket)
        if ticket is None or incarnation != self._issuer.incarnation:
            return _issuer_lost("the key's node was restarted", None)
        if not self._issuer.verify(ticket, head.workspace):
            # It may be another workspace's ticket, under which work ran.
            return _error(
                exchange.outcome_unknown(
                    exchange.Reason.TICKET_INVALID,
                    "the key was not issued to this workspace",
                )
            )
        mark = tickets.fingerprint(head, body.buffered)
        claimed = self._book.claim(ticket, mark, self._clock.monotonic())
        match claimed:
            case expression.Result(
                tag="ok", ok=ticket_book.Step.START | ticket_book.Step.JOIN
            ):
                if claimed.ok is ticket_book.Step.START:
                    self._start(ticket, head, body, priority)
                return await self._join(ticket, head)
            case expression.Result(tag="ok", ok=exchange.Response() as kept):
                return expression.Ok(kept)
            case _:
                return _error(claimed.error)

    def _start(
        self,
        ticket: tickets.Ticket,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        priority: objects.Priority,
    ) -> None:
        loop = asyncio.get_running_loop()
        execution = _Execution(loop.create_future())
        self._executions[ticket.text] = execution
        route = objects.Route(
            service=head.service,
            repeat=objects.Repeat.NEVER,
            priority=priority,
        )
        work = self._run(execution, ticket, route, head, body)
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(
        self,
        execution: _Execution,
        ticket: tickets.Ticket,
        route: objects.Route,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> None:
        result = _error(
            exchange.outcome_unknown(
                exchange.Reason.TARGET_LOST, "the run was broken"
            )
        )
        try:
            served = await self._gateway.serve(route, head, body)
            result = await self._collect(served)
        except Exception:
            log.exception("work under a ticket failed")
        finally:
            if result.is_ok() and result.ok.stream is not None:
                execution.stream = result.ok
                result = _error(ticket_book.NOT_KEPT)
            self._book.finish(ticket, result)
            execution.finished.set_result(result)
            del self._executions[ticket.text]
            await execution.discard_unwanted()

    async def _collect(self, result: AnswerResult) -> AnswerResult:
        """Reads a streamed answer to its end, if it is small enough to keep."""
        if result.is_error() or result.ok.stream is None:
            return result
        answer = result.ok
        rest = result.ok.stream
        held = bytearray(answer.body)
        try:
            async for data in rest:
                held += data
                if len(held) > self._kept_answer_bytes:
                    answer.body = bytes(held)
                    return expression.Ok(answer)
        except exchange.TruncatedResponseError as error:
            return _error(
                exchange.outcome_unknown(
                    exchange.Reason.TARGET_LOST, str(error)
                )
            )
        return expression.Ok(
            exchange.Response(answer.status, answer.headers, bytes(held))
        )

    async def _join(
        self, ticket: tickets.Ticket, head: exchange.RequestHead
    ) -> AnswerResult:
        execution = self._executions[ticket.text]
        execution.waiting += 1
        try:
            async with asyncio.timeout(head.remaining.total_seconds()):
                result = await asyncio.shield(execution.finished)
            stream, execution.stream = execution.stream, None
            return result if stream is None else expression.Ok(stream)
        except TimeoutError:
            return _error(
                exchange.outcome_unknown(
                    exchange.Reason.DEADLINE,
                    "still running; send the same key again",
                    JOIN_RETRY,
                )
            )
        finally:
            execution.waiting -= 1
            await execution.discard_unwanted()


def unconfirmed(refusal: exchange.Refusal) -> exchange.Refusal:
    """A refusal of a send with a ticket by one who is not its issuer.

    The entry knows that this send did not run, but not whether an earlier
    one with the same ticket did; only the issuer may say "not run".
    """
    if refusal.outcome is not exchange.Outcome.NOT_RUN:
        return refusal
    return dataclasses.replace(refusal, outcome=exchange.Outcome.UNKNOWN)


def _issuer_lost(
    detail: str, retry_after: datetime.timedelta | None
) -> AnswerResult:
    return _error(
        exchange.outcome_unknown(
            exchange.Reason.ISSUER_LOST, detail, retry_after
        )
    )


def _error(refusal: exchange.Refusal) -> AnswerResult:
    return expression.Error(refusal)
