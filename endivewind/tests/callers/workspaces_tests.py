"""Whose key a caller shows, and what becomes of what it says itself."""

import asyncio
import types
import unittest
from unittest import mock

from endivewind import exchange
from endivewind.callers import authorization
from endivewind.callers import calls
from endivewind.callers import listener
from endivewind.callers import problems
from endivewind.callers import waiting
from endivewind.callers import workspaces
from endivewind.config import caller_keys
from endivewind.config import objects
from endivewind.config import settings
from endivewind.config import store
from endivewind.platform import names
from endivewind.standins import virtual

KEY = "gjqnirth5mgjy5rcpihh"
OTHER = "acruddedev3nax7u27gx"
ROUTE = objects.Route(service="riders")
OPEN = objects.Route(service="riders", anonymous=True)


def document(version, holders, **workspace):
    """A whole configuration in which each workspace holds one key."""
    workspace.setdefault("firm", "camerino")
    return {
        "operation": f"op-{version}",
        "version": version,
        "spec": {
            "workspaces": dict.fromkeys(holders, workspace),
            "keys": {
                caller_keys.digest(key): name for name, key in holders.items()
            },
        },
    }


class HolderTest(unittest.TestCase):
    """A key is looked up by its digest in what is in force."""

    def setUp(self):
        self.store = store.ConfigurationStore()
        self.workspaces = workspaces.Workspaces(self.store)

    def take(self, version, holders):
        value = document(version, holders)
        self.store.apply(store.DOCUMENT, "main", version, value)
        self.workspaces.configure(store.DOCUMENT, "main")

    def test_no_key_is_asked_for_before_one_is_given_out(self):
        self.assertFalse(self.workspaces.have_keys)

    def test_the_holder_of_a_key(self):
        self.take(1, {"crew": KEY, "venue": OTHER})

        self.assertEqual("crew", self.workspaces.holder(f"Bearer {KEY}"))
        self.assertEqual("venue", self.workspaces.holder(f"bearer  {OTHER} "))

    def test_what_is_no_key_has_no_holder(self):
        self.take(1, {"crew": KEY})

        for given in ("", "Bearer", "Bearer ", KEY, f"Basic {KEY}", "Bearer x"):
            with self.subTest(given):
                self.assertEqual("", self.workspaces.holder(given))

    def test_a_revoked_key_has_no_holder(self):
        """Guards against a key that works after its removal."""
        self.take(1, {"crew": KEY, "venue": OTHER})
        self.take(2, {"venue": OTHER})

        self.assertEqual("", self.workspaces.holder(f"Bearer {KEY}"))
        self.assertIsNone(self.workspaces.get("crew"))
        self.assertEqual("venue", self.workspaces.holder(f"Bearer {OTHER}"))

    def test_a_key_that_moves_to_another_workspace(self):
        self.take(1, {"crew": KEY, "venue": OTHER})
        self.take(2, {"venue": KEY})

        self.assertEqual("venue", self.workspaces.holder(f"Bearer {KEY}"))

    def test_where_the_last_key_is_revoked_nobody_gets_in(self):
        """Guards against a fleet that opens up with its last key."""
        self.take(1, {"crew": KEY})
        value = document(2, {})
        value["spec"]["keyed"] = True
        self.store.apply(store.DOCUMENT, "main", 2, value)
        self.workspaces.configure(store.DOCUMENT, "main")

        self.assertTrue(self.workspaces.have_keys)
        self.assertEqual("", self.workspaces.holder(f"Bearer {KEY}"))

    def test_no_key_is_kept(self):
        """Guards against a memory dump or a log that gives keys away."""
        self.take(1, {"crew": KEY})

        self.assertNotIn(KEY, repr(vars(self.workspaces)))
        self.assertNotIn(KEY, repr(self.store.value(("document", "main"))))


