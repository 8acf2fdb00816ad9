"""Simulated deployment platform: its store, an endpoint and a caller.

They implement the platform's published interfaces, so that the daemon runs unchanged.
"""

from vanillapitch_testbed.platform_standins._caller import (
    CallerResponse,
    read_pipelined,
    send_pipelined,
    send_request,
)
from vanillapitch_testbed.platform_standins._endpoint import (
    EndpointFaults,
    Execution,
    SimulatedEndpoint,
)
from vanillapitch_testbed.platform_standins._fleet import (
    ServiceSpec,
    SimulatedFleet,
    make_configuration,
    make_route,
)
from vanillapitch_testbed.platform_standins._load import count_most_in_window
from vanillapitch_testbed.platform_standins._store import (
    Refusal,
    SimulatedStore,
    StoreCopy,
    StoreFaults,
)

__all__ = [
    "CallerResponse",
    "EndpointFaults",
    "Execution",
    "Refusal",
    "ServiceSpec",
    "SimulatedEndpoint",
    "SimulatedFleet",
    "SimulatedStore",
    "StoreCopy",
    "StoreFaults",
    "count_most_in_window",
    "make_configuration",
    "make_route",
    "read_pipelined",
    "send_pipelined",
    "send_request",
]
