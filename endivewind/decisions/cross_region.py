"""Budgets of bytes that an entry node may exchange with other regions.

Placement consults them before it places a request in another region.
"""

import dataclasses
import datetime

# Time in which an empty bucket fills up; sets its capacity. A full bucket lasts
# while the targets of a zone restart and the zone's requests go to another
# region, and the cost of its bytes is little compared with a day's traffic.
BUCKET_FILL_TIME = datetime.timedelta(seconds=30)


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    updated_at: datetime.timedelta


class CrossRegionBudget:
    """A token bucket of bytes for each other region.

    Scenario: nearby targets are full or gone, so all requests would go to other
    regions. Risk: links between regions are slow, shared and billed by volume;
    one service in trouble would saturate them for all. No request is sent to a
    region while its bucket is empty. Sizes are known only afterwards, so a
    bucket may become negative, and must then fill up above zero first.
    """

    def __init__(self, bytes_per_second: float) -> None:
        self._rate = bytes_per_second
        self._buckets: dict[str, _Bucket] = {}

    def allows(self, region: str, now: datetime.timedelta) -> bool:
        """Whether requests may be sent to a region now."""
        return self._bucket(region, now).tokens > 0

    def spend(self, region: str, size: int, now: datetime.timedelta) -> None:
        """Deducts the bytes of a request or a response."""
        self._bucket(region, now).tokens -= size

    def _bucket(self, region: str, now: datetime.timedelta) -> _Bucket:
        capacity = self._rate * BUCKET_FILL_TIME.total_seconds()
        bucket = self._buckets.get(region)
        if bucket is None:
            bucket = self._buckets[region] = _Bucket(capacity, now)
        gained = self._rate * (now - bucket.updated_at).total_seconds()
        bucket.tokens = min(capacity, bucket.tokens + gained)
        bucket.updated_at = now
        return bucket
