"""A small fleet in virtual time: what callers get under a pattern of load.

Gateways, hand-over, slots and suspicion are the product's own; links and the
targets' HTTP are fakes that only take their time. The sizes are those of a
users' service: twelve targets of three slots in six zones of three regions,
one entry for each zone; a test may ask for more of both.
"""

import asyncio
import collections
import dataclasses
import datetime
import math
import random

from endivewind import exchange
from endivewind.callers import gateway
from endivewind.callers import placement
from endivewind.callers import waiting
from endivewind.config import objects
from endivewind.config import store
from endivewind.decisions import load_balancing
from endivewind.decisions import peer_updates
from endivewind.nodes import view
from endivewind.standins import virtual
from endivewind.targets import dispatch
from endivewind.targets import handover
from endivewind.targets import registry
from endivewind.tests import samples

SERVICE = "riders"
ZONES = tuple(f"{region}-{part}" for region in "abc" for part in "xy")
TARGETS_PER_ZONE = 2
SLOTS = 3
# One way between zones and between regions, as the users measured them.
ZONE_SECONDS = 0.0014
REGION_SECONDS = 0.030
# A target that fails does so at once, without any work.
FAILURE_SECONDS = 0.001
LOOK_SECONDS = 0.1
OLD = datetime.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of request.

    Attributes:
      name: for the counts.
      per_second: over all zones.
      work: usual seconds of work.
      spread: of the work, as the sigma of a lognormal distribution.
      aim: seconds within which the answer is worth most.
      timeout: seconds that the caller waits at most.
      once: whether it must not repeat.
      rank: 0 is the most important.
    """

    name: str
    per_second: float
    work: float
    spread: float
    aim: float
    timeout: float
    once: bool = False
    rank: int = 1

    @property
    def route(self) -> objects.Route:
        """How it is configured."""
        repeat = objects.Repeat.NEVER if self.once else objects.Repeat.ALWAYS
        return objects.Route(
            service=SERVICE,
            repeat=repeat,
            rank=self.rank,
            timeout_ms=round(1000 * self.timeout),
            aim_ms=round(1000 * self.aim),
            attempts=2,
        )


# The users' orders and look-ups of one service, at their usual rates.
ORDER = Kind("order", 48.4, 0.26, 0.3, 1.0, 2.0, once=True)
LOOKUP = Kind("lookup", 16.1, 0.19, 0.8, 1.0, 1.5, rank=2)


class Target:
    """One target's behavior, which a test changes as it goes."""

    def __init__(self, rng: random.Random) -> None:
        self.fails = 0.012
        self.factor = 1.0
        self.hangs = 0.0
        self.served = 0
        self._rng = rng

    async def request(self, method, url, *, headers, trace_request_ctx, **_):
        """Works and answers, as an HTTP client's session would."""
        trace_request_ctx.connected = True
        draw = self._rng.random()
        if draw < self.hangs:
            await asyncio.Event().wait()
        if draw < self.hangs + self.fails:
            await asyncio.sleep(FAILURE_SECONDS)
            return _Response(500)
        await asyncio.sleep(float(headers["Work"]) * self.factor)
        self.served += 1
        return _Response(200)


class _Response:
    headers = {}
    raw_headers = ()
    content_length = 0

    def __init__(self, status):
        self.status = status

    async def read(self):
        return b""

    def close(self):
        """Nothing to close."""


@dataclasses.dataclass
class Outcome:
    """What became of one kind's requests."""

    asked: int = 0
    in_aim: int = 0
    late: int = 0
    failed: int = 0
    refused: int = 0
    unsure_refusals: int = 0
    waits: list = dataclasses.field(default_factory=list)

    @property
    def lost(self) -> float:
        """Share that got no answer of use."""
        return (self.failed + self.refused) / max(1, self.asked)

    @property
    def in_time(self) -> float:
        """Share that was answered within the aim."""
        return self.in_aim / max(1, self.asked)


