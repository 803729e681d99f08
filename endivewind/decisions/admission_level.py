"""Admission levels: which requests for a scarce service a zone admits.

The coordinator of a service (`nodes/admission.py`) computes its level from the
demand that the entry nodes of its zone report, and each entry node checks new
requests by it (`callers/admission_control.py`).
"""

import collections
import collections.abc
import dataclasses
import datetime
import math

# Time for which a level is valid after it was received. Several updates of the
# largest zone fit into it, so that the loss of one does not end the level.
VALIDITY = datetime.timedelta(seconds=2)
# Rates are measured over this time, or over one report if that is longer. A
# longer time would delay the end of a level after a fall of the demand.
WINDOW = datetime.timedelta(seconds=1)
# The allowance is computed from rates over as many windows as it takes to
# contain WINDOW_REQUESTS served requests, but at most MAX_WINDOWS. The rate of
# fewer requests varies by more than a tenth.
WINDOW_REQUESTS = 64
MAX_WINDOWS = 4
# Windows over which the demand of classes is measured. Over more of them, the
# admitted load of few nodes stays wrong for longer than their queues last.
SHARE_WINDOWS = 1.5
# Time from the first report until the first level that refuses requests, in
# addition to the interval of reports. Then all nodes have reported, and the
# served rate covers the overload only.
LEARNING_TIME = datetime.timedelta(milliseconds=250)
# Reports of a node are used for two of its intervals and this time longer.
# Several may be lost in a row; without the node, both demand and served rate
# look lower.
SILENCE_TIME = datetime.timedelta(seconds=2)
# A level ends after this time without waiting requests and without refusals.
CALM_TIME = datetime.timedelta(seconds=1)
# Reused share: share of served requests whose slot another request was waiting
# for at the home. The others leave a slot idle until the next request arrives.
# At this share targets are hardly ever idle.
REUSED_SHARE = 0.9
# Requests per slot that may wait at homes; their queues hold two per slot. Full
# ones displace requests that have been held for long.
MAX_BACKLOG = 0.7
# Headroom of the allowance above the served rate: for each unit by which the
# reused share is too low, and less for each unit of backlog that is too much.
REUSED_GAIN = 0.6
BACKLOG_GAIN = 0.15
MAX_HEADROOM = 0.2
# A reused or delayed share, and a backlog, from which a service counts as
# overloaded if requests wait at entry nodes too.
OVERLOAD_SHARE = 0.5
OVERLOAD_BACKLOG = 0.5
# Growth of the allowance at each computation while capacity is spare, and its
# bound relative to the admitted load. While levels are late, the admitted load
# does not show the growth yet, and the allowance would grow without effect.
SPARE_GROWTH = 1.25
MAX_GROWTH = 1.5
# Capacity is spare if the reused share is below this, and also the share of
# placed requests that had to wait at their entry node.
SPARE_SHARE = 0.25
# Time constant with which the allowance follows the served rate. It averages
# random service times over about as many requests as one window has nodes.
SMOOTHING_TIME = datetime.timedelta(seconds=2)
# Requests per second that are admitted at least. Without them nothing would
# show that a service serves again after all its targets had stopped.
MIN_ALLOWANCE = 1.0
# Workspaces with a share of their own in a level; a level has to fit into a
# datagram together with others.
MAX_WORKSPACE_SHARES = 8
# Bound of the expected wait of refused requests. Callers that came back later
# than this would leave capacity unused once the overload is over.
MAX_RETRY_AFTER = datetime.timedelta(seconds=8)
_SECOND = datetime.timedelta(seconds=1)
_LOWEST_PRIORITY = -(2**31)
_SUMMED = ("served", "refused", "placed", "delayed", "reused", "backlog")


