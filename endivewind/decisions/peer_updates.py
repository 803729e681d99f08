"""Status updates that nodes of a zone or region push to each other.

Gossip datagrams carry them. Home nodes push the status of suspect targets,
and entry nodes push their use of retry budgets and their entry routes. A
target's home node is the node that forwards requests to it; the entry node of a
request is the node that the caller sent it to. Pure: no I/O, and the caller
passes the time.
"""

import collections.abc
import dataclasses
import datetime

from endivewind import exchange
from endivewind.decisions import admission_level
from endivewind.decisions import retry_budget
from endivewind.decisions import retry_priorities
from endivewind.decisions import suspicion

# Minimum time between two updates of a home node. At most four updates per
# second, of about 90 bytes each, to MAX_PEERS nodes stay below 9 KB/s, even if
# a target is unhealthy for hours.
MIN_UPDATE_INTERVAL = datetime.timedelta(milliseconds=250)
# Maximum number of nodes that an update is sent to. In larger zones it goes to
# a random selection; the other entry nodes see enough responses to their own
# requests to do without it.
MAX_PEERS = 24


def shares_retries_in_region(other_nodes: int) -> bool:
    """Whether entry nodes share retry budgets with their whole region.

    Scenario: few requests per entry node, of which one in ten fails, in bursts.
    Risk: a zone of six nodes, which together may make nine retries in ten
    seconds, uses up its budget while the neighboring zone has used none.
    Sharing among twice as many nodes doubles the budget and evens out the
    bursts. Since each node's usage is sent to every other node that shares the
    budget, this is limited to small regions.

    Args:
      other_nodes: number of other nodes in the region.
    """
    return other_nodes <= MAX_PEERS


@dataclasses.dataclass(frozen=True, slots=True)
class TargetUpdate:
    """The status of a target, which its home node pushes to its peers.

    Attributes:
      target: the target's id.
      report: the same as its home attaches to each of its responses.
    """

    target: str
    report: exchange.TargetReport


@dataclasses.dataclass(frozen=True, slots=True)
class RetryUsage:
    """An entry node's use of a retry budget in the current window.

    Attributes:
      service: the service that the budget belongs to.
      counts: the entry node's requests and retries.
      demands: the retries that its requests wanted, by priority; empty unless
        it gives scarce retries to urgent requests first.
    """

    service: str
    counts: retry_budget.RequestCounts
    demands: tuple[retry_priorities.RetryDemand, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class EntryRoute:
    """A service and route prefix by which callers' requests enter the fleet."""

    service: str
    prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUpdate:
    """What a node pushes to nearby nodes about itself and its targets.

    False in a boolean context if empty.

    Attributes:
      target_updates: status of the sender's targets.
      retry_usages: the sender's use of retry budgets.
      entry_routes: routes by which the sender receives callers' requests.
      demands: the sender's demand, for the coordinator of the services.
      admission_levels: levels of the services that the sender coordinates.
    """

    target_updates: tuple[TargetUpdate, ...] = ()
    retry_usages: tuple[RetryUsage, ...] = ()
    entry_routes: tuple[EntryRoute, ...] = ()
    demands: tuple[admission_level.ServiceDemand, ...] = ()
    admission_levels: tuple[admission_level.AdmissionLevel, ...] = ()

    def __bool__(self) -> bool:
        return bool(
            self.target_updates
            or self.retry_usages
            or self.entry_routes
            or self.demands
            or self.admission_levels
        )


EMPTY_UPDATE = PeerUpdate()


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSnapshot:
    """The current status of a target at its home node.

    Attributes:
      update: the update that would be pushed.
      signal_count: number of signals that the suspicion is based on.
    """

    update: TargetUpdate
    signal_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class _SentUpdate:
    signal_count: int
    suspicion: float
    sent_at: datetime.timedelta


class TargetUpdatePublisher:
    """Chooses the target updates that a home node pushes.

    Scenario: many entry nodes in front of a few targets, each with one or two
    requests per second. Risk: an entry node learns of a target's health only
    from its own requests, so a target that becomes unhealthy fails a request
    of every entry node in turn, and each non-idempotent one is lost. The home
    node sees all requests to the target. One update to the entry nodes of its
    zone, from which nearly all requests come, saves the requests that the
    others would lose. While all targets are healthy, no updates are sent.
    """

    def __init__(self) -> None:
        self._sent: dict[str, _SentUpdate] = {}
        self._last_sent: datetime.timedelta | None = None

    def take_due_updates(
        self,
        snapshots: collections.abc.Iterable[TargetSnapshot],
        now: datetime.timedelta,
    ) -> tuple[TargetUpdate, ...]:
        """Returns the updates to push now and records them as sent.

        Returns none if the last updates were sent too recently.

        A suspect target's update is repeated after each new signal, and once
        more when the target is no longer suspect.

        Args:
          snapshots: snapshots of all targets of the home.
          now: the current monotonic time.
        """
        if (
            self._last_sent is not None
            and now - self._last_sent < MIN_UPDATE_INTERVAL
        ):
            return ()
        snapshots = list(snapshots)
        due = [item for item in snapshots if self._is_due(item, now)]
        for item in due:
            update = item.update
            self._sent[update.target] = _SentUpdate(
                item.signal_count, update.report.suspicion, now
            )
        if due:
            self._last_sent = now
            self._remove_departed(snapshots)
        return tuple(item.update for item in due)

    def _is_due(
        self, snapshot: TargetSnapshot, now: datetime.timedelta
    ) -> bool:
        current = snapshot.update.report.suspicion
        sent = self._sent.get(snapshot.update.target)
        if sent is None:
            return current >= suspicion.SUSPECT_THRESHOLD
        if snapshot.signal_count == sent.signal_count:
            return False
        expected = suspicion.decay(sent.suspicion, now - sent.sent_at)
        return max(current, expected) >= suspicion.SUSPECT_THRESHOLD

    def _remove_departed(self, snapshots: list[TargetSnapshot]) -> None:
        present = {item.update.target for item in snapshots}
        for target in self._sent.keys() - present:
            del self._sent[target]
