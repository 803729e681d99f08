"""Tests the dispatcher with fake sessions, in virtual time."""

import asyncio
import datetime
import unittest

import aiohttp
import expression
import multidict

from endivewind import exchange
from endivewind import headers
from endivewind.standins import virtual_loop
from endivewind.targets import attempt_log
from endivewind.targets import dispatch
from endivewind.targets import evidence
from endivewind.targets import registry

OWN_HEADERS = {"Own-Id": "r", "Mark": "t"}
ANNOUNCEMENT = registry.Announcement(
    service="riders", address="http://target", slots=2, lease_ms=60_000
)


class _Content:
    """A body that arrives in parts; an exception among them is raised."""

    def __init__(self, *parts) -> None:
        self._parts = list(parts)

    async def read(self, size):
        part = self._parts.pop(0) if self._parts else b""
        if isinstance(part, Exception):
            raise part
        return part


class _Response:
    """A response whose head has arrived."""

    raw_headers = ()

    def __init__(self, length=0, status=200, content=(), **headers) -> None:
        self.status = status
        self.headers = multidict.CIMultiDict(
            headers or {"Transfer-Encoding": "chunked"}
        )
        self.content = _Content(*content)
        self.content_length = length
        self.closed = False

    async def read(self):
        return b""

    def close(self):
        self.closed = True


class _Session:
    """A session with connections that are either all reused or all new."""

    def __init__(self, reused: bool) -> None:
        self.reused = reused
        self.is_silent = False
        self.refuses_connections = False
        self.is_connecting = False
        self.connect_seconds = 0.0
        self.work_seconds = 0.0
        self.request_count = 0
        self.content_length = 0
        self.responses = []
        self.sent_headers = []

    async def request(self, method, url, *, headers, trace_request_ctx, **_):
        if self.refuses_connections:
            raise aiohttp.ClientConnectionError("refused")
        if self.is_connecting:
            await asyncio.Event().wait()
        await asyncio.sleep(self.connect_seconds)
        self.request_count += 1
        self.sent_headers.append(headers)
        trace_request_ctx.record_connection(is_reused=self.reused)
        if self.is_silent:
            await asyncio.Event().wait()
        await asyncio.sleep(self.work_seconds)
        return (
            self.responses.pop(0)
            if self.responses
            else _Response(self.content_length)
        )


class _Case(unittest.TestCase):
    """Base of the tests: one target with two slots."""

    names = headers.DEFAULT_NAMES

    def setUp(self):
        self.loop = virtual_loop.VirtualLoop()
        self.addCleanup(self.loop.close)
        clock = self._clock = virtual_loop.LoopClock(self.loop)
        home = registry.HomeIdentity("home", 7, "r", "z")
        self.targets = registry.TargetRegistry(home, clock)
        self.targets.announce("t", ANNOUNCEMENT, 2)
        self.pooled = _Session(reused=True)
        self.fresh = _Session(reused=False)
        self.kinds = []
        self.change_count = 0
        self.dispatcher = dispatch.Dispatcher(
            self.targets,
            self.pooled,
            self.fresh,
            clock,
            self,
            attempt_log.AttemptLog(),
            self.names,
            self.record_change,
        )

    def record_start(self, target, service):
        """Ignores the start of a request, as the observer."""
        return 0

    def record_finish(self, sample):
        """Records how a request ended, as the observer."""
        self.kinds.append(sample.kind)

    def record_change(self):
        """Counts the changes to publish."""
        self.change_count += 1

    async def send(self, timeout=9):
        """Sends an idempotent request."""
        remaining_time = datetime.timedelta(seconds=timeout)
        head = exchange.RequestHead(
            "r", "GET", "/", (), "riders", "", remaining_time
        )
        return await self.dispatcher.run("t", head, exchange.RequestBody())

    def run_one(
        self, ticket="", attempt=0, incarnation=7, workspace="", limit=None
    ):
        head = exchange.RequestHead(
            request_id="r",
            method="GET",
            path="/",
            headers=(),
            service="riders",
            workspace=workspace,
            remaining_time=datetime.timedelta(seconds=2),
            ticket=ticket,
            attempt=attempt,
        )
        body = exchange.RequestBody()
        return self.loop.run_until_complete(
            self.dispatcher.run_forwarded("t", incarnation, head, body, limit)
        )

    def look_up(self, **options):
        """Runs an idempotent request; options are attributes of its head."""
        head = exchange.RequestHead(
            "r",
            "GET",
            "/",
            options.pop("headers", ()),
            "riders",
            "",
            datetime.timedelta(seconds=9),
            **options,
        )
        return self.loop.run_until_complete(
            self.dispatcher.run("t", head, exchange.RequestBody())
        )


