"""Tests of the platform's client against a stand-in with faults."""

import asyncio
import datetime
import random
import unittest

from endivewind import clock as clocks
from endivewind.durable import conditional_writes
from endivewind.durable import retries
from endivewind.platform import client
from endivewind.platform import messages
from endivewind.platform import wire
from endivewind.standins import faults
from endivewind.standins import raw_target
from endivewind.tests.platform import platforms

Mode = faults.FaultMode
# aiohttp itself repeats a call of an idempotent method once if the connection
# breaks, so a fault must occur twice to reach the project's own retry.
FAULTS_PER_VISIBLE_FAILURE = 2
WRITE_METHODS = ("POST", "PUT")
SECOND = datetime.timedelta(seconds=1)


def _value(operation: str, replaced: str = "") -> dict:
    return {"operation": operation, "replaced_operation": replaced}


class _PlatformCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.platform = platforms.Platform()
        await self.enterAsyncContext(self.platform)
        self.client = self.platform.client

    def fault(self, mode, **fields):
        self.platform.standin.set_faults(faults.Fault(mode=mode, **fields))


class CountedCallsTest(_PlatformCase):
    """The platform bills every call, including rejected ones."""

    async def test_calls_are_counted_by_operation_and_kind(self):
        self.platform.put("riders", {"a": 1})
        await self.client.get("service", "riders")
        await self.client.list("service")
        await self.client.watch("service", 0, datetime.timedelta())
        self.fault(Mode.BUSY)
        await self.client.put("service", "riders", {"a": 2}, 1)

        self.assertEqual(
            {
                client.CallLabels(word, "service"): 1
                for word in ("get", "list", "watch", "put")
            },
            self.client.call_counts,
        )


class FaultyResponseTest(_PlatformCase):
    async def test_each_faulty_response_is_an_error_of_its_kind(self):
        self.platform.put("riders", {"a": 1})
        cases = (
            (Mode.OUTAGE, messages.FailureReason.UNAVAILABLE),
            (Mode.ERROR, messages.FailureReason.UNAVAILABLE),
            (Mode.PARTIAL, messages.FailureReason.UNAVAILABLE),
            (Mode.GARBAGE, messages.FailureReason.INVALID),
        )
        for mode, failure in cases:
            with self.subTest(mode):
                self.fault(mode)
                result = await self.client.get("service", "riders")
                self.assertIs(failure, result.error.failure)

    async def test_a_slow_response_is_awaited(self):
        self.platform.put("riders", {"a": 1})
        self.fault(Mode.SLOW, delay_ms=20)

        result = await self.client.get("service", "riders")

        self.assertEqual({"a": 1}, result.ok.value)

    async def test_rate_limit_error_has_the_retry_after(self):
        self.fault(Mode.RATE_LIMIT, per_second=0)

        result = await self.client.get("service", "riders")

        self.assertIs(messages.FailureReason.THROTTLED, result.error.failure)
        self.assertEqual(SECOND, result.error.retry_after)

    async def test_watch_of_a_compacted_revision_fails_as_compacted(self):
        self.platform.put("riders", {"a": 1})
        self.platform.put("riders", {"a": 2})
        self.platform.store.compact(2)

        result = await self.client.watch("service", 1)

        self.assertIs(messages.FailureReason.COMPACTED, result.error.failure)

    async def test_watch_of_a_store_that_lost_writes_fails_as_compacted(self):
        self.platform.put("riders", {"a": 1})

        result = await self.client.watch("service", 900)

        self.assertIs(messages.FailureReason.COMPACTED, result.error.failure)


