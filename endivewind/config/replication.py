"""Replicates configuration between nodes by rumour mongering and anti-entropy.

A node that receives a new version sends it to a few random peers (a rumour).
At intervals it compares digests with one random peer (anti-entropy), which
repairs what rumours have missed. Called with each received message; returns
the messages to send. Has no clock, task or socket of its own.
"""

import collections.abc
import dataclasses
import datetime
import math
import random
from typing import Protocol

import expression

from endivewind.config import store

# Peers that receive a rumour at once. With one it spreads too slowly; with
# more, most messages reach nodes that have the version already.
FANOUT = 2
# A node sends a rumour ln(N) + this many times. Each send divides the share of
# nodes that have not received it by e, so that ln(N) sends leave about one node
# without it. The extra sends also cover the loss of one message in ten.
EXTRA_SENDS = 4
# Maximum size of an object sent within a rumour. Larger objects are requested
# by the receiver, so that a node receives each about once. All objects in one
# rumour together are limited to about eight times this size.
MAX_PUSHED_OBJECT_BYTES = 512
TICK_INTERVAL = datetime.timedelta(milliseconds=200)
# If nothing differs, a comparison costs two messages with one number each.
DIGEST_PERIOD = datetime.timedelta(seconds=2)
# A joining node compares digests more often and with several peers at once,
# because it isn't ready before several peers agree.
JOINING_DIGEST_PERIOD = datetime.timedelta(milliseconds=100)
JOINING_DIGEST_PEERS = 3
# If one message in ten is lost, one request in five gets no response. It is then
# sent again, to the last peer that advertised the object. Waiting for another
# advertisement would take longer: rumours have ended by then, and anti-entropy
# takes several periods. WANT_TIMEOUT is the time until an object that was
# requested (Message.want) but not received is requested again.
WANT_TIMEOUT = datetime.timedelta(milliseconds=400)
MAX_WANT_ATTEMPTS = 8
# Limits of one message: the number of its entries, and the total size of the
# objects in a response. A single object, which may be up to a megabyte, is sent
# even if it exceeds MAX_OBJECT_BYTES.
MAX_ENTRIES = 256
MAX_OBJECT_BYTES = 65_536
# Part of a node's limit of 10 KB/s; the burst is enough for a large submission.
BYTES_PER_SECOND = 4_000
BURST_BYTES = 131_072
# Estimated bytes of an entry with its key on the wire, for the budget.
ENTRY_BYTES = 60
_DIGEST_ENTRY_BYTES = 10
# Probability of choosing a peer of the own region. Traffic between regions is
# slow and billed, but some is needed to replicate between them.
SAME_REGION_SHARE = 0.75
# Probabilities of choosing a peer of the own availability zone, or one of the
# own region at all, while nothing has changed for QUIET_TIME: most comparisons
# then find no difference, and traffic between zones is billed, too.
QUIET_SAME_ZONE_SHARE = 0.75
QUIET_SAME_REGION_SHARE = 0.95
QUIET_TIME = datetime.timedelta(seconds=10)
# How long a node waits for a peer of its own zone to advertise an object before
# it requests the object from another zone. The zone's watcher receives a change
# within about the same time as the others.
DISTANT_WANT_DELAY = datetime.timedelta(milliseconds=250)


class Peer(Protocol):
    """The properties of another node that replication uses."""

    @property
    def name(self) -> str:
        """The node's name."""

    @property
    def region(self) -> str:
        """Region of its VM."""

    @property
    def zone(self) -> str:
        """Availability zone of its VM."""


@dataclasses.dataclass(frozen=True, slots=True)
class Advertisement:
    """An object and the state in which the sender has it."""

    key: store.Key
    stamp: store.Stamp


@dataclasses.dataclass(frozen=True, slots=True)
class PackedObject:
    """An object in the compressed form in which it is replicated."""

    key: store.Key
    version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A replication message; every part may be empty.

    Attributes:
      sender: name of the sending node.
      ready: whether the sender's configuration is known to be complete.
      digest: one hash of all configuration objects, or one for each bucket;
        asks the receiver to compare it with its own.
      same: in a response to a digest, whether that digest equals the one of
        this message's sender.
      have: states of objects that the sender has.
      buckets: buckets of which `have` lists every object.
      want: objects that the sender requests.
      objects: objects, as a response or as a rumour.
    """

    sender: str
    ready: bool = False
    digest: tuple[int, ...] = ()
    same: bool = False
    have: tuple[Advertisement, ...] = ()
    buckets: tuple[int, ...] = ()
    want: tuple[store.Key, ...] = ()
    objects: tuple[PackedObject, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message and its receiver."""

    to: str
    message: Message


