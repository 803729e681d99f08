"""Runs gossip: timer, UDP socket, links and the platform's node listing.

The node starts and stops it. The protocol itself, without input and output, is
in `nodes/gossip.py`; node discovery is in `nodes/discovery.py`.
"""

import asyncio
import collections.abc
import dataclasses
import datetime
import logging
import random
from typing import Any

from endivewind import clock as clocks
from endivewind import logs
from endivewind import periodic
from endivewind import supervision
from endivewind.config import settings
from endivewind.decisions import peer_updates
from endivewind.decisions import poison_requests
from endivewind.durable import node_directory as directories
from endivewind.durable import node_entry
from endivewind.nodes import codec
from endivewind.nodes import datagrams
from endivewind.nodes import discovery
from endivewind.nodes import gossip
from endivewind.nodes import gossip_frames
from endivewind.nodes import gossip_messages
from endivewind.nodes import links
from endivewind.nodes import membership
from endivewind.nodes import traffic
from endivewind.nodes import view
from endivewind.targets import registry

log = logging.getLogger(__name__)

TICK_INTERVAL = datetime.timedelta(milliseconds=100)
# Pulls of other nodes that this node responds to at the same time. The response
# to a pull of the whole state is about 1.4 MB at full size.
MAX_CONCURRENT_PULL_RESPONSES = 2
# How long a node that shuts down waits for its targets to move. A target renews
# its lease, and so learns that it must move, within a third of the lease's
# duration. One that has not moved after this time would be lost even if the
# node waited longer.
TARGET_MOVE_TIMEOUT = datetime.timedelta(seconds=3)


# Receives the name of a node and the update that it sent.
PeerUpdateHandler = collections.abc.Callable[
    [str, peer_updates.PeerUpdate], None
]


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicatedState:
    """The data that gossip keeps up to date, and who receives updates.

    Attributes:
      fleet: all nodes and targets.
      targets: this node's own targets.
      suspects: requests that have crashed targets.
      on_peer_update: receives the updates of other nodes of the zone.
    """

    fleet: view.FleetView
    targets: registry.TargetRegistry
    suspects: poison_requests.SuspectRequests
    on_peer_update: PeerUpdateHandler


@dataclasses.dataclass(frozen=True, slots=True)
class Bootstrap:
    """How this node finds the fleet when it starts.

    Attributes:
      directory: where nodes register.
      entry: this node's own entry there.
      initial_listing: the nodes of its zone before it started, if known.
      on_registered: called when this incarnation is registered.
    """

    directory: directories.Directory
    entry: node_entry.NodeEntry
    initial_listing: directories.ZoneListing | None
    on_registered: collections.abc.Callable[[], None]


