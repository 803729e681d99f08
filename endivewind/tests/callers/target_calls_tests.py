"""Tests that calls of the local target are recognized, and failed ones counted."""

import dataclasses
import datetime
import unittest
from unittest import mock

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.callers import caller_requests
from endivewind.callers import entry_routes
from endivewind.callers import listener
from endivewind.callers import request_metrics
from endivewind.callers import target_calls
from endivewind.config import objects
from endivewind.config import settings
from endivewind.decisions import inherited_priority
from endivewind.decisions import peer_updates
from endivewind.standins import virtual_loop

SECOND = datetime.timedelta(seconds=1)
VM = "192.0.2.1"
ELSEWHERE = "192.0.2.9"
TARGET_HOST = "192.0.2.7"
# Higher than the priority of any route.
URGENT = 1_000_000
OK = expression.Ok(exchange.Response(200, ()))


class _Target:
    """A target that runs the given requests."""

    def __init__(self):
        self.running = []
        self.expected_repeat_share = 0.0
        self.may_resume_work = False

    @property
    def has_active_work(self):
        return bool(self.running)

    def running_requests(self):
        return self.running


def _running(priority=9, workspace="a"):
    return inherited_priority.RunningRequest(priority, SECOND, workspace)


def _head():
    return exchange.RequestHead(
        "r", "GET", "/", (), "venues", "", 30 * SECOND, queue_priority=1
    )


def _logged_call(record):
    """Returns the call in a log record, and what was counted for it."""
    values = record.fields
    return values["request_id"], values["probability"], values["reserved"]


class _TargetCallsTest(unittest.TestCase):
    def setUp(self):
        self.clock = clocks.ManualClock()
        self.target = _Target()
        self.target.running = [_running()]
        self.routes = entry_routes.EntryRoutes(self.clock, self.target)
        self.metrics = request_metrics.RequestMetrics(self.clock)
        self.heads = []
        self.configure(inherits=True)

    def configure(self, *, inherits):
        self.calls = target_calls.TargetCalls(
            self.target,
            self.routes,
            self.metrics,
            self.clock,
            target_host=TARGET_HOST,
            inherits_priority=inherits,
        )

    def is_call(self, peer=VM, own=VM):
        return self.calls.is_call("venues", "/status/", peer, own)

    def serve(self, result=OK, *, lacks_retry=False):
        """Serves a call; returns the head with which it was sent."""

        async def respond(head):
            self.heads.append(head)
            head.call.lacked_retry = lacks_retry
            return result

        try:
            self.calls.serve("/status/", _head(), respond).send(None)
        except StopIteration as stop:
            self.assertIs(result, stop.value)
        return self.heads[-1]


class RetriedRequestTest(_TargetCallsTest):
    def test_call_has_the_probability_of_a_retried_request(self):
        """Guards against retries of one service that flood another."""
        retried = dataclasses.replace(_running(), repeat_probability=1.0)
        self.target.running = [_running(), retried]
        for inherits in (False, True):
            with self.subTest(inherits=inherits):
                self.configure(inherits=inherits)

                self.assertEqual(0.5, self.serve().call.retry_probability)

    def test_call_that_may_belong_to_a_retried_request_is_logged(self):
        """Guards against calls of retried requests that nobody can count."""
        retried = dataclasses.replace(_running(), repeat_probability=1.0)
        self.target.running = [_running(), retried]
        with self.assertLogs(target_calls.log, "INFO") as captured:
            self.serve()

        record = captured.records[0]
        self.assertEqual("call of retried request", record.getMessage())
        self.assertEqual(("r", 0.5, 0.0), _logged_call(record))


class RecognitionTest(_TargetCallsTest):
    def test_request_from_this_vm_is_a_call(self):
        for peer in (VM, TARGET_HOST, "127.0.0.1", "::1", "::ffff:127.0.0.1"):
            self.assertTrue(self.is_call(peer), peer)

    def test_caller_elsewhere_can_not_send_a_call(self):
        """Guards against callers that raise their priority by a path."""
        self.assertFalse(self.is_call(ELSEWHERE))
        self.assertFalse(self.is_call("", ""))

    def test_request_with_a_key_is_no_call(self):
        """Guards against callers that go ahead of others after a start.

        The node knows no routes of callers yet, and its target is busy.
        """
        self.assertFalse(
            self.calls.is_call("venues", "/status/", VM, VM, has_key=True)
        )

    def test_idle_target_makes_no_calls(self):
        self.target.running = []

        self.assertFalse(self.is_call())

    def test_target_that_may_resume_work_makes_calls(self):
        """Guards against late calls that count as requests of callers."""
        self.target.running = []
        self.target.may_resume_work = True

        self.assertTrue(self.is_call())

    def test_callers_elsewhere_teach_their_route_after_abandoned_work(self):
        """Guards against nodes that learn no routes while requests time out."""
        self.target.running = []
        self.target.may_resume_work = True

        self.is_call(ELSEWHERE)

        self.assertTrue(self.routes.is_entry_route("venues", "/status/"))

    def test_callers_behind_a_proxy_on_this_vm_send_no_calls(self):
        """Guards against callers that all seem to be on this VM."""
        self.routes.add_route(
            peer_updates.EntryRoute("venues", "/status/"), "n2"
        )

        self.assertFalse(self.is_call())

    def test_callers_elsewhere_do_not_spoil_calls_by_the_same_route(self):
        """Guards against a caller that makes calls lose their priority.

        A single request by the route of calls makes it an entry route.
        """
        self.routes.add_route(
            peer_updates.EntryRoute("venues", "/status/"), "n2"
        )
        self.is_call(ELSEWHERE)

        self.assertTrue(self.is_call())

    def test_unknown_address_does_not_count_as_a_caller_elsewhere(self):
        """Guards against callers behind a proxy on this VM that send calls.

        The address of a request is unknown once its connection is closed.
        """
        self.routes.add_route(
            peer_updates.EntryRoute("venues", "/status/"), "n2"
        )
        self.is_call("", "")

        self.assertFalse(self.is_call())

    def test_callers_on_this_vm_make_the_route_ambiguous(self):
        self.routes.add_route(
            peer_updates.EntryRoute("venues", "/status/"), "n2"
        )
        self.is_call(ELSEWHERE)
        running, self.target.running = self.target.running, []
        self.is_call()
        self.target.running = running

        self.assertFalse(self.is_call())


