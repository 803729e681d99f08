"""Tests of requests with tickets at the stop limit of a node.

Each guards against a caller that is cut off without a response.
"""

import asyncio
import datetime
import unittest
from unittest import mock

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.callers import abort_controller
from endivewind.callers import ticket_store
from endivewind.callers import ticketing
from endivewind.callers import tickets
from endivewind.config import objects
from endivewind.nodes import view

WAIT_SECONDS = 5
WORKSPACE = "boat"
ROUTE = objects.Route(service="riders", repeat=objects.RepeatPolicy.NEVER)
NOT_RUN = exchange.not_run_refusal(exchange.Reason.STOPPING)


class _StalledResponse:
    """A response body of which nothing arrives."""

    def __init__(self, reached):
        self._reached = reached
        self.is_closed = False

    def __aiter__(self):
        return self

    async def __anext__(self):
        self._reached.set()
        await asyncio.Event().wait()

    async def aclose(self):
        self.is_closed = True


class AbortTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.reached = asyncio.Event()
        self.aborts = abort_controller.AbortController()
        self.gateway = mock.Mock(serve=self.serve)
        self.stalled_response = None
        pool = mock.Mock(forward_to_issuer=self.hang)
        clock = clocks.ManualClock()
        fleet = view.FleetView()
        fleet.put_node(view.NodeRecord("issuer", 7, "issuer:1", "andina", "a"))
        self.other_issuer = tickets.Issuer.for_incarnation("issuer", 7)
        self.handler = ticketing.TicketHandler(
            tickets.Issuer.for_incarnation("entry", 3),
            ticket_store.TicketStore(),
            self.gateway,
            fleet,
            pool,
            clock,
            65_536,
            self.aborts,
        )
        await self.enterAsyncContext(asyncio.timeout(WAIT_SECONDS))

    async def hang(self, *args):
        self.reached.set()
        await asyncio.Event().wait()

    async def serve(self, route, head, body):
        """Serves a request in place of the gateway, which knows its outcome."""
        if self.stalled_response is not None:
            return expression.Ok(
                exchange.Response(200, (), b"", self.stalled_response)
            )
        return await self.aborts.run(
            self.hang, lambda: expression.Error(NOT_RUN)
        )

    def start(self, ticket):
        """Starts a copy of a request as the listener does."""
        return asyncio.create_task(
            self.aborts.run(
                lambda: self.handler.serve(
                    ROUTE, _head(ticket), exchange.RequestBody()
                ),
                self.fail,
            )
        )

    async def test_forwarded_request_has_unknown_outcome(self):
        """The issuer goes on with it, so that the caller may ask again."""
        ticket = self.other_issuer.issue(WORKSPACE, datetime.timedelta()).text
        task = self.start(ticket)
        await self.reached.wait()

        self.aborts.abort_all()

        refusal = (await task).error
        self.assertEqual(exchange.ExecutionOutcome.UNKNOWN, refusal.outcome)
        self.assertEqual(exchange.Reason.CUT_SHORT, refusal.reason)
        self.assertIsNotNone(refusal.retry_after)

    async def test_all_copies_get_the_outcome_of_the_execution(self):
        ticket = self.handler.issue(WORKSPACE)
        first = self.start(ticket)
        await self.reached.wait()
        second = self.start(ticket)
        await asyncio.sleep(0)

        self.aborts.abort_all()

        self.assertEqual(NOT_RUN, (await first).error)
        self.assertEqual(NOT_RUN, (await second).error)
        resent = await self.handler.execute(
            _head(ticket), exchange.RequestBody(), objects.Priority.NORMAL, 3
        )
        self.assertEqual(NOT_RUN, resent.error)

    async def test_incomplete_response_has_unknown_outcome(self):
        self.stalled_response = _StalledResponse(self.reached)
        task = self.start(self.handler.issue(WORKSPACE))
        await self.reached.wait()

        self.aborts.abort_all()

        refusal = (await task).error
        self.assertEqual(exchange.ExecutionOutcome.UNKNOWN, refusal.outcome)
        self.assertEqual(exchange.Reason.CUT_SHORT, refusal.reason)
        self.assertTrue(self.stalled_response.is_closed)
        await self.handler.wait_drained()


def _head(ticket):
    return exchange.RequestHead(
        "r1",
        "POST",
        "/",
        (),
        "riders",
        WORKSPACE,
        datetime.timedelta(minutes=5),
        ticket,
    )


if __name__ == "__main__":
    unittest.main()
