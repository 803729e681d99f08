"""Capacity floor: the share of slots that ejection must leave in use.

Corresponds to the maximum ejection percentage or panic threshold of other
proxies. Each entry node applies it to its own view of a service's targets.
"""

import collections
import collections.abc
import dataclasses

from endivewind.decisions import ejection

# Share of a region's slots that stays in use if operators set no floor.
DEFAULT_FLOOR_SHARE = 0.5

_STATUS_ORDER = {
    ejection.Status.NORMAL: 0,
    ejection.Status.TRIAL: 1,
    ejection.Status.EJECTED: 2,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may get requests: announced, and not draining.

    Attributes:
      id: id of the target.
      region: region of the target.
      zone: availability zone of the target.
      slots: maximum number of concurrent requests.
      status: ejection status, set by the target's home node.
      badness: recent share of failed or slow requests, in percent.
      home: id of the node that forwards requests to the target.
      service: name of the service that the target belongs to.
    """

    id: str
    region: str
    zone: str
    slots: int
    status: ejection.Status
    badness: int = 0
    home: str = ""
    service: str = ""


def select_targets(
    candidates: collections.abc.Iterable[Candidate],
    floor_slots: int,
    share: float = DEFAULT_FLOOR_SHARE,
) -> list[Candidate]:
    """Returns the targets that may get normal requests, region by region.

    Scenario: many targets are ejected at once, rightly or wrongly. Risk: the
    rest gets the requests of all and fails under them. Each entry node applies
    the floor to its own view. The floor therefore needs no messages and holds
    even if status changes are late, lost or wrong. All entry nodes with the
    same view keep the same targets, because the sort order has no ties.

    Args:
      candidates: targets of the service.
      floor_slots: minimum number of slots per region; 0 to use `share`.
      share: minimum share of a region's slots, if `floor_slots` is 0.

    Returns:
      All normal targets, and as many others as are needed so that the returned
      targets of each region together have the minimum number of slots. If the
      region has too few, all its targets.
    """
    regions: dict[str, list[Candidate]] = collections.defaultdict(list)
    for item in candidates:
        regions[item.region].append(item)
    return [
        item
        for region in sorted(regions)
        for item in _select_in_region(regions[region], floor_slots, share)
    ]


def _select_in_region(
    items: list[Candidate], floor_slots: int, share: float
) -> list[Candidate]:
    floor = floor_slots
    if not floor:
        floor = round(share * sum(item.slots for item in items))
    kept: list[Candidate] = []
    slots = 0
    for item in sorted(items, key=_sort_key):
        if item.status is not ejection.Status.NORMAL and slots >= floor:
            break
        kept.append(item)
        slots += item.slots
    return kept


def _sort_key(item: Candidate) -> tuple[int, int, str]:
    badness = item.badness if _STATUS_ORDER[item.status] else 0
    return _STATUS_ORDER[item.status], badness, item.id
