"""Checks of the guarantees, from callers' records and targets' run counts.

The soak calls them at the end of a run. They perform no I/O.
"""

import collections
import collections.abc
import dataclasses
import enum

from endivewind import exchange


class Guarantee(enum.StrEnum):
    """A guarantee; its value describes the violation."""

    AT_MOST_ONCE = "work that must not repeat ran twice"
    RESPONSE_IMPLIES_RUN = "an answer of work that never ran"
    NOT_RUN_IS_TRUE = "told as not run, but it ran"
    MATCHING_RESPONSE = "an answer of another request, or a part of one"
    GRACEFUL_STOP = "a planned stop cut a request"
    NO_ROLLBACK = "an older configuration came into force"
    CONVERGENCE = "nodes disagree on the configuration after the faults"
    RECOVERY = "requests fail after the faults have ended"
    NO_UNEXPECTED_EXIT = "a process ended by itself"
    RETRY_BUDGET = "more retries than the budget allows"
    TARGET_COUNT = "requests ran at more targets than their route allows"
    TIME_HANDED_ON = "targets were given more time than their requests had left"
    CRASHING_REQUEST = "a request that crashes targets arrived at too many"
    TIME_LIMIT = "a request was given up for its deadline before its time limit"
    STOP_LIMIT = "a planned stop cut a request short before its stop limit"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One violated guarantee.

    Attributes:
      guarantee: the violated guarantee.
      detail: what was observed.
    """

    guarantee: Guarantee
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRecord:
    """One request of a caller and its result.

    Attributes:
      work: id of the work.
      once: whether the request is non-idempotent.
      node: the node that the request was sent to; empty if unknown.
      began: start of the request, in seconds after the start of the run.
      ended: end of the request, in seconds after the start of the run.
      status: HTTP status; 0 without a complete response.
      outcome: the outcome header that a node sets; empty in a target's
        response.
      named: the work id in the response; empty if it has none.
      cut: whether the connection broke after the request was sent.
      streamed: whether the response was streamed.
      reason: the reason header that a node sets; empty in a target's response.
      time_limit: time limit of the request in seconds: its own, or that of its
        route or service.
    """

    work: str
    once: bool
    node: str
    began: float
    ended: float
    status: int
    outcome: str = ""
    named: str = ""
    cut: bool = False
    streamed: bool = False
    reason: str = ""
    time_limit: float = 0.0


# Value of Outage.node: the outage may break streamed responses of all nodes.
STREAMS_AT_ALL_NODES = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """A period in which a node's callers may lose their connections.

    Attributes:
      node: the node that was killed, which breaks all connections of its
        callers; STREAMS_AT_ALL_NODES if a link, a home or a target failed.
        An entry node that streams a response over a failed link, or from a
        failed home or target, closes the caller's connection, since it must
        not end the response as if it were complete.
      started_at: in seconds after the start of the run.
      ended_at: in seconds after the start of the run.
    """

    node: str
    started_at: float
    ended_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class NodeStop:
    """A planned stop of a node.

    Attributes:
      node: the node.
      started_at: when it was told to stop, in seconds after the start of the
        run.
      ended_at: when its process exited, in seconds after the start of the run.
    """

    node: str
    started_at: float
    ended_at: float


# A caller starts its clock before the node does, so a limit can only seem to
# end early by rounding: by up to a millisecond at each of the two links to the
# issuer of a ticket and to the home, and by up to two at the clock and the
# timer of the caller's and each node's event loop, which count milliseconds.
LIMIT_TOLERANCE_SECONDS = 0.01

# A request that is sent while a stopping process closes its keep-alive
# connections may be lost before the process reads it, so that it is not run. A
# request whose connection breaks within this time is taken for such a one.
KEEPALIVE_CLOSE_SECONDS = 0.2


def check_requests(
    records: collections.abc.Iterable[RequestRecord],
    run_counts: collections.Counter[str],
    outages: collections.abc.Sequence[Outage],
) -> list[Finding]:
    """Checks each request against what the targets ran.

    Args:
      records: records of all callers.
      run_counts: number of runs of each work id, over all incarnations of all
        targets.
      outages: periods with unplanned failures; other stops were graceful.
    """
    return [
        finding
        for item in records
        for finding in _check_request(item, run_counts[item.work], outages)
    ]


def _check_request(
    item: RequestRecord,
    run_count: int,
    outages: collections.abc.Sequence[Outage],
) -> collections.abc.Iterator[Finding]:
    has_response = item.status == 200 and not item.outcome
    if item.once and run_count > 1:
        yield Finding(
            Guarantee.AT_MOST_ONCE, f"{item.work} ran {run_count} times"
        )
    if item.outcome == "not-run" and run_count:
        yield Finding(
            Guarantee.NOT_RUN_IS_TRUE, f"{item.work} ran {run_count} times"
        )
    if has_response and not run_count:
        yield Finding(Guarantee.RESPONSE_IMPLIES_RUN, item.work)
    if has_response and item.named != item.work:
        yield Finding(
            Guarantee.MATCHING_RESPONSE,
            f"{item.work} got {item.named or 'a truncated response'}",
        )
    if item.cut and not _is_excused(item, outages):
        yield Finding(
            Guarantee.GRACEFUL_STOP,
            f"{item.work} at {item.node}, {item.began:.2f} to {item.ended:.2f}",
        )


def _is_excused(
    item: RequestRecord, outages: collections.abc.Sequence[Outage]
) -> bool:
    if item.ended - item.began < KEEPALIVE_CLOSE_SECONDS:
        return True
    return any(
        outage.node
        in (
            (item.node, STREAMS_AT_ALL_NODES) if item.streamed else (item.node,)
        )
        and outage.started_at <= item.ended
        and item.began <= outage.ended_at
        for outage in outages
    )


def check_limits(
    records: collections.abc.Iterable[RequestRecord],
    stops: collections.abc.Sequence[NodeStop],
    stop_limit: float,
) -> list[Finding]:
    """Checks that no request was given up before the limit in the reason.

    No fault shortens a limit, so outages are no excuse. The time of a request
    with a ticket includes that of its resends, so that the check is less strict
    for these.

    Args:
      records: records of all callers.
      stops: all planned stops of nodes.
      stop_limit: how long a stopping node waits for requests, in seconds.
    """
    findings = []
    for item in records:
        elapsed = item.ended - item.began
        if (
            item.reason == exchange.Reason.DEADLINE
            and elapsed < item.time_limit - LIMIT_TOLERANCE_SECONDS
        ):
            finding = Finding(
                Guarantee.TIME_LIMIT,
                f"{item.work} at {item.node or 'unknown node'}: after "
                f"{elapsed:.3f} s of {item.time_limit} s, at {item.ended:.2f}",
            )
            findings.append(finding)
        if item.reason == exchange.Reason.CUT_SHORT and not any(
            _allows_abort(stop, item, stop_limit) for stop in stops
        ):
            finding = Finding(
                Guarantee.STOP_LIMIT,
                f"{item.work} at {item.node or 'unknown node'}, "
                f"{item.began:.2f} to {item.ended:.2f}",
            )
            findings.append(finding)
    return findings


def _allows_abort(
    stop: NodeStop, item: RequestRecord, stop_limit: float
) -> bool:
    """Returns whether a stop had reached its limit when the request ended.

    A request with a ticket may be aborted at the node that issued the ticket,
    which is unknown.
    """
    limit_at = stop.started_at + stop_limit - LIMIT_TOLERANCE_SECONDS
    return (
        item.node in ("", stop.node)
        and limit_at <= item.ended
        and item.began <= stop.ended_at
    )


def check_versions(
    versions_by_node: collections.abc.Mapping[
        str, collections.abc.Sequence[int]
    ],
) -> list[Finding]:
    """Checks that no incarnation of a node reverts to an older version."""
    return [
        Finding(Guarantee.NO_ROLLBACK, f"{node}: {before} then {after}")
        for node, versions in versions_by_node.items()
        for before, after in zip(versions, versions[1:], strict=False)
        if after < before
    ]


def check_retries(
    records: collections.abc.Iterable[RequestRecord],
    run_counts: collections.Counter[str],
    share: float,
    reserve: float,
) -> list[Finding]:
    """Checks that the repeated runs of requests stay within the budget."""
    work_ids = [item.work for item in records]
    repeated_runs = sum(max(0, run_counts[work] - 1) for work in work_ids)
    limit = share * len(work_ids) + reserve
    if repeated_runs <= limit:
        return []
    return [
        Finding(
            Guarantee.RETRY_BUDGET,
            f"{repeated_runs} retries of {len(work_ids)} requests, "
            f"{limit:.0f} allowed",
        )
    ]
