"""Distribution tree for proofs of freshness.

Determines which nodes read the platform for proofs and which node each other
node queries. There is no leader election: each node decides by the age of its
own proof and by the order in which nodes have started. Does no I/O.
"""

import collections.abc
import dataclasses
import datetime
import random
from typing import Generic
from typing import TypeVar

from endivewind.config import watchers

MemberT = TypeVar("MemberT", bound=watchers.Member)

# Shares of the revocation bound. The primary reader, the node that started
# first, reads again when its proof is 1/5 of the bound old. Each hop away from
# it adds at most one query period, 1/8 of the bound, so three hops away a proof
# is at most 1/5 + 3/8, about 0.6, of the bound old. If one query is lost, the
# proof's age still stays within the bound.
READER_PROOF_AGE_SHARE = 0.2
QUERY_PERIOD_SHARE = 1 / 8
# Proof age, as a share of the bound, at which the second-oldest node reads as
# well. Each further node in the order of starts waits for STANDBY_STEP_SHARE of
# the bound longer, so that the loss of a reader costs only a few extra calls.
STANDBY_PROOF_AGE_SHARE = 0.5
STANDBY_STEP_SHARE = 0.05
# Proof age, as a share of the bound, from which all remaining nodes read at
# random, at each check with a probability of 1 / start rank.
RANDOM_READ_AGE_SHARE = 0.8
# Time, in multiples of the bound, for which a node that had to stand in for the
# primary reader keeps reading as often as a primary reader.
STANDBY_DURATION_BOUNDS = 4
# A proof that is still older than this after a query does not come from a
# reader that works.
STALE_PROOF_AGE_SHARE = 0.45
# Maximum number of nodes that query the same parent; each sends a few queries
# per second.
MAX_CHILDREN = 16
# Oldest nodes, queried in addition if a node's parent has no fresh proof.
FALLBACK_READERS = 3
# Query period of a node without any proof, since its callers are waiting.
INITIAL_QUERY_PERIOD = datetime.timedelta(milliseconds=50)


@dataclasses.dataclass(frozen=True, slots=True)
class TreePosition(Generic[MemberT]):
    """A node's position in the distribution tree.

    Attributes:
      start_rank: number of nodes that started before it; 0 is the primary
        reader.
      parent: the node that it queries; None for the primary reader, which
        reads the platform instead.
      fallbacks: nodes that it queries if its parent has no fresh proof.
    """

    start_rank: int
    parent: MemberT | None
    fallbacks: tuple[MemberT, ...]


def tree_position(
    me: MemberT, members: collections.abc.Iterable[MemberT]
) -> TreePosition[MemberT]:
    """Returns a node's position in the distribution tree.

    The primary reader passes proofs to the oldest node of each region, these
    to the oldest node of each zone, and these to the others. So a proof
    crosses the border of each region and zone once. Because positions follow
    the order of starts, they change only when a node stops.
    """
    others = [item for item in members if item.name != me.name]
    ordered = sorted([*others, me], key=watchers.start_order)
    parent = _parent(me, ordered)
    known = [item for item in ordered if item is not me and item is not parent]
    near = [item for item in known if item.zone == me.zone]
    return TreePosition(
        ordered.index(me),
        parent,
        (*known[:FALLBACK_READERS], *near[:1]),
    )


def _parent(me: MemberT, ordered: list[MemberT]) -> MemberT | None:
    zone = [item for item in ordered if item.zone == me.zone]
    number = zone.index(me)
    if number:
        return zone[(number - 1) // MAX_CHILDREN]
    region = [item for item in ordered if item.region == me.region]
    if region[0] is not me:
        return region[0]
    return None if ordered[0] is me else ordered[0]


def should_read(
    start_rank: int,
    age: datetime.timedelta,
    bound: datetime.timedelta,
    rng: random.Random,
    *,
    is_standby: bool = False,
) -> bool:
    """Returns whether a node should read the platform now.

    Scenario: the primary reader is killed, or the platform refuses its calls.
    Risk: the proofs of all nodes expire and all requests that need a key are
    refused; or, if all nodes read at once, the platform's rate limit is
    exhausted.

    Args:
      start_rank: the node's position in the order of starts.
      age: age of its proof; without one, time since its start.
      bound: maximum age of a proof.
      rng: selects at random among the nodes beyond the ordered standbys.
      is_standby: whether it had to stand in for the primary reader recently,
        so that it reads as often as the primary reader.
    """
    if start_rank == 0 or is_standby:
        return age >= READER_PROOF_AGE_SHARE * bound
    limit = STANDBY_PROOF_AGE_SHARE + STANDBY_STEP_SHARE * (start_rank - 1)
    if limit < RANDOM_READ_AGE_SHARE:
        return age >= limit * bound
    return (
        age >= RANDOM_READ_AGE_SHARE * bound and rng.random() < 1 / start_rank
    )