class BrokenResponsesTest(unittest.IsolatedAsyncioTestCase):
    """The store, or something in its place, sends broken responses."""

    async def asyncSetUp(self):
        self.store = raw_target.RawTarget()
        address = await self.store.start()
        self.addCleanup(self.store.close)
        session = await self.enterAsyncContext(client.make_session())
        self.client = client.PlatformClient(
            f"http://{address}", session, clocks.ManualClock()
        )
        self.client.budget.set_burst(10_000)

    def respond(self, status, body, *fields):
        self.store.response = b"\r\n".join(
            (
                b"HTTP/1.1 " + status,
                *fields,
                b"Content-Length: %d" % len(body),
                b"",
                body,
            )
        )

    async def test_only_a_status_of_success_acknowledges_a_call(self):
        """Guards against a write that counts as made and was not."""
        value = {"a": 1}
        body = wire.encode_json(wire.encode_object("riders", value, 5))
        calls = {
            "get": lambda: self.client.get("service", "riders"),
            "put": lambda: self.client.put("service", "riders", value, 4),
            "delete": lambda: self.client.delete("service", "riders", 4),
        }
        for status in (
            b"000",
            b"101 X",
            b"199 X",
            b"300 X",
            b"304 X",
            b"600 X",
        ):
            for name, call in calls.items():
                with self.subTest(status, call=name):
                    self.respond(status, body)

                    result = await call()

                    self.assertTrue(result.is_error(), result)

    async def test_redirect_is_not_followed(self):
        """Guards against a write at a place that is not the store."""
        other = raw_target.RawTarget(self.store.response)
        address = (await other.start()).encode()
        self.addCleanup(other.close)
        for status in (b"301 X", b"302 X", b"307 X", b"308 X"):
            with self.subTest(status):
                self.respond(status, b"", b"Location: http://%b/" % address)

                result = await self.client.put("service", "riders", {}, 0)

                self.assertTrue(result.is_error(), result)
                self.assertEqual(0, other.connection_count)

    async def test_head_without_an_end_is_given_up(self):
        """Guards against holding all that the store sends before its head."""
        self.store.repeated = b"HTTP/1.1 100 Continue\r\n\r\n" * 100

        result = await self.client.get("service", "riders")

        self.assertIs(messages.FailureReason.UNAVAILABLE, result.error.failure)
        self.assertIn("head", result.error.detail)

    async def test_removal_of_another_object_is_an_error(self):
        """Guards against the response to another call."""
        body = wire.encode_json(wire.encode_object("other", {}, 5))
        self.respond(b"200 OK", body)

        result = await self.client.delete("service", "riders", 4)

        self.assertIs(messages.FailureReason.INVALID, result.error.failure)

    async def test_listing_that_repeats_a_page_is_given_up(self):
        """Guards against a listing without an end."""
        item = wire.encode_object("riders", {}, 5)
        self.respond(
            b"200 OK",
            wire.encode_json({"items": [item], "has_more": True, "at_rev": 9}),
        )

        async with asyncio.timeout(platforms.WAIT_SECONDS):
            result = await self.client.list("service")

        self.assertIs(messages.FailureReason.INVALID, result.error.failure)


class ReadTest(_PlatformCase):
    async def test_all_pages_of_a_listing_are_read(self):
        """A kind has more objects than fit in one page.

        If only the first page were read, the objects of further pages would
        count as removed.
        """
        names = {f"service-{number:04d}" for number in range(1_201)}
        for name in names:
            self.platform.put(name, {"a": 1})

        result = await self.client.list("service")

        self.assertEqual(names, {item.name for item in result.ok.objects})

    async def test_a_watch_reports_a_change_made_during_the_listing(self):
        for number in range(501):
            self.platform.put(f"service-{number:04d}", {"a": 1})
        responses = []

        async def call(*arguments, **options):
            responses.append(await original(*arguments, **options))
            if len(responses) == 1:
                self.platform.put("service-0000", {"a": 2})
            return responses[-1]

        original = self.client._call
        self.client._call = call
        result = await self.client.list("service")
        self.client._call = original
        watched = await self.client.watch("service", result.ok.revision)

        self.assertEqual(
            [{"a": 2}], [item.value for item in watched.ok.objects]
        )

    async def test_a_watch_reports_a_removed_object_without_a_value(self):
        self.platform.put("riders", {"a": 1})
        await self.client.delete("service", "riders", 1)

        watched = await self.client.watch("service", 1)

        removed = [(item.name, item.value) for item in watched.ok.objects]
        self.assertEqual([("riders", {})], removed)

    async def test_objects_of_other_writers_are_no_error(self):
        """Another writer stores an object whose value is not a mapping."""
        self.platform.put("riders", {"a": 1})
        stored = self.platform.store.get("service", "riders")
        body = wire.encode_json(wire.encode_object("odd", [1, 2], 5))

        self.assertEqual({"a": 1}, stored.value)
        self.assertEqual({}, wire.decode_object("service", body).value)


