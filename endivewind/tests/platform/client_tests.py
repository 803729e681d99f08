"""The platform's client against a stand-in with faults."""

import datetime
import random
import unittest

from endivewind.platform import freshness
from endivewind.platform import messages
from endivewind.platform import retries
from endivewind.platform import writing
from endivewind.standins import faults
from endivewind.tests.platform import platforms

Mode = faults.Mode
# aiohttp sends a call of an idempotent method again, once and unseen, when
# the connection breaks; a fault must outlast that to reach our own retry.
HIDDEN = 2
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


class FaultyAnswerTest(_PlatformCase):
    async def test_each_bad_answer_is_an_error_of_its_kind(self):
        self.platform.put("riders", {"a": 1})
        cases = (
            (Mode.OUTAGE, messages.Failure.UNAVAILABLE),
            (Mode.ERROR, messages.Failure.UNAVAILABLE),
            (Mode.PARTIAL, messages.Failure.UNAVAILABLE),
            (Mode.GARBAGE, messages.Failure.INVALID),
        )
        for mode, failure in cases:
            with self.subTest(mode):
                self.fault(mode)
                found = await self.client.get("service", "riders")
                self.assertIs(failure, found.error.failure)

    async def test_a_slow_answer_is_waited_for(self):
        self.platform.put("riders", {"a": 1})
        self.fault(Mode.SLOW, delay_ms=20)

        found = await self.client.get("service", "riders")

        self.assertEqual({"a": 1}, found.ok.value)

    async def test_rate_limit_tells_when_to_come_back(self):
        self.fault(Mode.RATE_LIMIT, per_second=0)

        found = await self.client.get("service", "riders")

        self.assertIs(messages.Failure.THROTTLED, found.error.failure)
        self.assertEqual(SECOND, found.error.retry_after)

    async def test_an_older_read_is_refused_as_stale(self):
        """A lagging replica answers after a newer read was seen.

        The caller would decide on a state that has passed; it is told so and
        asks again.
        """
        self.platform.put("riders", {"a": 1})
        self.fault(Mode.STALE, count=2)
        self.platform.put("riders", {"a": 2})
        await self.platform.new_client().get("service", "riders")
        self.fault(Mode.OUTAGE, count=0, methods=("PUT",))
        await self.client.get("service", "riders")
        await self.client.list(("service",))
        backup = self.platform.store.copy()
        backup.restore(platforms.platform.ObjectStore())
        backup.put("service", "riders", {"a": 1}, 0)
        self.platform.store.restore(backup)

        found = await self.client.get("service", "riders")
        listed = await self.client.list(("service",))

        self.assertIs(messages.Failure.STALE, found.error.failure)
        self.assertIs(messages.Failure.STALE, listed.error.failure)

    async def test_a_store_that_stays_behind_is_taken_in_the_end(self):
        self.platform.put("riders", {"a": 1})
        self.platform.put("riders", {"a": 2})
        await self.client.list(("service",))
        self.platform.store.restore(platforms.platform.ObjectStore())

        found = [
            await self.client.list(("service",))
            for _ in range(freshness.STALE_LIMIT + 1)
        ]

        self.assertEqual([True] * 3 + [False], [f.is_error() for f in found])

    async def test_watch_of_a_compacted_revision_asks_for_a_listing(self):
        self.platform.put("riders", {"a": 1})
        self.platform.put("riders", {"a": 2})
        self.platform.store.compact(2)

        found = await self.client.watch(("service",), 1)

        self.assertIs(messages.Failure.COMPACTED, found.error.failure)

    async def test_watch_of_a_store_that_has_lost_its_writes(self):
        self.platform.put("riders", {"a": 1})

        found = await self.client.watch(("service",), 900)

        self.assertIs(messages.Failure.COMPACTED, found.error.failure)


