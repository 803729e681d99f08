"""Borrows retries from nearby entry nodes.

`callers/budgets.py` starts a round of requests when a retry is wanted and a
node's own budget has none left. `nodes/retry_loans.py` sends them.
"""

import asyncio
import collections.abc
import dataclasses
import datetime
import random

from endivewind import clock as clocks
from endivewind.decisions import retry_budget
from endivewind.nodes import view

# How long a request waits for a loan. Nodes of the region respond within a few
# milliseconds; the round goes on for others if one does not.
MAX_WAIT = datetime.timedelta(milliseconds=100)
# Time after a round without a whole retry in which no other is started. Nobody
# nearby has retries left then.
BACKOFF = datetime.timedelta(milliseconds=500)

# Asks a node for retries of a service; returns what it lends, or 0.
LoanRequester = collections.abc.Callable[
    [view.NodeRecord, str, float], collections.abc.Awaitable[float]
]


async def request_nothing(
    lender: view.NodeRecord, service: str, amount: float
) -> float:
    """Borrows nothing; for nodes without links to others."""
    del lender, service, amount
    return 0.0


@dataclasses.dataclass(slots=True)
class _Round:
    """Requests to lenders, one after the other.

    Attributes:
      wanted: retries, or parts of one, that requests wait for.
      task: sends the requests.
    """

    wanted: float = 0.0
    task: asyncio.Task[None] | None = None


class RetryLoans:
    """Borrows retries for the budgets of a node, one round at a time each."""

    def __init__(
        self,
        request_loan: LoanRequester,
        neighbours: collections.abc.Callable[[], list[view.NodeRecord]],
        zone: str,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        """Initializes the loans.

        Args:
          request_loan: asks another node.
          neighbours: returns the nodes that share their retries with this one.
          zone: the zone of this node; its nodes are asked first.
          clock: the clock; its monotonic time is used.
          rng: chooses the order in which nodes are asked.
        """
        self._request_loan = request_loan
        self._neighbours = neighbours
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._rounds: dict[str, _Round] = {}
        self._covering: dict[str, asyncio.Task[None]] = {}
        self._backoff_until: dict[str, datetime.timedelta] = {}

    async def borrow(
        self,
        service: str,
        budget: retry_budget.RetryBudget,
        count: float = 1.0,
    ) -> None:
        """Waits until the budget has enough, or nobody nearby lends any.

        Scenario: failures come in a burst at one of several nodes that get a
        few requests per second each. Risk: its requests fail although its
        neighbours have retries left.

        Returns immediately after a round that has borrowed nothing.

        Args:
          service: the service of the budget.
          budget: the budget.
          count: how many retries, or parts of one, the request needs.
        """
        now = self._clock.monotonic()
        if now < self._backoff_until.get(service, now):
            return
        current = self._rounds.get(service)
        if current is None:
            current = self._rounds[service] = _Round()
            current.task = asyncio.create_task(
                self._run(service, budget, current)
            )
        assert current.task is not None
        current.wanted += count
        try:
            await asyncio.wait({current.task}, timeout=MAX_WAIT.total_seconds())
        finally:
            current.wanted -= count

    def cover_overdraft(
        self, service: str, budget: retry_budget.RetryBudget
    ) -> None:
        """Starts to borrow what was charged beyond the budget's limit."""
        now = self._clock.monotonic()
        if service in self._covering or now < self._backoff_until.get(
            service, now
        ):
            return
        self._covering[service] = asyncio.create_task(
            self._cover(service, budget)
        )

    async def _run(
        self, service: str, budget: retry_budget.RetryBudget, current: _Round
    ) -> None:
        """Asks one lender after the other until no request waits in vain."""
        try:
            for lender in self._lenders():
                asked_at = self._clock.monotonic()
                missing = budget.missing(current.wanted, asked_at)
                if not missing:
                    return
                amount = await self._request_loan(lender, service, missing)
                budget.add_loan(amount, asked_at)
            now = self._clock.monotonic()
            if budget.missing(1, now):
                self._backoff_until[service] = now + BACKOFF
        finally:
            del self._rounds[service]

    async def _cover(
        self, service: str, budget: retry_budget.RetryBudget
    ) -> None:
        """Asks one lender after the other until nothing is overdrawn."""
        try:
            for lender in self._lenders():
                overdraft = budget.overdraft(self._clock.monotonic())
                if not overdraft:
                    return
                budget.hand_over(
                    await self._request_loan(lender, service, overdraft)
                )
            now = self._clock.monotonic()
            if budget.overdraft(now):
                self._backoff_until[service] = now + BACKOFF
        finally:
            del self._covering[service]

    def _lenders(self) -> list[view.NodeRecord]:
        """Returns the neighbours in random order, those of this zone first."""
        lenders = self._neighbours()
        self._rng.shuffle(lenders)
        return sorted(lenders, key=lambda item: item.zone != self._zone)
