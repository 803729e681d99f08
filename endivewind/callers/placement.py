"""Chooses a target for each request, as one entry node sees the fleet.

Supplies load balancing with this node's own load per target, the status that
homes report, latencies, cooldowns, circuit breakers, slow start and the budget
for traffic between regions. The gateway and the request queues call it.
"""

import collections
import collections.abc
import datetime
import logging
import random

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind import logs
from endivewind.callers import link_traffic
from endivewind.decisions import capacity_floor
from endivewind.decisions import circuit_breakers
from endivewind.decisions import cross_region
from endivewind.decisions import ejection
from endivewind.decisions import link_shares
from endivewind.decisions import load_balancing
from endivewind.decisions import peer_updates
from endivewind.decisions import slow_start
from endivewind.decisions import suspicion
from endivewind.decisions import target_capacity
from endivewind.nodes import view
from endivewind.targets import records

log = logging.getLogger(__name__)

Locality = load_balancing.Locality
FloorSlotsOf = collections.abc.Callable[[str], int]
FloorShareOf = collections.abc.Callable[[str], float]

# Cooldown of a target that refused a request because it was full. It has room
# again once some of its work has ended; asking sooner wastes a hop. The
# cooldown is this share of the service's usual latency, and no less than
# MIN_COOLDOWN, which also applies where the latency is unknown.
COOLDOWN_LATENCY_SHARE = 0.25
MIN_COOLDOWN = datetime.timedelta(milliseconds=50)
# A target that sheds load responds immediately and so looks idle; without a
# cooldown it would attract the requests of all entry nodes.
LONG_COOLDOWN = datetime.timedelta(milliseconds=250)
_OVERLOAD_STATUSES = frozenset({429, 503})
# Refusals after which the target has the long cooldown, too. A home that no
# longer forwards to a target refuses every request for it until this entry node
# learns of the change, and each refusal costs a hop and one of the request's
# attempts.
_LONG_COOLDOWN_REASONS = frozenset(
    {
        exchange.Reason.TARGET_FULL,
        exchange.Reason.STALE_HOME,
        exchange.Reason.STOPPING,
    }
)
_HOME_FAILURE_REASONS = (
    exchange.Reason.HOME_LOST,
    exchange.Reason.HOME_UNREACHABLE,
)
# One entry node's share of the 4 Gbit/s that a pair of regions has in each
# direction, with about 250 nodes in each region.
CROSS_REGION_BYTES_PER_SECOND = 2_000_000.0
# Approximate bytes that headers and framing add in each direction.
HEADER_OVERHEAD_BYTES = 500
# A change of the pool starts slow start for its new targets only if they are
# at most this share of the pool.
MAX_SLOW_START_SHARE = 0.25
# Departed targets that an entry node remembers. More than that many of a fleet
# of 12,000 targets do not stop within the seconds that a departure takes.
MAX_REMEMBERED_DEPARTURES = 1_024
# The Retry-After of a refusal is a random time between a minimum, which is
# MIN_RETRY_AFTER or more, and RETRY_AFTER_SPREAD times that minimum.
MIN_RETRY_AFTER = datetime.timedelta(seconds=1)
RETRY_AFTER_SPREAD = 3
# A node that has just started learns of every live target within this time:
# targets announce themselves at least every 1.5 s, and the announcements take
# a few hundred milliseconds to reach all nodes.
DISCOVERY_TIME = datetime.timedelta(seconds=2)
_LATENCY_EWMA_WEIGHT = 1 / 8
_MIN_FAILURE_STATUS = 500
_MILLISECOND = datetime.timedelta(milliseconds=1)
# How long a reported load is used where the service's latency is unknown.
# Requests take a few hundred milliseconds.
_STATUS_LIFETIME = datetime.timedelta(milliseconds=300)
_NEVER_REPORTED_SECONDS = 86_400.0
# A target's average latency is ignored if its last update is longer ago than
# this, or than _MAX_AGE_IN_LATENCIES times the latency itself if that is less.
# So a target that responds within milliseconds and is avoided for one slow
# response is soon tried again: after a few times that response's duration.
_MAX_LATENCY_AGE = datetime.timedelta(seconds=2)
_MAX_AGE_IN_LATENCIES = 8


