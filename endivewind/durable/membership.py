"""This node's object in the platform: written at start, removed on leaving."""

import asyncio
import datetime
import logging

import expression

from endivewind.nodes import view
from endivewind.platform import client
from endivewind.platform import messages
from endivewind.platform import names

log = logging.getLogger(__name__)

NODE = names.NODE_KIND


# A start may wait for the platform no longer than this to learn of earlier
# starts of its name; an answer takes 60 ms from the farthest region.
EARLIER_TIMEOUT = datetime.timedelta(milliseconds=500)


async def earlier_incarnation(
    platform: client.PlatformClient, name: str
) -> int:
    """Incarnation of the latest start of a node that the platform knows.

    Failure: a VM's clock goes back and its node is restarted. Symptom: the
    new start has a lower incarnation than the old one, and the fleet takes
    it for dead for ever. A start that counts on from what is registered is
    later than it, whatever the clock says.

    Returns:
      0 if there is none, or if the platform does not answer in time.
    """
    try:
        async with asyncio.timeout(EARLIER_TIMEOUT.total_seconds()):
            found = await platform.get(NODE, name)
    except TimeoutError:
        log.warning("can't tell of earlier starts: no answer in time")
        return 0
    if found.is_error():
        if found.error.failure is not messages.Failure.NOT_FOUND:
            log.warning("can't tell of earlier starts: %s", found.error)
        return 0
    known = record_of(found.ok)
    return known.incarnation if known else 0


async def register(
    platform: client.PlatformClient, record: view.NodeRecord
) -> expression.Result[messages.StoredObject, messages.PlatformError]:
    """Writes this start of the node over whatever an earlier one left."""
    value = {
        "incarnation": record.incarnation,
        "address": record.address,
        "region": record.region,
        "zone": record.zone,
    }
    written = await platform.put(NODE, record.name, value, 0)
    if written.is_error() and written.error.current is not None:
        version = written.error.current.version
        return await platform.put(NODE, record.name, value, version)
    return written


async def unregister(
    platform: client.PlatformClient, record: view.NodeRecord, version: int
) -> None:
    """Removes the object of this start; a later start's is left alone.

    Args:
      platform: where it is.
      record: this start.
      version: of the object, as this start has written it. A later start has
        changed it, and the platform then refuses to remove it.
    """
    removed = await platform.delete(NODE, record.name, version)
    if removed.is_error():
        log.warning("can't remove the node's object: %s", removed.error)


async def addresses(
    platform: client.PlatformClient,
) -> expression.Result[list[str], messages.PlatformError]:
    """Addresses of all nodes that have an object, the dead included."""
    listed = await platform.list(NODE)
    if listed.is_error():
        return expression.Error(listed.error)
    found = [record_of(item) for item in listed.ok.objects]
    return expression.Ok([item.address for item in found if item])


def record_of(stored: messages.StoredObject) -> view.NodeRecord | None:
    """The node that an object tells of; None if it was removed or is bad."""
    value = stored.value
    try:
        return view.NodeRecord(
            stored.name,
            int(value["incarnation"]),
            str(value["address"]),
            str(value["region"]),
            str(value["zone"]),
        )
    except (KeyError, TypeError, ValueError):
        if value:
            log.warning("bad node object %s", stored.name)
        return None
