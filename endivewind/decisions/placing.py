"""Places a request at one of the targets of its service."""

import collections.abc
import dataclasses
import enum
import hashlib
import math
import random
from typing import Protocol

from endivewind.decisions import ejection
from endivewind.decisions import floor
from endivewind.decisions import suspicion

# An entry uses this many targets of a service in each tier. It bounds the
# work for a request, and the connections, at services of any size.
SUBSET = 24
# One request in so many goes to a target in trial, while there is one.
TRIAL_EVERY = 20
_FAR = 2
# A latency that is so many times another's says that a target is slower.
CLEARLY = 2
_CHOICES = 2
# How likely a target may be sick before work goes past it to the next tier.
# What must not repeat is lost with it, and worth more than the bytes to the
# next zone from about one in seven on; what may be repeated costs a retry,
# which pays up to about even odds.
RISK_ONCE = 0.15
RISK_REPEATABLE = 0.5
# What must not repeat goes past its whole region only where it would likelier
# be lost than not: bytes between regions are paid for by volume, and it brings
# a body besides its answer.
RISK_FAR = 0.6
# Between two good ones, this much of a slot's load for a sure sickness.
DOUBT_ONCE = 3.0
DOUBT_REPEATABLE = 0.5
# A target in doubt gets every other repeatable request of its zone, one at a
# time, until it is clear.
PROBE_SHARE = 0.5
# Seconds between an entry's questions: entries of a zone that all doubt one
# target would else send at once. Above even odds they grow to one second, a
# fifth of what a spell of sickness lasts.
PROBE_GAP = 0.15
PROBE_AT_ONCE = 0.4
PROBE_GAP_SURE = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where an entry is, for placing near it."""

    node: str
    region: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Where one entry places a service's work, made anew for each view.

    Attributes:
      tiers: targets of the entry's zone, of its region, and elsewhere.
      trials: targets that get a few idempotent requests.
      slots: of all admitted targets, this entry's subset or not.
    """

    tiers: tuple[tuple[floor.Candidate, ...], ...]
    trials: tuple[floor.Candidate, ...]
    slots: int

    @classmethod
    def from_candidates(
        cls,
        candidates: collections.abc.Sequence[floor.Candidate],
        floor_slots: int,
        place: Place,
        share: float = floor.DEFAULT_SHARE,
    ) -> "Pool":
        """Applies the floor and takes this entry's subset."""
        kept = floor.admitted(candidates, floor_slots, share)
        names = {item.id for item in kept}
        trials = [
            item
            for item in candidates
            if item.status is ejection.Status.TRIAL and item.id not in names
        ]
        tiers: tuple[list[floor.Candidate], ...] = ([], [], [])
        for item in kept:
            tiers[_distance(place, item)].append(item)
        return cls(
            tuple(_subset(tier, place.node) for tier in tiers),
            _subset(trials, place.node),
            sum(item.slots for item in kept),
        )

    def targets(self) -> set[str]:
        """Those that may get normal work of this entry."""
        return {item.id for tier in self.tiers for item in tier}

    def normal_targets(self) -> set[str]:
        """The same without those that only the floor has brought back."""
        return {
            item.id
            for tier in self.tiers
            for item in tier
            if item.status is ejection.Status.NORMAL
        }


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request asks of its place.

    Attributes:
      repeatable: whether it may run again, so that a trial can do no harm.
      excluded: targets that it must not go to.
      patience: seconds that it may wait in a near target's queue rather than
        go to one that is farther away.
      may_probe: whether the retries left allow it to be sent where it may
        well fail.
      is_last: whether no other target may be tried after this one, by its
        route or because retries are used up.
    """

    repeatable: bool
    excluded: collections.abc.Set[str] = frozenset()
    patience: float = 0.0
    may_probe: bool = False
    is_last: bool = False

    @property
    def may_fail(self) -> bool:
        """Whether another target can still make up for a failure."""
        return self.repeatable and not self.is_last

    @property
    def risk(self) -> float:
        """How likely a target may be sick to count as a good one."""
        return RISK_REPEATABLE if self.may_fail else RISK_ONCE

    @property
    def far_risk(self) -> float:
        """How likely one near by may be sick before it goes far instead."""
        return self.risk if self.repeatable else RISK_FAR


class Load(Protocol):
    """What the entry knows of its targets' load."""

    def in_use(self, item: floor.Candidate) -> float:
        """Requests that are there now, as far as this entry knows."""

    def own(self, target: str) -> int:
        """Requests of this entry that are there now."""

    def latency(self, target: str) -> float:
        """Usual latency in seconds; 0 where nothing is known."""

    def wait(self, item: floor.Candidate) -> float:
        """Seconds that a request would wait for one of its slots."""

    def suspicion(self, target: str) -> float:
        """How likely it is sick."""

    def told_ago(self, target: str) -> float:
        """Seconds since its home has told of it."""

    def reaches(self, home: str) -> bool:
        """Whether the path from this entry to a home is open."""

    def slots(self, item: floor.Candidate) -> int:
        """Slots of it that this entry may use now."""

    def affords(self, region: str) -> bool:
        """Whether the traffic budget allows work in another region."""

    def is_resting(self, target: str) -> bool:
        """Whether it refused work a moment ago."""


