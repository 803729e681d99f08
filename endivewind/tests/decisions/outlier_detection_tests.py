"""Tests of outlier detection: which targets are ejected and which are not."""

import datetime
import random
import unittest

from endivewind.decisions import baseline
from endivewind.decisions import ejection
from endivewind.decisions import ejection_settings
from endivewind.decisions import outlier_detection

TARGETS = tuple(f"riders-{number}" for number in range(8))
REQUEST_INTERVAL = datetime.timedelta(milliseconds=10)
BASE_LATENCY = datetime.timedelta(milliseconds=100)
GOOD = outlier_detection.Result.GOOD
FAILED = outlier_detection.Result.FAILED


class _Simulation:
    """Sends simulated requests to a detector, one after another."""

    def __init__(self, settings, target_ids=TARGETS):
        self.detector = outlier_detection.OutlierDetector(settings)
        self.now = datetime.timedelta()
        self.target_ids = target_ids
        self.changes = []
        self._request_number = 0
        self._rng = random.Random(1)

    @property
    def request_count(self):
        return self._request_number

    def request(self, target, result=GOOD, factor=1.0, workspace=None):
        self._request_number += 1
        self.now += REQUEST_INTERVAL
        latency = BASE_LATENCY * factor * self._rng.uniform(0.7, 1.4)
        workspace_id = workspace or f"workspace-{self._request_number % 7}"
        self.detector.record_start(
            target, self._request_number, self.now - latency
        )
        self._add_change(
            self.detector.record_finish(
                target,
                self._request_number,
                result,
                latency,
                workspace_id,
                self.now,
            )
        )

    def rounds(self, number, **overrides):
        """Sends requests to all targets in turn.

        Args:
          number: requests to each target.
          **overrides: arguments of `request` for single targets, by target
            with underscores for hyphens.
        """
        for _ in range(number):
            for target in self.target_ids:
                self.request(
                    target, **overrides.get(target.replace("-", "_"), {})
                )

    def start(self, target):
        self._request_number += 1
        self.detector.record_start(target, self._request_number, self.now)

    def wait(self, span):
        end = self.now + span
        while self.now < end:
            self.now += datetime.timedelta(milliseconds=100)
            self.changes.extend(self.detector.run_periodic_checks(self.now))

    def ejected(self):
        return [
            change.target
            for change in self.changes
            if change.status is ejection.Status.EJECTED
        ]

    def _add_change(self, change):
        if change is not None:
            self.changes.append(change)


class _DetectorTest(unittest.TestCase):
    def simulation(
        self,
        settings=ejection_settings.FAST_DETECTION_PRESET,
        target_ids=TARGETS,
    ):
        simulation = _Simulation(settings, target_ids)
        simulation.rounds(60)
        self.assertEqual([], simulation.ejected())
        return simulation


