"""Charges requests to the links that their bytes cross.

Placement asks here whether a request may go to another region and whether this
VM's own link has bytes left. Shares of the links between regions come from
their owners, see nodes/link_shares.py; the VM's own link has no other user.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import datetime
import logging
from typing import Protocol

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind import logs
from endivewind.decisions import capacity_floor
from endivewind.decisions import link_shares
from endivewind.decisions import load_balancing
from endivewind.decisions import response_sizes
from endivewind.targets import records

log = logging.getLogger(__name__)

ResponseResult = expression.Result[exchange.Response, exchange.Refusal]
# Stands for a request whose traffic is not described.
_UNKNOWN = link_shares.Traffic("", 0, 0, 0)
# Retry-After of a request that the home's own link has no bytes for.
_LINK_FULL_RETRY_AFTER = datetime.timedelta(seconds=1)
# How often the limits of an account are updated to the number of nodes.
_LIMITS_TTL = datetime.timedelta(seconds=1)


class ShareSource(Protocol):
    """Where shares of the links between regions come from."""

    def node_count(self, pair: link_shares.Pair) -> int:
        """Returns how many nodes may send from one region to the other."""

    async def request_bytes(
        self, pair: link_shares.Pair, size: int, urgency: int
    ) -> link_shares.Grant | None:
        """Asks the owner of a pair; returns None if it does not respond."""


@dataclasses.dataclass(frozen=True, slots=True)
class LinkUsage:
    """What this node has sent over one link, for operators.

    Attributes:
      from_region: the sending region; `vm` for this VM's own link.
      to_region: the receiving region; `vm` for this VM's own link.
      spent_bytes: bytes charged since the start.
      held_bytes: bytes that may be sent now; negative after a response that was
        larger than expected.
      denied: requests that had to wait for bytes since the start.
      expired_bytes: bytes that were granted and not used in time.
      uses_equal_part: whether the owner of the link can't be reached.
    """

    from_region: str
    to_region: str
    spent_bytes: int
    held_bytes: int
    denied: int
    expired_bytes: int
    uses_equal_part: bool


class _PairAccount:
    """This node's account of one pair, and the task that asks for it."""

    def __init__(
        self,
        pair: link_shares.Pair,
        bytes_per_second: int,
        source: ShareSource,
        clock: clocks.Clock,
        on_grant: collections.abc.Callable[[], None],
    ) -> None:
        self._pair = pair
        self._bytes_per_second = bytes_per_second
        self._source = source
        self._clock = clock
        self._on_grant = on_grant
        self._limits_at = clock.monotonic()
        self.account = link_shares.ShareAccount(self._limits(), self._limits_at)
        self._wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def request_update(self) -> None:
        """Has the task ask for missing bytes as soon as the owner allows it."""
        self._wake.set()
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        """Asks until the account is idle and the owner knows that it is."""
        while True:
            now = self._clock.monotonic()
            if now - self._limits_at >= _LIMITS_TTL:
                self._limits_at = now
                self.account.configure(self._limits())
            ask = self.account.next_ask(now)
            if ask is not None:
                await self._ask(*ask)
            elif self.account.is_idle:
                return
            await self._pause()

    async def _ask(self, size: int, urgency: int) -> None:
        asked_at = self._clock.monotonic()
        grant = await self._source.request_bytes(self._pair, size, urgency)
        now = self._clock.monotonic()
        could_ask = not self.account.uses_equal_part
        self.account.record_grant(size, urgency, grant, asked_at, now)
        if could_ask != (grant is not None):
            log.warning(
                "link share owner reached"
                if grant is not None
                else "link share owner not reached; using an equal part",
                extra=logs.fields(
                    from_region=self._pair.sender,
                    to_region=self._pair.receiver,
                ),
            )
        self._on_grant()

    async def _pause(self) -> None:
        """Waits until the next ask is allowed or something has changed.

        Asks follow each other at MIN_WAIT at least, also if an urgent request
        comes while asks of lower urgency have to wait.
        """
        await asyncio.sleep(link_shares.MIN_WAIT.total_seconds())
        self._wake.clear()
        now = self._clock.monotonic()
        if self.account.next_ask(now) is not None:
            return
        wait = self.account.next_ask_at - now
        if wait <= datetime.timedelta():
            wait = link_shares.IDLE_TIME / 4
        try:
            async with asyncio.timeout(wait.total_seconds()):
                await self._wake.wait()
        except TimeoutError:
            return

    def _limits(self) -> link_shares.AccountLimits:
        return link_shares.AccountLimits.for_node(
            self._bytes_per_second, self._source.node_count(self._pair)
        )


