"""What this entry may still serve of each workspace's quota.

The gateway asks here before it serves a request; the requests themselves come
from the workspace's keeper, see nodes/quotas.py.
"""

import asyncio
import collections.abc
import dataclasses
import datetime

from endivewind import clock as clocks
from endivewind.decisions import quotas

# A request that did not run leaves its place to another one for this long.
RETURNED_LIFE = datetime.timedelta(seconds=1)
# After a refusal nobody is asked again before this, however long the wait is.
LONGEST_REFUSAL = datetime.timedelta(milliseconds=250)
_NOTHING = quotas.Grant(0, LONGEST_REFUSAL)


# Gets some of a workspace's requests.
Ask = collections.abc.Callable[
    [str, int], collections.abc.Awaitable[quotas.Grant]
]


@dataclasses.dataclass(slots=True)
class _Account:
    """One workspace at this entry.

    Attributes:
      waiting: requests that wait for an answer of the keeper.
      returned: until when each request that was given back may be used.
      refused_until: nobody is asked before.
      asking: asks the keeper for all that wait.
    """

    waiting: list[asyncio.Future[quotas.Grant]]
    returned: list[datetime.timedelta]
    refused_until: datetime.timedelta = datetime.timedelta()
    asking: asyncio.Task[None] | None = None


class Allowances:
    """Takes requests of workspaces out of their quotas."""

    def __init__(self, ask: Ask, clock: clocks.Clock) -> None:
        self._ask = ask
        self._clock = clock
        self._accounts: dict[str, _Account] = {}

    async def take(self, workspace: str) -> datetime.timedelta | None:
        """Takes one request of a workspace that has a quota.

        Load: one workspace sends several times its quota, at all entries.
        Harm: each request costs a question, and its keeper answers nothing
        else. Requests that come while a question is on its way share the next
        one, and a refusal holds for those that follow at once.

        Returns:
          None where it may run, else when to come back.
        """
        account = self._account(workspace)
        now = self._clock.monotonic()
        if self._reuse(account, now):
            return None
        if now < account.refused_until:
            return account.refused_until - now
        place = asyncio.get_running_loop().create_future()
        account.waiting.append(place)
        if account.asking is None:
            account.asking = asyncio.create_task(
                self._ask_for_all(workspace, account)
            )
        granted = await place
        self._forget(workspace, account)
        return None if granted.count else granted.retry_after

    def give_back(self, workspace: str) -> None:
        """Returns a request that has not run."""
        until = self._clock.monotonic() + RETURNED_LIFE
        self._account(workspace).returned.append(until)

    def _account(self, workspace: str) -> _Account:
        known = self._accounts.get(workspace)
        if known is None:
            known = self._accounts[workspace] = _Account([], [])
        return known

    def _forget(self, workspace: str, account: _Account) -> None:
        """Drops an account that says nothing; workspaces are many."""
        if account.asking is not None or account.returned:
            return
        if account.refused_until <= self._clock.monotonic():
            self._accounts.pop(workspace, None)

    def _reuse(self, account: _Account, now: datetime.timedelta) -> bool:
        while account.returned:
            if now <= account.returned.pop(0):
                return True
        return False

    async def _ask_for_all(self, workspace: str, account: _Account) -> None:
        """Asks until nobody waits; those who came first are served first."""
        try:
            while account.waiting:
                count = len(account.waiting)
                granted = await self._ask(workspace, count)
                self._answer(account, count, granted)
        finally:
            account.asking = None
            if account.waiting:
                # It broke off; nobody may wait for ever.
                self._answer(account, len(account.waiting), _NOTHING)

    def _answer(
        self, account: _Account, asked: int, granted: quotas.Grant
    ) -> None:
        left = granted.count
        refusal = quotas.Grant(0, granted.retry_after)
        for _ in range(asked):
            place = account.waiting.pop(0)
            if place.done():
                # Its caller has left.
                continue
            place.set_result(quotas.Grant(1) if left else refusal)
            left = max(0, left - 1)
        now = self._clock.monotonic()
        if not granted.count:
            wait = min(granted.retry_after, LONGEST_REFUSAL)
            account.refused_until = now + wait
        for _ in range(left):
            account.returned.append(now + RETURNED_LIFE)