class _Rank(enum.IntEnum):
    """How good a place is; the lowest rank that any target has is taken.

    A slot in the own zone costs nothing; a short wait there costs less than
    the bytes to another zone, and much less than those to another region.
    Only what is likely to fail is worse than a far region. The last ranks
    are for what would else be refused.
    """

    ZONE_FREE = 0
    ZONE_QUEUED = 1
    REGION_FREE = 2
    REGION_QUEUED = 3
    NEAR_DOUBTFUL = 4
    FAR_FREE = 5
    NEAR_RISKY = 6
    FAR_RISKY = 7
    CUT = 8


_FREE = (_Rank.ZONE_FREE, _Rank.REGION_FREE, _Rank.FAR_FREE)
_QUEUED = (_Rank.ZONE_QUEUED, _Rank.REGION_QUEUED, None)
_DOUBTFUL = (_Rank.NEAR_DOUBTFUL, _Rank.NEAR_DOUBTFUL, _Rank.FAR_RISKY)
_RISKY = (_Rank.NEAR_RISKY, _Rank.NEAR_RISKY, _Rank.FAR_RISKY)
# The worst rank that beats anything which the next tiers may have.
_LAST_NEAR = (_Rank.ZONE_QUEUED, _Rank.REGION_QUEUED, _Rank.CUT)


def choose(
    pool: Pool, demand: Demand, load: Load, rng: random.Random
) -> floor.Candidate | None:
    """Takes the better of two random candidates of the best rank.

    Load: many entries place at the same targets at once. Harm: if each took
    the least loaded, all would take the same one, first of all a target that
    has just come and is empty. Two random choices spread the work and still
    avoid a loaded, slow or doubtful target. A tier that has no room is left
    for the next one, since a far answer beats none.
    """
    if demand.repeatable and pool.trials and not rng.randrange(TRIAL_EVERY):
        tried = _trial(pool.trials, demand, load, rng)
        if tried:
            return tried
    if demand.may_probe and rng.random() < PROBE_SHARE:
        probed = _probe(pool.tiers[0], demand, load, rng)
        if probed:
            return probed
    found = _best(pool.tiers, demand, load, rng)
    if found is None:
        return None
    rank, same = found
    if rank in _RISKY or rank in _DOUBTFUL:
        return min(same, key=lambda item: load.suspicion(item.id))
    return _better(same[:_CHOICES], demand, load)


def _best(
    tiers: tuple[tuple[floor.Candidate, ...], ...],
    demand: Demand,
    load: Load,
    rng: random.Random,
) -> tuple[_Rank, list[floor.Candidate]] | None:
    """The lowest rank that any target has, and targets that have it.

    A tier is looked at only where none before it has what it could offer at
    best, and no longer than until there are enough to choose from.
    """
    found: dict[_Rank, list[floor.Candidate]] = {}
    for number, tier in enumerate(tiers):
        for item in _in_random_order(tier, rng):
            rank = _rank_of(item, number, demand, load)
            if rank is not None:
                found.setdefault(rank, []).append(item)
            if len(found.get(_FREE[number], ())) == _CHOICES:
                break
        if found and min(found) <= _LAST_NEAR[number]:
            break
    if not found:
        return None
    rank = min(found)
    return rank, found[rank]


def _rank_of(
    item: floor.Candidate, tier: int, demand: Demand, load: Load
) -> _Rank | None:
    """The rank of one target for a request; None if it can't go there."""
    if item.id in demand.excluded or load.is_resting(item.id):
        return None
    free = load.in_use(item) < load.slots(item)
    soon = free or 0 < load.wait(item) <= demand.patience
    affordable = tier != _FAR or load.affords(item.region)
    if not (soon and affordable):
        return None
    if not load.reaches(item.home):
        # Where every path has failed, a doubtful one is better than none.
        return _Rank.CUT if free else None
    doubt = load.suspicion(item.id)
    if doubt > demand.far_risk:
        return _RISKY[tier]
    if doubt > demand.risk:
        return _DOUBTFUL[tier]
    return _FREE[tier] if free else _QUEUED[tier]


