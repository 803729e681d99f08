"""The fault matrix of `endivewind-bench matrix`.

Injects every fault at every step of an exchange, singly or in pairs, and
checks the guarantees to callers in each case.
"""

import asyncio
import collections.abc
import dataclasses
import itertools

from endivewind.standins import virtual
from endivewind.standins import world

Cell = tuple[world.Step, world.Fault]


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one run of the matrix.

    Attributes:
      cells: number of cases run.
      red: cases that violated a guarantee, each with the violation.
      unreached: number of cases in which a fault was never triggered.
    """

    cells: int
    red: tuple[str, ...]
    unreached: int


def singles() -> collections.abc.Iterator[tuple[Cell, ...]]:
    """Yields each fault at each step."""
    for cell in itertools.product(world.Step, world.Fault):
        yield (cell,)


def pairs() -> collections.abc.Iterator[tuple[Cell, ...]]:
    """Yields each pair of faults at two different steps."""
    cells = itertools.product(world.Step, world.Fault)
    for first, second in itertools.combinations(cells, 2):
        if first[0] != second[0]:
            yield (first, second)


def run(cells: collections.abc.Iterable[tuple[Cell, ...]]) -> Outcome:
    """Runs each case in a simulated cluster of its own."""
    red = []
    count = 0
    unreached = 0
    for cell in cells:
        count += 1
        violation, untriggered = run_cell(cell)
        if violation:
            name = " + ".join(f"{step}:{fault}" for step, fault in cell)
            red.append(f"{name}: {violation}")
        unreached += bool(untriggered)
    return Outcome(count, tuple(red), unreached)


def run_cell(cell: tuple[Cell, ...]) -> tuple[str, int]:
    """Runs one non-idempotent request with the faults in two topologies.

    First the entry node, the issuer of the ticket and the home are three
    nodes. Then one node has all three roles, so that the dispatcher's result
    reaches the caller without another node between.

    Returns:
      The violated guarantee, or an empty string; and the number of faults
      that were not triggered in the topology of three nodes.
    """
    violation, untriggered = _run_cell(cell, *world.ENTRIES)
    if not violation:
        violation, _ = _run_cell(cell, world.HOMES[0], world.HOMES[0])
    return violation, untriggered


def _run_cell(
    cell: tuple[Cell, ...], issuer: str, entry: str
) -> tuple[str, int]:
    """Sends two requests, resends one to every node, then both once more."""
    cluster = world.World(virtual.VirtualLoop())
    try:
        key = cluster.issue(issuer)
        other = cluster.issue(entry)
        cluster.faults.update(cell)
        cluster.run(_send_and_wait(cluster, entry, key))
        cluster.run(_send_and_wait(cluster, issuer, other))
        untriggered = len(cluster.faults)
        for name in cluster.names:
            cluster.announce(name)
            cluster.run(_send_and_wait(cluster, name, key))
        cluster.check()
        cluster.settle()
        for sent in (key, other):
            cluster.run(_send_and_wait(cluster, issuer, sent))
        cluster.check()
    except world.Violation as error:
        return str(error), len(cluster.faults)
    finally:
        cluster.close()
    return "", untriggered


async def _send_and_wait(cluster: world.World, entry: str, key: str) -> None:
    task = cluster.send(entry, key)
    await asyncio.wait([task])
    # A crash of the node closes the connections of its callers.
    if not task.cancelled():
        task.result()
