"""Queries all nodes for the configuration versions that they have in force.

The operators' HTTP interface uses it to show which nodes have not applied an
object yet. Queries and responses are single frames on the links between nodes.
"""

import asyncio
import collections.abc
import dataclasses
import datetime
import itertools
from typing import Any

from endivewind.config import store
from endivewind.nodes import codec
from endivewind.nodes import links
from endivewind.nodes import view

# Queries are rare, but with 760 nodes one must not open all links at once.
MAX_CONCURRENT_SENDS = 32
MAX_KEYS_PER_QUERY = 100
QUERY_TIMEOUT = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectVersions:
    """The versions of one object at one node.

    Attributes:
      known: the highest version that the node has received.
      in_force: the version in force; lower if the node rejected later ones.
    """

    known: int
    in_force: int


VersionsByKey = dict[store.Key, ObjectVersions]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetVersions:
    """The versions of configuration objects across the fleet.

    Attributes:
      nodes: the versions at each node that responded, by node name.
      unresponsive: names of known nodes that did not respond in time.
    """

    nodes: dict[str, VersionsByKey]
    unresponsive: tuple[str, ...]


class VersionQueries:
    """Sends queries to other nodes, collects responses and handles queries."""

    def __init__(
        self,
        name: str,
        configuration: store.ConfigurationStore,
        fleet: view.FleetView,
        pool: links.LinkPool,
    ) -> None:
        self._name = name
        self._store = configuration
        self._fleet = fleet
        self._pool = pool
        self._numbers = itertools.count(1)
        self._pending: dict[int, dict[str, VersionsByKey]] = {}
        self._response_arrived = asyncio.Event()

    async def query_fleet(
        self, keys: collections.abc.Sequence[store.Key]
    ) -> FleetVersions:
        """Queries all known nodes; waits for QUERY_TIMEOUT at most."""
        number = next(self._numbers)
        versions = {self._name: self._own_versions(keys)}
        self._pending[number] = versions
        others = {
            name: peer
            for name, peer in self._fleet.nodes.items()
            if name != self._name
        }
        frame = codec.messages.Frame(
            configuration_ask=codec.messages.ConfigurationAsk(
                sender=self._name,
                number=number,
                keys=[encode_stamp(key, store.ABSENT_STAMP) for key in keys],
            )
        )
        try:
            async with asyncio.timeout(QUERY_TIMEOUT.total_seconds()):
                await self._send_all(others, frame)
                while others.keys() - versions.keys():
                    self._response_arrived.clear()
                    await self._response_arrived.wait()
        except TimeoutError:
            pass
        finally:
            del self._pending[number]
        unresponsive = tuple(sorted(others.keys() - versions.keys()))
        return FleetVersions(versions, unresponsive)

    def handle_query(self, query: Any) -> Any:
        """Returns the response frame to another node's query."""
        keys = [store.Key(item.kind, item.name) for item in query.keys or ()]
        own = self._own_versions(keys[:MAX_KEYS_PER_QUERY])
        state = codec.messages.ConfigurationState(
            sender=self._name,
            number=query.number,
            known=[
                encode_stamp(key, store.Stamp(item.known, 0))
                for key, item in own.items()
            ],
            in_force=[
                encode_stamp(key, store.Stamp(item.in_force, 0))
                for key, item in own.items()
            ],
        )
        return codec.messages.Frame(configuration_state=state)

    def handle_response(self, state: Any) -> None:
        """Records a response; one that arrives too late is ignored."""
        versions = self._pending.get(state.number)
        if versions is None:
            return
        known = {
            store.Key(item.kind, item.name): item.version
            for item in state.known or ()
        }
        versions[state.sender] = {
            key: ObjectVersions(known.get(key, 0), item.version)
            for item in state.in_force or ()
            for key in (store.Key(item.kind, item.name),)
        }
        self._response_arrived.set()

    def _own_versions(
        self, keys: collections.abc.Iterable[store.Key]
    ) -> VersionsByKey:
        return {
            key: ObjectVersions(
                self._store.stamp(key).version,
                self._store.version_in_force(key),
            )
            for key in keys
        }

    async def _send_all(
        self, others: dict[str, view.NodeRecord], frame: Any
    ) -> None:
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_SENDS)

        async def send(address: str) -> None:
            async with semaphore:
                await self._pool.send(address, frame)

        await asyncio.gather(*(send(peer.address) for peer in others.values()))


def encode_stamp(key: store.Key, stamp: store.Stamp) -> Any:
    """Converts a key and its version and fingerprint to a thrift struct."""
    return codec.messages.ConfigurationStamp(
        kind=key.kind,
        name=key.name,
        version=stamp.version,
        fingerprint=stamp.fingerprint,
    )
