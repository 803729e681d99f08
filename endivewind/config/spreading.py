"""How configuration spreads between nodes: message in, messages out.

A node that takes a new version tells a few random peers (a rumour); at
intervals it compares digests with one random peer, which repairs whatever
rumours have missed. No clock, task or socket of its own.
"""

import collections.abc
import dataclasses
import datetime
import math
import random
from typing import Protocol

import expression

from endivewind.config import store

# Peers told at once. With one the rumour spreads too slowly, with more most
# messages reach nodes that know it already.
FANOUT = 2
# A node passes a rumour on ln(N) + this many times: with every message the
# share of nodes that hear nothing falls by e, and one in ten is lost.
EXTRA_SENDS = 4
# Objects up to here travel inside the rumour; longer ones are asked for, so
# that a node receives each about once.
PUSH_BYTES = 512
TICK = datetime.timedelta(milliseconds=250)
# A round of repair costs two messages of one number where nothing differs.
DIGEST_PERIOD = datetime.timedelta(seconds=2)
# A joining node asks more often, and several at once: it isn't ready before
# several peers agree.
JOINING_PERIOD = datetime.timedelta(milliseconds=100)
JOINING_PEERS = 3
# A question or its answer may be lost: one in five is with one message in
# ten. The peer that told of the object last is then asked again, since by
# then rumours have ended and repair takes several periods.
WANT_TIMEOUT = datetime.timedelta(milliseconds=400)
MAX_ASKS = 8
# Bounds of one message. Objects are up to a megabyte, so one always fits.
MAX_ENTRIES = 256
MAX_OBJECT_BYTES = 65_536
# Share of a node's 10 KB/s; the burst lets a large submission through.
BYTES_PER_SECOND = 4_000
BURST_BYTES = 131_072
# Bytes of an entry with its key on the wire, for the budget.
ENTRY_BYTES = 60
_DIGEST_ENTRY_BYTES = 10
# How often a peer of the own region is preferred: traffic between regions
# is slow and paid for, but some of it is what joins the regions.
NEAR_SHARE = 0.75


class Peer(Protocol):
    """What is needed of another node."""

    @property
    def name(self) -> str:
        """The node's name."""

    @property
    def region(self) -> str:
        """Region of its VM."""


@dataclasses.dataclass(frozen=True, slots=True)
class Have:
    """An object and the state at which the sender knows it."""

    key: store.Key
    stamp: store.Stamp


