"""The issuer's record of what was done under each of its tickets.

Pure: a send comes in, what to do about it comes out. The book is the single
writer of its incarnation's tickets, so no agreement with other nodes is
needed for work to run at most once.
"""

import dataclasses
import datetime
import enum

import expression

from endivewind import exchange
from endivewind.callers import tickets

# A ticket must be used first within this time of its issue. Shorter than the
# retention, so that every ticket that may still start has its record, if any.
FIRST_USE = datetime.timedelta(minutes=1)
# A record is held this long after the first send. Callers resend within
# seconds; the rest is for callers whose own process was restarted.
RETENTION = datetime.timedelta(minutes=2)
# What a record takes at most, its answer apart, and what each header of a
# kept answer takes beside its bytes; a test measures both.
RECORD_BYTES = 1_024
FIELD_BYTES = 128
# A node has 64 MB, some 49 of them taken by libraries. 6 MiB hold 6,144
# records: 51 first sends a second, of 184 requests, held for the retention.
BOOK_BYTES = 6 * 1024 * 1024
FULL_RETRY = datetime.timedelta(seconds=5)

Key = tuple[int, str]
RunResult = expression.Result[exchange.Response, exchange.Refusal]


class Step(enum.StrEnum):
    """What to do about a send that is not answered from the book."""

    START = "start"
    JOIN = "join"


@dataclasses.dataclass(slots=True)
class _Record:
    fingerprint: bytes
    expires: datetime.timedelta
    result: RunResult | None = None
    size: int = RECORD_BYTES


ClaimResult = expression.Result[Step | exchange.Response, exchange.Refusal]


class TicketBook:
    """Records of one incarnation: claimed, then finished for good.

    Whatever a ticket ended as stays: answered, not run or unknown. A ticket
    that was told "not run" never starts later, or a late copy of an earlier
    send would make that answer false.
    """

    def __init__(
        self, capacity: int = BOOK_BYTES, kept_answer_bytes: int = 65_536
    ) -> None:
        """Builds an empty book.

        Args:
          capacity: bytes of all records and kept answers.
          kept_answer_bytes: most bytes of one kept answer.
        """
        self._capacity = capacity
        self._kept_answer_bytes = kept_answer_bytes
        self._records: dict[Key, _Record] = {}
        self._size = 0
        self._barrier = datetime.timedelta(milliseconds=-1)
        self._closed = False

    @property
    def size(self) -> int:
        """Bytes counted for all records."""
        return self._size

    @property
    def count(self) -> int:
        """Number of records."""
        return len(self._records)

    def kept_for(self, now: datetime.timedelta) -> datetime.timedelta:
        """Time until the last record is past its retention; or zero."""
        self._expire(now)
        if not self._records:
            return datetime.timedelta()
        last = self._records[next(reversed(self._records))]
        return max(last.expires - now, datetime.timedelta())

    def close(self) -> None:
        """Starts nothing more; what is recorded can still be asked for."""
        self._closed = True

    def claim(
        self,
        ticket: tickets.Ticket,
        fingerprint: bytes,
        now: datetime.timedelta,
    ) -> ClaimResult:
        """Decides about one send of a verified ticket.

        Load: a caller that got no answer sends again, over any node, while
        the first send may still run. Harm: two runs of one payout, or "not
        run" for one that runs later. One record for each ticket, made before
        anything is placed, leaves exactly one send that starts.

        Returns:
          START for the one send that is to run it, JOIN while it runs, the
          kept answer after it; or the refusal.
        """
        self._expire(now)
        record = self._records.get(_key(ticket))
        if record is not None:
            return _known(record, fingerprint)
        refused = self._refuse_start(ticket, now)
        if refused is not None:
            return expression.Error(refused)
        self._records[_key(ticket)] = _Record(fingerprint, now + RETENTION)
        self._size += RECORD_BYTES
        return expression.Ok(Step.START)

    def finish(self, ticket: tickets.Ticket, result: RunResult) -> None:
        """Records how the one run ended; keeps the answer if it has room.

        A ticket is finished once: a later report for it changes nothing.
        """
        record = self._records.get(_key(ticket))
        if record is None or record.result is not None:
            return
        if result.is_error():
            record.result = expression.Error(result.error)
            return
        added = _answer_bytes(result.ok)
        fits = added <= self._kept_answer_bytes
        if result.ok.stream is not None or not fits or self._over(added):
            record.result = expression.Error(NOT_KEPT)
            return
        record.result = expression.Ok(result.ok)
        record.size += added
        self._size += added

    def _refuse_start(
        self, ticket: tickets.Ticket, now: datetime.timedelta
    ) -> exchange.Refusal | None:
        """Why a ticket without a record may not start; None if it may."""
        age = now - ticket.issued
        if age >= RETENTION:
            # Its record may have been dropped, so nothing is known of it.
            return exchange.outcome_unknown(
                exchange.Reason.TICKET_EXPIRED,
                "the key is past its retention",
            )
        if age >= FIRST_USE:
            return exchange.not_run(
                exchange.Reason.TICKET_EXPIRED,
                "the key was not used in time; take the new one",
            )
        if self._closed:
            return exchange.not_run(
                exchange.Reason.STOPPING, "the key's node is leaving"
            )
        if ticket.issued <= self._barrier:
            return exchange.not_run(
                exchange.Reason.BUSY,
                "the key was refused or was issued before a refusal",
                FULL_RETRY,
            )
        if self._over(RECORD_BYTES):
            # There is no room to remember this refusal. Without a memory of
            # it a late copy could run once there is room again, so every
            # ticket issued up to now is barred from starting.
            self._barrier = now
            return exchange.not_run(
                exchange.Reason.BUSY,
                "no room for the record of another key",
                FULL_RETRY,
            )
        return None

    def _over(self, added: int) -> bool:
        return self._size + added > self._capacity

    def _expire(self, now: datetime.timedelta) -> None:
        """Drops records past their retention, in the order of their claims.

        One that still runs is held, and those behind it wait for it: a run
        ends by its deadline.
        """
        while self._records:
            key = next(iter(self._records))
            record = self._records[key]
            if record.expires > now or record.result is None:
                return
            self._size -= record.size
            del self._records[key]


NOT_KEPT = exchange.Refusal(
    exchange.Outcome.RAN,
    exchange.Reason.ANSWER_NOT_KEPT,
    "the work ran and its answer was sent; it is not kept",
)


def _known(record: _Record, fingerprint: bytes) -> ClaimResult:
    if record.fingerprint != fingerprint:
        return expression.Error(
            exchange.Refusal(
                _outcome(record),
                exchange.Reason.TICKET_REUSED,
                "the key belongs to another request",
            )
        )
    if record.result is None:
        return expression.Ok(Step.JOIN)
    if record.result.is_error():
        return expression.Error(record.result.error)
    return expression.Ok(record.result.ok)


def _outcome(record: _Record) -> exchange.Outcome:
    """The outcome of the ticket, whichever request asks."""
    if record.result is None:
        return exchange.Outcome.UNKNOWN
    if record.result.is_error():
        return record.result.error.outcome
    return exchange.Outcome.RAN


def _answer_bytes(answer: exchange.Response) -> int:
    fields = sum(
        FIELD_BYTES + len(name) + len(value) for name, value in answer.headers
    )
    return len(answer.body) + fields


def _key(ticket: tickets.Ticket) -> Key:
    return (ticket.issued_ms, ticket.nonce)
