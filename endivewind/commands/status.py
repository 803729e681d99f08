"""endivewind status: shows nodes, versions in force and targets.

Asks each node at its operators' address. A node that does not answer is
listed with the reason, and the exit code is then 3.
"""

import asyncio
import collections.abc
from typing import Any

from absl import flags
import aiohttp

from endivewind import exceptions
from endivewind.commands import options
from endivewind.commands import running
from endivewind.commands import tables

USAGE = "status --operators=ADDRESS[,ADDRESS...]"

flags.declare_key_flag("operators")
flags.declare_key_flag("format")

_TIMEOUT_SECONDS = 3
_UNREACHABLE = exceptions.UnavailableError.exit_code

Status = dict[str, Any]


def main(arguments: list[str]) -> int:
    """Prints the status of every node asked."""
    if arguments or not options.OPERATORS.value:
        raise exceptions.UsageError(f"usage: endivewind {USAGE}")
    return running.loop(_status(options.OPERATORS.value))


async def _status(addresses: list[str]) -> int:
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        found = await asyncio.gather(
            *(_ask(session, address) for address in addresses)
        )
    options.show(found, text(found))
    return _UNREACHABLE if any("error" in item for item in found) else 0


async def _ask(session: aiohttp.ClientSession, address: str) -> Status:
    try:
        async with session.get(f"http://{address}/v1/status") as response:
            response.raise_for_status()
            status: Status = await response.json()
            return {"operators": address, **status}
    except (TimeoutError, aiohttp.ClientError, ValueError) as error:
        reason = str(error) or "no answer in time"
        return {"operators": address, "error": reason}


def text(found: collections.abc.Sequence[Status]) -> str:
    """The status of nodes for people."""
    answered = [item for item in found if "error" not in item]
    lines = [
        tables.table(
            ("NODE", "VERSION", "IN FLIGHT", "KNOWS NODES", "KNOWS TARGETS"),
            [
                (
                    item["node"],
                    item["version"],
                    item["in_flight"],
                    len(item["nodes"]),
                    len(item["targets"]),
                )
                for item in answered
            ],
        )
    ]
    targets = _own_targets(answered)
    if targets:
        lines += ["", _targets_table(targets)]
    lines += [
        f"{item['operators']} did not answer: {item['error']}"
        for item in found
        if "error" in item
    ]
    return "\n".join(lines)


def _own_targets(
    answered: collections.abc.Sequence[Status],
) -> list[Status]:
    """Each target once, as its home tells of it where the home was asked."""
    chosen: dict[str, Status] = {}
    for item in answered:
        for target in item["targets"]:
            if target["home"] == item["node"]:
                chosen[target["id"]] = target
            else:
                chosen.setdefault(target["id"], target)
    return [chosen[name] for name in sorted(chosen)]


def _targets_table(targets: list[Status]) -> str:
    return tables.table(
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
