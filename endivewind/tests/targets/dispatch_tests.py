"""Tests of the dispatcher with fake connections, in virtual time."""

import asyncio
import datetime
import unittest

import aiohttp

from endivewind import exchange
from endivewind import headers
from endivewind.standins import virtual
from endivewind.targets import dispatch
from endivewind.targets import evidence
from endivewind.targets import handover
from endivewind.targets import registry

ANNOUNCEMENT = registry.Announcement(
    service="riders", address="http://target", slots=2, lease_ms=60_000
)


class _Content:
    """A body that comes in parts; an error among them breaks it off."""

    def __init__(self, *parts) -> None:
        self._parts = list(parts)

    async def read(self, size):
        part = self._parts.pop(0) if self._parts else b""
        if isinstance(part, Exception):
            raise part
        return part


class _Response:
    """An answer whose head has come."""

    raw_headers = ()

    def __init__(self, length=0, status=200, content=(), **headers) -> None:
        self.status = status
        self.headers = headers or {"Transfer-Encoding": "chunked"}
        self.content = _Content(*content)
        self.content_length = length
        self.closed = False

    async def read(self):
        return b""

    def close(self):
        self.closed = True


class _Session:
    """Connections of one kind."""

    def __init__(self, reused: bool) -> None:
        self.reused = reused
        self.silent = False
        self.refuses = False
        self.requests = 0
        self.length = 0
        self.answers = []
        self.sent = []

    async def request(self, method, url, *, headers, trace_request_ctx, **_):
        if self.refuses:
            raise aiohttp.ClientConnectionError("refused")
        self.requests += 1
        self.sent.append(headers)
        trace_request_ctx.connected = True
        trace_request_ctx.reused = self.reused
        if self.silent:
            await asyncio.Event().wait()
        return self.answers.pop(0) if self.answers else _Response(self.length)


class _Case(unittest.TestCase):
    """One target with two slots."""

    names = headers.DEFAULT_NAMES

    def setUp(self):
        self.loop = virtual.VirtualLoop()
        self.addCleanup(self.loop.close)
        clock = virtual.LoopClock(self.loop)
        home = registry.HomeIdentity("home", 7, "r", "z")
        self.targets = registry.TargetRegistry(home, clock)
        self.targets.announce("t", ANNOUNCEMENT, 2)
        self.pooled = _Session(reused=True)
        self.fresh = _Session(reused=False)
        self.samples = []
        self.dispatcher = dispatch.Dispatcher(
            self.targets,
            self.pooled,
            self.fresh,
            clock,
            self,
            handover.HandOverLedger(),
            self.names,
        )

    def started(self, target, service):
        """Takes the start of a hand-over, as the observer."""
        return 0

    def finished(self, sample):
        """Takes a sample, as the observer."""
        self.samples.append(sample.kind)

    def run_one(self, ticket="", attempt=0, incarnation=7, workspace=""):
        head = exchange.RequestHead(
            request_id="r",
            method="GET",
            path="/",
            headers=(),
            service="riders",
            workspace=workspace,
            remaining=datetime.timedelta(seconds=2),
            ticket=ticket,
            attempt=attempt,
        )
        body = exchange.RequestBody()
        return self.loop.run_until_complete(
            self.dispatcher.run_forwarded("t", incarnation, head, body)
        )


class DispatcherTest(_Case):
    """Connections that fail, and what is told of it."""

    def test_silent_connection_is_blamed_before_the_target(self):
        """One caller waits out its deadline; the next ones get answers.

        Something between home and target has forgotten the pooled
        connections. Work goes over fresh ones, and the target is not blamed.
        """
        self.pooled.silent = True

        lost = self.run_one()
        after = [self.run_one().is_ok() for _ in range(5)]

        self.assertEqual(exchange.Outcome.UNKNOWN, lost.error.outcome)
        self.assertEqual([True] * 5, after)
        self.assertNotIn(evidence.Kind.TIMEOUT, self.samples)
        self.assertEqual(1, self.pooled.requests)

    def test_hanging_target_is_blamed_from_the_second_request(self):
        self.pooled.silent = self.fresh.silent = True

        for _ in range(4):
            self.run_one()

        self.assertEqual([evidence.Kind.TIMEOUT] * 3, self.samples[1:])

    def test_the_target_is_told_the_workspace_by_its_home(self):
        self.run_one(workspace="crew")
        self.run_one()

        told = [sent.get(headers.WORKSPACE) for sent in self.pooled.sent]
        self.assertEqual(["crew", None], told)

    def test_no_connection_is_not_run(self):
        self.fresh.refuses = True

        result = self.run_one("ticket", 1)

        self.assertEqual(exchange.Outcome.NOT_RUN, result.error.outcome)
        self.assertEqual([evidence.Kind.REFUSED_CONNECTION], self.samples)

    def test_passed_deadline_is_unknown(self):
        self.fresh.silent = True

        result = self.run_one("ticket", 1)

        self.assertEqual(exchange.Outcome.UNKNOWN, result.error.outcome)

    def test_what_was_meant_for_an_earlier_start_is_refused(self):
        """The home was restarted; its record of attempts is gone."""
        result = self.run_one("ticket", 1, incarnation=6)

        self.assertEqual(exchange.Reason.STALE_HOME, result.error.reason)
        self.assertEqual(exchange.Outcome.NOT_RUN, result.error.outcome)
        self.assertEqual(0, self.fresh.requests)

    def test_stream_that_nobody_reads_frees_its_slot(self):
        """The caller leaves between the head and the body of its answer."""
        self.pooled.length = None

        result = self.run_one()
        held = self.targets.get("t").in_use
        self.loop.run_until_complete(result.ok.stream.aclose())

        self.assertEqual((1, 0), (held, self.targets.get("t").in_use))
        self.assertEqual([evidence.Kind.CANCELLED], self.samples)


