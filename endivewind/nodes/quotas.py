"""Who keeps a workspace's quota, and what nodes ask of each other for it.

The decisions stand in decisions/quotas.py; the entry's side, which comes
before this, in callers/quotas.py.
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
# A keeper may borrow before it answers, at the distance of two regions.
ANSWER_LIMIT = 2 * links.ANSWER_LIMIT
# After a round in which nobody had anything to lend; everyone is busy then.
LEND_PAUSE = datetime.timedelta(milliseconds=500)
# How long a list of the zones' nodes is used.
MEMBERS_LIFE = datetime.timedelta(milliseconds=500)
# How long nodes that have gone are remembered as keepers.
GONE_LIFE = datetime.timedelta(seconds=10)
# The keeper, and one that stands in for it, before a node helps itself.
ASKED = 2
# Stand-ins' shares are dropped after this long without use.
IDLE_LIFE = datetime.timedelta(seconds=5)
# Asked for in one question at most; the count travels as a number of 32 bits.
MOST_ASKED = 10_000

QuotaOf = collections.abc.Callable[[str], quotas.Quota | None]


class Keepers:
    """Which node of each zone keeps a workspace's share, by hashing."""

    def __init__(self, fleet: view.FleetView, clock: clocks.Clock) -> None:
        self._fleet = fleet
        self._clock = clock
        self._zones: dict[str, list[view.NodeRecord]] = {}
        self._listed: datetime.timedelta | None = None
        self._gone: dict[str, tuple[view.NodeRecord, datetime.timedelta]] = {}

    def zones(self) -> list[str]:
        """Zones that have nodes now."""
        self._refresh()
        return list(self._zones)

    def ordered(self, workspace: str, zone: str) -> list[view.NodeRecord]:
        """A zone's nodes, the workspace's keeper first."""
        self._refresh()
        return sorted(
            self._zones.get(zone, ()), key=lambda item: _mark(workspace, item)
        )

    def since(
        self, workspace: str, me: view.NodeRecord
    ) -> datetime.timedelta | None:
        """When this node became the keeper, if another was shortly before."""
        self._refresh()
        former = [
            (item, at)
            for item, at in self._gone.values()
            if item.zone == me.zone
            and _mark(workspace, item) < _mark(workspace, me)
        ]
        return max((at for _, at in former), default=None)

    def _refresh(self) -> None:
        now = self._clock.monotonic()
        if self._listed is not None and now - self._listed < MEMBERS_LIFE:
            return
        self._listed = now
        before = {
            item.name: item for zone in self._zones.values() for item in zone
        }
        self._zones = {}
        for item in self._fleet.nodes.values():
            self._zones.setdefault(item.zone, []).append(item)
            before.pop(item.name, None)
        for name, item in before.items():
            self._gone[name] = (item, now)
        self._gone = {
            name: (item, at)
            for name, (item, at) in self._gone.items()
            if now - at < GONE_LIFE
        }


