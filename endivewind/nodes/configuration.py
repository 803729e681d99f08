"""Runs the spreading of configuration on the links between nodes."""

import asyncio
import collections.abc
import datetime
import logging
import random
from typing import Any

import expression

from endivewind import clock as clocks
from endivewind import logs
from endivewind.config import joining
from endivewind.config import spreading
from endivewind.config import store
from endivewind.config import watchers
from endivewind.durable import retries
from endivewind.nodes import asking
from endivewind.nodes import codec
from endivewind.nodes import links
from endivewind.nodes import view
from endivewind.platform import messages

log = logging.getLogger(__name__)

# A peer that takes nothing must not pile up tasks; a message dropped here is
# made up for by the next digest.
MAX_SENDING = 64
# A node that starts among others has its configuration from them by then.
PEERS_FIRST = datetime.timedelta(milliseconds=500)
# Where nobody has answered by then, all start at once, and the first ones ask
# the platform; until they have an answer their callers are refused.
ALONE_FIRST = datetime.timedelta(milliseconds=150)
# How long it holds who watches, while as many nodes are known.
ROLE_LIFE = datetime.timedelta(seconds=1)
# Digests go to one peer about every two seconds; one in ten is lost.
PEERS_SILENT = datetime.timedelta(seconds=30)

InForce = collections.abc.Callable[[store.Key], None]


