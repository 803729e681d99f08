"""The binary endivewind: one module for each command beside this one."""

import collections.abc
import importlib
from typing import Protocol

from endivewind import exceptions
from endivewind.commands import running

COMMANDS = ("validate", "submit", "get", "status")


class Command(Protocol):
    """What a command's module offers."""

    USAGE: str

    def main(self, arguments: list[str]) -> int:
        """Runs the command; returns the exit code."""


def run() -> None:
    """Entry point of the console script."""
    modules = {name: _module(name) for name in COMMANDS}

    def main(arguments: list[str]) -> int:
        return _main(arguments[1:], modules)

    running.binary(main)


def _module(name: str) -> Command:
    found: Command = importlib.import_module(f"endivewind.commands.{name}")
    return found


def _main(
    arguments: list[str], modules: collections.abc.Mapping[str, Command]
) -> int:
    if not arguments or arguments[0] not in modules:
        lines = [f"  endivewind {module.USAGE}" for module in modules.values()]
        raise exceptions.UsageError("\n".join(["usage:", *lines]))
    return modules[arguments[0]].main(arguments[1:])
