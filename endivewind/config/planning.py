"""Plans a submission: three-way merge of configuration objects.

Decides for each object whether to write it, leave it or refuse the change
because another operator has changed it, too.
"""

import collections.abc
import dataclasses
import datetime
import enum
from typing import Any

from endivewind.config import objects
from endivewind.config import store

# An object's content; None if the object is absent or is to be removed.
Spec = dict[str, Any] | None

# Number of earlier specs whose fingerprints an envelope contains. A file with
# one of these specs is recognised as outdated.
MAX_ANCESTORS = 16


class Action(enum.StrEnum):
    """What a submission does with one object.

    WRITE: writes it. SAME: nothing, as the platform has the same spec already.
    KEPT: nothing, so the platform's spec stays. With a merge base: the operator
    has not edited the spec, as the file has the one of the merge base. Without
    a merge base: the file has an earlier spec of the object, so it is outdated.
    REFUSED: nothing, since both this and another operator have changed it since
    the merge base.
    """

    WRITE = "write"
    SAME = "same"
    KEPT = "kept"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A value that differs between two states of an object."""

    path: str
    before: Any
    after: Any

    def __str__(self) -> str:
        return f"{self.path}: {self.before!r} -> {self.after!r}"


@dataclasses.dataclass(frozen=True, slots=True)
class CurrentObject:
    """An object as stored on the platform.

    Attributes:
      platform_version: version for the conditional update; 0 if the object
        does not exist.
      envelope: its content; None if it does not exist or can't be read.
    """

    platform_version: int = 0
    envelope: store.Envelope | None = None

    @property
    def spec(self) -> Spec:
        """The object; None if it does not exist or has been removed."""
        return self.envelope.spec if self.envelope else None

    @property
    def version(self) -> int:
        """The object's own version; 0 if it does not exist."""
        if self.envelope is None:
            return 0
        return self.envelope.version or self.platform_version


@dataclasses.dataclass(frozen=True, slots=True)
class PlanStep:
    """What a submission does with one object, and why.

    Attributes:
      key: the object.
      action: what the submission does with it.
      spec: its desired state; None removes it.
      current: its state on the platform.
      differences: differences from the state on the platform to the desired
        one.
      theirs: for REFUSED: the other operator's changes, from the merge base to
        the state on the platform; otherwise empty.
    """

    key: store.Key
    action: Action
    spec: Spec
    current: CurrentObject
    differences: tuple[Difference, ...] = ()
    theirs: tuple[Difference, ...] = ()


def object_specs(
    configuration: objects.ConfigurationFile,
) -> dict[store.Key, Spec]:
    """Returns the objects of a configuration, services first."""
    groups: tuple[tuple[str, collections.abc.Mapping[str, Any]], ...] = (
        (store.SERVICE, configuration.services),
        (store.WORKSPACE_SHARD, configuration.workspace_shards),
        (store.ROUTE_GROUP, configuration.route_groups),
    )
    return {
        store.Key(kind, name): model.model_dump(mode="json")
        for kind, group in groups
        for name, model in group.items()
    }


def plan(
    wanted: collections.abc.Mapping[store.Key, Spec],
    current: collections.abc.Mapping[store.Key, CurrentObject],
    merge_base: collections.abc.Mapping[store.Key, Spec] | None = None,
) -> list[PlanStep]:
    """Merges a submission with those of other operators.

    Args:
      wanted: the objects of the file; None removes an object.
      current: the objects on the platform.
      merge_base: the objects from which the file was edited, if known. An
        object that is equal in the file and the merge base was not changed by
        this operator; one that is only in the merge base was removed.
    """
    removed = (
        {}
        if merge_base is None
        else dict.fromkeys(merge_base.keys() - wanted.keys())
    )
    return [
        _plan_step(key, spec, current.get(key, CurrentObject()), merge_base)
        for key, spec in {**wanted, **removed}.items()
    ]


def _plan_step(
    key: store.Key,
    spec: Spec,
    current: CurrentObject,
    merge_base: collections.abc.Mapping[store.Key, Spec] | None,
) -> PlanStep:
    if current.spec == spec:
        return PlanStep(key, Action.SAME, spec, current)
    changes = tuple(find_differences(current.spec, spec))
    if current.envelope is None:
        return PlanStep(key, Action.WRITE, spec, current, changes)
    if merge_base is None:
        is_outdated = (
            spec is not None
            and _spec_fingerprint(spec) in current.envelope.ancestors
        )
        action = Action.KEPT if is_outdated else Action.WRITE
        return PlanStep(key, action, spec, current, changes)
    origin = merge_base.get(key)
    if spec == origin:
        return PlanStep(key, Action.KEPT, spec, current, changes)
    if current.spec == origin:
        return PlanStep(key, Action.WRITE, spec, current, changes)
    theirs = tuple(find_differences(origin, current.spec))
    return PlanStep(key, Action.REFUSED, spec, current, changes, theirs)


def replan(step: PlanStep, current: CurrentObject) -> PlanStep:
    """Plans a step anew after its object has changed since it was read."""
    merge_base = {step.key: step.current.spec}
    return _plan_step(step.key, step.spec, current, merge_base)


def make_envelope(
    step: PlanStep, operation: str, author: str, now: datetime.datetime
) -> store.Envelope:
    """Creates the envelope to write for a step.

    The version is the time in microseconds or one above the version read,
    whichever is higher. So it grows with every write and, after the platform
    has lost its store, is still above the versions that nodes hold.
    """
    now_us = int(now.timestamp() * 1_000_000)
    read = step.current
    ancestors: tuple[str, ...] = ()
    if read.envelope is not None:
        ancestors = read.envelope.ancestors
        if read.envelope.spec is not None:
            ancestors = (*ancestors, _spec_fingerprint(read.envelope.spec))
    new_fingerprint = "" if step.spec is None else _spec_fingerprint(step.spec)
    kept_ancestors = tuple(
        item for item in ancestors if item != new_fingerprint
    )
    return store.Envelope(
        spec=step.spec,
        operation=operation,
        author=author,
        version=max(now_us, read.version + 1),
        time=now.isoformat(timespec="milliseconds"),
        replaced_version=read.version,
        replaced_operation=read.envelope.operation if read.envelope else "",
        ancestors=kept_ancestors[-MAX_ANCESTORS:],
    )


def find_differences(
    before: Any, after: Any, path: str = ""
) -> collections.abc.Iterator[Difference]:
    """Yields the values that differ, each with its path."""
    if isinstance(before, dict) and isinstance(after, dict):
        for key in dict.fromkeys((*before, *after)):
            inner = f"{path}.{key}" if path else str(key)
            yield from find_differences(before.get(key), after.get(key), inner)
    elif isinstance(before, list) and isinstance(after, list):
        for number in range(max(len(before), len(after))):
            yield from find_differences(
                before[number] if number < len(before) else None,
                after[number] if number < len(after) else None,
                f"{path}[{number}]",
            )
    elif before != after:
        yield Difference(path or "(object)", before, after)


def _spec_fingerprint(spec: dict[str, Any]) -> str:
    return f"{store.fingerprint(spec):x}"
