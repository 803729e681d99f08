"""Links to other nodes, the connecting end: forwards requests.

A link carries one exchange at a time, so that TCP gives the backpressure and
closing the link is the cancellation. Every frame carries the exchange's
number, and a link whose state is in doubt is closed, never used again.
"""

import asyncio
import collections.abc
import dataclasses
import datetime
import itertools
import logging
import ssl
from typing import Any

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.nodes import chunks
from endivewind.nodes import codec
from endivewind.nodes import traffic
from endivewind.nodes import view

log = logging.getLogger(__name__)

# Four round trips between regions. A VM without power answers nothing, and
# what waits here longer could be on its way to another home.
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=250)
# A middlebox forgets idle connections without a word; these bounds keep the
# pool from handing out one that has gone silent.
IDLE_LIMIT = datetime.timedelta(seconds=15)
AGE_LIMIT = datetime.timedelta(minutes=5)
MAX_IDLE_PER_PEER = 32
# Four heartbeats lost in a row are not jitter on links that take 30 ms.
SILENCE_LIMIT = datetime.timedelta(seconds=1)
# Four round trips between regions; a process that stands still for longer
# does not get work that would be lost with it.
ANSWER_LIMIT = datetime.timedelta(milliseconds=250)
# The home answers at the deadline itself; this is its time to say so.
DEADLINE_GRACE = datetime.timedelta(milliseconds=500)
ISSUER_LOST_RETRY = datetime.timedelta(seconds=1)

AnswerResult = expression.Result[exchange.Response, exchange.Refusal]


@dataclasses.dataclass(slots=True)
class _Link:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    opened: datetime.timedelta
    used: datetime.timedelta

    def close(self) -> None:
        self.writer.close()


