"""Simulates a small fleet in virtual time and counts its responses.

Gateways, hand-over, slots and suspicion are the production code; links and the
targets' HTTP are fakes that only delay. The default size is that of a service
of the users: twelve targets of three slots in six zones of three regions, with
one entry node in each zone. Used by the load tests and by benchmarks/.
"""

import asyncio
import collections
import dataclasses
import datetime
import functools
import math
import random

from endivewind import exchange
from endivewind.callers import budgets
from endivewind.callers import gateway
from endivewind.callers import placement
from endivewind.callers import request_queues
from endivewind.config import objects
from endivewind.config import store
from endivewind.decisions import load_balancing
from endivewind.decisions import peer_updates
from endivewind.nodes import view
from endivewind.standins import target as standin
from endivewind.standins import virtual_loop
from endivewind.targets import attempt_log
from endivewind.targets import dispatch
from endivewind.targets import registry
from endivewind.tests import samples

SERVICE = "riders"
ZONES = tuple(f"{region}-{part}" for region in "abc" for part in "xy")
TARGETS_PER_ZONE = 2
SLOTS_PER_TARGET = 3
TARGET_INCARNATION = 1
# One-way delay between zones of a region and between regions, as measured by
# the users.
SAME_REGION_DELAY_SECONDS = 0.0014
CROSS_REGION_DELAY_SECONDS = 0.030
# A failing target responds at once, without doing the work.
FAILURE_LATENCY_SECONDS = 0.001
CHECK_INTERVAL_SECONDS = 0.1
INITIAL_UPTIME = datetime.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True)
class RequestKind:
    """One kind of request.

    Attributes:
      name: key of its statistics.
      per_second: arrival rate, over all zones.
      mean_work: mean service time in seconds.
      work_sigma: sigma of the lognormal distribution of service times.
      latency_objective: seconds within which a response has its full value.
      timeout: seconds that the caller waits at most.
      is_non_idempotent: whether it must not run twice.
      rank: priority; 0 is the highest.
      service: the service that they are sent to.
      response_bytes: mean size of the responses; 0 for empty ones.
      workspace: the workspace that sends them.
    """

    name: str
    per_second: float
    mean_work: float
    work_sigma: float
    latency_objective: float
    timeout: float
    is_non_idempotent: bool = False
    rank: int = 1
    service: str = SERVICE
    response_bytes: int = 0
    workspace: str = ""

    @property
    def route(self) -> objects.Route:
        """The configured route of these requests."""
        repeat = (
            objects.RepeatPolicy.NEVER
            if self.is_non_idempotent
            else objects.RepeatPolicy.ALWAYS
        )
        return objects.Route(
            service=self.service,
            prefix=f"/{self.name}" if self.response_bytes else "/",
            repeat=repeat,
            rank=self.rank,
            timeout_ms=round(1000 * self.timeout),
            aim_ms=round(1000 * self.latency_objective),
            attempts=2,
        )


# Non-idempotent and idempotent requests of one service of the users, at their
# usual rates.
ORDER = RequestKind("order", 48.4, 0.26, 0.3, 1.0, 2.0, is_non_idempotent=True)
LOOKUP = RequestKind("lookup", 16.1, 0.19, 0.8, 1.0, 1.5, rank=2)