@dataclasses.dataclass(frozen=True, slots=True)
class ClassDemand:
    """Requests of one queue priority and workspace.

    Attributes:
      priority: their queue priority.
      workspace: their workspace; empty if none, or if several are combined.
      weight: weight of the workspace in fair queueing.
      count: requests that arrived.
    """

    priority: int
    workspace: str
    weight: int
    count: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceDemand:
    """Demand for one service at one entry node in the time before a report.

    Consecutive reports cover overlapping periods, so that a lost one does not
    take its counts with it.

    Attributes:
      service: the service.
      period: time that the counts cover.
      classes: requests that arrived, refused ones included.
      served: requests that ended after a target had run them.
      placed: requests that were sent to a target or refused by a queue.
      delayed: those of them that had to wait for a slot.
      waiting: requests that are waiting for a slot now.
      oldest_wait: how long the first of these has waited.
      reused: served requests for whose slot another one waited at the home.
      backlog: requests per slot that waited there, summed over these requests.
      refused: requests that the level refused.
      ended: when the period ended, by the clock of the entry node; None for
        when the report is received, as with nodes of earlier releases.
      interval: time since the last report; None for the whole period.
    """

    service: str
    period: datetime.timedelta
    classes: tuple[ClassDemand, ...] = ()
    served: int = 0
    placed: int = 0
    delayed: int = 0
    waiting: int = 0
    oldest_wait: datetime.timedelta = datetime.timedelta()
    reused: int = 0
    backlog: float = 0.0
    refused: int = 0
    ended: datetime.timedelta | None = None
    interval: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceShare:
    """The admitted share of one workspace's requests of the lowest priority."""

    workspace: str
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionLevel:
    """Which requests for a service are admitted.

    Attributes:
      service: the service.
      number: increases with each level of a coordinator, also over restarts.
      valid_for: time for which the level is valid; zero ends it.
      lowest_priority: the lowest queue priority that is admitted.
      share: admitted share of the requests of that priority.
      workspace_shares: shares of the workspaces that exceed their fair share of
        that priority; `share` applies to all others.
      retry_after: expected wait of a refused request.
    """

    service: str
    number: int
    valid_for: datetime.timedelta = VALIDITY
    lowest_priority: int = _LOWEST_PRIORITY
    share: float = 1.0
    workspace_shares: tuple[WorkspaceShare, ...] = ()
    retry_after: datetime.timedelta = _SECOND

    @property
    def strictness(self) -> tuple[int, float]:
        """Sorts levels: a stricter one is greater."""
        return self.lowest_priority, -self.share

    @property
    def is_open(self) -> bool:
        """Whether all requests are admitted; their waits are still limited."""
        return self.lowest_priority == _LOWEST_PRIORITY

    def share_of(self, workspace: str) -> float:
        """Returns the admitted share of a workspace at the lowest priority."""
        for item in self.workspace_shares:
            if item.workspace == workspace:
                return item.share
        return self.share


@dataclasses.dataclass(frozen=True, slots=True)
class _Rates:
    """Requests per second over all entry nodes, and the share that waited."""

    classes: tuple[ClassDemand, ...]
    arrived: float
    admitted: float
    served: float
    delayed_share: float
    reused_share: float
    backlog: float
    waiting: float

    @property
    def busy_share(self) -> float:
        """The greater of the shares that indicate that no slots are idle."""
        return max(self.delayed_share, self.reused_share)


class _NodeReports:
    """The latest reports of one entry node.

    Reports may be lost, repeated or received in another order. They are
    ordered by the clock of their sender; a report that is there already, or
    that ended too long before the latest one, is ignored. If the clock of the
    sender starts anew, its reports are used again once it counts as silent.
    """

    def __init__(self) -> None:
        self._last_received = datetime.timedelta()
        # By the end of their periods, the latest first.
        self._reports: list[tuple[datetime.timedelta, ServiceDemand]] = []

    @property
    def interval(self) -> datetime.timedelta:
        """Time between the latest report and the one before."""
        latest = self._reports[0][1]
        return latest.period if latest.interval is None else latest.interval

    def add(self, demand: ServiceDemand, now: datetime.timedelta) -> None:
        """Stores a report."""
        ended = now if demand.ended is None else demand.ended
        latest = self._reports[0][0] if self._reports else ended
        oldest = max(latest, ended) - MAX_WINDOWS * WINDOW
        if ended < oldest or any(ended == item for item, _ in self._reports):
            return
        self._last_received = now
        self._reports.append((ended, demand))
        self._reports.sort(key=lambda item: item[0], reverse=True)
        while self._reports[-1][0] < oldest:
            self._reports.pop()

    def is_silent(self, now: datetime.timedelta) -> bool:
        """Returns whether the node does not report any more."""
        silence = now - self._last_received
        return silence > 2 * self.interval + SILENCE_TIME

    def cover(
        self, window: datetime.timedelta
    ) -> list[tuple[float, ServiceDemand]]:
        """Returns the latest reports that cover a window, and their weights.

        Their periods do not overlap. Of the last one only the part that lies
        within the window counts; the first one counts whole.
        """
        chosen: list[tuple[float, ServiceDemand]] = []
        remaining = window
        started = None
        for ended, item in self._reports:
            if started is not None and ended > started:
                continue
            weight = min(1.0, remaining / item.period) if chosen else 1.0
            chosen.append((weight, item))
            remaining -= item.period
            started = ended - item.period
            if remaining <= datetime.timedelta():
                break
        return chosen


