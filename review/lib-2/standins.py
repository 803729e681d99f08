"""Stand-ins for scripts of this review: servers, clients and the platform.

Standard library only. A stand-in server speaks what PROTOCOL.md says of
servers: it announces itself every `heartbeat_s`, echoes `X-Attempt-Id`, marks
each response with `X-Response-Stamp`, answers 421 if another instance is meant
and 503 with `X-Not-Executed` if it is full.
"""

import asyncio
import json
import os
import pathlib
import signal
import socket
import sys
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_SECONDS = 1.5
STARTED = time.monotonic()


def now() -> float:
    """Returns the seconds since the start of the script."""
    return time.monotonic() - STARTED


def free_ports(count: int) -> list[int]:
    """Returns TCP ports that are free on all loopback addresses now."""
    sockets = []
    for _ in range(count):
        opened = socket.socket()
        opened.bind(("127.0.0.1", 0))
        sockets.append(opened)
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


class Record:
    """The file `record.txt`: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Adds a line with the time."""
        print(f"{now():8.3f} {text}", file=self._file, flush=True)


def environment() -> dict[str, str]:
    """Returns the environment of the project's programs, as when deployed."""
    kept = ("PATH", "HOME", "LANG")
    values = {name: os.environ[name] for name in kept if name in os.environ}
    values["PYTHONPATH"] = os.pathsep.join(
        (str(REPOSITORY), str(REPOSITORY / "target" / "deps"))
    )
    values["PYTHONDONTWRITEBYTECODE"] = "1"
    return values


class Processes:
    """The processes that a script has started; ends them all."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self.running: dict[str, asyncio.subprocess.Process] = {}

    async def start(self, name: str, *command: str) -> None:
        """Starts a process, whose output goes to a file of its name."""
        with (self._folder / f"{name}.log").open("ab") as output:
            self.running[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                *command,
                cwd=REPOSITORY,
                env=environment(),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,
            )

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to one process."""
        self.running[name].send_signal(number)

    async def wait(self, name: str) -> int:
        """Waits for the end of one process and returns its exit code."""
        return await self.running.pop(name).wait()

    async def stop(self) -> None:
        """Ends all processes."""
        for process in self.running.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.running.values():
            await process.wait()


class Server:
    """A sound server beside one node.

    `respond` may be replaced: it gets the request's head and the writer, and
    returns whether the connection stays open.
    """

    def __init__(
        self,
        record: Record,
        ident: str,
        service: str,
        zone: str,
        ip: str,
        port: int,
        control: str,
        slots: int = 8,
    ) -> None:
        self.record = record
        self.ident = ident
        self.service = service
        self.zone = zone
        self.address = f"{ip}:{port}"
        self._ip, self._port = ip, port
        self._control = control
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.busy = 0
        self.runs: list[tuple[float, str, dict[str, str]]] = []
        self.acknowledged = 0
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listens and begins to announce itself."""
        self._server = await asyncio.start_server(
            self._serve, self._ip, self._port
        )
        self._task = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            await self.beat_once()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def beat_once(self) -> int:
        """Sends one heartbeat; returns the status, 0 for none."""
        self.sequence += 1
        body = {
            "address": self.address,
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "cold_remaining_s": 0,
            },
        }
        status = await call(
            self._control, "POST", f"/Instances.Heartbeat/{self.ident}", body
        )
        self.acknowledged += status == 200
        return status

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                length = int(fields.get("content-length", "0"))
                body = await reader.readexactly(length)
                if not await self._answer(line, fields, body, writer):
                    break
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _answer(
        self,
        line: str,
        fields: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        attempt = fields.get("x-attempt-id", "")
        if line.split()[1] == "/health":
            ident = f"X-Instance-Id: {self.ident}\r\n"
            writer.write(response(200, "", b"", self.ident, ident))
            return True
        if fields.get("x-expect-instance", self.ident) != self.ident:
            ident = f"X-Instance-Id: {self.ident}\r\n"
            writer.write(response(421, attempt, b"", self.ident, ident))
            return True
        if self.busy >= self.slots:
            shed = "X-Not-Executed: 1\r\n"
            writer.write(response(503, attempt, b"", self.ident, shed))
            return True
        self.busy += 1
        self.runs.append((now(), attempt, fields))
        self.record.write(f"{self.ident} runs {attempt} {line}")
        try:
            return await self.respond(line, fields, body, writer)
        finally:
            self.busy -= 1

    async def respond(
        self,
        line: str,
        fields: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Works for a moment and sends a whole answer."""
        await asyncio.sleep(0.05)
        attempt = fields["x-attempt-id"]
        writer.write(response(200, attempt, b"whole answer", self.ident))
        await writer.drain()
        return True


