"""endivewind explain: what happened to one request, from logs of nodes.

Give the logs of the nodes that may have had it, at best of all of them; each
file is one node's, named after it, unless its lines begin with the node's
name. Exit code 1 if no line tells of the request: it took one plain answer,
or its entry's log is not among the files.
"""

import collections.abc
import datetime
import pathlib
import sys

from absl import flags

from endivewind import exceptions
from endivewind.commands import options
from endivewind.commands import tables
from endivewind.operators import explaining

USAGE = "explain REQUEST-ID LOG|- [LOG...]"

flags.declare_key_flag("format")

_MILLISECOND = datetime.timedelta(milliseconds=1)


def main(arguments: list[str]) -> int:
    """Prints the request's life in order."""
    if len(arguments) < 2:
        raise exceptions.UsageError(f"usage: endivewind {USAGE}")
    request_id, *files = arguments
    lines = [line for file in files for line in _read(file)]
    story = explaining.explain(lines, request_id)
    if story is None:
        print(f"no line tells of request {request_id}", file=sys.stderr)
        return 1
    options.show(_json(story), text(story))
    return 0


def _read(file: str) -> collections.abc.Iterator[explaining.Line]:
    if file == "-":
        yield from explaining.parse(sys.stdin, "-")
        return
    path = pathlib.Path(file)
    try:
        with path.open(encoding="utf-8", errors="replace") as stream:
            yield from explaining.parse(stream, path.stem)
    except OSError as error:
        raise exceptions.EndivewindError(
            f"can't read {file}: {error}"
        ) from error


def text(story: explaining.Story) -> str:
    """The story for people."""
    request = story.request
    fields = request.line.fields
    kind = "must not repeat" if fields.get("once") else "may repeat"
    parts = [
        f"request {fields['request_id']} at {request.line.node}: "
        f"service {fields.get('service')}, route {fields.get('prefix')}, {kind}",
        f"came {_clock(request.start)}, ended {_clock(request.end)} after "
        f"{fields['milliseconds']} ms: {fields.get('result')}",
        _attempts(request),
    ]
    for line in story.refusals:
        parts.append(
            f"told the caller: {line.fields.get('reason')} "
            f"({line.fields.get('outcome')}): {line.fields.get('detail')}"
        )
    for call in story.calls:
        parts.append(_call(call))
    if story.beliefs:
        parts.append("believed then:")
        parts += [f"  {_belief(line)}" for line in story.beliefs]
    parts += [
        _other(target, attempts) for target, attempts in story.others.items()
    ]
    return "\n".join(parts)


def _attempts(request: explaining.Request) -> str:
    if not request.attempts:
        return "no target was asked: it was refused at its entry"
    return tables.table(
        ("AT", "TARGET", "HOME", "SUSPICION", "TOOK", "RESULT"),
        [
            (
                f"+{_ms(item.start)} ms",
                item.target,
                item.home,
                f"{item.suspicion:.2f}",
                f"{_ms(item.duration)} ms",
                item.result,
            )
            for item in request.attempts
        ],
    )


def _call(call: explaining.Request) -> str:
    fields = call.line.fields
    moved = ""
    if call.clock_offset:
        moved = f" (clock moved by {_ms(call.clock_offset)} ms)"
    results = ", ".join(
        f"{item.target} {item.result}" for item in call.attempts
    )
    return (
        f"its call {fields['request_id']} at {call.line.node}{moved}: "
        f"{_clock(call.start)} to {_clock(call.end)}, service "
        f"{fields.get('service')}: {fields.get('result')} ({results})"
    )


def _belief(line: explaining.Line) -> str:
    details = ", ".join(
        f"{key}={value}"
        for key, value in line.fields.items()
        if key not in ("level", "logger")
    )
    return f"{_clock(line.time)} {line.node}: {line.message}: {details}"


def _other(target: str, attempts: tuple[explaining.Attempt, ...]) -> str:
    if not attempts:
        return f"no other request at {target} left a line around then"
    failed = sum(not item.succeeded for item in attempts)
    return (
        f"of {len(attempts)} other attempts at {target} that left a line "
        f"around then, {failed} failed"
    )


def _clock(time: datetime.datetime) -> str:
    return time.strftime("%H:%M:%S.%f")[:-3]


def _ms(span: datetime.timedelta) -> int:
    return span // _MILLISECOND


def _json(story: explaining.Story) -> dict[str, object]:
    return {
        "request": story.request.line.fields,
        "entry": story.request.line.node,
        "came": story.request.start.isoformat(),
        "ended": story.request.end.isoformat(),
        "refusals": [line.fields for line in story.refusals],
        "calls": [
            {
                "node": call.line.node,
                "clock_offset_ms": _ms(call.clock_offset),
                **call.line.fields,
            }
            for call in story.calls
        ],
        "believed": [
            {"node": line.node, "message": line.message, **line.fields}
            for line in story.beliefs
        ],
        "others": {
            target: [item.result for item in attempts]
            for target, attempts in story.others.items()
        },
    }
