"""endivewind watch: prints each change of the configuration as it comes.

First prints nothing of what is there, then one line (or JSON object) for
each object written, until interrupted or --count changes were seen.
"""

import asyncio
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


def main(arguments: list[str]) -> int:
    """Prints changes."""
    if arguments:
        raise exceptions.UsageError(f"usage: endivewind {USAGE}")
    return running.loop(options.with_platform(_watch))


async def _watch(platform: client.PlatformClient) -> int:
    """Follows every kind in a task of its own until enough was seen."""
    enough = asyncio.Event()
    left = _Left(_COUNT.value, enough)
    follows = [
        asyncio.create_task(_follow(platform, kind, left))
        for kind in store.KINDS
    ]
    tasks = [asyncio.create_task(enough.wait()), *follows]
    ended, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
    for task in ended:
        task.result()
    return 0


class _Left:
    """Counts down the changes that are still to be shown."""

    def __init__(self, count: int, enough: asyncio.Event) -> None:
        self._count = count
        self._enough = enough

    def show(self, item: messages.StoredObject) -> None:
        """Prints one change, unless enough were printed."""
        if self._enough.is_set():
            return
        _show(item)
        self._count -= 1
        if not self._count:
            self._enough.set()


async def _follow(
    platform: client.PlatformClient, kind: str, left: _Left
) -> None:
    revision = (await submissions.listed(platform, kind)).revision
    while True:
        found = await platform.watch(kind, revision)
        if found.is_ok():
            for item in found.ok.objects:
                left.show(item)
            revision = found.ok.revision
            continue
        # A listing waits and tries again, as long as the platform is away.
        listing = await submissions.listed(platform, kind)
        if found.error.failure is messages.Failure.COMPACTED:
            print("# changes may be missing here", flush=True)
            revision = listing.revision


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
