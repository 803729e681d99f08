"""Distinguishes callers' requests from those that the local target sends.

Both arrive at the same address of the entry node. The gateway counts only
callers' requests for retry budgets. A call is a request that a target sends to
another service.
"""

import datetime
import itertools
import logging
from typing import Protocol

from endivewind import clock as clocks
from endivewind import logs
from endivewind.decisions import peer_updates
from endivewind.targets import target_request

log = logging.getLogger(__name__)

# Interval at which a node sends its entry routes to its neighbours, so that a
# node that starts learns them soon.
UPDATE_INTERVAL = datetime.timedelta(seconds=1)
# Time after a restart in which the target may still work on requests that were
# sent before. Usual requests end sooner; a longer time would delay that callers'
# routes are learned when all nodes have restarted.
UNKNOWN_WORK_TIME = datetime.timedelta(seconds=2)
# Number of routes that fit into one datagram. If there are more, successive
# updates send them in turn.
MAX_ROUTES_PER_UPDATE = 16


class LocalTarget(Protocol):
    """Activity of the target on this node's VM, whose calls enter here."""

    @property
    def has_active_work(self) -> bool:
        """Whether it is running any request, so that it may call services."""

    @property
    def may_resume_work(self) -> bool:
        """Whether it may go on with a request that was given up lately."""

    @property
    def expected_repeat_share(self) -> float:
        """Expected share of repeats among the requests that it is running."""


class EntryRoutes:
    """Learns the routes by which callers' requests enter the fleet.

    Scenario: a target calls other services for each request that it runs, and
    retries are limited to a share of callers' requests. Risk: if these calls
    counted as callers' requests, a service that is mostly called by targets
    would get several times the retries that its limit allows. In addition, the
    calls made by a retried request are retries themselves and would not be
    counted.

    An idle target makes no calls. So a request that arrives while the target is
    idle is a caller's, and so are later requests with the same service and
    route prefix. All other requests are assumed to be calls by the target, and
    each is equally likely to belong to any of the requests that it runs. So the
    share of these that may be retries is the probability that a call is made
    for a retry. A target that is rarely idle reveals few routes, so the nodes
    of a zone exchange them.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        local_target: LocalTarget | None = None,
        *,
        is_restart: bool = False,
    ) -> None:
        """Starts without any known routes.

        Args:
          clock: the clock; its monotonic time is used.
          local_target: the target whose calls enter at this node; None if
            targets send their calls through shared nodes. Then all requests
            count as callers'.
          is_restart: whether the target may run requests that an earlier
            incarnation of this node sent to it.
        """
        self._clock = clock
        self._local_target = local_target
        # The keys are the routes, those that were sent last at the end.
        self._caller_routes: dict[peer_updates.EntryRoute, None] = {}
        self._last_update = clock.monotonic()
        # Until then nothing is known of the target's earlier requests.
        self._unknown_until = clock.monotonic()
        # Routes that are learned until then may be those of calls, for requests
        # that the target had before the restart and that took unusually long,
        # or that it resumes. The latter may only come from this VM.
        self._remote_provisional_until = clock.monotonic()
        self._provisional_until = clock.monotonic()
        self._provisional_routes: set[peer_updates.EntryRoute] = set()
        if is_restart:
            self._unknown_until += UNKNOWN_WORK_TIME
            self._remote_provisional_until += target_request.MAX_ABANDONED_WORK
            self._provisional_until += target_request.MAX_RESUMED_WORK

    def is_from_caller(self, service: str, prefix: str) -> bool:
        """Whether a request that arrives now is known to be a caller's.

        It may come from this VM.

        Args:
          service: the service that it is routed to.
          prefix: the path prefix of its route.
        """
        if self._local_target is None:
            return True
        if not self.may_target_call:
            self._learn_while_idle(
                peer_updates.EntryRoute(service, prefix),
                self._provisional_until,
            )
        return self.is_entry_route(service, prefix)

    def record_remote_request(self, service: str, prefix: str) -> None:
        """Learns from a request that does not come from this VM.

        Args:
          service: the service that it is routed to.
          prefix: the path prefix of its route.
        """
        if self._local_target is not None and not self.is_target_active:
            self._learn_while_idle(
                peer_updates.EntryRoute(service, prefix),
                self._remote_provisional_until,
            )

    @property
    def may_target_call(self) -> bool:
        """Whether the local target may call, however unlikely that is.

        Scenario: a target is paused for longer than the time limits of its
        requests, and goes on with them. Risk: its calls arrive while it seems
        to be idle, and make their route an entry route for good.
        """
        return self.is_target_active or (
            self._local_target is not None
            and self._local_target.may_resume_work
        )

    @property
    def is_target_active(self) -> bool:
        """Whether the local target may run a request, so that it may call.

        Scenario: a node is stopped or killed, and starts again while its target
        works on a request that it got before. Risk: a call for that request
        would make its route an entry route, at all nodes of the zone and until
        they restart. Then calls would add to the retry budget of the called
        service, and those of retried requests would not be charged.
        """
        if self._local_target is None:
            return False
        return (
            self._clock.monotonic() < self._unknown_until
            or self._local_target.has_active_work
        )

    def is_entry_route(self, service: str, prefix: str) -> bool:
        """Whether callers are known to use a route; learns nothing."""
        route = peer_updates.EntryRoute(service, prefix)
        return route in self._caller_routes or (
            self._clock.monotonic() < self._provisional_until
            and route in self._provisional_routes
        )

    def retry_probability(self, service: str, prefix: str) -> float:
        """Returns the probability that a request is a retried request's call.

        Args:
          service: the service that it is routed to.
          prefix: the path prefix of its route.
        """
        if self._local_target is None:
            return 0.0
        if self.is_entry_route(service, prefix):
            return 0.0
        return self._local_target.expected_repeat_share

    def _learn_while_idle(
        self,
        route: peer_updates.EntryRoute,
        provisional_until: datetime.timedelta,
    ) -> None:
        """Adds a route by which a request has come while the target is idle.

        Scenario: a node restarts while its target works on a request for longer
        than usual. Risk: a call for it makes its route an entry route of the
        whole region, as neighbours learn it, for as long as they run. So what
        is learned soon after a restart is not sent to neighbours, and has to be
        learned again later.

        Args:
          route: the route.
          provisional_until: the end of that time.
        """
        if self._clock.monotonic() < provisional_until:
            self._provisional_routes.add(route)
        else:
            self._learn(route, "idle target")

    def add_route(self, route: peer_updates.EntryRoute, sender: str) -> None:
        """Adds an entry route that a neighbour has sent."""
        self._learn(route, sender)

    def _learn(self, route: peer_updates.EntryRoute, source: str) -> None:
        """Adds a route, and logs it if it is new."""
        if route in self._caller_routes:
            return
        self._caller_routes[route] = None
        fields = logs.fields(
            service=route.service, prefix=route.prefix, source=source
        )
        log.info("entry route learned", extra=fields)

    def take_due_updates(self) -> tuple[peer_updates.EntryRoute, ...]:
        """Returns the routes to send to the neighbours now.

        Also restarts the interval until the next update. The node polls this
        several times a second.
        """
        now = self._clock.monotonic()
        if (
            self._local_target is None
            or now - self._last_update < UPDATE_INTERVAL
        ):
            return ()
        self._last_update = now
        routes = tuple(
            itertools.islice(self._caller_routes, MAX_ROUTES_PER_UPDATE)
        )
        for route in routes:
            del self._caller_routes[route]
            self._caller_routes[route] = None
        return routes
