"""endivewind-node: runs a node, which serves callers and manages targets.

SIGTERM or SIGINT starts a graceful shutdown: requests in flight complete
before the process exits. SIGHUP, or a change of the settings file, reloads
the settings. Logs are JSON lines on standard output; the message "listening"
lists the bound addresses.
"""

import asyncio
import dataclasses
import logging
import random
import sys

from absl import flags

from endivewind import clock as clocks
from endivewind import exceptions
from endivewind import logs
from endivewind import node
from endivewind.commands import cli
from endivewind.config import base
from endivewind.config import settings
from endivewind.config import settings_reloader

log = logging.getLogger(__name__)

_SETTINGS = flags.DEFINE_string(
    "settings", None, "YAML file with this node's settings."
)


USAGE = "endivewind-node --settings=FILE"


def run() -> None:
    """Entry point of the console script."""
    cli.run_single_command(USAGE, sys.modules[__name__])


def main(arguments: list[str]) -> int:
    """Runs a node until it is signalled to shut down."""
    if arguments or _SETTINGS.value is None:
        raise exceptions.UsageError(f"usage: {USAGE}")
    loaded = base.load_file(_SETTINGS.value, settings.NodeSettings)
    if loaded.is_error():
        raise exceptions.InvalidFileError(loaded.error)
    return cli.run_async(_run_node(_SETTINGS.value, loaded.ok.model))


async def _run_node(path: str, node_settings: settings.NodeSettings) -> int:
    logs.configure(node_settings.log_level, never_block=True)
    running_node = node.Node.from_settings(
        node_settings, clocks.SystemClock(), random.Random()
    )
    try:
        addresses = await running_node.start()
    except OSError as error:
        raise exceptions.EndivewindError(f"can't listen: {error}") from error
    log.info("listening", extra=logs.fields(**dataclasses.asdict(addresses)))
    reloader = settings_reloader.SettingsReloader(path, running_node.reload)
    cli.add_hangup_handler(reloader.check_now)
    reload_task = asyncio.create_task(reloader.run())
    await cli.wait_for_stop_signal()
    reload_task.cancel()
    await running_node.stop()
    log.info("stopped")
    return 0


if __name__ == "__main__":
    run()
