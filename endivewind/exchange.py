"""Data classes of one HTTP exchange: request, response and refusal.

The node that a caller's request comes to is its entry node. It forwards the
request to the home node of the chosen target, which sends it to the target.

All packages pass these between the listener, placement, the links between
nodes and the dispatch to targets.
"""

import collections.abc
import dataclasses
import datetime
import enum
from typing import Protocol

import expression

HeaderList = tuple[tuple[bytes, bytes], ...]


class ExecutionOutcome(enum.StrEnum):
    """Whether a target executed the request."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why the fleet refused a request instead of returning a response."""

    BAD_REQUEST = "bad-request"
    BODY_TOO_LARGE = "body-too-large"
    NO_ROUTE = "no-route"
    NOT_READY = "not-ready"
    NO_TARGET = "no-target"
    BUSY = "busy"
    SUSPECT = "suspect"
    TARGET_FULL = "target-full"
    WRONG_TARGET = "wrong-target"
    DEADLINE = "deadline"
    UNREACHABLE = "unreachable"
    TARGET_LOST = "target-lost"
    HOME_LOST = "home-lost"
    HOME_UNREACHABLE = "home-unreachable"
    STALE_HOME = "stale-home"
    STOPPING = "stopping"
    TICKET_REQUIRED = "ticket-required"
    TICKET_INVALID = "ticket-invalid"
    TICKET_EXPIRED = "ticket-expired"
    TICKET_REUSED = "ticket-reused"
    ISSUER_LOST = "issuer-lost"
    ANSWER_NOT_KEPT = "answer-not-kept"
    SEALED = "sealed"
    RATE_LIMITED = "rate-limited"
    UNAUTHENTICATED = "unauthenticated"
    POISON = "poison"
    CALL_BUDGET = "call-budget"
    CUT_SHORT = "cut-short"
    INTERNAL = "internal"


# A home refuses non-idempotent requests when its target's suspicion is above
# this, unless the entry node has no better target. Seven in ten requests fail
# at an unhealthy target, so at 0.2 about one in seven is lost, which costs more
# than a hop to another zone.
DEFAULT_MAX_SUSPICION = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """Status of a target, attached to responses by its home node.

    Attributes:
      load: requests that are running at the target or queued for it.
      suspicion: probability that the target is unhealthy, from 0 to 1.
      rate_limit_wait: time until its rate limit allows another request.
      leaving_incarnation: its incarnation, if its responses have said that it
        is about to stop; otherwise, or if it does not number them, 0.
      work_seconds: mean time that it works on a request; 0 if unknown or not
        measured.
      request_age: time since the request of the response was sent to it. Zero
        if it was not sent, or if no target can have received it before.
    """

    load: int
    suspicion: float
    rate_limit_wait: datetime.timedelta = datetime.timedelta()
    leaving_incarnation: int = 0
    work_seconds: float = 0.0
    request_age: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(slots=True)
class TargetCall:
    """What is known of a call: a request that a target sends to a service.

    Attributes:
      inherits: whether the call has the queue priority of the request for
        which it is made.
      fair_workspace: the workspace of that request, whose fair share the call
        counts towards; empty if it has none.
      lacked_retry: whether the call failed because no retry was left.
      retry_probability: the probability that the call is made for a repeat that
        has reserved no retry for it.
      repeat_probability: the probability that the call is made for a repeat, so
        that it is one itself.
    """

    inherits: bool = False
    fair_workspace: str = ""
    lacked_retry: bool = False
    retry_probability: float = 0.0
    repeat_probability: float = 0.0


@dataclasses.dataclass(slots=True)
class AttemptProgress:
    """How far one attempt has come, for the case that it is cancelled.

    Attributes:
      ended_unsent: whether it was cancelled before any byte of the request was
        sent to a target or to another node. False if this is not known.
    """

    ended_unsent: bool = False


@dataclasses.dataclass(slots=True)
class RequestHead:
    """A request without its body; must not be modified once built.

    The class is not frozen because an instance is built for each attempt, and
    setting the attributes of a frozen class takes four times as long.

    Attributes:
      request_id: unique; appears in logs and in the response.
      method: the HTTP method.
      path: path and query as the caller sent them, still encoded.
      headers: end-to-end headers, in order.
      service: the service that the route names.
      workspace: the caller's workspace; empty if none was given.
      remaining_time: time until the deadline.
      ticket: token with which a non-idempotent request is executed at most
        once, even if it is sent again; empty for idempotent requests.
      attempt: number of the attempt, from 1; 0 before the first one.
      latency_objective: time within which callers of the route want a response;
        a later one is returned, too. Zero if unknown.
      queue_priority: priority in queues; higher values are served first.
      max_suspicion: highest suspicion of a target that may get the request.
      may_be_duplicate: whether a target may have received the request before.
      call: what is known of the call if a target sent the request; else None.
      progress: how far the attempt has come; None if nobody asks for it.
    """

    request_id: str
    method: str
    path: str
    headers: HeaderList
    service: str
    workspace: str
    remaining_time: datetime.timedelta
    ticket: str = ""
    attempt: int = 0
    latency_objective: datetime.timedelta = datetime.timedelta()
    queue_priority: int = 0
    max_suspicion: float = DEFAULT_MAX_SUSPICION
    may_be_duplicate: bool = False
    call: TargetCall | None = None
    progress: AttemptProgress | None = None

    @property
    def goes_ahead(self) -> bool:
        """Whether it precedes other requests of its priority in queues."""
        return self.call is not None and self.call.inherits

    @property
    def repeat_probability(self) -> float:
        """The probability that a target repeats work when it runs the request.

        A request is a repeat if a target may have received it before, or if it
        is a call that is made for a repeat.
        """
        if self.may_be_duplicate:
            return 1.0
        return self.call.repeat_probability if self.call is not None else 0.0

    @property
    def queue_workspace(self) -> str:
        """The workspace whose fair share it counts towards in queues."""
        if self.call is not None and self.call.fair_workspace:
            return self.call.fair_workspace
        return self.workspace

    def for_attempt(
        self,
        number: int,
        remaining_time: datetime.timedelta,
        max_suspicion: float | None = None,
        *,
        may_be_duplicate: bool | None = None,
        progress: AttemptProgress | None = None,
    ) -> "RequestHead":
        """Returns a copy of the request for one attempt."""
        return RequestHead(
            self.request_id,
            self.method,
            self.path,
            self.headers,
            self.service,
            self.workspace,
            remaining_time,
            self.ticket,
            number,
            self.latency_objective,
            self.queue_priority,
            self.max_suspicion if max_suspicion is None else max_suspicion,
            self.may_be_duplicate
            if may_be_duplicate is None
            else may_be_duplicate,
            self.call,
            progress or self.progress,
        )

    def record_unsent(self) -> None:
        """Records that the attempt is cancelled before anything was sent."""
        if self.progress is not None:
            self.progress.ended_unsent = True


