"""Delays that end on a common grid, so that periodic work shares wake-ups.

A node has several periodic tasks and a timer for each exchange. If each had a
phase of its own, a node without any traffic would wake up 40 times a second.
"""

import asyncio
import datetime

# Shortest delay, as a share of the interval. A delay that would be shorter is
# longer by one interval, so it is at most one and a half intervals long.
_MIN_DELAY_SHARE = 0.5


def aligned_delay(
    interval: datetime.timedelta, loop: asyncio.AbstractEventLoop
) -> float:
    """Returns the seconds until a multiple of an interval in the loop's time.

    The delay is between half of the interval and one and a half times it.
    """
    seconds = interval.total_seconds()
    elapsed = loop.time() % seconds
    delay = seconds - elapsed
    return delay if delay >= _MIN_DELAY_SHARE * seconds else delay + seconds


async def sleep(interval: datetime.timedelta) -> None:
    """Sleeps until a multiple of an interval in the loop's time."""
    await asyncio.sleep(aligned_delay(interval, asyncio.get_running_loop()))
