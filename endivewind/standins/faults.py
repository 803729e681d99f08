"""Faults of the platform's stand-in, switched on while it runs."""

import collections
import enum

import pydantic


class Mode(enum.StrEnum):
    """What goes wrong with a call.

    OUTAGE closes the connection before anything is done. SLOW answers late.
    ANSWER_LOST does the write and closes the connection without an answer.
    PARTIAL cuts the answer in the middle; GARBAGE answers 200 with no JSON.
    RATE_LIMIT answers 429 above a rate. ERROR answers 500, BUSY 503 with
    nothing done. SILENT never answers. LATE does a write delay_ms after it
    came, and gives no answer. STALE answers reads that allow it from the
    state that the store was in when the fault was set.
    """

    OUTAGE = "outage"
    SLOW = "slow"
    ANSWER_LOST = "answer-lost"
    PARTIAL = "partial"
    GARBAGE = "garbage"
    RATE_LIMIT = "rate-limit"
    ERROR = "error"
    BUSY = "busy"
    SILENT = "silent"
    LATE = "late"
    STALE = "stale"


class Fault(pydantic.BaseModel):
    """One fault, as `PUT /standin/fault` takes it.

    Attributes:
      mode: what goes wrong.
      count: calls that it hits; 0 is all until the faults are cleared.
      methods: HTTP methods that it hits; none given is all.
      delay_ms: for SLOW and LATE: how much later.
      per_second: for RATE_LIMIT: calls a second let through.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    mode: Mode
    count: int = pydantic.Field(default=0, ge=0)
    methods: tuple[str, ...] = ()
    delay_ms: int = pydantic.Field(default=1_000, ge=0, le=60_000)
    per_second: int = pydantic.Field(default=1, ge=0)


class FaultList(pydantic.BaseModel):
    """All faults that are on; an empty list clears them."""

    faults: tuple[Fault, ...] = ()


class Faults:
    """Decides which faults hit a call; no input or output."""

    def __init__(self) -> None:
        self._faults: tuple[Fault, ...] = ()
        self._hits: list[int] = []
        self._second = 0
        self._in_second = 0
        self._counted: collections.Counter[str] = collections.Counter()

    @property
    def counted(self) -> dict[str, int]:
        """Calls by method since the start, whether hit or not."""
        return dict(self._counted)

    def set(self, wanted: FaultList) -> None:
        """Takes new faults in place of those before."""
        self._faults = wanted.faults
        self._hits = [0] * len(wanted.faults)

    def hits(self, method: str, now: float) -> dict[Mode, Fault]:
        """The faults that hit a call made now, in seconds."""
        self._counted[method] += 1
        if int(now) != self._second:
            self._second = int(now)
            self._in_second = 0
        self._in_second += 1
        found: dict[Mode, Fault] = {}
        for number, fault in enumerate(self._faults):
            if fault.methods and method not in fault.methods:
                continue
            if fault.count and self._hits[number] >= fault.count:
                continue
            if (
                fault.mode is Mode.RATE_LIMIT
                and self._in_second <= fault.per_second
            ):
                continue
            self._hits[number] += 1
            found[fault.mode] = fault
        return found
