"""Server for links from other nodes; executes the requests they forward.

The client side is `LinkPool` in `nodes/links.py`. The node implements
`LinkHandler` to process requests, gossip, queries and configuration.
"""

import asyncio
import collections.abc
import contextlib
import datetime
import logging
import ssl
from typing import Any

import expression

from endivewind import exchange
from endivewind import periodic
from endivewind.nodes import body_chunks
from endivewind.nodes import codec
from endivewind.nodes import links
from endivewind.nodes import traffic

log = logging.getLogger(__name__)

# A quarter of the time after which the client gives up a link.
HEARTBEAT_INTERVAL = links.HEARTBEAT_TIMEOUT / 4
# Clients close idle links much earlier. If a link is idle for this long, the
# client has disappeared without closing it.
IDLE_TIMEOUT = datetime.timedelta(seconds=60)


class LinkHandler:
    """Processes what other nodes send over their links."""

    async def run_on_target(
        self,
        target: str,
        home_incarnation: int,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> links.ResponseResult:
        """Sends a forwarded request to one of this node's targets."""
        raise NotImplementedError

    async def run_as_issuer(
        self,
        incarnation: int,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        priority: str,
    ) -> links.ResponseResult:
        """Executes a request whose ticket this node has issued."""
        raise NotImplementedError

    def handle_gossip(self, frame: Any) -> None:
        """Processes a gossip frame of another node."""
        raise NotImplementedError

    async def handle_query(self, question: Any) -> Any:
        """Returns the response frame to a query frame."""
        raise NotImplementedError

    def handle_configuration(self, frame: Any) -> None:
        """Processes a frame about configuration: data, query or response."""
        raise NotImplementedError


class _CancellingProtocol(asyncio.StreamReaderProtocol):
    """Cancels the connection's task as soon as the peer closes it.

    Without this a home would notice only at its next write that the entry node
    is gone, and until then the target would work on an abandoned request.
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

    def __init__(
        self,
        handler: LinkHandler,
        meter: traffic.Meter | None = None,
        *,
        is_memory_bounded: bool = False,
    ) -> None:
        """Initializes the server.

        Args:
          handler: processes what the links receive.
          meter: counts the bytes sent.
          is_memory_bounded: whether the next part of a response is taken only
            when the link's write buffer is empty, since its bytes are not
            counted by memory admission.
        """
        self._is_memory_bounded = is_memory_bounded
        self._handler = handler
        self._meter = meter or traffic.NullMeter()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._in_flight = 0
        self._drained = asyncio.Event()
        self._drained.set()

    @property
    def in_flight(self) -> int:
        """Number of exchanges that are being served."""
        return self._in_flight

    async def wait_drained(self) -> None:
        """Waits until no exchange is being served."""
        await self._drained.wait()

    async def bind(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> str:
        """Binds the socket and returns its address, without listening yet.

        The node needs the address to build the objects that process frames.
        `serve` accepts connections.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._build_protocol,
            host,
            port,
            ssl=tls,
            reuse_address=True,
            start_serving=False,
        )
        bound = self._server.sockets[0].getsockname()
        return f"{host}:{bound[1]}"

    async def serve(self) -> None:
        """Starts accepting links.

        Raises:
          RuntimeError: if the socket is not bound.
        """
        if self._server is None:
            raise RuntimeError("link server is not bound")
        await self._server.start_serving()

    async def stop(self) -> None:
        """Stops listening and closes all links."""
        if self._server:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _build_protocol(self) -> asyncio.BaseProtocol:
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
        if self._is_memory_bounded:
            writer.transport.set_write_buffer_limits(high=0)
        try:
            while True:
                async with asyncio.timeout(IDLE_TIMEOUT.total_seconds()):
                    frame = await codec.read_frame(reader)
                if frame.fleet_state or frame.pull:
                    self._handler.handle_gossip(frame)
                elif (
                    frame.configuration
                    or frame.configuration_ask
                    or frame.configuration_state
                ):
                    self._handler.handle_configuration(frame)
                elif frame.forward:
                    await self._serve_exchange(frame.forward, reader, writer)
                elif (
                    frame.freshness_ask
                    or frame.quota_ask
                    or frame.link_share_ask
                    or frame.retry_loan_ask
                    or frame.crash_report
                    or frame.trial_ask
                ):
                    await self._handle_query(frame, writer)
                elif frame.heartbeat:
                    # The client checks that this node is responsive.
                    writer.write(codec.encode_frame(frame))
                else:
                    raise codec.FrameError("unexpected frame")
        except (EOFError, OSError, asyncio.CancelledError):
            # The peer has closed the link, or this node is stopping.
            return
        except (codec.FrameError, exchange.TruncatedResponseError) as error:
            log.warning("link closed: %s", error)
        finally:
            writer.close()

    async def _handle_query(
        self, query: Any, writer: asyncio.StreamWriter
    ) -> None:
        """Responds to a query on the same link."""
        data = codec.encode_frame(await self._handler.handle_query(query))
        client = writer.get_extra_info("peername")
        if client is not None:
            kind = traffic.Kind.QUERIES
            self._meter.record_sent(kind, client[0], len(data))
        writer.write(data)

    async def _serve_exchange(
        self,
        forward: Any,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._in_flight += 1
        self._drained.clear()
        try:
            with _HeartbeatSender(writer, forward.exchange):
                await self._run_exchange(forward, reader, writer)
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._drained.set()

    async def _run_exchange(
        self,
        forward: Any,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        body = exchange.RequestBody(forward.body)
        if not forward.body_complete:
            body.stream = _read_chunks(reader, forward.exchange)
        result = await self._run(forward, body)
        match result:
            case expression.Result(tag="ok", ok=response):
                size = await _send_response(writer, forward.exchange, response)
            case expression.Result(error=refusal):
                size = _send_refusal(writer, forward.exchange, refusal)
        await writer.drain()
        client = writer.get_extra_info("peername")
        if client is not None:
            self._meter.record_sent(traffic.Kind.RESPONSES, client[0], size)
        if body.stream is not None:
            # Unread chunks would be taken for frames of the next exchange.
            async with contextlib.aclosing(body.stream):  # type: ignore[type-var]
                async for _ in body.stream:
                    pass

    async def _run(
        self, forward: Any, body: exchange.RequestBody
    ) -> links.ResponseResult:
        head = _decode_head(forward)
        if forward.to_issuer:
            return await self._handler.run_as_issuer(
                forward.home_incarnation, head, body, forward.priority
            )
        return await self._handler.run_on_target(
            forward.target, forward.home_incarnation, head, body
        )


async def _read_chunks(
    reader: asyncio.StreamReader, exchange_id: int
) -> collections.abc.AsyncGenerator[bytes, None]:
    while True:
        frame = await codec.read_frame(reader)
        chunk = frame.chunk
        if chunk is None or chunk.exchange != exchange_id:
            raise codec.FrameError("chunk of another exchange")
        if chunk.data:
            yield chunk.data
        if chunk.last:
            return


def _decode_head(forward: Any) -> exchange.RequestHead:
    return exchange.RequestHead(
        request_id=forward.request_id,
        method=forward.method,
        path=forward.path,
        headers=codec.decode_headers(forward.headers),
        service=forward.service_name,
        workspace=forward.workspace,
        remaining_time=datetime.timedelta(milliseconds=forward.remaining_ms),
        ticket=forward.ticket or "",
        attempt=forward.attempt or 0,
        latency_objective=datetime.timedelta(milliseconds=forward.aim_ms or 0),
        queue_priority=forward.level or 0,
        max_suspicion=(forward.risk or 0) / 100,
        may_be_duplicate=bool(forward.repeat),
        call=_decode_call(forward),
    )


def _decode_call(forward: Any) -> exchange.TargetCall | None:
    """Returns what is known of a call; None if the request is none."""
    if not forward.call and not forward.repeat_percent:
        return None
    percent = min(max(forward.repeat_percent or 0, 0), 100)
    return exchange.TargetCall(
        bool(forward.call),
        forward.fair_workspace or "",
        repeat_probability=percent / 100,
    )


async def _send_response(
    writer: asyncio.StreamWriter, exchange_id: int, response: exchange.Response
) -> int:
    """Sends a response; returns its size in bytes."""
    head = codec.messages.Response(
        exchange=exchange_id,
        status=response.status,
        headers=codec.encode_headers(response.headers),
        body=response.body,
        body_complete=response.stream is None,
        glance=codec.encode_target_report(response.target_report),
    )
    data = codec.encode_frame(codec.messages.Frame(answer=head))
    writer.write(data)
    if response.stream is None:
        return len(data)
    async with contextlib.aclosing(response.stream):
        # Asking for the next part counts the bytes before it as sent.
        await writer.drain()
        return len(data) + await body_chunks.send_body(
            writer, exchange_id, response.stream
        )


def _send_refusal(
    writer: asyncio.StreamWriter, exchange_id: int, refusal: exchange.Refusal
) -> int:
    """Sends a refusal; returns its size in bytes."""
    message = codec.encode_refusal(exchange_id, refusal)
    data = codec.encode_frame(codec.messages.Frame(refusal=message))
    writer.write(data)
    return len(data)


class _HeartbeatSender:
    """Sends heartbeats of an exchange until its response is complete."""

    def __init__(self, writer: asyncio.StreamWriter, exchange_id: int) -> None:
        heartbeat = codec.messages.Heartbeat(exchange=exchange_id)
        self._frame = codec.messages.Frame(heartbeat=heartbeat)
        self._writer = writer
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> None:
        self._schedule()

    def __exit__(self, *error: object) -> None:
        if self._timer:
            self._timer.cancel()

    def _schedule(self) -> None:
        delay = periodic.aligned_delay(HEARTBEAT_INTERVAL, self._loop)
        self._timer = self._loop.call_later(delay, self._send_heartbeat)

    def _send_heartbeat(self) -> None:
        # Earlier bytes that are still buffered will be sent without this, and
        # show the client as well that this node is alive.
        if not self._writer.transport.get_write_buffer_size():
            self._writer.write(codec.encode_frame(self._frame))
        self._schedule()