class LevelCalculator:
    """Computes the level of one service from the reports of entry nodes.

    Scenario: callers send twice or four times what the targets serve, through
    96 entry nodes with one or two waiting requests each. Risk: each node admits
    what it receives, so urgent requests are refused at one node while less
    urgent ones are served at the next, and all of them are held first. So the
    urgent classes are admitted whole until their demand reaches the allowance,
    and the next class in part.

    The allowance follows the served rate, plus a headroom. It needs no
    measurement of the targets' capacity, and it does not react to waits, which
    are known late and would make it oscillate: with reports or levels that are
    2 s late, constant demand still gives a constant level. It grows quickly
    only while hardly any placed request had to wait.
    """

    def __init__(self, service: str, now: datetime.timedelta) -> None:
        self._service = service
        self._started = now
        self._reports: dict[str, _NodeReports] = {}
        self._allowance: float | None = None
        self._updated = now
        self._limited_since = now
        self._sender_count = 0
        self._last_busy = now

    @property
    def allowance(self) -> float:
        """Requests per second that are admitted; 0 while unknown."""
        return self._allowance or 0.0

    def record(
        self, sender: str, demand: ServiceDemand, now: datetime.timedelta
    ) -> None:
        """Stores the report of an entry node."""
        self._reports.setdefault(sender, _NodeReports()).add(demand, now)

    def compute(
        self, number: int, now: datetime.timedelta
    ) -> AdmissionLevel | None:
        """Returns the level in force now; None if everything is admitted.

        Args:
          number: the number of the level.
          now: the current time.
        """
        self._remove_silent(now)
        recent = self._rates(WINDOW)
        rates = self._long_rates(recent)
        if recent.waiting or recent.busy_share > SPARE_SHARE:
            self._last_busy = now
        if now - self._started >= LEARNING_TIME + self._longest_interval():
            self._update_allowance(recent, rates, now)
        allowance = self._allowance
        # A fall of the demand shows in the recent rate first; a random peak of
        # few requests shows in that one only.
        demand = min(recent.arrived, rates.arrived)
        if allowance is not None and demand > allowance:
            self._last_busy = now
            classes = self._rates(SHARE_WINDOWS * WINDOW).classes
            return _limit_classes(self._service, number, classes, allowance)
        if now - self._last_busy >= CALM_TIME:
            return None
        return AdmissionLevel(self._service, number)

    def _long_rates(self, recent: _Rates) -> _Rates:
        """Returns rates over as many windows as a precise result takes."""
        if recent.served * WINDOW.total_seconds() >= WINDOW_REQUESTS:
            return recent
        windows = WINDOW_REQUESTS / max(
            1.0, recent.served * WINDOW.total_seconds()
        )
        return self._rates(min(windows, MAX_WINDOWS) * WINDOW)

    def _longest_interval(self) -> datetime.timedelta:
        return max(
            (reports.interval for reports in self._reports.values()),
            default=datetime.timedelta(),
        )

    def _update_allowance(
        self, recent: _Rates, rates: _Rates, now: datetime.timedelta
    ) -> None:
        """Lets the allowance follow the served rate, or grow."""
        elapsed = now - self._updated
        self._updated = now
        if not self._reports:
            return
        wanted = (1 + _headroom(recent)) * rates.served
        if self._allowance is None:
            if not _is_overloaded(recent):
                return
            # Few requests may show too low a rate by this much. Too high an
            # allowance is corrected sooner, since it fills the queues.
            count = rates.served * WINDOW.total_seconds()
            self._allowance = wanted * (1 + 1 / math.sqrt(max(1.0, count)))
            self._limited_since = now - elapsed
        else:
            # Nodes whose first report is late add to the served rate, too.
            self._allowance *= len(self._reports) / self._sender_count
        self._sender_count = len(self._reports)
        if recent.busy_share < SPARE_SHARE:
            grown = min(
                SPARE_GROWTH * self._allowance, MAX_GROWTH * recent.admitted
            )
            self._allowance = max(self._allowance, grown)
        else:
            # At first a mean with growing weights: the first served rates are
            # too low, since requests take some time to be served.
            age = (now - self._limited_since) / 2
            gain = elapsed / max(elapsed, min(age, SMOOTHING_TIME))
            self._allowance += gain * (wanted - self._allowance)
        self._allowance = max(self._allowance, MIN_ALLOWANCE)

    def _remove_silent(self, now: datetime.timedelta) -> None:
        """Drops the reports of nodes that no longer report."""
        for sender, reports in list(self._reports.items()):
            if reports.is_silent(now):
                del self._reports[sender]

    def _rates(self, window: datetime.timedelta) -> _Rates:
        """Returns the rates over a window, which ends at each last report."""
        counts: dict[tuple[int, str, int], float] = collections.defaultdict(
            float
        )
        total: collections.Counter[str] = collections.Counter()
        for reports in self._reports.values():
            chosen = reports.cover(window)
            seconds = sum(
                weight * item.period.total_seconds() for weight, item in chosen
            )
            for weight, item in chosen:
                per_second = weight / seconds
                for demand in item.classes:
                    key = (demand.priority, demand.workspace, demand.weight)
                    counts[key] += demand.count * per_second
                for name in _SUMMED:
                    total[name] += getattr(item, name) * per_second
            total["waiting"] += chosen[0][1].waiting
        arrived = sum(counts.values())
        served = total["served"]
        return _Rates(
            tuple(ClassDemand(*key, count) for key, count in counts.items()),
            arrived,
            arrived - total["refused"],
            served,
            total["delayed"] / total["placed"] if total["placed"] else 0.0,
            total["reused"] / served if served else 0.0,
            total["backlog"] / served if served else 0.0,
            total["waiting"],
        )


