"""Tests a short run of the soak with real processes."""

import asyncio
import pathlib
import tempfile
import unittest

from endivewind.soak import runs
from endivewind.soak import schedules

Kind = schedules.FaultKind


class RunTest(unittest.IsolatedAsyncioTestCase):
    """Runs with faults of nodes, a link, a target and the platform."""

    async def _execute(self, schedule):
        with tempfile.TemporaryDirectory() as folder:
            run = runs.SoakRun(schedule, pathlib.Path(folder))
            return await run.execute()

    async def test_short_runs_have_no_findings(self):
        """The callers' results match what the targets ran.

        One node is killed and one stops gracefully while the link of a third
        one is reset and a target fails; the platform loses responses
        meanwhile. A second run has local targets, so that a node which has just
        started may take callers' requests for calls and shorten their time
        limits. Both run at once, since they mostly wait.
        """
        faults = (
            schedules.Fault(Kind.PLATFORM_LOSES_ANSWERS, 0.0, 2.0, 0),
            schedules.Fault(Kind.TARGET_FAILS, 0.2, 1.5, 2),
            schedules.Fault(Kind.LINK_RESET, 0.4, 0.1, 2),
            schedules.Fault(Kind.NODE_KILLED, 0.5, 0.5, 0),
            schedules.Fault(Kind.NODE_STOPS, 0.8, 0.5, 1),
        )
        outcomes = await asyncio.gather(
            *(
                self._execute(
                    schedules.Schedule(1, 2.0, faults, has_local_targets)
                )
                for has_local_targets in (False, True)
            )
        )

        for outcome in outcomes:
            with self.subTest(local=outcome.schedule.has_local_targets):
                self.assertEqual((), outcome.findings)
                self.assertGreater(outcome.answered, 10)
