"""Tests of schedules: generation from a seed, JSON, and shrinking."""

import asyncio
import dataclasses
import unittest

from endivewind.soak import schedules


class SchedulesTest(unittest.TestCase):
    def test_seed_determines_schedule(self):
        first = schedules.generate(7, 12)

        self.assertEqual(first, schedules.generate(7, 12))
        self.assertNotEqual(first.faults, schedules.generate(8, 12).faults)

    def test_all_kinds_occur_and_most_faults_overlap(self):
        generated = [schedules.generate(seed, 12) for seed in range(50)]
        kinds = {fault.kind for item in generated for fault in item.faults}
        overlapping = sum(
            any(
                fault_a is not other
                and fault_a.at <= other.at < fault_a.ends_at
                for other in item.faults
            )
            for item in generated
            for fault_a in item.faults
        )

        self.assertEqual(set(schedules.FaultKind), kinds)
        count = sum(len(item.faults) for item in generated)
        self.assertGreater(overlapping, count / 2)

    def test_json_round_trip(self):
        for has_local_targets in (False, True):
            generated = dataclasses.replace(
                schedules.generate(7, 12), has_local_targets=has_local_targets
            )

            parsed = schedules.Schedule.from_json(generated.to_json())

            self.assertEqual(generated, parsed)

    def test_schedule_without_kind_of_targets_has_shared_ones(self):
        """A schedule kept from a red run replays on the fleet it ran on."""
        text = '{"seed": 1, "seconds": 2, "faults": []}'

        self.assertEqual(
            schedules.Schedule(1, 2.0, ()), schedules.Schedule.from_json(text)
        )

    def test_some_schedules_have_local_targets(self):
        count = sum(
            schedules.generate(seed, 12).has_local_targets for seed in range(50)
        )

        self.assertTrue(10 < count < 40, count)

    def test_invalid_text_is_rejected(self):
        for text in (
            "",
            "{}",
            "[]",
            '{"seed": 1, "seconds": 2, "faults": [1]}',
        ):
            with self.subTest(text), self.assertRaises(ValueError):
                schedules.Schedule.from_json(text)

    def test_shrinking_keeps_faults_that_fail(self):
        """The run fails only with both of two faults among many."""
        generated = schedules.generate(7, 30)
        wanted = {generated.faults[2], generated.faults[-1]}

        async def run_fails(schedule):
            return wanted <= set(schedule.faults)

        smallest = asyncio.run(schedules.shrink(generated, run_fails))

        self.assertEqual(
            dataclasses.replace(
                generated, faults=(generated.faults[2], generated.faults[-1])
            ),
            smallest,
        )