class OneUnhealthyTargetTest(_DetectorTest):
    """One target fails or is slow while its peers stay healthy.

    Callers get its errors until its home node ejects it. It must be ejected
    after few requests, and none of its peers with it.
    """

    def test_errors_count_before_latencies_are_known(self):
        """A node has just started, and one target fails all requests.

        Latencies are evaluated only after 200 requests. Errors must be counted
        from the start; otherwise callers would see every failure until then.
        """
        simulation = _Simulation(ejection_settings.FAST_DETECTION_PRESET)
        simulation.rounds(20, riders_2={"result": FAILED})

        self.assertLess(simulation.request_count, baseline.MIN_HISTORY_REQUESTS)
        self.assertEqual(["riders-2"], simulation.ejected())

    def test_failures_count_although_peers_are_slow_now_and_then(self):
        """Guards against a failing target that is never ejected.

        A busy VM stalls now and then, and one response of each healthy target
        is slow. The target that fails gets a request every few seconds only,
        because suspicion keeps others away. Its peers' latencies must not
        excuse its failures: four in a row eject it.
        """
        simulation = self.simulation(target_ids=TARGETS[:4])
        for _ in range(4):
            simulation.request("riders-2", FAILED)
            for number in range(30):
                is_slow = number % 15 == 14
                for target in ("riders-0", "riders-1", "riders-3"):
                    simulation.request(target, factor=3.0 if is_slow else 1.0)
            simulation.wait(datetime.timedelta(seconds=1.5))

        self.assertEqual(["riders-2"], simulation.ejected())

    def test_all_requests_fail(self):
        simulation = self.simulation()

        simulation.rounds(4, riders_2={"result": FAILED})

        self.assertEqual(["riders-2"], simulation.ejected())

    def test_some_requests_fail(self):
        simulation = self.simulation()

        for number in range(40):
            result = FAILED if number % 4 == 0 else GOOD
            simulation.rounds(1, riders_2={"result": result})

        self.assertEqual(["riders-2"], simulation.ejected())

    def test_three_times_as_slow(self):
        simulation = self.simulation()

        simulation.rounds(6, riders_2={"factor": 3.5})

        self.assertEqual(["riders-2"], simulation.ejected())

    def test_hangs_and_finishes_no_request(self):
        simulation = self.simulation()

        for _ in range(3):
            simulation.start("riders-2")
        simulation.wait(datetime.timedelta(seconds=1))

        self.assertEqual(["riders-2"], simulation.ejected())

    def test_hangs_while_peers_are_idle(self):
        """All requests wait at one target, and no peer has recent requests.

        The target must not be compared with itself, or its evidence would be
        dismissed.
        """
        simulation = self.simulation()
        simulation.wait(datetime.timedelta(seconds=10))

        for _ in range(3):
            simulation.start("riders-2")
        simulation.wait(datetime.timedelta(seconds=3))

        self.assertEqual(["riders-2"], simulation.ejected())

    def test_capacity_profile_requires_more_evidence(self):
        simulation = self.simulation(ejection_settings.KEEP_CAPACITY_PRESET)

        simulation.rounds(4, riders_2={"result": FAILED})
        ejected_early = simulation.ejected()
        simulation.rounds(3, riders_2={"result": FAILED})

        self.assertEqual(
            ([], ["riders-2"]), (ejected_early, simulation.ejected())
        )


class CommonFaultTest(_DetectorTest):
    """All targets are slow, failing or overloaded at the same time.

    No target is an outlier then. Ejecting any would put more load on the rest,
    which would be ejected next: callers would lose the whole service.
    """

    def test_all_slow(self):
        simulation = self.simulation()

        simulation.rounds(
            60, **{name.replace("-", "_"): {"factor": 4} for name in TARGETS}
        )

        self.assertEqual([], simulation.ejected())

    def test_all_failing(self):
        simulation = self.simulation()

        simulation.rounds(
            60,
            **{name.replace("-", "_"): {"result": FAILED} for name in TARGETS},
        )

        self.assertEqual([], simulation.ejected())

    def test_all_hanging(self):
        simulation = self.simulation()

        for target in TARGETS:
            for _ in range(3):
                simulation.start(target)
        simulation.wait(datetime.timedelta(seconds=3))

        self.assertEqual([], simulation.ejected())


class SingleTargetTest(_DetectorTest):
    """A node has one target of the service; other nodes have the rest.

    The node gets the responses of the other targets as their entry node.
    Without them it could not tell an unhealthy target from an unhealthy
    service, and each node would eject its target when the service fails.
    """

    def simulation(
        self,
        settings=ejection_settings.FAST_DETECTION_PRESET,
        target_ids=("riders-2",),
    ):
        simulation = _Simulation(settings, target_ids)
        for _ in range(250):
            self.record_remote_requests(simulation)
            simulation.request("riders-2")
        return simulation

    def record_remote_requests(self, simulation, result=GOOD, factor=1.0):
        for target in ("riders-4", "riders-5", "riders-6"):
            simulation.detector.record_remote(
                target, result, BASE_LATENCY * factor, "other", simulation.now
            )

    def test_unhealthy_service(self):
        for override in ({"result": FAILED}, {"factor": 4}):
            simulation = self.simulation()

            for _ in range(60):
                self.record_remote_requests(simulation, **override)
                simulation.request("riders-2", **override)

            self.assertEqual([], simulation.ejected())

    def test_unhealthy_target(self):
        for override in ({"result": FAILED}, {"factor": 4}):
            simulation = self.simulation()

            for _ in range(10):
                self.record_remote_requests(simulation)
                simulation.request("riders-2", **override)

            self.assertEqual(["riders-2"], simulation.ejected())


