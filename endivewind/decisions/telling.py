"""What nodes near each other tell, and when. Pure."""

import collections.abc
import dataclasses
import datetime

from endivewind import exchange
from endivewind.decisions import retries
from endivewind.decisions import suspicion

# Between two messages of a home. At most four a second to HEARERS nodes, each
# of about 90 bytes, stay below 9 KB a second, also while a target is sick for
# hours.
GAP = datetime.timedelta(milliseconds=250)
# Nodes that are told, at most. Where a zone has more, its entries see enough
# answers of their own to do without.
HEARERS = 24


def shares_region(others: int) -> bool:
    """Whether entries share their retries with their whole region.

    Load: few requests an entry, one in ten of which fails, in bunches. Harm: a
    zone of six with a bound of nine retries in ten seconds has used them up
    while the zone beside it has used none. Twice as many share twice as much,
    and chance evens out better. Each count goes to every node that shares, so
    only where these are few.

    Args:
      others: nodes of the region, this one not counted.
    """
    return others <= HEARERS


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """What a home tells of one of its targets.

    Attributes:
      target: the target's id.
      glance: the same that goes with each answer of it.
    """

    target: str
    glance: exchange.Glance


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """What an entry has used of its retry budget in the present window.

    Attributes:
      service: whose budget.
      count: of the entry.
    """

    service: str
    count: retries.Count


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Way:
    """Where requests go: a service, by a route's prefix."""

    service: str
    prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """One message to nodes near by; false if it is empty.

    Attributes:
      conditions: of the sender's targets.
      tallies: of the sender's retries.
      ways: on which requests of callers come.
    """

    conditions: tuple[Condition, ...] = ()
    tallies: tuple[Tally, ...] = ()
    ways: tuple[Way, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.conditions or self.tallies or self.ways)


NO_NEWS = News()


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """A target as its home sees it.

    Attributes:
      condition: what would be told of it.
      signals: ends of requests that the suspicion rests on.
    """

    condition: Condition
    signals: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Told:
    signals: int
    suspicion: float
    at: datetime.timedelta


class Teller:
    """Chooses what a home tells now.

    Load: many entries before a few targets, each with a request or two a
    second. Harm: an entry hears of a target only by its own requests, so a
    target that turns sick fails one request of every entry in turn, and what
    must not repeat is lost with each. Its home sees all of them, and one
    message to the entries of the zone, where nearly all of its work comes
    from, saves the rest. While all is well nothing is told.
    """

    def __init__(self) -> None:
        self._told: dict[str, _Told] = {}
        self._last: datetime.timedelta | None = None

    def due(
        self, states: collections.abc.Iterable[State], now: datetime.timedelta
    ) -> tuple[Condition, ...]:
        """Conditions to tell now; none where the last message is too recent.

        A target is told of again with each new signal as long as it is in
        doubt, and once more when it no longer is.
        """
        if self._last is not None and now - self._last < GAP:
            return ()
        states = list(states)
        found = [item for item in states if self._is_news(item, now)]
        for item in found:
            condition = item.condition
            self._told[condition.target] = _Told(
                item.signals, condition.glance.suspicion, now
            )
        if found:
            self._last = now
            self._forget(states)
        return tuple(item.condition for item in found)

    def _is_news(self, state: State, now: datetime.timedelta) -> bool:
        doubt = state.condition.glance.suspicion
        told = self._told.get(state.condition.target)
        if told is None:
            return doubt >= suspicion.DOUBTFUL
        if state.signals == told.signals:
            return False
        believed = suspicion.drifted(told.suspicion, now - told.at)
        return max(doubt, believed) >= suspicion.DOUBTFUL

    def _forget(self, states: list[State]) -> None:
        held = {item.condition.target for item in states}
        for gone in self._told.keys() - held:
            del self._told[gone]
