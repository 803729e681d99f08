"""Tests a short run of the soak with real processes."""

import pathlib
import tempfile
import unittest

from endivewind.soak import runs
from endivewind.soak import schedules

Kind = schedules.FaultKind


class RunTest(unittest.IsolatedAsyncioTestCase):
    """A run with faults of nodes, a link, a target and the platform."""

    async def test_short_run_has_no_findings(self):
        """The callers' results match what the targets ran.

        One node is killed and one stops gracefully while the link of a third
        one is reset and a target fails; the platform loses responses
        meanwhile.
        """
        faults = (
            schedules.Fault(Kind.PLATFORM_LOSES_ANSWERS, 0.0, 2.0, 0),
            schedules.Fault(Kind.TARGET_FAILS, 0.2, 1.5, 2),
            schedules.Fault(Kind.LINK_RESET, 0.4, 0.1, 2),
            schedules.Fault(Kind.NODE_KILLED, 0.5, 0.5, 0),
            schedules.Fault(Kind.NODE_STOPS, 0.8, 0.5, 1),
        )
        schedule = schedules.Schedule(1, 2.0, faults)
        with tempfile.TemporaryDirectory() as folder:
            outcome = await runs.SoakRun(
                schedule, pathlib.Path(folder)
            ).execute()

        self.assertEqual((), outcome.findings)
        self.assertGreater(outcome.answered, 10)
