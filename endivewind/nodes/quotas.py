"""Distributed rate limiting: owners of the quotas' token buckets.

Rendezvous hashing selects one node in each zone as the owner of a workspace's
bucket. Entry nodes request tokens from the owner of their zone, and owners
borrow from those of other zones. `decisions/quotas.py` has the token bucket.
`callers/quota_client.py` requests tokens here for the entry node.
"""

import asyncio
import collections.abc
import datetime
import logging
from typing import Any
import zlib

from endivewind import clock as clocks
from endivewind.decisions import quotas
from endivewind.nodes import codec
from endivewind.nodes import links
from endivewind.nodes import view

log = logging.getLogger(__name__)

_MILLISECOND = datetime.timedelta(milliseconds=1)
# An owner may borrow from another region before it responds.
OWNER_RESPONSE_TIMEOUT = 2 * links.QUERY_TIMEOUT
# Delay after a round in which no zone had tokens to lend: all zones are under
# load then.
BORROW_BACKOFF = datetime.timedelta(milliseconds=500)
# How long the list of the zones' nodes is cached.
NODE_LIST_TTL = datetime.timedelta(milliseconds=500)
# How long departed nodes are remembered as former owners.
DEPARTED_NODE_TTL = datetime.timedelta(seconds=10)
# The owner and one standby are queried before a node uses its own bucket.
MAX_OWNER_CANDIDATES = 2
# Buckets of standbys are reset after this long without use.
STANDBY_BUCKET_TTL = datetime.timedelta(seconds=5)
# The count is a 32-bit integer on the wire, so it needs a bound.
MAX_TOKENS_PER_QUERY = 10_000

QuotaLookup = collections.abc.Callable[[str], quotas.Quota | None]
NodeGroup = collections.abc.Callable[[view.NodeRecord], str]


def _zone_of(node: view.NodeRecord) -> str:
    return node.zone


class OwnerDirectory:
    """Determines which node of each zone owns a workspace's token bucket."""

    def __init__(
        self,
        fleet: view.FleetView,
        clock: clocks.Clock,
        group_of: NodeGroup = _zone_of,
    ) -> None:
        """Initializes the directory.

        Args:
          fleet: the known nodes.
          clock: the clock by which the list of nodes is refreshed.
          group_of: returns the group of nodes that has an owner of its own.
        """
        self._fleet = fleet
        self._clock = clock
        self._group_of = group_of
        self._zones: dict[str, list[view.NodeRecord]] = {}
        self._refreshed_at: datetime.timedelta | None = None
        self._departed: dict[
            str, tuple[view.NodeRecord, datetime.timedelta]
        ] = {}

    def zones(self) -> list[str]:
        """Returns the zones that currently have nodes."""
        self._refresh()
        return list(self._zones)

    def nodes_by_rank(self, workspace: str, zone: str) -> list[view.NodeRecord]:
        """Returns a zone's nodes by rank; the first is the owner."""
        self._refresh()
        return sorted(
            self._zones.get(zone, ()),
            key=lambda item: _rank_hash(workspace, item),
        )

    def node_count(self, zone: str) -> int:
        """Returns the number of nodes of a zone."""
        self._refresh()
        return len(self._zones.get(zone, ()))

    def last_owner_departure(
        self, workspace: str, me: view.NodeRecord
    ) -> datetime.timedelta | None:
        """Returns when a node that ranked before this one last departed.

        If this node is the owner now, it has been so since then.

        Returns:
          None if no such node has departed within DEPARTED_NODE_TTL.
        """
        self._refresh()
        former = [
            (item, at)
            for item, at in self._departed.values()
            if self._group_of(item) == self._group_of(me)
            and _rank_hash(workspace, item) < _rank_hash(workspace, me)
        ]
        return max((at for _, at in former), default=None)

    def _refresh(self) -> None:
        now = self._clock.monotonic()
        if (
            self._refreshed_at is not None
            and now - self._refreshed_at < NODE_LIST_TTL
        ):
            return
        self._refreshed_at = now
        departed = {
            item.name: item for zone in self._zones.values() for item in zone
        }
        self._zones = {}
        for item in self._fleet.nodes.values():
            self._zones.setdefault(self._group_of(item), []).append(item)
            departed.pop(item.name, None)
        for name, item in departed.items():
            self._departed[name] = (item, now)
        self._departed = {
            name: (item, at)
            for name, (item, at) in self._departed.items()
            if now - at < DEPARTED_NODE_TTL
        }


