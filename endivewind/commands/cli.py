"""Shared parts of the binaries: flags, help, event loop and error output.

A binary is either a `Binary`, with one module for each command, or a single
command started by `run_single_command`.
"""

import asyncio
import collections.abc
import dataclasses
import importlib
import json
import signal
import sys
from typing import Protocol

from absl import flags
import uvloop

from endivewind import exceptions
from endivewind import spelling

EXIT_CODES = """exit codes:
  0  success
  1  the command failed
  2  the command line or an input file is invalid; nothing was changed
  3  the platform or a node did not respond"""

_HELP = frozenset({"-h", "-help", "--help"})


class Command(Protocol):
    """Interface of a command's module; its docstring is the help text."""

    USAGE: str
    __doc__: str | None
    __name__: str

    def main(self, arguments: list[str]) -> int:
        """Runs the command; returns the exit code."""


@dataclasses.dataclass(frozen=True, slots=True)
class Binary:
    """A console script with one module for each command.

    A command's module is imported only when it is needed, so that a command
    does not accept the flags of another one.

    Attributes:
      name: name of the script.
      summary: one sentence for --help.
      module_prefix: module path of the commands, up to the command's name.
      commands: names of the commands.
    """

    name: str
    summary: str
    module_prefix: str
    commands: tuple[str, ...]

    def run(self) -> None:
        """Entry point of the console script."""
        sys.exit(self.main(sys.argv[1:]))

    def main(self, arguments: list[str]) -> int:
        """Runs the command named in the arguments; returns the exit code."""
        return run_guarded(lambda: self._dispatch(arguments))

    def _dispatch(self, arguments: list[str]) -> int:
        command = next(
            (item for item in arguments if not item.startswith("-")), None
        )
        if command is None and _HELP & set(arguments):
            print(self._format_overview())
            return 0
        if command is None:
            raise exceptions.UsageError(
                "no command given\n" + self._usage_line()
            )
        if command not in self.commands:
            hint = spelling.did_you_mean(command, self.commands)
            raise exceptions.UsageError(
                f"unknown command {command!r}{hint}\n{self._usage_line()}"
            )
        module = self._load_module(command)
        if _HELP & set(arguments):
            print(format_help(f"{self.name} {module.USAGE}", module))
            return 0
        remaining = parse_flags(f"{self.name} {command}", arguments)
        remaining.remove(command)
        return module.main(remaining)

    def _load_module(self, command: str) -> Command:
        found: Command = importlib.import_module(self.module_prefix + command)
        return found

    def _usage_line(self) -> str:
        commands = "|".join(self.commands)
        return f"usage: {self.name} {commands} ... (see --help)"

    def _format_overview(self) -> str:
        lines = [self.summary, "", "commands:"]
        for command in self.commands:
            module = self._load_module(command)
            lines.append(f"  {self.name} {module.USAGE}")
            lines.append(f"      {_summary_line(module)}")
        lines.append("")
        lines.append(
            f"{self.name} COMMAND --help lists the flags of a command."
        )
        return "\n".join([*lines, "", EXIT_CODES])


def run_single_command(usage: str, module: Command) -> None:
    """Entry point of a binary that consists of a single command."""
    arguments = sys.argv[1:]

    def run() -> int:
        if _HELP & set(arguments):
            print(format_help(usage, module))
            return 0
        return module.main(parse_flags(usage.split()[0], arguments))

    sys.exit(run_guarded(run))


def run_guarded(action: collections.abc.Callable[[], int]) -> int:
    """Runs an action and returns the exit code.

    An EndivewindError is printed without a traceback.
    """
    try:
        return action()
    except exceptions.EndivewindError as error:
        _print_error(error)
        return error.exit_code


def parse_flags(name: str, arguments: list[str]) -> list[str]:
    """Sets the flags and returns the positional arguments.

    Raises:
      UsageError: a flag is unknown or its value is not allowed.
    """
    try:
        return list(flags.FLAGS([name, *arguments]))[1:]
    except flags.Error as error:
        message = str(error).replace(" ?", "?")
        raise exceptions.UsageError(
            f"{message}\n{name} --help lists the flags"
        ) from error


def format_help(usage: str, module: Command) -> str:
    """Returns usage, description, flags and exit codes of a command."""
    lines = [f"usage: {usage}", "", (module.__doc__ or "").strip()]
    key_flags = flags.FLAGS.get_key_flags_for_module(module.__name__)
    if key_flags:
        lines += ["", "flags:"]
    for flag in sorted(key_flags, key=lambda item: item.name):
        default = f" (default: {flag.default})" if flag.default else ""
        lines.append(f"  --{flag.name}: {flag.help}{default}")
    return "\n".join([*lines, "", EXIT_CODES])


def run_async(coroutine: collections.abc.Coroutine[object, object, int]) -> int:
    """Runs a coroutine on uvloop and returns its exit code."""
    return uvloop.run(coroutine)


async def wait_for_stop_signal() -> None:
    """Waits for SIGTERM or SIGINT, which start a graceful shutdown."""
    stop = asyncio.Event()
    event_loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        event_loop.add_signal_handler(signal_number, stop.set)
    await stop.wait()


def add_hangup_handler(call: collections.abc.Callable[[], None]) -> None:
    """Calls back on SIGHUP, which by default ends the process."""
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, call)


def _summary_line(module: Command) -> str:
    first = (module.__doc__ or "").strip().splitlines()[0]
    return first.partition(": ")[2] or first


def _print_error(error: exceptions.EndivewindError) -> None:
    if "format" in flags.FLAGS and flags.FLAGS["format"].value == "json":
        value = {
            "error": str(error),
            "exit_code": error.exit_code,
            "findings": [item.as_json() for item in error.findings],
        }
        print(json.dumps(value))
        return
    print(error, file=sys.stderr)
