"""endivewind demo: a small fleet in one process, with one gray target.

Starts the platform's stand-in, two nodes and six targets on loopback. All six
answer their health check; one of them fails part of its real work. Callers
send work for some seconds. Printed are what callers saw, what each target ran,
which targets were ejected or avoided, and what a workspace with a key and a
quota got. Exits 0 if every caller was answered or told that its work was not
run, the gray target alone lost its work, and only the key in force was served,
within its quota.
"""

import asyncio
import collections
import contextlib
import dataclasses
import pathlib
import random
import time
from typing import Any

from absl import flags
import aiohttp
from aiohttp import web

from endivewind import clock as clocks
from endivewind import exceptions
from endivewind import headers
from endivewind import logs
from endivewind import node
from endivewind.commands import options
from endivewind.commands import running
from endivewind.commands import tables
from endivewind.config import base
from endivewind.config import objects
from endivewind.config import planning
from endivewind.config import settings
from endivewind.config import store
from endivewind.platform import client
from endivewind.standins import platform
from endivewind.standins import target

USAGE = "demo [--duration=8] [--format=json]"

_SECONDS = flags.DEFINE_float(
    "duration",
    8,
    "Seconds that callers send work.",
    lower_bound=1,
    upper_bound=20,
)
flags.declare_key_flag("format")

_CONFIGURATION = pathlib.Path(__file__).with_name("demo.yaml")
_SERVICE = "riders"
_HOST = "camerino.example"
_NODES = (("node-a", "andina-a"), ("node-b", "andina-b"))
_TARGETS = tuple(f"riders-{number}" for number in range(1, 7))
_GRAY = "riders-3"
_GRAY_SHARE = 0.5
_RATE = 100
_START_SECONDS = 10
# A target in doubt gets a question now and then; the least used of the others
# gave one in three of the mean.
AVOIDED_SHARE = 0.2
# The key whose digest the configuration holds, and the object that does.
_KEY = "demo-key-of-the-crew"
_SHARD = store.Key(store.WORKSPACE_SHARD, "camerino")
# Requests that the workspace sends at once, several times its quota.
_BURST = 80
_REVOKED_SECONDS = 5
_UNAUTHORIZED = 401
_TOO_MANY = 429


@dataclasses.dataclass(slots=True)
class Seen:
    """What callers saw, counted.

    Attributes:
      whole: whole answers with status 200.
      failed: answers of a target that failed the work.
      refused: refusals by outcome and reason.
      by_target: whole answers by target.
      first_half_failed: failed answers in the first half of the time.
    """

    whole: int = 0
    failed: int = 0
    first_half_failed: int = 0
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    by_target: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def as_json(self) -> dict[str, Any]:
        """The counts as plain JSON values."""
        return {
            "whole": self.whole,
            "failed": self.failed,
            "failed_in_first_half": self.first_half_failed,
            "refused": dict(self.refused),
            "whole_by_target": dict(self.by_target),
        }

    @property
    def avoided(self) -> list[str]:
        """Targets that gave callers far fewer answers than the others."""
        mean = self.whole / len(_TARGETS)
        return [
            name
            for name in _TARGETS
            if self.by_target[name] < AVOIDED_SHARE * mean
        ]

    @property
    def unclear(self) -> int:
        """Callers who were not told whether their work ran."""
        return sum(
            count
            for reason, count in self.refused.items()
            if not reason.startswith("not-run")
        )


@dataclasses.dataclass(slots=True)
class Keyed:
    """What a workspace with a key and a quota got, as HTTP statuses.

    Attributes:
      without_key: of a request that bears none.
      with_key: of one that bears it.
      served: of many at once, at both nodes, those that were not refused.
      over_quota: of these, those that were.
      revoked: of one with the key after it was taken away.
    """

    without_key: int
    with_key: int
    served: int
    over_quota: int
    revoked: int

    @property
    def is_right(self) -> bool:
        """Whether only the key in force was served, within its quota."""
        refused = self.without_key == self.revoked == _UNAUTHORIZED
        served = self.with_key != _UNAUTHORIZED and self.served > 0
        return refused and served and self.over_quota > 0

    def as_table(self) -> str:
        """The same for people."""
        rows = [
            ("without a key", self.without_key),
            ("with its key", self.with_key),
            (f"{_BURST} at once: served", self.served),
            (f"{_BURST} at once: {_TOO_MANY}", self.over_quota),
            ("after the key was taken away", self.revoked),
        ]
        return tables.table(("WORKSPACE", "STATUS OR COUNT"), rows)


