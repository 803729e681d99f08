"""Reads the platform's configuration and plans and formats submissions.

Used by the commands that read or write configuration objects: submit, diff,
watch and audit.
"""

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

BASE = flags.DEFINE_string("base", "", "The file as it was before editing.")
REMOVE = flags.DEFINE_list("remove", [], "Objects to remove, as KIND/NAME.")
MAX_READ_ATTEMPTS = 5

ResultT = TypeVar("ResultT")
ReadCall = collections.abc.Callable[
    [],
    collections.abc.Awaitable[
        expression.Result[ResultT, messages.PlatformError]
    ],
]


async def read_with_retries(call: ReadCall[ResultT], what: str) -> ResultT:
    """Reads from the platform, with backoff between attempts.

    Args:
      call: makes one attempt.
      what: names what is read, for the error message.

    Raises:
      UnavailableError: all attempts failed.
    """
    backoff = retries.Backoff(random.Random())
    problem = ""
    for _ in range(MAX_READ_ATTEMPTS):
        result = await call()
        if result.is_ok():
            return result.ok
        problem = f"{result.error.failure.value}: {result.error.detail}"
        await asyncio.sleep(backoff.next_seconds(result.error))
    raise exceptions.UnavailableError(f"{what}: {problem}")


async def read_configuration(
    platform: client.PlatformClient,
) -> dict[store.Key, planning.CurrentObject]:
    """Returns all configuration objects of the platform."""
    stored: dict[store.Key, planning.CurrentObject] = {}
    for kind in store.KINDS:
        listing = await list_objects(platform, kind)
        for item in listing.objects:
            stored[store.Key(item.kind, item.name)] = decode_stored_object(item)
    return stored


async def list_objects(
    platform: client.PlatformClient, kind: str
) -> messages.Listing:
    """Lists the configuration objects of one kind."""
    return await read_with_retries(
        lambda: platform.list(kind), "the platform's configuration"
    )


def decode_stored_object(
    stored: messages.StoredObject,
) -> planning.CurrentObject:
    """Decodes an object; its envelope is None if it can't be read."""
    try:
        envelope = store.Envelope.model_validate(stored.value)
    except pydantic.ValidationError:
        envelope = None
    return planning.CurrentObject(stored.version, envelope)


def plan_submission(
    file: str,
    stored: collections.abc.Mapping[store.Key, planning.CurrentObject],
) -> list[planning.PlanStep]:
    """Plans the submission of a file, using --base and --remove.

    Raises:
      UsageError: an object of --remove is invalid or is also in the file.
    """
    specs = dict(planning.object_specs(options.load_configuration(file)))
    for text in REMOVE.value:
        key = _parse_key(text)
        if key in specs:
            raise exceptions.UsageError(
                f"{key} is both in {file} and in --remove"
            )
        specs[key] = None
    base_specs = None
    if BASE.value:
        base_specs = planning.object_specs(
            options.load_configuration(BASE.value)
        )
    return planning.plan(specs, stored, base_specs)


def _parse_key(text: str) -> store.Key:
    kind, separator, name = text.partition("/")
    if kind not in store.KINDS or not separator or not name:
        kinds = ", ".join(store.KINDS)
        raise exceptions.UsageError(
            f"--remove={text}: must be KIND/NAME, where KIND is one of {kinds}"
        )
    return store.Key(kind, name)


def step_json(step: planning.PlanStep) -> dict[str, Any]:
    """Returns a step of the plan as JSON values."""
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


def step_lines(step: planning.PlanStep) -> list[str]:
    """Formats a step of the plan for text output."""
    verb = "remove" if step.spec is None else "write"
    change_note = ""
    if step.current.envelope and step.action in _CHANGED_BY_OTHERS:
        envelope = step.current.envelope
        change_note = (
            f", changed by {envelope.author or 'unknown'} at "
            f"{envelope.time or 'an unknown time'} "
            f"(operation {envelope.operation})"
        )
    action = verb if step.action is planning.Action.WRITE else step.action.value
    lines = [f"{step.key}: {action}{change_note}"]
    if step.action is planning.Action.REFUSED:
        lines += [f"    theirs  {item}" for item in step.theirs]
        lines += [f"    yours   {item}" for item in step.differences]
    elif step.action is planning.Action.WRITE:
        lines += [f"    {item}" for item in step.differences]
    return lines


_CHANGED_BY_OTHERS = (planning.Action.KEPT, planning.Action.REFUSED)


def _difference_json(item: planning.Difference) -> dict[str, Any]:
    return {"path": item.path, "before": item.before, "after": item.after}
