"""Membership under faults, on the cores that nodes run."""

import dataclasses
import datetime
import unittest

from endivewind.nodes import membership
from endivewind.tests.nodes import network

ALIVE = membership.State.ALIVE
DEAD = membership.State.DEAD
NAMES = [f"n{number}" for number in range(12)]


def _states(net: network.Network, name: str) -> set:
    return {
        node.state(name) for node in net.nodes.values() if node.name != name
    }


class MembershipTest(unittest.TestCase):
    """What a fleet of twelve believes of one another."""

    def setUp(self):
        self.net = network.Network(NAMES)
        self.net.run(20)
        self.assertTrue(self.net.agreed())
        self.assertEqual({ALIVE}, _states(self.net, "n0"))

    def test_killed_node_is_dead_everywhere_in_seconds(self):
        """Entries stop sending work to a home that has died.

        The node dies without a word; probes of it fail, by relays as well,
        and the suspicion ripens at every node.
        """
        self.net.crash("n0")
        self.net.run(12)
        self.assertEqual({DEAD}, _states(self.net, "n0"))

    def test_one_way_partition_accuses_nobody(self):
        """Callers keep all healthy capacity.

        Three nodes don't hear n0 although it hears them. Their own probes of
        it fail; each has a relay that n0 does answer.
        """
        self.net.cut = {("n0", name) for name in NAMES[1:4]}
        for _ in range(300):
            self.net.run(0.1)
            self.assertEqual({ALIVE}, _states(self.net, "n0"))

    def test_half_deaf_fleet_evicts_nobody(self):
        """Half of the fleet doesn't hear n0; it refutes by the other half."""
        self.net.cut = {("n0", name) for name in NAMES[1:7]}
        for _ in range(300):
            self.net.run(0.1)
            self.assertNotIn(DEAD, _states(self.net, "n0"))

    def test_loss_evicts_nobody(self):
        """One datagram in five is lost, and no healthy node goes."""
        self.net.loss = 0.2
        for _ in range(300):
            self.net.run(0.1)
            for name in NAMES:
                self.assertNotIn(DEAD, _states(self.net, name))

    def test_a_refutation_that_is_lost_evicts_nobody(self):
        """One datagram in five is lost, in several fleets.

        A healthy node is suspected and denies it, and the denial gets lost on
        its way to one other. That one would evict it for all; it asks first.
        """
        for seed in range(2, 12):
            net = network.Network(NAMES, seed=seed)
            net.run(8)
            net.loss = 0.2
            for _ in range(300):
                net.run(0.1)
                dead = [name for name in NAMES if DEAD in _states(net, name)]
                self.assertEqual([], dead, seed)

    def test_paused_node_evicts_nobody_and_returns(self):
        """After a long pause the node is back, and the healthy never left.

        The others declare it dead. When it goes on, its probes have run out
        and its sockets hold old news; it must blame neither on the others.
        """
        paused = self.net.nodes["n0"]
        paused.paused = True
        self.net.run(30)
        self.assertEqual({DEAD}, _states(self.net, "n0"))

        paused.paused = False
        for _ in range(150):
            self.net.run(0.1)
            for name in NAMES[1:]:
                self.assertEqual({ALIVE}, _states(self.net, name) - {None})
        self.assertEqual({ALIVE}, _states(self.net, "n0"))

    def test_pause_blames_nobody(self):
        """A resumed node doesn't act on what ran out while it was stopped.

        It was stopped with a probe under way and with a suspicion that is
        refuted by now; its timers run before it has read its sockets.
        """
        core = self.net.nodes["n0"].members
        suspect = dataclasses.replace(
            core.members["n1"], state=membership.State.SUSPECT
        )
        core.merge(suspect)
        for _ in range(20):
            self.net.clock.advance(network.TICK)
            if any(isinstance(i, membership.Ping) for i in core.tick()):
                break
        self.net.clock.advance(datetime.timedelta(seconds=60))
        output = core.tick()
        spread = [i for i in output if isinstance(i, membership.Spread)]
        self.assertEqual([], spread)

    def test_node_that_reaches_nobody_doubts_itself(self):
        """A cut-off node keeps its view in place of declaring all dead."""
        others = NAMES[1:]
        self.net.cut = {("n0", name) for name in others}
        self.net.cut |= {(name, "n0") for name in others}
        self.net.run(60)
        alone = self.net.nodes["n0"]
        self.assertTrue(alone.members.doubtful)
        dead = [name for name in others if alone.state(name) is DEAD]
        self.assertEqual([], dead)

    def test_two_sides_rejoin_after_a_long_partition(self):
        """After the partition every node has every node back.

        Each side declares the other dead and goes on alone; a node of
        the far side is replaced in that time.
        """
        near, far = NAMES[:6], NAMES[6:]
        for node in self.net.nodes.values():
            # No seeds and no platform: only memory of the dead is left.
            node.members.set_contacts(())
        self.net.cut = {(a, b) for a in near for b in far}
        self.net.cut |= {(b, a) for a in near for b in far}
        self.net.run(120)
        self.assertEqual(DEAD, self.net.nodes["n0"].state("n11"))
        self.assertEqual(DEAD, self.net.nodes["n11"].state("n0"))
        self.net.start("n11", contacts=("n10:1",))
        self.net.run(120)
        self.net.cut = set()
        self.net.run(60)
        self.assertTrue(self.net.agreed())
        for name in NAMES:
            self.assertEqual({ALIVE}, _states(self.net, name))

    def test_leaving_is_known_at_once(self):
        """Entries turn to others within a second of a planned stop."""
        self.net.leave("n0")
        self.net.run(1)
        self.assertEqual({membership.State.LEFT}, _states(self.net, "n0"))

    def test_later_start_replaces_the_earlier(self):
        """The old start, paused while it was replaced, steps down."""
        old = self.net.nodes["n0"]
        new = self.net.start("n0")
        self.net.run(10)
        self.assertTrue(self.net.agreed())
        old.members.merge(new.members.me)
        self.assertTrue(old.members.superseded)


if __name__ == "__main__":
    unittest.main()
