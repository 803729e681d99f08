"""What callers of a node that has just started get, in virtual time.

The pattern: all nodes start at once, after a loss of power, and callers are
back before any node has its configuration.
"""

import asyncio
import types
import unittest
from unittest import mock

from endivewind import exchange
from endivewind.callers import authorization
from endivewind.callers import calls
from endivewind.callers import listener
from endivewind.callers import workspaces
from endivewind.config import settings
from endivewind.config import store
from endivewind.standins import virtual

PATH = "/orders/"
MISSING = "no configuration yet"


class StartingTest(unittest.TestCase):
    def setUp(self):
        self.loop = virtual.VirtualLoop()
        self.addCleanup(self.loop.close)
        self.route = None
        self.missing = MISSING
        gateway = mock.Mock()
        gateway.route = lambda host, path, workspace: self.route
        gateway.workspaces = workspaces.Workspaces(store.ConfigurationStore())
        self.loop.run_until_complete(self._start(gateway))

    async def _start(self, gateway):
        self.listener = listener.Listener(
            gateway,
            mock.Mock(),
            settings.Limits(),
            authorization.Doubts(lambda: self.missing),
        )

    def ask(self, at):
        """Sends a request at a time; how long it waits, and its refusal."""
        return self.loop.run_until_complete(self._ask(at))

    async def _ask(self, at):
        await asyncio.sleep(at - asyncio.get_running_loop().time())
        headers = {"Host": "h"}
        request = types.SimpleNamespace(
            headers=headers, raw_headers=(), method="GET", rel_url=PATH
        )
        request.raw_path = request.path = request.path_qs = PATH
        call = calls.Call(request, calls.Dialect())
        await self.listener._settle(call)
        waited = asyncio.get_running_loop().time() - at
        refusal = None
        if self.route is None:
            refusal = self.listener._admit(call)
        return waited, refusal

    def test_a_caller_waits_for_the_first_configuration(self):
        """It comes half a second after the first caller, who is not refused.

        Refused, he would be told to come back in a second, and all of those
        who came with him.
        """
        self.loop.call_later(0.6, setattr, self, "route", mock.Mock())

        waited, refusal = self.ask(0.1)

        self.assertIsNone(refusal)
        self.assertAlmostEqual(0.5, waited, delta=0.05)

    def test_a_route_that_does_not_exist_is_told_as_soon_as_that_is_known(self):
        self.loop.call_later(0.4, setattr, self, "missing", None)

        waited, refusal = self.ask(0.1)

        self.assertIs(exchange.Reason.NO_ROUTE, refusal.reason)
        self.assertLess(waited, 0.35)

    def test_where_the_platform_is_away_callers_hear_so_at_once(self):
        """The first second is waited for, and no caller after it."""
        waited, refusal = self.ask(0.1)
        self.assertIs(exchange.Reason.NOT_READY, refusal.reason)
        self.assertLess(waited, 1.0)

        waited, refusal = self.ask(5)

        self.assertEqual(0, waited)
        self.assertIs(exchange.Reason.NOT_READY, refusal.reason)
        self.assertIsNotNone(refusal.retry_after)


if __name__ == "__main__":
    unittest.main()
