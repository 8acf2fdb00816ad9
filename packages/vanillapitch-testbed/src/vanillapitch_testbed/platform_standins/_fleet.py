"""Daemons, endpoints and a store in one event loop, on loopback addresses."""

import asyncio
import dataclasses
import itertools
import logging
import os
from collections.abc import Awaitable, Sequence

import msgspec
from vanillapitch_adapter.main import DIALECT
from vanillapitch_adapter.settings import decode_settings
from vanillapitch_adapter.store import PlatformStore
from vanillapitch_relay.app import Daemon
from vanillapitch_relay.line_log import LineWriter
from vanillapitch_relay.model import Settings

from vanillapitch_testbed.event_loop import LoopClock
from vanillapitch_testbed.loopback import reserve_loopback_subnet
from vanillapitch_testbed.platform_standins._caller import CallerResponse, send_request
from vanillapitch_testbed.platform_standins._endpoint import SimulatedEndpoint
from vanillapitch_testbed.platform_standins._load import OfferedRequest, offer_load
from vanillapitch_testbed.platform_standins._store import SimulatedStore

__all__ = ["ServiceSpec", "SimulatedFleet", "Vm", "make_configuration", "make_route"]

HOST = "shop.example"
STORE_PORT = 8309
MAX_VMS = 20


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSpec:
    """A service of the fleet.

    Attributes
    ----------
    name : str
        Its name; it has the routes ``/NAME/`` (safe) and ``/NAME-once/`` (unsafe).
    zones : tuple of str
        Availability zone of each endpoint.
    slots : int
        Slots of each endpoint.
    """

    name: str
    zones: tuple[str, ...]
    slots: int = 8


@dataclasses.dataclass(slots=True, kw_only=True)
class Vm:
    """A VM with its endpoint and its daemon.

    Attributes
    ----------
    document : bytes
        Settings file of the daemon.
    settings : Settings
        The decoded settings file.
    endpoint : SimulatedEndpoint
        The endpoint.
    daemon : Daemon or None
        The daemon; None while it is down.
    task : asyncio.Task or None
        Task that runs the daemon.
    """

    document: bytes
    settings: Settings
    endpoint: SimulatedEndpoint
    daemon: Daemon | None = None
    task: asyncio.Task | None = None


def make_route(name: str, *, service: str, **changes: object) -> dict:
    """Build a route of `make_configuration`.

    Parameters
    ----------
    name : str
        The route has the prefix ``/NAME/`` and the name ``r-NAME``.
    service : str
        Service that the route leads to.
    **changes : object
        Fields that replace the defaults.
    """
    return {
        "name": f"r-{name}",
        "host": HOST,
        "prefix": f"/{name}/",
        "route_kind": "safe",
        "timeout_s": 1.0,
        "target_latency_s": 0.3,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **changes,
    }


def make_configuration(
    services: list[ServiceSpec],
    *,
    version: str = "00000001",
    routes: list[dict] | None = None,
    limits: dict | None = None,
    cold_per_s: float = 20.0,
    timeout_s: float = 2.0,
) -> bytes:
    """Build a configuration document in the platform's format.

    Parameters
    ----------
    services : list of ServiceSpec
        Services with their two routes.
    version : str
        Version of the document.
    routes : list of dict or None
        Additional routes, each with ``name`` and its specification.
    limits : dict or None
        Limits that replace the defaults.
    cold_per_s : float
        Requests per second that a cold endpoint may receive.
    timeout_s : float
        Time-out of the routes.

    Returns
    -------
    bytes
        The document.
    """
    resources = []
    for service in services:
        for suffix, kind in (("", "safe"), ("-once", "unsafe")):
            route = make_route(
                f"{service.name}{suffix}",
                service=service.name,
                route_kind=kind,
                timeout_s=timeout_s,
            )
            resources.append(_route(route))
        specification = {
            "health_path": "/health",
            "max_connections": 100,
            "protocol": "h1",
            "tls": False,
            "cold_start_s": 3.0,
            "cold_per_s": cold_per_s,
        }
        resources.append(
            {
                "resource_kind": "services",
                "metadata": {"name": service.name},
                "specification": specification,
            }
        )
    resources.extend(_route(route) for route in routes or [])
    specification = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_000_000,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
        **(limits or {}),
    }
    resources.append(
        {"resource_kind": "limits", "metadata": {}, "specification": specification}
    )
    return msgspec.json.encode({"version": version, "resources": resources})


