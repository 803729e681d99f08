"""Retry budget: bounds retries to a share of a service's recent requests.

Counts requests and retries in a sliding window. Nodes near each other lend
each other what remains of their budgets. `callers/budgets.py` keeps one budget
for each service and exchanges the counts with other nodes;
`callers/retry_loans.py` borrows.
"""

import collections
import dataclasses
import datetime

from endivewind.decisions import retry_priorities

RequestCounts = retry_priorities.RequestCounts

# Retries per window that a service with little traffic always has. Without
# them a single failed request in a quiet minute could not be retried.
DEFAULT_RESERVE = 3.0
DEFAULT_WINDOW = datetime.timedelta(seconds=10)
# The window slides in this many steps. Requests count for up to a step less than
# the window and retries for up to a step more, so that no interval of its
# length exceeds the bound.
_BUCKETS_PER_WINDOW = 20

# A node whose limit is this many retries or more does not need its neighbours'
# retries: at this size random variation is about a fifth. Nodes with a lower
# limit exchange their counts and borrow.
MIN_INDEPENDENT_RETRIES = 25.0
# Share of its own limit, rounded down to whole retries, that a node does not
# lend.
KEPT_SHARE = 0.2
# Time from the request for a loan in which the borrower may use it. The lender
# has less for this time and a window, so that a retry of the borrower and one
# of the lender never count for the same part of their limits.
LOAN_LIFETIME = datetime.timedelta(milliseconds=500)
# Share of its limit that a node has for a window after its start. What was spent
# in its place before is unknown, and may be all of it: three quarters of what the
# fleet is allowed, of which this leaves the last one (see
# `settings.NODE_RETRY_SHARE`).
START_SHARE = 1 / 3
# Loans are parts of retries, in thousandths on the wire. What is missing to a
# whole retry by rounding does not count.
_ROUNDING = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limits of a retry budget.

    Attributes:
      share: retries allowed per request in the window.
      reserve: additional retries allowed in each window at this node.
      window: the length of the window in which both are counted.
      neighbour_count: number of other nodes that send their counts to this
        one.
      uptime: the time since this node's start; the maximum if it has been
        running for long.
      is_reserve_shared: whether the reserve is a part of one that the whole
        fleet shares.
    """

    share: float
    reserve: float = DEFAULT_RESERVE
    window: datetime.timedelta = DEFAULT_WINDOW
    neighbour_count: int = 0
    uptime: datetime.timedelta = datetime.timedelta.max
    is_reserve_shared: bool = False


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Counts of one step of the window."""

    start: datetime.timedelta
    end: datetime.timedelta
    requests: int = 0
    retries: float = 0.0


@dataclasses.dataclass(slots=True)
class _Loan:
    """Retries that change hands.

    Attributes:
      amount: how many, or parts of one.
      until: when they expire, for the borrower, or return to the lender.
    """

    amount: float
    until: datetime.timedelta


class TakenRetries:
    """Retries that were taken from a budget, until they are sent or cancelled.

    Usually one; a part of one or more for the calls that a request may make.

    Scenario: retries wait for a slot, here or at the homes of their targets,
    or homes are slow. Risk: they arrive seconds after they were counted,
    together with retries of the next window. So a retry counts as long as it
    may still arrive, and then for a window from the latest time at which it
    may have arrived.
    """

    def __init__(
        self,
        budget: "RetryBudget",
        own: float,
        borrowed: float,
        lent_until: datetime.timedelta,
    ) -> None:
        """Initializes retries that are not sent yet.

        Args:
          budget: the budget that they were taken from.
          own: the part of them that belongs to the budget's node.
          borrowed: the part that other nodes have lent.
          lent_until: until when the borrowed part may be sent. Its lenders
            count it for a window from then on.
        """
        self._budget = budget
        self._own = own
        self._borrowed = borrowed
        self._lent_until = lent_until
        budget._outstanding[self] = None

    @property
    def own(self) -> float:
        """The part that counts at the budget's node."""
        return self._own

    def record_sent(self, at: datetime.timedelta) -> None:
        """Counts what is left for a window.

        Args:
          at: the latest time at which it may have arrived at a target.
        """
        if self in self._budget._outstanding:
            self.spend(self._own + self._borrowed, at)
            self.cancel()

    def spend(self, amount: float, at: datetime.timedelta) -> float:
        """Counts a part for a window.

        Args:
          amount: how many retries, or parts of one.
          at: the latest time at which they may have arrived at a target.

        Returns:
          How many of them were left.
        """
        if self not in self._budget._outstanding:
            return 0.0
        own = min(amount, self._own)
        borrowed = min(amount - own, self._borrowed)
        self._own -= own
        self._borrowed -= borrowed
        # Otherwise the lenders count the borrowed part for the whole window.
        is_late = at > self._lent_until
        self._budget._count(own + (borrowed if is_late else 0.0), at)
        return own + borrowed

    def cancel(self) -> None:
        """Gives back what was not sent."""
        self._budget._outstanding.pop(self, None)

    def take_over_loans(
        self, now: datetime.timedelta, window: datetime.timedelta
    ) -> None:
        """Counts the borrowed part here once its lenders have it back."""
        if now >= self._lent_until + window:
            self._own += self._borrowed
            self._borrowed = 0.0