class RequestAgeTest(_Case):
    """Homes tell how long ago they sent a request that may be a duplicate."""

    def age(self, **options):
        result = self.look_up(**options)
        return exchange.target_report(result).request_age.total_seconds()

    def test_time_before_the_request_is_sent_does_not_count(self):
        """Guards against retries that count from before they arrive."""
        self.pooled.connect_seconds = 0.7
        self.pooled.work_seconds = 0.5

        self.assertAlmostEqual(0.5, self.age(may_be_duplicate=True))

    def test_failed_request_has_an_age(self):
        self.pooled.is_silent = True

        self.assertAlmostEqual(9, self.age(may_be_duplicate=True))

    def test_request_that_was_not_sent_has_none(self):
        self.pooled.refuses_connections = True

        self.assertEqual(0, self.age(may_be_duplicate=True))

    def test_first_request_has_none(self):
        """Guards against bytes on the wire that nobody needs."""
        self.pooled.work_seconds = 0.5

        self.assertEqual(0, self.age())


class StopLimitTest(_Case):
    """The node reaches its stop limit; the target has two slots.

    Guards against an unknown outcome of requests that were never sent.
    """

    def setUp(self):
        super().setUp()
        self.pooled.is_silent = True
        self.progress = []

    def start(self):
        """Starts an attempt whose progress is recorded."""
        self.progress.append(exchange.AttemptProgress())
        head = exchange.RequestHead(
            "r", "GET", "/", (), "riders", "", datetime.timedelta(seconds=9)
        ).for_attempt(
            1, datetime.timedelta(seconds=9), progress=self.progress[-1]
        )
        return asyncio.ensure_future(
            self.dispatcher.run("t", head, exchange.RequestBody())
        )

    def test_queued_request_of_another_node_was_not_run(self):
        async def run():
            tasks = [self.start() for _ in range(3)]
            await asyncio.sleep(0.1)
            self.dispatcher.refuse_queued()
            result = await tasks[2]
            for task in tasks[:2]:
                self.assertFalse(task.done())
                task.cancel()
            return result

        result = self.loop.run_until_complete(run())

        self.assertTrue(result.error.was_not_run)
        self.assertIs(exchange.Reason.STOPPING, result.error.reason)
        self.assertEqual(2, self.pooled.request_count)

    def test_cancelled_attempt_says_whether_it_was_sent(self):
        async def run():
            tasks = [self.start() for _ in range(3)]
            await asyncio.sleep(0.1)
            for task in reversed(tasks):
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.loop.run_until_complete(run())

        self.assertEqual(
            [False, False, True], [item.ended_unsent for item in self.progress]
        )
        self.assertEqual(2, self.pooled.request_count)

    def test_attempt_cancelled_without_a_connection_was_not_sent(self):
        self.pooled.is_connecting = True

        async def run():
            task = self.start()
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.loop.run_until_complete(run())

        self.assertTrue(self.progress[0].ended_unsent)


