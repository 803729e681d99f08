"""The registry of targets whose home is this node.

Soft-state registration: targets announce themselves and renew a lease. Records
the changes that gossip spreads. Pure, apart from reading the clock: no I/O.
"""

import collections.abc
import dataclasses
import datetime
import enum
import math
import re
from typing import Any

import expression
import pydantic
import yarl

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.config import base
from endivewind.decisions import peer_updates
from endivewind.decisions import rate_limits
from endivewind.decisions import response_times
from endivewind.decisions import suspicion
from endivewind.decisions import target_capacity
from endivewind.targets import records
from endivewind.targets import slots

# Targets of which the new home is remembered after they have moved. A home node
# has a few targets at a time, so this covers all recent moves.
MAX_REMEMBERED_MOVES = 256
MIN_LEASE = datetime.timedelta(milliseconds=500)
# remove_expired() runs several times a second. A longer gap means that the
# process or its VM was paused.
MAX_TICK_GAP = datetime.timedelta(seconds=1)
# For this time after a pause, announcements are refused if their target has no
# valid lease here: those sent before the pause are still in the socket buffers,
# and the target may have moved to another home node since. A refused target
# announces itself again within a third of its lease, which costs less than
# registering a target that has moved.
RESUME_REFUSAL_TIME = datetime.timedelta(milliseconds=500)
# Departed targets are remembered so that a delayed announcement does not
# register them again; a home node has few in the seconds of such a delay.
MAX_REMEMBERED_DEPARTURES = 64
# Announcements are delayed by seconds at most. After this time a departed
# target may register again, as it did not stop after all.
DEPARTURE_RETENTION = datetime.timedelta(seconds=30)
# The highest number of an incarnation or announcement that nodes tell each other.
MAX_NUMBER = 2**62
# A target that announces a longer time is slow by itself, not by its start.
MAX_COLD_MS = 60_000
_HOST = re.compile(r"[0-9A-Za-z.:%_-]+")


class Announcement(base.Model):
    """A target's announcement, the body of `PUT /v1/targets/ID`.

    Attributes:
      service: the service it belongs to.
      address: URL at which it accepts requests.
      incarnation: increases with each restart of the target.
      moves: number of home changes within this incarnation. A target that
        counts them is registered by its new home node immediately; one that
        always sends 0 may have to wait until its lease at the old home has
        expired.
      slots: maximum number of concurrent requests; 0 for the default of the
        service.
      weight: load-balancing weight relative to other targets.
      state: cold, ready or draining.
      sequence: increases with each announcement of one incarnation; one with
        a lower number than the latest is out of date. 0 if not counted.
      cold_ms: remaining time in which the target is slow after its start.
      lease_ms: duration of the lease.
    """

    service: str = pydantic.Field(min_length=1, max_length=63)
    address: str = pydantic.Field(pattern=r"^http://", max_length=256)
    incarnation: int = pydantic.Field(default=0, ge=0, le=MAX_NUMBER)
    moves: int = pydantic.Field(default=0, ge=0, le=2**31 - 1)
    slots: int = pydantic.Field(default=0, ge=0, le=10_000)
    weight: int = pydantic.Field(default=1, ge=1, le=1000)
    state: records.State = records.State.READY
    sequence: int = pydantic.Field(default=0, ge=0, le=MAX_NUMBER)
    cold_ms: int = pydantic.Field(default=0, ge=0)
    lease_ms: int = pydantic.Field(default=3_000, ge=500, le=60_000)

    @pydantic.field_validator("address")
    @classmethod
    def _check_address(cls, address: str) -> str:
        # Raises ValueError for what is no URL, or has no such port.
        url = yarl.URL(address, encoded=True)
        if not _HOST.fullmatch(url.raw_host or "") or not url.port:
            raise ValueError("no host and port to connect to")
        return address


