"""Proofs on real processes while nodes die, pause and are replaced."""

import asyncio
import contextlib
import unittest

import aiohttp

from endivewind.tests import processes

CONFIGURATION = {
    "services": {"riders": {"slots": 3}},
    "route_groups": {"camerino": {"routes": [{"service": "riders"}]}},
}
# A target renews twice a second and changes reach all within a second; the
# rest is for a busy machine.
SOON_SECONDS = 8


class HomeLossTest(unittest.IsolatedAsyncioTestCase):
    """The home of a target goes, planned or not."""

    async def test_targets_of_a_killed_home_are_served_elsewhere(self):
        """Callers get answers again within seconds.

        The home dies without a word. Its target finds it gone at the next
        renewal, announces to another node, and entries hear of that.
        """
        async with _fleet() as (fleet, entry, first, second):
            first.kill()
            await _moved(entry, second)
            self.assertEqual("200 riders-1", await _send(entry))

    async def test_resumed_home_does_not_use_its_lapsed_lease(self):
        """A paused home must not hand over work next to the new one.

        The home is stopped for longer than the lease; the target moves. When
        the home goes on it ends the lease by its own clock, hears of the new
        home, and as an entry sends the work there.
        """
        async with _fleet() as (fleet, entry, first, second):
            first.pause()
            await _moved(entry, second)
            self.assertEqual("200 riders-1", await _send(entry))

            # Dead takes longer than the lease of 2 s.
            await entry.message("member", node="first", state="dead")
            first.resume()

            await entry.message("member", node="first", state="alive")
            await first.message(
                "home heard", home="second", targets=["riders-1"]
            )
            self.assertEqual("200 riders-1", await _send(first))
            self.assertEqual("200 riders-1", await _send(entry))

    async def test_planned_stop_of_a_home_costs_no_answer(self):
        """Every request sent while a home stops is answered.

        The home refuses renewals first, and serves on until its target has
        moved.
        """
        async with _fleet() as (fleet, entry, first, second):
            stop = asyncio.create_task(first.stop())
            while not stop.done():
                self.assertEqual("200 riders-1", await _send(entry))
            self.assertEqual(0, await stop)
            self.assertEqual("200 riders-1", await _send(entry))


class ReplacementTest(unittest.IsolatedAsyncioTestCase):
    """Nodes come and go, with and without the platform."""

    async def test_nodes_come_and_go_with_the_platform_away(self):
        """Callers are served although the platform does not answer.

        A node started in the outage joins by its seeds, has configuration
        and targets from its peers, and serves as entry and as home.
        """
        async with _fleet() as (fleet, entry, first, second):
            fleet.platform.kill()
            seeds = [entry.listening["nodes"], second.listening["nodes"]]

            fresh = await fleet.node("fresh", "caribe-a", seeds=seeds)
            await fresh.message("in force", object="camerino")
            await fresh.message("ready")
            self.assertEqual("200 riders-1", await _send(fresh))

            await fleet.target("riders-2", "riders", [fresh])
            await entry.message("home heard", home="fresh")
            first.kill()
            await _moved(entry, second)
            answers = {await _send(entry) for _ in range(8)}
            self.assertLessEqual(answers, {"200 riders-1", "200 riders-2"})

    async def test_all_nodes_of_a_zone_are_replaced(self):
        """The zone's targets are served throughout, and by its new nodes.

        Both nodes of the zone die at once. Their targets turn to the other
        zone; new nodes under new names take up announcements.
        """
        async with _fleet() as (fleet, entry, first, second):
            first.kill()
            second.kill()
            await entry.message("targets held", targets=["riders-1"])
            self.assertEqual("200 riders-1", await _send(entry))

            third = await fleet.node("third", "andina-b")
            await third.message("home heard", home="entry")
            await third.message("ready")
            await fleet.target("riders-2", "riders", [third])
            await entry.message(
                "home heard", home="third", targets=["riders-2"]
            )
            self.assertEqual("200", (await _send(third))[:3])

    async def test_whole_fleet_restarts_with_the_platform_away(self):
        """Nobody is told something untrue, and all works when it is back.

        No node has the configuration, so that callers are refused as not
        run. Nodes find each other by seeds and targets announce meanwhile;
        with the platform back, requests are served at once.
        """
        async with processes.Fleet() as fleet:
            await fleet.submit(CONFIGURATION)
            await _fault(fleet, [{"mode": "outage"}])
            home = await fleet.node("home", "andina-a", seeds=["127.0.0.1:9"])
            entry = await fleet.node(
                "entry", "andina-b", seeds=[home.listening["nodes"]]
            )
            await fleet.target("riders-1", "riders", [home])
            await entry.message("home heard", home="home", targets=["riders-1"])
            self.assertEqual("503 not-run not-ready", await _send(entry))

            await _fault(fleet, [])
            await entry.message("in force", object="camerino")
            await entry.message("ready")
            self.assertEqual("200 riders-1", await _send(entry))


@contextlib.asynccontextmanager
async def _fleet():
    """An entry in one zone, and two nodes in another, one of them a home."""
    async with processes.Fleet() as fleet:
        entry, first, second = await asyncio.gather(
            fleet.node("entry", "andina-a"),
            fleet.node("first", "andina-b"),
            fleet.node("second", "andina-b"),
        )
        await fleet.submit(CONFIGURATION)
        for node in (entry, first, second):
            await node.message("in force", object="camerino")
            await node.message("ready")
        await fleet.target("riders-1", "riders", [first, second, entry])
        await entry.message("home heard", home="first", targets=["riders-1"])
        yield fleet, entry, first, second


async def _fault(fleet: processes.Fleet, faults: list) -> None:
    url = f"{fleet.platform_url}/standin/fault"
    async with (
        aiohttp.ClientSession() as session,
        session.put(url, json={"faults": faults}) as response,
    ):
        assert response.status == 204


async def _moved(entry: processes.Process, home: processes.Process) -> None:
    async with asyncio.timeout(SOON_SECONDS):
        await entry.message("home heard", home=home.name, targets=["riders-1"])


async def _send(node: processes.Process) -> str:
    """The status, and who answered or what the refusal says and why."""
    url = f"http://{node.listening['callers']}/work"
    async with (
        asyncio.timeout(SOON_SECONDS),
        aiohttp.ClientSession() as session,
        session.get(url) as response,
    ):
        answer = await response.json(content_type=None)
        told = response.headers.get("Endivewind-Outcome", "")
        reason = response.headers.get("Endivewind-Reason", "")
        who = answer.get("target") or f"{told} {reason}"
        return f"{response.status} {who}"


if __name__ == "__main__":
    unittest.main()
