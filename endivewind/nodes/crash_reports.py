"""Counts crashes of targets during a request, and grants trials of suspect ones.

A few nodes, chosen by the request, do so for the whole fleet.
`callers/poison_guard.py` decides when to report and when to ask. What they find
is passed on to all nodes by gossip.
"""

import asyncio
import collections.abc
import datetime
import logging
import random
from typing import Any

from endivewind import clock as clocks
from endivewind import logs
from endivewind.decisions import poison_requests
from endivewind.nodes import changes
from endivewind.nodes import codec
from endivewind.nodes import links
from endivewind.nodes import quotas
from endivewind.nodes import view

log = logging.getLogger(__name__)

# Nodes that count the crashes of one request. One may have restarted and one
# may not respond.
COUNTING_NODES = 3
# Responses to wait for. The others may be late without delaying a retry.
ENOUGH_RESPONSES = 2
# Times that a counting node is asked until it responds.
MAX_TRIES = 4
# Digits of a fingerprint in log lines; enough to tell requests apart.
LOGGED_DIGITS = 16
_MILLISECOND = datetime.timedelta(milliseconds=1)
# The one group of nodes; those of any zone may count.
_FLEET = ""
_MAX_TRIAL_NUMBER = 2**62

# Returns the query frame to send; called for each try.
_MakeFrame = collections.abc.Callable[[], Any]
Publish = collections.abc.Callable[[poison_requests.SuspectRequest], None]


