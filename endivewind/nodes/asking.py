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
MAX_AT_ONCE = 32
MAX_KEYS = 100
WAIT = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """The versions of one object at one node.

    Attributes:
      known: the highest version that the node has received.
      in_force: the version in force; lower if the node rejected later ones.
    """

    known: int
    in_force: int


States = dict[store.Key, State]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetStates:
    """The versions of configuration objects across the fleet.

    Attributes:
      nodes: the versions at each node that responded, by node name.
      unresponsive: names of known nodes that did not respond in time.
    """

    nodes: dict[str, States]
    silent: tuple[str, ...]


class Asking:
    """Sends queries to other nodes, collects responses and answers queries."""

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
        self._pending: dict[int, dict[str, States]] = {}
        self._response_arrived = asyncio.Event()

    async def ask(
        self, keys: collections.abc.Sequence[store.Key]
    ) -> FleetStates:
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
                keys=[stamp_out(key, store.ABSENT) for key in keys],
            )
        )
        try:
            async with asyncio.timeout(WAIT.total_seconds()):
                await self._send_all(others, frame)
                while others.keys() - versions.keys():
                    self._response_arrived.clear()
                    await self._response_arrived.wait()
        except TimeoutError:
            pass
        finally:
            del self._pending[number]
        unresponsive = tuple(sorted(others.keys() - versions.keys()))
        return FleetStates(versions, unresponsive)

    def answer(self, query: Any) -> Any:
        """Returns the response frame to another node's query."""
        keys = [store.Key(item.kind, item.name) for item in query.keys or ()]
        own = self._own_versions(keys[:MAX_KEYS])
        state = codec.messages.ConfigurationState(
            sender=self._name,
            number=query.number,
            known=[
                stamp_out(key, store.Stamp(item.known, 0))
                for key, item in own.items()
            ],
            in_force=[
                stamp_out(key, store.Stamp(item.in_force, 0))
                for key, item in own.items()
            ],
        )
        return codec.messages.Frame(configuration_state=state)

    def answered(self, state: Any) -> None:
        """Records a response; one that arrives too late is ignored."""
        versions = self._pending.get(state.number)
        if versions is None:
            return
        known = {
            store.Key(item.kind, item.name): item.version
            for item in state.known or ()
        }
        versions[state.sender] = {
            key: State(known.get(key, 0), item.version)
            for item in state.in_force or ()
            for key in (store.Key(item.kind, item.name),)
        }
        self._response_arrived.set()

    def _own_versions(
        self, keys: collections.abc.Iterable[store.Key]
    ) -> States:
        return {
            key: State(
                self._store.stamp(key).version, self._store.in_force(key)
            )
            for key in keys
        }

    async def _send_all(
        self, others: dict[str, view.NodeRecord], frame: Any
    ) -> None:
        semaphore = asyncio.Semaphore(MAX_AT_ONCE)

        async def send(address: str) -> None:
            async with semaphore:
                await self._pool.send(address, frame)

        await asyncio.gather(*(send(peer.address) for peer in others.values()))


def stamp_out(key: store.Key, stamp: store.Stamp) -> Any:
    """Converts a key and its stamp to a thrift struct."""
    return codec.messages.ConfigurationStamp(
        kind=key.kind,
        name=key.name,
        version=stamp.version,
        fingerprint=stamp.fingerprint,
    )
