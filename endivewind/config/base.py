"""Loads YAML into validated models; gathers every finding of a file."""

import collections.abc
import dataclasses
import pathlib
import reprlib
import typing
from typing import Any
from typing import Generic
from typing import TypeVar

import expression
import pydantic
import yaml

from endivewind import names
from endivewind.config import findings

_SEEN_LIMIT = 60
# Keys whose values are shown nowhere: not in findings, not in logs.
SECRETS = frozenset({"gossip_key"})
_HIDDEN = "(hidden)"
# Marks an error in a mapping's key in pydantic's locations.
_KEY_MARK = "[key]"

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)

Location = tuple[int | str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """What a model finds between the parts of a file.

    Attributes:
      location: keys and indexes from the root to the place.
      message: what is wrong and what is allowed.
      seen: the value seen.
      severity: error or warning.
    """

    location: Location
    message: str
    seen: object = ""
    severity: findings.Severity = findings.Severity.ERROR


class Model(pydantic.BaseModel):
    """Base of every model at the border: unknown keys are findings."""

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, allow_inf_nan=False
    )

    @classmethod
    def problems(cls, data: object) -> collections.abc.Iterator[Problem]:
        """Problems between parts of the raw data, which may be malformed.

        They are looked for in the raw data so that a file with a wrong value
        in one place still gets its wrong references reported.
        """
        del data
        return iter(())


@dataclasses.dataclass(frozen=True, slots=True)
class Loaded(Generic[ModelT]):
    """A validated model and the warnings found on the way."""

    model: ModelT
    warnings: tuple[findings.Finding, ...] = ()


Findings = tuple[findings.Finding, ...]


def load_file(
    path: str, model: type[ModelT]
) -> expression.Result[Loaded[ModelT], Findings]:
    """Reads a YAML file into a model, or returns all its findings."""
    try:
        raw = pathlib.Path(path).read_bytes()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return _unreadable(path, 0, f"can't be read: {reason}")
    return load_bytes(raw, path, model)


def load_bytes(
    raw: bytes, file: str, model: type[ModelT]
) -> expression.Result[Loaded[ModelT], Findings]:
    """Reads YAML in UTF-8 into a model, or returns all its findings."""
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as error:
        line = raw.count(b"\n", 0, error.start) + 1
        reason = f"can't be read: not UTF-8 text at byte {error.start}"
        return _unreadable(file, line, reason)
    return load_text(text, file, model)


def load_text(
    text: str, file: str, model: type[ModelT]
) -> expression.Result[Loaded[ModelT], Findings]:
    """Reads YAML text into a model, or returns all its findings."""
    try:
        root, data = _parse(text)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        problem = error.problem or error.context or "not valid YAML"
        return _unreadable(file, mark.line + 1 if mark else 0, problem)
    except (yaml.YAMLError, ValueError, OverflowError) as error:
        # PyYAML lets through what int() and date() raise on impossible values.
        problem = str(error).partition("\n")[0]
        return _unreadable(file, 0, f"not valid YAML: {problem}")
    except RecursionError:
        return _unreadable(file, 0, "not valid YAML: nested too deep")
    return _validated(data, _Document(file, root), model)


def _parse(text: str) -> tuple[yaml.Node | None, object]:
    """The nodes, which know their lines, and the data made from them.

    The parser is PyYAML's C one: a file of the full size is 2.7 MB, which the
    one in Python reads in half a minute.
    """
    loader = yaml.CSafeLoader(text)
    try:
        root = loader.get_single_node()
        return root, None if root is None else loader.construct_document(root)
    finally:
        loader.dispose()


def _validated(
    data: object, document: "_Document", model: type[ModelT]
) -> expression.Result[Loaded[ModelT], Findings]:
    found = document.duplicates()
    if issubclass(model, Model):
        found += [document.problem(item) for item in model.problems(data)]
    value = None
    try:
        value = model.model_validate(data if data is not None else {})
    except pydantic.ValidationError as error:
        found += [document.error(item, model) for item in error.errors()]
    found.sort()
    errors = [
        item for item in found if item.severity is findings.Severity.ERROR
    ]
    if errors or value is None:
        return expression.Error(tuple(found))
    return expression.Ok(Loaded(value, tuple(found)))


def findings_of(
    error: pydantic.ValidationError,
    source: str,
    model: type[pydantic.BaseModel],
) -> Findings:
    """The findings of values that came from no file."""
    document = _Document(source, None)
    return tuple(document.error(item, model) for item in error.errors())


def _unreadable(
    file: str, line: int, message: str
) -> expression.Result[Any, Findings]:
    return expression.Error((findings.Finding(file, line, "", message),))


