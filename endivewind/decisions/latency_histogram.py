"""Histogram of a service's latencies over the last minutes.

Has a fixed size and exponential buckets. Used by `baseline` for the median
latency.
"""

import array
import bisect
import datetime
import itertools
import math

_FIRST_BUCKET_MS = 0.1
_BUCKET_RATIO = 1.1
_BUCKET_COUNT = 170
_UPPER_BOUNDS_MS = tuple(
    _FIRST_BUCKET_MS * _BUCKET_RATIO**number for number in range(_BUCKET_COUNT)
)
_LOG_BUCKET_RATIO = math.log(_BUCKET_RATIO)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class LatencyHistogram:
    """A histogram with buckets 10% wide, from 0.1 ms to about 17 minutes.

    Takes 170 floats, whatever the number of requests. All counts are halved
    when their sum reaches a limit, so that old requests lose weight.
    """

    __slots__ = ("_counts", "_max_count", "_weighted_count")

    def __init__(self, max_count: int = 20_000) -> None:
        self._counts = array.array("f", itertools.repeat(0.0, _BUCKET_COUNT))
        self._weighted_count = 0.0
        self._max_count = max_count

    @property
    def weighted_count(self) -> float:
        """Sum of all counts; halved with them when it reaches the limit."""
        return self._weighted_count

    def add(self, latency: datetime.timedelta) -> None:
        """Adds the latency of one request."""
        self._counts[_bucket_index(latency)] += 1
        self._weighted_count += 1
        if self._weighted_count >= self._max_count:
            self._halve_counts()

    def median(self) -> datetime.timedelta:
        """Returns the median latency; zero if there are no requests."""
        if not self._weighted_count:
            return datetime.timedelta()
        cumulative_counts = list(itertools.accumulate(self._counts))
        index = bisect.bisect_left(cumulative_counts, self._weighted_count / 2)
        return _UPPER_BOUNDS_MS[min(index, _BUCKET_COUNT - 1)] * _MILLISECOND

    def _halve_counts(self) -> None:
        for index, count in enumerate(self._counts):
            self._counts[index] = count / 2
        self._weighted_count /= 2


def _bucket_index(latency: datetime.timedelta) -> int:
    milliseconds = latency / _MILLISECOND
    if milliseconds <= _FIRST_BUCKET_MS:
        return 0
    index = math.ceil(
        math.log(milliseconds / _FIRST_BUCKET_MS) / _LOG_BUCKET_RATIO
    )
    return min(index, _BUCKET_COUNT - 1)
