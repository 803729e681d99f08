"""Load balancing: chooses the target that a request is sent to.

Targets are grouped into tiers by locality: the node's own availability zone,
its region, other regions. Each node uses a subset of every tier, chosen by
rendezvous hashing, and takes the better of two random targets (power of two
choices). `callers/placement.py` implements `TargetInfo` and calls `choose`.
"""

import collections.abc
import dataclasses
import datetime
import enum
import hashlib
import math
import random
from typing import Protocol

from endivewind.decisions import capacity_floor
from endivewind.decisions import ejection
from endivewind.decisions import link_shares
from endivewind.decisions import suspicion
from endivewind.decisions import target_capacity

# Targets of a service that a node uses in each tier. Bounds the work per
# request and the number of connections for services of any size.
SUBSET_SIZE = 24
# One in this many idempotent requests goes to a target in trial, if there is
# one.
REQUESTS_PER_TRIAL_REQUEST = 20
Tiers = tuple[tuple[capacity_floor.Candidate, ...], ...]
_CROSS_REGION_TIER = 2
# A target counts as slower if its latency is at least this many times the
# other's.
SLOW_LATENCY_RATIO = 2
_CHOICE_COUNT = 2
# Suspicion above which a target is passed over for the next tier. A request
# that is not idempotent is lost if it fails: at a target that is unhealthy with
# a probability above about one in seven, the expected loss costs more than the
# traffic to the next zone. `exchange.DEFAULT_MAX_SUSPICION` is the limit at
# which the target's home refuses such a request after all. An idempotent
# request that fails costs only a retry, which is worth the risk up to about
# even odds.
MAX_SUSPICION_NON_IDEMPOTENT = 0.15
MAX_SUSPICION_IDEMPOTENT = 0.5
# A request that is not idempotent leaves its region only if the targets there
# are more likely unhealthy than healthy, so that about four in ten such
# requests would be lost. Traffic between regions is billed by volume, and such
# a request carries a body in addition to its response.
MAX_SUSPICION_CROSS_REGION = 0.6
# Weight of the suspicion when two targets of the same rank are compared. The
# cost of a target is its share of used slots plus this weight times its
# suspicion.
SUSPICION_COST_NON_IDEMPOTENT = 3.0
SUSPICION_COST_IDEMPOTENT = 0.5
# Share of this node's idempotent requests that may probe a suspect target of
# its zone. A node sends a suspect target one probe at a time, until its state
# is clear.
PROBE_SHARE = 0.5
# Minimum time since the last report on a target before a node probes it:
# otherwise all nodes of a zone that suspect it would probe it at once. For each
# unit of suspicion above PROBE_BACKOFF_THRESHOLD the interval grows by
# PROBE_BACKOFF_SECONDS_PER_SUSPICION, to about one second at most, a fifth of
# the mean time that a target stays unhealthy.
PROBE_INTERVAL_SECONDS = 0.15
PROBE_BACKOFF_THRESHOLD = 0.4
PROBE_BACKOFF_SECONDS_PER_SUSPICION = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Locality:
    """The location of a node, used to prefer targets near it."""

    node: str
    region: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """The targets of a service that one node uses.

    Built anew for each version of the fleet's view.

    Attributes:
      tiers: targets in the node's zone, in the rest of its region, and in
        other regions.
      trial_targets: targets in trial, which get a few idempotent requests.
      admitted_slots: slots of all targets that the capacity floor admits,
        including those outside this node's subset.
    """

    tiers: tuple[tuple[capacity_floor.Candidate, ...], ...]
    trial_targets: tuple[capacity_floor.Candidate, ...]
    admitted_slots: int

    @classmethod
    def from_candidates(
        cls,
        candidates: collections.abc.Sequence[capacity_floor.Candidate],
        floor_slots: int,
        locality: Locality,
        floor_share: float = capacity_floor.DEFAULT_FLOOR_SHARE,
    ) -> "Pool":
        """Applies the capacity floor and takes this node's subset.

        Args:
          candidates: the targets of the service.
          floor_slots: minimum number of slots per region; 0 to use
            `floor_share`.
          locality: the location of this node.
          floor_share: minimum share of a region's slots, if `floor_slots` is 0.
        """
        admitted = capacity_floor.select_targets(
            candidates, floor_slots, floor_share
        )
        admitted_ids = {item.id for item in admitted}
        trials = [
            item
            for item in candidates
            if item.status is ejection.Status.TRIAL
            and item.id not in admitted_ids
        ]
        tiers: tuple[list[capacity_floor.Candidate], ...] = ([], [], [])
        for item in admitted:
            tiers[_tier_number(locality, item)].append(item)
        return cls(
            tuple(_subset(tier, locality.node) for tier in tiers),
            _subset(trials, locality.node),
            sum(item.slots for item in admitted),
        )

    def target_ids(self) -> set[str]:
        """Returns the ids of all targets in the tiers, of any status."""
        return {item.id for tier in self.tiers for item in tier}

    def normal_target_ids(self) -> set[str]:
        """Returns the ids of the targets in the tiers with status NORMAL."""
        return {
            item.id
            for tier in self.tiers
            for item in tier
            if item.status is ejection.Status.NORMAL
        }


