"""Where requests come from: callers, or the target beside this node."""

from typing import Protocol


class Beside(Protocol):
    """The target on this node's VM, whose calls begin at this node."""

    @property
    def is_working(self) -> bool:
        """Whether it has any work, so that it may call others."""

    @property
    def runs_repeat(self) -> bool:
        """Whether some of its work has been sent to a target before."""


class Origins:
    """Tells callers' requests from the calls of the target beside.

    Load: a target calls other services for each request that it runs, and
    retries are a share of the requests of callers. Harm: counted as callers'
    requests, the calls let a service that is mostly called have several times
    the retries that it is promised; and the calls of work that is a repeat are
    repeats themselves, which nobody counts.

    Both arrive at the same address. But a target without work calls nobody:
    what arrives then is a caller's, and so is what goes the same way later.
    While it runs a repeat, what goes any other way may be a call of that.
    """

    def __init__(self, beside: Beside | None = None) -> None:
        """Starts with no way known to be callers'.

        Args:
          beside: the target whose calls begin here; None where targets call
            through nodes that others use as well.
        """
        self._beside = beside
        self._callers: set[tuple[str, str]] = set()

    def is_caller(self, service: str, prefix: str) -> bool:
        """Whether a request that begins now is surely one of a caller.

        Args:
          service: where it goes.
          prefix: its route's.
        """
        if self._beside is None:
            return True
        way = service, prefix
        if not self._beside.is_working:
            self._callers.add(way)
        return way in self._callers

    def may_repeat(self, service: str, prefix: str) -> bool:
        """Whether a request that begins now may be a call of a repeat."""
        if self._beside is None or not self._beside.runs_repeat:
            return False
        return (service, prefix) not in self._callers
