"""Attempts of one request at two targets at once: whose answer counts."""

import asyncio

from endivewind.callers import routed


async def first_good(
    tasks: set[asyncio.Task[routed.AnswerResult]],
) -> routed.AnswerResult:
    """The first result that is no failure; the last one if all are."""
    waiting = set(tasks)
    while True:
        ended, waiting = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        results = [task.result() for task in ended]
        for result in results:
            if result.is_ok() and result.ok.status not in routed.FAILED_STATUS:
                return result
        if not waiting:
            return results[-1]


async def end(tasks: set[asyncio.Task[routed.AnswerResult]]) -> None:
    """Cancels what still runs, so that its target stops as well."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
