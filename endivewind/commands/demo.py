"""endivewind demo: runs a small fleet with one target that has a gray failure.

Starts a platform stand-in, two nodes and six targets in one process, on the
loopback interface. All targets pass their health checks, but one of them fails
part of its requests. Sends requests for some seconds, then prints the
responses to callers, the responses of each target, the ejected and avoided
targets, and the results of a workspace with a key and a quota. The exit code
is 0 if every caller got a response or a refusal that says its request did not
run, if only the failing target lost its traffic, and if only the valid key was
accepted, within its quota.
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
from endivewind.commands import cli
from endivewind.commands import options
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

_DURATION_SECONDS = flags.DEFINE_float(
    "duration",
    8,
    "How long callers send requests, in seconds.",
    lower_bound=1,
    upper_bound=20,
)
flags.declare_key_flag("format")

_CONFIGURATION = pathlib.Path(__file__).with_name("demo.yaml")
_SERVICE = "riders"
_HOST = "camerino.example"
_NODES = (("node-a", "andina-a"), ("node-b", "andina-b"))
_TARGETS = tuple(f"riders-{number}" for number in range(1, 7))
_GRAY_TARGET = "riders-3"
_GRAY_ERROR_SHARE = 0.5
_REQUESTS_PER_SECOND = 100
_START_TIMEOUT_SECONDS = 10
# A target counts as avoided below this share of the mean number of responses
# per target. A suspect target still gets occasional requests; a healthy one has
# been seen with as few as a third of the mean.
AVOIDED_TRAFFIC_SHARE = 0.2
# The API key of the workspace; the configuration contains its digest.
_WORKSPACE_KEY = "demo-key-of-the-crew"
# Name of the configuration object that contains this digest.
_SHARD_KEY = store.Key(store.WORKSPACE_SHARD, "camerino")
# Concurrent requests of the workspace, several times its quota.
_BURST_REQUESTS = 80
_REVOCATION_TIMEOUT_SECONDS = 5
_UNAUTHORIZED = 401
_TOO_MANY_REQUESTS = 429


@dataclasses.dataclass(slots=True)
class CallerResults:
    """Counts of what callers received.

    Attributes:
      complete: complete responses with status 200.
      failed: error responses of a target.
      failed_in_first_half: error responses to requests that were sent in the
        first half of the run.
      refused: refusals by outcome and reason.
      complete_by_target: complete responses by target.
    """

    complete: int = 0
    failed: int = 0
    failed_in_first_half: int = 0
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    complete_by_target: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def as_json(self) -> dict[str, Any]:
        """Returns the counts as JSON values."""
        return {
            "whole": self.complete,
            "failed": self.failed,
            "failed_in_first_half": self.failed_in_first_half,
            "refused": dict(self.refused),
            "whole_by_target": dict(self.complete_by_target),
        }

    @property
    def avoided_targets(self) -> list[str]:
        """Targets that served far fewer responses than the others."""
        mean = self.complete / len(_TARGETS)
        return [
            name
            for name in _TARGETS
            if self.complete_by_target[name] < AVOIDED_TRAFFIC_SHARE * mean
        ]

    @property
    def unknown_outcome_count(self) -> int:
        """Number of refusals that don't say whether the request ran."""
        return sum(
            count
            for reason, count in self.refused.items()
            if not reason.startswith("not-run")
        )


@dataclasses.dataclass(slots=True)
class WorkspaceResults:
    """Results of requests of a workspace with a key and a quota.

    Attributes:
      without_key: HTTP status of a request without a key.
      with_key: HTTP status of a request with the key.
      served: number of concurrent requests, at both nodes, that were not
        refused over quota.
      over_quota: number of them that were.
      revoked: HTTP status of a request with the key after its revocation.
    """

    without_key: int
    with_key: int
    served: int
    over_quota: int
    revoked: int

    @property
    def is_as_expected(self) -> bool:
        """Whether only the valid key was accepted, within its quota."""
        refused = self.without_key == self.revoked == _UNAUTHORIZED
        served = self.with_key != _UNAUTHORIZED and self.served > 0
        return refused and served and self.over_quota > 0

    def as_table(self) -> str:
        """Formats the results for text output."""
        rows = [
            ("without a key", self.without_key),
            ("with the key", self.with_key),
            (f"{_BURST_REQUESTS} concurrent: served", self.served),
            (
                f"{_BURST_REQUESTS} concurrent: status {_TOO_MANY_REQUESTS}",
                self.over_quota,
            ),
            ("after the key was revoked", self.revoked),
        ]
        return tables.format_table(("WORKSPACE", "STATUS OR COUNT"), rows)


def main(arguments: list[str]) -> int:
    """Runs the demo and prints its results."""
    if arguments:
        raise exceptions.UsageError(f"usage: endivewind {USAGE}")
    logs.configure("critical")
    return cli.run_async(_run_demo())


