"""Estimates the probability that a target is unhealthy: its suspicion.

Uses Bayes' rule on a two-state Markov model, in which a target changes between
healthy and unhealthy at random. Each result of a request multiplies the odds
by its likelihood ratio; without new results the estimate decays to the prior.
Home nodes estimate it; entry nodes decay what homes report. Pure: no I/O, and
the caller passes the time.
"""

import datetime
import enum
import math

# Mean times until a healthy target becomes unhealthy, and until it recovers.
# They model recorded traffic, in which each target fails for some seconds every
# half minute or so, and determine how fast evidence becomes outdated.
MEAN_HEALTHY_TIME = datetime.timedelta(seconds=40)
MEAN_UNHEALTHY_TIME = datetime.timedelta(seconds=5)
# Limits of the estimated probability. However many requests have failed, a few
# successful responses must restore a target: its recovery is not announced, and
# healthy capacity must not stay unused.
MAX_ESTIMATE = 0.97
MIN_ESTIMATE = 0.001


class SuspicionSignal(enum.Enum):
    """The result of a request, as evidence for or against a suspicion.

    The value holds the signal's probabilities at an unhealthy and at a healthy
    target.

    Attributes:
      SUCCESS: a complete response that is no failure of the target.
      FAILURE: an error, a broken connection or a malformed response; about one
        request in a hundred fails at a healthy target.
      OVERDUE: no response by the time when most have arrived; common at healthy
        targets, too, because of the tail of the latency distribution.
      SHED: the target rejected the request although it had free slots.
    """

    SUCCESS = (0.3, 0.98)
    FAILURE = (0.65, 0.015)
    OVERDUE = (0.25, 0.03)
    SHED = (0.3, 0.02)


_PRIOR = MEAN_UNHEALTHY_TIME / (MEAN_UNHEALTHY_TIME + MEAN_HEALTHY_TIME)
_DECAY_RATE = (
    1 / MEAN_UNHEALTHY_TIME.total_seconds()
    + 1 / MEAN_HEALTHY_TIME.total_seconds()
)
# The suspicion of a target of which there is no evidence.
PRIOR_SUSPICION = _PRIOR
# A target whose suspicion is at least this, just above PRIOR_SUSPICION, is
# suspect. It is probed with idempotent requests until its health is clear, and
# its status is pushed to its zone.
SUSPECT_THRESHOLD = 0.13


def decay(probability: float, age: datetime.timedelta) -> float:
    """Returns a suspicion as decayed after some time without evidence.

    Args:
      probability: the suspicion at the last evidence.
      age: time since then; a negative one, from another node's clock, counts
        as zero.
    """
    remaining = math.exp(-_DECAY_RATE * max(0.0, age.total_seconds()))
    return _PRIOR + (probability - _PRIOR) * remaining


class SuspicionEstimator:
    """The suspicion of one target.

    Scenario: targets that pass their health checks and fail most requests for
    some seconds. Risk: fast failures make a target look idle, so that it
    attracts more load, and each non-idempotent request that fails there is
    lost. At a few requests per second and target, a detector that waits for
    several failures loses several requests in each such period. Here one
    failure after many successes gives a suspicion of about 0.3, and two in a
    row nearly 1.
    """

    __slots__ = ("_probability", "_signal_count", "_updated_at")

    def __init__(self, now: datetime.timedelta) -> None:
        self._probability = _PRIOR
        self._updated_at = now
        self._signal_count = 0

    @property
    def signal_count(self) -> int:
        """Number of signals observed so far."""
        return self._signal_count

    def probability(
        self, now: datetime.timedelta, pending_likelihood_ratio: float = 1.0
    ) -> float:
        """Returns the probability that the target is unhealthy.

        Args:
          now: the current monotonic time.
          pending_likelihood_ratio: how many times likelier it is at an
            unhealthy target than at a healthy one that the pending requests
            have no response yet.
        """
        completed = decay(self._probability, now - self._updated_at)
        return _posterior(completed, pending_likelihood_ratio)

    def observe(self, signal: SuspicionSignal, now: datetime.timedelta) -> None:
        """Updates the suspicion by the result of a request."""
        unhealthy, healthy = signal.value
        self.apply_likelihood_ratio(unhealthy / healthy, now)

    def apply_likelihood_ratio(
        self, likelihood_ratio: float, now: datetime.timedelta
    ) -> None:
        """Updates the suspicion by evidence with the given likelihood ratio.

        Args:
          likelihood_ratio: how many times likelier the evidence is at an
            unhealthy target than at a healthy one.
          now: the current monotonic time.
        """
        self._probability = _posterior(self.probability(now), likelihood_ratio)
        self._updated_at = now
        self._signal_count += 1


def _posterior(prior: float, likelihood_ratio: float) -> float:
    odds = prior * likelihood_ratio
    return min(max(odds / (odds + 1 - prior), MIN_ESTIMATE), MAX_ESTIMATE)
