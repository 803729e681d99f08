"""One request at one target: its slot, its time, and what it says of it."""

import datetime
import logging

from endivewind import clock as clocks
from endivewind import exchange
from endivewind import logs
from endivewind.decisions import suspicion
from endivewind.targets import connections
from endivewind.targets import doubts
from endivewind.targets import evidence
from endivewind.targets import registry

log = logging.getLogger(__name__)

# Most answers come well within their aim; at this part of it one in thirty is
# still out at a well target, by the spread and the tail of work.
OVERDUE_SHARE = 0.7
# Where no aim is known, or a very short one: above a stall of the process.
LEAST_OVERDUE = datetime.timedelta(milliseconds=300)
_SIGNALS = {
    evidence.Kind.SUCCESS: suspicion.Signal.GOOD,
    evidence.Kind.ERROR: suspicion.Signal.FAILED,
    evidence.Kind.LOST: suspicion.Signal.FAILED,
    evidence.Kind.REFUSED_CONNECTION: suspicion.Signal.FAILED,
    evidence.Kind.TIMEOUT: suspicion.Signal.OVERDUE,
    evidence.Kind.SHED: suspicion.Signal.SHED,
    evidence.Kind.CANCELLED: None,
}


class HandOver:
    """One request at one target: its slot, and what is learnt from it."""

    def __init__(
        self,
        item: registry.HomeTarget,
        head: exchange.RequestHead,
        clock: clocks.Clock,
        observer: evidence.Observer,
        doubted: doubts.ConnectionDoubts,
    ) -> None:
        self.item = item
        self.progress = connections.Progress()
        self.kind = evidence.Kind.LOST
        self._head = head
        self._clock = clock
        self._observer = observer
        self._doubted = doubted
        self._started = clock.monotonic()
        self._latency: datetime.timedelta | None = None
        self._ended = False
        self._overdue = False
        item.pending[self] = None
        self._number = observer.started(item.record.id, item.record.service)

    @property
    def is_repeat(self) -> bool:
        """Whether a target may have had the request before."""
        return self._head.repeat

    @property
    def may_have_run(self) -> bool:
        """Whether the target may have seen a byte; else it surely has not."""
        return self.progress.connected

    def answered(self, status: int) -> None:
        """Notes the answer's head."""
        self.kind = evidence.kind_of_status(status)
        self._latency = self._clock.monotonic() - self._started

    def cancelled(self) -> None:
        """Ends it for its caller, who has left or waited out the deadline."""
        waited = self._clock.monotonic() - self._started
        late = waited >= self._head.remaining and self._latency is None
        if late:
            self.timed_out()
        else:
            self.kind = evidence.Kind.CANCELLED
        self.end()

    def timed_out(self) -> None:
        """Blames the target for a deadline that passed, or its connection."""
        self.kind = evidence.Kind.TIMEOUT
        target = self.item.record.id
        now = self._clock.monotonic()
        if self.progress.reused and self._doubted.stalled(target, now):
            log.warning("connection in doubt", extra=logs.fields(target=target))
            self.kind = evidence.Kind.CANCELLED

    def look(self, now: datetime.timedelta) -> None:
        """Tells once that the answer is overdue."""
        limit = max(OVERDUE_SHARE * self._head.aim, LEAST_OVERDUE)
        if self._latency is None and now - self._started > limit:
            self._tell(suspicion.Signal.OVERDUE)

    def _signal(self, kind: evidence.Kind) -> suspicion.Signal | None:
        """What an end says of the target.

        A kept connection that breaks may only have been idle for too long.
        """
        if kind is evidence.Kind.LOST and self.progress.reused:
            return suspicion.Signal.OVERDUE
        return _SIGNALS[kind]

    def _tell(self, signal: suspicion.Signal | None) -> None:
        """Tells what speaks for or against the target, once if it is late.

        The same silence must not count twice, nor the late answer for it.
        """
        if signal is None or self._overdue:
            return
        self._overdue = signal is suspicion.Signal.OVERDUE
        self.item.suspicion.take(signal, self._clock.monotonic())

    def end(self, kind: evidence.Kind | None = None) -> None:
        """Frees the slot and reports, once."""
        if self._ended:
            return
        self._ended = True
        self.item.pending.pop(self, None)
        if self._latency is None:
            self.item.left_off = self._clock.monotonic()
        self.item.slots.free(self.item.record.slots)
        self._tell(self._signal(kind or self.kind))
        latency = self._latency
        if latency is None:
            latency = self._clock.monotonic() - self._started
        self._observer.finished(
            evidence.Sample(
                target=self.item.record.id,
                service=self.item.record.service,
                workspace=self._head.workspace,
                kind=kind or self.kind,
                latency=latency,
                number=self._number,
            )
        )
