"""An endpoint deregisters while the store is down; then its daemon is killed."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import standins

LAYOUT = [
    ("gb-a", "catalog"), ("gb-b", "catalog"), ("gb-c", "catalog"),
    ("gb-a", "reserve"), ("gb-b", "reserve"),
]  # fmt: skip
DRAIN_S = 2.0
CONTACT_S = 3.0
RESTART_S = 0.5
# The endpoint serves on for `drain_s` and a little longer.
SERVES_ON_S = 7.0


async def play(deployment, trouble):
    """Play the case; return whether the rule held."""
    await deployment.start()
    machine = deployment.machines[0]
    endpoint = machine.endpoint
    endpoint.stop_beats()
    late_beat = endpoint.beat_body()
    deployment.record(f"{endpoint.instance} sends a heartbeat that arrives late")
    if trouble:
        deployment.store.busy = True
        deployment.record("the store is down: it answers 503")
    await asyncio.sleep(0.3)
    endpoint.state = "gone"  # From now on its health check fails.
    status = await endpoint.tell("deregister", None)
    left = time.monotonic()
    deployment.record(f"{endpoint.instance} deregisters, acknowledged: {status}")
    if status != 200:
        raise standins.CannotRun("the departure was not acknowledged")
    await asyncio.sleep(0.5)
    if trouble:
        deployment.store.busy = False
        deployment.record("the store is back")
    # The daemon has time to make up for what it could not write.
    await asyncio.sleep(1.5)
    if trouble:
        await deployment.kill(machine)
        await asyncio.sleep(RESTART_S)
        await deployment.start_daemon(machine)
    restarted = time.monotonic()
    await asyncio.sleep(CONTACT_S + 0.1)
    status = await endpoint.tell("heartbeat", late_beat)
    deployment.record(f"the late heartbeat of {endpoint.instance} arrives: {status}")
    sent = {}
    while time.monotonic() < left + SERVES_ON_S:
        calls = []
        for other in deployment.machines:
            for target in ("/catalog/x", "/catalog-once/x"):
                request_id = standins.new_id()
                sent[request_id] = target
                calls.append(
                    standins.send(
                        other.ip,
                        other.outbound,
                        target,
                        request_id=request_id,
                        method="GET" if target == "/catalog/x" else "POST",
                    )  # fmt: skip
                )
        await asyncio.gather(*calls)
        await asyncio.sleep(0.05)
    late = 0
    for request_id, target, at in endpoint.runs:
        if request_id in sent and at > left + DRAIN_S:
            late += 1
            deployment.record(
                f"{request_id} {target} reaches {endpoint.instance} {at - left:.2f} s"
                f" after the acknowledgement, {at - restarted:.2f} s after the last"
                " disruption"
            )
    deployment.record(f"{len(sent)} requests, {late} reach the endpoint that left")
    print(deployment._lines[-1])
    return late == 0


standins.main(
    play,
    folder=pathlib.Path(__file__).parent,
    layout=LAYOUT,
    # TROUBLE=0 does the same without the disruption.
    trouble=os.environ.get("TROUBLE", "1") != "0",
)
