"""Open connections to the store go silent; then the configuration changes."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import standins

LAYOUT = [
    (zone, ("catalog", "reserve")[number % 2])
    for zone, count in (("gb-a", 6), ("gb-b", 4))
    for number in range(count)
]
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
ROLLS = 5


class StoreProxy:
    """Passes connections on to the store; open ones can be made silent for good."""

    def __init__(self, deployment, port):
        self._store = deployment.store
        self.address = f"{deployment.store._host}:{port}"
        self._port = port
        self._open = []

    async def start(self):
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._accept, self._store._host, self._port, backlog=512
        )

    def silence(self):
        """Deliver nothing more on the open connections, and don't end them."""
        count = len(self._open)
        for state in self._open:
            state["silent"] = True
        self._open = []
        return count

    async def _accept(self, reader, writer):
        state = {"silent": False}
        self._open.append(state)
        up_reader, up_writer = await asyncio.open_connection(
            self._store._host, self._store._port
        )

        async def pump(source, target):
            with contextlib.suppress(ConnectionError):
                while data := await source.read(65536):
                    if not state["silent"]:
                        target.write(data)
                        await target.drain()
            if not state["silent"]:
                target.close()

        await asyncio.gather(pump(reader, up_writer), pump(up_reader, writer))


async def play(deployment, trouble):
    """Play the case; return whether the rule held."""
    port = deployment._find_ports(deployment.store._host, 1)[0]
    proxy = StoreProxy(deployment, port)
    deployment.store_address = lambda machine: proxy.address
    await proxy.start()
    await deployment.start()
    await roll_introducers(deployment)
    await deployment.wait_until_served()
    deployment.configure()
    await asyncio.sleep(0.3)
    if trouble:
        count = proxy.silence()
        deployment.record(f"{count} open connections to the store go silent for good")
    silent_at = time.monotonic()
    await asyncio.sleep(0.6)
    deployment.configure(catalog={"service": "reserve"})
    acknowledged = time.monotonic()
    deployment.record("acknowledged: /catalog/ goes to reserve from this version on")
    await asyncio.sleep(silent_at + CONTACT_S + 0.1 - time.monotonic())
    sent = {}
    while time.monotonic() < silent_at + CONTACT_S + 0.8:
        calls = []
        for machine in deployment.machines:
            request_id = standins.new_id()
            sent[request_id] = (machine.name, time.monotonic())
            calls.append(
                standins.send(
                    machine.ip, machine.outbound, "/catalog/x", request_id=request_id
                )
            )
        await asyncio.gather(*calls)
        await asyncio.sleep(0.05)
    old = 0
    for machine in deployment.machines:
        for request_id, _, _ in machine.endpoint.runs:
            if request_id not in sent:
                continue
            name, sent_at = sent[request_id]
            if machine.service == "catalog":
                old += 1
                deployment.record(
                    f"{request_id}, sent on {name} {sent_at - acknowledged:.2f} s after"
                    f" the acknowledgement and {sent_at - silent_at:.2f} s after the"
                    " silence, is run by the old service"
                )
    deployment.record(f"{len(sent)} requests, {old} run by the old service")
    print(deployment._lines[-1])
    return old == 0


async def roll_introducers(deployment):
    """Stop and start the machines that watch the store until others are listed.

    Those that watch are the first two by name and the first of each zone.
    """
    by_name = sorted(deployment.machines, key=lambda machine: machine.name)
    first = {machine.zone: machine for machine in reversed(by_name)}
    watching = {machine.name: machine for machine in by_name[:2]}
    watching.update((machine.name, machine) for machine in first.values())
    await asyncio.sleep(5.0)
    for _ in range(ROLLS):
        listed = deployment.store.keys("owners/")
        deployment.record(f"listed in the store: {listed}")
        due = [m for name, m in watching.items() if f"owners/{name}" in listed]
        if not due:
            # Machines that could have been listed instead have given up by then.
            await asyncio.sleep(11.0)
            return
        for machine in due:
            deployment.signal(machine, signal.SIGTERM)
            await machine.process.wait()
            await asyncio.sleep(0.5)
            await deployment.start_daemon(machine)
        await asyncio.sleep(2.0)
        while len(deployment.store.keys("owners/")) < 2 * len(first):
            await asyncio.sleep(0.2)
        await asyncio.sleep(1.0)
    raise standins.CannotRun("machines that watch the store stay listed")


standins.main(
    play,
    folder=pathlib.Path(__file__).parent,
    layout=LAYOUT,
    # TROUBLE=0 does the same without the disruption.
    trouble=os.environ.get("TROUBLE", "1") != "0",
)
