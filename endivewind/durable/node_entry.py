"""This node's own entry in the directory, which outlives its process.

It registers the node, and holds what the node has acknowledged and must not
forget when its process is killed.
"""

import asyncio
import collections.abc
import datetime
import logging
import random

import expression

from endivewind import logs
from endivewind.durable import node_directory as directories
from endivewind.durable import retries
from endivewind.nodes import view
from endivewind.platform import messages

log = logging.getLogger(__name__)

# How long a save waits for the store. Targets take a response that is later
# than a second for none.
SAVE_TIMEOUT = datetime.timedelta(milliseconds=700)
# Writes of the entry until it is given up: one for each version that another
# writer has made meanwhile.
MAX_WRITES = 4


class NodeEntry:
    """Writes this node's entry, after reading what an earlier process saved.

    Scenario: a node acknowledges that a target has left, and all processes of
    the fleet are killed. Risk: the next process does not know of it, and takes
    a late announcement of the target for a new one. So the node saves it in the
    platform's store before it acknowledges it.

    A listing may be some seconds old, so that it may lack what was saved last.
    The first write that succeeds shows that it does not, since writes are
    conditional on the version; a conflict returns the present entry.
    """

    def __init__(
        self,
        directory: directories.Directory,
        node: view.NodeRecord,
        listing: directories.ZoneListing | None,
        collect: collections.abc.Callable[[], directories.SavedState],
        restore: collections.abc.Callable[[directories.SavedState], None],
        rng: random.Random,
    ) -> None:
        """Restores what an earlier process of this node has saved, if known.

        Args:
          directory: where the entry is.
          node: this node with its current incarnation.
          listing: the node's zone before it started; None if not known.
          collect: returns what to save.
          restore: called with what an earlier process has saved; may be called
            again with what was saved later.
          rng: spreads the calls of a fleet over time.
        """
        self._directory = directory
        self._node = node
        self._collect = collect
        self._restore = restore
        self._version = 0
        self._written: directories.SavedState | None = None
        self._is_read = asyncio.Event()
        self._lock = asyncio.Lock()
        self._tasks: set[asyncio.Task[object]] = set()
        self._is_write_requested = asyncio.Event()
        self._backoff = retries.Backoff(rng)
        earlier = listing.registrations.get(node.name) if listing else None
        if earlier is not None:
            self._version = earlier.version
            restore(earlier.saved)

    @property
    def is_read(self) -> bool:
        """Whether all that an earlier process has saved is restored."""
        return self._is_read.is_set()

    async def wait_until_read(self, timeout: datetime.timedelta) -> None:
        """Waits until `is_read`, but no longer than the timeout."""
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self._is_read.wait()
        except TimeoutError:
            pass

    def invalidate(self) -> None:
        """Has the next write written even if nothing has changed."""
        self._written = None

    def request_write(self) -> None:
        """Has `run` write what has changed."""
        self._is_write_requested.set()

    async def run(self) -> None:
        """Writes what has changed when requested, until the store has it."""
        while True:
            await self._is_write_requested.wait()
            self._is_write_requested.clear()
            result = await self.write()
            if result.is_ok():
                self._backoff.reset()
                continue
            log.warning("node entry not written: %s", result.error)
            self._is_write_requested.set()
            await asyncio.sleep(self._backoff.next_seconds(result.error))

    async def write(self) -> expression.Result[int, messages.PlatformError]:
        """Writes the entry if it has changed; returns its version."""
        async with self._lock:
            state = self._collect()
            if state == self._written:
                return expression.Ok(self._version)
            for _ in range(MAX_WRITES):
                result = await self._directory.write(
                    self._node, state, self._version
                )
                if result.is_ok():
                    self._version = result.ok
                    self._written = state
                    self._is_read.set()
                    _log_written(state)
                    break
                if not self._resolve(result.error):
                    break
                state = self._collect()
            return result

    def _resolve(self, error: messages.PlatformError) -> bool:
        """Takes the present version from an error; returns whether it did."""
        if error.failure is messages.FailureReason.NOT_FOUND:
            self._version = 0
            return True
        if error.current is None:
            return False
        present = self._directory.decode(error.current)
        if present is not None and not self.is_read:
            self._restore(present.saved)
        elif present and present.node.incarnation > self._node.incarnation:
            # Another process has replaced this one; the entry is its own now.
            return False
        self._version = error.current.version
        return True

    async def save(self) -> bool:
        """Saves what has changed.

        Returns:
          Whether the store has it. After SAVE_TIMEOUT the write goes on, so
          that a later call finds it written.
        """
        task = asyncio.create_task(self.write())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        done, _ = await asyncio.wait(
            {task}, timeout=SAVE_TIMEOUT.total_seconds()
        )
        return bool(done) and task.result().is_ok()


def _log_written(state: directories.SavedState) -> None:
    fields = logs.fields(
        departures=len(state.departures), crash_counts=len(state.crash_counts)
    )
    log.debug("node entry written", extra=fields)
