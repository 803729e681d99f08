"""Proofs on real processes: operators who race, and answers that are lost."""

import asyncio

from endivewind.tests.proofs import fleets


class OperatorRaceTest(fleets.FleetCase):
    async def test_two_operators_change_different_objects(self):
        """Two firms submit the same file, each with its own change.

        Each file still holds the other's object as it was before. Neither
        change may be taken back by the other, in whichever order they come.
        """
        both = {"services": {"riders": {"slots": 3}, "venues": {"slots": 3}}}
        await self.submit(both)
        base = "--base=" + self.file("base.yaml", both)
        mine = {"services": {"riders": {"slots": 5}, "venues": {"slots": 3}}}
        theirs = {"services": {"riders": {"slots": 3}, "venues": {"slots": 7}}}

        ended = await asyncio.gather(
            self.submit(mine, base, name="mine.yaml"),
            self.submit(theirs, base, name="theirs.yaml"),
        )

        self.assertEqual([0, 0], [code for code, _ in ended])
        _, riders = await self.run_command("get", "service", "riders")
        _, venues = await self.run_command("get", "service", "venues")
        self.assertEqual(
            (5, 7),
            (fleets.slots(riders)["slots"], fleets.slots(venues)["slots"]),
        )

    async def test_two_operators_change_the_same_object(self):
        await self.submit(fleets.FIRST)
        base = "--base=" + self.file("base.yaml", fleets.FIRST)

        ended = await asyncio.gather(
            self.submit(fleets.SECOND, base, name="mine.yaml"),
            self.submit(
                {"services": {"riders": {"slots": 7}}}, base, name="theirs.yaml"
            ),
        )

        self.assertEqual([0, 1], sorted(code for code, _ in ended))
        loser = next(found for code, found in ended if code)
        (shown,) = loser["objects"]
        self.assertEqual("refused", shown["result"])
        self.assertEqual(["slots"], [i["path"] for i in shown["theirs"]])

    async def test_an_answer_lost_after_the_write(self):
        """The platform writes and its answer is lost.

        The operator's retry meets the own write. It must end as written,
        once, and the trail must hold one change.
        """
        await self.submit(fleets.FIRST)
        lost = {"mode": "answer-lost", "count": 4, "methods": ["PUT"]}
        await self.control("fault", [lost])

        code, found = await self.submit(fleets.SECOND)

        self.assertEqual(0, code)
        _, held = await self.run_command("get", "service", "riders")
        self.assertEqual(found["operation"], held["value"]["operation"])
        _, trail = await self.run_command("audit", f"--subject={fleets.RIDERS}")
        self.assertEqual(["done", "done"], [i["outcome"] for i in trail])
        self.assertEqual(
            trail[0]["to_version"], held["value"]["replaced_version"]
        )
        self.assertEqual(trail[1]["from_version"], trail[0]["to_version"])

    async def test_a_removed_object_stays_removed(self):
        await self.start("node-a")
        await self.submit(fleets.FIRST)

        await self.submit({}, f"--remove={fleets.RIDERS}")

        await self.fleet.nodes["node-a"].message("in force")
        _, held = await self.run_command("get", "service", "riders")
        self.assertIsNone(held["value"]["spec"])

    async def test_the_trail_tells_who_joined_and_left(self):
        await self.start("node-a")

        await self.fleet.nodes["node-a"].stop()

        _, trail = await self.run_command("audit", "--subject=node/node-a")
        self.assertEqual(["join", "leave"], [i["action"] for i in trail])
