"""Limits on what connections may cost before their requests are admitted.

Designed for nodes with 200 to 550 MB and one core, whose clients are not all
well-behaved. Without limits, a request of legal size can take a thousand times
as long to parse as an ordinary one, and an unfinished one is held for as long
as its client likes.
"""

import dataclasses

# Bytes that cost about as much to receive and pass on as one line of a head, or
# of the framing of chunks, costs to parse: about a microsecond.
BYTES_PER_UNIT = 1024
# What a connection may cost at once, and then per second, before it has to wait
# for its turn. Ordinary requests cost 10 to 30.
BURST_UNITS = 256.0
UNITS_PER_SECOND = 250.0
# What one connection may cost in its turn, and all together before the event
# loop handles other work.
TURN_UNITS = 128.0
ROUND_UNITS = 400.0
# Rounds are longer if fewer connections wait.
FEW_CONNECTIONS = 8
# Unread bytes that the kernel holds for a connection.
RECEIVE_BUFFER_BYTES = 65_536
# Memory of a parsed field of a head: names and values, raw and decoded.
FIELD_BYTES = 512
# Heads of so many lines are light: their memory is part of what is counted for
# each request.
LIGHT_HEAD_LINES = 64
# What a connection may have open at once: requests that it was sent ahead, and
# the lines of their heads.
MAX_OPEN_REQUESTS = 16
MAX_OPEN_LINES = 256
# Memory of a connection without a request.
CONNECTION_BYTES = 12_288
# Shares of a process's memory.
_HEADS_SHARE = 0.05
_FIELDS_SHARE = 0.02
_WAITING_SHARE = 0.08
_CONNECTIONS_SHARE = 0.12
# Share of the descriptors that clients' connections may use. The others are for
# peers, targets, the platform and files.
_DESCRIPTOR_SHARE = 0.6
_DEFAULT_MEMORY_BYTES = 500_000_000
_MIN_HEADS_BYTES = 2_097_152


@dataclasses.dataclass(frozen=True, slots=True)
class InputLimits:
    """Limits of all connections of a process together.

    Attributes:
      connections: open connections.
      head_bytes: bytes of heads that have not ended.
      field_bytes: memory of parsed heads that are not light.
      waiting_connections: connections that wait for their turn.
    """

    connections: int
    head_bytes: int
    field_bytes: int
    waiting_connections: int

    @classmethod
    def from_resources(
        cls, memory_bytes: int, descriptors: int, connections: int = 0
    ) -> "InputLimits":
        """Returns the limits of a process.

        Args:
          memory_bytes: its memory; 0 if unknown.
          descriptors: the file descriptors that it may open.
          connections: replaces the limit of connections; 0 for the default.
        """
        memory = memory_bytes or _DEFAULT_MEMORY_BYTES
        default = min(
            int(_DESCRIPTOR_SHARE * descriptors),
            int(_CONNECTIONS_SHARE * memory / CONNECTION_BYTES),
        )
        return cls(
            connections or max(1, default),
            max(_MIN_HEADS_BYTES, int(_HEADS_SHARE * memory)),
            max(_MIN_HEADS_BYTES, int(_FIELDS_SHARE * memory)),
            max(1, int(_WAITING_SHARE * memory / RECEIVE_BUFFER_BYTES)),
        )


def round_units(waiting_connections: int) -> float:
    """Returns what a round may cost, in units.

    A few connections may cost more at once: their input is then passed on in
    larger parts, which costs less in all.
    """
    return ROUND_UNITS * max(1.0, FEW_CONNECTIONS / max(1, waiting_connections))


def input_cost(size: int, lines: int = 0) -> float:
    """Returns what received bytes cost, in units.

    Args:
      size: number of bytes.
      lines: lines in them; 0 for the content of a body.
    """
    return lines + size / BYTES_PER_UNIT


class Allowance:
    """What a connection may cost without waiting for its turn."""

    __slots__ = ("_units", "_updated_at")

    def __init__(self, now: float) -> None:
        """Starts with a full burst.

        Args:
          now: the time in seconds.
        """
        self._units = BURST_UNITS
        self._updated_at = now

    def take(self, units: float, now: float) -> bool:
        """Takes units and returns True, or returns False if too few are left.

        Args:
          units: the cost.
          now: the time in seconds.
        """
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._units = min(BURST_UNITS, self._units + elapsed * UNITS_PER_SECOND)
        if units > self._units:
            return False
        self._units -= units
        return True


class FieldMemory:
    """The memory of parsed heads that are not light."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """The bytes that are reserved."""
        return self._used_bytes

    def reserve(self, size: int) -> bool:
        """Reserves bytes and returns True, or returns False if there is no room.

        If nothing is reserved, any size is accepted, so that a head which alone
        exceeds the limit can be served.
        """
        if self._used_bytes and self._used_bytes + size > self._limit_bytes:
            return False
        self._used_bytes += size
        return True

    def release(self, size: int) -> None:
        """Releases bytes that were reserved."""
        self._used_bytes -= size


def extra_field_bytes(lines: int) -> int:
    """Returns the memory of parsed heads beyond that of a light one.

    Args:
      lines: of all the heads.
    """
    return FIELD_BYTES * max(0, lines - LIGHT_HEAD_LINES)
