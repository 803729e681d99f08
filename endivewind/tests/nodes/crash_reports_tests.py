"""Tests of the nodes that count crashes and grant trials."""

import datetime
import unittest

from endivewind import clock as clocks
from endivewind.decisions import poison_requests
from endivewind.nodes import changes
from endivewind.nodes import codec
from endivewind.nodes import crash_reports
from endivewind.nodes import view

SECOND = datetime.timedelta(seconds=1)
BAD = b"bad"


class _Pool:
    """Links to other nodes; those in `silent` do not respond."""

    def __init__(self):
        self.nodes = {}
        self.silent = set()

    async def query(self, address, frame, timeout):
        if address in self.silent:
            return None
        return self.nodes[address].handle_query(frame)


class _TestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = clocks.ManualClock()
        self.clock.advance(60 * SECOND)
        self.pool = _Pool()
        self.published = []
        self.changes = 0
        fleet = view.FleetView()
        for name in ("a", "b", "c"):
            fleet.put_node(view.NodeRecord(name, 1, name, "r", "z"))
        for name in ("a", "b", "c"):
            self.pool.nodes[name] = crash_reports.CrashReportService(
                name,
                fleet,
                self.pool,
                self.clock,
                poison_requests.SuspectRequests(),
                self.published.append,
                self._record_change,
            )
        self.node = self.pool.nodes["a"]

    def _record_change(self):
        self.changes += 1

    async def crash(self, target, age=0 * SECOND, fingerprint=BAD):
        """Reports a crash a second later; returns the record of the request."""
        self.clock.advance(SECOND)
        await self.node.report_crash(fingerprint, target, age)
        return self.node.suspects.find(fingerprint)

    async def make_suspect(self, fingerprint=BAD):
        await self.crash("t1", fingerprint=fingerprint)
        return await self.crash("t2", fingerprint=fingerprint)


class CountTest(_TestCase):
    """Which crashes are held against a request."""

    async def test_second_crash_makes_it_suspect_at_all_counting_nodes(self):
        self.assertIsNone(await self.crash("t1"))
        self.assertEqual(0, (await self.crash("t2")).failed_trials)

        for node in self.pool.nodes.values():
            self.assertIsNotNone(node.suspects.find(BAD))
            self.assertEqual({BAD.hex(): 2}, node.saved_counts())

    async def test_targets_that_crash_at_once_are_no_failed_trials(self):
        """Guards against a popular request that is refused for their crash.

        All attempts had begun before the request became suspect.
        """
        for number in range(9):
            suspect = await self.crash(f"t{number}", age=number * SECOND)

        self.assertEqual(0, suspect.failed_trials)

    async def test_later_attempt_of_a_node_that_was_not_told_counts(self):
        """Guards against crashes at nodes that gossip has not reached."""
        await self.make_suspect()

        self.assertEqual(1, (await self.crash("t3")).failed_trials)

    async def test_crash_before_a_response_does_not_count(self):
        """Guards against reports that overtake each other."""
        suspect = await self.make_suspect()
        await self.node.report_change(suspect.cleared())

        for target in ("t3", "t4"):
            self.assertIsNone(await self.crash(target, age=9 * SECOND))

    async def test_request_may_become_suspect_again(self):
        suspect = await self.make_suspect()
        await self.node.report_change(suspect.cleared())
        self.clock.advance(SECOND)

        self.assertEqual(2, (await self.make_suspect()).generation)

    async def test_response_of_a_node_of_an_earlier_release_clears(self):
        await self.make_suspect()

        await self.node.report_response(BAD)

        for node in self.pool.nodes.values():
            self.assertIsNone(node.suspects.find(BAD))

    async def test_counts_of_the_latest_suspect_requests_are_saved(self):
        """Guards against an entry that grows with each crash of a target."""
        await self.crash("t1", fingerprint=b"once")
        self.assertEqual({}, self.node.saved_counts())
        wanted = poison_requests.MAX_SAVED_REQUESTS
        for number in range(wanted + 1):
            await self.make_suspect(bytes([number]))

        saved = self.node.saved_counts()

        self.assertEqual(wanted, len(saved))
        self.assertNotIn(bytes([0]).hex(), saved)

    async def test_restored_counts_go_on(self):
        """Guards against trials that begin anew with each restart."""
        self.node.restore({BAD.hex(): 3})
        self.assertEqual({BAD.hex(): 3}, self.node.saved_counts())

        await self.crash("t3")

        self.assertEqual({BAD.hex(): 4}, self.node.saved_counts())

    async def test_counts_of_other_nodes_are_known_but_not_saved(self):
        self.node.restore({BAD.hex(): 3}, is_own=False)

        self.assertEqual(1, self.node.suspects.find(BAD).failed_trials)
        self.assertEqual({}, self.node.saved_counts())