class AdmissionTest(unittest.TestCase):
    """The entry serves whoever shows a key, and says so to the target."""

    def setUp(self):
        self.loop = virtual.VirtualLoop()
        self.addCleanup(self.loop.close)
        self.store = store.ConfigurationStore()
        self.known = workspaces.Workspaces(self.store)
        self.missing = None
        self.route = ROUTE
        gateway = mock.Mock()
        gateway.route = lambda host, path, workspace: self.route
        gateway.service_of = lambda route: route.service
        gateway.timeout = lambda route: None
        gateway.workspaces = self.known
        gateway.serve = self.serve
        self.heads = []
        self.is_proved = True
        self.dialect = calls.Dialect(names.HEADERS, tickets=False)
        self.listener = self.loop.run_until_complete(self.start(gateway))
        self.configure()

    def configure(self):
        value = document(1, {"crew": KEY}, rank=0)
        self.store.apply(store.DOCUMENT, "main", 1, value)
        self.known.configure(store.DOCUMENT, "main")

    async def start(self, gateway):
        return listener.Listener(
            gateway,
            mock.Mock(),
            settings.Limits(),
            authorization.Doubts(lambda: self.missing, lambda: self.is_proved),
            self.dialect,
        )

    async def serve(self, route, head, body):
        self.heads.append(head)

    async def ask(self, **fields):
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
        call = calls.Call(request, self.dialect)
        await self.listener._settle(call)
        refused = self.listener._admit(call)
        if refused is None:
            await self.listener._pass_on(call)
        return refused

    def run_one(self, **fields):
        return self.loop.run_until_complete(
            asyncio.wait_for(self.ask(**fields), 1)
        )

    def test_the_workspace_of_the_key_goes_on_and_the_key_does_not(self):
        """Guards against a target that learns a key, or a forged name."""
        refused = self.run_one(
            **{
                "Authorization": f"Bearer {KEY}",
                "X-Tenant-Id": "venue",
                "Endivewind-Workspace": "venue",
            }
        )

        self.assertIsNone(refused)
        head = self.heads[0]
        self.assertEqual("crew", head.workspace)
        sent = {name.lower() for name, _ in head.headers}
        self.assertNotIn(b"authorization", sent)
        self.assertNotIn(b"x-tenant-id", sent)

    def test_the_rank_of_a_workspace_goes_before_that_of_the_route(self):
        self.route = objects.Route(service="riders", rank=3)

        self.run_one(Authorization=f"Bearer {KEY}")

        first = waiting.level(objects.Route(service="riders", rank=0))
        self.assertEqual(first, self.heads[0].queue_priority)

    def test_no_key_and_an_unknown_key_are_refused(self):
        """Guards against work for a caller whom nobody knows."""
        for fields in ({}, {"Authorization": f"Bearer {OTHER}"}):
            with self.subTest(fields):
                refused = self.run_one(**fields)

                self.assertEqual(401, problems.status(refused))
                self.assertEqual(exchange.Outcome.NOT_RUN, refused.outcome)
                self.assertIsNone(refused.retry_after)
        self.assertEqual([], self.heads)

    def test_a_request_that_came_before_the_first_configuration(self):
        """Guards against a key passed on, and not checked, after a restart."""
        self.known = workspaces.Workspaces(store.ConfigurationStore())
        self.listener._gateway.workspaces = self.known
        self.known._configuration = self.store
        self.route = None
        self.missing = "no configuration yet"

        def arrive():
            self.configure()
            self.route = ROUTE
            self.missing = None

        self.loop.call_later(0.5, arrive)

        refused = self.run_one(Authorization=f"Bearer {OTHER}")

        self.assertEqual(401, problems.status(refused))
        self.assertEqual([], self.heads)

    def test_without_a_proof_keyed_work_is_refused_as_not_run(self):
        """Guards against a revoked key at a node that no news reaches."""
        self.is_proved = False

        refused = self.run_one(Authorization=f"Bearer {KEY}")

        self.assertEqual(503, problems.status(refused))
        self.assertEqual(authorization.UNPROVED_RETRY, refused.retry_after)
        self.route = OPEN
        self.assertIsNone(self.run_one())

    def test_an_anonymous_route_serves_without_a_key(self):
        """What the caller says of its workspace is dropped there as well."""
        self.route = OPEN

        refused = self.run_one(**{"X-Tenant-Id": "crew"})

        self.assertIsNone(refused)
        head = self.heads[0]
        self.assertEqual("", head.workspace)
        sent = {name.lower() for name, _ in head.headers}
        self.assertNotIn(b"x-tenant-id", sent)
