"""Simulates all nodes but one for `endivewind-bench control`.

Each simulated node runs the gossip and membership code of real nodes on its
own UDP and TCP address on loopback. It serves no requests and has no faults,
since the benchmark measures only the control traffic of the real node.
"""

import asyncio
import collections.abc
import contextlib
import datetime
import random
import sys
from typing import Any

from endivewind import clock as clocks
from endivewind.nodes import codec
from endivewind.nodes import datagrams
from endivewind.nodes import gossip
from endivewind.nodes import gossip_frames
from endivewind.nodes import gossip_messages
from endivewind.nodes import link_server
from endivewind.nodes import links
from endivewind.nodes import membership
from endivewind.nodes import view
from endivewind.targets import records

ZONES = (
    ("andina", "andina-a"),
    ("andina", "andina-b"),
    ("andina", "andina-c"),
    ("caribe", "caribe-a"),
)
# The real node is alone in the fifth zone, so that it is that zone's watcher: it
# watches the platform and replicates changes to the other nodes. This costs
# more than only receiving them from other nodes.
REAL_ZONE = ("caribe", "caribe-b")
SERVICE_COUNT = 310
TICK_INTERVAL = datetime.timedelta(milliseconds=100)
_TICK_PHASES = 10


class SimulatedNode(link_server.LinkHandler):
    """One simulated node."""

    def __init__(self, fleet: "SimulatedFleet", name: str, zone: int) -> None:
        self._fleet = fleet
        self.name = name
        self._region, self._zone = ZONES[zone % len(ZONES)]
        self._socket = datagrams.DatagramSocket(self._handle_datagram)
        self._server = link_server.LinkServer(self)
        self.record: view.NodeRecord
        self.view: view.FleetView
        self.gossip: gossip.Gossip
        self._members: membership.Membership
        self._sequence = 0

    async def bind(self) -> None:
        """Binds the UDP and TCP address."""
        address = await self._server.bind("127.0.0.1", 0)
        await self._server.serve()
        host, _, port = address.rpartition(":")
        await self._socket.start(host, int(port))
        self.record = view.NodeRecord(
            self.name, 1, address, self._region, self._zone
        )

    def join(
        self,
        incarnation: int,
        fleet_view: view.FleetView,
        nodes: collections.abc.Iterable[view.NodeRecord],
    ) -> None:
        """Starts membership and gossip with the knowledge of the fleet."""
        clock, rng = self._fleet.clock, self._fleet.rng
        self.record = view.NodeRecord(
            self.name,
            incarnation,
            self.record.address,
            self._region,
            self._zone,
        )
        self._members = membership.Membership(self.record, clock, rng)
        for node in nodes:
            if node.name != self.name:
                self._members.merge(
                    membership.MemberRecord(node, 0, membership.State.ALIVE)
                )
        self.view = fleet_view
        self.gossip = gossip.Gossip(self._members, self.view, clock, rng)
        self._sequence = self.view.home_version(self.name).sequence

    def tick(self) -> None:
        """Runs the timers of the gossip core."""
        self.send(self.gossip.tick())

    def change_target(
        self, target: str, health: records.EjectionStatus
    ) -> None:
        """Originates one change of one of its targets."""
        self._sequence += 1
        record = records.TargetRecord(
            id=target,
            service=service_of(target),
            home=self.name,
            home_incarnation=self.record.incarnation,
            sequence=self._sequence,
            region=self._region,
            zone=self._zone,
            slots=3,
            weight=1,
            state=records.State.READY,
            health=health,
            target_incarnation=1,
        )
        self.gossip.originate([records.TargetChange(record)])

    def send(self, sends: list[gossip_messages.OutgoingMessage]) -> None:
        """Sends the messages of the gossip core."""
        for item in sends:
            if isinstance(item.message, gossip_messages.Datagram):
                self._socket.send(item.address, item.message)
            else:
                self._fleet.send_frame(
                    item.address, gossip_frames.encode_message(item.message)
                )

    def handle_gossip(self, frame: Any) -> None:
        """Handles a gossip frame received on a link."""
        message = gossip_frames.decode_message(frame)
        if message.sender == self._fleet.real_name:
            self._fleet.record_received(frame)
        if isinstance(message, gossip_messages.Pull):
            self._fleet.send_parts(
                message.address, self.gossip.answer_pull(message)
            )
            return
        self.send(self.gossip.receive_state(message))

    def handle_configuration(self, message: Any) -> None:
        """Confirms the real node's digest, and sends it the same digest.

        Simulated nodes have no configuration. In a fleet, a node receives as
        many digests as it sends, and without changes all digests are equal.
        """
        self._fleet.record_received(codec.messages.Frame(configuration=message))
        if not message.digest:
            return
        for response in (
            codec.messages.Configuration(
                sender=self.name, ready=True, same=True
            ),
            codec.messages.Configuration(
                sender=self.name, ready=True, digest=message.digest
            ),
        ):
            frame = codec.messages.Frame(configuration=response)
            self._fleet.send_frame(self._fleet.real_address, frame)

    async def stop(self) -> None:
        """Closes the UDP and TCP address."""
        self._socket.stop()
        await self._server.stop()

    def _handle_datagram(
        self, address: str, datagram: gossip_messages.Datagram
    ) -> None:
        self.send(self.gossip.receive(address, datagram))


