"""Case 8: answers that stop in the middle, at servers that hang.

Some of the servers hang in the middle of downloads that they have begun to
answer. The route's `timeout_s` passes, and the node says nothing.
"""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"harbour": "coast", "quay": "coast"}
TIMEOUT_SECONDS = 4.0
DEADLINE_MS = 12_000
LATE_SECONDS = 0.5
REQUESTS_PER_SECOND = 60
SECONDS = 6.5
SERVERS = 8
DOWNLOAD_BYTES = 90_000
# The share of its requests in which the faulty server hangs.
HANGS_PERCENT = 45


class Archive(standins.Server):
    """A server of downloads, which may hang in some of them."""

    is_faulty = False
    answered = 0

    async def respond(self, line, fields, body, writer):
        await asyncio.sleep(0.15)
        self.answered += 1
        attempt = fields["x-attempt-id"]
        whole = standins.response(
            200, attempt, b"d" * DOWNLOAD_BYTES, self.ident
        )
        if self.is_faulty and self.answered * HANGS_PERCENT % 100 < HANGS_PERCENT:
            self.record.write(f"{self.ident} hangs in {attempt}")
            writer.write(whole[: len(whole) // 2])
            await writer.drain()
            await asyncio.sleep(60)  # the script ends before
            return False
        writer.write(whole)
        await writer.drain()
        return True


async def send(record, address, ident, ends):
    """Sends one download; notes when and how it ended."""
    host, _, port = address.rpartition(":")
    started = standins.now()
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            writer.write(
                f"GET /archive/a HTTP/1.1\r\nHost: shop.example\r\n"
                f"X-Attempt-Id: {ident}\r\n"
                f"X-Deadline-Ms: {DEADLINE_MS}\r\n\r\n".encode()
            )
            status, _, _ = await standins.read_answer(reader)
            end = str(status)
    except TimeoutError:
        end = "nothing until the client's deadline"
    except (OSError, EOFError):
        end = "closed"
    finally:
        writer.close()
    ends[ident] = (standins.now() - started, end)
    record.write(f"client {ident}: {end} after {ends[ident][0]:.3f} s")


async def main(fleet, record) -> int:
    await fleet.start_platform()
    servers = []
    for index in range(SERVERS):
        zone = ("harbour", "quay")[index % 2]
        node = fleet.add_node(
            f"node-{index}", f"127.0.0.{11 + index}", zone, ZONES, "archive"
        )
        ip, _, port = node["server"].rpartition(":")
        servers.append(
            Archive(record, f"i-{index}", "archive", zone, ip, int(port),
                    node["control"], slots=16)
        )
    await fleet.configure(
        1,
        [
            standins.route(
                "/archive/", "archive", "download", timeout_s=TIMEOUT_SECONDS,
                target_latency_s=2.0,
            ),
            standins.service("archive"),
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
    servers[1].is_faulty = TROUBLE
    ends: dict[str, tuple[float, str]] = {}
    tasks = []
    nodes = list(fleet.nodes.values())
    for number in range(int(REQUESTS_PER_SECOND * SECONDS)):
        address = nodes[number % SERVERS]["callers"]
        tasks.append(
            asyncio.create_task(send(record, address, f"d{number}", ends))
        )
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)
    await asyncio.gather(*tasks)
    lasting = [item for item in ends.values() if item[0] > TIMEOUT_SECONDS]
    late = [
        item
        for item in lasting
        if item[0] > TIMEOUT_SECONDS + LATE_SECONDS
    ]
    whole = sum(end == "200" for _, end in ends.values())
    record.write(f"whole answers: {whole} of {len(ends)}")
    record.write(
        f"unanswered at timeout_s: {len(lasting)}; still so 0.5 s later:"
        f" {len(late)}"
    )
    if whole < 200:
        return 2
    return 1 if len(late) >= 8 and len(late) > len(lasting) / 4 else 0


standins.run(main, FOLDER)
