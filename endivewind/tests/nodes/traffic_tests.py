"""Counts of bytes sent to other nodes, by kind and distance."""

import unittest

from endivewind.nodes import traffic
from endivewind.nodes import view


class TrafficTest(unittest.TestCase):
    """A node in zone a-x with nodes in its zone, its region and another."""

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
        self.traffic = traffic.TrafficMeter("a", "a-x", self.fleet)

    def counted_distances(self, address):
        before = dict(self.traffic.counts)
        self.traffic.record_sent(traffic.Kind.STATE, address, 10)
        return [
            distance
            for (_, distance), size in self.traffic.counts.items()
            if size != before.get((traffic.Kind.STATE, distance), 0)
        ]

    def test_distance_depends_on_the_location_of_the_receiver(self):
        self.assertEqual(
            [traffic.Distance.ZONE],
            self.counted_distances("10.0.0.2:7"),
        )
        self.assertEqual(
            [traffic.Distance.OTHER_ZONE],
            self.counted_distances("10.0.0.3:7"),
        )
        self.assertEqual(
            [traffic.Distance.OTHER_REGION],
            self.counted_distances("[fd00::4]:7"),
        )

    def test_host_suffices_for_responses_to_ephemeral_ports(self):
        self.assertEqual(
            [traffic.Distance.ZONE], self.counted_distances("10.0.0.2")
        )

    def test_distance_is_unknown_until_the_node_is_known(self):
        self.assertEqual(
            [traffic.Distance.UNKNOWN],
            self.counted_distances("10.0.0.9:7"),
        )

        self.fleet.put_node(view.NodeRecord("n", 1, "10.0.0.9:7", "b", "b-x"))

        self.assertEqual(
            [traffic.Distance.OTHER_REGION],
            self.counted_distances("10.0.0.9:7"),
        )

    def test_log_fields_are_grouped_by_kind(self):
        self.traffic.record_sent(traffic.Kind.PEER_UPDATES, "10.0.0.2:7", 5)
        self.traffic.record_sent(traffic.Kind.PEER_UPDATES, "10.0.0.3:7", 6)

        self.assertEqual(
            {"news": {"zone": 5, "region": 6}}, self.traffic.by_kind()
        )
