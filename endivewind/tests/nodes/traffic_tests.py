"""Bytes to other nodes, counted by kind and by how far they go."""

import unittest

from endivewind.nodes import traffic
from endivewind.nodes import view


class TrafficTest(unittest.TestCase):
    """A node of zone a-x; others in its zone, its region and elsewhere."""

    def setUp(self):
        self.fleet = view.FleetView()
        for name, host, region, zone in (
            ("near", "10.0.0.2", "a", "a-x"),
            ("beside", "10.0.0.3", "a", "a-y"),
            ("far", "fd00::4", "b", "b-x"),
        ):
            address = f"[{host}]:7" if ":" in host else f"{host}:7"
            record = view.NodeRecord(name, 1, address, region, zone)
            self.fleet.put_node(record)
        self.traffic = traffic.Traffic("a", "a-x", self.fleet)

    def sent(self, address):
        before = dict(self.traffic.counts)
        self.traffic.sent(traffic.Kind.STATE, address, 10)
        return [
            distance
            for (_, distance), size in self.traffic.counts.items()
            if size != before.get((traffic.Kind.STATE, distance), 0)
        ]

    def test_the_place_of_the_other_node_tells_the_distance(self):
        self.assertEqual([traffic.Distance.ZONE], self.sent("10.0.0.2:7"))
        self.assertEqual([traffic.Distance.REGION], self.sent("10.0.0.3:7"))
        self.assertEqual([traffic.Distance.FAR], self.sent("[fd00::4]:7"))

    def test_an_answer_goes_to_a_port_that_nobody_announced(self):
        self.assertEqual([traffic.Distance.ZONE], self.sent("10.0.0.2"))

    def test_a_node_is_told_apart_once_it_is_known(self):
        self.assertEqual([traffic.Distance.UNKNOWN], self.sent("10.0.0.9:7"))

        self.fleet.put_node(view.NodeRecord("n", 1, "10.0.0.9:7", "b", "b-x"))

        self.assertEqual([traffic.Distance.FAR], self.sent("10.0.0.9:7"))

    def test_a_log_line_groups_by_kind(self):
        self.traffic.sent(traffic.Kind.NEWS, "10.0.0.2:7", 5)
        self.traffic.sent(traffic.Kind.NEWS, "10.0.0.3:7", 6)

        self.assertEqual(
            {"news": {"zone": 5, "region": 6}}, self.traffic.by_kind()
        )
