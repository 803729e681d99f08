"""Checks of the limits on repeats, from what targets and callers have seen.

A repeat is an arrival of a request after its first, or a call that a target
makes while it runs a repeat. Times are in seconds since the start of the run.
They perform no I/O.
"""

import bisect
import collections
import collections.abc
import dataclasses
import enum

from endivewind.soak import checks

# Requests that may run at more targets than their route allows.
MAX_WIDE_REQUESTS = 3
# Arrivals of a request that crashes its targets, once it has crashed as many.
MAX_LATE_ARRIVALS = 3
CRASHES_BEFORE = 3
# Requests that may be handed more time than is left: this many, and this share.
MAX_LONG_TIMES = 20
MAX_LONG_TIME_SHARE = 0.2
TIME_TOLERANCE_SECONDS = 0.5


class ArrivalKind(enum.StrEnum):
    """What a target does with a request that arrives."""

    RUN = "run"
    REJECTED = "rejected"
    CRASH = "crash"


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The limits of the fleet.

    Attributes:
      retry_share: repeats for each request of callers.
      retry_reserve: further repeats in each window.
      window_seconds: length of a window.
      stable_seconds: time after which all nodes must know of a crash.
      max_targets: targets that one request may run at.
    """

    retry_share: float
    retry_reserve: float
    window_seconds: float
    stable_seconds: float
    max_targets: int


@dataclasses.dataclass(frozen=True, slots=True)
class SentRequest:
    """A request as it was sent to a node.

    Attributes:
      request_id: its id.
      service: the service that its route names.
      at: when it was sent.
      time_limit: the time limit that it names, in seconds.
      is_call: whether a target has sent it.
    """

    request_id: str
    service: str
    at: float
    time_limit: float
    is_call: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that has reached a target.

    Attributes:
      request_id: its id.
      service: the target's service.
      target: the start of the target.
      path: the request's path.
      at: when it arrived.
      kind: what the target does with it.
      is_repeat: whether it is a repeat.
      time_limit: the time that it is given, in seconds; None for any time.
    """

    request_id: str
    service: str
    target: str
    path: str
    at: float
    kind: ArrivalKind
    is_repeat: bool
    time_limit: float | None


class Traffic:
    """All requests of a run, as they were sent and as they arrived."""

    def __init__(self) -> None:
        self.sent: dict[str, SentRequest] = {}
        self.arrivals: list[Arrival] = []
        self._is_closed = False
        self._arrived: set[str] = set()
        self._calls_of_repeats: set[str] = set()

    def close(self) -> None:
        """Records nothing more, as nobody sends requests any longer."""
        self._is_closed = True

    def record_sent(
        self, request: SentRequest, caller: Arrival | None = None
    ) -> None:
        """Records a request.

        Args:
          request: the request.
          caller: the arrival for which it is a call; None if it is no call.
        """
        if not self._is_closed:
            self.sent[request.request_id] = request
        if caller is not None and caller.is_repeat:
            self._calls_of_repeats.add(request.request_id)

    def record_arrival(
        self,
        request_id: str,
        service: str,
        target: str,
        path: str,
        at: float,
        kind: ArrivalKind,
        time_limit: float | None,
    ) -> Arrival:
        """Records and returns an arrival; see Arrival for the arguments."""
        is_repeat = (
            request_id in self._arrived or request_id in self._calls_of_repeats
        )
        self._arrived.add(request_id)
        arrival = Arrival(
            request_id, service, target, path, at, kind, is_repeat, time_limit
        )
        if not self._is_closed:
            self.arrivals.append(arrival)
        return arrival


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """A window and the repeats in it.

    Attributes:
      begins_at: its start.
      repeats: the repeats that arrived in it.
      allowed: the repeats that are allowed in it.
    """

    begins_at: float
    repeats: int
    allowed: float

    @property
    def excess(self) -> float:
        """The repeats above the bound; negative if there are fewer."""
        return self.repeats - self.allowed


def worst_window(
    request_times: collections.abc.Sequence[float],
    repeat_times: collections.abc.Sequence[float],
    retry_share: float,
    retry_reserve: float,
    window_seconds: float,
) -> Window:
    """Returns the window with the most repeats above its bound.

    The bound follows from the requests in the window, in the one before it or
    in that half a window earlier, whichever has most.

    Args:
      request_times: when callers sent requests, in order.
      repeat_times: when repeats arrived, in order.
      retry_share: repeats allowed for each request.
      retry_reserve: further repeats allowed in each window.
      window_seconds: length of a window.
    """
    if not repeat_times:
        return Window(0.0, 0, retry_reserve)
    windows = []
    for start in repeat_times:
        requests = max(
            _count(request_times, start - offset, window_seconds)
            for offset in (
                0 * window_seconds,
                window_seconds / 2,
                window_seconds,
            )
        )
        window = Window(
            start,
            _count(repeat_times, start, window_seconds),
            retry_share * requests + retry_reserve,
        )
        windows.append(window)
    return max(windows, key=_excess)


