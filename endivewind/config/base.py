"""Loads YAML into validated models; gathers every finding of a file."""

import dataclasses
import difflib
import pathlib
import typing
from typing import Any
from typing import Generic
from typing import TypeVar

import expression
import pydantic
import yaml

from endivewind.config import findings

_SEEN_LIMIT = 60

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)


class Model(pydantic.BaseModel):
    """Base of every model at the border: unknown keys are findings."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


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
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not UTF-8 text"
        return expression.Error(
            (findings.Finding(path, 0, "", f"can't be read: {reason}"),)
        )
    return load_text(text, path, model)


def load_text(
    text: str, file: str, model: type[ModelT]
) -> expression.Result[Loaded[ModelT], Findings]:
    """Reads YAML text into a model, or returns all its findings."""
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        data = yaml.safe_load(text)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 0
        problem = getattr(error, "problem", None) or "not valid YAML"
        return expression.Error((findings.Finding(file, line, "", problem),))
    lines = _Lines(root)
    duplicates = tuple(lines.duplicates(file))
    try:
        value = model.model_validate(data if data is not None else {})
    except pydantic.ValidationError as error:
        found = [_finding(item, file, lines, model) for item in error.errors()]
        return expression.Error(tuple(sorted([*found, *duplicates])))
    if duplicates:
        return expression.Error(duplicates)
    return expression.Ok(Loaded(value))


class _Lines:
    """Line numbers of the keys of a composed YAML document."""

    def __init__(self, root: yaml.Node | None) -> None:
        self._root = root

    def of(self, location: tuple[int | str, ...]) -> int:
        """The line of a key path, or of its nearest parent that exists."""
        node = self._root
        line = node.start_mark.line + 1 if node else 0
        for part in location:
            step = _child(node, part)
            if step is None:
                continue
            line, node = step
        return line

    def duplicates(self, file: str) -> list[findings.Finding]:
        """Keys given twice: YAML keeps the last and drops the first."""
        found: list[findings.Finding] = []
        pending: list[tuple[str, yaml.Node | None]] = [("", self._root)]
        while pending:
            path, node = pending.pop()
            if isinstance(node, yaml.SequenceNode):
                pending.extend(
                    (f"{path}[{index}]", item)
                    for index, item in enumerate(node.value)
                )
            if not isinstance(node, yaml.MappingNode):
                continue
            seen: set[str] = set()
            for key, value in node.value:
                name = f"{path}.{key.value}".lstrip(".")
                if key.value in seen:
                    line = key.start_mark.line + 1
                    found.append(
                        findings.Finding(file, line, name, "key given twice")
                    )
                seen.add(key.value)
                pending.append((name, value))
        return found


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


def _finding(
    item: Any, file: str, lines: _Lines, model: type[pydantic.BaseModel]
) -> findings.Finding:
    location = item["loc"]
    path = _dotted(location)
    message = item["msg"]
    if item["type"] == "extra_forbidden":
        message = _unknown_key(location, model)
    seen = "" if item["type"] == "missing" else repr(item["input"])
    if len(seen) > _SEEN_LIMIT:
        seen = seen[:_SEEN_LIMIT] + "…"
    return findings.Finding(file, lines.of(location), path, message, seen)


def _dotted(location: tuple[int | str, ...]) -> str:
    path = ""
    for part in location:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.lstrip(".")


def _unknown_key(
    location: tuple[int | str, ...], model: type[pydantic.BaseModel]
) -> str:
    names = _field_names(location[:-1], model)
    near = difflib.get_close_matches(str(location[-1]), names, 1)
    hint = f"; did you mean {near[0]!r}?" if near else ""
    allowed = ", ".join(sorted(names))
    return f"unknown key{hint} Allowed: {allowed}" if names else "unknown key"


def _field_names(
    location: tuple[int | str, ...], model: type[pydantic.BaseModel]
) -> list[str]:
    current: Any = model
    for part in location:
        current = _step(current, part)
    if isinstance(current, type) and issubclass(current, pydantic.BaseModel):
        return list(current.model_fields)
    return []


def _step(current: Any, part: int | str) -> Any:
    """The type below one key of a model, mapping, sequence or optional."""
    if isinstance(current, type) and issubclass(current, pydantic.BaseModel):
        field = current.model_fields.get(str(part))
        return _plain(field.annotation) if field else None
    arguments = typing.get_args(current)
    return (
        _plain(arguments[-1 if not isinstance(part, int) else 0])
        if (arguments)
        else None
    )


def _plain(annotation: Any) -> Any:
    """Takes Optional apart."""
    arguments = [
        item for item in typing.get_args(annotation) if item is not type(None)
    ]
    if len(arguments) == 1 and type(None) in typing.get_args(annotation):
        return arguments[0]
    return annotation
