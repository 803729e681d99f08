"""Propagates configuration over the links between nodes.

Objects come from the platform and from peers; peers exchange digests to find
what they lack (anti-entropy). The protocol, without input and output, is in
`config/`; this module sends, receives and converts its messages.
"""

import asyncio
import collections.abc
import datetime
import logging
import random
from typing import Any

import expression

from endivewind import clock as clocks
from endivewind import logs
from endivewind import periodic
from endivewind.config import readiness
from endivewind.config import replication
from endivewind.config import store
from endivewind.config import watchers
from endivewind.durable import retries
from endivewind.nodes import codec
from endivewind.nodes import links
from endivewind.nodes import version_queries
from endivewind.nodes import view
from endivewind.platform import messages

log = logging.getLogger(__name__)

# Bounds the tasks that send to peers, all peers together, so that unresponsive
# ones can't accumulate more. Further messages are dropped; the next digest
# repairs the effect.
MAX_CONCURRENT_SENDS = 64
# A starting node that has peers reads the platform after this time. Running
# peers have sent it the whole configuration by then.
PEER_BOOTSTRAP_TIMEOUT = datetime.timedelta(milliseconds=500)
# A starting node that is a watcher or knows no peers reads the platform after
# this time. If no peer has responded by then, probably all nodes are starting
# at once. The timeout is short because callers are refused until the platform
# has responded.
WATCHER_BOOTSTRAP_TIMEOUT = datetime.timedelta(milliseconds=150)
# How long the watcher role is cached while the number of nodes is unchanged.
WATCHER_ROLE_TTL = datetime.timedelta(seconds=1)
# A running node reads the platform if no peer has confirmed for this long that
# their configurations agree. Each node sends a digest to one peer about every
# two seconds; one in ten is lost.
PEER_SILENCE_TIMEOUT = datetime.timedelta(seconds=30)

InForceCallback = collections.abc.Callable[[store.Key], None]


