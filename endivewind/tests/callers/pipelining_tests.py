"""Requests that a caller sends before the first is answered, on real sockets.

Behind the listener stands a gateway whose answers the tests give by hand.
"""

import asyncio
import collections
import contextlib
import datetime
import unittest

from aiohttp import web
import expression
import hypothesis
from hypothesis import strategies

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.callers import authorization
from endivewind.callers import calls
from endivewind.callers import connections
from endivewind.callers import counts
from endivewind.callers import listener
from endivewind.callers import workspaces
from endivewind.config import objects
from endivewind.config import settings
from endivewind.config import store

LOOKUP = objects.Route(service="riders", repeat=objects.Repeat.ALWAYS)
ORDER = objects.Route(service="riders", repeat=objects.Repeat.NEVER)
WAIT_SECONDS = 5
LONG = 300_000


class _Gateway:
    """Routes by path; begins requests and answers when it is told to."""

    def __init__(self):
        self.counts = counts.RequestCounts(clocks.SystemClock())
        self.workspaces = workspaces.Workspaces(store.ConfigurationStore())
        self.begun = []
        self.left = []
        self.remaining = {}
        self._answers = collections.defaultdict(asyncio.Future)
        self._changed = asyncio.Condition()

    def route(self, host, path, workspace):
        if path.startswith("/nowhere"):
            return None
        return ORDER if path.startswith("/order") else LOOKUP

    def service_of(self, route):
        return route.service

    def limits(self):
        return None

    def timeout(self, route):
        return None

    def default_timeout(self, route):
        return datetime.timedelta(seconds=WAIT_SECONDS)

    async def serve(self, route, head, body):
        self.begun.append(head.path)
        self.remaining[head.path] = head.remaining
        await self._tell()
        try:
            return await self._answers[head.path]
        except asyncio.CancelledError:
            self.left.append(head.path)
            await self._tell()
            raise

    def answer(self, path, body=None, status=200):
        told = path.encode() if body is None else body
        answer = exchange.Response(status, (), told)
        self._answers[path].set_result(expression.Ok(answer))

    def answer_in_parts(self, path, rest):
        length = ((b"Content-Length", str(rest.size).encode()),)
        answer = exchange.Response(200, length, b"", rest)
        self._answers[path].set_result(expression.Ok(answer))

    def refuse(self, path, reason):
        refusal = exchange.not_run(reason)
        self._answers[path].set_result(expression.Error(refusal))

    async def until(self, condition):
        async with asyncio.timeout(WAIT_SECONDS), self._changed:
            await self._changed.wait_for(condition)

    async def _tell(self):
        async with self._changed:
            self._changed.notify_all()


class _Parts:
    """An answer that comes in parts and counts those that were read."""

    def __init__(self, parts, part_bytes):
        self.size = parts * part_bytes
        self.read = 0
        self.closed = asyncio.Event()
        self._left = parts
        self._part = b"x" * part_bytes

    def __aiter__(self):
        return self

    async def __anext__(self):
        if not self._left:
            raise StopAsyncIteration
        self._left -= 1
        self.read += 1
        return self._part

    async def aclose(self):
        self.closed.set()


class _Caller:
    """One connection."""

    def __init__(self, reader, writer):
        self._reader = reader
        self.writer = writer

    def send(self, *paths, method="GET", fields=""):
        for path in paths:
            head = f"{method} {path} HTTP/1.1\r\nHost: h\r\n{fields}\r\n"
            self.writer.write(head.encode())

    async def receive(self):
        """Status and body of the next answer, and whether it is the last."""
        async with asyncio.timeout(WAIT_SECONDS):
            head = (await self._reader.readuntil(b"\r\n\r\n")).decode()
            lines = head.split("\r\n")
            fields = dict(
                line.lower().split(": ", 1) for line in lines[1:] if line
            )
            length = int(fields["content-length"])
            body = await self._reader.readexactly(length)
        last = fields.get("connection") == "close"
        return int(lines[0].split()[1]), body, last

    async def bodies(self, number):
        return [(await self.receive())[1].decode() for _ in range(number)]

    async def ended(self):
        async with asyncio.timeout(WAIT_SECONDS):
            return await self._reader.read() == b""


