"""Tests of planning a submission: merges and refusals."""

import datetime
import unittest

from endivewind.config import planning
from endivewind.config import store

A = store.Key(store.SERVICE, "a")
B = store.Key(store.SERVICE, "b")
NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


def _submit(spec, current=None, operation="op"):
    """Returns the object on the platform after submitting a spec."""
    stored = current or planning.CurrentObject()
    step = planning.PlanStep(A, planning.Action.WRITE, spec, stored)
    envelope = planning.make_envelope(step, operation, "ana", NOW)
    return planning.CurrentObject(stored.platform_version + 1, envelope)


class PlanTest(unittest.TestCase):
    def _actions(self, *arguments):
        steps = planning.plan(*arguments)
        return {step.key.name: step.action.value for step in steps}

    def test_outdated_file_does_not_revert_another_operator(self):
        """An outdated file must not revert another operator's change.

        Two operators edit the same file and submit one after the other. The
        second file still contains the object that the first has changed.
        """
        first = _submit({"slots": 3})
        changed = _submit({"slots": 9}, first)

        found = self._actions({A: {"slots": 3}, B: {"slots": 5}}, {A: changed})

        self.assertEqual({"a": "kept", "b": "write"}, found)

    def test_base_shows_which_operator_changed_what(self):
        base = {A: {"slots": 3}, B: {"slots": 3}}
        theirs = {A: _submit({"slots": 9}), B: _submit({"slots": 3})}

        mine = {A: {"slots": 3}, B: {"slots": 5}}
        self.assertEqual(
            {"a": "kept", "b": "write"}, self._actions(mine, theirs, base)
        )

        both = {A: {"slots": 4}, B: {"slots": 3}}
        self.assertEqual(
            {"a": "refused", "b": "same"}, self._actions(both, theirs, base)
        )

    def test_refusal_shows_both_changes(self):
        base = {A: {"slots": 3, "floor": 1}}
        theirs = {A: _submit({"slots": 9, "floor": 1})}

        (step,) = planning.plan({A: {"slots": 4, "floor": 1}}, theirs, base)

        self.assertEqual(["slots: 3 -> 9"], [str(i) for i in step.theirs])
        self.assertEqual(["slots: 9 -> 4"], [str(i) for i in step.differences])

    def test_object_only_in_the_base_is_removed(self):
        base = {A: {"slots": 3}}

        (step,) = planning.plan({}, {A: _submit({"slots": 3})}, base)

        self.assertEqual(planning.Action.WRITE, step.action)
        self.assertIsNone(step.spec)

    def test_without_a_base_missing_objects_are_not_removed(self):
        stored = {A: _submit({"slots": 3})}

        self.assertEqual({"b": "write"}, self._actions({B: {}}, stored))

    def test_versions_grow_even_if_the_clock_is_behind(self):
        stored = _submit({"slots": 3})
        later = planning.PlanStep(
            A, planning.Action.WRITE, {"slots": 4}, stored
        )

        early = NOW - datetime.timedelta(days=400)
        envelope = planning.make_envelope(later, "op", "ana", early)

        self.assertEqual(stored.version + 1, envelope.version)

    def test_spec_can_be_restored_and_changed_again(self):
        stored = _submit({"slots": 3})
        stored = _submit({"slots": 9}, stored)
        stored = _submit({"slots": 3}, stored)

        self.assertEqual(
            {"a": "write"}, self._actions({A: {"slots": 5}}, {A: stored})
        )
        self.assertEqual(
            {"a": "same"}, self._actions({A: {"slots": 3}}, {A: stored})
        )

    def test_concurrent_change_of_the_same_object_is_refused(self):
        read = _submit({"slots": 3})
        step = planning.PlanStep(A, planning.Action.WRITE, {"slots": 4}, read)

        again = planning.replan(step, _submit({"slots": 9}, read))

        self.assertIs(planning.Action.REFUSED, again.action)

    def test_differences_contain_the_path_in_lists(self):
        before = {"routes": [{"prefix": "/a"}]}
        after = {"routes": [{"prefix": "/b"}, {"prefix": "/c"}]}

        found = [str(i) for i in planning.find_differences(before, after)]

        self.assertEqual(
            [
                "routes[0].prefix: '/a' -> '/b'",
                "routes[1]: None -> {'prefix': '/c'}",
            ],
            found,
        )
