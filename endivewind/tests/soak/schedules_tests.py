"""Schedules: a seed decides all, text keeps it, the shrinker drops faults."""

import asyncio
import dataclasses
import unittest

from endivewind.soak import schedules


class SchedulesTest(unittest.TestCase):
    def test_a_seed_decides_the_schedule(self):
        first = schedules.draw(7, 12)

        self.assertEqual(first, schedules.draw(7, 12))
        self.assertNotEqual(first.faults, schedules.draw(8, 12).faults)

    def test_every_kind_comes_in_some_seeds_and_most_overlap(self):
        drawn = [schedules.draw(seed, 12) for seed in range(50)]
        kinds = {fault.kind for item in drawn for fault in item.faults}
        overlapping = sum(
            any(
                one is not other and one.at <= other.at < one.ends
                for other in item.faults
            )
            for item in drawn
            for one in item.faults
        )

        self.assertEqual(set(schedules.Kind), kinds)
        count = sum(len(item.faults) for item in drawn)
        self.assertGreater(overlapping, count / 2)

    def test_a_schedule_comes_back_from_its_text(self):
        drawn = schedules.draw(7, 12)

        again = schedules.Schedule.from_json(drawn.to_json())

        self.assertEqual(drawn, again)

    def test_text_that_is_no_schedule_is_refused(self):
        for text in (
            "",
            "{}",
            "[]",
            '{"seed": 1, "seconds": 2, "faults": [1]}',
        ):
            with self.subTest(text), self.assertRaises(ValueError):
                schedules.Schedule.from_json(text)

    def test_the_shrinker_leaves_what_makes_it_red(self):
        """Red only with both of two faults among many."""
        drawn = schedules.draw(7, 30)
        wanted = {drawn.faults[2], drawn.faults[-1]}

        async def is_red(schedule):
            return wanted <= set(schedule.faults)

        smallest = asyncio.run(schedules.shrink(drawn, is_red))

        self.assertEqual(
            dataclasses.replace(
                drawn, faults=(drawn.faults[2], drawn.faults[-1])
            ),
            smallest,
        )
