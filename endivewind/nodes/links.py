"""Connection pool for links to other nodes; the client side.

The gateway forwards requests over it; gossip, quotas and freshness proofs send
their frames. A link carries one exchange at a time, so TCP provides the
backpressure, and closing the link cancels the exchange. The frames of a
forwarded request and its response carry the id of the exchange. A link in an
uncertain state is closed and not reused.
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
from endivewind import http_responses
from endivewind.nodes import body_chunks
from endivewind.nodes import codec
from endivewind.nodes import traffic
from endivewind.nodes import view

log = logging.getLogger(__name__)

# Four round trips between regions. A VM without power does not even refuse
# connections; beyond this, a request is better sent to another home.
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=250)
# Middleboxes drop the state of idle connections without closing them; these
# limits keep the pool from reusing such a connection.
MAX_IDLE_TIME = datetime.timedelta(seconds=15)
MAX_LINK_AGE = datetime.timedelta(minutes=5)
MAX_IDLE_PER_PEER = 32
# Four missed heartbeats; jitter on links with 30 ms latency does not explain
# them.
HEARTBEAT_TIMEOUT = datetime.timedelta(seconds=1)
# Time limit of heartbeat echoes and queries: four round trips between regions.
# Responses to forwarded requests are bounded by the deadline and by
# HEARTBEAT_TIMEOUT instead. If a peer is paused for longer than this, the echo
# is missing, and no request is sent that would then have an unknown outcome.
QUERY_TIMEOUT = datetime.timedelta(milliseconds=250)
# The home itself responds when the deadline expires; this is the time that the
# response may take to arrive.
DEADLINE_GRACE = datetime.timedelta(milliseconds=500)
ISSUER_LOST_RETRY_AFTER = datetime.timedelta(seconds=1)

ResponseResult = expression.Result[exchange.Response, exchange.Refusal]


@dataclasses.dataclass(slots=True)
class _Link:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    opened_at: datetime.timedelta
    last_used: datetime.timedelta

    def close(self) -> None:
        self.writer.close()


class LinkPool:
    """A pool of connections to other nodes."""

    def __init__(
        self,
        clock: clocks.Clock,
        tls: ssl.SSLContext | None = None,
        meter: traffic.Meter | None = None,
    ) -> None:
        self._clock = clock
        self._tls = tls
        self._meter = meter or traffic.NullMeter()
        self._idle: dict[str, list[_Link]] = {}
        self._exchange_ids = itertools.count(1)

    @property
    def idle_count(self) -> int:
        """Number of open links that carry no exchange."""
        return sum(len(links) for links in self._idle.values())

    async def forward(
        self,
        home: view.NodeRecord,
        target: str,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> ResponseResult:
        """Sends a request to the home of a target and returns the response.

        Returns:
          The response or the home's refusal. If the link breaks after the
          request was sent, the outcome is unknown.
        """
        forward = _encode_request(head, body)
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
    ) -> ResponseResult:
        """Sends a request to the issuer of its ticket.

        Returns:
          The response or the issuer's refusal. After any failure of the link
          the outcome is unknown: an earlier attempt may have been executed.
        """
        forward = _encode_request(head, body)
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
        failures: "FailureRefusals",
    ) -> ResponseResult:
        exchange_id = next(self._exchange_ids)
        try:
            link = await self._acquire(
                peer.address, exchange_id, check=bool(head.ticket)
            )
        except (EOFError, OSError, codec.FrameError) as error:
            detail = f"{peer.name}: {error or 'no response'}"
            return expression.Error(failures.connect_failed_refusal(detail))
        except asyncio.CancelledError:
            head.record_unsent()
            raise
        forward.exchange = exchange_id
        timeout = head.remaining_time + DEADLINE_GRACE
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                size = await _send_request(link, forward, body)
                self._meter.record_sent(
                    traffic.Kind.REQUESTS, peer.address, size
                )
                return await self._read_response(
                    peer.address, link, exchange_id
                )
        except (OSError, EOFError, codec.FrameError) as error:
            link.close()
            self._close_idle(peer.address)
            detail = f"link to {peer.name}: {error or 'timed out'}"
            return expression.Error(failures.link_lost_refusal(detail))
        except exchange.RequestBodyError as error:
            link.close()
            return expression.Error(exchange.body_error_refusal(error))
        except BaseException:
            link.close()
            raise

    async def _acquire(
        self, address: str, exchange_id: int, *, check: bool
    ) -> _Link:
        """Returns a link for one exchange, checked by a heartbeat on demand.

        Failure: packets to or from a home are lost, or its process is paused.
        Symptom: a non-idempotent request is sent, no response arrives, and its
        outcome stays unknown. A heartbeat before the request costs one round
        trip; if it is not echoed, the request has certainly not been executed.
        Only a failure between the echo and the request leaves the outcome
        unknown.

        Args:
          address: the peer's address.
          exchange_id: the id of the exchange.
          check: whether the peer must echo a heartbeat first; set for
            non-idempotent requests.
        """
        link = self._take_idle(address)
        if not check:
            return link or await self._connect(address)
        if link is not None and await _echoes_heartbeat(link, exchange_id):
            return link
        self._close_idle(address)
        link = await self._connect(address)
        if await _echoes_heartbeat(link, exchange_id):
            return link
        raise TimeoutError("no heartbeat")

    async def send(self, address: str, frame: Any) -> bool:
        """Sends a frame that needs no response; returns whether it was sent."""
        link = self._take_idle(address)
        try:
            if link is None:
                link = await self._connect(address)
            data = codec.encode_frame(frame)
            self._meter.record_sent(_traffic_kind(frame), address, len(data))
            link.writer.write(data)
            async with asyncio.timeout(HEARTBEAT_TIMEOUT.total_seconds()):
                await link.writer.drain()
        except (TimeoutError, OSError):
            if link is not None:
                link.close()
            return False
        self._release(address, link)
        return True

    async def query(
        self, address: str, query: Any, timeout: datetime.timedelta
    ) -> Any | None:
        """Sends a query frame and returns the response frame.

        Returns:
          None if no response arrives within the timeout; the peer may have
          processed the query nevertheless.
        """
        link = self._take_idle(address)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                if link is None:
                    link = await self._connect(address)
                data = codec.encode_frame(query)
                self._meter.record_sent(
                    traffic.Kind.QUERIES, address, len(data)
                )
                link.writer.write(data)
                response = await _read_frame(link)
        except (EOFError, OSError, codec.FrameError) as error:
            log.debug("no response from %s: %s", address, error or "timed out")
            if link is not None:
                link.close()
            return None
        except BaseException:
            if link is not None:
                link.close()
            raise
        self._release(address, link)
        return response

    def _close_idle(self, address: str) -> None:
        """Closes the idle connections to a peer after one of them has failed.

        They were opened about the same time and use the same path. The next
        request opens a new connection, which tells a connection dropped by a
        middlebox from a broken path.
        """
        for link in self._idle.pop(address, []):
            link.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for links in self._idle.values():
            for link in links:
                link.close()
        self._idle.clear()

    def _take_idle(self, address: str) -> _Link | None:
        links = self._idle.get(address, [])
        now = self._clock.monotonic()
        while links:
            link = links.pop()
            is_fresh = now - link.last_used < MAX_IDLE_TIME and (
                now - link.opened_at < MAX_LINK_AGE
            )
            is_closed = link.reader.at_eof() or link.writer.is_closing()
            if is_fresh and not is_closed:
                return link
            link.close()
        return None

    def _release(self, address: str, link: _Link) -> None:
        links = self._idle.setdefault(address, [])
        if len(links) >= MAX_IDLE_PER_PEER:
            link.close()
            return
        link.last_used = self._clock.monotonic()
        links.append(link)

    async def _connect(self, address: str) -> _Link:
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
            reader, writer = await asyncio.open_connection(
                host.strip("[]"), int(port), ssl=self._tls
            )
        now = self._clock.monotonic()
        return _Link(reader, writer, now, now)

    async def _read_response(
        self, address: str, link: _Link, exchange_id: int
    ) -> ResponseResult:
        frame = await _read_frame(link)
        if frame.refusal and frame.refusal.exchange == exchange_id:
            self._release(address, link)
            return expression.Error(codec.decode_refusal(frame.refusal))
        response = frame.answer
        if response is None or response.exchange != exchange_id:
            raise codec.FrameError("response to another exchange")
        headers = codec.decode_headers(response.headers)
        if not http_responses.is_valid(response.status or 0, headers):
            # An earlier release may pass on what its target has sent.
            raise codec.FrameError("the target's response is not valid")
        target_report = codec.decode_target_report(response.glance)
        if response.body_complete:
            self._release(address, link)
            return expression.Ok(
                exchange.Response(
                    response.status, headers, response.body, None, target_report
                )
            )
        rest = _ResponseStream(self, address, link, exchange_id)
        return expression.Ok(
            exchange.Response(
                response.status, headers, response.body, rest, target_report
            )
        )


class _ResponseStream:
    """The remainder of a response body that is received over a link."""

    def __init__(
        self, pool: LinkPool, address: str, link: _Link, exchange_id: int
    ) -> None:
        self._pool = pool
        self._address = address
        self._link: _Link | None = link
        self._exchange_id = exchange_id

    def __aiter__(self) -> "_ResponseStream":
        return self

    async def __anext__(self) -> bytes:
        link = self._link
        while link is not None:
            chunk = await self._read_chunk(link)
            if chunk.last:
                self._link = None
                self._pool._release(self._address, link)
                link = None
            if chunk.data:
                return bytes(chunk.data)
        raise StopAsyncIteration

    async def aclose(self) -> None:
        """Closes the link, which can't be reused before the last chunk."""
        if self._link is not None:
            self._link.close()
            self._link = None

    async def _read_chunk(self, link: _Link) -> Any:
        try:
            chunk = (await _read_frame(link)).chunk
            if chunk is None or chunk.exchange != self._exchange_id:
                raise codec.FrameError("home aborted the response")
        except (OSError, EOFError, codec.FrameError) as error:
            await self.aclose()
            detail = str(error) or "link timed out"
            raise exchange.TruncatedResponseError(detail) from error
        return chunk


