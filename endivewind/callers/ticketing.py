"""Handles requests with tickets, each of which runs at most once.

The listener passes requests with an idempotency key on to the ticket handler,
which forwards them to the issuer of the ticket. The issuer runs the request
through the gateway and responds to resends of it from its ticket store.
"""

import asyncio
import dataclasses
import datetime
import logging

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.callers import abort_controller
from endivewind.callers import gateway
from endivewind.callers import ticket_store
from endivewind.callers import tickets
from endivewind.config import objects
from endivewind.nodes import links
from endivewind.nodes import view

log = logging.getLogger(__name__)

ISSUER_RETRY_AFTER = datetime.timedelta(seconds=1)
JOIN_RETRY_AFTER = datetime.timedelta(seconds=1)

ResponseResult = gateway.ResponseResult


@dataclasses.dataclass(slots=True)
class _Execution:
    """The execution of a ticket's request, shared by all copies that wait.

    Attributes:
      result: the result, set once the record is finished.
      streamed_response: a response too large to keep; only the first waiter
        gets it.
      waiter_count: number of copies of the request that wait for the result.
    """

    result: asyncio.Future[ResponseResult]
    streamed_response: exchange.Response | None = None
    waiter_count: int = 0

    async def discard_unclaimed_stream(self) -> None:
        """Closes the streamed response if nobody is waiting for it."""
        if self.waiter_count or self.streamed_response is None:
            return
        stream, self.streamed_response = self.streamed_response, None
        if stream.stream is not None:
            await stream.stream.aclose()


