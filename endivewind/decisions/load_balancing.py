"""Load balancing: chooses the target that a request is sent to.

Targets are grouped into tiers by locality: the node's own availability zone,
its region, other regions. Each node uses a subset of every tier, chosen by
rendezvous hashing, and takes the better of two random targets (power of two
choices). `callers/placement.py` supplies the load and calls `choose`.
"""

import collections.abc
import dataclasses
import enum
import hashlib
import math
import random
from typing import Protocol

from endivewind.decisions import capacity_floor
from endivewind.decisions import ejection
from endivewind.decisions import suspicion

# Targets of a service that a node uses in each tier. Bounds the work per
# request and the number of connections for services of any size.
SUBSET_SIZE = 24
# One in this many idempotent requests goes to a target in trial, if any.
REQUESTS_PER_TRIAL = 20
_CROSS_REGION_TIER = 2
# A target counts as slower if its latency is at least this many times the
# other's.
SLOW_LATENCY_RATIO = 2
_CHOICE_COUNT = 2
# Suspicion above which a target is passed over for the next tier. A request
# that is not idempotent is lost if it fails, which costs more than the bytes
# to the next zone from a probability of about one in seven. An idempotent one
# costs a retry, which is worth it up to about even odds.
MAX_SUSPICION_NON_IDEMPOTENT = 0.15
MAX_SUSPICION_IDEMPOTENT = 0.5
# A request that is not idempotent leaves its region only where it would more
# likely than not be lost: traffic between regions is billed by volume, and such
# a request carries a body in addition to its response.
MAX_SUSPICION_CROSS_REGION = 0.6
# Cost of a suspicion of 1 when two targets of the same rank are compared, as
# a multiple of the load of a full target.
SUSPICION_COST_NON_IDEMPOTENT = 3.0
SUSPICION_COST_IDEMPOTENT = 0.5
# Share of its zone's idempotent requests that may probe a suspect target, one
# at a time, until its state is clear.
PROBE_SHARE = 0.5
# Minimum time since the last report on a target before a node probes it:
# otherwise all nodes of a zone that suspect it would probe it at once. Above
# PROBE_BACKOFF_THRESHOLD the interval grows with the suspicion to about one
# second, a fifth of the mean time that a target stays unhealthy.
PROBE_INTERVAL_SECONDS = 0.15
PROBE_BACKOFF_THRESHOLD = 0.4
PROBE_BACKOFF_SECONDS = 1.5


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
      trials: targets in trial, which get a few idempotent requests.
      slots: the sum over all admitted targets, including those outside this
        node's subset.
    """

    tiers: tuple[tuple[capacity_floor.Candidate, ...], ...]
    trials: tuple[capacity_floor.Candidate, ...]
    slots: int

    @classmethod
    def from_candidates(
        cls,
        candidates: collections.abc.Sequence[capacity_floor.Candidate],
        floor_slots: int,
        locality: Locality,
        share: float = capacity_floor.DEFAULT_FLOOR_SHARE,
    ) -> "Pool":
        """Applies the capacity floor and takes this node's subset."""
        admitted = capacity_floor.select_targets(candidates, floor_slots, share)
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

    def targets(self) -> set[str]:
        """Returns the ids of all targets that get this node's normal work."""
        return {item.id for tier in self.tiers for item in tier}

    def normal_targets(self) -> set[str]:
        """Returns the same without targets admitted only by the floor."""
        return {
            item.id
            for tier in self.tiers
            for item in tier
            if item.status is ejection.Status.NORMAL
        }


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request demands of the target it is sent to.

    Attributes:
      is_idempotent: whether it may run more than once, so that a failure at
        a target in trial does no harm.
      excluded: targets that it must not be sent to.
      max_wait: seconds that it may wait in the queue of a target in its zone or
        region rather than go to the next tier.
      may_probe: whether enough of the retry budget is left to send it to a
        target that is likely to fail.
      is_last: whether no other target may be tried after this one,
        because of its route or because the retry budget is spent.
    """

    is_idempotent: bool
    excluded: collections.abc.Set[str] = frozenset()
    max_wait: float = 0.0
    may_probe: bool = False
    is_last: bool = False

    @property
    def can_retry(self) -> bool:
        """Whether it can be retried at another target if it fails."""
        return self.is_idempotent and not self.is_last

    @property
    def max_suspicion(self) -> float:
        """The highest suspicion at which a target still counts as healthy."""
        return (
            MAX_SUSPICION_IDEMPOTENT
            if self.can_retry
            else MAX_SUSPICION_NON_IDEMPOTENT
        )

    @property
    def cross_region_suspicion(self) -> float:
        """Suspicion of targets in the region above which it leaves it."""
        return (
            self.max_suspicion
            if self.is_idempotent
            else MAX_SUSPICION_CROSS_REGION
        )


class Load(Protocol):
    """What the node knows of the load and health of its targets."""

    def in_use(self, item: capacity_floor.Candidate) -> float:
        """Estimates the number of requests running at a target."""

    def own_in_use(self, target: str) -> int:
        """Returns the number of this node's requests running at a target."""

    def latency(self, target: str) -> float:
        """Returns the usual latency in seconds; 0 if it is unknown."""

    def wait(self, item: capacity_floor.Candidate) -> float:
        """Estimates the seconds that a request would wait for a slot."""

    def suspicion(self, target: str) -> float:
        """Returns the probability that a target is unhealthy."""

    def seconds_since_report(self, target: str) -> float:
        """Returns the seconds since a target's home last reported on it."""

    def is_reachable(self, home: str) -> bool:
        """Whether the circuit breaker lets this node send to a home."""

    def slots(self, item: capacity_floor.Candidate) -> int:
        """Returns how many of a target's slots this node may use now."""

    def has_traffic_budget(self, region: str) -> bool:
        """Whether the cross-region traffic budget allows another request."""

    def is_cooling_down(self, target: str) -> bool:
        """Whether a target refused a request a moment ago."""