class FakeTarget:
    """A fake target, whose behavior a test changes during a run.

    Attributes:
      failure_share: share of requests that fail.
      slowdown: factor of the service times.
      hang_share: share of requests that never get a response.
      served_count: requests that it has served.
      busy_seconds: time that it has worked on them, summed over its slots.
      rate_limit: requests per second that its responses name as its limit;
        None for no limit.
      is_leaving: whether its responses say that it is about to stop.
      arrivals: when each request arrived, in seconds of virtual time.
    """

    def __init__(self, rng: random.Random) -> None:
        self.failure_share = 0.012
        self.slowdown = 1.0
        self.hang_share = 0.0
        self.served_count = 0
        self.busy_seconds = 0.0
        self.rate_limit: float | None = None
        self.is_leaving = False
        self.arrivals: list[float] = []
        self._rng = rng

    async def request(self, method, url, *, headers, trace_request_ctx, **_):
        """Stands in for `aiohttp.ClientSession.request`."""
        trace_request_ctx.record_connection()
        self.arrivals.append(asyncio.get_running_loop().time())
        draw = self._rng.random()
        if draw < self.hang_share:
            await asyncio.Event().wait()
        if draw < self.hang_share + self.failure_share:
            await asyncio.sleep(FAILURE_LATENCY_SECONDS)
            return _Response(500, self._headers())
        work = float(headers["Work"])
        await self.work(work)
        self.served_count += 1
        self.busy_seconds += work * self.slowdown
        size = int(headers.get("Size", 0))
        return _Response(200, self._headers(), bytes(size))

    async def work(self, seconds):
        """Works on a request, longer if the target is slow."""
        await asyncio.sleep(seconds * self.slowdown)

    def _headers(self):
        return standin.self_report_headers(self.rate_limit, self.is_leaving)


class _Response:
    raw_headers = ()
    content_length = 0

    def __init__(self, status, headers, body=b""):
        self.status = status
        self.headers = headers
        self._body = body

    async def read(self):
        return self._body

    def close(self):
        """Does nothing: there is no connection."""


def make_response(status):
    """Returns a target's response that reports nothing of the target."""
    return _Response(status, standin.self_report_headers(None, False))


@dataclasses.dataclass
class RequestStats:
    """Results of one kind of requests.

    Attributes:
      request_count: requests that have ended.
      on_time: responses within the latency objective.
      late: responses after the latency objective.
      failed: requests that failed and may have run.
      refused: requests that were refused as not run.
      refused_without_retry_after: those refused without a time to retry at.
      latencies: seconds of each request.
    """

    request_count: int = 0
    on_time: int = 0
    late: int = 0
    failed: int = 0
    refused: int = 0
    refused_without_retry_after: int = 0
    latencies: list = dataclasses.field(default_factory=list)

    @property
    def lost_share(self) -> float:
        """Share of requests that failed or were refused."""
        return (self.failed + self.refused) / max(1, self.request_count)

    @property
    def on_time_share(self) -> float:
        """Share of requests with a response within the latency objective."""
        return self.on_time / max(1, self.request_count)


