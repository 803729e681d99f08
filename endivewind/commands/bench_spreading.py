"""endivewind-bench spreading: how soon a change is in force on N nodes.

The nodes are the pure cores of config/spreading.py in one process and in
virtual time; messages are encoded as they are on the wire. It measures
spreading alone and simulates nothing else of a fleet.
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
from endivewind.config import spreading
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
NEAR_LATENCY = datetime.timedelta(milliseconds=1.5)
FAR_LATENCY = datetime.timedelta(milliseconds=30)
GIVE_UP = datetime.timedelta(seconds=60)
# Long enough for digests to make most of a quiet node's bytes.
QUIET = datetime.timedelta(seconds=30)
LOADED_OBJECTS = 50
CHANGED = store.Key(store.SERVICE, "riders")

flags.declare_key_flag("nodes")
DEFAULT_NODES = 50
_LOSS = flags.DEFINE_float("loss", 0.1, "Share of messages lost.")
_RUNS = flags.DEFINE_integer("runs", 5, "Runs, each with its own seed.")


@dataclasses.dataclass(frozen=True, slots=True)
class SpreadingRun:
    """One run.

    Attributes:
      seconds: until the change is in force on every node; inf if never.
      change_bytes: sent by a node on average until then.
      most_bytes: sent until then by the node that sent most.
      quiet_bytes_per_second: sent by a node on average with nothing to tell.
    """

    seconds: float
    change_bytes: float
    most_bytes: int
    quiet_bytes_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class SpreadingFigures:
    """Several runs at one size."""

    nodes: int
    loss: float
    runs: int
    median_seconds: float
    worst_seconds: float
    change_bytes_per_node: float
    most_change_bytes: int
    quiet_bytes_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Member:
    name: str
    region: str
    zone: str


class Cores:
    """N spreading cores joined by a lossy network in virtual time."""

    def __init__(self, nodes: int, loss: float, seed: int) -> None:
        self._rng = random.Random(seed)
        self._loss = loss
        self._order = itertools.count()
        self._queue: list[tuple[float, int, str, spreading.Message | None]] = []
        self.members = {
            f"node-{number:04d}": _Member(
                f"node-{number:04d}", *ZONES[number % len(ZONES)]
            )
            for number in range(nodes)
        }
        self.stores = {name: _loaded() for name in self.members}
        self.cores = {
            name: spreading.Spreader(
                name, member.region, self.stores[name], self._peers(name), rng
            )
            for (name, member), rng in zip(
                self.members.items(), self._rngs(), strict=False
            )
        }
        self.sent = dict.fromkeys(self.members, 0)
        self.now = datetime.timedelta()
        self.cut: set[tuple[str, str]] = set()
        for name, core in self.cores.items():
            core.ready = True
            phase = self._rng.uniform(0, spreading.TICK.total_seconds())
            self._push(phase, name, None)

    def write(self, name: str, key: store.Key, value: dict) -> None:
        """Gives one node an object, as the platform's watch would."""
        before = self.stores[name].stamp(key)
        self.stores[name].apply(*key, 1, value)
        if self.stores[name].stamp(key) != before:
            self.cores[name].taken(key)

    def run_until(self, done: collections.abc.Callable[[], bool]) -> bool:
        """Runs until done or GIVE_UP from now; returns whether it is done."""
        end = self.now + GIVE_UP
        while self.now < end:
            if done():
                return True
            self._step()
        return done()

    def run_for(self, span: datetime.timedelta) -> None:
        """Runs for a span of virtual time."""
        end = self.now + span
        while self.now < end:
            self._step()

    def _step(self) -> None:
        seconds, _, name, message = heapq.heappop(self._queue)
        self.now = datetime.timedelta(seconds=seconds)
        core = self.cores[name]
        if message is None:
            self._push(seconds + spreading.TICK.total_seconds(), name, None)
            self._send(name, core.tick(self.now))
        else:
            self._send(name, core.received(message, self.now).outgoing)

    def _send(self, name: str, outgoing: list[spreading.Outgoing]) -> None:
        for item in outgoing:
            wire = configuration.message_out(item.message)
            frame = codec.messages.Frame(configuration=wire)
            self.sent[name] += len(codec.encode_frame(frame))
            sender, receiver = self.members[name], self.members[item.to]
            cut = (sender.zone, receiver.region) in self.cut
            if cut or self._rng.random() < self._loss:
                continue
            near = sender.region == receiver.region
            latency = NEAR_LATENCY if near else FAR_LATENCY
            arrives = self.now + latency
            self._push(arrives.total_seconds(), item.to, item.message)

    def _push(
        self, seconds: float, name: str, message: spreading.Message | None
    ) -> None:
        item = (seconds, next(self._order), name, message)
        heapq.heappush(self._queue, item)

    def _peers(
        self, name: str
    ) -> collections.abc.Callable[[], list[spreading.Peer]]:
        peers: list[spreading.Peer] = [
            member for member in self.members.values() if member.name != name
        ]
        return lambda: peers

    def _rngs(self) -> collections.abc.Iterator[random.Random]:
        while True:
            yield random.Random(self._rng.random())


def _loaded() -> store.ConfigurationStore:
    loaded = store.ConfigurationStore()
    for number in range(LOADED_OBJECTS):
        loaded.apply(store.SERVICE, f"service-{number}", 1, change(3, 1))
    return loaded


def change(slots: int, version: int) -> dict:
    """A value of a service."""
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
) -> SpreadingRun:
    """One change, heard from the platform by one node only.

    Every other watcher has lost the platform, and the zone of the one that
    hears reaches no node of the other region, while it is heard itself: the
    change has to walk round through other zones.
    """
    key, value = changed or (CHANGED, change(5, 2))
    cores = Cores(nodes, loss, seed)
    source = next(iter(cores.members.values()))
    other = {region for region, _ in ZONES if region != source.region}
    cores.cut = {(source.zone, region) for region in other}
    cores.run_for(QUIET)
    quiet = statistics.mean(cores.sent.values()) / QUIET.total_seconds()
    cores.sent = dict.fromkeys(cores.members, 0)
    start = cores.now
    cores.write(source.name, key, value)
    stores = cores.stores.values()
    waiting = set(cores.members)

    def done() -> bool:
        while waiting:
            name = next(iter(waiting))
            if cores.stores[name].in_force(key) != value["version"]:
                return False
            waiting.discard(name)
        return all(item.in_force(key) == value["version"] for item in stores)

    reached = cores.run_until(done)
    seconds = (cores.now - start).total_seconds() if reached else float("inf")
    return SpreadingRun(
        seconds,
        statistics.mean(cores.sent.values()),
        max(cores.sent.values()),
        quiet,
    )


def measure(nodes: int, loss: float = 0.1, runs: int = 5) -> SpreadingFigures:
    """Several runs with seeds from 1."""
    found = [run_once(nodes, loss, seed) for seed in range(1, runs + 1)]
    seconds = [item.seconds for item in found]
    return SpreadingFigures(
        nodes,
        loss,
        runs,
        round(statistics.median(seconds), 3),
        round(max(seconds), 3),
        round(statistics.mean(item.change_bytes for item in found)),
        max(item.most_bytes for item in found),
        round(statistics.mean(item.quiet_bytes_per_second for item in found)),
    )


def main(arguments: list[str]) -> int:
    """Prints the figures for --nodes."""
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
    options.show(dataclasses.asdict(figures), "\n".join(lines))
    return 0
