"""Refuses requests that have crashed the targets that ran them."""

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.callers import tickets
from endivewind.decisions import poison_requests
from endivewind.targets import records

AnswerResult = expression.Result[exchange.Response, exchange.Refusal]


class CrashWatch:
    """Feeds the poison decision with this entry's requests."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._book = poison_requests.PoisonRequestDetector()

    def refusal(
        self, head: exchange.RequestHead, body: exchange.RequestBody
    ) -> exchange.Refusal | None:
        """The refusal of a request that crashes targets; None lets it pass."""
        if not self._book or not body.is_replayable:
            return None
        left = self._book.remaining_block(
            tickets.fingerprint(head, body.buffered), self._clock.monotonic()
        )
        if left is None:
            return None
        return exchange.not_run(
            exchange.Reason.POISON,
            "targets that ran this request were lost with it",
            left,
        )

    def ended(
        self,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        record: records.TargetRecord,
        result: AnswerResult,
    ) -> None:
        """Takes how a request ended at a target.

        A streamed body is gone by now, so such a request has no fingerprint;
        it is not placed again either.
        """
        if not body.is_replayable:
            return
        lost = result.is_error() and (
            result.error.reason is exchange.Reason.TARGET_LOST
        )
        if lost:
            mark = tickets.fingerprint(head, body.buffered)
            # A target that came back and was lost again counts anew; one that
            # merely keeps failing has the same start.
            start = f"{record.id}@{record.target_incarnation}"
            self._book.record_crash(mark, start, self._clock.monotonic())
        elif result.is_ok() and self._book:
            self._book.record_answer(tickets.fingerprint(head, body.buffered))
