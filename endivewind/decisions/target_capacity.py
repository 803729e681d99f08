"""Measured capacity of targets: how many requests a second each can serve.

Targets of one service may differ in speed by a factor of five. Homes measure
how long each target works on a request (`WorkTime`) and report it to entry
nodes, which choose targets in proportion to their capacity (`WorkTimes`,
`TierCapacity`). Each class describes the load for which it is designed and the
failure that it prevents.
"""

import bisect
import collections.abc
import dataclasses
import datetime
import itertools
import random

from endivewind.decisions import capacity_floor

# Weight of a request in the mean work time of a target. The mean then follows a
# change of the speed within about 16 requests, and its standard error is about
# a tenth where work times vary by half of their mean.
WORK_TIME_WEIGHT = 1 / 16
# With fewer requests the mean is too uncertain to be reported.
MIN_SAMPLES = 4
# Factor by which a mean must change to be logged. Three times its standard
# error, so that a target of constant speed is logged a few times only.
LOGGED_CHANGE = 1.5
# A reported work time is used for this long. An entry node sends a few requests
# a second to up to 24 targets, so that each gets one every few seconds, and a
# target that is five times as slow as others one within about 20 s.
MAX_REPORT_AGE = datetime.timedelta(seconds=30)
# How often the capacities of a tier are computed anew. Shorter than the time
# in which reports change a work time by much, and much longer than the time
# between two requests of a busy service, so that most requests find them ready.
REFRESH_INTERVAL = datetime.timedelta(milliseconds=500)
# A response is expected in time only if this many times the mean work time is
# left. About nine in ten requests take less than that if work times vary by
# 0.4 of their mean.
TIME_LIMIT_MARGIN = 1.5
# Least share of its capacity by which a target counts in its slow start: the
# share that a target has which is five times as slow as when it is warm.
MIN_START_SHARE = 0.2
# Weight of a report in the mean used share of slots of a zone. Single reports
# vary by 0.3, and the mean by 0.05. A smaller weight makes the mean lag behind
# the share of requests that leave, which then swings.
USED_SHARE_WEIGHT = 1 / 16
# Reports before the mean of a zone or region is used.
MIN_ZONE_SAMPLES = 16
# A zone whose targets use less than this share of their slots has room: even
# at five times the mean work time a request rarely meets a full target.
MIN_USED_SHARE = 0.25
# Share of requests that leave a zone only to learn the load of its region. At
# six requests a second, one in about ten seconds.
EXPLORING_SHARE = 1 / 64
# The same until the load of the region is known. At a node that has just
# started, the first hundred requests are enough.
FIRST_EXPLORING_SHARE = 1 / 8
# Difference of the used shares, relative to that in the zone, up to which all
# requests stay in the zone. Without it, the error of the two means would send
# requests of equally busy zones to each other.
MAX_BALANCED_DIFFERENCE = 0.05
# By how much a report changes the share of requests that leave, for each unit
# of the difference above that. A share of 0.4 is reached after about 150
# reports. With 0.02, and also with 0.01 and half the weight above, the share
# overshot and left a zone with a quarter of the mean load for 20 s.
ADJUSTMENT_GAIN = 0.006
# The zone always keeps some requests, from which it learns its own load.
MAX_LEAVING_SHARE = 0.9
# Draws by capacity before the rest of a tier is tried in plain order. The
# request takes any target that is left by then, and further draws would mostly
# hit targets that are full.
MAX_DRAWS = 12