def _default_floor_share(service: str) -> float:
    return capacity_floor.DEFAULT_FLOOR_SHARE


def _cooldown_after(
    result: expression.Result[exchange.Response, exchange.Refusal],
    service_latency: float,
) -> datetime.timedelta | None:
    """Returns the cooldown of a target after a result, or None for none.

    Args:
      result: The result of one request.
      service_latency: The service's usual latency in seconds; 0 if unknown.
    """
    if result.is_ok():
        return LONG_COOLDOWN if result.ok.status in _OVERLOAD_STATUSES else None
    if (
        result.error.reason in _LONG_COOLDOWN_REASONS
        and not result.error.moved_to
    ):
        return LONG_COOLDOWN
    if result.error.reason is exchange.Reason.BUSY:
        return max(
            MIN_COOLDOWN,
            datetime.timedelta(
                seconds=COOLDOWN_LATENCY_SHARE * service_latency
            ),
        )
    return None


class _TargetLoad:
    """Load and latency of one target, from own requests and its home's reports.

    Attributes:
      own_requests: This entry node's requests at the target.
      latency: Moving average of the latency in seconds.
      latency_updated_at: When the latency was last updated.
      cooldown_until: No request is sent to the target before this time.
      limited_until: Nor before this time, because of its rate limit.
      peer_load: Requests of other entry nodes, as last reported by the home.
      slots: The target's slots.
      suspicion: The suspicion last reported.
      reported_at: When the home last reported.
    """

    __slots__ = (
        "latency_updated_at",
        "own_requests",
        "latency",
        "peer_load",
        "cooldown_until",
        "limited_until",
        "slots",
        "suspicion",
        "reported_at",
    )

    def __init__(self) -> None:
        self.own_requests = 0
        self.latency = 0.0
        self.latency_updated_at = datetime.timedelta()
        self.cooldown_until = datetime.timedelta()
        self.limited_until = datetime.timedelta()
        self.peer_load = 0
        self.slots = 0
        self.suspicion = suspicion.PRIOR_SUSPICION
        self.reported_at = -_STATUS_LIFETIME

    def update_status(
        self, status: exchange.TargetReport, now: datetime.timedelta
    ) -> None:
        """Stores the target status that the home has reported."""
        self.peer_load = max(0, status.load - self.own_requests)
        self.suspicion = status.suspicion
        self.reported_at = now
        self.limited_until = now + status.rate_limit_wait

    def remaining_peer_load(
        self, service_latency: float, now: datetime.timedelta
    ) -> float:
        """Returns the estimated remainder of the load that the home reported.

        Scenario: targets are full for seconds, with requests of any duration,
        and each entry node sends one or two requests a second. Risk: an entry
        node that considers them idle again after a fixed time tries one full
        target after the other, and its request is refused long before its
        deadline. So the load is assumed to shrink at the rate at which a full
        target completes requests: its slots per usual latency.

        Args:
          service_latency: The service's usual latency in seconds; 0 if
            unknown.
          now: The current time.
        """
        age = now - self.reported_at
        if not service_latency or not self.slots:
            return self.peer_load if age < _STATUS_LIFETIME else 0.0
        done = age.total_seconds() * self.slots / service_latency
        return max(0.0, self.peer_load - done)

    def recent_latency(self, now: datetime.timedelta) -> float:
        """Returns the average latency in seconds; 0 if none is recent."""
        max_age = datetime.timedelta(
            seconds=_MAX_AGE_IN_LATENCIES * self.latency
        )
        is_recent = now - self.latency_updated_at < min(
            max_age, _MAX_LATENCY_AGE
        )
        return self.latency if is_recent else 0.0

    def record_latency(
        self, seconds: float, service_latency: float, now: datetime.timedelta
    ) -> None:
        """Adds the latency of one response to the moving average.

        Scenario: an entry node sends a few requests a second, and latencies
        have a long tail. Risk: if the average started at the first latency, one
        response from the tail made a healthy target look several times slower
        than the others, and it got no requests until that latency expired. So
        the average starts at the service's usual latency, and it takes several
        slow responses to raise it.
        """
        if not self.recent_latency(now):
            self.latency = service_latency
        self.latency += _LATENCY_EWMA_WEIGHT * (seconds - self.latency)
        self.latency_updated_at = now


