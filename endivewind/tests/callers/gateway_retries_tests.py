"""Retries of the gateway: what is sent again, and how often."""

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
from endivewind.decisions import retries
from endivewind.nodes import view
from endivewind.tests import samples

SERVICE = "riders"
TARGETS = 6
OK = expression.Ok(exchange.Response(200, ()))
FAILED = expression.Ok(exchange.Response(500, ()))
SHED = expression.Ok(exchange.Response(503, ()))
LOST = expression.Error(exchange.outcome_unknown(exchange.Reason.TARGET_LOST))
BUSY = expression.Error(
    exchange.not_run(
        exchange.Reason.BUSY, retry_after=datetime.timedelta(seconds=1)
    )
)
FULL = expression.Error(exchange.not_run(exchange.Reason.TARGET_FULL))


def _record(number):
    return samples.target(f"riders-{number}", sequence=number)


class GatewayTest(unittest.IsolatedAsyncioTestCase):
    """The dispatcher is a fake: it answers what the test tells it to."""

    def setUp(self):
        self.clock = clock = clocks.ManualClock()
        self.fleet = fleet = view.FleetView()
        fleet.put_node(
            view.NodeRecord("node-a", 1, "192.0.2.1:1", "andina", "andina-a")
        )
        fleet.put_home_state(
            "node-a", 1, TARGETS, [_record(n) for n in range(TARGETS)]
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

    async def ask(self, results, method="GET", ticket="", rest=None):
        """Sends one request; returns its result and the targets it met."""
        self.dispatcher.run.reset_mock()
        self.dispatcher.run.side_effect = results
        head = exchange.RequestHead(
            request_id="r",
            method=method,
            path="/",
            headers=(),
            service=SERVICE,
            workspace="w",
            remaining=datetime.timedelta(seconds=5),
            ticket=ticket,
        )
        result = await self.gateway.serve(
            objects.Route(service=SERVICE),
            head,
            exchange.RequestBody(b"", rest),
        )
        calls = self.dispatcher.run.await_args_list
        return result, [call.args[0] for call in calls]

    async def test_safe_work_goes_to_another_target(self):
        for first in (FAILED, SHED, LOST, BUSY):
            result, met = await self.ask([first, OK])

            self.assertEqual(OK, result)
            self.assertEqual(2, len(set(met)))

    async def test_what_has_not_run_is_told_when_to_come_back(self):
        """Every target of a service sheds; its answers say nothing of a time.

        A caller that is told none comes back at once, into the same load, or
        not at all.
        """
        result, _ = await self.ask([FULL] * 3, "POST", "ticket")

        self.assertIs(exchange.Reason.TARGET_FULL, result.error.reason)
        most = placement.RETRY_SPREAD * placement.LEAST_RETRY
        self.assertGreaterEqual(result.error.retry_after, placement.LEAST_RETRY)
        self.assertLessEqual(result.error.retry_after, most)

    async def test_what_may_have_run_is_never_sent_again(self):
        """A confirmation whose target failed or vanished.

        The supplier may have got it. A second send could deliver twice, so
        the caller hears what happened and nothing is sent again.
        """
        for first in (FAILED, SHED, LOST):
            for ticket in ("", "ticket"):
                result, met = await self.ask([first, OK], "POST", ticket)

                self.assertEqual((first, 1), (result, len(met)))

    async def test_what_did_not_run_is_sent_again(self):
        result, met = await self.ask([BUSY, OK], "POST", "ticket")

        self.assertEqual((OK, 2), (result, len(met)))

    async def test_work_that_ran_is_never_called_not_run(self):
        """A first try fails at its target; later ones find no slot.

        The last refusal says "not run" of itself. The caller must hear of
        the try that ran, or that it may have run.
        """
        for first in (FAILED, LOST):
            with mock.patch.object(gateway, "MAX_PLACINGS", 3):
                result, met = await self.ask([first, BUSY, BUSY])

            self.assertEqual((first, 3), (result, len(met)))

    async def test_a_body_that_is_gone_is_not_sent_again(self):
        result, met = await self.ask([BUSY, OK], rest=mock.Mock())

        self.assertEqual((BUSY, 1), (result, len(met)))

    async def test_no_storm_when_every_target_fails(self):
        """Every answer is an error, and every caller's request may repeat.

        With three tries each, targets would get three times the load while
        they fail. Tries stay within the service's tenth.
        """
        requests = 500
        tries = 0
        for _ in range(requests):
            _, met = await self.ask([FAILED] * 3)
            tries += len(met)

        self.assertLessEqual(tries, 1.1 * requests + retries.DEFAULT_RESERVE)

    async def test_refused_callers_come_back_spread(self):
        self.fleet.remove_home("node-a")
        # Just after its start a node would wait for targets to be heard of.
        self.clock.advance(placement.SETTLING)
        waits = set()
        for _ in range(50):
            result, _ = await self.ask([])
            self.assertIs(exchange.Reason.NO_TARGET, result.error.reason)
            waits.add(result.error.retry_after)

        self.assertGreater(len(waits), 40)
        self.assertTrue(
            all(
                placement.LEAST_RETRY
                <= wait
                <= placement.RETRY_SPREAD * placement.LEAST_RETRY
                for wait in waits
            )
        )
