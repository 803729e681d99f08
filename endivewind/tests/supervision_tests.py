"""Tests that background tasks are started again after a failure."""

import asyncio
import unittest

from endivewind import supervision
from endivewind.standins import virtual_loop


class TaskSupervisorTest(unittest.TestCase):
    def setUp(self):
        self.loop = virtual_loop.VirtualLoop()
        self.addCleanup(self.loop.close)
        self.supervisor = supervision.TaskSupervisor()
        self.start_count = 0

    async def _fail_twice(self):
        self.start_count += 1
        if self.start_count <= 2:
            raise ValueError("unexpected data")
        await asyncio.Event().wait()

    def test_task_that_fails_runs_again(self):
        """Guards against a node that goes on without gossip."""

        async def run():
            self.supervisor.start("gossip", self._fail_twice)
            with self.assertLogs(supervision.log) as logged:
                await asyncio.sleep(5)
            await self.supervisor.stop()
            return logged.records

        records = self.loop.run_until_complete(run())

        self.assertEqual(3, self.start_count)
        self.assertEqual({"gossip": 2}, dict(self.supervisor.failure_counts))
        self.assertEqual(["task failed"] * 2, [r.getMessage() for r in records])

    def test_task_that_ends_is_not_started_again(self):
        """Guards against gossip of a node that a later incarnation replaces."""

        async def end():
            self.start_count += 1

        async def run():
            self.supervisor.start("discovery", end)
            await asyncio.sleep(5)
            await self.supervisor.stop()

        self.loop.run_until_complete(run())

        self.assertEqual(1, self.start_count)


if __name__ == "__main__":
    unittest.main()