class TicketHandler:
    """Issues tickets, forwards requests to issuers, runs each ticket once."""

    def __init__(
        self,
        issuer: tickets.Issuer,
        store: ticket_store.TicketStore,
        request_gateway: gateway.Gateway,
        fleet: view.FleetView,
        pool: links.LinkPool,
        clock: clocks.Clock,
        kept_answer_bytes: int,
        aborts: abort_controller.AbortController | None = None,
    ) -> None:
        self._issuer = issuer
        self._store = store
        self._gateway = request_gateway
        self._fleet = fleet
        self._pool = pool
        self._clock = clock
        self._kept_answer_bytes = kept_answer_bytes
        self._aborts = aborts or abort_controller.AbortController()
        self._executions: dict[str, _Execution] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def running_count(self) -> int:
        """Number of tickets whose requests are running."""
        return len(self._tasks)

    def issue(self, workspace: str) -> str:
        """Returns a new ticket for a workspace, as a header value."""
        return self._issuer.issue(workspace, self._clock.monotonic()).text

    def cancel_all(self) -> None:
        """Cancels all executions, for the simulation of a crashed process."""
        for task in self._tasks:
            task.cancel()

    def refuse_new_tickets(self) -> None:
        """Refuses new tickets from now on."""
        self._store.refuse_new_tickets()

    async def wait_drained(self) -> None:
        """Waits until no request with a ticket is running."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def remaining_retention(self) -> datetime.timedelta:
        """Returns how long resends may still get results from the store."""
        return self._store.remaining_retention(self._clock.monotonic())

    async def serve(
        self,
        route: objects.Route,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> ResponseResult:
        """Forwards a request to its ticket's issuer, or handles it here."""
        ticket = tickets.parse(head.ticket)
        if ticket is None:
            return _error(
                exchange.not_run_refusal(
                    exchange.Reason.TICKET_INVALID,
                    "send the Idempotency-Key of a 428 response",
                )
            )
        # From here on the ticket is in canonical form, so that the home's
        # record of attempts has one entry for it.
        head = dataclasses.replace(head, ticket=ticket.text)
        if ticket.node == self._issuer.node:
            return await self.execute(
                head, body, route.priority, ticket.incarnation
            )
        issuer = self._fleet.nodes.get(ticket.node)
        if issuer is None:
            return _issuer_lost_error(
                "the key's node is unknown", ISSUER_RETRY_AFTER
            )
        if issuer.incarnation > ticket.incarnation:
            return _issuer_lost_error("the key's node was restarted", None)
        return await self._aborts.run(
            lambda: self._pool.forward_to_issuer(
                issuer, ticket.incarnation, head, body, route.priority.value
            ),
            _forwarding_cut_short,
        )

    async def execute(
        self,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        priority: objects.Priority,
        incarnation: int,
    ) -> ResponseResult:
        """Returns the result of a request whose ticket this node issued.

        The first copy of the request is executed. Later copies wait for it or
        get the recorded result. The request runs in a task of its own, so that
        a caller that disconnects does not cancel it and can resend to get the
        response.

        Args:
          head: the request's head, including the ticket.
          body: the request's body.
          priority: the priority of the request's route.
          incarnation: the incarnation that the sender expects of this node.
        """
        ticket = tickets.parse(head.ticket)
        if ticket is None or incarnation != self._issuer.incarnation:
            return _issuer_lost_error("the key's node was restarted", None)
        if not self._issuer.verify(ticket, head.workspace):
            # The ticket may be another workspace's, and that workspace's
            # request may have run, so the outcome is unknown.
            return _error(
                exchange.unknown_outcome_refusal(
                    exchange.Reason.TICKET_INVALID,
                    "the key was not issued to this workspace",
                )
            )
        fingerprint = tickets.fingerprint(head, body.buffered)
        claim = self._store.claim(ticket, fingerprint, self._clock.monotonic())
        match claim:
            case expression.Result(
                tag="ok",
                ok=ticket_store.ClaimAction.START
                | ticket_store.ClaimAction.JOIN,
            ):
                if claim.ok is ticket_store.ClaimAction.START:
                    self._start_execution(ticket, head, body, priority)
                return await self._wait_for_result(ticket, head)
            case expression.Result(tag="ok", ok=exchange.Response() as kept):
                return expression.Ok(kept)
            case _:
                return _error(claim.error)

    def _start_execution(
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
            repeat=objects.RepeatPolicy.NEVER,
            priority=priority,
        )
        coroutine = self._execute_once(execution, ticket, route, head, body)
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _execute_once(
        self,
        execution: _Execution,
        ticket: tickets.Ticket,
        route: objects.Route,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> None:
        result = _error(
            exchange.unknown_outcome_refusal(
                exchange.Reason.TARGET_LOST, "the execution was interrupted"
            )
        )
        try:
            unbuffered = await self._gateway.serve(route, head, body)
            result = await self._buffer_response(unbuffered)
        except Exception:
            log.exception("executing a request with a ticket failed")
        finally:
            if result.is_ok() and result.ok.stream is not None:
                execution.streamed_response = result.ok
                result = _error(ticket_store.RESPONSE_NOT_KEPT)
            self._store.finish(ticket, result)
            execution.result.set_result(result)
            del self._executions[ticket.text]
            await execution.discard_unclaimed_stream()

    async def _buffer_response(self, result: ResponseResult) -> ResponseResult:
        """Reads a streamed response to its end if it is small enough."""
        if result.is_error() or result.ok.stream is None:
            return result
        response, stream = result.ok, result.ok.stream
        buffered = await self._aborts.run(
            lambda: self._read_stream(response, stream), _execution_cut_short
        )
        if buffered.is_error():
            await stream.aclose()
        return buffered

    async def _read_stream(
        self, response: exchange.Response, stream: exchange.ByteStream
    ) -> ResponseResult:
        received = bytearray(response.body)
        try:
            async for data in stream:
                received += data
                if len(received) > self._kept_answer_bytes:
                    response.body = bytes(received)
                    return expression.Ok(response)
        except exchange.TruncatedResponseError as error:
            return _error(
                exchange.unknown_outcome_refusal(
                    exchange.Reason.TARGET_LOST, str(error)
                )
            )
        return expression.Ok(
            exchange.Response(
                response.status, response.headers, bytes(received)
            )
        )

    async def _wait_for_result(
        self, ticket: tickets.Ticket, head: exchange.RequestHead
    ) -> ResponseResult:
        execution = self._executions[ticket.text]
        execution.waiter_count += 1
        try:
            # An abort ends the execution, whose result is the outcome.
            with self._aborts.shield():
                async with asyncio.timeout(head.remaining_time.total_seconds()):
                    result = await asyncio.shield(execution.result)
            stream, execution.streamed_response = (
                execution.streamed_response,
                None,
            )
            return result if stream is None else expression.Ok(stream)
        except TimeoutError:
            return _error(
                exchange.unknown_outcome_refusal(
                    exchange.Reason.DEADLINE,
                    "still running; resend with the same key",
                    JOIN_RETRY_AFTER,
                )
            )
        finally:
            execution.waiter_count -= 1
            await execution.discard_unclaimed_stream()


def with_unknown_outcome(refusal: exchange.Refusal) -> exchange.Refusal:
    """Returns the refusal with the outcome "unknown" instead of "not run".

    For refusals of a request with a ticket by a node that is not the issuer.
    The entry node knows that this copy of the request did not run, but not
    whether an earlier one did; only the issuer may report "not run".
    """
    if refusal.outcome is not exchange.ExecutionOutcome.NOT_RUN:
        return refusal
    return dataclasses.replace(
        refusal, outcome=exchange.ExecutionOutcome.UNKNOWN
    )


def _forwarding_cut_short() -> ResponseResult:
    """Returns the result of a request that its issuer may still execute."""
    return _error(
        exchange.unknown_outcome_refusal(
            exchange.Reason.CUT_SHORT,
            "the node stopped before the key's node responded; resend with"
            " the same key",
            JOIN_RETRY_AFTER,
        )
    )


def _execution_cut_short() -> ResponseResult:
    """Returns the result of an execution without its whole response."""
    return _error(
        exchange.unknown_outcome_refusal(
            exchange.Reason.CUT_SHORT,
            "the node stopped before the whole response arrived",
        )
    )


def _issuer_lost_error(
    detail: str, retry_after: datetime.timedelta | None
) -> ResponseResult:
    return _error(
        exchange.unknown_outcome_refusal(
            exchange.Reason.ISSUER_LOST, detail, retry_after
        )
    )


def _error(refusal: exchange.Refusal) -> ResponseResult:
    return expression.Error(refusal)
