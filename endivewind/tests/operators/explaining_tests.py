"""From a request's id to its cause, by the lines that nodes have written."""

import contextlib
import datetime
import io
import json
import logging
import unittest

from endivewind import logs
from endivewind.commands import explain
from endivewind.operators import explaining
from endivewind.targets import connections
from endivewind.tests.loads import fleet


@contextlib.contextmanager
def _recorded():
    """The log of what runs within, as text."""
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


def _story(stream, wanted, first=""):
    """The story of the first request with that result, and first target."""
    lines = list(explaining.parse(stream.getvalue().splitlines(), "entry"))
    for line in lines:
        if line.fields["result"] != wanted or not line.fields["tries"]:
            continue
        story = explaining.explain(lines, line.fields["request_id"])
        if first in ("", story.request.attempts[0].target):
            return story
    raise AssertionError(f"no request was {wanted}")


class RecordedTest(unittest.TestCase):
    """Requests of a played fleet that ended badly, or late."""

    def test_refused_under_load(self):
        """Three times the work that the targets can do.

        The homes have no slots; the request is refused and has not run.
        """
        played = fleet.Fleet()
        with _recorded() as stream:
            played.play(4, (fleet.ORDER, fleet.LOOKUP), scale=3)

        story = _story(stream, "busy (not-run)")

        self.assertFalse(any(a.succeeded for a in story.request.attempts))
        self.assertIn("busy (not-run)", explain.text(story))

    def test_unknown_after_a_lost_answer(self):
        """The target breaks the connection off; nobody can tell if it ran."""
        played = fleet.Fleet()
        played.targets["a-x-0"].request = _breaks
        with _recorded() as stream:
            played.play(4, (fleet.ORDER,))

        story = _story(stream, "target-lost (unknown)")

        (attempt,) = story.request.attempts
        self.assertEqual("a-x-0", attempt.target)
        self.assertIn("must not repeat", explain.text(story))
        # Other callers lost theirs at the same target.
        self.assertIn("a-x-0", story.others)

    def test_late_because_of_a_target_that_hangs(self):
        """The first target says nothing, and a second is asked."""
        played = fleet.Fleet()
        played.targets["a-x-0"].hangs = 1.0
        with _recorded() as stream:
            played.play(4, (fleet.LOOKUP,), zones=("a-x",))

        story = _story(stream, "200", first="a-x-0")

        first, second = story.request.attempts
        self.assertEqual("a-x-0", first.target)
        self.assertGreater(second.start, datetime.timedelta(seconds=0.5))
        self.assertTrue(second.succeeded)


async def _breaks(method, url, *, headers, trace_request_ctx, **_):
    trace_request_ctx.connected = True
    raise connections.HandOverLostError("the connection broke")


def _line(writer, second, message, **fields):
    time = f"2026-01-04T20:44:{second:06.3f}+00:00"
    line = {"time": time, "level": "info", "message": message, **fields}
    return f"  {second} {writer} {json.dumps(line)}"


def _try(home, after_ms, for_ms, result="200"):
    return {
        "target": f"t-{home}",
        "home": home,
        "after_ms": after_ms,
        "for_ms": for_ms,
        "suspicion": 0.1,
        "result": result,
    }


class ReconciledTest(unittest.TestCase):
    """Lines of several nodes, whose clocks differ."""

    def setUp(self):
        parent = _line(
            "n1",
            10.0,
            "request",
            request_id="r1",
            milliseconds=500,
            result="500",
            tries=[_try("n2", 0, 500, "500")],
        )
        call = _line(
            "n2",
            13.0,
            "request",
            request_id="r1.c1",
            milliseconds=100,
            result="deadline (unknown)",
            tries=[_try("n3", 0, 100, "deadline (unknown)")],
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
        return explaining.explain(
            explaining.parse(self.lines, "file"), request_id
        )

    def test_a_call_lies_within_the_attempt_that_caused_it(self):
        """The second node's clock is three seconds ahead."""
        (call,) = self.explain().calls

        self.assertEqual("n2", call.line.node)
        self.assertEqual(datetime.timedelta(seconds=-3), call.clock_offset)
        self.assertIn("clock moved by -3000 ms", explain.text(self.explain()))

    def test_what_was_believed_then_and_not_later(self):
        beliefs = [line.fields for line in self.explain().beliefs]

        self.assertEqual("ejected", beliefs[0]["health"])
        self.assertEqual("suspect", beliefs[1]["state"])
        self.assertEqual(2, len(beliefs))

    def test_a_request_without_a_line_has_no_story(self):
        self.assertIsNone(self.explain("r2"))


if __name__ == "__main__":
    unittest.main()
