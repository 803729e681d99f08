"""Flags and helpers that several commands share."""

import collections.abc
import json
import sys

from absl import flags
import aiohttp

from endivewind import exceptions
from endivewind.config import base
from endivewind.config import objects
from endivewind.platform import client

PLATFORM = flags.DEFINE_string(
    "platform", "", "URL of the platform's object API."
)
FORMAT = flags.DEFINE_enum("format", "text", ["text", "json"], "Output format.")

PlatformWork = collections.abc.Callable[
    [client.PlatformClient], collections.abc.Awaitable[int]
]


async def with_platform(work: PlatformWork) -> int:
    """Runs work with a client of the platform that --platform names."""
    if not PLATFORM.value:
        raise exceptions.UsageError("needs --platform=URL")
    async with aiohttp.ClientSession() as session:
        return await work(client.PlatformClient(PLATFORM.value, session))


def load_configuration(file: str) -> objects.Configuration:
    """Reads a configuration file, "-" for standard input."""
    if file == "-":
        loaded = base.load_text(
            sys.stdin.read(), "<stdin>", objects.Configuration
        )
    else:
        loaded = base.load_file(file, objects.Configuration)
    if loaded.is_error():
        lines = "\n".join(str(finding) for finding in loaded.error)
        raise exceptions.UsageError(lines)
    return loaded.ok.model


def show(value: object, text: str) -> None:
    """Prints the value in the format that --format names."""
    print(json.dumps(value, default=str) if FORMAT.value == "json" else text)
