"""endivewind-bench clients: plays clients that misbehave to real nodes.

Each kind of client is one run of its own: two nodes with a target beside each,
ordinary callers at both, and a crowd of the clients at the first node. A node
that passes its memory is ended. --release=FOLDER runs the nodes of another
checkout. The exit code is 1 if a node ended, was not ready, or did not serve
its ordinary callers.
"""

import dataclasses
import pathlib

from absl import flags

from endivewind import exceptions
from endivewind.commands import cli
from endivewind.commands import options
from endivewind.soak import client_runs

USAGE = (
    "clients [--kinds=LIST] [--door=DOOR] [--crowd_seconds=S] "
    "[--crowd_clients=N] [--node_megabytes=N] [--client_logs=FOLDER] "
    "[--client_release=FOLDER]"
)

_KINDS = flags.DEFINE_list(
    "kinds", list(client_runs.ClientKind), "Kinds of clients."
)
_DOOR = flags.DEFINE_enum_class(
    "door",
    client_runs.Door.LOOKUPS,
    client_runs.Door,
    "Where the clients come in.",
)
_CROWD_SECONDS = flags.DEFINE_float(
    "crowd_seconds", 10.0, "How long a crowd goes on.", lower_bound=1.0
)
_CROWD_CLIENTS = flags.DEFINE_integer(
    "crowd_clients", None, "Clients of a crowd.", lower_bound=1
)
_NODE_MEGABYTES = flags.DEFINE_integer(
    "node_megabytes", 300, "Memory of each VM.", lower_bound=100
)
_CLIENT_LOGS = flags.DEFINE_string(
    "client_logs", "client-logs", "Folder for logs."
)
_CLIENT_RELEASE = flags.DEFINE_string(
    "client_release", "", "Checkout that the nodes run; empty for this one."
)
flags.declare_key_flag("format")


def main(arguments: list[str]) -> int:
    """Plays the kinds one after the other; returns 1 if one is a problem."""
    if arguments:
        raise exceptions.UsageError(f"usage: endivewind-bench {USAGE}")
    try:
        kinds = [client_runs.ClientKind(word) for word in _KINDS.value]
    except ValueError as error:
        known = ", ".join(client_runs.ClientKind)
        raise exceptions.UsageError(f"{error}; known: {known}") from error
    return cli.run_async(_run_all(kinds))


async def _run_all(kinds: list[client_runs.ClientKind]) -> int:
    results = [await _run(kind) for kind in kinds]
    failed = sum(bool(result.findings) for result in results)
    options.print_result(
        [dataclasses.asdict(result) for result in results],
        f"{len(results)} runs, {failed} red",
    )
    return 1 if failed else 0


async def _run(kind: client_runs.ClientKind) -> client_runs.CrowdResult:
    plan = client_runs.Plan(
        (kind,),
        _DOOR.value,
        _CROWD_SECONDS.value,
        _CROWD_CLIENTS.value,
        _NODE_MEGABYTES.value,
    )
    release = pathlib.Path(_CLIENT_RELEASE.value or ".")
    folder = pathlib.Path(_CLIENT_LOGS.value) / f"{_DOOR.value}-{kind}"
    (result,) = await client_runs.ClientRun(
        plan, folder, release if _CLIENT_RELEASE.value else None
    ).execute()
    if options.FORMAT.value != "json":
        print(f"{_DOOR.value}: {result}", flush=True)
    return result
