"""Tests of the computation of admission levels from reported demand."""

import dataclasses
import datetime
import unittest

from endivewind.decisions import admission_level
from endivewind.decisions import peer_updates
from endivewind.nodes import admission_messages
from endivewind.nodes import codec
from endivewind.nodes import datagrams
from endivewind.nodes import gossip_messages

PERIOD = datetime.timedelta(milliseconds=250)


def _demand(*classes, served=10, is_busy=True):
    return admission_level.ServiceDemand(
        "riders",
        PERIOD,
        tuple(admission_level.ClassDemand(*item) for item in classes),
        served=served,
        placed=served,
        delayed=served if is_busy else 0,
        waiting=3 if is_busy else 0,
        reused=served if is_busy else 0,
        backlog=0.7 * served if is_busy else 0.0,
    )


def _level(demand, seconds=3.0):
    """Returns the level after some time of constant demand at two nodes."""
    now = datetime.timedelta()
    calculator = admission_level.LevelCalculator("riders", now)
    level = None
    for number in range(round(seconds / PERIOD.total_seconds())):
        now += PERIOD
        calculator.record("a", demand, now)
        calculator.record("b", demand, now)
        level = calculator.compute(number, now)
    return level


class LevelTest(unittest.TestCase):
    def test_urgent_classes_are_admitted_whole(self):
        """Ten of 40 requests are served, and five of them are urgent."""
        level = _level(_demand((0, "", 1, 5), (-1, "", 1, 20), (-2, "", 1, 15)))

        self.assertEqual(-1, level.lowest_priority)
        self.assertAlmostEqual(5 / 20, level.share, delta=0.05)
        self.assertGreater(level.retry_after.total_seconds(), 3)

    def test_workspaces_get_weighted_fair_shares(self):
        """A workspace that sends most must not displace the others."""
        level = _level(_demand((0, "a", 1, 60), (0, "b", 3, 6), (0, "c", 1, 2)))

        self.assertEqual(1, level.share_of("c"))
        self.assertEqual(1, level.share_of("b"))
        self.assertAlmostEqual(2 / 60, level.share_of("a"), delta=0.03)

    def test_rising_demand_does_not_exclude_the_least_urgent_class(self):
        """If all classes fit, only what they left was admitted of the last.

        Ten of eleven requests are served, but fewer arrived shortly before.
        """
        now = datetime.timedelta()
        calculator = admission_level.LevelCalculator("riders", now)
        level = None
        for number, count in enumerate([7] * 60 + [11] * 4):
            now += PERIOD
            for sender in ("a", "b"):
                demand = _demand((0, "", 1, count))
                calculator.record(sender, demand, now)
            level = calculator.compute(number, now)

        self.assertEqual(0, level.lowest_priority)
        self.assertGreater(level.share, 0.8)

    def test_spare_capacity_ends_the_level(self):
        """Requests must not be refused while slots are idle."""
        self.assertIsNone(_level(_demand((0, "", 1, 40), is_busy=False)))


class ReportTest(unittest.TestCase):
    """Reports that cover the last second, four times a second."""

    SLICES_PER_REPORT = 4

    def _reports(self, urgent):
        """Returns reports, given the urgent requests of each quarter second.

        A hundred a second arrive if 20 of them are urgent; 40 are served.
        """
        reports = []
        for number in range(1, len(urgent) + 1):
            covered = urgent[:number][-self.SLICES_PER_REPORT :]
            count = len(covered)
            demand = _demand(
                (1, "", 1, sum(covered)),
                (0, "", 1, 20 * count),
                served=10 * count,
            )
            reports.append(
                dataclasses.replace(
                    demand,
                    period=count * PERIOD,
                    ended=number * PERIOD,
                    interval=PERIOD,
                )
            )
        return reports

    def _level_after(self, reports):
        """Returns the level after reports, each with its time of arrival."""
        calculator = admission_level.LevelCalculator(
            "riders", datetime.timedelta()
        )
        level = None
        for number, (now, demand) in enumerate(reports):
            calculator.record("a", demand, now)
            level = calculator.compute(number, now)
        return level

    def test_lost_reports_do_not_take_their_counts_along(self):
        """The share was computed from the requests of received reports only."""
        received = [(item.ended, item) for item in self._reports((8, 2) * 6)]

        level = self._level_after(received[1::2])

        self.assertEqual(0, level.lowest_priority)
        self.assertAlmostEqual((40 - 20) / 80, level.share, delta=0.03)

    def test_overlapping_reports_count_once(self):
        """The latest requests would count several times in a window."""
        urgent = (2,) * 8 + (8,) * 4
        received = [(item.ended, item) for item in self._reports(urgent)]

        level = self._level_after(received)

        # 32 in the last second and half of the 8 in the one before.
        self.assertAlmostEqual((40 - 36 / 1.5) / 80, level.share, delta=0.03)

    def test_repeated_reports_count_once(self):
        """Repeated reports stood for the time before, in place of older ones."""
        urgent = (2,) * 8 + (8,) * 4
        received = [(item.ended, item) for item in self._reports(urgent)]
        end, last = received[-1]
        repeated = [(end + PERIOD / 10 * n, last) for n in range(1, 6)]

        level = self._level_after([*received, *repeated])

        self.assertAlmostEqual((40 - 36 / 1.5) / 80, level.share, delta=0.03)

    def test_reports_in_another_order_are_sorted(self):
        """A report that was overtaken replaced the latest one."""
        urgent = (2,) * 8 + (8,) * 4
        *reports, before, last = self._reports(urgent)
        received = [(item.ended, item) for item in reports]
        received += [(before.ended, last), (last.ended, before)]

        level = self._level_after(received)

        self.assertAlmostEqual((40 - 36 / 1.5) / 80, level.share, delta=0.03)

    def test_node_whose_clock_starts_anew_is_heard_again(self):
        """Its reports would be taken for late ones for ever."""
        reports = self._reports((8, 2) * 6)
        before = [
            dataclasses.replace(
                item,
                ended=item.ended + datetime.timedelta(hours=1),
                classes=(admission_level.ClassDemand(2, "", 1, 1000),),
            )
            for item in reports
        ]
        received = [
            (number * PERIOD, item)
            for number, item in enumerate([*before, *reports])
        ]

        level = self._level_after(received)

        self.assertEqual(0, level.lowest_priority)


