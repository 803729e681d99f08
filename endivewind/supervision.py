"""Runs the background tasks of a node, and restarts those that fail."""

import asyncio
import collections
import collections.abc
import datetime
import logging

from endivewind import logs

log = logging.getLogger(__name__)

RESTART_DELAY = datetime.timedelta(seconds=1)

# Runs until it is cancelled; called again after a failure.
Work = collections.abc.Callable[[], collections.abc.Coroutine[None, None, None]]


class TaskSupervisor:
    """Starts tasks, and starts those again that end with an exception.

    Scenario: one of a node's background tasks meets data that it does not
    expect. Risk: it ends without a trace, and the node goes on without gossip,
    say, until somebody restarts it.
    """

    def __init__(self) -> None:
        """Starts without any tasks."""
        self._tasks: list[asyncio.Task[None]] = []
        self._failure_counts: collections.Counter[str] = collections.Counter()

    @property
    def failure_counts(self) -> collections.abc.Mapping[str, int]:
        """How often each task has failed, by name."""
        return self._failure_counts

    def start(self, name: str, work: Work) -> None:
        """Starts a task.

        Args:
          name: its name in logs and metrics.
          work: what it runs.
        """
        self._tasks.append(asyncio.create_task(self._run(name, work)))

    async def _run(self, name: str, work: Work) -> None:
        while True:
            try:
                await work()
                return
            except Exception:
                self._failure_counts[name] += 1
                log.exception("task failed", extra=logs.fields(task=name))
            await asyncio.sleep(RESTART_DELAY.total_seconds())

    async def stop(self) -> None:
        """Cancels all tasks and waits for their end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
