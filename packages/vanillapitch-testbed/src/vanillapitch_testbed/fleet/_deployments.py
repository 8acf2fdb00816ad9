"""Predefined deployments for the fleet launcher."""

import dataclasses

from vanillapitch_core.tables import Pool, Route, Tables

__all__ = ["DEPLOYMENTS", "Deployment", "Service", "build_tables"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service, its endpoints and the kind of its calls.

    Attributes
    ----------
    kind : str
        Kind of the calls to the service: ``read``, ``keyed`` or ``upload``.
    """

    name: str
    endpoints: int
    kind: str
    service_ms: float = 8.0
    priority: int = 5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """Zones and services of a fleet, and the size of its backend servers."""

    name: str
    region: str
    zones: tuple[str, ...]
    services: tuple[Service, ...]
    slots: int
    connections: int = 200


HANUL = Deployment(
    name="hanul",
    region="gyeongbuk",
    zones=("gb-a", "gb-b", "gb-c"),
    services=(
        Service(name="catalog", endpoints=4, kind="read"),
        Service(name="reserve", endpoints=3, kind="keyed", priority=8),
        Service(name="workshop", endpoints=3, kind="upload", service_ms=25.0),
    ),
    slots=12,
)

ISHIKARI = Deployment(
    name="ishikari",
    region="hokkaido",
    zones=("hk-a", "hk-b", "hk-c", "hk-d"),
    services=(
        Service(name="ticket-desk", endpoints=4, kind="read"),
        Service(name="bale-ledger", endpoints=4, kind="keyed", priority=8),
        Service(name="yard-intake", endpoints=4, kind="upload", service_ms=25.0),
    ),
    slots=18,
)

# For tests: the smallest fleet in which each service has endpoints in two zones.
SMALL = Deployment(
    name="small",
    region="gyeongbuk",
    zones=("gb-a", "gb-b"),
    services=(
        Service(name="catalog", endpoints=2, kind="read"),
        Service(name="reserve", endpoints=2, kind="keyed", priority=8),
    ),
    slots=8,
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (HANUL, ISHIKARI, SMALL)}


def build_tables(deployment: Deployment) -> Tables:
    """Return the routes and pools of a deployment, with a path prefix per service."""
    return Tables(
        routes=tuple(
            Route(
                name=service.name,
                path_prefix=f"/{service.name}",
                pool=service.name,
                priority=service.priority,
            )
            for service in deployment.services
        ),
        pools=tuple(
            Pool(name=service.name, service=service.name)
            for service in deployment.services
        ),
    )