class Fleet:
    """Twelve targets with a home each, and an entry in every zone."""

    def __init__(
        self,
        seed: int = 1,
        targets_per_zone: int = TARGETS_PER_ZONE,
        entries_per_zone: int = 1,
        tells: bool = True,
        slots: int = SLOTS,
        retries: tuple[int, int] = (20, 60),
    ) -> None:
        """Builds the fleet.

        Args:
          seed: for all that is random.
          targets_per_zone: targets, each with a home of its own.
          entries_per_zone: entries, each with callers of its own.
          tells: whether homes tell entries near by of sick targets.
          slots: of each target.
          retries: in a hundred requests, and in each window besides.
        """
        self._retries = retries
        self._announcement = registry.Announcement(
            service=SERVICE, address="http://t", lease_ms=60_000, slots=slots
        )
        self._tells = tells
        self._tellers = collections.defaultdict(
            peer_updates.TargetUpdatePublisher
        )
        self.loop = virtual.VirtualLoop()
        self.clock = virtual.LoopClock(self.loop)
        self.rng = random.Random(seed)
        self.outcomes = collections.defaultdict(Outcome)
        self.crossings = collections.Counter()
        self.targets: dict[str, Target] = {}
        self._dispatchers = {}
        self._held = {}
        self._view = view.FleetView()
        self._tasks = set()
        self._joining = []
        self._placements = collections.defaultdict(list)
        self._entries = {
            zone: [self._entry(zone, n) for n in range(entries_per_zone)]
            for zone in ZONES
        }
        if targets_per_zone:
            # Where targets are, entries have run for a retry window or more.
            self.loop.jump(OLD)
        for zone in ZONES:
            for number in range(targets_per_zone):
                self._add_target(f"{zone}-{number}", zone)

    def draw(self, share):
        """Each target with the same chance."""
        return [
            target
            for target in self.targets.values()
            if self.rng.random() < share
        ]

    def join(self, name, zone):
        """Adds a target that nothing is known of; returns it."""
        self._add_target(name, zone)
        self._announce(name)
        return self.targets[name]

    def join_later(self, name, zone, seconds):
        """Adds such a target while the fleet is played."""
        self._joining.append((seconds, name, zone))

    async def _join_all(self):
        now = 0.0
        for seconds, name, zone in sorted(self._joining):
            await asyncio.sleep(seconds - now)
            now = seconds
            self.join(name, zone)

    def _add_target(self, name, zone):
        target = self.targets[name] = Target(self.rng)
        home = registry.HomeIdentity(name, 1, zone[0], zone)
        held = self._held[name] = registry.TargetRegistry(home, self.clock)
        self._dispatchers[name] = dispatch.Dispatcher(
            held,
            target,
            target,
            self.clock,
            dispatch.Unobserved(),
            handover.HandOverLedger(),
        )
        self._view.put_node(view.NodeRecord(name, 1, name, zone[0], zone))
        record = samples.target(
            name,
            home=name,
            region=zone[0],
            zone=zone,
            slots=self._announcement.slots,
        )
        self._view.put_home_state(name, 1, 1, [record])

    def _entry(self, zone, number):
        place = load_balancing.Locality(f"entry-{zone}-{number}", zone[0], zone)
        placed = placement.Placement(
            place, self._view, lambda _: 0, self.clock, self.rng
        )
        self._placements[zone].append(placed)
        configuration = store.ConfigurationStore()
        configuration.apply(
            store.SERVICE,
            SERVICE,
            1,
            {
                "spec": {
                    "retry_percent": self._retries[0],
                    "retry_reserve": self._retries[1],
                },
                "operation": "o",
            },
        )
        return gateway.Gateway(
            place.node,
            placed,
            configuration,
            self._view,
            None,
            _Links(self, zone),
            self.clock,
            None,
            self.rng,
        )

    async def forward(self, zone, home, target, head, body):
        """Carries a request to a home and back."""
        self.crossings[_distance(zone, home.zone)] += 1
        seconds = _seconds(zone, home.zone)
        await asyncio.sleep(seconds)
        result = await self._dispatchers[home.name].run_forwarded(
            target, 1, head, body
        )
        await asyncio.sleep(seconds)
        return result

    def play(self, seconds, kinds, zones=ZONES, scale=1.0):
        """Lets callers of some zones send for a while."""
        for name, held in self._held.items():
            held.announce(name, self._announcement, self._announcement.slots)
        self.loop.run_until_complete(self._play(seconds, kinds, zones, scale))

    def _announce(self, name):
        self._held[name].announce(
            name, self._announcement, self._announcement.slots
        )

    async def _play(self, seconds, kinds, zones, scale):
        end = self.loop.time() + seconds
        senders = [
            self._send(kind, zone, end, scale * kind.per_second / len(zones))
            for kind in kinds
            for zone in zones
        ]
        looking = asyncio.create_task(self._look())
        await asyncio.gather(self._join_all(), *senders)
        self._joining.clear()
        if self._tasks:
            await asyncio.wait(self._tasks)
        looking.cancel()

    async def _send(self, kind, zone, end, rate):
        while True:
            await asyncio.sleep(self.rng.expovariate(rate))
            if self.loop.time() >= end:
                return
            task = asyncio.create_task(self._ask(kind, zone))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _look(self):
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            for dispatcher in self._dispatchers.values():
                dispatcher.look()
            if self._tells:
                self._tell()

    def _tell(self):
        now = self.clock.monotonic()
        for name, held in self._held.items():
            zone = name.rpartition("-")[0]
            states = [item.state(now) for item in held.held()]
            for condition in self._tellers[name].due_updates(states, now):
                for placed in self._placements[zone]:
                    placed.hear(condition)
        self._tell_tallies()

    def _tell_tallies(self):
        entries = [
            (f"entry-{zone}-{number}", zone, entry)
            for zone in ZONES
            for number, entry in enumerate(self._entries[zone])
        ]
        for name, zone, entry in entries:
            for tally in entry.budgets.due():
                for other, other_zone, hearer in entries:
                    if other != name and self._share(zone, other_zone):
                        hearer.budgets.hear(name, tally)

    def _share(self, zone, other):
        """Whether entries of two zones share their retries."""
        region = 2 * len(self._entries[zone])
        whole = peer_updates.shares_retries_in_region(region - 1)
        return zone == other or (whole and zone[0] == other[0])

    async def _ask(self, kind, zone):
        route = kind.route
        mean = math.log(kind.work) - kind.spread**2 / 2
        work = self.rng.lognormvariate(mean, kind.spread)
        number = f"{self.rng.getrandbits(64):x}"
        head = exchange.RequestHead(
            number,
            "GET",
            "/",
            ((b"Work", str(work).encode()),),
            SERVICE,
            "",
            datetime.timedelta(seconds=kind.timeout),
            ticket=number if kind.once else "",
            latency_objective=datetime.timedelta(seconds=kind.aim),
            queue_priority=waiting.level(route),
        )
        started = self.loop.time()
        entry = self.rng.choice(self._entries[zone])
        result = await entry.serve(route, head, exchange.RequestBody())
        self._count(self.outcomes[kind.name], kind, result, started)

    def _count(self, outcome, kind, result, started):
        spent = self.loop.time() - started
        outcome.asked += 1
        outcome.waits.append(spent)
        if result.is_error():
            not_run = result.error.outcome is exchange.Outcome.NOT_RUN
            outcome.refused += not_run
            outcome.failed += not not_run
            outcome.unsure_refusals += (
                not_run and result.error.retry_after is None
            )
        elif result.ok.status != 200:
            outcome.failed += 1
        elif spent <= kind.aim:
            outcome.in_aim += 1
        else:
            outcome.late += 1


class _Links:
    """The links of one entry."""

    def __init__(self, fleet, zone):
        self._fleet = fleet
        self._zone = zone

    async def forward(self, home, target, head, body):
        return await self._fleet.forward(self._zone, home, target, head, body)


def _distance(zone, other):
    if zone == other:
        return "zone"
    return "region" if zone[0] == other[0] else "far"


def _seconds(zone, other):
    steps = {"zone": 0.0001, "region": ZONE_SECONDS, "far": REGION_SECONDS}
    return steps[_distance(zone, other)]