class RetryBudget:
    """Bounds the retries in every window to a share of the requests.

    Scenario: every target of a service fails, or most are full. Risk: with
    three attempts per request the service gets three times the load when it can
    handle the least, and stays down. The budget bounds the additional load to a
    share of the requests whatever fails; hedged requests take from it too.
    Every node keeps to its own limit, so the sum over all nodes is bounded as
    well. Unused retries expire with the window: retries saved up in quiet times
    would break the bound in the first window of an outage.

    A node with a few requests per second has a limit of two or three retries,
    and failures come in bursts: one node would give up while its neighbours
    have used none. So nodes lend each other retries. What is lent is deducted
    from the lender's limit before it is sent, and returns to it when no retry of
    the borrower can count for it any more. So the sum of the limits remains the
    bound, whatever is lost, delayed or done at the same time on the way.

    The counts of the neighbours only tell how much is left nearby, for
    decisions on hedged requests and on the choice of targets.

    A target that runs a retried request may call other services. These calls
    count as retries in the budgets of the called services. Its home reserves
    them before it sends the request (`reserve`, `callers/call_reservations.py`).
    Calls that were not expected can't be refused, so they are charged even if
    the budget is spent (`charge`), with the probability that they are made for
    a retried request, and later retries have to wait. What exceeds the limit
    (`overdraft`) is handed over to nodes that lend retries for it, so that the
    fleet's bound holds while one nearby has some left.
    """

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        # The first bucket may be just outside the window: its requests have
        # expired and its retries have not.
        self._buckets: collections.deque[_Bucket] = collections.deque()
        self._requests = 0
        self._retries = 0.0
        # Retries that are taken and may still arrive at a target.
        self._outstanding: dict[TakenRetries, None] = {}
        self._lent: collections.deque[_Loan] = collections.deque()
        self._borrowed: collections.deque[_Loan] = collections.deque()
        # Counts of other nodes by name and incarnation.
        self._peers: dict[
            tuple[str, int], tuple[RequestCounts, datetime.timedelta]
        ] = {}

    def configure(self, limits: RetryLimits) -> None:
        """Changes the limits; the counts are kept as far as they are known."""
        self._limits = limits

    @property
    def window(self) -> datetime.timedelta:
        """The window in which requests and retries are counted."""
        return self._limits.window

    def record_request(self, now: datetime.timedelta) -> None:
        """Counts a request of a caller."""
        self._current_bucket(now).requests += 1
        self._requests += 1

    def charge(self, now: datetime.timedelta) -> None:
        """Counts a retry, even if the budget is spent."""
        self._count(1.0, now)

    def update_peer(
        self,
        node: str,
        incarnation: int,
        count: RequestCounts,
        now: datetime.timedelta,
    ) -> None:
        """Stores the counts of a node's incarnation for the window until now."""
        self._peers[node, incarnation] = (count, now)

    def counts(self, now: datetime.timedelta) -> RequestCounts:
        """Returns this node's counts in the current window.

        Retries that are lent count as made.
        """
        self._advance(now)
        return RequestCounts(self._requests, round(self._used()))

    def needs_sharing(self, now: datetime.timedelta) -> bool:
        """Whether this node's limit is so low that it needs shared retries."""
        self._advance(now)
        return 0 < self._own_limit() < MIN_INDEPENDENT_RETRIES

    def take(
        self, now: datetime.timedelta, *, may_use_loans: bool = True
    ) -> bool:
        """Takes a retry that is sent now, if one is left.

        Args:
          now: the current monotonic time.
          may_use_loans: whether retries that other nodes have lent count.

        Returns:
          Whether the retry is allowed.
        """
        retry = self.take_for_later(now, may_use_loans=may_use_loans)
        if retry is None:
            return False
        retry.record_sent(now)
        return True

    def take_for_later(
        self, now: datetime.timedelta, *, may_use_loans: bool = True
    ) -> TakenRetries | None:
        """Takes a retry that is sent once there is a target for it.

        Args:
          now: the current monotonic time.
          may_use_loans: whether retries that other nodes have lent count.

        Returns:
          The retry, which has to be sent or cancelled; None if none is left.
        """
        return self._take(1.0, now, may_use_loans=may_use_loans)

    def reserve(
        self, amount: float, now: datetime.timedelta
    ) -> TakenRetries | None:
        """Takes retries for calls that a request may make.

        Args:
          amount: how many, or parts of one.
          now: the current monotonic time.

        Returns:
          The retries, which have to be spent or cancelled; None if there are
          too few.
        """
        return self._take(amount, now, may_use_loans=True)

    def _take(
        self, amount: float, now: datetime.timedelta, *, may_use_loans: bool
    ) -> TakenRetries | None:
        self._advance(now)
        own = max(0.0, self._own_left())
        borrowed = self._borrowed_amount() if may_use_loans else 0.0
        if own + borrowed < amount - _ROUNDING:
            return None
        # Loans first, since they expire sooner.
        from_loans = min(amount, borrowed)
        lent_until = self._spend_loans(from_loans, now)
        return TakenRetries(self, amount - from_loans, from_loans, lent_until)

    def missing(self, count: float, now: datetime.timedelta) -> float:
        """Returns how many retries to borrow so that `count` can be made."""
        self._advance(now)
        left = max(0.0, self._own_left()) + self._borrowed_amount()
        return max(0.0, count - left)

    def should_borrow(self, now: datetime.timedelta) -> bool:
        """Whether nearby nodes are likely to lend what is missing to a retry.

        Parts that don't add up to a retry are of no use to the borrower, and
        would be missing at their lenders.
        """
        return self.needs_sharing(now) and self._left_nearby() >= 1 - _ROUNDING

    def lend(self, amount: float, now: datetime.timedelta) -> float:
        """Lends retries to another node.

        Args:
          amount: how many it asks for.
          now: the current monotonic time.

        Returns:
          How many it gets, or parts of one; they no longer belong to this node
          until they have returned.
        """
        self._advance(now)
        spare = self._own_left() - _kept(self._own_limit())
        lent = max(0.0, min(amount, spare))
        if lent > 0:
            until = now + LOAN_LIFETIME + self._limits.window
            self._lent.append(_Loan(lent, until))
        return lent

    def add_loan(self, amount: float, asked_at: datetime.timedelta) -> None:
        """Adds retries that another node has lent.

        Args:
          amount: how many, or parts of one.
          asked_at: when this node asked for them, before they were lent.
        """
        if amount > 0:
            self._borrowed.append(_Loan(amount, asked_at + LOAN_LIFETIME))

    def overdraft(self, now: datetime.timedelta) -> float:
        """Returns how many charged retries exceed this node's limit."""
        self._advance(now)
        return max(0.0, -self._own_left())

    def hand_over(self, amount: float) -> None:
        """Takes off charged retries that another node counts from now on.

        Args:
          amount: how many, or parts of one; that node lends them for this.
        """
        for bucket in reversed(self._buckets):
            part = min(amount, bucket.retries)
            self._uncount(part, bucket)
            amount -= part

    def spent_share(self, now: datetime.timedelta) -> float:
        """Returns the spent share of the budget of this node and its neighbours.

        It is 1 if no retry is left.
        """
        self._advance(now)
        if self._left_nearby() < 1 - _ROUNDING:
            return 1.0
        used = self._used() + sum(item.retries for item in self._peer_counts())
        return min(1.0, used / self._total_limit())

    def remaining(
        self, now: datetime.timedelta, *, may_borrow: bool
    ) -> retry_priorities.RemainingRetries:
        """Returns what remains of the budget.

        Args:
          now: the current monotonic time.
          may_borrow: whether the retries that other nodes have left count, too.
        """
        self._advance(now)
        own_limit = self._own_limit()
        own_left = max(0.0, self._own_left())
        private = min(own_left, _kept(own_limit))
        if may_borrow:
            return retry_priorities.RemainingRetries(
                private, self._left_nearby() - private, self._total_limit()
            )
        return retry_priorities.RemainingRetries(
            private, own_left - private, own_limit
        )

    def allows_retries(self, now: datetime.timedelta) -> bool:
        """Whether the limit is at least one retry, even if all are spent."""
        self._advance(now)
        return self._total_limit() >= 1

    def _count(self, amount: float, at: datetime.timedelta) -> None:
        """Counts retries from a time on, which may have passed."""
        bucket = next(
            (item for item in self._buckets if item.end > at), None
        ) or self._current_bucket(at)
        bucket.retries += amount
        self._retries += amount

    def _uncount(self, amount: float, bucket: _Bucket) -> None:
        """Takes back retries that were counted, unless they have expired."""
        bucket.retries -= amount
        self._retries = sum(item.retries for item in self._buckets)

    def _used(self) -> float:
        """Returns the retries that this node has made, is making or has lent."""
        lent = sum(item.amount for item in self._lent)
        outstanding = sum(item.own for item in self._outstanding)
        return self._retries + outstanding + lent

    def _own_left(self) -> float:
        """Returns what is left of this node's limit; negative if overdrawn."""
        return self._own_limit() - self._used()

    def _borrowed_amount(self) -> float:
        return sum(item.amount for item in self._borrowed)

    def _spend_loans(
        self, amount: float, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Uses up loans, those that expire first.

        Returns:
          When the first of them expires; the time now without any.
        """
        until = self._borrowed[0].until if amount > 0 else now
        while amount > 0 and self._borrowed:
            first = self._borrowed[0]
            part = min(amount, first.amount)
            first.amount -= part
            amount -= part
            if first.amount <= 0:
                self._borrowed.popleft()
        return until

    def _left_nearby(self) -> float:
        """Returns how many retries this node has or may borrow, as far as known.

        A neighbour that has sent no counts has made no retries. How many
        requests it has had is unknown, so only its reserve is added.
        """
        lendable = 0.0
        for count in self._peer_counts():
            limit = self._limit_for(count.requests)
            lendable += limit - _kept(limit) - count.retries
        own = max(0.0, self._own_left()) + self._borrowed_amount()
        return own + max(0.0, lendable)

    def _peer_counts(self) -> list[RequestCounts]:
        """Returns the counts of this node's neighbours, zero if unknown.

        Those of several incarnations of a node are added up.
        """
        known: dict[str, RequestCounts] = {}
        for (node, _), (count, _) in self._peers.items():
            other = known.get(node, RequestCounts())
            known[node] = RequestCounts(
                other.requests + count.requests, other.retries + count.retries
            )
        unknown = max(0, self._limits.neighbour_count - len(known))
        return [*known.values(), *[RequestCounts()] * unknown]

    def _total_limit(self) -> float:
        """Returns how many retries this node and its neighbours may make."""
        peers = sum(
            self._limit_for(item.requests) for item in self._peer_counts()
        )
        return self._own_limit() + peers

    def _own_limit(self) -> float:
        """Returns how many retries this node may make or lend.

        Scenario: nodes are killed while a service fails, and start again or are
        replaced by others, some of them several times. Risk: each has its whole
        limit at once, while what was spent in its place still counts. So in its
        first window a node has a part of its limit, and its part of a shared
        reserve grows with its uptime: nodes that follow each other within a
        window have no more than one of them alone.
        """
        if self._limits.uptime >= self._limits.window:
            return self._limit_for(self._requests)
        age = 1.0
        if self._limits.is_reserve_shared:
            age = self._limits.uptime / self._limits.window
        return START_SHARE * self._limit_for(self._requests, age)

    def _limit_for(self, requests: int, reserve_share: float = 1.0) -> float:
        """Returns how many retries a node with this many requests may make."""
        if not self._limits.share:
            return 0.0
        reserve = reserve_share * self._limits.reserve
        return self._limits.share * requests + reserve

    def _advance(self, now: datetime.timedelta) -> None:
        """Drops what has expired."""
        self._current_bucket(now)
        for loans in (self._lent, self._borrowed):
            while loans and loans[0].until <= now:
                loans.popleft()
        for retry in self._outstanding:
            retry.take_over_loans(now, self._limits.window)
        expired = [
            peer
            for peer, (_, received) in self._peers.items()
            if now - received >= self._limits.window
        ]
        for peer in expired:
            del self._peers[peer]

    def _current_bucket(self, now: datetime.timedelta) -> _Bucket:
        """Returns the current bucket and expires earlier ones."""
        if not self._buckets or self._buckets[-1].end <= now:
            step = self._limits.window / _BUCKETS_PER_WINDOW
            start = now // step * step
            self._buckets.append(_Bucket(start, start + step))
            self._expire(now - self._limits.window)
        return self._buckets[-1]

    def _expire(self, limit: datetime.timedelta) -> None:
        """Expires the retries of buckets that have ended by a time.

        Requests of buckets that have begun by then expire, too.
        """
        while self._buckets[0].end <= limit:
            self._buckets.popleft()
        self._retries = sum(item.retries for item in self._buckets)
        self._requests = sum(
            item.requests for item in self._buckets if item.start > limit
        )


def _kept(limit: float) -> int:
    """Returns how many retries a node with this limit does not lend."""
    return int(KEPT_SHARE * limit)
