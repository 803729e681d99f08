"""Fault injection for the platform stand-in.

Tests and the soak set the faults while the stand-in runs, over its control
path `PUT /standin/fault`.
"""

import collections
import enum

import pydantic


class FaultMode(enum.StrEnum):
    """The way in which a call fails.

    OUTAGE closes the connection before the call is executed. SLOW executes
    the call after delay_ms. ANSWER_LOST executes the call and closes the
    connection without a response. PARTIAL truncates the response in the
    middle; GARBAGE responds 200 with a body that is not JSON. RATE_LIMIT
    responds 429 above a rate. ERROR responds 500 and BUSY 503, both without
    executing the call. SILENT never responds. LATE executes the call after
    delay_ms and gives no response. STALE serves reads that allow stale data
    from the state that the store had when the fault was set.
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
    """One fault in the body of `PUT /standin/fault`.

    Attributes:
      mode: the way in which calls fail.
      count: number of calls affected; 0 affects all calls until the faults
        are cleared.
      methods: HTTP methods affected; empty affects all methods.
      delay_ms: delay of SLOW and LATE.
      per_second: calls per second that RATE_LIMIT lets through.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    mode: FaultMode
    count: int = pydantic.Field(default=0, ge=0)
    methods: tuple[str, ...] = ()
    delay_ms: int = pydantic.Field(default=1_000, ge=0, le=60_000)
    per_second: int = pydantic.Field(default=1, ge=0)


class FaultList(pydantic.BaseModel):
    """All active faults; an empty list clears them."""

    faults: tuple[Fault, ...] = ()


class FaultInjector:
    """Selects the faults that affect a call. Performs no I/O."""

    def __init__(self) -> None:
        self._faults: tuple[Fault, ...] = ()
        self._hit_counts: list[int] = []
        self._current_second = 0
        self._calls_in_second = 0
        self._call_counts: collections.Counter[str] = collections.Counter()

    @property
    def call_counts(self) -> dict[str, int]:
        """Calls by method since the start, whether affected or not."""
        return dict(self._call_counts)

    def replace(self, wanted: FaultList) -> None:
        """Replaces the active faults."""
        self._faults = wanted.faults
        self._hit_counts = [0] * len(wanted.faults)

    def faults_for(self, method: str, now: float) -> dict[FaultMode, Fault]:
        """Returns the faults that affect a call and counts the call.

        Args:
          method: HTTP method of the call.
          now: time of the call in seconds.
        """
        self._call_counts[method] += 1
        if int(now) != self._current_second:
            self._current_second = int(now)
            self._calls_in_second = 0
        self._calls_in_second += 1
        found: dict[FaultMode, Fault] = {}
        for number, fault in enumerate(self._faults):
            if fault.methods and method not in fault.methods:
                continue
            if fault.count and self._hit_counts[number] >= fault.count:
                continue
            if (
                fault.mode is FaultMode.RATE_LIMIT
                and self._calls_in_second <= fault.per_second
            ):
                continue
            self._hit_counts[number] += 1
            found[fault.mode] = fault
        return found
