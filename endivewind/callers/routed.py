"""One request on its way from the gateway to a target and back.

The gateway makes one, tries targets with it, and asks it what may be done next
and what its caller is told.
"""

import asyncio
import dataclasses
import datetime
from typing import Any

import expression

from endivewind import exchange
from endivewind.config import objects
from endivewind.decisions import load_balancing
from endivewind.targets import records

AnswerResult = expression.Result[exchange.Response, exchange.Refusal]

# Targets that one request may be sent to, where its route does not say.
MAX_ATTEMPTS = 3
FAILED_STATUS = frozenset({500, 502, 503, 504})
# Refusals that came before any target had a byte.
_UNSEEN = frozenset(
    {
        exchange.Reason.BUSY,
        exchange.Reason.SUSPECT,
        exchange.Reason.STOPPING,
        exchange.Reason.STALE_HOME,
        exchange.Reason.UNREACHABLE,
        exchange.Reason.HOME_UNREACHABLE,
    }
)
# A request waits in a near queue for up to this part of its aim: with the
# usual work, about a quarter of the aim, the answer is then still in time.
# Below a third, one order in twelve went to another region while the near
# targets were busy for a moment; at a half one in forty, none of them late.
PATIENCE_SHARE = 0.5
# When a caller may come back whose request a leaving node has not run: the
# least that it can be told; another node takes it.
END_RETRY = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One try of a request, for its line in the log.

    Attributes:
      target: where it went.
      home: the target's home.
      after: since the request came.
      lasted: until the try ended.
      suspicion: how likely the target seemed sick when it was chosen.
      result: how it ended; None where it was broken off.
    """

    target: str
    home: str
    after: datetime.timedelta
    lasted: datetime.timedelta
    suspicion: float
    result: AnswerResult | None

    def as_fields(self) -> dict[str, object]:
        """The step as fields of a log line."""
        return {
            "target": self.target,
            "home": self.home,
            "after_ms": milliseconds(self.after),
            "for_ms": milliseconds(self.lasted),
            "suspicion": round(self.suspicion, 2),
            "result": word(self.result),
        }


@dataclasses.dataclass(slots=True, eq=False)
class RoutedRequest:
    """One request on its way through the gateway.

    Attributes:
      route: how it is configured.
      head: the request.
      body: its body.
      deadline: when its caller stops waiting.
      started: when it came.
      tries: placings so far.
      sent: targets that may have seen something of it.
      under_way: tries that have not ended.
      given_up: no target is to be looked for any more.
      is_open: a try was broken off, and nobody knows how it ended.
      record: the target tried last.
      reached: the last answer or refusal of a try that may have run.
      tried: targets tried.
      steps: the tries, in order.
      task: serves it.
    """

    route: objects.Route
    head: exchange.RequestHead
    body: exchange.RequestBody
    deadline: datetime.timedelta
    started: datetime.timedelta
    tries: int = 0
    sent: int = 0
    under_way: int = 0
    given_up: bool = False
    record: records.TargetRecord | None = None
    reached: AnswerResult | None = None
    tried: set[str] = dataclasses.field(default_factory=set)
    steps: list[Step] = dataclasses.field(default_factory=list)
    is_open: bool = False
    task: asyncio.Task[Any] | None = None
    _ended: bool = False

    def end(self) -> None:
        """Breaks it off wherever it is."""
        assert self.task is not None
        self._ended = True
        self.task.cancel()

    def was_ended(self) -> bool:
        """Whether it was broken off by end() alone, not by its caller."""
        if not self._ended or self.task is None:
            return False
        return self.task.uncancel() == 0

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        if self.head.ticket:
            return False
        return may_repeat(self.route, self.head.method)

    @property
    def most_sends(self) -> int:
        """Targets that it may be sent to."""
        return self.route.attempts or MAX_ATTEMPTS

    def may_go_on(self, most_placings: int) -> bool:
        """Whether it may be placed once more, with so many in all."""
        return self.sent < self.most_sends and self.tries < most_placings

    @property
    def may_hedge(self) -> bool:
        """Whether it may be at two targets at once."""
        return (
            self.repeatable
            and self.body.is_replayable
            and bool(self.head.latency_objective)
            and self.most_sends > self.sent + 1
        )

    def demand(
        self, *, may_probe: bool, is_last: bool = False
    ) -> load_balancing.Demand:
        """Where it may be placed now.

        Args:
          may_probe: whether retries are left for one that is likely to fail.
          is_last: whether no retry is left for this one.
        """
        patience = PATIENCE_SHARE * self.head.latency_objective.total_seconds()
        return load_balancing.Demand(
            self.repeatable,
            self.tried,
            patience,
            may_probe=may_probe and self.may_hedge,
            is_last=is_last or self.sent + 1 >= self.most_sends,
        )

    def may_place_again(self, result: AnswerResult) -> bool:
        """Whether another target may get the request after a result.

        Only what truly did not run, or what may run twice. An answer of 5xx
        to the latter is one target's trouble as long as the budget pays for
        asking another. What was refused before any target was chosen is final.
        """
        if not self.body.is_replayable or self.given_up:
            return False
        if result.is_ok():
            failed = result.ok.status in FAILED_STATUS
            return failed and self.repeatable and result.ok.stream is None
        if result.error.reason is exchange.Reason.DEADLINE:
            return False
        return self.repeatable or result.error.was_not_run

    def told(self, last: AnswerResult) -> AnswerResult:
        """What the caller hears: never "not run" of work that a target had.

        A first try may have run and failed while a later one found no slot.
        """
        if self.reached is None or last.is_ok() or not last.error.was_not_run:
            return last
        return self.reached

    def told_at_end(self) -> AnswerResult:
        """What the caller of a request that was broken off hears."""
        if self.is_open:
            detail = "the node ended before the answer came"
            refusal = exchange.outcome_unknown(
                exchange.Reason.CUT_SHORT, detail
            )
            return expression.Error(refusal)
        if self.reached is not None:
            return self.reached
        return expression.Error(
            exchange.not_run(
                exchange.Reason.STOPPING, "the node is leaving", END_RETRY
            )
        )


def was_unseen(result: AnswerResult) -> bool:
    """Whether no target has seen anything of the request."""
    return result.is_error() and result.error.reason in _UNSEEN


def word(result: AnswerResult | None) -> str:
    """A result in one word, for logs."""
    if result is None:
        return "cancelled"
    if result.is_ok():
        return str(result.ok.status)
    return f"{result.error.reason.value} ({result.error.outcome.value})"


def milliseconds(span: datetime.timedelta) -> int:
    """A span in whole milliseconds."""
    return span // datetime.timedelta(milliseconds=1)


def may_repeat(route: objects.Route, method: str) -> bool:
    """Whether the route lets a request of this method run more than once."""
    match route.repeat:
        case objects.Repeat.ALWAYS:
            return True
        case objects.Repeat.NEVER:
            return False
        case _:
            return method in objects.SAFE_METHODS
