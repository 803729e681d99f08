"""Links of other nodes, the accepting end: runs what they forward."""

import asyncio
import collections.abc
import contextlib
import datetime
import logging
import ssl
from typing import Any

import expression

from endivewind import exchange
from endivewind.nodes import chunks
from endivewind.nodes import codec
from endivewind.nodes import links
from endivewind.nodes import traffic

log = logging.getLogger(__name__)

# A quarter of the silence after which the other end gives a link up.
HEARTBEAT_PERIOD = links.SILENCE_LIMIT / 4
# A peer closes idle links before; one that is open longer has lost its peer.
IDLE_LIMIT = datetime.timedelta(seconds=60)


class Home:
    """What a link server needs of the node behind it."""

    async def run(
        self,
        target: str,
        home_incarnation: int,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> links.AnswerResult:
        """Runs a forwarded request at one of this node's targets."""
        raise NotImplementedError

    async def run_as_issuer(
        self,
        incarnation: int,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        priority: str,
    ) -> links.AnswerResult:
        """Runs a send of a ticket that this node issued."""
        raise NotImplementedError

    def gossiped(self, frame: Any) -> None:
        """Takes a frame of another node's gossip."""
        raise NotImplementedError

    async def answer(self, question: Any) -> Any:
        """The answer to a question, both as frames."""
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

    def __init__(self, home: Home, meter: traffic.Meter | None = None) -> None:
        self._home = home
        self._meter = meter or traffic.Unmetered()
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
                async with asyncio.timeout(IDLE_LIMIT.total_seconds()):
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
                elif frame.freshness_ask or frame.quota_ask:
                    await self._answer(frame, writer)
                elif frame.heartbeat:
                    # A question whether this end is there.
                    writer.write(codec.encode_frame(frame))
                else:
                    raise codec.FrameError("a frame out of turn")
        except (EOFError, OSError, asyncio.CancelledError):
            # The peer has closed the link, or this node is stopping.
            return
        except (codec.FrameError, exchange.TruncatedResponseError) as error:
            log.warning("link closed: %s", error)
        finally:
            writer.close()

    async def _answer(
        self, question: Any, writer: asyncio.StreamWriter
    ) -> None:
        """Answers a question on the link that it came on."""
        data = codec.encode_frame(await self._home.answer(question))
        asker = writer.get_extra_info("peername")
        if asker is not None:
            kind = traffic.Kind.QUESTIONS
            self._meter.sent(kind, asker[0], len(data))
        writer.write(data)

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
            body.stream = _chunks_in(reader, forward.exchange)
        result = await self._run(forward, body)
        match result:
            case expression.Result(tag="ok", ok=answer):
                size = await _send_answer(writer, forward.exchange, answer)
            case expression.Result(error=refusal):
                size = _send_refusal(writer, forward.exchange, refusal)
        await writer.drain()
        caller = writer.get_extra_info("peername")
        if caller is not None:
            self._meter.sent(traffic.Kind.ANSWERS, caller[0], size)
        if body.stream is not None:
            # Chunks that nobody read would be taken for the next exchange.
            async with contextlib.aclosing(body.stream):  # type: ignore[type-var]
                async for _ in body.stream:
                    pass

    async def _run(
        self, forward: Any, body: exchange.RequestBody
    ) -> links.AnswerResult:
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
        headers=codec.decode_headers(forward.headers),
        service=forward.service_name,
        workspace=forward.workspace,
        remaining=datetime.timedelta(milliseconds=forward.remaining_ms),
        ticket=forward.ticket or "",
        attempt=forward.attempt or 0,
        latency_objective=datetime.timedelta(milliseconds=forward.aim_ms or 0),
        queue_priority=forward.level or 0,
        max_suspicion=(forward.risk or 0) / 100,
        may_be_duplicate=bool(forward.repeat),
    )


async def _send_answer(
    writer: asyncio.StreamWriter, number: int, answer: exchange.Response
) -> int:
    """Sends an answer; returns its bytes."""
    head = codec.messages.Response(
        exchange=number,
        status=answer.status,
        headers=codec.encode_headers(answer.headers),
        body=answer.body,
        body_complete=answer.stream is None,
        glance=codec.encode_target_status(answer.target_status),
    )
    data = codec.encode_frame(codec.messages.Frame(answer=head))
    writer.write(data)
    if answer.stream is None:
        return len(data)
    async with contextlib.aclosing(answer.stream):
        return len(data) + await chunks.send(writer, number, answer.stream)


def _send_refusal(
    writer: asyncio.StreamWriter, number: int, refusal: exchange.Refusal
) -> int:
    """Sends a refusal; returns its bytes."""
    wait = refusal.retry_after
    message = codec.messages.Refusal(
        exchange=number,
        outcome=refusal.outcome.value,
        reason=refusal.reason.value,
        detail=refusal.detail,
        retry_after_ms=-1 if wait is None else int(wait.total_seconds() * 1000),
        moved_to=refusal.moved_to or None,
        glance=codec.encode_target_status(refusal.target_status),
    )
    data = codec.encode_frame(codec.messages.Frame(refusal=message))
    writer.write(data)
    return len(data)


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
            self._writer.write(codec.encode_frame(self._frame))
        self._schedule()
