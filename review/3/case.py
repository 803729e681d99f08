"""Case 3: a request that crashes its servers is retried anew by every machine."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import fleet as fleets  # noqa: E402

SERVICE = "ledger"
NODES = 7
# After a coming all servers are back, and no machine has seen a crash for the
# time after which it counts as in touch, before the request comes again.
PAUSE_S = 6.5
POISON = "/look/trip-4711?crash=1"
# RULES.md, BUDGET: "in more than three retries, sent by machines in touch later
# than `stable_window_s` after it has crashed the third".
MAX_RETRIES = 3
STABLE_WINDOW_S = fleets.BOUNDS["stable_window_s"]
CONFIGURATION = fleets.configuration(
    [
        {
            "host": "shop.example",
            "path_prefix": "/look/",
            "route_type": "safe",
            "timeout_s": 4,
            "target_latency_s": 0.8,
            "priority": 2,
            "service": SERVICE,
            "max_attempts": 2,
        },
        {
            "host": "shop.example",
            "path_prefix": "/pay/",
            "route_type": "unsafe",
            "timeout_s": 4,
            "target_latency_s": 0.8,
            "priority": 1,
            "service": SERVICE,
            "max_attempts": 2,
        },
    ],
    [SERVICE],
)


async def send_payments(fleet: fleets.Fleet) -> None:
    """Sends ordinary work at all machines in turn, 12 requests a second."""
    for number in range(10_000):
        node = fleet.nodes[number % len(fleet.nodes)]
        fleet.spawn(fleet.request(node, "POST", f"/pay/{number}?work=300"))
        await asyncio.sleep(1 / 12)


async def case(fleet: fleets.Fleet) -> bool:
    """Returns whether the rule was broken."""
    fleet.does_crash = fleets.TROUBLE
    for number in range(NODES):
        zone = f"zone-{'ab'[number % 2]}"
        fleet.add_node(f"sidecar-{zone}-{number}", zone, SERVICE, 3)
    await fleet.start(CONFIGURATION)
    payments = fleet.spawn(send_payments(fleet))
    await asyncio.sleep(4)
    # The same request comes again, with the same path, caller and body, at one
    # machine after the other. Each time all servers are up.
    for node in fleet.nodes[:2]:
        await fleet.request(node, "GET", POISON)
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(STABLE_WINDOW_S)
    for node in fleet.nodes[2:]:
        await fleet.request(node, "GET", POISON)
        await asyncio.sleep(PAUSE_S)
    payments.cancel()
    await asyncio.sleep(5)
    return judge(fleet)


def judge(fleet: fleets.Fleet) -> bool:
    runs = [run for run in fleet.runs if run.path == POISON]
    crashes = [run.at for run in runs if run.ran and not run.finished]
    first: dict[str, str] = {}
    retries = []
    for run in runs:
        if run.attempt_id in first:
            retries.append(run)
        else:
            first[run.attempt_id] = run.server
    late = []
    if len(crashes) >= 3:
        since = crashes[2] + STABLE_WINDOW_S
        late = [run for run in retries if run.at > since]
    for run in late:
        fleet.record.add(
            f"retry after the third crash: {run.attempt_id} reached"
            f" {run.server} at {run.at:.3f}"
        )
    lost = [
        run
        for run in fleet.runs
        if run.path.startswith("/pay/")
        and run.ran
        and not run.finished
        and run.attempt_id in fleet.answers
    ]
    is_broken = len(late) > MAX_RETRIES
    fleet.record.verdict(
        f"{len(runs)} arrivals of the request in {len(first)} client attempts;"
        f" {len(crashes)} servers crashed; {len(late)} retries reached servers"
        f" later than {STABLE_WINDOW_S} s after the third crash, {MAX_RETRIES}"
        f" are allowed; {len(lost)} payments lost that ran at crashed servers:"
        f" {'BROKEN' if is_broken else 'held'}"
    )
    return is_broken


fleets.main(case, FOLDER, {"zone-a": "region-1", "zone-b": "region-1"})
