"""Processes that a measurement starts: nodes and stand-ins.

Only endivewind-bench starts processes; no part of the product does.
"""

import asyncio
import collections.abc
import contextlib
import json
import pathlib
import sys
import tempfile
from typing import Any

import yaml

from endivewind import exceptions

_START_SECONDS = 20
# A debug line may name hundreds of targets.
MAX_LINE_BYTES = 1_048_576


class Child:
    """One started binary and what its line "listening" said."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self._name = name
        self._process = process
        self.listening: dict[str, Any] = {}
        self._drain: asyncio.Task[None] | None = None

    async def line(
        self, wanted: collections.abc.Callable[[dict[str, Any]], bool]
    ) -> dict[str, Any]:
        """Reads log lines up to one that is wanted."""
        output = self._process.stdout
        assert output is not None
        try:
            async with asyncio.timeout(_START_SECONDS):
                while raw := await output.readline():
                    line: dict[str, Any] = json.loads(raw)
                    if wanted(line):
                        return line
        except TimeoutError:
            pass
        raise exceptions.EndivewindError(f"{self._name} did not start")

    def ignore_output(self) -> None:
        """Reads on, so that the process never waits for its reader."""
        self.follow(lambda line: None)

    def follow(
        self, take: collections.abc.Callable[[dict[str, Any]], None]
    ) -> None:
        """Hands every further log line on until the process has ended."""
        self._drain = asyncio.create_task(self._read_on(take))

    @property
    def running(self) -> bool:
        """Whether the process has not ended yet."""
        return self._process.returncode is None

    def signal(self, number: int) -> None:
        """Sends a signal to this process alone; none where it has ended."""
        if self.running:
            self._process.send_signal(number)

    async def ended(self) -> int:
        """Waits for its end; returns the exit code."""
        code = await self._process.wait()
        if self._drain is not None:
            await self._drain
        return code

    async def end(self) -> None:
        """Stops the process as planned and waits for its end."""
        if self._process.returncode is None:
            self._process.terminate()
        if self._drain is None:
            self.ignore_output()
        await self._process.wait()
        if self._drain is not None:
            await self._drain

    async def _read_on(
        self, take: collections.abc.Callable[[dict[str, Any]], None]
    ) -> None:
        output = self._process.stdout
        assert output is not None
        while raw := await output.readline():
            try:
                line = json.loads(raw)
            except ValueError:
                line = {"message": raw.decode(errors="replace")}
            take(line)


class Children:
    """Starts binaries and ends every one of them at the end."""

    def __init__(self) -> None:
        self._stack = contextlib.AsyncExitStack()
        self._folder = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )

    async def __aenter__(self) -> "Children":
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._stack.aclose()

    async def start(
        self,
        name: str,
        binary: str,
        *arguments: str,
        checkout: pathlib.Path | None = None,
    ) -> Child:
        """Starts a binary and waits until it listens.

        Args:
          name: for errors.
          binary: its module in commands/.
          *arguments: for the binary.
          checkout: folder whose code it runs; that of this process if None.
        """
        process = await spawn(binary, *arguments, checkout=checkout)
        child = Child(name, process)
        self._stack.push_async_callback(child.end)
        child.listening = await child.line(
            lambda line: line.get("message") == "listening"
        )
        return child

    def write_settings(self, settings: dict[str, Any]) -> pathlib.Path:
        """Writes a node's settings file, or writes it anew."""
        file = self._folder / f"{settings['name']}.yaml"
        file.write_text(yaml.safe_dump(settings))
        return file

    async def node(
        self, settings: dict[str, Any], checkout: pathlib.Path | None = None
    ) -> Child:
        """Starts a node with settings of its own, from a checkout if given."""
        file = self.write_settings(settings)
        return await self.start(
            settings["name"], "node", f"--settings={file}", checkout=checkout
        )


async def spawn(
    binary: str, *arguments: str, checkout: pathlib.Path | None = None
) -> asyncio.subprocess.Process:
    """Starts a binary by its module in commands/; output is to be read."""
    code = f"from endivewind.commands import {binary}; {binary}.run()"
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        code,
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        limit=MAX_LINE_BYTES,
        # With -c, Python imports from its working directory first.
        cwd=checkout,
    )


async def output_of(binary: str, *arguments: str) -> Any:
    """Runs a binary to its end and returns its JSON output."""
    process = await spawn(binary, *arguments)
    output, _ = await process.communicate()
    if process.returncode:
        raise exceptions.EndivewindError(
            f"{binary} ended with {process.returncode}"
        )
    return json.loads(output)
