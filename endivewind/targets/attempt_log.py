"""A home node's log of attempts, which ensures at-most-once execution.

Deduplicates the attempts under a ticket. An attempt is recorded before any
byte is sent to the target; one that was refused as not run is sealed, so that
a late duplicate is refused, too. Called by the dispatcher. Pure: no I/O, and
the caller passes the time.
"""

import dataclasses
import datetime

from endivewind import exchange

# No duplicate can arrive after this time: both ends close a link on which no
# byte has been transferred for that long.
RETENTION = datetime.timedelta(minutes=1)
# Memory of one attempt at most, which a test checks.
MAX_BYTES_PER_ATTEMPT = 512
# At most 2 MiB; enough for 68 attempts per second during the retention time.
MAX_ATTEMPTS = 4_096
# Further records for refused attempts, which must be sealed even if the log is
# full for new ones.
RESERVED_FOR_REFUSALS = 1_024
FULL_RETRY_AFTER = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True)
class _Attempt:
    number: int
    is_sealed: bool
    expires_at: datetime.timedelta


class AttemptLog:
    """The latest attempt of each ticket that this home node has received."""

    def __init__(
        self, capacity: int = MAX_ATTEMPTS, reserve: int = RESERVED_FOR_REFUSALS
    ) -> None:
        self._capacity = capacity
        self._reserved = reserve
        self._attempts: dict[str, _Attempt] = {}

    @property
    def count(self) -> int:
        """Number of tickets with a recorded attempt."""
        return len(self._attempts)

    def begin(
        self, ticket: str, number: int, now: datetime.timedelta
    ) -> exchange.Refusal | None:
        """Records an attempt before it is sent to its target, or refuses it.

        Load: a link delivers an attempt twice, or long after its issuer has
        retried the request elsewhere. Harm: the request is executed twice.
        Each attempt is therefore accepted once, and none is accepted after
        one that was sent to a target.

        Returns:
          None if the attempt may be sent now.
        """
        self._remove_expired(now)
        known = self._attempts.get(ticket)
        if known is not None:
            refusal = _check_known(known, number)
            if refusal is not None:
                return refusal
        elif len(self._attempts) >= self._capacity + self._reserved:
            # A refusal as not run can't be sealed, so it could become false.
            return exchange.unknown_outcome_refusal(
                exchange.Reason.BUSY, "log of attempts is full"
            )
        is_full = known is None and len(self._attempts) >= self._capacity
        self._attempts.pop(ticket, None)
        self._attempts[ticket] = _Attempt(number, is_full, now + RETENTION)
        if is_full:
            return exchange.not_run_refusal(
                exchange.Reason.BUSY,
                "log of attempts is full for new tickets",
                FULL_RETRY_AFTER,
            )
        return None

    def seal(self, ticket: str, number: int) -> None:
        """Marks an attempt that ended before any byte was sent to a target."""
        known = self._attempts.get(ticket)
        if known is not None and known.number == number:
            known.is_sealed = True

    def _remove_expired(self, now: datetime.timedelta) -> None:
        while self._attempts:
            ticket = next(iter(self._attempts))
            if self._attempts[ticket].expires_at > now:
                return
            del self._attempts[ticket]


def _check_known(known: _Attempt, number: int) -> exchange.Refusal | None:
    if number > known.number and known.is_sealed:
        return None
    if number == known.number and known.is_sealed:
        return exchange.not_run_refusal(
            exchange.Reason.SEALED, "this attempt was refused before"
        )
    return exchange.unknown_outcome_refusal(
        exchange.Reason.SEALED,
        "an attempt of this ticket was sent to a target before",
    )
