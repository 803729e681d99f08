"""Weighted traffic splitting of a route's requests between services.

Uses smooth weighted round robin. Called on each entry node, the node that a
caller's request came to, by `callers/gateway.py`.
"""

import collections.abc
import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a route and its weight; with 0 it gets no requests."""

    service: str
    weight: int


class TrafficSplitter:
    """Gives each service its exact share, even over few requests.

    Scenario: a route that moves a tenth of its traffic to a new service, over
    hundreds of entry nodes with a few requests per second each. Risk: if the
    service were chosen at random, one with a tenth of the weight might get
    nothing for seconds and then twice its share, and operators could not tell
    how much it can take. Smooth weighted round robin is never off by more than
    one request at an entry node. Each entry node starts at a random position;
    otherwise all would send their first request to the same service.
    """

    def __init__(
        self,
        services: collections.abc.Sequence[WeightedService],
        rng: random.Random,
    ) -> None:
        self._services = [
            candidate for candidate in services if candidate.weight
        ]
        self._total_weight = sum(
            candidate.weight for candidate in self._services
        )
        self._credits = [
            rng.uniform(0, self._total_weight)
            for _ in range(len(self._services))
        ]
        self._center_credits()

    def next_service(self) -> str:
        """Returns the service for the next request."""
        best_index = 0
        for index, candidate in enumerate(self._services):
            self._credits[index] += candidate.weight
            if self._credits[index] > self._credits[best_index]:
                best_index = index
        self._credits[best_index] -= self._total_weight
        return self._services[best_index].service

    def _center_credits(self) -> None:
        """Shifts the credits to a sum of 0, which `next_service` preserves."""
        mean = sum(self._credits) / len(self._credits)
        self._credits = [credit - mean for credit in self._credits]
