"""Reconstructs the trace of a request from the log lines of several nodes.

The command `endivewind explain` uses it. A call that a target makes while it
runs a request may be logged by another node, whose clock differs. The call's id
begins with the request's. The call must have started after the request was sent
to the target and ended before the target's response, so the call's times are
shifted as far as that requires.
"""

import collections.abc
import dataclasses
import datetime
import json
from typing import Any

# Log lines on the status of a request's targets and nodes are included if they
# were written within this time before the end of the request: ejections last
# for seconds to a minute.
STATUS_LOOKBACK = datetime.timedelta(minutes=1)
# How long before and after a request other requests to its targets are
# included.
OTHER_REQUESTS_WINDOW = datetime.timedelta(seconds=10)
# Separates a request's id from the number of a call that it made.
CALL_ID_SEPARATOR = "."
_MILLISECOND = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One log line.

    Attributes:
      node: the node that wrote it.
      time: its time by that node's clock.
      message: the message, which identifies the kind of line.
      fields: the other keys.
    """

    node: str
    time: datetime.datetime
    message: str
    fields: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a request at a target.

    Attributes:
      target: the target's id.
      home: the home node, which sent the request to the target.
      start: time from the request's arrival to the attempt's start.
      duration: time until the response, or until the attempt was abandoned.
      suspicion: the entry node's probability that the target was unhealthy.
      result: the HTTP status; without a response, `REASON (OUTCOME)` or
        `cancelled`.
    """

    target: str
    home: str
    start: datetime.timedelta
    duration: datetime.timedelta
    suspicion: float
    result: str

    @property
    def succeeded(self) -> bool:
        """Whether the target responded without a server error."""
        return self.result.isdigit() and int(self.result) < 500


@dataclasses.dataclass(frozen=True, slots=True)
class LoggedRequest:
    """A request as its entry node logged it.

    Attributes:
      line: the entry node's line, written when the request ended.
      attempts: the attempts in the order of their starts.
      clock_offset: the offset to add to the node's clock to get the clock of
        the original request's entry node.
    """

    line: LogLine
    attempts: tuple[Attempt, ...]
    clock_offset: datetime.timedelta = datetime.timedelta()

    @property
    def end(self) -> datetime.datetime:
        """Its end by the clock of the original request's entry node."""
        return self.line.time + self.clock_offset

    @property
    def start(self) -> datetime.datetime:
        """Its arrival by the clock of the original request's entry node."""
        return self.end - self.line.fields["milliseconds"] * _MILLISECOND


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTrace:
    """Everything that the log lines contain on one request.

    Attributes:
      request: the request itself.
      calls: the calls that its target made while it ran, in order.
      refusals: the lines of its refusals by the fleet.
      status_lines: the latest lines on the status of its targets and home
        nodes before its end.
      other_attempts: attempts of other requests at its targets at about the
        same time, by target.
    """

    request: LoggedRequest
    calls: tuple[LoggedRequest, ...]
    refusals: tuple[LogLine, ...]
    status_lines: tuple[LogLine, ...]
    other_attempts: dict[str, tuple[Attempt, ...]]


def parse_lines(
    text: collections.abc.Iterable[str], node: str
) -> collections.abc.Iterator[LogLine]:
    """Parses the log lines in a text and skips everything else.

    Args:
      text: the lines. Log collectors may put words before a line's JSON
        object; the last of these words is then taken as the node's name.
      node: the node of all other lines.

    Yields:
      The log lines.
    """
    for text_line in text:
        prefix, brace, rest = text_line.partition("{")
        try:
            fields = json.loads(brace + rest)
            time = datetime.datetime.fromisoformat(fields.pop("time"))
            message = str(fields.pop("message"))
        except (ValueError, KeyError, TypeError):
            continue
        words = prefix.split()
        yield LogLine(words[-1] if words else node, time, message, fields)


