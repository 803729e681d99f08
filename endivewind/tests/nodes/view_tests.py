"""Tests of the fleet view with delayed, duplicate and reordered changes."""

import unittest

from endivewind.nodes import view
from endivewind.targets import records


def _record(home, sequence, target="t1", moves=0, health="normal"):
    return records.TargetRecord(
        id=target,
        service="riders",
        home=home,
        home_incarnation=1,
        sequence=sequence,
        region="",
        zone="",
        slots=3,
        weight=1,
        state=records.State.READY,
        health=records.EjectionStatus(health),
        target_incarnation=1,
        moves=moves,
    )


def _change(*arguments, is_removal=False, **fields):
    return records.TargetChange(_record(*arguments, **fields), is_removal)


class FleetViewTest(unittest.TestCase):
    """A view with two home nodes, a and b."""

    def setUp(self):
        self.view = view.FleetView()
        for name in ("a", "b"):
            self.view.put_node(
                view.NodeRecord(name, 1, f"{name}:1", "andina", "andina-a")
            )

    def _homes_by_target(self):
        return {
            name: record.home
            for name, record in self.view.targets("riders").items()
        }

    def test_delayed_copy_does_not_restore_a_removed_target(self):
        """Guards against requests to a target that has departed.

        A copy of the announcement is delayed and arrives after the removal.
        """
        self.view.put_change(_change("a", 1))
        self.view.put_change(_change("a", 2, is_removal=True))
        self.assertFalse(self.view.put_change(_change("a", 1)))
        self.assertEqual({}, self._homes_by_target())

    def test_order_of_arrival_does_not_matter(self):
        self.view.put_change(_change("a", 3, is_removal=True))
        self.assertTrue(self.view.put_change(_change("a", 1)))
        self.view.put_change(_change("a", 2, health="ejected"))
        self.assertEqual({}, self._homes_by_target())
        self.assertEqual(3, self.view.home_version("a").sequence)

    def test_announcement_with_more_moves_wins_in_any_order(self):
        """Requests for a moved target go to its new home only."""
        for first, second in (("a", "b"), ("b", "a")):
            moves = {"a": 1, "b": 2}
            self.setUp()
            self.view.put_change(_change(first, 1, moves=moves[first]))
            self.view.put_change(_change(second, 1, moves=moves[second]))
            self.assertEqual({"t1": "b"}, self._homes_by_target())

    def test_earlier_home_is_used_again_when_the_later_one_removes(self):
        self.view.put_change(_change("a", 1, moves=1))
        self.view.put_change(_change("b", 1, moves=2))
        self.view.put_change(_change("b", 2, moves=2, is_removal=True))
        self.assertEqual({"t1": "a"}, self._homes_by_target())

    def test_targets_of_a_dead_home_are_unusable_until_it_is_back(self):
        self.view.put_change(_change("a", 1))
        record = self.view.nodes["a"]
        self.view.remove_node("a")
        self.assertEqual({}, self._homes_by_target())
        self.view.put_node(record)
        self.assertEqual({"t1": "a"}, self._homes_by_target())

    def test_new_incarnation_of_a_home_has_no_targets(self):
        self.view.put_change(_change("a", 1))
        self.view.put_node(view.NodeRecord("a", 2, "a:1", "andina", "andina-a"))
        self.assertEqual({}, self._homes_by_target())

    def test_targets_are_unusable_until_their_home_is_known(self):
        self.view.put_change(_change("c", 1))
        self.assertEqual({}, self._homes_by_target())
        self.view.put_node(view.NodeRecord("c", 1, "c:1", "caribe", "caribe-a"))
        self.assertEqual("caribe", self.view.find_target("t1").region)

    def test_whole_state_replaces_older_changes(self):
        self.view.put_change(_change("a", 1, target="t1"))
        self.view.put_change(_change("a", 4, target="t4"))
        self.view.put_home_state("a", 1, 3, [_record("a", 2, target="t2")])
        self.assertEqual({"t2": "a", "t4": "a"}, self._homes_by_target())
        self.assertEqual(4, self.view.home_version("a").sequence)


if __name__ == "__main__":
    unittest.main()
