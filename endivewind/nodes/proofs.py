"""Obtains and passes on proofs that this node's configuration is current.

A revoked key must stop working within a time limit. If the settings give one,
the node refuses requests that need a key while its proof is older than that.
Where the settings limit only the time until a configuration is in force, proofs
show that a watch of the platform is silent or that this node missed a version.
`config/freshness.py` defines a proof; `config/proof_tree.py` decides which
nodes read the platform and which peer each node queries.
"""

import asyncio
import collections.abc
import datetime
import logging
import random
from typing import Any

from endivewind import clock as clocks
from endivewind.config import freshness
from endivewind.config import proof_tree
from endivewind.nodes import codec
from endivewind.nodes import links
from endivewind.nodes import view

log = logging.getLogger(__name__)

_MILLISECOND = datetime.timedelta(milliseconds=1)
# Interval of checking whether a proof is needed while the settings set no limit
# to the age of proofs. A reload may introduce a limit.
_IDLE_INTERVAL = datetime.timedelta(seconds=1)

# Reads the platform within a timeout; returns whether that gave a proof.
PlatformRead = collections.abc.Callable[
    [datetime.timedelta], collections.abc.Awaitable[bool]
]
# Requests the objects that a peer has and this node lacks.
RequestNewer = collections.abc.Callable[[view.NodeRecord], None]


class ProofService:
    """Keeps this node's proof recent; does nothing where none is needed."""

    def __init__(
        self,
        me: view.NodeRecord,
        tracker: freshness.FreshnessTracker,
        fleet: view.FleetView,
        pool: links.LinkPool,
        read: PlatformRead,
        has_complete_view: collections.abc.Callable[[], bool],
        request_newer: RequestNewer,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        """Initializes the service.

        Args:
          me: this node.
          tracker: the proof to keep recent.
          fleet: the other nodes.
          pool: links to them.
          read: reads the platform within a timeout.
          has_complete_view: whether this node knows all nodes that started
            before it.
          request_newer: called with a peer that has a later version.
          clock: must include time during which the machine was suspended.
          rng: chooses the peer to query.
        """
        self._me = me
        self._tracker = tracker
        self._fleet = fleet
        self._pool = pool
        self._read = read
        self._has_complete_view = has_complete_view
        self._request_newer = request_newer
        self._clock = clock
        self._rng = rng
        self._started = clock.time_since_boot()
        # When this node last began to read the platform as a standby.
        self._stand_in_started: datetime.timedelta | None = None
        # Whether the parent is queried next. While the proof is stale, the
        # parent and other nodes are queried in turn.
        self._is_parent_useful = True

    def response_frame(self) -> Any:
        """Returns the response frame to another node's query."""
        proof = self._tracker.make_response(self._clock.time_since_boot())
        state = codec.messages.FreshnessState()
        if proof is not None:
            state.version = proof.version
            # Rounded up, so that a proof never appears newer than it is.
            state.age_ms = -(-proof.age // _MILLISECOND) + 1
        return codec.messages.Frame(freshness_state=state)

    async def run_platform_reads(self) -> None:
        """Reads the platform whenever it is this node's turn; never returns."""
        failures = 0
        while True:
            max_age = self._tracker.bound
            if max_age is None or not self._is_turn_to_read(max_age):
                await asyncio.sleep(self._query_interval().total_seconds())
                continue
            if await self._read(proof_tree.READER_PROOF_AGE_SHARE * max_age):
                failures = 0
                continue
            failures += 1
            max_backoff = proof_tree.STANDBY_PROOF_AGE_SHARE * max_age
            backoff = min(
                2 ** (1 + failures) * proof_tree.INITIAL_QUERY_PERIOD,
                max_backoff,
            )
            await asyncio.sleep(backoff.total_seconds())

    async def run_peer_queries(self) -> None:
        """Queries other nodes periodically; never returns."""
        while True:
            await asyncio.sleep(self._query_interval().total_seconds())
            max_age = self._tracker.bound
            peer = self._choose_peer(max_age) if max_age is not None else None
            if max_age is None or peer is None:
                continue
            await self._query(peer)
            is_stale = self._is_older(
                proof_tree.STALE_PROOF_AGE_SHARE * max_age
            )
            self._is_parent_useful = not is_stale or not self._is_parent_useful

    def _is_turn_to_read(self, max_age: datetime.timedelta) -> bool:
        if not self._has_complete_view():
            return False
        now = self._clock.time_since_boot()
        start_rank = self._tree_position().start_rank
        age = self._tracker.age(now)
        if age is None and start_rank == 0:
            return True
        age_or_uptime = now - self._started if age is None else age
        is_standing_in = (
            self._stand_in_started is not None
            and now - self._stand_in_started
            < proof_tree.STANDBY_DURATION_BOUNDS * max_age
        )
        should_read = proof_tree.should_read(
            start_rank,
            age_or_uptime,
            max_age,
            self._rng,
            is_standby=is_standing_in,
        )
        if should_read and start_rank and not is_standing_in:
            self._stand_in_started = now
            log.info("reading the platform in place of another node")
        return should_read

    def _query_interval(self) -> datetime.timedelta:
        max_age = self._tracker.bound
        if max_age is None:
            return _IDLE_INTERVAL
        if self._tracker.make_response(self._clock.time_since_boot()) is None:
            return proof_tree.INITIAL_QUERY_PERIOD
        return (
            proof_tree.QUERY_PERIOD_SHARE
            * max_age
            * self._rng.uniform(0.8, 1.0)
        )

    def _tree_position(self) -> proof_tree.TreePosition[view.NodeRecord]:
        return proof_tree.tree_position(self._me, self._fleet.nodes.values())

    def _choose_peer(
        self, max_age: datetime.timedelta
    ) -> view.NodeRecord | None:
        """Returns the node to query next, if any.

        That is the parent, or another node if the parent's last response gave
        no recent proof. The first reader queries others only while its own
        reads of the platform fail.
        """
        position = self._tree_position()
        if position.parent is not None and self._is_parent_useful:
            return position.parent
        if not position.fallbacks:
            return position.parent
        is_first_reader = position.parent is None
        if is_first_reader and not self._is_older(
            2 * proof_tree.READER_PROOF_AGE_SHARE * max_age
        ):
            return None
        return self._rng.choice(position.fallbacks)

    def _is_older(self, limit: datetime.timedelta) -> bool:
        """Returns whether the proof is missing or older than the limit."""
        age = self._tracker.age(self._clock.time_since_boot())
        return age is None or age > limit

    async def _query(self, peer: view.NodeRecord) -> None:
        sent_at = self._clock.time_since_boot()
        query = codec.messages.Frame(
            freshness_ask=codec.messages.FreshnessAsk()
        )
        response = await self._pool.query(
            peer.address, query, links.QUERY_TIMEOUT
        )
        state = response.freshness_state if response is not None else None
        if state is None or state.version is None or state.age_ms is None:
            return
        peer_proof = freshness.ProofResponse(
            state.version, state.age_ms * _MILLISECOND
        )
        is_newest = self._tracker.handle_response(peer_proof, sent_at)
        if self._tracker.is_behind:
            # Rumours and digests have missed this node so far.
            self._request_newer(peer)
        if is_newest:
            # Another node reads often enough, so this one stops doing so.
            self._stand_in_started = None
