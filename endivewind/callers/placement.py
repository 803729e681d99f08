"""Chooses a target for a request from what this node knows of the fleet."""

import collections.abc
import datetime
import random

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.decisions import capacity_floor
from endivewind.decisions import circuit_breakers
from endivewind.decisions import cross_region
from endivewind.decisions import ejection
from endivewind.decisions import load_balancing
from endivewind.decisions import peer_updates
from endivewind.decisions import slow_start
from endivewind.decisions import suspicion
from endivewind.nodes import view
from endivewind.targets import records

Place = load_balancing.Locality
FloorOf = collections.abc.Callable[[str], int]
ShareOf = collections.abc.Callable[[str], float]

# A target that refused for want of room has some again when a part of its work
# has ended; asking it sooner is a wasted hop. Of the usual length of the work,
# and where that is not known:
REST_SHARE = 0.25
REST = datetime.timedelta(milliseconds=50)
# A target that sheds answers at once and so looks idle; without a rest it
# would draw the work of all.
SHED_REST = datetime.timedelta(milliseconds=250)
_SHED_STATUS = frozenset({429, 503})
# So does a home that no longer hands over to its target, until the news of it
# has come here: each of these answers took a hop and one of the placings that
# a request has.
_REST_LONGER = frozenset(
    {
        exchange.Reason.TARGET_FULL,
        exchange.Reason.STALE_HOME,
        exchange.Reason.STOPPING,
    }
)
_PATH_FAILURES = (exchange.Reason.HOME_LOST, exchange.Reason.HOME_UNREACHABLE)
# A region pair shares 4 Gbit/s each way; an entry's part of it where each
# region has some 250 nodes.
CROSS_REGION_BYTES = 2_000_000.0
# What headers and frames add to each direction of a request, about.
HEAD_BYTES = 500
# At most this share of a pool is on a ramp through one change.
RAMP_SHARE = 0.25
# When a refused caller may come back at the earliest.
LEAST_RETRY = datetime.timedelta(seconds=1)
RETRY_SPREAD = 3
# A node that has just started hears of every target that lives within this
# time: they announce themselves every second and a half or more often, and
# the news of it takes some hundred milliseconds.
SETTLING = datetime.timedelta(seconds=2)
_LATENCY_WEIGHT = 1 / 8
_FAILED_STATUS = 500
# What a home told of its load counts so long where nothing is known of the
# length of the work there; requests last some hundred milliseconds.
_GLANCE_LIFE = datetime.timedelta(milliseconds=300)
_NEVER_SECONDS = 86_400.0
# An older latency says nothing of the present. It is shorter where answers take
# milliseconds: a target that is left aside for one slow answer is asked again
# after a few times that answer's length.
_LATENCY_LIFE = datetime.timedelta(seconds=2)
_LIFE_IN_LATENCIES = 8


def _default_share(service: str) -> float:
    return capacity_floor.DEFAULT_FLOOR_SHARE


def _rest_after(
    result: expression.Result[exchange.Response, exchange.Refusal],
    usual: float,
) -> datetime.timedelta | None:
    """How long a target gets nothing after a result; None if it may at once.

    Args:
      result: of one request.
      usual: usual seconds of the service's answers; 0 is unknown.
    """
    if result.is_ok():
        return SHED_REST if result.ok.status in _SHED_STATUS else None
    if result.error.reason in _REST_LONGER and not result.error.moved_to:
        return SHED_REST
    if result.error.reason is exchange.Reason.BUSY:
        return max(REST, datetime.timedelta(seconds=REST_SHARE * usual))
    return None


