"""Tests of logs: JSON lines with request ids, without bodies and secrets."""

import io
import json
import logging
import unittest

import aiohttp

from endivewind import logs
from endivewind.tests import path_tests
from endivewind.tests import processes

_SECRETS = ("BODY-7", "AUTHORIZATION-7", "COOKIE-7", "GOSSIP-KEY-7")


class FormatTest(unittest.TestCase):
    """Every record is one line."""

    def test_line_breaks_and_exceptions_are_kept_in_one_line(self):
        stream = io.StringIO()
        handler = logging.StreamHandler(stream)
        handler.setFormatter(logs.JsonFormatter())
        logger = logging.Logger("test")
        logger.addHandler(handler)
        try:
            raise ValueError("one\ntwo")
        except ValueError:
            logger.exception("a\nb", extra=logs.fields(request_id="r1"))

        (line,) = stream.getvalue().splitlines()
        value = json.loads(line)
        self.assertEqual(
            ("a\nb", "r1"), (value["message"], value["request_id"])
        )
        self.assertIn("one\ntwo", value["exception"])


class NodeLogsTest(unittest.IsolatedAsyncioTestCase):
    """The log of a node in a separate process."""

    async def test_refusal_is_logged_with_request_id_without_secrets(self):
        async with processes.Fleet() as fleet:
            node = await fleet.start_node(
                "node-a", gossip_key="GOSSIP-KEY-7" * 4
            )
            await fleet.start_target("riders-1", "riders", [node])
            await fleet.submit(path_tests.CONFIGURATION)
            await node.wait_for_message("in force", object="camerino")
            await _send(
                node, "/riders/1", "kept-id", {"Standin-Fault": "close"}
            )
            await _send(node, "/nowhere", "lost-id")
            refusal = await node.wait_for_message(
                "refused", request_id="lost-id", reason="no-route"
            )
            await node.stop()

        self.assertEqual("not-run", refusal["outcome"])
        log_text = json.dumps(node.lines)
        self.assertIn("kept-id", log_text)
        for secret in _SECRETS:
            self.assertNotIn(secret, log_text)


async def _send(
    node: processes.Process, path: str, request_id: str, extra_headers=None
) -> None:
    headers = {
        "Host": "camerino.example",
        "Endivewind-Request-Id": request_id,
        "Authorization": "AUTHORIZATION-7",
        "Cookie": "COOKIE-7",
        **(extra_headers or {}),
    }
    url = f"http://{node.listening_line['callers']}{path}"
    reason = "not-ready"
    async with aiohttp.ClientSession() as session:
        while reason == "not-ready":
            async with session.get(
                url, headers=headers, data=b"BODY-7"
            ) as response:
                await response.read()
                reason = response.headers.get("Endivewind-Reason")
