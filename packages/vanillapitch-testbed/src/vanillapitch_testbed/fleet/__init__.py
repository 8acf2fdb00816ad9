"""Launcher of a fleet of real processes on loopback addresses.

Each VM of the fleet has a different loopback IP address, so all VMs use the same ports,
and these never collide with the source ports of outgoing connections.
"""

from vanillapitch_testbed.fleet._clients import admin_request, control_request
from vanillapitch_testbed.fleet._deployments import (
    DEPLOYMENTS,
    Deployment,
    Service,
    build_tables,
)
from vanillapitch_testbed.fleet._fleet import Fleet
from vanillapitch_testbed.fleet._process import ManagedProcess
from vanillapitch_testbed.fleet._vm import Vm
from vanillapitch_testbed.fleet.exceptions import FleetError

__all__ = [
    "DEPLOYMENTS",
    "Deployment",
    "Fleet",
    "FleetError",
    "ManagedProcess",
    "Service",
    "Vm",
    "admin_request",
    "control_request",
    "build_tables",
]
