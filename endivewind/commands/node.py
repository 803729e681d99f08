"""endivewind-node: the entry for callers and the home of targets.

Runs until SIGTERM or SIGINT, which begin a planned stop: work in flight ends
before the process does. SIGHUP, or a change of the settings file, makes it
take new settings. Logs are JSON lines on standard output; the line
"listening" names the addresses that were bound.
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
from endivewind.commands import running
from endivewind.config import base
from endivewind.config import following
from endivewind.config import settings

log = logging.getLogger(__name__)

_SETTINGS = flags.DEFINE_string(
    "settings", None, "YAML file with the settings of this node."
)


USAGE = "endivewind-node --settings=FILE"


def run() -> None:
    """Entry point of the console script."""
    running.single(USAGE, sys.modules[__name__])


def main(arguments: list[str]) -> int:
    """Runs a node until a planned stop."""
    if arguments or _SETTINGS.value is None:
        raise exceptions.UsageError(f"usage: {USAGE}")
    loaded = base.load_file(_SETTINGS.value, settings.NodeSettings)
    if loaded.is_error():
        raise exceptions.InvalidFileError(loaded.error)
    return running.loop(_run(_SETTINGS.value, loaded.ok.model))


async def _run(path: str, config: settings.NodeSettings) -> int:
    logs.configure(config.log_level, never_block=True)
    member = node.Node.from_settings(
        config, clocks.SystemClock(), random.Random()
    )
    try:
        addresses = await member.start()
    except OSError as error:
        raise exceptions.EndivewindError(f"can't listen: {error}") from error
    log.info("listening", extra=logs.fields(**dataclasses.asdict(addresses)))
    follower = following.SettingsFollower(path, member.reload)
    running.on_hangup(follower.look_now)
    following_task = asyncio.create_task(follower.run())
    await running.until_signal()
    following_task.cancel()
    await member.stop()
    log.info("stopped")
    return 0


if __name__ == "__main__":
    run()