def _is_overloaded(recent: _Rates) -> bool:
    """Returns whether slots are scarce at the homes and the entry nodes.

    While the demand rises, it exceeds the served rate although there are idle
    slots, because requests take some time to be served.
    """
    return (
        recent.waiting > 0
        and recent.busy_share >= OVERLOAD_SHARE
        and recent.backlog >= OVERLOAD_BACKLOG
    )


def _headroom(recent: _Rates) -> float:
    """Returns by which share the allowance exceeds the served rate."""
    idle = max(0.0, REUSED_SHARE - recent.reused_share)
    excess = max(0.0, recent.backlog - MAX_BACKLOG)
    return min(REUSED_GAIN * idle - BACKLOG_GAIN * excess, MAX_HEADROOM)


def _limit_classes(
    service: str,
    number: int,
    classes: collections.abc.Iterable[ClassDemand],
    allowance: float,
) -> AdmissionLevel:
    """Returns the level that admits the allowance, urgent classes first."""
    by_priority: dict[int, list[ClassDemand]] = {}
    arrived = 0.0
    for item in classes:
        by_priority.setdefault(item.priority, []).append(item)
        arrived += item.count
    remaining = allowance
    lowest, members = _LOWEST_PRIORITY, list[ClassDemand]()
    for lowest in sorted(by_priority, reverse=True):
        members = by_priority[lowest]
        demand = sum(item.count for item in members)
        if demand >= remaining:
            break
        remaining -= demand
    else:
        # The classes are measured over more time than the demand that exceeds
        # the allowance, so while demand rises all of them may fit.
        remaining = math.inf
    share, workspace_shares = _fair_shares(members, remaining)
    wait = min(_SECOND * arrived / allowance, MAX_RETRY_AFTER)
    return AdmissionLevel(
        service,
        number,
        VALIDITY,
        lowest,
        share,
        workspace_shares,
        max(wait, _SECOND),
    )


def _fair_shares(
    members: collections.abc.Sequence[ClassDemand], allowance: float
) -> tuple[float, tuple[WorkspaceShare, ...]]:
    """Divides the allowance of one priority among workspaces.

    Scenario: one workspace sends twenty times its usual load. Risk: an equal
    share of all requests would let it displace the other workspaces of its
    rank. So each gets its demand up to its weighted fair share (max-min
    fairness), and those above it have shares of their own.

    Returns:
      The share of all workspaces without a share of their own, and the shares.
    """
    remaining, weights = allowance, sum(item.weight for item in members)
    ordered = sorted(members, key=lambda item: item.count / item.weight)
    limited: list[tuple[float, ClassDemand]] = []
    for item in ordered:
        granted = min(item.count, remaining * item.weight / weights)
        remaining -= granted
        weights -= item.weight
        limited.append((granted, item))
    limited.sort(key=lambda pair: pair[0] / pair[1].count)
    own = [
        pair
        for pair in limited[:MAX_WORKSPACE_SHARES]
        if pair[1].workspace and pair[0] < pair[1].count
    ]
    others = [pair for pair in limited if pair not in own]
    demand = sum(item.count for _, item in others)
    share = sum(granted for granted, _ in others) / demand if demand else 1.0
    return min(1.0, share), tuple(
        WorkspaceShare(item.workspace, granted / item.count)
        for granted, item in own
    )
