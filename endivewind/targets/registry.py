"""The targets whose home is this node: announcements, leases and slots."""

import collections.abc
import dataclasses
import datetime
import enum
import math
from typing import Any

import expression
import pydantic

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.config import base
from endivewind.decisions import peer_updates
from endivewind.decisions import response_times
from endivewind.decisions import suspicion
from endivewind.targets import records
from endivewind.targets import slots

# A home has a few targets at a time; this holds all that it has had of late.
MAX_MOVED = 256
MIN_LEASE = datetime.timedelta(milliseconds=500)
# expire() runs several times a second. A longer gap means that the process
# was paused, or its VM was.
PAUSE_LIMIT = datetime.timedelta(seconds=1)
# Announcements that were sent before a pause still lie in the sockets after
# it. Targets renew within a third of their lease, so one refused renewal
# costs less than a lease taken from a target that has moved.
RESUME_GRACE = datetime.timedelta(milliseconds=500)
# Targets that have left, so that a late announcement of theirs brings none
# back; a home has had few in the seconds that one may be late.
MAX_DEPARTED = 64
# An announcement is held up for seconds at most. After this a target that has
# left is taken again, as one that stays after all.
DEPARTED_FOR = datetime.timedelta(seconds=30)


class Announcement(base.Model):
    """What a target says of itself with `PUT /v1/targets/ID`.

    Attributes:
      service: the service it belongs to.
      address: URL at which it takes requests.
      incarnation: its start; a later start has a higher number.
      moves: how often this start has changed its home. A target that counts
        it is taken by its new home at once; one that leaves it at 0 may have
        to wait until its lease at the old home has lapsed.
      slots: requests it takes at once; 0 leaves it to the service.
      weight: share of work relative to other targets.
      state: cold, ready or draining.
      sequence: grows with each announcement of one start; an announcement
        with a lower number than one taken is late. 0 where it is not counted.
      cold_ms: how much longer the target stays slow after its start.
      lease_ms: how long the announcement holds without renewal.
    """

    service: str = pydantic.Field(min_length=1, max_length=63)
    address: str = pydantic.Field(pattern=r"^http://", max_length=256)
    incarnation: int = pydantic.Field(default=0, ge=0)
    moves: int = pydantic.Field(default=0, ge=0, le=2**31 - 1)
    slots: int = pydantic.Field(default=0, ge=0, le=10_000)
    weight: int = pydantic.Field(default=1, ge=1, le=1000)
    state: records.State = records.State.READY
    sequence: int = pydantic.Field(default=0, ge=0)
    cold_ms: int = pydantic.Field(default=0, ge=0)
    lease_ms: int = pydantic.Field(default=3_000, ge=500, le=60_000)


