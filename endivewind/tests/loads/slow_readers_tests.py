"""Load test: callers that read large responses slowly.

300 callers get responses of 540 KB and read them within a minute, beside
callers with small requests. Targets cut off responses that stay unread for 3 s.
"""

import asyncio
import dataclasses
import datetime
import socket
import tempfile
import unittest

from endivewind.callers import memory_control
from endivewind.callers import response_buffer
from endivewind.decisions import memory_admission
from endivewind.tests.loads import slow_readers

LARGE_BYTES = slow_readers.LARGE_BYTES
CHUNK_BYTES = memory_admission.CHUNK_BYTES

SEEDS = (1, 2, 3)
SLOW_CALLERS = 300
ARRIVAL_SECONDS = 15
SMALL_PER_SECOND = 30
SLOW_ARRIVAL_SECONDS = 5
# Enough that requests of the usual load hardly wait for a slot.
SLOTS_PER_TARGET = 6
SLOW_RATES = (
    (slow_readers.SMALL, SMALL_PER_SECOND),
    (
        slow_readers.SLOW,
        SLOW_CALLERS / SLOW_ARRIVAL_SECONDS,
        SLOW_ARRIVAL_SECONDS,
    ),
)


def _run(seed, rates=SLOW_RATES, seconds=ARRIVAL_SECONDS, **options):
    simulated = slow_readers.SlowReaderFleet(
        seed, slots=SLOTS_PER_TARGET, **options
    )
    simulated.run_callers(seconds, rates)
    return simulated