class Fleet:
    """Twelve targets with a home node each, and an entry node in every zone."""

    # The class of the targets.
    target_type = FakeTarget

    def __init__(
        self,
        seed: int = 1,
        targets_per_zone: int = TARGETS_PER_ZONE,
        entries_per_zone: int = 1,
        sends_updates: bool = True,
        slots: int = SLOTS_PER_TARGET,
        retries: tuple[int, int] = (20, 60),
        prioritizes_retries: bool = False,
        measured_capacity: bool = False,
        zones: tuple[str, ...] = ZONES,
    ) -> None:
        """Builds the fleet.

        Args:
          seed: of the random number generator.
          targets_per_zone: targets, each with its own home node.
          entries_per_zone: entry nodes, each with its own callers.
          sends_updates: whether home nodes send target updates to the entry
            nodes of their zone.
          slots: slots of each target.
          retries: retry budget, in percent of the requests, and the reserve of
            retries in each window.
          prioritizes_retries: whether scarce retries go to urgent requests.
          measured_capacity: whether homes measure the capacity of targets and
            entry nodes use it.
          zones: zones of targets and entry nodes.
        """
        self._prioritizes_retries = prioritizes_retries
        self._measured_capacity = measured_capacity
        self._retries = retries
        self._zones = zones
        self._announcement = registry.Announcement(
            service=SERVICE,
            address="http://t",
            incarnation=TARGET_INCARNATION,
            lease_ms=60_000,
            slots=slots,
        )
        self._sends_updates = sends_updates
        self._publishers = collections.defaultdict(
            peer_updates.TargetUpdatePublisher
        )
        self.loop = virtual_loop.VirtualLoop()
        self.clock = virtual_loop.LoopClock(self.loop)
        self.rng = random.Random(seed)
        self.stats = collections.defaultdict(RequestStats)
        self.forwards_by_distance = collections.Counter()
        # Further delay of requests on their way to a home node.
        self.request_delay_seconds = 0.0
        self.targets: dict[str, FakeTarget] = {}
        self._dispatchers = {}
        self._registries = {}
        self._view = view.FleetView()
        self._tasks = set()
        self._scheduled_joins = []
        self._placements = collections.defaultdict(list)
        self._entries = {
            zone: [self._make_gateway(zone, n) for n in range(entries_per_zone)]
            for zone in zones
        }
        if targets_per_zone:
            # With targets present from the start, entry nodes must have run
            # for at least one retry window.
            self.loop.advance(INITIAL_UPTIME)
        for zone in zones:
            for number in range(targets_per_zone):
                self._add_target(f"{zone}-{number}", zone)

    def sample_targets(self, share):
        """Samples targets; each is included with probability `share`."""
        return [
            target
            for target in self.targets.values()
            if self.rng.random() < share
        ]

    def join_target(self, name, zone, cold_ms=0):
        """Adds a target without any history; returns it.

        Args:
          name: of the target.
          zone: of the target.
          cold_ms: how long it announces to be slow.
        """
        self._add_target(name, zone, cold_ms)
        self._announce(name, cold_ms)
        return self.targets[name]

    def schedule_join(self, name, zone, seconds):
        """Adds such a target during the next run, after `seconds`."""
        self._scheduled_joins.append((seconds, name, zone))

    async def _run_scheduled_joins(self):
        now = 0.0
        for seconds, name, zone in sorted(self._scheduled_joins):
            await asyncio.sleep(seconds - now)
            now = seconds
            self.join_target(name, zone)

    def _add_target(self, name, zone, cold_ms=0):
        self.targets[name] = self._make_target(name)
        self._start_home(name, zone)
        self._view.put_node(view.NodeRecord(name, 1, name, zone[0], zone))
        record = samples.make_target_record(
            name,
            home=name,
            region=zone[0],
            zone=zone,
            service=self._announcement_of(name).service,
            slots=self._announcement.slots,
            target_incarnation=TARGET_INCARNATION,
            cold_ms=cold_ms,
        )
        self._view.put_home_state(name, 1, 1, [record])

    def _make_target(self, name):
        """Returns a new target; a subclass may vary it by name."""
        return self.target_type(self.rng)

    def _announcement_of(self, name):
        """Returns a target's announcement; a subclass may vary it by name."""
        return self._announcement

    def restart_home(self, name):
        """Restarts a target's home node, which forgets what it knew."""
        self._start_home(name, name.rpartition("-")[0])

    def _start_home(self, name, zone):
        target = self.targets[name]
        home = registry.HomeIdentity(name, 1, zone[0], zone)
        targets = self._registries[name] = registry.TargetRegistry(
            home, self.clock, measures_capacity=self._measured_capacity
        )
        self._dispatchers[name] = dispatch.Dispatcher(
            targets,
            target,
            target,
            self.clock,
            dispatch.NullObserver(),
            attempt_log.AttemptLog(),
        )

    def _make_gateway(self, zone, number):
        place = load_balancing.Locality(f"entry-{zone}-{number}", zone[0], zone)
        return self._build_gateway(place)

    def _build_gateway(self, place, dispatcher=None, routes=None):
        zone = place.zone
        entry_placement = placement.Placement(
            place,
            self._view,
            lambda _: 0,
            self.clock,
            self.rng,
            uses_measured_capacity=self._measured_capacity,
            links=self._make_links(place),
        )
        self._placements[zone].append(entry_placement)
        configuration = store.ConfigurationStore()
        for service, (percent, reserve) in self._retry_limits().items():
            spec = {"retry_percent": percent, "retry_reserve": reserve}
            configuration.apply(
                store.SERVICE, service, 1, {"spec": spec, "operation": "o"}
            )
        return gateway.Gateway(
            place.node,
            entry_placement,
            configuration,
            self._view,
            dispatcher,
            _Links(self, zone),
            self.clock,
            None,
            self.rng,
            routes,
            retry_budgets=budgets.RetryBudgets(
                configuration,
                self._view,
                place,
                self.clock,
                self.rng,
                functools.partial(self._request_loan, place),
                prioritizes=self._prioritizes_retries,
            ),
            admission_control=self._make_admission_control(place),
        )

    def _retry_limits(self):
        """Returns the retry budget of each service that has one."""
        return {SERVICE: self._retries}

    async def delay(self, seconds):
        """Waits for a time on the virtual loop."""
        await asyncio.sleep(seconds)

    def _make_links(self, place):
        """Returns what charges an entry node's links; None for nothing."""
        return

    def _make_admission_control(self, place):
        """Returns the admission control of an entry node; None without it."""
        del place

    async def forward(self, zone, home, target, head, body):
        """Delivers a request to a home node and returns its result."""
        self.forwards_by_distance[_distance(zone, home.zone)] += 1
        seconds = _delay_seconds(zone, home.zone)
        await asyncio.sleep(seconds + self.request_delay_seconds)
        result = await self._dispatchers[home.name].run_forwarded(
            target, 1, head, body
        )
        await asyncio.sleep(seconds)
        return result

    def run(self, seconds, kinds, zones=None, scale=1.0):
        """Sends requests from callers of some zones.

        Args:
          seconds: how long, in virtual time.
          kinds: kinds of requests.
          zones: zones of the callers, which share the rates evenly; None for
            all zones.
          scale: factor of the rates.
        """
        for name in self._registries:
            self._announce(name)
        self.loop.run_until_complete(
            self._run(seconds, kinds, zones or self._zones, scale)
        )

    def _announce(self, name, cold_ms=0):
        announcement = self._announcement_of(name).model_copy(
            update={"cold_ms": cold_ms}
        )
        self._registries[name].announce(
            name, announcement, self._announcement.slots
        )

    async def _run(self, seconds, kinds, zones, scale):
        end = self.loop.time() + seconds
        senders = [
            self._send_at_rate(
                kind, zone, end, scale * kind.per_second / len(zones)
            )
            for kind in kinds
            for zone in zones
        ]
        checking = asyncio.create_task(self._check_periodically())
        await asyncio.gather(self._run_scheduled_joins(), *senders)
        self._scheduled_joins.clear()
        if self._tasks:
            await asyncio.wait(self._tasks)
        checking.cancel()

    async def _send_at_rate(self, kind, zone, end, rate):
        while True:
            await asyncio.sleep(self.rng.expovariate(rate))
            if self.loop.time() >= end:
                return
            task = asyncio.create_task(self._send_request(kind, zone))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _check_periodically(self):
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            for dispatcher in self._dispatchers.values():
                dispatcher.check_overdue()
            self._run_more_checks()
            if self._sends_updates:
                self._send_updates()

    def _run_more_checks(self):
        """Does nothing; a subclass may run the checks of more parts."""

    def _send_updates(self):
        now = self.clock.monotonic()
        for name, targets in self._registries.items():
            zone = name.rpartition("-")[0]
            states = [item.snapshot(now) for item in targets.home_targets()]
            for update in self._publishers[name].take_due_updates(states, now):
                for entry_placement in self._placements[zone]:
                    entry_placement.apply_update(update)
        self._send_retry_usages()

    async def _request_loan(self, place, lender, service, amount):
        """Asks the entry nodes of a zone in turn; returns what they lend.

        Entry nodes take the homes of the targets, which the view contains, for
        the nodes that share retries with them.
        """
        seconds = 2 * _delay_seconds(place.zone, lender.zone)
        lent = 0.0
        for name, zone, entry in self._all_entries():
            if zone == lender.zone and name != place.node and lent < amount:
                lent += entry.budgets.lend(service, amount - lent)
                await asyncio.sleep(seconds)
        return lent

    def _send_retry_usages(self):
        entries = self._all_entries()
        for name, zone, entry in entries:
            for usage in entry.budgets.take_due_updates():
                for other, other_zone, receiver in entries:
                    if other != name and self._share_retries(zone, other_zone):
                        receiver.budgets.update_peer(name, usage)

    def retry_count(self):
        """Returns the number of retries that all entry nodes have made."""
        return sum(
            sum(entry.metrics.retries.values())
            for _, _, entry in self._all_entries()
        )

    def _all_entries(self):
        """Returns the name, zone and gateway of each entry node."""
        return [
            (f"entry-{zone}-{number}", zone, entry)
            for zone in self._zones
            for number, entry in enumerate(self._entries[zone])
        ]

    def _share_retries(self, zone, other):
        """Returns whether the entry nodes of two zones share retry budgets."""
        entry_count = 2 * len(self._entries[zone])
        in_region = peer_updates.shares_retries_in_region(entry_count - 1)
        return zone == other or (in_region and zone[0] == other[0])

    async def _send_request(self, kind, zone):
        route = kind.route
        mean = math.log(kind.mean_work) - kind.work_sigma**2 / 2
        work = self.rng.lognormvariate(mean, kind.work_sigma)
        request_id = f"{self.rng.getrandbits(64):x}"
        headers = [
            (b"Id", request_id.encode()),
            (b"Work", str(work).encode()),
            (b"Kind", kind.name.encode()),
        ]
        if kind.response_bytes:
            spread = self.rng.lognormvariate(-0.02, 0.2)
            size = round(kind.response_bytes * spread)
            headers.append((b"Size", str(size).encode()))
        head = exchange.RequestHead(
            request_id,
            "GET",
            "/",
            tuple(headers),
            kind.service,
            kind.workspace,
            datetime.timedelta(seconds=kind.timeout),
            ticket=request_id if kind.is_non_idempotent else "",
            latency_objective=datetime.timedelta(
                seconds=kind.latency_objective
            ),
            queue_priority=request_queues.queue_priority(route),
        )
        started = self.loop.time()
        entry = self.rng.choice(self._entries[zone])
        result = await entry.serve(route, head, exchange.RequestBody())
        self._count(self.stats[kind.name], kind, result, started)

    def _count(self, outcome, kind, result, started):
        latency = self.loop.time() - started
        outcome.request_count += 1
        outcome.latencies.append(latency)
        if result.is_error():
            not_run = result.error.outcome is exchange.ExecutionOutcome.NOT_RUN
            outcome.refused += not_run
            outcome.failed += not not_run
            outcome.refused_without_retry_after += (
                not_run and result.error.retry_after is None
            )
        elif result.ok.status != 200:
            outcome.failed += 1
        elif latency <= kind.latency_objective:
            outcome.on_time += 1
        else:
            outcome.late += 1


class _Links:
    """The links of one entry node."""

    def __init__(self, fleet, zone):
        self._fleet = fleet
        self._zone = zone

    async def forward(self, home, target, head, body):
        return await self._fleet.forward(self._zone, home, target, head, body)


def _distance(zone, other):
    if zone == other:
        return "zone"
    return "region" if zone[0] == other[0] else "far"


def _delay_seconds(zone, other):
    delays = {
        "zone": 0.0001,
        "region": SAME_REGION_DELAY_SECONDS,
        "far": CROSS_REGION_DELAY_SECONDS,
    }
    return delays[_distance(zone, other)]
