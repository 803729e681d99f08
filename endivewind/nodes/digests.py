"""Digests of record versions, by which nodes detect differences.

Anti-entropy repair compares them. Node names are hashed into buckets, and the
digest of a bucket is the XOR of the hashes of its nodes' versions.
"""

import collections.abc
import dataclasses
import hashlib

from endivewind.nodes import view

# With 760 nodes a bucket holds six, whose versions fit into one datagram.
BUCKET_COUNT = 128


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """Version of the records of a node.

    Attributes:
      name: the node's name.
      precedence: precedence of its member record.
      home_version: version of its targets.
    """

    name: str
    precedence: tuple[int, int, int]
    home_version: view.HomeVersion

    @property
    def canonical_text(self) -> str:
        """The input of the hash; equal on all nodes for equal versions."""
        incarnation, refutation, state = self.precedence
        member_text = f"{self.name} {incarnation} {refutation} {int(state)}"
        return f"{member_text} {self.home_version.incarnation} {self.home_version.sequence}"


class BucketDigests:
    """Digests of all nodes' versions, updated incrementally."""

    def __init__(self) -> None:
        self._hashes: dict[str, int] = {}
        self._buckets = [0] * BUCKET_COUNT
        self._names: list[set[str]] = [set() for _ in range(BUCKET_COUNT)]
        self._summary = 0

    @property
    def summary(self) -> int:
        """XOR of the hashes of all versions; equal for equal versions."""
        return self._summary

    @property
    def buckets(self) -> tuple[int, ...]:
        """Digests by bucket index."""
        return tuple(self._buckets)

    def names_in(self, bucket: int) -> collections.abc.Set[str]:
        """Returns the names of the nodes in a bucket."""
        return self._names[bucket]

    def put(self, name: str, version: Version | None) -> None:
        """Sets the version of a node, or removes the node if it is None."""
        bucket = bucket_of(name)
        old_hash = self._hashes.pop(name, 0)
        new_hash = 0
        if version is not None:
            new_hash = _hash(version.canonical_text)
            self._hashes[name] = new_hash
            self._names[bucket].add(name)
        else:
            self._names[bucket].discard(name)
        self._buckets[bucket] ^= old_hash ^ new_hash
        self._summary ^= old_hash ^ new_hash


def bucket_of(name: str) -> int:
    """Returns the bucket index of a node; the same on all nodes."""
    return _hash(name) % BUCKET_COUNT


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big", signed=True)