class WriteTest(_PlatformCase):
    async def _write(self, value, expected=0, sleep=None):
        return await writing.write(
            self.client,
            "service",
            "riders",
            value,
            expected,
            self.platform.backoff,
            sleep or self.platform.sleep,
        )

    async def test_answer_lost_after_the_write_writes_once(self):
        """The write takes effect and its answer is lost; the retry conflicts.

        Without the operation id the submitter would take its own write for
        another operator's, or write a second time.
        """
        self.fault(Mode.ANSWER_LOST, count=HIDDEN, methods=("PUT",))

        ended = await self._write(_value("mine"))

        self.assertIs(writing.Ending.WRITTEN, ended.ending)
        self.assertEqual(1, self.platform.store.revision)

    async def test_answer_lost_and_another_write_followed(self):
        self.fault(Mode.ANSWER_LOST, count=HIDDEN, methods=("PUT",))

        async def sleep(seconds):
            self.platform.put("riders", _value("theirs", "mine"))

        ended = await self._write(_value("mine"), sleep=sleep)

        self.assertIs(writing.Ending.WRITTEN, ended.ending)
        self.assertTrue(ended.followed)

    async def test_lost_before_the_write_and_another_came_first(self):
        self.fault(Mode.OUTAGE, count=HIDDEN, methods=("PUT",))

        async def sleep(seconds):
            self.platform.put("riders", _value("theirs", ""))

        ended = await self._write(_value("mine"), sleep=sleep)

        self.assertIs(writing.Ending.CONFLICT, ended.ending)

    async def test_what_cannot_be_known_is_said_so(self):
        self.fault(Mode.ANSWER_LOST, count=HIDDEN, methods=("PUT",))

        async def sleep(seconds):
            self.platform.put("riders", _value("second", "mine"))
            self.platform.put("riders", _value("third", "second"))

        ended = await self._write(_value("mine"), sleep=sleep)

        self.assertIs(writing.Ending.UNKNOWN, ended.ending)

    async def test_an_outage_that_lasts_leaves_it_unknown(self):
        self.platform.standin.set_faults(
            faults.Fault(mode=Mode.ANSWER_LOST, count=1),
            faults.Fault(mode=Mode.OUTAGE, count=0),
        )

        ended = await self._write(_value("mine"))

        self.assertIs(writing.Ending.UNKNOWN, ended.ending)
        self.assertEqual(writing.ATTEMPTS, len(self.platform.slept))

    async def test_a_limit_on_rates_leaves_it_unwritten(self):
        self.fault(Mode.RATE_LIMIT, per_second=0)

        ended = await self._write(_value("mine"))

        self.assertIs(writing.Ending.UNWRITTEN, ended.ending)
        self.assertGreater(min(self.platform.slept), 1)

    async def test_garbage_after_the_write_is_resolved_as_well(self):
        self.fault(Mode.PARTIAL, count=1, methods=("PUT",))

        ended = await self._write(_value("mine"))

        self.assertIs(writing.Ending.WRITTEN, ended.ending)
        self.assertEqual(1, self.platform.store.revision)


class CallBudgetTest(unittest.TestCase):
    def test_the_whole_fleet_stays_within_its_rate(self):
        """760 nodes come back at once after an outage.

        Each calls as often as its budget allows, for a minute; operators'
        writes must still find room in the platform's rates.
        """
        budget = retries.CallBudget()
        budget.set_nodes(760)
        calls = 0
        for tenth in range(600):
            if not budget.start(SECOND * (tenth / 10)):
                calls += 1
                budget.end()

        fleet = (calls - budget.BURST_CALLS) * 760 / 60
        self.assertLessEqual(fleet, 1.1 * budget.FLEET_CALLS_PER_SECOND)

    def test_a_waiting_watch_is_a_call_in_progress(self):
        budget = retries.CallBudget()
        for _ in range(budget.MAX_AT_ONCE):
            self.assertFalse(budget.start(SECOND))

        self.assertTrue(budget.start(SECOND))
        budget.end()
        self.assertFalse(budget.start(SECOND))

    def test_backoff_grows_with_jitter_up_to_a_limit(self):
        backoff = retries.Backoff(random.Random(1))
        waits = [backoff.next_seconds() for _ in range(20)]

        self.assertLessEqual(max(waits), retries.LAST_BACKOFF.total_seconds())
        self.assertGreater(waits[5], waits[0])
        self.assertEqual(len(waits), len(set(waits)))
        backoff.reset()
        self.assertLessEqual(backoff.next_seconds(), 0.1)
