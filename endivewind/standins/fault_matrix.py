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

InjectedFault = tuple[
    simulated_cluster.ExchangeStep, simulated_cluster.ExchangeFault
]


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
    for injected_fault in itertools.product(
        simulated_cluster.ExchangeStep, simulated_cluster.ExchangeFault
    ):
        yield (injected_fault,)


def fault_pairs() -> collections.abc.Iterator[tuple[InjectedFault, ...]]:
    """Yields each pair of faults at two different steps."""
    injected_faults = itertools.product(
        simulated_cluster.ExchangeStep, simulated_cluster.ExchangeFault
    )
    for first, second in itertools.combinations(injected_faults, 2):
        if first[0] != second[0]:
            yield (first, second)


def run_matrix(
    cases: collections.abc.Iterable[tuple[InjectedFault, ...]],
) -> MatrixResult:
    """Runs each case in a simulated cluster of its own."""
    violations = []
    count = 0
    unreached = 0
    for case in cases:
        count += 1
        violation, untriggered = run_case(case)
        if violation:
            name = " + ".join(f"{step}:{fault}" for step, fault in case)
            violations.append(f"{name}: {violation}")
        unreached += bool(untriggered)
    return MatrixResult(count, tuple(violations), unreached)


def run_case(case: tuple[InjectedFault, ...]) -> tuple[str, int]:
    """Runs one non-idempotent request with the faults in two topologies.

    First the entry node, the issuer of the ticket and the home are three
    nodes. Then one node has all three roles, so that the dispatcher's result
    reaches the caller without another node between.

    Returns:
      The violated guarantee, or an empty string; and the number of faults
      that were not triggered in the topology of three nodes.
    """
    violation, untriggered = _run_in_topology(
        case, *simulated_cluster.ENTRY_NODES
    )
    if not violation:
        violation, _ = _run_in_topology(
            case,
            simulated_cluster.HOME_NODES[0],
            simulated_cluster.HOME_NODES[0],
        )
    return violation, untriggered


def _run_in_topology(
    case: tuple[InjectedFault, ...], issuer: str, entry: str
) -> tuple[str, int]:
    """Sends two requests with the faults and checks the guarantees.

    The first request is then resent to every node with its ticket, as a
    caller may do that got no result. After all requests have ended, both are
    sent once more, and the guarantees are checked again.
    """
    cluster = simulated_cluster.SimulatedCluster(virtual_loop.VirtualLoop())
    try:
        ticket = cluster.issue_ticket(issuer)
        other_ticket = cluster.issue_ticket(entry)
        cluster.faults.update(case)
        cluster.run(_send_and_wait(cluster, entry, ticket))
        cluster.run(_send_and_wait(cluster, issuer, other_ticket))
        untriggered = len(cluster.faults)
        for name in cluster.node_names:
            cluster.announce_node(name)
            cluster.run(_send_and_wait(cluster, name, ticket))
        cluster.check_guarantees()
        cluster.settle()
        for sent in (ticket, other_ticket):
            cluster.run(_send_and_wait(cluster, issuer, sent))
        cluster.check_guarantees()
    except simulated_cluster.GuaranteeViolation as error:
        return str(error), len(cluster.faults)
    finally:
        cluster.close()
    return "", untriggered


async def _send_and_wait(
    cluster: simulated_cluster.SimulatedCluster, entry: str, ticket: str
) -> None:
    task = cluster.send(entry, ticket)
    await asyncio.wait([task])
    # A crash of the node closes the connections of its callers.
    if not task.cancelled():
        task.result()
