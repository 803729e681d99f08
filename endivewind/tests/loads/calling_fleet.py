"""Simulates a fleet in which targets of one service call another service.

Each calling target sends its calls to the node on its VM, as the listener of a
node would get them. A request fails if its call fails.
"""

import asyncio
import collections
import dataclasses
import datetime
import math

import expression

from endivewind import exchange
from endivewind import headers as http_headers
from endivewind.callers import call_reservations
from endivewind.callers import entry_routes
from endivewind.callers import gateway
from endivewind.callers import request_metrics
from endivewind.callers import request_queues
from endivewind.callers import target_calls
from endivewind.config import objects
from endivewind.decisions import load_balancing
from endivewind.tests.loads import fleet

CALLED_SERVICE = "venues"
CALL_PREFIX = "/status/"
# The kind of request that a call is at the called target.
CALL_KIND = "call"
VM_ADDRESS = "192.0.2.1"
CALLED_NUMBERS = range(10, 12)
# Calls have the default rank of routes, as no operator knows their urgency.
CALL_ROUTE = objects.Route(
    service=CALLED_SERVICE,
    prefix=CALL_PREFIX,
    repeat=objects.RepeatPolicy.ALWAYS,
    aim_ms=1_000,
    rank=5,
    attempts=2,
)


@dataclasses.dataclass(frozen=True)
class CallKind:
    """The calls that requests of one kind make.

    Attributes:
      share: share of the requests that make calls.
      count: calls that such a request makes at the same time.
      mean_work: service time of a call in seconds.
      timeout: seconds after which the target gives up a call.
    """

    share: float = 1.0
    count: int = 1
    mean_work: float = 0.3
    timeout: float = 5.0


@dataclasses.dataclass
class SentCall:
    """A call as its target's node sent it, for checks of the inheritance.

    Attributes:
      kind: the kind of the request that made it.
      head: the call's head with what it has inherited.
      due_at: when the request that made it ends, in seconds.
      ended_at: when its node had ended all its attempts; infinite before.
    """

    kind: str
    head: exchange.RequestHead
    due_at: float
    ended_at: float = math.inf


class CallingTarget(fleet.FakeTarget):
    """A target that calls another service halfway through its work."""

    def __init__(self, simulated, name):
        super().__init__(simulated.rng)
        self._simulated = simulated
        self._name = name

    async def request(
        self, method, url, *, headers, trace_request_ctx, **other
    ):
        call = self._simulated.call_kinds[headers["Kind"]]
        work = float(headers["Work"]) / 2
        if self._rng.random() < call.share:
            remaining = float(headers[http_headers.TIMEOUT_MS]) / 1000
            due_at = self._simulated.loop.time() + remaining
            await self.work(work)
            calls = (
                self._simulated.call(self._name, headers, due_at)
                for _ in range(call.count)
            )
            if not all(await asyncio.gather(*calls)):
                trace_request_ctx.record_connection()
                return fleet.make_response(500)
            headers = {**headers, "Work": str(work)}
        return await super().request(
            method,
            url,
            headers=headers,
            trace_request_ctx=trace_request_ctx,
            **other,
        )