class _Served:
    """A listener on a port of its own."""

    def __init__(self):
        self.gateway = _Gateway()
        self.listener = listener.Listener(
            self.gateway,
            None,
            settings.Limits(),
            authorization.Doubts(lambda: None),
            calls.Dialect(tickets=False),
        )

    @contextlib.asynccontextmanager
    async def caller(self):
        runner = web.ServerRunner(self.listener.server(), shutdown_timeout=1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        reader, writer = await asyncio.open_connection(*runner.addresses[0])
        try:
            yield _Caller(reader, writer)
        finally:
            writer.close()
            await runner.cleanup()


class PipeliningTest(unittest.IsolatedAsyncioTestCase):
    """One caller, one connection."""

    async def asyncSetUp(self):
        self.served = _Served()
        self.gateway = self.served.gateway
        self.caller = await self.enterAsyncContext(self.served.caller())

    async def test_lookups_run_side_by_side_and_are_answered_in_order(self):
        """A slow look-up made those behind it late, one after the other.

        All three are begun at once; the later two are ready first, and wait
        for their turn.
        """
        self.caller.send("/1", "/2", "/3")
        await self.gateway.until(lambda: len(self.gateway.begun) == 3)

        self.gateway.answer("/3")
        self.gateway.answer("/2")
        self.gateway.answer("/1")

        self.assertEqual(["/1", "/2", "/3"], await self.caller.bodies(3))
        self.assertEqual(0, self.served.listener.in_flight)

    async def test_those_that_come_later_are_begun_as_well(self):
        self.caller.send("/1")
        await self.gateway.until(lambda: self.gateway.begun == ["/1"])
        self.caller.send("/2")
        await self.gateway.until(lambda: self.gateway.begun == ["/1", "/2"])

        self.gateway.answer("/2")
        self.gateway.answer("/1")

        self.assertEqual(["/1", "/2"], await self.caller.bodies(2))

    async def test_an_order_is_begun_only_when_it_is_first(self):
        """An order must not run before what its caller has sent before.

        Nor may the look-up behind it: it may be meant to see the order.
        """
        self.caller.send("/1", "/order", "/2")
        await self.gateway.until(lambda: self.gateway.begun == ["/1"])
        self.gateway.answer("/1")
        await self.gateway.until(lambda: "/order" in self.gateway.begun)
        self.assertEqual(["/1", "/order"], self.gateway.begun)
        self.gateway.answer("/order")
        self.gateway.answer("/2")

        self.assertEqual(["/1", "/order", "/2"], await self.caller.bodies(3))

    async def test_no_more_than_the_bound_are_begun(self):
        """A connection that sends hundreds ahead can't fill the node."""
        paths = [f"/{number}" for number in range(30)]
        self.caller.send(*paths)
        most = 1 + connections.MAX_AHEAD
        await self.gateway.until(lambda: len(self.gateway.begun) == most)
        await _settle()
        self.assertEqual(paths[:most], self.gateway.begun)

        for path in paths:
            self.gateway.answer(path)

        self.assertEqual(paths, await self.caller.bodies(30))

    async def test_the_deadline_counts_from_the_reading(self):
        """Time behind a slow look-up is not given to a target once more."""
        self.caller.send("/1", "/2", fields="Endivewind-Timeout-Ms: 3000\r\n")
        await self.gateway.until(lambda: len(self.gateway.begun) == 2)

        least = datetime.timedelta(seconds=2)
        for path in ("/1", "/2"):
            self.assertGreater(self.gateway.remaining[path], least)
            self.gateway.answer(path)

    async def test_a_caller_that_leaves_ends_all_of_them(self):
        """Targets would else work on for nobody; a ready answer is dropped."""
        parts = _Parts(4, 1000)
        self.caller.send("/1", "/2", "/3")
        await self.gateway.until(lambda: len(self.gateway.begun) == 3)
        self.gateway.answer_in_parts("/3", parts)

        self.caller.writer.close()
        await self.gateway.until(lambda: len(self.gateway.left) == 2)
        async with asyncio.timeout(WAIT_SECONDS):
            await parts.closed.wait()
            await self.served.listener.drained()

        self.assertEqual({"/1", "/2"}, set(self.gateway.left))
        self.assertEqual(0, parts.read)

    async def test_a_large_answer_is_not_read_before_its_turn(self):
        parts = _Parts(100, 10_000)
        self.caller.send("/1", "/2")
        await self.gateway.until(lambda: len(self.gateway.begun) == 2)
        self.gateway.answer_in_parts("/2", parts)
        await _settle()
        self.assertEqual(0, parts.read)

        self.gateway.answer("/1")

        self.assertEqual(b"/1", (await self.caller.receive())[1])
        self.assertEqual(parts.size, len((await self.caller.receive())[1]))
        self.assertTrue(parts.closed.is_set())

    async def test_a_failure_in_the_middle_is_its_own_answer_only(self):
        self.caller.send("/1", "/2", "/nowhere", "/3")
        await self.gateway.until(lambda: len(self.gateway.begun) == 2)
        self.gateway.refuse("/2", exchange.Reason.BUSY)
        self.gateway.answer("/1")
        self.gateway.answer("/3")

        seen = [await self.caller.receive() for _ in range(4)]

        self.assertEqual([200, 503, 404, 200], [item[0] for item in seen])
        self.assertEqual((b"/1", b"/3"), (seen[0][1], seen[3][1]))

    async def test_what_stands_behind_a_close_is_not_begun(self):
        """The caller has said that it will not read an answer to it."""
        self.caller.send("/1")
        self.caller.send("/2", fields="Connection: close\r\n")
        await self.gateway.until(lambda: len(self.gateway.begun) == 2)
        self.caller.send("/3")
        await _settle()
        self.gateway.answer("/2")
        self.gateway.answer("/1")

        self.assertEqual(["/1", "/2"], await self.caller.bodies(2))
        self.assertTrue(await self.caller.ended())
        self.assertEqual(["/1", "/2"], self.gateway.begun)

    async def test_a_planned_stop_answers_all_that_was_begun(self):
        """A node is replaced while look-ups are under way on a connection.

        Those that targets have are answered; the next is refused as not run,
        and the connection closed, so that the caller sends it and all behind
        it elsewhere.
        """
        self.caller.send("/1", "/2")
        await self.gateway.until(lambda: len(self.gateway.begun) == 2)
        self.served.listener.refuse_new()
        self.caller.send("/3", "/4")
        self.gateway.answer("/2")
        self.gateway.answer("/1")

        self.assertEqual(["/1", "/2"], await self.caller.bodies(2))
        status, _, last = await self.caller.receive()
        self.assertEqual((503, True), (status, last))
        self.assertTrue(await self.caller.ended())
        await self.served.listener.drained()
        self.assertEqual(["/1", "/2"], self.gateway.begun)

    async def test_a_home_that_leaves_closes_nothing_that_was_begun(self):
        """The first is refused by a home; a target works on the second."""
        self.caller.send("/1", "/2")
        await self.gateway.until(lambda: len(self.gateway.begun) == 2)
        self.gateway.refuse("/1", exchange.Reason.STOPPING)
        status, _, last = await self.caller.receive()
        self.assertEqual((503, False), (status, last))

        self.gateway.answer("/2")

        self.assertEqual(["/2"], await self.caller.bodies(1))


class AnyOrderTest(unittest.TestCase):
    """Any row of requests, answered in any order."""

    @hypothesis.settings(deadline=None, max_examples=40, derandomize=True)
    @hypothesis.given(strategies.data())
    def test_own_answers_in_order_and_no_order_before_its_turn(self, data):
        """The oracle: each answer is the next request's; an order runs alone.

        When it is begun, all before it have been answered; what is behind it
        is begun after it.
        """
        kinds = data.draw(
            strategies.lists(
                strategies.sampled_from(["look", "order"]),
                min_size=1,
                max_size=12,
            )
        )
        paths = [f"/{kind}/{number}" for number, kind in enumerate(kinds)]
        first = data.draw(strategies.integers(1, len(paths)))
        asyncio.run(self._play(data, paths, first))

    async def _play(self, data, paths, first):
        served = _Served()
        async with served.caller() as caller:
            caller.send(*paths[:first])
            unsent, answered = paths[first:], 0
            while answered < len(paths):
                await _settle()
                waiting = [
                    path
                    for path in served.gateway.begun
                    if not served.gateway._answers[path].done()
                ]
                self._check(served.gateway.begun, paths, waiting)
                if unsent:
                    caller.send(unsent.pop(0))
                if waiting:
                    chosen = data.draw(strategies.sampled_from(waiting))
                    served.gateway.answer(chosen)
                    answered += 1
            self.assertEqual(paths, await caller.bodies(len(paths)))

    def _check(self, begun, paths, waiting):
        """Begun is a row from the first on; an order is never overtaken."""
        self.assertEqual(paths[: len(begun)], begun)
        orders = [path for path in waiting if path.startswith("/order")]
        if orders:
            self.assertEqual(orders[:1], waiting)


async def _settle():
    """Lets all that can run do so, and what was written arrive."""
    for _ in range(30):
        await asyncio.sleep(0)


if __name__ == "__main__":
    unittest.main()