class SlowReadersTest(unittest.TestCase):
    def test_slow_readers_harm_neither_memory_nor_others(self):
        """Slow readers must use neither all memory nor all slots.

        Without the part they occupy the slots until their targets cut them
        off, and other callers wait.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                usual = _run(seed, SLOW_RATES[:1])
                slow = _run(seed)

                small = slow.results["small"]
                self.assertLessEqual(
                    small.p99, 1.2 * usual.results["small"].p99
                )
                self.assertEqual(0, small.refused + small.failed)
                limit = slow.entry_memory.admission.limit_bytes
                self.assertLessEqual(slow.peak_entry_bytes, limit)
                self.assertLessEqual(slow.peak_home_bytes, limit)
                large = slow.results["slow"]
                self.assertEqual(0, large.truncated + large.failed)
                self.assertGreater(large.refused, 0)
                self.assertGreater(large.complete, 0.1 * SLOW_CALLERS)
                cut_off = sum(
                    item.cut_off_count for item in slow.targets.values()
                )
                self.assertEqual(0, cut_off)


class PriorityTest(unittest.TestCase):
    def test_urgent_and_small_requests_are_refused_last(self):
        """Near the limit the largest and least urgent are refused first.

        Requests of each kind arrive for 30 s, at a rate at which one kind
        alone would use more than the memory.
        """
        urgent = dataclasses.replace(slow_readers.SLOW, name="urgent", rank=0)
        medium = dataclasses.replace(
            slow_readers.SLOW, name="medium", size=LARGE_BYTES // 4
        )
        for seed in SEEDS:
            for preferred in (urgent, medium):
                with self.subTest(seed=seed, preferred=preferred.name):
                    rates = [(preferred, 3), (slow_readers.SLOW, 3)]
                    simulated = _run(seed, rates, seconds=30)

                    served = {
                        name: result.complete
                        / (result.complete + result.given_up)
                        for name, result in simulated.results.items()
                    }
                    refused = {
                        name: result.refused
                        / (result.refused + result.complete)
                        for name, result in simulated.results.items()
                    }
                    self.assertGreater(served[preferred.name], served["slow"])
                    self.assertLess(
                        refused[preferred.name], 0.95 * refused["slow"]
                    )
                    self._assert_none_aborted(simulated)

    def _assert_none_aborted(self, simulated):
        for result in simulated.results.values():
            self.assertEqual(0, result.truncated + result.failed)


class FailureTest(unittest.TestCase):
    """One failure in each test."""

    def test_stalled_links_do_not_make_targets_wait(self):
        """No response bytes pass the links for ten seconds.

        The homes must read the responses nevertheless, or their targets would
        cut them off and their slots would stay occupied.
        """
        simulated = slow_readers.SlowReaderFleet(slots=SLOTS_PER_TARGET)
        fast = dataclasses.replace(slow_readers.SLOW, bytes_per_second=1e9)
        simulated.network.is_open.clear()
        simulated.loop.call_later(10, simulated.network.is_open.set)

        simulated.run_callers(0, bursts=((fast, 50),))

        result = simulated.results["slow"]
        self.assertEqual((50, 0), (result.complete, result.truncated))
        self.assertGreater(simulated.peak_home_bytes, LARGE_BYTES)
        self._assert_within_limit(simulated)
        self._assert_released(simulated)

    def test_restarted_node_does_not_know_sizes(self):
        """All callers return at once to a node that knows no size."""
        simulated = slow_readers.SlowReaderFleet(slots=SLOTS_PER_TARGET)
        simulated.run_callers(0, bursts=((slow_readers.SLOW, 10),))
        simulated.restart_entry()

        simulated.run_callers(0, bursts=((slow_readers.SLOW, SLOW_CALLERS),))

        self.assertEqual(0, simulated.results["slow"].truncated)
        self._assert_within_limit(simulated)
        self._assert_released(simulated)

    def test_responses_are_suddenly_larger(self):
        """Responses of a route grow from 2 KB to 540 KB without a length.

        The requests are already admitted. Their responses must wait at their
        targets as soon as the memory is used up. Each then still has read
        buffers, which take a part of the memory that the limit leaves free.
        """
        usual = dataclasses.replace(
            slow_readers.SLOW, size=2_000, is_chunked=True
        )
        simulated = slow_readers.SlowReaderFleet(slots=SLOTS_PER_TARGET)
        simulated.run_callers(1, rates=((usual, 200),))
        grown = dataclasses.replace(usual, size=LARGE_BYTES)

        simulated.run_callers(0, bursts=((grown, 100),))

        limit = simulated.entry_memory.admission.limit_bytes
        self.assertGreater(simulated.peak_entry_bytes, 0.5 * limit)
        self.assertLess(
            simulated.peak_entry_bytes, limit / memory_control.LIMIT_SHARE
        )
        self._assert_released(simulated)

    def test_endless_response_is_not_buffered_whole(self):
        """One response must not take the memory of all others."""
        endless = dataclasses.replace(slow_readers.SLOW, size=100 * LARGE_BYTES)
        simulated = slow_readers.SlowReaderFleet(slots=SLOTS_PER_TARGET)

        simulated.run_callers(0, bursts=((endless, 1),))

        admission = simulated.entry_memory.admission
        bound = admission.max_response_bytes
        links = (slow_readers.LINK_CHUNKS + 1) * CHUNK_BYTES
        self.assertLessEqual(simulated.peak_entry_bytes, bound + links)
        self._assert_released(simulated)

    def test_home_is_killed_while_callers_read(self):
        """The callers get what has arrived, and the memory is released."""
        simulated = slow_readers.SlowReaderFleet(slots=SLOTS_PER_TARGET)
        endless = dataclasses.replace(slow_readers.SLOW, size=100 * LARGE_BYTES)

        def fail():
            for stream in list(simulated.network.streams):
                stream.fail()

        simulated.loop.call_later(5, fail)
        simulated.run_callers(0, bursts=((endless, 10),))

        self.assertEqual(10, simulated.results["slow"].truncated)
        self._assert_released(simulated)

    def test_callers_disconnect(self):
        """Buffered bytes, slots and the reads from targets must end."""
        simulated = slow_readers.SlowReaderFleet(slots=SLOTS_PER_TARGET)
        endless = dataclasses.replace(slow_readers.SLOW, size=100 * LARGE_BYTES)

        def disconnect():
            for task in list(simulated._callers):
                task.cancel()

        simulated.loop.call_later(5, disconnect)
        simulated.run_callers(0, bursts=((endless, 10),))

        self.assertGreater(simulated.peak_entry_bytes, LARGE_BYTES)
        self._assert_released(simulated)

    def _assert_within_limit(self, simulated):
        limit = simulated.entry_memory.admission.limit_bytes
        self.assertLessEqual(simulated.peak_entry_bytes, limit)
        self.assertLessEqual(simulated.peak_home_bytes, limit)

    def _assert_released(self, simulated):
        simulated.settle()
        memories = [simulated.entry_memory, *simulated.home_memories.values()]
        for memory in memories:
            self.assertEqual(0, memory.admission.used_bytes)
            self.assertEqual(0, memory.admission.held_bytes)
            self.assertFalse(memory._waiters)
        for target in simulated.targets.values():
            self.assertFalse(target.open_responses)
        for targets in simulated._registries.values():
            for item in targets.home_targets():
                self.assertFalse(item.pending_requests)


class StallWatchTest(unittest.TestCase):
    """When callers are disconnected; the time limit of the route is 5 s.

    They are checked four times in each time limit. The first check counts what
    was delivered before it as progress, so that a stall may end two checks late.
    """

    def _disconnect_seconds(
        self, caller, limit_seconds=5, seconds=600, **kinds
    ):
        limit = datetime.timedelta(seconds=limit_seconds)
        return slow_readers.disconnect_seconds(caller, limit, seconds, **kinds)

    def test_caller_that_reads_nothing_is_disconnected(self):
        """At the time limit, and what its kernel took at 10 KB/s."""
        caller = slow_readers.WatchedCaller(0)
        small = slow_readers.CallerConnection(4_000, 1_000)

        after = self._disconnect_seconds(caller, connection=small)
        self.assertTrue(5 <= after <= 7.5, after)
        after = self._disconnect_seconds(caller)
        self.assertTrue(13 <= after <= 16, after)
        after = self._disconnect_seconds(caller, limit_seconds=60)
        self.assertTrue(60 <= after <= 90, after)

    def test_stall_ends_if_the_transport_tells_no_unsent_bytes(self):
        """Guards against callers with TLS that hold their memory for ever.

        The part that is being written counts as delivered: 6.6 s at 10 KB/s.
        """
        small = slow_readers.CallerConnection(4_000, 1_000, tells_unsent=False)
        usual = slow_readers.CallerConnection(tells_unsent=False)

        after = self._disconnect_seconds(
            slow_readers.WatchedCaller(0), connection=small
        )
        self.assertTrue(5 <= after <= 8.75, after)
        self.assertIsNone(
            self._disconnect_seconds(
                slow_readers.WatchedCaller(10_000), connection=usual
            )
        )

    def test_short_time_limits_allow_for_lost_packets(self):
        small = slow_readers.CallerConnection(4_000, 1_000)

        after = self._disconnect_seconds(
            slow_readers.WatchedCaller(0), limit_seconds=0.5, connection=small
        )
        self.assertTrue(5 <= after <= 7.5, after)

    def test_steady_readers_are_not_disconnected(self):
        """Guards against waits for the kernel's buffers that look like stalls.

        The send buffer accepts bytes once 1.3 MB of it are free.
        """
        for rate in (10_000, 50_000, 200_000):
            with self.subTest(rate):
                caller = slow_readers.WatchedCaller(rate)
                self.assertIsNone(self._disconnect_seconds(caller))

    def test_any_byte_is_progress(self):
        """Guards against a lowest speed for callers that acknowledge all."""
        caller = slow_readers.WatchedCaller(0.3)
        connection = slow_readers.CallerConnection(4_000, 1)

        self.assertIsNone(
            self._disconnect_seconds(caller, connection=connection)
        )

    def test_equal_buffer_sizes_after_a_write_are_progress(self):
        """Between two checks a part was read and one of equal size written."""
        caller = slow_readers.WatchedCaller(CHUNK_BYTES / 1.25)
        connection = slow_readers.CallerConnection(
            CHUNK_BYTES, CHUNK_BYTES, send_buffer_bytes=CHUNK_BYTES
        )

        self.assertIsNone(
            self._disconnect_seconds(caller, connection=connection)
        )

    def test_large_receive_buffers_do_not_look_like_stalls(self):
        """A fast caller's receive buffer grows; then the caller reads slowly."""
        caller = slow_readers.WatchedCaller(10_000, burst_bytes=50_000_000)
        connection = slow_readers.CallerConnection(6_000_000, 600_000)

        self.assertIsNone(
            self._disconnect_seconds(caller, connection=connection)
        )

    def test_fast_caller_that_stops_reading_is_disconnected(self):
        """Guards against a wait that grows with all that a caller has read."""
        caller = slow_readers.WatchedCaller(0, burst_bytes=200_000_000)
        connection = slow_readers.CallerConnection(6_000_000, 600_000)

        after = self._disconnect_seconds(caller, connection=connection)

        self.assertTrue(100 <= after <= 120, after)

    def test_slow_targets_do_not_make_steps_look_small(self):
        """The kernels accept little at a time until their buffers are full."""
        for queue_size in (None, lambda _: None):
            for rate in (20_000, 50_000):
                with self.subTest(rate, is_told=queue_size is None):
                    caller = slow_readers.WatchedCaller(
                        10_000, target_bytes_per_second=rate
                    )
                    after = self._disconnect_seconds(
                        caller, seconds=900, queue_size=queue_size
                    )
                    self.assertIsNone(after)

    def test_caller_that_waits_for_the_target_is_not_disconnected(self):
        caller = slow_readers.WatchedCaller(1e6, target_bytes_per_second=0.01)

        self.assertIsNone(self._disconnect_seconds(caller))

    def test_readers_stay_where_the_system_tells_nothing(self):
        """Neither an error nor a size of 0 may disconnect callers that read."""
        for told in (None, 0):
            for rate in (10_000, 50_000, 200_000):
                with self.subTest(told=told, rate=rate):
                    caller = slow_readers.WatchedCaller(rate)
                    after = self._disconnect_seconds(
                        caller, queue_size=lambda _, told=told: told
                    )
                    self.assertIsNone(after)

    def test_stall_ends_where_the_system_tells_nothing(self):
        """A caller that reads nothing is disconnected later, but it is."""
        caller = slow_readers.WatchedCaller(0, burst_bytes=20_000_000)
        for told in (None, 0):
            with self.subTest(told):
                after = self._disconnect_seconds(
                    caller, queue_size=lambda _, told=told: told
                )
                self.assertTrue(300 <= after <= 430, after)