async def _run_demo() -> int:
    async with contextlib.AsyncExitStack() as stack:
        api = platform.PlatformStandin(platform.ObjectStore())
        url = "http://" + await _serve_application(
            stack, api.make_application()
        )
        node_addresses = await _start_fleet(stack, url)
        results = CallerResults()
        await _send_requests(node_addresses, results)
        ejected = await _find_ejected(node_addresses)
        workspace_results = await _try_workspace_key(node_addresses, url)
    value = {
        "callers": results.as_json(),
        "gray_target": _GRAY_TARGET,
        "ejected": ejected,
        "avoided": results.avoided_targets,
        "workspace": dataclasses.asdict(workspace_results),
    }
    options.print_result(
        value,
        format_report(results, ejected) + "\n\n" + workspace_results.as_table(),
    )
    without_traffic = set(ejected) | set(results.avoided_targets)
    passed = (
        not results.unknown_outcome_count
        and without_traffic == {_GRAY_TARGET}
        and workspace_results.is_as_expected
    )
    return 0 if passed else 1


async def _start_fleet(
    stack: contextlib.AsyncExitStack, url: str
) -> list[node.Addresses]:
    await _submit_configuration(url)
    members = [_make_node(name, zone, url) for name, zone in _NODES]
    node_addresses = [await member.start() for member in members]
    stack.push_async_callback(_stop_nodes, members)
    for number, name in enumerate(_TARGETS):
        await _start_target(
            stack, name, node_addresses[number % len(node_addresses)].targets
        )
    await _wait_for_targets(node_addresses)
    return node_addresses


async def _serve_application(
    stack: contextlib.AsyncExitStack, application: web.Application
) -> str:
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return f"127.0.0.1:{runner.addresses[0][1]}"


async def _submit_configuration(url: str) -> None:
    loaded = base.load_file(str(_CONFIGURATION), objects.ConfigurationFile)
    async with aiohttp.ClientSession() as session:
        api = client.PlatformClient(url, session)
        for key, spec in planning.object_specs(loaded.ok.model).items():
            value = {"spec": spec, "operation": "demo", "author": "demo"}
            written = await api.put(*key, value, 0)
            if written.is_error():
                raise exceptions.UnavailableError(str(written.error))


def _make_node(name: str, zone: str, url: str) -> node.Node:
    config = settings.NodeSettings(
        name=name, region="andina", zone=zone, platform=url
    )
    return node.Node.from_settings(
        config, clocks.SystemClock(), random.Random()
    )


async def _stop_nodes(members: list[node.Node]) -> None:
    await asyncio.gather(*(member.stop() for member in members))


async def _start_target(
    stack: contextlib.AsyncExitStack, name: str, home: str
) -> None:
    standin = target.TargetStandin(name, _SERVICE, [home])
    address = await _serve_application(stack, standin.make_application())
    if name == _GRAY_TARGET:
        async with aiohttp.ClientSession() as session:
            fault = {"errors": _GRAY_ERROR_SHARE}
            url = f"http://{address}{target.FAULT_PATH}"
            async with session.put(url, json=fault) as response:
                response.raise_for_status()
    task = asyncio.create_task(standin.run_announcements(address))
    stack.push_async_callback(_cancel_task, task)