@dataclasses.dataclass(frozen=True, slots=True)
class RequestConstraints:
    """What limits the choice of a target for one request.

    Attributes:
      is_idempotent: whether it may run more than once, so that a failure at
        a target in trial does no harm.
      excluded: targets that it must not be sent to.
      max_wait: seconds that it may wait in the queue of a target in its zone or
        region rather than go to the next tier.
      may_probe: whether enough of the retry budget is left to send it to a
        target that is likely to fail.
      is_last_attempt: whether no other target may be tried after this one,
        because of its route or because the retry budget is spent.
      due_at: when its caller wants the response, on the monotonic clock; None
        if unknown.
      traffic: what it sends over links; None if links are not shared.
    """

    is_idempotent: bool
    excluded: collections.abc.Set[str] = frozenset()
    max_wait: float = 0.0
    may_probe: bool = False
    is_last_attempt: bool = False
    due_at: datetime.timedelta | None = None
    traffic: link_shares.Traffic | None = None

    @property
    def can_retry(self) -> bool:
        """Whether it can be retried at another target if it fails."""
        return self.is_idempotent and not self.is_last_attempt

    @property
    def max_suspicion(self) -> float:
        """The highest suspicion at which a target still counts as healthy."""
        return (
            MAX_SUSPICION_IDEMPOTENT
            if self.can_retry
            else MAX_SUSPICION_NON_IDEMPOTENT
        )

    @property
    def cross_region_threshold(self) -> float:
        """Suspicion above which a target ranks after other regions' targets."""
        return (
            self.max_suspicion
            if self.is_idempotent
            else MAX_SUSPICION_CROSS_REGION
        )


class TargetInfo(Protocol):
    """What this node knows of its targets, such as load and health."""

    def in_use(self, item: capacity_floor.Candidate) -> float:
        """Estimates the number of requests running at a target."""

    def own_in_use(self, target: str) -> int:
        """Returns the number of this node's requests running at a target."""

    def latency(self, target: str) -> float:
        """Returns the usual latency in seconds; 0 if it is unknown."""

    def wait(self, item: capacity_floor.Candidate) -> float:
        """Estimates the seconds until a slot of a target is free.

        Returns 0 if a slot is free, or if the usual latency is unknown and the
        time can't be estimated.
        """

    def suspicion(self, target: str) -> float:
        """Returns the probability that a target is unhealthy."""

    def seconds_since_report(self, target: str) -> float:
        """Returns the seconds since a target's home last reported on it."""

    def is_reachable(self, home: str) -> bool:
        """Whether the circuit breaker lets this node send to a home."""

    def usable_slots(self, item: capacity_floor.Candidate) -> int:
        """Returns how many slots this node may use now (slow start)."""

    def has_traffic_budget(self, region: str) -> bool:
        """Whether the cross-region traffic budget allows another request."""

    def is_cooling_down(self, target: str) -> bool:
        """Whether a target refused a request a moment ago."""

    def measured_capacity(
        self, tier: tuple[capacity_floor.Candidate, ...]
    ) -> target_capacity.TierCapacity | None:
        """Returns the capacities of a tier; None if they aren't measured."""
        return None

    def ordered_tiers(self, tiers: Tiers, rng: random.Random) -> Tiers:
        """Returns the tiers in the order in which a request searches them."""
        return tiers

    def work(self, item: capacity_floor.Candidate) -> float:
        """Returns the measured work time in seconds; 0 if it isn't known."""
        return 0.0

    def seconds_left(self, due_at: datetime.timedelta) -> float:
        """Returns the seconds until a time."""
        return math.inf


