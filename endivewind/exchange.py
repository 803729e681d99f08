"""One request and its answer or refusal, as every package passes them on."""

import collections.abc
import dataclasses
import datetime
import enum
from typing import Protocol

HeaderList = tuple[tuple[bytes, bytes], ...]


class Outcome(enum.StrEnum):
    """Whether the request's work ran at a target."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why the system answered in place of a target."""

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
    CUT_SHORT = "cut-short"
    INTERNAL = "internal"


# A home refuses work that must not repeat where its target is likelier sick
# than this, unless the entry has no better one. At one in five the loss to be
# expected is a sixth of the request's worth, more than a hop to another zone.
ACCEPTED_RISK = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Glance:
    """What a home tells of its target with each answer.

    Attributes:
      load: requests that are at the target or wait for it.
      suspicion: how likely the target is sick, from 0 to 1.
    """

    load: int
    suspicion: float


@dataclasses.dataclass(slots=True)
class RequestHead:
    """A request without its body; nobody changes one after it is built.

    It is not frozen because one is built for each attempt, and setting the
    attributes of a frozen class takes four times as long.

    Attributes:
      request_id: unique; in logs and in the answer.
      method: the HTTP method.
      path: path and query as the caller sent them, still encoded.
      headers: end-to-end headers, in order.
      service: the service that the route names.
      workspace: the caller's workspace; empty if none was given.
      remaining: time left until the deadline.
      ticket: the ticket of work that must not repeat; else empty.
      attempt: number of the hand-over under the ticket, from 1.
      aim: time within which an answer is worth most; zero if unknown.
      level: its place in queues; a higher one goes first.
      risk: how likely the target may be sick for this request to go there.
      repeat: whether a target may have had it before.
    """

    request_id: str
    method: str
    path: str
    headers: HeaderList
    service: str
    workspace: str
    remaining: datetime.timedelta
    ticket: str = ""
    attempt: int = 0
    aim: datetime.timedelta = datetime.timedelta()
    level: int = 0
    risk: float = ACCEPTED_RISK
    repeat: bool = False

    def for_attempt(
        self,
        number: int,
        remaining: datetime.timedelta,
        risk: float | None = None,
        *,
        repeat: bool | None = None,
    ) -> "RequestHead":
        """The same request for one attempt, with the time left to it."""
        return RequestHead(
            self.request_id,
            self.method,
            self.path,
            self.headers,
            self.service,
            self.workspace,
            remaining,
            self.ticket,
            number,
            self.aim,
            self.level,
            self.risk if risk is None else risk,
            self.repeat if repeat is None else repeat,
        )


@dataclasses.dataclass(slots=True)
class RequestBody:
    """A request's body: what is held, and the rest still to be read."""

    held: bytes = b""
    rest: collections.abc.AsyncIterator[bytes] | None = None

    @property
    def replayable(self) -> bool:
        """Whether the whole body is held, so that it can be sent again."""
        return self.rest is None


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The system's own answer.

    Attributes:
      outcome: whether the work ran.
      reason: why there is no answer of a target.
      detail: for people.
      retry_after: when to come back; None where coming back is no use.
      moved_to: the node to which the target has moved, where its former home
        knows it; empty otherwise.
      glance: what the home tells of the target, if it has one.
    """

    outcome: Outcome
    reason: Reason
    detail: str = ""
    retry_after: datetime.timedelta | None = None
    moved_to: str = ""
    glance: Glance | None = None

    @property
    def is_not_run(self) -> bool:
        """Whether no target has run it."""
        return self.outcome is Outcome.NOT_RUN


class ByteStream(Protocol):
    """The rest of an answer.

    Unlike a generator, it frees what it holds on aclose() also when nothing
    was read: a generator that never started skips its finally block.
    """

    def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        """The stream itself."""

    async def __anext__(self) -> bytes:
        """The next bytes; raises TruncatedAnswerError on an early end."""

    async def aclose(self) -> None:
        """Gives up what is unread; may be called again."""


@dataclasses.dataclass(slots=True)
class Answer:
    """A target's answer.

    Attributes:
      status: the HTTP status.
      headers: end-to-end headers, in order.
      body: the whole body, or its first bytes where rest is given.
      rest: the bytes after those; raises TruncatedAnswerError if the target
        stops before the end, so that no part passes for the whole.
      glance: what the home tells of the target.
    """

    status: int
    headers: HeaderList
    body: bytes = b""
    rest: ByteStream | None = None
    glance: Glance | None = None


class TruncatedAnswerError(Exception):
    """An answer ended before its announced end."""


class TruncatedBodyError(Exception):
    """A request's body ended before its announced end, or is too large."""


def not_run(
    reason: Reason,
    detail: str = "",
    retry_after: datetime.timedelta | None = None,
    glance: Glance | None = None,
) -> Refusal:
    """A refusal of work that no target has seen."""
    return Refusal(Outcome.NOT_RUN, reason, detail, retry_after, glance=glance)


def broken_body(error: TruncatedBodyError) -> Refusal:
    """The refusal where a target may have seen a part of the body."""
    return unknown(Reason.BAD_REQUEST, f"the body broke off: {error}")


def unknown(
    reason: Reason,
    detail: str = "",
    retry_after: datetime.timedelta | None = None,
) -> Refusal:
    """A refusal where a target may or may not have run the work."""
    return Refusal(Outcome.UNKNOWN, reason, detail, retry_after)
