"""Tests what a home makes of targets whose responses are broken."""

import asyncio
import datetime
import unittest

from endivewind import clock as clocks
from endivewind import exchange
from endivewind import headers
from endivewind.standins import raw_target
from endivewind.targets import dispatch
from endivewind.targets import evidence
from endivewind.targets import registry

BODY = b"0123456789"
TIMEOUT = datetime.timedelta(seconds=5)
# What a target may have sent before it notices that its connection is closed:
# the buffers of both sockets, and what the node reads at once.
MAX_SENT_BYTES = 16_000_000


def response(
    line: bytes = b"HTTP/1.1 200 OK",
    *fields: bytes,
    body: bytes = BODY,
    has_length: bool = True,
) -> bytes:
    """Returns a response that is valid but for what the arguments change."""
    lines = [line, *fields]
    if has_length:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join((*lines, b"", body))


def with_status(status: bytes) -> bytes:
    """Returns a response with this status and reason."""
    return response(b"HTTP/1.1 " + status)


def with_field(field: bytes, *, has_length: bool = True) -> bytes:
    """Returns a response with one more field."""
    return response(b"HTTP/1.1 200 OK", field, has_length=has_length)


def with_framing(field: bytes) -> bytes:
    """Returns a response whose body is framed by this field alone."""
    return with_field(field, has_length=False)


CHUNKED_BODY = b"a\r\n" + BODY + b"\r\n0\r\n\r\n"
VALID = {
    "length": response(),
    "no reason": with_status(b"404"),
    "empty reason": with_status(b"404 "),
    "reason in UTF-8": with_status("200 está".encode()),
    "HTTP/1.0": response(b"HTTP/1.0 200 OK"),
    "chunked": response(
        b"HTTP/1.1 200 OK",
        b"TRANSFER-ENCODING: Chunked ",
        body=CHUNKED_BODY,
        has_length=False,
    ),
    "empty value": with_field(b"X-Empty:"),
    "tab in a value": with_field(b"X-Tab: a\tb"),
    "value in UTF-8": with_field("X-Name: piñón".encode()),
    "every character of a token": with_field(b"!#$%&'*+-.^_`|~09azAZ: 1"),
    "interim responses": b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + response(),
}
INVALID = {
    **{
        f"status {text!r}": with_status(text)
        for text in (
            b"000|000 OK|001 OK|099 OK|600 OK|999 OK|20 OK|2000 OK|0200 OK"
            b"|-200 OK|+20 OK|2x0 OK|200OK| 200 OK|101 Switching Protocols"
            b"|200 O\x01K|200 O\x00K"
        ).split(b"|")
    },
    **{
        f"version {text!r}": response(text + b" 200 OK")
        for text in b"HTTP/2.0|HTTP/0.9|HTTP/1.2|ICY|http/1.1".split(b"|")
    },
    **{
        f"field {text!r}": with_field(text)
        for text in (
            b"X Bad: 1|X-Bad : 1|X-Bad\t: 1|X\x01Bad: 1|X\x00Bad: 1|X\x7fBad: 1"
            b"|X(Bad): 1|X\xe9Bad: 1|: 1|no colon| X-Bad: 1|X-Bad: a\r\n folded"
            b"|X-Bad: a\x00b|X-Bad: a\x01b|X-Bad: a\x7fb|X-Bad: a\rb"
            b"|X-Bad: a\nb|Connection : close|Connection\t: keep-alive"
            b"|Keep-Alive : timeout=1|Proxy-Connection : close|Upgrade : x"
        ).split(b"|")
    },
    **{
        f"framing {text!r}": with_framing(text)
        for text in (
            b"Content-Length : 10|Content-Length\t: 10|Content-Length  : 5"
            b"|Content-Length\x01: 10|Content Length: 10"
            b"|Content-Length: 10\r\nContent-Length: 5|Content-Length: 10, 10"
            b"|Content-Length: +10|Content-Length: 0x0a"
            b"|Content-Length : 5\r\nContent-Length: 10"
            b"|Transfer-Encoding : chunked|Transfer-Encoding\t: chunked"
            b"|Transfer-Encoding: xchunked|Transfer-Encoding: \x0bchunked"
            b"|Transfer-Encoding: gzip|Transfer-Encoding: identity"
            b"|Transfer-Encoding: chunked, identity"
            b"|Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"
            b"|Transfer-Encoding: chunked\r\nContent-Length: 10"
        ).split(b"|")
    },
    "status 000 without a body": response(b"HTTP/1.1 000", body=b""),
    "status 101 without a body": response(b"HTTP/1.1 101 X", body=b""),
    "newlines alone": response().replace(b"\r\n", b"\n"),
    "bytes before": b"junk\r\n" + response(),
    "blank lines before": b"\r\n\r\n" + response(),
    "body only": BODY,
}


# A part of a head, and what follows it without an end.
ENDLESS = {
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "early hints": (
        b"",
        b"HTTP/1.1 103 Early Hints\r\nLink: %b\r\n\r\n" % (b"a" * 4000),
    ),
    "reason": (b"HTTP/1.1 200 ", b"a" * 4000),
    "field": (b"HTTP/1.1 200 OK\r\nX-Long: ", b"a" * 4000),
    "fields": (b"HTTP/1.1 200 OK\r\n", b"X-Long: 1\r\n" * 400),
    "name": (b"HTTP/1.1 200 OK\r\n", b"a" * 4000),
}


