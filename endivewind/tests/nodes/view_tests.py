"""The fleet view under changes that come late, twice and out of order."""

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
        health=records.Health(health),
        target_incarnation=1,
        moves=moves,
    )


def _change(*arguments, gone=False, **fields):
    return records.TargetChange(_record(*arguments, **fields), gone)


class FleetViewTest(unittest.TestCase):
    """Two homes, a and b."""

    def setUp(self):
        self.view = view.FleetView()
        for name in ("a", "b"):
            self.view.put_node(
                view.NodeRecord(name, 1, f"{name}:1", "andina", "andina-a")
            )

    def _homes(self):
        return {
            name: record.home
            for name, record in self.view.targets("riders").items()
        }

    def test_late_copy_brings_no_withdrawn_target_back(self):
        """Callers are not sent to a target that has left.

        The withdrawal arrives; a copy of the announcement before it was held
        up on the way and comes last.
        """
        self.view.put_change(_change("a", 1))
        self.view.put_change(_change("a", 2, gone=True))
        self.assertFalse(self.view.put_change(_change("a", 1)))
        self.assertEqual({}, self._homes())

    def test_order_of_arrival_does_not_matter(self):
        self.view.put_change(_change("a", 3, gone=True))
        self.assertTrue(self.view.put_change(_change("a", 1)))
        self.view.put_change(_change("a", 2, health="ejected"))
        self.assertEqual({}, self._homes())
        self.assertEqual(3, self.view.home_version("a").sequence)

    def test_later_announcement_wins_whatever_comes_first(self):
        """A moved target's work goes to its new home alone."""
        for first, second in (("a", "b"), ("b", "a")):
            moves = {"a": 1, "b": 2}
            self.setUp()
            self.view.put_change(_change(first, 1, moves=moves[first]))
            self.view.put_change(_change(second, 1, moves=moves[second]))
            self.assertEqual({"t1": "b"}, self._homes())

    def test_earlier_home_counts_again_when_the_later_lets_go(self):
        self.view.put_change(_change("a", 1, moves=1))
        self.view.put_change(_change("b", 1, moves=2))
        self.view.put_change(_change("b", 2, moves=2, gone=True))
        self.assertEqual({"t1": "a"}, self._homes())

    def test_dead_home_loses_its_targets_and_has_them_back(self):
        self.view.put_change(_change("a", 1))
        record = self.view.nodes["a"]
        self.view.remove_node("a")
        self.assertEqual({}, self._homes())
        self.view.put_node(record)
        self.assertEqual({"t1": "a"}, self._homes())

    def test_later_start_of_a_home_begins_with_nothing(self):
        self.view.put_change(_change("a", 1))
        self.view.put_node(view.NodeRecord("a", 2, "a:1", "andina", "andina-a"))
        self.assertEqual({}, self._homes())

    def test_targets_wait_for_their_home_to_be_known(self):
        self.view.put_change(_change("c", 1))
        self.assertEqual({}, self._homes())
        self.view.put_node(view.NodeRecord("c", 1, "c:1", "caribe", "caribe-a"))
        self.assertEqual("caribe", self.view.claim("t1").region)

    def test_whole_state_replaces_what_is_older(self):
        self.view.put_change(_change("a", 1, target="t1"))
        self.view.put_change(_change("a", 4, target="t4"))
        self.view.put_home("a", 1, 3, [_record("a", 2, target="t2")])
        self.assertEqual({"t2": "a", "t4": "a"}, self._homes())
        self.assertEqual(4, self.view.home_version("a").sequence)


if __name__ == "__main__":
    unittest.main()