def main(arguments: list[str]) -> int:
    """Runs the demo and prints what came of it."""
    if arguments:
        raise exceptions.UsageError(f"usage: endivewind {USAGE}")
    logs.configure("critical")
    return running.loop(_demo())


async def _demo() -> int:
    async with contextlib.AsyncExitStack() as stack:
        api = platform.PlatformStandin(platform.ObjectStore())
        url = "http://" + await _serve(stack, api.application())
        nodes = await _start(stack, url)
        seen = Seen()
        await _call(nodes, seen)
        ejected = await _ejected(nodes)
        keyed = await _keyed(nodes, url)
    value = {
        "callers": seen.as_json(),
        "gray_target": _GRAY,
        "ejected": ejected,
        "avoided": seen.avoided,
        "workspace": dataclasses.asdict(keyed),
    }
    options.show(value, text(seen, ejected) + "\n\n" + keyed.as_table())
    without_work = set(ejected) | set(seen.avoided)
    well = not seen.unclear and without_work == {_GRAY} and keyed.is_right
    return 0 if well else 1


async def _start(
    stack: contextlib.AsyncExitStack, url: str
) -> list[node.Addresses]:
    await _submit(url)
    members = [_node(name, zone, url) for name, zone in _NODES]
    nodes = [await member.start() for member in members]
    stack.push_async_callback(_stop, members)
    for number, name in enumerate(_TARGETS):
        await _target(stack, name, nodes[number % len(nodes)].targets)
    await _until_known(nodes)
    return nodes


async def _serve(
    stack: contextlib.AsyncExitStack, application: web.Application
) -> str:
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return f"127.0.0.1:{runner.addresses[0][1]}"


async def _submit(url: str) -> None:
    loaded = base.load_file(str(_CONFIGURATION), objects.Configuration)
    async with aiohttp.ClientSession() as session:
        api = client.PlatformClient(url, session)
        for key, spec in planning.specs(loaded.ok.model).items():
            value = {"spec": spec, "operation": "demo", "author": "demo"}
            written = await api.put(*key, value, 0)
            if written.is_error():
                raise exceptions.UnavailableError(str(written.error))


def _node(name: str, zone: str, url: str) -> node.Node:
    config = settings.NodeSettings(
        name=name, region="andina", zone=zone, platform=url
    )
    return node.Node.from_settings(
        config, clocks.SystemClock(), random.Random()
    )


async def _stop(members: list[node.Node]) -> None:
    await asyncio.gather(*(member.stop() for member in members))


async def _target(
    stack: contextlib.AsyncExitStack, name: str, home: str
) -> None:
    standin = target.TargetStandin(name, _SERVICE, [home])
    address = await _serve(stack, standin.application())
    if name == _GRAY:
        async with aiohttp.ClientSession() as session:
            fault = {"errors": _GRAY_SHARE}
            url = f"http://{address}{target.FAULT_PATH}"
            async with session.put(url, json=fault) as response:
                response.raise_for_status()
    task = asyncio.create_task(standin.announce(address))
    stack.push_async_callback(_cancel, task)


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def _until_known(nodes: list[node.Addresses]) -> None:
    try:
        async with asyncio.timeout(_START_SECONDS):
            while True:
                known = [await _status(item) for item in nodes]
                if all(len(item["targets"]) == len(_TARGETS) for item in known):
                    return
                await asyncio.sleep(0.05)
    except TimeoutError:
        raise exceptions.EndivewindError("the fleet did not start") from None


async def _status(addresses: node.Addresses) -> dict[str, Any]:
    url = f"http://{addresses.operators}/v1/status"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        status: dict[str, Any] = await response.json()
        return status


async def _call(nodes: list[node.Addresses], seen: Seen) -> None:
    """Sends work at a fixed rate, to the nodes in turn."""
    start = time.monotonic()
    total = int(_RATE * _SECONDS.value)
    calls = []
    async with aiohttp.ClientSession() as session:
        for number in range(total):
            await asyncio.sleep(start + number / _RATE - time.monotonic())
            address = nodes[number % len(nodes)].callers
            early = number < total // 2
            calls.append(
                asyncio.create_task(_one(session, address, seen, early))
            )
        await asyncio.gather(*calls)


