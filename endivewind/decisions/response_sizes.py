"""Expected sizes of responses, learned by route.

Links are charged for a response before it is sent, when only its route is
known. Memory admission has an estimate of its own (`memory_admission.py`), near
the largest recent sizes, since it must not be exceeded.
"""

import dataclasses

# Expected size of a response before any of its route was observed. Most
# responses fit in it; a larger one is corrected when its size is known.
DEFAULT_BYTES = 16_384
# Weights of a new size in the moving averages of the size and of its deviation.
_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
# Deviations above the mean that are expected. With two, four in five responses
# of an exponential distribution are at most as large as expected.
_DEVIATION_FACTOR = 2
# Initial deviation, as a share of the first observed size.
_INITIAL_DEVIATION_SHARE = 0.25
# Routes that are remembered; the ones observed least recently are dropped.
MAX_ROUTES = 4_096


@dataclasses.dataclass(slots=True)
class _Sizes:
    mean: float
    deviation: float


class ResponseSizes:
    """Moving averages of the response sizes of each route.

    Scenario: the responses of one route have hundreds of kilobytes, those of
    all others a few. Risk: if sizes were charged only when they are known, all
    nodes together would have sent many large responses before the first of them
    counts. So each route's responses are charged with a size that few of them
    exceed.
    """

    def __init__(self, default_bytes: int = DEFAULT_BYTES) -> None:
        self._default = default_bytes
        self._routes: dict[str, _Sizes] = {}

    def is_known(self, route: str) -> bool:
        """Returns whether a response of the route was observed."""
        return route in self._routes

    def expected(self, route: str) -> int:
        """Returns the bytes to charge for a response of a route."""
        known = self._routes.get(route)
        if known is None:
            return self._default
        return round(known.mean + _DEVIATION_FACTOR * known.deviation)

    def record(self, route: str, size: int) -> None:
        """Adds the size of one response."""
        known = self._routes.pop(route, None)
        if known is None:
            known = _Sizes(size, _INITIAL_DEVIATION_SHARE * size)
        error = size - known.mean
        known.mean += _MEAN_WEIGHT * error
        known.deviation += _DEVIATION_WEIGHT * (abs(error) - known.deviation)
        self._routes[route] = known
        if len(self._routes) > MAX_ROUTES:
            del self._routes[next(iter(self._routes))]
