"""Runs gossip: the timer, the socket, the links and the platform's list."""

import asyncio
import collections.abc
import dataclasses
import datetime
import logging
import random
from typing import Any

from endivewind import clock as clocks
from endivewind import logs
from endivewind.config import settings
from endivewind.decisions import peer_updates
from endivewind.durable import membership as directories
from endivewind.nodes import codec
from endivewind.nodes import datagrams
from endivewind.nodes import discovery
from endivewind.nodes import gossip
from endivewind.nodes import gossip_messages
from endivewind.nodes import links
from endivewind.nodes import membership
from endivewind.nodes import states
from endivewind.nodes import traffic
from endivewind.nodes import view
from endivewind.targets import registry

log = logging.getLogger(__name__)

TICK = datetime.timedelta(milliseconds=100)
# Each answer to a pull of everything is about 1.4 MB at full size.
MAX_ANSWERS = 2
# Targets renew within a third of their lease; those that do not move in this
# time would be lost with or without waiting.
LEAVE_WAIT = datetime.timedelta(seconds=3)


# Takes news of the node that is named.
Hear = collections.abc.Callable[[str, peer_updates.PeerUpdate], None]


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """What gossip keeps up to date.

    Attributes:
      fleet: all targets.
      targets: this node's own.
      hear: takes what other nodes of the zone tell.
    """

    fleet: view.FleetView
    targets: registry.TargetRegistry
    hear: Hear


@dataclasses.dataclass(frozen=True, slots=True)
class Entrance:
    """How this start finds the fleet.

    Attributes:
      directory: where nodes register.
      at_start: the nodes of its zone before this start, where that is known.
      registered: called when this start is registered.
    """

    directory: directories.Directory
    at_start: directories.ZoneListing | None
    registered: collections.abc.Callable[[], None]


