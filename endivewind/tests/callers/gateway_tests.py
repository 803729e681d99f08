"""Tests of what the gateway does with a home's refusals."""

import asyncio
import datetime
import random
import unittest
from unittest import mock

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.callers import gateway
from endivewind.callers import placement
from endivewind.callers import routed
from endivewind.config import objects
from endivewind.config import store
from endivewind.decisions import load_balancing
from endivewind.nodes import view
from endivewind.targets import records
from endivewind.tests import samples

_ANSWER = expression.Ok(exchange.Response(200, (), b"whole"))


class _Pool:
    """Plays the links: answers as told, and keeps what was sent where."""

    def __init__(self, results) -> None:
        self.sent: list[tuple[str, str, int]] = []
        self._results = results

    async def forward(self, home, target, head, body):
        self.sent.append((home.name, target, head.attempt))
        return self._results[home.name]


class MovedTargetTest(unittest.IsolatedAsyncioTestCase):
    """A service's only target moves while the news is still on its way.

    The caller gets its answer. The old home, leaving as planned, refuses the
    request with the new home's name before gossip has reached the entry; the
    entry sends it there instead of refusing it for lack of another target.
    """

    async def test_follows_the_target_to_its_new_home(self):
        moved = exchange.Refusal(
            exchange.Outcome.NOT_RUN,
            exchange.Reason.STALE_HOME,
            moved_to="new",
        )
        pool = _Pool({"old": expression.Error(moved), "new": _ANSWER})

        result = await _serve(pool)

        self.assertTrue(result.is_ok(), result)
        self.assertEqual([("old", "t1", 1), ("new", "t1", 2)], pool.sent)

    async def test_two_homes_that_name_each_other_end_it(self):
        to_new = exchange.Refusal(
            exchange.Outcome.NOT_RUN, exchange.Reason.STALE_HOME, moved_to="new"
        )
        to_old = exchange.Refusal(
            exchange.Outcome.NOT_RUN, exchange.Reason.STALE_HOME, moved_to="old"
        )
        pool = _Pool(
            {"old": expression.Error(to_new), "new": expression.Error(to_old)}
        )

        result = await _serve(pool)

        self.assertEqual(exchange.Outcome.NOT_RUN, result.error.outcome)
        self.assertEqual(gateway.MAX_PLACINGS, len(pool.sent))


class EndTest(unittest.IsolatedAsyncioTestCase):
    """A node must end while requests are still being served.

    A closed connection would tell their callers nothing, and an order that
    never ran would not be sent again. Each gets an answer that is true.
    """

    async def asyncSetUp(self):
        self.pool = _Silent()
        self.served = _gateway(self.pool)

    async def test_work_at_a_target_is_of_unknown_outcome(self):
        asked = asyncio.create_task(_ask(self.served))
        await self.pool.reached.wait()

        self.served.end_all()

        refusal = (await asked).error
        self.assertEqual(exchange.Outcome.UNKNOWN, refusal.outcome)
        self.assertEqual(exchange.Reason.CUT_SHORT, refusal.reason)

    async def test_work_that_waits_has_not_run(self):
        """The only target has one slot, and another request has it."""
        first = asyncio.create_task(_ask(self.served))
        await self.pool.reached.wait()
        waits = asyncio.create_task(_ask(self.served))
        await asyncio.sleep(0)

        self.served.end_all()

        refusal = (await waits).error
        self.assertEqual(exchange.Outcome.NOT_RUN, refusal.outcome)
        self.assertEqual(routed.END_RETRY, refusal.retry_after)
        self.assertEqual(exchange.Outcome.UNKNOWN, (await first).error.outcome)
        self.assertEqual(1, self.pool.asked)

    async def test_a_caller_that_leaves_then_is_gone(self):
        asked = asyncio.create_task(_ask(self.served))
        await self.pool.reached.wait()

        self.served.end_all()
        asked.cancel()

        with self.assertRaises(asyncio.CancelledError):
            await asked


class _Silent:
    """Links to a home that never answers."""

    def __init__(self) -> None:
        self.reached = asyncio.Event()
        self.asked = 0

    async def forward(self, home, target, head, body):
        self.asked += 1
        self.reached.set()
        await asyncio.Event().wait()


async def _serve(pool: _Pool) -> gateway.AnswerResult:
    return await _ask(_gateway(pool))


def _gateway(pool) -> gateway.Gateway:
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
    )


async def _ask(served: gateway.Gateway) -> gateway.AnswerResult:
    head = exchange.RequestHead(
        "r1", "GET", "/", (), "riders", "", datetime.timedelta(seconds=5)
    )
    return await served.serve(
        objects.Route(service="riders"), head, exchange.RequestBody()
    )


def _record() -> records.TargetRecord:
    return samples.target(
        "t1", home="old", home_incarnation=7, zone="a", slots=1
    )
