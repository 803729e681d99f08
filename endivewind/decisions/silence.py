"""What it says of a target that a request there has no answer yet.

No clock, input or output of its own.
"""

import datetime
import math

# Before anything is known, answers take about this part of their aim, with
# this spread of their logarithm: operators set aims well above usual work.
USUAL_SHARE = 0.33
USUAL_SPREAD = 0.45
# How many answers that guess counts for.
GUESS_WEIGHT = 8.0
# Each answer moves what is known by this part once there are many.
LEAST_WEIGHT = 1 / 64
# Even a well target leaves so many requests unanswered for long: work has a
# tail, and some answers are lost.
TAIL = 0.02
# How many requests a sick target never answers.
HANGS = 0.5
# A stall of this process makes all answers seem late.
SHORTEST = datetime.timedelta(milliseconds=300)
_LEAST_SECONDS = 0.001


class AnswerTimes:
    """How long one target's answers take, by the aim of their route.

    The aim tells kinds of work apart: routes that share one are of the same
    kind, as far as their operators care.
    """

    def __init__(self) -> None:
        self._known: dict[datetime.timedelta, _Logarithms] = {}

    def take(
        self, aim: datetime.timedelta, latency: datetime.timedelta
    ) -> None:
        """Takes the time of one good answer."""
        if aim:
            self._of(aim).take(latency)

    def likelihood(
        self, aim: datetime.timedelta, age: datetime.timedelta
    ) -> float:
        """How many times likelier a silence is at a sick target.

        Load: targets that take work and answer none of it for some seconds.
        Harm: nothing ends, so nothing speaks against them until the first
        request is overdue; six were handed to one target meanwhile. What is
        open speaks by its age from the moment on at which most answers of its
        kind have come.

        Args:
          aim: of the request's route; zero where none is known.
          age: of the request.
        """
        if not aim or age < SHORTEST:
            return 1.0
        silent = max(TAIL, self._of(aim).longer_than(age))
        return (HANGS + (1 - HANGS) * silent) / silent

    def _of(self, aim: datetime.timedelta) -> "_Logarithms":
        known = self._known.get(aim)
        if known is None:
            usual = math.log(USUAL_SHARE * aim.total_seconds())
            known = self._known[aim] = _Logarithms(usual)
        return known


class _Logarithms:
    """Mean and spread of the logarithms of times, old ones fading."""

    __slots__ = ("_mean", "_variance", "_weight")

    def __init__(self, mean: float) -> None:
        self._mean = mean
        self._variance = USUAL_SPREAD**2
        self._weight = GUESS_WEIGHT

    def take(self, latency: datetime.timedelta) -> None:
        """Takes one time."""
        value = math.log(max(_LEAST_SECONDS, latency.total_seconds()))
        self._weight += 1
        part = max(LEAST_WEIGHT, 1 / self._weight)
        off = value - self._mean
        self._mean += part * off
        self._variance = (1 - part) * (self._variance + part * off * off)

    def longer_than(self, age: datetime.timedelta) -> float:
        """The share of times that are longer than an age."""
        above = math.log(age.total_seconds()) - self._mean
        return 0.5 * math.erfc(above / math.sqrt(2 * self._variance))
