"""Puts a request's life together from the log lines of several nodes.

Nodes do not share a clock. A call that a target makes while it works on a
request is logged by another node under an id that begins with the request's;
it began after the request was handed over and ended before its answer, which
tells how far that node's clock is off at least.
"""

import collections.abc
import dataclasses
import datetime
import json
from typing import Any

# What was believed of targets and nodes is looked for this long before the
# request's end: verdicts last for seconds to a minute.
LOOK_BACK = datetime.timedelta(minutes=1)
# Other requests at the same targets, before and after.
AROUND = datetime.timedelta(seconds=10)
# Between a request's id and the number of a call that it made.
CALL_MARK = "."
_MILLISECOND = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    Attributes:
      node: who wrote it.
      time: by that node's clock.
      message: what kind of line it is.
      fields: its other keys.
    """

    node: str
    time: datetime.datetime
    message: str
    fields: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt at a target.

    Attributes:
      target: the target's id.
      home: the node that handed the request over to it.
      start: since the request came.
      duration: until the answer, or until it was given up.
      suspicion: how likely the entry took the target to be sick.
      result: a status, or a reason and an outcome.
    """

    target: str
    home: str
    start: datetime.timedelta
    duration: datetime.timedelta
    suspicion: float
    result: str

    @property
    def succeeded(self) -> bool:
        """Whether the target answered, and not by an error of its own."""
        return self.result.isdigit() and int(self.result) < 500


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request as its entry has logged it.

    Attributes:
      line: the entry's line, written when the request ended.
      attempts: in order.
      clock_offset: what to add to the node's clock to get the first entry's.
    """

    line: Line
    attempts: tuple[Attempt, ...]
    clock_offset: datetime.timedelta = datetime.timedelta()

    @property
    def end(self) -> datetime.datetime:
        """When it ended, by the clock of the first entry."""
        return self.line.time + self.clock_offset

    @property
    def start(self) -> datetime.datetime:
        """When it came, by the clock of the first entry."""
        return self.end - self.line.fields["milliseconds"] * _MILLISECOND


@dataclasses.dataclass(frozen=True, slots=True)
class Story:
    """All that the lines tell of one request.

    Attributes:
      request: the request itself.
      calls: calls that its target made while it ran, in order.
      refusals: the system's own answers to it.
      beliefs: latest lines on its targets and homes before it ended.
      others: how attempts of other requests went at its targets around then,
        by target.
    """

    request: Request
    calls: tuple[Request, ...]
    refusals: tuple[Line, ...]
    beliefs: tuple[Line, ...]
    others: dict[str, tuple[Attempt, ...]]


def parse(
    text: collections.abc.Iterable[str], node: str
) -> collections.abc.Iterator[Line]:
    """The log lines in a text; what is none is passed over.

    Args:
      text: lines; words before the JSON object are taken for the writer's
        name, the last of them, as collectors of logs put it there.
      node: the writer where a line does not name it.
    """
    for raw in text:
        before, brace, rest = raw.partition("{")
        try:
            fields = json.loads(brace + rest)
            time = datetime.datetime.fromisoformat(fields.pop("time"))
            message = str(fields.pop("message"))
        except (ValueError, KeyError, TypeError):
            continue
        words = before.split()
        yield Line(words[-1] if words else node, time, message, fields)


def explain(
    lines: collections.abc.Iterable[Line], request_id: str
) -> Story | None:
    """The story of a request; None where no line tells of it.

    A request that took one plain answer writes no line.
    """
    known = list(lines)
    requests = [
        _request(line)
        for line in known
        if line.message == "request" and _is_whole(line)
    ]
    own = [item for item in requests if _id(item.line) == request_id]
    if not own:
        return None
    request = own[0]
    calls = [
        _reconciled(item, request)
        for item in requests
        if _id(item.line).startswith(request_id + CALL_MARK)
    ]
    return Story(
        request,
        tuple(sorted(calls, key=lambda item: item.start)),
        tuple(
            line
            for line in known
            if line.message == "refused" and _id(line) == request_id
        ),
        tuple(_beliefs(known, request)),
        _others(requests, request),
    )


def _id(line: Line) -> str:
    return str(line.fields.get("request_id", ""))


def _is_whole(line: Line) -> bool:
    return {"request_id", "milliseconds", "tries"} <= line.fields.keys()


def _request(line: Line) -> Request:
    attempts = tuple(
        Attempt(
            str(item["target"]),
            str(item["home"]),
            item["after_ms"] * _MILLISECOND,
            item["for_ms"] * _MILLISECOND,
            float(item["suspicion"]),
            str(item["result"]),
        )
        for item in sorted(line.fields["tries"], key=_after)
    )
    return Request(line, attempts)


def _after(item: dict[str, Any]) -> int:
    """Attempts are logged in the order of their ends."""
    return int(item["after_ms"])


def _reconciled(call: Request, request: Request) -> Request:
    """The call, with its node's clock moved so that it lies within its cause.

    By the least that is needed: within an attempt at the call's own node, or
    within the whole request where no attempt went there.
    """
    begin, end = request.start, request.end
    for attempt in request.attempts:
        if attempt.home == call.line.node:
            begin = request.start + attempt.start
            end = begin + attempt.duration
    offset = datetime.timedelta()
    if call.end > end:
        offset = end - call.end
    elif call.start < begin:
        offset = begin - call.start
    return dataclasses.replace(call, clock_offset=offset)


def _beliefs(
    lines: list[Line], request: Request
) -> collections.abc.Iterator[Line]:
    """The latest line of each kind on each target and home of a request."""
    targets = {item.target for item in request.attempts}
    homes = {item.home for item in request.attempts}
    latest: dict[tuple[str, str], Line] = {}
    for line in lines:
        subject = str(line.fields.get("target", line.fields.get("node", "")))
        if subject not in targets | homes:
            continue
        if request.end - LOOK_BACK <= line.time <= request.end:
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


def _others(
    requests: list[Request], request: Request
) -> dict[str, tuple[Attempt, ...]]:
    found: dict[str, list[Attempt]] = {
        item.target: [] for item in request.attempts
    }
    for other in requests:
        if other is request or abs(other.end - request.end) > AROUND:
            continue
        for attempt in other.attempts:
            if attempt.target in found:
                found[attempt.target].append(attempt)
    return {target: tuple(attempts) for target, attempts in found.items()}
