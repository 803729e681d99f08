"""Places a request at one of the candidates."""

import collections.abc
import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may take the request.

    Attributes:
      id: the target.
      distance: 0 the entry's zone, 1 its region, 2 elsewhere.
      slots: requests it takes at once.
      in_use: requests of this entry that are there now.
      path_usable: whether this entry reaches its home.
    """

    id: str
    distance: int
    slots: int
    in_use: int
    path_usable: bool = True


def choose(
    candidates: collections.abc.Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Takes the less loaded of two random candidates that are nearest.

    Load: many entries place at the same targets at once. Harm: if each took
    the least loaded, all would take the same one. Two random choices spread
    them and still avoid the loaded one.
    """
    free = [item for item in candidates if item.in_use < item.slots]
    if not free:
        return None
    # Where every path failed, a doubtful one is better than none.
    free = [item for item in free if item.path_usable] or free
    nearest = min(item.distance for item in free)
    near = [item for item in free if item.distance == nearest]
    first = rng.choice(near)
    second = rng.choice(near)
    return min(first, second, key=lambda item: item.in_use / item.slots)
