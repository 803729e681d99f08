"""Tests of the store: versions, tombstones, rejections, compression."""

import unittest

from endivewind.config import store

RIDERS = store.Key(store.SERVICE, "riders")


def _envelope(slots: int | None, version: int = 0, **extra) -> dict:
    """Returns a platform value; a tombstone if slots is None."""
    spec = None if slots is None else {"slots": slots, **extra}
    return {"spec": spec, "operation": f"op-{version}", "version": version}


class ConfigurationStoreTest(unittest.TestCase):
    def setUp(self):
        self.store = store.ConfigurationStore()

    def _apply(self, value, platform_version=1):
        return self.store.apply(*RIDERS, platform_version, value)

    def test_older_version_never_replaces_a_newer_one(self):
        self._apply(_envelope(5, version=70), platform_version=9)

        applied = self._apply(_envelope(3, version=60), platform_version=10)

        self.assertEqual(False, applied.ok)
        self.assertEqual(5, self.store.service("riders").slots)

    def test_restarted_platform_counter_does_not_make_objects_older(self):
        """The platform loses its store and accepts a change afterwards.

        Its counter restarts from 1, below the versions that nodes hold. The
        change must come into force because the envelope's version counts.
        """
        self._apply(_envelope(3, version=60), platform_version=900)

        applied = self._apply(_envelope(5, version=61), platform_version=1)

        self.assertEqual(True, applied.ok)
        self.assertEqual(5, self.store.service("riders").slots)

    def test_tombstone_prevents_return_of_a_removed_object(self):
        """A node misses a removal and sends the object afterwards.

        The tombstone's higher version must keep the object from coming back.
        """
        self._apply(_envelope(3, version=5))
        self._apply(_envelope(None, version=6))

        applied = self._apply(_envelope(3, version=5))

        self.assertEqual(False, applied.ok)
        self.assertIsNone(self.store.service("riders"))
        self.assertEqual(6, self.store.version_in_force(RIDERS))

    def test_deletion_without_submit_changes_nothing(self):
        self._apply(_envelope(3, version=5))

        rejected = self._apply({}, platform_version=99)

        self.assertIn("without a tombstone", str(rejected.error))
        self.assertEqual(3, self.store.service("riders").slots)

    def test_invalid_object_is_rejected_with_all_locations(self):
        self._apply(_envelope(3, version=5))

        rejected = self._apply(_envelope(0, version=6, timeout_ms=1))

        self.assertIn("slots: ", str(rejected.error))
        self.assertIn("timeout_ms: ", str(rejected.error))
        self.assertEqual(3, self.store.service("riders").slots)
        self.assertEqual(5, self.store.version_in_force(RIDERS))

    def test_object_of_a_newer_release_is_stored_for_replication(self):
        """A newer release adds a field that this node does not know.

        The node rejects the object for itself, but nodes of the newer release
        may receive it only through this one, so it must store the raw value.
        """
        value = _envelope(3, version=6, new_field="x")

        rejected = self._apply(value)

        self.assertTrue(rejected.error.is_retained)
        self.assertEqual(value, self.store.value(RIDERS))
        self.assertEqual(6, self.store.stamp(RIDERS).version)

    def test_valid_object_after_a_rejected_one_comes_into_force(self):
        self._apply(_envelope(0, version=6))

        applied = self._apply(_envelope(4, version=7))

        self.assertEqual(True, applied.ok)
        self.assertEqual(7, self.store.version_in_force(RIDERS))

    def test_two_values_of_one_version_converge_in_any_order(self):
        other = store.ConfigurationStore()
        values = [_envelope(3, version=6), _envelope(4, version=6)]
        for value in values:
            self._apply(value)
        for value in reversed(values):
            other.apply(*RIDERS, 1, value)

        self.assertEqual(other.stamp(RIDERS), self.store.stamp(RIDERS))
        self.assertEqual(other.bucket_hashes, self.store.bucket_hashes)

    def test_invalid_envelopes_are_not_stored(self):
        cases = (
            ("no-operation", {"spec": {}}),
            ("spec-not-a-map", {"spec": 3, "operation": "x"}),
            ("version-out-of-range", _envelope(3) | {"version": 2**63}),
            ("version-not-a-number", _envelope(3) | {"version": "x"}),
        )
        for name, value in cases:
            with self.subTest(name):
                self.assertTrue(self._apply(value).is_error())
                self.assertEqual(store.ABSENT_STAMP, self.store.stamp(RIDERS))

    def test_unknown_kind_is_rejected(self):
        rejected = self.store.apply("wallet", "a", 1, _envelope(3))

        self.assertIn("unknown kind", str(rejected.error))

    def test_too_large_or_invalid_compressed_value_is_rejected(self):
        bomb = store.zlib.compress(b" " * (4 * store.MAX_VALUE_BYTES))
        for name, packed in (("garbage", b"x"), ("bomb", bomb)):
            with self.subTest(name):
                rejected = self.store.apply_packed(RIDERS, 1, packed)
                self.assertIn("unpacked", str(rejected.error))

    def test_compressed_value_is_restored_unchanged(self):
        self._apply(_envelope(3, version=6))
        other = store.ConfigurationStore()

        other.apply_packed(RIDERS, 6, self.store.packed(RIDERS))

        self.assertEqual(self.store.bucket_hashes, other.bucket_hashes)
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