class GossipService:
    """Runs the gossip of one node, with its input and output."""

    def __init__(
        self,
        config: settings.NodeSettings,
        me: view.NodeRecord,
        state: ReplicatedState,
        pool: links.LinkPool,
        bootstrap: Bootstrap,
        clock: clocks.Clock,
        rng: random.Random,
        meter: traffic.Meter | None = None,
    ) -> None:
        self._state = state
        self._pool = pool
        self._members = membership.Membership(me, clock, rng, config.seeds)
        self._discovery = discovery.Discovery(
            bootstrap.directory,
            bootstrap.entry,
            self._members,
            config.seeds,
            bootstrap.initial_listing,
            clock,
            rng,
            bootstrap.on_registered,
        )
        self._core = gossip.Gossip(
            self._members, state.fleet, clock, rng, state.suspects
        )
        self._socket = datagrams.DatagramSocket(
            self._handle_datagram, config.gossip_key.encode(), meter
        )
        self._supervisor = supervision.TaskSupervisor()
        self._send_tasks: set[asyncio.Task[None]] = set()
        self._running_pull_responses = 0
        self._refuses_announcements = False
        self._is_outranked = asyncio.Event()

    async def start(self, address: str) -> None:
        """Binds the UDP socket to an address and starts the tasks."""
        host, _, port = address.rpartition(":")
        await self._socket.start(host.strip("[]"), int(port))
        self._core.join()
        self._supervisor.start("gossip", self._run)
        self._supervisor.start("discovery", self._discovery.run)

    @property
    def failure_counts(self) -> collections.abc.Mapping[str, int]:
        """How often each task has failed, by name."""
        return self._supervisor.failure_counts

    def announce_leave(self) -> None:
        """Announces that this node shuts down; gossip continues."""
        self._dispatch(self._core.leave())

    async def wait_targets_moved(self) -> None:
        """Waits TARGET_MOVE_TIMEOUT at most until all targets have moved."""
        for _ in range(int(TARGET_MOVE_TIMEOUT / TICK_INTERVAL)):
            if not self._state.targets.target_records():
                return
            await asyncio.sleep(TICK_INTERVAL.total_seconds())

    async def wait_until_outranked(self) -> int:
        """Waits until an earlier process of this VM is known to rank higher.

        Returns:
          The incarnation of that process.
        """
        await self._is_outranked.wait()
        return self._members.own_later_incarnation

    async def stop(self) -> None:
        """Stops gossip and announces that this node has shut down."""
        await self._supervisor.stop()
        for task in self._send_tasks:
            task.cancel()
        await asyncio.gather(*self._send_tasks, return_exceptions=True)
        self._dispatch(self._core.leave())
        self._socket.stop()

    def handle_frame(self, frame: Any) -> None:
        """Processes a gossip frame that was received over a link."""
        try:
            message = gossip_frames.decode_message(frame)
        except codec.FrameError as error:
            log.warning("gossip frame dropped: %s", error)
            return
        if isinstance(message, gossip_messages.Pull):
            self._answer_pull(message)
            return
        self._dispatch(self._core.receive_state(message))
        for target, incarnation in self._core.take_departed_targets():
            self._state.targets.record_departure(target, incarnation)
        self._process_received_records()

    def publish_target_changes(self) -> None:
        """Publishes changes of this node's own targets immediately.

        The departure of a target, once acknowledged, must not be lost even if
        this process ends right afterwards. Therefore the change is sent to a
        few peers before the acknowledgement.
        """
        changes = self._state.targets.take_changes()
        self._core.originate(changes)
        if changes:
            self._dispatch(self._core.push())

    def publish_suspect(self, record: poison_requests.SuspectRequest) -> None:
        """Publishes the later record of a suspect request immediately."""
        self._core.publish_suspect(record)
        self._dispatch(self._core.push())

    def push_update(self, update: peer_updates.PeerUpdate) -> None:
        """Sends an update to the nodes of this zone."""
        if update:
            self._dispatch(self._core.push_update(update))

    def send_update(
        self, address: str, update: peer_updates.PeerUpdate
    ) -> None:
        """Sends an update to one node."""
        self._dispatch([self._core.make_update(address, update)])

    def not_ready_reason(self) -> str | None:
        """Returns why this node can't route requests yet; None if it can."""
        if self._members.is_superseded:
            return "a later incarnation of this node exists"
        if self._core.has_received_state:
            return None
        if not self._discovery.has_listing_or_seeds:
            return "no node listing yet"
        return None if self._core.has_joined else "no fleet state yet"

    @property
    def has_complete_view(self) -> bool:
        """Whether this node knows all nodes that started before it."""
        return (
            self._discovery.has_complete_zone_listing
            and self.not_ready_reason() is None
        )

    @property
    def unreachable_count(self) -> int:
        """Number of nodes that have disappeared without shutting down."""
        return self._members.dead_count

    def departed_nodes(self) -> tuple[str, ...]:
        """Returns the nodes that shut down as planned and have not returned."""
        return tuple(
            name
            for name, item in self._members.members.items()
            if item.state is membership.State.LEFT
        )

    def status(self) -> dict[str, object]:
        """Returns the status for operators, among it node counts by state."""
        counts = dict.fromkeys(membership.State, 0)
        for item in self._members.members.values():
            counts[item.state] += 1
        status: dict[str, object] = {
            state.name.lower(): count for state, count in counts.items()
        }
        status["targets"] = self._state.fleet.target_count
        status["self_doubt"] = self._members.is_probably_isolated
        status["digest"] = self._core.summary
        status["datagram_bytes_sent"] = self._socket.sent_bytes
        status["datagram_bytes_received"] = self._socket.received_bytes
        return status

    async def _run(self) -> None:
        while True:
            self.publish_target_changes()
            self._dispatch(self._core.tick())
            self._check_later_incarnation()
            self._log_member_changes()
            await periodic.sleep(TICK_INTERVAL)

    def _log_member_changes(self) -> None:
        for record in self._core.take_member_changes():
            is_alive = record.state is membership.State.ALIVE
            log.log(
                logging.DEBUG if is_alive else logging.WARNING,
                "member",
                extra=logs.fields(
                    node=record.node.name, state=record.state.name.lower()
                ),
            )

    def _check_later_incarnation(self) -> None:
        """Reacts to a later incarnation of this node, once one is known."""
        if self._members.own_later_incarnation:
            self._is_outranked.set()
        if self._members.is_superseded and not self._refuses_announcements:
            self._refuses_announcements = True
            self._state.targets.refuse_announcements()
            log.error(
                "a later incarnation of this node exists; accepting no targets"
            )

    def _handle_datagram(
        self, address: str, datagram: gossip_messages.Datagram
    ) -> None:
        self._state.on_peer_update(datagram.sender, datagram.peer_update)
        self._dispatch(self._core.receive(address, datagram))
        self._process_received_records()

    def _process_received_records(self) -> None:
        received = self._core.take_received_records()
        for record in received:
            if self._state.targets.release_if_moved(record):
                log.warning(
                    "target has moved",
                    extra=logs.fields(target=record.id, home=record.home),
                )
                self.publish_target_changes()
        if log.isEnabledFor(logging.DEBUG):
            for home in {record.home for record in received}:
                self._log_home_state(home)

    def _log_home_state(self, home: str) -> None:
        state = self._state.fleet.home_state(home)
        targets = [item.id for item in state.targets] if state else []
        log.debug("home heard", extra=logs.fields(home=home, targets=targets))

    def _dispatch(self, sends: list[gossip_messages.OutgoingMessage]) -> None:
        for item in sends:
            if isinstance(item.message, gossip_messages.Datagram):
                self._socket.send(item.address, item.message)
            else:
                self._start_task(self._send(item.address, item.message))

    async def _send(
        self,
        address: str,
        message: gossip_messages.StatePart | gossip_messages.Pull,
    ) -> None:
        await self._pool.send(address, gossip_frames.encode_message(message))

    def _answer_pull(self, pull: gossip_messages.Pull) -> None:
        if self._running_pull_responses >= MAX_CONCURRENT_PULL_RESPONSES:
            # The sender repeats its pull a second later, to another node.
            return
        self._running_pull_responses += 1
        self._start_task(self._send_state(pull))

    async def _send_state(self, pull: gossip_messages.Pull) -> None:
        try:
            for part in self._core.answer_pull(pull):
                frame = gossip_frames.encode_message(part)
                if not await self._pool.send(pull.address, frame):
                    return
        finally:
            self._running_pull_responses -= 1

    def _start_task(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._send_tasks.add(task)
        task.add_done_callback(self._send_tasks.discard)