class QuotaService:
    """Owns token buckets, and requests tokens from the owners of others."""

    def __init__(
        self,
        me: view.NodeRecord,
        zone_count: int,
        quota_of: QuotaLookup,
        fleet: view.FleetView,
        pool: links.LinkPool,
        clock: clocks.Clock,
        tolerance: quotas.Tolerance,
    ) -> None:
        """Initializes the service.

        Args:
          me: this node.
          zone_count: the number of zones of the fleet, including unreachable
            ones; 0 uses the number of known zones.
          quota_of: returns the quota of a workspace, if it has one.
          fleet: the other nodes.
          pool: links to them.
          clock: the clock by which buckets are refilled.
          tolerance: how far a quota may be exceeded.
        """
        self._me = me
        self._zone_count = zone_count
        self._quota_of = quota_of
        self._pool = pool
        self._clock = clock
        self._tolerance = tolerance
        self._owners = OwnerDirectory(fleet, clock)
        self._started = clock.monotonic()
        self._buckets: dict[str, quotas.TokenBucket] = {}
        self._borrowing: dict[str, asyncio.Task[None]] = {}
        self._backoff_until: dict[str, datetime.timedelta] = {}
        # Tokens that this node has granted in place of the owner, by workspace,
        # and when it last did so. They are reported to the owner once it
        # responds.
        self._unreported: dict[str, tuple[int, datetime.timedelta]] = {}

    async def request_tokens(self, workspace: str, count: int) -> quotas.Grant:
        """Requests tokens of a workspace for this entry node.

        Queries the owner in this zone and, if it does not respond, a standby.
        If neither responds, the node uses a small bucket of its own.
        """
        candidates = self._owners.nodes_by_rank(workspace, self._me.zone)
        for owner in candidates[:MAX_OWNER_CANDIDATES]:
            if owner.name == self._me.name:
                break
            grant = await self._query(owner, workspace, count, is_loan=False)
            if grant is not None:
                return grant
        return await self._take(workspace, count)

    async def handle_query(self, query: Any) -> Any:
        """Returns the response frame to another node's query for tokens."""
        count = max(0, min(query.count or 0, MAX_TOKENS_PER_QUERY))
        workspace = query.workspace or ""
        if query.between:
            found = self._lend(workspace, count)
        else:
            self._charge(
                workspace, max(0, min(query.spent or 0, MAX_TOKENS_PER_QUERY))
            )
            found = await self._take(workspace, count)
        grant = codec.messages.QuotaGrant(
            count=found.count, wait_ms=-(-found.retry_after // _MILLISECOND)
        )
        return codec.messages.Frame(quota_grant=grant)

    async def _take(self, workspace: str, count: int) -> quotas.Grant:
        """Takes tokens from this node's bucket; borrows if it is empty."""
        bucket = self._bucket(workspace)
        if bucket is None:
            return quotas.Grant(count)
        taken = bucket.take(count, self._clock.monotonic())
        borrowing = self._start_borrowing(workspace, bucket)
        if taken < count and borrowing is not None:
            await asyncio.wait({borrowing})
            taken += bucket.take(count - taken, self._clock.monotonic())
        if taken:
            self._record_standing_in(workspace, taken)
            return quotas.Grant(taken)
        return quotas.Grant(0, bucket.wait(self._clock.monotonic()))

    def _charge(self, workspace: str, spent: int) -> None:
        """Charges this node's bucket with what others granted in its place."""
        bucket = self._bucket(workspace)
        if bucket is None or not spent:
            return
        bucket.charge(spent, self._clock.monotonic())
        self._record_standing_in(workspace, spent)

    def _record_standing_in(self, workspace: str, count: int) -> None:
        """Records granted tokens, unless this node owns the bucket."""
        ordered = self._owners.nodes_by_rank(workspace, self._me.zone)
        if not ordered or ordered[0].name == self._me.name:
            return
        total = self._take_unreported(workspace) + count
        self._unreported[workspace] = (total, self._clock.monotonic())

    def _take_unreported(self, workspace: str) -> int:
        """Returns the tokens to report to the owner, and forgets them."""
        count, at = self._unreported.pop(workspace, (0, datetime.timedelta()))
        is_recent = self._clock.monotonic() - at < self._tolerance.window
        return count if is_recent else 0

    def _lend(self, workspace: str, count: int) -> quotas.Grant:
        bucket = self._bucket(workspace)
        if bucket is None:
            return quotas.Grant(0)
        return quotas.Grant(bucket.lend(count, self._clock.monotonic()))

    def _bucket(self, workspace: str) -> quotas.TokenBucket | None:
        """Returns this node's bucket for a workspace; None without a quota."""
        quota = self._quota_of(workspace)
        if quota is None:
            self._buckets.pop(workspace, None)
            return None
        now = self._clock.monotonic()
        ordered = self._owners.nodes_by_rank(workspace, self._me.zone)
        is_owner = not ordered or ordered[0].name == self._me.name
        limit = quotas.BucketLimits.for_zone(
            quota.rate,
            quota.burst,
            self._effective_zone_count(),
            self._tolerance,
        )
        if not is_owner:
            limit = limit.for_standby(self._standby_count(ordered))
        bucket = self._buckets.get(workspace)
        if bucket is not None and (
            is_owner or now - bucket.last_used < STANDBY_BUCKET_TTL
        ):
            bucket.configure(limit, now)
            return bucket
        tokens = quotas.START_SHARE * limit.capacity
        if is_owner:
            since = (
                self._owners.last_owner_departure(workspace, self._me)
                or self._started
            )
            tokens += limit.rate * (now - since).total_seconds()
        bucket = self._buckets[workspace] = quotas.TokenBucket(
            limit, tokens, now
        )
        return bucket

    def _standby_count(self, ordered: list[view.NodeRecord]) -> int:
        """Returns how many nodes stand in for the owner if this one does.

        While the standby responds it is the only one; else all others do.
        """
        candidates = {item.name for item in ordered[:MAX_OWNER_CANDIDATES]}
        return 1 if self._me.name in candidates else len(ordered)

    def _effective_zone_count(self) -> int:
        return self._zone_count or max(1, len(self._owners.zones()))

    def _start_borrowing(
        self, workspace: str, bucket: quotas.TokenBucket
    ) -> asyncio.Task[None] | None:
        """Starts borrowing if the bucket is low; one round at a time."""
        running = self._borrowing.get(workspace)
        if running is not None:
            return running
        now = self._clock.monotonic()
        if not bucket.wanted(now):
            return None
        if now < self._backoff_until.get(workspace, now):
            return None
        task = asyncio.create_task(self._borrow_from_zones(workspace, bucket))
        self._borrowing[workspace] = task
        task.add_done_callback(lambda _: self._borrowing.pop(workspace, None))
        return task

    async def _borrow_from_zones(
        self, workspace: str, bucket: quotas.TokenBucket
    ) -> None:
        """Borrows what is needed from other zones in turn, near ones first."""
        borrowed = 0
        for lender in self._lenders(workspace):
            wanted = bucket.wanted(self._clock.monotonic())
            if not wanted:
                break
            lent = await self._query(lender, workspace, wanted, is_loan=True)
            if lent is not None and lent.count:
                borrowed += lent.count
                bucket.borrow(lent.count, self._clock.monotonic())
        if not borrowed:
            self._backoff_until[workspace] = (
                self._clock.monotonic() + BORROW_BACKOFF
            )

    def _lenders(self, workspace: str) -> list[view.NodeRecord]:
        """Returns the owners in other zones, those of this region first."""
        found = [
            self._owners.nodes_by_rank(workspace, zone)[0]
            for zone in self._owners.zones()
            if zone != self._me.zone
        ]
        return sorted(
            found,
            key=lambda item: (
                item.region != self._me.region,
                _rank_hash(workspace, item),
            ),
        )

    async def _query(
        self,
        owner: view.NodeRecord,
        workspace: str,
        count: int,
        *,
        is_loan: bool,
    ) -> quotas.Grant | None:
        spent = 0 if is_loan else self._take_unreported(workspace)
        query = codec.messages.QuotaAsk(
            workspace=workspace,
            count=count,
            between=is_loan,
            spent=spent or None,
        )
        response = await self._pool.query(
            owner.address,
            codec.messages.Frame(quota_ask=query),
            links.QUERY_TIMEOUT if is_loan else OWNER_RESPONSE_TIMEOUT,
        )
        grant = response.quota_grant if response is not None else None
        if grant is None:
            if spent:
                self._record_standing_in(workspace, spent)
            return None
        wait = datetime.timedelta(milliseconds=max(0, grant.wait_ms or 0))
        return quotas.Grant(max(0, min(grant.count or 0, count)), wait)


def _rank_hash(workspace: str, node: view.NodeRecord) -> int:
    """Returns the hash that ranks nodes for a workspace; same at all nodes."""
    return zlib.crc32(f"{workspace}/{node.name}".encode())
