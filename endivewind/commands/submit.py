"""endivewind submit: writes a configuration file to the platform.

Each object that differs is written by a conditional update. Objects that the
file holds in an earlier state are kept: another operator has changed them
since. With --base=FILE, the state that the file was edited from, nothing is
written if an object was changed by both; the difference is shown. A lost
answer is resolved by the operation id, so that nothing is written twice.

--wait asks the nodes, through the operators' address of one of them, until
the change is in force on every node that is known. Exit code 1 if anything
was refused or is not in force in time, 3 if an outcome stays unknown.
"""

import asyncio
import dataclasses
import datetime
import functools
import getpass
import random
import time
from typing import Any
import uuid

from absl import flags
import aiohttp

from endivewind import clock as clocks
from endivewind import exceptions
from endivewind.commands import options
from endivewind.commands import running
from endivewind.commands import submissions
from endivewind.config import planning
from endivewind.config import store
from endivewind.durable import audit
from endivewind.durable import membership
from endivewind.durable import retries
from endivewind.durable import writing
from endivewind.operators import configuration as operators
from endivewind.platform import client

USAGE = (
    "submit FILE|- --platform=URL [--base=FILE] [--remove=KIND/NAME,...]"
    " [--wait --operators=ADDRESS]"
)

flags.declare_key_flag("base")
flags.declare_key_flag("remove")
_WAIT = flags.DEFINE_bool("wait", False, "Wait until in force everywhere.")
_WAIT_SECONDS = flags.DEFINE_float(
    "wait_seconds", 15, "How long --wait waits.", lower_bound=0
)
flags.declare_key_flag("operators")
_OPERATION = flags.DEFINE_string(
    "operation_id", "", "Operation id; a new one unless given."
)
flags.declare_key_flag("platform")
flags.declare_key_flag("format")

_POLL_SECONDS = 0.25
_ASK_TIMEOUT = aiohttp.ClientTimeout(total=5)
_MAX_OBJECTS_ASKED = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """What became of one object.

    Attributes:
      step: what was planned, or planned anew after a race.
      ending: how its write ended; None where nothing was written.
      version: the version that was written; 0 if none was.
      detail: for people.
      followed: another write has already taken its place.
    """

    step: planning.Step
    ending: writing.Ending | None = None
    version: int = 0
    detail: str = ""
    followed: bool = False

    @property
    def result(self) -> str:
        """One word for the outcome."""
        if self.ending is None:
            return self.step.action.value
        return self.ending.value


class Submission:
    """One operation: a plan, its writes and their records."""

    def __init__(
        self,
        platform: client.PlatformClient,
        operation: str,
        author: str,
        clock: clocks.Clock,
    ) -> None:
        self._platform = platform
        self._operation = operation
        self._author = author
        self._clock = clock
        self._backoff = retries.Backoff(random.Random())

    async def run(self, steps: list[planning.Step]) -> list[Ended]:
        """Writes what is to be written; nothing if any object is refused."""
        refused = any(step.action is planning.Action.REFUSED for step in steps)
        writes = [
            step for step in steps if step.action is planning.Action.WRITE
        ]
        if refused or not writes:
            return [Ended(step) for step in steps]
        # Routes come after the services that they name, and go before them.
        writes.sort(key=lambda step: (step.spec is None, _rank(step)))
        await self._intend(writes)
        ended = [await self._write(step) for step in writes]
        await self._record_endings(ended)
        done = {item.step.key: item for item in ended}
        return [done.get(step.key, Ended(step)) for step in steps]

    async def _write(self, step: planning.Step) -> Ended:
        now = self._clock.now()
        envelope = planning.envelope(step, self._operation, self._author, now)
        written = await writing.write(
            self._platform,
            *step.key,
            envelope.model_dump(mode="json"),
            step.current.platform_version,
            self._backoff,
        )
        if written.ending is writing.Ending.CONFLICT:
            return await self._lost_race(step)
        version = envelope.version
        if written.ending is not writing.Ending.WRITTEN:
            version = 0
        return Ended(
            step, written.ending, version, written.detail, written.followed
        )

    async def _lost_race(self, step: planning.Step) -> Ended:
        """Another write came first: merge if it changed nothing of ours."""
        found = await submissions.current(self._platform)
        again = planning.replan(step, found.get(step.key, planning.Current()))
        if again.action is planning.Action.WRITE:
            # The other write left the object as it was read; once more.
            return await self._write(again)
        return Ended(again)

    async def _intend(self, writes: list[planning.Step]) -> None:
        """Records what is to come: no change is without a record."""
        records = [
            self._record(step, audit.Outcome.INTENDED) for step in writes
        ]
        added = await self._append(records)
        if added is not None:
            raise exceptions.UnavailableError(
                f"nothing was written: the audit trail can't be: {added}"
            )

    async def _record_endings(self, ended: list[Ended]) -> None:
        records = [
            self._record(item.step, _outcome(item), item.version)
            for item in ended
        ]
        await self._append(records)

    async def _append(self, records: list[audit.Record]) -> str | None:
        added = await audit.append(
            self._platform, self._author, records, self._backoff
        )
        return str(added.error) if added.is_error() else None

    def _record(
        self, step: planning.Step, outcome: audit.Outcome, version: int = 0
    ) -> audit.Record:
        action = audit.Action.SUBMIT
        if step.spec is None:
            action = audit.Action.REMOVE
        return audit.Record(
            time=self._clock.now(),
            actor=self._author,
            action=action,
            subject=str(step.key),
            operation=self._operation,
            outcome=outcome,
            from_version=step.current.version,
            to_version=version,
        )


