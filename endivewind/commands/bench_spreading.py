"""endivewind-bench spreading: time until a change is in force on N nodes.

Simulates the configuration replication (config/replication.py) of all nodes
in one process and in virtual time, with the size of messages as encoded on the
wire. It simulates no other part of a fleet.
"""

import collections.abc
import dataclasses
import datetime
import heapq
import itertools
import random
import statistics

from absl import flags

from endivewind import exceptions
from endivewind.commands import bench_options
from endivewind.commands import options
from endivewind.config import replication
from endivewind.config import store
from endivewind.nodes import codec
from endivewind.nodes import configuration

USAGE = "spreading --nodes=N [--loss=0.1] [--runs=5] [--format=json]"

ZONES = (
    ("andina", "andina-a"),
    ("andina", "andina-b"),
    ("andina", "andina-c"),
    ("caribe", "caribe-a"),
    ("caribe", "caribe-b"),
)
SAME_REGION_LATENCY = datetime.timedelta(milliseconds=1.5)
CROSS_REGION_LATENCY = datetime.timedelta(milliseconds=30)
RUN_TIMEOUT = datetime.timedelta(seconds=60)
# Covers many digest periods: an idle node sends a digest every two seconds.
QUIET_DURATION = datetime.timedelta(seconds=30)
INITIAL_OBJECTS = 50
CHANGED_KEY = store.Key(store.SERVICE, "riders")

flags.declare_key_flag("nodes")
DEFAULT_NODES = 50
_LOSS = flags.DEFINE_float("loss", 0.1, "Share of messages that are lost.")
_RUNS = flags.DEFINE_integer(
    "runs", 5, "Number of runs, each with its own seed."
)


@dataclasses.dataclass(frozen=True, slots=True)
class SpreadingResult:
    """Result of one run.

    Attributes:
      seconds: time until the change is in force on every node; inf if never.
      change_bytes: mean bytes sent per node until then.
      max_bytes: bytes sent until then by the node that sent most.
      quiet_bytes_per_second: mean bytes per second sent by an idle node.
    """

    seconds: float
    change_bytes: float
    max_bytes: int
    quiet_bytes_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class SpreadingFigures:
    """Results of several runs with one number of nodes."""

    nodes: int
    loss: float
    runs: int
    median_seconds: float
    worst_seconds: float
    change_bytes_per_node: float
    most_change_bytes: int
    quiet_bytes_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class _NodeLocation:
    name: str
    region: str
    zone: str


class SimulatedReplicators:
    """N replicators connected by a lossy network in virtual time."""

    def __init__(self, nodes: int, loss: float, seed: int) -> None:
        self._rng = random.Random(seed)
        self._loss = loss
        self._event_numbers = itertools.count()
        self._queue: list[
            tuple[float, int, str, replication.Message | None]
        ] = []
        self.members = {
            f"node-{number:04d}": _NodeLocation(
                f"node-{number:04d}", *ZONES[number % len(ZONES)]
            )
            for number in range(nodes)
        }
        self.stores = {name: _make_store() for name in self.members}
        self.replicators = {
            name: replication.Replicator(
                name,
                member.region,
                member.zone,
                self.stores[name],
                self._make_peer_provider(name),
                rng,
            )
            for (name, member), rng in zip(
                self.members.items(), self._make_rngs(), strict=False
            )
        }
        self.sent_bytes = dict.fromkeys(self.members, 0)
        self.now = datetime.timedelta()
        self.blocked_directions: set[tuple[str, str]] = set()
        for name, replicator in self.replicators.items():
            replicator.is_ready = True
            phase = self._rng.uniform(
                0, replication.TICK_INTERVAL.total_seconds()
            )
            self._push(phase, name, None)

    def write(self, name: str, key: store.Key, value: dict) -> None:
        """Applies an object at one node, as its watch of the platform does."""
        before = self.stores[name].stamp(key)
        self.stores[name].apply(*key, 1, value)
        if self.stores[name].stamp(key) != before:
            self.replicators[name].add_rumour(key)

    def run_until(self, done: collections.abc.Callable[[], bool]) -> bool:
        """Runs until done, at most for RUN_TIMEOUT; returns whether done."""
        end = self.now + RUN_TIMEOUT
        while self.now < end:
            if done():
                return True
            self._step()
        return done()

    def run_for(self, duration: datetime.timedelta) -> None:
        """Runs for a duration of virtual time."""
        end = self.now + duration
        while self.now < end:
            self._step()

    def _step(self) -> None:
        seconds, _, name, message = heapq.heappop(self._queue)
        self.now = datetime.timedelta(seconds=seconds)
        replicator = self.replicators[name]
        if message is None:
            self._push(
                seconds + replication.TICK_INTERVAL.total_seconds(), name, None
            )
            self._send(name, replicator.tick(self.now))
        else:
            self._send(
                name, replicator.handle_message(message, self.now).outgoing
            )

    def _send(
        self, name: str, outgoing: list[replication.OutgoingMessage]
    ) -> None:
        for item in outgoing:
            wire = configuration.encode_message(item.message)
            frame = codec.messages.Frame(configuration=wire)
            self.sent_bytes[name] += len(codec.encode_frame(frame))
            sender, receiver = self.members[name], self.members[item.to]
            is_blocked = (
                sender.zone,
                receiver.region,
            ) in self.blocked_directions
            if is_blocked or self._rng.random() < self._loss:
                continue
            is_same_region = sender.region == receiver.region
            latency = (
                SAME_REGION_LATENCY if is_same_region else CROSS_REGION_LATENCY
            )
            arrives = self.now + latency
            self._push(arrives.total_seconds(), item.to, item.message)

    def _push(
        self, seconds: float, name: str, message: replication.Message | None
    ) -> None:
        item = (seconds, next(self._event_numbers), name, message)
        heapq.heappush(self._queue, item)

    def _make_peer_provider(
        self, name: str
    ) -> collections.abc.Callable[[], list[replication.Peer]]:
        peers: list[replication.Peer] = [
            member for member in self.members.values() if member.name != name
        ]
        return lambda: peers

    def _make_rngs(self) -> collections.abc.Iterator[random.Random]:
        while True:
            yield random.Random(self._rng.random())


