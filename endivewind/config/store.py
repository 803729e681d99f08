"""The configuration in force: the highest version of each object.

Versions are the submitter's, kept inside the object, because the platform's
own counter starts again from nothing when its store is lost: an object with a
lower counter would then look old although it is the newest.
"""

import collections.abc
import dataclasses
import hashlib
import json
import logging
from typing import Any
from typing import NamedTuple
import zlib

import expression
import pydantic

from endivewind.config import objects

log = logging.getLogger(__name__)

SERVICE = "service"
ROUTE_GROUP = "route-group"
WORKSPACE_SHARD = "workspace-shard"
# A whole configuration in one object, where a platform keeps it so.
DOCUMENT = "document"
KINDS = (SERVICE, ROUTE_GROUP, WORKSPACE_SHARD)

# The platform holds values up to a megabyte; nothing longer is genuine.
MAX_VALUE_BYTES = 1_048_576
# Versions travel as signed 64-bit numbers.
MAX_VERSION = 2**62
# Groups of objects whose fingerprints are compared as one: at 650 objects a
# difference in one object leads to a list of about ten.
BUCKETS = 64

_MODELS: dict[str, type[pydantic.BaseModel]] = {
    SERVICE: objects.Service,
    ROUTE_GROUP: objects.RouteGroup,
    WORKSPACE_SHARD: objects.WorkspaceShard,
    DOCUMENT: objects.Document,
}


class Envelope(pydantic.BaseModel):
    """What the platform holds for one configuration object.

    Attributes:
      spec: the object itself; None is a removal (a tombstone).
      operation: id of the submission that wrote this version.
      author: who submitted it.
      version: the submitter's version; grows with every write of the object,
        also over a loss of the platform's store. 0 takes the platform's.
      time: when it was submitted, ISO 8601 in UTC.
      replaced_version: the version that the submitter had read; 0 if none.
      replaced_operation: the operation that had written that version.
      ancestors: fingerprints of earlier specs, so that a file that holds one
        of them is known to be older and not a change back.
    """

    spec: dict[str, Any] | None
    operation: str
    author: str = ""
    version: int = pydantic.Field(default=0, ge=0, lt=MAX_VERSION)
    time: str = ""
    replaced_version: int = 0
    replaced_operation: str = ""
    ancestors: tuple[str, ...] = ()


