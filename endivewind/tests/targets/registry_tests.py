"""Leases and homes of targets."""

import datetime
import unittest

from endivewind import clock as clocks
from endivewind.targets import records
from endivewind.targets import registry

SECOND = datetime.timedelta(seconds=1)


class RegistryTest(unittest.TestCase):
    """One home's announcements, on a clock that the test moves."""

    def setUp(self):
        self.clock = clocks.ManualClock()
        self.rivals: dict[str, records.TargetRecord] = {}
        identity = registry.HomeIdentity("n0", 5, "andina", "andina-a")
        self.targets = registry.TargetRegistry(
            identity, self.clock, self.rivals.get
        )

    def _announce(self, moves=0, incarnation=1):
        announcement = registry.Announcement(
            service="riders",
            address="http://127.0.0.1:1",
            incarnation=incarnation,
            moves=moves,
            lease_ms=2000,
        )
        return self.targets.announce("t1", announcement, 3)

    def _pass(self, seconds):
        for _ in range(int(seconds * 5)):
            self.clock.advance(SECOND / 5)
            self.targets.expire()

    def _rival(self, moves, incarnation=1, home_incarnation=9):
        return records.TargetRecord(
            id="t1",
            service="riders",
            home="n1",
            home_incarnation=home_incarnation,
            sequence=1,
            region="andina",
            zone="andina-b",
            slots=3,
            weight=1,
            state=records.State.READY,
            health=records.Health.NORMAL,
            target_incarnation=incarnation,
            moves=moves,
        )

    def test_given_up_target_is_named_with_its_new_home(self):
        self._announce()
        self.targets.give_up(self._rival(moves=1))
        self.assertEqual("n1", self.targets.moved_to("t1"))

        self._announce(moves=2)
        self.assertEqual("", self.targets.moved_to("t1"))

    def test_resumed_home_hands_over_nothing_on_a_lapsed_lease(self):
        """The target has moved; the home must not use its old lease.

        The home is stopped for longer than the lease. A request waits in its
        socket and is read before the timer that ends leases has run.
        """
        self._announce()
        self.clock.advance(SECOND * 30)
        self.assertIsNone(self.targets.get("t1"))

    def test_renewal_from_before_a_pause_is_refused(self):
        """A renewal that lay in the socket brings no lapsed lease back.

        The target sent it before the pause and announced elsewhere since. It
        is refused; the next one, sent after the pause, is taken.
        """
        self._announce()
        self._pass(1)
        self.clock.advance(SECOND * 30)
        self.assertEqual(registry.Refused.RESUMING, self._announce().error)
        self._pass(0.6)
        self.assertTrue(self._announce().is_ok())

    def test_short_pause_costs_no_lease(self):
        self._announce()
        self.clock.advance(SECOND * 1.5)
        self.assertTrue(self._announce().is_ok())

    def test_a_leave_binds_a_home_that_has_not_heard_of_the_target(self):
        """A request reaches a target seconds after it has said that it leaves.

        Its home has restarted and takes the leave before any announcement;
        one that was held up on the way comes next. Taken, it would bring the
        target back, with nothing after it to end that before its lease.
        """
        self.assertFalse(self.targets.depart("t1", incarnation=2))

        self.assertEqual(
            registry.Refused.LEFT, self._announce(incarnation=2).error
        )
        self.assertIsNone(self.targets.get("t1"))
        self.assertTrue(self._announce(incarnation=3).is_ok())

    def test_later_announcement_elsewhere_takes_the_target(self):
        """Two homes hold one target; the one left by it gives it up."""
        self._announce(moves=1)
        self.assertFalse(self.targets.give_up(self._rival(moves=0)))
        self.assertTrue(self.targets.give_up(self._rival(moves=2)))
        self.assertIsNone(self.targets.get("t1"))
        gone = self.targets.take_changes()[-1]
        self.assertTrue(gone.is_removal)

    def test_late_announcement_is_refused(self):
        """An announcement that crossed a later one elsewhere is not taken."""
        self.rivals["t1"] = self._rival(moves=2)
        self.assertEqual(registry.Refused.MOVED, self._announce(1).error)
        self.assertTrue(self._announce(moves=3).is_ok())

    def test_earlier_start_is_refused(self):
        self._announce(incarnation=2)
        self.assertEqual(registry.Refused.OLDER_START, self._announce().error)
        self.rivals["t1"] = self._rival(moves=0, incarnation=4)
        result = self._announce(incarnation=3)
        self.assertEqual(registry.Refused.OLDER_START, result.error)

    def test_stopping_home_hands_over_until_the_target_has_moved(self):
        """A planned stop loses no capacity while targets move."""
        self._announce()
        self.targets.stop_taking()
        self.assertEqual(registry.Refused.STOPPING, self._announce().error)
        self.assertIsNotNone(self.targets.get("t1"))

    def test_changes_are_numbered_without_gaps(self):
        self._announce()
        self.targets.set_health("t1", records.Health.EJECTED)
        self.targets.withdraw("t1")
        sequences = [
            item.record.sequence for item in self.targets.take_changes()
        ]
        self.assertEqual([1, 2, 3], sequences)


if __name__ == "__main__":
    unittest.main()