def build_trace(
    lines: collections.abc.Iterable[LogLine], request_id: str
) -> RequestTrace | None:
    """Builds the trace of a request; returns None if it was not logged.

    Only a complete line with the message "request" counts; other lines that
    mention the request do not suffice. A request that succeeded at its first
    attempt is not logged.
    """
    all_lines = list(lines)
    requests = [
        _decode_request(line)
        for line in all_lines
        if line.message == "request" and _is_complete(line)
    ]
    matching = [
        item for item in requests if _request_id(item.line) == request_id
    ]
    if not matching:
        return None
    request = matching[0]
    calls = [
        _adjust_clock(item, request)
        for item in requests
        if _request_id(item.line).startswith(request_id + CALL_ID_SEPARATOR)
    ]
    return RequestTrace(
        request,
        tuple(sorted(calls, key=lambda item: item.start)),
        tuple(
            line
            for line in all_lines
            if line.message == "refused" and _request_id(line) == request_id
        ),
        tuple(_status_lines(all_lines, request)),
        _other_attempts(requests, request),
    )


def _request_id(line: LogLine) -> str:
    return str(line.fields.get("request_id", ""))


def _is_complete(line: LogLine) -> bool:
    return {"request_id", "milliseconds", "tries"} <= line.fields.keys()


def _decode_request(line: LogLine) -> LoggedRequest:
    attempts = tuple(
        Attempt(
            str(item["target"]),
            str(item["home"]),
            item["after_ms"] * _MILLISECOND,
            item["for_ms"] * _MILLISECOND,
            float(item["suspicion"]),
            str(item["result"]),
        )
        for item in sorted(line.fields["tries"], key=_start_ms)
    )
    return LoggedRequest(line, attempts)


def _start_ms(item: dict[str, Any]) -> int:
    """Returns the sort key; attempts are logged in the order of their ends."""
    return int(item["after_ms"])


def _adjust_clock(call: LoggedRequest, request: LoggedRequest) -> LoggedRequest:
    """Corrects a call's clock so that it lies within the request causing it.

    The offset is the smallest that moves the call into the attempt at the
    call's own node, or into the whole request if no attempt went there.
    """
    start, end = request.start, request.end
    for attempt in request.attempts:
        if attempt.home == call.line.node:
            start = request.start + attempt.start
            end = start + attempt.duration
    offset = datetime.timedelta()
    if call.end > end:
        offset = end - call.end
    elif call.start < start:
        offset = start - call.start
    return dataclasses.replace(call, clock_offset=offset)


def _status_lines(
    lines: list[LogLine], request: LoggedRequest
) -> collections.abc.Iterator[LogLine]:
    """Yields the latest line of each kind on each target and home node."""
    targets = {item.target for item in request.attempts}
    homes = {item.home for item in request.attempts}
    latest: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        subject = str(line.fields.get("target", line.fields.get("node", "")))
        if subject not in targets | homes:
            continue
        if request.end - STATUS_LOOKBACK <= line.time <= request.end:
            key = (line.message, subject)
            if key not in latest or latest[key].time <= line.time:
                latest[key] = line
    in_force = [
        line
        for line in lines
        if line.message == "in force"
        and line.node == request.line.node
        and line.time <= request.end
    ]
    yield from sorted(latest.values(), key=lambda line: line.time)
    yield from in_force[-1:]


def _other_attempts(
    requests: list[LoggedRequest], request: LoggedRequest
) -> dict[str, tuple[Attempt, ...]]:
    attempts_by_target: dict[str, list[Attempt]] = {
        item.target: [] for item in request.attempts
    }
    for other in requests:
        if (
            other is request
            or abs(other.end - request.end) > OTHER_REQUESTS_WINDOW
        ):
            continue
        for attempt in other.attempts:
            if attempt.target in attempts_by_target:
                attempts_by_target[attempt.target].append(attempt)
    return {
        target: tuple(attempts)
        for target, attempts in attempts_by_target.items()
    }
