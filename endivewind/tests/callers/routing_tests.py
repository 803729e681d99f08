"""Tests of the routing table: precedence and replacement of groups."""

import unittest

from endivewind.callers import routing
from endivewind.config import objects


def _route(service: str, **fields) -> objects.Route:
    return objects.Route(service=service, **fields)


class RoutingTableTest(unittest.TestCase):
    def setUp(self):
        self.table = routing.RoutingTable()

    def _matched_service(self, path="/", host="a.example", workspace=""):
        found = self.table.match(host, path, workspace)
        return found.service if found else None

    def test_replaced_group_drops_old_routes(self):
        self.table.replace("g", [_route("old", prefix="/a")])

        self.table.replace("g", [_route("new", prefix="/b")])

        self.assertIsNone(self._matched_service("/a"))
        self.assertEqual("new", self._matched_service("/b/c"))

    def test_removing_one_of_two_equal_routes_keeps_the_other(self):
        self.table.replace("g", [_route("first")])
        self.table.replace("h", [_route("second")])
        self.assertEqual("first", self._matched_service())

        self.table.replace("g", [])

        self.assertEqual("second", self._matched_service())

    def test_order_of_groups_does_not_matter(self):
        other = routing.RoutingTable()
        groups = {"g": [_route("first")], "h": [_route("second")]}
        for name in groups:
            self.table.replace(name, groups[name])
        for name in reversed(groups):
            other.replace(name, groups[name])

        self.assertEqual(
            other.match("x", "/", "").service,
            self.table.match("x", "/", "").service,
        )

    def test_precedence_is_host_then_workspace_then_prefix(self):
        self.table.replace(
            "g",
            [
                _route("any", prefix="/a/b"),
                _route("host", host="a.example"),
                _route("mine", host="a.example", workspace="w"),
            ],
        )

        self.assertEqual("host", self._matched_service("/a/b"))
        self.assertEqual("mine", self._matched_service("/a/b", workspace="w"))
        self.assertEqual("any", self._matched_service("/a/b", host="b.example"))
