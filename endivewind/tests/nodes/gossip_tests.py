"""Spreading and repair between the cores that nodes run."""

import unittest

from endivewind import exchange
from endivewind.decisions import peer_updates
from endivewind.decisions import retries
from endivewind.nodes import codec
from endivewind.nodes import datagrams
from endivewind.nodes import gossip_messages
from endivewind.nodes import repair
from endivewind.nodes import transmission
from endivewind.targets import records
from endivewind.targets import registry
from endivewind.tests.nodes import network

NAMES = [f"n{number}" for number in range(40)]
EJECTED = records.Health.EJECTED


class SpreadingTest(unittest.TestCase):
    """A change of one home among forty nodes."""

    def setUp(self):
        self.net = network.Network(NAMES)
        self.net.run(8)
        self.assertTrue(self.net.agreed())
        self.home = self.net.nodes["n0"]
        self.home.announce("t1", lease_ms=60_000)
        self.net.run(1)

    def _ejected(self) -> int:
        return sum(
            network.health_of(node, "t1") is EJECTED
            for node in self.net.nodes.values()
        )

    def _eject(self) -> None:
        self.home.targets.set_health("t1", EJECTED)
        self.home.spread()

    def test_ejection_is_known_everywhere_within_a_second(self):
        """No entry sends work to an ejected target a second later."""
        self._eject()
        self.net.run(1)
        self.assertEqual(len(NAMES), self._ejected())

    def test_what_a_node_missed_is_repaired(self):
        """A node that heard nothing for a while catches up in seconds.

        Everything sent to it is lost while the change spreads, and nobody
        tells it again; its next exchange of summaries shows the difference.
        """
        deaf = {(name, "n7") for name in NAMES}
        self.net.cut = deaf
        self._eject()
        self.net.run(2)
        self.assertEqual(len(NAMES) - 1, self._ejected())
        self.net.cut = set()
        self.net.run(15)
        self.assertEqual(len(NAMES), self._ejected())
        self.assertTrue(self.net.agreed())

    def test_quiet_fleet_sends_little(self):
        """Without changes a node sends its probes and answers only."""
        self.net.run(10)
        before = self.net.sent_bytes
        self.net.run(10)
        rate = (self.net.sent_bytes - before) / 10 / len(NAMES)
        self.assertLess(rate, 200)

    def test_fleet_that_has_nothing_to_hand_on_stops_asking(self):
        """A whole fleet restarts; nobody asks for whole states for ever.

        Each node asks one that has just started itself and has no state to
        hand on. Were each to ask on, all would send all to all every second.
        """
        net = network.Network(NAMES)
        net.run(10)
        before = net.link_frames
        for number in range(20):
            net.nodes["n0"].announce(f"t{number}", lease_ms=60_000)
            net.run(0.5)
        self.assertLess(net.link_frames - before, len(NAMES))

    def test_mass_restart_keeps_to_the_limits(self):
        """A third of the fleet comes back at once, each with targets.

        No datagram grows above its bound, no queue above its own, and all
        agree soon after.
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
                self.assertLessEqual(node.core.queued, transmission.MAX_QUEUED)
        self.assertLessEqual(self.net.largest, repair.MAX_DATAGRAM)
        self.assertTrue(self.net.agreed())
        known = {len(n.view.all_targets()) for n in self.net.nodes.values()}
        self.assertEqual({13 * 16}, known)


class LeaveOutlivesItsHomeTest(unittest.TestCase):
    """A home acknowledges that its target leaves, and is ended at once.

    A heartbeat of the target from before that is held up, and reaches the
    home's next start. Taken, the target would get work past its drain time.
    """

    def setUp(self):
        self.net = network.Network(NAMES[:12])
        self.net.run(8)
        self.home = self.net.nodes["n0"]
        self.home.announce("t1", incarnation=5, lease_ms=60_000)
        self.net.run(1)

    def restart(self):
        """Ends the home in the moment of its acknowledgement."""
        self.home.spread()
        self.net.push("n0")
        self.net.crash("n0")
        self.net.run(2)
        self.home = self.net.start("n0")
        self.net.run(0.3)

    def test_what_has_left_does_not_come_back_by_a_late_word(self):
        self.home.targets.depart("t1", 5)
        self.restart()

        self.assertFalse(self.home.announce("t1", incarnation=5))
        self.assertTrue(self.home.announce("t1", incarnation=6))

    def test_what_drains_does_not_come_back_by_a_late_word(self):
        """It may say again that it leaves, which is acknowledged."""
        draining = records.State.DRAINING
        self.home.announce("t1", incarnation=5, state=draining)
        self.restart()

        self.assertFalse(self.home.announce("t1", incarnation=5))
        self.assertTrue(self.home.announce("t1", incarnation=5, state=draining))

    def test_one_that_stays_after_all_is_taken_again(self):
        self.home.targets.depart("t1", 5)
        self.restart()
        self.net.run(registry.DEPARTED_FOR.total_seconds())

        self.assertTrue(self.home.announce("t1", incarnation=5))


def _place(name):
    """One of six zones in three regions, as a users' fleet has."""
    number = int(name[1:]) % 6
    return f"r{number // 2}", f"z{number}"


