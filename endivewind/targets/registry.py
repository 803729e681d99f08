"""The targets whose home is this node: announcements, leases and slots."""

import dataclasses
import datetime

import pydantic

from endivewind import clock as clocks
from endivewind.config import base
from endivewind.targets import records

MIN_LEASE = datetime.timedelta(milliseconds=500)


class Announcement(base.Model):
    """What a target says of itself with `PUT /v1/targets/ID`.

    Attributes:
      service: the service it belongs to.
      address: URL at which it takes requests.
      incarnation: its start; a later start has a higher number.
      slots: requests it takes at once; 0 leaves it to the service.
      weight: share of work relative to other targets.
      state: cold, ready or draining.
      lease_ms: how long the announcement holds without renewal.
    """

    service: str = pydantic.Field(min_length=1, max_length=63)
    address: str = pydantic.Field(pattern=r"^http://", max_length=256)
    incarnation: int = pydantic.Field(default=0, ge=0)
    slots: int = pydantic.Field(default=0, ge=0, le=10_000)
    weight: int = pydantic.Field(default=1, ge=1, le=1000)
    state: records.State = records.State.READY
    lease_ms: int = pydantic.Field(default=3_000, ge=500, le=60_000)


@dataclasses.dataclass(slots=True)
class HomeTarget:
    """One of this node's targets.

    Attributes:
      record: what the fleet hears of it.
      address: URL at which it takes requests.
      expires: end of its lease on this node's monotonic clock.
      in_use: slots in use.
    """

    record: records.TargetRecord
    address: str
    expires: datetime.timedelta
    in_use: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HomeIdentity:
    """The home that registry records name."""

    name: str
    incarnation: int
    region: str
    zone: str


class TargetRegistry:
    """Announced targets; message in, state out, no input or output."""

    def __init__(self, home: HomeIdentity, clock: clocks.Clock) -> None:
        self._home = home
        self._clock = clock
        self._targets: dict[str, HomeTarget] = {}
        self._sequence = 0
        self._closed = False

    @property
    def sequence(self) -> int:
        """Grows with every change that the fleet must hear."""
        return self._sequence

    def get(self, target: str) -> HomeTarget | None:
        """A target of this home."""
        return self._targets.get(target)

    @property
    def closed(self) -> bool:
        """Whether this home takes no announcements any more."""
        return self._closed

    def close(self) -> None:
        """Lets all targets go to another home; the fleet hears of none here.

        They stay known to this home, so that what was sent before the fleet
        heard of it is still handed over.
        """
        self._closed = True
        self._sequence += 1

    def announced(self) -> list[records.TargetRecord]:
        """What the fleet hears of every target."""
        if self._closed:
            return []
        return [item.record for item in self._targets.values()]

    def announce(
        self, target: str, announcement: Announcement, default_slots: int
    ) -> bool:
        """Takes or renews an announcement; False if it is of an older start."""
        known = self._targets.get(target)
        if known and known.record.target_incarnation > announcement.incarnation:
            return False
        health = known.record.health if known else records.Health.NORMAL
        fresh = self._record(target, announcement, default_slots, health)
        lease = datetime.timedelta(milliseconds=announcement.lease_ms)
        expires = self._clock.monotonic() + max(lease, MIN_LEASE)
        if known is None:
            self._targets[target] = HomeTarget(
                fresh, announcement.address, expires
            )
            self._changed(target)
            return True
        known.address = announcement.address
        known.expires = expires
        if _differs(known.record, fresh):
            known.record = fresh
            self._changed(target)
        return True

    def withdraw(self, target: str) -> bool:
        """Removes a target; False if it is not known."""
        if self._targets.pop(target, None) is None:
            return False
        self._sequence += 1
        return True

    def expire(self) -> list[str]:
        """Removes targets whose lease has ended; returns their ids."""
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
        )

    def _changed(self, target: str) -> None:
        self._sequence += 1
        item = self._targets[target]
        item.record = dataclasses.replace(item.record, sequence=self._sequence)


def _differs(known: records.TargetRecord, fresh: records.TargetRecord) -> bool:
    return dataclasses.replace(known, sequence=0) != dataclasses.replace(
        fresh, sequence=0
    )
