"""Collects the names that leave a process.

They stand on the wire, in stored data, in settings, in logs and metrics, and
on the command line. `python -m endivewind.tests.outer_names` writes them to
`outer_names.txt`. A name that is gone from there breaks peers, operators'
tools or stored data of another release, so a rename in the code must keep it.
"""

import ast
import collections.abc
import dataclasses
import enum
import importlib
import inspect
import pathlib
import re
import types

import pydantic

from endivewind import node
from endivewind.callers import request_metrics
from endivewind.commands import demo
from endivewind.nodes import codec
from endivewind.nodes import version_queries
from endivewind.platform import client
from endivewind.targets import records
from endivewind.tests import style

FILE = pathlib.Path(__file__).with_name("outer_names.txt")
# Data classes whose fields are written out under their own names.
_WRITTEN_OUT = (
    client.CallLabels,
    request_metrics.RequestOutcome,
    demo.WorkspaceResults,
    records.TargetRecord,
    version_queries.ObjectVersions,
    node.Addresses,
)
# Packages whose names never reach a caller, a target, a peer or an operator.
_INTERNAL = frozenset({"bench", "soak", "tests"})
# A text without a space, with two letters at least.
_NAME = re.compile(r"\A(?=\S*[A-Za-z]\S*[A-Za-z])\S+\Z")


def collect() -> list[str]:
    """One line for each name or group of names, sorted."""
    modules = list(_modules())
    lines = {
        *_thrift_structs(),
        *_models(modules),
        *_enums(modules),
        *(_fields(item) for item in _WRITTEN_OUT),
    }
    for file in _files():
        lines |= set(_texts(ast.parse(file.read_text())))
    return sorted(lines)


def _files() -> list[pathlib.Path]:
    return [
        file
        for file in sorted(style.PACKAGE.rglob("*.py"))
        if not _INTERNAL & set(file.relative_to(style.PACKAGE).parts)
    ]


def _modules() -> collections.abc.Iterator[types.ModuleType]:
    for file in _files():
        if file.parent.name == "commands":
            # Flags of two programs clash in one process; no models there.
            continue
        parts = file.relative_to(style.ROOT).with_suffix("").parts
        yield importlib.import_module(".".join(parts))


def _classes(
    modules: list[types.ModuleType], base: type
) -> collections.abc.Iterator[type]:
    for module in modules:
        for item in vars(module).values():
            if not inspect.isclass(item) or not issubclass(item, base):
                continue
            if item.__module__ == module.__name__:
                yield item


def _thrift_structs() -> collections.abc.Iterator[str]:
    """Structs by their place in the file: their names are not sent."""
    structs = codec.messages.__thrift_meta__["structs"]
    for number, struct in enumerate(structs):
        fields = ", ".join(
            f"{key} {spec[1]} {spec[0]}"
            for key, spec in sorted(struct.thrift_spec.items())
        )
        yield f"thrift struct {number:02}: {fields}"


def _models(
    modules: list[types.ModuleType],
) -> collections.abc.Iterator[str]:
    for model in _classes(modules, pydantic.BaseModel):
        names = (
            field.alias or name for name, field in model.model_fields.items()
        )
        yield f"model: {', '.join(names)}"


def _enums(modules: list[types.ModuleType]) -> collections.abc.Iterator[str]:
    for item in _classes(modules, enum.Enum):
        values = [member.value for member in item]
        if all(isinstance(value, str) for value in values) and not any(
            " " in value for value in values
        ):
            yield f"enum: {', '.join(sorted(values))}"


def _fields(written: type) -> str:
    names = (field.name for field in dataclasses.fields(written))
    return f"fields: {', '.join(names)}"


def _texts(tree: ast.Module) -> collections.abc.Iterator[str]:
    """Texts that may be names, and the keys of log lines."""
    _drop_annotations(tree)
    for item in ast.walk(tree):
        if isinstance(item, ast.Constant) and _is_name(item.value):
            yield f"text: {item.value}"
        if isinstance(item, ast.Call) and _logs_fields(item):
            for keyword in item.keywords:
                if keyword.arg:
                    yield f"log field: {keyword.arg}"


def _is_name(value: object) -> bool:
    return isinstance(value, str) and _NAME.search(value) is not None


def _logs_fields(call: ast.Call) -> bool:
    return ast.unparse(call.func).endswith("logs.fields")


def _drop_annotations(tree: ast.Module) -> None:
    """Leaves out annotations, type variables and slots: names of the code."""
    for item in ast.walk(tree):
        for attribute in ("annotation", "returns"):
            if getattr(item, attribute, None) is not None:
                setattr(item, attribute, ast.Constant(None))
        if isinstance(item, ast.Assign) and _names_code(item):
            item.value = ast.Constant(None)


def _names_code(item: ast.Assign) -> bool:
    return ast.unparse(item.targets[0]) == "__slots__" or "TypeVar(" in (
        ast.unparse(item.value)
    )


if __name__ == "__main__":
    FILE.write_text("\n".join(collect()) + "\n")