def main(arguments: list[str]) -> int:
    """Writes each object that differs, by conditional update."""
    if len(arguments) != 1:
        raise exceptions.UsageError(f"usage: endivewind {USAGE}")
    if _WAIT.value and not options.OPERATORS.value:
        raise exceptions.UsageError("--wait needs --operators=ADDRESS")

    async def work(platform: client.PlatformClient) -> int:
        # A large submission makes many calls; it is one process, not a fleet.
        platform.budget.refill(5_000)
        return await _submit(platform, arguments[0])

    return running.loop(options.with_platform(work))


async def _submit(platform: client.PlatformClient, file: str) -> int:
    operation = _OPERATION.value or uuid.uuid4().hex
    held = await submissions.current(platform)
    steps = submissions.steps(file, held)
    submission = Submission(
        platform, operation, getpass.getuser(), clocks.SystemClock()
    )
    ended = await submission.run(steps)
    waited = None
    to_wait_for = _to_wait_for(ended)
    if _WAIT.value and to_wait_for:
        waited = await _wait(platform, to_wait_for)
    value = {
        "operation": operation,
        "versions": {
            str(item.step.key): _version(item)
            for item in ended
            if _version(item)
        },
        "objects": [_ended_json(item) for item in ended],
        "in_force": waited,
    }
    lines = [f"operation {operation}"]
    lines += [line for item in ended for line in _ended_lines(item)]
    if waited is not None:
        lines += _waited_lines(waited)
    options.show(value, "\n".join(lines))
    return _exit_code(ended, waited)


def _rank(step: planning.Step) -> int:
    order = (store.SERVICE, store.WORKSPACE_SHARD, store.ROUTE_GROUP)
    rank = order.index(step.key.kind)
    return -rank if step.spec is None else rank


def _outcome(item: Ended) -> audit.Outcome:
    if item.ending is writing.Ending.WRITTEN:
        return audit.Outcome.DONE
    if item.ending is writing.Ending.UNKNOWN:
        return audit.Outcome.UNKNOWN
    return audit.Outcome.REFUSED


def _version(item: Ended) -> int:
    if item.version or item.step.action is not planning.Action.SAME:
        return item.version
    return item.step.current.version


def _to_wait_for(ended: list[Ended]) -> dict[str, int]:
    return {
        str(item.step.key): _version(item) for item in ended if _version(item)
    }


def _ended_json(item: Ended) -> dict[str, Any]:
    return {
        **submissions.step_json(item.step),
        "result": item.result,
        "written_version": item.version,
        "detail": item.detail,
        "followed": item.followed,
    }


