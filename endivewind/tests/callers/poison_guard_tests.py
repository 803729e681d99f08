"""Tests of requests that crash their targets and come at many entry nodes."""

import asyncio
import datetime
import itertools
import random
import unittest

import expression

from endivewind import exchange
from endivewind.callers import poison_guard
from endivewind.decisions import poison_requests
from endivewind.nodes import codec
from endivewind.nodes import crash_reports
from endivewind.nodes import view
from endivewind.standins import virtual_loop
from endivewind.tests import samples

LOST = expression.Error(
    exchange.unknown_outcome_refusal(exchange.Reason.TARGET_LOST)
)
OK = expression.Ok(exchange.Response(200, ()))
FAILED = expression.Ok(exchange.Response(500, ()))
# Retries of a request that are allowed once it has crashed three targets. Its
# caller's own ones count, so that it may arrive at targets three times more.
MAX_RETRIES = 3
CRASHES_BEFORE = 3
# Time after the third crash from which on arrivals count.
STABLE_SECONDS = 4
# Time between two arrivals of the request, in which its targets are back.
PAUSE_SECONDS = 7
WORK_SECONDS = 0.1
TIMEOUT_SECONDS = 0.25
MESSAGE_LOSS = 1 / 3
# Time until gossip has brought a record to all nodes.
SPREAD_SECONDS = 2


class _Node:
    """An entry node with its guard."""

    def __init__(self, name, fleet):
        self.name = name
        self._fleet = fleet
        self.saved = {}
        self.restart()

    def _save(self):
        self.saved = self.reports.saved_counts()

    def restart(self):
        """Starts the node with nothing but what nodes have saved."""
        self.suspects = poison_requests.SuspectRequests()
        self.reports = crash_reports.CrashReportService(
            self.name,
            self._fleet.view,
            self._fleet,
            self._fleet.clock,
            self.suspects,
            lambda record: self._fleet.spread(self, record),
            self._save,
            self._fleet.rng,
        )
        self.reports.restore(self.saved)
        for other in self._fleet.nodes.values():
            self.reports.restore(other.saved, is_own=False)
        self.guard = poison_guard.PoisonGuard(
            self._fleet.clock, self.reports, self._fleet.rng
        )


def _do_nothing():
    pass