class CrossingTest(unittest.TestCase):
    """Ninety-six nodes in six zones; bytes that leave a zone are paid for."""

    def test_news_gets_everywhere_with_few_bytes_between_zones(self):
        """Each zone hears a change a few times, and passes it on itself.

        A change whose copies cross for every node would cost the fleet more
        between zones than its requests do, when all nodes start at once.
        """
        names = [f"n{number}" for number in range(96)]
        net = network.Network(names, place_of=_place)
        net.run(8)
        self.assertTrue(net.agreed())
        before = net.sent_bytes, net.beside_bytes, net.far_bytes

        for name in names:
            net.nodes[name].announce(f"t-{name}", lease_ms=60_000)
        net.run(1.5)

        known = [len(node.view.all_targets()) for node in net.nodes.values()]
        self.assertGreater(sum(known) / len(known), 0.95 * len(names))
        sent = net.sent_bytes - before[0]
        self.assertLess(net.beside_bytes - before[1], 0.1 * sent)
        self.assertLess(net.far_bytes - before[2], 0.1 * sent)
        net.run(10)
        self.assertTrue(net.agreed())


class ChangeQueueTest(unittest.TestCase):
    """What is passed on, and how often."""

    def test_least_often_sent_goes_first(self):
        queue = transmission.ChangeQueue()
        queue.put(("a", 1, 1, 1), b"a" * 100)
        queue.take(150, 760)
        queue.put(("b", 1, 1, 1), b"b" * 100)
        self.assertEqual((b"b" * 100,), queue.take(150, 760))

    def test_each_change_is_sent_a_bounded_number_of_times(self):
        queue = transmission.ChangeQueue()
        queue.put(("a", 1, 1, 1), b"a")
        sent = sum(len(queue.take(100, 760)) for _ in range(50))
        self.assertEqual(10, sent)
        self.assertEqual(0, len(queue))

    def test_full_queue_drops_what_was_sent_most(self):
        queue = transmission.ChangeQueue()
        queue.put(("old", 1, 1, 1), b"old")
        queue.take(100, 760)
        for number in range(transmission.MAX_QUEUED):
            queue.put(("new", 1, number, 1), b"new")
        self.assertEqual(transmission.MAX_QUEUED, len(queue))
        self.assertNotIn(b"old", queue.take(10**6, 760))


class DatagramTest(unittest.TestCase):
    """Bytes that are not from a node with the key."""

    def test_news_of_a_zone_come_through(self):
        news = peer_updates.PeerUpdate(
            (
                peer_updates.TargetUpdate(
                    "riders-1", exchange.TargetStatus(2, 0.413)
                ),
            ),
            (peer_updates.RetryUsage("riders", retries.RequestCounts(20, 3)),),
            (peer_updates.IngressRoute("riders", "/orders/"),),
        )
        datagram = gossip_messages.Datagram("n1", 7, news=news)

        self.assertEqual(datagram, datagrams.decode(datagrams.encode(datagram)))

    def test_wrong_or_missing_signature_is_no_message(self):
        """Nobody without the key can have a node taken for dead."""
        datagram = gossip_messages.Datagram(
            "n1", 7, ping=3, changes=(b"x", b"\xff")
        )
        data = datagrams.encode(datagram, b"k" * 16)
        self.assertEqual(datagram, datagrams.decode(data, b"k" * 16))
        forged = datagrams.encode(datagram, b"z" * 16)
        spoiled = data[:-1] + bytes([data[-1] ^ 1])
        for bad in (forged, spoiled, datagrams.encode(datagram), b""):
            with self.assertRaises(codec.FrameError):
                datagrams.decode(bad, b"k" * 16)


if __name__ == "__main__":
    unittest.main()
