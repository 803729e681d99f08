"""The binary endivewind-node."""

import dataclasses
import logging
import random

from absl import flags

from endivewind import clock as clocks
from endivewind import exceptions
from endivewind import logs
from endivewind import node
from endivewind.commands import running
from endivewind.config import base
from endivewind.config import settings

log = logging.getLogger(__name__)

_SETTINGS = flags.DEFINE_string(
    "settings", None, "YAML file with the settings of this node."
)


def run() -> None:
    """Entry point of the console script."""
    running.binary(_main)


def _main(arguments: list[str]) -> int:
    if _SETTINGS.value is None:
        raise exceptions.UsageError("endivewind-node needs --settings=FILE")
    loaded = base.load_file(_SETTINGS.value, settings.NodeSettings)
    if loaded.is_error():
        lines = "\n".join(str(finding) for finding in loaded.error)
        raise exceptions.UsageError(lines)
    return running.loop(_run(loaded.ok.model))


async def _run(config: settings.NodeSettings) -> int:
    logs.configure(config.log_level)
    member = node.Node.from_settings(
        config, clocks.SystemClock(), random.Random()
    )
    addresses = await member.start()
    log.info("listening", extra=logs.fields(**dataclasses.asdict(addresses)))
    await running.until_signal()
    await member.stop()
    log.info("stopped")
    return 0