class CallingFleet(fleet.Fleet):
    """In each zone two targets that call, and two that are called.

    Attributes:
      call_kinds: the calls by kind of request.
      calls: the results of calls by kind of request; failed ones are counted
        as failed whatever the cause.
      sent_calls: the calls as sent.
      nodes: the nodes beside the calling targets.
      cut_home: a home whose responses are lost; empty if none.
    """

    def __init__(self, seed, call_kinds, *, inherits=True, **options):
        self.call_kinds = call_kinds
        self.calls = collections.defaultdict(fleet.RequestStats)
        self.sent_calls = []
        self.nodes = {}
        self.cut_home = ""
        self._inherits = inherits
        super().__init__(seed, **options)
        for zone in fleet.ZONES:
            for number in CALLED_NUMBERS:
                self._add_target(f"{zone}-{number}", zone)

    async def call(self, name, headers, due_at):
        """Sends a call from a target; returns whether it succeeded.

        Args:
          name: of the target.
          headers: of the request that makes the call.
          due_at: when that request ends, in seconds.
        """
        kind = headers["Kind"]
        route, request_kind = self._call_route(name), self.call_kinds[kind]
        node = self.nodes[name]
        work = self.rng.expovariate(1 / request_kind.mean_work)
        request_id = f"{self.rng.getrandbits(64):x}"
        head = exchange.RequestHead(
            request_id,
            "GET",
            route.prefix,
            (
                (b"Id", request_id.encode()),
                (b"Work", str(work).encode()),
                (b"Kind", CALL_KIND.encode()),
                (b"Caller-Id", headers["Id"].encode()),
            ),
            route.service,
            "",
            datetime.timedelta(seconds=request_kind.timeout),
            latency_objective=datetime.timedelta(milliseconds=route.aim_ms),
        )
        head.queue_priority = request_queues.queue_priority(route)
        started = self.loop.time()
        result = await self._serve_call(node, route, kind, head, due_at)
        stats = self.calls[kind]
        stats.request_count += 1
        stats.latencies.append(self.loop.time() - started)
        is_success = result.is_ok() and result.ok.status == 200
        stats.failed += not is_success
        return is_success

    def schedule_departures(self, seconds, absence_seconds):
        """Lets all calling targets deregister while they work on requests.

        Each registers again as a later start, and the homes remain.

        Args:
          seconds: when, in seconds from now.
          absence_seconds: how long they are not registered.
        """
        for name in self.nodes:
            targets = self._registries[name]
            announcement = self._announcement_of(name)
            returned = announcement.model_copy(
                update={"incarnation": announcement.incarnation + 1}
            )
            self.loop.call_later(
                seconds, targets.depart, name, announcement.incarnation
            )
            # A home refuses the first announcement after a pause of its checks.
            for delay in (absence_seconds, absence_seconds + 0.75):
                self.loop.call_later(
                    seconds + delay,
                    targets.announce,
                    name,
                    returned,
                    returned.slots,
                )

    def schedule_late_calls(self, seconds, kind):
        """Lets each calling target make a call for a request that it resumes.

        Args:
          seconds: when, in seconds from now.
          kind: the kind of the request, which its node has given up.
        """
        headers = {"Kind": kind, "Id": "given-up"}

        def make_calls():
            for name in self.nodes:
                call = self.call(name, headers, due_at=0.0)
                self._tasks.add(self.loop.create_task(call))

        self.loop.call_later(seconds, make_calls)

    async def forward(self, zone, home, target, head, body):
        """Delivers a request to a home node and returns its result."""
        result = await super().forward(zone, home, target, head, body)
        if home.name != self.cut_home:
            return result
        return expression.Error(
            exchange.unknown_outcome_refusal(exchange.Reason.HOME_LOST)
        )

    async def _serve_call(self, node, route, kind, head, due_at):
        async def serve(head):
            sent = SentCall(kind, head, due_at)
            self.sent_calls.append(sent)
            try:
                return await node.gateway.serve(
                    route, head, exchange.RequestBody()
                )
            finally:
                sent.ended_at = self.loop.time()

        if node.calls.is_call(
            head.service, route.prefix, VM_ADDRESS, VM_ADDRESS
        ):
            return await node.calls.serve(route.prefix, head, serve)
        return await serve(head)

    def _call_route(self, name):
        """Returns the route of a target's calls; None if it makes none."""
        return None if is_called(name) else CALL_ROUTE

    def _make_target(self, name):
        if self._call_route(name) is None:
            return super()._make_target(name)
        return CallingTarget(self, name)

    def _announcement_of(self, name):
        return self._announcement.model_copy(
            update={"service": self.service_of(name)}
        )

    def service_of(self, name):
        """Returns the service of a target."""
        return CALLED_SERVICE if is_called(name) else fleet.SERVICE

    def _start_home(self, name, zone):
        super()._start_home(name, zone)
        if self._call_route(name) is not None:
            self.nodes[name] = self._make_node(name, zone)

    def _make_node(self, name, zone):
        dispatcher = self._dispatchers[name]
        routes = entry_routes.EntryRoutes(self.clock, dispatcher)
        place = load_balancing.Locality(name, zone[0], zone)
        entry = self._build_gateway(place, dispatcher, routes)
        calls = target_calls.TargetCalls(
            dispatcher,
            routes,
            entry.metrics,
            self.clock,
            inherits_priority=self._inherits,
        )
        dispatcher.reserve_calls(
            call_reservations.CallReserver(calls, entry.budgets, self.clock)
        )
        return CallingNode(entry, calls, entry.metrics)

    def _all_entries(self):
        return [
            *super()._all_entries(),
            *(
                (name, name.rpartition("-")[0], node.gateway)
                for name, node in self.nodes.items()
            ),
        ]

    def _run_more_checks(self):
        for name, node in self.nodes.items():
            node.calls.sample_running_requests()
            for route in node.gateway.entry_routes.take_due_updates():
                other = self.rng.choice(list(self.nodes.values()))
                other.gateway.entry_routes.add_route(route, name)


@dataclasses.dataclass
class CallingNode:
    """The node beside a calling target."""

    gateway: gateway.Gateway
    calls: target_calls.TargetCalls
    metrics: request_metrics.RequestMetrics


def is_called(name):
    """Returns whether a target, by its name, belongs to the called service."""
    return int(name.rpartition("-")[2]) in CALLED_NUMBERS