class CrashReportService:
    """Reports crashes to other nodes, and counts those that they report."""

    def __init__(
        self,
        node: str,
        fleet: view.FleetView,
        pool: links.LinkPool,
        clock: clocks.Clock,
        suspects: poison_requests.SuspectRequests,
        publish: Publish,
        on_change: collections.abc.Callable[[], None],
        rng: random.Random | None = None,
    ) -> None:
        """Initializes the service without any counts.

        Args:
          node: the name of this node.
          fleet: the nodes of the fleet.
          pool: links to the other nodes.
          clock: the clock; its monotonic time is used.
          suspects: the suspect requests that this node knows.
          publish: tells all nodes of a suspect request's later record.
          on_change: called when the counts to save may have changed.
          rng: draws the numbers of trials.
        """
        self._node = node
        self._owners = quotas.OwnerDirectory(fleet, clock, lambda _: _FLEET)
        self._pool = pool
        self._clock = clock
        self._suspects = suspects
        self._publish = publish
        self._on_change = on_change
        self._rng = rng or random.Random()
        self._counts = poison_requests.CrashCounts()
        self._leases = poison_requests.TrialLeases()
        # Suspect requests that this node counts.
        self._counted: set[bytes] = set()
        # Requests of which this node asks for a trial or makes one.
        self._own_trials: set[bytes] = set()
        # Messages that are still being sent.
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def suspects(self) -> poison_requests.SuspectRequests:
        """The suspect requests that this node knows."""
        return self._suspects

    def saved_counts(self) -> dict[str, int]:
        """Returns the counts that must outlive this process.

        Crashes and failed trials of the suspect requests that this node counts.
        Their keys are fingerprints in hexadecimal.
        """
        suspects = [
            record
            for record in self._suspects.records()
            if not record.is_cleared and record.fingerprint in self._counted
        ]
        latest = suspects[-poison_requests.MAX_SAVED_REQUESTS :]
        return {item.fingerprint.hex(): item.count for item in latest}

    def restore(
        self, counts: collections.abc.Mapping[str, int], *, is_own: bool = True
    ) -> None:
        """Restores counts that an earlier process has saved.

        Args:
          counts: what `saved_counts` returned.
          is_own: whether it was a process of this node.
        """
        now = self._clock.monotonic()
        for key, count in counts.items():
            record = poison_requests.SuspectRequest.from_count(
                bytes.fromhex(key), count
            )
            if record is None:
                continue
            self._suspects.put(record, now)
            if is_own:
                self._counted.add(record.fingerprint)

    async def report_crash(
        self, fingerprint: bytes, target: str, age: datetime.timedelta
    ) -> None:
        """Reports a crash to the nodes that count those of the request.

        If they find the request suspect, `suspects` has its record afterwards.

        Args:
          fingerprint: of the request that ran at the target.
          target: the incarnation of the target.
          age: how long ago the attempt began.
        """
        started = self._clock.monotonic() - age

        def make_frame() -> Any:
            # The age when it is sent, which may be the last of several times.
            now_age = (self._clock.monotonic() - started) // _MILLISECOND
            report = codec.messages.CrashReport(
                fingerprint=fingerprint,
                target=target,
                age_ms=min(now_age, codec.MAX_INT32),
            )
            return codec.messages.Frame(crash_report=report)

        await self._report(fingerprint, make_frame)

    async def report_response(self, fingerprint: bytes) -> None:
        """Reports that a target has responded to a request."""
        report = codec.messages.CrashReport(fingerprint=fingerprint)
        frame = codec.messages.Frame(crash_report=report)
        await self._report(fingerprint, lambda: frame)

    async def report_change(
        self, record: poison_requests.SuspectRequest
    ) -> None:
        """Stores, publishes and reports the later record of a request."""
        self._own_trials.discard(record.fingerprint)
        self._learn(record)
        report = codec.messages.CrashReport(
            fingerprint=record.fingerprint,
            suspect=changes.encode_suspect(record),
        )
        frame = codec.messages.Frame(crash_report=report)
        await self._report(record.fingerprint, lambda: frame)

    async def ask_trial(
        self,
        record: poison_requests.SuspectRequest,
        duration: datetime.timedelta,
    ) -> poison_requests.Trial | None:
        """Asks the counting nodes for a trial of a suspect request.

        Most of them have to grant it, so that of two trials at the same time
        one node knows of both.

        Args:
          record: of the request.
          duration: how long the trial takes at most.

        Returns:
          The trial, which has to be reported or released; None if another one
          is being made, or if too few nodes respond.
        """
        fingerprint = record.fingerprint
        if fingerprint in self._own_trials:
            return None
        self._own_trials.add(fingerprint)
        trial = poison_requests.Trial(
            record, self._rng.randrange(1, _MAX_TRIAL_NUMBER)
        )
        try:
            if await self._is_granted(trial, duration):
                return trial
        except BaseException:
            self.release_trial(trial)
            raise
        self.release_trial(trial)
        return None

    async def _is_granted(
        self, trial: poison_requests.Trial, duration: datetime.timedelta
    ) -> bool:
        ask = _encode_ask(trial)
        ask.duration_ms = min(duration // _MILLISECOND, codec.MAX_INT32)
        frame = codec.messages.Frame(trial_ask=ask)
        tasks = self._send_to_counting_nodes(
            trial.record.fingerprint, lambda: frame
        )
        grants = 0
        for earliest in asyncio.as_completed(tasks):
            response = await earliest
            grants += response is not None and bool(
                response.trial_grant.granted
            )
            if grants > len(tasks) // 2:
                return True
        return False

    def release_trial(self, trial: poison_requests.Trial) -> None:
        """Gives back a trial that was not made."""
        self._own_trials.discard(trial.record.fingerprint)
        ask = _encode_ask(trial)
        ask.released = True
        frame = codec.messages.Frame(trial_ask=ask)
        self._send_to_counting_nodes(trial.record.fingerprint, lambda: frame)

    async def _report(self, fingerprint: bytes, make_frame: _MakeFrame) -> None:
        """Returns as soon as enough nodes have responded."""
        tasks = self._send_to_counting_nodes(fingerprint, make_frame)
        responses = 0
        for earliest in asyncio.as_completed(tasks):
            responses += await earliest is not None
            if responses >= ENOUGH_RESPONSES:
                return

    def _send_to_counting_nodes(
        self, fingerprint: bytes, make_frame: _MakeFrame
    ) -> list[asyncio.Task[Any]]:
        """Sends a query to each node that counts a request's crashes."""
        ranked = self._owners.nodes_by_rank(fingerprint.hex(), _FLEET)
        tasks = [
            asyncio.create_task(self._send_to(node, make_frame))
            for node in ranked[:COUNTING_NODES]
        ]
        for task in tasks:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return tasks

    async def _send_to(
        self, node: view.NodeRecord, make_frame: _MakeFrame
    ) -> Any:
        """Returns a node's response frame; None if there is none."""
        if node.name == self._node:
            return self.handle_query(make_frame())
        for _ in range(MAX_TRIES):
            response = await self._pool.query(
                node.address, make_frame(), links.QUERY_TIMEOUT
            )
            if response is None:
                continue
            found = response.crash_count or response.trial_grant
            if found is not None:
                self._learn_encoded(found.suspect)
                return response
        return None

    def handle_query(self, query: Any) -> Any:
        """Returns the response frame to a crash report or an ask for a trial."""
        if query.trial_ask is not None:
            grant = self._handle_ask(query.trial_ask)
            return codec.messages.Frame(trial_grant=grant)
        report = query.crash_report
        fingerprint = codec.to_bytes(report.fingerprint or b"")
        count = self._handle_report(fingerprint, report)
        return codec.messages.Frame(
            crash_count=codec.messages.CrashCount(
                count=count, suspect=self._encoded_latest(fingerprint)
            )
        )

    def _handle_report(self, fingerprint: bytes, report: Any) -> int:
        """Counts a crash, or stores the end of a trial; returns the count."""
        if report.suspect is not None:
            self._learn_encoded(report.suspect)
            self._count(fingerprint)
        elif not report.target:
            self._counts.forget(fingerprint)
            suspect = self._suspects.find(fingerprint)
            if suspect is not None:
                self._learn(suspect.cleared())
                self._on_change()
        else:
            age = max(0, report.age_ms or 0) * _MILLISECOND
            return self._record_crash(fingerprint, report.target, age)
        return 0

    def _record_crash(
        self, fingerprint: bytes, target: str, age: datetime.timedelta
    ) -> int:
        now = self._clock.monotonic()
        latest = self._suspects.latest(fingerprint)
        changed_at = self._suspects.changed_at(fingerprint)
        began_before = changed_at is not None and now - age <= changed_at
        if latest is not None and not latest.is_cleared:
            if not began_before:
                # Its entry node did not know yet that the request is suspect.
                self._learn(latest.after_failed_trial())
            self._count(fingerprint)
            return latest.count
        if began_before:
            # A target has responded since.
            return 0
        count = self._counts.record_crash(fingerprint, target, now)
        _log("crash counted", fingerprint, target=target, crashes=count)
        if count >= poison_requests.MIN_CRASHES:
            self._counts.forget(fingerprint)
            generation = latest.generation if latest is not None else 0
            self._learn(
                poison_requests.SuspectRequest(fingerprint, generation + 1)
            )
            self._count(fingerprint)
        return count

    def _handle_ask(self, ask: Any) -> Any:
        """Grants a trial unless another one is being made."""
        record = _decode_suspect(ask.suspect)
        if record is None:
            return codec.messages.TrialGrant(granted=False)
        trial = poison_requests.Trial(record, ask.number or 0)
        if ask.released:
            self._leases.release(trial)
            return codec.messages.TrialGrant(granted=False)
        now = self._clock.monotonic()
        self._learn(record)
        if self._leases.has_lapsed(record, now):
            # The node that made it has been lost, perhaps with its report.
            self._learn(record.after_failed_trial())
        self._count(record.fingerprint)
        duration = max(0, ask.duration_ms or 0) * _MILLISECOND
        granted = (
            self._suspects.find(record.fingerprint) == record
            and not self._suspects.remaining_pause(record.fingerprint, now)
            and self._leases.grant(trial, now, duration)
        )
        return codec.messages.TrialGrant(
            granted=granted, suspect=self._encoded_latest(record.fingerprint)
        )

    def _count(self, fingerprint: bytes) -> None:
        """Saves the count of a request from now on if it is suspect."""
        self._counted.add(fingerprint)
        self._counted = {
            item for item in self._counted if self._suspects.find(item)
        }
        self._on_change()

    def _learn(self, record: poison_requests.SuspectRequest) -> None:
        """Stores and publishes a record that is later than the known one."""
        if self._suspects.put(record, self._clock.monotonic()):
            self._publish(record)
            _log(
                "suspect request",
                record.fingerprint,
                cleared=record.is_cleared,
                failed_trials=record.failed_trials,
                generation=record.generation,
            )

    def _learn_encoded(self, suspect: Any) -> None:
        record = _decode_suspect(suspect)
        if record is not None:
            self._learn(record)

    def _encoded_latest(self, fingerprint: bytes) -> Any:
        latest = self._suspects.latest(fingerprint)
        return None if latest is None else changes.encode_suspect(latest)


def _decode_suspect(suspect: Any) -> poison_requests.SuspectRequest | None:
    """Returns a record from another node; None if there is none, or no valid one."""
    if suspect is None:
        return None
    try:
        return changes.decode_suspect(suspect)
    except (TypeError, ValueError) as error:
        log.warning("suspect request dropped: %s", error)
        return None


def _encode_ask(trial: poison_requests.Trial) -> Any:
    return codec.messages.TrialAsk(
        suspect=changes.encode_suspect(trial.record), number=trial.number
    )


def _log(message: str, fingerprint: bytes, **fields: object) -> None:
    """Logs a message about a request, named by part of its fingerprint."""
    name = fingerprint.hex()[:LOGGED_DIGITS]
    log.info(message, extra=logs.fields(fingerprint=name, **fields))
