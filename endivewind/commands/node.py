"""endivewind-node: runs a node, which serves callers and manages targets.

SIGTERM or SIGINT starts a graceful shutdown: requests in flight complete
before the process exits. SIGHUP, or a change of the settings file, reloads
the settings. Logs are JSON lines on standard output; the message "listening"
lists the bound addresses.
"""

import importlib
import signal
import sys

from absl import flags

from endivewind import exceptions
from endivewind.commands import cli

_SETTINGS = flags.DEFINE_string(
    "settings", None, "YAML file with this node's settings."
)


USAGE = "endivewind-node --settings=FILE"


def run() -> None:
    """Entry point of the console script."""
    # SIGHUP ends a process that does not handle it. A change of the settings
    # during the start is found without it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    cli.run_single_command(USAGE, sys.modules[__name__])


def main(arguments: list[str]) -> int:
    """Runs a node until it is signalled to shut down."""
    if arguments or _SETTINGS.value is None:
        raise exceptions.UsageError(f"usage: {USAGE}")
    # Importing the node takes a second, so it must not precede run().
    runner = importlib.import_module("endivewind.commands.node_runner")
    return cli.run_async(runner.run(_SETTINGS.value))


if __name__ == "__main__":
    run()
