"""Tests of refusals by homes, and of aborted requests, in the gateway."""

import asyncio
import datetime
import random
import unittest
from unittest import mock

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.callers import abort_controller
from endivewind.callers import gateway
from endivewind.callers import placement
from endivewind.callers import routed_request
from endivewind.callers import tickets
from endivewind.config import objects
from endivewind.config import store
from endivewind.decisions import load_balancing
from endivewind.decisions import poison_requests
from endivewind.nodes import view
from endivewind.targets import records
from endivewind.tests import samples

WAIT_SECONDS = 5
_RESPONSE = expression.Ok(exchange.Response(200, (), b"whole"))


class _LinkPool:
    """Fake link pool that returns given results and records the requests."""

    def __init__(self, results) -> None:
        self.sent: list[tuple[str, str, int]] = []
        self._results = results

    async def forward(self, home, target, head, body):
        self.sent.append((home.name, target, head.attempt))
        return self._results[home.name]


class MovedTargetTest(unittest.IsolatedAsyncioTestCase):
    """A service's only target moves to another home.

    The old home, which is stopping, refuses the request and names the new home
    before gossip has reached the entry node. The entry node must send the
    request there instead of refusing it for lack of another target.
    """

    async def test_request_follows_target_to_new_home(self):
        moved = exchange.Refusal(
            exchange.ExecutionOutcome.NOT_RUN,
            exchange.Reason.STALE_HOME,
            moved_to="new",
        )
        pool = _LinkPool({"old": expression.Error(moved), "new": _RESPONSE})

        result = await _serve(pool)

        self.assertTrue(result.is_ok(), result)
        self.assertEqual([("old", "t1", 1), ("new", "t1", 2)], pool.sent)

    async def test_log_tells_the_time_limit_and_whether_it_is_a_call(self):
        """Guards against an early refusal whose cause no log line shows."""
        lost = exchange.unknown_outcome_refusal(exchange.Reason.HOME_LOST)
        pool = _LinkPool({"old": expression.Error(lost)})

        with self.assertLogs(gateway.log, "INFO") as logged:
            await _serve(pool)

        fields = logged.records[-1].fields
        self.assertEqual(5_000, fields["time_limit_ms"])
        self.assertFalse(fields["inherits"])

    async def test_homes_that_name_each_other_exhaust_attempts(self):
        to_new = exchange.Refusal(
            exchange.ExecutionOutcome.NOT_RUN,
            exchange.Reason.STALE_HOME,
            moved_to="new",
        )
        to_old = exchange.Refusal(
            exchange.ExecutionOutcome.NOT_RUN,
            exchange.Reason.STALE_HOME,
            moved_to="old",
        )
        pool = _LinkPool(
            {"old": expression.Error(to_new), "new": expression.Error(to_old)}
        )

        result = await _serve(pool)

        self.assertEqual(
            exchange.ExecutionOutcome.NOT_RUN, result.error.outcome
        )
        self.assertEqual(gateway.MAX_ATTEMPTS, len(pool.sent))


