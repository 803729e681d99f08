"""Dissemination and anti-entropy repair, in an in-memory network."""

import unittest
from unittest import mock

from endivewind import exchange
from endivewind.decisions import peer_updates
from endivewind.decisions import poison_requests
from endivewind.decisions import retry_budget
from endivewind.decisions import retry_priorities
from endivewind.nodes import change_queue
from endivewind.nodes import codec
from endivewind.nodes import datagrams
from endivewind.nodes import digests
from endivewind.nodes import gossip_messages
from endivewind.nodes import repair
from endivewind.targets import records
from endivewind.targets import registry
from endivewind.tests.nodes import network

NAMES = [f"n{number}" for number in range(40)]
EJECTED = records.EjectionStatus.EJECTED

# Time in which all nodes have to know a request that crashes targets.
STABLE_SECONDS = 4
SUSPECT = poison_requests.SuspectRequest(b"bad", 1)


def _spread_over_zones(name: str) -> tuple[str, str]:
    number = int(name[1:])
    return f"region-{number % 3}", f"zone-{number % 6}"


class SuspectRequestsTest(unittest.TestCase):
    """Which nodes know of a request that crashes its targets."""

    def make_fleet(self, node_count=24, loss=0.0):
        names = [f"n{number}" for number in range(node_count)]
        net = network.Network(names, location_of=_spread_over_zones)
        net.run(4)
        net.loss = loss
        return net

    def known_versions(self, net):
        latest = [
            node.suspects.latest(SUSPECT.fingerprint)
            for node in net.nodes.values()
        ]
        return {record.version if record else None for record in latest}

    def test_all_nodes_know_it_in_time(self):
        """Guards against first attempts at nodes that were not told."""
        for node_count in (3, 24, 100):
            with self.subTest(nodes=node_count):
                net = self.make_fleet(node_count, loss=1 / 3)

                net.nodes["n0"].publish_suspect(SUSPECT)
                net.run(STABLE_SECONDS)

                self.assertEqual({SUSPECT.version}, self.known_versions(net))

    def test_later_record_replaces_an_earlier_one(self):
        """Guards against a cleared request that stays suspect at some nodes."""
        net = self.make_fleet(loss=1 / 3)
        net.nodes["n0"].publish_suspect(SUSPECT)
        net.nodes["n5"].publish_suspect(SUSPECT.after_failed_trial().cleared())
        net.run(STABLE_SECONDS)

        self.assertEqual(
            {SUSPECT.after_failed_trial().cleared().version},
            self.known_versions(net),
        )
        self.assertFalse(any(node.suspects for node in net.nodes.values()))

    def test_node_that_starts_later_is_told(self):
        """Guards against a first attempt at each node that has restarted."""
        net = self.make_fleet()
        net.nodes["n0"].publish_suspect(SUSPECT)
        net.run(30)

        restarted = net.start("n7")
        net.run(1)

        self.assertEqual(SUSPECT, restarted.suspects.find(b"bad"))

    def test_node_that_has_missed_it_is_told(self):
        net = self.make_fleet()
        net.blocked_paths = {(name, "n7") for name in net.nodes}
        net.nodes["n0"].publish_suspect(SUSPECT)
        net.run(2)
        self.assertIn(None, self.known_versions(net))

        net.blocked_paths = set()
        net.run(2)

        self.assertEqual({SUSPECT.version}, self.known_versions(net))

    def test_suspect_request_costs_no_traffic_once_known(self):
        """Guards against repairs that never end."""
        net = self.make_fleet()
        net.run(10)
        before = net.sent_bytes
        net.run(20)
        idle_bytes = net.sent_bytes - before
        net.nodes["n0"].publish_suspect(SUSPECT)
        net.run(10)

        before = net.sent_bytes
        net.run(20)

        # Each datagram has seven more bytes, of the digest.
        self.assertLess(net.sent_bytes - before, 1.2 * idle_bytes)


