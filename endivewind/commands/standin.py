"""endivewind-standin: runs a stand-in or load generator for tests.

The stand-ins are the platform, a target, a bare proxy hop and clients that
misbehave.

It runs until SIGTERM or SIGINT and logs JSON lines; the line "listening"
names the bound address.
"""

import asyncio
import contextlib
import json
import logging
import sys

from absl import flags
from aiohttp import web
import pydantic

from endivewind import exceptions
from endivewind import logs
from endivewind.commands import cli
from endivewind.standins import hop
from endivewind.standins import load_generator
from endivewind.standins import misbehaving_clients
from endivewind.standins import platform
from endivewind.standins import target

log = logging.getLogger(__name__)

_ADDRESS = flags.DEFINE_string("address", "127.0.0.1", "IP address to bind.")
_PORT = flags.DEFINE_integer("port", 0, "Port to bind; 0 selects a free port.")
_NAME = flags.DEFINE_string("name", "", "target: id of the target.")
_SERVICE = flags.DEFINE_string("service", "", "target: service of the target.")
_NODES = flags.DEFINE_list(
    "nodes", [], "target: node addresses to announce to, preferred first."
)

_NEXT = flags.DEFINE_string("next", "", "hop: URL to forward to.")
_URL = flags.DEFINE_string("url", "", "load: URL to send to.")
_HOST = flags.DEFINE_string("host", "", "load: Host header.")
_CONNECTIONS = flags.DEFINE_integer(
    "connections", 16, "load: number of busy connections if --rate=0."
)
_RATE = flags.DEFINE_float(
    "rate", 0, "load: requests per second; 0 is as many as possible."
)
_SECONDS = flags.DEFINE_float("seconds", 5, "load: duration in seconds.")
_CROWD = flags.DEFINE_string(
    "crowd", "", "clients: a misbehaving_clients.Crowd as a JSON object."
)

USAGE = "endivewind-standin platform|target|hop|load|clients [flags]"


def run() -> None:
    """Runs the console script."""
    cli.run_single_command(USAGE, sys.modules[__name__])


def main(arguments: list[str]) -> int:
    """Runs the stand-in named by the first argument."""
    match arguments:
        case ["platform"]:
            return cli.run_async(_run_platform())
        case ["target"]:
            if not (_NAME.value and _SERVICE.value and _NODES.value):
                raise exceptions.UsageError(
                    "a target needs --name, --service and --nodes"
                )
            return cli.run_async(_run_target())
        case ["hop"]:
            if not _NEXT.value:
                raise exceptions.UsageError("a hop needs --next")
            return cli.run_async(_run_hop())
        case ["load"]:
            if not _URL.value:
                raise exceptions.UsageError("load needs --url")
            return cli.run_async(_run_load())
        case ["clients"]:
            return cli.run_async(_run_clients(_parse_crowd(_CROWD.value)))
        case _:
            raise exceptions.UsageError(f"usage: {USAGE}")


async def _run_platform() -> int:
    store = platform.ObjectStore()
    await _serve(platform.PlatformStandin(store).make_application())
    await cli.wait_for_stop_signal()
    return 0


async def _run_target() -> int:
    standin = target.TargetStandin(_NAME.value, _SERVICE.value, _NODES.value)
    address = await _serve(standin.make_application())
    task = asyncio.create_task(standin.run_announcements(address))
    await cli.wait_for_stop_signal()
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    return 0


async def _run_hop() -> int:
    await _serve(hop.HopProxy(_NEXT.value).make_application())
    await cli.wait_for_stop_signal()
    return 0


async def _run_load() -> int:
    request = load_generator.Request(_URL.value, _HOST.value)
    samples = load_generator.Samples()
    seconds = _SECONDS.value
    async with load_generator.make_session() as session:
        if _RATE.value:
            await load_generator.send_at_rate(
                session, request, _RATE.value, seconds, samples
            )
            rate = len(samples.latencies) / seconds
        else:
            rate = await load_generator.saturate(
                session, request, _CONNECTIONS.value, seconds, samples
            )
    print(json.dumps(load_generator.summarize(samples, rate)))
    return 0


async def _run_clients(crowd: misbehaving_clients.Crowd) -> int:
    print(json.dumps(await crowd.run()))
    return 0


def _parse_crowd(text: str) -> misbehaving_clients.Crowd:
    try:
        return pydantic.TypeAdapter(misbehaving_clients.Crowd).validate_json(
            text
        )
    except pydantic.ValidationError as error:
        raise exceptions.UsageError(f"--crowd: {error}") from error


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