@dataclasses.dataclass(slots=True)
class HomeTarget:
    """A target of this home node.

    Attributes:
      record: the record that is published to the fleet.
      address: URL at which it accepts requests.
      lease_expires_at: end of its lease on this node's monotonic clock.
      slots: its slots and their queue.
      suspicion: estimates the probability that it is unhealthy.
      last_sequence: number of the latest announcement of its incarnation.
      pending_requests: requests that are running at it.
      may_work_until: until when it may be executing a request that was
        abandoned; None if none was.
      latencies: distribution of its response times.
      rate_limit: the limit that its responses name.
      is_leaving: whether a response has said that it is about to stop.
      work_time: measures how long it works on a request; None if capacity is
        not measured.
    """

    record: records.TargetRecord
    address: str
    lease_expires_at: datetime.timedelta
    slots: slots.TargetSlots
    suspicion: suspicion.SuspicionEstimator
    last_sequence: int = 0
    pending_requests: dict[Any, None] = dataclasses.field(default_factory=dict)
    may_work_until: datetime.timedelta | None = None
    latencies: response_times.ResponseTimes = dataclasses.field(
        default_factory=response_times.ResponseTimes
    )
    rate_limit: rate_limits.RateLimit = dataclasses.field(
        default_factory=rate_limits.RateLimit
    )
    is_leaving: bool = False
    work_time: target_capacity.WorkTime | None = None

    @property
    def slots_in_use(self) -> int:
        """Number of slots in use."""
        return self.slots.in_use

    def may_be_working(self, now: datetime.timedelta) -> bool:
        """Whether it is executing a request, or may still be doing so."""
        return bool(self.pending_requests) or (
            self.may_work_until is not None and now < self.may_work_until
        )

    def report(self, now: datetime.timedelta) -> exchange.TargetReport:
        """Returns the report that is sent to entry nodes."""
        likelihood_ratio = self._pending_likelihood_ratio(now)
        probability = self.suspicion.probability(now, likelihood_ratio)
        return exchange.TargetReport(
            self.slots.load,
            probability,
            self.rate_limit_wait(now),
            self.record.target_incarnation if self.is_leaving else 0,
            self.mean_work_seconds(now),
        )

    def mean_work_seconds(self, now: datetime.timedelta) -> float:
        """Returns the mean work time of a request; 0 if it is unknown."""
        if self.work_time is None:
            return 0.0
        return self.work_time.mean(
            (now - request.started_at).total_seconds()
            for request in self.pending_requests
        )

    def rate_limit_wait(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns how long its rate limit delays a request that arrives now."""
        return self.rate_limit.wait(now, self.slots.queue_length)

    def _pending_likelihood_ratio(self, now: datetime.timedelta) -> float:
        """Returns the likelihood ratio of all its pending requests."""
        return math.prod(
            request.likelihood_ratio(now) for request in self.pending_requests
        )

    def snapshot(self, now: datetime.timedelta) -> peer_updates.TargetSnapshot:
        """Returns the update for entry nodes, and what tells if it is due.

        Once an update has been sent, the next can only be due if the signal
        count has changed. The logarithm is added so that it also changes when
        the likelihood ratio of the pending requests passes a power of two.
        """
        return peer_updates.TargetSnapshot(
            peer_updates.TargetUpdate(self.record.id, self.report(now)),
            self.suspicion.signal_count
            + int(math.log2(self._pending_likelihood_ratio(now))),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Departure:
    """The departure of a target.

    Attributes:
      incarnation: the highest incarnation that has departed.
      expires_at: when the departure is forgotten.
    """

    incarnation: int
    expires_at: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class HomeIdentity:
    """The home node as named in the records of its targets."""

    name: str
    incarnation: int
    region: str
    zone: str


class AnnouncementRefusal(enum.StrEnum):
    """Why an announcement is refused."""

    OLDER_INCARNATION = "a later start of this target is known"
    MOVED = "a later announcement at another home is known"
    RESUMING = "this home was paused; announce again"
    STOPPING = "this home is stopping; announce elsewhere"
    DEPARTED = "this start of the target has left"
    UNCONFIRMED = "this home has restarted; announce again"


PublishedRecordLookup = collections.abc.Callable[
    [str], records.TargetRecord | None
]


def no_published_record(target: str) -> records.TargetRecord | None:
    """Returns None; the default for a home node without peers."""
    return None


def departures_are_known() -> bool:
    """Returns True; the default for a home node that never restarts."""
    return True


class TargetRegistry:
    """The targets of this home node that hold a lease."""

    def __init__(
        self,
        home: HomeIdentity,
        clock: clocks.Clock,
        find_published_record: PublishedRecordLookup = no_published_record,
        measures_capacity: bool = False,
        knows_departures: collections.abc.Callable[
            [], bool
        ] = departures_are_known,
    ) -> None:
        """Initializes an empty registry.

        Args:
          home: the home node that the records name.
          clock: leases depend on its monotonic time only.
          find_published_record: returns a target's latest record that other
            home nodes have published; None if there is none.
          measures_capacity: whether to measure how long targets work, and to
            publish how long they are still slow after their start.
          knows_departures: returns whether the departures that an earlier
            process of this home acknowledged have been recorded here.
        """
        self._measures_capacity = measures_capacity
        self._home = home
        self._clock = clock
        self._find_published_record = find_published_record
        self._targets: dict[str, HomeTarget] = {}
        # Targets that were removed while they were working.
        self._removed: list[HomeTarget] = []
        self._sequence = 0
        self._changes: list[records.TargetChange] = []
        self._last_check_at = clock.monotonic()
        self._resumed_at: datetime.timedelta | None = None
        self._is_stopping = False
        self._new_homes: dict[str, str] = {}
        self._departures: dict[str, _Departure] = {}
        self._knows_departures = knows_departures
        # The first announcements of targets that may have departed before this
        # node restarted.
        self._unconfirmed: dict[str, Announcement] = {}

    @property
    def incarnation(self) -> int:
        """The home node's incarnation, which forwarded requests must name."""
        return self._home.incarnation

    @property
    def sequence(self) -> int:
        """Number of the latest change to publish to the fleet."""
        return self._sequence

    def get(self, target: str) -> HomeTarget | None:
        """Returns a target of this home node if its lease has not expired.

        The lease is checked here, too, and not just by remove_expired(): a home
        node that was paused for longer than the lease may get a request before
        its timers run. The target has registered elsewhere by then, and two
        home nodes would send requests to it.
        """
        item = self._targets.get(target)
        if item is None or item.lease_expires_at <= self._clock.monotonic():
            return None
        return item

    def refuse_announcements(self) -> None:
        """Refuses announcements from now on, including renewals.

        The targets move while this home node still sends them requests, so
        that a planned stop costs no capacity.
        """
        self._is_stopping = True

    def home_targets(self) -> collections.abc.Iterable[HomeTarget]:
        """Returns all targets of this home node."""
        return self._targets.values()

    def working_targets(self) -> list[HomeTarget]:
        """Returns the targets that may be executing requests of this home.

        Scenario: a target deregisters, or its lease ends, and it completes the
        requests that it has. Risk: it counts as idle, and the calls that it
        makes for them are taken for requests of callers.
        """
        now = self._clock.monotonic()
        return [
            item
            for item in (*self._removed, *self._targets.values())
            if item.may_be_working(now)
        ]

    def target_records(self) -> list[records.TargetRecord]:
        """Returns the published records of all targets."""
        return [item.record for item in self._targets.values()]

    def rate_limits(self) -> dict[str, float]:
        """Returns the rate limits of the targets that set one, by id."""
        return {
            name: item.rate_limit.rate
            for name, item in self._targets.items()
            if item.rate_limit.rate is not None
        }

    def work_times(self) -> dict[str, float]:
        """Returns the mean work times that are known in seconds, by id."""
        now = self._clock.monotonic()
        known = {
            name: item.mean_work_seconds(now)
            for name, item in self._targets.items()
        }
        return {name: seconds for name, seconds in known.items() if seconds}

    def busy_seconds(self) -> dict[str, float]:
        """Returns how long the slots of each target were in use, by id."""
        return {
            name: item.work_time.busy_seconds
            for name, item in self._targets.items()
            if item.work_time is not None
        }

    def take_changes(self) -> list[records.TargetChange]:
        """Returns and clears the changes since the last call, in order."""
        changes, self._changes = self._changes, []
        return changes

    def announce(
        self, target: str, announcement: Announcement, default_slots: int
    ) -> expression.Result[None, AnnouncementRefusal]:
        """Registers a target or renews its lease, or returns why not."""
        refusal = self._check(target, announcement)
        if refusal is not None:
            return expression.Error(refusal)
        known = self._targets.get(target)
        health = known.record.health if known else records.EjectionStatus.NORMAL
        record = self._make_record(target, announcement, default_slots, health)
        record = self._add_cold_time(record, announcement)
        lease = datetime.timedelta(milliseconds=announcement.lease_ms)
        expires = self._clock.monotonic() + max(lease, MIN_LEASE)
        if known is None:
            self._new_homes.pop(target, None)
            self._unconfirmed.pop(target, None)
            self._remove_earlier_at_address(announcement)
            self._targets[target] = HomeTarget(
                record,
                announcement.address,
                expires,
                slots.TargetSlots(self._clock),
                suspicion.SuspicionEstimator(self._clock.monotonic()),
                announcement.sequence,
                work_time=self._make_work_time(),
            )
            self._record_change(target)
            return expression.Ok(None)
        if _is_outdated(known, announcement):
            return expression.Ok(None)
        known.address = announcement.address
        known.lease_expires_at = expires
        known.last_sequence = announcement.sequence
        self._discard_outdated_self_reports(known, record.target_incarnation)
        if known.is_leaving:
            record = dataclasses.replace(record, state=records.State.DRAINING)
        if known.work_time is not None and (
            known.record.cold_ms and not record.cold_ms
        ):
            known.work_time.restart()
        if _differs(known.record, record):
            known.record = record
            self._record_change(target)
        return expression.Ok(None)

    def depart(
        self, target: str, incarnation: int = 0, max_incarnation: int = 0
    ) -> bool:
        """Processes a target's own withdrawal.

        Further announcements of this incarnation are refused: one that was
        delayed would register again a target that has stopped. The departure
        is remembered even if the target is not registered here, as after a
        restart of this node, since the withdrawal is acknowledged all the same.

        Args:
          target: the target's id.
          incarnation: the target's incarnation; 0 if not given.
          max_incarnation: the highest that the incarnation can be; 0 if
            incarnations are not numbered. If the target is not registered here
            and its incarnation is not given, announcements up to this one are
            refused for DEPARTURE_RETENTION.

        Returns:
          False if the target is not registered.
        """
        item = self._targets.get(target)
        if (
            item is not None
            and item.record.target_incarnation > incarnation > 0
        ):
            return False
        known = item.record.target_incarnation if item else max_incarnation
        self._remember_departure(target, incarnation or known)
        return self.remove(target)

    def _remember_departure(self, target: str, incarnation: int) -> None:
        """Remembers a departure unless a later one is remembered already."""
        now = self._clock.monotonic()
        known = self._departures.get(target)
        if (
            known is not None
            and known.incarnation > incarnation
            and now < known.expires_at
        ):
            return
        self._departures[target] = _Departure(
            incarnation, now + DEPARTURE_RETENTION
        )
        if len(self._departures) > MAX_REMEMBERED_DEPARTURES:
            del self._departures[next(iter(self._departures))]

    def departures(self) -> dict[str, int]:
        """Returns the incarnations that have departed or are draining, by id.

        Announcements of these as ready must not be accepted after a restart.
        """
        now = self._clock.monotonic()
        departed = {
            name: item.incarnation
            for name, item in self._departures.items()
            if now < item.expires_at
        }
        for name, target in self._targets.items():
            if target.record.state is records.State.DRAINING:
                incarnation = target.record.target_incarnation
                departed[name] = max(incarnation, departed.get(name, 0))
        return departed

    def record_departure(self, target: str, incarnation: int) -> None:
        """Records a departure that this node knew before it restarted.

        Delayed announcements of the target are refused then, as before the
        restart. Ignored if the target has been registered since.
        """
        if self._targets.get(target) is None and target not in self._departures:
            self._remember_departure(target, incarnation)

    def restore_departure(self, target: str, incarnation: int) -> None:
        """Records a departure that an earlier process of this home saved.

        A target that was accepted before this was known is removed.
        """
        item = self._targets.get(target)
        if (
            item is not None
            and item.record.target_incarnation <= incarnation
            and item.record.state is not records.State.DRAINING
        ):
            self.remove(target)
        self.record_departure(target, incarnation)

    def remove(self, target: str) -> bool:
        """Removes a target; returns False if it is not registered."""
        item = self._targets.pop(target, None)
        if item is None:
            return False
        now = self._clock.monotonic()
        self._removed = [
            other
            for other in (*self._removed, item)
            if other.may_be_working(now)
        ]
        self._sequence += 1
        record = dataclasses.replace(item.record, sequence=self._sequence)
        self._changes.append(records.TargetChange(record, is_removal=True))
        return True

    def release_if_moved(self, other_record: records.TargetRecord) -> bool:
        """Removes a target if its record at another home node is later.

        Both home nodes use the same order of precedence, so exactly one of them
        keeps the target. Requests that are already running continue.

        Returns:
          Whether the target was removed.
        """
        item = self._targets.get(other_record.id)
        if item is None or other_record.home == self._home.name:
            return False
        if records.precedence(other_record) < records.precedence(item.record):
            return False
        self._new_homes[other_record.id] = other_record.home
        if len(self._new_homes) > MAX_REMEMBERED_MOVES:
            del self._new_homes[next(iter(self._new_homes))]
        return self.remove(other_record.id)

    def moved_to(self, target: str) -> str:
        """Returns the new home of a target that moved; empty if unknown."""
        return self._new_homes.get(target, "")

    def remove_expired(self) -> list[str]:
        """Removes targets whose lease has expired; returns their ids."""
        self._detect_pause()
        now = self._clock.monotonic()
        expired = [
            name
            for name, item in self._targets.items()
            if item.lease_expires_at <= now
        ]
        for name in expired:
            record = self._targets[name].record
            if record.state is records.State.DRAINING:
                self._remember_departure(name, record.target_incarnation)
            self.remove(name)
        return expired

    def set_ejection_status(
        self, target: str, health: records.EjectionStatus
    ) -> None:
        """Records a target's ejection status, as outlier detection sets it."""
        item = self._targets.get(target)
        if item is None or item.record.health is health:
            return
        item.record = dataclasses.replace(item.record, health=health)
        self._record_change(target)

    def _discard_outdated_self_reports(
        self, item: HomeTarget, incarnation: int
    ) -> None:
        """Discards what an earlier incarnation's responses have said.

        Incarnations that are not numbered can't be told apart, so that a later
        announcement as ready outweighs an earlier response.
        """
        if incarnation != item.record.target_incarnation:
            item.rate_limit = rate_limits.RateLimit()
        if incarnation != item.record.target_incarnation or not incarnation:
            item.is_leaving = False

    def mark_leaving(self, item: HomeTarget) -> None:
        """Records that a target's response says that it is about to stop.

        It counts as draining until it restarts, whatever it announces: its
        announcements may be late. If its incarnations are not numbered, a
        restart can't be distinguished, and its next announcement decides.
        """
        item.is_leaving = True
        item.record = dataclasses.replace(
            item.record, state=records.State.DRAINING
        )
        if self._targets.get(item.record.id) is item:
            self._record_change(item.record.id)

    def _detect_pause(self) -> None:
        now = self._clock.monotonic()
        if now - self._last_check_at > MAX_TICK_GAP:
            self._resumed_at = now
        self._last_check_at = now

    def _check(
        self, target: str, announcement: Announcement
    ) -> AnnouncementRefusal | None:
        self._detect_pause()
        if self._is_stopping:
            return AnnouncementRefusal.STOPPING
        now = self._clock.monotonic()
        is_resuming = (
            self._resumed_at is not None
            and now - self._resumed_at < RESUME_REFUSAL_TIME
        )
        if is_resuming and self.get(target) is None:
            return AnnouncementRefusal.RESUMING
        known = self._targets.get(target)
        if known and known.record.target_incarnation > announcement.incarnation:
            return AnnouncementRefusal.OLDER_INCARNATION
        refusal = self._check_departure(target, announcement)
        if refusal is not None:
            return refusal
        if self._has_later_target_at_address(target, announcement):
            return AnnouncementRefusal.OLDER_INCARNATION
        return self._check_published_record(target, announcement)

    def _check_departure(
        self, target: str, announcement: Announcement
    ) -> AnnouncementRefusal | None:
        """Returns a refusal if the target has departed, or may have."""
        if self._has_departed(target, announcement):
            # Without incarnation numbers a restarted target can't be
            # distinguished, so it may announce itself again.
            if announcement.incarnation:
                return AnnouncementRefusal.DEPARTED
            del self._departures[target]
        if target not in self._targets and self._may_have_departed(
            target, announcement
        ):
            return AnnouncementRefusal.UNCONFIRMED
        return None

    def _has_departed(self, target: str, announcement: Announcement) -> bool:
        """Returns whether this incarnation has departed.

        Announcements that the target is draining are accepted all the same.
        """
        departure = self._departures.get(target)
        if departure is None or announcement.state is records.State.DRAINING:
            return False
        if self._clock.monotonic() >= departure.expires_at:
            del self._departures[target]
            return False
        return announcement.incarnation <= departure.incarnation

    def _may_have_departed(
        self, target: str, announcement: Announcement
    ) -> bool:
        """Returns whether a target may have departed before a restart.

        Scenario: this node has restarted and can't read which departures it
        has acknowledged, and an announcement from before a departure arrives
        late. No later announcement follows it, so a target is only accepted at
        its second one, unless it announces that it is draining.
        """
        if self._knows_departures():
            self._unconfirmed.clear()
            return False
        if announcement.state is records.State.DRAINING:
            return False
        first = self._unconfirmed.get(target)
        if first is None:
            self._unconfirmed[target] = announcement
            if len(self._unconfirmed) > MAX_REMEMBERED_DEPARTURES:
                del self._unconfirmed[next(iter(self._unconfirmed))]
            return True
        return (
            announcement.incarnation == first.incarnation
            and 0 < announcement.sequence <= first.sequence
        )

    def _has_later_target_at_address(
        self, target: str, announcement: Announcement
    ) -> bool:
        """Returns whether another, later target has the same address.

        Scenario: an announcement is delayed until its sender has crashed and
        another target has started at its address. Risk: requests are sent
        to an id that no longer exists. The target with the lower
        incarnation is gone.
        """
        return any(
            name != target
            and item.address == announcement.address
            and item.record.target_incarnation > announcement.incarnation
            for name, item in self._targets.items()
        )

    def _remove_earlier_at_address(self, announcement: Announcement) -> None:
        """Removes earlier targets at the address of an announcement."""
        gone = [
            name
            for name, item in self._targets.items()
            if item.address == announcement.address
            and item.record.target_incarnation < announcement.incarnation
        ]
        for name in gone:
            self.remove(name)

    def _check_published_record(
        self, target: str, announcement: Announcement
    ) -> AnnouncementRefusal | None:
        published = self._find_published_record(target)
        if published is None or published.home == self._home.name:
            return None
        if published.target_incarnation > announcement.incarnation:
            return AnnouncementRefusal.OLDER_INCARNATION
        candidate = self._make_record(
            target, announcement, 1, records.EjectionStatus.NORMAL
        )
        if records.precedence(published) > records.precedence(candidate):
            return AnnouncementRefusal.MOVED
        return None

    def _make_record(
        self,
        target: str,
        announcement: Announcement,
        default_slots: int,
        health: records.EjectionStatus,
    ) -> records.TargetRecord:
        return records.TargetRecord(
            id=target,
            service=announcement.service,
            home=self._home.name,
            home_incarnation=self._home.incarnation,
            sequence=self._sequence,
            region=self._home.region,
            zone=self._home.zone,
            slots=announcement.slots or default_slots,
            weight=announcement.weight,
            state=announcement.state,
            health=health,
            target_incarnation=announcement.incarnation,
            moves=announcement.moves,
        )

    def _make_work_time(self) -> target_capacity.WorkTime | None:
        return target_capacity.WorkTime() if self._measures_capacity else None

    def _add_cold_time(
        self, record: records.TargetRecord, announcement: Announcement
    ) -> records.TargetRecord:
        """Adds the time for which the target announces that it is slow.

        The time is published as it was first announced: a target announces how
        much is left of it with each renewal, and publishing each would send a
        change to all nodes.
        """
        if not self._measures_capacity or not announcement.cold_ms:
            return record
        known = self._targets.get(record.id)
        cold_ms = min(announcement.cold_ms, MAX_COLD_MS)
        if known is not None and known.record.cold_ms:
            previous = known.record
            if previous.target_incarnation == record.target_incarnation:
                cold_ms = previous.cold_ms
        return dataclasses.replace(record, cold_ms=cold_ms)

    def _record_change(self, target: str) -> None:
        self._sequence += 1
        item = self._targets[target]
        item.record = dataclasses.replace(item.record, sequence=self._sequence)
        self._changes.append(records.TargetChange(item.record))


def _is_outdated(known: HomeTarget, announcement: Announcement) -> bool:
    """Returns whether a later announcement of the incarnation was accepted."""
    is_same_incarnation = (
        known.record.target_incarnation == announcement.incarnation
    )
    return is_same_incarnation and announcement.sequence < known.last_sequence


def _differs(old: records.TargetRecord, new: records.TargetRecord) -> bool:
    return dataclasses.replace(old, sequence=0) != dataclasses.replace(
        new, sequence=0
    )
