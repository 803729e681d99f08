"""Case 7: a request that crashes its servers, and sends its body in chunks.

The request comes again every 1.5 s at one machine after the other, with the
same path, caller and body. Every server that begins to run it crashes, and is
back three seconds later. CHUNKS=0 sends the same body with a length instead.
"""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CHUNKS = os.environ.get("CHUNKS", "1") != "0"
ZONES = {"harbour": "coast", "quay": "coast"}
NODES = 6
BACK_SECONDS = 3.0
AGAIN_SECONDS = 1.5
SECONDS = 36.0
STABLE_SECONDS = 4.0
# The rule: more than three retries.
ALLOWED = 3
DEADLINE_MS = 5000
BODY = b"order 4711, share 12.50"


class Orders(standins.Server):
    """A server of orders; a deadly one crashes it."""

    crashes: list[float] = []
    arrivals: list[tuple[float, str]] = []
    lost = 0
    starts = 0
    is_down = False
    _open: set[asyncio.StreamWriter]

    async def start(self):
        self._open = set()
        await super().start()

    async def beat_once(self):
        return 0 if self.is_down else await super().beat_once()

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            while True:
                head = await standins.read_head(reader)
                if head is None:
                    break
                line, fields = head
                if "chunked" in fields.get("transfer-encoding", ""):
                    body = b""
                    while True:
                        size = int(await reader.readuntil(b"\r\n"), 16)
                        body += (await reader.readexactly(size + 2))[:-2]
                        if not size:
                            break
                else:
                    length = int(fields.get("content-length", "0"))
                    body = await reader.readexactly(length)
                if not await self._answer(line, fields, body, writer):
                    break
        except (OSError, EOFError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def respond(self, line, fields, body, writer):
        if line.startswith("POST /order/deadly "):
            self.arrivals.append((standins.now(), fields["x-attempt-id"]))
            if TROUBLE and body == BODY:
                asyncio.create_task(self._crash(fields["x-attempt-id"]))
                await asyncio.sleep(5)
                return False
        await asyncio.sleep(0.3)
        return await super().respond(line, fields, body, writer)

    async def _crash(self, attempt):
        self.crashes.append(standins.now())
        lost = self.busy - 1
        Orders.lost += lost
        self.record.write(
            f"{self.ident} crashes, crash {len(self.crashes)}, by {attempt};"
            f" {lost} other requests are lost with it"
        )
        self.is_down = True
        self._server.close()
        for writer in list(self._open):
            writer.transport.abort()
        await asyncio.sleep(BACK_SECONDS)
        self.starts += 1
        self.ident = f"{self.ident.partition('-r')[0]}-r{self.starts}"
        self.born = int(standins.time.time() * 1000)
        self.sequence = 0
        self._server = await asyncio.start_server(
            self._serve, self._ip, self._port
        )
        self.is_down = False
        await self.beat_once()


async def post(record, address, ident, path, body):
    """Sends one order; returns the status, or how it ended."""
    host, _, port = address.rpartition(":")
    framing = (
        "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
        % (len(body), body.decode())
        if CHUNKS
        else f"Content-Length: {len(body)}\r\n\r\n{body.decode()}"
    )
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(
                    f"POST {path} HTTP/1.1\r\nHost: shop.example\r\n"
                    f"X-Attempt-Id: {ident}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
                    f"{framing}".encode()
                )
                status, _, _ = await standins.read_answer(reader)
                end = str(status)
            finally:
                writer.close()
    except (OSError, EOFError) as error:
        end = type(error).__name__
    record.write(f"client {ident}: {end}")
    return end


async def main(fleet, record) -> int:
    await fleet.start_platform()
    servers = []
    for index in range(NODES):
        zone = ("harbour", "quay")[index % 2]
        node = fleet.add_node(
            f"node-{index}", f"127.0.0.{11 + index}", zone, ZONES, "orders"
        )
        ip, _, port = node["server"].rpartition(":")
        servers.append(
            Orders(record, f"i-{index}", "orders", zone, ip, int(port),
                   node["control"], slots=8)
        )
    await fleet.configure(
        1,
        [
            standins.route("/order/", "orders", "unsafe", timeout_s=5.0),
            standins.service("orders"),
            standins.LIMITS,
        ],
    )
    for name in fleet.nodes:
        await fleet.start_node(name)
    for server in servers:
        await server.start()
    for name in fleet.nodes:
        await fleet.wait_ready(name)
    await asyncio.sleep(5)
    nodes = list(fleet.nodes.values())
    tasks, ends = [], []
    begun = standins.now()
    number = 0
    again = begun

    async def usual(address, ident):
        ends.append(
            await post(record, address, ident, f"/order/{ident}", b"usual")
        )

    while standins.now() - begun < SECONDS:
        number += 1
        tasks.append(asyncio.create_task(
            usual(nodes[number % NODES]["callers"], f"u{number}")
        ))
        if standins.now() >= again:
            again += AGAIN_SECONDS
            address = nodes[number // 7 % NODES]["callers"]
            tasks.append(asyncio.create_task(
                post(record, address, f"deadly-{number}", "/order/deadly", BODY)
            ))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    crashes, arrivals = Orders.crashes, Orders.arrivals
    late = []
    if len(crashes) >= 3:
        late = [
            attempt for at, attempt in arrivals
            if at > crashes[2] + STABLE_SECONDS
        ]
    done = ends.count("200")
    record.write(f"usual orders done: {done} of {len(ends)}")
    record.write(f"usual orders lost with a server: {Orders.lost}")
    record.write(f"servers crashed: {len(crashes)}")
    record.write(
        f"it reached servers later than {STABLE_SECONDS} s after the third"
        f" crash: {len(late)} times; the rule allows {ALLOWED}"
    )
    if done < 100:
        return 2
    return 1 if len(late) > ALLOWED else 0


standins.run(main, FOLDER)
