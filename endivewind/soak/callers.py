"""Callers of the soak.

They send requests and record the responses, which soak.checks compares with
what the targets ran.
"""

import asyncio
import datetime
import json
import random
from typing import Any

import aiohttp

from endivewind import headers
from endivewind.callers import client
from endivewind.soak import checks
from endivewind.soak import fleets
from endivewind.standins import target

# The timeout of a route plus some seconds for a paused node.
LOOKUP_TIMEOUT = datetime.timedelta(seconds=10)
NON_IDEMPOTENT_TIMEOUT = datetime.timedelta(seconds=12)
REQUEST_INTERVAL_SECONDS = 0.05
# Share of the requests that take one of these times at the target, so that
# faults hit requests that are running.
DELAYED_SHARE = 0.3
DELAYS_MS = (200, 500, 1500)
# Share of the requests with one of these time limits of their own, so that the
# requests at one target end at different times. The first two are shorter than
# some delays. The last one is longer than a node's stop limit, so that a stop
# may cut requests to a hanging target short, and shorter than LOOKUP_TIMEOUT.
OWN_LIMIT_SHARE = 0.3
OWN_LIMITS_MS = (400, 1000, 8000)
# Share of the look-ups whose responses are streamed over two seconds, so that
# stops and broken links hit responses in transit.
STREAMED_SHARE = 0.2


class ConnectionCutError(Exception):
    """The connection broke after the request was sent."""


async def prevent_resend(request: Any, handler: Any) -> Any:
    """Raises on a broken connection, on which aiohttp would resend a GET."""
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionCutError from error


class Caller:
    """One caller that alternates look-ups and non-idempotent requests."""

    def __init__(
        self, name: str, nodes: dict[str, str], rng: random.Random
    ) -> None:
        """Creates the caller without opening connections.

        Args:
          name: prefix of the ids of its work.
          nodes: URLs of the nodes, by name.
          rng: selects the kinds of requests and the nodes.
        """
        self._name = name
        self._nodes = nodes
        self._rng = rng
        self._stopped = False
        self.records: list[checks.RequestRecord] = []

    def stop(self) -> None:
        """Stops the caller after the current request."""
        self._stopped = True

    async def run(self, run_start: float) -> None:
        """Sends until stopped, over keep-alive connections."""
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(
                total=NON_IDEMPOTENT_TIMEOUT.total_seconds()
            )
        ) as session:
            number = 0
            while not self._stopped:
                work_id = f"{self._name}-{number}"
                send = (
                    self._send_lookup
                    if number % 2
                    else self._send_non_idempotent
                )
                self.records.append(await send(session, work_id, run_start))
                number += 1
                await asyncio.sleep(REQUEST_INTERVAL_SECONDS)

    def _request_headers(self, work_id: str) -> dict[str, str]:
        request_headers = {"Work-Id": work_id}
        if self._rng.random() < DELAYED_SHARE:
            request_headers[target.FAULT_HEADER] = (
                target.RequestFault.DELAY.value
            )
            delay_ms = self._rng.choice(DELAYS_MS)
            request_headers[target.DELAY_HEADER] = str(delay_ms)
        if self._rng.random() < OWN_LIMIT_SHARE:
            limit_ms = self._rng.choice(OWN_LIMITS_MS)
            request_headers[headers.TIMEOUT_MS] = str(limit_ms)
        return request_headers

    async def _send_non_idempotent(
        self, session: aiohttp.ClientSession, work_id: str, run_start: float
    ) -> checks.RequestRecord:
        nodes = list(self._nodes.values())
        self._rng.shuffle(nodes)
        caller = client.Caller(session, nodes)
        request_headers = self._request_headers(work_id)
        started_at = _seconds_since(run_start)
        reply = await caller.run_once(
            "POST", "/once", b"{}", NON_IDEMPOTENT_TIMEOUT, request_headers
        )
        return checks.RequestRecord(
            work_id,
            True,
            "",
            started_at,
            _seconds_since(run_start),
            reply.status,
            reply.outcome.value if reply.outcome else "",
            _work_id_in(reply.body),
            reason=reply.headers.get(headers.REASON, ""),
            time_limit=_time_limit(request_headers, 0),
        )

    async def _send_lookup(
        self, session: aiohttp.ClientSession, work_id: str, run_start: float
    ) -> checks.RequestRecord:
        node = self._rng.choice(list(self._nodes))
        path, route_limit_ms = self._rng.choice(
            list(fleets.LOOKUP_LIMITS_MS.items())
        )
        started_at = _seconds_since(run_start)
        request_headers = self._request_headers(work_id)
        is_streamed = self._rng.random() < STREAMED_SHARE
        if is_streamed:
            request_headers[target.FAULT_HEADER] = (
                target.RequestFault.SLOW_STREAM.value
            )
        status, outcome, reason, body, was_cut = 0, "", "", b"", False
        try:
            async with (
                asyncio.timeout(LOOKUP_TIMEOUT.total_seconds()),
                session.get(
                    self._nodes[node] + path,
                    headers=request_headers,
                    middlewares=(prevent_resend,),
                ) as response,
            ):
                body = await response.read()
                status = response.status
                outcome = response.headers.get(headers.OUTCOME, "")
                reason = response.headers.get(headers.REASON, "")
        except (TimeoutError, aiohttp.ClientConnectorError):
            # Not a broken connection: a timeout, or no process listens.
            pass
        except (ConnectionCutError, aiohttp.ClientError):
            was_cut = True
        return checks.RequestRecord(
            work_id,
            False,
            node,
            started_at,
            _seconds_since(run_start),
            status,
            outcome,
            _work_id_if_complete(body, work_id)
            if is_streamed
            else _work_id_in(body),
            was_cut,
            is_streamed,
            reason,
            _time_limit(request_headers, route_limit_ms),
        )


def _seconds_since(run_start: float) -> float:
    return asyncio.get_running_loop().time() - run_start


def _time_limit(request_headers: dict[str, str], route_limit_ms: int) -> float:
    """Returns the time limit of a request in seconds.

    Args:
      request_headers: may contain a limit of its own.
      route_limit_ms: the limit of its route; 0 if it has none.
    """
    own = request_headers.get(headers.TIMEOUT_MS)
    if own is None:
        return (route_limit_ms or fleets.SERVICE_LIMIT_MS) / 1000
    return min(int(own), route_limit_ms or int(own)) / 1000


def _work_id_if_complete(body: bytes, work_id: str) -> str:
    """Returns the given work id if the body is complete, else an empty string.

    A streamed body contains no work id, so only its length is checked.
    """
    expected_bytes = target.CHUNK_BYTES * target.STREAM_CHUNKS
    return work_id if len(body) == expected_bytes else ""


def _work_id_in(body: bytes) -> str:
    """Returns the work id in a target's response; empty if truncated."""
    try:
        return str(json.loads(body)["work"])
    except (ValueError, KeyError, TypeError):
        return ""