class _Case(unittest.IsolatedAsyncioTestCase):
    """One target, over real connections."""

    names = headers.DEFAULT_NAMES

    async def asyncSetUp(self):
        self.kinds = []
        clock = clocks.ManualClock()
        home = registry.HomeIdentity("home", 7, "r", "z")
        targets = registry.TargetRegistry(home, clock)
        self.target = raw_target.RawTarget()
        address = await self.target.start()
        self.addCleanup(self.target.close)
        announcement = registry.Announcement(
            service="riders", address=f"http://{address}", lease_ms=60_000
        )
        targets.announce("t", announcement, 4)
        self.dispatcher = dispatch.Dispatcher.from_registry(
            targets, clock, self, self.names
        )
        self.addAsyncCleanup(self.dispatcher.close)

    def record_start(self, target, service):
        """Ignores the start of a request, as the observer."""
        return 0

    def record_finish(self, sample):
        """Records how a request ended, as the observer."""
        self.kinds.append(sample.kind)

    async def send(self, *, ticket="", timeout=TIMEOUT):
        head = exchange.RequestHead(
            "r",
            "GET",
            "/",
            (),
            "riders",
            "",
            timeout,
            ticket=ticket,
            attempt=1,
            # The target has failed often.
            max_suspicion=1.0,
        )
        return await self.dispatcher.run("t", head, exchange.RequestBody())

    async def read(self, response, **options):
        """Returns the body of a response or a refusal."""
        self.target.response = response
        result = await self.send(**options)
        if result.is_error() or result.ok.stream is None:
            return result
        parts = [result.ok.body]
        try:
            async for part in result.ok.stream:
                parts.append(part)
        except exchange.TruncatedResponseError as error:
            return error
        result.ok.body = b"".join(parts)
        return result


class BrokenResponsesTest(_Case):
    """Responses that are no responses, or without an end."""

    async def test_valid_responses_are_returned(self):
        """Guards against a check that refuses what the protocol allows."""
        for name, raw in VALID.items():
            with self.subTest(name):
                result = await self.read(raw)

                self.assertTrue(result.is_ok(), result)
                self.assertEqual(BODY, result.ok.body)

    async def test_invalid_responses_are_not_returned(self):
        """Guards against passing on bytes that are no response."""
        for name, raw in INVALID.items():
            for ticket in ("", name):
                with self.subTest(name, ticket=ticket):
                    self.kinds.clear()
                    self.target.disconnected.clear()

                    result = await self.read(raw, ticket=ticket)

                    self.assertTrue(result.is_error(), result)
                    self.assertIs(
                        exchange.Reason.TARGET_LOST, result.error.reason
                    )
                    self.assertIs(
                        exchange.ExecutionOutcome.UNKNOWN, result.error.outcome
                    )
                    self.assertEqual([evidence.ResultKind.LOST], self.kinds)
                    async with asyncio.timeout(TIMEOUT.total_seconds()):
                        await self.target.disconnected.wait()

    async def test_head_without_an_end_is_given_up(self):
        """Guards against holding all that a target sends before its head ends.

        The deadline is far off, so that it does not end the request.
        """
        for name, (first, repeated) in ENDLESS.items():
            with self.subTest(name):
                self.target.sent_bytes = 0
                self.target.response = first
                self.target.repeated = repeated

                result = await self.send()

                self.assertIs(exchange.Reason.TARGET_LOST, result.error.reason)
                self.assertLess(self.target.sent_bytes, MAX_SENT_BYTES)

    async def test_head_up_to_the_limit_is_returned(self):
        """Guards against a limit that valid responses meet."""
        fields = [b"X-%d: %b" % (i, b"a" * 1000) for i in range(60)]

        result = await self.read(response(b"HTTP/1.1 200 OK", *fields))

        self.assertTrue(result.is_ok(), result)


class RejectionTest(_Case):
    """A target says that it has not executed a request."""

    names = headers.HeaderNames(not_run="Not-Run")

    def reject(self, *fields, body=b"", repeated=b""):
        """Sets what the target sends."""
        self.target.response = response(
            b"HTTP/1.1 503 Full",
            b"Not-Run: 1",
            *fields,
            body=body,
            has_length=False,
        )
        self.target.repeated = repeated

    async def test_body_without_an_end_is_not_read(self):
        """Guards against holding a body of which nothing is passed on."""
        for name, field, body in (
            ("ended by the connection", (), b""),
            ("chunked", (b"Transfer-Encoding: chunked",), b"fffffff\r\n"),
            ("long", (b"Content-Length: 999999999999",), b""),
        ):
            with self.subTest(name):
                self.target.sent_bytes = 0
                self.reject(*field, body=body, repeated=b"a" * 65_536)

                result = await self.send()

                self.assertTrue(result.error.was_not_run, result)
                self.assertIs(exchange.Reason.TARGET_FULL, result.error.reason)
                self.assertLess(self.target.sent_bytes, MAX_SENT_BYTES)

    async def test_incomplete_body_does_not_delay_the_refusal(self):
        """Guards against an unknown outcome of what has not run."""
        self.reject(b"Content-Length: 10", body=BODY[:5])

        result = await self.send()

        self.assertTrue(result.error.was_not_run, result)

    async def test_connection_is_reused_after_a_whole_body(self):
        """Guards against a new connection for each rejection."""
        self.reject(b"Content-Length: 10", body=BODY)

        for _ in range(3):
            await self.send()

        self.assertEqual(1, self.target.connection_count)
