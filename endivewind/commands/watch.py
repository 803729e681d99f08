"""endivewind watch: prints each change of the configuration as it comes.

First prints nothing of what is there, then one line (or JSON object) for
each object written, until interrupted or --count changes were seen.
"""

import json

from absl import flags

from endivewind import exceptions
from endivewind.commands import options
from endivewind.commands import running
from endivewind.commands import submissions
from endivewind.config import store
from endivewind.platform import client
from endivewind.platform import messages

USAGE = "watch --platform=URL [--count=N]"

_COUNT = flags.DEFINE_integer(
    "count", 0, "Ends after so many changes; 0 goes on.", lower_bound=0
)
flags.declare_key_flag("platform")
flags.declare_key_flag("format")

_AGAIN = (messages.Failure.COMPACTED, messages.Failure.STALE)


def main(arguments: list[str]) -> int:
    """Prints changes."""
    if arguments:
        raise exceptions.UsageError(f"usage: endivewind {USAGE}")
    return running.loop(options.with_platform(_watch))


async def _watch(platform: client.PlatformClient) -> int:
    revision = await _start(platform)
    seen = 0
    while not _COUNT.value or seen < _COUNT.value:
        found = await platform.watch(store.KINDS, revision)
        if found.is_ok():
            for item in found.ok.objects:
                _show(item)
            seen += len(found.ok.objects)
            revision = found.ok.revision
        elif found.error.failure in _AGAIN:
            print("# changes may be missing here", flush=True)
            revision = await _start(platform)
        else:
            # A listing waits and tries again; the revision stays.
            await _start(platform)
    return 0


async def _start(platform: client.PlatformClient) -> int:
    listing = await submissions.read(
        lambda: platform.list(store.KINDS), "the platform's configuration"
    )
    return listing.revision


def _show(item: messages.StoredObject) -> None:
    held = submissions.current_of(item)
    envelope = held.envelope
    if envelope is None:
        line = f"{item.kind}/{item.name}: deleted or written past submit"
    else:
        verb = "removed" if envelope.spec is None else "written"
        line = (
            f"{envelope.time} {item.kind}/{item.name}: {verb} at version "
            f"{held.version} by {envelope.author}, operation "
            f"{envelope.operation}"
        )
    if options.FORMAT.value == "json":
        line = json.dumps(item.model_dump(mode="json"))
    print(line, flush=True)
