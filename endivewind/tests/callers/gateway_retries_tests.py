"""Tests of the gateway's retries: which requests are retried, how often."""

import datetime
import random
import unittest
from unittest import mock

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.callers import gateway
from endivewind.callers import placement
from endivewind.config import objects
from endivewind.config import store
from endivewind.decisions import load_balancing
from endivewind.decisions import retry_budget
from endivewind.nodes import view
from endivewind.tests import samples

SERVICE = "riders"
TARGET_COUNT = 6
OK = expression.Ok(exchange.Response(200, ()))
FAILURE = expression.Ok(exchange.Response(500, ()))
OVERLOADED = expression.Ok(exchange.Response(503, ()))
LOST = expression.Error(
    exchange.unknown_outcome_refusal(exchange.Reason.TARGET_LOST)
)
BUSY = expression.Error(
    exchange.not_run_refusal(
        exchange.Reason.BUSY, retry_after=datetime.timedelta(seconds=1)
    )
)
NO_CALL_BUDGET = expression.Error(
    exchange.not_run_refusal(exchange.Reason.CALL_BUDGET)
)
TARGET_FULL = expression.Error(
    exchange.not_run_refusal(exchange.Reason.TARGET_FULL)
)


def _record(number):
    return samples.make_target_record(f"riders-{number}", sequence=number)


