"""Tests of the traces of requests, built from the log lines of nodes."""

import contextlib
import datetime
import io
import json
import logging
import unittest

from endivewind import logs
from endivewind.commands import explain
from endivewind.operators import request_trace
from endivewind.targets import connections
from endivewind.tests.loads import fleet


@contextlib.contextmanager
def _captured_log():
    """Captures the gateway's log as text."""
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(logs.JsonFormatter())
    logger = logging.getLogger("endivewind.callers.gateway")
    before = logger.level, logger.propagate
    logger.setLevel(logging.INFO)
    logger.propagate = False
    logger.addHandler(handler)
    try:
        yield stream
    finally:
        logger.removeHandler(handler)
        logger.setLevel(before[0])
        logger.propagate = before[1]


def _find_trace(stream, result, first_target=""):
    """Returns the trace of the first request with a result and target."""
    lines = list(
        request_trace.parse_lines(stream.getvalue().splitlines(), "entry")
    )
    for line in lines:
        if line.fields["result"] != result or not line.fields["tries"]:
            continue
        trace = request_trace.build_trace(lines, line.fields["request_id"])
        if first_target in ("", trace.request.attempts[0].target):
            return trace
    raise AssertionError(f"no request with the result {result}")


class SimulatedFleetTest(unittest.TestCase):
    """Requests of a simulated fleet that failed, or took long."""

    def test_request_is_refused_under_overload(self):
        """The load is three times the capacity of the targets.

        The homes have no free slots; the request is refused and has not run.
        """
        simulated = fleet.Fleet()
        with _captured_log() as stream:
            simulated.run(4, (fleet.ORDER, fleet.LOOKUP), scale=3)

        trace = _find_trace(stream, "busy (not-run)")

        self.assertFalse(any(a.succeeded for a in trace.request.attempts))
        self.assertIn("busy (not-run)", explain.format_trace(trace))

    def test_outcome_is_unknown_after_a_lost_response(self):
        """The target breaks the connection; whether it ran is unknown."""
        simulated = fleet.Fleet()
        simulated.targets["a-x-0"].request = _break_connection
        with _captured_log() as stream:
            simulated.run(4, (fleet.ORDER,))

        trace = _find_trace(stream, "target-lost (unknown)")

        (attempt,) = trace.request.attempts
        self.assertEqual("a-x-0", attempt.target)
        self.assertIn("must not repeat", explain.format_trace(trace))
        # Other callers' requests were lost at the same target.
        self.assertIn("a-x-0", trace.other_attempts)

    def test_request_is_late_after_a_target_hangs(self):
        """The first target does not respond, so a second attempt is made."""
        simulated = fleet.Fleet()
        simulated.targets["a-x-0"].hang_share = 1.0
        with _captured_log() as stream:
            simulated.run(4, (fleet.LOOKUP,), zones=("a-x",))

        trace = _find_trace(stream, "200", first_target="a-x-0")

        first, second = trace.request.attempts
        self.assertEqual("a-x-0", first.target)
        self.assertGreater(second.start, datetime.timedelta(seconds=0.5))
        self.assertTrue(second.succeeded)


async def _break_connection(method, url, *, headers, trace_request_ctx, **_):
    trace_request_ctx.has_connection = True
    raise connections.ResponseLostError("the connection broke")


def _line(writer, second, message, **fields):
    time = f"2026-01-04T20:44:{second:06.3f}+00:00"
    line = {"time": time, "level": "info", "message": message, **fields}
    return f"  {second} {writer} {json.dumps(line)}"


def _attempt(home, after_ms, for_ms, result="200"):
    return {
        "target": f"t-{home}",
        "home": home,
        "after_ms": after_ms,
        "for_ms": for_ms,
        "suspicion": 0.1,
        "result": result,
    }


class ClockOffsetTest(unittest.TestCase):
    """Log lines of several nodes whose clocks differ."""

    def setUp(self):
        parent = _line(
            "n1",
            10.0,
            "request",
            request_id="r1",
            milliseconds=500,
            result="500",
            tries=[_attempt("n2", 0, 500, "500")],
        )
        call = _line(
            "n2",
            13.0,
            "request",
            request_id="r1.c1",
            milliseconds=100,
            result="deadline (unknown)",
            tries=[_attempt("n3", 0, 100, "deadline (unknown)")],
        )
        self.lines = [
            "not a log line",
            '{"time": "yesterday", "message": "request"}',
            _line("n2", 9.0, "target judged", target="t-n2", health="ejected"),
            _line("n2", 12.0, "target judged", target="t-n2", health="late"),
            _line("n1", 9.5, "member", node="n2", state="suspect"),
            _line("n1", 9.6, "member", node="n9", state="dead"),
            parent,
            call,
        ]

    def explain(self, request_id="r1"):
        return request_trace.build_trace(
            request_trace.parse_lines(self.lines, "file"), request_id
        )

    def test_a_call_lies_within_the_attempt_that_caused_it(self):
        """The second node's clock is three seconds ahead."""
        (call,) = self.explain().calls

        self.assertEqual("n2", call.line.node)
        self.assertEqual(datetime.timedelta(seconds=-3), call.clock_offset)
        self.assertIn(
            "times shifted by -3000 ms", explain.format_trace(self.explain())
        )

    def test_status_lines_are_the_latest_before_the_end(self):
        status_fields = [line.fields for line in self.explain().status_lines]

        self.assertEqual("ejected", status_fields[0]["health"])
        self.assertEqual("suspect", status_fields[1]["state"])
        self.assertEqual(2, len(status_fields))

    def test_time_limit_is_shown(self):
        """Guards against a request that is given up early without a trace."""
        self.lines[-2] = self.lines[-2].replace(
            '"milliseconds": 500', '"milliseconds": 500, "time_limit_ms": 900'
        )

        self.assertIn(
            "after 500 ms of 900 ms: 500", explain.format_trace(self.explain())
        )

    def test_a_request_without_a_line_has_no_trace(self):
        self.assertIsNone(self.explain("r2"))


if __name__ == "__main__":
    unittest.main()
