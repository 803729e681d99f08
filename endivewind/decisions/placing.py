"""Places a request at one of the targets of its service."""

import collections.abc
import dataclasses
import hashlib
import math
import random
from typing import Protocol

from endivewind.decisions import ejection
from endivewind.decisions import floor

# An entry uses this many targets of a service in each tier. It bounds the
# work for a request, and the connections, at services of any size.
SUBSET = 24
# One request in so many goes to a target in trial, while there is one.
TRIAL_EVERY = 20
_FAR = 2
# A latency that is so many times another's says that a target is slower.
CLEARLY = 2


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
    ) -> "Pool":
        """Applies the floor and takes this entry's subset."""
        kept = floor.admitted(candidates, floor_slots)
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
    """

    repeatable: bool
    excluded: collections.abc.Set[str] = frozenset()


class Load(Protocol):
    """What the entry knows of its targets' load."""

    def in_use(self, target: str) -> int:
        """Requests of this entry that are there now."""

    def latency(self, target: str) -> float:
        """Usual latency in seconds; 0 where nothing is known."""

    def reaches(self, home: str) -> bool:
        """Whether the path from this entry to a home is open."""

    def slots(self, item: floor.Candidate) -> int:
        """Slots of it that this entry may use now."""

    def affords(self, region: str) -> bool:
        """Whether the traffic budget allows work in another region."""

    def is_resting(self, target: str) -> bool:
        """Whether it refused work a moment ago."""


def choose(
    pool: Pool, demand: Demand, load: Load, rng: random.Random
) -> floor.Candidate | None:
    """Takes the better of two random candidates of the nearest tier.

    Load: many entries place at the same targets at once. Harm: if each took
    the least loaded, all would take the same one, first of all a target that
    has just come and is empty. Two random choices spread the work and still
    avoid a loaded or slow target. A tier that has no free slot is left for
    the next one, since a far answer beats none.
    """
    if demand.repeatable and pool.trials and not rng.randrange(TRIAL_EVERY):
        tried = _trial(pool.trials, demand, load, rng)
        if tried:
            return tried
    # Where every path has failed, a doubtful one is better than none.
    for any_path in (False, True):
        for number, tier in enumerate(pool.tiers):
            far = number == _FAR
            found = _of_tier(tier, demand, load, rng, any_path, far)
            if found:
                return found
    return None


def _trial(
    trials: tuple[floor.Candidate, ...],
    demand: Demand,
    load: Load,
    rng: random.Random,
) -> floor.Candidate | None:
    """A target in trial that has no work of this entry yet."""
    item = rng.choice(trials)
    busy = load.in_use(item.id) or load.is_resting(item.id)
    return None if busy or item.id in demand.excluded else item


def _of_tier(
    tier: tuple[floor.Candidate, ...],
    demand: Demand,
    load: Load,
    rng: random.Random,
    any_path: bool,
    far: bool,
) -> floor.Candidate | None:
    """The better of the first two free ones in a random order."""
    size = len(tier)
    if not size:
        return None
    first = None
    # A step that shares no factor with the size visits each target once.
    start = rng.randrange(size)
    step = _coprime(size, rng)
    for number in range(size):
        item = tier[(start + number * step) % size]
        if not _is_free(item, demand, load):
            continue
        if not (any_path or load.reaches(item.home)):
            continue
        if far and not load.affords(item.region):
            continue
        if first is None:
            first = item
            continue
        return _better(first, item, load)
    return first


def _coprime(size: int, rng: random.Random) -> int:
    if size < 3:
        return 1
    while True:
        step = rng.randrange(1, size)
        if math.gcd(step, size) == 1:
            return step


def _is_free(item: floor.Candidate, demand: Demand, load: Load) -> bool:
    if item.id in demand.excluded or load.is_resting(item.id):
        return False
    return load.in_use(item.id) < load.slots(item)


def _better(
    first: floor.Candidate, second: floor.Candidate, load: Load
) -> floor.Candidate:
    """The less loaded one; of a clearly slower one, its latency counts too.

    Small differences are noise, and a target that is never chosen for them
    would keep its old latency for ever.
    """
    costs = [
        (load.in_use(item.id) + 1) / item.slots for item in (first, second)
    ]
    latencies = [load.latency(item.id) for item in (first, second)]
    if min(latencies) > 0 and max(latencies) >= CLEARLY * min(latencies):
        costs = [
            cost * seconds
            for cost, seconds in zip(costs, latencies, strict=True)
        ]
    return first if costs[0] <= costs[1] else second


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
