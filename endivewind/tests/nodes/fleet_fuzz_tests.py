"""Stateful fuzzing of membership and announcements against an oracle.

The oracle is what the targets themselves know: which are running, and where
each was last taken. While faults last, views may differ; after they end,
every node must agree with the oracle.
"""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from endivewind.nodes import membership
from endivewind.tests.nodes import network

NODES = [f"n{number}" for number in range(5)]
TARGETS = [f"t{number}" for number in range(4)]
RENEWAL_SECONDS = 0.5
# Suspicion, contact period and two rounds of repair.
HEALING_SECONDS = 60

nodes = strategies.sampled_from(NODES)
targets = strategies.sampled_from(TARGETS)


class _Target:
    """A target that keeps a lease at one node, as a real one does."""

    def __init__(self, name: str, incarnation: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.moves = 0
        self.last = NODES[0]

    def renew(self, net: network.Network, cut: set[tuple[str, str]]) -> None:
        """Announces to the last node, else to the others in turn."""
        start = NODES.index(self.last)
        for name in NODES[start:] + NODES[:start]:
            if name != self.last:
                self.moves += 1
                self.last = name
            node = net.nodes.get(name)
            if node is None or node.paused:
                continue
            taken = node.announce(self.name, self.moves, self.incarnation)
            if taken and (name, self.name) not in cut:
                return


class FleetMachine(stateful.RuleBasedStateMachine):
    """Faults of every kind at any moment, together and twice."""

    def __init__(self) -> None:
        super().__init__()
        self.net = network.Network(NODES)
        self.targets: dict[str, _Target] = {}
        self.starts = 0
        # Paths on which a node's answer to a target is lost.
        self.answers_lost: set[tuple[str, str]] = set()
        self.pass_time(1)

    @stateful.rule(name=targets)
    def start_target(self, name):
        """A target starts, anew if it runs."""
        self.starts += 1
        self.targets[name] = _Target(name, self.starts)

    @stateful.rule(name=targets)
    def stop_target(self, name):
        """A target stops without a word."""
        self.targets.pop(name, None)

    @stateful.rule(node=nodes, name=targets)
    def lose_answers(self, node, name):
        """The node's answers to the target are lost from now on."""
        self.answers_lost.add((node, name))

    @stateful.rule(node=nodes, other=nodes)
    def cut(self, node, other):
        """A one-way partition."""
        self.net.cut.add((node, other))

    @stateful.rule(
        loss=strategies.sampled_from([0.0, 0.1, 0.3]),
        doubled=strategies.sampled_from([0.0, 0.3]),
    )
    def spoil(self, loss, doubled):
        """Datagrams are lost and doubled."""
        self.net.loss = loss
        self.net.doubled = doubled

    @stateful.rule(node=nodes)
    def crash_or_start(self, node):
        """A node dies, or a new start of it comes up."""
        if node in self.net.nodes:
            self.net.crash(node)
        else:
            self.net.start(node)

    @stateful.rule(node=nodes)
    def leave(self, node):
        """A planned stop."""
        if node in self.net.nodes and not self.net.nodes[node].paused:
            self.net.leave(node)

    @stateful.rule(node=nodes)
    def pause_or_resume(self, node):
        """A process stops and goes on."""
        member = self.net.nodes.get(node)
        if member is not None:
            member.paused = not member.paused

    @stateful.rule(seconds=strategies.sampled_from([0.5, 2, 6, 15]))
    def pass_time(self, seconds):
        """Time passes; targets renew their leases."""
        for _ in range(int(seconds / RENEWAL_SECONDS)):
            for target in self.targets.values():
                target.renew(self.net, self.answers_lost)
            self.net.run(RENEWAL_SECONDS)

    @stateful.invariant()
    def lapsed_leases_hand_over_nothing(self):
        """No home hands over work for a target that stopped renewing."""
        now = self.net.clock.monotonic()
        for node in self.net.nodes.values():
            for target in TARGETS:
                item = node.targets.get(target)
                assert item is None or item.expires > now

    def teardown(self):
        """Ends all faults, and checks every node against the oracle."""
        self.net.cut = set()
        self.net.loss = self.net.doubled = 0.0
        self.answers_lost = set()
        for member in self.net.nodes.values():
            member.paused = False
        for name in NODES:
            if name not in self.net.nodes:
                self.net.start(name)
        self.pass_time(HEALING_SECONDS)
        self._check_members()
        self._check_targets()

    def _check_members(self):
        for node in self.net.nodes.values():
            states = {name: node.state(name) for name in NODES}
            wanted = dict.fromkeys(NODES, membership.State.ALIVE)
            assert states == wanted, (node.name, states)
        assert self.net.agreed(), "the nodes differ"

    def _check_targets(self):
        for name in TARGETS:
            homes = {node.homes(name) for node in self.net.nodes.values()}
            holders = {
                node.name
                for node in self.net.nodes.values()
                if node.targets.get(name) is not None
            }
            target = self.targets.get(name)
            wanted = {target.last} if target else {None}
            assert homes == wanted, (name, homes, wanted)
            assert holders == (wanted - {None}), (name, holders, wanted)


FleetMachine.TestCase.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
FleetFuzzTest = FleetMachine.TestCase


if __name__ == "__main__":
    unittest.main()