class AbortTest(unittest.IsolatedAsyncioTestCase):
    """A node exits while requests are still being served.

    If it just closed the connections, callers would not know the outcome, and
    an order that was not run would not be repeated. Each caller must get a
    refusal with the correct outcome.
    """

    async def asyncSetUp(self):
        self.pool = _UnresponsiveLinkPool()
        self.aborts = abort_controller.AbortController()
        self.gateway_under_test = _gateway(self.pool, self.aborts)

    async def test_request_at_target_has_unknown_outcome(self):
        task = asyncio.create_task(_send_request(self.gateway_under_test))
        await self.pool.reached.wait()

        self.aborts.abort_all()

        refusal = (await task).error
        self.assertEqual(exchange.ExecutionOutcome.UNKNOWN, refusal.outcome)
        self.assertEqual(exchange.Reason.CUT_SHORT, refusal.reason)

    async def test_queued_request_was_not_run(self):
        """The only target has one slot, which another request uses."""
        first_task = asyncio.create_task(_send_request(self.gateway_under_test))
        await self.pool.reached.wait()
        queued_task = asyncio.create_task(
            _send_request(self.gateway_under_test)
        )
        await asyncio.sleep(0)

        self.aborts.abort_all()

        refusal = (await queued_task).error
        self.assertEqual(exchange.ExecutionOutcome.NOT_RUN, refusal.outcome)
        self.assertEqual(
            routed_request.SHUTDOWN_RETRY_AFTER, refusal.retry_after
        )
        self.assertEqual(
            exchange.ExecutionOutcome.UNKNOWN, (await first_task).error.outcome
        )
        self.assertEqual(1, self.pool.forward_count)

    async def test_attempt_that_was_not_sent_was_not_run(self):
        """Guards against an unknown outcome while the home is connected."""
        self.pool.is_connecting = True
        task = asyncio.create_task(_send_request(self.gateway_under_test))
        await self.pool.reached.wait()

        self.aborts.abort_all()

        refusal = (await task).error
        self.assertEqual(exchange.ExecutionOutcome.NOT_RUN, refusal.outcome)
        self.assertEqual(exchange.Reason.STOPPING, refusal.reason)

    async def test_request_waiting_for_quota_was_not_run(self):
        """Guards against a caller cut off while the quota's owner is asked."""
        tokens = mock.Mock()
        asked = asyncio.Event()

        async def take(workspace):
            asked.set()
            await asyncio.Event().wait()

        tokens.take = take
        waiting = _gateway(self.pool, self.aborts, tokens)
        waiting.workspaces.quota = mock.Mock()
        task = asyncio.create_task(_send_request(waiting))
        async with asyncio.timeout(WAIT_SECONDS):
            await asked.wait()

            self.aborts.abort_all()

            refusal = (await task).error
        self.assertEqual(exchange.ExecutionOutcome.NOT_RUN, refusal.outcome)
        self.assertEqual(exchange.Reason.STOPPING, refusal.reason)
        self.assertEqual(0, self.pool.forward_count)
        tokens.refund.assert_not_called()

    async def test_request_after_the_abort_was_not_run(self):
        """Guards against work that starts when nothing aborts it any more."""
        self.aborts.abort_all()

        async with asyncio.timeout(WAIT_SECONDS):
            refusal = (await _send_request(self.gateway_under_test)).error

        self.assertEqual(exchange.ExecutionOutcome.NOT_RUN, refusal.outcome)
        self.assertEqual(0, self.pool.forward_count)

    async def test_cancellation_by_caller_is_propagated(self):
        task = asyncio.create_task(_send_request(self.gateway_under_test))
        await self.pool.reached.wait()

        self.aborts.abort_all()
        task.cancel()

        with self.assertRaises(asyncio.CancelledError):
            await task


class _Reporter:
    """Fake reporter of crashes, which grants every trial."""

    def __init__(self) -> None:
        self.suspects = poison_requests.SuspectRequests()
        self.changes = []
        self.released = []

    async def report_crash(self, fingerprint, target, age):
        pass

    async def report_change(self, record):
        self.changes.append(record)
        self.suspects.put(record, datetime.timedelta())

    async def ask_trial(self, record, duration):
        return poison_requests.Trial(record, 1)

    def release_trial(self, trial):
        self.released.append(trial)


