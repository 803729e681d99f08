"""Digests by which two nodes find what one of them has missed."""

import collections.abc
import dataclasses
import hashlib

from endivewind.nodes import view

# At 760 nodes a bucket holds six, whose versions fit one datagram.
BUCKETS = 128


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """Which version of a node's records the sender knows."""

    name: str
    member: tuple[int, int, int]
    home: view.HomeVersion

    @property
    def text(self) -> str:
        """What digests are made of; the same at every node."""
        incarnation, refutation, state = self.member
        own = f"{self.name} {incarnation} {refutation} {int(state)}"
        return f"{own} {self.home.incarnation} {self.home.sequence}"


class Digests:
    """Digests of every node's versions, kept as versions change."""

    def __init__(self) -> None:
        self._hashes: dict[str, int] = {}
        self._buckets = [0] * BUCKETS
        self._names: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._summary = 0

    @property
    def summary(self) -> int:
        """One digest of all."""
        return self._summary

    @property
    def buckets(self) -> tuple[int, ...]:
        """The digest of each bucket."""
        return tuple(self._buckets)

    def names(self, bucket: int) -> collections.abc.Set[str]:
        """The nodes whose versions are in a bucket."""
        return self._names[bucket]

    def put(self, name: str, version: Version | None) -> None:
        """Takes a node's version; None takes the node out."""
        bucket = bucket_of(name)
        old = self._hashes.pop(name, 0)
        new = 0
        if version is not None:
            new = _digest(version.text)
            self._hashes[name] = new
            self._names[bucket].add(name)
        else:
            self._names[bucket].discard(name)
        self._buckets[bucket] ^= old ^ new
        self._summary ^= old ^ new


def bucket_of(name: str) -> int:
    """The bucket of a node; the same at every node."""
    return _digest(name) % BUCKETS


def _digest(text: str) -> int:
    raw = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(raw, "big", signed=True)