class _TargetLoad:
    """What this entry has at one target, how it went, and what it was told."""

    __slots__ = (
        "heard",
        "in_use",
        "latency",
        "others",
        "rests_until",
        "slots",
        "suspicion",
        "told",
    )

    def __init__(self) -> None:
        self.in_use = 0
        self.latency = 0.0
        self.heard = datetime.timedelta()
        self.rests_until = datetime.timedelta()
        self.others = 0
        self.slots = 0
        self.suspicion = suspicion.PRIOR_SUSPICION
        self.told = -_GLANCE_LIFE

    def tell(
        self, glance: exchange.TargetStatus, now: datetime.timedelta
    ) -> None:
        """Takes what the home tells of the target."""
        self.others = max(0, glance.load - self.in_use)
        self.suspicion = glance.suspicion
        self.told = now

    def others_now(self, usual: float, now: datetime.timedelta) -> float:
        """What is left of the load that its home has told of.

        Load: targets that are full for seconds, with work of any length, and
        entries that send a request or two a second. Harm: an entry that takes
        them for idle again after a fixed time sends to full ones, one after
        the other, and its request is refused although it has time. At a full
        target as much has ended as its slots do in the usual time.

        Args:
          usual: usual seconds of the service's answers; 0 is unknown.
          now: the time.
        """
        age = now - self.told
        if not usual or not self.slots:
            return self.others if age < _GLANCE_LIFE else 0.0
        done = age.total_seconds() * self.slots / usual
        return max(0.0, self.others - done)

    def usual_seconds(self, now: datetime.timedelta) -> float:
        """Its usual latency; 0 where none is known of late."""
        life = datetime.timedelta(seconds=_LIFE_IN_LATENCIES * self.latency)
        fresh = now - self.heard < min(life, _LATENCY_LIFE)
        return self.latency if fresh else 0.0

    def take(
        self, seconds: float, usual: float, now: datetime.timedelta
    ) -> None:
        """Takes the latency of one answer.

        Load: a few requests a second and entry, work with a long tail. Harm:
        where an entry knows one latency of a target, the tail of one request
        made a healthy target look several times slower than the others, and
        it got nothing for as long as that was remembered. What is known
        starts at what is usual for the service, so that it takes several.
        """
        if not self.usual_seconds(now):
            self.latency = usual
        self.latency += _LATENCY_WEIGHT * (seconds - self.latency)
        self.heard = now


