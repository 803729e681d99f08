"""endivewind get: prints one configuration object."""

import json

from absl import flags

from endivewind import exceptions
from endivewind.commands import cli
from endivewind.commands import options
from endivewind.platform import client

USAGE = "get KIND NAME --platform=URL"

flags.declare_key_flag("platform")
flags.declare_key_flag("format")


def main(arguments: list[str]) -> int:
    """Prints the configuration object with its version."""
    if len(arguments) != 2:
        raise exceptions.UsageError(f"usage: endivewind {USAGE}")
    kind, name = arguments

    async def run(platform: client.PlatformClient) -> int:
        found = await platform.get(kind, name)
        if found.is_error():
            raise exceptions.UnavailableError(f"{kind}/{name}: {found.error}")
        value = found.ok.model_dump(mode="json")
        options.print_result(value, json.dumps(value, indent=2))
        return 0

    return cli.run_async(options.run_with_platform(run))