def _ended_lines(item: Ended) -> list[str]:
    lines = submissions.step_lines(item.step)
    if item.ending is None:
        return lines
    text = f"    {item.result}"
    if item.version:
        text += f" at version {item.version}"
    if item.followed:
        text += "; another write has already followed"
    if item.detail:
        text += f" ({item.detail})"
    return [*lines, text]


async def _wait(
    platform: client.PlatformClient, versions: dict[str, int]
) -> dict[str, Any]:
    """Asks until all known nodes have the versions, or the time is up."""
    start = time.monotonic()
    listed: set[str] | None = None
    async with aiohttp.ClientSession(timeout=_ASK_TIMEOUT) as session:
        while True:
            answer = await _ask(session, versions)
            nodes = answer["nodes"]
            behind = _behind(nodes, versions)
            if listed is None:
                listed = await _registered(platform, answer["zones"])
            known = listed | set(answer["silent"])
            unasked = sorted(known - nodes.keys() - set(answer["left"]))
            spent = datetime.timedelta(seconds=time.monotonic() - start)
            late = spent.total_seconds() >= _WAIT_SECONDS.value
            if late or not (behind or unasked):
                break
            await asyncio.sleep(_POLL_SECONDS)
    return {
        "everywhere": not behind and not unasked,
        "seconds": round(spent.total_seconds(), 3),
        "nodes_in_force": sorted(nodes.keys() - behind.keys()),
        "behind": behind,
        "not_known": unasked,
    }


async def _registered(
    platform: client.PlatformClient, zones: list[str]
) -> set[str]:
    """Names of all nodes that are registered, those that left included."""
    found: set[str] = set()
    for kind in membership.Directory(platform, zones).kinds:
        listing = await submissions.read(
            functools.partial(platform.list, kind), "the platform's nodes"
        )
        found |= {item.name for item in listing.objects}
    return found


async def _ask(
    session: aiohttp.ClientSession, versions: dict[str, int]
) -> dict[str, Any]:
    """What nodes say, through the first operators' address that answers."""
    query = [("object", name) for name in versions][:_MAX_OBJECTS_ASKED]
    problem = ""
    for address in options.OPERATORS.value:
        url = f"http://{address}{operators.PATH}"
        try:
            async with session.get(url, params=query) as response:
                response.raise_for_status()
                answer: dict[str, Any] = await response.json()
                return answer
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            problem = f"{address}: {str(error) or 'no answer in time'}"
    raise exceptions.UnavailableError(
        f"written, but whether it is in force can't be asked: {problem}"
    )


def _behind(
    nodes: dict[str, Any], versions: dict[str, int]
) -> dict[str, list[str]]:
    """What each node lacks or refuses."""
    found: dict[str, list[str]] = {}
    for node, states in nodes.items():
        for name, version in list(versions.items())[:_MAX_OBJECTS_ASKED]:
            state = states.get(name, {"known": 0, "in_force": 0})
            if state["in_force"] >= version:
                continue
            refused = state["known"] >= version
            text = "refuses it" if refused else f"has {state['in_force']}"
            found.setdefault(node, []).append(f"{name}: {text}")
    return found


def _waited_lines(waited: dict[str, Any]) -> list[str]:
    count = len(waited["nodes_in_force"])
    if waited["everywhere"]:
        return [
            f"in force on all {count} known nodes after {waited['seconds']} s"
        ]
    lines = [f"in force on {count} nodes after {waited['seconds']} s"]
    for node, problems in waited["behind"].items():
        lines += [f"    {node} is behind: {text}" for text in problems]
    lines += [
        f"    {node} has not answered: not known"
        for node in waited["not_known"]
    ]
    return lines


def _exit_code(ended: list[Ended], waited: dict[str, Any] | None) -> int:
    if any(item.ending is writing.Ending.UNKNOWN for item in ended):
        return exceptions.UnavailableError.exit_code
    refused = any(
        item.step.action is planning.Action.REFUSED
        or item.ending is writing.Ending.UNWRITTEN
        for item in ended
    )
    lagging = waited is not None and not waited["everywhere"]
    return 1 if refused or lagging else 0
