"""A bounded buffer between a target or link and a slow caller.

Targets cut off responses that stay unread for some seconds, and a response
occupies its target's slot until it has been read. The buffer therefore reads
ahead of the caller, as far as the node's memory allows; beyond that the source
waits for the caller.
"""

import asyncio
import collections
import collections.abc
import datetime
import fcntl
import logging
import sys
import termios
from typing import Protocol

from endivewind import exchange
from endivewind.decisions import memory_admission

log = logging.getLogger(__name__)

# A caller may read nothing for at least this long, however short the time limit
# of its route is: after lost packets, TCP waits up to some seconds.
MIN_STALL_TIME = datetime.timedelta(seconds=5)
# A caller that reads at least so fast is not disconnected, however large the
# buffers between it and the node are. The slow callers for which memory
# admission is designed read as fast.
MIN_BYTES_PER_SECOND = 10_000
# A caller's kernel acknowledges further bytes only when a part of its receive
# buffer is free: 95 KB at once were measured with the initial receive buffer of
# Linux on loopback, and up to 330 KB with one of 3.5 MB; by default it grows to
# 6 MB.
_MAX_ACKNOWLEDGED_BYTES = 1_000_000
# Linux accepts further bytes when a third of the send buffer is free, which
# grows to 4 MB by default; other systems may wait for more.
_MAX_SEND_BUFFER_BYTES = 4_194_304
# How often a caller's progress is checked, as a share of the time limit.
_CHECK_SHARE = 0.25


class Budget(Protocol):
    """The memory of one response, as `memory_control.Reservation` counts it."""

    def may_hold(self, more_bytes: int) -> bool:
        """Returns whether the response may hold more bytes."""

    def set_held(
        self, held_bytes: int, delivered_bytes: int, *, is_open: bool
    ) -> None:
        """Sets the bytes held, those passed on, and whether more may come."""

    def wait_for_room(self, room: asyncio.Event) -> None:
        """Sets the event once there may be room for more bytes."""

    def stop_waiting(self, room: asyncio.Event) -> None:
        """Ends the wait for room."""

    def finish(self, size: int | None) -> None:
        """Ends the response; size is None if it was not read to its end."""


class ResponseBuffer:
    """A response body that is read ahead of its reader; a `ByteStream`."""

    def __init__(
        self, source: exchange.ByteStream, budget: Budget, first: bytes = b""
    ) -> None:
        """Starts to read the source.

        Args:
          source: the body that is still to be read.
          budget: the memory that the body may use.
          first: bytes of the body before the source; they are not returned,
            only counted.
        """
        self._source = source
        self._budget = budget
        self._chunks: collections.deque[bytes] = collections.deque()
        # Bytes in the deque, and of the chunk returned last, which is in the
        # write buffer of the reader until it asks for the next one.
        self._held_bytes = len(first)
        self._last_bytes = len(first)
        self._read_bytes = len(first)
        self._error: Exception | None = None
        self._has_ended = False
        self._is_closed = False
        self._changed = asyncio.Event()
        self._room = asyncio.Event()
        self._record_held()
        self._task = asyncio.create_task(self._fill())

    @property
    def held_bytes(self) -> int:
        """The bytes of the body that are in memory."""
        return self._held_bytes

    def __aiter__(self) -> "ResponseBuffer":
        return self

    async def __anext__(self) -> bytes:
        self._release_last()
        while not self._chunks:
            if self._error is not None:
                raise self._error
            if self._has_ended or self._is_closed:
                self._finish(self._read_bytes if self._has_ended else None)
                raise StopAsyncIteration
            self._changed.clear()
            await self._changed.wait()
        data = self._chunks.popleft()
        self._last_bytes = len(data)
        return data

    async def aclose(self) -> None:
        """Discards the unread bytes and closes the source."""
        if self._is_closed:
            return
        self._is_closed = True
        self._task.cancel()
        self._chunks.clear()
        self._finish(self._read_bytes if self._has_ended else None)
        await self._source.aclose()

    def _release_last(self) -> None:
        """Counts the chunk returned last as delivered."""
        if not self._last_bytes or self._is_closed:
            return
        self._held_bytes -= self._last_bytes
        self._last_bytes = 0
        self._record_held()
        self._room.set()

    def _record_held(self) -> None:
        delivered = self._read_bytes - self._held_bytes
        self._budget.set_held(
            self._held_bytes, delivered, is_open=not self._has_ended
        )

    def _finish(self, size: int | None) -> None:
        self._held_bytes = 0
        self._budget.stop_waiting(self._room)
        self._budget.finish(size)

    async def _fill(self) -> None:
        try:
            await self._wait_for_room()
            async for data in self._source:
                self._chunks.append(data)
                self._held_bytes += len(data)
                self._read_bytes += len(data)
                self._record_held()
                self._changed.set()
                await self._wait_for_room()
            self._has_ended = True
            self._record_held()
        except exchange.TruncatedResponseError as error:
            self._error = error
        except Exception as error:
            log.exception("reading a response failed")
            self._error = exchange.TruncatedResponseError(str(error))
        finally:
            self._changed.set()

    async def _wait_for_room(self) -> None:
        if self._budget.may_hold(memory_admission.CHUNK_BYTES):
            return
        try:
            while not self._budget.may_hold(memory_admission.CHUNK_BYTES):
                self._room.clear()
                self._budget.wait_for_room(self._room)
                await self._room.wait()
        finally:
            self._budget.stop_waiting(self._room)


