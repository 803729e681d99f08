"""Hands requests over to this home's targets, by HTTP."""

import asyncio
import collections.abc
import dataclasses
import datetime
import logging

import aiohttp
import expression
import multidict
import yarl

from endivewind import clock as clocks
from endivewind import exchange
from endivewind import headers
from endivewind.targets import answers
from endivewind.targets import connections
from endivewind.targets import doubts
from endivewind.targets import evidence
from endivewind.targets import handover
from endivewind.targets import records
from endivewind.targets import registry
from endivewind.targets import slots
from endivewind.targets import working

log = logging.getLogger(__name__)

BUSY_RETRY = datetime.timedelta(milliseconds=200)
_LEAST_TIME = datetime.timedelta(milliseconds=1)
# A target may go on for a moment with work whose caller has left.
WORKS_ON = datetime.timedelta(milliseconds=500)
AnswerResult = expression.Result[exchange.Response, exchange.Refusal]


class Unobserved:
    """An observer that keeps nothing."""

    def started(self, target: str, service: str) -> int:
        """Takes the start of a hand-over."""
        return 0

    def finished(self, sample: evidence.Sample) -> None:
        """Takes one sample."""


class Dispatcher:
    """Runs requests at targets within their slots."""

    def __init__(
        self,
        targets: registry.TargetRegistry,
        pooled: aiohttp.ClientSession,
        fresh: aiohttp.ClientSession,
        clock: clocks.Clock,
        observer: evidence.Observer,
        ledger: handover.HandOverLedger,
        names: headers.HeaderNames = headers.DEFAULT_NAMES,
    ) -> None:
        """Builds a dispatcher.

        Args:
          targets: the targets of this home.
          pooled: reuses connections.
          fresh: opens a connection for each request.
          clock: for latencies and the age of attempts.
          observer: hears how each hand-over ended.
          ledger: attempts that must not be handed over again.
          names: the headers that targets know.
        """
        self._names = names
        self._targets = targets
        self._pooled = pooled
        self._fresh = fresh
        self._clock = clock
        self._observer = observer
        self._ledger = ledger
        self._doubts = doubts.ConnectionDoubts()
        self._closed = False

    @classmethod
    def from_registry(
        cls,
        targets: registry.TargetRegistry,
        clock: clocks.Clock | None = None,
        observer: evidence.Observer | None = None,
        names: headers.HeaderNames = headers.DEFAULT_NAMES,
    ) -> "Dispatcher":
        """Builds a dispatcher with connections of its own."""
        pooled = connections.Connector(reuse=True)
        fresh = connections.Connector(reuse=False)
        return cls(
            targets,
            connections.session(pooled),
            connections.session(fresh),
            clock or clocks.SystemClock(),
            observer or Unobserved(),
            handover.HandOverLedger(),
            names,
        )

    async def close(self) -> None:
        """Closes the connections to targets."""
        await self._pooled.close()
        await self._fresh.close()

    @property
    def is_working(self) -> bool:
        """Whether a target of this home has work, or may still have some."""
        now = self._clock.monotonic()
        return any(
            item.pending
            or (item.left_off is not None and now - item.left_off < WORKS_ON)
            for item in self._targets.held()
        )

    @property
    def repeat_share(self) -> float:
        """The part of the targets' work that others may have had before."""
        work = [
            hand_over.is_repeat
            for item in self._targets.held()
            for hand_over in item.pending
        ]
        return sum(work) / len(work) if work else 0.0

    def refuse_new(self) -> None:
        """Hands nothing over any more; what runs goes on."""
        self._closed = True

    async def run_forwarded(
        self,
        target: str,
        home_incarnation: int,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> AnswerResult:
        """Runs a request of another node, if it is meant for this start.

        An earlier start's record of attempts is gone with it, so that this
        one could not tell a copy from a first hand-over.
        """
        if home_incarnation != self._targets.incarnation:
            return _refuse(
                exchange.Reason.STALE_HOME, "an earlier start was meant"
            )
        return await self.run(target, head, body)

    async def run(
        self,
        target: str,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> AnswerResult:
        """Runs one request at one target of this home.

        An attempt under a ticket is recorded before anything else happens
        and sealed when it ends before the target saw a byte. Without the
        record a second copy of it would run again.
        """
        if not head.ticket:
            return await self._run(target, head, body)
        refused = self._ledger.begin(
            head.ticket, head.attempt, self._clock.monotonic()
        )
        if refused is not None:
            return expression.Error(refused)
        result = await self._run(target, head, body)
        if result.is_error() and result.error.was_not_run:
            self._ledger.seal(head.ticket, head.attempt)
        return result

    async def _run(
        self,
        target: str,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> AnswerResult:
        deadline = self._clock.monotonic() + head.remaining
        item = self._targets.get(target)
        if item is None:
            return expression.Error(self._not_here(target))
        refused = self._refusal(item, head)
        if refused is not None:
            return refused
        place = slots.waiter(head.queue_priority, deadline)
        if not await item.slots.take(item.record.slots, place):
            return _refuse(
                exchange.Reason.BUSY,
                f"{target} has no free slot",
                BUSY_RETRY,
                self._glance(item),
            )
        # While this waited the target may have been announced as leaving.
        refused = self._refusal(item, head)
        if refused is not None:
            item.slots.free(item.record.slots)
            return refused
        left = max(deadline - self._clock.monotonic(), _LEAST_TIME)
        return await self._hand_over(
            item, head.for_attempt(head.attempt, left), body
        )

    def _refusal(
        self, item: registry.HomeTarget, head: exchange.RequestHead
    ) -> AnswerResult | None:
        """Why a target gets no work now, or not this request; else None."""
        target = item.record.id
        if self._closed:
            return _refuse(exchange.Reason.STOPPING, "the home is leaving")
        gone = self._targets.get(target) is not item
        if gone or item.record.state is records.State.DRAINING:
            return _refuse(exchange.Reason.STOPPING, f"{target} is leaving")
        glance = self._glance(item)
        if head.ticket and glance.suspicion > head.max_suspicion:
            return _refuse(
                exchange.Reason.SUSPECT,
                f"{target} is likely sick",
                BUSY_RETRY,
                glance,
            )
        return None

    def _glance(self, item: registry.HomeTarget) -> exchange.TargetStatus:
        return item.glance(self._clock.monotonic())

    async def _hand_over(
        self,
        item: registry.HomeTarget,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> AnswerResult:
        """Hands one request over; its slot is taken already."""
        hand_over = working.HandOver(
            item, head, self._clock, self._observer, self._doubts
        )
        try:
            result = await self._send(hand_over, head, body)
        except BaseException:
            hand_over.cancelled()
            raise
        if result.is_error():
            hand_over.end()
            return expression.Error(
                dataclasses.replace(
                    result.error, target_status=self._glance(item)
                )
            )
        if result.ok.stream is None:
            hand_over.end()
        result.ok.target_status = self._glance(item)
        return result

    def look(self) -> None:
        """Counts requests without an aim that are overdue; call it often.

        A target that hangs ends nothing: without this nothing would speak
        against it until the first deadline has passed.
        """
        now = self._clock.monotonic()
        for item in self._targets.held():
            for hand_over in item.pending:
                hand_over.look(now)

    def _not_here(self, target: str) -> exchange.Refusal:
        """Names the target's later home, which the entry may not know yet.

        During a planned stop targets move at once and the news takes a gossip
        round; without the name callers of a service's only target would be
        refused in between.
        """
        return exchange.Refusal(
            exchange.Outcome.NOT_RUN,
            exchange.Reason.STALE_HOME,
            f"{target} is not here",
            moved_to=self._targets.moved_to(target),
        )

    async def _send(
        self,
        hand_over: working.HandOver,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> AnswerResult:
        """Sends a request over a kept connection, or a fresh one.

        Failure: a kept connection has been closed or forgotten by the other
        side. Symptom: work that may not repeat is sent into it, and nobody
        can tell whether it ran. It gets a fresh connection from the start,
        and so does all work of a target whose kept ones are in doubt. What
        may repeat is sent again by the entry, whose budget pays for it.
        """
        once = bool(head.ticket)
        now = self._clock.monotonic()
        fresh = once or self._doubts.fresh_only(hand_over.item.record.id, now)
        deadline = head.remaining.total_seconds()
        try:
            async with asyncio.timeout(deadline):
                session = self._fresh if fresh else self._pooled
                return await self._request(session, hand_over, head, body)
        except TimeoutError:
            return _timed_out(hand_over)
        except (
            connections.HandOverLostError,
            aiohttp.ClientError,
            OSError,
            exchange.TruncatedResponseError,
        ) as error:
            return _lost(hand_over, error)

    async def _request(
        self,
        session: aiohttp.ClientSession,
        hand_over: working.HandOver,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> AnswerResult:
        progress = connections.Progress()
        hand_over.progress = progress
        response = await session.request(
            head.method,
            yarl.URL(hand_over.item.address + head.path, encoded=True),
            headers=_headers_out(head, hand_over.item.record.id, self._names),
            data=_body_out(body, progress),
            allow_redirects=False,
            trace_request_ctx=progress,
        )
        self._check_answer(head, response)
        refused = answers.not_run_by_target(response, self._names)
        if refused is not None:
            hand_over.answered(response.status)
            hand_over.kind = evidence.Kind.SHED
            await answers.read_away(response)
            return expression.Error(refused)
        hand_over.answered(response.status)
        return await answers.read(hand_over, response)

    def _check_answer(
        self, head: exchange.RequestHead, response: aiohttp.ClientResponse
    ) -> None:
        """Refuses the answer to another request.

        Failure: a target answers one request twice, the second time after the
        connection went back to the pool. Symptom: the next caller gets a
        stranger's answer. Answers that bear a mark also bear the id of their
        request; one with another id, or a success without, is not ours.
        """
        if not self._names.response_marker:
            return
        told = response.headers.get(self._names.request_id)
        succeeded = 200 <= response.status < 300
        if told == head.request_id or (told is None and not succeeded):
            return
        response.close()
        raise connections.HandOverLostError("the answer is to another request")


def _timed_out(hand_over: working.HandOver) -> AnswerResult:
    if not hand_over.may_have_run:
        return _unreachable(hand_over, "connect timed out")
    hand_over.timed_out()
    detail = "no answer before the deadline"
    return expression.Error(
        exchange.outcome_unknown(exchange.Reason.DEADLINE, detail)
    )


def _lost(hand_over: working.HandOver, error: Exception) -> AnswerResult:
    detail = str(error) or type(error).__name__
    if not hand_over.may_have_run:
        return _unreachable(hand_over, detail)
    broken_body = hand_over.progress.broken_body
    if broken_body is not None:
        # The caller did it; the target is not to blame.
        hand_over.kind = evidence.Kind.CANCELLED
        return expression.Error(exchange.truncated_body(broken_body))
    hand_over.kind = evidence.Kind.LOST
    return expression.Error(
        exchange.outcome_unknown(exchange.Reason.TARGET_LOST, detail)
    )


def _unreachable(hand_over: working.HandOver, detail: str) -> AnswerResult:
    hand_over.kind = evidence.Kind.REFUSED_CONNECTION
    return _refuse(exchange.Reason.UNREACHABLE, detail)


def _refuse(
    reason: exchange.Reason,
    detail: str,
    retry_after: datetime.timedelta | None = None,
    glance: exchange.TargetStatus | None = None,
) -> AnswerResult:
    return expression.Error(
        exchange.not_run(reason, detail, retry_after, glance)
    )


def _body_out(
    body: exchange.RequestBody, progress: connections.Progress
) -> bytes | collections.abc.AsyncIterator[bytes] | None:
    if body.stream is None:
        return body.buffered or None
    return _joined(body.buffered, body.stream, progress)


async def _joined(
    held: bytes,
    rest: collections.abc.AsyncIterator[bytes],
    progress: connections.Progress,
) -> collections.abc.AsyncGenerator[bytes, None]:
    if held:
        yield held
    try:
        async for data in rest:
            yield data
    except exchange.TruncatedBodyError as error:
        progress.broken_body = error
        raise


def _headers_out(
    head: exchange.RequestHead, target: str, names: headers.HeaderNames
) -> multidict.CIMultiDict[str]:
    fields = multidict.CIMultiDict(
        [
            (name.decode("latin-1"), value.decode("utf-8", "surrogateescape"))
            for name, value in head.headers
        ]
    )
    remaining = head.remaining // datetime.timedelta(milliseconds=1)
    fields[names.timeout_ms] = str(max(1, remaining))
    if names.expected_target:
        fields[names.expected_target] = target
    if head.workspace:
        fields[names.workspace] = head.workspace
    return fields
