"""End-to-end tests: concurrent submissions, and lost platform responses."""

import asyncio

from endivewind.tests.proofs import fleets


class SubmissionTest(fleets.FleetTestCase):
    async def test_concurrent_changes_of_different_objects_are_both_kept(self):
        """Two operators submit the same file, each with a change of its own.

        Each file still holds the other operator's object in its old state.
        Neither submission may revert the other's change, in either order.
        """
        both = {"services": {"riders": {"slots": 3}, "venues": {"slots": 3}}}
        await self.submit(both)
        base = "--base=" + self.write_file("base.yaml", both)
        own_change = {
            "services": {"riders": {"slots": 5}, "venues": {"slots": 3}}
        }
        other_change = {
            "services": {"riders": {"slots": 3}, "venues": {"slots": 7}}
        }

        results = await asyncio.gather(
            self.submit(own_change, base, name="mine.yaml"),
            self.submit(other_change, base, name="theirs.yaml"),
        )

        self.assertEqual([0, 0], [code for code, _ in results])
        _, riders = await self.run_command("get", "service", "riders")
        _, venues = await self.run_command("get", "service", "venues")
        self.assertEqual(
            (5, 7),
            (
                fleets.slots_of(riders)["slots"],
                fleets.slots_of(venues)["slots"],
            ),
        )

    async def test_concurrent_change_of_the_same_object_is_refused(self):
        await self.submit(fleets.FIRST_CONFIGURATION)
        base = "--base=" + self.write_file(
            "base.yaml", fleets.FIRST_CONFIGURATION
        )

        results = await asyncio.gather(
            self.submit(fleets.SECOND_CONFIGURATION, base, name="mine.yaml"),
            self.submit(
                {"services": {"riders": {"slots": 7}}}, base, name="theirs.yaml"
            ),
        )

        self.assertEqual([0, 1], sorted(code for code, _ in results))
        loser = next(found for code, found in results if code)
        (conflict,) = loser["objects"]
        self.assertEqual("refused", conflict["result"])
        self.assertEqual(["slots"], [i["path"] for i in conflict["theirs"]])

    async def test_lost_response_to_a_write_does_not_duplicate_it(self):
        """The platform writes an object, and its response is lost.

        The retry finds the object that the first attempt wrote. The command
        must report it as written, and the audit trail must hold one change.
        """
        await self.submit(fleets.FIRST_CONFIGURATION)
        lost = {"mode": "answer-lost", "count": 4, "methods": ["PUT"]}
        await self.call_platform_control("fault", [lost])

        code, found = await self.submit(fleets.SECOND_CONFIGURATION)

        self.assertEqual(0, code)
        _, found_object = await self.run_command("get", "service", "riders")
        self.assertEqual(found["operation"], found_object["value"]["operation"])
        _, entries = await self.run_command(
            "audit", f"--subject={fleets.RIDERS_OBJECT}"
        )
        self.assertEqual(["done", "done"], [i["outcome"] for i in entries])
        self.assertEqual(
            entries[0]["to_version"], found_object["value"]["replaced_version"]
        )
        self.assertEqual(entries[1]["from_version"], entries[0]["to_version"])

    async def test_removed_object_stays_removed(self):
        await self.start_nodes("node-a")
        await self.submit(fleets.FIRST_CONFIGURATION)

        await self.submit({}, f"--remove={fleets.RIDERS_OBJECT}")

        await self.fleet.nodes["node-a"].wait_for_message("in force")
        _, found_object = await self.run_command("get", "service", "riders")
        self.assertIsNone(found_object["value"]["spec"])

    async def test_audit_trail_lists_joins_and_leaves(self):
        await self.start_nodes("node-a")

        await self.fleet.nodes["node-a"].stop()

        _, entries = await self.run_command("audit", "--subject=node/node-a")
        self.assertEqual(["join", "leave"], [i["action"] for i in entries])