class _Rank(enum.IntEnum):
    """Preference of a target for a request; the lowest rank is taken.

    ZONE is the node's own zone, REGION the rest of its region, NEARBY both of
    them, and REMOTE other regions.
    A free slot in the own zone costs nothing. A short wait there costs less
    than the bytes to another zone, and much less than those to another region.
    A target of the own region ranks after remote ones only if its suspicion is
    above `RequestConstraints.cross_region_threshold`. A target whose response
    would be late ranks after those of all regions that can respond in time. The
    last ranks serve requests that would otherwise be refused.
    """

    ZONE_FREE = 0
    ZONE_QUEUED = 1
    REGION_FREE = 2
    REGION_QUEUED = 3
    NEARBY_SUSPECT = 4
    REMOTE_FREE = 5
    NEARBY_LATE = 6
    REMOTE_LATE = 7
    NEARBY_UNHEALTHY = 8
    REMOTE_UNHEALTHY = 9
    UNREACHABLE = 10


# Ranks by number of tier.
_FREE = (_Rank.ZONE_FREE, _Rank.REGION_FREE, _Rank.REMOTE_FREE)
_QUEUED = (_Rank.ZONE_QUEUED, _Rank.REGION_QUEUED, None)
_LATE = (_Rank.NEARBY_LATE, _Rank.NEARBY_LATE, _Rank.REMOTE_LATE)
_SUSPECT = (_Rank.NEARBY_SUSPECT, _Rank.NEARBY_SUSPECT, _Rank.REMOTE_UNHEALTHY)
_UNHEALTHY = (
    _Rank.NEARBY_UNHEALTHY,
    _Rank.NEARBY_UNHEALTHY,
    _Rank.REMOTE_UNHEALTHY,
)
# The search stops at a tier where a target of this rank or a better one was
# found, since no later tier can improve on it.
_SEARCH_STOP_RANKS = (
    _Rank.ZONE_QUEUED,
    _Rank.REGION_QUEUED,
    _Rank.UNREACHABLE,
)


def choose(
    pool: Pool,
    constraints: RequestConstraints,
    info: TargetInfo,
    rng: random.Random,
) -> capacity_floor.Candidate | None:
    """Chooses the better of two random targets of the best rank.

    Scenario: many nodes choose among the same targets at the same time. Risk:
    if each took the least loaded one, all would take the same, above all a
    target that has just joined and is empty. The power of two choices spreads
    the requests and still avoids loaded, slow or suspect targets. If a tier has
    no capacity the next one is used: a remote response is better than none.

    Args:
      pool: the targets that this node uses.
      constraints: what limits the choice for this request.
      info: the load and health of the targets.
      rng: source of the random choices.

    Returns:
      The target, or None if no target can take the request now.
    """
    if (
        constraints.is_idempotent
        and pool.trial_targets
        and not rng.randrange(REQUESTS_PER_TRIAL_REQUEST)
    ):
        tried = _choose_trial(pool.trial_targets, constraints, info, rng)
        if tried:
            return tried
    if constraints.may_probe and rng.random() < PROBE_SHARE:
        probed = _choose_probe(pool.tiers[0], constraints, info, rng)
        if probed:
            return probed
    tiers = info.ordered_tiers(pool.tiers, rng)
    best = _best_rank(tiers, constraints, info, rng)
    if best is None:
        return None
    rank, candidates = best
    if rank in _UNHEALTHY or rank in _SUSPECT:
        return min(candidates, key=lambda item: info.suspicion(item.id))
    if rank in _LATE:
        return min(candidates, key=lambda item: _completion(item, info))
    return _least_cost(candidates[:_CHOICE_COUNT], constraints, info)


