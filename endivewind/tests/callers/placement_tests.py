"""Placement: the pool follows the view, and ramps what is new to it."""

import collections
import dataclasses
import datetime
import random
import unittest

import expression

from endivewind import clock as clocks
from endivewind import exchange
from endivewind.callers import placement
from endivewind.decisions import load_balancing
from endivewind.decisions import slow_start
from endivewind.nodes import view
from endivewind.targets import records
from endivewind.tests import samples

SERVICE = "riders"
FLOOR = 12


def _record(number, health=records.Health.NORMAL):
    return samples.target(f"riders-{number}", sequence=number, health=health)


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.clock = clocks.ManualClock()
        self.fleet = view.FleetView()
        self.fleet.put_node(
            view.NodeRecord("node-a", 1, "192.0.2.1:1", "andina", "andina-a")
        )
        self._sequence = 0
        self.placement = placement.Placement(
            load_balancing.Locality("node-a", "andina", "andina-a"),
            self.fleet,
            lambda service: FLOOR,
            self.clock,
            random.Random(1),
        )

    def put(self, items):
        self._sequence += 1
        self.fleet.put_home_state("node-a", 1, self._sequence, items)

    def fill(self):
        """Places work until no slot is free; counts it by target."""
        placed = collections.Counter()
        while True:
            found = self.placement.choose(SERVICE, load_balancing.Demand(False))
            if found is None:
                return placed
            self.placement.started(found)
            placed[found.id] += 1

    def test_a_target_that_returns_begins_with_one_slot(self):
        """It was ejected and is normal again, while all want slots."""
        items = [_record(number) for number in range(8)]
        out = dataclasses.replace(items[0], health=records.Health.EJECTED)
        self.put([out, *items[1:]])
        self.placement.choose(SERVICE, load_balancing.Demand(False))

        self.put(items)
        first = self.fill()
        self.clock.advance(slow_start.SLOW_START_DURATION)
        later = self.fill()

        self.assertEqual((1, 3), (first["riders-0"], first["riders-1"]))
        self.assertEqual({"riders-0": 2}, later)

    def test_a_target_that_its_home_no_longer_holds_rests(self):
        """A home restarts; its targets are known there until news comes.

        It refuses at once and so looks idle. Each request would ask it again
        and again until its placings are used up, with a healthy target next
        to it.
        """
        items = [_record(number) for number in range(2)]
        self.put(items)
        for reason in (exchange.Reason.STALE_HOME, exchange.Reason.STOPPING):
            with self.subTest(reason):
                refused = expression.Error(exchange.not_run(reason))
                self.placement.started(items[0])
                self.placement.ended(items[0], refused, datetime.timedelta())

                chosen = {self.choose() for _ in range(20)}
                self.clock.advance(placement.SHED_REST)
                later = {self.choose() for _ in range(20)}

                self.assertEqual({"riders-1"}, chosen)
                self.assertEqual({"riders-0", "riders-1"}, later)

    def test_a_target_that_has_moved_is_asked_at_its_new_home(self):
        """The old home names the new one: a rest would only cost time."""
        items = [_record(number) for number in range(2)]
        self.put(items)
        moved = exchange.Refusal(
            exchange.Outcome.NOT_RUN,
            exchange.Reason.STALE_HOME,
            moved_to="node-b",
        )
        self.placement.started(items[0])
        self.placement.ended(
            items[0], expression.Error(moved), datetime.timedelta()
        )

        chosen = {self.choose() for _ in range(20)}

        self.assertIn("riders-0", chosen)

    def choose(self):
        """The id of the target that a request would go to."""
        return self.placement.choose(SERVICE, load_balancing.Demand(False)).id

    def test_what_the_floor_brings_back_has_all_its_slots(self):
        """Half of the targets are ejected at once; the floor needs some.

        A ramp would undercut the floor just when capacity is short.
        """
        items = [_record(number) for number in range(6)]
        self.put(items)
        self.placement.choose(SERVICE, load_balancing.Demand(False))

        out = [_record(n, records.Health.EJECTED) for n in range(4)]
        self.put([*out, *items[4:]])

        self.assertEqual(FLOOR, self.fill().total())

    def test_a_restart_of_most_of_the_service_is_not_ramped(self):
        self.put([_record(number) for number in range(2)])
        self.placement.choose(SERVICE, load_balancing.Demand(False))

        self.put([_record(number) for number in range(8)])

        self.assertEqual(24, self.fill().total())

    def test_one_slow_answer_does_not_make_a_slow_target(self):
        """Two targets answer in 0.5 s; then one request of one takes 3 s.

        Work has a long tail: the next answers may come as fast as ever. A
        target that takes 3 s for each is left aside after a few.
        """
        items = [_record(number) for number in range(2)]
        self.put(items)
        for item in items:
            self.answer(item, 0.5)
        self.clock.advance(datetime.timedelta(seconds=5))
        self.answer(items[1], 0.5)

        self.answer(items[0], 3.0)
        after_one = {self.choose() for _ in range(20)}
        for _ in range(6):
            self.answer(items[0], 3.0)
        after_many = {self.choose() for _ in range(20)}

        self.assertEqual({"riders-0", "riders-1"}, after_one)
        self.assertEqual({"riders-1"}, after_many)

    def answer(self, item, seconds):
        """A request to a target ends well."""
        self.placement.started(item)
        answer = expression.Ok(exchange.Response(200, ()))
        latency = datetime.timedelta(seconds=seconds)
        self.placement.ended(item, answer, latency)

    def test_draining_targets_get_no_new_work(self):
        draining = dataclasses.replace(_record(0), state=records.State.DRAINING)
        self.put([draining, _record(1)])

        self.assertEqual({"riders-1": 3}, self.fill())

    def test_load_is_remembered_over_a_change_of_the_view(self):
        self.put([_record(0)])
        self.fill()
        self.placement.ended(_record(0), None, datetime.timedelta())

        self.put([_record(0), _record(1)])

        self.assertEqual({"riders-0": 1, "riders-1": 3}, self.fill())
