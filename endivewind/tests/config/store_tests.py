"""The configuration store: versions, tombstones, refusals, packing."""

import unittest

from endivewind.config import store

RIDERS = store.Key(store.SERVICE, "riders")


def _envelope(slots: int | None, version: int = 0, **extra) -> dict:
    """A value as the platform holds it; slots None is a removal."""
    spec = None if slots is None else {"slots": slots, **extra}
    return {"spec": spec, "operation": f"op-{version}", "version": version}


class ConfigurationStoreTest(unittest.TestCase):
    def setUp(self):
        self.store = store.ConfigurationStore()

    def _apply(self, value, platform_version=1):
        return self.store.apply(*RIDERS, platform_version, value)

    def test_an_older_version_never_replaces_a_newer_one(self):
        self._apply(_envelope(5, version=70), platform_version=9)

        taken = self._apply(_envelope(3, version=60), platform_version=10)

        self.assertEqual(False, taken.ok)
        self.assertEqual(5, self.store.service("riders").slots)

    def test_a_store_that_starts_again_from_one_is_no_older(self):
        """The platform loses its store, then a change is accepted.

        Its counter starts from 1, below what nodes hold. The change must
        come into force: the object's own version orders it, not the counter.
        """
        self._apply(_envelope(3, version=60), platform_version=900)

        taken = self._apply(_envelope(5, version=61), platform_version=1)

        self.assertEqual(True, taken.ok)
        self.assertEqual(5, self.store.service("riders").slots)

    def test_a_tombstone_outlives_a_node_that_was_away(self):
        """A node misses a removal and offers the object afterwards.

        Without a version on the removal the object would come back for
        callers; the tombstone's higher version refuses it.
        """
        self._apply(_envelope(3, version=5))
        self._apply(_envelope(None, version=6))

        taken = self._apply(_envelope(3, version=5))

        self.assertEqual(False, taken.ok)
        self.assertIsNone(self.store.service("riders"))
        self.assertEqual(6, self.store.in_force(RIDERS))

    def test_a_delete_past_submit_changes_nothing(self):
        self._apply(_envelope(3, version=5))

        refused = self._apply({}, platform_version=99)

        self.assertIn("without a tombstone", str(refused.error))
        self.assertEqual(3, self.store.service("riders").slots)

    def test_a_bad_object_is_refused_whole_with_every_place(self):
        self._apply(_envelope(3, version=5))

        refused = self._apply(_envelope(0, version=6, timeout_ms=1))

        self.assertIn("slots: ", str(refused.error))
        self.assertIn("timeout_ms: ", str(refused.error))
        self.assertEqual(3, self.store.service("riders").slots)
        self.assertEqual(5, self.store.in_force(RIDERS))

    def test_an_object_of_a_newer_release_is_kept_for_spreading(self):
        """A newer release adds a field that this node does not know.

        The node refuses it for itself, but nodes of the newer release may
        hear of it only through this one, so the raw value must be kept.
        """
        value = _envelope(3, version=6, new_field="x")

        refused = self._apply(value)

        self.assertTrue(refused.error.kept)
        self.assertEqual(value, self.store.value(RIDERS))
        self.assertEqual(6, self.store.stamp(RIDERS).version)

    def test_a_good_object_after_a_refused_one_comes_into_force(self):
        self._apply(_envelope(0, version=6))

        taken = self._apply(_envelope(4, version=7))

        self.assertEqual(True, taken.ok)
        self.assertEqual(7, self.store.in_force(RIDERS))

    def test_two_values_of_one_version_end_the_same_in_any_order(self):
        other = store.ConfigurationStore()
        values = [_envelope(3, version=6), _envelope(4, version=6)]
        for value in values:
            self._apply(value)
        for value in reversed(values):
            other.apply(*RIDERS, 1, value)

        self.assertEqual(other.stamp(RIDERS), self.store.stamp(RIDERS))
        self.assertEqual(other.buckets, self.store.buckets)

    def test_values_that_are_no_envelope_are_not_kept(self):
        cases = (
            ("no-operation", {"spec": {}}),
            ("spec-not-a-map", {"spec": 3, "operation": "x"}),
            ("version-out-of-range", _envelope(3) | {"version": 2**63}),
            ("version-not-a-number", _envelope(3) | {"version": "x"}),
        )
        for name, value in cases:
            with self.subTest(name):
                self.assertTrue(self._apply(value).is_error())
                self.assertEqual(store.ABSENT, self.store.stamp(RIDERS))

    def test_an_unknown_kind_is_refused(self):
        refused = self.store.apply("wallet", "a", 1, _envelope(3))

        self.assertIn("unknown kind", str(refused.error))

    def test_a_packed_value_that_is_too_long_or_garbage_is_refused(self):
        bomb = store.zlib.compress(b" " * (4 * store.MAX_VALUE_BYTES))
        for name, packed in (("garbage", b"x"), ("bomb", bomb)):
            with self.subTest(name):
                refused = self.store.apply_packed(RIDERS, 1, packed)
                self.assertIn("unpacked", str(refused.error))

    def test_a_packed_value_arrives_as_it_was(self):
        self._apply(_envelope(3, version=6))
        other = store.ConfigurationStore()

        other.apply_packed(RIDERS, 6, self.store.packed(RIDERS))

        self.assertEqual(self.store.buckets, other.buckets)
        self.assertEqual(3, other.service("riders").slots)

    def test_equal_workspaces_share_one_instance(self):
        spec = {
            "workspaces": {
                "a": {"firm": "camerino"},
                "b": {"firm": "camerino"},
            }
        }
        value = {"spec": spec, "operation": "x", "version": 1}

        self.store.apply(store.WORKSPACE_SHARD, "s", 1, value)

        (shard,) = self.store.workspace_shards()
        self.assertIs(shard.workspaces["a"], shard.workspaces["b"])
