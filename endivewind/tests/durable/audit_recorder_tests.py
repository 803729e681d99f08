"""Tests of what a node records in the audit trail."""

import dataclasses
import random
import unittest
import unittest.mock

from endivewind.durable import audit
from endivewind.durable import audit_recorder
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
    records.EjectionStatus.NORMAL,
)


class AuditorTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.platform = platforms.Platform()
        await self.enterAsyncContext(self.platform)
        self.auditor = audit_recorder.AuditRecorder(
            "node-a",
            7,
            self.platform.client,
            self.platform.clock,
            random.Random(1),
        )

    def _change_target(self, **fields):
        changed = dataclasses.replace(TARGET, **fields)
        self.auditor.record_targets([changed], {"riders-1": "errors"})

    async def _trail(self):
        trail = await audit.read(self.platform.client)
        return [item.action.value for item in trail.ok]

    async def test_ejections_drains_and_membership_are_recorded_once(self):
        self.auditor.record_membership(audit.Action.JOIN)
        for _ in range(2):
            self._change_target()
            self._change_target(health=records.EjectionStatus.EJECTED)
            self._change_target(health=records.EjectionStatus.EJECTED)
            self._change_target(health=records.EjectionStatus.TRIAL)
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
        self._change_target(health=records.EjectionStatus.EJECTED)
        self.platform.standin.set_faults(
            faults.Fault(mode=faults.FaultMode.RATE_LIMIT, per_second=0)
        )
        with (
            unittest.mock.patch.object(audit, "MAX_ATTEMPTS", 1),
            unittest.mock.patch.object(
                audit_recorder.retries.Backoff, "next_seconds", return_value=0
            ),
        ):
            await self.auditor.flush()
        self.assertEqual(1, len(self.auditor.pending))

        self.platform.standin.set_faults()
        await self.auditor.flush()

        self.assertEqual((), self.auditor.pending)
        self.assertEqual(["eject"], await self._trail())
