"""What submit and diff share: reading the platform and showing steps."""

import asyncio
import collections.abc
import random
from typing import Any
from typing import TypeVar

from absl import flags
import expression
import pydantic

from endivewind import exceptions
from endivewind.commands import options
from endivewind.config import planning
from endivewind.config import store
from endivewind.durable import retries
from endivewind.platform import client
from endivewind.platform import messages

BASE = flags.DEFINE_string(
    "base", "", "File that was edited, as it was before."
)
REMOVE = flags.DEFINE_list("remove", [], "Objects to remove, as KIND/NAME.")
READ_ATTEMPTS = 5

ResultT = TypeVar("ResultT")
Read = collections.abc.Callable[
    [],
    collections.abc.Awaitable[
        expression.Result[ResultT, messages.PlatformError]
    ],
]


async def read(call: Read[ResultT], what: str) -> ResultT:
    """Reads from the platform, again where that may help."""
    backoff = retries.Backoff(random.Random())
    problem = ""
    for _ in range(READ_ATTEMPTS):
        found = await call()
        if found.is_ok():
            return found.ok
        problem = f"{found.error.failure.value}: {found.error.detail}"
        await asyncio.sleep(backoff.next_seconds(found.error))
    raise exceptions.UnavailableError(f"{what}: {problem}")


async def current(
    platform: client.PlatformClient,
) -> dict[store.Key, planning.Current]:
    """Every configuration object of the platform."""
    held: dict[store.Key, planning.Current] = {}
    for kind in store.KINDS:
        listing = await listed(platform, kind)
        for item in listing.objects:
            held[store.Key(item.kind, item.name)] = current_of(item)
    return held


async def listed(
    platform: client.PlatformClient, kind: str
) -> messages.Listing:
    """Every object of one kind of the configuration."""
    return await read(
        lambda: platform.list(kind), "the platform's configuration"
    )


def current_of(stored: messages.StoredObject) -> planning.Current:
    """An object as the platform holds it."""
    try:
        envelope = store.Envelope.model_validate(stored.value)
    except pydantic.ValidationError:
        envelope = None
    return planning.Current(stored.version, envelope)


def steps(
    file: str,
    held: collections.abc.Mapping[store.Key, planning.Current],
) -> list[planning.Step]:
    """Plans the submission of a file with --base and --remove."""
    wanted = dict(planning.specs(options.load_configuration(file)))
    for text in REMOVE.value:
        key = _key(text)
        if key in wanted:
            raise exceptions.UsageError(f"{key} is in {file} and in --remove")
        wanted[key] = None
    origin = None
    if BASE.value:
        origin = planning.specs(options.load_configuration(BASE.value))
    return planning.plan(wanted, held, origin)


def _key(text: str) -> store.Key:
    kind, slash, name = text.partition("/")
    if kind not in store.KINDS or not slash or not name:
        kinds = ", ".join(store.KINDS)
        raise exceptions.UsageError(
            f"--remove={text}: must be KIND/NAME, with one of {kinds}"
        )
    return store.Key(kind, name)


def step_json(step: planning.Step) -> dict[str, Any]:
    """A step as JSON."""
    return {
        "object": str(step.key),
        "action": step.action.value,
        "removal": step.spec is None,
        "version": step.current.version,
        "differences": [_difference_json(item) for item in step.differences],
        "theirs": [_difference_json(item) for item in step.theirs],
        "changed_by": step.current.envelope.author
        if step.current.envelope
        else "",
        "changed_at": step.current.envelope.time
        if step.current.envelope
        else "",
    }


def step_lines(step: planning.Step) -> list[str]:
    """A step for people."""
    verb = "remove" if step.spec is None else "write"
    by = ""
    if step.current.envelope and step.action in _OTHERS:
        envelope = step.current.envelope
        by = (
            f", changed by {envelope.author or 'unknown'} at "
            f"{envelope.time or 'an unknown time'} "
            f"(operation {envelope.operation})"
        )
    action = verb if step.action is planning.Action.WRITE else step.action.value
    lines = [f"{step.key}: {action}{by}"]
    if step.action is planning.Action.REFUSED:
        lines += [f"    theirs  {item}" for item in step.theirs]
        lines += [f"    yours   {item}" for item in step.differences]
    elif step.action is planning.Action.WRITE:
        lines += [f"    {item}" for item in step.differences]
    return lines


_OTHERS = (planning.Action.KEPT, planning.Action.REFUSED)


def _difference_json(item: planning.Difference) -> dict[str, Any]:
    return {"path": item.path, "before": item.before, "after": item.after}