@dataclasses.dataclass(frozen=True, slots=True)
class Packed:
    """An object as it spreads."""

    key: store.Key
    version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """What one node tells another; every part may be empty.

    Attributes:
      sender: name of the node.
      ready: whether its configuration is known to be whole.
      digest: one hash of all, or a hash for each bucket; asks the receiver to
        compare.
      same: the digest that this answers is equal to the sender's.
      have: states that the sender knows.
      buckets: buckets of which `have` lists every object.
      want: objects asked for.
      objects: objects, in answer or as a rumour.
    """

    sender: str
    ready: bool = False
    digest: tuple[int, ...] = ()
    same: bool = False
    have: tuple[Have, ...] = ()
    buckets: tuple[int, ...] = ()
    want: tuple[store.Key, ...] = ()
    objects: tuple[Packed, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and the peer it is for."""

    to: str
    message: Message


@dataclasses.dataclass(slots=True)
class Received:
    """What came of a message.

    Attributes:
      outgoing: messages to send.
      in_force: objects that have come into force.
      rejections: objects that were refused.
    """

    outgoing: list[Outgoing] = dataclasses.field(default_factory=list)
    in_force: list[store.Key] = dataclasses.field(default_factory=list)
    rejections: list[store.Rejection] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class _Asked:
    """An object that a peer was asked for.

    Attributes:
      stamp: the state that the peer told of.
      holder: the peer that told of it last.
      at: when it was asked for.
      count: how often it was.
    """

    stamp: store.Stamp
    holder: str
    at: datetime.timedelta
    count: int = 1


@dataclasses.dataclass(slots=True)
class _Budget:
    """Token bucket in bytes; spending may overdraw it by one message."""

    left: float = BURST_BYTES
    at: datetime.timedelta = datetime.timedelta()

    def open(self, now: datetime.timedelta) -> bool:
        gained = (now - self.at).total_seconds() * BYTES_PER_SECOND
        self.left = min(self.left + gained, BURST_BYTES)
        self.at = now
        return self.left > 0


class Spreader:
    """Spreads one node's store to its peers and theirs to it."""

    def __init__(
        self,
        name: str,
        region: str,
        configuration: store.ConfigurationStore,
        peers: collections.abc.Callable[[], collections.abc.Sequence[Peer]],
        rng: random.Random,
    ) -> None:
        self._name = name
        self._region = region
        self._store = configuration
        self._peers = peers
        self._rng = rng
        self._hot: dict[store.Key, int] = {}
        self._asked: dict[store.Key, _Asked] = {}
        self._next_digest = datetime.timedelta()
        self._budget = _Budget()
        self._agreed: set[str] = set()
        self._agreed_at = datetime.timedelta()
        self._ready = False

    @property
    def agreed(self) -> collections.abc.Set[str]:
        """Ready peers that have said that they know just what this one does.

        A peer that isn't ready doesn't count: two empty nodes agree as well.
        """
        return self._agreed

    @property
    def agreed_at(self) -> datetime.timedelta:
        """When a ready peer has last said so; zero if none has."""
        return self._agreed_at

    @property
    def ready(self) -> bool:
        """Whether this node's configuration is known to be whole."""
        return self._ready

    @ready.setter
    def ready(self, value: bool) -> None:
        self._ready = value

    def taken(self, key: store.Key) -> None:
        """Marks an object whose new version is to be told."""
        count = len(self._peers()) + 1
        self._hot[key] = math.ceil(math.log(count + 1)) + EXTRA_SENDS

    def tick(self, now: datetime.timedelta) -> list[Outgoing]:
        """What is due: rumours, and now and then a digest."""
        outgoing = self._rumours(now)
        if now >= self._next_digest:
            outgoing.extend(self._digests(now))
        outgoing.extend(self._ask_again(now))
        return outgoing

    def received(self, message: Message, now: datetime.timedelta) -> Received:
        """Takes one message of a peer."""
        result = Received()
        self._take_objects(message, result)
        if message.same and message.ready:
            self._agreed.add(message.sender)
            self._agreed_at = now
        answers = (
            self._answer_digest(message),
            self._answer_have(message, now),
            self._answer_want(message),
        )
        for answer in answers:
            if answer is not None:
                self._budget.left -= size(answer)
                result.outgoing.append(Outgoing(message.sender, answer))
        if message.objects:
            result.outgoing.extend(self._rumours(now))
        return result

    def _take_objects(self, message: Message, result: Received) -> None:
        for item in message.objects:
            before = self._store.stamp(item.key)
            taken = self._store.apply_packed(item.key, item.version, item.value)
            self._asked.pop(item.key, None)
            match taken:
                case expression.Result(tag="ok", ok=True):
                    result.in_force.append(item.key)
                case expression.Result(tag="error", error=rejection):
                    result.rejections.append(rejection)
            if self._store.stamp(item.key) != before:
                self.taken(item.key)

    def _rumours(self, now: datetime.timedelta) -> list[Outgoing]:
        if not self._hot or not self._budget.open(now):
            return []
        outgoing = []
        for peer in self._some_peers(FANOUT):
            # Least told first: a rumour that has just come is news to most.
            keys = sorted(self._hot, key=lambda key: -self._hot[key])
            message = self._rumour(keys[:MAX_ENTRIES])
            outgoing.append(Outgoing(peer.name, message))
            self._budget.left -= size(message)
            for key in keys[:MAX_ENTRIES]:
                self._cool(key)
        return outgoing

    def _ask_again(self, now: datetime.timedelta) -> list[Outgoing]:
        late = [
            key
            for key, asked in self._asked.items()
            if now - asked.at >= WANT_TIMEOUT
        ]
        wanted: dict[str, list[store.Key]] = {}
        for key in late:
            asked = self._asked[key]
            if asked.count >= MAX_ASKS or self._store.stamp(key) >= asked.stamp:
                del self._asked[key]
                continue
            asked.at = now
            asked.count += 1
            wanted.setdefault(asked.holder, []).append(key)
        return [
            Outgoing(holder, self._message(want=tuple(keys[:MAX_ENTRIES])))
            for holder, keys in wanted.items()
        ]

    def _rumour(self, keys: list[store.Key]) -> Message:
        have: list[Have] = []
        objects: list[Packed] = []
        pushed = 0
        for key in keys:
            packed = self._store.packed(key) or b""
            stamp = self._store.stamp(key)
            # In a large submission the bodies of all objects to all peers
            # would cost several times what asking costs.
            if len(packed) <= PUSH_BYTES and pushed < 8 * PUSH_BYTES:
                pushed += len(packed)
                objects.append(Packed(key, stamp.version, packed))
            else:
                have.append(Have(key, stamp))
        return self._message(have=tuple(have), objects=tuple(objects))

    def _cool(self, key: store.Key) -> None:
        left = self._hot.get(key, 0) - 1
        if left > 0:
            self._hot[key] = left
        else:
            self._hot.pop(key, None)

    def _digests(self, now: datetime.timedelta) -> list[Outgoing]:
        period = DIGEST_PERIOD if self._ready else JOINING_PERIOD
        # Jitter: nodes started together must not ask together for ever.
        self._next_digest = now + period * self._rng.uniform(0.5, 1.5)
        if not self._budget.open(now):
            return []
        message = self._message(digest=(self._store.summary,))
        chosen = self._some_peers(1 if self._ready else JOINING_PEERS)
        self._budget.left -= size(message) * len(chosen)
        return [Outgoing(peer.name, message) for peer in chosen]

    def _answer_digest(self, message: Message) -> Message | None:
        if len(message.digest) == 1:
            if message.digest[0] == self._store.summary:
                return self._message(same=True)
            # The sender compares the buckets, and asks for what it lacks.
            return self._message(digest=self._store.buckets)
        if len(message.digest) != store.BUCKETS:
            return None
        own = self._store.buckets
        differing = [
            number
            for number in range(store.BUCKETS)
            if own[number] != message.digest[number]
        ]
        if not differing:
            return self._message(same=True)
        self._rng.shuffle(differing)
        listed: list[int] = []
        have: list[Have] = []
        for number in differing:
            keys = self._store.in_bucket(number)
            if listed and len(have) + len(keys) > MAX_ENTRIES:
                break
            listed.append(number)
            have.extend(Have(key, self._store.stamp(key)) for key in keys)
        return self._message(have=tuple(have), buckets=tuple(listed))

    def _answer_have(
        self, message: Message, now: datetime.timedelta
    ) -> Message | None:
        want: list[store.Key] = []
        give: list[store.Key] = []
        for item in message.have[:MAX_ENTRIES]:
            own = self._store.stamp(item.key)
            if item.stamp < own:
                give.append(item.key)
            if item.stamp > own and not self._is_asked(item, message.sender):
                asked = _Asked(item.stamp, message.sender, now)
                self._asked[item.key] = asked
                want.append(item.key)
        listed = {item.key for item in message.have}
        for number in message.buckets:
            keys = self._store.in_bucket(number)
            give.extend(key for key in keys if key not in listed)
        if not want and not give:
            return None
        objects = self._objects(give)
        return self._message(want=tuple(want), objects=objects)

    def _is_asked(self, item: Have, holder: str) -> bool:
        asked = self._asked.get(item.key)
        if asked is None or asked.stamp < item.stamp:
            return False
        asked.holder = holder
        return True

    def _answer_want(self, message: Message) -> Message | None:
        keys = [
            key
            for key in message.want[:MAX_ENTRIES]
            if self._store.packed(key) is not None
        ]
        if not keys:
            return None
        return self._message(objects=self._objects(keys))

    def _objects(self, keys: list[store.Key]) -> tuple[Packed, ...]:
        """As many as fit; the rest comes with the next repair."""
        chosen: list[Packed] = []
        total = 0
        for key in keys[:MAX_ENTRIES]:
            value = self._store.packed(key) or b""
            total += len(value)
            if chosen and total > MAX_OBJECT_BYTES:
                break
            chosen.append(Packed(key, self._store.stamp(key).version, value))
        return tuple(chosen)

    def _some_peers(self, count: int) -> list[Peer]:
        known = self._peers()
        near = [peer for peer in known if peer.region == self._region]
        chosen: dict[str, Peer] = {}
        for _ in range(min(count, len(known))):
            group = near if self._rng.random() < NEAR_SHARE else known
            peer = self._rng.choice(group or known)
            chosen[peer.name] = peer
        return list(chosen.values())

    def _message(
        self,
        digest: tuple[int, ...] = (),
        same: bool = False,
        have: tuple[Have, ...] = (),
        buckets: tuple[int, ...] = (),
        want: tuple[store.Key, ...] = (),
        objects: tuple[Packed, ...] = (),
    ) -> Message:
        return Message(
            self._name, self._ready, digest, same, have, buckets, want, objects
        )


def size(message: Message) -> int:
    """About the bytes of a message on the wire."""
    entries = len(message.have) + len(message.want) + len(message.objects)
    return (
        ENTRY_BYTES * (1 + entries)
        + _DIGEST_ENTRY_BYTES * len(message.digest)
        + 4 * len(message.buckets)
        + sum(len(item.value) for item in message.objects)
    )
