"""Store of idempotency records: the result of each ticket at its issuer.

Called by the ticket handler each time a copy of a request arrives; the caller
may send several. Only the issuer writes the records of its incarnation's
tickets, so at-most-once execution needs no consensus with other nodes. Pure: no
I/O, and the caller passes the time.
"""

import dataclasses
import datetime
import enum

import expression

from endivewind import exchange
from endivewind.callers import tickets

# A ticket must be used for the first time within this time after its issue.
# It is shorter than the retention: a ticket whose record may have been removed
# is too old to start.
FIRST_USE_TIMEOUT = datetime.timedelta(minutes=1)
# Time that a record is kept after the first send. Callers usually resend within
# seconds; the rest is for callers whose own process was restarted.
RETENTION = datetime.timedelta(minutes=2)
# Maximum memory of a record without its response, and the overhead of each
# header of a kept response. A test measures both.
RECORD_BYTES = 1_024
HEADER_OVERHEAD_BYTES = 128
# A node has 64 MB of memory, of which libraries take about 49 MB. 6 MiB hold
# 6,144 records: those of 51 first sends per second, among a total of 184
# requests per second, during the retention.
MAX_STORE_BYTES = 6 * 1024 * 1024
FULL_RETRY_AFTER = datetime.timedelta(seconds=5)

RecordKey = tuple[int, str]
RunResult = expression.Result[exchange.Response, exchange.Refusal]


class ClaimAction(enum.StrEnum):
    """What to do with a copy of a request that has no recorded result."""

    START = "start"
    JOIN = "join"


@dataclasses.dataclass(slots=True)
class _Record:
    fingerprint: bytes
    expires: datetime.timedelta
    result: RunResult | None = None
    size: int = RECORD_BYTES


ClaimResult = expression.Result[
    ClaimAction | exchange.Response, exchange.Refusal
]