class LimitTest(_Case):
    """Attempts that a node refuses because it has no memory or link bytes."""

    async def _refuse(self, run):
        return expression.Error(
            exchange.not_run_refusal(exchange.Reason.BUSY, "no room")
        )

    def test_late_duplicate_of_a_refused_attempt_is_not_run(self):
        """The issuer has retried it elsewhere; it would run twice."""
        first = self.run_one("ticket", 1, limit=self._refuse)
        duplicate = self.run_one("ticket", 1)
        further = self.run_one("ticket", 2)

        self.assertTrue(first.error.was_not_run)
        self.assertIs(exchange.Reason.SEALED, duplicate.error.reason)
        self.assertTrue(further.is_ok())

    def test_duplicate_of_an_attempt_that_ran_is_not_refused_as_not_run(self):
        """Its issuer would run the request again."""
        self.assertTrue(self.run_one("ticket", 1).is_ok())
        duplicate = self.run_one("ticket", 1, limit=self._refuse)

        self.assertFalse(duplicate.error.was_not_run)


class DispatcherTest(_Case):
    """Failures of connections, and the results that are reported."""

    def test_first_timeout_counts_against_the_connection(self):
        """Guards against ejecting a healthy target for silent connections.

        A device between home node and target has lost the state of the pooled
        connections. One request times out, the next ones use new connections,
        and the time-out does not count against the target.
        """
        self.pooled.is_silent = True

        first = self.run_one()
        successes = [self.run_one().is_ok() for _ in range(5)]

        self.assertEqual(exchange.ExecutionOutcome.UNKNOWN, first.error.outcome)
        self.assertEqual([True] * 5, successes)
        self.assertNotIn(evidence.ResultKind.TIMEOUT, self.kinds)
        self.assertEqual(1, self.pooled.request_count)

    def test_later_timeouts_count_against_the_target(self):
        self.pooled.is_silent = self.fresh.is_silent = True

        for _ in range(4):
            self.run_one()

        self.assertEqual([evidence.ResultKind.TIMEOUT] * 3, self.kinds[1:])

    def test_workspace_is_sent_to_the_target(self):
        self.run_one(workspace="crew")
        self.run_one()

        workspaces = [
            sent.get(headers.WORKSPACE) for sent in self.pooled.sent_headers
        ]
        self.assertEqual(["crew", None], workspaces)

    def test_refused_connection_means_not_run(self):
        self.fresh.refuses_connections = True

        result = self.run_one("ticket", 1)

        self.assertEqual(
            exchange.ExecutionOutcome.NOT_RUN, result.error.outcome
        )
        self.assertEqual([evidence.ResultKind.REFUSED_CONNECTION], self.kinds)

    def test_target_may_work_on_an_abandoned_request_until_its_deadline(self):
        """Guards against calls of abandoned requests that count as callers'.

        Two seconds are given to the target, and the caller leaves after one.
        """
        self.pooled.is_silent = True

        async def abandon():
            task = asyncio.create_task(self.send(timeout=2))
            await asyncio.sleep(1)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        self.loop.run_until_complete(abandon())

        self.loop.advance(datetime.timedelta(seconds=0.9))
        self.assertTrue(self.dispatcher.has_active_work)
        self.loop.advance(datetime.timedelta(seconds=0.2))
        self.assertFalse(self.dispatcher.has_active_work)

    def test_target_may_resume_a_request_after_its_deadline(self):
        """Guards against late calls that count as requests of callers."""
        self.pooled.is_silent = True
        self.assertFalse(self.dispatcher.may_resume_work)

        self.loop.run_until_complete(self.send(timeout=1))

        self.targets.depart("t")
        self.loop.advance(datetime.timedelta(seconds=50))
        self.assertFalse(self.dispatcher.has_active_work)
        self.assertTrue(self.dispatcher.may_resume_work)
        self.loop.advance(datetime.timedelta(seconds=10))
        self.assertFalse(self.dispatcher.may_resume_work)

    def test_target_resumes_no_request_that_it_has_answered(self):
        self.loop.run_until_complete(self.send())

        self.assertFalse(self.dispatcher.may_resume_work)

    def test_deregistered_target_works_on_its_requests(self):
        """Guards against calls of a departed target that count as callers'."""
        self._check_works_on(lambda: self.targets.depart("t"))

    def test_target_whose_lease_has_ended_works_on_its_requests(self):
        """Guards against calls of a lost target that count as callers'."""
        self.targets.announce(
            "t", ANNOUNCEMENT.model_copy(update={"lease_ms": 500}), 2
        )
        self._check_works_on(self.targets.remove_expired)

    def _check_works_on(self, leave):
        """Checks that a target is active until its request ends."""
        self.pooled.work_seconds = 2.0

        async def run():
            request = asyncio.create_task(self.send())
            await asyncio.sleep(1)
            leave()
            self.assertEqual([], self.targets.target_records())
            self.assertTrue(self.dispatcher.has_active_work)
            self.assertEqual(1, len(self.dispatcher.running_requests()))
            await request

        self.loop.run_until_complete(run())

        self.assertFalse(self.dispatcher.has_active_work)

    def test_target_that_got_nothing_is_idle(self):
        self.pooled.refuses_connections = True
        self.loop.run_until_complete(self.send())

        self.assertFalse(self.dispatcher.has_active_work)

    def test_timeout_means_unknown_outcome(self):
        self.fresh.is_silent = True

        result = self.run_one("ticket", 1)

        self.assertEqual(
            exchange.ExecutionOutcome.UNKNOWN, result.error.outcome
        )

    def test_request_for_an_earlier_incarnation_is_refused(self):
        """The home node has restarted and lost its log of attempts."""
        result = self.run_one("ticket", 1, incarnation=6)

        self.assertEqual(exchange.Reason.STALE_HOME, result.error.reason)
        self.assertEqual(
            exchange.ExecutionOutcome.NOT_RUN, result.error.outcome
        )
        self.assertEqual(0, self.fresh.request_count)

    def test_unread_stream_releases_its_slot(self):
        """The caller disconnects after the head of its response."""
        self.pooled.content_length = None

        result = self.run_one()
        in_use = self.targets.get("t").slots_in_use
        self.loop.run_until_complete(result.ok.stream.aclose())

        self.assertEqual((1, 0), (in_use, self.targets.get("t").slots_in_use))
        self.assertEqual([evidence.ResultKind.CANCELLED], self.kinds)


