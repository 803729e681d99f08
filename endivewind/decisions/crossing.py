"""What an entry may send to other regions: a budget of bytes for each pair."""

import dataclasses
import datetime

# What a quiet time may save up: enough for a zone's work while its targets
# restart, little beside a day's bill.
BURST = datetime.timedelta(seconds=30)


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    at: datetime.timedelta


class CrossRegionBudget:
    """A token bucket of bytes for each other region.

    Load: the near targets are full or gone, so all work would go far. Harm:
    links between regions are slow, shared and paid for by volume; one
    service in trouble would fill them for all. A region is left alone while
    its bucket is empty; sizes are known only afterwards, so a bucket may go
    below zero, and the region then waits until it is filled again.
    """

    def __init__(self, bytes_per_second: float) -> None:
        self._rate = bytes_per_second
        self._buckets: dict[str, _Bucket] = {}

    def allows(self, region: str, now: datetime.timedelta) -> bool:
        """Whether work may be sent to a region now."""
        return self._bucket(region, now).tokens > 0

    def spend(self, region: str, size: int, now: datetime.timedelta) -> None:
        """Takes the bytes of a request or an answer."""
        self._bucket(region, now).tokens -= size

    def _bucket(self, region: str, now: datetime.timedelta) -> _Bucket:
        most = self._rate * BURST.total_seconds()
        bucket = self._buckets.get(region)
        if bucket is None:
            bucket = self._buckets[region] = _Bucket(most, now)
        gained = self._rate * (now - bucket.at).total_seconds()
        bucket.tokens = min(most, bucket.tokens + gained)
        bucket.at = now
        return bucket
