"""Hedged requests: picks the response of several concurrent attempts.

The gateway sends a slow request to a second target and uses the first
successful response.
"""

import asyncio

from endivewind.callers import routed_request


async def first_success(
    tasks: set[asyncio.Task[routed_request.ResponseResult]],
) -> routed_request.ResponseResult:
    """Returns the first successful result, or the last one if all failed."""
    pending = set(tasks)
    while True:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        results = [task.result() for task in done]
        for result in results:
            if (
                result.is_ok()
                and result.ok.status not in routed_request.FAILURE_STATUSES
            ):
                return result
        if not pending:
            return results[-1]


async def cancel_all(
    tasks: set[asyncio.Task[routed_request.ResponseResult]],
) -> None:
    """Cancels the attempts still running, so that their targets stop too."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
