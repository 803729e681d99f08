"""End-to-end tests of what targets say of themselves in their responses."""

import collections
import unittest

import aiohttp

from endivewind.tests import processes

CONFIGURATION = {
    "services": {"riders": {"slots": 3, "retry_percent": 0}},
    "route_groups": {
        "camerino": {"routes": [{"prefix": "/riders", "service": "riders"}]}
    },
}
REQUEST_COUNT = 60


class SelfReportTest(unittest.IsolatedAsyncioTestCase):
    """Two targets at one home node; callers send to a node of another zone."""

    async def asyncSetUp(self):
        fleet = await self.enterAsyncContext(processes.Fleet())
        self.home = await fleet.start_node("home", "andina-a")
        self.entry = await fleet.start_node("entry", "andina-b")
        for name in ("riders-1", "riders-2"):
            await fleet.start_target(name, "riders", [self.home])
        self.targets = fleet.targets
        await fleet.submit(CONFIGURATION)
        await self.entry.wait_for_message("in force", object="camerino")
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        await self._wait_until_both_targets_serve()

    async def _wait_until_both_targets_serve(self):
        served = collections.Counter()
        for _ in range(REQUEST_COUNT):
            served.update([await self.send()])
            if served.keys() >= {"riders-1", "riders-2"}:
                return
        self.fail(f"not served by both targets: {served}")

    async def set_fault(self, target, **fault):
        address = self.targets[target].listening_line["address"]
        url = f"http://{address}/standin/fault"
        async with self.session.put(url, json=fault) as response:
            self.assertEqual(204, response.status)

    async def send(self):
        """Returns the target that responds, or the status of a failure."""
        url = f"http://{self.entry.listening_line['callers']}/riders/1"
        async with self.session.get(url) as response:
            if response.status != 200:
                return str(response.status)
            return (await response.json())["target"]

    async def send_until(self, target):
        for _ in range(REQUEST_COUNT):
            if await self.send() == target:
                return
        self.fail(f"{target} got no request")

    async def test_target_gets_no_more_than_the_limit_that_it_names(self):
        """Guards against overloading a target that says how much it takes.

        It responds as fast as the other one and has free slots. Its limit is
        one request in ten seconds, the least that a limit can be.
        """
        await self.set_fault("riders-1", rate_limit=0)
        await self.send_until("riders-1")
        await self.home.wait_for_message(
            "target's rate limit changed", target="riders-1", limit=0.0
        )

        served = collections.Counter(
            [await self.send() for _ in range(REQUEST_COUNT)]
        )

        self.assertLessEqual(served["riders-1"], 1)
        self.assertEqual(REQUEST_COUNT, served["riders-1"] + served["riders-2"])

    async def test_leaving_target_gets_no_further_requests(self):
        """Guards against losing requests at a target that stops.

        It goes on announcing itself as ready.
        """
        await self.set_fault("riders-1", leaving=True)
        await self.send_until("riders-1")

        served = collections.Counter(
            [await self.send() for _ in range(REQUEST_COUNT)]
        )

        self.assertEqual({"riders-2": REQUEST_COUNT}, dict(served))
        await self.home.wait_for_message("target is leaving", target="riders-1")


if __name__ == "__main__":
    unittest.main()
