"""Memory admission: which requests a node accepts while its memory is short.

Designed for nodes with 100 to 500 MB and a few hundred callers that read
responses of half a megabyte slowly, beside callers with small requests. Without
it, a node accepts every request and holds a part of each response until its
caller has read it, until the process exceeds its memory and all requests are
lost.

Each node decides for itself. It counts the bytes that it holds for a request
and those that it still expects, and admits a new request while the sum stays
below the share of the limit that the request may use.
"""

import collections
import dataclasses
import datetime

# The size of the parts in which a body is read.
CHUNK_BYTES = 65_536
# Read buffers in front of a response buffer that does not read: aiohttp and
# asyncio stop reading a socket when these hold twice 64 KB.
PIPE_BYTES = 131_072
# A response that holds one part and whose read buffers are full.
MIN_RESPONSE_BYTES = CHUNK_BYTES + PIPE_BYTES
# Assumed until a route's size is known. As large as the large responses of the
# users: with 192 KB, of 300 that came at once after a restart, 99 more than fit
# into the memory were admitted, and their targets cut them off.
DEFAULT_RESPONSE_BYTES = 524_288
# Memory of a request beside its bodies: task, parsed headers, connection.
REQUEST_OVERHEAD_BYTES = 16_384
# Size at which the size-dependent part of a request's share is halved.
LARGE_BYTES = 262_144
# Part of the limit that only small requests may use. Large requests thus can't
# displace them: 300 small requests fit into it on a VM of 200 MB.
SMALL_REQUEST_SHARE = 0.3
# Part of the limit that only more urgent requests may use, for each priority
# that is in use above that of a request.
PRIORITY_SHARE = 0.1
# Least urgent requests keep a share, so that they run while there is room.
MAX_PRIORITY_STEPS = 4
# A priority counts as in use for this long after its last request.
PRIORITY_LIFETIME = datetime.timedelta(seconds=10)
_MAX_PRIORITIES = 64
# One response never holds more than this share of the limit: beyond it, its
# target waits for the caller, as an endless response would use all memory.
MAX_RESPONSE_SHARE = 0.125
# The estimate of a route's response size takes half of each increase, and a
# 32nd of each decrease: a size that is assumed too small exceeds the limit,
# one that is assumed too large only refuses requests early.
_INCREASE_WEIGHT = 1 / 2
_DECREASE_WEIGHT = 1 / 32
# Routes whose size is kept. The one recorded least recently is evicted.
MAX_ROUTES = 1_024
# Paths of a route that may have estimates of their own, and how much larger than
# the route's estimate their responses are. If there are more, responses of any
# path may be large.
MAX_LARGE_PATHS = 8
_EXCEPTION_RATIO = 4
# The released bytes are counted in windows of this length to predict when
# there is room again.
_RATE_WINDOW = datetime.timedelta(seconds=1)
MIN_RETRY_AFTER = datetime.timedelta(seconds=1)
MAX_RETRY_AFTER = datetime.timedelta(seconds=10)

RouteKey = tuple[str, ...]


class ResponseSizes:
    """Estimates the size of responses by route.

    The estimate is near the largest recent sizes, because memory has to
    suffice for these. A few paths of a route with otherwise small responses
    have estimates of their own: callers that ask for one large response again
    and again would otherwise have all requests of the route refused.
    """

    def __init__(self) -> None:
        self._estimates: collections.OrderedDict[RouteKey, float] = (
            collections.OrderedDict()
        )
        # Sizes of the paths with estimates of their own, by route.
        self._large_paths: dict[RouteKey, dict[str, int]] = {}

    def expected(self, route: RouteKey, path: str = "") -> int:
        """Returns the expected size of a response in bytes.

        Args:
          route: its route.
          path: of its request, without the query; empty if unknown.
        """
        large_paths = self._large_paths.get(route)
        if large_paths and path in large_paths:
            return large_paths[path]
        return round(self._estimates.get(route, DEFAULT_RESPONSE_BYTES))

    def is_known(self, route: RouteKey) -> bool:
        """Returns whether the size of a response of the route was recorded."""
        return route in self._estimates

    def record(self, route: RouteKey, size: int, path: str = "") -> None:
        """Records the size of a response; see `expected`."""
        estimate = self._estimates.pop(route, float(size))
        if not self._record_large_path(route, size, path, estimate):
            weight = _INCREASE_WEIGHT if size > estimate else _DECREASE_WEIGHT
            estimate += weight * (size - estimate)
        self._estimates[route] = estimate
        if len(self._estimates) > MAX_ROUTES:
            oldest, _ = self._estimates.popitem(last=False)
            self._large_paths.pop(oldest, None)

    def _record_large_path(
        self, route: RouteKey, size: int, path: str, estimate: float
    ) -> bool:
        """Records the size for a path of its own, if that is appropriate."""
        large_paths = self._large_paths.get(route, {})
        is_large = size >= LARGE_BYTES
        if path in large_paths and not is_large:
            del large_paths[path]
            return False
        is_exception = (
            bool(path)
            and is_large
            and size > _EXCEPTION_RATIO * estimate
            and len(large_paths) < MAX_LARGE_PATHS
        )
        if path not in large_paths and not is_exception:
            return False
        self._large_paths.setdefault(route, large_paths)[path] = size
        return True