class LinkTraffic:
    """Charges the requests of one node to the links between nodes."""

    def __init__(
        self,
        locality: load_balancing.Locality,
        clock: clocks.Clock,
        source: ShareSource,
        region_bytes_per_second: int = 0,
        link_bytes_per_second: int = 0,
    ) -> None:
        """Starts with the standing shares.

        Args:
          locality: where this node is.
          clock: for the shares.
          source: where shares of the links between regions come from.
          region_bytes_per_second: what all nodes may send each way between two
            regions; 0 if placement limits each entry node by itself.
          link_bytes_per_second: what this VM's link carries each way; 0 if
            unknown.
        """
        self._node = locality.node
        self._region = locality.region
        self._zone = locality.zone
        self._clock = clock
        self._source = source
        self._region_rate = region_bytes_per_second
        self._sizes = response_sizes.ResponseSizes()
        self._pairs: dict[link_shares.Pair, _PairAccount] = {}
        self._current = _UNKNOWN
        # Whether the current request may go to a region; asked per target.
        self._allowed: dict[str, bool] = {}
        # Requests in other regions by route, while its size is unknown.
        self._unmeasured: collections.Counter[str] = collections.Counter()
        self._grant_callbacks: list[collections.abc.Callable[[], None]] = []
        self._upload: link_shares.ShareAccount | None = None
        self._download: link_shares.ShareAccount | None = None
        if link_bytes_per_second:
            limits = link_shares.AccountLimits.for_own_link(
                link_bytes_per_second
            )
            now = clock.monotonic()
            self._upload = link_shares.ShareAccount(
                limits, now, has_owner=False
            )
            self._download = link_shares.ShareAccount(
                limits, now, has_owner=False
            )

    @property
    def limits_regions(self) -> bool:
        """Whether traffic between regions is limited here."""
        return self._region_rate > 0

    @property
    def accounts(
        self,
    ) -> collections.abc.Mapping[tuple[str, str], link_shares.ShareAccount]:
        """The account of each link, by its ends; `vm` is this VM's link."""
        found = {
            (pair.sender, pair.receiver): item.account
            for pair, item in self._pairs.items()
        }
        if self._upload is not None and self._download is not None:
            found["vm", ""] = self._upload
            found["", "vm"] = self._download
        return found

    def usages(self) -> list[LinkUsage]:
        """Returns what this node has sent over each link."""
        now = self._clock.monotonic()
        return [
            LinkUsage(
                sender,
                receiver,
                account.spent_bytes,
                round(account.held(now)),
                account.denied_count,
                round(account.expired_bytes),
                account.uses_equal_part and "vm" not in (sender, receiver),
            )
            for (sender, receiver), account in self.accounts.items()
        ]

    def on_grant(self, callback: collections.abc.Callable[[], None]) -> None:
        """Adds a callback for when more bytes may be sent to a region."""
        self._grant_callbacks.append(callback)

    def describe(
        self, route: str, urgency: int, request_bytes: int
    ) -> link_shares.Traffic:
        """Returns what a request is going to send."""
        return link_shares.Traffic(
            route, urgency, request_bytes, self._sizes.expected(route)
        )

    def begin(self, traffic: link_shares.Traffic | None) -> bool:
        """Starts the choice of a target for a request.

        Returns:
          Whether this VM's own link has bytes for the request and its response.
        """
        self._current = traffic or _UNKNOWN
        self._allowed.clear()
        if self._upload is None or self._download is None:
            return True
        now = self._clock.monotonic()
        size = _with_header(self._current.response_bytes)
        can_send = self._upload.can_spend(self._current, size, now)
        return self._download.can_spend(self._current, size, now) and can_send

    def allows(self, region: str, now: datetime.timedelta) -> bool:
        """Returns whether the request may be sent to another region."""
        route = self._current.route
        if self._unmeasured[route] and not self._sizes.is_known(route):
            # The first response of a route shows what the next ones need.
            return False
        allowed = self._allowed.get(region)
        if allowed is None:
            request, response = self._sizes_by_pair(region, self._current)
            # Both are checked, as both have to be asked for.
            can_request = self._can_spend(*request, now)
            allowed = self._can_spend(*response, now) and can_request
            self._allowed[region] = allowed
        return allowed

    def prepare(
        self, chosen: capacity_floor.Candidate, pool: load_balancing.Pool
    ) -> None:
        """Asks ahead for other regions as soon as the own zone overflows.

        Scenario: a node whose requests have all run in its region gets more of
        them. Risk: the first that has to go to another region would wait for
        the response of an owner that is there.
        """
        if chosen.zone == self._zone or not self._region_rate:
            return
        now = self._clock.monotonic()
        for region in {item.region for item in pool.tiers[2]}:
            for pair, size in self._sizes_by_pair(region, self._current):
                known = self._pair(pair)
                known.account.prepare(size, now)
                if known.account.held(now) < size:
                    known.request_update()

    def _can_spend(
        self, pair: link_shares.Pair, size: int, now: datetime.timedelta
    ) -> bool:
        known = self._pair(pair)
        can_spend = known.account.can_spend(self._current, size, now)
        if not can_spend:
            known.request_update()
        return can_spend

    def record_start(
        self, record: records.TargetRecord, traffic: link_shares.Traffic | None
    ) -> None:
        """Charges the request and the expected response."""
        traffic = traffic or _UNKNOWN
        now = self._clock.monotonic()
        if record.region != self._region and self._region_rate:
            if not self._sizes.is_known(traffic.route):
                self._unmeasured[traffic.route] += 1
            for pair, size in self._sizes_by_pair(record.region, traffic):
                known = self._pair(pair)
                known.account.spend(traffic, size, now)
                known.request_update()
        if self._upload is None or self._download is None:
            return
        response = _with_header(traffic.response_bytes)
        self._upload.spend(traffic, response, now)
        if record.home != self._node:
            request = _with_header(traffic.request_bytes)
            self._upload.spend(traffic, request, now)
            self._download.spend(traffic, response, now)

    def record_end(
        self,
        record: records.TargetRecord,
        traffic: link_shares.Traffic | None,
        result: ResponseResult | None,
        *,
        was_sent: bool,
    ) -> None:
        """Corrects what was charged for a request.

        Args:
          record: the target.
          traffic: what was charged.
          result: the result; None if the request was cancelled.
          was_sent: whether the request was sent to the target's home.
        """
        traffic = traffic or _UNKNOWN
        if record.region != self._region:
            # The next request of the route may show its size, if not this one.
            self._unmeasured.pop(traffic.route, None)
        if not was_sent:
            self._correct(record, -_with_header(traffic.request_bytes), True)
            self._correct(record, -_with_header(traffic.response_bytes), False)
        elif result is None:
            # How much of the response was sent is unknown.
            return
        elif result.is_error():
            self._correct(record, -traffic.response_bytes, False)
        else:
            self._record_response(
                result.ok,
                traffic,
                lambda size: self._correct(record, size, False),
            )

    def _record_response(
        self,
        response: exchange.Response,
        traffic: link_shares.Traffic,
        correct: collections.abc.Callable[[int], None],
    ) -> None:
        """Learns a response's size, now or when its body has been read."""

        def record(size: int, *, is_complete: bool) -> None:
            if is_complete:
                self._sizes.record(traffic.route, size)
            correct(size - traffic.response_bytes)

        size = exchange.body_size(response)
        if size is not None:
            record(size, is_complete=True)
        elif response.stream is not None:
            response.stream = _CountingStream(
                response.stream, len(response.body), record
            )

    def _correct(
        self, record: records.TargetRecord, difference: int, is_request: bool
    ) -> None:
        now = self._clock.monotonic()
        if record.region != self._region and self._region_rate:
            pair = self._pair_of(record.region, is_request=is_request)
            self._pair(pair).account.correct(difference, now)
        if self._upload is None or self._download is None:
            return
        is_remote = record.home != self._node
        if is_remote or not is_request:
            self._upload.correct(difference, now)
        if is_remote and not is_request:
            self._download.correct(difference, now)

    async def run_forwarded(
        self,
        head: exchange.RequestHead,
        run: collections.abc.Callable[
            [], collections.abc.Awaitable[ResponseResult]
        ],
    ) -> ResponseResult:
        """Runs another node's request if this VM's link can send the response.

        Args:
          head: the request.
          run: runs it at the target.
        """
        upload = self._upload
        if upload is None:
            return await run()
        # The home doesn't know the route, so it learns by service.
        traffic = self.describe(f"home {head.service}", head.queue_priority, 0)
        now = self._clock.monotonic()
        size = _with_header(traffic.response_bytes)
        if not upload.can_spend(traffic, size, now):
            return expression.Error(
                exchange.not_run_refusal(
                    exchange.Reason.BUSY,
                    "the link of the target's VM is fully used",
                    _LINK_FULL_RETRY_AFTER,
                )
            )
        upload.spend(traffic, size, now)
        result = await run()
        if result.is_error():
            self._correct_upload(-traffic.response_bytes)
        else:
            self._record_response(result.ok, traffic, self._correct_upload)
        return result

    def _correct_upload(self, difference: int) -> None:
        if self._upload is not None:
            self._upload.correct(difference, self._clock.monotonic())

    async def close(self) -> None:
        """Stops asking for shares."""
        tasks = [item.task for item in self._pairs.values() if item.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _sizes_by_pair(
        self, region: str, traffic: link_shares.Traffic
    ) -> tuple[tuple[link_shares.Pair, int], tuple[link_shares.Pair, int]]:
        return (
            (
                self._pair_of(region, is_request=True),
                _with_header(traffic.request_bytes),
            ),
            (
                self._pair_of(region, is_request=False),
                _with_header(traffic.response_bytes),
            ),
        )

    def _pair_of(self, region: str, *, is_request: bool) -> link_shares.Pair:
        if is_request:
            return link_shares.Pair(self._region, region)
        return link_shares.Pair(region, self._region)

    def _pair(self, pair: link_shares.Pair) -> _PairAccount:
        known = self._pairs.get(pair)
        if known is None:
            known = self._pairs[pair] = _PairAccount(
                pair,
                self._region_rate,
                self._source,
                self._clock,
                self._notify,
            )
        return known

    def _notify(self) -> None:
        for callback in self._grant_callbacks:
            callback()


class _SizeCallback(Protocol):
    def __call__(self, size: int, *, is_complete: bool) -> None:
        """Receives the size of what was read of a response."""


class _CountingStream:
    """Counts the bytes of a response whose head has no length."""

    def __init__(
        self,
        stream: exchange.ByteStream,
        size: int,
        on_end: _SizeCallback,
    ) -> None:
        self._stream = stream
        self._size = size
        self._on_end: _SizeCallback | None = on_end

    def __aiter__(self) -> "_CountingStream":
        return self

    async def __anext__(self) -> bytes:
        try:
            data = await self._stream.__anext__()
        except StopAsyncIteration:
            self._end(is_complete=True)
            raise
        except BaseException:
            self._end(is_complete=False)
            raise
        self._size += len(data)
        return data

    async def aclose(self) -> None:
        """Discards the unread bytes."""
        self._end(is_complete=False)
        await self._stream.aclose()

    def _end(self, *, is_complete: bool) -> None:
        if self._on_end is not None:
            self._on_end(self._size, is_complete=is_complete)
            self._on_end = None


def _with_header(size: int) -> int:
    return size + link_shares.HEADER_BYTES