class TrialTest(_TestCase):
    """Which trials are granted."""

    async def ask(self, name="a"):
        node = self.pool.nodes[name]
        suspect = self.node.suspects.find(BAD)
        return await node.ask_trial(suspect, 2 * SECOND)

    async def test_one_node_at_a_time_makes_a_trial(self):
        """Guards against a herd of callers that crashes a target each."""
        await self.make_suspect()

        self.assertIsNotNone(await self.ask("a"))
        self.assertIsNone(await self.ask("a"))
        self.assertIsNone(await self.ask("b"))

    async def test_released_trial_allows_another(self):
        await self.make_suspect()
        self.node.release_trial(await self.ask("a"))

        self.assertIsNotNone(await self.ask_until_granted("b"))

    async def ask_until_granted(self, name):
        # The release is sent by a task.
        for _ in range(3):
            trial = await self.ask(name)
            if trial is not None:
                return trial
        return None

    async def test_most_counting_nodes_have_to_grant_it(self):
        """Guards against two trials on both sides of a partition."""
        await self.make_suspect()
        self.pool.silent = {"b"}
        trial = await self.ask("a")
        self.assertIsNotNone(trial)
        self.node.release_trial(trial)

        self.pool.silent = {"b", "c"}

        self.assertIsNone(await self.ask("a"))

    async def test_trial_of_a_lost_node_counts_as_failed(self):
        """Guards against a suspect request that waits for a lost node."""
        await self.make_suspect()
        await self.ask("a")
        self.clock.advance(3 * SECOND)

        self.assertIsNone(await self.ask("b"))
        self.assertEqual(1, self.node.suspects.find(BAD).failed_trials)
        self.clock.advance(max(poison_requests.TRIAL_PAUSES))
        self.assertIsNotNone(await self.ask("b"))

    async def test_no_trial_is_granted_in_a_pause(self):
        suspect = await self.make_suspect()
        await self.node.report_change(suspect.after_failed_trial())

        self.assertIsNone(await self.ask("b"))

    async def test_asking_node_learns_what_it_has_missed(self):
        """Guards against a trial at a node that gossip has not reached."""
        suspect = await self.make_suspect()
        failed = suspect.after_failed_trial().after_failed_trial()
        for name in ("b", "c"):
            self.pool.nodes[name].suspects.put(failed, self.clock.monotonic())

        self.assertIsNone(await self.ask("a"))
        self.assertEqual(failed, self.node.suspects.find(BAD))


class MessageTest(_TestCase):
    """Messages that are not valid."""

    def test_ask_without_a_record_is_not_granted(self):
        for suspect in (None, codec.messages.SuspectRequest()):
            ask = codec.messages.TrialAsk(suspect=suspect)
            frame = codec.messages.Frame(trial_ask=ask)

            response = self.node.handle_query(frame)

            self.assertFalse(response.trial_grant.granted)

    def test_record_without_a_fingerprint_is_dropped(self):
        report = codec.messages.CrashReport(
            fingerprint=BAD, suspect=codec.messages.SuspectRequest()
        )

        self.node.handle_query(codec.messages.Frame(crash_report=report))

        self.assertEqual([], self.node.suspects.records())

    def test_record_survives_a_round_trip(self):
        record = poison_requests.SuspectRequest(bytes(range(32)), 3, True, 2)

        self.assertEqual(record, changes.decode(changes.encode(record)))


if __name__ == "__main__":
    unittest.main()