class ResponseMarkerTest(_Case):
    """Targets that return the request id and whether they executed it."""

    names = headers.HeaderNames(
        request_id="Own-Id",
        expected_target="Expect",
        not_run="Not-Run",
        response_marker="Mark",
    )

    def test_response_to_another_request_is_discarded(self):
        """Guards against returning a response to the wrong caller.

        A target responds twice to an earlier request on a pooled connection;
        the second response is read as that to the next request. The entry node
        retries that request if it is idempotent.
        """
        response = _Response(**{"Own-Id": "another"})
        self.pooled.responses = [response]

        result = self.run_one()

        self.assertEqual(
            exchange.ExecutionOutcome.UNKNOWN, result.error.outcome
        )
        self.assertTrue(response.closed)

    def test_non_idempotent_request_then_has_unknown_outcome(self):
        self.fresh.responses = [_Response(**{"Own-Id": "another"})]

        result = self.run_one("ticket", 1)

        self.assertEqual(
            exchange.ExecutionOutcome.UNKNOWN, result.error.outcome
        )
        self.assertEqual(1, self.fresh.request_count)

    def test_success_without_request_id_is_rejected(self):
        self.fresh.responses = [_Response(**{"Other": "x"})]

        result = self.run_one("ticket", 1)

        self.assertTrue(result.is_error(), result)

    def test_success_without_the_targets_mark_is_rejected(self):
        """Guards against a success that the target has not written."""
        unmarked = _Response(**{"Own-Id": "r"})
        marked_twice = _Response(**OWN_HEADERS)
        marked_twice.headers.add("Mark", "other")
        for response in (unmarked, marked_twice):
            with self.subTest(response.headers):
                self.pooled.responses = [response]

                result = self.look_up()

                self.assertIs(exchange.Reason.TARGET_LOST, result.error.reason)
                self.assertTrue(response.closed)

    def test_failure_needs_no_mark(self):
        """Guards against an unknown outcome where the target has responded."""
        self.fresh.responses = [_Response(status=500, **{"Own-Id": "r"})]

        self.assertEqual(500, self.run_one("ticket", 1).ok.status)

    def test_encoded_response_is_returned_only_if_asked_for(self):
        """Guards against a body that the caller can't decode."""
        for asked, coding, is_returned in (
            (None, "gzip", False),
            (b"identity", "gzip", False),
            (b"gzip", "gzip", True),
            (None, "identity", True),
        ):
            with self.subTest(asked, coding=coding):
                self.pooled.responses = [
                    _Response(**OWN_HEADERS, **{"Content-Encoding": coding})
                ]
                fields = ((b"Accept-Encoding", asked),) if asked else ()

                result = self.look_up(headers=fields)

                self.assertEqual(is_returned, result.is_ok(), result)

    def test_not_run_header_means_not_run(self):
        self.fresh.responses = [
            _Response(status=503, **{"Own-Id": "r", "Not-Run": "1"})
        ]

        result = self.run_one("ticket", 1)

        self.assertEqual(
            exchange.ExecutionOutcome.NOT_RUN, result.error.outcome
        )
        self.assertIs(exchange.Reason.TARGET_FULL, result.error.reason)

    def test_misdirected_request_means_wrong_target(self):
        """The target has stopped and another one uses its address."""
        self.fresh.responses = [_Response(status=421, **{"Own-Id": "r"})]

        result = self.run_one("ticket", 1)

        self.assertIs(exchange.Reason.WRONG_TARGET, result.error.reason)
        self.assertEqual("t", self.fresh.sent_headers[0]["Expect"])

    def test_truncated_response_without_length_is_not_returned(self):
        """The caller gets an error and not the beginning of the response."""
        error = aiohttp.ClientPayloadError("reset")
        self.fresh.responses = [
            _Response(None, content=(b"part", error), **OWN_HEADERS)
        ]

        result = self.run_one("ticket", 1)

        self.assertEqual(
            exchange.ExecutionOutcome.UNKNOWN, result.error.outcome
        )

    def test_complete_response_without_length_is_buffered(self):
        self.fresh.responses = [
            _Response(None, content=(b"one", b"two"), **OWN_HEADERS)
        ]

        result = self.run_one("ticket", 1)

        self.assertEqual(b"onetwo", result.ok.body)


