"""End-to-end test: no caller gets a broken response for a response."""

import contextlib
import unittest

import aiohttp

from endivewind.standins import raw_target
from endivewind.tests import processes
from endivewind.tests.proofs import calls

CONFIGURATION = {
    "services": {"riders": {"slots": 4, "retry_percent": 100}},
    "route_groups": {
        "camerino": {
            "routes": [
                {"service": "riders", "repeat": "always"},
                {"service": "riders", "prefix": "/once", "repeat": "never"},
            ]
        }
    },
}
TARGET = "riders-1"
VALID = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
BROKEN = {
    "status of zero": VALID.replace(b"200 OK", b"000"),
    "blank in a field's name": VALID.replace(
        b"\r\n\r\n", b"\r\nX Bad: 1\r\n\r\n"
    ),
    "blank behind the name of the length": VALID.replace(b":", b" :"),
    "control byte in a field's name": VALID.replace(
        b"\r\n\r\n", b"\r\nX\x01Bad: 1\r\n\r\n"
    ),
    "control byte in a value": VALID.replace(
        b"\r\n\r\n", b"\r\nX-Bad: a\x01b\r\n\r\n"
    ),
    "continued line": VALID.replace(b"\r\n\r\n", b"\r\n X-Bad: 1\r\n\r\n"),
}


class BrokenResponsesTest(unittest.IsolatedAsyncioTestCase):
    """Requests over one node (home) and over two nodes (entry and home)."""

    async def test_broken_response_is_an_error_with_unknown_outcome(self):
        """Guards against passing on what is no response as a response."""
        target = raw_target.RawTarget()
        async with _fleet(target) as (nodes, caller):
            for name, raw in BROKEN.items():
                for node in nodes:
                    for path in ("/work", "/once"):
                        with self.subTest(name, node=node.name, path=path):
                            target.response = VALID
                            key = await caller.request_key(node, path="/once")
                            target.response = raw

                            response = await caller.send(
                                node,
                                "GET" if path == "/work" else "POST",
                                key=key if path == "/once" else "",
                                path=path,
                            )

                            self.assertEqual(
                                (502, "unknown", "target-lost"),
                                (
                                    response.status,
                                    response.outcome,
                                    response.reason,
                                ),
                            )


@contextlib.asynccontextmanager
async def _fleet(target):
    """Yields an entry node, the target's home node, and a caller."""
    async with processes.Fleet() as fleet, aiohttp.ClientSession() as session:
        entry = await fleet.start_node("entry", "andina-a")
        home = await fleet.start_node("home", "andina-b")
        announcement = {
            "service": "riders",
            "address": f"http://{await target.start()}",
            "lease_ms": 60_000,
        }
        address = home.listening_line["targets"]
        url = f"http://{address}/v1/targets/{TARGET}"
        async with session.put(url, json=announcement) as response:
            response.raise_for_status()
        await fleet.submit(CONFIGURATION)
        for node in (entry, home):
            await node.wait_for_message("in force", object="camerino")
        await entry.wait_for_message("home heard", targets=[TARGET])
        yield (entry, home), calls.Caller(session)
        target.close()
