"""The binary endivewind-bench: one module for each measurement."""

import collections.abc
import importlib

from endivewind import exceptions
from endivewind.commands import main as commands
from endivewind.commands import running

MEASUREMENTS: tuple[str, ...] = ("spreading",)


def run() -> None:
    """Entry point of the console script."""
    modules = {name: _module(name) for name in MEASUREMENTS}

    def main(arguments: list[str]) -> int:
        return _main(arguments[1:], modules)

    running.binary(main)


def _module(name: str) -> commands.Command:
    path = f"endivewind.commands.bench_{name}"
    found: commands.Command = importlib.import_module(path)
    return found


def _main(
    arguments: list[str],
    modules: collections.abc.Mapping[str, commands.Command],
) -> int:
    if not arguments or arguments[0] not in modules:
        lines = [
            f"  endivewind-bench {module.USAGE}" for module in modules.values()
        ]
        raise exceptions.UsageError("\n".join(["usage:", *lines]))
    return modules[arguments[0]].main(arguments[1:])