class SuspectTest(_Case):
    """A target that has failed gets no non-idempotent requests."""

    def _fail(self, count):
        self.fresh.responses = [_Response(status=500) for _ in range(count)]
        self.pooled.responses = [_Response(status=500) for _ in range(count)]
        for _ in range(count):
            self.run_one()

    def test_non_idempotent_request_is_refused_with_a_report(self):
        self._fail(2)
        count = self.fresh.request_count

        result = self.run_one("ticket", 1)

        self.assertIs(exchange.Reason.SUSPECT, result.error.reason)
        self.assertEqual(
            exchange.ExecutionOutcome.NOT_RUN, result.error.outcome
        )
        self.assertGreater(result.error.target_report.suspicion, 0.5)
        self.assertEqual(count, self.fresh.request_count)

    def test_idempotent_requests_clear_the_suspicion(self):
        self._fail(3)

        results = [self.run_one() for _ in range(6)]

        self.assertTrue(all(result.is_ok() for result in results))
        self.assertTrue(self.run_one("ticket", 1).is_ok())

    def test_overdue_request_counts_before_it_ends(self):
        self.pooled.is_silent = True
        before = self.targets.get("t").report(self._now()).suspicion

        async def measure_while_pending():
            task = asyncio.ensure_future(self.send())
            await asyncio.sleep(1)
            self.dispatcher.check_overdue()
            self.dispatcher.check_overdue()
            suspicion = self.targets.get("t").report(self._now()).suspicion
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return suspicion

        after = self.loop.run_until_complete(measure_while_pending())

        self.assertGreater(after, 3 * before)
        self.assertLess(after, 0.9)

    def _now(self):
        return virtual_loop.LoopClock(self.loop).monotonic()


