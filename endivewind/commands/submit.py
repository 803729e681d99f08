"""endivewind submit: writes a configuration file to the platform."""

import collections.abc
import dataclasses
import getpass
import uuid

from absl import flags
import pydantic

from endivewind import exceptions
from endivewind.commands import options
from endivewind.commands import running
from endivewind.config import objects
from endivewind.config import store
from endivewind.platform import client
from endivewind.platform import messages

USAGE = "submit FILE|- --platform=URL"

flags.declare_key_flag("platform")
flags.declare_key_flag("format")


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """One object of a submission."""

    kind: str
    name: str
    model: pydantic.BaseModel


def main(arguments: list[str]) -> int:
    """Writes each object that differs, by conditional update."""
    if len(arguments) != 1:
        raise exceptions.UsageError(f"usage: endivewind {USAGE}")
    configuration = options.load_configuration(arguments[0])

    async def work(platform: client.PlatformClient) -> int:
        return await _submit(platform, configuration)

    return running.loop(options.with_platform(work))


def items(
    configuration: objects.Configuration,
) -> collections.abc.Iterator[Item]:
    """Every object of a configuration."""
    for name, service in configuration.services.items():
        yield Item(store.SERVICE, name, service)
    for name, group in configuration.route_groups.items():
        yield Item(store.ROUTE_GROUP, name, group)
    for name, shard in configuration.workspace_shards.items():
        yield Item(store.WORKSPACE_SHARD, name, shard)


async def _submit(
    platform: client.PlatformClient, configuration: objects.Configuration
) -> int:
    operation = uuid.uuid4().hex
    versions: dict[str, int] = {}
    for item in items(configuration):
        stored = await _write(platform, item, operation)
        versions[f"{item.kind}/{item.name}"] = stored.version
    text = "\n".join(
        f"{name} at version {version}" for name, version in versions.items()
    )
    options.show({"operation": operation, "versions": versions}, text)
    return 0


async def _write(
    platform: client.PlatformClient, item: Item, operation: str
) -> messages.StoredObject:
    spec = item.model.model_dump(mode="json")
    found = await platform.get(item.kind, item.name)
    if found.is_ok() and found.ok.value.get("spec") == spec:
        return found.ok
    expected = found.ok.version if found.is_ok() else 0
    value = store.Envelope(
        spec=spec, operation=operation, author=getpass.getuser()
    )
    written = await platform.put(
        item.kind, item.name, value.model_dump(mode="json"), expected
    )
    if written.is_error():
        raise exceptions.UnavailableError(
            f"{item.kind}/{item.name}: {written.error}"
        )
    return written.ok
