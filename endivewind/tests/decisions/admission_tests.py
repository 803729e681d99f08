"""Admission: who waits, who goes first, who is refused and when."""

import collections
import datetime
import random
import unittest

import hypothesis
from hypothesis import strategies

from endivewind.decisions import admission

SECOND = datetime.timedelta(seconds=1)


def _waiter(workspace="a", weight=1, priority=1, deadline=60.0):
    return admission.Waiter(workspace, weight, priority, SECOND * deadline)


class _Service:
    """Virtual time: slots, a queue, and what callers see."""

    def __init__(self, slots, limit=64):
        self.queue = admission.ServiceQueue(limit)
        self.now = datetime.timedelta()
        self.served = []
        self.refused = []
        self._slots = slots
        self._ends = []
        self._started = {}

    def arrive(self, waiter, seconds=0.1):
        self._started[waiter] = (self.now, seconds)
        if len(self._ends) < self._slots and not len(self.queue):
            self._begin(waiter)
            return
        offered = self.queue.offer(waiter, self.now)
        if isinstance(offered, admission.Refused):
            self.refused.append((waiter, offered, self.now))
        elif offered is not None:
            self.refused.append((offered, None, self.now))

    def run(self, until):
        while self._ends and min(self._ends) <= until:
            self.now = min(self._ends)
            self._ends.remove(self.now)
            self.queue.completed(self.now)
            first = self.queue.first()
            if first is not None:
                self.queue.remove(first)
                self._begin(first)
        self.now = until

    def waits(self):
        """How long each served request waited, in seconds, by workspace."""
        found = collections.defaultdict(list)
        for waiter, wait in self.served:
            found[waiter.workspace].append(wait.total_seconds())
        return found

    def _begin(self, waiter):
        arrived, seconds = self._started[waiter]
        self.served.append((waiter, self.now - arrived))
        self._ends.append(self.now + SECOND * seconds)


class LoadTest(unittest.TestCase):
    """What callers see under load, in virtual time."""

    def test_burst_of_one_workspace_does_not_delay_another(self):
        """One workspace sends fifty at once; another sends one a second.

        First come, first served would let the second wait behind the fifty.
        """
        service = _Service(slots=3)
        for _ in range(50):
            service.arrive(_waiter("burst"))
        for number in range(5):
            service.arrive(_waiter("steady"))
            service.run(SECOND * 0.3 * (number + 1))

        self.assertLess(max(service.waits()["steady"]), 0.21)

    def test_skewed_demand_is_served_by_weight(self):
        service = _Service(slots=2, limit=200)
        for _ in range(60):
            service.arrive(_waiter("large", weight=3))
            service.arrive(_waiter("small", weight=1))
        service.run(SECOND * 2)

        counts = collections.Counter(
            waiter.workspace for waiter, _ in service.served[2:42]
        )
        self.assertAlmostEqual(30, counts["large"], delta=2)

    def test_payouts_go_before_browsing_at_saturation(self):
        rng = random.Random(1)
        service = _Service(slots=3, limit=20)
        for step in range(400):
            service.run(SECOND * step / 50)
            priority = 2 if rng.random() < 0.2 else 0
            service.arrive(
                _waiter("payout" if priority else "browse", 1, priority)
            )

        payouts = [item for item in service.refused if item[0].priority == 2]
        self.assertEqual([], payouts)
        self.assertLess(max(service.waits()["payout"]), 0.5)
        self.assertGreater(len(service.refused), 50)

    def test_saturation_refuses_early_and_serves_the_rest_in_time(self):
        """Twice the load that the slots can carry, deadlines of a second.

        Without the look at the deadline every request would wait its second
        out and fail; with it those that are admitted are served in time.
        """
        service = _Service(slots=3, limit=1_000)
        for step in range(600):
            service.run(SECOND * step / 60)
            now = service.now.total_seconds()
            service.arrive(_waiter(deadline=now + 1))

        late = [wait for _, wait in service.served if wait > SECOND * 1.15]
        self.assertLess(len(late), 0.01 * len(service.served))
        self.assertGreater(len(service.served), 0.9 * 300)
        for waiter, refused, at in service.refused:
            self.assertLess(at, waiter.deadline)
            self.assertGreater(refused.retry_after, datetime.timedelta())

    def test_long_and_short_work_mixed(self):
        """A tenth of the work takes ten times as long, from one workspace."""
        service = _Service(slots=6)
        for step in range(300):
            service.run(SECOND * step / 20)
            if step % 10:
                service.arrive(_waiter("short"), 0.1)
            else:
                service.arrive(_waiter("long"), 1.0)

        self.assertEqual([], service.refused)
        waits = sorted(service.waits()["short"])
        self.assertLess(waits[int(0.99 * len(waits))], 0.5)


class ServiceQueueTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("abc"),
                strategies.integers(0, 2),
                strategies.booleans(),
            ),
            max_size=60,
        ),
        strategies.integers(0, 10),
    )
    def test_is_bounded_and_loses_nobody(self, steps, limit):
        """Each request waits, is served once, or is told of its refusal."""
        queue = admission.ServiceQueue(limit)
        waiting = set()
        for workspace, priority, serve in steps:
            waiter = _waiter(workspace, 1, priority)
            offered = queue.offer(waiter, datetime.timedelta())
            if offered is None:
                waiting.add(waiter)
            elif isinstance(offered, admission.Waiter):
                self.assertLess(offered.priority, priority)
                waiting.remove(offered)
                waiting.add(waiter)
            first = queue.first()
            if serve and first is not None:
                best = max(item.priority for item in waiting)
                self.assertEqual(best, first.priority)
                queue.remove(first)
                waiting.remove(first)
            self.assertEqual(len(waiting), len(queue))
            self.assertLessEqual(len(queue), limit)

    def test_one_who_leaves_frees_its_place(self):
        queue = admission.ServiceQueue(1)
        gone = _waiter()
        queue.offer(gone, datetime.timedelta())
        queue.remove(gone)

        self.assertIsNone(queue.first())
        self.assertIsNone(queue.offer(_waiter(), datetime.timedelta()))