class RateLimitTest(_Case):
    """A target names a limit of one request per second."""

    def respond(self, status=200, **fields):
        """Sets the next response; header names are written with dashes."""
        fields = {name.replace("_", "-"): text for name, text in fields.items()}
        self.pooled.responses.append(
            _Response(0, status, **{"Other": "x"}, **fields)
        )

    def name_limit(self, limit):
        self.respond(Endivewind_Rate_Limit=limit)
        self.assertTrue(self.run_one().is_ok())

    def advance(self, seconds):
        self.loop.advance(datetime.timedelta(seconds=seconds))

    def rate(self):
        return self.targets.get("t").rate_limit.rate

    def test_requests_above_the_limit_are_refused_as_not_run(self):
        """Guards against overloading a target that says how much it takes."""
        self.name_limit("1")
        results = [self.run_one() for _ in range(5)]

        self.assertEqual(1, self.pooled.request_count)
        for result in results:
            self.assertIs(exchange.Reason.BUSY, result.error.reason)
            self.assertTrue(result.error.was_not_run)
            self.assertEqual(
                datetime.timedelta(seconds=1), result.error.retry_after
            )

    def test_responses_report_the_wait_to_entry_nodes(self):
        self.respond(Endivewind_Rate_Limit="1")
        result = self.run_one()

        self.assertEqual(
            datetime.timedelta(seconds=1),
            result.ok.target_report.rate_limit_wait,
        )

    def test_next_request_is_sent_after_the_wait(self):
        self.name_limit("1")
        self.advance(1)
        self.respond(Endivewind_Rate_Limit="1")

        self.assertTrue(self.run_one().is_ok())
        self.assertTrue(self.run_one().is_error())

    def test_limit_holds_until_a_response_names_none(self):
        self.name_limit("1")
        self.advance(1)
        self.respond()
        self.run_one()

        self.assertIsNone(self.rate())
        self.assertTrue(all(self.run_one().is_ok() for _ in range(5)))

    def test_error_without_a_limit_does_not_lift_it(self):
        """A target that rejects a request as too many still has its limit."""
        self.name_limit("1")
        for status in (429, 500):
            with self.subTest(status):
                self.advance(1)
                self.respond(status=status)
                self.run_one()

                self.assertEqual(1, self.rate())

    def test_invalid_limit_changes_nothing(self):
        self.name_limit("1")
        self.advance(1)
        self.name_limit("many")

        self.assertEqual(1, self.rate())

    def test_rejected_request_may_name_the_limit(self):
        self.respond(status=503, Endivewind_Rate_Limit="2.5")
        self.run_one()

        self.assertEqual(2.5, self.rate())

    def test_restarted_target_has_no_limit(self):
        """The target keeps its id; its new incarnation has named no limit."""
        self.name_limit("1")
        restarted = ANNOUNCEMENT.model_copy(update={"incarnation": 2})
        self.targets.announce("t", restarted, 2)

        self.assertIsNone(self.rate())

    def test_request_that_waited_for_a_slot_is_within_the_limit(self):
        """Requests that queue for a slot when a limit is named wait for it.

        Two requests run and two are queued. The first responses name a limit,
        and the queued requests must not be sent at once.
        """
        self.pooled.is_silent = True

        async def send_four():
            tasks = [asyncio.ensure_future(self.send()) for _ in range(4)]
            await asyncio.sleep(0.1)
            item = self.targets.get("t")
            item.rate_limit.set_rate(1, self._clock.monotonic())
            for request in list(item.pending_requests):
                request.finish()
            await asyncio.sleep(0.1)
            sent = self.pooled.request_count
            for task in tasks:
                task.cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
            return sent, results

        sent, results = self.loop.run_until_complete(send_four())

        self.assertEqual(2, sent)
        for result in results[2:]:
            self.assertIs(exchange.Reason.BUSY, result.error.reason)


