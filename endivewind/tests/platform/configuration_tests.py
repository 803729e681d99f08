"""The operator's configuration, decoded into the project's document."""

import copy
import unittest

from endivewind.config import caller_keys
from endivewind.config import objects
from endivewind.config import store
from endivewind.platform import configuration
from endivewind.platform import messages

GIVEN = {
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
    """What the operator writes is in force in the project's own words."""

    def setUp(self):
        self.store = store.ConfigurationStore()

    def _take(self, value):
        decoded = _decode(value).ok
        taken = self.store.apply(
            decoded.kind, decoded.name, decoded.version, decoded.value
        )
        self.assertTrue(taken.is_ok(), taken)
        return self.store.document("main")

    def test_routes_services_and_limits(self):
        document = self._take(GIVEN)
        orders, views = document.routes

        self.assertIs(objects.Repeat.NEVER, orders.repeat)
        self.assertIs(objects.Repeat.ALWAYS, views.repeat)
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

    def test_a_download_may_run_again_whatever_its_method(self):
        """Only its answer is large; an order stays what runs once."""
        given = copy.deepcopy(GIVEN)
        given["resources"][1]["spec"]["route_type"] = "download"

        orders, downloads = self._take(given).routes

        self.assertIs(objects.Repeat.NEVER, orders.repeat)
        self.assertIs(objects.Repeat.ALWAYS, downloads.repeat)

    def test_the_operators_version_orders_and_never_goes_back(self):
        """An older object arrives late, at a higher revision of the store."""
        self._take(GIVEN)
        older = copy.deepcopy(GIVEN)
        older["version"] = "0000000a"
        older["resources"] = []
        decoded = _decode(older).ok

        self.store.apply("document", "main", 531, decoded.value)

        self.assertEqual(12, self.store.version)
        self.assertEqual(2, len(self.store.document("main").routes))

    def test_a_kind_of_resource_that_is_not_known_is_passed_over(self):
        later = copy.deepcopy(GIVEN)
        later["resources"].append({"resource_type": "quotas", "spec": {"a": 1}})

        self.assertEqual(2, len(self._take(later).routes))

    def test_what_cannot_be_read_is_refused_with_its_place(self):
        broken = copy.deepcopy(GIVEN)
        del broken["version"]
        nowhere = copy.deepcopy(GIVEN)
        del nowhere["resources"][0]["spec"]["service"]

        self.assertIn("version", _decode(broken).error)
        self.assertIn("/orders/", _decode(nowhere).error)
        self.assertTrue(_decode({}).is_error())


class WorkspacesTest(unittest.TestCase):
    """Workspaces come with digests of their keys; no key is passed on."""

    def given(self, **tenants):
        value = copy.deepcopy(GIVEN)
        for name, spec in tenants.items():
            item = {
                "resource_type": "tenants",
                "metadata": {"name": name},
                "spec": spec,
            }
            value["resources"].append(item)
        return value

    def document(self, value):
        decoded = _decode(value).ok
        return objects.Document.model_validate(decoded.value["spec"])

    def test_a_workspace_with_its_limits_and_keys(self):
        spec = {
            "api_keys": [KEY, OTHER_KEY],
            "priority": 1,
            "rate_per_s": 68,
            "burst": 70,
        }

        found = self.document(self.given(crew=spec))

        expected = objects.Workspace(firm="crew", rate=68, burst=70, rank=1)
        self.assertEqual({"crew": expected}, found.workspaces)
        held = {caller_keys.digest(key): "crew" for key in (KEY, OTHER_KEY)}
        self.assertEqual(held, found.keys)

    def test_no_key_is_passed_on(self):
        """Guards against keys in gossip, logs and what operators are shown."""
        decoded = _decode(self.given(crew={"api_keys": [KEY]})).ok

        self.assertNotIn(KEY, repr(decoded))

    def test_a_workspace_without_a_key_is_kept(self):
        found = self.document(self.given(crew={}))

        self.assertEqual(0, found.workspaces["crew"].rate)
        self.assertEqual({}, found.keys)

    def test_keys_that_can_not_be_told_apart_are_refused_with_their_place(self):
        given = {
            "tenants.venue.api_keys.1: crew holds it": [OTHER_KEY, KEY],
            "tenants.venue.api_keys.0: a key is empty": [""],
            "tenants.venue.api_keys.0: a key has 5 characters": ["short"],
        }
        for problem, keys in given.items():
            with self.subTest(problem):
                value = self.given(
                    crew={"api_keys": [KEY]}, venue={"api_keys": keys}
                )

                found = _decode(value)

                self.assertIn(problem, found.error)
                self.assertNotIn(KEY, found.error)

    def test_an_anonymous_route(self):
        value = copy.deepcopy(GIVEN)
        value["resources"][0]["spec"]["anonymous"] = True

        found = self.document(value)

        self.assertEqual(
            [True, False], [item.anonymous for item in found.routes]
        )
