"""Counts the repeats that reach the targets of simulated services.

From outside, as the targets see them: each arrival of a request after its
first, and each call that a target makes for such an arrival.
"""

import collections

from endivewind.soak import retry_checks
from endivewind.tests.loads import calling_fleet
from endivewind.tests.loads import fleet
from endivewind.tests.loads import retry_bound

# Retries that the fleet is allowed, for each request and in each window.
RETRY_SHARE = 0.2
RETRY_RESERVE = 60
# The part of both that is the limit of all nodes.
NODE_LIMITS = (15, 45)
# The service that the called one calls, and the numbers of its targets.
LAST_SERVICE = "maps"
LAST_NUMBERS = range(20, 22)
LAST_ROUTE = calling_fleet.CALL_ROUTE.model_copy(
    update={"service": LAST_SERVICE, "prefix": "/area/"}
)


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
        """Counts an arrival; returns whether it is a repeat."""
        has_arrived = request_id in self._known_ids
        self._known_ids.add(request_id)
        is_repeat = has_arrived or is_call_of_repeat
        if is_repeat:
            self.repeats.append(seconds)
            self.calls += not has_arrived
        return is_repeat

    def max_excess(self):
        """Returns the most repeats above the bound in any window."""
        return retry_checks.worst_window(
            self.requests,
            self.repeats,
            RETRY_SHARE,
            RETRY_RESERVE,
            retry_bound.WINDOW.total_seconds(),
        ).excess


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

    def __init__(self, simulated, name, service):
        super().__init__(simulated, name)
        self._service = service

    async def request(self, method, url, *, headers, **other):
        self._simulated.record_arrival(self._service, headers)
        return await super().request(method, url, headers=headers, **other)


class _CountingFleet:
    """Counts callers' requests and repeats by service.

    Attributes:
      counts: by service.
    """

    def __init__(self, *arguments, **options):
        self.counts = collections.defaultdict(RepeatCounts)
        # Requests that are at a target once more, and calls made for them.
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
        service = self.service_of(name)
        if self._call_route(name) is None:
            return _CountedTarget(self, service)
        return _CountedCallingTarget(self, name, service)

    def _retry_limits(self):
        limits = super()._retry_limits()
        return {**limits, calling_fleet.CALLED_SERVICE: self._retries}


class ChainRepeatFleet(CallingRepeatFleet):
    """The targets of the called service call those of a third one."""

    def __init__(self, seed, call_kinds, **options):
        super().__init__(seed, call_kinds, **options)
        for zone in fleet.ZONES:
            for number in LAST_NUMBERS:
                self._add_target(f"{zone}-{number}", zone)

    def _call_route(self, name):
        if _is_last(name):
            return None
        if calling_fleet.is_called(name):
            return LAST_ROUTE
        return super()._call_route(name)

    def service_of(self, name):
        return LAST_SERVICE if _is_last(name) else super().service_of(name)

    def _retry_limits(self):
        return {**super()._retry_limits(), LAST_SERVICE: self._retries}


def _is_last(name):
    """Returns whether a target, by its name, belongs to the last service."""
    return int(name.rpartition("-")[2]) in LAST_NUMBERS