def _excess(window: Window) -> float:
    return window.excess


def _count(
    times: collections.abc.Sequence[float], start: float, seconds: float
) -> int:
    """Returns how many of the times are in the window from a time on."""
    first = bisect.bisect_left(times, start)
    return bisect.bisect_right(times, start + seconds) - first


def worst_windows(traffic: Traffic, bounds: Bounds) -> dict[str, Window]:
    """Returns the worst window of each service that got requests."""
    repeats: dict[str, list[float]] = collections.defaultdict(list)
    for arrival in traffic.arrivals:
        times = repeats[arrival.service]
        if arrival.is_repeat:
            times.append(arrival.at)
    requests: dict[str, list[float]] = collections.defaultdict(list)
    for request in traffic.sent.values():
        if not request.is_call:
            requests[request.service].append(request.at)
    return {
        service: worst_window(
            sorted(requests[service]),
            sorted(times),
            bounds.retry_share,
            bounds.retry_reserve,
            bounds.window_seconds,
        )
        for service, times in repeats.items()
    }


def check(traffic: Traffic, bounds: Bounds) -> list[checks.Finding]:
    """Checks each limit on repeats."""
    return [
        *_check_windows(traffic, bounds),
        *_check_targets(traffic, bounds),
        *_check_time_limits(traffic),
        *_check_crashes(traffic, bounds),
    ]


def _check_windows(
    traffic: Traffic, bounds: Bounds
) -> collections.abc.Iterator[checks.Finding]:
    for service, window in worst_windows(traffic, bounds).items():
        if window.excess > 0:
            yield checks.Finding(
                checks.Guarantee.RETRY_BUDGET,
                f"{service}: {window.repeats} of {window.allowed:.0f} from "
                f"{window.begins_at:.1f} s on",
            )


def _check_targets(
    traffic: Traffic, bounds: Bounds
) -> collections.abc.Iterator[checks.Finding]:
    targets = collections.defaultdict(set)
    for arrival in traffic.arrivals:
        # A target that ends meanwhile does not count.
        if arrival.kind is ArrivalKind.RUN:
            targets[arrival.request_id].add(arrival.target)
    wide = [
        request_id
        for request_id, ran_at in targets.items()
        if len(ran_at) > bounds.max_targets
    ]
    if len(wide) > MAX_WIDE_REQUESTS:
        yield checks.Finding(
            checks.Guarantee.TARGET_COUNT, f"{len(wide)} requests: {wide[:5]}"
        )


def _check_time_limits(
    traffic: Traffic,
) -> collections.abc.Iterator[checks.Finding]:
    first_arrivals: dict[str, Arrival] = {}
    counted = too_long = 0
    for arrival in traffic.arrivals:
        request = traffic.sent.get(arrival.request_id)
        if request is None:
            continue
        first = first_arrivals.setdefault(arrival.request_id, arrival)
        is_late = arrival.at > first.at + TIME_TOLERANCE_SECONDS
        if _has_too_long_limit(arrival, request, first, is_late=is_late):
            too_long += 1
            counted += 1
        else:
            counted += is_late
    if too_long > max(MAX_LONG_TIMES, MAX_LONG_TIME_SHARE * counted):
        yield checks.Finding(
            checks.Guarantee.TIME_HANDED_ON, f"{too_long} of {counted} arrivals"
        )


def _has_too_long_limit(
    arrival: Arrival, request: SentRequest, first: Arrival, *, is_late: bool
) -> bool:
    """Returns whether a target is given more time than its request has left."""
    limit = arrival.time_limit
    if limit is None or limit > request.time_limit + TIME_TOLERANCE_SECONDS:
        return True
    if not is_late:
        return False
    ends_at = max(
        request.at + request.time_limit, first.at + (first.time_limit or 0.0)
    )
    return arrival.at + limit > ends_at + TIME_TOLERANCE_SECONDS


def _check_crashes(
    traffic: Traffic, bounds: Bounds
) -> collections.abc.Iterator[checks.Finding]:
    """Checks the requests that crash targets; they are named by their path."""
    for path, crashes, late in crashing_requests(traffic, bounds):
        if late > MAX_LATE_ARRIVALS:
            yield checks.Finding(
                checks.Guarantee.CRASHING_REQUEST,
                f"{path}: {crashes} crashes, {late} late arrivals",
            )


def crashing_requests(
    traffic: Traffic, bounds: Bounds
) -> list[tuple[str, int, int]]:
    """Returns path, crashes and late arrivals of each crashing request."""
    crashes = collections.defaultdict(list)
    for arrival in traffic.arrivals:
        if arrival.kind is ArrivalKind.CRASH:
            crashes[arrival.path].append(arrival.at)
    found = []
    for path, times in crashes.items():
        late = 0
        if len(times) >= CRASHES_BEFORE:
            counts_from = times[CRASHES_BEFORE - 1] + bounds.stable_seconds
            late = sum(
                arrival.path == path and arrival.at > counts_from
                for arrival in traffic.arrivals
            )
        found.append((path, len(times), late))
    return found