class _Document:
    """A composed YAML document: gives findings their lines."""

    def __init__(self, file: str, root: yaml.Node | None) -> None:
        self._file = file
        self._root = root

    def problem(self, problem: Problem) -> findings.Finding:
        """The finding for a problem between parts."""
        return self._finding(
            problem.location, problem.message, problem.seen, problem.severity
        )

    def error(
        self, item: Any, model: type[pydantic.BaseModel]
    ) -> findings.Finding:
        """The finding for one of pydantic's errors."""
        location = item["loc"]
        message = item["msg"]
        if location and location[-1] == _KEY_MARK:
            location = location[:-1]
            message = f"bad name: {message}"
        if item["type"] == "extra_forbidden":
            message = _unknown_key(location, model)
        seen = "" if item["type"] == "missing" else item["input"]
        if set(location) & SECRETS:
            seen = _HIDDEN
        return self._finding(location, message, seen)

    def duplicates(self) -> list[findings.Finding]:
        """Keys given twice: YAML keeps the last and drops the first."""
        found: list[findings.Finding] = []
        pending: list[tuple[str, yaml.Node | None]] = [("", self._root)]
        # An alias may lead back to a node above it, or to one seen before.
        visited: set[int] = set()
        while pending:
            path, node = pending.pop()
            if id(node) in visited:
                continue
            visited.add(id(node))
            if isinstance(node, yaml.SequenceNode):
                pending.extend(
                    (f"{path}[{index}]", item)
                    for index, item in enumerate(node.value)
                )
            if isinstance(node, yaml.MappingNode):
                found.extend(self._duplicates_of(path, node))
                pending.extend(
                    (_joined(path, key.value), value)
                    for key, value in node.value
                )
        return found

    def _duplicates_of(
        self, path: str, node: yaml.MappingNode
    ) -> collections.abc.Iterator[findings.Finding]:
        seen: set[str] = set()
        for key, _ in node.value:
            name = str(key.value)
            if name in seen:
                line = key.start_mark.line + 1
                where = _joined(path, name)
                yield findings.Finding(
                    self._file, line, where, "key given twice"
                )
            seen.add(name)

    def _finding(
        self,
        location: Location,
        message: str,
        seen: object,
        severity: findings.Severity = findings.Severity.ERROR,
    ) -> findings.Finding:
        return findings.Finding(
            self._file,
            *self._place(location),
            message,
            "" if seen == "" else _shortened(seen),
            severity,
        )

    def _place(self, location: Location) -> tuple[int, str]:
        """Line and dotted path of a key, or the line of its nearest parent."""
        node = self._root
        line = node.start_mark.line + 1 if node else 0
        path = ""
        for part in location:
            # A number may also be the key of a mapping.
            in_list = isinstance(node, yaml.SequenceNode)
            path = f"{path}[{part}]" if in_list else _joined(path, part)
            step = _child(node, part)
            line, node = step if step else (line, None)
        return line, path


def _child(
    node: yaml.Node | None, part: int | str
) -> tuple[int, yaml.Node] | None:
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == str(part):
                return key.start_mark.line + 1, value
    if (
        isinstance(node, yaml.SequenceNode)
        and isinstance(part, int)
        and part < len(node.value)
    ):
        item = node.value[part]
        return item.start_mark.line + 1, item
    return None


def _shortened(value: object) -> str:
    # Mappings and lists are not written out: aliases can make a small file's
    # long beyond measure, and one of settings may hold a secret.
    if isinstance(value, dict):
        return "a mapping"
    if isinstance(value, list | tuple):
        return "a list"
    shortener = reprlib.Repr()
    shortener.maxstring = shortener.maxlong = shortener.maxother = _SEEN_LIMIT
    return shortener.repr(value)


def _joined(path: str, key: object) -> str:
    return f"{path}.{key}".lstrip(".")


def _unknown_key(location: Location, model: type[pydantic.BaseModel]) -> str:
    known = _field_names(location[:-1], model)
    hint = names.suggest(str(location[-1]), known)
    return f"unknown key{hint} Allowed: {', '.join(sorted(known))}"


def _field_names(
    location: Location, model: type[pydantic.BaseModel]
) -> list[str]:
    current: Any = model
    for part in location:
        current = _below(current, part)
    if _is_model(current):
        return list(current.model_fields)
    return []


def _below(annotation: Any, part: int | str) -> Any:
    """The type below one key of a model, mapping, sequence or optional."""
    if _is_model(annotation):
        field = annotation.model_fields.get(str(part))
        return _plain(field.annotation) if field else None
    arguments = typing.get_args(annotation)
    if not arguments:
        return None
    if typing.get_origin(annotation) is dict:
        return _plain(arguments[-1])
    return _plain(arguments[0])


def _is_model(annotation: Any) -> bool:
    return isinstance(annotation, type) and issubclass(
        annotation, pydantic.BaseModel
    )


def _plain(annotation: Any) -> Any:
    """Takes Optional apart."""
    arguments = [
        item for item in typing.get_args(annotation) if item is not type(None)
    ]
    if len(arguments) == 1 and type(None) in typing.get_args(annotation):
        return arguments[0]
    return annotation