@dataclasses.dataclass(slots=True)
class HomeTarget:
    """One of this node's targets.

    Attributes:
      record: what the fleet hears of it.
      address: URL at which it takes requests.
      expires: end of its lease on this node's monotonic clock.
      slots: its slots and who waits for them.
      suspicion: how likely it is sick.
      announced: number of the latest announcement of its present start.
      pending: requests that are there now.
      left_off: when one of its requests last ended without an answer, so that
        it may still work on that; None if none has.
      times: how long its answers take.
    """

    record: records.TargetRecord
    address: str
    expires: datetime.timedelta
    slots: slots.Slots
    suspicion: suspicion.SuspicionEstimator
    announced: int = 0
    pending: dict[Any, None] = dataclasses.field(default_factory=dict)
    left_off: datetime.timedelta | None = None
    times: response_times.ResponseTimes = dataclasses.field(
        default_factory=response_times.ResponseTimes
    )

    @property
    def in_use(self) -> int:
        """Slots in use."""
        return self.slots.in_use

    def glance(self, now: datetime.timedelta) -> exchange.TargetStatus:
        """What entries are told of it."""
        silent = self._silence(now)
        doubt = self.suspicion.probability(now, silent)
        return exchange.TargetStatus(self.slots.load, doubt)

    def _silence(self, now: datetime.timedelta) -> float:
        """How much likelier its present silence is if it is sick."""
        return math.prod(item.silence(now) for item in self.pending)

    def state(self, now: datetime.timedelta) -> peer_updates.TargetSnapshot:
        """What the entries near by may have to be told of it."""
        return peer_updates.TargetSnapshot(
            peer_updates.TargetUpdate(self.record.id, self.glance(now)),
            self.suspicion.signal_count + int(math.log2(self._silence(now))),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Departed:
    """Up to which of its starts a target has left, and how long that binds."""

    incarnation: int
    until: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class HomeIdentity:
    """The home that registry records name."""

    name: str
    incarnation: int
    region: str
    zone: str


class Refused(enum.StrEnum):
    """Why an announcement is not taken."""

    OLDER_START = "a later start of this target is known"
    MOVED = "a later announcement at another home is known"
    RESUMING = "this home was paused; announce again"
    STOPPING = "this home is stopping; announce elsewhere"
    LEFT = "this start of the target has left"


Rival = collections.abc.Callable[[str], records.TargetRecord | None]


def no_rival(target: str) -> records.TargetRecord | None:
    """For a home that knows of no other."""
    return None


class TargetRegistry:
    """Announced targets; message in, state out, no input or output."""

    def __init__(
        self,
        home: HomeIdentity,
        clock: clocks.Clock,
        rival: Rival = no_rival,
    ) -> None:
        """Starts empty.

        Args:
          home: what the records name.
          clock: its monotonic time alone decides on leases.
          rival: the latest announcement of a target that the fleet knows.
        """
        self._home = home
        self._clock = clock
        self._rival = rival
        self._targets: dict[str, HomeTarget] = {}
        self._sequence = 0
        self._changes: list[records.TargetChange] = []
        self._checked = clock.monotonic()
        self._resumed: datetime.timedelta | None = None
        self._stopping = False
        self._moved: dict[str, str] = {}
        self._departed: dict[str, _Departed] = {}

    @property
    def incarnation(self) -> int:
        """The home's start, which forwarded requests must mean."""
        return self._home.incarnation

    @property
    def sequence(self) -> int:
        """Grows with every change that the fleet must hear."""
        return self._sequence

    def get(self, target: str) -> HomeTarget | None:
        """A target of this home whose lease holds now.

        The lease is checked here and not only by expire(): a home that was
        paused for longer than its leases may be handed a request before its
        timers have run. Its targets have announced elsewhere by then, and two
        homes would hand over work to one target.
        """
        item = self._targets.get(target)
        if item is None or item.expires <= self._clock.monotonic():
            return None
        return item

    def stop_taking(self) -> None:
        """Refuses announcements from now on, renewals included.

        The targets move while this home still hands over their work, so that
        a planned stop costs no capacity.
        """
        self._stopping = True

    def held(self) -> collections.abc.Iterable[HomeTarget]:
        """Every target of this home."""
        return self._targets.values()

    def announced(self) -> list[records.TargetRecord]:
        """What the fleet hears of every target."""
        return [item.record for item in self._targets.values()]

    def take_changes(self) -> list[records.TargetChange]:
        """What has changed since the last call, in order."""
        changes, self._changes = self._changes, []
        return changes

    def announce(
        self, target: str, announcement: Announcement, default_slots: int
    ) -> expression.Result[None, Refused]:
        """Takes or renews an announcement, or says why not."""
        refused = self._refused(target, announcement)
        if refused is not None:
            return expression.Error(refused)
        known = self._targets.get(target)
        health = known.record.health if known else records.Health.NORMAL
        fresh = self._record(target, announcement, default_slots, health)
        lease = datetime.timedelta(milliseconds=announcement.lease_ms)
        expires = self._clock.monotonic() + max(lease, MIN_LEASE)
        if known is None:
            self._moved.pop(target, None)
            self._end_earlier_starts(announcement)
            self._targets[target] = HomeTarget(
                fresh,
                announcement.address,
                expires,
                slots.Slots(self._clock),
                suspicion.SuspicionEstimator(self._clock.monotonic()),
                announcement.sequence,
            )
            self._changed(target)
            return expression.Ok(None)
        if _is_late(known, announcement):
            return expression.Ok(None)
        known.address = announcement.address
        known.expires = expires
        known.announced = announcement.sequence
        if _differs(known.record, fresh):
            known.record = fresh
            self._changed(target)
        return expression.Ok(None)

    def depart(
        self, target: str, incarnation: int = 0, latest: int = 0
    ) -> bool:
        """Takes a target's own leave; False if it is not known.

        Its later announcements are refused: one that was held up on the way
        arrives after the leave, and would bring back a target that is gone.
        That holds also where this home has just started and not heard of it
        yet: the leave is acknowledged, and binds.

        Args:
          target: its id.
          incarnation: its start; 0 where it is not told.
          latest: where neither is told nor known which start leaves, the
            latest that it can be; 0 where starts are not numbered.
        """
        item = self._targets.get(target)
        if (
            item is not None
            and item.record.target_incarnation > incarnation > 0
        ):
            return False
        known = item.record.target_incarnation if item else latest
        self._note_departed(target, max(known, incarnation))
        return self.withdraw(target)

    def _note_departed(self, target: str, incarnation: int) -> None:
        until = self._clock.monotonic() + DEPARTED_FOR
        self._departed[target] = _Departed(incarnation, until)
        if len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]

    def remember_left(self, target: str, incarnation: int) -> None:
        """Takes that a target has left an earlier start of this home.

        It may still say so itself; what else it said before is late.
        """
        if self._targets.get(target) is None and target not in self._departed:
            self._note_departed(target, incarnation)

    def withdraw(self, target: str) -> bool:
        """Removes a target; False if it is not known."""
        item = self._targets.pop(target, None)
        if item is None:
            return False
        self._sequence += 1
        gone = dataclasses.replace(item.record, sequence=self._sequence)
        self._changes.append(records.TargetChange(gone, is_removal=True))
        return True

    def give_up(self, rival: records.TargetRecord) -> bool:
        """Hears of an announcement elsewhere; gives the target up if later.

        Both homes decide by the same order, so one of them keeps the target.
        Requests that were handed over before this run to their end.
        """
        item = self._targets.get(rival.id)
        if item is None or rival.home == self._home.name:
            return False
        if records.precedence(rival) < records.precedence(item.record):
            return False
        self._moved[rival.id] = rival.home
        if len(self._moved) > MAX_MOVED:
            del self._moved[next(iter(self._moved))]
        return self.withdraw(rival.id)

    def moved_to(self, target: str) -> str:
        """The later home of a target that was given up; empty if unknown."""
        return self._moved.get(target, "")

    def expire(self) -> list[str]:
        """Removes targets whose lease has ended; returns their ids."""
        self._notice_pause()
        now = self._clock.monotonic()
        gone = [
            name for name, item in self._targets.items() if item.expires <= now
        ]
        for name in gone:
            self.withdraw(name)
        return gone

    def set_health(self, target: str, health: records.Health) -> None:
        """Records what this home has judged of a target."""
        item = self._targets.get(target)
        if item is None or item.record.health is health:
            return
        item.record = dataclasses.replace(item.record, health=health)
        self._changed(target)

    def _notice_pause(self) -> None:
        now = self._clock.monotonic()
        if now - self._checked > PAUSE_LIMIT:
            self._resumed = now
        self._checked = now

    def _refused(
        self, target: str, announcement: Announcement
    ) -> Refused | None:
        self._notice_pause()
        if self._stopping:
            return Refused.STOPPING
        now = self._clock.monotonic()
        resuming = (
            self._resumed is not None and now - self._resumed < RESUME_GRACE
        )
        if resuming and self.get(target) is None:
            return Refused.RESUMING
        known = self._targets.get(target)
        if known and known.record.target_incarnation > announcement.incarnation:
            return Refused.OLDER_START
        if self._has_left(target, announcement):
            # Starts that are not numbered can't be told apart: such a target
            # may announce itself again after it has left.
            if announcement.incarnation:
                return Refused.LEFT
            del self._departed[target]
        if self._has_successor(target, announcement):
            return Refused.OLDER_START
        return self._beaten(target, announcement)

    def _has_left(self, target: str, announcement: Announcement) -> bool:
        """Whether this start has said that it leaves; it may say so again."""
        left = self._departed.get(target)
        if left is None or announcement.state is records.State.DRAINING:
            return False
        if self._clock.monotonic() >= left.until:
            del self._departed[target]
            return False
        return announcement.incarnation <= left.incarnation

    def _has_successor(self, target: str, announcement: Announcement) -> bool:
        """Whether a later start at the same address is known.

        Failure: an announcement is held up until its sender has crashed and
        another target has started in its place. Symptom: work goes to an id
        that nobody answers to. The starts' own order tells which is gone.
        """
        return any(
            name != target
            and item.address == announcement.address
            and item.record.target_incarnation > announcement.incarnation
            for name, item in self._targets.items()
        )

    def _end_earlier_starts(self, announcement: Announcement) -> None:
        """Withdraws the targets whose address an announcement has taken."""
        gone = [
            name
            for name, item in self._targets.items()
            if item.address == announcement.address
            and item.record.target_incarnation < announcement.incarnation
        ]
        for name in gone:
            self.withdraw(name)

    def _beaten(
        self, target: str, announcement: Announcement
    ) -> Refused | None:
        rival = self._rival(target)
        if rival is None or rival.home == self._home.name:
            return None
        if rival.target_incarnation > announcement.incarnation:
            return Refused.OLDER_START
        candidate = self._record(target, announcement, 1, records.Health.NORMAL)
        if records.precedence(rival) > records.precedence(candidate):
            return Refused.MOVED
        return None

    def _record(
        self,
        target: str,
        announcement: Announcement,
        default_slots: int,
        health: records.Health,
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

    def _changed(self, target: str) -> None:
        self._sequence += 1
        item = self._targets[target]
        item.record = dataclasses.replace(item.record, sequence=self._sequence)
        self._changes.append(records.TargetChange(item.record))


def _is_late(known: HomeTarget, announcement: Announcement) -> bool:
    """Whether a later announcement of the same start was taken."""
    same_start = known.record.target_incarnation == announcement.incarnation
    return same_start and announcement.sequence < known.announced


def _differs(known: records.TargetRecord, fresh: records.TargetRecord) -> bool:
    return dataclasses.replace(known, sequence=0) != dataclasses.replace(
        fresh, sequence=0
    )
