"""Derives evidence of a target's health from its pending requests.

The longer a request has been pending, compared with the log-normal
distribution of the target's response times, the likelier the target is
unhealthy. Home nodes call it. Pure: no I/O, and the caller passes the time.
"""

import datetime
import math

# Prior distribution of response times: the median as a share of the latency
# objective, and the standard deviation of the logarithm. Operators set
# objectives well above usual response times.
PRIOR_MEDIAN_SHARE = 0.33
PRIOR_LOG_STDDEV = 0.45
# Number of responses that the prior counts for.
PRIOR_WEIGHT = 8.0
# Weight of each new response once there are many.
MIN_SAMPLE_WEIGHT = 1 / 64
# Share of requests that stay without a response for long even at a healthy
# target: response times have a tail, and some responses are lost.
HEALTHY_HANG_SHARE = 0.02
# Share of requests to which an unhealthy target never responds.
UNHEALTHY_HANG_SHARE = 0.5
# Younger pending requests are ignored: a stall of this process makes all
# responses seem late.
MIN_PENDING_AGE = datetime.timedelta(milliseconds=300)
_MIN_SECONDS = 0.001


class ResponseTimes:
    """Response time distributions of one target, by latency objective.

    The latency objective of the route tells kinds of requests apart: routes
    with the same objective are taken to have similar response times.
    """

    def __init__(self) -> None:
        self._distributions: dict[datetime.timedelta, _LogNormal] = {}

    def observe(
        self, latency_objective: datetime.timedelta, latency: datetime.timedelta
    ) -> None:
        """Records the latency of a successful response."""
        if latency_objective:
            self._distribution(latency_objective).observe(latency)

    def likelihood_ratio(
        self, latency_objective: datetime.timedelta, age: datetime.timedelta
    ) -> float:
        """Returns how strongly a pending request suggests a fault.

        This is a likelihood ratio: how many times likelier the request is to be
        pending at this age if the target is unhealthy than if it is healthy.

        Scenario: targets that accept requests and respond to none of them for
        some seconds. Risk: no request completes, so without this there is no
        evidence against such a target until its first request is overdue; one
        such target was sent six requests by then. So a pending request counts
        as evidence from the age at which most responses of its kind have
        arrived.

        Args:
          latency_objective: that of the request's route; zero if unknown.
          age: time since the request was sent.
        """
        if not latency_objective or age < MIN_PENDING_AGE:
            return 1.0
        healthy = max(
            HEALTHY_HANG_SHARE,
            self._distribution(latency_objective).survival(age),
        )
        return (
            UNHEALTHY_HANG_SHARE + (1 - UNHEALTHY_HANG_SHARE) * healthy
        ) / healthy

    def _distribution(
        self, latency_objective: datetime.timedelta
    ) -> "_LogNormal":
        found = self._distributions.get(latency_objective)
        if found is None:
            mean = math.log(
                PRIOR_MEDIAN_SHARE * latency_objective.total_seconds()
            )
            found = self._distributions[latency_objective] = _LogNormal(mean)
        return found


class _LogNormal:
    """A log-normal distribution with exponentially weighted moments."""

    __slots__ = ("_mean", "_sample_count", "_variance")

    def __init__(self, mean: float) -> None:
        self._mean = mean
        self._variance = PRIOR_LOG_STDDEV**2
        self._sample_count = PRIOR_WEIGHT

    def observe(self, latency: datetime.timedelta) -> None:
        """Adds one latency."""
        value = math.log(max(_MIN_SECONDS, latency.total_seconds()))
        self._sample_count += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1 / self._sample_count)
        deviation = value - self._mean
        self._mean += weight * deviation
        self._variance = (1 - weight) * (
            self._variance + weight * deviation * deviation
        )

    def survival(self, age: datetime.timedelta) -> float:
        """Returns the share of latencies above an age."""
        excess = math.log(age.total_seconds()) - self._mean
        return 0.5 * math.erfc(excess / math.sqrt(2 * self._variance))
