"""Runs a payout at most once with the client library, whatever fails.

Usage: python examples/pay_once.py http://NODE [http://NODE...]
"""

import asyncio
import json
import sys

import aiohttp

from endivewind.callers import client


async def main(nodes: list[str]) -> int:
    """Sends one payout and prints its result."""
    async with aiohttp.ClientSession() as session:
        caller = client.Caller(session, nodes, workspace="boat-1")
        body = json.dumps({"trip": 7}).encode()
        reply = await caller.run_once("POST", "/payouts", body)
    if reply.outcome is None:
        print(f"the ledger answered {reply.status}: {reply.body.decode()}")
        return 0
    print(f"{reply.outcome}: {reply.body.decode() or 'no response'}")
    return 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main(sys.argv[1:])))