def _probe(
    tier: tuple[floor.Candidate, ...],
    demand: Demand,
    load: Load,
    rng: random.Random,
) -> floor.Candidate | None:
    """A doubtful target near by that needs a request to tell how it is.

    Load: work that must not repeat avoids a target that failed once. Harm:
    with nothing sent there nobody learns that it is well again, or was never
    sick, and capacity stays unused. What may be repeated finds out, one at a
    time, and is sent again elsewhere if it fails. The surer the sickness, the
    longer the pause: such a question mostly costs a retry and tells nothing.
    """
    for item in _in_random_order(tier, rng):
        doubt = load.suspicion(item.id)
        sure = max(0.0, doubt - PROBE_AT_ONCE)
        gap = PROBE_GAP + PROBE_GAP_SURE * sure
        if doubt < suspicion.DOUBTFUL or load.own(item.id):
            continue
        if load.told_ago(item.id) < gap:
            continue
        rank = _rank_of(item, 0, demand, load)
        if rank in (
            _Rank.ZONE_FREE,
            _Rank.NEAR_DOUBTFUL,
            _Rank.NEAR_RISKY,
        ):
            return item
    return None


def _trial(
    trials: tuple[floor.Candidate, ...],
    demand: Demand,
    load: Load,
    rng: random.Random,
) -> floor.Candidate | None:
    """A target in trial that has no work of this entry yet."""
    item = rng.choice(trials)
    busy = load.in_use(item) or load.is_resting(item.id)
    return None if busy or item.id in demand.excluded else item


def _in_random_order(
    tier: tuple[floor.Candidate, ...], rng: random.Random
) -> collections.abc.Iterator[floor.Candidate]:
    """Each target of a tier once."""
    size = len(tier)
    if not size:
        return
    # A step that shares no factor with the size visits each target once.
    start = rng.randrange(size)
    step = _coprime(size, rng)
    for number in range(size):
        yield tier[(start + number * step) % size]


def _coprime(size: int, rng: random.Random) -> int:
    if size < 3:
        return 1
    while True:
        step = rng.randrange(1, size)
        if math.gcd(step, size) == 1:
            return step


def _better(
    items: list[floor.Candidate], demand: Demand, load: Load
) -> floor.Candidate:
    """The less loaded one; of a clearly slower one, its latency counts too.

    Small differences are noise, and a target that is never chosen for them
    would keep its old latency for ever.
    """
    doubt = DOUBT_REPEATABLE if demand.may_fail else DOUBT_ONCE
    costs = [
        (load.in_use(item) + 1) / item.slots
        + doubt * _doubt_above_usual(item, load)
        for item in items
    ]
    latencies = [load.latency(item.id) for item in items]
    if min(latencies) > 0 and max(latencies) >= CLEARLY * min(latencies):
        costs = [
            cost * seconds
            for cost, seconds in zip(costs, latencies, strict=True)
        ]
    return items[costs.index(min(costs))]


def _doubt_above_usual(item: floor.Candidate, load: Load) -> float:
    """How much likelier it is sick than a target that nothing is known of.

    Load: few requests, most targets idle, some of them proven by their
    answers. Harm: if less doubt than the usual counted for a target, the
    proven ones would always win over one that has just come or has long been
    idle; it would get no work for ever, and so nothing to prove itself by.
    """
    return max(0.0, load.suspicion(item.id) - suspicion.UNKNOWN)


def _distance(place: Place, item: floor.Candidate) -> int:
    if item.region != place.region:
        return 2
    return 0 if item.zone == place.zone else 1


def _subset(
    items: list[floor.Candidate], node: str
) -> tuple[floor.Candidate, ...]:
    """The same few targets for an entry as long as they exist.

    Rendezvous hashing: a target that comes or goes changes the subsets by no
    more than itself, and each target is in as many subsets as the others.
    """
    if len(items) <= SUBSET:
        return tuple(items)
    return tuple(sorted(items, key=lambda item: _rank(node, item.id))[:SUBSET])


def _rank(node: str, target: str) -> bytes:
    return hashlib.blake2b(f"{node} {target}".encode(), digest_size=8).digest()