class TicketStore:
    """Records of one incarnation's tickets, each claimed and finished once.

    The result of a ticket is final: a response, "not run" or "unknown". A
    ticket whose result is "not run" never starts later; otherwise a delayed
    copy of an earlier send would make that result false.
    """

    def __init__(
        self, capacity: int = MAX_STORE_BYTES, kept_answer_bytes: int = 65_536
    ) -> None:
        """Builds an empty store.

        Args:
          capacity: maximum bytes of all records and kept responses.
          kept_answer_bytes: maximum bytes of one kept response.
        """
        self._capacity = capacity
        self._kept_answer_bytes = kept_answer_bytes
        self._records: dict[RecordKey, _Record] = {}
        self._size = 0
        self._refused_up_to = datetime.timedelta(milliseconds=-1)
        self._closed = False

    @property
    def size(self) -> int:
        """Estimated bytes of all records."""
        return self._size

    @property
    def count(self) -> int:
        """Number of records."""
        return len(self._records)

    def remaining_retention(
        self, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns the time until the last record expires; zero if none."""
        self._remove_expired(now)
        if not self._records:
            return datetime.timedelta()
        last = self._records[next(reversed(self._records))]
        return max(last.expires - now, datetime.timedelta())

    def refuse_new_tickets(self) -> None:
        """Refuses new tickets; recorded results are still returned."""
        self._closed = True

    def claim(
        self,
        ticket: tickets.Ticket,
        fingerprint: bytes,
        now: datetime.timedelta,
    ) -> ClaimResult:
        """Decides what to do with one copy of a request with a valid ticket.

        Scenario: a caller that got no response resends the request through any
        node, while the first copy may still be running. Risk: a payout runs
        twice, or the caller gets "not run" for one that runs later. Since the
        record is created before the request is placed, exactly one copy starts
        it.

        Args:
          ticket: the ticket, whose signature has been verified.
          fingerprint: the fingerprint of the request.
          now: the current monotonic time.

        Returns:
          START for the first copy, which runs the request; JOIN for others
          while it is running; the kept response after it has finished; or a
          refusal.
        """
        self._remove_expired(now)
        record = self._records.get(_key(ticket))
        if record is not None:
            return _result_of(record, fingerprint)
        refused = self._refuse_start(ticket, now)
        if refused is not None:
            return expression.Error(refused)
        self._records[_key(ticket)] = _Record(fingerprint, now + RETENTION)
        self._size += RECORD_BYTES
        return expression.Ok(ClaimAction.START)

    def finish(self, ticket: tickets.Ticket, result: RunResult) -> None:
        """Records the result; keeps the response if there is room for it.

        A ticket is finished once; later calls have no effect.
        """
        record = self._records.get(_key(ticket))
        if record is None or record.result is not None:
            return
        if result.is_error():
            record.result = expression.Error(result.error)
            return
        added = _response_bytes(result.ok)
        fits = added <= self._kept_answer_bytes
        if (
            result.ok.stream is not None
            or not fits
            or self._exceeds_capacity(added)
        ):
            record.result = expression.Error(RESPONSE_NOT_KEPT)
            return
        record.result = expression.Ok(result.ok)
        record.size += added
        self._size += added

    def _refuse_start(
        self, ticket: tickets.Ticket, now: datetime.timedelta
    ) -> exchange.Refusal | None:
        """Returns why a ticket without a record may not start, or None."""
        age = now - ticket.issued
        if age >= RETENTION:
            # Its record may have expired, so its result is unknown.
            return exchange.unknown_outcome_refusal(
                exchange.Reason.TICKET_EXPIRED,
                "the retention time of the key has passed",
            )
        if age >= FIRST_USE_TIMEOUT:
            return exchange.not_run_refusal(
                exchange.Reason.TICKET_EXPIRED,
                "the key was not used in time; use the new key",
            )
        if self._closed:
            return exchange.not_run_refusal(
                exchange.Reason.STOPPING, "the key's node is shutting down"
            )
        if ticket.issued <= self._refused_up_to:
            return exchange.not_run_refusal(
                exchange.Reason.BUSY,
                "the node had no room to record this key or a later one",
                FULL_RETRY_AFTER,
            )
        if self._exceeds_capacity(RECORD_BYTES):
            # There is no room to record this refusal, so a delayed copy of the
            # request could run once there is room again. Therefore all tickets
            # issued up to now are refused from now on.
            self._refused_up_to = now
            return exchange.not_run_refusal(
                exchange.Reason.BUSY,
                "the node has no room to record another key",
                FULL_RETRY_AFTER,
            )
        return None

    def _exceeds_capacity(self, added: int) -> bool:
        return self._size + added > self._capacity

    def _remove_expired(self, now: datetime.timedelta) -> None:
        """Removes records past their retention, in the order of their claims.

        A record of a running request is kept, and so are all records after it;
        this is not for long, since a request ends by its deadline.
        """
        while self._records:
            key = next(iter(self._records))
            record = self._records[key]
            if record.expires > now or record.result is None:
                return
            self._size -= record.size
            del self._records[key]


RESPONSE_NOT_KEPT = exchange.Refusal(
    exchange.ExecutionOutcome.RAN,
    exchange.Reason.ANSWER_NOT_KEPT,
    "the request ran and its response was sent, but not kept",
)


def _result_of(record: _Record, fingerprint: bytes) -> ClaimResult:
    if record.fingerprint != fingerprint:
        return expression.Error(
            exchange.Refusal(
                _outcome(record),
                exchange.Reason.TICKET_REUSED,
                "the key was used for another request",
            )
        )
    if record.result is None:
        return expression.Ok(ClaimAction.JOIN)
    if record.result.is_error():
        return expression.Error(record.result.error)
    return expression.Ok(record.result.ok)


def _outcome(record: _Record) -> exchange.ExecutionOutcome:
    """Returns the ticket's outcome, also for a request that reused the key."""
    if record.result is None:
        return exchange.ExecutionOutcome.UNKNOWN
    if record.result.is_error():
        return record.result.error.outcome
    return exchange.ExecutionOutcome.RAN


def _response_bytes(response: exchange.Response) -> int:
    header_bytes = sum(
        HEADER_OVERHEAD_BYTES + len(name) + len(value)
        for name, value in response.headers
    )
    return len(response.body) + header_bytes


def _key(ticket: tickets.Ticket) -> RecordKey:
    return (ticket.issued_ms, ticket.nonce)
