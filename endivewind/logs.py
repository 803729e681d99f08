"""Logs as JSON lines on standard output, without bodies and secrets.

The rate of lines is limited for each message. Writing never blocks: if the
reader is slow or has closed the pipe, lines are lost but requests are not
delayed.
"""

import collections
import datetime
import json
import logging
import os
import sys
import time

# Lines of one message allowed at once, and per second after that. A node
# serves a few hundred requests per second: with these limits each failure is
# still logged if one request in ten fails, while a burst of refusals can't slow
# the node down.
BURST_LINES = 200
LINES_PER_SECOND = 50
# Buffer for a slow reader, which holds about a second of lines.
MAX_BUFFERED_BYTES = 65_536


class JsonFormatter(logging.Formatter):
    """Formats a JSON object per line; `extra={"fields": {...}}` adds keys."""

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


class RateLimitFilter(logging.Filter):
    """Limits the rate of each message by a token bucket; counts the rest.

    Scenario: a dependency fails for minutes, and every request logs a line
    about it. Risk: the node spends its processor time on identical lines. The
    next line that passes contains the number of lines dropped.
    """

    def __init__(self) -> None:
        super().__init__()
        self._tokens: dict[tuple[str, str], float] = {}
        self._refilled_at: dict[tuple[str, str], float] = {}
        self._dropped: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether the record may be logged."""
        key = (record.name, str(record.msg))
        now = time.monotonic()
        tokens = self._tokens.get(key, BURST_LINES)
        added = (now - self._refilled_at.get(key, now)) * LINES_PER_SECOND
        tokens = min(BURST_LINES, tokens + added)
        self._refilled_at[key] = now
        if tokens < 1:
            self._tokens[key] = tokens
            self._dropped[key] += 1
            return False
        self._tokens[key] = tokens - 1
        dropped = self._dropped.pop(key, 0)
        if dropped:
            record_fields = getattr(record, "fields", {})
            record.fields = {**record_fields, "left_out_before": dropped}
        return True


class NonBlockingHandler(logging.Handler):
    """Writes without blocking; lines that do not fit the buffer are lost."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._buffer = b""
        self._lost_lines = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Buffers one line, then writes as much as the pipe accepts."""
        line = self.format(record).encode() + b"\n"
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self._lost_lines += 1
        else:
            self._buffer += self._take_lost_report() + line
        try:
            written = os.write(self._descriptor, self._buffer)
        except OSError:
            # The pipe is full or closed, and there is no other place to
            # report that.
            return
        self._buffer = self._buffer[written:]

    def _take_lost_report(self) -> bytes:
        count, self._lost_lines = self._lost_lines, 0
        if not count:
            return b""
        report = {"level": "warning", "message": "lines lost", "count": count}
        return json.dumps(report).encode() + b"\n"


def configure(level: str, *, never_block: bool = False) -> None:
    """Sends all logs of at least the given level to standard output.

    Args:
      level: debug, info, warning, error or critical.
      never_block: whether to lose lines rather than wait for the reader; then
        nothing else may be printed.
    """
    handler: logging.Handler = logging.StreamHandler(sys.stdout)
    if never_block:
        handler = NonBlockingHandler(sys.stdout.fileno())
    handler.setFormatter(JsonFormatter())
    handler.addFilter(RateLimitFilter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def fields(**values: object) -> dict[str, dict[str, object]]:
    """Makes the `extra` argument that adds keys to one log line."""
    return {"fields": values}