@dataclasses.dataclass(frozen=True, slots=True)
class FailureRefusals:
    """Builds the refusals that the failures of a link lead to.

    Attributes:
      connect_failed_refusal: builds it if the link could not be opened.
      link_lost_refusal: builds it if the link broke after the request was sent.
    """

    connect_failed_refusal: collections.abc.Callable[[str], exchange.Refusal]
    link_lost_refusal: collections.abc.Callable[[str], exchange.Refusal]


def _issuer_lost_refusal(detail: str) -> exchange.Refusal:
    return exchange.unknown_outcome_refusal(
        exchange.Reason.ISSUER_LOST, detail, ISSUER_LOST_RETRY_AFTER
    )


HOME_FAILURES = FailureRefusals(
    lambda detail: exchange.not_run_refusal(
        exchange.Reason.HOME_UNREACHABLE, detail
    ),
    lambda detail: exchange.unknown_outcome_refusal(
        exchange.Reason.HOME_LOST, detail
    ),
)
ISSUER_FAILURES = FailureRefusals(_issuer_lost_refusal, _issuer_lost_refusal)


async def _echoes_heartbeat(link: _Link, exchange_id: int) -> bool:
    """Returns whether the peer echoes a heartbeat; closes the link if not."""
    heartbeat = codec.messages.Heartbeat(exchange=exchange_id)
    link.writer.write(
        codec.encode_frame(codec.messages.Frame(heartbeat=heartbeat))
    )
    try:
        async with asyncio.timeout(QUERY_TIMEOUT.total_seconds()):
            while True:
                frame = await codec.read_frame(link.reader)
                if frame.heartbeat is None:
                    raise codec.FrameError("unexpected frame")
                # Heartbeats of an earlier exchange may still be in transit.
                if frame.heartbeat.exchange == exchange_id:
                    return True
    except (EOFError, OSError, codec.FrameError) as error:
        log.debug("link discarded: %s", error or "timed out")
        link.close()
        return False
    except BaseException:
        link.close()
        raise


