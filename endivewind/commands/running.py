"""What every binary does around its work: flags, help, event loop, errors."""

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
from endivewind import names

EXIT_CODES = """exit codes:
  0  done
  1  failed: what was asked for did not come about
  2  the command line or an input file is wrong; nothing was done
  3  the platform or a node did not answer"""

_HELP = frozenset({"-h", "-help", "--help"})


class Command(Protocol):
    """What a command's module offers; its docstring is the help text."""

    USAGE: str
    __doc__: str | None
    __name__: str

    def main(self, arguments: list[str]) -> int:
        """Runs the command; returns the exit code."""


@dataclasses.dataclass(frozen=True, slots=True)
class Binary:
    """A console script with one module for each command.

    A command's module is imported only when it is asked for, so that no
    command takes the flags of another.

    Attributes:
      name: as it is called.
      summary: one sentence for --help.
      prefix: module path of a command without the command's name.
      commands: names of the commands.
    """

    name: str
    summary: str
    prefix: str
    commands: tuple[str, ...]

    def run(self) -> None:
        """Entry point of the console script."""
        sys.exit(self.main(sys.argv[1:]))

    def main(self, arguments: list[str]) -> int:
        """Runs the command that the arguments name; returns the exit code."""
        return guarded(lambda: self._main(arguments))

    def _main(self, arguments: list[str]) -> int:
        command = next(
            (item for item in arguments if not item.startswith("-")), None
        )
        if command is None and _HELP & set(arguments):
            print(self._help())
            return 0
        if command is None:
            raise exceptions.UsageError("no command\n" + self._usage())
        if command not in self.commands:
            hint = names.suggest(command, self.commands)
            raise exceptions.UsageError(
                f"unknown command {command!r}{hint}\n{self._usage()}"
            )
        module = self._module(command)
        if _HELP & set(arguments):
            print(help_text(f"{self.name} {module.USAGE}", module))
            return 0
        rest = parse(f"{self.name} {command}", arguments)
        rest.remove(command)
        return module.main(rest)

    def _module(self, command: str) -> Command:
        found: Command = importlib.import_module(self.prefix + command)
        return found

    def _usage(self) -> str:
        commands = "|".join(self.commands)
        return f"usage: {self.name} {commands} ... (--help tells more)"

    def _help(self) -> str:
        lines = [self.summary, "", "commands:"]
        for command in self.commands:
            module = self._module(command)
            lines.append(f"  {self.name} {module.USAGE}")
            lines.append(f"      {_summary(module)}")
        lines.append("")
        lines.append(f"{self.name} COMMAND --help shows a command's flags.")
        return "\n".join([*lines, "", EXIT_CODES])


def single(usage: str, module: Command) -> None:
    """Entry point of a binary whose flags are all in one module."""
    arguments = sys.argv[1:]

    def work() -> int:
        if _HELP & set(arguments):
            print(help_text(usage, module))
            return 0
        return module.main(parse(usage.split()[0], arguments))

    sys.exit(guarded(work))


def guarded(work: collections.abc.Callable[[], int]) -> int:
    """Runs work; an EndivewindError prints without a traceback."""
    try:
        return work()
    except exceptions.EndivewindError as error:
        _report(error)
        return error.exit_code


def parse(name: str, arguments: list[str]) -> list[str]:
    """Sets the flags and returns the arguments that are none."""
    try:
        return list(flags.FLAGS([name, *arguments]))[1:]
    except flags.Error as error:
        message = str(error).replace(" ?", "?")
        raise exceptions.UsageError(
            f"{message}\n{name} --help lists the flags"
        ) from error


def help_text(usage: str, module: Command) -> str:
    """Usage, description, flags and exit codes of a command."""
    lines = [f"usage: {usage}", "", (module.__doc__ or "").strip()]
    key_flags = flags.FLAGS.get_key_flags_for_module(module.__name__)
    if key_flags:
        lines += ["", "flags:"]
    for flag in sorted(key_flags, key=lambda item: item.name):
        default = f" (default: {flag.default})" if flag.default else ""
        lines.append(f"  --{flag.name}: {flag.help}{default}")
    return "\n".join([*lines, "", EXIT_CODES])


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


def on_hangup(call: collections.abc.Callable[[], None]) -> None:
    """Calls back on SIGHUP, which would else end the process."""
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, call)


def _summary(module: Command) -> str:
    first = (module.__doc__ or "").strip().splitlines()[0]
    return first.partition(": ")[2] or first


def _report(error: exceptions.EndivewindError) -> None:
    if "format" in flags.FLAGS and flags.FLAGS["format"].value == "json":
        value = {
            "error": str(error),
            "exit_code": error.exit_code,
            "findings": [item.as_json() for item in error.findings],
        }
        print(json.dumps(value))
        return
    print(error, file=sys.stderr)