class Key(NamedTuple):
    """Names one configuration object."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


class Stamp(NamedTuple):
    """What orders two states of one object; the higher one wins.

    Attributes:
      version: the object's version.
      fingerprint: hash of the value. It decides between two values that were
        given one version after a loss of the platform's store, so that every
        node keeps the same one.
    """

    version: int
    fingerprint: int


ABSENT = Stamp(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """An object that was not taken, and why.

    Attributes:
      key: the object.
      version: the version refused.
      problems: what is wrong, each with the path inside the object.
      kept: whether the value is kept for nodes of a newer release.
    """

    key: Key
    version: int
    problems: tuple[str, ...]
    kept: bool = False

    def __str__(self) -> str:
        return f"{self.key}@{self.version}: {'; '.join(self.problems)}"


@dataclasses.dataclass(slots=True)
class _Held:
    """One object: the highest value known, and the one in force.

    Attributes:
      stamp: orders the highest value known.
      packed: that value as compressed JSON, as it spreads.
      in_force: version of the model; below the stamp's while that is refused.
      model: the last good object; None where it was removed or never good.
    """

    stamp: Stamp
    packed: bytes
    in_force: int
    model: Any


class ConfigurationStore:
    """Merges versions of objects; never goes back to a lower one."""

    def __init__(self) -> None:
        self._objects: dict[Key, _Held] = {}
        self._buckets = [0] * BUCKETS
        self._version = 0
        self._workspaces: dict[objects.Workspace, objects.Workspace] = {}

    @property
    def version(self) -> int:
        """The highest version of any object known."""
        return self._version

    @property
    def buckets(self) -> tuple[int, ...]:
        """One hash for each group of objects; equal where all are equal."""
        return tuple(self._buckets)

    @property
    def summary(self) -> int:
        """One hash of all objects; equal where all are equal."""
        found = 0
        for bucket in self._buckets:
            found ^= bucket
        return found

    @property
    def keys(self) -> collections.abc.KeysView[Key]:
        """Every object known, tombstones included."""
        return self._objects.keys()

    def apply(
        self, kind: str, name: str, version: int, value: dict[str, Any]
    ) -> expression.Result[bool, Rejection]:
        """Takes an object unless as high a version is known.

        Args:
          kind: the object's kind.
          name: the object's name.
          version: the platform's version; counts only where the value brings
            none of its own.
          value: the platform's value, an Envelope.

        Returns:
          Whether it is now in force. An error where the value is refused: it
          is refused whole, and the last good one stays in force.
        """
        key = Key(kind, name)
        if kind not in _MODELS:
            return _refused(key, version, "unknown kind")
        if not value:
            # A delete past `endivewind submit` carries no version, so it can
            # not be told from a loss of the store: the object stays.
            return _refused(key, version, "deleted without a tombstone")
        try:
            envelope = Envelope.model_validate(value)
        except pydantic.ValidationError as error:
            return expression.Error(Rejection(key, version, _problems(error)))
        text = _canonical(value)
        if len(text) > MAX_VALUE_BYTES:
            return _refused(key, version, f"{len(text)} bytes are too many")
        stamp = Stamp(envelope.version or version, _fingerprint(text))
        if not 0 < stamp.version < MAX_VERSION:
            return _refused(key, version, "version out of range")
        return self._take(key, stamp, envelope, text)

    def apply_packed(
        self, key: Key, version: int, packed: bytes
    ) -> expression.Result[bool, Rejection]:
        """Takes an object as a peer sent it."""
        unpacked = unpack(packed)
        if unpacked is None:
            return _refused(key, version, "can't be unpacked")
        return self.apply(key.kind, key.name, version, unpacked)

    def stamp(self, key: Key) -> Stamp:
        """The highest state known of an object; ABSENT if none is."""
        held = self._objects.get(key)
        return held.stamp if held else ABSENT

    def packed(self, key: Key) -> bytes | None:
        """The highest value known, compressed."""
        held = self._objects.get(key)
        return held.packed if held else None

    def value(self, key: Key) -> dict[str, Any] | None:
        """The highest value known, as the platform holds it."""
        held = self._objects.get(key)
        return unpack(held.packed) if held else None

    def in_force(self, key: Key) -> int:
        """The version in force of an object; 0 if none."""
        held = self._objects.get(key)
        return held.in_force if held else 0

    def in_bucket(self, bucket: int) -> list[Key]:
        """The objects of one bucket."""
        return [key for key in self._objects if bucket_of(key) == bucket]

    def service(self, name: str) -> objects.Service | None:
        """A service in force."""
        item = self._objects.get(Key(SERVICE, name))
        if item is not None:
            return item.model
        for document in self.documents():
            if name in document.services:
                return document.services[name]
        return None

    def document(self, name: str) -> objects.Document | None:
        """A whole configuration in force."""
        item = self._objects.get(Key(DOCUMENT, name))
        return item.model if item else None

    @property
    def document_version(self) -> int:
        """The version in force of the whole configuration; 0 if none is."""
        return max(
            (
                item.in_force
                for key, item in self._objects.items()
                if key.kind == DOCUMENT
            ),
            default=0,
        )

    def documents(self) -> list[objects.Document]:
        """All whole configurations in force."""
        return self._models(DOCUMENT)

    def route_group(self, name: str) -> objects.RouteGroup | None:
        """A route group in force."""
        item = self._objects.get(Key(ROUTE_GROUP, name))
        return item.model if item else None

    def route_groups(self) -> list[objects.RouteGroup]:
        """All route groups in force."""
        return self._models(ROUTE_GROUP)

    def workspace_shard(self, name: str) -> objects.WorkspaceShard | None:
        """A workspace shard in force."""
        item = self._objects.get(Key(WORKSPACE_SHARD, name))
        return item.model if item else None

    def workspace_shards(self) -> list[objects.WorkspaceShard]:
        """All workspace shards in force."""
        return self._models(WORKSPACE_SHARD)

    def _take(
        self, key: Key, stamp: Stamp, envelope: Envelope, text: bytes
    ) -> expression.Result[bool, Rejection]:
        known = self._objects.get(key)
        if known and known.stamp >= stamp:
            return expression.Ok(False)
        problems: tuple[str, ...] = ()
        model = known.model if known else None
        in_force = known.in_force if known else 0
        try:
            model = self._model(key.kind, envelope)
            in_force = stamp.version
        except pydantic.ValidationError as error:
            problems = _problems(error)
        self._hold(key, _Held(stamp, zlib.compress(text), in_force, model))
        if problems:
            # Kept although refused: a newer release may know its fields, and
            # nodes of that release hear of it through this one.
            return expression.Error(
                Rejection(key, stamp.version, problems, kept=True)
            )
        return expression.Ok(True)

    def _hold(self, key: Key, held: _Held) -> None:
        bucket = bucket_of(key)
        known = self._objects.get(key)
        if known:
            self._buckets[bucket] ^= _mark(key, known.stamp)
        self._buckets[bucket] ^= _mark(key, held.stamp)
        self._objects[key] = held
        self._version = max(self._version, held.stamp.version)

    def _model(
        self, kind: str, envelope: Envelope
    ) -> pydantic.BaseModel | None:
        if envelope.spec is None:
            return None
        model = _MODELS[kind].model_validate(envelope.spec)
        if isinstance(model, objects.WorkspaceShard):
            return self._shared(model)
        return model

    def _shared(self, shard: objects.WorkspaceShard) -> objects.WorkspaceShard:
        """The shard with one instance for all equal workspaces.

        29,000 workspaces as instances of their own take more than all the
        memory that a node has for state; firms give most of theirs the same
        limits.
        """
        shared = {
            name: self._workspaces.setdefault(item, item)
            for name, item in shard.workspaces.items()
        }
        return shard.model_copy(update={"workspaces": shared})

    def _models(self, kind: str) -> list[Any]:
        return [
            item.model
            for key, item in self._objects.items()
            if key.kind == kind and item.model is not None
        ]


def bucket_of(key: Key) -> int:
    """The bucket of an object, the same on every node."""
    return zlib.crc32(f"{key.kind}/{key.name}".encode()) % BUCKETS


def stamp_of(version: int, value: dict[str, Any]) -> Stamp:
    """The state that a value of the platform has; ABSENT if it is none."""
    try:
        envelope = Envelope.model_validate(value)
    except pydantic.ValidationError:
        return ABSENT
    return Stamp(envelope.version or version, _fingerprint(_canonical(value)))


def unpack(packed: bytes) -> dict[str, Any] | None:
    """The value in its compressed form; None if it is not one."""
    unpacker = zlib.decompressobj()
    try:
        text = unpacker.decompress(packed, MAX_VALUE_BYTES + 1)
        value = json.loads(text)
    except (zlib.error, ValueError, RecursionError):
        return None
    return value if isinstance(value, dict) else None


def fingerprint(value: dict[str, Any]) -> int:
    """Hash of a JSON value, the same for any order of its keys."""
    return _fingerprint(_canonical(value))


def _canonical(value: dict[str, Any]) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def _fingerprint(text: bytes) -> int:
    digest = hashlib.blake2b(text, digest_size=7).digest()
    return int.from_bytes(digest, "big")


def _mark(key: Key, stamp: Stamp) -> int:
    text = f"{key.kind}/{key.name}@{stamp.version}/{stamp.fingerprint}"
    return _fingerprint(text.encode())


def _refused(
    key: Key, version: int, problem: str
) -> expression.Result[bool, Rejection]:
    return expression.Error(Rejection(key, version, (problem,)))


def _problems(error: pydantic.ValidationError) -> tuple[str, ...]:
    return tuple(
        ".".join(str(part) for part in item["loc"]) + ": " + item["msg"]
        for item in error.errors()
    )
