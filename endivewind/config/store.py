"""Stores the configuration in force: the highest version of each object.

Versions are assigned by the submitter and stored in the object's envelope. The
platform's own version counter is not used because it restarts when the
platform loses its store, so that the newest object would appear to be old.
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
# A complete configuration in one object, for platforms that store it that way.
DOCUMENT = "document"
KINDS = (SERVICE, ROUTE_GROUP, WORKSPACE_SHARD)

# The platform stores values of up to a megabyte, so longer ones are invalid.
MAX_VALUE_BYTES = 1_048_576
# Versions are sent as signed 64-bit integers.
MAX_VERSION = 2**62
# Groups of objects that peers compare by one hash each. With 650 objects, a
# bucket has about ten. If one object differs, a peer lists only its bucket.
BUCKET_COUNT = 64

_MODELS: dict[str, type[pydantic.BaseModel]] = {
    SERVICE: objects.Service,
    ROUTE_GROUP: objects.RouteGroup,
    WORKSPACE_SHARD: objects.WorkspaceShard,
    DOCUMENT: objects.Document,
}


class Envelope(pydantic.BaseModel):
    """A configuration object and its metadata, as stored on the platform.

    Attributes:
      spec: the object itself; None for a tombstone of a removed object.
      operation: id of the submission that wrote this version.
      author: who submitted it.
      version: version assigned by the submitter; grows with every write of
        the object, even if the platform loses its store in between. If 0, the
        platform's version is used.
      time: when it was submitted, ISO 8601 in UTC.
      replaced_version: version that this one replaced; 0 if none.
      replaced_operation: operation that wrote the replaced version.
      ancestors: fingerprints of earlier specs. A submitted file with one of
        these specs is considered outdated and does not revert the object.
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
    """Identifies a configuration object."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


class Stamp(NamedTuple):
    """Version and hash that order the states of an object; the highest wins.

    Attributes:
      version: the object's version.
      fingerprint: hash of the value. It breaks the tie between two values that
        got the same version after the platform lost its store, so that every
        node keeps the same value.
    """

    version: int
    fingerprint: int


ABSENT_STAMP = Stamp(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """A rejected object and the reasons.

    Attributes:
      key: the object.
      version: the rejected version.
      problems: what is wrong, each with its path inside the object.
      is_retained: whether the value, although not in force here, is stored and
        replicated, because nodes of a newer release may find it valid.
    """

    key: Key
    version: int
    problems: tuple[str, ...]
    is_retained: bool = False

    def __str__(self) -> str:
        return f"{self.key}@{self.version}: {'; '.join(self.problems)}"


@dataclasses.dataclass(slots=True)
class _ObjectState:
    """An object: the value with the highest version, and the one in force.

    Attributes:
      stamp: stamp of the highest value known.
      packed: that value as compressed JSON, in which form it is replicated.
      in_force: version of the model, so the version in force; below the
        stamp's version if the highest value is invalid.
      model: the last valid object; None if it was removed or never valid.
    """

    stamp: Stamp
    packed: bytes
    in_force: int
    model: Any


class ConfigurationStore:
    """Keeps the highest version of each object, and the last valid one.

    A version is never replaced by a lower version.
    """

    def __init__(self) -> None:
        self._objects: dict[Key, _ObjectState] = {}
        self._buckets = [0] * BUCKET_COUNT
        self._version = 0
        self._workspaces: dict[objects.Workspace, objects.Workspace] = {}

    @property
    def version(self) -> int:
        """The highest version of any object known, even if it is invalid."""
        return self._version

    @property
    def bucket_hashes(self) -> tuple[int, ...]:
        """One hash for each bucket; equal if all its objects are equal."""
        return tuple(self._buckets)

    @property
    def combined_hash(self) -> int:
        """One hash of all objects; equal if all objects are equal."""
        combined = 0
        for bucket in self._buckets:
            combined ^= bucket
        return combined

    @property
    def keys(self) -> collections.abc.KeysView[Key]:
        """Keys of all objects known, including tombstones."""
        return self._objects.keys()

    def apply(
        self, kind: str, name: str, version: int, value: dict[str, Any]
    ) -> expression.Result[bool, Rejection]:
        """Applies an object unless the same or a higher version is known.

        Args:
          kind: the object's kind.
          name: the object's name.
          version: the platform's version; used only if the envelope has no
            version of its own.
          value: the platform's value, an Envelope.

        Returns:
          Whether this call has put it in force; False if the same or a higher
          version was known already. An error if the value is invalid; it is
          then rejected as a whole and the last valid one stays in force.
        """
        key = Key(kind, name)
        if kind not in _MODELS:
            return _reject(key, version, "unknown kind")
        if not value:
            # A deletion without `endivewind submit` has no version and can't
            # be distinguished from a loss of the store, so the object stays.
            return _reject(key, version, "deleted without a tombstone")
        try:
            envelope = Envelope.model_validate(value)
        except pydantic.ValidationError as error:
            return expression.Error(
                Rejection(key, version, _describe_errors(error))
            )
        text = _canonical_json(value)
        if len(text) > MAX_VALUE_BYTES:
            return _reject(
                key, version, f"{len(text)} bytes exceed the size limit"
            )
        stamp = Stamp(envelope.version or version, _fingerprint(text))
        if not 0 < stamp.version < MAX_VERSION:
            return _reject(key, version, "version out of range")
        return self._merge(key, stamp, envelope, text)

    def apply_packed(
        self, key: Key, version: int, packed: bytes
    ) -> expression.Result[bool, Rejection]:
        """Applies an object received from a peer."""
        unpacked = unpack(packed)
        if unpacked is None:
            return _reject(key, version, "can't be unpacked")
        return self.apply(key.kind, key.name, version, unpacked)

    def stamp(self, key: Key) -> Stamp:
        """Returns the highest state known of an object, or ABSENT_STAMP."""
        state = self._objects.get(key)
        return state.stamp if state else ABSENT_STAMP

    def packed(self, key: Key) -> bytes | None:
        """Returns the highest value known, compressed."""
        state = self._objects.get(key)
        return state.packed if state else None

    def value(self, key: Key) -> dict[str, Any] | None:
        """Returns the highest value known, as stored on the platform."""
        state = self._objects.get(key)
        return unpack(state.packed) if state else None

    def version_in_force(self, key: Key) -> int:
        """Returns the version in force of an object; 0 if there is none."""
        state = self._objects.get(key)
        return state.in_force if state else 0

    def keys_in_bucket(self, bucket: int) -> list[Key]:
        """Returns the keys of the objects in a bucket."""
        return [key for key in self._objects if bucket_of(key) == bucket]

    def service(self, name: str) -> objects.Service | None:
        """Returns a service in force."""
        item = self._objects.get(Key(SERVICE, name))
        if item is not None:
            return item.model
        for document in self.documents():
            if name in document.services:
                return document.services[name]
        return None

    def document(self, name: str) -> objects.Document | None:
        """Returns a complete configuration in force."""
        item = self._objects.get(Key(DOCUMENT, name))
        return item.model if item else None

    @property
    def document_version(self) -> int:
        """Version in force of the complete configuration; 0 if none."""
        return max(
            (
                item.in_force
                for key, item in self._objects.items()
                if key.kind == DOCUMENT
            ),
            default=0,
        )

    def documents(self) -> list[objects.Document]:
        """Returns all complete configurations in force."""
        return self._models(DOCUMENT)

    def route_group(self, name: str) -> objects.RouteGroup | None:
        """Returns a route group in force."""
        item = self._objects.get(Key(ROUTE_GROUP, name))
        return item.model if item else None

    def route_groups(self) -> list[objects.RouteGroup]:
        """Returns all route groups in force."""
        return self._models(ROUTE_GROUP)

    def workspace_shard(self, name: str) -> objects.WorkspaceShard | None:
        """Returns a workspace shard in force."""
        item = self._objects.get(Key(WORKSPACE_SHARD, name))
        return item.model if item else None

    def workspace_shards(self) -> list[objects.WorkspaceShard]:
        """Returns all workspace shards in force."""
        return self._models(WORKSPACE_SHARD)

    def _merge(
        self, key: Key, stamp: Stamp, envelope: Envelope, text: bytes
    ) -> expression.Result[bool, Rejection]:
        known = self._objects.get(key)
        if known and known.stamp >= stamp:
            return expression.Ok(False)
        problems: tuple[str, ...] = ()
        model = known.model if known else None
        in_force = known.in_force if known else 0
        try:
            model = self._validate_spec(key.kind, envelope)
            in_force = stamp.version
        except pydantic.ValidationError as error:
            problems = _describe_errors(error)
        self._put(
            key, _ObjectState(stamp, zlib.compress(text), in_force, model)
        )
        if problems:
            # Stored although invalid here: a newer release may know its fields,
            # and nodes of that release may receive it only through this one.
            return expression.Error(
                Rejection(key, stamp.version, problems, is_retained=True)
            )
        return expression.Ok(True)

    def _put(self, key: Key, state: _ObjectState) -> None:
        bucket = bucket_of(key)
        known = self._objects.get(key)
        if known:
            self._buckets[bucket] ^= _state_hash(key, known.stamp)
        self._buckets[bucket] ^= _state_hash(key, state.stamp)
        self._objects[key] = state
        self._version = max(self._version, state.stamp.version)

    def _validate_spec(
        self, kind: str, envelope: Envelope
    ) -> pydantic.BaseModel | None:
        if envelope.spec is None:
            return None
        model = _MODELS[kind].model_validate(envelope.spec)
        if isinstance(model, objects.WorkspaceShard):
            return self._intern_workspaces(model)
        return model

    def _intern_workspaces(
        self, shard: objects.WorkspaceShard
    ) -> objects.WorkspaceShard:
        """Returns the shard with equal workspaces sharing one instance.

        29,000 separate instances would take more memory than a node has for
        all its state. Most workspaces of a firm have the same limits.
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
    """Returns the bucket of an object, which is the same on every node."""
    return zlib.crc32(f"{key.kind}/{key.name}".encode()) % BUCKET_COUNT


