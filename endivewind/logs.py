"""Logs as JSON lines on standard output: no bodies and no secrets."""

import datetime
import json
import logging
import sys


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


def configure(level: str) -> None:
    """Sends all logs to standard output from the given level up."""
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def fields(**values: object) -> dict[str, dict[str, object]]:
    """The `extra` argument that adds keys to one log line."""
    return {"fields": values}