class Loads(load_balancing.Load):
    """This entry's work by target; only targets that it has used."""

    def __init__(
        self,
        clock: clocks.Clock,
        known: circuit_breakers.CircuitBreakers,
        budget: cross_region.CrossRegionBudget,
        ramps: slow_start.SlowStart,
    ) -> None:
        self._clock = clock
        self._ramps = ramps
        self._paths = known
        self._budget = budget
        self._loads: dict[str, _TargetLoad] = {}
        # Usual seconds of a service's answers.
        self._usual: dict[str, float] = {}

    def own_in_use(self, target: str) -> int:
        """Requests of this entry that are there now."""
        known = self._loads.get(target)
        return known.in_use if known else 0

    def in_use(self, item: capacity_floor.Candidate) -> float:
        """Requests that are there now: this entry's, and what it was told."""
        known = self._loads.get(item.id)
        if known is None:
            return 0
        known.slots = item.slots
        usual = self._usual.get(item.service, 0.0)
        return known.in_use + known.others_now(usual, self._clock.monotonic())

    def wait(self, item: capacity_floor.Candidate) -> float:
        """Seconds that a request would wait for one of its slots."""
        ahead = self.in_use(item) + 1 - item.slots
        usual = self.latency(item.id) or self._usual.get(item.service, 0.0)
        return max(0, ahead) * usual / item.slots

    def suspicion(self, target: str) -> float:
        """How likely it is sick."""
        known = self._loads.get(target)
        if known is None:
            return suspicion.PRIOR_SUSPICION
        age = self._clock.monotonic() - known.told
        return suspicion.decay(known.suspicion, age)

    def seconds_since_report(self, target: str) -> float:
        """Seconds since its home has told of it; a day where it never did."""
        known = self._loads.get(target)
        if known is None or known.told < datetime.timedelta():
            return _NEVER_SECONDS
        return (self._clock.monotonic() - known.told).total_seconds()

    def latency(self, target: str) -> float:
        """Usual latency in seconds; 0 where none is known of late."""
        known = self._loads.get(target)
        return known.usual_seconds(self._clock.monotonic()) if known else 0.0

    def slots(self, item: capacity_floor.Candidate) -> int:
        """Slots of it that this entry may use now."""
        return self._ramps.usable_slots(
            item.id, item.slots, self._clock.monotonic()
        )

    def has_traffic_budget(self, region: str) -> bool:
        """Whether the traffic budget allows work in another region."""
        return self._budget.allows(region, self._clock.monotonic())

    def is_cooling_down(self, target: str) -> bool:
        """Whether it refused work a moment ago."""
        known = self._loads.get(target)
        return known is not None and known.rests_until > self._clock.monotonic()

    def is_reachable(self, home: str) -> bool:
        """Whether the path from this entry to a home is open."""
        return self._paths.allows(home, self._clock.monotonic())

    def started(self, target: str) -> None:
        """Counts a request sent to a target."""
        self._of(target).in_use += 1

    def ended(self, target: str) -> None:
        """Counts the end of a request sent to a target."""
        self._of(target).in_use -= 1

    def learn(
        self,
        record: records.TargetRecord,
        result: expression.Result[exchange.Response, exchange.Refusal],
        latency: datetime.timedelta,
    ) -> None:
        """Takes how a request went, for the next choices.

        The latency of a failure says nothing: a sick target that fails at
        once would look like the fastest of all and draw the work.
        """
        usual = self._usual.get(record.service, 0.0)
        rest = _rest_after(result, usual)
        known = self._of(record.id)
        now = self._clock.monotonic()
        glance = (
            result.ok.target_status
            if result.is_ok()
            else result.error.target_status
        )
        if glance is not None:
            known.tell(glance, now)
        if rest is not None:
            known.rests_until = now + rest
        elif result.is_ok() and result.ok.status < _FAILED_STATUS:
            seconds = latency.total_seconds()
            usual = usual or seconds
            known.take(seconds, usual, now)
            usual += _LATENCY_WEIGHT * (seconds - usual)
            self._usual[record.service] = usual

    def hear(self, condition: peer_updates.TargetUpdate) -> None:
        """Takes what a home has told without being asked."""
        now = self._clock.monotonic()
        self._of(condition.target).tell(condition.status, now)

    def forget(self, targets: collections.abc.Iterable[str]) -> None:
        """Drops targets that the fleet no longer has, once they are idle."""
        for name in targets:
            load = self._loads.get(name)
            if load is not None and not load.in_use:
                del self._loads[name]

    def _of(self, target: str) -> _TargetLoad:
        known = self._loads.get(target)
        if known is None:
            known = self._loads[target] = _TargetLoad()
        return known


