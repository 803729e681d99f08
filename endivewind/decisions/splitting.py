"""Shares a route's requests between services by weight."""

import collections.abc
import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """One service's part; a weight of 0 gets nothing."""

    service: str
    weight: int


class Splitter:
    """Gives each part its share at one entry, whatever the number of requests.

    Load: a route that moves a tenth of its traffic to a new service, over
    hundreds of entries with a few requests a second each. Harm: drawn at
    random, a part of a tenth may get nothing for seconds and twice its share
    after, so that its operators can't tell what it takes. Smooth weighted
    round robin is never more than one request off at an entry; each entry
    starts at a random place, or all would send their first to the same part.
    """

    def __init__(
        self, parts: collections.abc.Sequence[Part], rng: random.Random
    ) -> None:
        self._parts = [part for part in parts if part.weight]
        self._total = sum(part.weight for part in self._parts)
        self._credits = [
            rng.uniform(0, self._total) for _ in range(len(self._parts))
        ]
        self._settle()

    def next(self) -> str:
        """The service of the next request."""
        best = 0
        for index, part in enumerate(self._parts):
            self._credits[index] += part.weight
            if self._credits[index] > self._credits[best]:
                best = index
        self._credits[best] -= self._total
        return self._parts[best].service

    def _settle(self) -> None:
        """Moves the credits to a sum of 0, as the round robin keeps it."""
        mean = sum(self._credits) / len(self._credits)
        self._credits = [credit - mean for credit in self._credits]