class QuotaPeer:
    """Keeps shares of quotas, and gets this entry's requests from keepers."""

    def __init__(
        self,
        me: view.NodeRecord,
        zones: int,
        quota_of: QuotaOf,
        fleet: view.FleetView,
        pool: links.LinkPool,
        clock: clocks.Clock,
        tolerance: quotas.Tolerance,
    ) -> None:
        """Builds a peer.

        Args:
          me: this node.
          zones: of the whole fleet, those out of reach included; 0 takes those
            that are known.
          quota_of: the quota of a workspace, if it has one.
          fleet: the other nodes.
          pool: links to them.
          clock: for rates.
          tolerance: by how much a quota may be exceeded.
        """
        self._me = me
        self._zone_count = zones
        self._quota_of = quota_of
        self._pool = pool
        self._clock = clock
        self._tolerance = tolerance
        self._keepers = Keepers(fleet, clock)
        self._started = clock.monotonic()
        self._shares: dict[str, quotas.TokenBucket] = {}
        self._borrowing: dict[str, asyncio.Task[None]] = {}
        self._paused: dict[str, datetime.timedelta] = {}

    async def grant(self, workspace: str, count: int) -> quotas.Grant:
        """Some of a workspace's requests for this entry.

        Asks the keeper of this zone, and where it does not answer one that
        stands in for it; a node that reaches neither has a small share.
        """
        ordered = self._keepers.ordered(workspace, self._me.zone)
        for keeper in ordered[:ASKED]:
            if keeper.name == self._me.name:
                break
            found = await self._ask(keeper, workspace, count, between=False)
            if found is not None:
                return found
        return await self._give(workspace, count)

    async def answer(self, ask: Any) -> Any:
        """What this node grants another, as a frame."""
        count = max(0, min(ask.count or 0, MOST_ASKED))
        workspace = ask.workspace or ""
        if ask.between:
            found = self._lend(workspace, count)
        else:
            found = await self._give(workspace, count)
        grant = codec.messages.QuotaGrant(
            count=found.count, wait_ms=-(-found.retry_after // _MILLISECOND)
        )
        return codec.messages.Frame(quota_grant=grant)

    async def _give(self, workspace: str, count: int) -> quotas.Grant:
        """Requests out of this node's share, borrowed ones if it is empty."""
        share = self._share(workspace)
        if share is None:
            return quotas.Grant(count)
        found = share.take(count, self._clock.monotonic())
        lending = self._borrow(workspace, share)
        if found < count and lending is not None:
            await asyncio.wait({lending})
            found += share.take(count - found, self._clock.monotonic())
        if found:
            return quotas.Grant(found)
        return quotas.Grant(0, share.wait(self._clock.monotonic()))

    def _lend(self, workspace: str, count: int) -> quotas.Grant:
        share = self._share(workspace)
        if share is None:
            return quotas.Grant(0)
        return quotas.Grant(share.lend(count, self._clock.monotonic()))

    def _share(self, workspace: str) -> quotas.TokenBucket | None:
        """This node's share of a workspace's quota; None without a quota."""
        quota = self._quota_of(workspace)
        if quota is None:
            self._shares.pop(workspace, None)
            return None
        now = self._clock.monotonic()
        ordered = self._keepers.ordered(workspace, self._me.zone)
        keeps = not ordered or ordered[0].name == self._me.name
        limit = quotas.Limit.for_zone(
            quota.rate, quota.burst, self._zones(), self._tolerance
        )
        limit = limit if keeps else limit.for_standby()
        share = self._shares.get(workspace)
        if share is not None and (keeps or now - share.last_used < IDLE_LIFE):
            share.configure(limit, now)
            return share
        held = quotas.START_SHARE * limit.capacity
        if keeps:
            since = self._keepers.since(workspace, self._me) or self._started
            held += limit.rate * (now - since).total_seconds()
        share = self._shares[workspace] = quotas.TokenBucket(limit, held, now)
        return share

    def _zones(self) -> int:
        return self._zone_count or max(1, len(self._keepers.zones()))

    def _borrow(
        self, workspace: str, share: quotas.TokenBucket
    ) -> asyncio.Task[None] | None:
        """Borrows from other zones if the share is low; one round at a time."""
        running = self._borrowing.get(workspace)
        if running is not None:
            return running
        now = self._clock.monotonic()
        if not share.wanted(now):
            return None
        if now < self._paused.get(workspace, now):
            return None
        task = asyncio.create_task(self._borrow_round(workspace, share))
        self._borrowing[workspace] = task
        task.add_done_callback(lambda _: self._borrowing.pop(workspace, None))
        return task

    async def _borrow_round(
        self, workspace: str, share: quotas.TokenBucket
    ) -> None:
        """Asks the zones in turn, near ones first, until the share is full."""
        got = 0
        for lender in self._lenders(workspace):
            wanted = share.wanted(self._clock.monotonic())
            if not wanted:
                break
            lent = await self._ask(lender, workspace, wanted, between=True)
            if lent is not None and lent.count:
                got += lent.count
                share.borrow(lent.count, self._clock.monotonic())
        if not got:
            self._paused[workspace] = self._clock.monotonic() + LEND_PAUSE

    def _lenders(self, workspace: str) -> list[view.NodeRecord]:
        """The keepers of the other zones, those of this region first."""
        found = [
            self._keepers.ordered(workspace, zone)[0]
            for zone in self._keepers.zones()
            if zone != self._me.zone
        ]
        return sorted(
            found,
            key=lambda item: (
                item.region != self._me.region,
                _mark(workspace, item),
            ),
        )

    async def _ask(
        self,
        keeper: view.NodeRecord,
        workspace: str,
        count: int,
        *,
        between: bool,
    ) -> quotas.Grant | None:
        ask = codec.messages.QuotaAsk(
            workspace=workspace, count=count, between=between
        )
        answer = await self._pool.ask(
            keeper.address,
            codec.messages.Frame(quota_ask=ask),
            links.ANSWER_LIMIT if between else ANSWER_LIMIT,
        )
        told = answer.quota_grant if answer is not None else None
        if told is None:
            return None
        wait = datetime.timedelta(milliseconds=max(0, told.wait_ms or 0))
        return quotas.Grant(max(0, min(told.count or 0, count)), wait)


def _mark(workspace: str, node: view.NodeRecord) -> int:
    """Orders the nodes of a zone for a workspace, the same at every node."""
    return zlib.crc32(f"{workspace}/{node.name}".encode())
