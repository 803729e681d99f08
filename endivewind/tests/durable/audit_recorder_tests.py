"""Tests of what a node records in the audit trail."""

import dataclasses
import random
import unittest
import unittest.mock

from endivewind.durable import audit
from endivewind.durable import auditor
from endivewind.standins import faults
from endivewind.targets import records
from endivewind.tests.platform import platforms

TARGET = records.TargetRecord(
    "riders-1",
    "riders",
    "node-a",
    1,
    1,
    "andina",
    "andina-a",
    3,
    1,
    records.State.READY,
    records.Health.NORMAL,
)


class AuditorTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.platform = platforms.Platform()
        await self.enterAsyncContext(self.platform)
        self.auditor = auditor.Auditor(
            "node-a",
            7,
            self.platform.client,
            self.platform.clock,
            random.Random(1),
        )

    def _change_target(self, **fields):
        changed = dataclasses.replace(TARGET, **fields)
        self.auditor.targets([changed], {"riders-1": "errors"})

    async def _trail(self):
        trail = await audit.read(self.platform.client)
        return [item.action.value for item in trail.ok]

    async def test_ejections_drains_and_membership_are_recorded_once(self):
        self.auditor.membership(audit.Action.JOIN)
        for _ in range(2):
            self._change_target()
            self._change_target(health=records.Health.EJECTED)
            self._change_target(health=records.Health.EJECTED)
            self._change_target(health=records.Health.TRIAL)
        self._change_target(state=records.State.DRAINING)

        await self.auditor.flush()
        await self.auditor.flush()

        self.assertEqual(
            ["join", "eject", "return", "eject", "return", "drain"],
            await self._trail(),
        )

    async def test_a_drain_is_recorded(self):
        self._change_target()
        self._change_target(state=records.State.DRAINING)

        await self.auditor.flush()

        self.assertEqual(["drain"], await self._trail())

    async def test_records_stay_pending_during_an_outage(self):
        """The platform is unavailable when a target is ejected.

        The record must not be lost, and the ejection must not wait for it.
        """
        self._change_target(health=records.Health.EJECTED)
        self.platform.standin.set_faults(
            faults.Fault(mode=faults.Mode.RATE_LIMIT, per_second=0)
        )
        with (
            unittest.mock.patch.object(audit, "ATTEMPTS", 1),
            unittest.mock.patch.object(
                auditor.retries.Backoff, "next_seconds", return_value=0
            ),
        ):
            await self.auditor.flush()
        self.assertEqual(1, len(self.auditor.waiting))

        self.platform.standin.set_faults()
        await self.auditor.flush()

        self.assertEqual((), self.auditor.waiting)
        self.assertEqual(["eject"], await self._trail())
