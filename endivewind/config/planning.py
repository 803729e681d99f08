"""Plans a submission: what to write, what to leave, what to refuse."""

import collections.abc
import dataclasses
import datetime
import enum
from typing import Any

from endivewind.config import objects
from endivewind.config import store

Spec = dict[str, Any] | None

# Earlier specs of an object that its envelope tells of. A file as old as
# that is still known for what it is.
MAX_ANCESTORS = 16


class Action(enum.StrEnum):
    """What becomes of one object.

    WRITE: it is written. SAME: the platform holds it already. KEPT: the file
    holds an earlier state of it, so that this submission does not mean to
    change it. REFUSED: it was changed by another operator as well.
    """

    WRITE = "write"
    SAME = "same"
    KEPT = "kept"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One value that differs between two states of an object."""

    path: str
    before: Any
    after: Any

    def __str__(self) -> str:
        return f"{self.path}: {self.before!r} -> {self.after!r}"


@dataclasses.dataclass(frozen=True, slots=True)
class Current:
    """An object as the platform holds it.

    Attributes:
      platform_version: for the conditional update; 0 if it is not there.
      envelope: what it holds; None if it is not there or can't be read.
    """

    platform_version: int = 0
    envelope: store.Envelope | None = None

    @property
    def spec(self) -> Spec:
        """The object; None where it is not there or removed."""
        return self.envelope.spec if self.envelope else None

    @property
    def version(self) -> int:
        """The object's own version; 0 if it is not there."""
        if self.envelope is None:
            return 0
        return self.envelope.version or self.platform_version


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """What becomes of one object, and why.

    Attributes:
      key: the object.
      action: what becomes of it.
      spec: what the submission wants; None is a removal.
      current: what the platform holds.
      differences: from what the platform holds to what is wanted.
      theirs: for REFUSED: what the other operator has changed.
    """

    key: store.Key
    action: Action
    spec: Spec
    current: Current
    differences: tuple[Difference, ...] = ()
    theirs: tuple[Difference, ...] = ()


def specs(configuration: objects.Configuration) -> dict[store.Key, Spec]:
    """Every object of a configuration, services first."""
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
    current: collections.abc.Mapping[store.Key, Current],
    base: collections.abc.Mapping[store.Key, Spec] | None = None,
) -> list[Step]:
    """Merges a submission with what other operators have submitted.

    Args:
      wanted: the objects of the file; None is a removal.
      current: what the platform holds.
      base: the state that the file was edited from, where it is known: what
        is equal in both was not changed by this operator, and what is only
        in the base was removed.
    """
    removed = {} if base is None else dict.fromkeys(base.keys() - wanted.keys())
    return [
        _step(key, spec, current.get(key, Current()), base)
        for key, spec in {**wanted, **removed}.items()
    ]


def _step(
    key: store.Key,
    spec: Spec,
    current: Current,
    base: collections.abc.Mapping[store.Key, Spec] | None,
) -> Step:
    if current.spec == spec:
        return Step(key, Action.SAME, spec, current)
    changes = tuple(differences(current.spec, spec))
    if current.envelope is None:
        return Step(key, Action.WRITE, spec, current, changes)
    if base is None:
        older = spec is not None and _mark(spec) in current.envelope.ancestors
        action = Action.KEPT if older else Action.WRITE
        return Step(key, action, spec, current, changes)
    origin = base.get(key)
    if spec == origin:
        return Step(key, Action.KEPT, spec, current, changes)
    if current.spec == origin:
        return Step(key, Action.WRITE, spec, current, changes)
    theirs = tuple(differences(origin, current.spec))
    return Step(key, Action.REFUSED, spec, current, changes, theirs)


def replan(step: Step, current: Current) -> Step:
    """A step whose object has changed between reading and writing."""
    base = {step.key: step.current.spec}
    return _step(step.key, step.spec, current, base)


def envelope(
    step: Step, operation: str, author: str, now: datetime.datetime
) -> store.Envelope:
    """What to write for a step.

    The version is the time in microseconds or one above the version read,
    whichever is higher: so it grows with every write, and after a loss of the
    platform's store it is still above what nodes hold.
    """
    clock = int(now.timestamp() * 1_000_000)
    read = step.current
    ancestors: tuple[str, ...] = ()
    if read.envelope is not None:
        ancestors = read.envelope.ancestors
        if read.envelope.spec is not None:
            ancestors = (*ancestors, _mark(read.envelope.spec))
    wanted = "" if step.spec is None else _mark(step.spec)
    kept = tuple(item for item in ancestors if item != wanted)
    return store.Envelope(
        spec=step.spec,
        operation=operation,
        author=author,
        version=max(clock, read.version + 1),
        time=now.isoformat(timespec="milliseconds"),
        replaced_version=read.version,
        replaced_operation=read.envelope.operation if read.envelope else "",
        ancestors=kept[-MAX_ANCESTORS:],
    )


def differences(
    before: Any, after: Any, path: str = ""
) -> collections.abc.Iterator[Difference]:
    """Every value that differs, each with its path."""
    if isinstance(before, dict) and isinstance(after, dict):
        for key in dict.fromkeys((*before, *after)):
            inner = f"{path}.{key}" if path else str(key)
            yield from differences(before.get(key), after.get(key), inner)
    elif isinstance(before, list) and isinstance(after, list):
        for number in range(max(len(before), len(after))):
            yield from differences(
                before[number] if number < len(before) else None,
                after[number] if number < len(after) else None,
                f"{path}[{number}]",
            )
    elif before != after:
        yield Difference(path or "(object)", before, after)


def _mark(spec: dict[str, Any]) -> str:
    return f"{store.fingerprint(spec):x}"