def unacknowledged_bytes(transport: asyncio.Transport) -> int | None:
    """Returns the bytes in the kernel that the peer has not acknowledged.

    Returns:
      The size of the send queue, or None if the system does not tell it.
    """
    connection = transport.get_extra_info("socket")
    if connection is None:
        return None
    try:
        size = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        # Not for this kind of socket, not permitted, or already closed.
        return None
    return int.from_bytes(size, sys.byteorder)


class StallWatch:
    """Disconnects a caller that reads nothing for longer than a time limit.

    Progress is what the caller's kernel acknowledges, or that nothing is being
    written, since the caller then waits for the target. Whether the node's own
    writes complete says little: the kernel takes megabytes at once, and then
    nothing until the caller has read a large part of them. The kernels of
    callers also acknowledge in steps. The time limit therefore starts over with
    each progress, and does not end before a caller that reads
    `MIN_BYTES_PER_SECOND` could have read what was acknowledged.

    If the system does not tell what is acknowledged, what it has accepted
    counts instead. A caller that reads is not disconnected then either; one
    that reads nothing is disconnected later, by the bytes that the kernel took,
    at the latest after 7 minutes or the time limit.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        limit: datetime.timedelta,
        queue_size: collections.abc.Callable[
            [asyncio.Transport], int | None
        ] = unacknowledged_bytes,
    ) -> None:
        """Prepares the watch; it runs while its context is entered.

        Args:
          transport: the connection of the caller.
          limit: the time limit of the route.
          queue_size: returns the unacknowledged bytes, or None if unknown.
        """
        self._transport = transport
        self._limit = max(limit, MIN_STALL_TIME).total_seconds()
        self._queue_size = queue_size
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._last_check = self._loop.time()
        self._last_progress = self._last_check
        self._written_bytes = 0
        # The transport of a TLS connection may have an empty write buffer while
        # the one below it is full, so that a write does not complete.
        self._is_writing = False
        self._delivered_bytes = 0
        # What a caller that reads at the minimum rate would not have read yet.
        self._unread_bytes = 0.0
        self.has_disconnected = False

    def __enter__(self) -> "StallWatch":
        self._schedule()
        return self

    def __exit__(self, *error: object) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def record_write(self, size: int) -> None:
        """Records that the write of so many bytes begins."""
        self._written_bytes += size
        self._is_writing = True

    def record_drain(self) -> None:
        """Records that the transport has taken all that was written."""
        self._is_writing = False

    def _schedule(self) -> None:
        delay = _CHECK_SHARE * self._limit
        self._timer = self._loop.call_later(delay, self._check)

    def _check(self) -> None:
        now = self._loop.time()
        unsent = self._transport.get_write_buffer_size()
        progress = self._update_delivered(unsent, now - self._last_check)
        self._last_check = now
        if progress > 0 or not (unsent or self._is_writing):
            self._last_progress = now
        elif (
            now - self._last_progress >= self._limit and not self._unread_bytes
        ):
            self.has_disconnected = True
            self._transport.abort()
            return
        self._schedule()

    def _update_delivered(self, unsent: int, elapsed: float) -> int:
        """Returns how many bytes were delivered since the last check.

        The result is negative after writes that were not recorded.

        Args:
          unsent: bytes in the write buffer of the transport.
          elapsed: seconds since the last check.
        """
        # An empty queue would have taken the unsent bytes, so that 0 is not the
        # size of a queue.
        queued = self._queue_size(self._transport) or None
        max_unread = _MAX_ACKNOWLEDGED_BYTES
        if queued is None:
            max_unread = _MAX_SEND_BUFFER_BYTES
        delivered = self._written_bytes - unsent - (queued or 0)
        progress = delivered - self._delivered_bytes
        self._delivered_bytes = delivered
        unread = max(0.0, self._unread_bytes - MIN_BYTES_PER_SECOND * elapsed)
        self._unread_bytes = min(unread + max(0, progress), max_unread)
        return progress