class _Rank(enum.IntEnum):
    """Preference of a target for a request; the lowest rank is taken.

    A free slot in the own zone costs nothing. A short wait there costs less
    than the bytes to another zone, and much less than those to another region.
    Only a target that is likely to fail is worse than a remote region. The
    last ranks serve requests that would otherwise be refused.
    """

    ZONE_FREE = 0
    ZONE_QUEUED = 1
    REGION_FREE = 2
    REGION_QUEUED = 3
    REGION_SUSPECT = 4
    REMOTE_FREE = 5
    REGION_UNHEALTHY = 6
    REMOTE_UNHEALTHY = 7
    UNREACHABLE = 8


# Ranks by number of tier.
_FREE = (_Rank.ZONE_FREE, _Rank.REGION_FREE, _Rank.REMOTE_FREE)
_QUEUED = (_Rank.ZONE_QUEUED, _Rank.REGION_QUEUED, None)
_SUSPECT = (_Rank.REGION_SUSPECT, _Rank.REGION_SUSPECT, _Rank.REMOTE_UNHEALTHY)
_UNHEALTHY = (
    _Rank.REGION_UNHEALTHY,
    _Rank.REGION_UNHEALTHY,
    _Rank.REMOTE_UNHEALTHY,
)
# The worst rank in each tier that no later tier can improve on.
_WORST_RANK_IN_TIER = (
    _Rank.ZONE_QUEUED,
    _Rank.REGION_QUEUED,
    _Rank.UNREACHABLE,
)


def choose(
    pool: Pool, demand: Demand, load: Load, rng: random.Random
) -> capacity_floor.Candidate | None:
    """Chooses the better of two random targets of the best rank.

    Load: many nodes choose among the same targets at the same time. Harm: if
    each took the least loaded one, all would take the same, above all a target
    that has just joined and is empty. The power of two choices spreads the
    requests and still avoids loaded, slow or suspect targets. If a tier has no
    capacity the next one is used: a remote response is better than none.

    Args:
      pool: the targets that this node uses.
      demand: what the request demands.
      load: the load and health of the targets.
      rng: source of the random choices.

    Returns:
      The target, or None if no target can take the request now.
    """
    if (
        demand.is_idempotent
        and pool.trials
        and not rng.randrange(REQUESTS_PER_TRIAL)
    ):
        tried = _choose_trial(pool.trials, demand, load, rng)
        if tried:
            return tried
    if demand.may_probe and rng.random() < PROBE_SHARE:
        probed = _choose_probe(pool.tiers[0], demand, load, rng)
        if probed:
            return probed
    best = _best_rank(pool.tiers, demand, load, rng)
    if best is None:
        return None
    rank, candidates = best
    if rank in _UNHEALTHY or rank in _SUSPECT:
        return min(candidates, key=lambda item: load.suspicion(item.id))
    return _least_cost(candidates[:_CHOICE_COUNT], demand, load)


def _best_rank(
    tiers: tuple[tuple[capacity_floor.Candidate, ...], ...],
    demand: Demand,
    load: Load,
    rng: random.Random,
) -> tuple[_Rank, list[capacity_floor.Candidate]] | None:
    """Finds the lowest rank of any target, and targets that have it.

    Stops at the first tier that no later tier can improve on, and stops
    scanning a tier once it has two targets with a free slot to choose from.
    """
    by_rank: dict[_Rank, list[capacity_floor.Candidate]] = {}
    for number, tier in enumerate(tiers):
        for item in _shuffled(tier, rng):
            rank = _target_rank(item, number, demand, load)
            if rank is not None:
                by_rank.setdefault(rank, []).append(item)
            if len(by_rank.get(_FREE[number], ())) == _CHOICE_COUNT:
                break
        if by_rank and min(by_rank) <= _WORST_RANK_IN_TIER[number]:
            break
    if not by_rank:
        return None
    rank = min(by_rank)
    return rank, by_rank[rank]


