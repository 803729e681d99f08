"""Logs as JSON lines on standard output: no bodies and no secrets.

Lines are bounded by rate for each message, and writing never blocks: a
reader that is slow, or has gone, costs lines and no request.
"""

import collections
import datetime
import json
import logging
import os
import sys
import time

# Lines of one message that may come at once, and each second after that. A
# node serves a few hundred requests a second; one failure in ten of them
# still has its line, a storm of refusals does not slow the node down.
BURST_LINES = 200
LINES_PER_SECOND = 50
# What waits for a slow reader; about a second of lines.
MAX_WAITING_BYTES = 65_536


class JsonFormatter(logging.Formatter):
    """One JSON object a line; `extra={"fields": {...}}` adds keys."""

    def format(self, record: logging.LogRecord) -> str:
        """Formats one record."""
        time = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        line = {
            "time": time.isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
        }
        line.update(getattr(record, "fields", {}))
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


class RateLimit(logging.Filter):
    """Lets so many lines of each message through, and counts the others.

    Failure: a dependency fails for minutes, and every request has a line of
    it. Symptom: the node spends its processor on lines that say the same. The
    first line that passes again tells how many were left out.
    """

    def __init__(self) -> None:
        super().__init__()
        self._left: dict[tuple[str, str], float] = {}
        self._at: dict[tuple[str, str], float] = {}
        self._dropped: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the record passes."""
        kind = (record.name, str(record.msg))
        now = time.monotonic()
        left = self._left.get(kind, BURST_LINES)
        gained = (now - self._at.get(kind, now)) * LINES_PER_SECOND
        left = min(BURST_LINES, left + gained)
        self._at[kind] = now
        if left < 1:
            self._left[kind] = left
            self._dropped[kind] += 1
            return False
        self._left[kind] = left - 1
        dropped = self._dropped.pop(kind, 0)
        if dropped:
            given = getattr(record, "fields", {})
            record.fields = {**given, "left_out_before": dropped}
        return True


class PipeHandler(logging.Handler):
    """Writes to a descriptor that never blocks; what can't wait is lost."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._waiting = b""
        self._lost = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one line, or keeps it for the next time."""
        line = self.format(record).encode() + b"\n"
        if len(self._waiting) + len(line) > MAX_WAITING_BYTES:
            self._lost += 1
        else:
            self._waiting += self._lost_line() + line
        try:
            written = os.write(self._descriptor, self._waiting)
        except OSError:
            # A full pipe, or nobody left to read it; there is nowhere to say.
            return
        self._waiting = self._waiting[written:]

    def _lost_line(self) -> bytes:
        lost, self._lost = self._lost, 0
        if not lost:
            return b""
        text = {"level": "warning", "message": "lines lost", "count": lost}
        return json.dumps(text).encode() + b"\n"


def configure(level: str, *, never_block: bool = False) -> None:
    """Sends all logs to standard output from the given level up.

    Args:
      level: debug, info, warning, error or critical.
      never_block: lose lines rather than wait for whoever reads them; nothing
        else may be printed then.
    """
    handler: logging.Handler = logging.StreamHandler(sys.stdout)
    if never_block:
        handler = PipeHandler(sys.stdout.fileno())
    handler.setFormatter(JsonFormatter())
    handler.addFilter(RateLimit())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def fields(**values: object) -> dict[str, dict[str, object]]:
    """The `extra` argument that adds keys to one log line."""
    return {"fields": values}