@dataclasses.dataclass(slots=True)
class MessageResult:
    """Result of handling a message.

    Attributes:
      outgoing: messages to send.
      in_force: keys of the objects that have come into force.
      rejections: objects that were rejected.
    """

    outgoing: list[OutgoingMessage] = dataclasses.field(default_factory=list)
    in_force: list[store.Key] = dataclasses.field(default_factory=list)
    rejections: list[store.Rejection] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    """A request to a peer for an object.

    Attributes:
      stamp: the state that the peer advertised.
      holder: the last peer that advertised it.
      sent_at: when the object was last requested.
      attempts: how often it has been requested; 0 while the node waits for a
        peer of its own zone to advertise the object.
    """

    stamp: store.Stamp
    holder: str
    sent_at: datetime.timedelta
    attempts: int = 1


@dataclasses.dataclass(slots=True)
class _Budget:
    """Token bucket in bytes; may be overdrawn by one message."""

    remaining: float = BURST_BYTES
    refilled_at: datetime.timedelta = datetime.timedelta()

    def refill_and_check(self, now: datetime.timedelta) -> bool:
        """Refills the bucket; returns whether a message may be sent."""
        gained = (now - self.refilled_at).total_seconds() * BYTES_PER_SECOND
        self.remaining = min(self.remaining + gained, BURST_BYTES)
        self.refilled_at = now
        return self.remaining > 0


