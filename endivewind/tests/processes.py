"""Starts the binaries as processes, for end-to-end tests.

Tests wait for log lines instead of sleeping.
"""

import asyncio
import collections.abc
import contextlib
import json
import pathlib
import signal
import tempfile
from typing import Any

import yaml

from endivewind.commands import children

TIMEOUT_SECONDS = 20
# Last log lines shown when an expected line does not appear.
MAX_NOTED_LINES = 40
# Outgoing connections use 127.0.0.1 and may occupy the port of a process that
# is being restarted. Listening on a separate address avoids such conflicts.
LISTEN_ADDRESS = "127.0.0.2"
_ANY_PORT = f"{LISTEN_ADDRESS}:0"


class Process:
    """One started binary and its log lines.

    One task reads all lines, so that several waiters can run concurrently and
    the process never blocks on a full pipe.
    """

    def __init__(self, name: str, child: asyncio.subprocess.Process) -> None:
        self.name = name
        self.child = child
        self.listening_line: dict[str, Any] = {}
        self._lines: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._is_closed = False
        self._read_task = asyncio.create_task(self._read())

    @property
    def lines(self) -> list[dict[str, Any]]:
        """The log lines read so far."""
        return self._lines

    def line_count(self) -> int:
        """Returns the number of lines read so far, as a start for a search."""
        return len(self._lines)

    async def wait_for_line(
        self,
        matches: collections.abc.Callable[[dict[str, Any]], bool],
        start: int = 0,
    ) -> dict[str, Any]:
        """Waits for a log line; lines that were already read count too.

        Args:
          matches: whether a line is the expected one.
          start: the number of lines to skip, from `line_count`.

        Raises:
          TimeoutError: no line matched; a note holds the last lines read.
          EOFError: the process ended without a matching line.
        """
        try:
            return await self._find_line(matches, start)
        except TimeoutError as error:
            last = "\n".join(
                str(line) for line in self._lines[-MAX_NOTED_LINES:]
            )
            error.add_note(f"last lines of {self.name}:\n{last}")
            raise

    async def _find_line(
        self,
        matches: collections.abc.Callable[[dict[str, Any]], bool],
        start: int,
    ) -> dict[str, Any]:
        checked = start
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while True:
                changed = self._changed
                for line in self._lines[checked:]:
                    if matches(line):
                        return line
                checked = len(self._lines)
                if self._is_closed:
                    raise EOFError(
                        f"{self.name} ended; last lines: {self._lines[-3:]}"
                    )
                await changed.wait()

    async def wait_for_message(
        self, message: str, **fields: Any
    ) -> dict[str, Any]:
        """Waits for a log line with the given message and fields."""
        return await self.wait_for_line(
            lambda line: (
                line.get("message") == message
                and all(line.get(key) == value for key, value in fields.items())
            )
        )

    def kill(self) -> None:
        """Kills the process, as a crash of its VM would."""
        self.child.kill()

    def pause(self) -> None:
        """Suspends the process."""
        self.child.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a suspended process."""
        self.child.send_signal(signal.SIGCONT)

    async def stop(self) -> int:
        """Requests a graceful shutdown; returns the exit code."""
        if self.child.returncode is None:
            self.child.terminate()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self._read_task
            return await self.child.wait()

    async def kill_and_wait(self) -> None:
        """Kills the process if it is still running, and waits for its end."""
        if self.child.returncode is None:
            self.child.kill()
        await self.child.wait()
        await self._read_task

    async def _read(self) -> None:
        while raw := await self.child.stdout.readline():
            try:
                line = json.loads(raw)
            except ValueError:
                line = {"message": raw.decode()}
            self._lines.append(line)
            self._notify()
        self._is_closed = True
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class Fleet:
    """A platform stand-in, nodes and targets, each as a process."""

    def __init__(self) -> None:
        self._stack = contextlib.AsyncExitStack()
        self._directory = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.platform: Process
        self.nodes: dict[str, Process] = {}
        self.targets: dict[str, Process] = {}

    async def __aenter__(self) -> "Fleet":
        self.platform = await self._start_process(
            "platform", "standin", "platform", f"--address={LISTEN_ADDRESS}"
        )
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._stack.aclose()

    @property
    def platform_url(self) -> str:
        """URL of the platform stand-in."""
        return "http://" + self.platform.listening_line["address"]

    async def start_node(
        self, name: str, zone: str = "andina-a", **settings: Any
    ) -> Process:
        """Starts a node."""
        values = {
            "name": name,
            "region": zone.rpartition("-")[0],
            "zone": zone,
            "platform": self.platform_url,
            "callers": _ANY_PORT,
            "targets": _ANY_PORT,
            "nodes": _ANY_PORT,
            "log_level": "debug",
            **settings,
        }
        file = self._directory / f"{name}.yaml"
        file.write_text(yaml.safe_dump(values))
        process = await self._start_process(name, "node", f"--settings={file}")
        self.nodes[name] = process
        return process

    async def start_target(
        self, name: str, service: str, nodes: list[Process], address: str = ""
    ) -> Process:
        """Starts a target and waits until the first node has registered it.

        Args:
          name: its id.
          service: its service.
          nodes: the nodes that it announces itself to, preferred first.
          address: the host and port that it listens at; any port if empty.
        """
        host, _, port = (address or _ANY_PORT).rpartition(":")
        addresses = ",".join(node.listening_line["targets"] for node in nodes)
        process = await self._start_process(
            name,
            "standin",
            "target",
            f"--name={name}",
            f"--service={service}",
            f"--nodes={addresses}",
            f"--address={host}",
            f"--port={port}",
        )
        self.targets[name] = process
        await nodes[0].wait_for_line(
            lambda line: name in line.get("targets", ())
        )
        return process

    async def submit(self, configuration: dict[str, Any]) -> dict[str, Any]:
        """Submits a configuration with `endivewind submit`."""
        file = self._directory / "configuration.yaml"
        file.write_text(yaml.safe_dump(configuration))
        return await self.run_command(
            "submit", str(file), f"--platform={self.platform_url}"
        )

    async def run_command(self, *arguments: str) -> Any:
        """Runs `endivewind` and returns its JSON output."""
        child = await children.spawn("main", *arguments, "--format=json")
        output, _ = await child.communicate()
        if child.returncode:
            raise AssertionError(f"exit {child.returncode}: {output.decode()}")
        return json.loads(output)

    async def _start_process(self, name: str, *arguments: str) -> Process:
        process = Process(name, await children.spawn(*arguments))
        self._stack.push_async_callback(process.kill_and_wait)
        line = await process.wait_for_message("listening")
        process.listening_line = line
        return process
