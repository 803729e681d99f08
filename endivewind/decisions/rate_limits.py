"""Rate limits that targets set for themselves.

The home node of a target has one RateLimit for it, which the dispatcher asks
before each request. Pure: no I/O, and the caller passes the time.
"""

import datetime

# After a pause, the requests of this time may be sent at once, but at least one.
# Limits are rates per second, so that the requests of a second are no excess.
BURST = datetime.timedelta(seconds=1)
# Lower limits count as this one. A target that accepts nothing still gets one
# request in ten seconds: only a response can show that the limit is lifted.
MIN_RATE = 0.1


class RateLimit:
    """The rate limit of one target, for the requests of all nodes together.

    Scenario: a target has free slots and responds quickly, but says that it
    accepts a few requests per second. Risk: entry nodes choose targets by free
    slots and latency, so it gets several times its limit; and entry nodes that
    each kept the limit would exceed it together. Only the home node sees all
    requests, so it spaces them by the interval that the limit allows (generic
    cell rate algorithm). After a pause, a burst of BURST is allowed. Any time
    span then has at most what the limit allows in it, plus one second's
    requests.
    """

    def __init__(self) -> None:
        self._rate: float | None = None
        self._named_at = datetime.timedelta()
        # When the whole burst is available again.
        self._replenished_at = datetime.timedelta()

    @property
    def rate(self) -> float | None:
        """Requests per second; None if the target sets no limit."""
        return self._rate

    def set_rate(self, rate: float, now: datetime.timedelta) -> None:
        """Sets the limit that a response has named.

        A first limit starts without a burst: the target has got the requests
        of the last second already.
        """
        was_unlimited = self._rate is None
        self._rate = rate
        self._named_at = now
        if was_unlimited:
            self._replenished_at = now + self._burst

    def lift(self, sent_at: datetime.timedelta) -> None:
        """Lifts the limit after a response that does not name one.

        Ignored if the request was sent before the last response that named a
        limit arrived: the responses may have crossed.

        Args:
          sent_at: when the request was sent.
        """
        if sent_at >= self._named_at:
            self._rate = None

    def take(self, now: datetime.timedelta) -> bool:
        """Returns whether a request may be sent now, and counts it if so."""
        if self._rate is None:
            return True
        if self.wait(now):
            return False
        self._replenished_at = max(self._replenished_at, now) + self._interval
        return True

    def wait(
        self, now: datetime.timedelta, requests_ahead: int = 0
    ) -> datetime.timedelta:
        """Returns the time until a request may be sent; zero if it may now.

        Args:
          now: the current time.
          requests_ahead: requests that are to be sent before it.
        """
        if self._rate is None:
            return datetime.timedelta()
        replenished_at = (
            max(self._replenished_at, now)
            + (1 + requests_ahead) * self._interval
        )
        return max(replenished_at - self._burst - now, datetime.timedelta())

    @property
    def _burst(self) -> datetime.timedelta:
        return max(BURST, self._interval)

    @property
    def _interval(self) -> datetime.timedelta:
        return datetime.timedelta(seconds=1 / max(self._rate or 0, MIN_RATE))
