"""Callers of the soak: they send, wait, and write down what they were told."""

import asyncio
import datetime
import json
import random
from typing import Any

import aiohttp

from endivewind import headers
from endivewind.callers import client
from endivewind.soak import checks
from endivewind.standins import target

# A route's time limit and some seconds for a node that is paused.
LONGEST_WAIT = datetime.timedelta(seconds=10)
ONCE_WAIT = datetime.timedelta(seconds=12)
PAUSE_SECONDS = 0.05
# Of the work, this part takes half a second at the target, so that faults
# meet requests that run.
SLOW_SHARE = 0.3
# Of the look-ups, this part is answered in parts over two seconds, so that
# stops and broken links meet answers that are on their way.
STREAMED_SHARE = 0.2


class CutError(Exception):
    """A connection that broke after the request was sent."""


async def never_resend(request: Any, handler: Any) -> Any:
    """Shows a cut that aiohttp would hide by sending a GET again."""
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise CutError from error


class Caller:
    """One caller: look-ups and work that must not repeat, by turns."""

    def __init__(
        self, name: str, nodes: dict[str, str], rng: random.Random
    ) -> None:
        """Opens nothing yet.

        Args:
          name: begins the ids of its work.
          nodes: URLs of the nodes, by name.
          rng: for what it sends, and where.
        """
        self._name = name
        self._nodes = nodes
        self._rng = rng
        self._stopped = False
        self.told: list[checks.Told] = []

    def stop(self) -> None:
        """Lets it end with the request that it waits for."""
        self._stopped = True

    async def run(self, began: float) -> None:
        """Sends until stopped; connections stay open between requests."""
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=ONCE_WAIT.total_seconds())
        ) as session:
            number = 0
            while not self._stopped:
                work = f"{self._name}-{number}"
                send = self._look_up if number % 2 else self._run_once
                self.told.append(await send(session, work, began))
                number += 1
                await asyncio.sleep(PAUSE_SECONDS)

    def _fields(self, work: str) -> dict[str, str]:
        fields = {"Work-Id": work}
        if self._rng.random() < SLOW_SHARE:
            fields[target.FAULT_HEADER] = target.Fault.DELAY.value
        return fields

    async def _run_once(
        self, session: aiohttp.ClientSession, work: str, began: float
    ) -> checks.Told:
        nodes = list(self._nodes.values())
        self._rng.shuffle(nodes)
        caller = client.Caller(session, nodes)
        start = _since(began)
        reply = await caller.run_once(
            "POST", "/once", b"{}", ONCE_WAIT, self._fields(work)
        )
        return checks.Told(
            work,
            True,
            "",
            start,
            _since(began),
            reply.status,
            reply.outcome.value if reply.outcome else "",
            _named(reply.body),
        )

    async def _look_up(
        self, session: aiohttp.ClientSession, work: str, began: float
    ) -> checks.Told:
        node = self._rng.choice(list(self._nodes))
        start = _since(began)
        fields = self._fields(work)
        streamed = self._rng.random() < STREAMED_SHARE
        if streamed:
            fields[target.FAULT_HEADER] = target.Fault.SLOW_STREAM.value
        status, outcome, body, cut = 0, "", b"", False
        try:
            async with (
                asyncio.timeout(LONGEST_WAIT.total_seconds()),
                session.get(
                    self._nodes[node] + "/look",
                    headers=fields,
                    middlewares=(never_resend,),
                ) as response,
            ):
                body = await response.read()
                status = response.status
                outcome = response.headers.get(headers.OUTCOME, "")
        except (TimeoutError, aiohttp.ClientConnectorError):
            # Nothing was cut: no answer in time, or no process there.
            pass
        except (CutError, aiohttp.ClientError):
            cut = True
        return checks.Told(
            work,
            False,
            node,
            start,
            _since(began),
            status,
            outcome,
            _streamed(body, work) if streamed else _named(body),
            cut,
            streamed,
        )


def _since(began: float) -> float:
    return asyncio.get_running_loop().time() - began


def _streamed(body: bytes, work: str) -> str:
    """The work, if the whole stream has come; a stream names none itself."""
    whole = target.PART_BYTES * target.STREAM_PARTS
    return work if len(body) == whole else ""


def _named(body: bytes) -> str:
    """The work that a target's answer names; empty if it is not whole."""
    try:
        return str(json.loads(body)["work"])
    except (ValueError, KeyError, TypeError):
        return ""
