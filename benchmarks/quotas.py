"""Compares ways to keep quotas over all nodes, in virtual time.

Prints, for each way and load, the worst excess over the users' bound, the
share refused of what one bucket for all would let through, and the questions
for each request.

    python benchmarks/quotas.py
"""

import contextlib
from unittest import mock

from endivewind.decisions import quotas
from endivewind.nodes import quotas as peers
from endivewind.tests.loads import quotas as loads
from endivewind.tests.loads import quotas_tests

SEEDS = (1, 2, 3)
SECONDS = 15
SIZE = 102


def _no_lending():
    return mock.patch.object(quotas.TokenBucket, "wanted", return_value=0)


def _told_late():
    """Every node has the whole quota and would correct itself later."""
    return mock.patch.object(peers.QuotaPeer, "_zones", return_value=1)


WAYS = {
    "equal parts of nodes": (lambda number: f"n{number}", _no_lending),
    "each node has it all": (lambda number: f"n{number}", _told_late),
    "one keeper for all": (lambda number: "all", contextlib.nullcontext),
    "a keeper in each zone": (None, _no_lending),
    "the same, and lending": (None, contextlib.nullcontext),
}


def _usual():
    return quotas_tests.skewed_traffic(20)


def _one_zone():
    quota = quotas.Quota(32, 32)
    item = loads.Traffic("w", 20, quota, zone=2)
    return [item, *quotas_tests.skewed_traffic(5)]


def _hot():
    first, *rest = quotas_tests.skewed_traffic(12)
    busy = loads.Traffic(
        first.workspace,
        first.per_second,
        first.quota,
        peak=(4, 12),
        peak_factor=7.5,
    )
    return [busy, *rest]


LOADS = {"usual": _usual, "all in one zone": _one_zone, "one at 7.5": _hot}


def main() -> None:
    """Prints a line for each way and load."""
    for load, traffic in LOADS.items():
        for way, (zones, patched) in WAYS.items():
            excess, refused, asked, requests = -1e9, 0.0, 0, 0
            through = 0
            for seed in SEEDS:
                with patched():
                    fleet = loads.Fleet(SIZE, traffic(), seed, zones)
                    fleet.run(SECONDS)
                for name, outcome in fleet.outcomes.items():
                    quota = fleet.quotas[name]
                    excess = max(excess, outcome.excess(quota))
                    share = outcome.refused_share(quota)
                    refused += (
                        share * len(outcome.admissions) / max(1e-9, 1 - share)
                    )
                    through += len(outcome.admissions)
                asked += fleet.message_count
                requests += fleet.request_count
            print(
                f"{load:16} {way:22} excess {excess:7.1f}"
                f"  refused below {refused / (through + refused):6.3f}"
                f"  questions a request {asked / requests:5.2f}"
            )


if __name__ == "__main__":
    main()
