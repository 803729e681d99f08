"""The sequential test: who is ejected, and who is not."""

import datetime
import random
import unittest

from endivewind.decisions import baseline
from endivewind.decisions import bounds
from endivewind.decisions import ejection
from endivewind.decisions import judging

TARGETS = tuple(f"riders-{number}" for number in range(8))
STEP = datetime.timedelta(milliseconds=10)
USUAL = datetime.timedelta(milliseconds=100)
GOOD = judging.Result.GOOD
FAILED = judging.Result.FAILED


class _Bench:
    """Requests one after another at every target in turn."""

    def __init__(self, limits, targets=TARGETS):
        self.judge = judging.ServiceJudge(limits)
        self.now = datetime.timedelta()
        self.targets = targets
        self.changes = []
        self._number = 0
        self._rng = random.Random(1)

    @property
    def requests(self):
        return self._number

    def request(self, target, result=GOOD, factor=1.0, workspace=None):
        self._number += 1
        self.now += STEP
        latency = USUAL * factor * self._rng.uniform(0.7, 1.4)
        owner = workspace or f"workspace-{self._number % 7}"
        self.judge.started(target, self._number, self.now - latency)
        self._note(
            self.judge.finished(
                target, self._number, result, latency, owner, self.now
            )
        )

    def rounds(self, number, **odd):
        """Rounds over all targets; odd gives arguments for some of them."""
        for _ in range(number):
            for target in self.targets:
                self.request(target, **odd.get(target.replace("-", "_"), {}))

    def start(self, target):
        self._number += 1
        self.judge.started(target, self._number, self.now)

    def wait(self, span):
        end = self.now + span
        while self.now < end:
            self.now += datetime.timedelta(milliseconds=100)
            self.changes.extend(self.judge.advance(self.now))

    def ejected(self):
        return [
            change.target
            for change in self.changes
            if change.status is ejection.Status.EJECTED
        ]

    def _note(self, change):
        if change is not None:
            self.changes.append(change)


class _JudgeTest(unittest.TestCase):
    def bench(self, limits=bounds.DETECTION, targets=TARGETS):
        bench = _Bench(limits, targets)
        bench.rounds(60)
        self.assertEqual([], bench.ejected())
        return bench


class OneSickTargetTest(_JudgeTest):
    """One target fails or slows while its peers stay well.

    Callers get its errors until its home takes it out, so it must go out
    after few requests, and none of its peers may go with it.
    """

    def test_errors_count_before_latencies_are_known(self):
        """A home has just started and one of its targets fails all work.

        Latencies are judged from 200 requests on. Errors need none of that:
        until then callers would see every failure of the target.
        """
        bench = _Bench(bounds.DETECTION)
        bench.rounds(20, riders_2={"result": FAILED})

        self.assertLess(bench.requests, baseline.MIN_HISTORY)
        self.assertEqual(["riders-2"], bench.ejected())

    def test_all_requests_fail(self):
        bench = self.bench()

        bench.rounds(4, riders_2={"result": FAILED})

        self.assertEqual(["riders-2"], bench.ejected())

    def test_some_requests_fail(self):
        bench = self.bench()

        for number in range(40):
            result = FAILED if number % 4 == 0 else GOOD
            bench.rounds(1, riders_2={"result": result})

        self.assertEqual(["riders-2"], bench.ejected())

    def test_three_times_as_slow(self):
        bench = self.bench()

        bench.rounds(6, riders_2={"factor": 3.5})

        self.assertEqual(["riders-2"], bench.ejected())

    def test_hangs_and_ends_nothing(self):
        bench = self.bench()

        for _ in range(3):
            bench.start("riders-2")
        bench.wait(datetime.timedelta(seconds=1))

        self.assertEqual(["riders-2"], bench.ejected())

    def test_hangs_while_the_peers_have_no_work(self):
        """All requests wait at one target; no peer has any news to compare.

        The target must not become its own measure, or it would be excused.
        """
        bench = self.bench()
        bench.wait(datetime.timedelta(seconds=10))

        for _ in range(3):
            bench.start("riders-2")
        bench.wait(datetime.timedelta(seconds=3))

        self.assertEqual(["riders-2"], bench.ejected())

    def test_capacity_profile_asks_for_more_evidence(self):
        bench = self.bench(bounds.CAPACITY)

        bench.rounds(4, riders_2={"result": FAILED})
        early = bench.ejected()
        bench.rounds(3, riders_2={"result": FAILED})

        self.assertEqual(([], ["riders-2"]), (early, bench.ejected()))


class TroubleOfAllTest(_JudgeTest):
    """Every target is slow, fails or is overloaded at the same time.

    No target stands out then. Ejecting any would leave more work to the
    rest, which would be next: callers would lose the whole service.
    """

    def test_all_slow(self):
        bench = self.bench()

        bench.rounds(
            60, **{name.replace("-", "_"): {"factor": 4} for name in TARGETS}
        )

        self.assertEqual([], bench.ejected())

    def test_all_failing(self):
        bench = self.bench()

        bench.rounds(
            60,
            **{name.replace("-", "_"): {"result": FAILED} for name in TARGETS},
        )

        self.assertEqual([], bench.ejected())

    def test_all_hanging(self):
        bench = self.bench()

        for target in TARGETS:
            for _ in range(3):
                bench.start(target)
        bench.wait(datetime.timedelta(seconds=3))

        self.assertEqual([], bench.ejected())


