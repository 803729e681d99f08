"""Simulates callers that read large responses slowly, in virtual time.

Gateways, dispatchers, slots, memory admission and response buffers are the
production code. Targets send bodies and cut off those that stay unread, links
hold what their socket buffers hold, and callers read at a given speed.
"""

import asyncio
import collections
import dataclasses
import datetime
import functools
import math

import aiohttp

from endivewind import exchange
from endivewind.callers import memory_control
from endivewind.callers import request_queues
from endivewind.callers import response_buffer
from endivewind.decisions import memory_admission
from endivewind.standins import virtual_loop
from endivewind.tests.loads import fleet

# A VM of 200 MB, of which the node may use 120 MB; 65.5 MB were measured as the
# resident memory of a node after its start.
LIMIT_BYTES = memory_control.limit_bytes(120_000_000, 65_500_000)
LARGE_BYTES = 540_000
SMALL_BYTES = 2_000
# A target cuts off a response that stays unread for so long.
CUT_OFF_SECONDS = 3.0
# What a target's socket and the node's read buffer take without being read.
SOCKET_BYTES = memory_admission.PIPE_BYTES
TARGET_BYTES_PER_SECOND = 20e6
LINK_CHUNKS = 2
SLOW_BYTES_PER_SECOND = 10_000
MAX_SENDS = 10
# A third of the lease.
ANNOUNCEMENT_SECONDS = 20
ENTRY_ZONE = fleet.ZONES[0]
_CHUNK = bytes(memory_admission.CHUNK_BYTES)


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of request.

    Attributes:
      name: key of its results.
      size: bytes of the response.
      bytes_per_second: how fast its callers read.
      rank: priority; 0 is the highest.
      is_chunked: whether its responses do not declare their length.
      work_seconds: time that the target works on it.
    """

    name: str
    size: int
    bytes_per_second: float = 1e9
    rank: int = 1
    is_chunked: bool = False
    work_seconds: float = 0.05

    @property
    def request(self) -> fleet.RequestKind:
        """The kind of request as the fleet routes it."""
        return fleet.RequestKind(
            self.name, 0, self.work_seconds, 0, 1.0, 5.0, rank=self.rank
        )


SLOW = Kind("slow", LARGE_BYTES, SLOW_BYTES_PER_SECOND)
SMALL = Kind("small", SMALL_BYTES)


@dataclasses.dataclass
class Results:
    """Results of one kind of requests.

    Attributes:
      latencies: seconds from a request to its complete response.
      complete: number of complete responses.
      truncated: number of responses that ended early.
      refused: refusals as not run; a caller sends again after them.
      failed: refusals that may have run.
      given_up: callers that were refused until they gave up.
    """

    latencies: list = dataclasses.field(default_factory=list)
    complete: int = 0
    truncated: int = 0
    refused: int = 0
    failed: int = 0
    given_up: int = 0

    @property
    def p99(self) -> float:
        """The 99th percentile of the latencies."""
        ordered = sorted(self.latencies)
        return ordered[math.ceil(0.99 * len(ordered)) - 1]


class _Body:
    """The body of a response, which its target sends as it is read."""

    def __init__(self, target, size) -> None:
        self._target = target
        self._size = size
        self.left = size
        self._read_at = asyncio.get_running_loop().time()

    async def read(self, size):
        now = asyncio.get_running_loop().time()
        is_waiting = self.left > SOCKET_BYTES
        if is_waiting and now - self._read_at > CUT_OFF_SECONDS:
            self._target.cut_off_count += 1
            raise aiohttp.ClientPayloadError("cut off by the target")
        part = min(size, self.left)
        await asyncio.sleep(part / TARGET_BYTES_PER_SECOND)
        self._read_at = asyncio.get_running_loop().time()
        self.left -= part
        return _CHUNK[:part]


class _Response:
    status = 200

    def __init__(self, target, size, is_chunked) -> None:
        self._target = target
        self.content = _Body(target, size)
        self.headers = {"Transfer-Encoding": "chunked"} if is_chunked else {}
        self.raw_headers = (
            () if is_chunked else ((b"Content-Length", str(size).encode()),)
        )
        self.content_length = None if is_chunked else size
        target.open_responses.add(self)

    async def read(self):
        self._target.open_responses.discard(self)
        return _CHUNK[: self.content_length]

    def close(self):
        self._target.open_responses.discard(self)

    @property
    def unread_bytes(self):
        """Bytes in the read buffer of the home."""
        return min(self.content.left, SOCKET_BYTES)


class BodyTarget(fleet.FakeTarget):
    """A target whose responses have bodies.

    Attributes:
      cut_off_count: responses that it cut off because they stayed unread.
      open_responses: responses that have not been read to their end.
    """

    def __init__(self, rng) -> None:
        super().__init__(rng)
        self.cut_off_count = 0
        self.open_responses = set()

    async def request(self, method, url, *, headers, trace_request_ctx, **_):
        trace_request_ctx.has_connection = True
        await asyncio.sleep(float(headers["Work"]))
        self.served_count += 1
        return _Response(
            self, int(headers["Size"]), headers["Chunked"] == "True"
        )


class LinkStream:
    """The body of a response on a link, as far as its buffers take it."""

    def __init__(self, source, network) -> None:
        self._source = source
        self._network = network
        self._queue = asyncio.Queue(LINK_CHUNKS)
        self._task = asyncio.create_task(self._pump())
        self._is_closed = False
        network.streams.add(self)

    @property
    def held_bytes(self):
        """The bytes in the buffers of the link."""
        return self._queue.qsize() * memory_admission.CHUNK_BYTES

    async def _pump(self):
        try:
            async for data in self._source:
                await self._network.is_open.wait()
                await self._queue.put(data)
            await self._queue.put(None)
        except exchange.TruncatedResponseError as error:
            await self._queue.put(error)

    def fail(self):
        """Breaks the link, as if its home had been killed."""
        self._task.cancel()
        while not self._queue.empty():
            self._queue.get_nowait()
        self._queue.put_nowait(exchange.TruncatedResponseError("home killed"))

    def __aiter__(self):
        return self

    async def __anext__(self):
        data = await self._queue.get()
        if data is None:
            self._network.streams.discard(self)
            raise StopAsyncIteration
        if isinstance(data, Exception):
            raise data
        return data

    async def aclose(self):
        if self._is_closed:
            return
        self._is_closed = True
        self._task.cancel()
        self._network.streams.discard(self)
        await self._source.aclose()


class Network:
    """The links between the entry node and the homes.

    Attributes:
      is_open: cleared while no response bytes pass.
      streams: responses on links.
    """

    def __init__(self) -> None:
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.streams: set[LinkStream] = set()


class SlowReaderFleet(fleet.Fleet):
    """A fleet with one entry node, whose callers read responses.

    Attributes:
      results: results by the name of the kind.
      entry_memory: the memory of the entry node; None if it is not bounded.
      home_memories: those of the homes, by name.
      network: the links.
      peak_entry_bytes: the most bytes that the entry node held.
      peak_home_bytes: the most bytes that one home held.
    """

    target_type = BodyTarget

    def __init__(self, seed=1, is_bounded=True, limit=LIMIT_BYTES, **options):
        super().__init__(seed, sends_updates=False, **options)
        self.results = collections.defaultdict(Results)
        self._is_bounded = is_bounded
        self._limit = limit
        self.entry_memory = self._make_memory()
        self.home_memories = {
            name: self._make_memory() for name in self.targets
        }
        self.network = Network()
        self.peak_entry_bytes = 0
        self.peak_home_bytes = 0
        self._callers = set()

    def _make_memory(self):
        if not self._is_bounded:
            return None
        return memory_control.MemoryControl(self._limit, self.clock)

    def restart_entry(self):
        """Lets the entry node forget the sizes that it has learned."""
        self.entry_memory.sizes = memory_admission.ResponseSizes()

    async def forward(self, zone, home, target, head, body):
        """Delivers a request to a home, whose response passes a link."""
        await asyncio.sleep(0.0001)
        dispatcher = self._dispatchers[home.name]
        memory = self.home_memories[home.name]

        limit = None
        if memory is not None:
            limit = functools.partial(memory.run_forwarded, head, body)
        result = await dispatcher.run_forwarded(target, 1, head, body, limit)
        if result.is_ok() and result.ok.stream is not None:
            result.ok.stream = LinkStream(result.ok.stream, self.network)
        return result

    def run_callers(self, seconds, rates=(), bursts=()):
        """Runs callers until the last has got its response.

        Args:
          seconds: how long new requests arrive.
          rates: kinds with their requests per second and, if they arrive for
            a shorter time, its seconds.
          bursts: kinds with a number of requests that arrive at once.
        """
        self.loop.run_until_complete(self._run_callers(seconds, rates, bursts))

    async def _run_callers(self, seconds, rates, bursts):
        background = [
            asyncio.create_task(coroutine)
            for coroutine in (
                self._announce_targets(),
                self._check_periodically(),
                self._watch_memory(),
            )
        ]
        await asyncio.sleep(0)
        for kind, count in bursts:
            for _ in range(count):
                self.start_caller(kind)
        await asyncio.gather(
            *(
                self._arrive(kind, rate, *(shorter or (seconds,)))
                for kind, rate, *shorter in rates
            )
        )
        while self._callers:
            await asyncio.wait(self._callers)
        for task in background:
            task.cancel()

    async def _announce_targets(self):
        while True:
            for name in self._registries:
                self._announce(name)
            await asyncio.sleep(ANNOUNCEMENT_SECONDS)

    async def _arrive(self, kind, rate, seconds):
        end = self.loop.time() + seconds
        while self.loop.time() < end:
            await asyncio.sleep(self.rng.expovariate(rate))
            self.start_caller(kind)

    def start_caller(self, kind):
        """Starts a caller; returns its task."""
        task = asyncio.create_task(self._call(kind))
        self._callers.add(task)
        task.add_done_callback(self._callers.discard)
        return task

    async def _call(self, kind):
        """Sends a request until it is served, as a caller does."""
        results = self.results[kind.name]
        for _ in range(MAX_SENDS):
            started = self.loop.time()
            wait = await self._send(kind, results, started)
            if wait is None:
                return
            await asyncio.sleep(wait.total_seconds())
        results.given_up += 1

    async def _send(self, kind, results, started):
        """Sends a request once; returns when to send it again, or None."""
        reservation = None
        head = self._make_head(kind)
        if self.entry_memory is not None:
            admitted = self.entry_memory.admit(
                fleet.SERVICE, f"GET /{kind.name}", head.queue_priority, 0
            )
            if isinstance(admitted, exchange.Refusal):
                results.refused += 1
                return admitted.retry_after
            reservation = admitted
        try:
            entry = self._entries[ENTRY_ZONE][0]
            result = await entry.serve(
                kind.request.route, head, exchange.RequestBody()
            )
            if result.is_error():
                results.refused += result.error.was_not_run
                results.failed += not result.error.was_not_run
                return result.error.retry_after
            response = (
                result.ok
                if reservation is None
                else reservation.buffer(result.ok)
            )
            await self._read(kind, response, results)
        finally:
            if reservation is not None:
                reservation.release()
        results.latencies.append(self.loop.time() - started)
        return None

    async def _read(self, kind, response, results):
        size = len(response.body)
        if response.stream is not None:
            try:
                async for data in response.stream:
                    await asyncio.sleep(len(data) / kind.bytes_per_second)
                    size += len(data)
            except exchange.TruncatedResponseError:
                results.truncated += 1
                return
            finally:
                await response.stream.aclose()
        results.complete += size == kind.size

    def _make_head(self, kind):
        request = kind.request
        fields = (
            (b"Work", str(kind.work_seconds).encode()),
            (b"Size", str(kind.size).encode()),
            (b"Chunked", str(kind.is_chunked).encode()),
        )
        return exchange.RequestHead(
            f"{self.rng.getrandbits(64):x}",
            "GET",
            f"/{kind.name}",
            fields,
            fleet.SERVICE,
            "",
            datetime.timedelta(seconds=request.timeout),
            latency_objective=datetime.timedelta(
                seconds=request.latency_objective
            ),
            queue_priority=request_queues.queue_priority(request.route),
        )

    def settle(self):
        """Lets tasks that were cancelled end."""
        self.loop.run_until_complete(asyncio.sleep(1))

    async def _watch_memory(self):
        while True:
            await asyncio.sleep(0.1)
            self.measure_memory()

    def measure_memory(self):
        """Updates the peaks by the bytes that are in buffers now."""
        on_links = sum(item.held_bytes for item in self.network.streams)
        entry = on_links
        if self.entry_memory is not None:
            entry += self.entry_memory.admission.held_bytes
        self.peak_entry_bytes = max(self.peak_entry_bytes, entry)
        for name, target in self.targets.items():
            home = sum(item.unread_bytes for item in target.open_responses)
            if self.home_memories[name] is not None:
                home += self.home_memories[name].admission.held_bytes
            self.peak_home_bytes = max(self.peak_home_bytes, home)


class CallerConnection:
    """A connection to a caller, with the buffers of both kernels.

    It takes the place of the transport. Once the buffer of a kernel is full, it
    accepts no bytes until a part of it is free, as with Linux.

    Attributes:
      unsent_bytes: bytes in the write buffer of the transport.
      queued_bytes: bytes in the send buffer of the node's kernel.
      unread_bytes: bytes in the receive buffer of the caller's kernel.
      is_aborted: whether the node has disconnected the caller.
    """

    def __init__(
        self,
        receive_buffer_bytes: int = 130_000,
        step_bytes: int = 95_000,
        send_buffer_bytes: int = 4_000_000,
        tells_unsent: bool = True,
    ) -> None:
        """Creates a connection without bytes on it.

        Args:
          receive_buffer_bytes: size of the caller's receive buffer.
          step_bytes: bytes of it that must be free before it accepts more.
          send_buffer_bytes: size of the send buffer of the node's kernel, of
            which a third must be free before it accepts more.
          tells_unsent: whether the transport tells what it has not sent; those
            of TLS connections do not tell all of it.
        """
        self._tells_unsent = tells_unsent
        self._send_buffer_bytes = send_buffer_bytes
        self._receive_buffer_bytes = receive_buffer_bytes
        self._step_bytes = step_bytes
        self.unsent_bytes = 0
        self.queued_bytes = 0
        self.unread_bytes = 0
        self._window_bytes = receive_buffer_bytes
        self._is_accepting = True
        self.is_aborted = False

    def get_write_buffer_size(self):
        return self.unsent_bytes if self._tells_unsent else 0

    def abort(self):
        self.is_aborted = True

    def queue_size(self, transport):
        """Returns what the system tells of the send buffer."""
        return transport.queued_bytes

    def write(self, size: int) -> None:
        self.unsent_bytes += size
        self._move()

    def read(self, size: int) -> None:
        """Lets the caller read up to so many bytes."""
        self.unread_bytes -= min(size, self.unread_bytes)
        self._move()

    def _move(self) -> None:
        """Moves bytes as far as the kernels accept them."""
        free = self._receive_buffer_bytes - self.unread_bytes
        if free >= self._step_bytes:
            self._window_bytes = free
        self._send(min(self._window_bytes, self.queued_bytes))
        free = self._send_buffer_bytes - self.queued_bytes
        if free >= self._send_buffer_bytes // 3:
            self._is_accepting = True
        while self._is_accepting and self.unsent_bytes:
            free = self._send_buffer_bytes - self.queued_bytes
            accepted = min(free, self.unsent_bytes)
            self.unsent_bytes -= accepted
            self.queued_bytes += accepted
            self._is_accepting = accepted < free
            self._send(min(self._window_bytes, self.queued_bytes))

    def _send(self, size: int) -> None:
        self.queued_bytes -= size
        self.unread_bytes += size
        self._window_bytes -= size


@dataclasses.dataclass(frozen=True)
class WatchedCaller:
    """A caller with an unlimited response.

    Attributes:
      bytes_per_second: how fast it reads.
      burst_bytes: what it reads at once before.
      target_bytes_per_second: how fast the target sends.
    """

    bytes_per_second: float
    burst_bytes: int = 0
    target_bytes_per_second: float = 20e6


def disconnect_seconds(
    caller, limit, seconds, connection=None, queue_size=None
):
    """Returns when a stall watch disconnects a caller, or None.

    Args:
      caller: how the caller and the target behave.
      limit: the time limit of the route.
      seconds: how long the caller is watched.
      connection: the connection of the caller.
      queue_size: what the system tells of the send buffer; by default its size.
    """
    connection = connection or CallerConnection()
    part_seconds = 0.05
    loop = virtual_loop.VirtualLoop()

    async def run():
        watch = response_buffer.StallWatch(
            connection, limit, queue_size or connection.queue_size
        )
        read_bytes = 0
        ready_bytes = 0.0
        due_bytes = 0.0
        with watch:
            for part in range(math.ceil(seconds / part_seconds)):
                due_bytes += caller.bytes_per_second * part_seconds
                burst = min(caller.burst_bytes - read_bytes, 1_000_000)
                size = max(burst, int(due_bytes))
                due_bytes = max(0.0, due_bytes - size)
                read_bytes += size
                connection.read(size)
                ready_bytes += caller.target_bytes_per_second * part_seconds
                # As the listener, it writes once the last part is sent.
                while not connection.unsent_bytes:
                    watch.record_drain()
                    if ready_bytes < 1:
                        break
                    size = min(int(ready_bytes), len(_CHUNK))
                    ready_bytes -= size
                    watch.record_write(size)
                    connection.write(size)
                await asyncio.sleep(part_seconds)
                if connection.is_aborted:
                    return (part + 1) * part_seconds
        return None

    ended = loop.run_until_complete(run())
    loop.close()
    return ended
