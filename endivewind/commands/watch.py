"""endivewind watch: prints each configuration change as it is made.

Existing objects are not printed. Prints one line (or JSON object) for each
object written, until interrupted or until --count changes were printed.
"""

import asyncio
import json

from absl import flags

from endivewind import exceptions
from endivewind.commands import cli
from endivewind.commands import options
from endivewind.commands import submissions
from endivewind.config import store
from endivewind.platform import client
from endivewind.platform import messages

USAGE = "watch --platform=URL [--count=N]"

_COUNT = flags.DEFINE_integer(
    "count", 0, "Exit after this many changes; 0 for no limit.", lower_bound=0
)
flags.declare_key_flag("platform")
flags.declare_key_flag("format")


def main(arguments: list[str]) -> int:
    """Prints changes of the configuration."""
    if arguments:
        raise exceptions.UsageError(f"usage: endivewind {USAGE}")
    return cli.run_async(options.run_with_platform(_watch_all))


async def _watch_all(platform: client.PlatformClient) -> int:
    """Watches each kind in its own task until the limit is reached."""
    limit_reached = asyncio.Event()
    printer = _ChangePrinter(_COUNT.value, limit_reached)
    watch_tasks = [
        asyncio.create_task(_watch_kind(platform, kind, printer))
        for kind in store.KINDS
    ]
    tasks = [asyncio.create_task(limit_reached.wait()), *watch_tasks]
    done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
    for task in done:
        task.result()
    return 0


class _ChangePrinter:
    """Prints changes up to a limit; a count of 0 means no limit."""

    def __init__(self, count: int, limit_reached: asyncio.Event) -> None:
        self._remaining = count
        self._limit_reached = limit_reached

    def print_change(self, item: messages.StoredObject) -> None:
        """Prints a change, unless the limit has been reached."""
        if self._limit_reached.is_set():
            return
        _print_change(item)
        self._remaining -= 1
        if not self._remaining:
            self._limit_reached.set()


async def _watch_kind(
    platform: client.PlatformClient, kind: str, printer: _ChangePrinter
) -> None:
    revision = (await submissions.list_objects(platform, kind)).revision
    while True:
        found = await platform.watch(kind, revision)
        if found.is_ok():
            for item in found.ok.objects:
                printer.print_change(item)
            revision = found.ok.revision
            continue
        # The listing gives the revision to continue from if the old one was
        # compacted. After other failures it only serves to wait: it is
        # retried with backoff until the platform is available again.
        listing = await submissions.list_objects(platform, kind)
        if found.error.failure is messages.FailureReason.COMPACTED:
            print("# some changes may be missing here", flush=True)
            revision = listing.revision


def _print_change(item: messages.StoredObject) -> None:
    stored = submissions.decode_stored_object(item)
    envelope = stored.envelope
    if envelope is None:
        line = f"{item.kind}/{item.name}: deleted, or not written by submit"
    else:
        verb = "removed" if envelope.spec is None else "written"
        line = (
            f"{envelope.time} {item.kind}/{item.name}: {verb} at version "
            f"{stored.version} by {envelope.author}, operation "
            f"{envelope.operation}"
        )
    if options.FORMAT.value == "json":
        line = json.dumps(item.model_dump(mode="json"))
    print(line, flush=True)