class LonelyTargetTest(_JudgeTest):
    """A home has one target of the service; the others are elsewhere.

    The node sees the others' answers as an entry. Without them the home
    could not tell a sick target from a sick service, and every home would
    eject its own when the service is in trouble.
    """

    def bench(self, limits=bounds.DETECTION, targets=("riders-2",)):
        bench = _Bench(limits, targets)
        for _ in range(250):
            self.witness(bench)
            bench.request("riders-2")
        return bench

    def witness(self, bench, result=GOOD, factor=1.0):
        for target in ("riders-4", "riders-5", "riders-6"):
            bench.judge.witnessed(
                target, result, USUAL * factor, "other", bench.now
            )

    def test_service_in_trouble(self):
        for odd in ({"result": FAILED}, {"factor": 4}):
            bench = self.bench()

            for _ in range(60):
                self.witness(bench, **odd)
                bench.request("riders-2", **odd)

            self.assertEqual([], bench.ejected())

    def test_target_in_trouble(self):
        for odd in ({"result": FAILED}, {"factor": 4}):
            bench = self.bench()

            for _ in range(10):
                self.witness(bench)
                bench.request("riders-2", **odd)

            self.assertEqual(["riders-2"], bench.ejected())


class InnocentTargetTest(_JudgeTest):
    """A target that is well, or honest about being full, keeps its work."""

    def test_shedding_is_not_sickness(self):
        bench = self.bench()

        bench.rounds(60, riders_2={"result": None})

        self.assertEqual([], bench.ejected())

    def test_one_workspace_sends_what_fails(self):
        """One workspace's requests fail, and happen to meet one target.

        The target answers all others well, so the requests are to blame; a
        verdict would carry the trouble to the next target.
        """
        bench = self.bench()

        for _ in range(30):
            bench.request("riders-2", FAILED, workspace="bad")
            for _ in range(3):
                bench.request("riders-2")

        self.assertEqual([], bench.ejected())

    def test_few_errors_in_an_hour(self):
        bench = self.bench()

        for _ in range(5):
            bench.wait(datetime.timedelta(minutes=10))
            bench.request("riders-2", FAILED)

        self.assertEqual([], bench.ejected())

    def test_short_deadlines_of_callers(self):
        bench = self.bench()

        bench.rounds(
            60,
            riders_2={"result": judging.Result.UNFINISHED, "factor": 0.5},
        )

        self.assertEqual([], bench.ejected())


class ReturnTest(_JudgeTest):
    """An ejected target heals, or does not.

    Its trials decide: callers must get its capacity back soon, and must not
    get its errors again.
    """

    def test_returns_after_good_trials(self):
        bench = self.bench()
        bench.rounds(4, riders_2={"result": FAILED})

        bench.wait(bounds.DETECTION.hold)
        in_trial = bench.judge.status("riders-2")
        for _ in range(bounds.DETECTION.trial_successes):
            bench.request("riders-2")

        self.assertIs(ejection.Status.TRIAL, in_trial)
        self.assertIs(ejection.Status.NORMAL, bench.judge.status("riders-2"))

    def test_stays_out_after_bad_trials(self):
        bench = self.bench()
        bench.rounds(4, riders_2={"result": FAILED})

        bench.wait(bounds.DETECTION.hold)
        for _ in range(bounds.DETECTION.trial_failures):
            bench.request("riders-2", FAILED)

        self.assertIs(ejection.Status.EJECTED, bench.judge.status("riders-2"))

    def test_a_healed_target_may_be_slow_now_and_then(self):
        limits = bounds.DETECTION
        state = ejection.Ejection(limits)
        state.eject(datetime.timedelta())
        state.advance(limits.hold)

        for _ in range(3):
            state.tried(False, limits.hold)
            for _ in range(limits.trial_successes - 1):
                state.tried(True, limits.hold)
        state.tried(True, limits.hold)

        self.assertIs(ejection.Status.NORMAL, state.status)

    def test_hold_of_a_flapping_target_grows_and_is_forgiven(self):
        limits = bounds.DETECTION
        state = ejection.Ejection(limits)
        now = datetime.timedelta()
        holds = []
        for _ in range(4):
            state.eject(now)
            holds.append(state.hold())
            now += state.hold()
            state.advance(now)
            for _ in range(limits.trial_successes):
                state.tried(True, now)
        state.eject(now + 4 * ejection.FORGIVE)

        self.assertEqual([limits.hold * 2**n for n in range(4)], holds)
        self.assertEqual(limits.hold, state.hold())

    def test_request_held_since_before_does_not_count(self):
        """A trial's request hangs; the target heals and is normal again.

        That request is overdue for long, but it was sent to the sick target.
        """
        bench = self.bench()
        bench.rounds(4, riders_2={"result": FAILED})
        bench.wait(bounds.DETECTION.hold)
        for _ in range(3):
            bench.start("riders-2")
        for _ in range(bounds.DETECTION.trial_successes):
            bench.request("riders-2")
        bench.wait(datetime.timedelta(seconds=2))

        self.assertEqual(["riders-2"], bench.ejected())
