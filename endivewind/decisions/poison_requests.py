"""Detection of poison requests: requests that crash the targets they run on.

Pure: no I/O, and the caller passes the time. A few nodes count the crashes
during a request that all entry nodes report (`CrashCounts`). From the second
one on the request is suspect, which gossip tells all nodes (`SuspectRequests`).
"""

import collections
import collections.abc
import dataclasses
import datetime
import hashlib
from typing import NamedTuple

# Crashes from which a request is suspect. One crash proves little, since some
# request is always running.
MIN_CRASHES = 2
# How long a suspect request is refused after its last failed trial, by the
# number of failed trials; the last value holds for all further ones. The first
# trial is made at once: a harmless request is cleared by it. It may also be
# lost with a target that fails by itself, as in a zone that fails, so that the
# second follows soon. Callers that resend a poison request do so for minutes.
TRIAL_PAUSES = (
    datetime.timedelta(),
    datetime.timedelta(seconds=5),
    datetime.timedelta(minutes=10),
    datetime.timedelta(minutes=30),
)
# Crashes longer ago than this are not held against a request.
CRASH_MEMORY = datetime.timedelta(minutes=10)
# A request that stays suspect without any news is cleared after this time, and
# a cleared one forgotten. It exceeds the longest pause, so that callers that
# come back after it find the request still suspect.
SUSPECT_MEMORY = datetime.timedelta(hours=1)
# Requests whose crashes a node counts, of about 300 bytes each.
MAX_COUNTED_REQUESTS = 1024
# Suspect and cleared requests that a node knows.
MAX_SUSPECT_REQUESTS = 256
# Suspect requests that a node saves, the latest ones.
MAX_SAVED_REQUESTS = 16
# How long a response to a request shows that it is harmless, also if the
# request becomes suspect afterwards. It exceeds the time that gossip takes.
ANSWER_MEMORY = datetime.timedelta(seconds=10)
# Requests with responses that an entry node remembers, and their longest body.
MAX_ANSWERED_REQUESTS = 512
MAX_ANSWERED_BODY_BYTES = 256


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectRequest:
    """What the fleet knows of a request that has crashed targets.

    Of two records of a request the one with the higher version holds, so that
    nodes agree in whatever order records reach them.

    Attributes:
      fingerprint: of the request.
      generation: how often the request has become suspect.
      is_cleared: whether a target has responded to it since it became suspect.
      failed_trials: trials since then without a response.
    """

    fingerprint: bytes
    generation: int
    is_cleared: bool = False
    failed_trials: int = 0

    @classmethod
    def from_count(
        cls, fingerprint: bytes, count: int
    ) -> "SuspectRequest | None":
        """Returns the record of a saved `count`; None if it is too low."""
        if count < MIN_CRASHES:
            return None
        failed_trials = min(count - MIN_CRASHES, len(TRIAL_PAUSES))
        return cls(fingerprint, 1, failed_trials=failed_trials)

    @property
    def count(self) -> int:
        """The crashes that made it suspect, and the failed trials."""
        return MIN_CRASHES + self.failed_trials

    @property
    def version(self) -> tuple[int, bool, int]:
        """Orders the records of one request."""
        return (self.generation, self.is_cleared, self.failed_trials)

    def after_failed_trial(self) -> "SuspectRequest":
        """Returns the record after one more trial without a response."""
        return dataclasses.replace(self, failed_trials=self.failed_trials + 1)

    def cleared(self) -> "SuspectRequest":
        """Returns the record after a response."""
        return dataclasses.replace(self, is_cleared=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """An attempt of a suspect request.

    Attributes:
      record: of the request when the trial was granted.
      number: tells it from other trials.
    """

    record: SuspectRequest
    number: int


class RequestParts(NamedTuple):
    """The parts of a request that its fingerprint is made of."""

    workspace: str
    service: str
    method: str
    path: str
    body: bytes


class AnsweredRequests:
    """Requests to which targets have responded lately, by their parts.

    A fingerprint takes too long to be computed for each request.
    """

    def __init__(self) -> None:
        self._answered_at: collections.OrderedDict[
            RequestParts, datetime.timedelta
        ] = collections.OrderedDict()

    def record(self, request: RequestParts, now: datetime.timedelta) -> None:
        """Records a response to a request, unless its body is large."""
        if len(request.body) > MAX_ANSWERED_BODY_BYTES:
            return
        self._answered_at[request] = now
        self._answered_at.move_to_end(request)
        if len(self._answered_at) > MAX_ANSWERED_REQUESTS:
            self._answered_at.popitem(last=False)

    def latest(
        self, now: datetime.timedelta
    ) -> collections.abc.Iterator[RequestParts]:
        """Yields the requests of the last ANSWER_MEMORY, the latest first."""
        for request in reversed(self._answered_at):
            if now - self._answered_at[request] > ANSWER_MEMORY:
                return
            yield request


@dataclasses.dataclass(slots=True)
class _Known:
    record: SuspectRequest
    changed_at: datetime.timedelta


def _ignore(record: SuspectRequest) -> None:
    pass


class SuspectRequests:
    """The suspect requests that a node knows, each at its highest version.

    Scenario: a request crashes each target that runs it, and its caller sends
    it to one node after the other. Risk: each node makes an attempt to learn
    what others know. A harmless request that is sent often may be suspect too,
    since it runs at many targets when some crash: a response to it at any node
    clears it for all.
    """

    def __init__(self) -> None:
        self._known: collections.OrderedDict[bytes, _Known] = (
            collections.OrderedDict()
        )
        self._suspect_count = 0
        self._digest = 0
        self._observer: collections.abc.Callable[[SuspectRequest], None] = (
            _ignore
        )

    def observe(
        self, observer: collections.abc.Callable[[SuspectRequest], None]
    ) -> None:
        """Sets what is called with each record of a suspect request."""
        self._observer = observer

    def __bool__(self) -> bool:
        """Whether any request is suspect.

        If not, callers need not compute a fingerprint.
        """
        return self._suspect_count > 0

    @property
    def digest(self) -> int:
        """Digest of the suspect requests, 0 if there are none."""
        return self._digest

    def put(self, record: SuspectRequest, now: datetime.timedelta) -> bool:
        """Stores a record unless a later one is known.

        Returns:
          Whether it was stored.
        """
        known = self._known.get(record.fingerprint)
        if known is not None and known.record.version >= record.version:
            return False
        self._known[record.fingerprint] = _Known(record, now)
        self._known.move_to_end(record.fingerprint)
        if len(self._known) > MAX_SUSPECT_REQUESTS:
            self._known.popitem(last=False)
        self._update_digest()
        if not record.is_cleared:
            self._observer(record)
        return True

    def find(self, fingerprint: bytes) -> SuspectRequest | None:
        """Returns the record of a request if it is suspect."""
        known = self._known.get(fingerprint)
        if known is None or known.record.is_cleared:
            return None
        return known.record

    def latest(self, fingerprint: bytes) -> SuspectRequest | None:
        """Returns the record of a request, suspect or cleared."""
        known = self._known.get(fingerprint)
        return known.record if known else None

    def changed_at(self, fingerprint: bytes) -> datetime.timedelta | None:
        """Returns when the record of a request was stored here."""
        known = self._known.get(fingerprint)
        return known.changed_at if known else None

    def remaining_pause(
        self, fingerprint: bytes, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns how much longer to refuse a request; 0 to allow a trial."""
        known = self._known.get(fingerprint)
        if known is None or known.record.is_cleared:
            return datetime.timedelta()
        index = min(known.record.failed_trials, len(TRIAL_PAUSES) - 1)
        remaining = known.changed_at + TRIAL_PAUSES[index] - now
        return max(remaining, datetime.timedelta())

    def records(self) -> list[SuspectRequest]:
        """Returns all records, the earliest first, those of cleared ones too."""
        return [known.record for known in self._known.values()]

    def expire(self, now: datetime.timedelta) -> None:
        """Clears and drops records that have not changed for SUSPECT_MEMORY."""
        while self._known:
            fingerprint, known = next(iter(self._known.items()))
            if now - known.changed_at < SUSPECT_MEMORY:
                return
            if known.record.is_cleared:
                del self._known[fingerprint]
            else:
                self.put(known.record.cleared(), now)

    def _update_digest(self) -> None:
        suspects = sorted(
            (item.record.fingerprint, item.record.version)
            for item in self._known.values()
            if not item.record.is_cleared
        )
        self._suspect_count = len(suspects)
        if not suspects:
            self._digest = 0
            return
        digest = hashlib.blake2b(repr(suspects).encode(), digest_size=4)
        self._digest = int.from_bytes(digest.digest(), "big", signed=True)


class CrashCounts:
    """Counts the crashes during a request that entry nodes report."""

    def __init__(self) -> None:
        # The crashed targets, and the time of the last crash.
        self._crashes: collections.OrderedDict[
            bytes, tuple[set[str], datetime.timedelta]
        ] = collections.OrderedDict()

    def record_crash(
        self, fingerprint: bytes, target: str, now: datetime.timedelta
    ) -> int:
        """Records that a target crashed while it ran a request.

        Args:
          fingerprint: of the request.
          target: the incarnation of the target; each counts once.
          now: the current monotonic time.

        Returns:
          How many targets have crashed.
        """
        targets, last_crash = self._crashes.pop(fingerprint, (set(), now))
        if now - last_crash >= CRASH_MEMORY:
            targets = set()
        targets.add(target)
        self._crashes[fingerprint] = (targets, now)
        if len(self._crashes) > MAX_COUNTED_REQUESTS:
            self._crashes.popitem(last=False)
        return len(targets)

    def forget(self, fingerprint: bytes) -> None:
        """Forgets the crashes of a request."""
        self._crashes.pop(fingerprint, None)


@dataclasses.dataclass(frozen=True, slots=True)
class _Lease:
    trial: Trial
    until: datetime.timedelta


class TrialLeases:
    """The trials that a node has granted, one at a time for each request."""

    def __init__(self) -> None:
        self._leases: dict[bytes, _Lease] = {}

    def grant(
        self,
        trial: Trial,
        now: datetime.timedelta,
        duration: datetime.timedelta,
    ) -> bool:
        """Grants a trial unless another one of the same record was granted.

        Args:
          trial: the trial; asking for it again is allowed.
          now: the current monotonic time.
          duration: how long the trial takes at most.

        Returns:
          Whether the trial may be made.
        """
        lease = self._leases.get(trial.record.fingerprint)
        if lease is not None and lease.trial.record == trial.record:
            return lease.trial == trial
        if len(self._leases) >= MAX_SUSPECT_REQUESTS:
            del self._leases[next(iter(self._leases))]
        self._leases[trial.record.fingerprint] = _Lease(trial, now + duration)
        return True

    def release(self, trial: Trial) -> None:
        """Takes back a trial that was not made."""
        lease = self._leases.get(trial.record.fingerprint)
        if lease is not None and lease.trial == trial:
            del self._leases[trial.record.fingerprint]

    def has_lapsed(
        self, record: SuspectRequest, now: datetime.timedelta
    ) -> bool:
        """Returns whether a trial of this record has not ended in time."""
        lease = self._leases.get(record.fingerprint)
        return (
            lease is not None
            and lease.trial.record == record
            and now >= lease.until
        )
