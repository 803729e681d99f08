"""What every binary does around its work: flags, event loop, errors."""

import asyncio
import collections.abc
import signal
import sys

from absl import app
import uvloop

from endivewind import exceptions

Main = collections.abc.Callable[[list[str]], int]


def binary(main: Main) -> None:
    """Runs a binary; an EndivewindError prints without a traceback."""

    def guarded(arguments: list[str]) -> int:
        try:
            return main(arguments)
        except exceptions.EndivewindError as error:
            print(error, file=sys.stderr)
            return error.exit_code

    app.run(guarded)


def loop(work: collections.abc.Coroutine[object, object, int]) -> int:
    """Runs a coroutine on uvloop."""
    return uvloop.run(work)


async def until_signal() -> None:
    """Waits for SIGTERM or SIGINT: a planned stop."""
    stop = asyncio.Event()
    running = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        running.add_signal_handler(number, stop.set)
    await stop.wait()
