"""Refuses poison requests: requests that crash the targets they run on.

The gateway calls it before it places a request, before each attempt and after
it. A suspect request gets an attempt only as a trial, of which the fleet makes
one at a time.
"""

import asyncio
import collections
import collections.abc
import datetime
import logging
import random
from typing import Any
from typing import Protocol

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind import logs
from endivewind.callers import tickets
from endivewind.decisions import poison_requests
from endivewind.targets import records

log = logging.getLogger(__name__)

ResponseResult = expression.Result[exchange.Response, exchange.Refusal]
# A trial to make; None if the request is not suspect.
TrialResult = expression.Result[poison_requests.Trial | None, exchange.Refusal]
# A report that is being sent.
Report = asyncio.Task[None]

# Responses with this status or a higher one don't show that the target has run
# the request to its end.
_MIN_FAILURE_STATUS = 500
# Share of its remaining time that a request waits for the end of another trial.
MAX_WAIT_SHARE = 0.5
# Mean time between two asks for a trial.
ASK_INTERVAL = datetime.timedelta(milliseconds=100)
# Retry-After of a request that has waited for another trial in vain.
RETRY_AFTER = datetime.timedelta(seconds=1)
# Requests that crashed targets and are not suspect yet, of this entry node.
MAX_REPORTED_REQUESTS = 1024


class CrashReporter(Protocol):
    """Reports crashes to the nodes that count them for the whole fleet."""

    @property
    def suspects(self) -> poison_requests.SuspectRequests:
        """The suspect requests that this node knows."""

    async def report_crash(
        self, fingerprint: bytes, target: str, age: datetime.timedelta
    ) -> None:
        """Reports a crash; afterwards `suspects` includes its consequence."""

    async def report_response(self, fingerprint: bytes) -> None:
        """Reports that a target has responded to a request."""

    async def report_change(
        self, record: poison_requests.SuspectRequest
    ) -> None:
        """Reports the later record of a suspect request."""

    async def ask_trial(
        self,
        record: poison_requests.SuspectRequest,
        duration: datetime.timedelta,
    ) -> poison_requests.Trial | None:
        """Asks for a trial; returns None if another one is being made."""

    def release_trial(self, trial: poison_requests.Trial) -> None:
        """Gives back a trial that was not made."""


class _NoReports:
    """Reports nothing, so that no request is ever suspect."""

    def __init__(self) -> None:
        self._suspects = poison_requests.SuspectRequests()

    @property
    def suspects(self) -> poison_requests.SuspectRequests:
        return self._suspects

    async def report_crash(
        self, fingerprint: bytes, target: str, age: datetime.timedelta
    ) -> None:
        pass

    async def report_response(self, fingerprint: bytes) -> None:
        pass

    async def report_change(
        self, record: poison_requests.SuspectRequest
    ) -> None:
        pass

    async def ask_trial(
        self,
        record: poison_requests.SuspectRequest,
        duration: datetime.timedelta,
    ) -> poison_requests.Trial | None:
        return None

    def release_trial(self, trial: poison_requests.Trial) -> None:
        pass


