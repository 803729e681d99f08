"""Tests of the audit trail: races, lost responses and its bound."""

import asyncio
import datetime
import unittest

from endivewind.durable import audit
from endivewind.standins import faults
from endivewind.tests.platform import platforms

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


def _record(number: int, actor: str = "ana", **fields) -> audit.Record:
    values = {
        "time": START + datetime.timedelta(seconds=number),
        "actor": actor,
        "action": audit.Action.SUBMIT,
        "subject": "service/riders",
        "operation": f"op-{number}",
        **fields,
    }
    return audit.Record(**values)


class AuditTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.platform = platforms.Platform()
        await self.enterAsyncContext(self.platform)

    async def _append(self, *records, actor="ana"):
        return await audit.append(
            self.platform.client,
            actor,
            records,
            self.platform.backoff,
            self.platform.sleep,
        )

    async def _operations(self):
        found = await audit.read(self.platform.client)
        return [item.operation for item in found.ok]

    async def test_concurrent_writers_lose_no_record(self):
        await asyncio.gather(*(self._append(_record(n)) for n in range(4)))

        self.assertEqual(
            [f"op-{n}" for n in range(4)], await self._operations()
        )

    async def test_a_lost_response_adds_no_second_record(self):
        self.platform.standin.set_faults(
            faults.Fault(
                mode=faults.FaultMode.ANSWER_LOST,
                count=1,
                methods=("POST", "PUT"),
            )
        )

        await self._append(_record(1))

        stored = self.platform.store.get("audit", audit.shard_name("ana"))
        self.assertEqual(1, len(stored.value["records"]))

    async def test_the_trail_is_bounded_and_keeps_the_latest(self):
        many = [_record(n) for n in range(audit.RECORDS_PER_SHARD + 5)]

        await self._append(*many)

        found = await self._operations()
        self.assertEqual(audit.RECORDS_PER_SHARD, len(found))
        self.assertEqual(many[-1].operation, found[-1])

    async def test_the_outcome_replaces_the_intended_record(self):
        await self._append(_record(1, outcome=audit.Outcome.INTENDED))
        later = _record(1, time=START + datetime.timedelta(minutes=1))
        await self._append(later)

        found = await audit.read(self.platform.client)

        self.assertEqual([audit.Outcome.DONE], [i.outcome for i in found.ok])

    async def test_records_of_a_newer_release_are_kept(self):
        name = audit.shard_name("ana")
        newer = {"shape": "unknown"}
        self.platform.store.put("audit", name, {"records": [newer]}, 0)

        await self._append(_record(1))

        stored = self.platform.store.get("audit", name)
        self.assertIn(newer, stored.value["records"])
        self.assertEqual(["op-1"], await self._operations())
