"""Compares methods of distributed rate limiting, in virtual time.

Prints for each method and load the highest excess over the users' bound, the
share refused of the requests that a single token bucket would admit, and the
messages per request.

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
NODE_COUNT = 102


def _no_lending():
    return mock.patch.object(quotas.TokenBucket, "wanted", return_value=0)


def _whole_quota_everywhere():
    """Gives every node the whole quota, corrected only afterwards."""
    return mock.patch.object(peers.QuotaService, "_effective_zone_count", return_value=1)


METHODS = {
    "equal parts of nodes": (lambda number: f"n{number}", _no_lending),
    "each node has it all": (
        lambda number: f"n{number}",
        _whole_quota_everywhere,
    ),
    "one owner for all": (lambda number: "all", contextlib.nullcontext),
    "an owner in each zone": (None, _no_lending),
    "the same, and lending": (None, contextlib.nullcontext),
}


def _usual_load():
    return quotas_tests.skewed_traffic(20)


def _one_zone():
    quota = quotas.Quota(32, 32)
    item = loads.Traffic("w", 20, quota, zone=2)
    return [item, *quotas_tests.skewed_traffic(5)]


def _one_busy_workspace():
    first, *rest = quotas_tests.skewed_traffic(12)
    busy = loads.Traffic(
        first.workspace,
        first.per_second,
        first.quota,
        peak=(4, 12),
        peak_factor=7.5,
    )
    return [busy, *rest]


LOADS = {
    "usual": _usual_load,
    "all in one zone": _one_zone,
    "one at 7.5": _one_busy_workspace,
}


def main() -> None:
    """Prints a line for each method and load."""
    for load, traffic in LOADS.items():
        for method, (zones, patch) in METHODS.items():
            excess, refused, messages, requests = -1e9, 0.0, 0, 0
            admitted = 0
            for seed in SEEDS:
                with patch():
                    fleet = loads.Fleet(NODE_COUNT, traffic(), seed, zones)
                    fleet.run(SECONDS)
                for name, outcome in fleet.outcomes.items():
                    quota = fleet.quotas[name]
                    excess = max(excess, outcome.excess(quota))
                    share = outcome.refused_share(quota)
                    refused += (
                        share * len(outcome.admissions) / max(1e-9, 1 - share)
                    )
                    admitted += len(outcome.admissions)
                messages += fleet.message_count
                requests += fleet.request_count
            print(
                f"{load:16} {method:22} excess {excess:7.1f}"
                f"  refused {refused / (admitted + refused):6.3f}"
                f"  messages a request {messages / requests:5.2f}"
            )


if __name__ == "__main__":
    main()
