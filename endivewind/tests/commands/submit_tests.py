"""Tests of concurrent submissions and their audit records."""

import unittest

from endivewind import clock as clocks
from endivewind.commands import submissions
from endivewind.commands import submit
from endivewind.config import planning
from endivewind.config import store
from endivewind.durable import audit
from endivewind.standins import faults
from endivewind.tests.platform import platforms

RIDERS = store.Key(store.SERVICE, "riders")


class SubmissionTest(unittest.IsolatedAsyncioTestCase):
    """Submissions against a platform stand-in."""

    async def asyncSetUp(self):
        self.platform = platforms.Platform()
        await self.enterAsyncContext(self.platform)

    async def _plan(self, spec):
        stored = await submissions.read_configuration(self.platform.client)
        return planning.plan({RIDERS: spec}, stored)

    async def _submit(self, steps, author="ana"):
        submission = submit.Submission(
            self.platform.client, author, author, clocks.SystemClock()
        )
        (result,) = await submission.run(steps)
        return result

    async def test_concurrent_change_is_not_overwritten(self):
        """Two operators read the same state before either of them writes.

        The second write must not replace the first one, which was accepted
        and is being applied; the second operator is shown what has changed.
        """
        await self._submit(await self._plan({"slots": 3}))
        mine = await self._plan({"slots": 5})
        theirs = await self._plan({"slots": 7})

        await self._submit(theirs, "berta")
        result = await self._submit(mine, "carla")

        self.assertEqual("refused", result.result)
        self.assertEqual(
            ["slots: 3 -> 7"], [str(item) for item in result.step.theirs]
        )
        stored = self.platform.store.get(*RIDERS)
        self.assertEqual({"slots": 7}, stored.value["spec"])

    async def test_identical_changes_do_not_conflict(self):
        mine = await self._plan({"slots": 5})
        theirs = await self._plan({"slots": 5})

        await self._submit(theirs, "berta")
        result = await self._submit(mine, "carla")

        self.assertEqual("same", result.result)

    async def test_nothing_is_written_without_audit_record(self):
        steps = await self._plan({"slots": 5})
        self.platform.standin.set_faults(
            faults.Fault(
                mode=faults.FaultMode.ERROR, methods=("POST", "PUT"), count=0
            )
        )
        submission = submit.Submission(
            self.platform.client, "x", "ana", clocks.SystemClock()
        )
        submission._backoff = _NoBackoff()

        with self.assertRaises(submit.exceptions.UnavailableError):
            await submission.run(steps)

        self.assertIsNone(self.platform.store.get(*RIDERS))

    async def test_audit_records_previous_versions(self):
        first = await self._submit(await self._plan({"slots": 3}), "ana")
        second = await self._submit(await self._plan({"slots": 5}), "berta")

        trail = await audit.read(self.platform.client)

        self.assertEqual(
            [(0, first.version), (first.version, second.version)],
            [(item.from_version, item.to_version) for item in trail.ok],
        )


class _NoBackoff:
    def next_seconds(self, error=None):
        return 0
