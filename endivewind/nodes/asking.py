"""Asks every node what it has in force, for operators who want to know."""

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

# An operator's question is rare, but with 760 nodes it must not open all
# links at once.
MAX_AT_ONCE = 32
MAX_KEYS = 100
WAIT = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """One object at one node.

    Attributes:
      known: the highest version that the node knows.
      in_force: the version in force; lower where the node refused the other.
    """

    known: int
    in_force: int


States = dict[store.Key, State]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetStates:
    """What the fleet has in force.

    Attributes:
      nodes: what each node that answered has.
      silent: nodes that are known and have not answered.
    """

    nodes: dict[str, States]
    silent: tuple[str, ...]


class Asking:
    """Sends questions on the links, answers others', collects answers."""

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
        self._open: dict[int, dict[str, States]] = {}
        self._heard = asyncio.Event()

    async def ask(
        self, keys: collections.abc.Sequence[store.Key]
    ) -> FleetStates:
        """Asks every known node; waits no longer than WAIT."""
        number = next(self._numbers)
        found = {self._name: self._own(keys)}
        self._open[number] = found
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
                while others.keys() - found.keys():
                    self._heard.clear()
                    await self._heard.wait()
        except TimeoutError:
            pass
        finally:
            del self._open[number]
        silent = tuple(sorted(others.keys() - found.keys()))
        return FleetStates(found, silent)

    def answer(self, ask: Any) -> Any:
        """The answer to a node's question, as a frame."""
        keys = [store.Key(item.kind, item.name) for item in ask.keys or ()]
        own = self._own(keys[:MAX_KEYS])
        state = codec.messages.ConfigurationState(
            sender=self._name,
            number=ask.number,
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
        """Takes an answer; one that comes too late is dropped."""
        found = self._open.get(state.number)
        if found is None:
            return
        known = {
            store.Key(item.kind, item.name): item.version
            for item in state.known or ()
        }
        found[state.sender] = {
            key: State(known.get(key, 0), item.version)
            for item in state.in_force or ()
            for key in (store.Key(item.kind, item.name),)
        }
        self._heard.set()

    def _own(self, keys: collections.abc.Iterable[store.Key]) -> States:
        return {
            key: State(
                self._store.stamp(key).version, self._store.in_force(key)
            )
            for key in keys
        }

    async def _send_all(
        self, others: dict[str, view.NodeRecord], frame: Any
    ) -> None:
        free = asyncio.Semaphore(MAX_AT_ONCE)

        async def send(address: str) -> None:
            async with free:
                await self._pool.send(address, frame)

        await asyncio.gather(*(send(peer.address) for peer in others.values()))


def stamp_out(key: store.Key, stamp: store.Stamp) -> Any:
    """A key and its state as a thrift struct."""
    return codec.messages.ConfigurationStamp(
        kind=key.kind,
        name=key.name,
        version=stamp.version,
        fingerprint=stamp.fingerprint,
    )
