"""Tests of the authentication and authorization of callers."""

import asyncio
import types
import unittest
from unittest import mock

from endivewind import exchange
from endivewind.callers import authorization
from endivewind.callers import caller_requests
from endivewind.callers import listener
from endivewind.callers import problems
from endivewind.callers import request_queues
from endivewind.callers import workspaces
from endivewind.config import caller_keys
from endivewind.config import objects
from endivewind.config import settings
from endivewind.config import store
from endivewind.platform import names
from endivewind.standins import virtual_loop

KEY = "gjqnirth5mgjy5rcpihh"
OTHER_KEY = "acruddedev3nax7u27gx"
ROUTE = objects.Route(service="riders")
ANONYMOUS_ROUTE = objects.Route(service="riders", anonymous=True)


def document(version, workspace_by_key, **workspace):
    """Returns a configuration document in which each workspace has one key."""
    workspace.setdefault("firm", "camerino")
    return {
        "operation": f"op-{version}",
        "version": version,
        "spec": {
            "workspaces": dict.fromkeys(workspace_by_key, workspace),
            "keys": {
                caller_keys.digest(key): name
                for name, key in workspace_by_key.items()
            },
        },
    }


class AuthenticationTest(unittest.TestCase):
    """Workspaces are found by the digest of their key."""

    def setUp(self):
        self.store = store.ConfigurationStore()
        self.workspaces = workspaces.Workspaces(self.store)

    def apply_keys(self, version, workspace_by_key):
        configuration = document(version, workspace_by_key)
        self.store.apply(store.DOCUMENT, "main", version, configuration)
        self.workspaces.apply_object(store.DOCUMENT, "main")

    def test_no_key_is_required_before_first_key_exists(self):
        self.assertFalse(self.workspaces.requires_keys)

    def test_key_identifies_workspace(self):
        self.apply_keys(1, {"crew": KEY, "venue": OTHER_KEY})

        self.assertEqual("crew", self.workspaces.authenticate(f"Bearer {KEY}"))
        self.assertEqual(
            "venue", self.workspaces.authenticate(f"bearer  {OTHER_KEY} ")
        )

    def test_invalid_header_identifies_no_workspace(self):
        self.apply_keys(1, {"crew": KEY})

        for header in (
            "",
            "Bearer",
            "Bearer ",
            KEY,
            f"Basic {KEY}",
            "Bearer x",
        ):
            with self.subTest(header):
                self.assertEqual("", self.workspaces.authenticate(header))

    def test_revoked_key_is_invalid(self):
        """Guards against a key that is still valid after it was revoked."""
        self.apply_keys(1, {"crew": KEY, "venue": OTHER_KEY})
        self.apply_keys(2, {"venue": OTHER_KEY})

        self.assertEqual("", self.workspaces.authenticate(f"Bearer {KEY}"))
        self.assertIsNone(self.workspaces.get("crew"))
        self.assertEqual(
            "venue", self.workspaces.authenticate(f"Bearer {OTHER_KEY}")
        )

    def test_key_can_move_to_another_workspace(self):
        self.apply_keys(1, {"crew": KEY, "venue": OTHER_KEY})
        self.apply_keys(2, {"venue": KEY})

        self.assertEqual("venue", self.workspaces.authenticate(f"Bearer {KEY}"))

    def test_keys_are_still_required_after_last_is_revoked(self):
        """Guards against a fleet without authentication."""
        self.apply_keys(1, {"crew": KEY})
        configuration = document(2, {})
        configuration["spec"]["keyed"] = True
        self.store.apply(store.DOCUMENT, "main", 2, configuration)
        self.workspaces.apply_object(store.DOCUMENT, "main")

        self.assertTrue(self.workspaces.requires_keys)
        self.assertEqual("", self.workspaces.authenticate(f"Bearer {KEY}"))

    def test_keys_are_not_stored(self):
        """Guards against keys in memory dumps and logs."""
        self.apply_keys(1, {"crew": KEY})

        self.assertNotIn(KEY, repr(vars(self.workspaces)))
        self.assertNotIn(KEY, repr(self.store.value(("document", "main"))))


