"""Tests of the API for heartbeats and deregistrations of targets."""

import datetime
import json
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
        self.can_save = True
        target_registration = registration.Registration(
            self.targets,
            lambda service: 1,
            self._count_change,
            self._refusal,
            self._save,
        )
        # Later than the start times of all targets in these tests.
        clock = clocks.ManualClock()
        clock.advance(datetime.timedelta(minutes=1))
        heartbeat_api = heartbeats.HeartbeatApi(
            target_registration, lambda: 1500, clock
        )
        self.client = test_utils.TestClient(
            test_utils.TestServer(heartbeat_api.make_application())
        )
        await self.client.start_server()
        self.addAsyncCleanup(self.client.close)

    def _count_change(self):
        self.changes += 1

    async def _save(self):
        return self.can_save

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
        return {
            item.id: item.state.value for item in self.targets.target_records()
        }

    async def test_a_heartbeat_announces_the_target(self):
        self.assertEqual(200, await self.beat())

        (record,) = self.targets.target_records()
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

    async def test_a_target_in_its_cold_start_is_cold(self):
        status = {"state": "ready", "sequence": 1, "cold_remaining_s": 2.5}
        await self.beat(status=status)

        self.assertEqual({"i-1": "cold"}, self.states())

    async def test_a_late_heartbeat_does_not_end_draining(self):
        """A target announces that it drains; an older heartbeat arrives later.

        If the older one were applied, the target would receive new requests
        after its drain time.
        """
        await self.beat(sequence=5, state="draining")

        late = await self.beat(sequence=4)

        self.assertEqual(200, late)
        self.assertEqual({"i-1": "draining"}, self.states())

    async def test_a_late_heartbeat_does_not_restore_a_departed_target(self):
        await self.beat(sequence=5)
        await self.leave(born=1000)

        late = await self.beat(sequence=4)

        self.assertEqual(409, late)
        self.assertEqual({}, self.states())

    async def test_a_departure_without_start_time_is_kept_after_a_restart(
        self,
    ):
        """Requests are sent to a target three seconds after its departure.

        The home has just restarted and knows no target. A deregistration
        without a start time is followed by a delayed announcement, three
        seconds later. Only an incarnation that started after the departure
        may be accepted.
        """
        async with self.client.post("/Instances.Deregister/i-1") as response:
            self.assertEqual(200, response.status)

        self.assertEqual(409, await self.beat(sequence=4))

        self.assertEqual({}, self.states())
        later = 10 * 365 * 86_400_000 * 10
        self.assertEqual(200, await self.beat(sequence=1, born=later))

    async def test_a_late_departure_does_not_refuse_a_restarted_target(self):
        """A target restarts, and its earlier deregistration arrives late.

        The home has just restarted, too, and knows no target. It must refuse
        the start that has left, but not the next one, although that one began
        before the deregistration arrived.
        """
        self.assertEqual(200, await self.leave(born=1000))

        self.assertEqual(409, await self.beat(born=1000))
        self.assertEqual(200, await self.beat(sequence=1, born=2000))
        self.assertEqual({"i-1": "ready"}, self.states())

    async def test_a_later_target_at_the_same_address_replaces_the_first(self):
        """A heartbeat of a crashed target arrives after its successor's."""
        await self.beat("i-1", born=1000)
        await self.beat("i-2", born=2000, sequence=1)

        delayed = await self.beat("i-1", born=1000, sequence=9)

        self.assertEqual(409, delayed)
        self.assertEqual({"i-2": "ready"}, self.states())

    async def test_a_new_incarnation_starts_its_own_sequence(self):
        await self.beat(sequence=50, state="draining", born=1000)

        restarted = await self.beat(sequence=1, born=2000)

        self.assertEqual(200, restarted)
        self.assertEqual({"i-1": "ready"}, self.states())

    async def test_an_earlier_incarnations_departure_keeps_the_later_one(self):
        await self.beat(born=2000)

        await self.leave(born=1000)

        self.assertEqual({"i-1": "ready"}, self.states())

    async def test_an_invalid_heartbeat_changes_nothing(self):
        """Another sender sends fields of wrong types, or no JSON at all."""
        await self.beat()
        before = self.states()
        invalid = (
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

        statuses = [await self.beat(body=body) for body in invalid]

        self.assertEqual([400] * len(invalid), statuses)
        self.assertEqual(before, self.states())

    async def test_numbers_too_large_are_refused(self):
        """Guards against records that can't be sent to other nodes.

        The node then told its peers of no change any more, and refused the
        later heartbeats of the target as older ones.
        """
        for fields in ({"born": 10**30}, {"born": 2**63}, {"sequence": 2**63}):
            with self.subTest(fields):
                self.assertEqual(400, await self.beat(**fields))
                self.assertEqual([], self.targets.target_records())
        self.assertEqual(400, await self.leave(born=10**30))
        self.assertEqual(200, await self.beat())

    async def test_infinite_cold_time_is_refused(self):
        """Guards against an internal error in place of the reason."""
        text = json.dumps(_beat()).replace(
            '"cold_remaining_s": 0', '"cold_remaining_s": 1e999'
        )

        self.assertEqual(400, await self.beat(body=text.encode()))

    async def test_an_unknown_service_does_not_replace_the_record(self):
        await self.beat()

        forged = await self.beat(
            sequence=9, info={"service": "nowhere", "slots": 3}
        )

        self.assertEqual(409, forged)
        self.assertEqual(
            ["riders"], [item.service for item in self.targets.target_records()]
        )

    async def test_only_changes_are_published(self):
        for sequence in range(5):
            await self.beat(sequence=sequence)

        self.assertEqual(1, self.changes)
        self.assertIs(
            records.EjectionStatus.NORMAL,
            self.targets.target_records()[0].health,
        )

    async def test_leaving_that_is_not_saved_is_not_acknowledged(self):
        """Guards against an acknowledgement that a restart undoes.

        The leaving is in effect all the same.
        """
        for leave in (
            lambda: self.beat(sequence=5, state="draining"),
            lambda: self.leave(born=1000),
        ):
            await self.beat()
            self.can_save = False

            self.assertEqual(503, await leave())

            self.assertNotIn("ready", self.states().values())
            self.can_save = True
            self.assertEqual(200, await leave())

    async def test_heartbeats_of_ready_targets_are_not_saved(self):
        """Guards against a platform outage that ends the leases of targets."""
        self.can_save = False

        self.assertEqual(200, await self.beat())
