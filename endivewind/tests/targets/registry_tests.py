"""Tests leases and home changes of targets."""

import datetime
import unittest

import pydantic

from endivewind import clock as clocks
from endivewind.targets import records
from endivewind.targets import registry

SECOND = datetime.timedelta(seconds=1)


class AnnouncementTest(unittest.TestCase):
    def test_address_that_none_can_connect_to_is_refused(self):
        """Guards against an internal error for each request to the target."""
        for address in (
            "http://127.0.0.1:99999",
            "http://127.0.0.1:" + "9" * 30,
            "http://127.0.0.1:-5",
            "http://127.0.0.1:0",
            "http://127.0.0.1:http",
            "http://:80",
            "http://",
            "http://[::1",
            "http://a b:80",
        ):
            with (
                self.subTest(address),
                self.assertRaises(pydantic.ValidationError),
            ):
                registry.Announcement(service="riders", address=address)

    def test_address_that_can_be_connected_to_is_accepted(self):
        for address in (
            "http://127.0.0.1:65535",
            "http://[::1]:80",
            "http://target",
            "http://target:1/base",
        ):
            with self.subTest(address):
                registry.Announcement(service="riders", address=address)


class RegistryTest(unittest.TestCase):
    """Announcements at one home node, with a manual clock."""

    def setUp(self):
        self.clock = clocks.ManualClock()
        self.published_records: dict[str, records.TargetRecord] = {}
        identity = registry.HomeIdentity("n0", 5, "andina", "andina-a")
        self.targets = registry.TargetRegistry(
            identity, self.clock, self.published_records.get
        )

    def _announce(self, moves=0, incarnation=1, state=records.State.READY):
        announcement = registry.Announcement(
            service="riders",
            address="http://127.0.0.1:1",
            incarnation=incarnation,
            moves=moves,
            state=state,
            lease_ms=2000,
        )
        return self.targets.announce("t1", announcement, 3)

    def _announce_cold(self, cold_ms):
        announcement = registry.Announcement(
            service="riders",
            address="http://127.0.0.1:1",
            incarnation=1,
            cold_ms=cold_ms,
        )
        self.targets.announce("t1", announcement, 3)
        return [change.record.cold_ms for change in self.targets.take_changes()]

    def test_cold_time_is_not_published_unless_capacity_is_measured(self):
        """Guards against new bytes on the wire while the part is off."""
        self.assertEqual([0], self._announce_cold(5_000))
        self.assertEqual([], self._announce_cold(0))

    def test_cold_time_is_published_once_and_when_it_ends(self):
        """Guards against a change to all nodes for each announcement."""
        self.targets = registry.TargetRegistry(
            registry.HomeIdentity("n0", 5, "andina", "andina-a"),
            self.clock,
            measures_capacity=True,
        )

        published = [self._announce_cold(ms) for ms in (5_000, 3_500, 2_000, 0)]

        self.assertEqual([[5_000], [], [], [0]], published)

    def test_work_time_is_measured_anew_once_the_target_is_warm(self):
        """Guards against a warm target that keeps the share of a cold one."""
        self.targets = registry.TargetRegistry(
            registry.HomeIdentity("n0", 5, "andina", "andina-a"),
            self.clock,
            measures_capacity=True,
        )
        self._announce_cold(5_000)
        work_time = self.targets.get("t1").work_time
        for _ in range(8):
            work_time.record(0.5, True)
        cold = dict(self.targets.work_times())

        self._announce_cold(0)

        self.assertEqual({"t1": 0.5}, cold)
        self.assertEqual({}, self.targets.work_times())

    def _advance(self, seconds):
        for _ in range(int(seconds * 5)):
            self.clock.advance(SECOND / 5)
            self.targets.remove_expired()

    def _record_elsewhere(self, moves, incarnation=1, home_incarnation=9):
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
            health=records.EjectionStatus.NORMAL,
            target_incarnation=incarnation,
            moves=moves,
        )

    def test_leaving_target_stays_draining_whatever_it_announces(self):
        """Guards against using a target again that is about to stop.

        Its response says that it is leaving, and announcements from before
        that arrive later.
        """
        self._announce()

        self.targets.mark_leaving(self.targets.get("t1"))
        self._announce()

        item = self.targets.get("t1")
        self.assertIs(records.State.DRAINING, item.record.state)
        states = [change.record.state for change in self.targets.take_changes()]
        self.assertEqual([records.State.READY, records.State.DRAINING], states)

    def test_departure_of_a_withdrawn_target_is_reported(self):
        """A target withdraws, and its last response says that it is leaving.

        Entry nodes must learn of the departure from that response: a restarted
        home would accept an announcement from before the withdrawal.
        """
        self._announce()
        item = self.targets.get("t1")
        self.targets.remove("t1")

        self.targets.mark_leaving(item)

        self.assertIsNone(self.targets.get("t1"))
        report = item.report(self.clock.monotonic())
        self.assertEqual(1, report.leaving_incarnation)

    def test_restarted_target_is_no_longer_leaving(self):
        self._announce()
        self.targets.mark_leaving(self.targets.get("t1"))

        self._announce(incarnation=2)

        item = self.targets.get("t1")
        self.assertIs(records.State.READY, item.record.state)
        self.assertEqual(
            0, item.report(self.clock.monotonic()).leaving_incarnation
        )

    def test_without_incarnations_the_next_announcement_decides(self):
        """A restart of the target can't be distinguished otherwise."""
        self._announce(incarnation=0)
        self.targets.mark_leaving(self.targets.get("t1"))

        self._announce(incarnation=0)

        self.assertIs(records.State.READY, self.targets.get("t1").record.state)

    def test_new_home_of_a_moved_target_is_known(self):
        self._announce()
        self.targets.release_if_moved(self._record_elsewhere(moves=1))
        self.assertEqual("n1", self.targets.moved_to("t1"))

        self._announce(moves=2)
        self.assertEqual("", self.targets.moved_to("t1"))

    def test_expired_lease_is_not_used_after_a_pause(self):
        """Guards against sending requests to a target that has moved.

        The home node is paused for longer than the lease. A request in its
        socket buffer is read before the timer that removes expired leases runs.
        """
        self._announce()
        self.clock.advance(SECOND * 30)
        self.assertIsNone(self.targets.get("t1"))

    def test_renewal_from_before_a_pause_is_refused(self):
        """Guards against a renewal from before a pause restoring a lease.

        The target sent it before the pause and has registered elsewhere since.
        It is refused; the next one, sent after the pause, is accepted.
        """
        self._announce()
        self._advance(1)
        self.clock.advance(SECOND * 30)
        self.assertEqual(
            registry.AnnouncementRefusal.RESUMING, self._announce().error
        )
        self._advance(0.6)
        self.assertTrue(self._announce().is_ok())

    def test_lease_outlasts_a_short_pause(self):
        self._announce()
        self.clock.advance(SECOND * 1.5)
        self.assertTrue(self._announce().is_ok())

    def test_withdrawal_of_an_unregistered_target_is_remembered(self):
        """Guards against requests to a target that has withdrawn and stopped.

        A restarted home node gets the withdrawal before any announcement. A
        delayed announcement then must not register the target again, as it
        would stay until its lease expires.
        """
        self.assertFalse(self.targets.depart("t1", incarnation=2))

        self.assertEqual(
            registry.AnnouncementRefusal.DEPARTED,
            self._announce(incarnation=2).error,
        )
        self.assertIsNone(self.targets.get("t1"))
        self.assertTrue(self._announce(incarnation=3).is_ok())

    def test_withdrawal_with_its_start_refuses_no_later_start(self):
        """Guards against a restarted target that is refused for 30 s.

        The withdrawal of its earlier start arrives late, at a node where it is
        not registered. The upper bound is the time of arrival.
        """
        self.targets.depart("t1", incarnation=2, max_incarnation=9)

        self.assertEqual(
            registry.AnnouncementRefusal.DEPARTED,
            self._announce(incarnation=2).error,
        )
        self.assertTrue(self._announce(incarnation=3).is_ok())

    def test_withdrawal_of_an_earlier_start_keeps_the_later_departure(self):
        """Guards against requests to a target that has withdrawn and stopped.

        The withdrawals of two starts arrive in reverse order, and then a
        delayed announcement of the second start.
        """
        self.targets.depart("t1", incarnation=3)
        self.targets.depart("t1", incarnation=2)

        self.assertEqual(
            registry.AnnouncementRefusal.DEPARTED,
            self._announce(incarnation=3).error,
        )

    def test_departure_of_a_later_start_is_forgotten_in_time(self):
        """Guards against a departure that each late withdrawal renews."""
        self.targets.depart("t1", incarnation=3)
        self._advance(registry.DEPARTURE_RETENTION / SECOND)
        self.targets.depart("t1", incarnation=2)

        self.assertTrue(self._announce(incarnation=3).is_ok())

    def test_draining_target_is_not_ready_again_after_its_lease(self):
        """Guards against a late announcement that undoes the draining.

        The target sends none after it has said that it is draining, so that its
        lease ends while it still serves.
        """
        for state in (records.State.READY, records.State.DRAINING):
            self._announce(state=state)
        self._advance(2.2)
        self.assertIsNone(self.targets.get("t1"))

        late = self._announce()

        self.assertEqual(registry.AnnouncementRefusal.DEPARTED, late.error)
        self.assertTrue(self._announce(incarnation=2).is_ok())

    def test_departures_include_draining_targets(self):
        self._announce()
        self.targets.depart("t1", incarnation=1)
        for target, state in (("t2", "draining"), ("t3", "ready")):
            announcement = self._counted_announcement(1, state)
            self.targets.announce(target, announcement, 3)

        self.assertEqual({"t1": 1, "t2": 1}, self.targets.departures())
        self._advance(registry.DEPARTURE_RETENTION / SECOND)
        self.assertEqual({"t2": 1}, self.targets.departures())

    def _counted_announcement(self, sequence, state="ready"):
        return registry.Announcement(
            service="riders",
            address=f"http://127.0.0.1:{sequence}",
            incarnation=1,
            sequence=sequence,
            state=state,
            lease_ms=60_000,
        )

    def _restart_without_departures(self):
        self.knows_departures = False
        self.targets = registry.TargetRegistry(
            registry.HomeIdentity("n0", 6, "andina", "andina-a"),
            self.clock,
            knows_departures=lambda: self.knows_departures,
        )

    def _is_accepted(self, announcement):
        return self.targets.announce("t1", announcement, 3).is_ok()

    def test_late_announcement_at_a_home_that_forgot_is_not_enough(self):
        """Guards against requests to a target that left before a restart.

        The home can't read which departures it has acknowledged. A target that
        has not left announces itself again.
        """
        self._restart_without_departures()
        late, later = map(self._counted_announcement, (4, 5))

        self.assertFalse(self._is_accepted(late))
        self.assertFalse(self._is_accepted(late))
        self.assertTrue(self._is_accepted(later))

    def test_announcements_that_are_not_counted_are_accepted_twice(self):
        self._restart_without_departures()

        results = [self._announce().is_ok() for _ in range(2)]

        self.assertEqual([False, True], results)

    def test_first_announcement_is_enough_once_departures_are_known(self):
        self._restart_without_departures()
        announcement = self._counted_announcement(4)
        self.assertFalse(self._is_accepted(announcement))
        self.knows_departures = True

        self.assertTrue(self._is_accepted(announcement))

    def test_restored_departure_removes_a_target_that_was_accepted(self):
        """Guards against two late announcements of a target that has left."""
        self._restart_without_departures()
        for sequence in (4, 5):
            self._is_accepted(self._counted_announcement(sequence))
        self.assertIsNotNone(self.targets.get("t1"))

        self.targets.restore_departure("t1", 1)

        self.assertIsNone(self.targets.get("t1"))
        self.assertFalse(self._is_accepted(self._counted_announcement(6)))

    def test_restored_departure_keeps_a_draining_target(self):
        self._restart_without_departures()
        self._is_accepted(self._counted_announcement(4, "draining"))

        self.targets.restore_departure("t1", 1)

        self.assertIsNotNone(self.targets.get("t1"))

    def test_draining_target_is_accepted_at_a_home_that_forgot(self):
        self._restart_without_departures()

        self.assertTrue(
            self._is_accepted(self._counted_announcement(4, "draining"))
        )

    def test_later_announcement_elsewhere_removes_the_target(self):
        """Two home nodes have registered a target; one must remove it."""
        self._announce(moves=1)
        self.assertFalse(
            self.targets.release_if_moved(self._record_elsewhere(moves=0))
        )
        self.assertTrue(
            self.targets.release_if_moved(self._record_elsewhere(moves=2))
        )
        self.assertIsNone(self.targets.get("t1"))
        change = self.targets.take_changes()[-1]
        self.assertTrue(change.is_removal)

    def test_outdated_announcement_is_refused(self):
        """An announcement arrives after a later one at another home node."""
        self.published_records["t1"] = self._record_elsewhere(moves=2)
        self.assertEqual(
            registry.AnnouncementRefusal.MOVED, self._announce(1).error
        )
        self.assertTrue(self._announce(moves=3).is_ok())

    def test_earlier_incarnation_is_refused(self):
        self._announce(incarnation=2)
        self.assertEqual(
            registry.AnnouncementRefusal.OLDER_INCARNATION,
            self._announce().error,
        )
        self.published_records["t1"] = self._record_elsewhere(
            moves=0, incarnation=4
        )
        result = self._announce(incarnation=3)
        self.assertEqual(
            registry.AnnouncementRefusal.OLDER_INCARNATION, result.error
        )

    def test_stopping_home_keeps_its_targets_until_they_have_moved(self):
        """Guards against a loss of capacity during a planned stop."""
        self._announce()
        self.targets.refuse_announcements()
        self.assertEqual(
            registry.AnnouncementRefusal.STOPPING, self._announce().error
        )
        self.assertIsNotNone(self.targets.get("t1"))

    def test_changes_are_numbered_without_gaps(self):
        self._announce()
        self.targets.set_ejection_status("t1", records.EjectionStatus.EJECTED)
        self.targets.remove("t1")
        sequences = [
            item.record.sequence for item in self.targets.take_changes()
        ]
        self.assertEqual([1, 2, 3], sequences)


if __name__ == "__main__":
    unittest.main()