class EndingNodeTest(_Case):
    """The home node is stopping; each request has two seconds left."""

    def test_order_that_may_outlast_the_node_is_refused_as_not_run(self):
        """Guards against orders that are lost when a stopping home ends."""
        self.dispatcher.refuse_outlasting(datetime.timedelta(seconds=1.9))

        refusal = self.run_one("ticket", 1).error

        self.assertIs(exchange.Reason.STOPPING, refusal.reason)
        self.assertTrue(refusal.was_not_run)
        self.assertEqual(0, self.fresh.request_count)

    def test_order_that_ends_before_the_node_is_served(self):
        """Guards against targets that are idle while their node stops."""
        self.dispatcher.refuse_outlasting(datetime.timedelta(seconds=2))

        self.assertTrue(self.run_one("ticket", 1).is_ok())

    def test_request_that_can_be_retried_is_served(self):
        """Guards against targets that are idle while their node stops."""
        self.dispatcher.refuse_outlasting(datetime.timedelta(seconds=1))

        self.assertTrue(self.run_one().is_ok())
        self.assertTrue(self._look_up(objective_seconds=1).is_ok())

    def test_request_whose_objective_outlasts_the_node_is_refused(self):
        """Guards against lost requests when the retry budget is spent."""
        self.dispatcher.refuse_outlasting(datetime.timedelta(seconds=1))

        refusal = self._look_up(objective_seconds=1.1).error

        self.assertIs(exchange.Reason.STOPPING, refusal.reason)
        self.assertTrue(refusal.was_not_run)

    def test_retry_that_may_outlast_the_node_is_refused_as_not_run(self):
        """Guards against retries that are lost when a stopping home ends."""
        self.dispatcher.refuse_outlasting(datetime.timedelta(seconds=8.9))

        refusal = self._look_up(1, may_be_duplicate=True).error

        self.assertIs(exchange.Reason.STOPPING, refusal.reason)
        self.assertTrue(refusal.was_not_run)

    def test_retry_that_ends_before_the_node_is_served(self):
        """Guards against targets that are idle while their node stops."""
        self.dispatcher.refuse_outlasting(datetime.timedelta(seconds=9))

        self.assertTrue(self._look_up(1, may_be_duplicate=True).is_ok())

    def _look_up(self, objective_seconds, **options):
        """Runs an idempotent request with nine seconds left."""
        return self.look_up(
            latency_objective=datetime.timedelta(seconds=objective_seconds),
            **options,
        )


class LeavingTargetTest(_Case):
    """A target says in its responses that it is about to stop."""

    def setUp(self):
        super().setUp()
        self.targets.announce(
            "t", ANNOUNCEMENT.model_copy(update={"incarnation": 3}), 2
        )
        self.pooled.responses = [_Response(**{headers.LEAVING: "1"})] * 2

    def test_next_request_is_refused_as_not_run(self):
        """Guards against losing requests at a target that stops."""
        first = self.run_one()
        second = self.run_one("ticket", 1)

        self.assertEqual(3, first.ok.target_report.leaving_incarnation)
        self.assertIs(exchange.Reason.STOPPING, second.error.reason)
        self.assertTrue(second.error.was_not_run)
        self.assertEqual(3, second.error.target_report.leaving_incarnation)
        self.assertEqual(1, self.change_count)

    def test_response_to_a_request_before_a_restart_does_not_count(self):
        """The target restarts under its id while a response is on its way."""

        async def restart_meanwhile():
            task = asyncio.ensure_future(self.send())
            await asyncio.sleep(0)
            self.targets.announce(
                "t", ANNOUNCEMENT.model_copy(update={"incarnation": 4}), 2
            )
            return await task

        result = self.loop.run_until_complete(restart_meanwhile())

        self.assertEqual(0, result.ok.target_report.leaving_incarnation)


class MisdirectedSelfReportTest(_Case):
    """Another target uses the address and rejects the request."""

    names = ResponseMarkerTest.names

    def test_headers_of_another_target_are_ignored(self):
        self.fresh.responses = [
            _Response(
                status=421,
                **{
                    "Own-Id": "r",
                    headers.RATE_LIMIT: "1",
                    headers.LEAVING: "1",
                },
            )
        ]

        self.run_one("ticket", 1)

        self.assertIsNone(self.targets.get("t").rate_limit.rate)
        self.assertFalse(self.targets.get("t").is_leaving)
