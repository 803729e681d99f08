"""Tests scenarios of repeats, and two short runs with real processes."""

import asyncio
import pathlib
import tempfile
import unittest

from endivewind.soak import calling_targets
from endivewind.soak import retry_runs

Trouble = retry_runs.Trouble


class ScenarioTest(unittest.TestCase):
    def test_seed_determines_scenario(self):
        self.assertEqual(retry_runs.draw(7), retry_runs.draw(7))

    def test_seeds_draw_all_failures_and_troubles(self):
        drawn = [retry_runs.draw(seed) for seed in range(60)]

        self.assertEqual(
            set(calling_targets.Failure),
            {item for scenario in drawn for item in scenario.failures},
        )
        self.assertEqual(
            set(Trouble),
            {item for scenario in drawn for item in scenario.troubles},
        )


class RetryRunTest(unittest.IsolatedAsyncioTestCase):
    """Runs with failing targets that call, and a few troubles more."""

    async def _execute(self, scenario):
        with tempfile.TemporaryDirectory() as folder:
            run = retry_runs.RetryRun(scenario, pathlib.Path(folder))
            return await run.execute()

    async def test_short_runs_keep_all_limits(self):
        """Guards against more repeats than allowed with real processes.

        One run has a request that crashes targets and nodes that are replaced,
        at addresses of their own. The other has three services in a chain, and
        targets that go on with requests that were given up.
        """
        results = await asyncio.gather(
            self._execute(
                retry_runs.Scenario(
                    3,
                    troubles=frozenset(
                        {Trouble.CRASHING_REQUEST, Trouble.REPLACED_NODES}
                    ),
                    nodes=8,
                    seconds=20.0,
                    has_own_addresses=True,
                )
            ),
            self._execute(
                retry_runs.Scenario(
                    4,
                    troubles=frozenset({Trouble.PAUSED_TARGETS}),
                    services=3,
                    nodes=8,
                    seconds=20.0,
                )
            ),
        )

        for result in results:
            with self.subTest(str(result.scenario)):
                self.assertEqual((), result.findings)
                self.assertGreater(result.windows["ledger"].repeats, 10)
                self.assertGreater(result.statuses[200], 50)
        (crashing, *_) = results
        self.assertGreaterEqual(crashing.crashes[0][1], 2)


if __name__ == "__main__":
    unittest.main()
