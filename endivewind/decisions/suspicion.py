"""How likely a target is sick right now, from the ends of its requests.

A target is taken to be in one of two states, well or sick, and to change
between them at any moment. Each end of a request moves the odds by how much
likelier it is at a sick target (Bayes' rule); without news the odds drift
back to what holds for any target. No clock, input or output of its own.
"""

import datetime
import enum
import math

# A well target turns sick about once in this time, and a sick one is well
# again after this; from recorded days, where some seconds of trouble come to
# each target every half minute or so. They set how fast news grows old.
WELL_FOR = datetime.timedelta(seconds=40)
SICK_FOR = datetime.timedelta(seconds=5)
# However much has failed, a few good answers must bring a target back: its
# trouble ends without a word, and healthy capacity must not stay unused.
MOST = 0.97
LEAST = 0.001


class Signal(enum.Enum):
    """How a request ended, as evidence: its likelihood if sick, and if well.

    GOOD: a whole answer that is no failure of the target. FAILED: an error,
    a broken connection, a garbled answer; one in a hundred fails at a well
    target. OVERDUE: no answer when most have come; the tail of long work
    makes that common. SHED: the target refused although it had free slots.
    """

    GOOD = (0.3, 0.98)
    FAILED = (0.65, 0.015)
    OVERDUE = (0.25, 0.03)
    SHED = (0.3, 0.02)


_USUAL = SICK_FOR / (SICK_FOR + WELL_FOR)
_DRIFT = 1 / SICK_FOR.total_seconds() + 1 / WELL_FOR.total_seconds()
# What is believed of a target that nobody has told anything of.
UNKNOWN = _USUAL
# A target that is likelier sick than this is in doubt: just above UNKNOWN. It
# is asked by what may repeat until it is clear, and told of to its zone.
DOUBTFUL = 0.13


def drifted(probability: float, age: datetime.timedelta) -> float:
    """What a probability has become after some time without news."""
    kept = math.exp(-_DRIFT * max(0.0, age.total_seconds()))
    return _USUAL + (probability - _USUAL) * kept


class Suspicion:
    """The probability that one target is sick.

    Load: targets that answer their health checks and fail most of their work
    for some seconds. Harm: fast failures look like an idle target and draw
    more work; what must not repeat is lost with each. A test that waits for
    several failures loses several requests to every such spell, at a few
    requests a second and target; one failure after many successes makes it
    about three in ten, and two in a row nearly sure.
    """

    __slots__ = ("_at", "_probability", "_signals")

    def __init__(self, now: datetime.timedelta) -> None:
        self._probability = _USUAL
        self._at = now
        self._signals = 0

    @property
    def signals(self) -> int:
        """Ends of requests taken so far."""
        return self._signals

    def probability(
        self, now: datetime.timedelta, silence: float = 1.0
    ) -> float:
        """How likely the target is sick at a moment.

        Args:
          now: the moment.
          silence: how many times likelier it is at a sick target that what is
            there now has no answer yet.
        """
        ended = drifted(self._probability, now - self._at)
        return _weighed(ended, silence)

    def take(self, signal: Signal, now: datetime.timedelta) -> None:
        """Takes the end of one request."""
        sick, well = signal.value
        self.weigh(sick / well, now)

    def weigh(self, likelihood: float, now: datetime.timedelta) -> None:
        """Takes what is so many times likelier at a sick target."""
        self._probability = _weighed(self.probability(now), likelihood)
        self._at = now
        self._signals += 1


def _weighed(probability: float, likelihood: float) -> float:
    odds = probability * likelihood
    return min(max(odds / (odds + 1 - probability), LEAST), MOST)