async def _cancel_task(task: asyncio.Task[None]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def _wait_for_targets(node_addresses: list[node.Addresses]) -> None:
    try:
        async with asyncio.timeout(_START_TIMEOUT_SECONDS):
            while True:
                known = [await _get_status(item) for item in node_addresses]
                if all(len(item["targets"]) == len(_TARGETS) for item in known):
                    return
                await asyncio.sleep(0.05)
    except TimeoutError:
        raise exceptions.EndivewindError(
            "the fleet did not start in time"
        ) from None


async def _get_status(addresses: node.Addresses) -> dict[str, Any]:
    url = f"http://{addresses.operators}/v1/status"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        status: dict[str, Any] = await response.json()
        return status


async def _send_requests(
    node_addresses: list[node.Addresses], results: CallerResults
) -> None:
    """Sends requests at a fixed rate, alternating between the nodes."""
    start = time.monotonic()
    total = int(_REQUESTS_PER_SECOND * _DURATION_SECONDS.value)
    calls = []
    async with aiohttp.ClientSession() as session:
        for number in range(total):
            await asyncio.sleep(
                start + number / _REQUESTS_PER_SECOND - time.monotonic()
            )
            address = node_addresses[number % len(node_addresses)].callers
            is_in_first_half = number < total // 2
            calls.append(
                asyncio.create_task(
                    _send_request(session, address, results, is_in_first_half)
                )
            )
        await asyncio.gather(*calls)


async def _send_request(
    session: aiohttp.ClientSession,
    address: str,
    results: CallerResults,
    is_in_first_half: bool,
) -> None:
    url = f"http://{address}/riders/42"
    async with session.get(url, headers={"Host": _HOST}) as response:
        outcome = response.headers.get(headers.OUTCOME, "")
        reason = response.headers.get(headers.REASON)
        if reason:
            results.refused[f"{outcome} {reason}"] += 1
        elif response.status == 200:
            results.complete += 1
            body = await response.json()
            results.complete_by_target[body["target"]] += 1
        else:
            results.failed += 1
            results.failed_in_first_half += is_in_first_half


async def _try_workspace_key(
    node_addresses: list[node.Addresses], url: str
) -> WorkspaceResults:
    """Sends requests with and without a key, then revokes the key."""
    async with aiohttp.ClientSession() as session:
        without_key = await _get_plan_status(session, node_addresses[0], "")
        with_key = await _get_plan_status(
            session, node_addresses[0], _WORKSPACE_KEY
        )
        burst = await asyncio.gather(
            *(
                _get_plan_status(
                    session,
                    node_addresses[number % len(node_addresses)],
                    _WORKSPACE_KEY,
                )
                for number in range(_BURST_REQUESTS)
            )
        )
        await _revoke_key(url, session)
        revoked = await _wait_for_revocation(session, node_addresses)
    over_quota = burst.count(_TOO_MANY_REQUESTS)
    return WorkspaceResults(
        without_key, with_key, len(burst) - over_quota, over_quota, revoked
    )


async def _wait_for_revocation(
    session: aiohttp.ClientSession, node_addresses: list[node.Addresses]
) -> int:
    """Returns 401 once all nodes reject the key, else a status still seen."""
    found: set[int] = set()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_REVOCATION_TIMEOUT_SECONDS):
            while found != {_UNAUTHORIZED}:
                await asyncio.sleep(0.1)
                found = {
                    await _get_plan_status(session, item, _WORKSPACE_KEY)
                    for item in node_addresses
                }
    return min(found - {_UNAUTHORIZED}, default=_UNAUTHORIZED)


async def _get_plan_status(
    session: aiohttp.ClientSession, addresses: node.Addresses, key: str
) -> int:
    """Returns the status of a request to a route that requires a key."""
    fields = {"Host": _HOST}
    if key:
        fields[headers.AUTHORIZATION] = f"Bearer {key}"
    url = f"http://{addresses.callers}/plans/1"
    async with session.get(url, headers=fields) as response:
        return response.status


async def _revoke_key(url: str, session: aiohttp.ClientSession) -> None:
    """Submits the workspace shard without its keys."""
    api = client.PlatformClient(url, session)
    found = await api.get(*_SHARD_KEY)
    if found.is_error():
        raise exceptions.UnavailableError(str(found.error))
    spec = {**found.ok.value["spec"], "keys": {}, "keyed": True}
    value = {"spec": spec, "operation": "revoke", "author": "demo"}
    written = await api.put(*_SHARD_KEY, value, found.ok.version)
    if written.is_error():
        raise exceptions.UnavailableError(str(written.error))


async def _find_ejected(node_addresses: list[node.Addresses]) -> dict[str, str]:
    """Returns ejected targets by id, with the reason given by their home."""
    ejected: dict[str, str] = {}
    for addresses in node_addresses:
        status = await _get_status(addresses)
        for item in status["targets"]:
            if item["health"] != "normal" and item["home"] == status["node"]:
                ejected[item["id"]] = item.get("reason") or item["health"]
    return ejected


def format_report(results: CallerResults, ejected: dict[str, str]) -> str:
    """Formats the results of callers and targets for text output."""
    second_half = results.failed - results.failed_in_first_half
    rows = [
        ("complete responses", results.complete),
        ("failed responses, first half", results.failed_in_first_half),
        ("failed responses, second half", second_half),
        *(
            (f"refused: {name}", n)
            for name, n in sorted(results.refused.items())
        ),
    ]
    lines = [
        f"Six targets; {_GRAY_TARGET} fails {_GRAY_ERROR_SHARE:.0%} of its "
        "requests but passes its health checks.",
        "",
        tables.format_table(("RESPONSES TO CALLERS", "COUNT"), rows),
        "",
        tables.format_table(
            ("TARGET", "COMPLETE RESPONSES", "STATE"),
            [
                (
                    name,
                    results.complete_by_target[name],
                    _format_state(name, results, ejected),
                )
                for name in _TARGETS
            ],
        ),
        "",
        "Ejected: " + (", ".join(sorted(ejected)) or "none"),
        "Avoided: " + (", ".join(results.avoided_targets) or "none"),
    ]
    return "\n".join(lines)


def _format_state(
    name: str, results: CallerResults, ejected: dict[str, str]
) -> str:
    if name in ejected:
        return ejected[name]
    return "avoided" if name in results.avoided_targets else "in service"
