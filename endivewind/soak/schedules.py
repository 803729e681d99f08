"""Schedules of the soak: faults and their times, generated from a seed.

Also converts schedules to and from JSON, and shrinks failing ones.
"""

import collections.abc
import dataclasses
import enum
import json
import random
from typing import Any


class FaultKind(enum.StrEnum):
    """Kind of a fault; all faults are injected from outside the processes.

    NODE_*, TARGET_*: signals to a process, or faults of the target stand-in.
    A stopped or killed process is restarted when the fault ends, a paused one
    is resumed. LINK_*: faults of the relay in front of one node's address for
    other nodes; DEAF drops bytes to the node, MUTE bytes from it.
    PLATFORM_*: faults of the platform stand-in. FORGETS discards its log of
    writes. EMPTIES discards the whole store. RESTORES restores the state at
    the start of the run. SUBMIT_RACE: two operators submit concurrently.
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


NODE_COUNT = 4
TARGET_COUNT = 6
# Frequent enough that most faults overlap with others.
FAULTS_PER_SECOND = 0.8
MIN_FAULT_SECONDS = 0.2
MAX_FAULT_SECONDS = 5.0
# Share of the schedules in which each target has its own node.
LOCAL_TARGET_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes:
      kind: kind of the fault.
      at: start, in seconds after the start of the run.
      lasts: duration in seconds.
      subject: number that selects the affected node or target, modulo their
        count.
    """

    kind: FaultKind
    at: float
    lasts: float
    subject: int

    @property
    def ends_at(self) -> float:
        """End, in seconds after the start of the run."""
        return self.at + self.lasts


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """All faults of one run.

    Attributes:
      seed: seed of the faults and of the callers' random choices.
      seconds: length of the period in which faults start.
      faults: in the order of their start.
      has_local_targets: whether each node has the only target of its VM beside
        it, and calls inherit priorities and time limits.
    """

    seed: int
    seconds: float
    faults: tuple[Fault, ...]
    has_local_targets: bool = False

    def to_json(self) -> str:
        """Returns the schedule as JSON, which from_json parses."""
        return json.dumps(dataclasses.asdict(self), indent=1)

    @classmethod
    def from_json(cls, text: str) -> "Schedule":
        """Parses a schedule from JSON.

        Raises:
          ValueError: the text is no valid schedule.
        """
        try:
            data: dict[str, Any] = json.loads(text)
            faults = tuple(
                Fault(
                    FaultKind(item["kind"]),
                    float(item["at"]),
                    float(item["lasts"]),
                    int(item["subject"]),
                )
                for item in data["faults"]
            )
            return cls(
                int(data["seed"]),
                float(data["seconds"]),
                faults,
                # Missing in schedules of earlier releases.
                bool(data.get("has_local_targets", False)),
            )
        except (KeyError, TypeError) as error:
            raise ValueError(f"not a valid schedule: {error}") from error

    def without(self, index: int) -> "Schedule":
        """Returns the schedule without the fault at an index."""
        kept = [
            fault
            for position, fault in enumerate(self.faults)
            if position != index
        ]
        return dataclasses.replace(self, faults=tuple(kept))


def generate(seed: int, seconds: float) -> Schedule:
    """Generates the schedule of a seed, deterministically."""
    rng = random.Random(seed)
    count = max(1, round(FAULTS_PER_SECOND * seconds * rng.uniform(0.5, 1.5)))
    kinds = list(FaultKind)
    faults = [
        Fault(
            rng.choice(kinds),
            round(rng.uniform(0, seconds), 2),
            round(rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS), 2),
            rng.randrange(NODE_COUNT * TARGET_COUNT),
        )
        for _ in range(count)
    ]
    return Schedule(
        seed,
        seconds,
        tuple(sorted(faults, key=_start_time)),
        rng.random() < LOCAL_TARGET_SHARE,
    )


def _start_time(fault: Fault) -> float:
    return fault.at


async def shrink(
    schedule: Schedule,
    run_fails: collections.abc.Callable[
        [Schedule], collections.abc.Awaitable[bool]
    ],
) -> Schedule:
    """Removes faults one by one as long as the run still fails."""
    index = 0
    while index < len(schedule.faults):
        smaller = schedule.without(index)
        if await run_fails(smaller):
            schedule = smaller
        else:
            index += 1
    return schedule