class UnacknowledgedBytesTest(unittest.IsolatedAsyncioTestCase):
    async def test_bytes_that_the_peer_does_not_read(self):
        """The system tells the size of the send queue of a TCP connection."""
        with socket.create_server(("127.0.0.1", 0)) as server:
            loop = asyncio.get_running_loop()
            connection = socket.create_connection(server.getsockname())
            transport, _ = await loop.create_connection(
                asyncio.Protocol, sock=connection
            )
            peer, _ = server.accept()
            with peer:
                transport.write(bytes(20_000_000))
                unsent = transport.get_write_buffer_size()
                queued = response_buffer.unacknowledged_bytes(transport)
                transport.abort()

        self.assertGreater(unsent, 0)
        self.assertGreater(queued, 0)
        self.assertLess(queued, 20_000_000 - unsent + 1)

    async def test_systems_that_do_not_tell(self):
        """Guards against errors that end the watch, which then never ends."""
        with tempfile.TemporaryFile() as file:
            for connection in (None, file, _ClosedSocket()):
                transport = _ExtraInfo(connection)
                self.assertIsNone(
                    response_buffer.unacknowledged_bytes(transport)
                )


class _ExtraInfo:
    """A transport of which only the socket is asked for."""

    def __init__(self, connection) -> None:
        self._connection = connection

    def get_extra_info(self, name):
        return {"socket": self._connection}[name]


class _ClosedSocket:
    def fileno(self):
        return -1


if __name__ == "__main__":
    unittest.main()
