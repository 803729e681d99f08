"""endivewind-standin: plays the platform or a target, for trials and tests.

It runs until SIGTERM or SIGINT and logs JSON lines; the line "listening"
names the address that was bound.
"""

import asyncio
import contextlib
import logging
import sys

from absl import flags
from aiohttp import web

from endivewind import exceptions
from endivewind import logs
from endivewind.commands import running
from endivewind.standins import platform
from endivewind.standins import target

log = logging.getLogger(__name__)

_ADDRESS = flags.DEFINE_string("address", "127.0.0.1", "IP number to bind.")
_PORT = flags.DEFINE_integer("port", 0, "Port to bind; 0 takes a free one.")
_NAME = flags.DEFINE_string("name", "", "target: its id.")
_SERVICE = flags.DEFINE_string("service", "", "target: its service.")
_NODES = flags.DEFINE_list(
    "nodes", [], "target: addresses of nodes to announce to, best first."
)

USAGE = "endivewind-standin platform|target [flags]"


def run() -> None:
    """Entry point of the console script."""
    running.single(USAGE, sys.modules[__name__])


def main(arguments: list[str]) -> int:
    """Runs the stand-in that the first argument names."""
    match arguments:
        case ["platform"]:
            return running.loop(_platform())
        case ["target"]:
            if not (_NAME.value and _SERVICE.value and _NODES.value):
                raise exceptions.UsageError(
                    "a target needs --name, --service and --nodes"
                )
            return running.loop(_target())
        case _:
            raise exceptions.UsageError(f"usage: {USAGE}")


async def _platform() -> int:
    store = platform.ObjectStore()
    await _serve(platform.PlatformStandin(store).application())
    await running.until_signal()
    return 0


async def _target() -> int:
    standin = target.TargetStandin(_NAME.value, _SERVICE.value, _NODES.value)
    address = await _serve(standin.application())
    task = asyncio.create_task(standin.announce(address))
    await running.until_signal()
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    return 0


async def _serve(application: web.Application) -> str:
    logs.configure("info")
    runner = web.AppRunner(
        application, access_log=None, handler_cancellation=True
    )
    await runner.setup()
    site = web.TCPSite(runner, _ADDRESS.value, _PORT.value)
    await site.start()
    address = f"{_ADDRESS.value}:{runner.addresses[0][1]}"
    log.info("listening", extra=logs.fields(address=address))
    return address
