"""Admission control of an entry node by the levels of its zone.

The gateway has each new request of a caller checked here before it is queued,
and reports when requests wait and end. `nodes/admission.py` sends the counts to
the coordinators and delivers their levels.
"""

import collections
import dataclasses
import datetime
import logging
import random

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind import logs
from endivewind.callers import placement
from endivewind.callers import request_queues
from endivewind.decisions import admission_level
from endivewind.targets import records

log = logging.getLogger(__name__)

ResponseResult = expression.Result[exchange.Response, exchange.Refusal]

# While a level is in force, a request is refused once it has waited this share
# of its latency objective, somewhat less than the eighth that callers are
# promised, since waits are checked every 50 ms and refusals take time to send.
MAX_HELD_SHARE = 0.11
# Until the first level that refuses requests, a request is sent to a full target
# only if its expected wait there is below this share of its latency objective.
# Otherwise the queues of all homes fill up, and requests that more urgent ones
# displace there are refused after they have been held.
MAX_TARGET_WAIT_SHARE = 0.11
# Longest validity of a level that is accepted.
MAX_VALIDITY = datetime.timedelta(seconds=20)
# Time for which older levels are ignored after a level has ended.
END_RETENTION = admission_level.VALIDITY
# Time that a report covers, or one interval if that is longer. Several reports
# of the usual interval cover the same requests, so that a lost one changes
# neither the rates nor the time over which they are measured.
REPORTED_TIME = admission_level.WINDOW
# Classes in a report. The least frequent others are combined by priority, so
# that a report fits into a datagram.
MAX_REPORTED_CLASSES = 24


@dataclasses.dataclass(slots=True)
class _Counts:
    """Counts of one service since the last report.

    Attributes:
      since: when they were last reset.
      arrived: requests by priority, workspace and weight.
      served: requests that a target ran.
      placed: requests that got a target or were refused by a queue.
      delayed: those of them that had to wait.
      reused: responses after which another request got the slot at once.
      backlog: requests per slot that waited at the homes, over all responses.
      refused: requests that the level refused.
    """

    since: datetime.timedelta
    arrived: collections.Counter[tuple[int, str, int]] = dataclasses.field(
        default_factory=collections.Counter
    )
    served: int = 0
    placed: int = 0
    delayed: int = 0
    reused: int = 0
    backlog: float = 0.0
    refused: int = 0


@dataclasses.dataclass(slots=True)
class _ReceivedLevel:
    """The last level of a coordinator, or its end.

    Attributes:
      level: the level; it is not valid for any time if it has ended.
      expires_at: when it is forgotten. An end is kept so that a level that it
        overtook is not taken for a new one.
    """

    level: admission_level.AdmissionLevel
    expires_at: datetime.timedelta

    @property
    def has_ended(self) -> bool:
        """Whether the coordinator has ended the level."""
        return not self.level.valid_for


