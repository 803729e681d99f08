"""The home's record of attempts, so that each is handed over at most once.

Pure: an attempt comes in, whether it may be handed over comes out. The
attempt is recorded before the target sees its first byte; an attempt that
was refused as not run is sealed, so that a late copy of it is refused too.
"""

import dataclasses
import datetime

from endivewind import exchange

# A copy that is older than this can't arrive: a link that moves no byte for
# this long has been given up by both ends.
RETENTION = datetime.timedelta(minutes=1)
# What one attempt takes at most; a test measures it.
ATTEMPT_BYTES = 512
# 2 MiB, and 68 attempts a second held for the retention.
MAX_ATTEMPTS = 4_096
# Refusals must be sealed as well, also when there is no room for new work.
SEAL_RESERVE = 1_024
FULL_RETRY = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True)
class _Attempt:
    number: int
    sealed: bool
    expires: datetime.timedelta


class HandOverLedger:
    """Attempts of tickets that this home has accepted or refused."""

    def __init__(
        self, capacity: int = MAX_ATTEMPTS, reserve: int = SEAL_RESERVE
    ) -> None:
        self._capacity = capacity
        self._reserve = reserve
        self._attempts: dict[str, _Attempt] = {}

    @property
    def count(self) -> int:
        """Number of tickets with a recorded attempt."""
        return len(self._attempts)

    def begin(
        self, ticket: str, number: int, now: datetime.timedelta
    ) -> exchange.Refusal | None:
        """Records an attempt before its hand-over; or refuses it.

        Load: a link delivers an attempt twice, or long after its issuer has
        placed the work elsewhere. Harm: a second run. An attempt is accepted
        once, and none after one that was handed over.

        Returns:
          None if the attempt may be handed over now.
        """
        self._expire(now)
        known = self._attempts.get(ticket)
        if known is not None:
            refused = _refuse_known(known, number)
            if refused is not None:
                return refused
        elif len(self._attempts) >= self._capacity + self._reserve:
            # Without room for a seal "not run" could become false later.
            return exchange.outcome_unknown(
                exchange.Reason.BUSY, "the home has no room for a record"
            )
        full = known is None and len(self._attempts) >= self._capacity
        self._attempts.pop(ticket, None)
        self._attempts[ticket] = _Attempt(number, full, now + RETENTION)
        if full:
            return exchange.not_run(
                exchange.Reason.BUSY,
                "the home has no room for another attempt",
                FULL_RETRY,
            )
        return None

    def seal(self, ticket: str, number: int) -> None:
        """Notes that an attempt ended before its target saw a byte."""
        known = self._attempts.get(ticket)
        if known is not None and known.number == number:
            known.sealed = True

    def _expire(self, now: datetime.timedelta) -> None:
        while self._attempts:
            ticket = next(iter(self._attempts))
            if self._attempts[ticket].expires > now:
                return
            del self._attempts[ticket]


def _refuse_known(known: _Attempt, number: int) -> exchange.Refusal | None:
    if number > known.number and known.sealed:
        return None
    if number == known.number and known.sealed:
        return exchange.not_run(
            exchange.Reason.SEALED, "this attempt was refused before"
        )
    return exchange.outcome_unknown(
        exchange.Reason.SEALED, "an attempt of this key was handed over"
    )
