"""Case 2: a server that has left is used again after all machines restarted."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import fleet as fleets  # noqa: E402

SERVICE = "ledger"
NODES = 4
DRAIN_S = fleets.BOUNDS["drain_s"]
STABLE_WINDOW_S = fleets.BOUNDS["stable_window_s"]
# How late the heartbeat arrives, and how long the server serves after the
# acknowledgement: "at times many seconds".
BEAT_LATE_S = 2.5
SERVES_ON_S = 7.5
CONFIGURATION = fleets.configuration(
    [
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
    """Sends ordinary work at all machines in turn, 15 requests a second."""
    for number in range(10_000):
        node = fleet.nodes[number % len(fleet.nodes)]
        fleet.spawn(fleet.request(node, "POST", f"/pay/{number}?work=600"))
        await asyncio.sleep(1 / 15)


async def case(fleet: fleets.Fleet) -> bool:
    """Returns whether the rule was broken."""
    record = fleet.record
    for number in range(NODES):
        zone = f"zone-{'ab'[number % 2]}"
        fleet.add_node(f"sidecar-{zone}-{number}", zone, SERVICE, 3)
    await fleet.start(CONFIGURATION)
    payments = fleet.spawn(send_payments(fleet))
    await asyncio.sleep(6)

    leaving = fleet.servers[1]
    name = leaving.id
    # The last heartbeat that the server sends is held up on its way.
    leaving.stop_beats()
    path, beat = leaving.heartbeat("ready")
    record.add(f"server {name} sends a heartbeat (ready), which is held up")
    await asyncio.sleep(0.2)
    status = await leaving.post(f"/Instances.Deregister/{name}", b"")
    if status != 200:
        raise fleets.CannotRunError(f"the leaving got {status}")
    acknowledged = record.add(f"Deregister of {name} acknowledged by its node")

    in_touch = acknowledged
    if fleets.TROUBLE:
        for node in fleet.nodes:
            node.kill()
        record.add("all nodes are killed")
        await asyncio.sleep(0.5)
        for node in fleet.nodes:
            node.start()
        # In touch again once the processes have run for the window.
        in_touch = record.add("all nodes are started") + STABLE_WINDOW_S
    await asyncio.sleep(acknowledged + BEAT_LATE_S - record.now())
    status = await leaving.post(path, beat)
    record.add(f"the held-up heartbeat of {name} arrives and gets {status}")
    await asyncio.sleep(acknowledged + SERVES_ON_S - record.now())
    at_work = [
        run for run in fleet.runs if run.server == name and not run.finished
    ]
    await leaving.end("it has left")
    await asyncio.sleep(5)
    payments.cancel()
    return judge(fleet, name, acknowledged, in_touch, at_work)


def judge(fleet, name, acknowledged, in_touch, at_work) -> bool:
    late = [
        run
        for run in fleet.runs
        if run.server == name
        and run.at > acknowledged + DRAIN_S
        and fleet.sent.get(run.attempt_id, 0) > in_touch
    ]
    for run in late:
        fleet.record.add(
            f"late: {run.attempt_id} sent {fleet.sent[run.attempt_id]:.3f}"
            f" reached {name} {run.at - acknowledged:.3f} s after the"
            " acknowledgement"
        )
    lost = [
        run.attempt_id
        for run in at_work
        if run.ran
        and run.attempt_id in fleet.answers
        and fleet.answers[run.attempt_id].status != 200
    ]
    fleet.record.verdict(
        f"{len(late)} payments sent at machines in touch reached {name} later"
        f" than {DRAIN_S} s after its leaving was acknowledged;"
        f" {len(lost)} payments were lost with it when it ended:"
        f" {'BROKEN' if late else 'held'}"
    )
    return bool(late)


fleets.main(case, FOLDER, {"zone-a": "region-1", "zone-b": "region-1"})
