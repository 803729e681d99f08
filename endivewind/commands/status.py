"""endivewind status: what nodes say of themselves and of targets."""

import asyncio
import json

from absl import flags
import aiohttp

from endivewind import exceptions
from endivewind.commands import options
from endivewind.commands import running

USAGE = "status --operators=ADDRESS[,ADDRESS...]"

_OPERATORS = flags.DEFINE_list(
    "operators", [], "Operators' addresses of the nodes to ask."
)
_TIMEOUT_SECONDS = 3


def main(arguments: list[str]) -> int:
    """Prints the status of every node asked."""
    if arguments or not _OPERATORS.value:
        raise exceptions.UsageError(f"usage: endivewind {USAGE}")
    return running.loop(_status(_OPERATORS.value))


async def _status(addresses: list[str]) -> int:
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        found = await asyncio.gather(
            *(_ask(session, address) for address in addresses)
        )
    options.show(found, json.dumps(found, indent=2))
    return 0


async def _ask(
    session: aiohttp.ClientSession, address: str
) -> dict[str, object]:
    try:
        async with session.get(f"http://{address}/v1/status") as response:
            status: dict[str, object] = await response.json()
            return status
    except (TimeoutError, aiohttp.ClientError) as error:
        raise exceptions.UnavailableError(f"{address}: {error}") from error