def make_settings_document(
    *, node: str, zone: str, service: str, ip: str, store_address: str
) -> bytes:
    """Build the settings file of a daemon at a loopback address."""
    document = {
        "node": node,
        "zone": zone,
        "listeners": {
            "callers": f"{ip}:8304",
            "readiness": f"{ip}:8302",
            "announcements": f"{ip}:8306",
            "peers": f"{ip}:7620",
            "metrics": f"{ip}:9464",
        },
        "endpoint": {"address": f"{ip}:8301", "service": service},
        "store": {"address": store_address, "lease_ttl_s_min": 1},
        "bounds": {
            "grace_s": 6,
            "retry_ratio": 0.2,
            "retry_slack": 58,
            "retry_window_s": 10,
            "cold_overshoot": 1.5,
            "cold_slack": 5,
        },
    }
    return msgspec.json.encode(document)


class SimulatedFleet:
    """A small deployment in one event loop.

    Parameters
    ----------
    services : list of ServiceSpec
        Services with their endpoints.
    """

    def __init__(self, *, services: list[ServiceSpec]):
        self._reservation, self._address_prefix = reserve_loopback_subnet()
        self.services = services
        self.store = SimulatedStore(
            address=f"{self._address_prefix}.1:{STORE_PORT}",
            more_hosts=tuple(
                f"{self._address_prefix}.{100 + n}" for n in range(MAX_VMS)
            ),
        )
        self.vms: list[Vm] = []
        self._clock = LoopClock()
        self._writer = LineWriter(clock=self._clock, descriptor=os.dup(2))
        self._versions = itertools.count(1)

    async def start(self, **options: object) -> None:
        """Start everything and wait until every daemon can use every endpoint.

        Parameters
        ----------
        **options : object
            Options of `make_configuration`.
        """
        logging.getLogger().setLevel(logging.INFO)
        await self.store.start()
        self.configure(**options)
        for service in self.services:
            for zone in service.zones:
                await self.add_vm(service, zone)
        await self.wait_until_connected()

    async def stop(self) -> None:
        """Stop all daemons, endpoints and the store."""
        for vm in self.vms:
            await self.kill_daemon(vm)
            await vm.endpoint.stop()
        await self.store.stop()
        self._reservation.close()

    def configure(self, **options: object) -> int:
        """Write a new configuration; return its store revision."""
        version = f"{next(self._versions):08x}"
        document = make_configuration(self.services, version=version, **options)
        return self.store.put("op/config", document)

    async def add_vm(self, service: ServiceSpec, zone: str) -> Vm:
        """Add a VM with an endpoint and a daemon."""
        ip = f"{self._address_prefix}.{len(self.vms) + 10}"
        document = make_settings_document(
            node=f"vm-{len(self.vms) + 1}",
            zone=zone,
            service=service.name,
            ip=ip,
            store_address=f"{self.store_host(len(self.vms))}:{STORE_PORT}",
        )
        settings = decode_settings(document)
        endpoint = SimulatedEndpoint(
            address=settings.endpoint_address,
            control_address=settings.announce_address,
            service=service.name,
            zone=zone,
            slots=service.slots,
            bind_address=await self.prepare_endpoint(settings),
        )
        vm = Vm(document=document, settings=settings, endpoint=endpoint)
        self.vms.append(vm)
        await self.start_daemon(vm)
        await endpoint.start()
        return vm

    async def prepare_endpoint(self, settings: Settings) -> str:
        """Return the address at which the endpoint of a VM listens."""
        return settings.endpoint_address

    def store_host(self, vm: int) -> str:
        """Return the host at which a VM reaches the store."""
        return f"{self._address_prefix}.{100 + vm}"

    async def start_daemon(self, vm: Vm) -> None:
        """Start the daemon of a VM without the state of earlier ones."""
        vm.daemon = Daemon(
            settings=vm.settings,
            dialect=DIALECT,
            clock=self._clock,
            store=PlatformStore(address=vm.settings.store_address),
            writer=self._writer,
            reload=lambda: vm.settings,
        )
        vm.task = asyncio.get_running_loop().create_task(vm.daemon.serve())
        await vm.daemon.started.wait()

    async def kill_daemon(self, vm: Vm) -> None:
        """Stop a daemon as SIGKILL does: requests are lost, peers are not notified."""
        if vm.daemon is not None:
            vm.daemon.kill()
            vm.task.cancel()
            vm.daemon = None
            await asyncio.sleep(0)

    async def restart_before_late_heartbeat(self, vm: Vm) -> int:
        """Replace a daemon by a new process, which then gets a heartbeat.

        The heartbeat says ready, and so do the health checks of the endpoint from then
        on.

        Parameters
        ----------
        vm : Vm
            The VM of the daemon.

        Returns
        -------
        int
            Status of the response to the heartbeat.
        """
        await self.kill_daemon(vm)
        await self.start_daemon(vm)
        vm.endpoint.state = "ready"
        status = await vm.endpoint.announce()
        await asyncio.sleep(0.3)
        return status

    async def wait_until_connected(self, *, timeout_s: float = 5.0) -> None:
        """Wait until every running daemon can use every endpoint."""

        def is_connected() -> bool:
            running = [vm for vm in self.vms if vm.daemon is not None]
            return all(len(vm.daemon.usable_owners()) >= len(running) for vm in running)

        await self.wait_until(is_connected, timeout_s=timeout_s)

    async def wait_until(self, condition, *, timeout_s: float = 5.0) -> None:
        """Poll a condition until it holds; raises `TimeoutError`."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)

    async def call(
        self, target: str, *, vm: int = 0, **options: object
    ) -> CallerResponse:
        """Send a request to the daemon of a VM."""
        address = self.vms[vm].settings.caller_address
        return await send_request(address, target, **options)

    async def offer_load(
        self, *, per_s: float, seconds: float, targets: Sequence[str]
    ) -> list[OfferedRequest]:
        """Send requests at a constant rate to all daemons in turn."""

        def call(number: int, target: str) -> Awaitable[CallerResponse]:
            return self.call(target, vm=number % len(self.vms))

        return await offer_load(call, per_s=per_s, seconds=seconds, targets=targets)

    async def wait_until_served(self, target: str, *, timeout_s: float = 2.0) -> None:
        """Wait until every daemon serves a target; raises `TimeoutError`."""
        async with asyncio.timeout(timeout_s):
            for number in range(len(self.vms)):
                while (await self.call(target, vm=number)).status != 200:
                    await asyncio.sleep(0.02)

    def execution_times_s(self, *, since_s: float) -> list[list[float]]:
        """List the start times of the executions of each endpoint since a time."""
        return [
            [
                execution.started_s
                for execution in vm.endpoint.executions
                if execution.started_s >= since_s
            ]
            for vm in self.vms
        ]

    def name_rate_limits(self, limit_per_s: float | str | None) -> None:
        """Make all endpoints name a request rate, or none."""
        for vm in self.vms:
            limit = "" if limit_per_s is None else str(limit_per_s)
            vm.endpoint.faults.rate_limit = limit

    def executions(self, target: str = "") -> list:
        """List the executions whose target contains a substring."""
        return [
            execution
            for vm in self.vms
            for execution in vm.endpoint.executions
            if target in execution.target
        ]


def _route(route: dict) -> dict:
    specification = {name: value for name, value in route.items() if name != "name"}
    return {
        "resource_kind": "routes",
        "metadata": {"name": route["name"]},
        "specification": specification,
    }
