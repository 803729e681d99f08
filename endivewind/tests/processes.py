"""Starts the binaries as processes, for tests that need real ones.

Tests wait for log lines, never for time to pass.
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

WAIT_SECONDS = 20
# Lines of a process's log that a failure to see one shows.
LINES_NOTED = 40
# Connections leave from 127.0.0.1. A process that comes back at its old port
# would find it taken by one of them now and then; at an address of their own
# the processes that listen meet no such port.
ADDRESS = "127.0.0.2"
_ANY_PORT = f"{ADDRESS}:0"


class Process:
    """One started binary and its log lines.

    One task reads all lines, so that several tests may wait for lines at once
    and a process never stands still before a full pipe.
    """

    def __init__(self, name: str, child: asyncio.subprocess.Process) -> None:
        self.name = name
        self.child = child
        self.listening: dict[str, Any] = {}
        self._seen: list[dict[str, Any]] = []
        self._news = asyncio.Event()
        self._ended = False
        self._reader = asyncio.create_task(self._read())

    @property
    def seen(self) -> list[dict[str, Any]]:
        """Log lines read so far."""
        return self._seen

    def mark(self) -> int:
        """A place in the log: the lines read so far."""
        return len(self._seen)

    async def line(
        self,
        wanted: collections.abc.Callable[[dict[str, Any]], bool],
        since: int = 0,
    ) -> dict[str, Any]:
        """Waits for a log line, one read since a mark included.

        Raises:
          TimeoutError: it did not come; a note holds the last lines that did.
          EOFError: the process ended without it.
        """
        try:
            return await self._wait(wanted, since)
        except TimeoutError as error:
            last = "\n".join(str(line) for line in self._seen[-LINES_NOTED:])
            error.add_note(f"the last lines of {self.name}:\n{last}")
            raise

    async def _wait(
        self,
        wanted: collections.abc.Callable[[dict[str, Any]], bool],
        since: int,
    ) -> dict[str, Any]:
        checked = since
        async with asyncio.timeout(WAIT_SECONDS):
            while True:
                news = self._news
                for line in self._seen[checked:]:
                    if wanted(line):
                        return line
                checked = len(self._seen)
                if self._ended:
                    raise EOFError(f"{self.name} ended; {self._seen[-3:]}")
                await news.wait()

    async def message(self, message: str, **fields: Any) -> dict[str, Any]:
        """Waits for a log line with a message and fields."""
        return await self.line(
            lambda line: (
                line.get("message") == message
                and all(line.get(key) == value for key, value in fields.items())
            )
        )

    def kill(self) -> None:
        """Ends it at once, as a crash of its VM would."""
        self.child.kill()

    def pause(self) -> None:
        """Stops it without ending it."""
        self.child.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets a paused process go on."""
        self.child.send_signal(signal.SIGCONT)

    async def stop(self) -> int:
        """Asks for a planned stop; returns the exit code."""
        if self.child.returncode is None:
            self.child.terminate()
        async with asyncio.timeout(WAIT_SECONDS):
            await self._reader
            return await self.child.wait()

    async def end(self) -> None:
        """Ends it if it still runs."""
        if self.child.returncode is None:
            self.child.kill()
        await self.child.wait()
        await self._reader

    async def _read(self) -> None:
        while raw := await self.child.stdout.readline():
            try:
                line = json.loads(raw)
            except ValueError:
                line = {"message": raw.decode()}
            self._seen.append(line)
            self._tell()
        self._ended = True
        self._tell()

    def _tell(self) -> None:
        self._news.set()
        self._news = asyncio.Event()


class Fleet:
    """A platform stand-in, nodes and targets, all as processes."""

    def __init__(self) -> None:
        self._stack = contextlib.AsyncExitStack()
        self._folder = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.platform: Process
        self.nodes: dict[str, Process] = {}
        self.targets: dict[str, Process] = {}

    async def __aenter__(self) -> "Fleet":
        self.platform = await self._start(
            "platform", "standin", "platform", f"--address={ADDRESS}"
        )
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._stack.aclose()

    @property
    def platform_url(self) -> str:
        """URL of the platform stand-in."""
        return "http://" + self.platform.listening["address"]

    async def node(
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
        file = self._folder / f"{name}.yaml"
        file.write_text(yaml.safe_dump(values))
        process = await self._start(name, "node", f"--settings={file}")
        self.nodes[name] = process
        return process

    async def target(
        self, name: str, service: str, nodes: list[Process]
    ) -> Process:
        """Starts a target and waits until a node holds it."""
        addresses = ",".join(node.listening["targets"] for node in nodes)
        process = await self._start(
            name,
            "standin",
            "target",
            f"--name={name}",
            f"--service={service}",
            f"--nodes={addresses}",
        )
        self.targets[name] = process
        await nodes[0].line(lambda line: name in line.get("targets", ()))
        return process

    async def submit(self, configuration: dict[str, Any]) -> dict[str, Any]:
        """Submits a configuration by the command line."""
        file = self._folder / "configuration.yaml"
        file.write_text(yaml.safe_dump(configuration))
        return await self.command(
            "submit", str(file), f"--platform={self.platform_url}"
        )

    async def command(self, *arguments: str) -> Any:
        """Runs `endivewind` and returns its JSON output."""
        child = await children.spawn("main", *arguments, "--format=json")
        output, _ = await child.communicate()
        if child.returncode:
            raise AssertionError(f"exit {child.returncode}: {output.decode()}")
        return json.loads(output)

    async def _start(self, name: str, *arguments: str) -> Process:
        process = Process(name, await children.spawn(*arguments))
        self._stack.push_async_callback(process.end)
        line = await process.message("listening")
        process.listening = line
        return process