class TargetLoads(load_balancing.TargetInfo):
    """Load of each target that has requests or reports at this node."""

    def __init__(
        self,
        clock: clocks.Clock,
        breakers: circuit_breakers.CircuitBreakers,
        budget: cross_region.CrossRegionBudget | link_traffic.LinkTraffic,
        slow_starts: slow_start.SlowStart,
        locality: Locality,
        work_times: target_capacity.WorkTimes | None = None,
    ) -> None:
        self._locality = locality
        self._clock = clock
        self._work_times = work_times
        # By service; empty if capacity isn't measured.
        self._zone_balances: dict[str, target_capacity.ZoneBalance] = {}
        self.late_counts: collections.Counter[str] = collections.Counter()
        self._slow_start = slow_starts
        self._circuit_breakers = breakers
        self._budget = budget
        self._loads: dict[str, _TargetLoad] = {}
        # Moving average of the latency in seconds, by service.
        self._service_latencies: dict[str, float] = {}

    def own_in_use(self, target: str) -> int:
        """Returns the number of this entry node's requests at the target."""
        known = self._loads.get(target)
        return known.own_requests if known else 0

    def in_use(self, item: capacity_floor.Candidate) -> float:
        """Returns own requests plus the estimated ones of other entry nodes."""
        known = self._loads.get(item.id)
        if known is None:
            return 0
        known.slots = item.slots
        service_latency = self.work(item) or self._service_latencies.get(
            item.service, 0.0
        )
        return known.own_requests + known.remaining_peer_load(
            service_latency, self._clock.monotonic()
        )

    def wait(self, item: capacity_floor.Candidate) -> float:
        """Returns the expected wait in seconds for one of its slots."""
        ahead = self.in_use(item) + 1 - item.slots
        latency = (
            self.work(item)
            or self.latency(item.id)
            or self._service_latencies.get(item.service, 0.0)
        )
        return max(0, ahead) * latency / item.slots

    def work(self, item: capacity_floor.Candidate) -> float:
        """Returns the measured work time; 0 if it isn't measured."""
        if self._work_times is None:
            return 0.0
        return self._work_times.work(
            item.service, item.id, self._clock.monotonic()
        )

    def measured_capacity(
        self, tier: tuple[capacity_floor.Candidate, ...]
    ) -> target_capacity.TierCapacity | None:
        """Returns the capacities of a tier; None if they aren't measured."""
        if self._work_times is None:
            return None
        now = self._clock.monotonic()
        return self._work_times.tier_capacity(
            tier, lambda target: self._start_share(target, now), now
        )

    def ordered_tiers(
        self, tiers: load_balancing.Tiers, rng: random.Random
    ) -> load_balancing.Tiers:
        """Returns the tiers, for some requests with the region's first."""
        if self._work_times is None or not (tiers[0] and tiers[1]):
            return tiers
        balance = self._zone_balances.get(tiers[0][0].service)
        share = balance.leaving_share() if balance else 0.0
        if not share or rng.random() >= share:
            return tiers
        return (tiers[1], tiers[0], tiers[2])

    def _record_capacity(
        self, record: records.TargetRecord, report: exchange.TargetReport
    ) -> None:
        """Stores the work time and the load that a home has reported."""
        if self._work_times is None:
            return
        self._work_times.record(
            record.service,
            record.id,
            report.work_seconds,
            self._clock.monotonic(),
        )
        if record.region != self._locality.region:
            return
        balance = self._zone_balances.get(record.service)
        if balance is None:
            balance = target_capacity.ZoneBalance()
            self._zone_balances[record.service] = balance
        balance.record(
            record.zone == self._locality.zone, report.load / record.slots
        )

    def count_if_late(
        self, item: capacity_floor.Candidate, due_at: datetime.timedelta
    ) -> None:
        """Counts an attempt whose response is expected after its time."""
        work = self.work(item)
        if work and self.wait(item) + work > self.seconds_left(due_at):
            self.late_counts[item.service] += 1

    def set_cold(self, target: str, until: datetime.timedelta) -> None:
        """Limits the use of work times that are reported before a time."""
        if self._work_times is not None:
            self._work_times.set_cold(target, until)

    def forget_work(self, service: str, target: str) -> None:
        """Drops a target's work time."""
        if self._work_times is not None:
            self._work_times.forget(service, (target,))

    def leaving_shares(self) -> dict[str, float]:
        """Returns the shares of requests that leave the zone, by service."""
        return {
            service: balance.leaving_share()
            for service, balance in self._zone_balances.items()
        }

    def _start_share(self, target: str, now: datetime.timedelta) -> float:
        return max(
            target_capacity.MIN_START_SHARE,
            self._slow_start.elapsed_share(target, now),
        )

    def seconds_left(self, due_at: datetime.timedelta) -> float:
        """Returns the seconds until a time."""
        return (due_at - self._clock.monotonic()).total_seconds()

    def suspicion(self, target: str) -> float:
        """Returns the probability that the target is unhealthy."""
        known = self._loads.get(target)
        if known is None:
            return suspicion.PRIOR_SUSPICION
        age = self._clock.monotonic() - known.reported_at
        return suspicion.decay(known.suspicion, age)

    def seconds_since_report(self, target: str) -> float:
        """Returns the seconds since its home's last report; a day if none."""
        known = self._loads.get(target)
        if known is None or known.reported_at < datetime.timedelta():
            return _NEVER_REPORTED_SECONDS
        return (self._clock.monotonic() - known.reported_at).total_seconds()

    def latency(self, target: str) -> float:
        """Returns its latency in seconds; 0 if there is no recent one."""
        known = self._loads.get(target)
        return known.recent_latency(self._clock.monotonic()) if known else 0.0

    def usable_slots(self, item: capacity_floor.Candidate) -> int:
        """Returns the slots that slow start lets this entry node use now."""
        return self._slow_start.usable_slots(
            item.id, item.slots, self._clock.monotonic()
        )

    def has_traffic_budget(self, region: str) -> bool:
        """Returns whether the traffic budget allows requests to a region."""
        return self._budget.allows(region, self._clock.monotonic())

    def is_cooling_down(self, target: str) -> bool:
        """Returns whether the target is cooling down or at its rate limit."""
        known = self._loads.get(target)
        if known is None:
            return False
        return (
            max(known.cooldown_until, known.limited_until)
            > self._clock.monotonic()
        )

    def is_reachable(self, home: str) -> bool:
        """Returns whether the circuit breaker allows requests to a home."""
        return self._circuit_breakers.allows(home, self._clock.monotonic())

    def record_start(self, target: str) -> None:
        """Counts a request sent to a target."""
        self._load_of(target).own_requests += 1

    def record_end(self, target: str) -> None:
        """Counts the end of a request sent to a target."""
        self._load_of(target).own_requests -= 1

    def record_result(
        self,
        record: records.TargetRecord,
        result: expression.Result[exchange.Response, exchange.Refusal],
        latency: datetime.timedelta,
    ) -> None:
        """Updates status, cooldown and latency from the result of a request.

        Latencies of failures are ignored: an unhealthy target that fails at
        once would look like the fastest one and attract requests.
        """
        service_latency = self._service_latencies.get(record.service, 0.0)
        cooldown = _cooldown_after(result, service_latency)
        known = self._load_of(record.id)
        now = self._clock.monotonic()
        status = exchange.target_report(result)
        if status is not None:
            known.update_status(status, now)
            self._record_capacity(record, status)
        if cooldown is not None:
            known.cooldown_until = now + cooldown
        elif result.is_ok() and result.ok.status < _MIN_FAILURE_STATUS:
            seconds = latency.total_seconds()
            service_latency = service_latency or seconds
            known.record_latency(seconds, service_latency, now)
            service_latency += _LATENCY_EWMA_WEIGHT * (
                seconds - service_latency
            )
            self._service_latencies[record.service] = service_latency

    def apply_update(self, update: peer_updates.TargetUpdate) -> None:
        """Stores the target status from a target update of a home."""
        now = self._clock.monotonic()
        self._load_of(update.target).update_status(update.report, now)

    def forget(self, service: str, targets: collections.abc.Set[str]) -> None:
        """Drops the load of removed targets, unless requests are running."""
        if self._work_times is not None:
            self._work_times.forget(service, targets)
        for name in targets:
            load = self._loads.get(name)
            if load is not None and not load.own_requests:
                del self._loads[name]

    def _load_of(self, target: str) -> _TargetLoad:
        known = self._loads.get(target)
        if known is None:
            known = self._loads[target] = _TargetLoad()
        return known


