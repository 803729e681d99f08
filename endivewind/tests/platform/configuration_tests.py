"""Tests of decoding the operators' configuration into a document."""

import copy
import unittest

from endivewind.config import caller_keys
from endivewind.config import objects
from endivewind.config import store
from endivewind.platform import configuration
from endivewind.platform import messages

OPERATOR_CONFIGURATION = {
    "version": "0000000c",
    "base_version": "0000000b",
    "resources": [
        {
            "resource_type": "routes",
            "metadata": {"name": "r-1"},
            "spec": {
                "host": "shop.example",
                "path_prefix": "/orders/",
                "route_type": "unsafe",
                "timeout_s": 2,
                "target_latency_s": 0.8,
                "priority": 1,
                "service": "riders",
                "max_attempts": 2,
            },
        },
        {
            "resource_type": "routes",
            "metadata": {"name": "r-2"},
            "spec": {
                "host": "shop.example",
                "path_prefix": "/views/",
                "route_type": "safe",
                "timeout_s": 1.5,
                "target_latency_s": 1,
                "priority": 2,
                "traffic_split": [
                    {"service": "riders", "weight": 90},
                    {"service": "venues", "weight": 10},
                ],
            },
        },
        {
            "resource_type": "services",
            "metadata": {"name": "riders"},
            "spec": {"health_path": "/health", "max_connections": 390},
        },
        {
            "resource_type": "limits",
            "metadata": {},
            "spec": {
                "max_header_bytes": 16384,
                "max_body_bytes": 1000,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
            },
        },
    ],
}
KEY = "gjqnirth5mgjy5rcpihh"
OTHER_KEY = "acruddedev3nax7u27gx"
DEFAULTS = objects.Service(floor_percent=70, retry_percent=15)


def _decode(value):
    stored = messages.StoredObject(
        kind="config", name="main", version=530, value=value
    )
    return configuration.decode(stored, DEFAULTS)


class DecodeTest(unittest.TestCase):
    """The decoded document can be applied and holds the operators' values."""

    def setUp(self):
        self.store = store.ConfigurationStore()

    def _apply(self, value):
        decoded = _decode(value).ok
        applied = self.store.apply(
            decoded.kind, decoded.name, decoded.version, decoded.value
        )
        self.assertTrue(applied.is_ok(), applied)
        return self.store.document("main")

    def test_routes_services_and_limits(self):
        document = self._apply(OPERATOR_CONFIGURATION)
        orders, views = document.routes

        self.assertIs(objects.RepeatPolicy.NEVER, orders.repeat)
        self.assertIs(objects.RepeatPolicy.ALWAYS, views.repeat)
        self.assertEqual(
            (2000, 800, 1, 2),
            (orders.timeout_ms, orders.aim_ms, orders.rank, orders.attempts),
        )
        self.assertEqual(
            [("riders", 90), ("venues", 10)],
            [(share.service, share.weight) for share in views.split],
        )
        self.assertEqual(15_000, document.limits.idle_timeout_ms)
        service = self.store.service("riders")
        self.assertEqual(
            (390, 70, 15),
            (
                service.max_connections,
                service.floor_percent,
                service.retry_percent,
            ),
        )

    def test_a_download_is_idempotent_whatever_its_method(self):
        """A download is a read; other routes keep their own policy."""
        changed = copy.deepcopy(OPERATOR_CONFIGURATION)
        changed["resources"][1]["spec"]["route_type"] = "download"

        orders, downloads = self._apply(changed).routes

        self.assertIs(objects.RepeatPolicy.NEVER, orders.repeat)
        self.assertIs(objects.RepeatPolicy.ALWAYS, downloads.repeat)

    def test_an_older_version_of_the_operators_is_not_applied(self):
        """An older object arrives late, at a higher revision of the store."""
        self._apply(OPERATOR_CONFIGURATION)
        older = copy.deepcopy(OPERATOR_CONFIGURATION)
        older["version"] = "0000000a"
        older["resources"] = []
        decoded = _decode(older).ok

        self.store.apply("document", "main", 531, decoded.value)

        self.assertEqual(12, self.store.version)
        self.assertEqual(2, len(self.store.document("main").routes))

    def test_an_unknown_resource_type_is_ignored(self):
        later = copy.deepcopy(OPERATOR_CONFIGURATION)
        later["resources"].append({"resource_type": "quotas", "spec": {"a": 1}})

        self.assertEqual(2, len(self._apply(later).routes))

    def test_times_that_are_not_finite_are_invalid(self):
        """Guards against a reader that ends with each configuration."""
        for seconds in (float("inf"), float("-inf"), float("nan")):
            for field in ("timeout_s", "target_latency_s"):
                with self.subTest(field, seconds=seconds):
                    value = copy.deepcopy(OPERATOR_CONFIGURATION)
                    value["resources"][0]["spec"][field] = seconds

                    self.assertTrue(_decode(value).is_error())

    def test_the_error_of_an_invalid_object_names_the_place(self):
        unversioned = copy.deepcopy(OPERATOR_CONFIGURATION)
        del unversioned["version"]
        unrouted = copy.deepcopy(OPERATOR_CONFIGURATION)
        del unrouted["resources"][0]["spec"]["service"]

        self.assertIn("version", _decode(unversioned).error)
        self.assertIn("/orders/", _decode(unrouted).error)
        self.assertTrue(_decode({}).is_error())


