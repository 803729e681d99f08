"""Heartbeats and deregistrations as targets of the platform send them."""

import datetime
import unittest

from aiohttp import test_utils

from endivewind import clock as clocks
from endivewind.platform import heartbeats
from endivewind.targets import records
from endivewind.targets import registration
from endivewind.targets import registry

ADDRESS = "10.0.0.9:8080"


def _beat(sequence=4, state="ready", born=1000, **changes):
    return {
        "address": ADDRESS,
        "born": born,
        "info": {"service": "riders", "version": "v1", "zone": "z", "slots": 3},
        "status": {
            "state": state,
            "sequence": sequence,
            "cold_remaining_s": 0,
        },
        **changes,
    }


class HeartbeatApiTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        home = registry.HomeIdentity("node-a", 1, "andina", "andina-a")
        self.targets = registry.TargetRegistry(home, clocks.ManualClock())
        self.changes = 0
        taken = registration.Registration(
            self.targets, lambda service: 1, self._changed, self._refusal
        )
        # Later than all starts of these tests.
        clock = clocks.ManualClock()
        clock.advance(datetime.timedelta(minutes=1))
        served = heartbeats.HeartbeatApi(taken, lambda: 1500, clock)
        self.client = test_utils.TestClient(
            test_utils.TestServer(served.application())
        )
        await self.client.start_server()
        self.addAsyncCleanup(self.client.close)

    def _changed(self):
        self.changes += 1

    def _refusal(self, announcement):
        return "" if announcement.service == "riders" else "no such service"

    async def beat(self, target="i-1", body=None, **fields):
        path = f"/Instances.Heartbeat/{target}"
        data = _beat(**fields) if body is None else body
        sent = {"data": data} if isinstance(data, bytes) else {"json": data}
        async with self.client.post(path, **sent) as response:
            return response.status

    async def leave(self, target="i-1", **fields):
        path = f"/Instances.Deregister/{target}"
        async with self.client.post(path, json=fields) as response:
            return response.status

    def states(self):
        return {item.id: item.state.value for item in self.targets.announced()}

    async def test_a_heartbeat_announces_the_target(self):
        self.assertEqual(200, await self.beat())

        (record,) = self.targets.announced()
        self.assertEqual(
            ("i-1", "riders", 3, 1000),
            (
                record.id,
                record.service,
                record.slots,
                record.target_incarnation,
            ),
        )
        self.assertEqual(f"http://{ADDRESS}", self.targets.get("i-1").address)

    async def test_a_cold_start_is_seen(self):
        status = {"state": "ready", "sequence": 1, "cold_remaining_s": 2.5}
        await self.beat(status=status)

        self.assertEqual({"i-1": "cold"}, self.states())

    async def test_a_late_heartbeat_does_not_undo_the_draining(self):
        """The target says that it leaves; an earlier heartbeat comes after.

        Taken at its word it would get new work again, past its drain time.
        """
        await self.beat(sequence=5, state="draining")

        late = await self.beat(sequence=4)

        self.assertEqual(200, late)
        self.assertEqual({"i-1": "draining"}, self.states())

    async def test_a_late_heartbeat_brings_back_none_that_has_left(self):
        await self.beat(sequence=5)
        await self.leave(born=1000)

        late = await self.beat(sequence=4)

        self.assertEqual(409, late)
        self.assertEqual({}, self.states())

    async def test_a_leave_that_names_no_start_binds_a_home_that_knows_none(
        self,
    ):
        """Requests reach a target three seconds after it has said it leaves.

        Its home has just been restarted and knows no target. The leave says
        nothing of the start that leaves; an announcement which was held up
        comes three seconds later. Only a start after the leave is another.
        """
        async with self.client.post("/Instances.Deregister/i-1") as response:
            self.assertEqual(200, response.status)

        self.assertEqual(409, await self.beat(sequence=4))

        self.assertEqual({}, self.states())
        later = 10 * 365 * 86_400_000 * 10
        self.assertEqual(200, await self.beat(sequence=1, born=later))

    async def test_a_new_start_at_the_same_address_takes_its_place(self):
        """The sender of a held-up heartbeat has crashed meanwhile."""
        await self.beat("i-1", born=1000)
        await self.beat("i-2", born=2000, sequence=1)

        held_up = await self.beat("i-1", born=1000, sequence=9)

        self.assertEqual(409, held_up)
        self.assertEqual({"i-2": "ready"}, self.states())

    async def test_a_start_under_the_same_id_begins_its_counts_anew(self):
        await self.beat(sequence=50, state="draining", born=1000)

        again = await self.beat(sequence=1, born=2000)

        self.assertEqual(200, again)
        self.assertEqual({"i-1": "ready"}, self.states())

    async def test_an_earlier_starts_leave_does_not_end_a_later_one(self):
        await self.beat(born=2000)

        await self.leave(born=1000)

        self.assertEqual({"i-1": "ready"}, self.states())

    async def test_what_cannot_be_read_changes_nothing(self):
        """Another writer sends fields of other types, or no JSON at all."""
        await self.beat()
        before = self.states()
        bad = (
            b"\x00\xff",
            b"[]",
            b"null",
            _beat(address=7),
            _beat(born="soon"),
            _beat(info={"service": "riders"}),
            _beat(info={"service": "riders", "slots": "many"}),
            _beat(status={"state": "resting", "sequence": 9}),
            _beat(status=None),
        )

        answers = [await self.beat(body=body) for body in bad]

        self.assertEqual([400] * len(bad), answers)
        self.assertEqual(before, self.states())

    async def test_a_service_that_does_not_exist_replaces_nothing(self):
        await self.beat()

        forged = await self.beat(
            sequence=9, info={"service": "nowhere", "slots": 3}
        )

        self.assertEqual(409, forged)
        self.assertEqual(
            ["riders"], [item.service for item in self.targets.announced()]
        )

    async def test_the_fleet_hears_of_changes_only(self):
        for sequence in range(5):
            await self.beat(sequence=sequence)

        self.assertEqual(1, self.changes)
        self.assertIs(records.Health.NORMAL, self.targets.announced()[0].health)
