"""Lets the connections of a node take turns with what they have received.

All HTTP servers of a node share one scheduler. A connection asks it before it
parses what would cost much, and tells it what it holds; connections that hold
too much are closed.
"""

import asyncio
import collections
import collections.abc
import heapq
import logging
import resource
from typing import Protocol

from endivewind import logs
from endivewind.decisions import received_input

log = logging.getLogger(__name__)

# Part of the connections that is closed at once when there are too many, so
# that looking for those that have been idle longest is seldom done.
_EVICTED_SHARE = 1 / 16
_LOG_INTERVAL_SECONDS = 10.0


class Connection(Protocol):
    """A connection as the scheduler sees it."""

    @property
    def idle_since(self) -> tuple[bool, float] | None:
        """Whether it has been served before, and since when it is idle.

        None if a request is in progress.
        """

    @property
    def used_units(self) -> float:
        """What it has cost so far."""

    def take_turn(self, units: float) -> float:
        """Parses input that costs about so much; returns what it has cost.

        The result is 0 if nothing is left that may be parsed now.
        """

    def abort(self) -> None:
        """Closes the connection at once."""


class InputScheduler:
    """Orders and bounds the input of all connections of a node.

    Attributes:
      evictions: closed connections by reason.
    """

    def __init__(self, limits: received_input.InputLimits) -> None:
        self._limits = limits
        self._fields = received_input.FieldMemory(limits.field_bytes)
        # In the order of their turns, and of the starts of their heads.
        self._waiting: dict[Connection, None] = {}
        self._waiting_for_fields: dict[Connection, None] = {}
        self._heads: dict[Connection, int] = {}
        self._head_bytes = 0
        # The open connections of each server, in the order of their starts.
        self._open: collections.defaultdict[object, dict[Connection, None]] = (
            collections.defaultdict(dict)
        )
        self._connection_count = 0
        self._is_scheduled = False
        self._logged_at: float | None = None
        self.evictions: collections.Counter[str] = collections.Counter()

    @classmethod
    def from_memory(
        cls, memory_bytes: int, connections: int = 0
    ) -> "InputScheduler":
        """Returns the scheduler of a process with this memory, 0 if unknown.

        Args:
          memory_bytes: the memory of the process.
          connections: limit of open connections; 0 for the default.
        """
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return cls(
            received_input.InputLimits.from_resources(
                memory_bytes, descriptors, connections
            )
        )

    def add(self, server: object, connection: Connection) -> bool:
        """Counts a new connection, and closes others if there are too many.

        Args:
          server: whose connection it is. Those of the server with the most
            connections are closed.
          connection: the new one.

        Returns:
          Whether there was room for it.
        """
        has_room = True
        if self._connection_count >= self._limits.connections:
            has_room = self._make_room(max(self._open.values(), key=len))
        self._open[server][connection] = None
        self._connection_count += 1
        return has_room

    def remove(self, server: object, connection: Connection) -> None:
        """Counts a connection as closed; may be called more than once."""
        if connection in self._open[server]:
            del self._open[server][connection]
            self._connection_count -= 1

    def wait_for_turn(self, connection: Connection) -> None:
        """Gives a connection its turn after all that wait already."""
        if connection in self._waiting:
            return
        if len(self._waiting) >= self._limits.waiting_connections:
            costly = max(self._waiting, key=lambda item: item.used_units)
            self.evict("waiting input", [costly])
        self._waiting[connection] = None
        self._schedule()

    def reserve_fields(self, connection: Connection, size: int) -> bool:
        """Reserves the memory of a head, or gives the connection a turn later.

        Args:
          connection: whose head it is.
          size: the bytes to pass to `release_fields` afterwards.
        """
        if not self._fields.reserve(size):
            self._waiting_for_fields[connection] = None
            return False
        # There may be room for one more that waits.
        self._wake_for_fields()
        return True

    def release_fields(self, size: int) -> None:
        """Releases the memory of a head; another one may be parsed."""
        if size:
            self._fields.release(size)
            self._wake_for_fields()

    def _wake_for_fields(self) -> None:
        if self._waiting_for_fields:
            connection = next(iter(self._waiting_for_fields))
            del self._waiting_for_fields[connection]
            self.wait_for_turn(connection)

    def hold_head(self, connection: Connection, size: int) -> None:
        """Sets the bytes that a connection holds of an unfinished head."""
        before = self._heads.get(connection, 0)
        self._head_bytes += size - before
        if size:
            self._heads[connection] = size
        else:
            self._heads.pop(connection, None)
        while self._head_bytes > self._limits.head_bytes:
            oldest = next(iter(self._heads))
            self.evict("unfinished heads", [oldest])

    def forget(self, connection: Connection) -> None:
        """Removes a connection that has ended."""
        self._waiting.pop(connection, None)
        self._waiting_for_fields.pop(connection, None)
        self._head_bytes -= self._heads.pop(connection, 0)

    def _make_room(
        self, connections: collections.abc.Collection[Connection]
    ) -> bool:
        """Closes those of the connections that have been idle for longest.

        Those that never sent a request go first. If none is idle, the one goes
        whose input has cost most, unless that was ordinary. Returns whether
        any was closed.
        """
        idle = [
            (since, number, connection)
            for number, connection in enumerate(connections)
            if (since := connection.idle_since) is not None
        ]
        count = max(1, int(_EVICTED_SHARE * self._limits.connections))
        chosen = [item[2] for item in heapq.nsmallest(count, idle)]
        if not chosen:
            costly = max(connections, key=lambda item: item.used_units)
            if costly.used_units > received_input.BURST_UNITS:
                chosen = [costly]
        if chosen:
            self.evict("connections", chosen)
        return bool(chosen)

    def evict(
        self, reason: str, connections: collections.abc.Iterable[Connection]
    ) -> None:
        """Closes connections, and logs their number once per interval."""
        for connection in connections:
            self.evictions[reason] += 1
            self.forget(connection)
            connection.abort()
        now = asyncio.get_running_loop().time()
        logged = self._logged_at
        if logged is None or now - logged >= _LOG_INTERVAL_SECONDS:
            self._logged_at = now
            log.warning(
                "connections closed to bound their input",
                extra=logs.fields(**self.evictions),
            )

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_round)

    def _run_round(self) -> None:
        """Lets connections take turns until the round has cost enough."""
        self._is_scheduled = False
        units = received_input.round_units(len(self._waiting))
        while self._waiting and units > 0:
            connection = next(iter(self._waiting))
            del self._waiting[connection]
            used = connection.take_turn(received_input.TURN_UNITS)
            units -= used
        if self._waiting:
            self._schedule()
