"""Stateful fuzzing of configuration: the oracle is the highest version."""

import datetime
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from endivewind.commands import bench_spreading
from endivewind.config import spreading
from endivewind.config import store
from endivewind.nodes import view

NODES = ("a", "b", "c", "d")
NAMES = ("riders", "venues", "ledger")
ROUNDS_TO_CONVERGE = 100
MESSAGES_A_ROUND = 200

nodes = strategies.sampled_from(NODES)
names = strategies.sampled_from(NAMES)


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Four nodes, a platform that may lose its store, a faulty network.

    Whatever is lost, repeated, delayed or offered again, no node goes back
    to a lower version, and after the faults end all hold the highest one.
    """

    def __init__(self) -> None:
        super().__init__()
        self._rng = random.Random(0)
        self._now = datetime.timedelta()
        self._flying: list[spreading.Outgoing] = []
        self._highest: dict[store.Key, tuple[int, int | None]] = {}
        self._versions = 0
        self._platform: dict[store.Key, dict] = {}
        self._history: list[tuple[store.Key, dict]] = []
        self._cut: set[tuple[str, str]] = set()
        self._stores: dict[str, store.ConfigurationStore] = {}
        self._cores: dict[str, spreading.Spreader] = {}
        self._seen: dict[tuple[str, store.Key], int] = {}
        for name in NODES:
            self._start(name)

    def _start(self, name: str) -> None:
        peers = [
            view.NodeRecord(peer, 1, "", "andina", "andina-a")
            for peer in NODES
            if peer != name
        ]
        self._stores[name] = store.ConfigurationStore()
        self._cores[name] = spreading.Spreader(
            name, "andina", self._stores[name], lambda: peers, self._rng
        )

    def _offer(self, node: str, key: store.Key, value: dict) -> None:
        before = self._stores[node].stamp(key)
        self._stores[node].apply(*key, 1, value)
        if self._stores[node].stamp(key) != before:
            self._cores[node].taken(key)

    def _send(self, sender: str, outgoing: list[spreading.Outgoing]) -> None:
        self._flying.extend(
            item for item in outgoing if (sender, item.to) not in self._cut
        )

    @stateful.initialize()
    def accept_a_history(self):
        """Starts with something old to offer: else few examples have it."""
        for node in NODES[:3]:
            self.accept_a_change(node, NAMES[0], self._versions + 1)

    @stateful.rule(
        node=nodes,
        name=names,
        slots=strategies.one_of(strategies.none(), strategies.integers(1, 9)),
    )
    def accept_a_change(self, node, name, slots):
        key = store.Key(store.SERVICE, name)
        self._versions += 1
        value = bench_spreading.change(slots or 1, self._versions)
        if slots is None:
            value["spec"] = None
        self._highest[key] = (self._versions, slots)
        self._platform[key] = value
        self._history.append((key, value))
        self._offer(node, key, value)

    @stateful.precondition(lambda self: self._history)
    @stateful.rule(node=nodes, number=strategies.integers(0, 99))
    def offer_something_old(self, node, number):
        key, value = self._history[number % len(self._history)]
        self._offer(node, key, value)

    @stateful.rule(node=nodes)
    def read_the_platform(self, node):
        for key, value in self._platform.items():
            self._offer(node, key, value)

    @stateful.rule(name=names)
    def platform_loses(self, name):
        """The store is lost after a node has heard of the change.

        Found by a trace: a change that no node has heard of yet, or whose
        only node was replaced, is lost with the store. No one could know of
        it (docs/design/configuration.md, limits).
        """
        key = store.Key(store.SERVICE, name)
        if self._holders(key, self._stores):
            self._platform.pop(key, None)

    @stateful.rule(node=nodes, name=names)
    def delete_past_submit(self, node, name):
        self._stores[node].apply(store.SERVICE, name, 999, {})

    @stateful.rule(node=nodes)
    def tick(self, node):
        self._now += spreading.TICK
        self._send(node, self._cores[node].tick(self._now))

    @stateful.precondition(lambda self: self._flying)
    @stateful.rule(
        number=strategies.integers(0, 99),
        fate=strategies.sampled_from(("deliver", "lose", "repeat")),
    )
    def a_message(self, number, fate):
        position = number % len(self._flying)
        item = self._flying[position]
        if fate != "repeat":
            del self._flying[position]
        if fate != "lose":
            core = self._cores[item.to]
            received = core.received(item.message, self._now)
            self._send(item.to, received.outgoing)

    @stateful.rule()
    def nothing_arrives_until_rumours_end(self):
        """A long partition: only repair can make up for it afterwards."""
        for _ in range(30):
            self._now += spreading.TICK
            for name in NODES:
                self._cores[name].tick(self._now)
        self._flying.clear()

    @stateful.rule(sender=nodes, receiver=nodes)
    def cut_one_way(self, sender, receiver):
        self._cut.add((sender, receiver))

    @stateful.rule()
    def heal(self):
        self._cut.clear()

    @stateful.rule(node=nodes)
    def replace_a_node(self, node):
        """A VM keeps nothing; its successor must not bring others back."""
        others = dict(self._stores)
        del others[node]
        # What only this VM has heard of is lost with it, unless the platform
        # still has it: no one could know of it.
        for key in self._highest:
            if key not in self._platform and not self._holders(key, others):
                return
        self._start(node)
        for key in self._highest:
            self._seen.pop((node, key), None)

    def _holders(self, key, stores):
        """How many nodes have the highest version of an object."""
        highest = self._highest.get(key, (0, None))[0]
        return sum(
            1 for held in stores.values() if held.in_force(key) == highest
        )

    @stateful.invariant()
    def no_node_goes_back(self):
        for name, held in self._stores.items():
            for key in self._highest:
                version = held.in_force(key)
                assert version >= self._seen.get((name, key), 0)
                self._seen[name, key] = version

    def teardown(self):
        self._cut.clear()
        self._flying.clear()
        for key, value in self._platform.items():
            self._offer(NODES[0], key, value)
        for _ in range(ROUNDS_TO_CONVERGE):
            self._now += spreading.TICK
            for name in NODES:
                self._send(name, self._cores[name].tick(self._now))
            # Bounded: a fault that makes nodes answer one another for ever
            # must end as a failure and not as a hang.
            for _ in range(MESSAGES_A_ROUND):
                if not self._flying:
                    break
                item = self._flying.pop(0)
                core = self._cores[item.to]
                received = core.received(item.message, self._now)
                self._send(item.to, received.outgoing)
            if len({held.buckets for held in self._stores.values()}) == 1:
                break
        for held in self._stores.values():
            for key, (version, slots) in self._highest.items():
                assert held.in_force(key) == version
                service = held.service(key.name)
                assert (service.slots if service else None) == slots


ConfigurationTest = ConfigurationMachine.TestCase
ConfigurationTest.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
