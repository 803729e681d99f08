"""Loads YAML files into validated pydantic models.

Reports all findings of a file at once, each with its line and key path.
"""

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

from endivewind import spelling
from endivewind.config import findings

_MAX_SHOWN_CHARACTERS = 60
# Keys whose values are redacted in findings and logs.
SECRET_KEYS = frozenset({"gossip_key"})
_REDACTED = "(hidden)"
# The last part of the locations that pydantic reports for invalid mapping keys.
_KEY_MARKER = "[key]"

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)

Location = tuple[int | str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """An inconsistency between several parts of a file.

    Model.find_problems() yields it without file and line; load_text() converts
    it to a Finding, which has both.

    Attributes:
      location: keys and indexes from the root to the value.
      message: what is wrong and what is allowed.
      seen: the invalid value.
      severity: error or warning.
    """

    location: Location
    message: str
    seen: object = ""
    severity: findings.Severity = findings.Severity.ERROR


class Model(pydantic.BaseModel):
    """Base class of models of external input; rejects unknown keys."""

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, allow_inf_nan=False
    )

    @classmethod
    def find_problems(cls, data: object) -> collections.abc.Iterator[Problem]:
        """Yields inconsistencies between parts of the raw data.

        The data may be malformed. It is checked before validation so that
        wrong references are reported even if a value elsewhere is invalid.
        """
        del data
        return iter(())


@dataclasses.dataclass(frozen=True, slots=True)
class Loaded(Generic[ModelT]):
    """A validated model and the warnings about its file."""

    model: ModelT
    warnings: tuple[findings.Finding, ...] = ()


Findings = tuple[findings.Finding, ...]


def load_file(
    path: str, model: type[ModelT]
) -> expression.Result[Loaded[ModelT], Findings]:
    """Loads a YAML file into a model, or returns all findings."""
    try:
        raw = pathlib.Path(path).read_bytes()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return _unreadable_file(path, 0, f"can't be read: {reason}")
    return load_bytes(raw, path, model)


def load_bytes(
    raw: bytes, file: str, model: type[ModelT]
) -> expression.Result[Loaded[ModelT], Findings]:
    """Loads UTF-8 YAML into a model, or returns all findings."""
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as error:
        line = raw.count(b"\n", 0, error.start) + 1
        reason = f"can't be read: not UTF-8 text at byte {error.start}"
        return _unreadable_file(file, line, reason)
    return load_text(text, file, model)


def load_text(
    text: str, file: str, model: type[ModelT]
) -> expression.Result[Loaded[ModelT], Findings]:
    """Loads YAML text into a model, or returns all findings."""
    try:
        root, data = _parse(text)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        problem = error.problem or error.context or "not valid YAML"
        return _unreadable_file(file, mark.line + 1 if mark else 0, problem)
    except (yaml.YAMLError, ValueError, OverflowError) as error:
        # PyYAML doesn't catch what int() and date() raise for invalid values.
        problem = str(error).partition("\n")[0]
        return _unreadable_file(file, 0, f"not valid YAML: {problem}")
    except RecursionError:
        return _unreadable_file(file, 0, "not valid YAML: nested too deeply")
    return _validate(data, _ParsedFile(file, root), model)


def _parse(text: str) -> tuple[yaml.Node | None, object]:
    """Returns the YAML nodes, which have line numbers, and their data.

    Uses PyYAML's C parser: the pure Python parser takes half a minute for a
    full-size file of 2.7 MB.
    """
    loader = yaml.CSafeLoader(text)
    try:
        root = loader.get_single_node()
        return root, None if root is None else loader.construct_document(root)
    finally:
        loader.dispose()


def _validate(
    data: object, parsed_file: "_ParsedFile", model: type[ModelT]
) -> expression.Result[Loaded[ModelT], Findings]:
    collected = parsed_file.duplicate_keys()
    if issubclass(model, Model):
        collected += [
            parsed_file.problem_finding(item)
            for item in model.find_problems(data)
        ]
    value = None
    try:
        value = model.model_validate(data if data is not None else {})
    except pydantic.ValidationError as error:
        collected += [
            parsed_file.error_finding(item, model) for item in error.errors()
        ]
    collected.sort()
    errors = [
        item for item in collected if item.severity is findings.Severity.ERROR
    ]
    if errors or value is None:
        return expression.Error(tuple(collected))
    return expression.Ok(Loaded(value, tuple(collected)))


def to_findings(
    error: pydantic.ValidationError,
    source: str,
    model: type[pydantic.BaseModel],
) -> Findings:
    """Converts a validation error of values that were not read from a file."""
    parsed_file = _ParsedFile(source, None)
    return tuple(
        parsed_file.error_finding(item, model) for item in error.errors()
    )