class ShardTest(unittest.TestCase):
    """Workspaces and keys are stored in several objects."""

    def setUp(self):
        self.store = store.ConfigurationStore()
        self.workspaces = workspaces.Workspaces(self.store)
        self.version = 0

    def apply_shard(self, name, workspace_by_key, firm="camerino"):
        self.version += 1
        shard = document(self.version, workspace_by_key, firm=firm)
        self.store.apply(store.WORKSPACE_SHARD, name, self.version, shard)
        self.workspaces.apply_object(store.WORKSPACE_SHARD, name)

    def remove_shard(self, name):
        self.version += 1
        tombstone = {
            "operation": "op",
            "version": self.version,
            "spec": None,
        }
        self.store.apply(store.WORKSPACE_SHARD, name, self.version, tombstone)
        self.workspaces.apply_object(store.WORKSPACE_SHARD, name)

    def test_workspace_that_moves_to_another_shard_stays_known(self):
        """Guards against refusals of a workspace whose shard has changed.

        The objects of one submission arrive in any order, and until the second
        has arrived both may have the workspace, or none.
        """
        old, new = ("old", {"venue": OTHER_KEY}), ("new", {"crew": KEY})
        for first, second in ((old, new), (new, old)):
            with self.subTest(first=first[0]):
                self.setUp()
                self.apply_shard("old", {"crew": KEY, "venue": OTHER_KEY})

                self.apply_shard(*first, firm="moved")
                self.apply_shard(*second, firm="moved")

                self.assertEqual("moved", self.workspaces.get("crew").firm)
                self.assertEqual("moved", self.workspaces.get("venue").firm)
                self.assertEqual(
                    "crew", self.workspaces.authenticate(f"Bearer {KEY}")
                )

    def test_key_that_moves_to_a_workspace_of_another_shard_stays_valid(self):
        """Guards against 401 for a key after it was given to a workspace."""
        for order in (("old", "new"), ("new", "old")):
            with self.subTest(order):
                self.setUp()
                self.apply_shard("old", {"crew": KEY})
                self.apply_shard("new", {"venue": OTHER_KEY})
                moved = {"old": {}, "new": {"venue": KEY}}

                for name in order:
                    self.apply_shard(name, moved[name])

                self.assertEqual(
                    "venue", self.workspaces.authenticate(f"Bearer {KEY}")
                )
                self.assertEqual(
                    "", self.workspaces.authenticate(f"Bearer {OTHER_KEY}")
                )

    def test_removed_shard_keeps_what_another_one_has(self):
        """Guards against refusals after the old shard was removed."""
        self.apply_shard("old", {"crew": KEY})
        self.apply_shard("new", {"crew": KEY}, firm="moved")
        self.remove_shard("old")

        self.assertEqual("moved", self.workspaces.get("crew").firm)
        self.assertEqual("crew", self.workspaces.authenticate(f"Bearer {KEY}"))

    def test_change_of_the_old_shard_does_not_outlast_the_move(self):
        """Guards against an outdated quota of a workspace that has moved.

        The old shard is changed once more before the workspace is taken out.
        """
        self.apply_shard("old", {"crew": KEY})
        self.apply_shard("new", {"crew": KEY}, firm="moved")
        self.apply_shard("old", {"crew": KEY}, firm="changed")
        self.apply_shard("old", {})

        self.assertEqual("moved", self.workspaces.get("crew").firm)

    def test_workspace_of_no_shard_is_unknown(self):
        """Guards against a key that is still valid in a shard's last state."""
        self.apply_shard("old", {"crew": KEY})
        self.apply_shard("new", {"crew": KEY})
        self.apply_shard("new", {})
        self.remove_shard("old")

        self.assertIsNone(self.workspaces.get("crew"))
        self.assertEqual("", self.workspaces.authenticate(f"Bearer {KEY}"))