class Placement:
    """Chooses targets and counts this entry node's requests at each."""

    def __init__(
        self,
        locality: Locality,
        fleet: view.FleetView,
        floor_slots_of: FloorSlotsOf,
        clock: clocks.Clock,
        rng: random.Random,
        cross_region_bytes_per_second: float = CROSS_REGION_BYTES_PER_SECOND,
        floor_share_of: FloorShareOf = _default_floor_share,
        uses_measured_capacity: bool = False,
        links: link_traffic.LinkTraffic | None = None,
    ) -> None:
        """Starts with no load.

        Args:
          locality: Where this entry node is.
          fleet: The known nodes and targets.
          floor_slots_of: Returns a service's capacity floor, slots per region.
          clock: For circuit breakers, cooldowns and budgets.
          rng: For random choices.
          cross_region_bytes_per_second: Traffic budget for each other region.
          floor_share_of: Returns a service's capacity floor as a share of a
            region's slots, used where no number of slots is set.
          uses_measured_capacity: Whether to choose targets by the work times
            that homes report, instead of by their slots and latencies.
          links: The links that nodes share; None if they are not shared.
        """
        self._uses_measured_capacity = uses_measured_capacity
        # Incarnations of the targets that have announced that they are cold.
        self._cold_incarnations: dict[str, int] = {}
        self._links = links
        self._floor_share_of = floor_share_of
        self._locality = locality
        self._fleet = fleet
        self._floor_slots_of = floor_slots_of
        self._rng = rng
        self._clock = clock
        self._started = clock.monotonic()
        self._pools: dict[
            str, tuple[tuple[int, int, int], load_balancing.Pool]
        ] = {}
        # The latest incarnation of each target that has departed, by id.
        self._departures: dict[str, int] = {}
        self._departure_count = 0
        self._circuit_breakers = circuit_breakers.CircuitBreakers()
        self._cross_region_budget = cross_region.CrossRegionBudget(
            cross_region_bytes_per_second
        )
        self._slow_start = slow_start.SlowStart()
        self._loads = TargetLoads(
            clock,
            self._circuit_breakers,
            links
            if links is not None and links.limits_regions
            else self._cross_region_budget,
            self._slow_start,
            locality,
            target_capacity.WorkTimes() if uses_measured_capacity else None,
        )

    @property
    def locality(self) -> Locality:
        """The location of this entry node."""
        return self._locality

    @property
    def is_discovering(self) -> bool:
        """Whether live targets may exist that this node doesn't know yet."""
        return self._clock.monotonic() - self._started < DISCOVERY_TIME

    def choose(
        self, service: str, constraints: load_balancing.RequestConstraints
    ) -> records.TargetRecord | None:
        """Returns a target that the request can be sent to, or None."""
        pool = self._pool(service)
        links = self._links
        if links is not None and not links.begin(constraints.traffic):
            return None
        chosen = load_balancing.choose(
            pool, constraints, self._loads, self._rng
        )
        if chosen is None:
            return None
        if constraints.due_at is not None:
            self._loads.count_if_late(chosen, constraints.due_at)
        if links is not None:
            links.prepare(chosen, pool)
        return self._fleet.targets(service)[chosen.id]

    @property
    def late_counts(self) -> collections.abc.Mapping[str, int]:
        """Numbers of attempts expected to be late, by service."""
        return self._loads.late_counts

    def leaving_shares(self) -> dict[str, float]:
        """Returns the shares of requests that leave the zone, by service."""
        return self._loads.leaving_shares()

    def describe_traffic(
        self,
        prefix: str,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
    ) -> link_shares.Traffic | None:
        """Returns what a request sends over links, if they are shared."""
        if self._links is None:
            return None
        return self._links.describe(
            f"{head.service} {prefix}", head.queue_priority, len(body.buffered)
        )

    def on_link_share(
        self, callback: collections.abc.Callable[[], None]
    ) -> None:
        """Adds a callback for when this node gets a share of a link."""
        if self._links is not None:
            self._links.on_grant(callback)

    def record_start(
        self,
        record: records.TargetRecord,
        size: int = 0,
        traffic: link_shares.Traffic | None = None,
    ) -> None:
        """Counts a request sent to a target, with the bytes of its body."""
        self._charge_traffic(record, size)
        if self._links is not None:
            self._links.record_start(record, traffic)
        self._loads.record_start(record.id)
        self._circuit_breakers.record_start(
            record.home, self._clock.monotonic()
        )

    def record_end(
        self,
        record: records.TargetRecord,
        result: expression.Result[exchange.Response, exchange.Refusal] | None,
        latency: datetime.timedelta,
        traffic: link_shares.Traffic | None = None,
        *,
        was_sent: bool = True,
    ) -> None:
        """Records the end of a request; no result if it was cancelled."""
        self._loads.record_end(record.id)
        if self._links is not None:
            self._links.record_end(record, traffic, result, was_sent=was_sent)
        if result is None:
            return
        self._loads.record_result(record, result, latency)
        self._record_departure(record, result)
        if result.is_ok():
            self._charge_traffic(record, _body_size(result.ok))
        if result.is_error() and result.error.reason in _HOME_FAILURE_REASONS:
            self._circuit_breakers.record_failure(
                record.home, self._clock.monotonic()
            )
        else:
            self._circuit_breakers.record_success(record.home)

    def _record_departure(
        self,
        record: records.TargetRecord,
        result: expression.Result[exchange.Response, exchange.Refusal],
    ) -> None:
        """Remembers a target whose responses say that it is about to stop.

        Scenario: the target's home restarts and forgets the departure, and the
        target still announces itself as ready. Risk: requests go to the target
        when it stops, and are lost. So each entry node remembers the departure
        for as long as the target's incarnation lasts.
        """
        report = exchange.target_report(result)
        if report is None or not report.leaving_incarnation:
            return
        known = self._departures.pop(record.id, 0)
        self._departures[record.id] = max(known, report.leaving_incarnation)
        if report.leaving_incarnation > known:
            self._departure_count += 1
        if len(self._departures) > MAX_REMEMBERED_DEPARTURES:
            del self._departures[next(iter(self._departures))]

    def _has_departed(self, record: records.TargetRecord) -> bool:
        known = self._departures.get(record.id, 0)
        return 0 < record.target_incarnation <= known

    def apply_update(self, update: peer_updates.TargetUpdate) -> None:
        """Stores a home's target update if the target is known."""
        if self._fleet.find_target(update.target) is not None:
            self._loads.apply_update(update)

    def suspicion(self, target: str) -> float:
        """Returns the estimated probability that a target is unhealthy."""
        return self._loads.suspicion(target)

    def has_candidate(
        self, service: str, constraints: load_balancing.RequestConstraints
    ) -> bool:
        """Returns whether any target could take the request, given a slot."""
        return any(
            item.id not in constraints.excluded
            for tier in self._pool(service).tiers
            for item in tier
        )

    def admitted_slots(self, service: str) -> int:
        """Returns the slots of all targets that get regular traffic."""
        return self._pool(service).admitted_slots

    def _charge_traffic(self, record: records.TargetRecord, size: int) -> None:
        if record.region != self._locality.region:
            now = self._clock.monotonic()
            self._cross_region_budget.spend(
                record.region, size + HEADER_OVERHEAD_BYTES, now
            )

    def retry_after(self, minimum: datetime.timedelta) -> datetime.timedelta:
        """Returns a randomized Retry-After of one to three times the minimum.

        Without the jitter, callers that were refused together would retry
        together and be refused together again.
        """
        return minimum * self._rng.uniform(1, RETRY_AFTER_SPREAD)

    def _pool(self, service: str) -> load_balancing.Pool:
        """Returns the service's pool, rebuilt only when something changed.

        The cost per request must not grow with the number of targets: building
        a list of hundreds of targets for each request would exceed the time
        that the proxy may add to it.
        """
        floor_slots = self._floor_slots_of(service)
        version = (
            self._fleet.revision(service),
            floor_slots,
            self._departure_count,
        )
        known = self._pools.get(service)
        if known and known[0] == version:
            return known[1]
        candidates = [
            _candidate(record)
            for record in self._fleet.targets(service).values()
            if record.state is not records.State.DRAINING
            and not self._has_departed(record)
        ]
        pool = load_balancing.Pool.from_candidates(
            candidates,
            floor_slots,
            self._locality,
            self._floor_share_of(service),
        )
        if known is not None:
            removed = known[1].target_ids() - {item.id for item in candidates}
            self._loads.forget(service, removed)
            for name in removed:
                self._cold_incarnations.pop(name, None)
            self._slow_start.forget(removed)
            self._start_slow_starts(known[1], pool)
        if self._uses_measured_capacity:
            self._apply_cold_times(service)
        self._pools[service] = (version, pool)
        return pool

    def _apply_cold_times(self, service: str) -> None:
        """Starts and ends slow starts as targets announce them.

        Skipped if a large share of the service is cold, as after a restart of
        most of it: then all its slots are needed immediately.
        """
        targets = self._fleet.targets(service)
        cold = {name: item for name, item in targets.items() if item.cold_ms}
        for name in targets.keys() & self._cold_incarnations.keys():
            if name not in cold:
                del self._cold_incarnations[name]
                self._slow_start.forget((name,))
                self._loads.forget_work(service, name)
        if len(cold) > MAX_SLOW_START_SHARE * len(targets):
            return
        for name, item in cold.items():
            if self._cold_incarnations.get(name) == item.target_incarnation:
                continue
            self._cold_incarnations[name] = item.target_incarnation
            now = self._clock.monotonic()
            duration = item.cold_ms * _MILLISECOND
            self._slow_start.start(name, now, duration)
            self._loads.set_cold(name, now + duration)
            log.info(
                "target is cold",
                extra=logs.fields(target=name, cold_ms=item.cold_ms),
            )

    def _start_slow_starts(
        self, before: load_balancing.Pool, pool: load_balancing.Pool
    ) -> None:
        """Starts slow start for targets that are new to the pool.

        Skipped if they are a large share of the pool, as after the start of
        this node or a restart of most of the service: then all their slots are
        needed immediately. Targets that the capacity floor readmits are not
        among the pool's normal targets and are skipped, too: a slow start would
        take the capacity below the floor.
        """
        now = self._clock.monotonic()
        new_targets = pool.normal_target_ids() - before.target_ids()
        if len(new_targets) > MAX_SLOW_START_SHARE * len(pool.target_ids()):
            return
        for target in new_targets:
            self._slow_start.start(target, now)


def _body_size(response: exchange.Response) -> int:
    """Returns the size of a response's body, as far as its headers tell."""
    size = exchange.body_size(response)
    return len(response.body) if size is None else size


def _candidate(record: records.TargetRecord) -> capacity_floor.Candidate:
    return capacity_floor.Candidate(
        record.id,
        record.region,
        record.zone,
        record.slots,
        ejection.Status(record.health.value),
        home=record.home,
        service=record.service,
    )
