"""The fault matrix of `endivewind-bench matrix`.

Injects every fault at every step of an exchange, singly or in pairs, and
checks the guarantees to callers in each case.
"""

import asyncio
import collections.abc
import dataclasses
import itertools

from endivewind.standins import simulated_cluster
from endivewind.standins import virtual_loop

InjectedFault = tuple[simulated_cluster.ExchangeStep, simulated_cluster.Fault]


@dataclasses.dataclass(frozen=True, slots=True)
class MatrixResult:
    """Result of one run of the matrix.

    Attributes:
      cells: number of cases run.
      red: cases that violated a guarantee, each with the violation.
      unreached: number of cases in which a fault was never triggered.
    """

    cells: int
    red: tuple[str, ...]
    unreached: int


def single_faults() -> collections.abc.Iterator[tuple[InjectedFault, ...]]:
    """Yields each fault at each step."""
    for cell in itertools.product(
        simulated_cluster.ExchangeStep, simulated_cluster.Fault
    ):
        yield (cell,)


def fault_pairs() -> collections.abc.Iterator[tuple[InjectedFault, ...]]:
    """Yields each pair of faults at two different steps."""
    cells = itertools.product(
        simulated_cluster.ExchangeStep, simulated_cluster.Fault
    )
    for first, second in itertools.combinations(cells, 2):
        if first[0] != second[0]:
            yield (first, second)


def run_matrix(
    cells: collections.abc.Iterable[tuple[InjectedFault, ...]],
) -> MatrixResult:
    """Runs each case in a simulated cluster of its own."""
    red = []
    count = 0
    unreached = 0
    for cell in cells:
        count += 1
        violation, untriggered = run_case(cell)
        if violation:
            name = " + ".join(f"{step}:{fault}" for step, fault in cell)
            red.append(f"{name}: {violation}")
        unreached += bool(untriggered)
    return MatrixResult(count, tuple(red), unreached)


def run_case(cell: tuple[InjectedFault, ...]) -> tuple[str, int]:
    """Runs one non-idempotent request with the faults in two topologies.

    First the entry node, the issuer of the ticket and the home are three
    nodes. Then one node has all three roles, so that the dispatcher's result
    reaches the caller without another node between.

    Returns:
      The violated guarantee, or an empty string; and the number of faults
      that were not triggered in the topology of three nodes.
    """
    violation, untriggered = _run_cell(cell, *simulated_cluster.ENTRY_NODES)
    if not violation:
        violation, _ = _run_cell(
            cell,
            simulated_cluster.HOME_NODES[0],
            simulated_cluster.HOME_NODES[0],
        )
    return violation, untriggered


def _run_cell(
    cell: tuple[InjectedFault, ...], issuer: str, entry: str
) -> tuple[str, int]:
    """Sends two requests, resends one to every node, then both once more."""
    cluster = simulated_cluster.SimulatedCluster(virtual_loop.VirtualLoop())
    try:
        key = cluster.issue_key(issuer)
        other = cluster.issue_key(entry)
        cluster.faults.update(cell)
        cluster.run(_send_and_wait(cluster, entry, key))
        cluster.run(_send_and_wait(cluster, issuer, other))
        untriggered = len(cluster.faults)
        for name in cluster.node_names:
            cluster.announce_node(name)
            cluster.run(_send_and_wait(cluster, name, key))
        cluster.check_guarantees()
        cluster.settle()
        for sent in (key, other):
            cluster.run(_send_and_wait(cluster, issuer, sent))
        cluster.check_guarantees()
    except simulated_cluster.GuaranteeViolation as error:
        return str(error), len(cluster.faults)
    finally:
        cluster.close()
    return "", untriggered


async def _send_and_wait(
    cluster: simulated_cluster.SimulatedCluster, entry: str, key: str
) -> None:
    task = cluster.send(entry, key)
    await asyncio.wait([task])
    # A crash of the node closes the connections of its callers.
    if not task.cancelled():
        task.result()
