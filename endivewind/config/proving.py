"""Who reads the platform for proofs of freshness, and whom the others ask.

Nodes agree on nothing: each decides by the age of its own proof and by who has
started before it. No input or output.
"""

import collections.abc
import dataclasses
import datetime
import random
from typing import Generic
from typing import TypeVar

from endivewind.config import watchers

MemberT = TypeVar("MemberT", bound=watchers.Member)

# Parts of the bound. The first reader reads once a fifth; with a question
# every eighth a proof is at most 0.6 of the bound old three steps from it, and
# one lost question leaves it within the bound.
READ_AGE = 0.2
ASK_PERIOD = 1 / 8
# Where proofs grow older than that, others read as well: one after the other,
# so that the loss of a reader costs the platform a few calls only.
STAND_IN_AGE = 0.5
STAND_IN_STEP = 0.05
LAST_AGE = 0.8
# In bounds: for how long a node that had to stand in reads as often as the
# first reader would.
STAND_IN_TIME = 4
# A proof older than this, after a question, has not come by way of a reader.
STALE_AGE = 0.45
# Nodes that ask one and the same: it answers each a few times a second.
ASKERS = 16
# Readers that are asked where a node's parent does not help.
STAND_INS = 3
# A node without any proof asks so often: its callers wait.
FIRST_PERIOD = datetime.timedelta(milliseconds=50)


@dataclasses.dataclass(frozen=True, slots=True)
class Rank(Generic[MemberT]):
    """A node's place among those that run.

    Attributes:
      number: of nodes that started before it; 0 is the first reader.
      parent: the node that it asks; None for the first reader.
      others: nodes that it asks where its parent does not help.
    """

    number: int
    parent: MemberT | None
    others: tuple[MemberT, ...]


def rank(
    me: MemberT, members: collections.abc.Iterable[MemberT]
) -> Rank[MemberT]:
    """A node's place among the members of the fleet.

    The first reader passes proofs on to the oldest of each region, these to
    the oldest of each zone, and these to the others, so that proofs cross
    between places once for each place. The order of starts moves a place only
    when a node ends.
    """
    others = [item for item in members if item.name != me.name]
    ordered = sorted([*others, me], key=watchers.start)
    parent = _parent(me, ordered)
    known = [item for item in ordered if item is not me and item is not parent]
    near = [item for item in known if item.zone == me.zone]
    return Rank(
        ordered.index(me),
        parent,
        (*known[:STAND_INS], *near[:1]),
    )


def _parent(me: MemberT, ordered: list[MemberT]) -> MemberT | None:
    zone = [item for item in ordered if item.zone == me.zone]
    number = zone.index(me)
    if number:
        return zone[(number - 1) // ASKERS]
    region = [item for item in ordered if item.region == me.region]
    if region[0] is not me:
        return region[0]
    return None if ordered[0] is me else ordered[0]


def reads(
    number: int,
    age: datetime.timedelta,
    bound: datetime.timedelta,
    rng: random.Random,
    *,
    stands_in: bool = False,
) -> bool:
    """Whether a node reads the platform now.

    Load: the first reader is killed, or the platform turns it away. Harm:
    every node's proof runs out, and all keyed work is refused; or, where all
    read at once, the platform's rates are used up.

    Args:
      number: its place in the order of starts.
      age: of its proof; without one, since its start.
      bound: how old a proof may be.
      rng: chooses among the many that are left.
      stands_in: whether it had to read a short while ago.
    """
    if number == 0 or stands_in:
        return age >= READ_AGE * bound
    limit = STAND_IN_AGE + STAND_IN_STEP * (number - 1)
    if limit < LAST_AGE:
        return age >= limit * bound
    return age >= LAST_AGE * bound and rng.random() < 1 / number
