"""Tests of the dispatcher with fake connections, in virtual time."""

import asyncio
import datetime
import unittest

import aiohttp

from endivewind import exchange
from endivewind.standins import virtual
from endivewind.targets import dispatch
from endivewind.targets import evidence
from endivewind.targets import handover
from endivewind.targets import registry

ANNOUNCEMENT = registry.Announcement(
    service="riders", address="http://target", slots=2, lease_ms=60_000
)


class _Response:
    """An answer whose head has come."""

    status = 200
    raw_headers = ()
    headers = {"Transfer-Encoding": "chunked"}

    def __init__(self, length=0) -> None:
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

    async def request(self, method, url, *, trace_request_ctx, **_):
        if self.refuses:
            raise aiohttp.ClientConnectionError("refused")
        self.requests += 1
        trace_request_ctx.connected = True
        trace_request_ctx.reused = self.reused
        if self.silent:
            await asyncio.Event().wait()
        return _Response(self.length)


class DispatcherTest(unittest.TestCase):
    """One target with two slots."""

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
        )

    def started(self, target, service):
        """Takes the start of a hand-over, as the observer."""
        return 0

    def finished(self, sample):
        """Takes a sample, as the observer."""
        self.samples.append(sample.kind)

    def run_one(self, ticket="", attempt=0, incarnation=7):
        head = exchange.RequestHead(
            request_id="r",
            method="GET",
            path="/",
            headers=(),
            service="riders",
            workspace="",
            remaining=datetime.timedelta(seconds=2),
            ticket=ticket,
            attempt=attempt,
        )
        body = exchange.RequestBody()
        return self.loop.run_until_complete(
            self.dispatcher.run_forwarded("t", incarnation, head, body)
        )

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
        self.loop.run_until_complete(result.ok.rest.aclose())

        self.assertEqual((1, 0), (held, self.targets.get("t").in_use))
        self.assertEqual([evidence.Kind.CANCELLED], self.samples)
