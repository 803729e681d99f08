"""Records a node's actions in the audit trail.

The actions are ejections and returns of targets, drains, and the node's own
joining and leaving of the fleet. Records are queued and written in batches, so that no action
waits for the platform.
"""

import asyncio
import collections
import collections.abc
import datetime
import itertools
import logging
import random

from endivewind import clock as clocks
from endivewind import logs
from endivewind.durable import audit
from endivewind.durable import retries
from endivewind.platform import client
from endivewind.targets import records

log = logging.getLogger(__name__)

# Mean delay of a write, so that records made at about the same time are written
# together.
BATCH_DELAY = datetime.timedelta(seconds=1)
# During long outages of the platform the oldest records are dropped first.
MAX_PENDING_RECORDS = 500

CauseByTarget = collections.abc.Mapping[str, str]


class AuditRecorder:
    """Queues records until they are written; does not delay the actions."""

    def __init__(
        self,
        node: str,
        incarnation: int,
        platform: client.PlatformClient,
        clock: clocks.Clock,
        rng: random.Random,
        *,
        to_platform: bool = True,
    ) -> None:
        """Starts with an empty queue.

        Args:
          node: the node's name.
          incarnation: the node's incarnation.
          platform: the store that keeps the records.
          clock: gives the records' times.
          rng: adds jitter, which spreads the writes of a fleet.
          to_platform: whether records are written to the platform, which
            bills each write as a call. They are logged in any case.
        """
        self._to_platform = to_platform
        self._node = node
        self._incarnation = incarnation
        self._platform = platform
        self._clock = clock
        self._rng = rng
        self._numbers = itertools.count(1)
        self._last_targets: dict[str, records.TargetRecord] = {}
        self._pending: collections.deque[audit.Record] = collections.deque(
            maxlen=MAX_PENDING_RECORDS
        )
        self._has_pending = asyncio.Event()

    @property
    def pending(self) -> tuple[audit.Record, ...]:
        """The records that have not been written yet."""
        return tuple(self._pending)

    def record_membership(self, action: audit.Action) -> None:
        """Records that this node joins or leaves the fleet."""
        self._add(action, f"node/{self._node}", "")

    def record_targets(
        self,
        home_targets: collections.abc.Iterable[records.TargetRecord],
        causes: CauseByTarget,
    ) -> None:
        """Records the changes among this node's own targets.

        Args:
          home_targets: all targets whose home is this node.
          causes: the causes of ejections, by target id.
        """
        targets = {item.id: item for item in home_targets}
        for name, item in targets.items():
            for action in _actions(self._last_targets.get(name), item):
                self._add(action, f"target/{name}", causes.get(name, ""))
        self._last_targets = targets

    async def run(self) -> None:
        """Writes records until cancelled; failed writes are retried."""
        while True:
            await self._has_pending.wait()
            max_delay = 2 * BATCH_DELAY.total_seconds()
            await asyncio.sleep(self._rng.uniform(0, max_delay))
            await self.flush()
            if not self._pending:
                self._has_pending.clear()

    async def flush(self) -> None:
        """Writes the pending records; keeps them if all attempts fail.

        audit.append() makes up to audit.MAX_ATTEMPTS attempts.
        """
        batch = tuple(self._pending)
        if not batch:
            return
        backoff = retries.Backoff(self._rng)
        result = await audit.append(self._platform, self._node, batch, backoff)
        if result.is_error():
            log.warning("audit records not written yet: %s", result.error)
            return
        written = set(batch)
        unwritten = [item for item in self._pending if item not in written]
        self._pending.clear()
        self._pending.extend(unwritten)

    def _add(self, action: audit.Action, subject: str, detail: str) -> None:
        record = audit.Record(
            time=self._clock.now(),
            actor=self._node,
            action=action,
            subject=subject,
            operation=f"{self._incarnation:x}-{next(self._numbers)}",
            detail=detail[:300],
        )
        log.info("audit", extra=logs.fields(**record.model_dump(mode="json")))
        if not self._to_platform:
            return
        self._pending.append(record)
        self._has_pending.set()


def _actions(
    before: records.TargetRecord | None, after: records.TargetRecord
) -> collections.abc.Iterator[audit.Action]:
    """Yields the actions that lead from one record of a target to the next."""
    health = before.health if before else records.EjectionStatus.NORMAL
    if after.health is not health:
        if after.health is records.EjectionStatus.EJECTED:
            yield audit.Action.EJECT
        if after.health is records.EjectionStatus.NORMAL:
            yield audit.Action.RETURN
    state = before.state if before else None
    draining = after.state is records.State.DRAINING
    if draining and state is not records.State.DRAINING:
        yield audit.Action.DRAIN
