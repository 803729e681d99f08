"""Planning a submission: merging and refusing."""

import datetime
import unittest

from endivewind.config import planning
from endivewind.config import store

A = store.Key(store.SERVICE, "a")
B = store.Key(store.SERVICE, "b")
NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


def _write(spec, current=None, operation="op"):
    """What the platform holds after a submission of a spec."""
    held = current or planning.Current()
    step = planning.Step(A, planning.Action.WRITE, spec, held)
    envelope = planning.envelope(step, operation, "ana", NOW)
    return planning.Current(held.platform_version + 1, envelope)


class PlanTest(unittest.TestCase):
    def _actions(self, *arguments):
        steps = planning.plan(*arguments)
        return {step.key.name: step.action.value for step in steps}

    def test_a_file_that_is_behind_does_not_revert_another_operator(self):
        """Two operators edit the same file and submit one after the other.

        The second one's file still holds the first one's object as it was.
        Written as it stands it would take the first change back.
        """
        first = _write({"slots": 3})
        changed = _write({"slots": 9}, first)

        found = self._actions({A: {"slots": 3}, B: {"slots": 5}}, {A: changed})

        self.assertEqual({"a": "kept", "b": "write"}, found)

    def test_the_base_tells_who_has_changed_what(self):
        base = {A: {"slots": 3}, B: {"slots": 3}}
        theirs = {A: _write({"slots": 9}), B: _write({"slots": 3})}

        mine = {A: {"slots": 3}, B: {"slots": 5}}
        self.assertEqual(
            {"a": "kept", "b": "write"}, self._actions(mine, theirs, base)
        )

        both = {A: {"slots": 4}, B: {"slots": 3}}
        self.assertEqual(
            {"a": "refused", "b": "same"}, self._actions(both, theirs, base)
        )

    def test_a_refusal_shows_both_changes(self):
        base = {A: {"slots": 3, "floor": 1}}
        theirs = {A: _write({"slots": 9, "floor": 1})}

        (step,) = planning.plan({A: {"slots": 4, "floor": 1}}, theirs, base)

        self.assertEqual(["slots: 3 -> 9"], [str(i) for i in step.theirs])
        self.assertEqual(["slots: 9 -> 4"], [str(i) for i in step.differences])

    def test_what_is_only_in_the_base_is_removed(self):
        base = {A: {"slots": 3}}

        (step,) = planning.plan({}, {A: _write({"slots": 3})}, base)

        self.assertEqual(planning.Action.WRITE, step.action)
        self.assertIsNone(step.spec)

    def test_without_a_base_what_is_not_named_is_left_alone(self):
        held = {A: _write({"slots": 3})}

        self.assertEqual({"b": "write"}, self._actions({B: {}}, held))

    def test_versions_grow_also_with_a_clock_that_is_behind(self):
        held = _write({"slots": 3})
        later = planning.Step(A, planning.Action.WRITE, {"slots": 4}, held)

        early = NOW - datetime.timedelta(days=400)
        envelope = planning.envelope(later, "op", "ana", early)

        self.assertEqual(held.version + 1, envelope.version)

    def test_a_change_back_is_possible_after_it_was_written_anew(self):
        held = _write({"slots": 3})
        held = _write({"slots": 9}, held)
        held = _write({"slots": 3}, held)

        self.assertEqual(
            {"a": "write"}, self._actions({A: {"slots": 5}}, {A: held})
        )
        self.assertEqual(
            {"a": "same"}, self._actions({A: {"slots": 3}}, {A: held})
        )

    def test_a_race_over_the_same_object_is_refused(self):
        read = _write({"slots": 3})
        step = planning.Step(A, planning.Action.WRITE, {"slots": 4}, read)

        again = planning.replan(step, _write({"slots": 9}, read))

        self.assertIs(planning.Action.REFUSED, again.action)

    def test_differences_name_the_path_in_lists(self):
        before = {"routes": [{"prefix": "/a"}]}
        after = {"routes": [{"prefix": "/b"}, {"prefix": "/c"}]}

        found = [str(i) for i in planning.differences(before, after)]

        self.assertEqual(
            [
                "routes[0].prefix: '/a' -> '/b'",
                "routes[1]: None -> {'prefix': '/c'}",
            ],
            found,
        )