class DisseminationTest(unittest.TestCase):
    """A change by one home in a fleet of forty nodes."""

    def setUp(self):
        self.net = network.Network(NAMES)
        self.net.run(8)
        self.assertTrue(self.net.has_converged())
        self.home = self.net.nodes["n0"]
        self.home.announce("t1", lease_ms=60_000)
        self.net.run(1)

    def _count_ejected(self) -> int:
        return sum(
            network.health_of(node, "t1") is EJECTED
            for node in self.net.nodes.values()
        )

    def _eject(self) -> None:
        self.home.targets.set_ejection_status("t1", EJECTED)
        self.home.publish_changes()

    def test_ejection_is_known_everywhere_within_a_second(self):
        """After a second no entry node sends requests to an ejected target."""
        self._eject()
        self.net.run(1)
        self.assertEqual(len(NAMES), self._count_ejected())

    def test_missed_change_is_repaired(self):
        """A node that has missed a change gets it by repair within seconds.

        All messages to it are lost while the change is disseminated, and the
        change is not sent again. A later datagram's digest differs from its
        own.
        """
        paths_to_n7 = {(name, "n7") for name in NAMES}
        self.net.blocked_paths = paths_to_n7
        self._eject()
        self.net.run(2)
        self.assertEqual(len(NAMES) - 1, self._count_ejected())
        self.net.blocked_paths = set()
        self.net.run(15)
        self.assertEqual(len(NAMES), self._count_ejected())
        self.assertTrue(self.net.has_converged())

    def test_idle_fleet_sends_few_bytes(self):
        """Without changes a node sends only probes and acknowledgements."""
        self.net.run(10)
        before = self.net.sent_bytes
        self.net.run(10)
        rate = (self.net.sent_bytes - before) / 10 / len(NAMES)
        self.assertLess(rate, 200)

    def test_pulls_end_if_no_node_has_a_state(self):
        """Pulls of the full state end after a restart of the whole fleet.

        Each node pulls from a node that has just started as well and has no
        complete state. If they went on, all nodes would send their full state
        to each other every second.
        """
        net = network.Network(NAMES)
        net.run(10)
        before = net.link_frames
        for number in range(20):
            net.nodes["n0"].announce(f"t{number}", lease_ms=60_000)
            net.run(0.5)
        self.assertLess(net.link_frames - before, len(NAMES))

    def test_mass_restart_keeps_limits(self):
        """A third of the fleet restarts at once, each node with targets.

        Datagrams and queues keep within their limits, and all nodes know the
        same records soon after.
        """
        for name in NAMES[:13]:
            self.net.crash(name)
        self.net.run(8)
        for name in NAMES[:13]:
            node = self.net.start(name)
            for number in range(16):
                node.announce(f"{name}-{number}")
        for _ in range(100):
            self.net.run(0.1)
            for node in self.net.nodes.values():
                for number in range(16):
                    if node.name in NAMES[:13]:
                        node.announce(f"{node.name}-{number}")
                self.assertLessEqual(
                    node.core.queued_changes, change_queue.MAX_QUEUED_CHANGES
                )
        self.assertLessEqual(
            self.net.largest_datagram_bytes, repair.MAX_DATAGRAM_BYTES
        )
        self.assertTrue(self.net.has_converged())
        target_counts = {
            len(n.view.usable_targets()) for n in self.net.nodes.values()
        }
        self.assertEqual({13 * 16}, target_counts)


