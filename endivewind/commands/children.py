"""Child processes of benchmarks and soak runs: nodes and stand-ins.

Only endivewind-bench starts processes; no other part of endivewind does.
"""

import asyncio
import collections.abc
import contextlib
import json
import pathlib
import socket
import sys
import tempfile
from typing import Any

import yaml

from endivewind import exceptions

_START_TIMEOUT_SECONDS = 20
# A line of the debug log may list hundreds of targets.
MAX_LINE_BYTES = 1_048_576


@contextlib.contextmanager
def reserved_address(host: str) -> collections.abc.Iterator[str]:
    """Reserves an address for a process whose port others must know before.

    Until the context ends, the system gives the port to no other socket that
    binds or connects. Listeners with SO_REUSEADDR may bind it.

    Args:
      host: address of this machine.
    """
    with socket.socket() as reservation:
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reservation.bind((host, 0))
        yield f"{host}:{reservation.getsockname()[1]}"


class ChildProcess:
    """One child process.

    Attributes:
      listening_line: its log line "listening", with the bound addresses.
    """

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self._name = name
        self._process = process
        self.listening_line: dict[str, Any] = {}
        self._reader: asyncio.Task[None] | None = None
        self._reading = asyncio.Lock()

    async def wait_for_line(
        self, matches: collections.abc.Callable[[dict[str, Any]], bool]
    ) -> dict[str, Any]:
        """Reads log lines until one matches.

        Args:
          matches: predicate on a log line.

        Raises:
          exceptions.EndivewindError: no line matched in time.
        """
        output = self._process.stdout
        assert output is not None
        try:
            async with (
                asyncio.timeout(_START_TIMEOUT_SECONDS),
                self._reading,
            ):
                while raw := await output.readline():
                    line: dict[str, Any] = json.loads(raw)
                    if matches(line):
                        return line
        except TimeoutError:
            pass
        raise exceptions.EndivewindError(f"{self._name} did not start")

    def ignore_output(self) -> None:
        """Discards further output, so that the process never blocks on it."""
        self.follow(lambda line: None)

    def follow(
        self, handle_line: collections.abc.Callable[[dict[str, Any]], None]
    ) -> None:
        """Passes every further log line to a callback until the exit."""
        self._reader = asyncio.create_task(self._read_lines(handle_line))

    @property
    def pid(self) -> int:
        """The id of the process."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited yet."""
        return self._process.returncode is None

    def send_signal(self, number: int) -> None:
        """Sends a signal to this process, unless it has exited."""
        if self.is_running:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Waits until the process exits; returns the exit code."""
        code = await self._process.wait()
        if self._reader is not None:
            await self._reader
        return code

    async def stop(self) -> None:
        """Sends SIGTERM and waits until the process exits."""
        if self._process.returncode is None:
            self._process.terminate()
        if self._reader is None:
            self.ignore_output()
        await self._process.wait()
        if self._reader is not None:
            await self._reader

    async def _read_lines(
        self, handle_line: collections.abc.Callable[[dict[str, Any]], None]
    ) -> None:
        output = self._process.stdout
        assert output is not None
        async with self._reading:
            while raw := await output.readline():
                try:
                    line = json.loads(raw)
                except ValueError:
                    line = {"message": raw.decode(errors="replace")}
                handle_line(line)


class ChildProcesses:
    """Starts child processes and stops them all on exit of the context."""

    def __init__(self) -> None:
        self._stack = contextlib.AsyncExitStack()
        self._folder = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )

    async def __aenter__(self) -> "ChildProcesses":
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._stack.aclose()

    async def start(
        self,
        name: str,
        program_module: str,
        *arguments: str,
        checkout: pathlib.Path | None = None,
        preparation: str = "",
    ) -> ChildProcess:
        """Starts a program and waits until it listens.

        Args:
          name: name in error messages.
          program_module: name of the program's module in commands/.
          *arguments: arguments of the program.
          checkout: folder whose code it runs; None runs the code of this
            process.
          preparation: Python code that the process runs before the program.
        """
        process = await spawn(
            program_module,
            *arguments,
            checkout=checkout,
            preparation=preparation,
        )
        child = ChildProcess(name, process)
        self._stack.push_async_callback(child.stop)
        child.listening_line = await child.wait_for_line(
            lambda line: line.get("message") == "listening"
        )
        return child

    def write_settings(self, settings: dict[str, Any]) -> pathlib.Path:
        """Writes or overwrites a node's settings file; returns its path."""
        file = self._folder / f"{settings['name']}.yaml"
        file.write_text(yaml.safe_dump(settings))
        return file

    async def start_node(
        self,
        settings: dict[str, Any],
        checkout: pathlib.Path | None = None,
        preparation: str = "",
    ) -> ChildProcess:
        """Starts a node with these settings; see `start` for the others."""
        file = self.write_settings(settings)
        return await self.start(
            settings["name"],
            "node",
            f"--settings={file}",
            checkout=checkout,
            preparation=preparation,
        )


async def spawn(
    program_module: str,
    *arguments: str,
    checkout: pathlib.Path | None = None,
    preparation: str = "",
) -> asyncio.subprocess.Process:
    """Starts a program by its module in commands/, with piped output."""
    code = (
        f"{preparation}\n"
        f"from endivewind.commands import {program_module}; {program_module}.run()"
    )
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        code,
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        limit=MAX_LINE_BYTES,
        # With -c, Python imports from the working directory first.
        cwd=checkout,
    )


async def run_json_command(program_module: str, *arguments: str) -> Any:
    """Runs a program until it exits and returns its JSON output."""
    process = await spawn(program_module, *arguments)
    output, _ = await process.communicate()
    if process.returncode:
        raise exceptions.EndivewindError(
            f"{program_module} exited with code {process.returncode}"
        )
    return json.loads(output)
