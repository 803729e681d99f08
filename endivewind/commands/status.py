"""endivewind status: shows nodes, their configuration versions and targets.

Queries each node at its operator address. Nodes that do not respond are
listed with the reason, and the exit code is then 3.
"""

import asyncio
import collections.abc
from typing import Any

from absl import flags
import aiohttp

from endivewind import exceptions
from endivewind.commands import cli
from endivewind.commands import options
from endivewind.commands import tables

USAGE = "status --operators=ADDRESS[,ADDRESS...]"

flags.declare_key_flag("operators")
flags.declare_key_flag("format")

_QUERY_TIMEOUT_SECONDS = 3
_UNAVAILABLE_EXIT_CODE = exceptions.UnavailableError.exit_code

NodeStatus = dict[str, Any]


def main(arguments: list[str]) -> int:
    """Prints the status of each node given by --operators."""
    if arguments or not options.OPERATORS.value:
        raise exceptions.UsageError(f"usage: endivewind {USAGE}")
    return cli.run_async(_print_status(options.OPERATORS.value))


async def _print_status(addresses: list[str]) -> int:
    timeout = aiohttp.ClientTimeout(total=_QUERY_TIMEOUT_SECONDS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        statuses = await asyncio.gather(
            *(_query_node(session, address) for address in addresses)
        )
    options.print_result(statuses, format_status(statuses))
    return (
        _UNAVAILABLE_EXIT_CODE
        if any("error" in item for item in statuses)
        else 0
    )


async def _query_node(
    session: aiohttp.ClientSession, address: str
) -> NodeStatus:
    try:
        async with session.get(f"http://{address}/v1/status") as response:
            response.raise_for_status()
            status: NodeStatus = await response.json()
            return {"operators": address, **status}
    except (TimeoutError, aiohttp.ClientError, ValueError) as error:
        reason = str(error) or "timed out"
        return {"operators": address, "error": reason}


def format_status(statuses: collections.abc.Sequence[NodeStatus]) -> str:
    """Formats the status of nodes for text output."""
    responding = [item for item in statuses if "error" not in item]
    lines = [
        tables.format_table(
            ("NODE", "VERSION", "IN FLIGHT", "KNOWS NODES", "KNOWS TARGETS"),
            [
                (
                    item["node"],
                    item["version"],
                    item["in_flight"],
                    len(item["nodes"]),
                    len(item["targets"]),
                )
                for item in responding
            ],
        )
    ]
    targets = _merge_targets(responding)
    if targets:
        lines += ["", _format_targets(targets)]
    if any(item.get("links") for item in responding):
        lines += ["", _format_links(responding)]
    lines += [
        f"{item['operators']} did not respond: {item['error']}"
        for item in statuses
        if "error" in item
    ]
    return "\n".join(lines)


def _merge_targets(
    responding: collections.abc.Sequence[NodeStatus],
) -> list[NodeStatus]:
    """Returns each target once, sorted by id.

    A target's home node has its current state, so the home's entry is
    preferred where the home was queried.
    """
    targets_by_id: dict[str, NodeStatus] = {}
    for item in responding:
        for target in item["targets"]:
            if target["home"] == item["node"]:
                targets_by_id[target["id"]] = target
            else:
                targets_by_id.setdefault(target["id"], target)
    return [targets_by_id[name] for name in sorted(targets_by_id)]


def _format_links(
    responding: collections.abc.Sequence[NodeStatus],
) -> str:
    """Returns a table of the links whose bytes nodes share."""
    return tables.format_table(
        ("NODE", "FROM", "TO", "CHARGED", "HELD", "DENIED", "OWNER"),
        [
            (
                item["node"],
                link["from_region"] or "-",
                link["to_region"] or "-",
                link["spent_bytes"],
                link["held_bytes"],
                link["denied"],
                "unreachable" if link["uses_equal_part"] else "-",
            )
            for item in responding
            for link in item.get("links", ())
        ],
    )


def _format_targets(targets: list[NodeStatus]) -> str:
    return tables.format_table(
        ("TARGET", "SERVICE", "HOME", "ZONE", "SLOTS", "STATE", "HEALTH")
        + ("REASON",),
        [
            (
                item["id"],
                item["service"],
                item["home"],
                item["zone"],
                item["slots"],
                item["state"],
                item["health"],
                item.get("reason") or "-",
            )
            for item in targets
        ],
    )
