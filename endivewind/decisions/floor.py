"""The floor: how much capacity stays in use whatever the verdicts say."""

import collections
import collections.abc
import dataclasses

from endivewind.decisions import ejection

# Where operators have named no floor, half of what a region has stays.
DEFAULT_SHARE = 0.5

_ORDER = {
    ejection.Status.NORMAL: 0,
    ejection.Status.TRIAL: 1,
    ejection.Status.EJECTED: 2,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that takes work: announced, and not draining.

    Attributes:
      id: the target.
      region: its region.
      zone: its availability zone.
      slots: requests it takes at once.
      status: what its home has judged.
      badness: how bad its recent work was, in percent.
      home: the node that hands work over to it.
      service: the service that it belongs to.
    """

    id: str
    region: str
    zone: str
    slots: int
    status: ejection.Status
    badness: int = 0
    home: str = ""
    service: str = ""


def admitted(
    candidates: collections.abc.Iterable[Candidate],
    floor_slots: int,
    share: float = DEFAULT_SHARE,
) -> list[Candidate]:
    """The targets that may get normal work, region by region.

    Load: verdicts that take out many targets at once, right or wrong. Harm:
    the rest gets the work of all and fails under it. Each entry applies the
    floor to its own view, so it holds with any verdict, late, lost or wrong,
    and needs no message. All entries with one view bring back the same
    targets, because the order has no ties.

    Args:
      candidates: the service's targets.
      floor_slots: slots in each region; 0 stands for a share of them.
      share: that share.

    Returns:
      Targets with at least the floor's slots in each region, or all of it.
    """
    regions: dict[str, list[Candidate]] = collections.defaultdict(list)
    for item in candidates:
        regions[item.region].append(item)
    return [
        item
        for region in sorted(regions)
        for item in _of_region(regions[region], floor_slots, share)
    ]


def _of_region(
    items: list[Candidate], floor_slots: int, share: float
) -> list[Candidate]:
    floor = floor_slots
    if not floor:
        floor = round(share * sum(item.slots for item in items))
    kept: list[Candidate] = []
    slots = 0
    for item in sorted(items, key=_badness):
        if item.status is not ejection.Status.NORMAL and slots >= floor:
            break
        kept.append(item)
        slots += item.slots
    return kept


def _badness(item: Candidate) -> tuple[int, int, str]:
    badness = item.badness if _ORDER[item.status] else 0
    return _ORDER[item.status], badness, item.id