def _target_rank(
    item: capacity_floor.Candidate, tier: int, demand: Demand, load: Load
) -> _Rank | None:
    """Ranks a target for a request; None if it can't take the request."""
    if item.id in demand.excluded or load.is_cooling_down(item.id):
        return None
    free = load.in_use(item) < load.slots(item)
    can_start = free or 0 < load.wait(item) <= demand.max_wait
    affordable = tier != _CROSS_REGION_TIER or load.has_traffic_budget(
        item.region
    )
    if not (can_start and affordable):
        return None
    if not load.is_reachable(item.home):
        # If the paths to all homes have failed, trying one is better than
        # refusing the request.
        return _Rank.UNREACHABLE if free else None
    risk = load.suspicion(item.id)
    if risk > demand.cross_region_suspicion:
        return _UNHEALTHY[tier]
    if risk > demand.max_suspicion:
        return _SUSPECT[tier]
    return _FREE[tier] if free else _QUEUED[tier]


def _choose_probe(
    tier: tuple[capacity_floor.Candidate, ...],
    demand: Demand,
    load: Load,
    rng: random.Random,
) -> capacity_floor.Candidate | None:
    """Finds a suspect target of the zone to probe with this request.

    Load: requests that are not idempotent avoid a target after one failure.
    Harm: without requests nobody learns that it has recovered or was never
    unhealthy, and its capacity stays unused. Idempotent requests probe it, one
    at a time, and are retried elsewhere if they fail. The higher the suspicion
    the longer the interval between probes, since a probe of a target that is
    almost certainly unhealthy costs a retry and yields little information.
    """
    for item in _shuffled(tier, rng):
        risk = load.suspicion(item.id)
        excess = max(0.0, risk - PROBE_BACKOFF_THRESHOLD)
        interval = PROBE_INTERVAL_SECONDS + PROBE_BACKOFF_SECONDS * excess
        if risk < suspicion.SUSPECT_THRESHOLD or load.own_in_use(item.id):
            continue
        if load.seconds_since_report(item.id) < interval:
            continue
        rank = _target_rank(item, 0, demand, load)
        if rank in (
            _Rank.ZONE_FREE,
            _Rank.REGION_SUSPECT,
            _Rank.REGION_UNHEALTHY,
        ):
            return item
    return None


def _choose_trial(
    trials: tuple[capacity_floor.Candidate, ...],
    demand: Demand,
    load: Load,
    rng: random.Random,
) -> capacity_floor.Candidate | None:
    """Picks a random target in trial, if it is idle as far as is known."""
    item = rng.choice(trials)
    busy = load.in_use(item) or load.is_cooling_down(item.id)
    return None if busy or item.id in demand.excluded else item


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
    items: list[capacity_floor.Candidate], demand: Demand, load: Load
) -> capacity_floor.Candidate:
    """Returns the target with the lower cost: load plus suspicion.

    The cost is multiplied by the latency only if one target is clearly slower.
    Small differences are noise, and a target that is avoided because of them
    gets no requests that could update its latency.
    """
    weight = (
        SUSPICION_COST_IDEMPOTENT
        if demand.can_retry
        else SUSPICION_COST_NON_IDEMPOTENT
    )
    costs = [
        (load.in_use(item) + 1) / item.slots
        + weight * _excess_suspicion(item, load)
        for item in items
    ]
    latencies = [load.latency(item.id) for item in items]
    if min(latencies) > 0 and max(latencies) >= SLOW_LATENCY_RATIO * min(
        latencies
    ):
        costs = [
            cost * seconds
            for cost, seconds in zip(costs, latencies, strict=True)
        ]
    return items[costs.index(min(costs))]


def _excess_suspicion(item: capacity_floor.Candidate, load: Load) -> float:
    """Returns the suspicion above that of a target without any reports.

    Load: few requests, and most targets idle; some of them have recent
    successes. Harm: if a suspicion below the prior counted in favour of a
    target, those with successes would always win over one that has just joined
    or has long been idle, which would never get a request to succeed with.
    """
    return max(0.0, load.suspicion(item.id) - suspicion.PRIOR_SUSPICION)


def _tier_number(locality: Locality, item: capacity_floor.Candidate) -> int:
    if item.region != locality.region:
        return 2
    return 0 if item.zone == locality.zone else 1


def _subset(
    items: list[capacity_floor.Candidate], node: str
) -> tuple[capacity_floor.Candidate, ...]:
    """Chooses a stable subset of targets for a node by rendezvous hashing.

    A target that joins or leaves changes each subset by one target at most,
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
