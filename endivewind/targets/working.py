"""One request at one target: its slot, its time, and what it says of it."""

import datetime
import logging
import math

from endivewind import clock as clocks
from endivewind import exchange
from endivewind import logs
from endivewind.decisions import suspicion
from endivewind.targets import connections
from endivewind.targets import doubts
from endivewind.targets import evidence
from endivewind.targets import registry

log = logging.getLogger(__name__)

# Where no aim tells how long answers take, they are overdue after this.
OVERDUE = datetime.timedelta(milliseconds=300)
# An answer at an age that is so many times likelier at a sick target does not
# speak for it.
LATE = 16.0
_SIGNALS = {
    evidence.Kind.SUCCESS: suspicion.HealthSignal.SUCCESS,
    evidence.Kind.ERROR: suspicion.HealthSignal.FAILURE,
    evidence.Kind.LOST: suspicion.HealthSignal.FAILURE,
    evidence.Kind.REFUSED_CONNECTION: suspicion.HealthSignal.FAILURE,
    evidence.Kind.TIMEOUT: suspicion.HealthSignal.OVERDUE,
    evidence.Kind.SHED: suspicion.HealthSignal.SHED,
    evidence.Kind.CANCELLED: None,
}
# Ends that tell no more than the silence before them.
_UNANSWERED = (evidence.Kind.TIMEOUT, evidence.Kind.CANCELLED)


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
        return self._head.may_be_duplicate

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
        """Tells once that the answer is overdue, where no aim is known."""
        if self._head.latency_objective or self._latency is not None:
            return
        if now - self._started > OVERDUE:
            self._tell(suspicion.HealthSignal.OVERDUE)

    def silence(self, now: datetime.timedelta) -> float:
        """How many times likelier it is at a sick target that it is open.

        What the target took long ago says little of how it is now.
        """
        if self._latency is not None:
            return 1.0
        age = now - self._started
        likelihood = self.item.times.likelihood_ratio(
            self._head.latency_objective, age
        )
        beyond = max(age - self._head.latency_objective, datetime.timedelta())
        return likelihood ** math.exp(-beyond / suspicion.MEAN_UNHEALTHY_TIME)

    def _signal(self, kind: evidence.Kind) -> suspicion.HealthSignal | None:
        """What an end says of the target.

        A kept connection that breaks may only have been idle for too long.
        """
        if kind is evidence.Kind.LOST and self.progress.reused:
            return suspicion.HealthSignal.OVERDUE
        return _SIGNALS[kind]

    def _tell(self, signal: suspicion.HealthSignal | None) -> None:
        """Tells what speaks for or against the target, once if it is late.

        The same silence must not count twice, nor the late answer for it.
        """
        if signal is None or self._overdue:
            return
        self._overdue = signal is suspicion.HealthSignal.OVERDUE
        self.item.suspicion.observe(signal, self._clock.monotonic())

    def _tell_end(self, kind: evidence.Kind) -> None:
        """Tells what its end says: by its age, where it got no answer."""
        now = self._clock.monotonic()
        aim = self._head.latency_objective
        if self._latency is None and aim and kind in _UNANSWERED:
            silence = self.silence(now)
            if silence > 1:
                self.item.suspicion.apply_likelihood_ratio(silence, now)
            return
        signal = self._signal(kind)
        if (
            signal is suspicion.HealthSignal.SUCCESS
            and self._latency is not None
        ):
            lateness = self.item.times.likelihood_ratio(aim, self._latency)
            self.item.times.observe(aim, self._latency)
            if lateness > LATE:
                signal = suspicion.HealthSignal.OVERDUE
        self._tell(signal)

    def end(self, kind: evidence.Kind | None = None) -> None:
        """Frees the slot and reports, once."""
        if self._ended:
            return
        self._ended = True
        self.item.pending.pop(self, None)
        if self._latency is None:
            self.item.left_off = self._clock.monotonic()
        self.item.slots.free(self.item.record.slots)
        self._tell_end(kind or self.kind)
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