class GossipService:
    """One node's gossip, with its input and output."""

    def __init__(
        self,
        config: settings.NodeSettings,
        me: view.NodeRecord,
        state: State,
        pool: links.LinkPool,
        entrance: Entrance,
        clock: clocks.Clock,
        rng: random.Random,
        meter: traffic.Meter | None = None,
    ) -> None:
        self._state = state
        self._pool = pool
        self._members = membership.Membership(me, clock, rng, config.seeds)
        self._discovery = discovery.Discovery(
            entrance.directory,
            self._members,
            config.seeds,
            entrance.at_start,
            clock,
            rng,
            entrance.registered,
        )
        self._core = gossip.Gossip(self._members, state.fleet, clock, rng)
        self._socket = datagrams.DatagramSocket(
            self._received, config.gossip_key.encode(), meter
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._sending: set[asyncio.Task[None]] = set()
        self._answering = 0
        self._warned = False

    async def start(self, address: str) -> None:
        """Binds the socket to an address and starts the tasks."""
        host, _, port = address.rpartition(":")
        await self._socket.start(host.strip("[]"), int(port))
        self._core.join()
        for work in (self._run(), self._discovery.run()):
            self._tasks.append(asyncio.create_task(work))

    def announce_leave(self) -> None:
        """Tells the fleet that this node leaves; gossip goes on meanwhile."""
        self._dispatch(self._core.leave())

    async def targets_moved(self) -> None:
        """Waits until this node's targets have moved to other homes."""
        for _ in range(int(LEAVE_WAIT / TICK)):
            if not self._state.targets.announced():
                return
            await asyncio.sleep(TICK.total_seconds())

    async def stop(self) -> None:
        """Takes leave and ends gossip."""
        for task in (*self._tasks, *self._sending):
            task.cancel()
        await asyncio.gather(
            *self._tasks, *self._sending, return_exceptions=True
        )
        self._dispatch(self._core.leave())
        self._socket.stop()

    def frame(self, frame: Any) -> None:
        """Takes a frame of gossip that came by a link."""
        try:
            message = states.frame_in(frame)
        except codec.FrameError as error:
            log.warning("gossip frame dropped: %s", error)
            return
        if isinstance(message, gossip_messages.Pull):
            self._answer(message)
            return
        self._dispatch(self._core.receive_state(message))
        for target, incarnation in self._core.take_left():
            self._state.targets.remember_left(target, incarnation)
        self._take_heard()

    def targets_changed(self) -> None:
        """Spreads what has changed among this node's own targets, at once.

        A leave that is acknowledged must outlive this process, which may end
        in the next moment; a few peers have it before the answer goes out.
        """
        changes = self._state.targets.take_changes()
        self._core.originate(changes)
        if changes:
            self._dispatch(self._core.push())

    def tell(self, news: peer_updates.PeerUpdate) -> None:
        """Tells the nodes of this zone."""
        if news:
            self._dispatch(self._core.tell(news))

    def not_ready(self) -> str | None:
        """What is missing before this node can place work; None if nothing."""
        if self._members.superseded:
            return "a later start of this node is known"
        if self._core.has_state:
            return None
        if not self._discovery.has_listed:
            return "no list of nodes yet"
        return None if self._core.joined else "no state of the fleet yet"

    @property
    def is_settled(self) -> bool:
        """Whether this node knows those that started before it."""
        return self._discovery.is_settled and self.not_ready() is None

    def left(self) -> tuple[str, ...]:
        """Nodes that have left as planned and not come back."""
        return tuple(
            name
            for name, item in self._members.members.items()
            if item.state is membership.State.LEFT
        )

    def status(self) -> dict[str, object]:
        """For operators: nodes by state, and this node's doubt in itself."""
        counts = dict.fromkeys(membership.State, 0)
        for item in self._members.members.values():
            counts[item.state] += 1
        found: dict[str, object] = {
            state.name.lower(): count for state, count in counts.items()
        }
        found["targets"] = self._state.fleet.target_count
        found["self_doubt"] = self._members.doubtful
        found["digest"] = self._core.summary
        found["datagram_bytes_sent"] = self._socket.sent_bytes
        found["datagram_bytes_received"] = self._socket.received_bytes
        return found

    async def _run(self) -> None:
        while True:
            self.targets_changed()
            self._dispatch(self._core.tick())
            self._step_down()
            self._log_turns()
            await asyncio.sleep(TICK.total_seconds())

    def _log_turns(self) -> None:
        for record in self._core.take_turns():
            alive = record.state is membership.State.ALIVE
            log.log(
                logging.DEBUG if alive else logging.WARNING,
                "member",
                extra=logs.fields(
                    node=record.node.name, state=record.state.name.lower()
                ),
            )

    def _step_down(self) -> None:
        """Ends this start's part when a later start of its name is known."""
        if self._members.superseded and not self._warned:
            self._warned = True
            self._state.targets.stop_taking()
            log.error("a later start of this node is known; taking no targets")

    def _received(
        self, address: str, datagram: gossip_messages.Datagram
    ) -> None:
        self._state.hear(datagram.sender, datagram.news)
        self._dispatch(self._core.receive(address, datagram))
        self._take_heard()

    def _take_heard(self) -> None:
        heard = self._core.take_heard()
        for record in heard:
            if self._state.targets.give_up(record):
                log.warning(
                    "target has moved",
                    extra=logs.fields(target=record.id, home=record.home),
                )
                self.targets_changed()
        if log.isEnabledFor(logging.DEBUG):
            for home in {record.home for record in heard}:
                self._log_home(home)

    def _log_home(self, home: str) -> None:
        state = self._state.fleet.home_state(home)
        held = [item.id for item in state.targets] if state else []
        log.debug("home heard", extra=logs.fields(home=home, targets=held))

    def _dispatch(self, sends: list[gossip_messages.Send]) -> None:
        for item in sends:
            if isinstance(item.message, gossip_messages.Datagram):
                self._socket.send(item.address, item.message)
            else:
                self._start(self._send(item.address, item.message))

    async def _send(
        self,
        address: str,
        message: gossip_messages.FleetState | gossip_messages.Pull,
    ) -> None:
        await self._pool.send(address, states.frame_out(message))

    def _answer(self, pull: gossip_messages.Pull) -> None:
        if self._answering >= MAX_ANSWERS:
            # The other asks again, and another node, a second later.
            return
        self._answering += 1
        self._start(self._send_answer(pull))

    async def _send_answer(self, pull: gossip_messages.Pull) -> None:
        try:
            for part in self._core.answer(pull):
                frame = states.frame_out(part)
                if not await self._pool.send(pull.address, frame):
                    return
        finally:
            self._answering -= 1

    def _start(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)
