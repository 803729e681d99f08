"""Client library for callers: runs non-idempotent requests at most once.

The client gets an idempotency key from a node and resends the request with the
same key, to one node after another, until its outcome is known. Each response
contains a spare key, which is used for the next request.
"""

import asyncio
import collections.abc
import dataclasses
import datetime
import itertools

import aiohttp
import multidict

from endivewind import exchange
from endivewind import headers
from endivewind import http_responses

# Nodes accept a key for a minute after its issue. The difference allows for
# network delays.
SPARE_KEY_LIFETIME = datetime.timedelta(seconds=40)
INITIAL_BACKOFF = datetime.timedelta(milliseconds=100)


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The result of one request.

    Attributes:
      status: the HTTP status; 0 if no node sent a complete response.
      headers: the response's headers.
      body: the whole body.
      outcome: the outcome of a refusal; None for a response of the target.
    """

    status: int
    headers: multidict.CIMultiDictProxy[str]
    body: bytes
    outcome: exchange.ExecutionOutcome | None

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Delay that the node asks for before a retry; None if it names none.

        Refusals without one are final. `NO_RESPONSE` has none either, but the
        request may be sent again.
        """
        return http_responses.retry_after(self.headers, max_digits=9)


_NO_HEADERS = multidict.CIMultiDictProxy(multidict.CIMultiDict[str]())
NO_RESPONSE = Reply(0, _NO_HEADERS, b"", exchange.ExecutionOutcome.UNKNOWN)


class Caller:
    """Sends requests of one workspace through a list of nodes."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        nodes: collections.abc.Sequence[str],
        workspace: str = "",
    ) -> None:
        """Builds a client that opens no connections of its own.

        Args:
          session: its timeout should be longer than that of any request.
          nodes: URLs of nodes, without a path; one is used at a time.
          workspace: the caller's workspace.
        """
        self._session = session
        self._nodes = itertools.cycle(nodes)
        self._node = next(self._nodes)
        self._workspace = workspace
        self._spare_key = ""
        self._spare_key_expiry = 0.0

    async def run_once(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout: datetime.timedelta = datetime.timedelta(seconds=30),
        fields: collections.abc.Mapping[str, str] | None = None,
    ) -> Reply:
        """Sends a request, repeatedly if necessary; it runs at most once.

        Args:
          method: the HTTP method.
          path: path and query.
          body: the whole body.
          timeout: total time for all attempts.
          fields: additional headers.

        Returns:
          The target's response, or the last refusal. With the outcome
          "not-run", the request did not run and never will; with "unknown", the
          time ran out or the node that issued the key was lost.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout.total_seconds()
        key = self._take_spare_key()
        backoff = INITIAL_BACKOFF
        while True:
            had_no_key = not key
            reply = await self._send(
                method, path, body, key, deadline, fields or {}
            )
            if had_no_key and self._spare_key:
                key = self._take_spare_key()
                continue
            wait = (reply.retry_after or backoff).total_seconds()
            if not _should_resend(reply) or loop.time() + wait >= deadline:
                return reply
            if reply.outcome is exchange.ExecutionOutcome.NOT_RUN:
                key = self._take_spare_key()
            self._node = next(self._nodes)
            await asyncio.sleep(wait)
            backoff *= 2

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes,
        key: str,
        deadline: float,
        additional_headers: collections.abc.Mapping[str, str],
    ) -> Reply:
        fields = dict(additional_headers)
        if self._workspace:
            fields[headers.WORKSPACE] = self._workspace
        if key:
            fields[headers.IDEMPOTENCY_KEY] = key
        try:
            async with (
                asyncio.timeout_at(deadline),
                self._session.request(
                    method,
                    self._node + path,
                    headers=fields,
                    data=body,
                    # The key is good at nodes only; elsewhere the request
                    # could run again.
                    allow_redirects=False,
                ) as response,
            ):
                content = await response.read()
        except (TimeoutError, aiohttp.ClientError):
            return NO_RESPONSE
        if not http_responses.is_valid(response.status, response.raw_headers):
            return NO_RESPONSE
        self._store_spare_key(response.headers.get(headers.IDEMPOTENCY_KEY, ""))
        outcome = _decode_outcome(response.headers.get(headers.OUTCOME, ""))
        return Reply(response.status, response.headers, content, outcome)

    def _store_spare_key(self, key: str) -> None:
        lifetime = SPARE_KEY_LIFETIME.total_seconds()
        self._spare_key = key
        self._spare_key_expiry = asyncio.get_running_loop().time() + lifetime

    def _take_spare_key(self) -> str:
        key, self._spare_key = self._spare_key, ""
        is_valid = asyncio.get_running_loop().time() < self._spare_key_expiry
        return key if is_valid else ""


def _decode_outcome(name: str) -> exchange.ExecutionOutcome | None:
    """Returns the outcome of a refusal; None for a response of the target."""
    if not name:
        return None
    try:
        return exchange.ExecutionOutcome(name)
    except ValueError:
        return exchange.ExecutionOutcome.UNKNOWN


def _should_resend(reply: Reply) -> bool:
    """Whether another attempt may run the request or determine its outcome."""
    return reply is NO_RESPONSE or (
        reply.outcome
        in (
            exchange.ExecutionOutcome.NOT_RUN,
            exchange.ExecutionOutcome.UNKNOWN,
        )
        and reply.retry_after is not None
    )
