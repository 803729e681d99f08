"""End-to-end tests: nodes crash, pause and are replaced."""

import asyncio
import contextlib
import unittest

import aiohttp

from endivewind.commands import children
from endivewind.tests import processes

CONFIGURATION = {
    "services": {"riders": {"slots": 3}},
    "route_groups": {"camerino": {"routes": [{"service": "riders"}]}},
}
# A target renews its lease twice a second, and changes reach all nodes within
# a second; the rest allows for a busy machine.
RECOVERY_SECONDS = 8
# Later than any incarnation that is the time of a start.
FAR_INCARNATION = 2**52


class HomeNodeLossTest(unittest.IsolatedAsyncioTestCase):
    """The home node of a target crashes, pauses or stops."""

    async def test_targets_of_killed_home_move_to_another(self):
        """Callers get responses again within seconds.

        The home node crashes. Its target's next lease renewal fails; the
        target announces itself to another node, and entry nodes learn of that.
        """
        async with _fleet() as (fleet, entry, first, second):
            first.kill()
            await _wait_until_moved(entry, second)
            self.assertEqual("200 riders-1", await _send(entry))

    async def test_resumed_home_does_not_use_its_expired_lease(self):
        """A resumed home node must not send requests to a target that moved.

        The home node is paused for longer than the lease, and the target
        moves. After the pause the node expires the lease by its own clock,
        learns of the new home node, and as an entry node forwards requests
        there.
        """
        async with _fleet() as (fleet, entry, first, second):
            first.pause()
            await _wait_until_moved(entry, second)
            self.assertEqual("200 riders-1", await _send(entry))

            # A node is declared dead after more than the lease of 2 s.
            await entry.wait_for_message("member", node="first", state="dead")
            first.resume()

            await entry.wait_for_message("member", node="first", state="alive")
            await first.wait_for_message(
                "home heard", home="second", targets=["riders-1"]
            )
            self.assertEqual("200 riders-1", await _send(first))
            self.assertEqual("200 riders-1", await _send(entry))

    async def test_planned_stop_of_home_loses_no_request(self):
        """Every request sent while a home node stops gets a response.

        The node first refuses lease renewals, and serves requests until its
        target has moved.
        """
        async with _fleet() as (fleet, entry, first, second):
            stop = asyncio.create_task(first.stop())
            while not stop.done():
                self.assertEqual("200 riders-1", await _send(entry))
            self.assertEqual(0, await stop)
            self.assertEqual("200 riders-1", await _send(entry))


