"""Records in the audit trail what a node does: verdicts, drains, membership."""

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

# Records wait this long, so that many of one moment make one write.
BATCH_WAIT = datetime.timedelta(seconds=1)
# While the platform is away for hours the oldest records are dropped first.
MAX_WAITING = 500

Causes = collections.abc.Mapping[str, str]


class Auditor:
    """Keeps records until they are written; never holds up what they tell."""

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
        """Starts with nothing to write.

        Args:
          node: the node's name.
          incarnation: this start of it.
          platform: where records are kept.
          clock: dates the records.
          rng: spreads the writes of a fleet.
          to_platform: whether records are written there; each write is a call
            that is paid for. They are logged in any case.
        """
        self._to_platform = to_platform
        self._node = node
        self._incarnation = incarnation
        self._platform = platform
        self._clock = clock
        self._rng = rng
        self._numbers = itertools.count(1)
        self._known: dict[str, records.TargetRecord] = {}
        self._waiting: collections.deque[audit.Record] = collections.deque(
            maxlen=MAX_WAITING
        )
        self._wake = asyncio.Event()

    @property
    def waiting(self) -> tuple[audit.Record, ...]:
        """Records that are not written yet."""
        return tuple(self._waiting)

    def membership(self, action: audit.Action) -> None:
        """Records that this node joins or leaves."""
        self._add(action, f"node/{self._node}", "")

    def targets(
        self, held: collections.abc.Iterable[records.TargetRecord], why: Causes
    ) -> None:
        """Records what has changed among this node's own targets."""
        now = {item.id: item for item in held}
        for name, item in now.items():
            for action in _actions(self._known.get(name), item):
                self._add(action, f"target/{name}", why.get(name, ""))
        self._known = now

    async def run(self) -> None:
        """Writes for ever; what can't be written stays for the next time."""
        while True:
            await self._wake.wait()
            longest = 2 * BATCH_WAIT.total_seconds()
            await asyncio.sleep(self._rng.uniform(0, longest))
            await self.flush()
            if not self._waiting:
                self._wake.clear()

    async def flush(self) -> None:
        """Writes what waits, if the platform takes it."""
        batch = tuple(self._waiting)
        if not batch:
            return
        backoff = retries.Backoff(self._rng)
        written = await audit.append(self._platform, self._node, batch, backoff)
        if written.is_error():
            log.warning("audit records wait: %s", written.error)
            return
        done = set(batch)
        left = [item for item in self._waiting if item not in done]
        self._waiting.clear()
        self._waiting.extend(left)

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
        self._waiting.append(record)
        self._wake.set()


def _actions(
    before: records.TargetRecord | None, after: records.TargetRecord
) -> collections.abc.Iterator[audit.Action]:
    health = before.health if before else records.Health.NORMAL
    if after.health is not health:
        if after.health is records.Health.EJECTED:
            yield audit.Action.EJECT
        if after.health is records.Health.NORMAL:
            yield audit.Action.RETURN
    state = before.state if before else None
    draining = after.state is records.State.DRAINING
    if draining and state is not records.State.DRAINING:
        yield audit.Action.DRAIN