class HealthyTargetTest(_DetectorTest):
    """Healthy targets, and those that shed load when full, stay in use."""

    def test_shedding_is_not_a_fault(self):
        simulation = self.simulation()

        simulation.rounds(60, riders_2={"result": None})

        self.assertEqual([], simulation.ejected())

    def test_failing_requests_of_one_workspace(self):
        """One workspace's requests fail, and happen to reach one target.

        The target serves all other workspaces well, so the requests are the
        cause. Ejecting the target would move the failures to the next one.
        """
        simulation = self.simulation()

        for _ in range(30):
            simulation.request("riders-2", FAILED, workspace="bad")
            for _ in range(3):
                simulation.request("riders-2")

        self.assertEqual([], simulation.ejected())

    def test_few_errors_within_an_hour(self):
        simulation = self.simulation()

        for _ in range(5):
            simulation.wait(datetime.timedelta(minutes=10))
            simulation.request("riders-2", FAILED)

        self.assertEqual([], simulation.ejected())

    def test_short_deadlines_of_callers(self):
        simulation = self.simulation()

        simulation.rounds(
            60,
            riders_2={
                "result": outlier_detection.Result.UNFINISHED,
                "factor": 0.5,
            },
        )

        self.assertEqual([], simulation.ejected())


class TrialTest(_DetectorTest):
    """An ejected target recovers or stays unhealthy, as its trial shows.

    Callers must get its capacity back soon, and must not get its errors again.
    """

    def test_returns_after_successful_trials(self):
        simulation = self.simulation()
        simulation.rounds(4, riders_2={"result": FAILED})

        simulation.wait(
            ejection_settings.FAST_DETECTION_PRESET.base_ejection_time
        )
        status_in_trial = simulation.detector.status("riders-2")
        for _ in range(ejection_settings.FAST_DETECTION_PRESET.trial_successes):
            simulation.request("riders-2")

        self.assertIs(ejection.Status.TRIAL, status_in_trial)
        self.assertIs(
            ejection.Status.NORMAL, simulation.detector.status("riders-2")
        )

    def test_stays_ejected_after_failed_trials(self):
        simulation = self.simulation()
        simulation.rounds(4, riders_2={"result": FAILED})

        simulation.wait(
            ejection_settings.FAST_DETECTION_PRESET.base_ejection_time
        )
        for _ in range(ejection_settings.FAST_DETECTION_PRESET.trial_failures):
            simulation.request("riders-2", FAILED)

        self.assertIs(
            ejection.Status.EJECTED, simulation.detector.status("riders-2")
        )

    def test_recovered_target_may_be_slow_occasionally(self):
        settings = ejection_settings.FAST_DETECTION_PRESET
        state = ejection.EjectionState(settings)
        state.eject(datetime.timedelta())
        state.advance(settings.base_ejection_time)

        for _ in range(3):
            state.record_trial(False, settings.base_ejection_time)
            for _ in range(settings.trial_successes - 1):
                state.record_trial(True, settings.base_ejection_time)
        state.record_trial(True, settings.base_ejection_time)

        self.assertIs(ejection.Status.NORMAL, state.status)

    def test_ejection_time_of_flapping_target_grows_and_expires(self):
        settings = ejection_settings.FAST_DETECTION_PRESET
        state = ejection.EjectionState(settings)
        now = datetime.timedelta()
        ejection_times = []
        for _ in range(4):
            state.eject(now)
            ejection_times.append(state.ejection_duration())
            now += state.ejection_duration()
            state.advance(now)
            for _ in range(settings.trial_successes):
                state.record_trial(True, now)
        state.eject(now + 4 * ejection.FORGIVENESS_INTERVAL)

        self.assertEqual(
            [settings.base_ejection_time * 2**n for n in range(4)],
            ejection_times,
        )
        self.assertEqual(settings.base_ejection_time, state.ejection_duration())

    def test_request_from_before_the_change_does_not_count(self):
        """A trial request hangs; the target recovers and is normal again.

        The request is long overdue, but was sent while the target was
        unhealthy.
        """
        simulation = self.simulation()
        simulation.rounds(4, riders_2={"result": FAILED})
        simulation.wait(
            ejection_settings.FAST_DETECTION_PRESET.base_ejection_time
        )
        for _ in range(3):
            simulation.start("riders-2")
        for _ in range(ejection_settings.FAST_DETECTION_PRESET.trial_successes):
            simulation.request("riders-2")
        simulation.wait(datetime.timedelta(seconds=2))

        self.assertEqual(["riders-2"], simulation.ejected())