def _make_store() -> store.ConfigurationStore:
    initial_store = store.ConfigurationStore()
    for number in range(INITIAL_OBJECTS):
        initial_store.apply(
            store.SERVICE, f"service-{number}", 1, make_service_value(3, 1)
        )
    return initial_store


def make_service_value(slots: int, version: int) -> dict:
    """Returns the value of a service object."""
    return {
        "spec": {"slots": slots},
        "operation": f"{version:032x}",
        "version": version,
    }


def run_once(
    nodes: int,
    loss: float,
    seed: int,
    changed: tuple[store.Key, dict] | None = None,
) -> SpreadingResult:
    """Simulates one change that a single node receives from the platform.

    No other node gets the change from the platform, as if it were unavailable
    to all other watchers. Messages from the zone of this node to the other
    region are lost, while those in the other direction arrive, so the change
    has to take a path through other zones.
    """
    key, value = changed or (CHANGED_KEY, make_service_value(5, 2))
    simulation = SimulatedReplicators(nodes, loss, seed)
    source = next(iter(simulation.members.values()))
    other = {region for region, _ in ZONES if region != source.region}
    simulation.blocked_directions = {(source.zone, region) for region in other}
    simulation.run_for(QUIET_DURATION)
    quiet_bytes_per_second = (
        statistics.mean(simulation.sent_bytes.values())
        / QUIET_DURATION.total_seconds()
    )
    simulation.sent_bytes = dict.fromkeys(simulation.members, 0)
    start = simulation.now
    simulation.write(source.name, key, value)
    stores = simulation.stores.values()
    pending = set(simulation.members)

    def done() -> bool:
        while pending:
            name = next(iter(pending))
            if (
                simulation.stores[name].version_in_force(key)
                != value["version"]
            ):
                return False
            pending.discard(name)
        return all(
            item.version_in_force(key) == value["version"] for item in stores
        )

    reached = simulation.run_until(done)
    seconds = (
        (simulation.now - start).total_seconds() if reached else float("inf")
    )
    return SpreadingResult(
        seconds,
        statistics.mean(simulation.sent_bytes.values()),
        max(simulation.sent_bytes.values()),
        quiet_bytes_per_second,
    )


def measure(nodes: int, loss: float = 0.1, runs: int = 5) -> SpreadingFigures:
    """Aggregates several runs with seeds from 1."""
    results = [run_once(nodes, loss, seed) for seed in range(1, runs + 1)]
    seconds = [item.seconds for item in results]
    return SpreadingFigures(
        nodes,
        loss,
        runs,
        round(statistics.median(seconds), 3),
        round(max(seconds), 3),
        round(statistics.mean(item.change_bytes for item in results)),
        max(item.max_bytes for item in results),
        round(statistics.mean(item.quiet_bytes_per_second for item in results)),
    )


def main(arguments: list[str]) -> int:
    """Measures and prints the figures for --nodes."""
    if (
        arguments
        or (bench_options.NODES.value or DEFAULT_NODES) < 2
        or _RUNS.value < 1
    ):
        raise exceptions.UsageError(f"usage: endivewind-bench {USAGE}")
    figures = measure(
        (bench_options.NODES.value or DEFAULT_NODES), _LOSS.value, _RUNS.value
    )
    lines = [
        f"{name}: {value}"
        for name, value in dataclasses.asdict(figures).items()
    ]
    options.print_result(dataclasses.asdict(figures), "\n".join(lines))
    return 0
