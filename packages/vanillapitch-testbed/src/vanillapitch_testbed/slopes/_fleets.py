"""Deployments and tables for the measurements, and readers of fleet counters."""

import re

from vanillapitch_core.tables import Pool, Route, Tables, encode_tables

from vanillapitch_testbed.fleet import (
    Deployment,
    Fleet,
    FleetError,
    Service,
    Vm,
    admin_request,
    control_request,
)
from vanillapitch_testbed.fleet._fleet import ADMIN_TOKEN, CLUSTER_KEY

__all__ = [
    "GOSSIP_KEY",
    "make_deployment",
    "make_tables",
    "put_large_tables",
    "read_gossip_bytes",
    "read_store_counters",
]

GOSSIP_KEY = CLUSTER_KEY.encode()
_ZONES = ("z-1", "z-2", "z-3", "z-4", "z-5")
_SLOTS = 16


def make_deployment(*, endpoints: int, services: int = 1, zones: int = 5) -> Deployment:
    """Return a deployment with its endpoints distributed evenly over its services.

    Parameters
    ----------
    endpoints : int
        Number of endpoints of all services together; each has a daemon.
    services : int
        Number of services, all of kind ``read``.
    zones : int
        Number of zones, at most 5.

    Returns
    -------
    Deployment
        The deployment.
    """
    endpoints_per_service, remainder = divmod(endpoints, services)
    return Deployment(
        name=f"slopes-{endpoints}",
        region="region-1",
        zones=_ZONES[:zones],
        services=tuple(
            Service(
                name=f"service-{index}",
                endpoints=endpoints_per_service + (index < remainder),
                kind="read",
                service_ms=2.0,
            )
            for index in range(services)
        ),
        slots=_SLOTS,
    )


def make_tables(services: int) -> Tables:
    """Return tables with a route and a pool for each service."""
    names = [f"service-{index}" for index in range(services)]
    return Tables(
        routes=tuple(
            Route(name=name, path_prefix=f"/{name}", pool=name) for name in names
        ),
        pools=tuple(Pool(name=name, service=name) for name in names),
    )


def put_large_tables(fleet: Fleet, vm: Vm, services: int) -> int:
    """Replace the tables, wait for their adoption and return their size in bytes.

    Raises
    ------
    FleetError
        If the daemon rejects the tables, or a daemon does not adopt them in time.
    """
    tables = make_tables(services)
    routes = [
        {"name": route.name, "path_prefix": route.path_prefix, "pool": route.pool}
        for route in tables.routes
    ]
    pools = [{"name": pool.name, "service": pool.service} for pool in tables.pools]
    base = fleet.tables(vm)
    response = fleet.put_tables(vm, base=base, routes=routes, pools=pools)
    if response.status != 200:
        raise FleetError(
            f"PUT /v1/tables returned status {response.status}: {response.data[:200]!r}"
        )
    fleet.wait_revision(base["revision"] + 1)
    return len(encode_tables(tables))


def read_gossip_bytes(vm: Vm) -> int:
    """Return the bytes of membership messages that a daemon has sent and received."""
    response = admin_request(vm.admin, "GET", "/metrics", token=ADMIN_TOKEN)
    pattern = r"^vanillapitch_gossip_bytes_total\{.*\} (\S+)$"
    values = re.findall(pattern, response.data.decode(), re.MULTILINE)
    return int(sum(float(value) for value in values))


def read_store_counters(fleet: Fleet) -> dict:
    """Return the store's counters."""
    return control_request(fleet.store_control, "GET", "/counters")