class WorkTime:
    """Mean time that one target works on a request, as its home measures it.

    Scenario: targets of one service of which some are up to five times as slow
    as others, as after a change of the type of VM. Risk: if each gets the same
    number of requests, the slow ones are full while the others idle. The time
    is that for which a request holds a slot, so the number of slots divided by
    it is the number of requests per second that the target can serve. Time in
    the home's queue does not count: it says how busy a target is, not how fast.

    Attributes:
      busy_seconds: time that the target has worked, summed over its slots.
    """

    __slots__ = ("_logged_mean", "_mean", "_samples", "busy_seconds")

    def __init__(self) -> None:
        self.busy_seconds = 0.0
        self._mean = 0.0
        self._logged_mean = 0.0
        self._samples = 0

    def record(self, seconds: float, is_success: bool) -> None:
        """Adds one request that has ended.

        A request that failed counts only if it took longer than the mean: a
        target that fails immediately would otherwise look like the fastest one,
        and one that hangs until the deadline would not look slow.
        """
        self.busy_seconds += seconds
        if not is_success and (not self._samples or seconds <= self._mean):
            return
        self._samples += 1
        weight = max(WORK_TIME_WEIGHT, 1 / self._samples)
        self._mean += weight * (seconds - self._mean)

    def mean(self, running_seconds: collections.abc.Iterable[float]) -> float:
        """Returns the mean in seconds; 0 while too little was measured.

        Requests that have run for longer than the mean count as if they ended
        now. A target that suddenly stalls completes nothing, and its mean
        would not change until its first request has ended.

        Args:
          running_seconds: how long each running request has been running.
        """
        if self._samples < MIN_SAMPLES:
            return 0.0
        mean = self._mean
        for seconds in running_seconds:
            if seconds > mean:
                mean += WORK_TIME_WEIGHT * (seconds - mean)
        return mean

    def restart(self) -> None:
        """Discards the mean, for example when a target is no longer cold."""
        self._mean = 0.0
        self._samples = 0

    def take_change(self) -> bool:
        """Returns whether the mean has changed much since it last did."""
        if self._samples < MIN_SAMPLES:
            return False
        low, high = sorted((self._mean, self._logged_mean))
        if high < LOGGED_CHANGE * low:
            return False
        self._logged_mean = self._mean
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class TierCapacity:
    """Capacities of the targets of one tier at one time.

    Scenario: many entry nodes with a few requests a second each, whose
    knowledge of the load of a target is seconds old, while requests take a
    fraction of a second. Risk: an entry node that takes the target with the
    least expected completion time takes the fastest ones nearly always, and
    with all entry nodes these are full while slower ones idle. Targets drawn in
    proportion to their capacity are equally busy without any knowledge of their
    load.

    Attributes:
      targets: the targets of the tier.
      cumulative: running total of their capacities, in the same order.
      least_work: mean work time of the fastest target in seconds.
      expires_at: when it is computed anew.
    """

    targets: tuple[capacity_floor.Candidate, ...]
    cumulative: tuple[float, ...]
    least_work: float
    expires_at: datetime.timedelta

    def in_random_order(
        self, rng: random.Random
    ) -> collections.abc.Iterator[capacity_floor.Candidate]:
        """Yields all targets, first some drawn by their capacity.

        The draws are with replacement and may repeat a target. If two different
        targets were always drawn, the fastest one of a small tier would be
        drawn less often than its capacity allows.
        """
        seen = set()
        total = self.cumulative[-1]
        for _ in range(MAX_DRAWS):
            number = bisect.bisect(self.cumulative, total * rng.random())
            # Rounding of the product may give the total itself.
            number = min(number, len(self.targets) - 1)
            seen.add(number)
            yield self.targets[number]
        start = rng.randrange(len(self.targets))
        for offset in range(len(self.targets)):
            number = (start + offset) % len(self.targets)
            if number not in seen:
                yield self.targets[number]


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    """A work time that a home has reported.

    Attributes:
      seconds: the mean work time.
      received_at: when the report arrived.
    """

    seconds: float
    received_at: datetime.timedelta


Tier = tuple[capacity_floor.Candidate, ...]
StartShareOf = collections.abc.Callable[[str], float]