class LargeBucketTest(unittest.TestCase):
    """Forty nodes in one bucket, whose versions take three datagrams."""

    def setUp(self):
        patch = mock.patch.object(digests, "BUCKET_COUNT", 1)
        patch.start()
        self.addCleanup(patch.stop)
        self.net = network.Network(NAMES)
        self.net.run(8)
        self.home = self.net.nodes["n0"]
        self.home.announce("t1", lease_ms=60_000)
        self.net.run(1)

    def _block_paths_to_n7(self):
        self.net.blocked_paths = {(name, "n7") for name in self.net.nodes}

    def test_missed_change_is_repaired(self):
        """Guards against requests to an ejected target from one node."""
        self._block_paths_to_n7()
        self.home.targets.set_ejection_status("t1", EJECTED)
        self.home.publish_changes()
        self.net.run(2)
        n7 = self.net.nodes["n7"]
        self.assertIsNot(EJECTED, network.health_of(n7, "t1"))

        self.net.blocked_paths = set()
        self.net.run(15)

        self.assertIs(EJECTED, network.health_of(n7, "t1"))
        self.assertTrue(self.net.has_converged())
        self.assertLessEqual(
            self.net.largest_datagram_bytes, repair.MAX_DATAGRAM_BYTES
        )

    def test_versions_of_a_large_bucket_are_sent_in_parts(self):
        """Guards against a bucket that is skipped, or sent without need.

        A node that has all records compares each part. It must not take the
        nodes of the other parts for nodes that the sender does not know.
        """
        sender, receiver = self.net.nodes["n1"].core, self.net.nodes["n2"].core
        question = gossip_messages.Datagram("n2", 0, buckets=(1,))

        parts = [item.message for item in sender.receive("n2:1", question)]

        names = [item.name for part in parts for item in part.versions]
        self.assertEqual(sorted(NAMES), sorted(names))
        self.assertEqual(3, len(parts))
        for part in parts:
            data = datagrams.encode(part, b"k" * 16)
            self.assertLessEqual(len(data), repair.MAX_DATAGRAM_BYTES)
            self.assertEqual(
                [], receiver.receive("n1:1", datagrams.decode(data, b"k" * 16))
            )

    def test_parts_that_exceed_a_comparison_differ_each_time(self):
        """Guards against versions that are in no comparison.

        A comparison sends four datagrams at most; names of 200 bytes need ten.
        """
        names = [f"{name}-{'x' * 200}" for name in NAMES]
        net = network.Network(names)
        net.run(8)
        sender = net.nodes[names[1]].core
        question = gossip_messages.Datagram(names[2], 0, buckets=(1,))

        found = set()
        for _ in range(20):
            messages = sender.receive(f"{names[2]}:1", question)
            self.assertEqual(repair.MAX_VERSION_DATAGRAMS, len(messages))
            for item in messages:
                found |= {version.name for version in item.message.versions}

        self.assertEqual(set(names), found)

    def test_unknown_node_is_repaired(self):
        """Guards against a node that has joined and is unknown to another."""
        self._block_paths_to_n7()
        self.net.start("n40")
        self.net.nodes["n40"].announce("t2", lease_ms=60_000)
        self.net.run(2)
        self.net.blocked_paths = set()
        self.net.run(25)

        self.assertEqual("n40", self.net.nodes["n7"].home_of("t2"))
        self.assertTrue(self.net.has_converged())


class DepartureSurvivesRestartTest(unittest.TestCase):
    """A home is killed after it has acknowledged a target's departure.

    A delayed heartbeat that the target sent before reaches the home after its
    restart. If it were accepted, the target would get requests after its drain
    time.
    """

    def setUp(self):
        self.net = network.Network(NAMES[:12])
        self.net.run(8)
        self.home = self.net.nodes["n0"]
        self.home.announce("t1", incarnation=5, lease_ms=60_000)
        self.net.run(1)

    def restart_home(self):
        """Kills the home right after its acknowledgement, and restarts it."""
        self.home.publish_changes()
        self.net.push("n0")
        self.net.crash("n0")
        self.net.run(2)
        self.home = self.net.start("n0")
        self.net.run(0.3)

    def test_delayed_heartbeat_of_departed_target_is_refused(self):
        self.home.targets.depart("t1", 5)
        self.restart_home()

        self.assertFalse(self.home.announce("t1", incarnation=5))
        self.assertTrue(self.home.announce("t1", incarnation=6))

    def test_delayed_heartbeat_of_draining_target_is_refused(self):
        """Another announcement that it is draining is accepted."""
        draining = records.State.DRAINING
        self.home.announce("t1", incarnation=5, state=draining)
        self.restart_home()

        self.assertFalse(self.home.announce("t1", incarnation=5))
        self.assertTrue(self.home.announce("t1", incarnation=5, state=draining))

    def test_target_that_stays_is_accepted_after_the_retention(self):
        self.home.targets.depart("t1", 5)
        self.restart_home()
        self.net.run(registry.DEPARTURE_RETENTION.total_seconds())

        self.assertTrue(self.home.announce("t1", incarnation=5))


