"""Latencies of a service over the last minutes, in a fixed small table."""

import array
import bisect
import datetime
import itertools
import math

_FIRST_MS = 0.1
_GROWTH = 1.1
_BUCKETS = 170
_BOUNDS = tuple(_FIRST_MS * _GROWTH**number for number in range(_BUCKETS))
_LOG_GROWTH = math.log(_GROWTH)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class LatencyHistory:
    """A histogram with buckets 10% wide, from 0.1 ms to about 17 minutes.

    170 floats, the same for any number of requests. Old requests fade by
    halving all counts when their sum reaches a limit.
    """

    __slots__ = ("_counts", "_limit", "_total")

    def __init__(self, limit: int = 20_000) -> None:
        self._counts = array.array("f", itertools.repeat(0.0, _BUCKETS))
        self._total = 0.0
        self._limit = limit

    @property
    def total(self) -> float:
        """Requests that the history stands on."""
        return self._total

    def add(self, latency: datetime.timedelta) -> None:
        """Takes one request."""
        self._counts[_bucket(latency)] += 1
        self._total += 1
        if self._total >= self._limit:
            self._halve()

    def median(self) -> datetime.timedelta:
        """The median; zero where nothing is known."""
        if not self._total:
            return datetime.timedelta()
        sums = list(itertools.accumulate(self._counts))
        index = bisect.bisect_left(sums, self._total / 2)
        return _BOUNDS[min(index, _BUCKETS - 1)] * _MILLISECOND

    def _halve(self) -> None:
        for index, count in enumerate(self._counts):
            self._counts[index] = count / 2
        self._total /= 2


def _bucket(latency: datetime.timedelta) -> int:
    milliseconds = latency / _MILLISECOND
    if milliseconds <= _FIRST_MS:
        return 0
    index = math.ceil(math.log(milliseconds / _FIRST_MS) / _LOG_GROWTH)
    return min(index, _BUCKETS - 1)
