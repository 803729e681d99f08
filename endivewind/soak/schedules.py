"""What goes wrong in one run of the soak, and when: drawn from a seed."""

import collections.abc
import dataclasses
import enum
import json
import random
from typing import Any


class Kind(enum.StrEnum):
    """One kind of fault; all come from outside the processes.

    NODE_, TARGET_: signals to a process. A stopped or killed one is started
    again when the fault ends; a paused one goes on. LINK_: the relay before
    one node's address for other nodes. PLATFORM_: the platform's stand-in;
    FORGETS loses its history, EMPTIES the whole store, RESTORES goes back to
    its state at the run's begin. SUBMIT_RACE: two operators submit at once.
    """

    NODE_STOPS = "node-stops"
    NODE_KILLED = "node-killed"
    NODE_PAUSED = "node-paused"
    NODE_RELOADS = "node-reloads"
    TARGET_KILLED = "target-killed"
    TARGET_PAUSED = "target-paused"
    TARGET_FAILS = "target-fails"
    TARGET_HANGS = "target-hangs"
    TARGET_DRAINS = "target-drains"
    LINK_DEAF = "link-deaf"
    LINK_MUTE = "link-mute"
    LINK_DELAYED = "link-delayed"
    LINK_DRIPS = "link-drips"
    LINK_RESET = "link-reset"
    PLATFORM_AWAY = "platform-away"
    PLATFORM_SLOW = "platform-slow"
    PLATFORM_BUSY = "platform-busy"
    PLATFORM_SILENT = "platform-silent"
    PLATFORM_LOSES_ANSWERS = "platform-loses-answers"
    PLATFORM_WRITES_LATE = "platform-writes-late"
    PLATFORM_FORGETS = "platform-forgets"
    PLATFORM_EMPTIES = "platform-empties"
    PLATFORM_RESTORES = "platform-restores"
    SUBMIT_RACE = "submit-race"


NODES = 4
TARGETS = 6
# A fault for every second on average, so that most overlap with others.
FAULTS_PER_SECOND = 0.8
SHORTEST_SECONDS = 0.2
LONGEST_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes:
      kind: what goes wrong.
      at: seconds after the run's begin.
      lasts: seconds until it ends.
      subject: number of the node or target that it hits.
    """

    kind: Kind
    at: float
    lasts: float
    subject: int

    @property
    def ends(self) -> float:
        """Seconds after the run's begin."""
        return self.at + self.lasts


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """All faults of one run, in order.

    Attributes:
      seed: of the faults and of the callers' choices.
      seconds: how long faults begin.
      faults: in the order of their begin.
    """

    seed: int
    seconds: float
    faults: tuple[Fault, ...]

    def to_json(self) -> str:
        """The schedule as text that from_json takes."""
        return json.dumps(dataclasses.asdict(self), indent=1)

    @classmethod
    def from_json(cls, text: str) -> "Schedule":
        """A schedule from its text.

        Raises:
          ValueError: the text is no schedule.
        """
        try:
            given: dict[str, Any] = json.loads(text)
            faults = tuple(
                Fault(
                    Kind(item["kind"]),
                    float(item["at"]),
                    float(item["lasts"]),
                    int(item["subject"]),
                )
                for item in given["faults"]
            )
            return cls(int(given["seed"]), float(given["seconds"]), faults)
        except (KeyError, TypeError) as error:
            raise ValueError(f"no schedule: {error}") from error

    def without(self, dropped: int) -> "Schedule":
        """The same schedule without one of its faults, by its number."""
        kept = [
            fault
            for number, fault in enumerate(self.faults)
            if number != dropped
        ]
        return dataclasses.replace(self, faults=tuple(kept))


def draw(seed: int, seconds: float) -> Schedule:
    """The schedule of a seed; the same every time."""
    rng = random.Random(seed)
    count = max(1, round(FAULTS_PER_SECOND * seconds * rng.uniform(0.5, 1.5)))
    kinds = list(Kind)
    faults = [
        Fault(
            rng.choice(kinds),
            round(rng.uniform(0, seconds), 2),
            round(rng.uniform(SHORTEST_SECONDS, LONGEST_SECONDS), 2),
            rng.randrange(NODES * TARGETS),
        )
        for _ in range(count)
    ]
    return Schedule(seed, seconds, tuple(sorted(faults, key=_begin)))


def _begin(fault: Fault) -> float:
    return fault.at


async def shrink(
    schedule: Schedule,
    is_red: collections.abc.Callable[
        [Schedule], collections.abc.Awaitable[bool]
    ],
) -> Schedule:
    """Drops faults, one at a time, as long as the run stays red."""
    number = 0
    while number < len(schedule.faults):
        smaller = schedule.without(number)
        if await is_red(smaller):
            schedule = smaller
        else:
            number += 1
    return schedule