def response(
    status: int, attempt: str, body: bytes, ident: str, more: str = ""
) -> bytes:
    """Returns a response with a length and the server's stamp."""
    return (
        f"HTTP/1.1 {status} x\r\n"
        f"X-Attempt-Id: {attempt}\r\n"
        f"X-Response-Stamp: stamp.{ident}.{attempt}\r\n"
        f"{more}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Reads a head; returns its first line and fields, None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    line, *rest = data.decode("latin-1").split("\r\n")
    fields = {}
    for item in rest:
        name, colon, value = item.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return line, fields


async def read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    """Reads a whole answer.

    Raises:
      EOFError, OSError: the connection ended before.
    """
    head = await read_head(reader)
    if head is None:
        raise EOFError("no answer")
    line, fields = head
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
    else:
        length = int(fields.get("content-length", "0"))
        body = await reader.readexactly(length)
    return int(line.split()[1]), fields, body


async def call(
    address: str, method: str, path: str, value: object = None
) -> int:
    """Sends one call with a JSON body; returns the status, 0 for none."""
    host, _, port = address.rpartition(":")
    body = b"" if value is None else json.dumps(value).encode()
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                    "Content-Type: application/json\r\nConnection: close\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                status, _, _ = await read_answer(reader)
                return status
            finally:
                writer.close()
    except (OSError, EOFError, ValueError):
        return 0


class Fleet:
    """The platform's stand-in, and nodes with a server beside each."""

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.processes = Processes(folder)
        self.platform = ""
        self.nodes: dict[str, dict[str, str]] = {}

    async def start_platform(self) -> None:
        """Starts the project's own stand-in of the store."""
        port = free_ports(1)[0]
        self.platform = f"127.0.0.1:{port}"
        await self.processes.start(
            "platform",
            "-c",
            "from endivewind.commands import standin; standin.run()",
            "platform",
            f"--port={port}",
        )
        await self.until(lambda: call(self.platform, "GET", "/objects/config"))

    async def until(self, ask, seconds: float = 30.0) -> None:
        """Waits until a call answers 200.

        Raises:
          TimeoutError: it did not in time.
        """
        async with asyncio.timeout(seconds):
            while await ask() != 200:
                await asyncio.sleep(0.1)

    def add_node(
        self,
        name: str,
        ip: str,
        zone: str,
        zones: dict[str, str],
        service: str,
        **more: object,
    ) -> dict[str, str]:
        """Writes the settings of a node, as the deploy file's template."""
        callers, targets, ready, peers, operators, server = free_ports(6)
        node = {
            "ip": ip,
            "callers": f"{ip}:{callers}",
            "control": f"{ip}:{targets}",
            "ready": f"{ip}:{ready}",
            "server": f"{ip}:{server}",
            "zone": zone,
            "service": service,
            "settings": str(self.folder / f"{name}.json"),
        }
        settings = {
            "name": name,
            "region": zones[zone],
            "zone": zone,
            "zones": zones,
            "interface": "platform",
            "once": "request-id",
            "audit": "log",
            "platform": f"http://{self.platform}",
            "callers": node["callers"],
            "targets": node["control"],
            "readiness": node["ready"],
            "nodes": f"{ip}:{peers}",
            "operators": f"127.0.0.1:{operators}",
            "beside": {
                "service": service,
                "address": node["server"],
                "heartbeat_seconds": HEARTBEAT_SECONDS,
            },
            "fleet_limits": {
                "retry_share": 0.2,
                "retry_reserve": 62,
                "retry_window_seconds": 10.0,
                "floor_share": 0.7,
            },
            "propagation": {"bound_seconds": 2.5},
            "overload": {"inherited_priority": True, "memory_megabytes": 300},
            "limits": {"grace_seconds": 6.0, "notice_seconds": 2.5},
            "log_level": "info",
            **more,
        }
        pathlib.Path(node["settings"]).write_text(
            json.dumps(settings), encoding="utf-8"
        )
        self.nodes[name] = node
        return node

    async def start_node(self, name: str) -> None:
        """Starts a node with the command of the deploy file."""
        await self.processes.start(
            name,
            "-m",
            "endivewind.commands.node",
            f"--settings={self.nodes[name]['settings']}",
        )

    async def wait_ready(self, name: str) -> None:
        """Waits until a node says that it is ready."""
        ready = self.nodes[name]["ready"]
        await self.until(lambda: call(ready, "GET", "/ready"))

    async def configure(
        self, version: int, resources: list[object], revision: int = 0
    ) -> int:
        """Writes the configuration as the operator does."""
        metadata: dict[str, object] = {"name": "main"}
        spec = {"version": f"{version:08x}", "resources": resources}
        value = {"metadata": metadata, "spec": spec}
        if version == 1:
            status = await call(self.platform, "POST", "/objects/config", value)
        else:
            status = await call(
                self.platform, "PUT", "/objects/config/main", value
            )
        self.record.write(f"configuration {version} acknowledged: {status}")
        return status


def route(
    prefix: str, service: str, kind: str = "safe", **more: object
) -> dict[str, object]:
    """Returns a route of the configuration."""
    spec = {
        "host": "shop.example",
        "path_prefix": prefix,
        "route_type": kind,
        "service": service,
        "timeout_s": 8.0,
        "target_latency_s": 3.0,
        "priority": 1,
        "max_attempts": 3,
        **more,
    }
    return {
        "resource_type": "routes",
        "metadata": {"name": prefix.strip("/")},
        "spec": spec,
    }


def service(name: str) -> dict[str, object]:
    """Returns a service of the configuration."""
    spec = {"health_path": "/health", "max_connections": 330}
    return {
        "resource_type": "services",
        "metadata": {"name": name},
        "spec": spec,
    }


LIMITS = {
    "resource_type": "limits",
    "metadata": {"name": "limits"},
    "spec": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1048576,
        "header_timeout_s": 5.0,
        "idle_timeout_s": 30.0,
    },
}


def run(main, folder: pathlib.Path) -> None:
    """Runs a script; exits with 2 if it could not run."""
    import tempfile

    record = Record(folder / "record.txt")

    async def run_all() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            fleet = Fleet(pathlib.Path(temporary), record)
            try:
                async with asyncio.timeout(110):
                    return await main(fleet, record)
            except Exception as error:  # the case could not run
                record.write(f"could not run: {error!r}")
                for log in sorted(pathlib.Path(temporary).glob("*.log")):
                    for line in log.read_text().splitlines()[-5:]:
                        record.write(f"{log.name}: {line}")
                return 2
            finally:
                await fleet.processes.stop()

    sys.exit(asyncio.run(run_all()))