def _best_rank(
    tiers: tuple[tuple[capacity_floor.Candidate, ...], ...],
    constraints: RequestConstraints,
    info: TargetInfo,
    rng: random.Random,
) -> tuple[_Rank, list[capacity_floor.Candidate]] | None:
    """Finds the lowest rank of any target, and targets that have it.

    Stops at the first tier that no later tier can improve on, and stops
    scanning a tier once it has two targets with a free slot to choose from.
    """
    by_rank: dict[_Rank, list[capacity_floor.Candidate]] = {}
    time_limit = _time_limit(tiers, constraints, info)
    is_limited = time_limit < math.inf
    for number, tier in enumerate(tiers):
        for item in _in_random_order(tier, info, rng):
            rank = _target_rank(item, number, constraints, info)
            if rank is not None:
                if is_limited and _completion(item, info) > time_limit:
                    rank = _late_rank(rank, number)
                by_rank.setdefault(rank, []).append(item)
            if len(by_rank.get(_FREE[number], ())) == _CHOICE_COUNT:
                break
        if by_rank and min(by_rank) <= _SEARCH_STOP_RANKS[number]:
            break
    if not by_rank:
        return None
    rank = min(by_rank)
    return rank, by_rank[rank]


def _time_limit(
    tiers: tuple[tuple[capacity_floor.Candidate, ...], ...],
    constraints: RequestConstraints,
    info: TargetInfo,
) -> float:
    """Returns the expected completion time above which a target is too slow.

    Infinite if not even the fastest idle target could respond in time: then the
    search would visit all tiers for each request and gain nothing.
    """
    if constraints.due_at is None:
        return math.inf
    least = math.inf
    for tier in tiers:
        capacity = info.measured_capacity(tier)
        if capacity is not None:
            least = min(least, capacity.least_work)
    if least == math.inf:
        return math.inf
    limit = (
        info.seconds_left(constraints.due_at)
        / target_capacity.TIME_LIMIT_MARGIN
    )
    return limit if least <= limit else math.inf


def _completion(item: capacity_floor.Candidate, info: TargetInfo) -> float:
    """Estimates the seconds until a target has completed a request."""
    return info.wait(item) + info.work(item)


def _late_rank(rank: _Rank, tier: int) -> _Rank:
    """Returns the rank of a target whose response would be late."""
    if rank is _Rank.NEARBY_SUSPECT:
        return _UNHEALTHY[tier]
    return max(rank, _LATE[tier])


def _in_random_order(
    tier: tuple[capacity_floor.Candidate, ...],
    info: TargetInfo,
    rng: random.Random,
) -> collections.abc.Iterator[capacity_floor.Candidate]:
    """Yields each target of a tier once, by measured capacity if known."""
    capacity = info.measured_capacity(tier)
    if capacity is None:
        return _shuffled(tier, rng)
    return capacity.in_random_order(rng)


def _target_rank(
    item: capacity_floor.Candidate,
    tier: int,
    constraints: RequestConstraints,
    info: TargetInfo,
) -> _Rank | None:
    """Ranks a target for a request; None if it can't take the request."""
    if item.id in constraints.excluded or info.is_cooling_down(item.id):
        return None
    free = info.in_use(item) < info.usable_slots(item)
    can_start = free or 0 < info.wait(item) <= constraints.max_wait
    affordable = tier != _CROSS_REGION_TIER or info.has_traffic_budget(
        item.region
    )
    if not (can_start and affordable):
        return None
    if not info.is_reachable(item.home):
        # If the paths to all homes have failed, trying one is better than
        # refusing the request.
        return _Rank.UNREACHABLE if free else None
    risk = info.suspicion(item.id)
    if risk > constraints.cross_region_threshold:
        return _UNHEALTHY[tier]
    if risk > constraints.max_suspicion:
        return _SUSPECT[tier]
    return _FREE[tier] if free else _QUEUED[tier]


def _choose_probe(
    tier: tuple[capacity_floor.Candidate, ...],
    constraints: RequestConstraints,
    info: TargetInfo,
    rng: random.Random,
) -> capacity_floor.Candidate | None:
    """Finds a suspect target of the zone to probe with this request.

    Scenario: requests that are not idempotent avoid a target after one failure.
    Risk: without requests nobody learns that it has recovered or was never
    unhealthy, and its capacity stays unused. Idempotent requests probe it, one
    at a time, and are retried elsewhere if they fail. The higher the suspicion
    the longer the interval between probes, since a probe of a target that is
    almost certainly unhealthy costs a retry and yields little information.
    """
    for item in _shuffled(tier, rng):
        risk = info.suspicion(item.id)
        excess = max(0.0, risk - PROBE_BACKOFF_THRESHOLD)
        interval = (
            PROBE_INTERVAL_SECONDS
            + PROBE_BACKOFF_SECONDS_PER_SUSPICION * excess
        )
        if risk < suspicion.SUSPECT_THRESHOLD or info.own_in_use(item.id):
            continue
        if info.seconds_since_report(item.id) < interval:
            continue
        rank = _target_rank(item, 0, constraints, info)
        if rank in (
            _Rank.ZONE_FREE,
            _Rank.NEARBY_SUSPECT,
            _Rank.NEARBY_UNHEALTHY,
        ):
            return item
    return None