class ConfigurationService:
    """Receives configuration from the platform and peers, and propagates it."""

    def __init__(
        self,
        own_record: view.NodeRecord,
        configuration: store.ConfigurationStore,
        kinds: collections.abc.Iterable[str],
        fleet: view.FleetView,
        pool: links.LinkPool,
        budget: retries.CallBudget,
        on_in_force: InForceCallback,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._own_record = own_record
        self._store = configuration
        self._fleet = fleet
        self._pool = pool
        self._budget = budget
        self._on_in_force = on_in_force
        self._clock = clock
        self._rng = rng
        self._replicator = replication.Replicator(
            own_record.name,
            own_record.region,
            own_record.zone,
            configuration,
            self._peers,
            rng,
        )
        self._readiness = readiness.Readiness(self._replicator, kinds)
        self._version_queries = version_queries.VersionQueries(
            own_record.name, configuration, fleet, pool
        )
        self._send_tasks: set[asyncio.Task[None]] = set()
        # Number of nodes and time at the last update of the watcher role.
        self._role_updated = (0, -WATCHER_ROLE_TTL)
        self._is_watcher = True
        self._started = clock.monotonic()

    @property
    def version_queries(self) -> version_queries.VersionQueries:
        """Queries the fleet for the versions in force."""
        return self._version_queries

    @property
    def is_watcher(self) -> bool:
        """Whether this node should watch the platform.

        The result is cached for a short time, unless the number of known nodes
        changes: it is read many times per second and depends on all nodes.
        """
        now = self._clock.monotonic()
        nodes = len(self._fleet.nodes)
        if (
            nodes != self._role_updated[0]
            or now - self._role_updated[1] >= WATCHER_ROLE_TTL
        ):
            self._role_updated = (nodes, now)
            self._is_watcher = watchers.is_watcher(
                self._own_record, self._fleet.nodes.values()
            )
        return self._is_watcher

    @property
    def needs_platform(self) -> bool:
        """Whether this node must query the platform because no peer responds.

        Peers respond to a starting node within a few hundred milliseconds.
        Once it is running, some peer confirms every few seconds that its
        configuration is the same; if none does for PEER_SILENCE_TIMEOUT, peers
        can't be reached or disagree.

        Scenario: most nodes of a small fleet start at once. Risk: too few peers
        are ready to confirm this node's configuration, and those that are
        confirm it again and again, so that it would wait for ever. So for a
        node that is not ready only the first confirmation of each peer counts.
        """
        if self.missing():
            # Watchers query the platform early; the other nodes wait longer,
            # as they can get the configuration from a watcher.
            waits_for_peers = self._peers() and not self.is_watcher
            timeout = (
                PEER_BOOTSTRAP_TIMEOUT
                if waits_for_peers
                else WATCHER_BOOTSTRAP_TIMEOUT
            )
            confirmed_at = self._replicator.last_new_agreement_at
        else:
            timeout = PEER_SILENCE_TIMEOUT
            confirmed_at = self._replicator.last_agreement_at
        waiting_since = max(confirmed_at, self._started)
        return self._clock.monotonic() - waiting_since >= timeout

    def missing(self) -> str | None:
        """Returns what is missing from the configuration; None if nothing."""
        return self._readiness.not_ready_reason(len(self._peers()))

    def apply_platform_object(self, stored: messages.StoredObject) -> None:
        """Applies an object that was read from the platform."""
        key = store.Key(stored.kind, stored.name)
        previous_stamp = self._store.stamp(key)
        applied = self._store.apply(*key, stored.version, stored.value)
        match applied:
            case expression.Result(tag="ok", ok=True):
                self._notify_in_force(key, "platform")
            case expression.Result(tag="error", error=rejection):
                log.error("object refused: %s", rejection)
        if self._store.stamp(key) != previous_stamp:
            self._replicator.add_rumour(key)
            self._send(self._replicator.tick(self._clock.monotonic()))

    def request_newer(self, peer: view.NodeRecord) -> None:
        """Compares digests with a peer that has a later version."""
        digest = self._replicator.make_digest(peer.name)
        self._send([digest])

    def mark_listed(self, kind: str) -> None:
        """Records that all objects of a kind have been read."""
        self._readiness.mark_listed(kind)

    def handle_frame(self, frame: Any) -> None:
        """Processes a frame from a peer."""
        if frame.configuration:
            self._handle_message(frame.configuration)
        elif frame.configuration_ask:
            response = self._version_queries.handle_query(
                frame.configuration_ask
            )
            peer = self._fleet.nodes.get(frame.configuration_ask.sender)
            if peer is not None:
                self._send_frame(peer.address, response)
        else:
            self._version_queries.handle_response(frame.configuration_state)

    def _handle_message(self, message: Any) -> None:
        now = self._clock.monotonic()
        result = self._replicator.handle_message(decode_message(message), now)
        for key in result.in_force:
            self._notify_in_force(key, message.sender)
        for rejection in result.rejections:
            log.error("object refused: %s", rejection)
        self._send(result.outgoing)

    async def run(self) -> None:
        """Sends digests periodically until cancelled."""
        is_ready = False
        while True:
            period = (
                replication.TICK_INTERVAL
                if is_ready
                else replication.JOINING_DIGEST_PERIOD
            )
            await periodic.sleep(period)
            self._budget.set_node_count(self._budget_sharer_count())
            if not is_ready and self.missing() is None:
                is_ready = True
                agreed = sorted(self._replicator.agreeing_peers)
                log.info("ready", extra=logs.fields(agreed=agreed))
            self._send(self._replicator.tick(self._clock.monotonic()))

    def _budget_sharer_count(self) -> int:
        return watchers.budget_sharer_count(
            self._own_record, self._fleet.nodes.values()
        )

    def _peers(self) -> list[view.NodeRecord]:
        own = self._own_record.name
        return [peer for peer in self._fleet.nodes.values() if peer.name != own]

    def _notify_in_force(self, key: store.Key, source: str) -> None:
        self._on_in_force(key)
        fields = logs.fields(
            kind=key.kind,
            object=key.name,
            version=self._store.version_in_force(key),
            source=source,
        )
        log.info("in force", extra=fields)

    def _send(self, outgoing: list[replication.OutgoingMessage]) -> None:
        for item in outgoing:
            peer = self._fleet.nodes.get(item.to)
            if peer is None or len(self._send_tasks) >= MAX_CONCURRENT_SENDS:
                continue
            wire = encode_message(item.message)
            frame = codec.messages.Frame(configuration=wire)
            self._send_frame(peer.address, frame)

    def _send_frame(self, address: str, frame: Any) -> None:
        task = asyncio.create_task(self._send_to(address, frame))
        self._send_tasks.add(task)
        task.add_done_callback(self._send_tasks.discard)

    async def _send_to(self, address: str, frame: Any) -> None:
        if not await self._pool.send(address, frame):
            log.debug("sending configuration to %s failed", address)


def encode_message(message: replication.Message) -> Any:
    """Converts a message to a thrift struct."""
    return codec.messages.Configuration(
        sender=message.sender,
        ready=message.ready,
        digest=list(message.digest),
        same=message.same,
        have=[
            version_queries.encode_stamp(item.key, item.stamp)
            for item in message.have
        ],
        buckets=list(message.buckets),
        want=[
            version_queries.encode_stamp(key, store.ABSENT_STAMP)
            for key in message.want
        ],
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


def decode_message(message: Any) -> replication.Message:
    """Converts a thrift struct to a message; missing fields become empty."""
    return replication.Message(
        sender=message.sender or "",
        ready=bool(message.ready),
        digest=tuple(message.digest or ()),
        same=bool(message.same),
        have=tuple(
            replication.Advertisement(
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
            replication.PackedObject(
                store.Key(item.kind, item.name), item.version, item.packed
            )
            for item in message.objects or ()
        ),
    )