@dataclasses.dataclass(slots=True)
class RequestBody:
    """A request's body: the buffered part, and a stream of the remainder."""

    buffered: bytes = b""
    stream: collections.abc.AsyncIterator[bytes] | None = None

    @property
    def is_replayable(self) -> bool:
        """Whether the whole body is buffered, so that it can be resent."""
        return self.stream is None


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """An error that the fleet itself returns in place of a response.

    Attributes:
      outcome: whether a target executed the request.
      reason: why there is no response from a target.
      detail: human-readable explanation.
      retry_after: delay after which a retry may succeed; None if retrying is
        pointless.
      moved_to: the target's new home node, if its former home knows it;
        otherwise empty.
      target_report: the target's load and suspicion, if the refusal comes from
        its home.
    """

    outcome: ExecutionOutcome
    reason: Reason
    detail: str = ""
    retry_after: datetime.timedelta | None = None
    moved_to: str = ""
    target_report: TargetReport | None = None

    @property
    def was_not_run(self) -> bool:
        """Whether no target has executed the request."""
        return self.outcome is ExecutionOutcome.NOT_RUN


class ByteStream(Protocol):
    """The unread remainder of a response body.

    Unlike a generator, it releases its resources on aclose() even if nothing
    was read: a generator that was never started skips its finally block.
    """

    def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        """Returns the stream itself."""

    async def __anext__(self) -> bytes:
        """Returns the next bytes.

        Raises:
          TruncatedResponseError: if the body ended early.
        """

    async def aclose(self) -> None:
        """Discards the unread bytes; may be called more than once."""


@dataclasses.dataclass(slots=True)
class Response:
    """A target's response.

    Attributes:
      status: the HTTP status.
      headers: end-to-end headers, in order.
      body: the whole body, or its first bytes if stream is set.
      stream: the remaining bytes; raises TruncatedResponseError if the target
        stops early, so that a partial body is never taken for a whole one.
      target_report: the target's load and suspicion, as its home reports them.
    """

    status: int
    headers: HeaderList
    body: bytes = b""
    stream: ByteStream | None = None
    target_report: TargetReport | None = None


def target_report(
    result: expression.Result[Response, Refusal],
) -> TargetReport | None:
    """Returns the report that the target's home attached to a result."""
    if result.is_ok():
        return result.ok.target_report
    return result.error.target_report


def content_length(headers: HeaderList) -> int | None:
    """Returns the length that a head declares for its body; None if none."""
    for name, value in headers:
        if name.lower() == b"content-length" and value.isdigit():
            return int(value)
    return None


def body_size(response: Response) -> int | None:
    """Returns the size of a response's body; None if its head has no length."""
    if response.stream is None:
        return len(response.body)
    return content_length(response.headers)


class TruncatedResponseError(Exception):
    """A response body ended before its announced end."""


class RequestBodyError(Exception):
    """A request body can't be read: it ended early or is too large."""


def not_run_refusal(
    reason: Reason,
    detail: str = "",
    retry_after: datetime.timedelta | None = None,
    target_report: TargetReport | None = None,
) -> Refusal:
    """Returns a refusal of a request that no target has received."""
    return Refusal(
        ExecutionOutcome.NOT_RUN,
        reason,
        detail,
        retry_after,
        target_report=target_report,
    )


def body_error_refusal(error: RequestBodyError) -> Refusal:
    """Returns a refusal for a request body that can't be read to its end.

    A target may have received part of the body.
    """
    return unknown_outcome_refusal(
        Reason.BAD_REQUEST, f"can't read the request body: {error}"
    )


def unknown_outcome_refusal(
    reason: Reason,
    detail: str = "",
    retry_after: datetime.timedelta | None = None,
) -> Refusal:
    """Returns a refusal of a request that a target may have executed."""
    return Refusal(ExecutionOutcome.UNKNOWN, reason, detail, retry_after)