class Replicator:
    """Replicates one node's configuration store to and from its peers."""

    def __init__(
        self,
        name: str,
        region: str,
        zone: str,
        configuration: store.ConfigurationStore,
        peers: collections.abc.Callable[[], collections.abc.Sequence[Peer]],
        rng: random.Random,
    ) -> None:
        self._name = name
        self._region = region
        self._zone = zone
        self._store = configuration
        self._peers = peers
        self._rng = rng
        self._remaining_rumour_sends: dict[store.Key, int] = {}
        self._pending_requests: dict[store.Key, _PendingRequest] = {}
        self._next_digest = datetime.timedelta()
        self._budget = _Budget()
        self._agreeing_peers: set[str] = set()
        self._last_agreement_at = datetime.timedelta()
        self._last_new_agreement_at = datetime.timedelta()
        # When an object last changed here, or a peer last had another digest.
        self._changed_at = datetime.timedelta()
        self._ready = False

    @property
    def agreeing_peers(self) -> collections.abc.Set[str]:
        """Ready peers that have reported the same digest as this node's.

        Peers that aren't ready don't count, since two empty nodes agree, too.
        """
        return self._agreeing_peers

    @property
    def last_agreement_at(self) -> datetime.timedelta:
        """When a ready peer last reported the same digest; zero if none did."""
        return self._last_agreement_at

    @property
    def last_new_agreement_at(self) -> datetime.timedelta:
        """When a peer was last added to `agreeing_peers`; zero if never."""
        return self._last_new_agreement_at

    @property
    def is_ready(self) -> bool:
        """Whether this node's configuration is known to be complete."""
        return self._ready

    @is_ready.setter
    def is_ready(self, value: bool) -> None:
        self._ready = value

    def add_rumour(self, key: store.Key) -> None:
        """Queues the new version of an object to be sent as a rumour."""
        count = len(self._peers()) + 1
        self._remaining_rumour_sends[key] = (
            math.ceil(math.log(count + 1)) + EXTRA_SENDS
        )

    def make_digest(self, peer: str) -> OutgoingMessage:
        """Returns a digest that makes a peer send what this node lacks."""
        message = self._make_message(digest=(self._store.combined_hash,))
        self._budget.remaining -= message_size(message)
        return OutgoingMessage(peer, message)

    def tick(self, now: datetime.timedelta) -> list[OutgoingMessage]:
        """Returns messages that are due: rumours, digests and retries."""
        outgoing = self._due_rumours(now)
        if now >= self._next_digest:
            outgoing.extend(self._due_digests(now))
        outgoing.extend(self._retry_requests(now))
        return outgoing

    def handle_message(
        self, message: Message, now: datetime.timedelta
    ) -> MessageResult:
        """Handles a message from a peer."""
        result = MessageResult()
        self._apply_objects(message, result)
        if message.objects or message.have or len(message.digest) > 1:
            self._changed_at = now
        if message.same and message.ready:
            if message.sender not in self._agreeing_peers:
                self._agreeing_peers.add(message.sender)
                self._last_new_agreement_at = now
            self._last_agreement_at = now
        responses = (
            self._respond_to_digest(message),
            self._respond_to_have(message, now),
            self._respond_to_want(message),
        )
        for response in responses:
            if response is not None:
                self._budget.remaining -= message_size(response)
                result.outgoing.append(
                    OutgoingMessage(message.sender, response)
                )
        if message.objects:
            result.outgoing.extend(self._due_rumours(now))
        return result

    def _apply_objects(self, message: Message, result: MessageResult) -> None:
        for item in message.objects:
            before = self._store.stamp(item.key)
            applied = self._store.apply_packed(
                item.key, item.version, item.value
            )
            self._pending_requests.pop(item.key, None)
            match applied:
                case expression.Result(tag="ok", ok=True):
                    result.in_force.append(item.key)
                case expression.Result(tag="error", error=rejection):
                    result.rejections.append(rejection)
            if self._store.stamp(item.key) != before:
                self.add_rumour(item.key)

    def _due_rumours(self, now: datetime.timedelta) -> list[OutgoingMessage]:
        if (
            not self._remaining_rumour_sends
            or not self._budget.refill_and_check(now)
        ):
            return []
        outgoing = []
        for peer in self._choose_peers(FANOUT):
            # Rumours with the most remaining sends go first, because most peers
            # lack a version that was received recently.
            keys = sorted(
                self._remaining_rumour_sends,
                key=lambda key: -self._remaining_rumour_sends[key],
            )
            message = self._make_rumour(keys[:MAX_ENTRIES])
            outgoing.append(OutgoingMessage(peer.name, message))
            self._budget.remaining -= message_size(message)
            for key in keys[:MAX_ENTRIES]:
                self._count_rumour_send(key)
        return outgoing

    def _retry_requests(self, now: datetime.timedelta) -> list[OutgoingMessage]:
        overdue = [
            key
            for key, pending in self._pending_requests.items()
            if now - pending.sent_at >= WANT_TIMEOUT
        ]
        keys_by_holder: dict[str, list[store.Key]] = {}
        for key in overdue:
            pending = self._pending_requests[key]
            if (
                pending.attempts >= MAX_WANT_ATTEMPTS
                or self._store.stamp(key) >= pending.stamp
            ):
                del self._pending_requests[key]
                continue
            pending.sent_at = now
            pending.attempts += 1
            keys_by_holder.setdefault(pending.holder, []).append(key)
        return [
            OutgoingMessage(
                holder, self._make_message(want=tuple(keys[:MAX_ENTRIES]))
            )
            for holder, keys in keys_by_holder.items()
        ]

    def _make_rumour(self, keys: list[store.Key]) -> Message:
        have: list[Advertisement] = []
        objects: list[PackedObject] = []
        pushed = 0
        for key in keys:
            packed = self._store.packed(key) or b""
            stamp = self._store.stamp(key)
            # For a large submission, sending every object to every peer would
            # cost several times as much as letting peers request them.
            if (
                len(packed) <= MAX_PUSHED_OBJECT_BYTES
                and pushed < 8 * MAX_PUSHED_OBJECT_BYTES
            ):
                pushed += len(packed)
                objects.append(PackedObject(key, stamp.version, packed))
            else:
                have.append(Advertisement(key, stamp))
        return self._make_message(have=tuple(have), objects=tuple(objects))

    def _count_rumour_send(self, key: store.Key) -> None:
        remaining = self._remaining_rumour_sends.get(key, 0) - 1
        if remaining > 0:
            self._remaining_rumour_sends[key] = remaining
        else:
            self._remaining_rumour_sends.pop(key, None)

    def _due_digests(self, now: datetime.timedelta) -> list[OutgoingMessage]:
        period = DIGEST_PERIOD if self._ready else JOINING_DIGEST_PERIOD
        # Jitter keeps nodes that started together from staying in step.
        self._next_digest = now + period * self._rng.uniform(0.5, 1.5)
        if not self._budget.refill_and_check(now):
            return []
        message = self._make_message(digest=(self._store.combined_hash,))
        is_quiet = self._ready and now - self._changed_at >= QUIET_TIME
        chosen = self._choose_peers(
            1 if self._ready else JOINING_DIGEST_PEERS, is_quiet=is_quiet
        )
        self._budget.remaining -= message_size(message) * len(chosen)
        return [OutgoingMessage(peer.name, message) for peer in chosen]

    def _respond_to_digest(self, message: Message) -> Message | None:
        if len(message.digest) == 1:
            if message.digest[0] == self._store.combined_hash:
                return self._make_message(same=True)
            # The sender compares the buckets and requests what it lacks.
            return self._make_message(digest=self._store.bucket_hashes)
        if len(message.digest) != store.BUCKET_COUNT:
            return None
        own = self._store.bucket_hashes
        differing = [
            number
            for number in range(store.BUCKET_COUNT)
            if own[number] != message.digest[number]
        ]
        if not differing:
            return self._make_message(same=True)
        self._rng.shuffle(differing)
        listed: list[int] = []
        have: list[Advertisement] = []
        for number in differing:
            keys = self._store.keys_in_bucket(number)
            if listed and len(have) + len(keys) > MAX_ENTRIES:
                break
            listed.append(number)
            have.extend(
                Advertisement(key, self._store.stamp(key)) for key in keys
            )
        return self._make_message(have=tuple(have), buckets=tuple(listed))

    def _respond_to_have(
        self, message: Message, now: datetime.timedelta
    ) -> Message | None:
        want: list[store.Key] = []
        newer_here: list[store.Key] = []
        # Most messages advertise nothing; the check goes through all peers.
        is_distant = bool(message.have) and self._is_distant(message.sender)
        for item in message.have[:MAX_ENTRIES]:
            own = self._store.stamp(item.key)
            if item.stamp < own:
                newer_here.append(item.key)
            if item.stamp > own and self._should_request(
                item, message.sender, now, is_distant=is_distant
            ):
                want.append(item.key)
        listed = {item.key for item in message.have}
        for number in message.buckets:
            keys = self._store.keys_in_bucket(number)
            newer_here.extend(key for key in keys if key not in listed)
        if not want and not newer_here:
            return None
        objects = self._fitting_objects(newer_here)
        return self._make_message(want=tuple(want), objects=objects)

    def _should_request(
        self,
        item: Advertisement,
        holder: str,
        now: datetime.timedelta,
        *,
        is_distant: bool,
    ) -> bool:
        """Returns whether to request an advertised object now.

        Records the request. An object that only nodes of other zones have
        advertised so far is requested by tick(), after DISTANT_WANT_DELAY.
        """
        pending = self._pending_requests.get(item.key)
        if pending is None or pending.stamp < item.stamp:
            pending = _PendingRequest(item.stamp, holder, now)
            self._pending_requests[item.key] = pending
            if is_distant:
                pending.sent_at = now - WANT_TIMEOUT + DISTANT_WANT_DELAY
                pending.attempts = 0
            return not is_distant
        if is_distant and not pending.attempts:
            return False
        is_first = not pending.attempts
        pending.holder = holder
        if is_first:
            pending.sent_at, pending.attempts = now, 1
        return is_first

    def _is_distant(self, holder: str) -> bool:
        """Whether a peer is in another zone while there are peers in this one."""
        near = {peer.name for peer in self._peers() if peer.zone == self._zone}
        return bool(near) and holder not in near

    def _respond_to_want(self, message: Message) -> Message | None:
        keys = [
            key
            for key in message.want[:MAX_ENTRIES]
            if self._store.packed(key) is not None
        ]
        if not keys:
            return None
        return self._make_message(objects=self._fitting_objects(keys))

    def _fitting_objects(
        self, keys: list[store.Key]
    ) -> tuple[PackedObject, ...]:
        """Returns as many objects as fit into one message, at least one.

        The rest is exchanged after the next comparison of digests.
        """
        chosen: list[PackedObject] = []
        total = 0
        for key in keys[:MAX_ENTRIES]:
            value = self._store.packed(key) or b""
            total += len(value)
            if chosen and total > MAX_OBJECT_BYTES:
                break
            chosen.append(
                PackedObject(key, self._store.stamp(key).version, value)
            )
        return tuple(chosen)

    def _choose_peers(
        self, count: int, *, is_quiet: bool = False
    ) -> list[Peer]:
        zone_share, region_share = 0.0, SAME_REGION_SHARE
        if is_quiet:
            zone_share = QUIET_SAME_ZONE_SHARE
            region_share = QUIET_SAME_REGION_SHARE
        known = self._peers()
        same_region = [peer for peer in known if peer.region == self._region]
        same_zone = [peer for peer in same_region if peer.zone == self._zone]
        chosen: dict[str, Peer] = {}
        for _ in range(min(count, len(known))):
            draw = self._rng.random()
            group: collections.abc.Sequence[Peer] = known
            if draw < zone_share:
                group = same_zone
            elif draw < region_share:
                group = same_region
            peer = self._rng.choice(group or same_region or known)
            chosen[peer.name] = peer
        return list(chosen.values())

    def _make_message(
        self,
        digest: tuple[int, ...] = (),
        same: bool = False,
        have: tuple[Advertisement, ...] = (),
        buckets: tuple[int, ...] = (),
        want: tuple[store.Key, ...] = (),
        objects: tuple[PackedObject, ...] = (),
    ) -> Message:
        return Message(
            self._name, self._ready, digest, same, have, buckets, want, objects
        )


def message_size(message: Message) -> int:
    """Estimates the size of a message on the wire in bytes."""
    entries = len(message.have) + len(message.want) + len(message.objects)
    return (
        ENTRY_BYTES * (1 + entries)
        + _DIGEST_ENTRY_BYTES * len(message.digest)
        + 4 * len(message.buckets)
        + sum(len(item.value) for item in message.objects)
    )