class _Fleet:
    """Entry nodes whose messages to each other may be lost."""

    def __init__(self, node_count, seed=1, loss=0.0):
        self.loop = virtual_loop.VirtualLoop()
        self.clock = virtual_loop.LoopClock(self.loop)
        self.view = view.FleetView()
        self.rng = random.Random(seed)
        self._loss = loss
        self._targets = itertools.count()
        self._calls = itertools.count()
        self.nodes = {}
        for number in range(node_count):
            self._start(f"n{number}")

    def _start(self, name):
        self.view.put_node(view.NodeRecord(name, 1, name, "r", "z"))
        self.nodes[name] = _Node(name, self)
        self.loop.call_later(
            self.rng.uniform(0, SPREAD_SECONDS), self._tell, self.nodes[name]
        )

    def _tell(self, node):
        """Tells a node that has started what others know, as repairs do."""
        for peer in self.nodes.values():
            for record in peer.suspects.records():
                self._put(node, record)

    def spread(self, sender, record):
        """Brings a record to the other nodes, as gossip does."""
        for node in self.nodes.values():
            if node is not sender:
                self.loop.call_later(
                    self.rng.uniform(0, SPREAD_SECONDS), self._put, node, record
                )

    def _put(self, node, record):
        node.suspects.put(record, self.clock.monotonic())

    async def query(self, address, frame, timeout):
        """Delivers a query, as the pool of links does; None if it is lost."""
        del timeout
        received = codec.decode_frame(codec.encode_frame(frame)[4:])
        if self.rng.random() < self._loss:
            await asyncio.sleep(TIMEOUT_SECONDS)
            return None
        await asyncio.sleep(0.001)
        if address not in self.nodes:
            return None
        response = self.nodes[address].reports.handle_query(received)
        if self.rng.random() < self._loss:
            await asyncio.sleep(TIMEOUT_SECONDS)
            return None
        return codec.decode_frame(codec.encode_frame(response)[4:])

    async def send(self, node, results, path="/bad"):
        """Sends a request that may be sent to two targets.

        Args:
          node: the entry node.
          results: the results of the attempts, or functions that return them.
          path: of the request.

        Returns:
          The number of attempts; None if it was refused as poison.
        """
        head = exchange.RequestHead(
            "r", "GET", path, (), "riders", "", datetime.timedelta(seconds=9)
        )
        body = exchange.RequestBody()
        deadline = self.clock.monotonic() + head.remaining_time
        reports = []
        for number, result in enumerate(results, 1):
            trial = await node.guard.obtain_trial(head, body, deadline)
            if trial.is_error():
                return number - 1 or None
            started = self.clock.monotonic()
            if callable(result):
                result = result()
            await asyncio.sleep(WORK_SECONDS)
            record = samples.make_target_record(f"t{next(self._targets)}")
            report = node.guard.record_result(
                head,
                body,
                record,
                result,
                self.clock.monotonic() - started,
                trial.ok,
            )
            if report is not None:
                reports.append(report)
            if (
                result is OK
                or number == len(results)
                or not await node.guard.allows_retry(head, body, reports)
            ):
                return number
        return 0

    def restart_all_at_times(self):
        """Restarts all nodes every second time that it is called."""
        if next(self._calls) % 2 == 0:
            for node in self.nodes.values():
                node.restart()

    def replace_some_at_times(self):
        """Replaces a third of the nodes after every fourth arrival.

        They start in time to count as being in touch at the next arrival.
        """
        if next(self._calls) % 4 == 3:
            self.loop.call_later(
                PAUSE_SECONDS - STABLE_SECONDS, self._replace_some
            )

    def _replace_some(self):
        for name in self.rng.sample(list(self.nodes), len(self.nodes) // 3):
            self.view.remove_node(name)
            del self.nodes[name]
            self._start(f"{name}+")

    async def crash_in_turn(self, rounds=1, before_arrival=_do_nothing):
        """Sends a request that crashes its targets at one node after the other.

        Returns:
          Its retries after it has crashed CRASHES_BEFORE targets.
        """
        crashes = retries = 0
        for node in list(self.nodes.values()) * rounds:
            was_known = crashes >= CRASHES_BEFORE
            before_arrival()
            attempts = await self.send(node, [LOST, LOST]) or 0
            crashes += attempts
            retries += was_known and attempts > 1
            await asyncio.sleep(PAUSE_SECONDS)
        return retries

    async def arrive_in_turn(self, rounds, failing, together, before_arrival):
        """Sends a request that crashes its targets to all nodes, some at once.

        Args:
          rounds: how often it comes to each node.
          failing: share of targets that respond with 500 without running it.
          together: nodes to which it comes at the same time.
          before_arrival: called before each time.

        Returns:
          Its arrivals at targets that count.
        """
        crashes, arrivals = [], []

        def attempt():
            now = self.clock.monotonic().total_seconds()
            arrivals.append(now)
            if self.rng.random() < failing:
                return FAILED
            crashes.append(now + WORK_SECONDS)
            return LOST

        for start in range(0, rounds * len(self.nodes), together):
            before_arrival()
            nodes = list(self.nodes.values())
            await asyncio.gather(
                *(
                    self.send(nodes[number % len(nodes)], [attempt, attempt])
                    for number in range(start, start + together)
                )
            )
            await asyncio.sleep(PAUSE_SECONDS)
        if len(crashes) < CRASHES_BEFORE:
            return 0
        counts_from = sorted(crashes)[CRASHES_BEFORE - 1] + STABLE_SECONDS
        return sum(arrival > counts_from for arrival in arrivals)


class _TestCase(unittest.TestCase):
    def run_in(self, fleet, coroutine):
        self.addCleanup(fleet.loop.close)

        async def run():
            result = await coroutine
            # Reports that nobody waits for.
            await asyncio.sleep(PAUSE_SECONDS)
            return result

        return fleet.loop.run_until_complete(run())


class PoisonAtManyNodesTest(_TestCase):
    """When a request that crashes its targets is retried."""

    def test_it_is_not_retried_at_each_node(self):
        """Guards against a retry at every node that has not seen a crash."""
        for node_count in (3, 24, 100):
            for loss in (0.0, MESSAGE_LOSS):
                for seed in (1, 7):
                    with self.subTest(nodes=node_count, loss=loss, seed=seed):
                        fleet = _Fleet(node_count, seed, loss)

                        retries = self.run_in(
                            fleet, fleet.crash_in_turn(rounds=2)
                        )

                        self.assertLessEqual(retries, MAX_RETRIES)

    def test_it_is_not_retried_after_restarts_of_nodes_that_knew(self):
        """Guards against what is forgotten with one node."""
        fleet = _Fleet(24)
        names = itertools.cycle(fleet.nodes)

        retries = self.run_in(
            fleet,
            fleet.crash_in_turn(2, lambda: fleet.nodes[next(names)].restart()),
        )

        self.assertLessEqual(retries, MAX_RETRIES)

    def test_it_is_not_retried_after_each_restart_of_all_nodes(self):
        """Guards against a count that ends with the processes that hold it.

        All nodes are killed each time after the request has come at two nodes.
        """
        for node_count in (7, 24, 100):
            with self.subTest(nodes=node_count):
                fleet = _Fleet(node_count)

                retries = self.run_in(
                    fleet, fleet.crash_in_turn(2, fleet.restart_all_at_times)
                )

                self.assertLessEqual(retries, MAX_RETRIES)

    def test_crash_of_the_last_attempt_counts(self):
        """Guards against a count that lacks every second crash."""
        fleet = _Fleet(24)
        first, second, *_ = fleet.nodes.values()

        async def run():
            await fleet.send(first, [LOST, LOST])
            await asyncio.sleep(PAUSE_SECONDS)
            return await fleet.send(second, [LOST, LOST])

        self.assertEqual(1, self.run_in(fleet, run()))

    def test_response_clears_what_was_saved(self):
        """Guards against a popular request that is suspect after a restart."""
        fleet = _Fleet(24)
        first, second, *_ = fleet.nodes.values()

        async def run():
            await fleet.send(first, [LOST, LOST], "/popular")
            await fleet.send(second, [LOST], "/popular")
            await asyncio.sleep(PAUSE_SECONDS)
            saved = [dict(node.saved) for node in fleet.nodes.values()]
            self.assertEqual(
                crash_reports.COUNTING_NODES, sum(map(bool, saved))
            )

            await fleet.send(second, [OK], "/popular")

        self.run_in(fleet, run())
        self.assertFalse(any(node.saved for node in fleet.nodes.values()))

    def test_popular_request_on_targets_that_crash_at_once_is_retried(self):
        """Guards against a look-up that is refused for the fault of targets."""
        fleet = _Fleet(24)

        async def run():
            for _ in range(5):
                attempts = await asyncio.gather(
                    *(
                        fleet.send(node, [LOST, OK], "/popular")
                        for node in fleet.nodes.values()
                    )
                )
                self.assertEqual({2}, set(attempts))
                await asyncio.sleep(PAUSE_SECONDS)

        self.run_in(fleet, run())

    def test_popular_request_on_one_crashed_target_after_the_other(self):
        """Guards against a look-up that is refused while targets are replaced."""
        fleet = _Fleet(24)

        async def run():
            for node in fleet.nodes.values():
                attempts = await fleet.send(node, [LOST, OK], "/popular")
                self.assertEqual(2, attempts)
                await asyncio.sleep(1)

        self.run_in(fleet, run())

    def test_retry_is_allowed_if_no_node_responds(self):
        fleet = _Fleet(6, loss=1.0)
        (first, *_) = fleet.nodes.values()

        self.assertEqual(2, self.run_in(fleet, fleet.send(first, [LOST, OK])))


class FirstAttemptTest(_TestCase):
    """Which first attempts are refused for what other nodes have seen."""

    def test_request_that_crashes_targets_rarely_reaches_further_ones(self):
        """Guards against a first attempt at every node that it comes to."""
        for case in itertools.product(
            ((3, 8), (24, 2), (100, 1)),
            (0.0, 0.3, 0.6),
            (1, 4),
            (0.0, MESSAGE_LOSS),
            (False, True),
        ):
            (node_count, rounds), failing, together, loss, restarts = case
            with self.subTest(
                nodes=node_count,
                failing=failing,
                together=together,
                loss=loss,
                restarts=restarts,
            ):
                fleet = _Fleet(node_count, 1, loss)

                arrivals = self.run_in(
                    fleet,
                    fleet.arrive_in_turn(
                        rounds,
                        failing,
                        together,
                        fleet.restart_all_at_times if restarts else _do_nothing,
                    ),
                )

                self.assertLessEqual(arrivals, MAX_RETRIES)

    def test_nodes_that_replace_others_allow_no_further_ones(self):
        """Guards against a count that is lost with the nodes that made it."""
        for seed in range(1, 6):
            for failing in (0.0, 0.3):
                with self.subTest(seed=seed, failing=failing):
                    fleet = _Fleet(24, seed, MESSAGE_LOSS)

                    arrivals = self.run_in(
                        fleet,
                        fleet.arrive_in_turn(
                            3, failing, 1, fleet.replace_some_at_times
                        ),
                    )

                    self.assertLessEqual(arrivals, MAX_RETRIES)

    def test_response_before_a_node_is_told_clears_the_request(self):
        """Guards against responses that are forgotten once gossip arrives."""
        fleet = _Fleet(24)
        first, second, *_ = fleet.nodes.values()

        async def run():
            await fleet.send(first, [LOST, LOST], "/popular")
            self.assertFalse(second.suspects)
            await fleet.send(second, [OK], "/popular")
            await asyncio.sleep(2 * SPREAD_SECONDS)
            return any(node.suspects for node in fleet.nodes.values())

        self.assertFalse(self.run_in(fleet, run()))

    def test_look_up_that_targets_answer_is_not_refused(self):
        """Guards against a look-up blamed for crashes that it does not cause.

        It is lost with a target at one node after the other, while other nodes
        get responses to it.
        """
        for seed in range(1, 11):
            with self.subTest(seed=seed):
                fleet = _Fleet(24, seed)
                rng = random.Random(seed)

                async def run(fleet=fleet, rng=rng):
                    nodes = list(fleet.nodes.values())
                    for _ in range(8):
                        loser, *others = rng.sample(nodes, 6)
                        await fleet.send(loser, [LOST], "/popular")
                        for node in others:
                            self.assertEqual(
                                1, await fleet.send(node, [OK], "/popular")
                            )
                        await asyncio.sleep(3)
                    return await fleet.send(nodes[0], [LOST, OK], "/popular")

                self.assertEqual(2, self.run_in(fleet, run()))


if __name__ == "__main__":
    unittest.main()
