"""A fleet whose workspaces have quotas, in virtual time.

Entries, keepers and shares are the product's own; links are fakes that only
take their time, and lose questions.
"""

import asyncio
import bisect
import collections
import dataclasses
import random

from endivewind.callers import allowances
from endivewind.decisions import quotas
from endivewind.nodes import quotas as peers
from endivewind.nodes import view
from endivewind.standins import virtual

REGIONS = 3
ZONES = 6
NEAR_SECONDS = 0.002
REGION_SECONDS = 0.004
FAR_SECONDS = 0.062
LOST = 0.005
TOLERANCE = quotas.Tolerance()
WINDOW_SECONDS = TOLERANCE.window.total_seconds()


@dataclasses.dataclass(frozen=True)
class Traffic:
    """What one workspace sends.

    Attributes:
      workspace: its name.
      per_second: over all entries.
      quota: what it may send.
      zone: where all of it enters; None spreads it over all zones.
      busy: from when to when it sends so many times as much.
      times: so many times.
    """

    workspace: str
    per_second: float
    quota: quotas.Quota
    zone: int | None = None
    busy: tuple[float, float] = (0, 0)
    times: float = 1


@dataclasses.dataclass
class Outcome:
    """What became of a workspace's requests.

    Attributes:
      asked: when each came.
      ran: when each that was let through was.
    """

    asked: list[float] = dataclasses.field(default_factory=list)
    ran: list[float] = dataclasses.field(default_factory=list)

    def excess(self, quota: quotas.Quota) -> float:
        """By how much the worst window goes beyond the users' bound."""
        allowed = (quota.rate * WINDOW_SECONDS + quota.burst) * (
            1 + TOLERANCE.overage
        ) + TOLERANCE.requests
        worst = max(
            (
                bisect.bisect_right(self.ran, at + WINDOW_SECONDS) - number
                for number, at in enumerate(self.ran)
            ),
            default=0,
        )
        return worst - allowed

    def refused_below(self, quota: quotas.Quota) -> float:
        """The share refused of what one bucket for all would let through."""
        held, at, through = quota.burst, 0.0, 0
        for now in self.asked:
            held = min(quota.burst, held + quota.rate * (now - at))
            at = now
            if held >= 1:
                held -= 1
                through += 1
        return max(0.0, 1 - len(self.ran) / through) if through else 0.0


class _Node:
    def __init__(self, fleet, number, zones):
        self.fleet = fleet
        self.zone = number % ZONES
        place = zones(number)
        self.record = view.NodeRecord(
            f"n{number}", number, f"n{number}", f"r{self.zone % REGIONS}", place
        )
        self.alive = True
        self.start()

    def start(self):
        """Begins anew, with nothing held."""
        clock = virtual.LoopClock(self.fleet.loop)
        self.peer = peers.QuotaPeer(
            self.record,
            self.fleet.zone_count,
            self.fleet.quota_of,
            self.fleet,
            self,
            clock,
            TOLERANCE,
        )
        self.allowances = allowances.Allowances(self.peer.grant, clock)

    async def ask(self, address, question, limit):
        """Plays the links."""
        self.fleet.questions += 1
        other = self.fleet.by_name[address]
        if not other.alive or self.fleet.rng.random() < LOST:
            await asyncio.sleep(limit.total_seconds())
            return None
        seconds = self.fleet.seconds(self, other)
        await asyncio.sleep(seconds / 2)
        answer = await other.peer.answer(question.quota_ask)
        await asyncio.sleep(seconds / 2)
        return answer


class Fleet:
    """Entries of six zones in three regions."""

    def __init__(self, size, traffic, seed=1, zones=None):
        """Builds a fleet.

        Args:
          size: of nodes.
          traffic: what the workspaces send.
          seed: of arrivals and losses.
          zones: the zone of each node for the shares; None for its own.
        """
        self.loop = virtual.VirtualLoop()
        self.rng = random.Random(seed)
        self.traffic = {item.workspace: item for item in traffic}
        self.quotas = {item.workspace: item.quota for item in traffic}
        self.questions = 0
        self.requests = 0
        self.outcomes = collections.defaultdict(Outcome)
        place_of = zones or (lambda number: number % ZONES)
        self.zone_count = len({place_of(number) for number in range(size)})
        self.nodes = {}
        self.by_name = {}
        for number in range(size):
            node = _Node(self, number, place_of)
            self.by_name[node.record.name] = node
            self.nodes[node.record.name] = node.record

    def quota_of(self, workspace):
        """The quota in force."""
        return self.quotas.get(workspace)

    def seconds(self, one, other):
        """There and back."""
        if one.zone == other.zone:
            return NEAR_SECONDS
        same = one.zone % REGIONS == other.zone % REGIONS
        return REGION_SECONDS if same else FAR_SECONDS

    def kill(self, name):
        """Ends a node; the others still know it."""
        self.by_name[name].alive = False

    def forget(self, name):
        """Lets the others know that a node has ended."""
        self.nodes.pop(name, None)

    def restart(self, name):
        """Starts a node anew, known to all at once."""
        node = self.by_name[name]
        node.alive = True
        node.start()
        self.nodes[name] = node.record

    def play(self, seconds, events=()):
        """Lets all workspaces send; events are pairs of a time and a call."""
        try:
            self.loop.run_until_complete(self._play(seconds, events))
        finally:
            self.loop.close()

    async def _play(self, seconds, events):
        # Shares fill while no traffic comes yet.
        await asyncio.sleep(10)
        for at, event in events:
            self.loop.call_later(at, event, self)
        tasks = [
            asyncio.create_task(self._send(item, self.loop.time(), seconds))
            for item in self.traffic.values()
        ]
        await asyncio.gather(*tasks)
        await asyncio.sleep(2)

    async def _send(self, traffic, began, seconds):
        running = set()
        while True:
            elapsed = self.loop.time() - began
            low, high = traffic.busy
            times = traffic.times if low <= elapsed < high else 1
            rate = traffic.per_second * times
            await asyncio.sleep(self.rng.expovariate(rate))
            if self.loop.time() - began > seconds:
                break
            node = self._entry(traffic)
            task = asyncio.create_task(self._one(node, traffic.workspace))
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.gather(*running)

    def _entry(self, traffic):
        names = [
            name
            for name, node in self.by_name.items()
            if node.alive and traffic.zone in (None, node.zone)
        ]
        return self.by_name[self.rng.choice(names)]

    async def _one(self, node, workspace):
        self.requests += 1
        outcome = self.outcomes[workspace]
        outcome.asked.append(self.loop.time())
        if await node.allowances.take(workspace) is None:
            outcome.ran.append(self.loop.time())