class SuspectRequestTest(unittest.IsolatedAsyncioTestCase):
    """A request under which targets have crashed."""

    def setUp(self):
        self.reporter = _Reporter()
        self.suspect = poison_requests.SuspectRequest(
            tickets.fingerprint(_head(), b""), 1
        )

    def learn(self, record):
        self.reporter.suspects.put(record, datetime.timedelta())

    async def test_it_is_refused_in_a_pause(self):
        """Guards against a first attempt though the fleet knows better."""
        pool = _LinkPool({"old": _RESPONSE})
        self.learn(self.suspect.after_failed_trial())

        refusal = (
            await _send_request(_gateway(pool, reporter=self.reporter))
        ).error

        self.assertEqual(exchange.Reason.POISON, refusal.reason)
        self.assertTrue(refusal.was_not_run)
        self.assertEqual(poison_requests.TRIAL_PAUSES[1], refusal.retry_after)
        self.assertEqual([], pool.sent)

    async def test_response_to_a_trial_clears_it(self):
        self.learn(self.suspect)

        result = await _send_request(
            _gateway(_LinkPool({"old": _RESPONSE}), reporter=self.reporter)
        )
        await asyncio.sleep(0)

        self.assertTrue(result.is_ok())
        self.assertEqual([self.suspect.cleared()], self.reporter.changes)
        self.assertEqual([], self.reporter.released)

    async def test_trial_without_a_response_is_not_retried(self):
        self.learn(self.suspect)
        for result in (
            expression.Ok(exchange.Response(500, ())),
            expression.Error(
                exchange.unknown_outcome_refusal(exchange.Reason.TARGET_LOST)
            ),
        ):
            with self.subTest(result=result):
                self.reporter.suspects = poison_requests.SuspectRequests()
                self.reporter.changes.clear()
                self.learn(self.suspect)
                pool = _LinkPool({"old": result})

                received = await _send_request(
                    _gateway(pool, reporter=self.reporter)
                )

                self.assertEqual(result, received)
                self.assertEqual(1, len(pool.sent))
                self.assertEqual(
                    [self.suspect.after_failed_trial()], self.reporter.changes
                )

    async def test_trial_that_is_not_made_is_given_back(self):
        """Guards against a suspect request that waits for nothing."""
        self.learn(self.suspect)
        tokens = mock.Mock()
        tokens.take = mock.AsyncMock(return_value=datetime.timedelta(seconds=1))
        limited = _gateway(_LinkPool({}), tokens=tokens, reporter=self.reporter)
        limited.workspaces.quota = mock.Mock()

        refusal = (await _send_request(limited)).error

        self.assertEqual(exchange.Reason.RATE_LIMITED, refusal.reason)
        self.assertEqual(
            [poison_requests.Trial(self.suspect, 1)], self.reporter.released
        )

    async def test_it_is_not_sent_if_it_becomes_suspect_in_the_queue(self):
        """Guards against arrivals long after the third crash."""
        pool = _HeldLinkPool()
        waiting = _gateway(pool, reporter=self.reporter)
        first = asyncio.create_task(_send_request(waiting, "/first"))
        await pool.reached.wait()
        queued = asyncio.create_task(_send_request(waiting))
        await asyncio.sleep(0)

        self.learn(self.suspect.after_failed_trial())
        pool.release.set()

        async with asyncio.timeout(WAIT_SECONDS):
            self.assertTrue((await first).is_ok())
            refusal = (await queued).error
            self.assertEqual(exchange.Reason.POISON, refusal.reason)
            # Its slot is free again.
            self.assertTrue((await _send_request(waiting, "/next")).is_ok())
        self.assertEqual(["/first", "/next"], pool.paths)


class _HeldLinkPool:
    """Fake link pool whose home responds once it is released."""

    def __init__(self) -> None:
        self.reached = asyncio.Event()
        self.release = asyncio.Event()
        self.paths = []

    async def forward(self, home, target, head, body):
        self.paths.append(head.path)
        self.reached.set()
        await self.release.wait()
        return _RESPONSE


class _UnresponsiveLinkPool:
    """Fake link pool whose home never responds."""

    def __init__(self) -> None:
        self.reached = asyncio.Event()
        self.forward_count = 0
        self.is_connecting = False

    async def forward(self, home, target, head, body):
        self.forward_count += 1
        self.reached.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            if self.is_connecting:
                head.record_unsent()
            raise


async def _serve(pool: _LinkPool) -> gateway.ResponseResult:
    return await _send_request(_gateway(pool))


def _gateway(pool, aborts=None, tokens=None, reporter=None) -> gateway.Gateway:
    clock = clocks.ManualClock()
    fleet = view.FleetView()
    for name in ("old", "new"):
        fleet.put_node(view.NodeRecord(name, 7, f"{name}:1", "andina", "a"))
    fleet.put_home_state("old", 7, 1, [_record()])
    place = load_balancing.Locality("entry", "andina", "a")
    return gateway.Gateway(
        "entry",
        placement.Placement(place, fleet, lambda _: 0, clock, random.Random(1)),
        store.ConfigurationStore(),
        fleet,
        None,
        pool,
        clock,
        mock.Mock(),
        quota_client=tokens,
        aborts=aborts,
        crash_reporter=reporter,
    )


def _head(path: str = "/") -> exchange.RequestHead:
    return exchange.RequestHead(
        "r1", "GET", path, (), "riders", "", datetime.timedelta(seconds=5)
    )


async def _send_request(
    gateway_under_test: gateway.Gateway, path: str = "/"
) -> gateway.ResponseResult:
    return await gateway_under_test.serve(
        objects.Route(service="riders"), _head(path), exchange.RequestBody()
    )


def _record() -> records.TargetRecord:
    return samples.make_target_record(
        "t1", home="old", home_incarnation=7, zone="a", slots=1
    )