class PoisonGuard:
    """Decides which attempts of suspect requests this entry node makes."""

    def __init__(
        self,
        clock: clocks.Clock,
        reporter: CrashReporter | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Starts without any reported requests.

        Args:
          clock: the clock; its monotonic time is used.
          reporter: reports crashes; None if no request is to be refused.
          rng: spreads the asks of several nodes over time.
        """
        self._clock = clock
        self._reporter = reporter or _NoReports()
        self._rng = rng or random.Random()
        # Requests whose crashes were reported, as long as they aren't suspect.
        self._reported: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        # Reports that are still being sent.
        self._tasks: set[asyncio.Task[Any]] = set()
        self._answered = poison_requests.AnsweredRequests()
        self._reporter.suspects.observe(self._clear_if_answered)

    def is_suspect(
        self, head: exchange.RequestHead, body: exchange.RequestBody
    ) -> bool:
        """Returns whether a request may run as a trial only."""
        if not self._reporter.suspects or not body.is_replayable:
            return False
        fingerprint = tickets.fingerprint(head, body.buffered)
        return self._reporter.suspects.find(fingerprint) is not None

    async def obtain_trial(
        self,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        deadline: datetime.timedelta,
    ) -> TrialResult:
        """Waits until a request may run, as a trial if it is suspect.

        Most requests return at once. One that is suspect waits for the end of
        another trial: after a response all of them may run.

        Args:
          head: the request's head.
          body: the request's body.
          deadline: monotonic time when its caller stops waiting.

        Returns:
          The trial to make, None if the request is not suspect, or a refusal.
        """
        if not self._reporter.suspects or not body.is_replayable:
            return expression.Ok(None)
        fingerprint = tickets.fingerprint(head, body.buffered)
        now = self._clock.monotonic()
        give_up_at = now + MAX_WAIT_SHARE * (deadline - now)
        while suspect := self._reporter.suspects.find(fingerprint):
            refusal = self._pause_refusal(fingerprint)
            if refusal is not None:
                return expression.Error(refusal)
            now = self._clock.monotonic()
            if now >= give_up_at:
                return expression.Error(_refusal(RETRY_AFTER))
            trial = await self._reporter.ask_trial(suspect, deadline - now)
            if trial is not None:
                _log_trial("trial of suspect request", head, trial)
                return expression.Ok(trial)
            wait = ASK_INTERVAL * self._rng.uniform(0.5, 1.5)
            await asyncio.sleep(wait.total_seconds())
        return expression.Ok(None)

    def release_trial(self, trial: poison_requests.Trial | None) -> None:
        """Gives back a trial, if there is one, that was not made."""
        if trial is not None:
            self._reporter.release_trial(trial)

    def record_result(
        self,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        record: records.TargetRecord,
        result: ResponseResult | None,
        age: datetime.timedelta,
        trial: poison_requests.Trial | None = None,
    ) -> Report | None:
        """Records the result of an attempt that may have reached its target.

        Requests with a streamed body are ignored: the body has been consumed,
        so there is no fingerprint, and they are not retried either.

        A crash is reported even if the request itself is not retried: it may
        come again at another entry node.

        Args:
          head: the request's head.
          body: the request's body.
          record: the target.
          result: the target's response, or a refusal; None if the attempt was
            cancelled.
          age: how long ago the attempt began.
          trial: the trial that the attempt was; None if it was none.

        Returns:
          The report of the crash or the trial, if there is one.
        """
        if not body.is_replayable:
            return None
        if _is_response(result):
            return self._record_response(head, body, trial)
        if trial is not None:
            _log_trial("trial failed", head, trial)
            return self._start(
                self._reporter.report_change(trial.record.after_failed_trial())
            )
        if result is not None and _was_target_lost(result):
            fingerprint = tickets.fingerprint(head, body.buffered)
            self._reported[fingerprint] = None
            if len(self._reported) > MAX_REPORTED_REQUESTS:
                self._reported.popitem(last=False)
            return self._start(
                self._reporter.report_crash(
                    fingerprint, _incarnation(record), age
                )
            )
        return None

    def _record_response(
        self,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        trial: poison_requests.Trial | None,
    ) -> Report | None:
        """Clears a request to which a target has responded."""
        self._answered.record(
            poison_requests.RequestParts(
                head.workspace,
                head.service,
                head.method,
                head.path,
                body.buffered,
            ),
            self._clock.monotonic(),
        )
        if not (self._reported or self._reporter.suspects or trial):
            return None
        fingerprint = tickets.fingerprint(head, body.buffered)
        was_reported = fingerprint in self._reported
        self._reported.pop(fingerprint, None)
        suspect = self._reporter.suspects.find(fingerprint)
        if suspect is None and trial is not None:
            suspect = trial.record
        if suspect is not None:
            return self._start(self._reporter.report_change(suspect.cleared()))
        if was_reported:
            return self._start(self._reporter.report_response(fingerprint))
        return None

    def _clear_if_answered(
        self, suspect: poison_requests.SuspectRequest
    ) -> None:
        """Clears a request to which a target has responded just before.

        Scenario: a look-up that many callers send is lost with two targets.
        Risk: until gossip has told the other nodes, the responses that they get
        clear nothing. If the first trial is lost, too, it is refused.
        """
        if any(
            tickets.fingerprint_of(*request) == suspect.fingerprint
            for request in self._answered.latest(self._clock.monotonic())
        ):
            self._start(self._reporter.report_change(suspect.cleared()))

    def _start(
        self, report: collections.abc.Coroutine[Any, Any, None]
    ) -> Report:
        task = asyncio.create_task(report)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def allows_retry(
        self,
        head: exchange.RequestHead,
        body: exchange.RequestBody,
        reports: list[Report],
    ) -> bool:
        """Returns whether a request may be retried, as far as crashes go.

        It may not if it has crashed several targets itself, or once a trial of
        it has failed, wherever that was made.

        Args:
          head: the request's head.
          body: the request's body.
          reports: the reports of its attempts.
        """
        for report in reports:
            await report
        if not self._reporter.suspects or not body.is_replayable:
            return True
        fingerprint = tickets.fingerprint(head, body.buffered)
        suspect = self._reporter.suspects.find(fingerprint)
        if suspect is None or not (
            suspect.failed_trials or len(reports) >= poison_requests.MIN_CRASHES
        ):
            return True
        fields = logs.fields(
            request_id=head.request_id,
            service=head.service,
            crashes=suspect.count,
        )
        log.warning("poison request not retried", extra=fields)
        return False

    def _pause_refusal(self, fingerprint: bytes) -> exchange.Refusal | None:
        remaining = self._reporter.suspects.remaining_pause(
            fingerprint, self._clock.monotonic()
        )
        return _refusal(remaining) if remaining else None


def _refusal(retry_after: datetime.timedelta) -> exchange.Refusal:
    return exchange.not_run_refusal(
        exchange.Reason.POISON,
        "targets crashed while they ran this request",
        retry_after,
    )


def _is_response(result: ResponseResult | None) -> bool:
    """Returns whether a target has run a request to its end."""
    return (
        result is not None
        and result.is_ok()
        and result.ok.status < _MIN_FAILURE_STATUS
    )


def _was_target_lost(result: ResponseResult) -> bool:
    return result.is_error() and (
        result.error.reason is exchange.Reason.TARGET_LOST
    )


def _incarnation(record: records.TargetRecord) -> str:
    """Returns the name of a target's incarnation.

    Crashes of two incarnations count as two, repeated failures of one as one.
    """
    return f"{record.id}@{record.target_incarnation}"


def _log_trial(
    message: str, head: exchange.RequestHead, trial: poison_requests.Trial
) -> None:
    fields = logs.fields(
        request_id=head.request_id,
        service=head.service,
        failed_trials=trial.record.failed_trials,
    )
    log.warning(message, extra=fields)