async def _one(
    session: aiohttp.ClientSession, address: str, seen: Seen, early: bool
) -> None:
    url = f"http://{address}/riders/42"
    async with session.get(url, headers={"Host": _HOST}) as response:
        outcome = response.headers.get(headers.OUTCOME, "")
        reason = response.headers.get(headers.REASON)
        if reason:
            seen.refused[f"{outcome} {reason}"] += 1
        elif response.status == 200:
            seen.whole += 1
            answer = await response.json()
            seen.by_target[answer["target"]] += 1
        else:
            seen.failed += 1
            seen.first_half_failed += early


async def _keyed(nodes: list[node.Addresses], url: str) -> Keyed:
    """Uses a key at both nodes, and takes it away."""
    async with aiohttp.ClientSession() as session:
        without = await _plan(session, nodes[0], "")
        with_key = await _plan(session, nodes[0], _KEY)
        many = await asyncio.gather(
            *(
                _plan(session, nodes[number % len(nodes)], _KEY)
                for number in range(_BURST)
            )
        )
        await _revoke(url, session)
        revoked = await _after_removal(session, nodes)
    over = many.count(_TOO_MANY)
    return Keyed(without, with_key, len(many) - over, over, revoked)


async def _after_removal(
    session: aiohttp.ClientSession, nodes: list[node.Addresses]
) -> int:
    """The status that all nodes come to within the time of a change."""
    found: set[int] = set()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_REVOKED_SECONDS):
            while found != {_UNAUTHORIZED}:
                await asyncio.sleep(0.1)
                found = {await _plan(session, item, _KEY) for item in nodes}
    return min(found - {_UNAUTHORIZED}, default=_UNAUTHORIZED)


async def _plan(
    session: aiohttp.ClientSession, addresses: node.Addresses, key: str
) -> int:
    """The status of one request that needs a key."""
    fields = {"Host": _HOST}
    if key:
        fields[headers.AUTHORIZATION] = f"Bearer {key}"
    url = f"http://{addresses.callers}/plans/1"
    async with session.get(url, headers=fields) as response:
        return response.status


async def _revoke(url: str, session: aiohttp.ClientSession) -> None:
    """Submits the workspaces without their key."""
    api = client.PlatformClient(url, session)
    found = await api.get(*_SHARD)
    if found.is_error():
        raise exceptions.UnavailableError(str(found.error))
    spec = {**found.ok.value["spec"], "keys": {}, "keyed": True}
    value = {"spec": spec, "operation": "revoke", "author": "demo"}
    written = await api.put(*_SHARD, value, found.ok.version)
    if written.is_error():
        raise exceptions.UnavailableError(str(written.error))


async def _ejected(nodes: list[node.Addresses]) -> dict[str, str]:
    """Ejected targets by id, each with the reason that its home gives."""
    ejected: dict[str, str] = {}
    for addresses in nodes:
        status = await _status(addresses)
        for item in status["targets"]:
            if item["health"] != "normal" and item["home"] == status["node"]:
                ejected[item["id"]] = item.get("reason") or item["health"]
    return ejected


def text(seen: Seen, ejected: dict[str, str]) -> str:
    """The demo's outcome for people."""
    second_half = seen.failed - seen.first_half_failed
    rows = [
        ("whole answers", seen.whole),
        ("failed answers, first half", seen.first_half_failed),
        ("failed answers, second half", second_half),
        *((f"refused: {name}", n) for name, n in sorted(seen.refused.items())),
    ]
    lines = [
        f"Six targets; {_GRAY} fails {_GRAY_SHARE:.0%} of its work and still "
        "answers its health check.",
        "",
        tables.table(("WHAT CALLERS SAW", "COUNT"), rows),
        "",
        tables.table(
            ("TARGET", "WHOLE ANSWERS", "STATE"),
            [
                (name, seen.by_target[name], _state(name, seen, ejected))
                for name in _TARGETS
            ],
        ),
        "",
        "Ejected: " + (", ".join(sorted(ejected)) or "none"),
        "Avoided: " + (", ".join(seen.avoided) or "none"),
    ]
    return "\n".join(lines)


def _state(name: str, seen: Seen, ejected: dict[str, str]) -> str:
    if name in ejected:
        return ejected[name]
    return "avoided" if name in seen.avoided else "in service"
