"""A caller's helper: sends work that must not repeat, and sends it again.

It asks for a key, keeps the spare one of each answer, and sends the same key
again, to one node after the other, while the outcome is not known.
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

# A node takes a key for a minute after its issue; the rest is for the way.
SPARE_LIFE = datetime.timedelta(seconds=40)
FIRST_WAIT = datetime.timedelta(milliseconds=100)


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What came of one operation.

    Attributes:
      status: the HTTP status; 0 where no node gave a whole answer.
      headers: the answer's headers.
      body: the whole body.
      outcome: what the system says; None for an answer of the target.
    """

    status: int
    headers: multidict.CIMultiDictProxy[str]
    body: bytes
    outcome: exchange.Outcome | None

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """When to come back; None where that is no use."""
        seconds = self.headers.get("Retry-After", "")
        if not seconds.isdigit():
            return None
        return datetime.timedelta(seconds=int(seconds))


_NO_HEADERS = multidict.CIMultiDictProxy(multidict.CIMultiDict[str]())
NO_ANSWER = Reply(0, _NO_HEADERS, b"", exchange.Outcome.UNKNOWN)


class Caller:
    """Sends operations of one workspace through some nodes."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        nodes: collections.abc.Sequence[str],
        workspace: str = "",
    ) -> None:
        """Holds no connection of its own.

        Args:
          session: its timeout should be above that of an operation.
          nodes: URLs of nodes, without a path; any of them will do.
          workspace: the caller's workspace.
        """
        self._session = session
        self._nodes = itertools.cycle(nodes)
        self._node = next(self._nodes)
        self._workspace = workspace
        self._spare = ""
        self._spare_until = 0.0

    async def run_once(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout: datetime.timedelta = datetime.timedelta(seconds=30),
        fields: collections.abc.Mapping[str, str] | None = None,
    ) -> Reply:
        """Runs an operation at most once.

        Args:
          method: the HTTP method.
          path: path and query.
          body: the whole body.
          timeout: for all sends together.
          fields: further headers.

        Returns:
          The target's answer, or the last refusal: "not-run" is true and
          final, "unknown" means that time ran out or the key's node is gone.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout.total_seconds()
        key = self._take_spare()
        wait = FIRST_WAIT
        while True:
            asked = not key
            reply = await self._send(
                method, path, body, key, until, fields or {}
            )
            if asked and self._spare:
                key = self._take_spare()
                continue
            if not _again(reply) or loop.time() >= until:
                return reply
            if reply.outcome is exchange.Outcome.NOT_RUN:
                key = self._take_spare()
            self._node = next(self._nodes)
            await asyncio.sleep((reply.retry_after or wait).total_seconds())
            wait *= 2

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes,
        key: str,
        until: float,
        given: collections.abc.Mapping[str, str],
    ) -> Reply:
        fields = dict(given)
        if self._workspace:
            fields[headers.WORKSPACE] = self._workspace
        if key:
            fields[headers.IDEMPOTENCY_KEY] = key
        try:
            async with (
                asyncio.timeout_at(until),
                self._session.request(
                    method, self._node + path, headers=fields, data=body
                ) as response,
            ):
                read = await response.read()
        except (TimeoutError, aiohttp.ClientError):
            return NO_ANSWER
        self._keep_spare(response.headers.get(headers.IDEMPOTENCY_KEY, ""))
        told = response.headers.get(headers.OUTCOME)
        outcome = exchange.Outcome(told) if told else None
        return Reply(response.status, response.headers, read, outcome)

    def _keep_spare(self, key: str) -> None:
        life = SPARE_LIFE.total_seconds()
        self._spare = key
        self._spare_until = asyncio.get_running_loop().time() + life

    def _take_spare(self) -> str:
        key, self._spare = self._spare, ""
        fresh = asyncio.get_running_loop().time() < self._spare_until
        return key if fresh else ""


def _again(reply: Reply) -> bool:
    """Whether sending once more can tell more, or do what was not done."""
    return reply is NO_ANSWER or (
        reply.outcome in (exchange.Outcome.NOT_RUN, exchange.Outcome.UNKNOWN)
        and reply.retry_after is not None
    )
