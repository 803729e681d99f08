"""Flags, file loading and output shared by several commands."""

import collections.abc
import json
import sys
from typing import TypeVar

from absl import flags
import pydantic

from endivewind import exceptions
from endivewind.config import base
from endivewind.config import objects
from endivewind.platform import client

PLATFORM = flags.DEFINE_string(
    "platform", "", "URL of the platform's object API."
)
OPERATORS = flags.DEFINE_list(
    "operators", [], "Operator addresses of the nodes to query."
)
FORMAT = flags.DEFINE_enum("format", "text", ["text", "json"], "Output format.")

STDIN = "<stdin>"

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)

PlatformCommand = collections.abc.Callable[
    [client.PlatformClient], collections.abc.Awaitable[int]
]


async def run_with_platform(work: PlatformCommand) -> int:
    """Runs a command with a client of the platform given by --platform.

    Args:
      work: takes the client and returns the exit code.

    Raises:
      UsageError: --platform is missing or is not an HTTP URL.
    """
    if not PLATFORM.value:
        raise exceptions.UsageError("--platform=URL is required")
    if not PLATFORM.value.startswith(("http://", "https://")):
        raise exceptions.UsageError(
            f"--platform={PLATFORM.value}: must start with http:// or https://"
        )
    async with client.make_session() as session:
        return await work(client.PlatformClient(PLATFORM.value, session))


def load_file(file: str, model: type[ModelT]) -> base.Loaded[ModelT]:
    """Loads a YAML file, or standard input for "-", into a model.

    Raises:
      InvalidFileError: the file can't be read or is invalid.
    """
    if file == "-":
        loaded = base.load_bytes(sys.stdin.buffer.read(), STDIN, model)
    else:
        loaded = base.load_file(file, model)
    if loaded.is_error():
        raise exceptions.InvalidFileError(loaded.error)
    return loaded.ok


def load_configuration(file: str) -> objects.ConfigurationFile:
    """Loads a configuration file and prints its warnings to stderr."""
    loaded = load_file(file, objects.ConfigurationFile)
    for warning in loaded.warnings:
        print(warning, file=sys.stderr)
    return loaded.model


def print_result(value: object, text: str) -> None:
    """Prints a result in the format chosen by --format.

    Args:
      value: the result for JSON output.
      text: the result for text output.
    """
    print(json.dumps(value, default=str) if FORMAT.value == "json" else text)