class SimulatedFleet:
    """All simulated nodes, in this process."""

    def __init__(self, count: int, targets: int, real_name: str) -> None:
        self.clock = clocks.SystemClock()
        self.rng = random.Random(1)
        self.real_name = real_name
        self.real_address = ""
        self.link_bytes = 0
        self.nodes = [
            SimulatedNode(self, f"node-{number:04}", number)
            for number in range(count)
        ]
        self._targets = targets
        self._pool = links.LinkPool(self.clock)
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Binds all nodes, gives them the same state and starts the ticks."""
        for node in self.nodes:
            await node.bind()
        nodes = [node.record for node in self.nodes]
        template = view.FleetView()
        for record in nodes:
            template.put_node(record)
        for number, node in enumerate(self.nodes):
            template.put_home_state(
                node.name,
                1,
                1,
                self._make_records(node, self.targets_of(number)),
            )
        for node in self.nodes:
            node.join(1, template.copy(), nodes)
        for phase in range(_TICK_PHASES):
            self._start_task(self._run_ticks(phase))

    async def stop(self) -> None:
        """Stops all nodes."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self.nodes:
            await node.stop()
        self._pool.close()

    def targets_of(self, number: int) -> list[str]:
        """Returns the ids of the targets of one node.

        The number after the last simulated node is the real node's.
        """
        node_count = len(self.nodes) + 1
        return [
            f"target-{index:05}"
            for index in range(number, self._targets, node_count)
        ]

    def send_frame(self, address: str, frame: Any) -> None:
        """Starts to send a frame over a link."""
        self._start_task(self._send(address, frame))

    def send_parts(
        self,
        address: str,
        parts: collections.abc.Iterable[gossip_messages.StatePart],
    ) -> None:
        """Starts to send the parts of a response in order, as real nodes do."""
        self._start_task(self._send_in_order(address, parts))

    def record_received(self, frame: Any) -> None:
        """Counts the bytes of a frame received from the real node."""
        self.link_bytes += len(codec.encode_frame(frame))

    async def run_changes(self, per_second: float) -> None:
        """Makes changes at random nodes, at a rate, until cancelled."""
        healths = (
            records.EjectionStatus.EJECTED,
            records.EjectionStatus.NORMAL,
        )
        while True:
            await asyncio.sleep(self.rng.expovariate(per_second))
            number = self.rng.randrange(len(self.nodes))
            targets = self.targets_of(number)
            if targets:
                target = self.rng.choice(targets)
                self.nodes[number].change_target(
                    target, self.rng.choice(healths)
                )

    async def restart(self, count: int, within: datetime.timedelta) -> None:
        """Restarts some nodes within a time; their targets reannounce."""
        nodes = [node.record for node in self.nodes]
        for number in self.rng.sample(range(len(self.nodes)), count):
            node = self.nodes[number]
            new_view = node.view
            new_view.remove_home_targets(node.name)
            node.join(node.record.incarnation + 1, new_view, nodes)
            node.gossip.announce_self()
            for target in self.targets_of(number):
                node.change_target(target, records.EjectionStatus.NORMAL)
            await asyncio.sleep(within.total_seconds() / count)

    def count_nodes_knowing(self, home: str, sequence: int) -> int:
        """Counts the simulated nodes that know a home's changes so far."""
        return sum(
            node.view.home_version(home).sequence >= sequence
            for node in self.nodes
        )

    def _make_records(
        self, node: SimulatedNode, targets: list[str]
    ) -> list[records.TargetRecord]:
        return [
            records.TargetRecord(
                id=target,
                service=service_of(target),
                home=node.name,
                home_incarnation=1,
                sequence=1,
                region=node.record.region,
                zone=node.record.zone,
                slots=3,
                weight=1,
                state=records.State.READY,
                health=records.EjectionStatus.NORMAL,
                target_incarnation=1,
            )
            for target in targets
        ]

    async def _send(self, address: str, frame: Any) -> None:
        if address == self.real_address:
            self.link_bytes += len(codec.encode_frame(frame))
        await self._pool.send(address, frame)

    async def _send_in_order(
        self,
        address: str,
        parts: collections.abc.Iterable[gossip_messages.StatePart],
    ) -> None:
        for part in parts:
            await self._send(address, gossip_frames.encode_message(part))

    async def _run_ticks(self, phase: int) -> None:
        await asyncio.sleep(
            phase * TICK_INTERVAL.total_seconds() / _TICK_PHASES
        )
        while True:
            for node in self.nodes[phase::_TICK_PHASES]:
                node.tick()
            await asyncio.sleep(TICK_INTERVAL.total_seconds())

    def _start_task(
        self, work: collections.abc.Coroutine[Any, Any, Any]
    ) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def service_of(target: str) -> str:
    """Returns the service of a target."""
    return f"service-{int(target.rpartition('-')[2]) % SERVICE_COUNT:03}"


@contextlib.asynccontextmanager
async def start_node_process(
    settings: str,
) -> collections.abc.AsyncGenerator[asyncio.subprocess.Process, None]:
    """Starts a real endivewind-node, and kills it on exit of the context."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        "from endivewind.commands import node; node.run()",
        f"--settings={settings}",
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        yield child
    finally:
        if child.returncode is None:
            child.kill()
        await child.wait()