class Placement:
    """Feeds the placing decision and counts this entry's work."""

    def __init__(
        self,
        place: Place,
        fleet: view.FleetView,
        floor_of: FloorOf,
        clock: clocks.Clock,
        rng: random.Random,
        cross_region_bytes: float = CROSS_REGION_BYTES,
        share_of: ShareOf = _default_share,
    ) -> None:
        """Starts with no load.

        Args:
          place: where this entry is.
          fleet: what is known of the targets.
          floor_of: slots for each region that stay in use, by service.
          clock: for paths, rests and budgets.
          rng: for the choices.
          cross_region_bytes: a second, to each other region.
          share_of: share of a region's slots that stays in use, by service,
            where no slots are given.
        """
        self._share_of = share_of
        self._place = place
        self._fleet = fleet
        self._floor_of = floor_of
        self._rng = rng
        self._clock = clock
        self._started = clock.monotonic()
        self._pools: dict[str, tuple[tuple[int, int], load_balancing.Pool]] = {}
        self._paths = circuit_breakers.CircuitBreakers()
        self._crossing = cross_region.CrossRegionBudget(cross_region_bytes)
        self._ramps = slow_start.SlowStart()
        self._loads = Loads(clock, self._paths, self._crossing, self._ramps)

    @property
    def place(self) -> Place:
        """Where this entry is."""
        return self._place

    @property
    def is_settling(self) -> bool:
        """Whether targets may live of which this node has not heard yet."""
        return self._clock.monotonic() - self._started < SETTLING

    def choose(
        self, service: str, demand: load_balancing.Demand
    ) -> records.TargetRecord | None:
        """A target that may take the request, or None."""
        pool = self._pool(service)
        chosen = load_balancing.choose(pool, demand, self._loads, self._rng)
        return self._fleet.targets(service)[chosen.id] if chosen else None

    def started(self, record: records.TargetRecord, size: int = 0) -> None:
        """Takes note of a request, with its bytes, sent to a target."""
        self._spend(record, size)
        self._loads.started(record.id)
        self._paths.record_start(record.home, self._clock.monotonic())

    def ended(
        self,
        record: records.TargetRecord,
        result: expression.Result[exchange.Response, exchange.Refusal] | None,
        latency: datetime.timedelta,
    ) -> None:
        """Takes note of a request's end; None where its caller left."""
        self._loads.ended(record.id)
        if result is None:
            return
        self._loads.learn(record, result, latency)
        if result.is_ok():
            self._spend(record, _size(result.ok))
        if result.is_error() and result.error.reason in _PATH_FAILURES:
            self._paths.record_failure(record.home, self._clock.monotonic())
        else:
            self._paths.record_success(record.home)

    def hear(self, condition: peer_updates.TargetUpdate) -> None:
        """Takes what a home tells of a target that the fleet has."""
        if self._fleet.find_target(condition.target) is not None:
            self._loads.hear(condition)

    def suspicion(self, target: str) -> float:
        """How likely a target is sick, as far as this entry knows."""
        return self._loads.suspicion(target)

    def has_candidate(
        self, service: str, demand: load_balancing.Demand
    ) -> bool:
        """Whether any target could take the request once it has a slot."""
        return any(
            item.id not in demand.excluded
            for tier in self._pool(service).tiers
            for item in tier
        )

    def admitted_slots(self, service: str) -> int:
        """Slots of the targets that this entry may give normal work."""
        return self._pool(service).slots

    def _spend(self, record: records.TargetRecord, size: int) -> None:
        if record.region != self._place.region:
            now = self._clock.monotonic()
            self._crossing.spend(record.region, size + HEAD_BYTES, now)

    def come_back_after(self, least: datetime.timedelta) -> datetime.timedelta:
        """When a refused caller should come back.

        Spread over three times the least: callers that were refused together
        would else come back together, and be refused together again.
        """
        return least * self._rng.uniform(1, RETRY_SPREAD)

    def _pool(self, service: str) -> load_balancing.Pool:
        """The service's pool; made again only when something has changed.

        A request must not pay for the number of targets: at a service of
        hundreds, a list of them all for each request would take longer than
        the request is allowed to.
        """
        floor_slots = self._floor_of(service)
        version = (self._fleet.revision(service), floor_slots)
        known = self._pools.get(service)
        if known and known[0] == version:
            return known[1]
        candidates = [
            _candidate(record)
            for record in self._fleet.targets(service).values()
            if record.state is not records.State.DRAINING
        ]
        pool = load_balancing.Pool.from_candidates(
            candidates, floor_slots, self._place, self._share_of(service)
        )
        if known is not None:
            gone = known[1].targets() - {item.id for item in candidates}
            self._loads.forget(gone)
            self._ramps.forget(gone)
            self._start_ramps(known[1], pool)
        self._pools[service] = (version, pool)
        return pool

    def _start_ramps(
        self, before: load_balancing.Pool, pool: load_balancing.Pool
    ) -> None:
        """Ramps targets that are new to the pool.

        Not where they are many, as after a node's start or a restart of most
        of the service, and not where the floor has brought them back: then
        their slots are needed at once, and the floor must not be undercut.
        """
        now = self._clock.monotonic()
        fresh = pool.normal_targets() - before.targets()
        if len(fresh) > RAMP_SHARE * len(pool.targets()):
            return
        for target in fresh:
            self._ramps.start(target, now)


def _size(answer: exchange.Response) -> int:
    """Bytes of an answer's body, as far as its head tells them."""
    if answer.stream is None:
        return len(answer.body)
    for name, value in answer.headers:
        if name.lower() == b"content-length" and value.isdigit():
            return int(value)
    return len(answer.body)


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