def _unreadable_file(
    file: str, line: int, message: str
) -> expression.Result[Any, Findings]:
    return expression.Error((findings.Finding(file, line, "", message),))


class _ParsedFile:
    """A parsed YAML file; creates findings with line numbers."""

    def __init__(self, file: str, root: yaml.Node | None) -> None:
        self._file = file
        self._root = root

    def problem_finding(self, problem: Problem) -> findings.Finding:
        """Creates the finding for an inconsistency between parts."""
        return self._make_finding(
            problem.location, problem.message, problem.seen, problem.severity
        )

    def error_finding(
        self, item: Any, model: type[pydantic.BaseModel]
    ) -> findings.Finding:
        """Creates the finding for a pydantic error."""
        location = item["loc"]
        message = item["msg"]
        if location and location[-1] == _KEY_MARKER:
            location = location[:-1]
            message = f"invalid key: {message}"
        if item["type"] == "extra_forbidden":
            message = _unknown_key_message(location, model)
        seen = "" if item["type"] == "missing" else item["input"]
        if set(location) & SECRET_KEYS:
            seen = _REDACTED
        return self._make_finding(location, message, seen)

    def duplicate_keys(self) -> list[findings.Finding]:
        """Finds duplicate keys, of which YAML silently keeps only the last."""
        collected: list[findings.Finding] = []
        pending: list[tuple[str, yaml.Node | None]] = [("", self._root)]
        # An alias may refer to an ancestor or to a node visited already.
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
                collected.extend(self._duplicate_keys(path, node))
                pending.extend(
                    (_join_path(path, key.value), value)
                    for key, value in node.value
                )
        return collected

    def _duplicate_keys(
        self, path: str, node: yaml.MappingNode
    ) -> collections.abc.Iterator[findings.Finding]:
        seen: set[str] = set()
        for key, _ in node.value:
            name = str(key.value)
            if name in seen:
                line = key.start_mark.line + 1
                where = _join_path(path, name)
                yield findings.Finding(self._file, line, where, "duplicate key")
            seen.add(name)

    def _make_finding(
        self,
        location: Location,
        message: str,
        seen: object,
        severity: findings.Severity = findings.Severity.ERROR,
    ) -> findings.Finding:
        return findings.Finding(
            self._file,
            *self._locate(location),
            message,
            "" if seen == "" else _shorten(seen),
            severity,
        )

    def _locate(self, location: Location) -> tuple[int, str]:
        """Returns the line of a key or its nearest parent, and its path."""
        node = self._root
        line = node.start_mark.line + 1 if node else 0
        path = ""
        for part in location:
            # An integer is the index of a list item or the key of a mapping;
            # only indexes are shown in brackets.
            in_list = isinstance(node, yaml.SequenceNode)
            path = f"{path}[{part}]" if in_list else _join_path(path, part)
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


def _shorten(value: object) -> str:
    # Mappings and lists are not shown: aliases in a small file can expand to
    # an enormous value, and a mapping in the settings may contain a secret.
    if isinstance(value, dict):
        return "a mapping"
    if isinstance(value, list | tuple):
        return "a list"
    shortener = reprlib.Repr()
    shortener.maxstring = shortener.maxlong = shortener.maxother = (
        _MAX_SHOWN_CHARACTERS
    )
    return shortener.repr(value)


def _join_path(path: str, key: object) -> str:
    return f"{path}.{key}".lstrip(".")


def _unknown_key_message(
    location: Location, model: type[pydantic.BaseModel]
) -> str:
    known = _field_names(location[:-1], model)
    hint = spelling.did_you_mean(str(location[-1]), known)
    return f"unknown key{hint} Allowed: {', '.join(sorted(known))}"


def _field_names(
    location: Location, model: type[pydantic.BaseModel]
) -> list[str]:
    current: Any = model
    for part in location:
        current = _child_type(current, part)
    if _is_model(current):
        return list(current.model_fields)
    return []


def _child_type(annotation: Any, part: int | str) -> Any:
    """Returns the type of a child of a model, mapping or sequence."""
    if _is_model(annotation):
        field = annotation.model_fields.get(str(part))
        return _unwrap_optional(field.annotation) if field else None
    arguments = typing.get_args(annotation)
    if not arguments:
        return None
    if typing.get_origin(annotation) is dict:
        return _unwrap_optional(arguments[-1])
    return _unwrap_optional(arguments[0])


def _is_model(annotation: Any) -> bool:
    return isinstance(annotation, type) and issubclass(
        annotation, pydantic.BaseModel
    )


def _unwrap_optional(annotation: Any) -> Any:
    """Returns the type inside an Optional."""
    arguments = [
        item for item in typing.get_args(annotation) if item is not type(None)
    ]
    if len(arguments) == 1 and type(None) in typing.get_args(annotation):
        return arguments[0]
    return annotation
