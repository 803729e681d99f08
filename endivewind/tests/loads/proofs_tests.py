"""How old proofs of freshness grow in a fleet, in virtual time.

The pattern: strict revocation, and readers that are killed, nodes that the
platform turns away, and questions that are lost. A node whose proof is older
than the bound refuses all work that needs a key.
"""

import asyncio
import datetime
import random
import unittest

from endivewind.config import freshness
from endivewind.nodes import proofs
from endivewind.nodes import view
from endivewind.standins import virtual

BOUND = datetime.timedelta(seconds=5)
REGIONS = 3
ZONES_PER_REGION = 2
NEAR_SECONDS = 0.002
FAR_SECONDS = 0.060
READ_SECONDS = 0.064
LOST = 0.01


class _Node:
    def __init__(self, fleet, number):
        zone = number % (REGIONS * ZONES_PER_REGION)
        region = zone % REGIONS
        self.fleet = fleet
        self.record = view.NodeRecord(
            f"n{number}", number, f"n{number}", f"r{region}", f"z{zone}"
        )
        self.alive = True
        self.turned_away = False
        clock = virtual.LoopClock(fleet.loop)
        self.proof = freshness.Freshness(lambda: 1, BOUND)
        self.peer = proofs.ProofPeer(
            self.record,
            self.proof,
            fleet,
            self,
            self.read,
            lambda: True,
            clock,
            random.Random(number),
        )
        self.tasks = []

    def start(self):
        self.tasks = [
            asyncio.create_task(self.peer.run_reading()),
            asyncio.create_task(self.peer.run_asking()),
        ]

    def kill(self):
        self.alive = False
        for task in self.tasks:
            task.cancel()

    async def read(self, limit):
        """Plays the platform."""
        self.fleet.calls += 1
        began = datetime.timedelta(seconds=self.fleet.loop.time())
        if self.turned_away:
            await asyncio.sleep(limit.total_seconds())
            return False
        await asyncio.sleep(READ_SECONDS)
        self.proof.proved(1, began)
        return True

    async def ask(self, address, question, limit):
        """Plays the links."""
        self.fleet.asked += 1
        other = self.fleet.by_name[address]
        far = other.record.region != self.record.region
        if not other.alive or self.fleet.rng.random() < LOST:
            await asyncio.sleep(limit.total_seconds())
            return None
        await asyncio.sleep(FAR_SECONDS if far else NEAR_SECONDS)
        return other.peer.answer()


class _Fleet:
    """Nodes that all know each other; who is killed stays known a while."""

    def __init__(self, loop, size):
        self.loop = loop
        self.rng = random.Random(size)
        self.calls = self.asked = 0
        self.by_name = {}
        for number in range(size):
            node = _Node(self, number)
            self.by_name[node.record.name] = node
        self.nodes = {name: node.record for name, node in self.by_name.items()}

    def forget(self, node):
        self.nodes = {
            name: record
            for name, record in self.nodes.items()
            if name != node.record.name
        }

    def oldest(self):
        """The age of the oldest proof, and how many can't serve."""
        now = datetime.timedelta(seconds=self.loop.time())
        alive = [item for item in self.by_name.values() if item.alive]
        ages = [item.proof.age(now) or BOUND * 9 for item in alive]
        unproved = sum(not item.proof.is_proved(now) for item in alive)
        return max(ages), unproved / len(alive)


class ProofAgeTest(unittest.TestCase):
    def setUp(self):
        self.loop = virtual.VirtualLoop()
        self.addCleanup(self.loop.close)

    def play(self, size, seconds, events=()):
        """Plays a fleet.

        Returns:
          The fleet, and for each tenth of a second after the first two the
          oldest proof and the share of nodes that can't serve.
        """
        fleet = _Fleet(self.loop, size)

        async def run():
            for node in fleet.by_name.values():
                node.start()
            found = []
            for tenth in range(10 * seconds):
                for at, event in events:
                    if tenth == 10 * at:
                        event(fleet)
                await asyncio.sleep(0.1)
                if tenth >= 20:
                    found.append(fleet.oldest())
            for node in fleet.by_name.values():
                node.kill()
            return found

        return fleet, self.loop.run_until_complete(run())

    def test_on_a_calm_day_every_proof_is_well_within_the_bound(self):
        for size in (30, 102, 300):
            with self.subTest(size):
                fleet, found = self.play(size, 12)

                self.assertLess(max(age for age, _ in found), 0.9 * BOUND)
                self.assertEqual(0, max(share for _, share in found))
                # One call a second, whatever the size.
                self.assertLess(fleet.calls, 16)
                self.assertLess(fleet.asked, 12 * size * 2)

    def test_the_reader_is_killed_and_known_for_three_seconds_more(self):
        def kill(fleet):
            fleet.by_name["n0"].kill()

        def forget(fleet):
            fleet.forget(fleet.by_name["n0"])

        _, found = self.play(102, 30, [(10, kill), (13, forget)])

        self.assertLess(max(share for _, share in found), 0.05)

    def test_readers_are_killed_one_after_the_other(self):
        events = []
        for number in range(4):
            name = f"n{number}"
            events.append(
                (8 + 3 * number, lambda f, n=name: f.by_name[n].kill())
            )
            events.append(
                (11 + 3 * number, lambda f, n=name: f.forget(f.by_name[n]))
            )

        _, found = self.play(102, 40, events)

        mean = sum(share for _, share in found) / len(found)
        self.assertLess(mean, 0.02)

    def test_the_platform_turns_a_third_away_the_reader_among_them(self):
        def turn_away(fleet):
            for number, node in enumerate(fleet.by_name.values()):
                node.turned_away = number % 3 == 0

        fleet, found = self.play(102, 40, [(10, turn_away)])

        mean = sum(share for _, share in found) / len(found)
        self.assertLess(mean, 0.01)
        self.assertLess(fleet.calls, 160)

    def test_where_the_platform_is_away_calls_stay_few_and_all_come_back(self):
        def away(fleet):
            for node in fleet.by_name.values():
                node.turned_away = True

        def back(fleet):
            for node in fleet.by_name.values():
                node.turned_away = False

        fleet, found = self.play(102, 40, [(10, away), (22, back)])

        self.assertEqual(1, max(share for _, share in found))
        self.assertEqual(0, found[-140][1], "served again four seconds later")
        self.assertLess(fleet.calls, 400)