class WriteTest(_PlatformCase):
    async def _write(self, value, expected=0, sleep=None):
        return await conditional_writes.write(
            self.client,
            "service",
            "riders",
            value,
            expected,
            self.platform.backoff,
            sleep or self.platform.sleep,
        )

    async def test_lost_response_after_the_write_writes_once(self):
        """The write takes effect, its response is lost, the retry conflicts.

        Without the operation id the submitter would treat its own write as
        another operator's, or write a second time.
        """
        self.fault(
            Mode.ANSWER_LOST,
            count=FAULTS_PER_VISIBLE_FAILURE,
            methods=WRITE_METHODS,
        )

        result = await self._write(_value("mine"))

        self.assertIs(conditional_writes.WriteOutcome.WRITTEN, result.outcome)
        self.assertEqual(1, self.platform.store.revision)

    async def test_lost_response_and_another_write_followed(self):
        self.fault(
            Mode.ANSWER_LOST,
            count=FAULTS_PER_VISIBLE_FAILURE,
            methods=WRITE_METHODS,
        )

        async def sleep(seconds):
            self.platform.put("riders", _value("theirs", "mine"))

        result = await self._write(_value("mine"), sleep=sleep)

        self.assertIs(conditional_writes.WriteOutcome.WRITTEN, result.outcome)
        self.assertTrue(result.is_superseded)

    async def test_lost_before_the_write_and_another_came_first(self):
        self.fault(
            Mode.OUTAGE, count=FAULTS_PER_VISIBLE_FAILURE, methods=WRITE_METHODS
        )

        async def sleep(seconds):
            self.platform.put("riders", _value("theirs", ""))

        result = await self._write(_value("mine"), sleep=sleep)

        self.assertIs(conditional_writes.WriteOutcome.CONFLICT, result.outcome)

    async def test_outcome_is_unknown_after_several_other_writes(self):
        self.fault(
            Mode.ANSWER_LOST,
            count=FAULTS_PER_VISIBLE_FAILURE,
            methods=WRITE_METHODS,
        )

        async def sleep(seconds):
            self.platform.put("riders", _value("second", "mine"))
            self.platform.put("riders", _value("third", "second"))

        result = await self._write(_value("mine"), sleep=sleep)

        self.assertIs(conditional_writes.WriteOutcome.UNKNOWN, result.outcome)

    async def test_outcome_is_unknown_after_a_long_outage(self):
        self.platform.standin.set_faults(
            faults.Fault(mode=Mode.ANSWER_LOST, count=1),
            faults.Fault(mode=Mode.OUTAGE, count=0),
        )

        result = await self._write(_value("mine"))

        self.assertIs(conditional_writes.WriteOutcome.UNKNOWN, result.outcome)
        self.assertEqual(
            conditional_writes.MAX_ATTEMPTS, len(self.platform.sleeps)
        )

    async def test_rate_limited_write_is_not_written(self):
        self.fault(Mode.RATE_LIMIT, per_second=0)

        result = await self._write(_value("mine"))

        self.assertIs(
            conditional_writes.WriteOutcome.NOT_WRITTEN, result.outcome
        )
        self.assertGreater(min(self.platform.sleeps), 1)

    async def test_truncated_response_after_the_write_writes_once(self):
        self.fault(Mode.PARTIAL, count=1, methods=WRITE_METHODS)

        result = await self._write(_value("mine"))

        self.assertIs(conditional_writes.WriteOutcome.WRITTEN, result.outcome)
        self.assertEqual(1, self.platform.store.revision)


class CallBudgetTest(unittest.TestCase):
    def test_the_whole_fleet_stays_within_its_rate(self):
        """760 nodes return at once after an outage.

        Each calls as often as its budget allows for a minute. The platform's
        rate limits must still suffice for operators' writes.
        """
        budget = retries.CallBudget()
        budget.set_node_count(760)
        calls = 0
        for tenth in range(600):
            if not budget.start_or_get_wait(SECOND * (tenth / 10)):
                calls += 1
                budget.end()

        fleet_rate = (calls - budget.BURST_CALLS) * 760 / 60
        self.assertLessEqual(fleet_rate, 1.1 * budget.FLEET_CALLS_PER_SECOND)

    def test_a_waiting_watch_is_a_call_in_progress(self):
        budget = retries.CallBudget()
        for _ in range(budget.MAX_CONCURRENT_CALLS):
            self.assertFalse(budget.start_or_get_wait(SECOND))

        self.assertTrue(budget.start_or_get_wait(SECOND))
        budget.end()
        self.assertFalse(budget.start_or_get_wait(SECOND))

    def test_backoff_grows_with_jitter_up_to_a_limit(self):
        backoff = retries.Backoff(random.Random(1))
        waits = [backoff.next_seconds() for _ in range(20)]

        self.assertLessEqual(max(waits), retries.MAX_BACKOFF.total_seconds())
        self.assertGreater(waits[5], waits[0])
        self.assertEqual(len(waits), len(set(waits)))
        backoff.reset()
        self.assertLessEqual(backoff.next_seconds(), 0.1)
