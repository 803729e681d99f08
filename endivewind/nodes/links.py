"""Links to other nodes: forwards a request to the home of its target.

A link carries one exchange at a time, so that TCP gives the backpressure and
closing the link is the cancellation. Every frame carries the exchange's
number, and a link whose state is in doubt is closed, never used again.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import datetime
import itertools
import logging
import ssl
from typing import Any

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.nodes import codec
from endivewind.nodes import view

log = logging.getLogger(__name__)

CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
# A middlebox forgets idle connections without a word; these bounds keep the
# pool from handing out one that has gone silent.
IDLE_LIMIT = datetime.timedelta(seconds=15)
AGE_LIMIT = datetime.timedelta(minutes=5)
MAX_IDLE_PER_PEER = 32
HEARTBEAT_PERIOD = datetime.timedelta(milliseconds=250)
# Four heartbeats lost in a row are not jitter on links that take 30 ms.
SILENCE_LIMIT = datetime.timedelta(seconds=1)
# The home answers at the deadline itself; this is its time to say so.
DEADLINE_GRACE = datetime.timedelta(milliseconds=500)
ISSUER_LOST_RETRY = datetime.timedelta(seconds=1)
# A peer closes idle links before; one that is open longer has lost its peer.
SERVER_IDLE_LIMIT = datetime.timedelta(seconds=60)

AnswerResult = expression.Result[exchange.Answer, exchange.Refusal]


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
        self, clock: clocks.Clock, tls: ssl.SSLContext | None = None
    ) -> None:
        self._clock = clock
        self._tls = tls
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
        link = self._take_idle(peer.address)
        if link is None:
            try:
                link = await self._connect(peer.address)
            except (TimeoutError, OSError) as error:
                detail = f"{peer.name}: {error or 'connect timed out'}"
                return expression.Error(failures.unreachable(detail))
        number = next(self._numbers)
        forward.exchange = number
        limit = head.remaining + DEADLINE_GRACE
        try:
            async with asyncio.timeout(limit.total_seconds()):
                await _send_request(link, forward, body)
                return await self._receive(peer.address, link, number)
        except (OSError, EOFError, codec.FrameError) as error:
            link.close()
            self._distrust(peer.address)
            detail = f"link to {peer.name}: {error or 'silent'}"
            return expression.Error(failures.lost(detail))
        except exchange.TruncatedBodyError as error:
            link.close()
            return expression.Error(exchange.broken_body(error))
        except BaseException:
            link.close()
            raise

    async def send(self, address: str, frame: Any) -> bool:
        """Sends one frame that needs no answer; False if it can't be sent."""
        link = self._take_idle(address)
        try:
            if link is None:
                link = await self._connect(address)
            link.writer.write(codec.encode(frame))
            async with asyncio.timeout(SILENCE_LIMIT.total_seconds()):
                await link.writer.drain()
        except (TimeoutError, OSError):
            if link is not None:
                link.close()
            return False
        self._give_back(address, link)
        return True

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
        headers = codec.headers_in(answer.headers)
        if answer.body_complete:
            self._give_back(address, link)
            return expression.Ok(
                exchange.Answer(answer.status, headers, answer.body)
            )
        rest = _LinkStream(self, address, link, number)
        return expression.Ok(
            exchange.Answer(answer.status, headers, answer.body, rest)
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
            raise exchange.TruncatedAnswerError(detail) from error
        return chunk


@dataclasses.dataclass(frozen=True, slots=True)
class Failures:
    """What a failed link means to whoever used it."""

    unreachable: collections.abc.Callable[[str], exchange.Refusal]
    lost: collections.abc.Callable[[str], exchange.Refusal]


def _issuer_lost(detail: str) -> exchange.Refusal:
    return exchange.unknown(
        exchange.Reason.ISSUER_LOST, detail, ISSUER_LOST_RETRY
    )


HOME_FAILURES = Failures(
    lambda detail: exchange.not_run(exchange.Reason.HOME_UNREACHABLE, detail),
    lambda detail: exchange.unknown(exchange.Reason.HOME_LOST, detail),
)
ISSUER_FAILURES = Failures(_issuer_lost, _issuer_lost)


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


class _Heart:
    """Sends heartbeats of one exchange while the home works on it."""

    def __init__(self, writer: asyncio.StreamWriter, number: int) -> None:
        beat = codec.messages.Heartbeat(exchange=number)
        self._frame = codec.messages.Frame(heartbeat=beat)
        self._writer = writer
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> None:
        self._schedule()

    def __exit__(self, *error: object) -> None:
        if self._timer:
            self._timer.cancel()

    def _schedule(self) -> None:
        period = HEARTBEAT_PERIOD.total_seconds()
        self._timer = self._loop.call_later(period, self._beat)

    def _beat(self) -> None:
        # Bytes that wait to be sent say as much as a heartbeat would.
        if not self._writer.transport.get_write_buffer_size():
            self._writer.write(codec.encode(self._frame))
        self._schedule()


def _forward_out(head: exchange.RequestHead, body: exchange.RequestBody) -> Any:
    return codec.messages.Forward(
        request_id=head.request_id,
        method=head.method,
        path=head.path,
        headers=codec.headers_out(head.headers),
        service_name=head.service,
        target="",
        remaining_ms=int(head.remaining.total_seconds() * 1000),
        workspace=head.workspace,
        body=body.held,
        body_complete=body.replayable,
        ticket=head.ticket,
        attempt=head.attempt,
        to_issuer=False,
        priority="",
    )


async def _send_request(
    link: _Link, forward: Any, body: exchange.RequestBody
) -> None:
    link.writer.write(codec.encode(codec.messages.Frame(forward=forward)))
    if body.rest is not None:
        await _send_chunks(link.writer, forward.exchange, body.rest)
    await link.writer.drain()


async def _send_chunks(
    writer: asyncio.StreamWriter,
    number: int,
    chunks: collections.abc.AsyncIterator[bytes],
) -> None:
    async for data in chunks:
        _write_chunk(writer, number, data, last=False)
        await writer.drain()
    _write_chunk(writer, number, b"", last=True)


def _write_chunk(
    writer: asyncio.StreamWriter, number: int, data: bytes, *, last: bool
) -> None:
    chunk = codec.messages.Chunk(exchange=number, data=data, last=last)
    writer.write(codec.encode(codec.messages.Frame(chunk=chunk)))


def _refusal_in(refusal: Any) -> exchange.Refusal:
    wait = refusal.retry_after_ms
    return exchange.Refusal(
        exchange.Outcome(refusal.outcome),
        exchange.Reason(refusal.reason),
        refusal.detail,
        None if wait < 0 else datetime.timedelta(milliseconds=wait),
        refusal.moved_to or "",
    )


class Home:
    """What a link server needs of the node behind it."""

    async def run(
        self,
        target: str,
        home_incarnation: int,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> AnswerResult:
        """Runs a forwarded request at one of this node's targets."""
        raise NotImplementedError

    async def run_as_issuer(
        self,
        incarnation: int,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        priority: str,
    ) -> AnswerResult:
        """Runs a send of a ticket that this node issued."""
        raise NotImplementedError

    def gossiped(self, frame: Any) -> None:
        """Takes a frame of another node's gossip."""
        raise NotImplementedError

    def configuration(self, frame: Any) -> None:
        """Takes what a peer tells of its configuration, or asks."""
        raise NotImplementedError


class _CancellingProtocol(asyncio.StreamReaderProtocol):
    """Cancels the connection's task as soon as the peer closes.

    Without it a home would learn only at its next write that the caller has
    gone, and the target would keep working for nobody.
    """

    task: asyncio.Task[None] | None = None

    def eof_received(self) -> bool:
        super().eof_received()
        self._cancel()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._cancel()

    def _cancel(self) -> None:
        if self.task is not None:
            self.task.cancel()


class LinkServer:
    """Accepts links from other nodes."""

    def __init__(self, home: Home) -> None:
        self._home = home
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_flight(self) -> int:
        """Exchanges being served now."""
        return self._in_flight

    async def drained(self) -> None:
        """Waits until no exchange is being served."""
        await self._idle.wait()

    async def bind(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> str:
        """Binds and returns the address; nothing is accepted before serve().

        The node needs the address to build what answers the links.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._protocol,
            host,
            port,
            ssl=tls,
            reuse_address=True,
            start_serving=False,
        )
        bound = self._server.sockets[0].getsockname()
        return f"{host}:{bound[1]}"

    async def serve(self) -> None:
        """Accepts links from now on."""
        if self._server is None:
            raise RuntimeError("bind() comes first")
        await self._server.start_serving()

    async def stop(self) -> None:
        """Stops listening and closes every link."""
        if self._server:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _protocol(self) -> asyncio.BaseProtocol:
        reader = asyncio.StreamReader()

        def connected(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            task = asyncio.create_task(self._serve(reader, writer))
            protocol.task = task
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

        protocol = _CancellingProtocol(reader, connected)
        return protocol

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                async with asyncio.timeout(SERVER_IDLE_LIMIT.total_seconds()):
                    frame = await codec.read_frame(reader)
                if frame.fleet_state or frame.pull:
                    self._home.gossiped(frame)
                elif (
                    frame.configuration
                    or frame.configuration_ask
                    or frame.configuration_state
                ):
                    self._home.configuration(frame)
                elif frame.forward:
                    await self._counted(frame.forward, reader, writer)
                else:
                    raise codec.FrameError("a frame out of turn")
        except (EOFError, OSError, asyncio.CancelledError):
            # The peer has closed the link, or this node is stopping.
            return
        except (codec.FrameError, exchange.TruncatedAnswerError) as error:
            log.warning("link closed: %s", error)
        finally:
            writer.close()

    async def _counted(
        self,
        forward: Any,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._in_flight += 1
        self._idle.clear()
        try:
            with _Heart(writer, forward.exchange):
                await self._exchange(forward, reader, writer)
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()

    async def _exchange(
        self,
        forward: Any,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        body = exchange.RequestBody(forward.body)
        if not forward.body_complete:
            body.rest = _chunks_in(reader, forward.exchange)
        result = await self._run(forward, body)
        match result:
            case expression.Result(tag="ok", ok=answer):
                await _send_answer(writer, forward.exchange, answer)
            case expression.Result(error=refusal):
                _send_refusal(writer, forward.exchange, refusal)
        await writer.drain()
        if body.rest is not None:
            # Chunks that nobody read would be taken for the next exchange.
            async with contextlib.aclosing(body.rest):  # type: ignore[type-var]
                async for _ in body.rest:
                    pass

    async def _run(
        self, forward: Any, body: exchange.RequestBody
    ) -> AnswerResult:
        head = _head_in(forward)
        if forward.to_issuer:
            return await self._home.run_as_issuer(
                forward.home_incarnation, head, body, forward.priority
            )
        return await self._home.run(
            forward.target, forward.home_incarnation, head, body
        )


async def _chunks_in(
    reader: asyncio.StreamReader, number: int
) -> collections.abc.AsyncGenerator[bytes, None]:
    while True:
        frame = await codec.read_frame(reader)
        chunk = frame.chunk
        if chunk is None or chunk.exchange != number:
            raise codec.FrameError("a chunk of another exchange")
        if chunk.data:
            yield chunk.data
        if chunk.last:
            return


def _head_in(forward: Any) -> exchange.RequestHead:
    return exchange.RequestHead(
        request_id=forward.request_id,
        method=forward.method,
        path=forward.path,
        headers=codec.headers_in(forward.headers),
        service=forward.service_name,
        workspace=forward.workspace,
        remaining=datetime.timedelta(milliseconds=forward.remaining_ms),
        ticket=forward.ticket or "",
        attempt=forward.attempt or 0,
    )


async def _send_answer(
    writer: asyncio.StreamWriter, number: int, answer: exchange.Answer
) -> None:
    head = codec.messages.Answer(
        exchange=number,
        status=answer.status,
        headers=codec.headers_out(answer.headers),
        body=answer.body,
        body_complete=answer.rest is None,
    )
    writer.write(codec.encode(codec.messages.Frame(answer=head)))
    if answer.rest is not None:
        async with contextlib.aclosing(answer.rest):
            await _send_chunks(writer, number, answer.rest)


def _send_refusal(
    writer: asyncio.StreamWriter, number: int, refusal: exchange.Refusal
) -> None:
    wait = refusal.retry_after
    message = codec.messages.Refusal(
        exchange=number,
        outcome=refusal.outcome.value,
        reason=refusal.reason.value,
        detail=refusal.detail,
        retry_after_ms=-1 if wait is None else int(wait.total_seconds() * 1000),
        moved_to=refusal.moved_to or None,
    )
    writer.write(codec.encode(codec.messages.Frame(refusal=message)))
