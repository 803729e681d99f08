"""A sequential test of one share: does a target fail more than its service?

Wald's probability ratio test adds, for each request, the logarithm of how
much likelier its outcome is at a sick target than at one like the others. A
test that favours health starts again at once (Page's form), so that a target
that was well for hours is caught as fast as one that has just started.
"""

import dataclasses
import datetime
import enum
import math

# Old evidence fades: three errors in an hour at a target with little traffic
# say nothing, three in a second do.
HALF_LIFE = datetime.timedelta(seconds=30)
# Where half of the service's work shows the signal, no target stands out.
MAX_EXPECTED = 0.5


class Signal(enum.IntEnum):
    """What a request can say against its target."""

    FAILED = 0
    SLOW = 1
    STALLED = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Alternative:
    """One way of being sick that is tested for.

    Attributes:
      name: the cause that operators read.
      signal: what is counted.
      share: share of the otherwise good requests that show the signal.
      least_expected: the share that a healthy target may show at any time.
    """

    name: str
    signal: Signal
    share: float
    least_expected: float


# Three shares of errors, because a test for one in ten needs a hundred
# requests for what a test for "nearly all" sees in three.
ALTERNATIVES = (
    Alternative("some requests fail", Signal.FAILED, 0.1, 0.01),
    Alternative("many requests fail", Signal.FAILED, 0.3, 0.01),
    Alternative("most requests fail", Signal.FAILED, 0.8, 0.01),
    Alternative("slow", Signal.SLOW, 0.5, 0.05),
    Alternative("stalled", Signal.STALLED, 0.8, 0.001),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """What one request adds to a test: with the signal, and without it."""

    hit: float
    miss: float


NO_STEP = Step(0.0, 0.0)


def step(alternative: Alternative, expected: float) -> Step:
    """The logarithms of the likelihood ratios against an expected share."""
    healthy = max(expected, alternative.least_expected)
    if healthy >= MAX_EXPECTED:
        return NO_STEP
    sick = healthy + (1 - healthy) * alternative.share
    return Step(math.log(sick / healthy), math.log((1 - sick) / (1 - healthy)))


def faded(value: float, idle: datetime.timedelta) -> float:
    """Evidence that is left after a time without any."""
    if value <= 0 or idle <= datetime.timedelta():
        return value
    return float(value * 0.5 ** (idle / HALF_LIFE))