class AdmissionTest(unittest.TestCase):
    """The entry node serves requests with a valid key only."""

    def setUp(self):
        self.loop = virtual_loop.VirtualLoop()
        self.addCleanup(self.loop.close)
        self.store = store.ConfigurationStore()
        self.workspaces = workspaces.Workspaces(self.store)
        self.missing = None
        self.route = ROUTE
        gateway = mock.Mock()
        gateway.route = lambda host, path, workspace: self.route
        gateway.choose_service = lambda route: route.service
        gateway.timeout = lambda route: None
        gateway.workspaces = self.workspaces
        gateway.serve = self.serve
        self.heads = []
        self.is_proved = True
        self.conventions = caller_requests.CallerConventions(
            names.HEADERS, uses_tickets=False
        )
        self.listener = self.loop.run_until_complete(self.start(gateway))
        self.configure()

    def configure(self):
        configuration = document(1, {"crew": KEY}, rank=0)
        self.store.apply(store.DOCUMENT, "main", 1, configuration)
        self.workspaces.apply_object(store.DOCUMENT, "main")

    async def start(self, gateway):
        return listener.Listener(
            gateway,
            mock.Mock(),
            settings.Limits(),
            authorization.ConfigurationStatus(
                lambda: self.missing, lambda: self.is_proved
            ),
            self.conventions,
        )

    async def serve(self, route, head, body):
        self.heads.append(head)

    async def send_request(self, **fields):
        fields["X-Deadline-Ms"] = "1000"
        request = types.SimpleNamespace(
            headers=fields,
            raw_headers=tuple(
                (name.encode(), value.encode())
                for name, value in fields.items()
            ),
            method="GET",
            raw_path="/a",
        )
        call = caller_requests.CallerRequest(request, self.conventions)
        await self.listener._wait_for_configuration(call)
        refusal = self.listener._admit(call)
        if refusal is None:
            await self.listener._forward(call)
        return refusal

    def run_request(self, **fields):
        return self.loop.run_until_complete(
            asyncio.wait_for(self.send_request(**fields), 1)
        )

    def test_workspace_is_forwarded_without_key(self):
        """Guards against a target that receives a key or a forged workspace."""
        refusal = self.run_request(
            **{
                "Authorization": f"Bearer {KEY}",
                "X-Tenant-Id": "venue",
                "Endivewind-Workspace": "venue",
            }
        )

        self.assertIsNone(refusal)
        head = self.heads[0]
        self.assertEqual("crew", head.workspace)
        sent = {name.lower() for name, _ in head.headers}
        self.assertNotIn(b"authorization", sent)
        self.assertNotIn(b"x-tenant-id", sent)

    def test_rank_of_workspace_overrides_rank_of_route(self):
        self.route = objects.Route(service="riders", rank=3)

        self.run_request(Authorization=f"Bearer {KEY}")

        first = request_queues.queue_priority(
            objects.Route(service="riders", rank=0)
        )
        self.assertEqual(first, self.heads[0].queue_priority)

    def test_missing_or_unknown_key_is_refused(self):
        """Guards against running requests of unknown callers."""
        for fields in ({}, {"Authorization": f"Bearer {OTHER_KEY}"}):
            with self.subTest(fields):
                refusal = self.run_request(**fields)

                self.assertEqual(401, problems.status(refusal))
                self.assertEqual(
                    exchange.ExecutionOutcome.NOT_RUN, refusal.outcome
                )
                self.assertIsNone(refusal.retry_after)
        self.assertEqual([], self.heads)

    def test_request_before_first_configuration_is_authenticated(self):
        """Guards against forwarding an unchecked key after a node restarts."""
        self.workspaces = workspaces.Workspaces(store.ConfigurationStore())
        self.listener._gateway.workspaces = self.workspaces
        self.workspaces._configuration = self.store
        self.route = None
        self.missing = "no configuration yet"

        def load_configuration():
            self.configure()
            self.route = ROUTE
            self.missing = None

        self.loop.call_later(0.5, load_configuration)

        refusal = self.run_request(Authorization=f"Bearer {OTHER_KEY}")

        self.assertEqual(401, problems.status(refusal))
        self.assertEqual([], self.heads)

    def test_request_with_key_is_refused_if_configuration_is_stale(self):
        """Guards against a revoked key at a node without the newest update."""
        self.is_proved = False

        refusal = self.run_request(Authorization=f"Bearer {KEY}")

        self.assertEqual(503, problems.status(refusal))
        self.assertEqual(authorization.STALE_RETRY_AFTER, refusal.retry_after)
        self.route = ANONYMOUS_ROUTE
        self.assertIsNone(self.run_request())

    def test_anonymous_route_requires_no_key(self):
        """A workspace claimed in a header is ignored on this route, too."""
        self.route = ANONYMOUS_ROUTE

        refusal = self.run_request(**{"X-Tenant-Id": "crew"})

        self.assertIsNone(refusal)
        head = self.heads[0]
        self.assertEqual("", head.workspace)
        sent = {name.lower() for name, _ in head.headers}
        self.assertNotIn(b"x-tenant-id", sent)
