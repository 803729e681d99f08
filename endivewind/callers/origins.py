"""Where requests come from: callers, or the target beside this node."""

import datetime
from typing import Protocol

from endivewind import clock as clocks
from endivewind.decisions import peer_updates

# How often a node tells the callers' ways that it knows: a node that starts
# has them from its neighbours soon.
TELL_PERIOD = datetime.timedelta(seconds=1)
# They fit one datagram; a deployment with more learns the rest by itself.
MAX_TOLD = 16


class Beside(Protocol):
    """The target on this node's VM, whose calls begin at this node."""

    @property
    def is_working(self) -> bool:
        """Whether it has any work, so that it may call others."""

    @property
    def repeat_share(self) -> float:
        """The part of its work that has been sent to a target before."""


class Origins:
    """Tells callers' requests from the calls of the target beside.

    Load: a target calls other services for each request that it runs, and
    retries are a share of the requests of callers. Harm: counted as callers'
    requests, the calls let a service that is mostly called have several times
    the retries that it is promised; and the calls of work that is a repeat are
    repeats themselves, which nobody counts.

    Both arrive at the same address. But a target without work calls nobody:
    what arrives then is a caller's, and so is what goes the same way later.
    What goes any other way is a call of some of its work, as likely of one
    part of it as of another. A target that is seldom idle tells little, so
    nodes of a zone tell each other.
    """

    def __init__(
        self, clock: clocks.Clock, beside: Beside | None = None
    ) -> None:
        """Starts with no way known to be callers'.

        Args:
          clock: its monotonic time.
          beside: the target whose calls begin here; None where targets call
            through nodes that others use as well.
        """
        self._clock = clock
        self._beside = beside
        self._callers: set[peer_updates.IngressRoute] = set()
        self._told_at = clock.monotonic()

    def is_caller(self, service: str, prefix: str) -> bool:
        """Whether a request that begins now is surely one of a caller.

        Args:
          service: where it goes.
          prefix: its route's.
        """
        if self._beside is None:
            return True
        way = peer_updates.IngressRoute(service, prefix)
        if not self._beside.is_working:
            self._callers.add(way)
        return way in self._callers

    def repeat_share(self, service: str, prefix: str) -> float:
        """How likely a request that begins now is a call of a repeat."""
        if self._beside is None:
            return 0.0
        if peer_updates.IngressRoute(service, prefix) in self._callers:
            return 0.0
        return self._beside.repeat_share

    def hear(self, way: peer_updates.IngressRoute) -> None:
        """Takes a way that a neighbour knows to be callers'."""
        self._callers.add(way)

    def due(self) -> tuple[peer_updates.IngressRoute, ...]:
        """Ways to tell the neighbours now; call it often."""
        now = self._clock.monotonic()
        if self._beside is None or now - self._told_at < TELL_PERIOD:
            return ()
        self._told_at = now
        return tuple(sorted(self._callers)[:MAX_TOLD])
