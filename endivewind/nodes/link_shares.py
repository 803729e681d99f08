"""Shares of the links between regions: owners that grant bytes to nodes.

Rendezvous hashing selects one node of the sending region as the owner of each
ordered pair of regions. `decisions/link_shares.py` decides what it grants.
`callers/link_traffic.py` asks here for the entry node.
"""

import asyncio
import collections.abc
import datetime
import logging
from typing import Any

from endivewind import clock as clocks
from endivewind import logs
from endivewind.decisions import link_shares
from endivewind.nodes import codec
from endivewind.nodes import links
from endivewind.nodes import quotas
from endivewind.nodes import view

log = logging.getLogger(__name__)

_MILLISECOND = datetime.timedelta(milliseconds=1)
# How often waiting asks are checked. A hundredth of a second of the link is
# granted at once then, which is far less than the owner's burst.
GRANT_INTERVAL = datetime.timedelta(milliseconds=10)
# The owner may hold an ask before it responds.
QUERY_TIMEOUT = links.QUERY_TIMEOUT + link_shares.MAX_HOLD
# Pairs that this node owns at most. Asks of other nodes for pairs that don't
# exist must not create owners without a bound.
MAX_OWNED_PAIRS = 16


def _key(pair: link_shares.Pair) -> str:
    """Returns the key by which the owner of a pair is hashed."""
    return f"{pair.sender}>{pair.receiver}"


def _region_of(node: view.NodeRecord) -> str:
    return node.region


class LinkShareService:
    """Owns shares of links, and asks the owners of others."""

    def __init__(
        self,
        me: view.NodeRecord,
        bytes_per_second: int,
        fleet: view.FleetView,
        pool: links.LinkPool,
        clock: clocks.Clock,
    ) -> None:
        """Initializes the service.

        Args:
          me: this node.
          bytes_per_second: what all nodes may send each way between two
            regions.
          fleet: the known nodes.
          pool: links to them.
          clock: the clock by which shares are granted.
        """
        self._me = me
        self._bytes_per_second = bytes_per_second
        self._pool = pool
        self._clock = clock
        self._directory = quotas.OwnerDirectory(fleet, clock, _region_of)
        self._owners: dict[link_shares.Pair, link_shares.ShareOwner] = {}
        self._granted: dict[link_shares.Ask, asyncio.Future[None]] = {}
        self._timers: dict[link_shares.Pair, asyncio.TimerHandle] = {}
        self._started = clock.monotonic()

    @property
    def granted_bytes(self) -> collections.abc.Mapping[link_shares.Pair, int]:
        """The bytes that this node has granted, by pair of regions."""
        return {
            pair: owner.granted_bytes for pair, owner in self._owners.items()
        }

    def node_count(self, pair: link_shares.Pair) -> int:
        """Returns how many nodes may send from one region to the other.

        Nodes of both regions: requests are charged by the entry nodes of the
        sending region, and responses by those of the receiving region.
        """
        count = self._directory.node_count(pair.sender)
        return max(1, count + self._directory.node_count(pair.receiver))

    async def request_bytes(
        self, pair: link_shares.Pair, size: int, urgency: int
    ) -> link_shares.Grant | None:
        """Asks the owner of a pair; returns None if it does not respond."""
        owner = self._owner_of(pair)
        if owner is None:
            return None
        if owner.name == self._me.name:
            return await self._grant(pair, self._me.name, size, urgency)
        query = codec.messages.LinkShareAsk(
            from_region=pair.sender,
            to_region=pair.receiver,
            bytes=size,
            urgency=urgency,
            sender=self._me.name,
        )
        response = await self._pool.query(
            owner.address,
            codec.messages.Frame(link_share_ask=query),
            QUERY_TIMEOUT,
        )
        grant = response.link_share_grant if response is not None else None
        if grant is None:
            return None
        # A faulty wait must not stop the asks of this node for days.
        wait = min(
            max(0, grant.wait_ms or 0) * _MILLISECOND, link_shares.MAX_WAIT
        )
        return link_shares.Grant(max(0, min(grant.bytes or 0, size)), wait)

    async def handle_query(self, query: Any) -> Any:
        """Returns the response frame to another node's ask for bytes."""
        pair = link_shares.Pair(query.from_region or "", query.to_region or "")
        grant = link_shares.Grant(0, link_shares.MAX_WAIT)
        if pair in self._owners or len(self._owners) < MAX_OWNED_PAIRS:
            size = max(0, query.bytes or 0)
            grant = await self._grant(
                pair, query.sender or "", size, query.urgency or 0
            )
        message = codec.messages.LinkShareGrant(
            bytes=grant.size, wait_ms=-(-grant.wait // _MILLISECOND)
        )
        return codec.messages.Frame(link_share_grant=message)

    async def _grant(
        self, pair: link_shares.Pair, node: str, size: int, urgency: int
    ) -> link_shares.Grant:
        """Waits until the bytes can be granted, at most MAX_HOLD."""
        now = self._clock.monotonic()
        owner = self._owner(pair, now)
        ask = link_shares.Ask(node, size, urgency)
        owner.offer(ask, self.node_count(pair), now)
        if not size:
            return link_shares.Grant(0, owner.wait)
        future = asyncio.get_running_loop().create_future()
        self._granted[ask] = future
        self._grant_waiting(pair)
        try:
            async with asyncio.timeout(link_shares.MAX_HOLD.total_seconds()):
                await future
        except TimeoutError:
            # The bytes may have been granted at the same moment.
            if not future.done() or future.cancelled():
                return link_shares.Grant(0, owner.wait)
        finally:
            owner.withdraw(ask)
            del self._granted[ask]
        return link_shares.Grant(ask.size, owner.wait)

    def _grant_waiting(self, pair: link_shares.Pair) -> None:
        """Grants what can be granted now; runs again while asks wait."""
        timer = self._timers.pop(pair, None)
        if timer is not None:
            timer.cancel()
        owner = self._owners[pair]
        for ask in owner.take_granted(self._clock.monotonic()):
            if not self._granted[ask].done():
                self._granted[ask].set_result(None)
        if owner.waiting_count:
            self._timers[pair] = asyncio.get_running_loop().call_later(
                GRANT_INTERVAL.total_seconds(), self._grant_waiting, pair
            )

    def _owner(
        self, pair: link_shares.Pair, now: datetime.timedelta
    ) -> link_shares.ShareOwner:
        """Returns this node's state as the owner of a pair.

        The state is new if the node that owned the pair before has departed
        since: what that node has granted is unknown.
        """
        owner = self._owners.get(pair)
        taken_over_at = self._directory.last_owner_departure(
            _key(pair), self._me
        )
        if owner is None or (
            taken_over_at is not None and taken_over_at > owner.owned_since
        ):
            owner = self._owners[pair] = link_shares.ShareOwner(
                self._bytes_per_second,
                self.node_count(pair),
                taken_over_at or self._started,
                now,
            )
            log.info(
                "link shares owned",
                extra=logs.fields(
                    from_region=pair.sender, to_region=pair.receiver
                ),
            )
        return owner

    def _owner_of(self, pair: link_shares.Pair) -> view.NodeRecord | None:
        """Returns the node of the sending region that owns a pair."""
        ranked = self._directory.nodes_by_rank(_key(pair), pair.sender)
        return ranked[0] if ranked else None
