"""Requests through nodes and run counts at targets, for end-to-end tests."""

import asyncio
import collections
import dataclasses
import json
from typing import Any

import aiohttp

from endivewind import headers
from endivewind.soak import callers
from endivewind.standins import target as standin
from endivewind.tests import processes

TIMEOUT_SECONDS = 10


@dataclasses.dataclass(frozen=True)
class CallerResponse:
    """What a caller got for one request.

    Attributes:
      status: of the response; 0 if there was no complete response.
      headers: of the response.
      body: of the response.
      was_cut: whether an established connection broke; false if the
        connection could not be made.
    """

    status: int
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    was_cut: bool = False

    @property
    def outcome(self) -> str:
        """The outcome that the node reports; empty for a target's response."""
        return self.headers.get(headers.OUTCOME, "")

    @property
    def reason(self) -> str:
        """Why the node refused the request."""
        return self.headers.get(headers.REASON, "")

    @property
    def key(self) -> str:
        """The idempotency key in the response."""
        return self.headers.get(headers.IDEMPOTENCY_KEY, "")

    @property
    def json(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)


class Caller:
    """A caller with its own HTTP session."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def send(
        self,
        node: processes.Process,
        method: str = "POST",
        key: str = "",
        work: str = "",
        fault: str = "",
        body: Any = b"{}",
        path: str = "/work",
        **fields: str,
    ) -> CallerResponse:
        """Sends one request; a broken connection gives status 0."""
        request_headers = {
            name.replace("_", "-"): value for name, value in fields.items()
        }
        if key:
            request_headers[headers.IDEMPOTENCY_KEY] = key
        if work:
            request_headers["Work-Id"] = work
        if fault:
            request_headers[standin.FAULT_HEADER] = fault
        url = f"http://{node.listening_line['callers']}{path}"
        try:
            async with (
                asyncio.timeout(TIMEOUT_SECONDS),
                self._session.request(
                    method,
                    url,
                    headers=request_headers,
                    data=body,
                    middlewares=(callers.prevent_resend,),
                ) as response,
            ):
                content = await response.read()
                return CallerResponse(
                    response.status, dict(response.headers), content
                )
        except aiohttp.ClientConnectorError:
            return CallerResponse(0)
        except (aiohttp.ClientError, callers.ConnectionCutError):
            return CallerResponse(0, was_cut=True)

    async def request_key(
        self,
        node: processes.Process,
        method: str = "POST",
        path: str = "/work",
    ) -> str:
        """Requests a new idempotency key from a node."""
        response = await self.send(node, method, body=None, path=path)
        return response.key

    async def run_counts(
        self, fleet: processes.Fleet
    ) -> collections.Counter[str]:
        """Counts the runs of each request by Work-Id, over all targets."""
        total: collections.Counter[str] = collections.Counter()
        for target in fleet.targets.values():
            total.update(await self.run_counts_at(target))
        return total

    async def run_counts_at(
        self, target: processes.Process
    ) -> collections.Counter[str]:
        """Counts the runs of each request by Work-Id, at one target."""
        counts = await self._read(target, standin.COUNTS_PATH)
        return collections.Counter(counts)

    async def target_events(self, target: processes.Process) -> dict[str, Any]:
        """Reads which requests a target saw break off."""
        return await self._read(target, standin.EVENTS_PATH)

    async def target_states(self, node: processes.Process) -> dict[str, str]:
        """Reads the state of each target from one node."""
        targets = (await self.status(node))["targets"]
        return {item["id"]: item["state"] for item in targets}

    async def status(self, node: processes.Process) -> dict[str, Any]:
        """Reads the status of a node."""
        url = f"http://{node.listening_line['operators']}/v1/status"
        async with self._session.get(url) as response:
            return await response.json()

    async def start_draining(self, target: processes.Process) -> None:
        """Makes a target announce that it is draining."""
        url = f"http://{target.listening_line['address']}{standin.FAULT_PATH}"
        async with self._session.put(url, json={"draining": True}) as response:
            response.raise_for_status()

    async def _read(self, target: processes.Process, path: str) -> Any:
        url = f"http://{target.listening_line['address']}{path}"
        async with self._session.get(url) as response:
            return await response.json()