class AdmissionControl:
    """Checks new requests by the levels in force and counts the demand."""

    def __init__(self, clock: clocks.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._counts: dict[str, _Counts] = {}
        # Counts of the last reports on each scarce service, the latest last.
        self._reported: dict[str, collections.deque[_Counts]] = {}
        # Levels by service and coordinator.
        self._levels: dict[str, dict[str, _ReceivedLevel]] = {}
        # Fractions of requests admitted at the lowest priority, by service and
        # workspace; the empty workspace stands for all without their own share.
        self._credits: dict[tuple[str, str], float] = {}
        # Requests that wait for a slot, with the time of their arrival and the
        # time until which they may be held while a level is in force.
        self._waits: dict[
            str,
            dict[
                request_queues.SlotRequest,
                tuple[datetime.timedelta, datetime.timedelta],
            ],
        ] = {}
        self._refused: collections.Counter[str] = collections.Counter()

    @property
    def refused(self) -> collections.Counter[str]:
        """Number of requests refused by a level, by service."""
        return self._refused

    def levels(self) -> list[admission_level.AdmissionLevel]:
        """Returns the levels in force."""
        found = (self.level(service) for service in list(self._levels))
        return [item for item in found if item is not None]

    def status(self) -> list[dict[str, object]]:
        """Returns the levels in force and the refusals for operators."""
        return [
            {
                "service": item.service,
                "lowest_priority": item.lowest_priority,
                "share": item.share,
                "refused": self._refused[item.service],
            }
            for item in self.levels()
        ]

    def level(self, service: str) -> admission_level.AdmissionLevel | None:
        """Returns the strictest valid level of a service; None if none."""
        received = self._levels.get(service)
        if not received:
            return None
        now = self._clock.monotonic()
        for sender, item in list(received.items()):
            if now >= item.expires_at:
                del received[sender]
                if not item.has_ended:
                    self._log_end(service, "expired")
        return max(
            (item.level for item in received.values() if not item.has_ended),
            key=lambda item: item.strictness,
            default=None,
        )

    def check(
        self, head: exchange.RequestHead, weight: int, *, is_call: bool = False
    ) -> admission_level.AdmissionLevel | None:
        """Counts a new request and checks it by the level in force.

        Args:
          head: the request.
          weight: the weight of its workspace.
          is_call: whether a target makes it for a request that it runs. A call
            of the lowest admitted priority is always admitted: refusing it
            would waste the work already done.

        Returns:
          The level by which it is refused, or None if it is admitted.
        """
        counts = self._counts_of(head.service)
        counts.arrived[head.queue_priority, head.workspace, weight] += 1
        level = self.level(head.service)
        if level is None or head.queue_priority > level.lowest_priority:
            return None
        if head.queue_priority == level.lowest_priority and (
            is_call or self._take_credit(level, head.workspace)
        ):
            return None
        counts.refused += 1
        self._refused[head.service] += 1
        return level

    def record_wait_start(
        self,
        slot_request: request_queues.SlotRequest,
        started: datetime.timedelta,
        objective: datetime.timedelta,
    ) -> None:
        """Records that a request asks for a slot, and shortens its wait.

        Args:
          slot_request: its need for a slot.
          started: when it arrived at this node.
          objective: its latency objective; zero if unknown.
        """
        waits = self._waits.setdefault(slot_request.service, {})
        until = slot_request.waiter.deadline
        if objective:
            until = min(until, started + MAX_HELD_SHARE * objective)
        waits[slot_request] = (self._clock.monotonic(), until)
        level = self.level(slot_request.service)
        if level is None:
            return
        slot_request.waiter.deadline = until
        if objective and level.is_open:
            slot_request.constraints = dataclasses.replace(
                slot_request.constraints,
                max_wait=MAX_TARGET_WAIT_SHARE * objective.total_seconds(),
            )

    def record_wait_end(self, slot_request: request_queues.SlotRequest) -> None:
        """Records that a request has a target, was refused or was cancelled."""
        self._waits[slot_request.service].pop(slot_request, None)
        counts = self._counts_of(slot_request.service)
        counts.placed += 1
        counts.delayed += slot_request.future is not None

    def record_served(self, service: str) -> None:
        """Counts a request that ended after a target had run it."""
        self._counts_of(service).served += 1

    def record_result(
        self, record: records.TargetRecord, result: ResponseResult | None
    ) -> None:
        """Counts whether a request leaves a slot that another one waits for.

        Only the home knows, and it reports the load of its target with each
        response; that load includes the request itself.
        """
        if result is None or result.is_error():
            return
        report = result.ok.target_report
        if report is not None:
            counts = self._counts_of(record.service)
            waiting = max(0, report.load - record.slots)
            counts.reused += waiting > 0
            counts.backlog += waiting / record.slots

    def overdue(self) -> list[request_queues.SlotRequest]:
        """Returns requests that have been held too long for their level.

        Requests that were queued before the level began have the deadline of
        that time.
        """
        now = self._clock.monotonic()
        return [
            item
            for service, waits in self._waits.items()
            if waits and self.level(service) is not None
            for item, (_, until) in waits.items()
            if now >= until
        ]

    def take_demands(
        self, period: datetime.timedelta, first_period: datetime.timedelta
    ) -> tuple[admission_level.ServiceDemand, ...]:
        """Returns the reports that are due, and starts new ones.

        Args:
          period: time between two reports on a service.
          first_period: time that the first report on a service covers, when it
            has become scarce.
        """
        now = self._clock.monotonic()
        demands = []
        for service, counts in self._counts.items():
            if now - counts.since < (
                period if service in self._reported else first_period
            ):
                continue
            self._counts[service] = _Counts(now)
            if self._waits.get(service) or self.level(service) is not None:
                reported = self._reported.setdefault(
                    service, collections.deque()
                )
                reported.append(counts)
                while (
                    len(reported) > 1
                    and now - reported[1].since >= REPORTED_TIME
                ):
                    reported.popleft()
                demands.append(self._demand(service, reported, now))
            else:
                self._reported.pop(service, None)
        return tuple(demands)

    def apply_levels(
        self,
        sender: str,
        levels: tuple[admission_level.AdmissionLevel, ...],
    ) -> None:
        """Stores the levels that a coordinator has sent."""
        now = self._clock.monotonic()
        for level in levels:
            received = self._levels.setdefault(level.service, {})
            known = received.get(sender)
            if known is not None and known.level.number >= level.number:
                continue
            was_in_force = any(not item.has_ended for item in received.values())
            valid_for = min(level.valid_for, MAX_VALIDITY)
            received[sender] = _ReceivedLevel(
                level, now + (valid_for or END_RETENTION)
            )
            if level.valid_for and not was_in_force:
                log.info(
                    "admission level in force",
                    extra=logs.fields(
                        service=level.service, coordinator=sender
                    ),
                )
            elif known and not known.has_ended and not level.valid_for:
                self._log_end(level.service, "not needed")

    def _demand(
        self,
        service: str,
        reported: collections.deque[_Counts],
        now: datetime.timedelta,
    ) -> admission_level.ServiceDemand:
        waits = self._waits.get(service, {})
        since = next(iter(waits.values()), (now, now))[0]
        arrived: collections.Counter[tuple[int, str, int]] = (
            collections.Counter()
        )
        for counts in reported:
            arrived.update(counts.arrived)
        return admission_level.ServiceDemand(
            service,
            now - reported[0].since,
            _reported_classes(arrived),
            sum(counts.served for counts in reported),
            sum(counts.placed for counts in reported),
            sum(counts.delayed for counts in reported),
            len(waits),
            now - since,
            sum(counts.reused for counts in reported),
            sum(counts.backlog for counts in reported),
            sum(counts.refused for counts in reported),
            ended=now,
            interval=now - reported[-1].since,
        )

    def _counts_of(self, service: str) -> _Counts:
        counts = self._counts.get(service)
        if counts is None:
            counts = _Counts(self._clock.monotonic())
            self._counts[service] = counts
        return counts

    def _take_credit(
        self, level: admission_level.AdmissionLevel, workspace: str
    ) -> bool:
        """Admits a share of requests at even intervals.

        Independent random draws would add to the variation of the arrivals.
        The first credit is random, so that nodes do not admit at the same
        moments.
        """
        own = any(
            item.workspace == workspace for item in level.workspace_shares
        )
        key = (level.service, workspace if own else "")
        credit = self._credits.get(key)
        if credit is None:
            credit = self._rng.random()
        credit += level.share_of(workspace)
        self._credits[key] = credit % 1
        return credit >= 1

    def _log_end(self, service: str, cause: str) -> None:
        log.info(
            "admission level ended",
            extra=logs.fields(
                service=service, cause=cause, refused=self._refused[service]
            ),
        )


def _reported_classes(
    arrived: collections.Counter[tuple[int, str, int]],
) -> tuple[admission_level.ClassDemand, ...]:
    """Returns the most frequent classes, and the others by priority."""
    ordered = arrived.most_common()
    classes = [
        admission_level.ClassDemand(*key, count)
        for key, count in ordered[:MAX_REPORTED_CLASSES]
    ]
    others: dict[int, tuple[int, int]] = {}
    for (priority, _, weight), count in ordered[MAX_REPORTED_CLASSES:]:
        weights, total = others.get(priority, (0, 0))
        others[priority] = (weights + weight, total + count)
    classes.extend(
        admission_level.ClassDemand(priority, "", weight, count)
        for priority, (weight, count) in others.items()
    )
    return tuple(classes)


def refusal(
    level: admission_level.AdmissionLevel, chooser: placement.Placement
) -> exchange.Refusal:
    """Returns the refusal of a request below the level."""
    return exchange.not_run_refusal(
        exchange.Reason.BUSY,
        "below the admission level of the service",
        chooser.retry_after(max(level.retry_after, placement.MIN_RETRY_AFTER)),
    )