class GatewayRetriesTest(unittest.IsolatedAsyncioTestCase):
    """Uses a fake dispatcher that returns the given results in order."""

    def setUp(self):
        self.clock = clock = clocks.ManualClock()
        self.fleet = fleet = view.FleetView()
        fleet.put_node(
            view.NodeRecord("node-a", 1, "192.0.2.1:1", "andina", "andina-a")
        )
        fleet.put_home_state(
            "node-a", 1, TARGET_COUNT, [_record(n) for n in range(TARGET_COUNT)]
        )
        self.dispatcher = mock.AsyncMock()
        place = load_balancing.Locality("node-a", "andina", "andina-a")
        self.gateway = gateway.Gateway(
            "node-a",
            placement.Placement(
                place, fleet, lambda service: 0, clock, random.Random(1)
            ),
            store.ConfigurationStore(),
            fleet,
            self.dispatcher,
            mock.Mock(),
            clock,
            mock.Mock(),
        )

    async def send_request(
        self, results, method="GET", ticket="", stream=None, call=None
    ):
        """Sends a request; returns its result and the targets called."""
        self.dispatcher.run.reset_mock()
        self.dispatcher.run.side_effect = results
        head = exchange.RequestHead(
            request_id="r",
            method=method,
            path="/",
            headers=(),
            service=SERVICE,
            workspace="w",
            remaining_time=datetime.timedelta(seconds=5),
            ticket=ticket,
            call=call,
        )
        result = await self.gateway.serve(
            objects.Route(service=SERVICE),
            head,
            exchange.RequestBody(b"", stream),
        )
        calls = self.dispatcher.run.await_args_list
        return result, [call.args[0] for call in calls]

    async def test_idempotent_request_is_retried_at_another_target(self):
        for first in (FAILURE, OVERLOADED, LOST, BUSY):
            result, called_targets = await self.send_request([first, OK])

            self.assertEqual(OK, result)
            self.assertEqual(2, len(set(called_targets)))

    async def test_request_that_was_not_run_gets_retry_after(self):
        """All targets of a service refuse as full, without a Retry-After.

        Without one, callers would retry immediately, which adds to the
        overload, or not at all.
        """
        result, _ = await self.send_request([TARGET_FULL] * 3, "POST", "ticket")

        self.assertIs(exchange.Reason.TARGET_FULL, result.error.reason)
        max_retry_after = (
            placement.RETRY_AFTER_SPREAD * placement.MIN_RETRY_AFTER
        )
        self.assertGreaterEqual(
            result.error.retry_after, placement.MIN_RETRY_AFTER
        )
        self.assertLessEqual(result.error.retry_after, max_retry_after)

    async def test_request_that_may_have_run_is_not_retried(self):
        """The target of a confirmation fails, or the connection to it is lost.

        The supplier may have received the confirmation, and a retry could
        deliver it twice. So the caller gets the failure, without a retry.
        """
        for first in (FAILURE, OVERLOADED, LOST):
            for ticket in ("", "ticket"):
                result, called_targets = await self.send_request(
                    [first, OK], "POST", ticket
                )

                self.assertEqual((first, 1), (result, len(called_targets)))

    async def test_request_that_was_not_run_is_retried(self):
        result, called_targets = await self.send_request(
            [BUSY, OK], "POST", "ticket"
        )

        self.assertEqual((OK, 2), (result, len(called_targets)))

    async def test_outcome_of_executed_request_is_never_not_run(self):
        """The first attempt fails at its target; later ones get no slot.

        The last refusal has the outcome "not run", but only for its own
        attempt. The caller must get the result of the first one.
        """
        for first in (FAILURE, LOST):
            with mock.patch.object(gateway, "MAX_ATTEMPTS", 3):
                result, called_targets = await self.send_request(
                    [first, BUSY, BUSY]
                )

            self.assertEqual((first, 3), (result, len(called_targets)))

    async def test_retry_whose_calls_have_no_budget_is_the_last(self):
        """Guards against asking one home after the other in vain.

        The caller gets the first result, and the retry is given back.
        """
        for first in (FAILURE, LOST):
            result, called_targets = await self.send_request(
                [first, NO_CALL_BUDGET, OK]
            )

            self.assertEqual((first, 2), (result, len(called_targets)))
        budget = self.gateway.budgets.for_service(SERVICE)
        self.assertEqual(0, budget.counts(self.clock.monotonic()).retries)

    async def test_request_with_consumed_body_is_not_retried(self):
        result, called_targets = await self.send_request(
            [BUSY, OK], stream=mock.Mock()
        )

        self.assertEqual((BUSY, 1), (result, len(called_targets)))

    async def test_retry_budget_prevents_retry_storm(self):
        """All responses are errors, and all requests are idempotent.

        With three attempts each, failing targets would get three times the
        load. Retries must stay within the budget of a tenth of the requests.
        """
        requests = 500
        attempt_count = 0
        for _ in range(requests):
            _, called_targets = await self.send_request([FAILURE] * 3)
            attempt_count += len(called_targets)

        self.assertLessEqual(
            attempt_count, 1.1 * requests + retry_budget.DEFAULT_RESERVE
        )

    async def test_retry_without_a_target_is_given_back(self):
        """Guards against a budget that is spent by what targets never get.

        Each request fails at one target, and the other homes have no slot.
        """
        with mock.patch.object(gateway, "MAX_ATTEMPTS", 3):
            for _ in range(10):
                await self.send_request([FAILURE, BUSY, BUSY])

        budget = self.gateway.budgets.for_service(SERVICE)
        self.assertEqual(0, budget.counts(self.clock.monotonic()).retries)

    async def test_retry_counts_from_when_its_target_may_have_got_it(self):
        """Guards against retries that count in an earlier window than they arrive.

        A retry takes two seconds, of which its target works on it for a half.
        """
        budget = self.gateway.budgets.for_service(SERVICE)
        for work_seconds in (0, 0.5):
            report = exchange.TargetReport(
                0, 0.0, request_age=datetime.timedelta(seconds=work_seconds)
            )
            retried = expression.Ok(
                exchange.Response(200, (), target_report=report)
            )

            results = [FAILURE, retried]
            await self.send_request(self._respond_after_two_seconds(results))
            self.clock.advance(
                budget.window - datetime.timedelta(seconds=work_seconds + 0.1)
            )
            with self.subTest(work_seconds):
                now = self.clock.monotonic()
                self.assertEqual(1, budget.counts(now).retries)
                self.clock.advance(datetime.timedelta(seconds=1))
                now = self.clock.monotonic()
                self.assertEqual(0, budget.counts(now).retries)

    def _respond_after_two_seconds(self, results):
        """Returns a dispatcher's method; its first response comes at once."""

        async def run(*_):
            if len(results) == 1:
                self.clock.advance(datetime.timedelta(seconds=2))
            return results.pop(0)

        return run

    async def test_call_of_a_retried_request_is_charged(self):
        """Guards against calls that count as requests of callers."""
        for probability in (0.0, 1.0):
            call = exchange.TargetCall(retry_probability=probability)
            await self.send_request([OK], call=call)

        budget = self.gateway.budgets.for_service(SERVICE)
        self.assertEqual(
            retry_budget.RequestCounts(0, 1),
            budget.counts(self.clock.monotonic()),
        )

    async def test_call_without_a_retry_left_is_marked(self):
        """Guards against a wrong cause in the count of failed calls."""
        for _ in range(20):
            await self.send_request([FAILURE] * 3)
        call = exchange.TargetCall()
        await self.send_request([FAILURE], call=call)

        self.assertTrue(call.lacked_retry)

    async def test_retry_after_has_jitter(self):
        self.fleet.remove_home_targets("node-a")
        # Just after its start the node would wait for targets to be announced.
        self.clock.advance(placement.DISCOVERY_TIME)
        retry_afters = set()
        for _ in range(50):
            result, _ = await self.send_request([])
            self.assertIs(exchange.Reason.NO_TARGET, result.error.reason)
            retry_afters.add(result.error.retry_after)

        self.assertGreater(len(retry_afters), 40)
        self.assertTrue(
            all(
                placement.MIN_RETRY_AFTER
                <= retry_after
                <= placement.RETRY_AFTER_SPREAD * placement.MIN_RETRY_AFTER
                for retry_after in retry_afters
            )
        )
