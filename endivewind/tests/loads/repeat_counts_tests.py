"""Load test: repeats of two services, of which one calls the other."""

import unittest

from endivewind.tests.loads import calling_fleet
from endivewind.tests.loads import fleet
from endivewind.tests.loads import repeat_counts

TRIP = fleet.RequestKind("trip", 22, 0.14, 0.3, 0.8, 2.0, rank=2)
PAYOUT = fleet.RequestKind(
    "payout", 49, 0.19, 0.5, 0.8, 2.5, is_non_idempotent=True
)
SLIP = fleet.RequestKind(
    "slip",
    34,
    0.24,
    0.3,
    1.2,
    4.0,
    rank=2,
    service=calling_fleet.CALLED_SERVICE,
)
LOOKUP = fleet.RequestKind("lookup", 60, 0.14, 0.3, 1.2, 8.0)
KINDS = (TRIP, PAYOUT, SLIP)
CALLS = {
    "trip": calling_fleet.CallKind(mean_work=0.035, timeout=0.4),
    "payout": calling_fleet.CallKind(share=0.0),
}
LAST_CALLS = calling_fleet.CallKind(count=2, mean_work=0.03, timeout=0.4)
SEEDS = (1, 2)
WARM_UP_SECONDS = 12
OUTAGE_SECONDS = 24


def _fleet(seed):
    simulated = repeat_counts.CallingRepeatFleet(
        seed, CALLS, retries=repeat_counts.NODE_LIMITS
    )
    simulated.run(WARM_UP_SECONDS, KINDS)
    return simulated


def _fail(simulated, calling_share, called_share):
    for name, target in simulated.targets.items():
        is_calling = simulated.service_of(name) == fleet.SERVICE
        target.failure_share = calling_share if is_calling else called_share


def _run_outage(simulated):
    """Runs the fleet while most attempts at the calling service fail."""
    _fail(simulated, 0.7, 0.3)
    simulated.run(OUTAGE_SECONDS, KINDS)


class _RepeatsTest(unittest.TestCase):
    def _check(self, simulated, least_shares):
        """Checks the bound of each service.

        Args:
          simulated: the fleet.
          least_shares: by service, the least repeats as a share of those that
            its requests allow. A fleet without any would keep the bound.
        """
        for service, counts in simulated.counts.items():
            with self.subTest(service=service):
                self.assertLessEqual(counts.max_excess(), 0)
                allowed = repeat_counts.RETRY_SHARE * len(counts.requests)
                self.assertGreater(
                    len(counts.repeats), least_shares[service] * allowed
                )


class LateArrivalTest(_RepeatsTest):
    def test_delayed_retries_arrive_with_later_ones(self):
        """Guards against retries that arrive in a later window than they count in.

        Requests take three seconds to their homes at first and none later, as
        when homes are slow or have long queues.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulated = repeat_counts.RepeatFleet(
                    seed,
                    entries_per_zone=2,
                    retries=repeat_counts.NODE_LIMITS,
                )
                simulated.run(WARM_UP_SECONDS, (LOOKUP,))
                for target in simulated.targets.values():
                    target.failure_share = 1.0
                simulated.request_delay_seconds = 3.0
                simulated.loop.call_later(
                    4, setattr, simulated, "request_delay_seconds", 0.0
                )
                simulated.run(OUTAGE_SECONDS, (LOOKUP,))

                self._check(simulated, {fleet.SERVICE: 0.5})


class CalledServiceTest(_RepeatsTest):
    def test_calls_of_repeats_while_the_calling_service_fails(self):
        """Guards against calls that exceed the budget of the called service.

        Targets fail after they have made their calls, so that each retry of
        their requests makes its calls once more.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulated = _fleet(seed)
                _run_outage(simulated)

                # The retries of the calling service are bounded by what is left
                # for their calls.
                self._check(
                    simulated,
                    {calling_fleet.CALLED_SERVICE: 0.5, fleet.SERVICE: 0.1},
                )

    def test_calls_of_targets_that_have_deregistered(self):
        """Guards against calls that count as requests of callers.

        A target that has deregistered works on, and makes calls.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulated = repeat_counts.CallingRepeatFleet(
                    seed, CALLS, retries=repeat_counts.NODE_LIMITS
                )
                simulated.schedule_departures(6, absence_seconds=2)
                simulated.run(WARM_UP_SECONDS, KINDS)
                _run_outage(simulated)

                self._check(
                    simulated,
                    {calling_fleet.CALLED_SERVICE: 0.5, fleet.SERVICE: 0.1},
                )


class GivenUpRequestTest(_RepeatsTest):
    def test_calls_of_requests_that_were_given_up_long_before(self):
        """Guards against calls that count as requests of callers.

        Targets do nothing until their requests are given up, and make their
        calls long after.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulated = repeat_counts.CallingRepeatFleet(
                    seed, CALLS, retries=repeat_counts.NODE_LIMITS
                )
                for target in simulated.targets.values():
                    target.hang_share = 1.0
                    simulated.loop.call_later(
                        1, setattr, target, "hang_share", 0.0
                    )
                simulated.schedule_late_calls(WARM_UP_SECONDS - 1, TRIP.name)
                simulated.run(WARM_UP_SECONDS, KINDS)
                _run_outage(simulated)

                self._check(
                    simulated,
                    {calling_fleet.CALLED_SERVICE: 0.5, fleet.SERVICE: 0.1},
                )


class CallChainTest(_RepeatsTest):
    def test_calls_that_are_made_for_calls_of_repeats(self):
        """Guards against repeats that count at the first called service only.

        Targets of the called service call a third one, to which callers send
        no requests.
        """
        calls = {
            **CALLS,
            SLIP.name: LAST_CALLS,
            calling_fleet.CALL_KIND: LAST_CALLS,
        }
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulated = repeat_counts.ChainRepeatFleet(
                    seed, calls, retries=repeat_counts.NODE_LIMITS
                )
                simulated.run(WARM_UP_SECONDS, KINDS)
                _run_outage(simulated)

                # What is left for the calls of the last service bounds the
                # repeats of the others.
                self._check(
                    simulated,
                    {
                        repeat_counts.LAST_SERVICE: 0.0,
                        calling_fleet.CALLED_SERVICE: 0.1,
                        fleet.SERVICE: 0.1,
                    },
                )
                last_counts = simulated.counts[repeat_counts.LAST_SERVICE]
                reserves = OUTAGE_SECONDS / 10 * repeat_counts.RETRY_RESERVE
                self.assertGreater(len(last_counts.repeats), 0.5 * reserves)


if __name__ == "__main__":
    unittest.main()
