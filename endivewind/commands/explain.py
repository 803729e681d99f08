"""endivewind explain: traces one request through the logs of nodes.

Pass the logs of all nodes that may have handled the request, preferably of
the whole fleet. Each file holds the log of the node it is named after, unless
its lines begin with a node's name. The exit code is 1 if no line mentions the
request: a request that succeeds at its first attempt is not logged, or the
log of its entry node is missing.
"""

import collections.abc
import datetime
import pathlib
import sys
from typing import Any

from absl import flags

from endivewind import exceptions
from endivewind.commands import options
from endivewind.commands import tables
from endivewind.operators import request_trace

USAGE = "explain REQUEST-ID LOG|- [LOG...]"

flags.declare_key_flag("format")

_MILLISECOND = datetime.timedelta(milliseconds=1)


def main(arguments: list[str]) -> int:
    """Prints the request's attempts and related events in order."""
    if len(arguments) < 2:
        raise exceptions.UsageError(f"usage: endivewind {USAGE}")
    request_id, *files = arguments
    lines = [line for file in files for line in _read_lines(file)]
    trace = request_trace.build_trace(lines, request_id)
    if trace is None:
        print(f"no log line mentions request {request_id}", file=sys.stderr)
        return 1
    options.print_result(_to_json(trace), format_trace(trace))
    return 0


def _read_lines(file: str) -> collections.abc.Iterator[request_trace.LogLine]:
    if file == "-":
        yield from request_trace.parse_lines(sys.stdin, "-")
        return
    path = pathlib.Path(file)
    try:
        with path.open(encoding="utf-8", errors="replace") as stream:
            yield from request_trace.parse_lines(stream, path.stem)
    except OSError as error:
        raise exceptions.EndivewindError(
            f"can't read {file}: {error}"
        ) from error


def format_trace(trace: request_trace.RequestTrace) -> str:
    """Formats the trace of a request for text output."""
    request = trace.request
    fields = request.line.fields
    retry_note = "must not repeat" if fields.get("once") else "may repeat"
    parts = [
        f"request {fields['request_id']} at {request.line.node}: "
        f"service {fields.get('service')}, route {fields.get('prefix')}, "
        f"{retry_note}",
        f"received {_format_time(request.start)}, "
        f"ended {_format_time(request.end)} after "
        f"{fields['milliseconds']} ms{_format_time_limit(fields)}: "
        f"{fields.get('result')}",
        _format_attempts(request),
    ]
    for line in trace.refusals:
        parts.append(
            f"refusal sent to the caller: {line.fields.get('reason')} "
            f"({line.fields.get('outcome')}): {line.fields.get('detail')}"
        )
    for call in trace.calls:
        parts.append(_format_call(call))
    if trace.status_lines:
        parts.append("target status at that time:")
        parts += [f"  {_format_status(line)}" for line in trace.status_lines]
    parts += [
        _format_other_attempts(target, attempts)
        for target, attempts in trace.other_attempts.items()
    ]
    return "\n".join(parts)


def _format_time_limit(fields: dict[str, Any]) -> str:
    """Returns the time limit; empty if a node of another release wrote none."""
    limit = fields.get("time_limit_ms")
    return "" if limit is None else f" of {limit} ms"


def _format_attempts(request: request_trace.LoggedRequest) -> str:
    if not request.attempts:
        return "no target was tried: the request was refused at its entry node"
    return tables.format_table(
        ("AT", "TARGET", "HOME", "SUSPICION", "TOOK", "RESULT"),
        [
            (
                f"+{_milliseconds(item.start)} ms",
                item.target,
                item.home,
                f"{item.suspicion:.2f}",
                f"{_milliseconds(item.duration)} ms",
                item.result,
            )
            for item in request.attempts
        ],
    )


def _format_call(call: request_trace.LoggedRequest) -> str:
    fields = call.line.fields
    clock_note = ""
    if call.clock_offset:
        clock_note = (
            f" (times shifted by {_milliseconds(call.clock_offset)} ms)"
        )
    results = ", ".join(
        f"{item.target} {item.result}" for item in call.attempts
    )
    return (
        f"nested call {fields['request_id']} at {call.line.node}{clock_note}: "
        f"{_format_time(call.start)} to {_format_time(call.end)}, service "
        f"{fields.get('service')}: {fields.get('result')} ({results})"
    )


def _format_status(line: request_trace.LogLine) -> str:
    details = ", ".join(
        f"{key}={value}"
        for key, value in line.fields.items()
        if key not in ("level", "logger")
    )
    return f"{_format_time(line.time)} {line.node}: {line.message}: {details}"


def _format_other_attempts(
    target: str, attempts: tuple[request_trace.Attempt, ...]
) -> str:
    if not attempts:
        return f"no other requests at {target} were logged around that time"
    failed = sum(not item.succeeded for item in attempts)
    return (
        f"of {len(attempts)} other attempts at {target} logged around "
        f"that time, {failed} failed"
    )


def _format_time(time: datetime.datetime) -> str:
    return time.strftime("%H:%M:%S.%f")[:-3]


def _milliseconds(span: datetime.timedelta) -> int:
    return span // _MILLISECOND


def _to_json(trace: request_trace.RequestTrace) -> dict[str, object]:
    return {
        "request": trace.request.line.fields,
        "entry": trace.request.line.node,
        "came": trace.request.start.isoformat(),
        "ended": trace.request.end.isoformat(),
        "refusals": [line.fields for line in trace.refusals],
        "calls": [
            {
                "node": call.line.node,
                "clock_offset_ms": _milliseconds(call.clock_offset),
                **call.line.fields,
            }
            for call in trace.calls
        ],
        "believed": [
            {"node": line.node, "message": line.message, **line.fields}
            for line in trace.status_lines
        ],
        "others": {
            target: [item.result for item in attempts]
            for target, attempts in trace.other_attempts.items()
        },
    }
