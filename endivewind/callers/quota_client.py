"""Rate limiting at an entry node: gets tokens of the workspaces' quotas.

The gateway takes a token here before it serves a request. The tokens come from
the node that owns the workspace's token bucket, see nodes/quotas.py.
"""

import asyncio
import collections.abc
import dataclasses
import datetime

from endivewind import clock as clocks
from endivewind.decisions import quotas

# Time for which the token of a request that did not run can be used by another.
REFUND_LIFETIME = datetime.timedelta(seconds=1)
# Maximum time after a refusal in which the owner is not asked again, even if
# the next token is further away.
MAX_REFUSAL_DURATION = datetime.timedelta(milliseconds=250)
_NO_TOKENS = quotas.Grant(0, MAX_REFUSAL_DURATION)


# Requests a number of tokens of a workspace from the bucket's owner.
TokenRequester = collections.abc.Callable[
    [str, int], collections.abc.Awaitable[quotas.Grant]
]


@dataclasses.dataclass(slots=True)
class _Account:
    """State of one workspace at this entry node.

    Attributes:
      waiters: callers that wait for a token.
      unused_tokens: expiry times of unused tokens, which were refunded or
        remained from a grant.
      refused_until: all requests are refused until this time, without asking
        the owner.
      request_task: requests tokens from the owner for all waiters; None if
        there are no waiters.
    """

    waiters: list[asyncio.Future[quotas.Grant]]
    unused_tokens: list[datetime.timedelta]
    refused_until: datetime.timedelta = datetime.timedelta()
    request_task: asyncio.Task[None] | None = None


class QuotaClient:
    """Takes tokens from the quotas of workspaces."""

    def __init__(
        self, request_tokens: TokenRequester, clock: clocks.Clock
    ) -> None:
        self._request_tokens = request_tokens
        self._clock = clock
        self._accounts: dict[str, _Account] = {}

    async def take(self, workspace: str) -> datetime.timedelta | None:
        """Takes one token of a workspace that has a quota.

        Scenario: one workspace sends several times its quota, through all entry
        nodes. Risk: if each request cost a query, the owner of the bucket would
        be overloaded with queries. Requests that arrive while a query is in
        flight share the next one, and requests that arrive shortly after a
        refusal are refused without a query.

        Returns:
          None if the request may run, otherwise the time after which to retry.
        """
        account = self._account(workspace)
        now = self._clock.monotonic()
        if self._take_unused(account, now):
            return None
        if now < account.refused_until:
            return account.refused_until - now
        future = asyncio.get_running_loop().create_future()
        account.waiters.append(future)
        if account.request_task is None:
            account.request_task = asyncio.create_task(
                self._request_for_waiters(workspace, account)
            )
        grant = await future
        self._remove_if_idle(workspace, account)
        return None if grant.count else grant.retry_after

    def refund(self, workspace: str) -> None:
        """Gives back the token of a request that did not run."""
        until = self._clock.monotonic() + REFUND_LIFETIME
        self._account(workspace).unused_tokens.append(until)

    def _account(self, workspace: str) -> _Account:
        known = self._accounts.get(workspace)
        if known is None:
            known = self._accounts[workspace] = _Account([], [])
        return known

    def _remove_if_idle(self, workspace: str, account: _Account) -> None:
        """Removes an idle account, since there are many workspaces."""
        if account.request_task is not None or account.unused_tokens:
            return
        if account.refused_until <= self._clock.monotonic():
            self._accounts.pop(workspace, None)

    def _take_unused(self, account: _Account, now: datetime.timedelta) -> bool:
        while account.unused_tokens:
            if now <= account.unused_tokens.pop(0):
                return True
        return False

    async def _request_for_waiters(
        self, workspace: str, account: _Account
    ) -> None:
        """Requests tokens until no one waits, in the order of arrival."""
        try:
            while account.waiters:
                count = len(account.waiters)
                grant = await self._request_tokens(workspace, count)
                self._distribute(account, count, grant)
        finally:
            account.request_task = None
            if account.waiters:
                # The query failed or was cancelled; no caller may wait forever.
                self._distribute(account, len(account.waiters), _NO_TOKENS)

    def _distribute(
        self, account: _Account, requested: int, grant: quotas.Grant
    ) -> None:
        remaining = grant.count
        refusal = quotas.Grant(0, grant.retry_after)
        for _ in range(requested):
            future = account.waiters.pop(0)
            if future.done():
                # The caller has disconnected.
                continue
            future.set_result(quotas.Grant(1) if remaining else refusal)
            remaining = max(0, remaining - 1)
        now = self._clock.monotonic()
        if not grant.count:
            wait = min(grant.retry_after, MAX_REFUSAL_DURATION)
            account.refused_until = now + wait
        for _ in range(remaining):
            account.unused_tokens.append(now + REFUND_LIFETIME)
