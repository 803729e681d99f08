"""Refuses poison requests: requests that crash the targets they run on.

The gateway calls it before it places a request and after each attempt.
"""

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.callers import tickets
from endivewind.decisions import poison_requests
from endivewind.targets import records

ResponseResult = expression.Result[exchange.Response, exchange.Refusal]


class PoisonGuard:
    """Passes the requests of this entry node to the poison request detector."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._detector = poison_requests.PoisonRequestDetector()

    def check(
        self, head: exchange.RequestHead, body: exchange.RequestBody
    ) -> exchange.Refusal | None:
        """Returns a refusal if the request crashes targets, otherwise None."""
        # The detector is false while it has no records.
        if not self._detector or not body.is_replayable:
            return None
        remaining_block = self._detector.remaining_block(
            tickets.fingerprint(head, body.buffered), self._clock.monotonic()
        )
        if remaining_block is None:
            return None
        return exchange.not_run_refusal(
            exchange.Reason.POISON,
            "targets crashed while they ran this request",
            remaining_block,
        )

    def record_result(
        self,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        record: records.TargetRecord,
        result: ResponseResult,
    ) -> None:
        """Records the result of an attempt at a target.

        Requests with a streamed body are ignored: the body has been consumed,
        so there is no fingerprint, and they are not retried either.

        Args:
          head: the request's head.
          body: the request's body.
          record: the target.
          result: the target's response, or a refusal.
        """
        if not body.is_replayable:
            return
        was_lost = result.is_error() and (
            result.error.reason is exchange.Reason.TARGET_LOST
        )
        if was_lost:
            fingerprint = tickets.fingerprint(head, body.buffered)
            # Each incarnation of a target is counted once: crashes of two
            # incarnations count as two, repeated failures of one as one.
            target = f"{record.id}@{record.target_incarnation}"
            self._detector.record_crash(
                fingerprint, target, self._clock.monotonic()
            )
        elif result.is_ok() and self._detector:
            self._detector.record_response(
                tickets.fingerprint(head, body.buffered)
            )
