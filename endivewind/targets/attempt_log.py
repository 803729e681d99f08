"""A home node's log of attempts, which ensures at-most-once execution.

Deduplicates the attempts under a ticket. An attempt is recorded before any byte
is sent to the target. If it ends without any byte having been sent, it is
marked as not run: late duplicates of it are refused, and a further attempt is
accepted. A refusal because of an earlier attempt has the reason SEALED. Called
by the dispatcher. Pure: no I/O, and the caller passes the time.
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
# Records beyond MAX_ATTEMPTS, only for tickets that are refused because that
# number is reached: such a refusal is recorded as well, so that a late
# duplicate is also refused.
RESERVED_FOR_REFUSALS = 1_024
FULL_RETRY_AFTER = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True)
class _Attempt:
    number: int
    was_not_run: bool
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

        Scenario: a link delivers an attempt twice, or long after its issuer
        has retried the request elsewhere. Risk: the request is executed twice.
        Each attempt is therefore accepted once. After an attempt that was sent
        to a target, no further attempt of its ticket is accepted.

        Returns:
          None if the attempt may be sent now.
        """
        self._remove_expired(now)
        known = self._attempts.get(ticket)
        if known is not None:
            refusal = _check_further_attempt(known, number)
            if refusal is not None:
                return refusal
        elif len(self._attempts) >= self._capacity + self._reserved:
            # There is no room to record this refusal. A duplicate could run
            # later, so the refusal must not have the outcome "not run".
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

    def mark_not_run(self, ticket: str, number: int) -> None:
        """Marks an attempt as not run, so that a further one is allowed.

        Args:
          ticket: the ticket.
          number: the number of an attempt of which no byte was sent to a
            target.
        """
        known = self._attempts.get(ticket)
        if known is not None and known.number == number:
            known.was_not_run = True

    def _remove_expired(self, now: datetime.timedelta) -> None:
        while self._attempts:
            ticket = next(iter(self._attempts))
            if self._attempts[ticket].expires_at > now:
                return
            del self._attempts[ticket]


def _check_further_attempt(
    known: _Attempt, number: int
) -> exchange.Refusal | None:
    if number > known.number and known.was_not_run:
        return None
    if number == known.number and known.was_not_run:
        return exchange.not_run_refusal(
            exchange.Reason.SEALED, "this attempt was refused before"
        )
    return exchange.unknown_outcome_refusal(
        exchange.Reason.SEALED,
        "an attempt of this ticket was sent to a target before",
    )
