"""Tests of what is accepted as a change or a state of another node."""

import unittest

from endivewind.nodes import changes
from endivewind.nodes import codec
from endivewind.nodes import gossip_frames
from endivewind.nodes import gossip_messages
from endivewind.nodes import view
from endivewind.targets import records
from endivewind.tests import samples

INVALID_SLOTS = (0, -1, None)


class SlotsTest(unittest.TestCase):
    """Placement divides by the number of slots of a target."""

    def test_change_of_a_target_without_slots_is_refused(self):
        """Each choice among the targets of its service would fail."""
        for slots in INVALID_SLOTS:
            struct = self._struct(slots)
            with self.subTest(slots=slots), self.assertRaises(codec.FrameError):
                changes.decode(changes.write_struct(struct))

    def test_departure_of_a_target_without_slots_is_accepted(self):
        """The target would stay in use."""
        struct = self._struct(0)
        struct.target.gone = True

        change = changes.decode(changes.write_struct(struct))

        self.assertIsInstance(change, records.TargetChange)

    def test_state_omits_targets_without_slots(self):
        """One faulty target must not cost a starting node the whole state."""
        for slots in (0, -1):
            state = gossip_messages.StatePart(
                "node-a",
                (),
                (
                    view.HomeState(
                        "node-a",
                        view.HomeVersion(1, 2),
                        (
                            samples.make_target_record("t1", slots=slots),
                            samples.make_target_record("t2"),
                        ),
                    ),
                ),
            )
            frame = gossip_frames.encode_message(state)

            decoded = gossip_frames.decode_message(frame)

            (home,) = decoded.homes
            with self.subTest(slots=slots):
                self.assertEqual(["t2"], [item.id for item in home.targets])

    def _struct(self, slots):
        record = samples.make_target_record("t1", slots=slots)
        struct = codec.messages.Change(target=changes.encode_target(record))
        struct.target.home = record.home
        struct.target.home_incarnation = record.home_incarnation
        return struct


if __name__ == "__main__":
    unittest.main()
