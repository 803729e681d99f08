"""Stand-in for clients that send or read in ways that use up a server.

Runs of misbehaving clients start it as `endivewind-standin clients`, so that
ordinary callers don't share its process.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import datetime
import enum
import itertools
import re

from endivewind.platform import names

# Requests that are sent with one write.
BATCH = 100
PIECE_BYTES = 512
WRITE_BYTES = 65_536
LARGE_RESPONSES = 20
LONG_FIELDS = 125
# Part of a body that is sent before its client slows down or stops.
FIRST_BODY_BYTES = 200_000
SLOW_INTERVAL = datetime.timedelta(milliseconds=500)
CONNECT_TIMEOUT = datetime.timedelta(seconds=3)
RECONNECT_INTERVAL = datetime.timedelta(milliseconds=50)
# How long a client that has sent all waits for the response.
RESPONSE_TIMEOUT = datetime.timedelta(seconds=8)
# Clients that connect at once.
CONNECTING_AT_ONCE = 100
_READ_LIMIT = 4096
_STATUS = re.compile(rb"HTTP/1\.[01] (\d{3})")


class ClientKind(enum.StrEnum):
    """What a client does.

    WHOLE_BODIES, SMALL_PIECES, TINY_CHUNKS: bodies of legal size.
    OVERSIZED_BODIES: a length over the limit, sent on after the refusal.
    ENDLESS_CHUNKS: a chunked body without an end. CHUNK_EXTENSIONS, TRAILERS:
    the same of the framing. MANY_FIELDS: requests whose head is of legal size
    and has very many fields, one after the other. SENT_AHEAD: many requests,
    no response is read. FIELDS_AHEAD: the same with many fields. LONG_HEADS: a
    head over the limit. SLOW_HEADS, SLOW_BODIES: a byte now and then.
    HALF_HEADS, HALF_BODIES: they stop half-way. IDLE: connections without a
    byte. NOT_READING, SLOW_READING: large responses.
    """

    WHOLE_BODIES = "whole-bodies"
    SMALL_PIECES = "small-pieces"
    TINY_CHUNKS = "tiny-chunks"
    OVERSIZED_BODIES = "oversized-bodies"
    ENDLESS_CHUNKS = "endless-chunks"
    CHUNK_EXTENSIONS = "chunk-extensions"
    TRAILERS = "trailers"
    MANY_FIELDS = "many-fields"
    SENT_AHEAD = "sent-ahead"
    FIELDS_AHEAD = "fields-ahead"
    LONG_HEADS = "long-heads"
    SLOW_HEADS = "slow-heads"
    HALF_HEADS = "half-heads"
    SLOW_BODIES = "slow-bodies"
    HALF_BODIES = "half-bodies"
    IDLE = "idle"
    NOT_READING = "not-reading"
    SLOW_READING = "slow-reading"


# Clients that leave responses unread in their socket.
_UNREAD = {
    ClientKind.SENT_AHEAD,
    ClientKind.FIELDS_AHEAD,
    ClientKind.NOT_READING,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Crowd:
    """A number of clients of one kind.

    Attributes:
      kind: what each client does.
      address: host and port that they connect to.
      host: the Host header.
      path: of their requests; a number is appended if it ends in a slash.
      large_path: path of a request with a large response.
      clients: connections at the same time.
      seconds: how long they go on.
      body_bytes: size of bodies of legal size.
      header_bytes: maximum size of a legal head.
    """

    kind: ClientKind
    address: str
    host: str
    path: str
    large_path: str
    clients: int
    seconds: float
    body_bytes: int = 16 << 20
    header_bytes: int = 16_384

    async def run(self) -> collections.Counter[str]:
        """Plays the clients; returns how often what happened to them."""
        events: collections.Counter[str] = collections.Counter()
        deadline = asyncio.get_running_loop().time() + self.seconds
        tasks = []
        for number in range(self.clients):
            client = _Client(self, events, deadline)
            tasks.append(asyncio.create_task(client.run()))
            if number % CONNECTING_AT_ONCE == CONNECTING_AT_ONCE - 1:
                await asyncio.sleep(RECONNECT_INTERVAL.total_seconds())
        await asyncio.gather(*tasks)
        return events


@dataclasses.dataclass(frozen=True, slots=True)
class SingleRequest:
    """One request inside the limits of the configuration.

    Attributes:
      method: of the request.
      path: its path; a number is appended if it ends in a slash.
      body_bytes: size of its body.
      chunk_bytes: size of its chunks; 0 for a body with a length.
      header_bytes: size of the head; short fields fill it. 0 for no more
        fields than it needs.
    """

    method: str
    path: str
    body_bytes: int = 0
    chunk_bytes: int = 0
    header_bytes: int = 0

    async def send(self, address: str, host: str, timeout: float) -> int:
        """Sends it; returns the status of the response, 0 for none.

        Args:
          address: host and port of the node.
          host: the Host header.
          timeout: time until the head of the response, in seconds.
        """
        fields = []
        if self.chunk_bytes:
            fields.append("Transfer-Encoding: chunked")
        elif self.body_bytes:
            fields.append(f"Content-Length: {self.body_bytes}")
        head = make_head(self.method, host, self.path, *fields)
        if self.header_bytes:
            head = fill_head(head, self.header_bytes)
        node_host, _, port = address.rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(
                    node_host, int(port)
                )
                writer.write(head)
                writer.write(self._body())
                line = await reader.readline()
                return int(line.split()[1])
        except (OSError, RuntimeError, TimeoutError, IndexError, ValueError):
            return 0
        finally:
            if writer is not None:
                writer.transport.abort()

    def _body(self) -> bytes:
        if not self.chunk_bytes:
            return bytes(self.body_bytes)
        chunk = b"%x\r\n%b\r\n" % (self.chunk_bytes, bytes(self.chunk_bytes))
        return chunk * (self.body_bytes // self.chunk_bytes) + b"0\r\n\r\n"


_ids = itertools.count()


def make_head(method: str, host: str, path: str, *fields: str) -> bytes:
    """Returns the head of a request with an id of its own."""
    number = next(_ids)
    if path.endswith("/"):
        path += str(number)
    lines = (
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"{names.HEADERS.request_id}: bad-{number}",
        f"{names.HEADERS.timeout_ms}: 6000",
        *fields,
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def fill_head(head: bytes, size: int) -> bytes:
    """Returns a head that is filled with short fields to at most a size."""
    fields: list[bytes] = []
    room = size - len(head)
    for number in itertools.count():
        field = b"%x:\r\n" % number
        room -= len(field)
        if room < 0:
            break
        fields.append(field)
    return head[:-2] + b"".join(fields) + head[-2:]


class _Client:
    """One client, which connects again whenever it is disconnected."""

    def __init__(
        self, crowd: Crowd, events: collections.Counter[str], deadline: float
    ) -> None:
        self._crowd = crowd
        self._events = events
        self._deadline = deadline

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        while (remaining := self._deadline - loop.time()) > 0:
            try:
                async with asyncio.timeout(remaining):
                    await self._run_connection()
            except TimeoutError:
                self._events["held to the end"] += 1
                return
            except (OSError, RuntimeError) as error:
                # uvloop raises RuntimeError if the transport is closed.
                self._events[type(error).__name__] += 1
            await asyncio.sleep(RECONNECT_INTERVAL.total_seconds())

    async def _run_connection(self) -> None:
        host, _, port = self._crowd.address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()) as limit:
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=_READ_LIMIT
            )
            limit.reschedule(None)
            self._events["connections"] += 1
            responses = None
            if self._crowd.kind not in _UNREAD:
                responses = asyncio.create_task(self._read(reader))
            try:
                await self._play(writer)
                if responses is not None:
                    await asyncio.wait(
                        [responses], timeout=RESPONSE_TIMEOUT.total_seconds()
                    )
                else:
                    await asyncio.Event().wait()
            finally:
                if responses is not None:
                    responses.cancel()
                writer.transport.abort()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        """Counts the statuses of responses until the connection ends."""
        slowly = self._crowd.kind is ClientKind.SLOW_READING
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_LIMIT):
                for status in _STATUS.findall(data):
                    self._events[status.decode("latin-1")] += 1
                if slowly:
                    await asyncio.sleep(SLOW_INTERVAL.total_seconds())

    async def _play(self, writer: asyncio.StreamWriter) -> None:
        async for data in _WRITES[self._crowd.kind](self):
            writer.write(data)
            await writer.drain()
            # Others must get their turns although the socket takes all.
            await asyncio.sleep(0)

    def _head(self, method: str, path: str, *fields: str) -> bytes:
        return make_head(method, self._crowd.host, path, *fields)

    def _get(self, *fields: str) -> bytes:
        return self._head("GET", self._crowd.path, *fields)

    def _post(self, *fields: str) -> bytes:
        return self._head("POST", self._crowd.path, *fields)

    def _post_chunked(self) -> bytes:
        return self._post("Transfer-Encoding: chunked")

    def _long_head(self) -> bytes:
        """Returns the longest legal head with one field."""
        head = self._get("X-Long: ")
        filler = b"a" * (self._crowd.header_bytes - len(head))
        return head[:-4] + filler + head[-4:]

    def _head_of_short_fields(self) -> bytes:
        return fill_head(self._get(), self._crowd.header_bytes)

    async def _whole_bodies(self) -> collections.abc.AsyncIterator[bytes]:
        size = self._crowd.body_bytes
        yield self._post(f"Content-Length: {size}") + bytes(size)

    async def _small_pieces(self) -> collections.abc.AsyncIterator[bytes]:
        size = self._crowd.body_bytes
        yield self._post(f"Content-Length: {size}")
        for _ in range(size // PIECE_BYTES):
            yield bytes(PIECE_BYTES)

    async def _tiny_chunks(self) -> collections.abc.AsyncIterator[bytes]:
        yield self._post_chunked()
        for _ in range(self._crowd.body_bytes // WRITE_BYTES):
            yield b"1\r\nb\r\n" * WRITE_BYTES
        yield b"0\r\n\r\n"

    async def _oversized_bodies(self) -> collections.abc.AsyncIterator[bytes]:
        yield self._post("Content-Length: 10000000000")
        while True:
            yield bytes(WRITE_BYTES)

    async def _endless_chunks(self) -> collections.abc.AsyncIterator[bytes]:
        yield self._post_chunked()
        while True:
            yield b"%x\r\n%b\r\n" % (WRITE_BYTES, bytes(WRITE_BYTES))

    async def _chunk_extensions(self) -> collections.abc.AsyncIterator[bytes]:
        yield self._post_chunked() + b"1;"
        while True:
            yield b"e" * WRITE_BYTES

    async def _trailers(self) -> collections.abc.AsyncIterator[bytes]:
        yield self._post_chunked() + b"1\r\nb\r\n0\r\n"
        for number in itertools.count():
            yield b"".join(
                b"T-%d-%d: %b\r\n" % (number, item, b"a" * 1000)
                for item in range(64)
            )

    async def _many_fields(self) -> collections.abc.AsyncIterator[bytes]:
        while True:
            yield self._head_of_short_fields()

    async def _sent_ahead(self) -> collections.abc.AsyncIterator[bytes]:
        while True:
            yield b"".join(self._get() for _ in range(BATCH))

    async def _fields_ahead(self) -> collections.abc.AsyncIterator[bytes]:
        while True:
            yield self._head_of_short_fields() * BATCH

    async def _long_heads(self) -> collections.abc.AsyncIterator[bytes]:
        yield self._get()[:-2]
        for number in range(LONG_FIELDS):
            value = "a" * (self._crowd.header_bytes - 1000)
            yield f"X-{number}: {value}\r\n".encode()

    async def _slow_heads(self) -> collections.abc.AsyncIterator[bytes]:
        for byte in self._long_head():
            yield bytes([byte])
            await asyncio.sleep(SLOW_INTERVAL.total_seconds())

    async def _half_heads(self) -> collections.abc.AsyncIterator[bytes]:
        yield self._head_of_short_fields()[:-4]

    async def _slow_bodies(self) -> collections.abc.AsyncIterator[bytes]:
        async for data in self._half_bodies():
            yield data
        while True:
            yield b"b"
            await asyncio.sleep(SLOW_INTERVAL.total_seconds())

    async def _half_bodies(self) -> collections.abc.AsyncIterator[bytes]:
        yield self._post(f"Content-Length: {self._crowd.body_bytes}")
        yield bytes(FIRST_BODY_BYTES)

    async def _idle(self) -> collections.abc.AsyncIterator[bytes]:
        yield b""

    async def _large_responses(self) -> collections.abc.AsyncIterator[bytes]:
        for _ in range(LARGE_RESPONSES):
            yield self._head("GET", self._crowd.large_path)


_WRITES: dict[
    ClientKind,
    collections.abc.Callable[[_Client], collections.abc.AsyncIterator[bytes]],
] = {
    ClientKind.WHOLE_BODIES: _Client._whole_bodies,
    ClientKind.SMALL_PIECES: _Client._small_pieces,
    ClientKind.TINY_CHUNKS: _Client._tiny_chunks,
    ClientKind.OVERSIZED_BODIES: _Client._oversized_bodies,
    ClientKind.ENDLESS_CHUNKS: _Client._endless_chunks,
    ClientKind.CHUNK_EXTENSIONS: _Client._chunk_extensions,
    ClientKind.TRAILERS: _Client._trailers,
    ClientKind.MANY_FIELDS: _Client._many_fields,
    ClientKind.SENT_AHEAD: _Client._sent_ahead,
    ClientKind.FIELDS_AHEAD: _Client._fields_ahead,
    ClientKind.LONG_HEADS: _Client._long_heads,
    ClientKind.SLOW_HEADS: _Client._slow_heads,
    ClientKind.HALF_HEADS: _Client._half_heads,
    ClientKind.SLOW_BODIES: _Client._slow_bodies,
    ClientKind.HALF_BODIES: _Client._half_bodies,
    ClientKind.IDLE: _Client._idle,
    ClientKind.NOT_READING: _Client._large_responses,
    ClientKind.SLOW_READING: _Client._large_responses,
}