class WorkspacesTest(unittest.TestCase):
    """Decoded workspaces hold the digests of their keys, never the keys."""

    def make_configuration(self, **tenants):
        value = copy.deepcopy(OPERATOR_CONFIGURATION)
        for name, spec in tenants.items():
            item = {
                "resource_type": "tenants",
                "metadata": {"name": name},
                "spec": spec,
            }
            value["resources"].append(item)
        return value

    def decode_document(self, value):
        decoded = _decode(value).ok
        return objects.Document.model_validate(decoded.value["spec"])

    def test_a_workspace_with_its_limits_and_keys(self):
        spec = {
            "api_keys": [KEY, OTHER_KEY],
            "priority": 1,
            "rate_per_s": 68,
            "burst": 70,
        }

        document = self.decode_document(self.make_configuration(crew=spec))

        expected = objects.Workspace(firm="crew", rate=68, burst=70, rank=1)
        self.assertEqual({"crew": expected}, document.workspaces)
        keys = {caller_keys.digest(key): "crew" for key in (KEY, OTHER_KEY)}
        self.assertEqual(keys, document.keys)

    def test_the_document_holds_no_key(self):
        """Guards against keys in gossip, logs and operators' output."""
        decoded = _decode(self.make_configuration(crew={"api_keys": [KEY]})).ok

        self.assertNotIn(KEY, repr(decoded))

    def test_a_workspace_without_a_key_is_decoded(self):
        document = self.decode_document(self.make_configuration(crew={}))

        self.assertEqual(0, document.workspaces["crew"].rate)
        self.assertEqual({}, document.keys)

    def test_duplicate_and_invalid_keys_are_rejected_with_their_place(self):
        keys_by_problem = {
            "tenants.venue.api_keys.1: crew has the same key": [OTHER_KEY, KEY],
            "tenants.venue.api_keys.0: a key is empty": [""],
            "tenants.venue.api_keys.0: a key has 5 characters": ["short"],
        }
        for problem, keys in keys_by_problem.items():
            with self.subTest(problem):
                value = self.make_configuration(
                    crew={"api_keys": [KEY]}, venue={"api_keys": keys}
                )

                decoded = _decode(value)

                self.assertIn(problem, decoded.error)
                self.assertNotIn(KEY, decoded.error)

    def test_an_anonymous_route(self):
        value = copy.deepcopy(OPERATOR_CONFIGURATION)
        value["resources"][0]["spec"]["anonymous"] = True

        document = self.decode_document(value)

        self.assertEqual(
            [True, False], [item.anonymous for item in document.routes]
        )