class LinkPool:
    """Connections to peers, for forwarding and for gossip's repairs."""

    def __init__(
        self,
        clock: clocks.Clock,
        tls: ssl.SSLContext | None = None,
        meter: traffic.Meter | None = None,
    ) -> None:
        self._clock = clock
        self._tls = tls
        self._meter = meter or traffic.Unmetered()
        self._idle: dict[str, list[_Link]] = {}
        self._numbers = itertools.count(1)

    @property
    def idle(self) -> int:
        """Open links that carry nothing now."""
        return sum(len(links) for links in self._idle.values())

    async def forward(
        self,
        home: view.NodeRecord,
        target: str,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> AnswerResult:
        """Sends a request to the home of a target and returns its answer.

        Returns:
          The answer or the home's refusal. A link that breaks after the
          request was sent leaves the outcome unknown.
        """
        forward = _forward_out(head, body)
        forward.target = target
        forward.home_incarnation = home.incarnation
        return await self._call(home, forward, head, body, HOME_FAILURES)

    async def forward_to_issuer(
        self,
        issuer: view.NodeRecord,
        incarnation: int,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        priority: str,
    ) -> AnswerResult:
        """Sends a request to the issuer of its ticket.

        Returns:
          The answer or the issuer's refusal. Any failure of the link leaves
          the outcome unknown: an earlier send may have run.
        """
        forward = _forward_out(head, body)
        forward.to_issuer = True
        forward.home_incarnation = incarnation
        forward.priority = priority
        return await self._call(issuer, forward, head, body, ISSUER_FAILURES)

    async def _call(
        self,
        peer: view.NodeRecord,
        forward: Any,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        failures: "Failures",
    ) -> AnswerResult:
        number = next(self._numbers)
        try:
            link = await self._open(
                peer.address, number, once=bool(head.ticket)
            )
        except (EOFError, OSError, codec.FrameError) as error:
            detail = f"{peer.name}: {error or 'no answer'}"
            return expression.Error(failures.unreachable(detail))
        forward.exchange = number
        limit = head.remaining + DEADLINE_GRACE
        try:
            async with asyncio.timeout(limit.total_seconds()):
                size = await _send_request(link, forward, body)
                self._meter.sent(traffic.Kind.REQUESTS, peer.address, size)
                return await self._receive(peer.address, link, number)
        except (OSError, EOFError, codec.FrameError) as error:
            link.close()
            self._distrust(peer.address)
            detail = f"link to {peer.name}: {error or 'silent'}"
            return expression.Error(failures.lost(detail))
        except exchange.TruncatedBodyError as error:
            link.close()
            return expression.Error(exchange.truncated_body(error))
        except BaseException:
            link.close()
            raise

    async def _open(self, address: str, number: int, *, once: bool) -> _Link:
        """A link for one exchange; one that has just answered where it counts.

        Failure: the way to a home, or the way back, has gone silent, or its
        process stands still. Symptom: a payout is sent, nothing comes back,
        and nobody can tell any more whether it ran. A question before it
        costs a round trip, and its silence says for sure that nothing ran;
        what is left is the moment between the answer and the request.
        """
        link = self._take_idle(address)
        if not once:
            return link or await self._connect(address)
        if link is not None and await _answers(link, number):
            return link
        self._distrust(address)
        link = await self._connect(address)
        if await _answers(link, number):
            return link
        raise TimeoutError("no answer")

    async def send(self, address: str, frame: Any) -> bool:
        """Sends one frame that needs no answer; False if it can't be sent."""
        link = self._take_idle(address)
        try:
            if link is None:
                link = await self._connect(address)
            data = codec.encode_frame(frame)
            self._meter.sent(_kind(frame), address, len(data))
            link.writer.write(data)
            async with asyncio.timeout(SILENCE_LIMIT.total_seconds()):
                await link.writer.drain()
        except (TimeoutError, OSError):
            if link is not None:
                link.close()
            return False
        self._give_back(address, link)
        return True

    async def ask(
        self, address: str, question: Any, limit: datetime.timedelta
    ) -> Any | None:
        """Sends a question and returns its answer, both as frames.

        Returns:
          None where no answer came within the limit; the question may have
          been taken nevertheless.
        """
        link = self._take_idle(address)
        try:
            async with asyncio.timeout(limit.total_seconds()):
                if link is None:
                    link = await self._connect(address)
                data = codec.encode_frame(question)
                self._meter.sent(traffic.Kind.QUESTIONS, address, len(data))
                link.writer.write(data)
                answer = await _next_frame(link)
        except (EOFError, OSError, codec.FrameError) as error:
            log.debug("%s gives no answer: %s", address, error or "silent")
            if link is not None:
                link.close()
            return None
        except BaseException:
            if link is not None:
                link.close()
            raise
        self._give_back(address, link)
        return answer

    def _distrust(self, address: str) -> None:
        """Drops idle connections to a peer after one of them broke.

        They were opened about the same time and took the same way; the next
        request takes a fresh connection, which tells a connection that was
        forgotten from a path that is broken.
        """
        for link in self._idle.pop(address, []):
            link.close()

    def close(self) -> None:
        """Closes every idle connection."""
        for links in self._idle.values():
            for link in links:
                link.close()
        self._idle.clear()

    def _take_idle(self, address: str) -> _Link | None:
        links = self._idle.get(address, [])
        now = self._clock.monotonic()
        while links:
            link = links.pop()
            fresh = now - link.used < IDLE_LIMIT and (
                now - link.opened < AGE_LIMIT
            )
            closed = link.reader.at_eof() or link.writer.is_closing()
            if fresh and not closed:
                return link
            link.close()
        return None

    def _give_back(self, address: str, link: _Link) -> None:
        links = self._idle.setdefault(address, [])
        if len(links) >= MAX_IDLE_PER_PEER:
            link.close()
            return
        link.used = self._clock.monotonic()
        links.append(link)

    async def _connect(self, address: str) -> _Link:
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
            reader, writer = await asyncio.open_connection(
                host.strip("[]"), int(port), ssl=self._tls
            )
        now = self._clock.monotonic()
        return _Link(reader, writer, now, now)

    async def _receive(
        self, address: str, link: _Link, number: int
    ) -> AnswerResult:
        frame = await _next_frame(link)
        if frame.refusal and frame.refusal.exchange == number:
            self._give_back(address, link)
            return expression.Error(_refusal_in(frame.refusal))
        answer = frame.answer
        if answer is None or answer.exchange != number:
            raise codec.FrameError("an answer to another exchange")
        headers = codec.decode_headers(answer.headers)
        glance = codec.decode_target_status(answer.glance)
        if answer.body_complete:
            self._give_back(address, link)
            return expression.Ok(
                exchange.Response(
                    answer.status, headers, answer.body, None, glance
                )
            )
        rest = _LinkStream(self, address, link, number)
        return expression.Ok(
            exchange.Response(answer.status, headers, answer.body, rest, glance)
        )


class _LinkStream:
    """The rest of an answer that comes over a link."""

    def __init__(
        self, pool: LinkPool, address: str, link: _Link, number: int
    ) -> None:
        self._pool = pool
        self._address = address
        self._link: _Link | None = link
        self._number = number

    def __aiter__(self) -> "_LinkStream":
        return self

    async def __anext__(self) -> bytes:
        link = self._link
        while link is not None:
            chunk = await self._chunk(link)
            if chunk.last:
                self._link = None
                self._pool._give_back(self._address, link)
                link = None
            if chunk.data:
                return bytes(chunk.data)
        raise StopAsyncIteration

    async def aclose(self) -> None:
        """Closes the link: its state is in doubt before the last chunk."""
        if self._link is not None:
            self._link.close()
            self._link = None

    async def _chunk(self, link: _Link) -> Any:
        try:
            chunk = (await _next_frame(link)).chunk
            if chunk is None or chunk.exchange != self._number:
                raise codec.FrameError("the home gave up")
        except (OSError, EOFError, codec.FrameError) as error:
            await self.aclose()
            detail = str(error) or "the link is silent"
            raise exchange.TruncatedResponseError(detail) from error
        return chunk


@dataclasses.dataclass(frozen=True, slots=True)
class Failures:
    """What a failed link means to whoever used it."""

    unreachable: collections.abc.Callable[[str], exchange.Refusal]
    lost: collections.abc.Callable[[str], exchange.Refusal]


def _issuer_lost(detail: str) -> exchange.Refusal:
    return exchange.outcome_unknown(
        exchange.Reason.ISSUER_LOST, detail, ISSUER_LOST_RETRY
    )


HOME_FAILURES = Failures(
    lambda detail: exchange.not_run(exchange.Reason.HOME_UNREACHABLE, detail),
    lambda detail: exchange.outcome_unknown(exchange.Reason.HOME_LOST, detail),
)
ISSUER_FAILURES = Failures(_issuer_lost, _issuer_lost)


async def _answers(link: _Link, number: int) -> bool:
    """Whether the other end answers now; a link that does not is closed."""
    question = codec.messages.Heartbeat(exchange=number)
    link.writer.write(
        codec.encode_frame(codec.messages.Frame(heartbeat=question))
    )
    try:
        async with asyncio.timeout(ANSWER_LIMIT.total_seconds()):
            while True:
                frame = await codec.read_frame(link.reader)
                if frame.heartbeat is None:
                    raise codec.FrameError("a frame out of turn")
                # Those of an earlier exchange may still be on their way.
                if frame.heartbeat.exchange == number:
                    return True
    except (EOFError, OSError, codec.FrameError) as error:
        log.debug("a link is of no use: %s", error or "silent")
        link.close()
        return False
    except BaseException:
        link.close()
        raise


async def _next_frame(link: _Link) -> Any:
    """The next frame that is not a heartbeat.

    A path that lost one direction keeps its connection open and says nothing;
    without the limit the caller would wait for its whole deadline, and the
    entry would place the next request on the same path.
    """
    while True:
        try:
            async with asyncio.timeout(SILENCE_LIMIT.total_seconds()):
                frame = await codec.read_frame(link.reader)
        except TimeoutError as error:
            raise TimeoutError("silent") from error
        # One of an earlier exchange may come after that one's last chunk.
        if frame.heartbeat is None:
            return frame


def _forward_out(head: exchange.RequestHead, body: exchange.RequestBody) -> Any:
    return codec.messages.ForwardedRequest(
        request_id=head.request_id,
        method=head.method,
        path=head.path,
        headers=codec.encode_headers(head.headers),
        service_name=head.service,
        target="",
        remaining_ms=int(head.remaining.total_seconds() * 1000),
        workspace=head.workspace,
        body=body.buffered,
        body_complete=body.is_replayable,
        ticket=head.ticket,
        attempt=head.attempt,
        to_issuer=False,
        priority="",
        aim_ms=head.latency_objective // datetime.timedelta(milliseconds=1),
        level=head.queue_priority,
        risk=round(100 * head.max_suspicion),
        repeat=head.may_be_duplicate,
    )


async def _send_request(
    link: _Link, forward: Any, body: exchange.RequestBody
) -> int:
    """Sends a request; returns the bytes of its first frame."""
    data = codec.encode_frame(codec.messages.Frame(forward=forward))
    link.writer.write(data)
    if body.stream is not None:
        await chunks.send(link.writer, forward.exchange, body.stream)
    await link.writer.drain()
    return len(data)


def _kind(frame: Any) -> traffic.Kind:
    """What a frame that needs no answer is for."""
    if frame.fleet_state or frame.pull:
        return traffic.Kind.STATE
    return traffic.Kind.CONFIGURATION


def _refusal_in(refusal: Any) -> exchange.Refusal:
    wait = refusal.retry_after_ms
    return exchange.Refusal(
        exchange.Outcome(refusal.outcome),
        exchange.Reason(refusal.reason),
        refusal.detail,
        None if wait < 0 else datetime.timedelta(milliseconds=wait),
        refusal.moved_to or "",
        codec.decode_target_status(refusal.glance),
    )