@dataclasses.dataclass(slots=True, eq=False)
class Allotment:
    """The memory of one request.

    Attributes:
      priority: the queue priority of the request.
      request_bytes: bytes of its body that the node holds.
      expected_bytes: bytes of its response that are expected to need memory.
      held_bytes: bytes of its response that the node holds.
      pipe_bytes: size of the read buffers in front of the response buffer;
        0 once the whole response has been read.
      is_released: whether the request has ended.
    """

    priority: int
    request_bytes: int = 0
    expected_bytes: int = 0
    held_bytes: int = 0
    pipe_bytes: int = 0
    is_released: bool = False

    @property
    def total_bytes(self) -> int:
        """The bytes that are counted for the request."""
        if self.is_released:
            return 0
        return (
            REQUEST_OVERHEAD_BYTES
            + self.request_bytes
            + max(self.expected_bytes, self.held_bytes + self.pipe_bytes)
        )


class MemoryAdmission:
    """Counts the bytes of a node's requests and admits new ones."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._used_bytes = 0
        self._held_bytes = 0
        self._last_used: dict[int, datetime.timedelta] = {}
        self._released_bytes = 0
        self._window_start = datetime.timedelta()
        self._release_rate = 0.0
        self._refused_bytes = 0

    @property
    def limit_bytes(self) -> int:
        """The bytes that all requests together may use."""
        return self._limit_bytes

    @property
    def used_bytes(self) -> int:
        """The bytes held and expected for all requests."""
        return self._used_bytes

    @property
    def held_bytes(self) -> int:
        """The bytes held for all requests, without those expected."""
        return self._held_bytes

    @property
    def max_response_bytes(self) -> int:
        """The bytes of one response that may be held at once."""
        return max(
            MIN_RESPONSE_BYTES,
            int(MAX_RESPONSE_SHARE * self._limit_bytes),
        )

    def admit(
        self,
        priority: int,
        request_bytes: int,
        response_bytes: int,
        now: datetime.timedelta,
    ) -> Allotment | None:
        """Returns the allotment of a new request, or None to refuse it."""
        self._record_priority(priority, now)
        allotment = Allotment(
            priority,
            request_bytes,
            min(response_bytes, self.max_response_bytes),
        )
        size = allotment.total_bytes
        share = self.share(priority, size)
        if self._used_bytes + size > share * self._limit_bytes:
            return None
        self._count(allotment, 1)
        return allotment

    def admit_unconditionally(
        self, priority: int, request_bytes: int, response_bytes: int
    ) -> Allotment:
        """Returns the allotment of a request that is already running."""
        allotment = Allotment(
            priority,
            request_bytes,
            min(response_bytes, self.max_response_bytes),
        )
        self._count(allotment, 1)
        return allotment

    def share(self, priority: int, size: int) -> float:
        """Returns the share of the limit up to which a request is admitted.

        It falls with the size, so that room for small requests remains when
        large ones are refused, and with the number of more urgent priorities
        in use. Without more urgent requests, a request keeps its full share.
        """
        steps = sum(other > priority for other in self._last_used)
        return _size_share(size) - PRIORITY_SHARE * min(
            steps, MAX_PRIORITY_STEPS
        )

    def update(
        self,
        allotment: Allotment,
        expected_bytes: int,
        held_bytes: int,
        pipe_bytes: int,
        now: datetime.timedelta,
    ) -> None:
        """Changes what is counted for the response of a running request.

        A response that turns out to be larger than expected is counted only
        as far as there is room for it, since it can't hold more: otherwise
        small requests would be refused for bytes that are never held.
        """
        if allotment.is_released:
            return
        before = allotment.total_bytes
        self._count(allotment, -1)
        expected = min(expected_bytes, self.max_response_bytes)
        if expected > allotment.expected_bytes:
            room = int(_size_share(expected) * self._limit_bytes)
            room -= self._used_bytes
            expected = max(allotment.expected_bytes, min(expected, room))
        allotment.expected_bytes = expected
        allotment.held_bytes = held_bytes
        allotment.pipe_bytes = pipe_bytes
        self._count(allotment, 1)
        self._record_release(before - allotment.total_bytes, now)

    def is_at_bound(self, allotment: Allotment) -> bool:
        """Returns whether a response holds as much as any may hold."""
        counted = allotment.held_bytes + allotment.pipe_bytes
        return counted + CHUNK_BYTES > self.max_response_bytes

    def may_hold(self, allotment: Allotment, more_bytes: int) -> bool:
        """Returns whether a running response may hold more bytes.

        Bytes that were expected are already counted. Others need room below
        the limit for responses of their size. If the response holds nothing,
        it may always hold more, so that it makes progress.
        """
        if not allotment.held_bytes:
            return True
        counted = allotment.held_bytes + allotment.pipe_bytes
        wanted = counted + more_bytes
        if wanted > self.max_response_bytes:
            return False
        growth = wanted - max(allotment.expected_bytes, counted)
        limit = _size_share(wanted) * self._limit_bytes
        return growth <= 0 or self._used_bytes + growth <= limit

    def release(self, allotment: Allotment, now: datetime.timedelta) -> None:
        """Ends a request; may be called more than once."""
        if allotment.is_released:
            return
        size = allotment.total_bytes
        self._count(allotment, -1)
        allotment.is_released = True
        self._record_release(size, now)

    def retry_after(
        self, size: int, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns when there is probably room for a request of this size.

        Requests that were refused before it in the same second come back
        before it, so that they do not all come back at once.
        """
        self._record_release(0, now)
        self._refused_bytes += size
        if not self._release_rate:
            return MAX_RETRY_AFTER
        wait = datetime.timedelta(
            seconds=self._refused_bytes / self._release_rate
        )
        return min(max(wait, MIN_RETRY_AFTER), MAX_RETRY_AFTER)

    def _count(self, allotment: Allotment, sign: int) -> None:
        self._used_bytes += sign * allotment.total_bytes
        self._held_bytes += sign * (
            allotment.request_bytes + allotment.held_bytes
        )

    def _record_priority(self, priority: int, now: datetime.timedelta) -> None:
        is_new = priority not in self._last_used
        self._last_used[priority] = now
        if is_new or self._has_expired_priority(now):
            oldest = now - PRIORITY_LIFETIME
            self._last_used = {
                known: used
                for known, used in self._last_used.items()
                if used >= oldest
            }
        if len(self._last_used) > _MAX_PRIORITIES:
            del self._last_used[min(self._last_used)]

    def _has_expired_priority(self, now: datetime.timedelta) -> bool:
        return now - min(self._last_used.values()) > PRIORITY_LIFETIME

    def _record_release(self, size: int, now: datetime.timedelta) -> None:
        """Counts released bytes; growth of a request does not count."""
        self._released_bytes += max(0, size)
        elapsed = now - self._window_start
        if elapsed >= _RATE_WINDOW:
            self._release_rate = self._released_bytes / elapsed.total_seconds()
            self._released_bytes = 0
            self._refused_bytes = 0
            self._window_start = now


def _size_share(size: int) -> float:
    """Returns the share of the limit for requests of a size."""
    return 1 - SMALL_REQUEST_SHARE * size / (size + LARGE_BYTES)
