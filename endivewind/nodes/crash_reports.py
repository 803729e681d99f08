"""Reports crashes of targets to the nodes that count them.

A few nodes, chosen by the request, count the crashes during it over the whole
fleet. `callers/poison_guard.py` decides when to report.
"""

import asyncio
import collections.abc
import datetime
import logging
from typing import Any

from endivewind import clock as clocks
from endivewind import logs
from endivewind.decisions import poison_requests
from endivewind.nodes import codec
from endivewind.nodes import links
from endivewind.nodes import quotas
from endivewind.nodes import view

log = logging.getLogger(__name__)

# Nodes that count the crashes of one request. One may have restarted and one
# may not respond.
COUNTING_NODES = 3
# Responses to wait for. The others may be late without delaying a retry.
ENOUGH_RESPONSES = 2
# Times that a counting node is asked until it responds.
MAX_TRIES = 4
# Digits of a fingerprint in log lines; enough to tell requests apart.
LOGGED_DIGITS = 16
_MILLISECOND = datetime.timedelta(milliseconds=1)
# The one group of nodes; those of any zone may count.
_FLEET = ""


class CrashReportService:
    """Reports crashes to other nodes, and counts those that they report."""

    def __init__(
        self,
        node: str,
        fleet: view.FleetView,
        pool: links.LinkPool,
        clock: clocks.Clock,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        """Initializes the service without any counts.

        Args:
          node: the name of this node.
          fleet: the nodes of the fleet.
          pool: links to the other nodes.
          clock: the clock; its monotonic time is used.
          on_change: called when the counts to save have changed.
        """
        self._on_change = on_change
        self._node = node
        self._owners = quotas.OwnerDirectory(fleet, clock, lambda _: _FLEET)
        self._pool = pool
        self._clock = clock
        self._counts = poison_requests.CrashCounts()
        # Reports that are still being sent.
        self._tasks: set[asyncio.Task[int]] = set()

    def saved_counts(self) -> dict[str, int]:
        """Returns the counts that must outlive this process.

        Their keys are fingerprints in hexadecimal.
        """
        counts = self._counts.counts_to_save(self._clock.monotonic())
        return {key.hex(): count for key, count in counts.items()}

    def restore(self, counts: collections.abc.Mapping[str, int]) -> None:
        """Restores counts that an earlier process of this node has saved."""
        now = self._clock.monotonic()
        for key, count in counts.items():
            self._counts.restore(bytes.fromhex(key), count, now)

    async def report_crash(
        self, fingerprint: bytes, target: str, age: datetime.timedelta
    ) -> int:
        """Reports a crash to the nodes that count those of the request.

        Args:
          fingerprint: of the request that ran at the target.
          target: the incarnation of the target.
          age: how long ago the attempt began.

        Returns:
          The number of crashes, 0 if no node responds.
        """
        report = codec.messages.CrashReport(
            fingerprint=fingerprint,
            target=target,
            age_ms=min(age // _MILLISECOND, codec.MAX_INT32),
        )
        return await self._send(report)

    async def report_response(self, fingerprint: bytes) -> None:
        """Reports that a target has responded to the request."""
        await self._send(codec.messages.CrashReport(fingerprint=fingerprint))

    async def _send(self, report: Any) -> int:
        """Returns the highest count of the nodes that respond first."""
        tasks = [
            asyncio.create_task(self._send_to(node, report))
            for node in self._counting_nodes(report.fingerprint)
        ]
        for task in tasks:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        counts = []
        for earliest in asyncio.as_completed(tasks):
            counts.append(await earliest)
            if sum(count > 0 for count in counts) >= ENOUGH_RESPONSES:
                break
        return max(counts, default=0)

    async def _send_to(self, node: view.NodeRecord, report: Any) -> int:
        if node.name == self._node:
            return self._record(report)
        frame = codec.messages.Frame(crash_report=report)
        for _ in range(MAX_TRIES):
            response = await self._pool.query(
                node.address, frame, links.QUERY_TIMEOUT
            )
            if response is not None and response.crash_count is not None:
                return response.crash_count.count or 0
        return 0

    def _counting_nodes(self, fingerprint: bytes) -> list[view.NodeRecord]:
        ranked = self._owners.nodes_by_rank(fingerprint.hex(), _FLEET)
        return ranked[:COUNTING_NODES]

    def handle_query(self, report: Any) -> Any:
        """Returns the response frame to another node's report."""
        count = codec.messages.CrashCount(count=self._record(report))
        return codec.messages.Frame(crash_count=count)

    def _record(self, report: Any) -> int:
        fingerprint = codec.to_bytes(report.fingerprint or b"")
        if not report.target:
            if self._counts.record_response(fingerprint):
                self._on_change()
            _log("crash count cleared", fingerprint)
            return 0
        count = self._counts.record_crash(
            fingerprint,
            report.target,
            max(0, report.age_ms or 0) * _MILLISECOND,
            self._clock.monotonic(),
        )
        if count >= poison_requests.MIN_SAVED_CRASHES:
            self._on_change()
        _log("crash counted", fingerprint, target=report.target, crashes=count)
        return count


def _log(message: str, fingerprint: bytes, **fields: object) -> None:
    """Logs a message about a request, named by part of its fingerprint."""
    name = fingerprint.hex()[:LOGGED_DIGITS]
    log.info(message, extra=logs.fields(fingerprint=name, **fields))
