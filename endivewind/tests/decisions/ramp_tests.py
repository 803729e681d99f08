"""The ramp of a target that has just come or come back."""

import datetime
import unittest

from endivewind.decisions import ramp


class RampsTest(unittest.TestCase):
    """A target returns, and every entry has work for it.

    With all slots at once it would be cold for a full load, and its callers
    would wait for the slowest answers of the service.
    """

    def test_grows_from_one_slot_to_all(self):
        ramps = ramp.Ramps()
        start = datetime.timedelta(seconds=5)
        ramps.begin("a", start)

        seen = [
            ramps.slots("a", 6, start + ramp.SPAN * part / 4)
            for part in range(5)
        ]

        self.assertEqual([1, 1, 3, 4, 6], seen)

    def test_others_keep_their_slots(self):
        ramps = ramp.Ramps()
        ramps.begin("a", datetime.timedelta())

        self.assertEqual(6, ramps.slots("b", 6, datetime.timedelta()))
