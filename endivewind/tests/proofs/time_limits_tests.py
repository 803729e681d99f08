"""End-to-end tests: a request keeps its time limit whatever runs beside it."""

import asyncio
import unittest

import aiohttp

from endivewind.commands import children
from endivewind.standins import target as standin
from endivewind.tests import processes
from endivewind.tests.proofs import calls

CONFIGURATION = {
    "services": {"riders": {"slots": 3, "retry_percent": 0}},
    "route_groups": {
        "camerino": {
            "routes": [
                {"prefix": "/riders", "service": "riders"},
                {"prefix": "/orders", "service": "riders"},
            ]
        }
    },
}
# The first request ends while the second one is being worked on, and lasts long
# enough for a busy machine to send the second one meanwhile.
SHORT_LIMIT = {"Endivewind_Timeout_Ms": "1500"}
LONG_LIMIT = {"Endivewind_Timeout_Ms": "15000", "Standin_Delay_Ms": "2500"}


class CallerOnTheVmTest(unittest.IsolatedAsyncioTestCase):
    """Callers and a target on one VM, whose node knows no routes of callers.

    The target runs a request with a short time limit. The second request, by
    another route, could be a call that the target makes for it.
    """

    async def asyncSetUp(self):
        fleet = await self.enterAsyncContext(processes.Fleet())
        address = self.enterContext(children.reserved_address("127.83.0.1"))
        self.node = await fleet.start_node(
            "node",
            beside={"service": "riders", "address": address},
            overload={"inherited_priority": True},
            limits={"stop_seconds": 8},
        )
        self.target = await fleet.start_target(
            "riders-1", "riders", [self.node], address
        )
        await fleet.submit(CONFIGURATION)
        await self.node.wait_for_message("in force", object="camerino")
        session = await self.enterAsyncContext(aiohttp.ClientSession())
        self.caller = calls.Caller(session)

    async def send_both(self):
        """Sends the requests; returns their tasks once the target has both."""
        short = await self._send(
            path="/riders",
            work="short",
            fault=standin.RequestFault.HANG,
            **SHORT_LIMIT,
        )
        long = await self._send(
            path="/orders",
            work="long",
            fault=standin.RequestFault.DELAY,
            **LONG_LIMIT,
        )
        self.assertFalse(short.done())
        return short, long

    async def _send(self, work, **request):
        """Sends a request; returns its task once the target has it."""
        task = asyncio.create_task(
            self.caller.send(self.node, "GET", work=work, **request)
        )
        await self.target.wait_for_message("work runs", work=work)
        return task

    async def test_deadline_of_one_request_does_not_end_another(self):
        """Guards against callers that get 504 before their time limit."""
        short, long = await self.send_both()

        self.assertEqual("deadline", (await short).reason)
        self.assertEqual(200, (await long).status)

    async def test_stopping_node_gives_a_request_its_whole_time(self):
        """Guards against a planned stop in which a caller gets an early 504."""
        short, long = await self.send_both()
        stopping = asyncio.create_task(self.node.stop())

        self.assertEqual("deadline", (await short).reason)
        self.assertEqual(200, (await long).status)
        self.assertEqual(0, await stopping)


if __name__ == "__main__":
    unittest.main()