class NodeReplacementTest(unittest.IsolatedAsyncioTestCase):
    """Nodes are replaced, with and without the platform."""

    async def test_nodes_are_replaced_during_platform_outage(self):
        """Callers are served although the platform is down.

        A node started during the outage joins by its seeds, gets configuration
        and targets from its peers, and serves as entry and as home node.
        """
        async with _fleet() as (fleet, entry, first, second):
            fleet.platform.kill()
            seeds = [
                entry.listening_line["nodes"],
                second.listening_line["nodes"],
            ]

            fresh = await fleet.start_node("fresh", "caribe-a", seeds=seeds)
            await fresh.wait_for_message("in force", object="camerino")
            await fresh.wait_for_message("ready")
            self.assertEqual("200 riders-1", await _send(fresh))

            await fleet.start_target("riders-2", "riders", [fresh])
            await entry.wait_for_message("home heard", home="fresh")
            first.kill()
            await _wait_until_moved(entry, second)
            responses = {await _send(entry) for _ in range(8)}
            self.assertLessEqual(responses, {"200 riders-1", "200 riders-2"})

    async def test_all_nodes_of_zone_are_replaced(self):
        """The zone's targets stay in use, and its new nodes take targets.

        Both nodes of the zone crash at once. Their targets move to the other
        zone; a new node under a new name accepts announcements.
        """
        async with _fleet() as (fleet, entry, first, second):
            first.kill()
            second.kill()
            await entry.wait_for_message("targets held", targets=["riders-1"])
            self.assertEqual("200 riders-1", await _send(entry))

            third = await fleet.start_node("third", "andina-b")
            await third.wait_for_message("home heard", home="entry")
            await third.wait_for_message("ready")
            await fleet.start_target("riders-2", "riders", [third])
            await entry.wait_for_message(
                "home heard", home="third", targets=["riders-2"]
            )
            self.assertEqual("200", (await _send(third))[:3])

    async def test_node_whose_clock_was_ahead_takes_targets_again(self):
        """Guards against a node that the fleet ignores until it is restarted.

        At its earlier start the clock of its VM was ahead. At its next start
        the clock is right, and the platform does not respond, so that the node
        starts with a lower incarnation than the fleet knows.
        """
        async with _fleet() as (fleet, entry, first, second):
            await _register_node(fleet, "fast", FAR_INCARNATION)
            address = self.enterContext(
                children.reserved_address(processes.LISTEN_ADDRESS)
            )
            node = await fleet.start_node("fast", nodes=address)
            await entry.wait_for_message("member", node="fast", state="alive")
            await node.kill_and_wait()
            await _set_platform_faults(fleet, [{"mode": "outage"}])

            node = await fleet.start_node(
                "fast", nodes=address, seeds=[entry.listening_line["nodes"]]
            )
            first_line = node.listening_line
            await _set_platform_faults(fleet, [])

            node.listening_line = await node.wait_for_line(
                lambda line: (
                    line.get("message") == "listening"
                    and line is not first_line
                )
            )
            await fleet.start_target("riders-2", "riders", [node])
            await entry.wait_for_message("home heard", home="fast")

    async def test_whole_fleet_restarts_during_platform_outage(self):
        """Requests are refused as not run until the platform is back.

        No node has the configuration. Nodes find each other by seeds, and
        targets announce themselves meanwhile, so that requests are served as
        soon as the platform is back.
        """
        async with processes.Fleet() as fleet:
            await fleet.submit(CONFIGURATION)
            await _set_platform_faults(fleet, [{"mode": "outage"}])
            home = await fleet.start_node(
                "home", "andina-a", seeds=["127.0.0.1:9"]
            )
            entry = await fleet.start_node(
                "entry", "andina-b", seeds=[home.listening_line["nodes"]]
            )
            await fleet.start_target("riders-1", "riders", [home])
            await entry.wait_for_message(
                "home heard", home="home", targets=["riders-1"]
            )
            self.assertEqual("503 not-run not-ready", await _send(entry))

            await _set_platform_faults(fleet, [])
            await entry.wait_for_message("in force", object="camerino")
            await entry.wait_for_message("ready")
            self.assertEqual("200 riders-1", await _send(entry))


@contextlib.asynccontextmanager
async def _fleet():
    """An entry node in one zone, and two in another, one the home node."""
    async with processes.Fleet() as fleet:
        entry, first, second = await asyncio.gather(
            fleet.start_node("entry", "andina-a"),
            fleet.start_node("first", "andina-b"),
            fleet.start_node("second", "andina-b"),
        )
        await fleet.submit(CONFIGURATION)
        for node in (entry, first, second):
            await node.wait_for_message("in force", object="camerino")
            await node.wait_for_message("ready")
        await fleet.start_target("riders-1", "riders", [first, second, entry])
        await entry.wait_for_message(
            "home heard", home="first", targets=["riders-1"]
        )
        yield fleet, entry, first, second


async def _register_node(
    fleet: processes.Fleet, name: str, incarnation: int
) -> None:
    """Writes a node's entry as an earlier process of it did."""
    spec = {
        "incarnation": incarnation,
        "address": f"{processes.LISTEN_ADDRESS}:1",
        "region": "andina",
        "zone": "andina-a",
    }
    body = {"metadata": {"name": name}, "spec": spec}
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f"{fleet.platform_url}/objects/node", json=body
        ) as response,
    ):
        assert response.status == 200


async def _set_platform_faults(fleet: processes.Fleet, faults: list) -> None:
    url = f"{fleet.platform_url}/standin/fault"
    async with (
        aiohttp.ClientSession() as session,
        session.put(url, json={"faults": faults}) as response,
    ):
        assert response.status == 204


async def _wait_until_moved(
    entry: processes.Process, home: processes.Process
) -> None:
    async with asyncio.timeout(RECOVERY_SECONDS):
        await entry.wait_for_message(
            "home heard", home=home.name, targets=["riders-1"]
        )


async def _send(node: processes.Process) -> str:
    """Returns the status with the target, or the refusal's outcome and reason."""
    url = f"http://{node.listening_line['callers']}/work"
    async with (
        asyncio.timeout(RECOVERY_SECONDS),
        aiohttp.ClientSession() as session,
        session.get(url) as response,
    ):
        body = await response.json(content_type=None)
        outcome = response.headers.get("Endivewind-Outcome", "")
        reason = response.headers.get("Endivewind-Reason", "")
        result = body.get("target") or f"{outcome} {reason}"
        return f"{response.status} {result}"


if __name__ == "__main__":
    unittest.main()
