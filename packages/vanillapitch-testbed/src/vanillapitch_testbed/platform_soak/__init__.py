"""Randomized soak of the deployment's programs on a simulated platform.

Faults come from outside the programs: signals, loopback proxies, the store and the
endpoints. Guarantees are checked from the responses that callers received and the
requests that endpoints executed.
"""

from vanillapitch_testbed.platform_soak._faults import (
    ALL_FAULTS,
    FAULTS,
    LIMITS_AND_RESTORES,
    Fault,
)
from vanillapitch_testbed.platform_soak._run import SoakReport, run_soak

__all__ = [
    "ALL_FAULTS",
    "FAULTS",
    "Fault",
    "LIMITS_AND_RESTORES",
    "SoakReport",
    "run_soak",
]
