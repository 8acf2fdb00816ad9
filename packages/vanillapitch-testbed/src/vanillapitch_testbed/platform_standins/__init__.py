"""Stand-ins of the users' platform: its store, an endpoint and a caller.

They speak the platform's published forms, so that the daemon runs as it does there.
"""

from vanillapitch_testbed.platform_standins._caller import CallerAnswer, send_request
from vanillapitch_testbed.platform_standins._endpoint import (
    EndpointFaults,
    EndpointStandIn,
    Run,
)
from vanillapitch_testbed.platform_standins._fleet import (
    ServiceSpec,
    SimulatedFleet,
    make_configuration,
    make_route,
)
from vanillapitch_testbed.platform_standins._store import (
    Refusal,
    SimulatedStore,
    StoreFaults,
)

__all__ = [
    "CallerAnswer",
    "EndpointFaults",
    "EndpointStandIn",
    "Refusal",
    "Run",
    "ServiceSpec",
    "SimulatedFleet",
    "StoreFaults",
    "SimulatedStore",
    "make_configuration",
    "make_route",
    "send_request",
]