class DatagramTest(unittest.TestCase):
    def test_reports_and_levels_are_transmitted(self):
        """A field that is lost on the wire makes coordinators miscount."""
        level = admission_level.AdmissionLevel(
            "riders",
            7,
            lowest_priority=-3,
            share=0.25,
            workspace_shares=(admission_level.WorkspaceShare("a", 0.5),),
        )
        update = peer_updates.PeerUpdate(
            demands=(_demand((-1, "a", 2, 5)),), admission_levels=(level,)
        )
        message = gossip_messages.Datagram("n1", 1, peer_update=update)

        decoded = datagrams.decode(datagrams.encode(message))

        self.assertEqual(message, decoded)

    def test_period_of_reports_is_transmitted(self):
        """Without its end a report that is late or repeated counts again."""
        demand = dataclasses.replace(
            _demand((-1, "a", 2, 5)),
            ended=datetime.timedelta(days=400),
            interval=PERIOD,
        )

        struct = admission_messages.encode_demand(demand)

        self.assertEqual(demand, admission_messages.decode_demand(struct))

    def test_clock_beyond_all_times_is_bounded(self):
        """An OverflowError would end the task that receives datagrams."""
        struct = codec.messages.ServiceDemand(
            service_name="riders", ended_ms=2**63 - 1
        )

        demand = admission_messages.decode_demand(struct)

        self.assertGreater(demand.ended, datetime.timedelta(days=365))

    def test_level_without_a_field_is_refused(self):
        """Read as 0, a share refuses all requests of the lowest priority."""
        level = admission_level.AdmissionLevel(
            "riders",
            7,
            workspace_shares=(admission_level.WorkspaceShare("a", 0.5),),
        )
        for field in (
            "number",
            "valid_ms",
            "lowest_priority",
            "share",
            "retry_after_ms",
        ):
            struct = admission_messages.encode_level(level)
            setattr(struct, field, None)
            with self.subTest(field=field), self.assertRaises(ValueError):
                admission_messages.decode_level(struct)

        struct = admission_messages.encode_level(level)
        struct.workspace_shares[0].share = None
        with self.assertRaises(ValueError):
            admission_messages.decode_level(struct)

    def test_negative_demand_is_ignored(self):
        """A class without demand made the coordinator divide by zero."""
        update = peer_updates.PeerUpdate(
            demands=(_demand((0, "a", 1, 40), (0, "b", 1, -1)),)
        )
        message = gossip_messages.Datagram("n1", 1, peer_update=update)

        decoded = datagrams.decode(datagrams.encode(message))
        demand = decoded.peer_update.demands[0]

        self.assertEqual(["a"], [item.workspace for item in demand.classes])
        self.assertIsNotNone(_level(demand))

    def test_datagrams_without_them_are_unchanged(self):
        """Nodes without shared admission must send the same bytes as before."""
        data = datagrams.encode(gossip_messages.Datagram("n1", 1))

        self.assertEqual(
            "000b0001000000026e310a0002000000000000000100", data.hex()
        )


if __name__ == "__main__":
    unittest.main()
