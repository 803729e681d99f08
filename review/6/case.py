"""Case 6: slots that are never given back.

Servers fail a portion of their requests, in spells of five seconds. Their error
answers come in chunks and somewhat late, so that the node has sent the request
to a second server by then. CHUNKS=0 sends the errors with a length instead.
"""

import asyncio
import collections
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NODES = 6
SLOTS = 3
# One server in each of six zones, as `zertifikat` has on vsp-punze-grown.
CHUNKS = os.environ.get("CHUNKS", "1") != "0"
ZONES = {
    f"zone-{index}": f"region-{index // 2}" for index in range(NODES)
}
WORK_SECONDS, ERROR_SECONDS = 0.5, 0.8
AIM_SECONDS = 1.0
DEADLINE_MS = 8000
PER_SECOND = 15
SECONDS = 62.0
# One server of six at a time (0.17), each in one spell only.
SPELLS = {0: 6.0, 2: 14.0, 4: 22.0}
SPELL_SECONDS = 5.0
FAILS_PERCENT = 90
SOUND_AFTER = 8.0
FLOOR_SHARE = 0.7
WINDOW = 2.0


class Grey(standins.Server):
    """A server that fails most of its requests in a spell."""

    is_failing = False
    answered = 0

    async def respond(self, line, fields, body, writer):
        attempt = fields["x-attempt-id"]
        if self.is_failing:
            self.answered += 1
            if self.answered * FAILS_PERCENT % 100 < FAILS_PERCENT:
                # As after a call that it needed has failed.
                await asyncio.sleep(ERROR_SECONDS)
                framing = (
                    "Transfer-Encoding: chunked\r\n\r\n5\r\nerror\r\n0\r\n\r\n"
                    if CHUNKS
                    else "Content-Length: 5\r\n\r\nerror"
                )
                writer.write(
                    f"HTTP/1.1 500 x\r\nX-Attempt-Id: {attempt}\r\n"
                    f"X-Response-Stamp: stamp.{self.ident}\r\n"
                    f"{framing}".encode()
                )
                await writer.drain()
                return True
        await asyncio.sleep(WORK_SECONDS)
        writer.write(standins.response(200, attempt, b"found", self.ident))
        await writer.drain()
        return True


async def look_up(record, address, ident, sent, ends):
    host, _, port = address.rpartition(":")
    sent[ident] = standins.now()
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(
                    f"GET /desk/x HTTP/1.1\r\nHost: shop.example\r\n"
                    f"X-Attempt-Id: {ident}\r\n"
                    f"X-Deadline-Ms: {DEADLINE_MS}\r\n\r\n".encode()
                )
                status, _, _ = await standins.read_answer(reader)
                ends[ident] = str(status)
            finally:
                writer.close()
    except TimeoutError:
        ends[ident] = "no answer"
    except (OSError, EOFError):
        ends[ident] = "closed"
    took = standins.now() - sent[ident]
    record.write(
        f"client {ident} sent at {sent[ident]:.3f}: {ends[ident]}"
        f" after {took:.3f} s"
    )


async def main(fleet, record) -> int:
    await fleet.start_platform()
    servers = []
    for index in range(NODES):
        node = fleet.add_node(
            f"node-{index}", f"127.0.0.{11 + index}", f"zone-{index}",
            ZONES, "desk",
        )
        ip, _, port = node["server"].rpartition(":")
        servers.append(
            Grey(record, f"i-{index}", "desk", node["zone"], ip, int(port),
                 node["control"], slots=SLOTS)
        )
    await fleet.configure(
        1,
        [
            standins.route("/desk/", "desk", target_latency_s=AIM_SECONDS),
            standins.service("desk"),
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
    sent, ends, tasks = {}, {}, []
    nodes = list(fleet.nodes.values())
    begun = standins.now()
    number = 0
    while standins.now() - begun < SECONDS:
        elapsed = standins.now() - begun
        for index, at in SPELLS.items():
            failing = TROUBLE and at <= elapsed < at + SPELL_SECONDS
            if servers[index].is_failing != failing:
                servers[index].is_failing = failing
                record.write(f"i-{index} fails requests: {failing}")
        number += 1
        address = nodes[number % NODES]["callers"]
        tasks.append(asyncio.create_task(
            look_up(record, address, f"l{number}", sent, ends)
        ))
        await asyncio.sleep(
            max(0, begun + number / PER_SECOND - standins.now())
        )
    await asyncio.gather(*tasks)
    # From when on all servers are sound again.
    sound_from = begun + max(SPELLS.values()) + SPELL_SECONDS + SOUND_AFTER
    last = begun + SECONDS - DEADLINE_MS / 1000
    for server in servers:
        times = [at for at, _, _ in server.runs]
        later = sum(at >= sound_from for at in times)
        record.write(
            f"{server.ident}: {len(times)} requests, {later} since all are sound"
        )
    broken = []
    start = sound_from
    while start + WINDOW <= last:
        end = start + WINDOW
        used = sum(
            any(start <= at < end for at, _, _ in server.runs)
            for server in servers
        )
        asked = [i for i, at in sent.items() if start <= at < end]
        failed = sum(ends[ident] != "200" for ident in asked)
        if (
            0 < used < FLOOR_SHARE * NODES
            and asked
            and 0.1 < failed / len(asked) < 0.5
        ):
            broken.append((start, used, failed, len(asked)))
        start += 0.1
    for start, used, failed, asked in broken[:3]:
        record.write(
            f"FLOOR: from {start:.1f} on, {used} of {NODES} sound servers get"
            f" requests, {failed} of {asked} requests aren't served"
        )
    calm = [i for i, at in sent.items() if sound_from <= at <= last]
    count = collections.Counter(ends[ident] for ident in calm)
    record.write(f"since all servers are sound, requests by end: {dict(count)}")
    record.write(f"windows of {WINDOW} s that break the rule: {len(broken)}")
    if list(ends.values()).count("200") < 300:
        return 2
    return 1 if broken else 0


standins.run(main, FOLDER)