async def _read_frame(link: _Link) -> Any:
    """Reads the next frame that is not a heartbeat.

    If a path loses packets in one direction, the connection stays open but
    nothing arrives. Without the timeout the caller would wait until its
    deadline, and the entry node would send the next request on the same path.
    """
    while True:
        try:
            async with asyncio.timeout(HEARTBEAT_TIMEOUT.total_seconds()):
                frame = await codec.read_frame(link.reader)
        except TimeoutError as error:
            raise TimeoutError("timed out") from error
        # A heartbeat may arrive after the last chunk of its exchange.
        if frame.heartbeat is None:
            return frame


def _encode_request(
    head: exchange.RequestHead, body: exchange.RequestBody
) -> Any:
    return codec.messages.ForwardedRequest(
        request_id=head.request_id,
        method=head.method,
        path=head.path,
        headers=codec.encode_headers(head.headers),
        service_name=head.service,
        target="",
        remaining_ms=int(head.remaining_time.total_seconds() * 1000),
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
        # Fields that are None take no bytes.
        call=head.goes_ahead or None,
        fair_workspace=(head.call and head.call.fair_workspace) or None,
        repeat_percent=(head.call and round(100 * head.call.repeat_probability))
        or None,
    )


async def _send_request(
    link: _Link, forward: Any, body: exchange.RequestBody
) -> int:
    """Sends a request; returns the size of its first frame in bytes."""
    data = codec.encode_frame(codec.messages.Frame(forward=forward))
    link.writer.write(data)
    if body.stream is not None:
        await body_chunks.send_body(link.writer, forward.exchange, body.stream)
    await link.writer.drain()
    return len(data)


def _traffic_kind(frame: Any) -> traffic.Kind:
    """Returns the traffic kind of a frame that needs no response."""
    if frame.fleet_state or frame.pull:
        return traffic.Kind.STATE
    return traffic.Kind.CONFIGURATION
