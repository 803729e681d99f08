"""Tests of requests to a node that has just started, in virtual time.

Guards against needless refusals after a power failure: all nodes start
together, and callers reconnect before any node has its configuration.
"""

import asyncio
import types
import unittest
from unittest import mock

from endivewind import exchange
from endivewind.callers import authorization
from endivewind.callers import caller_requests
from endivewind.callers import listener
from endivewind.callers import workspaces
from endivewind.config import settings
from endivewind.config import store
from endivewind.standins import virtual_loop

PATH = "/orders/"
MISSING_CONFIGURATION = "no configuration yet"


class StartupTest(unittest.TestCase):
    def setUp(self):
        self.loop = virtual_loop.VirtualLoop()
        self.addCleanup(self.loop.close)
        self.route = None
        self.missing = MISSING_CONFIGURATION
        gateway = mock.Mock()
        gateway.route = lambda host, path, workspace: self.route
        gateway.workspaces = workspaces.Workspaces(store.ConfigurationStore())
        self.loop.run_until_complete(self._start(gateway))

    async def _start(self, gateway):
        self.listener = listener.Listener(
            gateway,
            mock.Mock(),
            settings.Limits(),
            authorization.ConfigurationStatus(lambda: self.missing),
        )

    def send_request_at(self, time):
        """Sends a request at a time; returns its wait and its refusal."""
        return self.loop.run_until_complete(self._send_request_at(time))

    async def _send_request_at(self, time):
        await asyncio.sleep(time - asyncio.get_running_loop().time())
        call = self._call()
        await self.listener._wait_for_configuration(call)
        waited = asyncio.get_running_loop().time() - time
        refusal = None
        if self.route is None:
            refusal = self.listener._admit(call)
        return waited, refusal

    def _call(self):
        headers = {"Host": "h"}
        request = types.SimpleNamespace(
            headers=headers, raw_headers=(), method="GET", rel_url=PATH
        )
        request.raw_path = request.path = request.path_qs = PATH
        return caller_requests.CallerRequest(
            request, caller_requests.CallerConventions()
        )

    def test_request_waits_for_first_configuration(self):
        """The configuration arrives half a second after the first request.

        If that request were refused, its caller and all others would retry
        only a second later.
        """
        self.loop.call_later(0.6, setattr, self, "route", mock.Mock())

        waited, refusal = self.send_request_at(0.1)

        self.assertIsNone(refusal)
        self.assertAlmostEqual(0.5, waited, delta=0.05)

    def test_unknown_route_is_refused_once_configuration_is_known(self):
        self.loop.call_later(0.4, setattr, self, "missing", None)

        waited, refusal = self.send_request_at(0.1)

        self.assertIs(exchange.Reason.NO_ROUTE, refusal.reason)
        self.assertLess(waited, 0.35)

    def test_requests_are_refused_at_once_if_platform_is_unavailable(self):
        """Requests wait only within the first second after the start."""
        waited, refusal = self.send_request_at(0.1)
        self.assertIs(exchange.Reason.NOT_READY, refusal.reason)
        self.assertLess(waited, 1.0)

        waited, refusal = self.send_request_at(5)

        self.assertEqual(0, waited)
        self.assertIs(exchange.Reason.NOT_READY, refusal.reason)
        self.assertIsNotNone(refusal.retry_after)

    def test_waiting_request_is_refused_when_the_node_stops(self):
        """Guards against a caller cut off without a response."""
        self.loop.call_later(0.6, self.listener.abort_all)

        result = self.loop.run_until_complete(self._serve())

        self.assertIs(exchange.Reason.STOPPING, result.error.reason)
        self.assertTrue(result.error.was_not_run)
        self.assertAlmostEqual(0.6, self.loop.time(), delta=0.05)

    async def _serve(self):
        call = self._call()
        return await self.listener._run_abortable(
            call,
            lambda: self.listener._receive_and_forward(call, mock.Mock()),
        )


if __name__ == "__main__":
    unittest.main()
