"""Proofs that the configuration is the newest: reads, asks and answers.

What a proof is stands in config/freshness.py, who reads and who asks whom in
config/proving.py.
"""

import asyncio
import collections.abc
import datetime
import logging
import random
from typing import Any

from endivewind import clock as clocks
from endivewind.config import freshness
from endivewind.config import proving
from endivewind.nodes import codec
from endivewind.nodes import links
from endivewind.nodes import view

log = logging.getLogger(__name__)

_MILLISECOND = datetime.timedelta(milliseconds=1)
# Without a bound nothing is asked; one may come with changed settings.
_IDLE = datetime.timedelta(seconds=1)

# Reads the platform for a proof; tells whether it got one.
Read = collections.abc.Callable[
    [datetime.timedelta], collections.abc.Awaitable[bool]
]


class ProofPeer:
    """Keeps this node's proof young; nothing is paid where none is needed."""

    def __init__(
        self,
        me: view.NodeRecord,
        proof: freshness.Freshness,
        fleet: view.FleetView,
        pool: links.LinkPool,
        read: Read,
        is_settled: collections.abc.Callable[[], bool],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        """Builds a peer.

        Args:
          me: this node.
          proof: what is kept young.
          fleet: the other nodes.
          pool: links to them.
          read: reads the platform, within a limit of time.
          is_settled: whether this node knows those that started before it.
          clock: counts time asleep as well.
          rng: chooses whom to ask.
        """
        self._me = me
        self._proof = proof
        self._fleet = fleet
        self._pool = pool
        self._read = read
        self._is_settled = is_settled
        self._clock = clock
        self._rng = rng
        self._started = clock.boot_time()
        self._stood_in: datetime.timedelta | None = None
        self._parent_helps = True

    def answer(self) -> Any:
        """What this node answers to another's question, as a frame."""
        found = self._proof.answer(self._clock.boot_time())
        state = codec.messages.FreshnessState()
        if found is not None:
            state.version = found.version
            # Rounded up: a proof may only seem older than it is.
            state.age_ms = -(-found.age // _MILLISECOND) + 1
        return codec.messages.Frame(freshness_state=state)

    async def run_reading(self) -> None:
        """Reads the platform for ever, where it is this node's turn."""
        failures = 0
        while True:
            bound = self._proof.bound
            if bound is None or not self._is_turn(bound):
                await asyncio.sleep(self._period().total_seconds())
                continue
            if await self._read(proving.READ_AGE * bound):
                failures = 0
                continue
            failures += 1
            longest = proving.STAND_IN_AGE * bound
            pause = min(2 ** (1 + failures) * proving.FIRST_PERIOD, longest)
            await asyncio.sleep(pause.total_seconds())

    async def run_asking(self) -> None:
        """Asks other nodes for ever."""
        while True:
            await asyncio.sleep(self._period().total_seconds())
            bound = self._proof.bound
            peer = self._asked(bound) if bound is not None else None
            if bound is None or peer is None:
                continue
            await self._ask(peer)
            stale = self._is_older(proving.STALE_AGE * bound)
            self._parent_helps = not stale or not self._parent_helps

    def _is_turn(self, bound: datetime.timedelta) -> bool:
        if not self._is_settled():
            return False
        now = self._clock.boot_time()
        number = self._rank().number
        age = self._proof.age(now)
        if age is None and number == 0:
            return True
        since = now - self._started if age is None else age
        stands_in = (
            self._stood_in is not None
            and now - self._stood_in < proving.STAND_IN_TIME * bound
        )
        turn = proving.reads(
            number, since, bound, self._rng, stands_in=stands_in
        )
        if turn and number and not stands_in:
            self._stood_in = now
            log.info("reads the platform in place of another node")
        return turn

    def _period(self) -> datetime.timedelta:
        bound = self._proof.bound
        if bound is None:
            return _IDLE
        if self._proof.answer(self._clock.boot_time()) is None:
            return proving.FIRST_PERIOD
        return proving.ASK_PERIOD * bound * self._rng.uniform(0.8, 1.0)

    def _rank(self) -> proving.Rank[view.NodeRecord]:
        return proving.rank(self._me, self._fleet.nodes.values())

    def _asked(self, bound: datetime.timedelta) -> view.NodeRecord | None:
        """The node to ask next: the parent, or another if it did not help.

        The first reader asks only where its own readings fail.
        """
        place = self._rank()
        if place.parent is not None and self._parent_helps:
            return place.parent
        if not place.others:
            return place.parent
        reads = place.parent is None
        if reads and not self._is_older(2 * proving.READ_AGE * bound):
            return None
        return self._rng.choice(place.others)

    def _is_older(self, limit: datetime.timedelta) -> bool:
        """Whether this node's proof is older than that, or there is none."""
        age = self._proof.age(self._clock.boot_time())
        return age is None or age > limit

    async def _ask(self, peer: view.NodeRecord) -> None:
        asked = self._clock.boot_time()
        question = codec.messages.Frame(
            freshness_ask=codec.messages.FreshnessAsk()
        )
        answer = await self._pool.ask(
            peer.address, question, links.ANSWER_LIMIT
        )
        state = answer.freshness_state if answer is not None else None
        if state is None or state.version is None or state.age_ms is None:
            return
        told = freshness.Answer(state.version, state.age_ms * _MILLISECOND)
        if self._proof.answered(told, asked):
            # Another reader reads often enough; this one need not stand in.
            self._stood_in = None