class ConfigurationPeer:
    """Takes configuration from the platform and from peers, and passes it on."""

    def __init__(
        self,
        place: view.NodeRecord,
        configuration: store.ConfigurationStore,
        kinds: collections.abc.Iterable[str],
        fleet: view.FleetView,
        pool: links.LinkPool,
        budget: retries.CallBudget,
        in_force: InForce,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._place = place
        self._store = configuration
        self._fleet = fleet
        self._pool = pool
        self._budget = budget
        self._in_force = in_force
        self._clock = clock
        self._rng = rng
        self._spreader = spreading.Spreader(
            place.name, place.region, configuration, self._peers, rng
        )
        self._joining = joining.Joining(self._spreader, kinds)
        self._asking = asking.Asking(place.name, configuration, fleet, pool)
        self._sending: set[asyncio.Task[None]] = set()
        # For how many nodes it was decided who watches, and when.
        self._decided = (0, -ROLE_LIFE)
        self._is_watcher = True
        self._started = clock.monotonic()

    @property
    def asking(self) -> asking.Asking:
        """Asks the fleet what is in force."""
        return self._asking

    @property
    def is_watcher(self) -> bool:
        """Whether this node is to hold the platform's watch.

        Asked for many times a second, and each answer looks at every node: one
        holds for a while as long as as many nodes are known.
        """
        now = self._clock.monotonic()
        nodes = len(self._fleet.nodes)
        if nodes != self._decided[0] or now - self._decided[1] >= ROLE_LIFE:
            self._decided = (nodes, now)
            self._is_watcher = watchers.is_watcher(
                self._place, self._fleet.nodes.values()
            )
        return self._is_watcher

    @property
    def lacks_peers(self) -> bool:
        """Whether no peer tells what is in force, so that the platform must.

        Peers answer a starting node within some hundred milliseconds, and
        each later one agrees with some peer every few seconds.
        """
        limit = PEERS_SILENT
        if self.missing():
            # The oldest asks at once, and the others have it from there.
            others = self._peers() and not self.is_watcher
            limit = PEERS_FIRST if others else ALONE_FIRST
        last = max(self._spreader.agreed_at, self._started)
        return self._clock.monotonic() - last >= limit

    def missing(self) -> str | None:
        """None when the configuration is whole, else what is missing."""
        return self._joining.missing(len(self._peers()))

    def seen(self, stored: messages.StoredObject) -> None:
        """Takes an object of the platform."""
        key = store.Key(stored.kind, stored.name)
        before = self._store.stamp(key)
        taken = self._store.apply(*key, stored.version, stored.value)
        match taken:
            case expression.Result(tag="ok", ok=True):
                self._log_in_force(key, "platform")
            case expression.Result(tag="error", error=rejection):
                log.error("object refused: %s", rejection)
        if self._store.stamp(key) != before:
            self._spreader.taken(key)
            self._send(self._spreader.tick(self._clock.monotonic()))

    def listed(self, kind: str) -> None:
        """Takes that all objects of a kind have been seen."""
        self._joining.listed(kind)

    def frame(self, frame: Any) -> None:
        """Takes a peer's frame."""
        if frame.configuration:
            self._received(frame.configuration)
        elif frame.configuration_ask:
            answer = self._asking.answer(frame.configuration_ask)
            peer = self._fleet.nodes.get(frame.configuration_ask.sender)
            if peer is not None:
                self._send_frame(peer.address, answer)
        else:
            self._asking.answered(frame.configuration_state)

    def _received(self, message: Any) -> None:
        now = self._clock.monotonic()
        result = self._spreader.received(message_in(message), now)
        for key in result.in_force:
            self._log_in_force(key, message.sender)
        for rejection in result.rejections:
            log.error("object refused: %s", rejection)
        self._send(result.outgoing)

    async def run(self) -> None:
        """Ticks for ever."""
        told = False
        while True:
            period = spreading.TICK if told else spreading.JOINING_PERIOD
            await asyncio.sleep(period.total_seconds())
            self._budget.set_nodes(self._sharers())
            if not told and self.missing() is None:
                told = True
                agreed = sorted(self._spreader.agreed)
                log.info("ready", extra=logs.fields(agreed=agreed))
            self._send(self._spreader.tick(self._clock.monotonic()))

    def _sharers(self) -> int:
        return watchers.sharers(self._place, self._fleet.nodes.values())

    def _peers(self) -> list[view.NodeRecord]:
        own = self._place.name
        return [peer for peer in self._fleet.nodes.values() if peer.name != own]

    def _log_in_force(self, key: store.Key, source: str) -> None:
        self._in_force(key)
        fields = logs.fields(
            kind=key.kind,
            object=key.name,
            version=self._store.in_force(key),
            source=source,
        )
        log.info("in force", extra=fields)

    def _send(self, outgoing: list[spreading.Outgoing]) -> None:
        for item in outgoing:
            peer = self._fleet.nodes.get(item.to)
            if peer is None or len(self._sending) >= MAX_SENDING:
                continue
            wire = message_out(item.message)
            frame = codec.messages.Frame(configuration=wire)
            self._send_frame(peer.address, frame)

    def _send_frame(self, address: str, frame: Any) -> None:
        task = asyncio.create_task(self._send_one(address, frame))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def _send_one(self, address: str, frame: Any) -> None:
        if not await self._pool.send(address, frame):
            log.debug("can't send to %s", address)


def message_out(message: spreading.Message) -> Any:
    """A message as a thrift struct."""
    return codec.messages.Configuration(
        sender=message.sender,
        ready=message.ready,
        digest=list(message.digest),
        same=message.same,
        have=[asking.stamp_out(item.key, item.stamp) for item in message.have],
        buckets=list(message.buckets),
        want=[asking.stamp_out(key, store.ABSENT) for key in message.want],
        objects=[
            codec.messages.ConfigurationObject(
                kind=item.key.kind,
                name=item.key.name,
                version=item.version,
                packed=item.value,
            )
            for item in message.objects
        ],
    )


def message_in(message: Any) -> spreading.Message:
    """A message from a thrift struct; missing fields are empty."""
    return spreading.Message(
        sender=message.sender or "",
        ready=bool(message.ready),
        digest=tuple(message.digest or ()),
        same=bool(message.same),
        have=tuple(
            spreading.Have(
                store.Key(item.kind, item.name),
                store.Stamp(item.version, item.fingerprint),
            )
            for item in message.have or ()
        ),
        buckets=tuple(message.buckets or ()),
        want=tuple(
            store.Key(item.kind, item.name) for item in message.want or ()
        ),
        objects=tuple(
            spreading.Packed(
                store.Key(item.kind, item.name), item.version, item.packed
            )
            for item in message.objects or ()
        ),
    )
