"""The promises, checked from what callers were told and targets ran. Pure."""

import collections
import collections.abc
import dataclasses
import enum


class Promise(enum.StrEnum):
    """What a finding says was broken."""

    ONCE = "work that must not repeat ran twice"
    ANSWERED = "an answer of work that never ran"
    NOT_RUN = "told as not run, but it ran"
    OWN = "an answer of another request, or a part of one"
    STOPS = "a planned stop cut a request"
    REVERTED = "an older configuration came into force"
    AGREED = "nodes disagree on the configuration after the faults"
    RECOVERED = "requests fail after the faults have ended"
    EXIT = "a process ended by itself"
    RETRIES = "more retries than the budget allows"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One broken promise.

    Attributes:
      promise: which.
      detail: what was seen.
    """

    promise: Promise
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """What a caller was told in the end.

    Attributes:
      work: id of the work.
      once: whether it must not repeat.
      node: the node that was asked last.
      began: seconds after the run's begin.
      ended: the same.
      status: 0 where no whole answer came.
      outcome: what the system says; empty for a target's answer.
      named: the work that the answer names; empty where it names none.
      cut: whether the connection broke after the request was sent.
      streamed: whether the answer came in parts.
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


# In an outage: whatever node the callers have asked.
ANY = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """A time in which a node's callers may lose their connections.

    Attributes:
      node: a node that was killed; ANY where a link, a home or a target
        failed: an answer that is on its way through them in parts can't be
        ended as if it were whole, so its entry has to cut it.
      began: seconds after the run's begin.
      ended: the same.
    """

    node: str
    began: float
    ended: float


# A request that was sent when the process was already closing its kept
# connections may be lost with one; the caller then knows that nothing ran.
CLOSING_SECONDS = 0.2


def of_requests(
    told: collections.abc.Iterable[Told],
    runs: collections.Counter[str],
    outages: collections.abc.Sequence[Outage],
) -> list[Finding]:
    """Checks each request against what the targets ran.

    Args:
      told: what callers heard.
      runs: how often each work ran, over all targets and their starts.
      outages: when nodes were killed; all other ends were planned.
    """
    return [
        finding
        for item in told
        for finding in _of_request(item, runs[item.work], outages)
    ]


def _of_request(
    item: Told, ran: int, outages: collections.abc.Sequence[Outage]
) -> collections.abc.Iterator[Finding]:
    answered = item.status == 200 and not item.outcome
    if item.once and ran > 1:
        yield Finding(Promise.ONCE, f"{item.work} ran {ran} times")
    if item.outcome == "not-run" and ran:
        yield Finding(Promise.NOT_RUN, f"{item.work} ran {ran} times")
    if answered and not ran:
        yield Finding(Promise.ANSWERED, item.work)
    if answered and item.named != item.work:
        yield Finding(Promise.OWN, f"{item.work} got {item.named or 'a part'}")
    if item.cut and not _excused(item, outages):
        yield Finding(
            Promise.STOPS,
            f"{item.work} at {item.node}, {item.began:.2f} to {item.ended:.2f}",
        )


def _excused(item: Told, outages: collections.abc.Sequence[Outage]) -> bool:
    if item.ended - item.began < CLOSING_SECONDS:
        return True
    return any(
        outage.node in ((item.node, ANY) if item.streamed else (item.node,))
        and outage.began <= item.ended
        and item.began <= outage.ended
        for outage in outages
    )


def of_versions(
    seen: collections.abc.Mapping[str, collections.abc.Sequence[int]],
) -> list[Finding]:
    """Checks that versions in force never fall at one start of a node."""
    return [
        Finding(Promise.REVERTED, f"{node}: {before} then {after}")
        for node, versions in seen.items()
        for before, after in zip(versions, versions[1:], strict=False)
        if after < before
    ]


def of_retries(
    told: collections.abc.Iterable[Told],
    runs: collections.Counter[str],
    share: float,
    reserve: float,
) -> list[Finding]:
    """Checks the runs beyond the first of each request, over the whole run."""
    works = [item.work for item in told]
    again = sum(max(0, runs[work] - 1) for work in works)
    allowed = share * len(works) + reserve
    if again <= allowed:
        return []
    return [
        Finding(
            Promise.RETRIES,
            f"{again} retries of {len(works)} requests, {allowed:.0f} allowed",
        )
    ]