class WorkTimes:
    """Work times of targets as one entry node knows them.

    Scenario: nodes that restart, reports that are lost, and targets that this
    entry node has not used for a while. Risk: an old report keeps a target that
    has recovered from getting work, and one of a target that has become slow
    keeps sending it too much. A target without a recent report counts as one
    with the mean work time of its service, and so gets a request that brings a
    report.
    """

    def __init__(self) -> None:
        self._reports: dict[str, dict[str, _Report]] = {}
        self._cold_until: dict[str, datetime.timedelta] = {}
        self._tiers: dict[tuple[str, str], TierCapacity] = {}
        self._means: dict[str, _Report] = {}

    def record(
        self, service: str, target: str, seconds: float, now: datetime.timedelta
    ) -> None:
        """Stores a reported work time; 0 means unknown and changes nothing."""
        if seconds > 0:
            known = self._reports.setdefault(service, {})
            known[target] = _Report(seconds, now)

    def work(self, service: str, target: str, now: datetime.timedelta) -> float:
        """Returns the work time to expect in seconds; 0 if none is known."""
        return self._own_work(service, target, now) or self._mean(service, now)

    def set_cold(self, target: str, until: datetime.timedelta) -> None:
        """Limits the use of reports from the time in which a target is cold.

        Once that time is over they would keep the target from getting the work
        that it can handle when it is warm.
        """
        self._cold_until[target] = until

    def _own_work(
        self, service: str, target: str, now: datetime.timedelta
    ) -> float:
        report = self._reports.get(service, {}).get(target)
        if report is None or now - report.received_at >= MAX_REPORT_AGE:
            return 0.0
        cold_until = self._cold_until.get(target)
        if cold_until is not None and report.received_at < cold_until <= now:
            return 0.0
        return report.seconds

    def tier_capacity(
        self, tier: Tier, start_share_of: StartShareOf, now: datetime.timedelta
    ) -> TierCapacity | None:
        """Returns the capacities of a tier; None if no work time is known.

        Args:
          tier: the targets of the tier, all of one service.
          start_share_of: returns which share of its capacity a target may use
            in its slow start.
          now: the current time.
        """
        if not tier:
            return None
        key = (tier[0].service, tier[0].zone)
        known = self._tiers.get(key)
        if known and known.targets is tier and now < known.expires_at:
            return known
        if not self._mean(tier[0].service, now):
            return None
        known = self._tiers[key] = self._compute(tier, start_share_of, now)
        return known

    def forget(
        self, service: str, targets: collections.abc.Iterable[str]
    ) -> None:
        """Drops the work times of removed targets."""
        known = self._reports.get(service, {})
        for target in targets:
            known.pop(target, None)
            self._cold_until.pop(target, None)

    def _compute(
        self, tier: Tier, start_share_of: StartShareOf, now: datetime.timedelta
    ) -> TierCapacity:
        works = [self.work(item.service, item.id, now) for item in tier]
        capacities = (
            item.slots / seconds
            # A measured work time already shows that the target is cold.
            if self._own_work(item.service, item.id, now)
            else start_share_of(item.id) * item.slots / seconds
            for item, seconds in zip(tier, works, strict=True)
        )
        return TierCapacity(
            tier,
            tuple(itertools.accumulate(capacities)),
            min(works),
            now + REFRESH_INTERVAL,
        )

    def _mean(self, service: str, now: datetime.timedelta) -> float:
        """Returns the mean over the targets with a recent report."""
        known = self._means.get(service)
        if known and now - known.received_at < REFRESH_INTERVAL:
            return known.seconds
        reports = self._reports.get(service, {})
        # A response that arrives after its target was removed stores a report
        # that `forget` no longer drops.
        for target, report in list(reports.items()):
            if now - report.received_at >= MAX_REPORT_AGE:
                del reports[target]
        recent = [report.seconds for report in reports.values()]
        mean = sum(recent) / len(recent) if recent else 0.0
        self._means[service] = _Report(mean, now)
        return mean


class ZoneBalance:
    """Share of an entry node's requests that leave its zone for its region.

    Scenario: a service has a few targets in each zone, of different speed, so
    that the same demand needs all slots of one zone and a third of those of
    another. Risk: with the nearest targets first, a request leaves the slow
    zone only when the queues of its targets are as long as callers accept, so
    these targets are always full. Homes report the load of a target with each
    response. The share grows with the difference between the used slots in the
    zone and in the rest of the region. It does not grow while the zone has
    room, since nobody waits then and bytes between zones cost money.
    """

    __slots__ = ("_leaving_share", "_samples", "_used")

    def __init__(self) -> None:
        self._leaving_share = 0.0
        self._used = [0.0, 0.0]
        self._samples = [0, 0]

    def record(self, is_in_zone: bool, used_share: float) -> None:
        """Adds the used share of slots that one report tells of a target."""
        place = 0 if is_in_zone else 1
        self._samples[place] += 1
        weight = max(USED_SHARE_WEIGHT, 1 / self._samples[place])
        self._used[place] += weight * (used_share - self._used[place])
        if all(self._samples):
            self._adjust()

    def _adjust(self) -> None:
        in_zone, in_region = self._used
        difference = (in_zone - in_region) / max(in_zone, MIN_USED_SHARE)
        if in_zone < MIN_USED_SHARE:
            difference = min(difference, 0.0)
        share = self._leaving_share + ADJUSTMENT_GAIN * (
            difference - MAX_BALANCED_DIFFERENCE
        )
        self._leaving_share = min(max(0.0, share), MAX_LEAVING_SHARE)

    def leaving_share(self) -> float:
        """Returns which share of requests is to leave the zone now."""
        if self._samples[0] < MIN_ZONE_SAMPLES:
            return 0.0
        if self._used[0] < MIN_USED_SHARE:
            return self._leaving_share
        if self._samples[1] < MIN_ZONE_SAMPLES:
            return FIRST_EXPLORING_SHARE
        return max(EXPLORING_SHARE, self._leaving_share)
