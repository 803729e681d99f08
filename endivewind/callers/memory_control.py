"""Applies memory admission to the requests of callers and of other nodes.

The listener asks it before it reads a request's body, and the node before it
runs a request that another node has forwarded. Responses with a stream are
read through a `ResponseBuffer`.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import datetime
import logging
import pathlib
import resource

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind import logs
from endivewind.callers import response_buffer
from endivewind.decisions import memory_admission
from endivewind.decisions import received_input

log = logging.getLogger(__name__)

# Share of the memory left for requests that they may use. The rest is for what
# is not counted: copies while frames are encoded and decoded, and fragments of
# the heap.
LIMIT_SHARE = 0.6
# Growth of a process after its start that has nothing to do with requests: the
# view of a fleet of 12,000 targets and the histories of health.
CONTROL_BYTES = 16 * 1024 * 1024
# Smallest share of the memory that requests may use. If the memory is set too
# low for the process itself, the node still serves a few requests.
MIN_LIMIT_SHARE = 0.05
# Counted for a streamed request body: read buffers of connection and link.
STREAMED_BODY_BYTES = memory_admission.PIPE_BYTES
# Refusals are logged at most this often, with their number.
_LOG_INTERVAL = datetime.timedelta(seconds=10)

ResponseResult = expression.Result[exchange.Response, exchange.Refusal]
Run = collections.abc.Callable[[], collections.abc.Awaitable[ResponseResult]]


class Reservation:
    """The memory reserved for one request, until it is released.

    Also the `response_buffer.Budget` of its response.
    """

    def __init__(
        self,
        control: "MemoryControl",
        allotment: memory_admission.Allotment,
        route: memory_admission.RouteKey,
        path: str,
        *,
        is_probe: bool = False,
    ) -> None:
        self._is_probe = is_probe
        self._path = path
        self._control = control
        self._allotment = allotment
        self._route = route
        self._response_bytes = allotment.expected_bytes
        self._has_recorded_size = False

    def may_hold(self, more_bytes: int) -> bool:
        """Returns whether the response may hold more bytes."""
        return self._control.admission.may_hold(self._allotment, more_bytes)

    def set_held(
        self, held_bytes: int, delivered_bytes: int, *, is_open: bool
    ) -> None:
        """Sets the bytes held, those passed on, and whether more may come."""
        expected = self._response_bytes if is_open else 0
        self._control.update(
            self._allotment,
            max(0, expected - delivered_bytes),
            held_bytes,
            memory_admission.PIPE_BYTES if is_open else 0,
        )

    def wait_for_room(self, room: asyncio.Event) -> None:
        """Sets the event once there may be room for more bytes."""
        self._control.add_waiter(room, self._allotment)

    def stop_waiting(self, room: asyncio.Event) -> None:
        """Ends the wait for room."""
        self._control.remove_waiter(room)

    def finish(self, size: int | None) -> None:
        """Ends the response; size is None if it was not read to its end."""
        if size is not None and not self._has_recorded_size:
            self._has_recorded_size = True
            self._control.sizes.record(self._route, size, self._path)
        self.release()

    def release(self) -> None:
        """Releases the memory; may be called more than once."""
        if self._is_probe:
            self._is_probe = False
            self._control.end_probe(self._route)
        self._control.release(self._allotment)

    def buffer(self, response: exchange.Response) -> exchange.Response:
        """Returns the response with its stream, if any, read ahead.

        Scenario: a faulty target states a length of a terabyte. Risk: memory is
        kept for bytes that never come, and the other requests of the route are
        refused. So a length counts only up to the size that is expected, or
        would be of an unknown route; what exceeds it counts as it arrives.
        """
        if response.stream is None:
            size = len(response.body)
            if size > self._allotment.expected_bytes:
                self.set_held(size, 0, is_open=False)
            self._control.sizes.record(self._route, size, self._path)
            return response
        length = exchange.content_length(response.headers)
        if length is not None:
            credible = min(length, self._max_credible_bytes)
            # Recorded now: many requests may arrive before this one ends.
            self._control.sizes.record(self._route, credible, self._path)
            self._has_recorded_size = credible == length
            self._response_bytes = credible
        stream = response_buffer.ResponseBuffer(
            response.stream, self, response.body
        )
        return dataclasses.replace(response, stream=stream)

    @property
    def _max_credible_bytes(self) -> int:
        """The longest response that is believed before it has arrived."""
        return max(
            self._allotment.expected_bytes,
            memory_admission.DEFAULT_RESPONSE_BYTES,
        )


class MemoryControl:
    """The memory of all requests of a node.

    Attributes:
      admission: counts the bytes and decides.
      sizes: the expected sizes of responses by route.
      refusals: number of refused requests by service.
      disconnects: number of callers disconnected because they read nothing, by
        service.
    """

    def __init__(self, limit_bytes: int, clock: clocks.Clock) -> None:
        self.admission = memory_admission.MemoryAdmission(limit_bytes)
        self.sizes = memory_admission.ResponseSizes()
        self.refusals: collections.Counter[str] = collections.Counter()
        self.disconnects: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._waiters: dict[asyncio.Event, memory_admission.Allotment] = {}
        self._logged_at: datetime.timedelta | None = None
        self._unlogged_refusals = 0
        self._probed: set[memory_admission.RouteKey] = set()

    @classmethod
    def from_memory(
        cls, memory_bytes: int, clock: clocks.Clock
    ) -> "MemoryControl":
        """Returns the control of a process with this memory; logs its limit."""
        base = process_bytes()
        limit = limit_bytes(memory_bytes, base)
        log.info(
            "memory limit",
            extra=logs.fields(
                memory_bytes=memory_bytes, base_bytes=base, limit_bytes=limit
            ),
        )
        return cls(limit, clock)

    def admit(
        self,
        service: str,
        route: str,
        priority: int,
        request_bytes: int,
        path: str = "",
    ) -> Reservation | exchange.Refusal:
        """Admits a request, or refuses it as not run.

        The result is not an expression.Result, which would take a quarter of
        this method's time.

        Scenario: the memory is nearly used up, and requests of a route arrive
        whose size is unknown. Risk: as large ones they would all be refused,
        and the node would never learn that they are small. So one request of
        the route at a time is admitted as the smallest that is streamed.

        Args:
          service: the request's service.
          route: identifies the route within the service.
          priority: the request's queue priority.
          request_bytes: bytes of the request that this node will hold.
          path: of the request; a query makes no difference.
        """
        path = path.partition("?")[0]
        now = self._clock.monotonic()
        key = (service, route)
        is_probe = key not in self._probed and not self.sizes.is_known(key)
        expected = (
            memory_admission.MIN_RESPONSE_BYTES
            if is_probe
            else self.sizes.expected(key, path)
        )
        allotment = self.admission.admit(priority, request_bytes, expected, now)
        if allotment is not None:
            if is_probe:
                self._probed.add(key)
            return Reservation(self, allotment, key, path, is_probe=is_probe)
        self._record_refusal(service, now)
        return exchange.not_run_refusal(
            exchange.Reason.BUSY,
            f"{self.admission.used_bytes} of {self.admission.limit_bytes}"
            f" bytes of memory are in use; {request_bytes + expected} more"
            " are needed",
            self.admission.retry_after(request_bytes + expected, now),
        )

    def status(self) -> dict[str, int]:
        """Returns the memory of requests in bytes, for operators."""
        return {
            "held": self.admission.held_bytes,
            "used": self.admission.used_bytes,
            "limit": self.admission.limit_bytes,
            "refusals": self.refusals.total(),
            "stalled_callers": self.disconnects.total(),
        }

    async def run_forwarded(
        self, head: exchange.RequestHead, body: exchange.RequestBody, run: Run
    ) -> ResponseResult:
        """Runs a request that another node forwarded, if memory allows it."""
        admitted = self.admit(
            head.service,
            _forwarded_route(head),
            head.queue_priority,
            _request_bytes(head, body),
            head.path,
        )
        if isinstance(admitted, exchange.Refusal):
            return expression.Error(admitted)
        return await self._run_reserved(admitted, run)

    async def run_as_issuer(
        self, head: exchange.RequestHead, body: exchange.RequestBody, run: Run
    ) -> ResponseResult:
        """Runs a request with a ticket; its memory is counted, not refused.

        An earlier copy of the request may have run, so a refusal could not
        say that it has not.
        """
        key = (head.service, _forwarded_route(head))
        path = head.path.partition("?")[0]
        allotment = self.admission.admit_unconditionally(
            head.queue_priority,
            _request_bytes(head, body),
            self.sizes.expected(key, path),
        )
        reservation = Reservation(self, allotment, key, path)
        return await self._run_reserved(reservation, run)

    async def _run_reserved(
        self, reservation: Reservation, run: Run
    ) -> ResponseResult:
        is_streaming = False
        try:
            result = await run()
            if result.is_error():
                return result
            is_streaming = result.ok.stream is not None
            return expression.Ok(reservation.buffer(result.ok))
        finally:
            if not is_streaming:
                reservation.release()

    def record_disconnect(self, service: str, request_id: str) -> None:
        """Records that a caller which read nothing was disconnected."""
        self.disconnects[service] += 1
        log.info(
            "caller read nothing",
            extra=logs.fields(service=service, request_id=request_id),
        )

    def update(
        self,
        allotment: memory_admission.Allotment,
        expected_bytes: int,
        held_bytes: int,
        pipe_bytes: int,
    ) -> None:
        """Changes what is counted for the response of a request."""
        before = self.admission.used_bytes
        now = self._clock.monotonic()
        self.admission.update(
            allotment, expected_bytes, held_bytes, pipe_bytes, now
        )
        if self.admission.used_bytes < before:
            self._wake_waiter()

    def release(self, allotment: memory_admission.Allotment) -> None:
        """Ends a request."""
        self.admission.release(allotment, self._clock.monotonic())
        self._wake_waiter()

    def end_probe(self, route: memory_admission.RouteKey) -> None:
        """Ends a request that was admitted to learn the size of its route."""
        self._probed.discard(route)

    def add_waiter(
        self, room: asyncio.Event, allotment: memory_admission.Allotment
    ) -> None:
        """Adds a response that waits for room below the limit.

        One that has reached the bound of a response waits for its own reader
        only.
        """
        if not self.admission.is_at_bound(allotment):
            self._waiters[room] = allotment

    def remove_waiter(self, room: asyncio.Event) -> None:
        """Ends a response's wait; the next waiter checks for remaining room."""
        if self._waiters.pop(room, None) is not None:
            self._wake_waiter()

    def _wake_waiter(self) -> None:
        """Lets the most urgent response that waits check for room again."""
        if not self._waiters:
            return
        room = max(self._waiters, key=lambda item: self._waiters[item].priority)
        room.set()

    def _record_refusal(self, service: str, now: datetime.timedelta) -> None:
        """Counts a refusal, and logs their number once per interval."""
        self.refusals[service] += 1
        self._unlogged_refusals += 1
        logged = self._logged_at
        if logged is not None and now - logged < _LOG_INTERVAL:
            return
        log.warning(
            "requests refused: memory",
            extra=logs.fields(
                count=self._unlogged_refusals,
                service=service,
                used_bytes=self.admission.used_bytes,
                limit_bytes=self.admission.limit_bytes,
            ),
        )
        self._logged_at = now
        self._unlogged_refusals = 0


def limit_bytes(memory_bytes: int, base_bytes: int) -> int:
    """Returns the bytes that the requests of a process may use."""
    room = memory_bytes - base_bytes - CONTROL_BYTES
    return int(max(LIMIT_SHARE * room, MIN_LIMIT_SHARE * memory_bytes))


def process_bytes() -> int:
    """Returns the resident memory of this process."""
    try:
        fields = pathlib.Path("/proc/self/statm").read_text().split()
    except OSError:
        peak_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        return peak_kib * 1024
    return int(fields[1]) * resource.getpagesize()


def _forwarded_route(head: exchange.RequestHead) -> str:
    """Returns a key for a route; the entry node sends no route itself."""
    objective = head.latency_objective // datetime.timedelta(milliseconds=1)
    return f"{head.method} {head.queue_priority} {objective}"


def _request_bytes(
    head: exchange.RequestHead, body: exchange.RequestBody
) -> int:
    """Returns the bytes that this node holds of a forwarded request."""
    streamed = 0 if body.stream is None else STREAMED_BODY_BYTES
    fields = received_input.extra_field_bytes(len(head.headers))
    return len(body.buffered) + streamed + fields
