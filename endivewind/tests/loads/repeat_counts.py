"""Counts the repeats that reach the targets of simulated services.

From outside, as the targets see them: each arrival of a request after its
first, and each call that a target makes for such an arrival.
"""

import collections

from endivewind.tests.loads import calling_fleet
from endivewind.tests.loads import fleet
from endivewind.tests.loads import retry_bound

# Retries that the fleet is allowed, for each request and in each window.
RETRY_SHARE = 0.2
RETRY_RESERVE = 60
# The part of both that is the limit of all nodes.
NODE_LIMITS = (15, 45)


class RepeatCounts:
    """What has reached the targets of one service.

    Attributes:
      requests: when callers sent requests, in seconds.
      repeats: when repeats arrived, in seconds.
      calls: how many of the repeats were calls of repeated requests.
    """

    def __init__(self):
        self.requests = []
        self.repeats = []
        self.calls = 0
        self._known_ids = set()

    def record_arrival(self, request_id, seconds, *, is_call_of_repeat=False):
        """Counts an arrival; returns whether its request had arrived before."""
        is_repeat = request_id in self._known_ids
        self._known_ids.add(request_id)
        if is_repeat or is_call_of_repeat:
            self.repeats.append(seconds)
            self.calls += not is_repeat
        return is_repeat

    def max_excess(self):
        """Returns the most repeats above the bound in any window."""
        seconds = retry_bound.WINDOW.total_seconds()
        return retry_bound.max_excess(
            self.requests,
            self.repeats,
            RETRY_SHARE,
            RETRY_RESERVE,
            window=seconds,
        )


class _CountedTarget(fleet.FakeTarget):
    """A target that counts what arrives."""

    def __init__(self, simulated, service):
        super().__init__(simulated.rng)
        self._simulated = simulated
        self._service = service

    async def request(self, method, url, *, headers, **other):
        self._simulated.record_arrival(self._service, headers)
        return await super().request(method, url, headers=headers, **other)


class _CountedCallingTarget(calling_fleet.CallingTarget):
    """A target that counts what arrives, and makes calls."""

    async def request(self, method, url, *, headers, **other):
        self._simulated.record_arrival(fleet.SERVICE, headers)
        return await super().request(method, url, headers=headers, **other)


class _CountingFleet:
    """Counts callers' requests and repeats by service.

    Attributes:
      counts: by service.
    """

    def __init__(self, *arguments, **options):
        self.counts = collections.defaultdict(RepeatCounts)
        # Requests that are at a target once more.
        self._repeated_ids = set()
        super().__init__(*arguments, **options)

    def record_arrival(self, service, headers):
        """Counts a request that arrives at a target."""
        caller_id = headers.get("Caller-Id")
        is_repeat = self.counts[service].record_arrival(
            headers["Id"],
            self.loop.time(),
            is_call_of_repeat=caller_id in self._repeated_ids,
        )
        if is_repeat:
            self._repeated_ids.add(headers["Id"])

    async def _send_request(self, kind, zone):
        self.counts[kind.service].requests.append(self.loop.time())
        await super()._send_request(kind, zone)


class RepeatFleet(_CountingFleet, fleet.Fleet):
    """Targets of one service."""

    def _make_target(self, name):
        return _CountedTarget(self, fleet.SERVICE)


class CallingRepeatFleet(_CountingFleet, calling_fleet.CallingFleet):
    """Targets of one service that call those of another one."""

    def _make_target(self, name):
        if calling_fleet.is_called(name):
            return _CountedTarget(self, calling_fleet.CALLED_SERVICE)
        return _CountedCallingTarget(self, name)

    def _retry_limits(self):
        limits = super()._retry_limits()
        return {**limits, calling_fleet.CALLED_SERVICE: self._retries}