def stamp_of(version: int, value: dict[str, Any]) -> Stamp:
    """Returns the stamp of a platform value; ABSENT_STAMP if invalid."""
    try:
        envelope = Envelope.model_validate(value)
    except pydantic.ValidationError:
        return ABSENT_STAMP
    return Stamp(
        envelope.version or version, _fingerprint(_canonical_json(value))
    )


def unpack(packed: bytes) -> dict[str, Any] | None:
    """Decompresses a value; returns None if it is invalid."""
    unpacker = zlib.decompressobj()
    try:
        text = unpacker.decompress(packed, MAX_VALUE_BYTES + 1)
        value = json.loads(text)
    except (zlib.error, ValueError, RecursionError):
        return None
    return value if isinstance(value, dict) else None


def fingerprint(value: dict[str, Any]) -> int:
    """Returns a hash of a JSON value, independent of the order of keys."""
    return _fingerprint(_canonical_json(value))


def _canonical_json(value: dict[str, Any]) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def _fingerprint(text: bytes) -> int:
    digest = hashlib.blake2b(text, digest_size=7).digest()
    return int.from_bytes(digest, "big")


def _state_hash(key: Key, stamp: Stamp) -> int:
    text = f"{key.kind}/{key.name}@{stamp.version}/{stamp.fingerprint}"
    return _fingerprint(text.encode())


def _reject(
    key: Key, version: int, problem: str
) -> expression.Result[bool, Rejection]:
    return expression.Error(Rejection(key, version, (problem,)))


def _describe_errors(error: pydantic.ValidationError) -> tuple[str, ...]:
    return tuple(
        ".".join(str(part) for part in item["loc"]) + ": " + item["msg"]
        for item in error.errors()
    )