class ListenerTest(_TargetCallsTest):
    """Requests as the listener gets them from their connections."""

    def setUp(self):
        super().setUp()
        self.target.running = [_running(URGENT)]
        self.loop = virtual_loop.VirtualLoop()
        self.addCleanup(self.loop.close)

    def forward(self, peer, workspace=""):
        """Passes on a request; returns the head that the gateway gets."""
        return self.loop.run_until_complete(self._forward(peer, workspace))

    async def _forward(self, peer, workspace):
        gateway = mock.Mock()
        gateway.workspaces.get = lambda name: None
        gateway.serve = mock.AsyncMock(return_value=OK)
        conventions = caller_requests.CallerConventions()
        entry = listener.Listener(
            gateway,
            mock.Mock(),
            settings.Limits(),
            mock.Mock(),
            conventions,
            calls=self.calls,
        )
        request = mock.Mock(method="GET", raw_path="/status/", headers={})
        request.raw_headers = ()
        addresses = {"peername": (peer, 4711), "sockname": (VM, 80)}
        request.transport.get_extra_info = addresses.get
        call = caller_requests.CallerRequest(request, conventions)
        call.route = objects.Route(service="venues", prefix="/status/")
        call.service = "venues"
        call.deadline = 30 * SECOND
        call.assign_workspace(workspace)
        await entry._forward(call)
        return gateway.serve.await_args.args[1]

    def test_call_inherits(self):
        self.assertEqual(URGENT, self.forward(VM).queue_priority)

    def test_request_with_a_key_does_not(self):
        """Guards against callers that go ahead of others after a start."""
        head = self.forward(VM, "saltline")

        self.assertNotEqual(URGENT, head.queue_priority)
        self.assertIsNone(head.call)

    def test_request_of_a_caller_does_not(self):
        """Guards against callers that raise their priority by a path."""
        head = self.forward(ELSEWHERE)

        self.assertNotEqual(URGENT, head.queue_priority)
        self.assertIsNone(head.call)


class InheritanceTest(_TargetCallsTest):
    def test_call_inherits_priority_and_fair_share(self):
        head = self.serve()

        self.assertEqual(9, head.queue_priority)
        self.assertTrue(head.goes_ahead)
        self.assertEqual("a", head.queue_workspace)
        self.assertEqual("", head.workspace)
        self.assertEqual({("venues", "only"): 1}, self.metrics.inherited_calls)

    def test_higher_priority_of_the_call_itself_holds(self):
        """Guards against callers' requests that lose their place in a queue.

        What looks like a call may be the request of a caller on this VM.
        """
        self.target.running = [_running(0)]

        self.assertEqual(1, self.serve().queue_priority)

    def test_time_limit_of_the_call_itself_holds(self):
        """Guards against callers' requests that end at another's deadline.

        What looks like a call may be the request of a caller on this VM.
        """
        for running in ([_running()], [_running(), _running(1)], []):
            self.target.running = running

            self.assertEqual(30 * SECOND, self.serve().remaining_time)

    def test_call_for_an_abandoned_request_inherits_nothing(self):
        self.target.running = []
        head = self.serve()

        self.assertEqual(1, head.queue_priority)
        self.assertFalse(head.goes_ahead)

    def test_nothing_is_inherited_unless_configured(self):
        """Guards against a changed order while the setting is off."""
        self.configure(inherits=False)
        head = self.serve()
        self.calls.sample_running_requests()

        self.assertEqual(1, head.queue_priority)
        self.assertEqual(30 * SECOND, head.remaining_time)
        self.assertFalse(head.goes_ahead)
        self.assertEqual({}, self.metrics.inherited_calls)


class FailureTest(_TargetCallsTest):
    def test_failed_calls_are_counted_by_cause(self):
        """Counts them with the setting off, too."""
        self.configure(inherits=False)
        lost = exchange.unknown_outcome_refusal(exchange.Reason.TARGET_LOST)
        late = exchange.unknown_outcome_refusal(exchange.Reason.DEADLINE)
        for result in (
            expression.Error(exchange.not_run_refusal(exchange.Reason.BUSY)),
            expression.Error(
                exchange.not_run_refusal(exchange.Reason.NO_TARGET)
            ),
            expression.Error(late),
            expression.Error(lost),
            expression.Ok(exchange.Response(503, ())),
        ):
            with self.assertLogs(target_calls.log, "INFO"):
                self.serve(result)
        with self.assertLogs(target_calls.log, "INFO"):
            self.serve(
                expression.Ok(exchange.Response(500, ())), lacks_retry=True
            )

        self.assertEqual(
            {
                ("venues", "refused"): 1,
                ("venues", "no-target"): 1,
                ("venues", "timed-out"): 1,
                ("venues", "error"): 2,
                ("venues", "retry-budget"): 1,
            },
            self.metrics.failed_calls,
        )

    def test_successful_calls_are_not_counted(self):
        """A response of a client error is the target's own fault."""
        self.serve()
        self.serve(expression.Ok(exchange.Response(404, ())))

        self.assertEqual({}, self.metrics.failed_calls)


if __name__ == "__main__":
    unittest.main()