def _location(name):
    """Distributes nodes over six zones in three regions."""
    number = int(name[1:]) % 6
    return f"r{number // 2}", f"z{number}"


class CrossZoneTrafficTest(unittest.TestCase):
    """Ninety-six nodes in six zones; bytes between zones are billed."""

    def test_changes_reach_all_nodes_with_few_bytes_between_zones(self):
        """A few copies of a change enter each zone, which forwards it itself.

        If a copy came from another zone for each node, a restart of the
        fleet would cause more traffic between zones than the requests do.
        """
        names = [f"n{number}" for number in range(96)]
        net = network.Network(names, location_of=_location)
        net.run(8)
        self.assertTrue(net.has_converged())
        before = net.sent_bytes, net.cross_zone_bytes, net.cross_region_bytes

        for name in names:
            net.nodes[name].announce(f"t-{name}", lease_ms=60_000)
        net.run(1.5)

        target_counts = [
            len(node.view.usable_targets()) for node in net.nodes.values()
        ]
        self.assertGreater(
            sum(target_counts) / len(target_counts), 0.95 * len(names)
        )
        sent = net.sent_bytes - before[0]
        self.assertLess(net.cross_zone_bytes - before[1], 0.1 * sent)
        self.assertLess(net.cross_region_bytes - before[2], 0.1 * sent)
        net.run(10)
        self.assertTrue(net.has_converged())


class ChangeQueueTest(unittest.TestCase):
    """Order and number of transmissions of changes."""

    def test_least_often_sent_change_is_first(self):
        queue = change_queue.ChangeQueue()
        queue.put(("a", 1, 1, 1), b"a" * 100)
        queue.take(150, 760)
        queue.put(("b", 1, 1, 1), b"b" * 100)
        self.assertEqual((b"b" * 100,), queue.take(150, 760))

    def test_change_is_sent_a_limited_number_of_times(self):
        queue = change_queue.ChangeQueue()
        queue.put(("a", 1, 1, 1), b"a")
        sent = sum(len(queue.take(100, 760)) for _ in range(50))
        self.assertEqual(10, sent)
        self.assertEqual(0, len(queue))

    def test_full_queue_drops_most_often_sent_change(self):
        queue = change_queue.ChangeQueue()
        queue.put(("old", 1, 1, 1), b"old")
        queue.take(100, 760)
        for number in range(change_queue.MAX_QUEUED_CHANGES):
            queue.put(("new", 1, number, 1), b"new")
        self.assertEqual(change_queue.MAX_QUEUED_CHANGES, len(queue))
        self.assertNotIn(b"old", queue.take(10**6, 760))


class DatagramTest(unittest.TestCase):
    """Encoding and signatures of datagrams."""

    def test_peer_update_survives_round_trip(self):
        update = peer_updates.PeerUpdate(
            (
                peer_updates.TargetUpdate(
                    "riders-1", exchange.TargetReport(2, 0.413)
                ),
            ),
            (
                peer_updates.RetryUsage(
                    "riders",
                    retry_budget.RequestCounts(20, 3),
                    (retry_priorities.RetryDemand(-2, 5),),
                ),
                peer_updates.RetryUsage(
                    "venues", retry_budget.RequestCounts(20, 3)
                ),
            ),
            (peer_updates.EntryRoute("riders", "/orders/"),),
        )
        datagram = gossip_messages.Datagram("n1", 7, peer_update=update)

        self.assertEqual(datagram, datagrams.decode(datagrams.encode(datagram)))

    def test_wrong_or_missing_signature_is_rejected(self):
        """Without the key nobody can have a node declared dead."""
        datagram = gossip_messages.Datagram(
            "n1", 7, ping_number=3, changes=(b"x", b"\xff")
        )
        data = datagrams.encode(datagram, b"k" * 16)
        self.assertEqual(datagram, datagrams.decode(data, b"k" * 16))
        forged = datagrams.encode(datagram, b"z" * 16)
        corrupted = data[:-1] + bytes([data[-1] ^ 1])
        for invalid in (forged, corrupted, datagrams.encode(datagram), b""):
            with self.assertRaises(codec.FrameError):
                datagrams.decode(invalid, b"k" * 16)


if __name__ == "__main__":
    unittest.main()