def _choose_trial(
    trials: tuple[capacity_floor.Candidate, ...],
    constraints: RequestConstraints,
    info: TargetInfo,
    rng: random.Random,
) -> capacity_floor.Candidate | None:
    """Picks a random target in trial, if it is idle as far as is known."""
    item = rng.choice(trials)
    busy = info.in_use(item) or info.is_cooling_down(item.id)
    return None if busy or item.id in constraints.excluded else item


def _shuffled(
    tier: tuple[capacity_floor.Candidate, ...], rng: random.Random
) -> collections.abc.Iterator[capacity_floor.Candidate]:
    """Yields each target of a tier once, in a cheap random order."""
    size = len(tier)
    if not size:
        return
    # A step that is coprime to the size visits each target exactly once.
    start = rng.randrange(size)
    step = _random_coprime(size, rng)
    for number in range(size):
        yield tier[(start + number * step) % size]


def _random_coprime(size: int, rng: random.Random) -> int:
    if size < 3:
        return 1
    while True:
        step = rng.randrange(1, size)
        if math.gcd(step, size) == 1:
            return step


def _least_cost(
    items: list[capacity_floor.Candidate],
    constraints: RequestConstraints,
    info: TargetInfo,
) -> capacity_floor.Candidate:
    """Returns the target with the lower cost: load plus suspicion.

    The cost is multiplied by the latency only if one target is clearly slower.
    Small differences are noise, and a target that is avoided because of them
    gets no requests that could update its latency. It is not multiplied if work
    times are measured: then the candidates were already drawn by capacity.
    """
    weight = (
        SUSPICION_COST_IDEMPOTENT
        if constraints.can_retry
        else SUSPICION_COST_NON_IDEMPOTENT
    )
    costs = [
        (info.in_use(item) + 1) / item.slots
        + weight * _excess_suspicion(item, info)
        for item in items
    ]
    if any(info.work(item) for item in items):
        return items[costs.index(min(costs))]
    latencies = [info.latency(item.id) for item in items]
    if min(latencies) > 0 and max(latencies) >= SLOW_LATENCY_RATIO * min(
        latencies
    ):
        costs = [
            cost * seconds
            for cost, seconds in zip(costs, latencies, strict=True)
        ]
    return items[costs.index(min(costs))]


def _excess_suspicion(
    item: capacity_floor.Candidate, info: TargetInfo
) -> float:
    """Returns the suspicion above that of a target without any reports.

    Scenario: few requests, and most targets idle; some of them have recent
    successes. Risk: if a suspicion below the prior counted in favour of a
    target, those with successes would always win over one that has just joined
    or has long been idle, which would never get a request to succeed with.
    """
    return max(0.0, info.suspicion(item.id) - suspicion.PRIOR_SUSPICION)


def _tier_number(locality: Locality, item: capacity_floor.Candidate) -> int:
    if item.region != locality.region:
        return 2
    return 0 if item.zone == locality.zone else 1


def _subset(
    items: list[capacity_floor.Candidate], node: str
) -> tuple[capacity_floor.Candidate, ...]:
    """Chooses a stable subset of targets for a node by rendezvous hashing.

    A target that joins or departs changes each subset by one target at most,
    and each target is in about as many subsets as any other.
    """
    if len(items) <= SUBSET_SIZE:
        return tuple(items)
    return tuple(
        sorted(items, key=lambda item: _rendezvous_hash(node, item.id))[
            :SUBSET_SIZE
        ]
    )


def _rendezvous_hash(node: str, target: str) -> bytes:
    return hashlib.blake2b(f"{node} {target}".encode(), digest_size=8).digest()