class MarkedAnswersTest(_Case):
    """Targets that tell whose answer it is, and whether they ran it."""

    names = headers.HeaderNames(
        request_id="Own-Id",
        expected_target="Expect",
        not_run="Not-Run",
        response_marker="Mark",
    )

    def test_an_answer_to_another_request_reaches_nobody(self):
        """A target answers an earlier request twice on a kept connection.

        The second one lies there when the next request is sent. Its caller
        must not get it; the entry sends again what may be repeated.
        """
        answer = _Response(**{"Own-Id": "another"})
        self.pooled.answers = [answer]

        result = self.run_one()

        self.assertEqual(exchange.Outcome.UNKNOWN, result.error.outcome)
        self.assertTrue(answer.closed)

    def test_work_that_must_not_repeat_is_then_unknown(self):
        self.fresh.answers = [_Response(**{"Own-Id": "another"})]

        result = self.run_one("ticket", 1)

        self.assertEqual(exchange.Outcome.UNKNOWN, result.error.outcome)
        self.assertEqual(1, self.fresh.requests)

    def test_a_success_without_any_id_is_not_believed(self):
        self.fresh.answers = [_Response(**{"Other": "x"})]

        result = self.run_one("ticket", 1)

        self.assertTrue(result.is_error(), result)

    def test_a_target_that_says_it_did_not_run_is_believed(self):
        self.fresh.answers = [
            _Response(status=503, **{"Own-Id": "r", "Not-Run": "1"})
        ]

        result = self.run_one("ticket", 1)

        self.assertEqual(exchange.Outcome.NOT_RUN, result.error.outcome)
        self.assertIs(exchange.Reason.TARGET_FULL, result.error.reason)

    def test_another_target_at_the_address_is_told_apart(self):
        """The target has gone and its address serves another one."""
        self.fresh.answers = [_Response(status=421, **{"Own-Id": "r"})]

        result = self.run_one("ticket", 1)

        self.assertIs(exchange.Reason.WRONG_TARGET, result.error.reason)
        self.assertEqual("t", self.fresh.sent[0]["Expect"])

    def test_an_answer_without_length_that_breaks_off_is_not_begun(self):
        """The caller gets an error, not the beginning of an answer."""
        broken = aiohttp.ClientPayloadError("reset")
        self.fresh.answers = [
            _Response(None, content=(b"part", broken), **{"Own-Id": "r"})
        ]

        result = self.run_one("ticket", 1)

        self.assertEqual(exchange.Outcome.UNKNOWN, result.error.outcome)

    def test_an_answer_without_length_that_ends_is_whole(self):
        self.fresh.answers = [
            _Response(None, content=(b"one", b"two"), **{"Own-Id": "r"})
        ]

        result = self.run_one("ticket", 1)

        self.assertEqual(b"onetwo", result.ok.body)


class SuspectTest(_Case):
    """A target that has failed gets no work that must not repeat."""

    def _fail(self, count):
        self.fresh.answers = [_Response(status=500) for _ in range(count)]
        self.pooled.answers = [_Response(status=500) for _ in range(count)]
        for _ in range(count):
            self.run_one()

    def test_it_is_refused_unrun_and_the_entry_told_why(self):
        self._fail(2)
        before = self.fresh.requests

        result = self.run_one("ticket", 1)

        self.assertIs(exchange.Reason.SUSPECT, result.error.reason)
        self.assertEqual(exchange.Outcome.NOT_RUN, result.error.outcome)
        self.assertGreater(result.error.target_status.suspicion, 0.5)
        self.assertEqual(before, self.fresh.requests)

    def test_what_may_be_repeated_finds_out_that_it_is_well(self):
        self._fail(3)

        answers = [self.run_one() for _ in range(6)]

        self.assertTrue(all(answer.is_ok() for answer in answers))
        self.assertTrue(self.run_one("ticket", 1).is_ok())

    def test_a_request_that_is_overdue_counts_before_it_ends(self):
        self.pooled.silent = True
        before = self.targets.get("t").glance(self._now()).suspicion

        async def hang():
            task = asyncio.ensure_future(self._ask())
            await asyncio.sleep(1)
            self.dispatcher.look()
            self.dispatcher.look()
            found = self.targets.get("t").glance(self._now()).suspicion
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return found

        after = self.loop.run_until_complete(hang())

        self.assertGreater(after, 3 * before)
        self.assertLess(after, 0.9)

    def _now(self):
        return virtual.LoopClock(self.loop).monotonic()

    async def _ask(self):
        head = exchange.RequestHead(
            "r", "GET", "/", (), "riders", "", datetime.timedelta(seconds=9)
        )
        return await self.dispatcher.run("t", head, exchange.RequestBody())
