"""The fault matrix: every fault at every step of an exchange, and pairs."""

import asyncio
import collections.abc
import dataclasses
import itertools

from endivewind.standins import virtual
from endivewind.standins import world

Cell = tuple[world.Step, world.Fault]


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How the cells of one run ended.

    Attributes:
      cells: cells run.
      red: cells that broke a promise, with what was broken.
      unreached: cells whose faults did not all come to pass.
    """

    cells: int
    red: tuple[str, ...]
    unreached: int


def singles() -> collections.abc.Iterator[tuple[Cell, ...]]:
    """Each fault at each step."""
    for cell in itertools.product(world.Step, world.Fault):
        yield (cell,)


def pairs() -> collections.abc.Iterator[tuple[Cell, ...]]:
    """Two faults at two different steps."""
    cells = itertools.product(world.Step, world.Fault)
    for first, second in itertools.combinations(cells, 2):
        if first[0] != second[0]:
            yield (first, second)


def run(cells: collections.abc.Iterable[tuple[Cell, ...]]) -> Outcome:
    """Runs each cell in a world of its own."""
    red = []
    count = 0
    unreached = 0
    for cell in cells:
        count += 1
        broken, left = run_cell(cell)
        if broken:
            name = " + ".join(f"{step}:{fault}" for step, fault in cell)
            red.append(f"{name}: {broken}")
        unreached += bool(left)
    return Outcome(count, tuple(red), unreached)


def run_cell(cell: tuple[Cell, ...]) -> tuple[str, int]:
    """One payout with faults, first over three nodes, then at a home alone.

    Where the key's issuer is the target's home as well, nothing stands
    between the dispatcher's verdict and the caller.

    Returns:
      What promise was broken, or an empty string; and how many of the faults
      did not come to pass over three nodes.
    """
    broken, left = _run_cell(cell, *world.ENTRIES)
    if not broken:
        broken, _ = _run_cell(cell, world.HOMES[0], world.HOMES[0])
    return broken, left


def _run_cell(
    cell: tuple[Cell, ...], issuer: str, entry: str
) -> tuple[str, int]:
    """Sends a payout, sends it again to every node, then once more."""
    made = world.World(virtual.VirtualLoop())
    try:
        key = made.issue(issuer)
        other = made.issue(entry)
        made.faults.update(cell)
        made.run(_ended(made, entry, key))
        made.run(_ended(made, issuer, other))
        left = len(made.faults)
        for name in made.names:
            made.announce(name)
            made.run(_ended(made, name, key))
        made.check()
        made.settle()
        for sent in (key, other):
            made.run(_ended(made, issuer, sent))
        made.check()
    except world.Violation as error:
        return str(error), len(made.faults)
    finally:
        made.close()
    return "", left


async def _ended(made: world.World, entry: str, key: str) -> None:
    task = made.send(entry, key)
    await asyncio.wait([task])
    # A node that crashes takes its callers' connections with it.
    if not task.cancelled():
        task.result()
